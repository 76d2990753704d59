"""Races of a close with data: a request on an idle connection, pipelined requests, a flood, a response that
is still being sent. What was written arrives, what was read is answered, and a close ends within its
bound."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from notchflow.net import client as client_module
from notchflow.net import frontend
from tests.crossings.forced import assert_all_finished
from tests.crossings.test_client_gone import Gate
from tests.rig import HttpMessage, Rig, answer, intercept_stop, run, serve_value, wait_until

ASK = b"GET /api/00aa HTTP/1.1\r\nX-Call-Id: 7\r\nX-Call-Class: read\r\nX-Budget: 5.0\r\n\r\n"
LAST = ASK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")


class Raw:
    """A client's socket whose bytes are in the kernel as soon as `send` returns: the event loop, which the
    test shares with the proxy, does not run in between."""

    def __init__(self, rig: Rig) -> None:
        self.sock = socket.create_connection(("127.0.0.1", rig.port))
        self.sock.setblocking(False)

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    async def read(self, until_end: bool = False, size: int = 1) -> bytes:
        """Reads up to the end of the connection, or at least `size` bytes. A reset raises an error."""
        data = b""
        loop = asyncio.get_running_loop()
        while until_end or len(data) < size:
            more = await loop.sock_recv(self.sock, 1 << 16)
            if not more:
                break
            data += more
        return data


async def idle_client(rig: Rig) -> Raw:
    """A connection that has received one response and is idle."""
    raw = Raw(rig)
    raw.send(ASK)
    await wait_until(lambda: rig.host.frontend.idle and rig.forwarded_count and not rig.host.active_requests)
    assert (await raw.read()).startswith(b"HTTP/1.1 200")
    return raw


def test_a_request_that_is_unread_at_shutdown_is_answered() -> None:
    async def test() -> None:
        async with Rig() as rig:
            ended = intercept_stop(rig.host)
            raw = await idle_client(rig)
            rig.host.stop()
            raw.send(ASK)  # in the kernel, not read yet
            rig.host._drain()
            data = await raw.read(until_end=True)
            assert data.startswith(b"HTTP/1.1 200") and b"Connection: close" in data
            raw.sock.close()
            await wait_until(lambda: ended)
            await assert_all_finished(rig)

    run(test())


@pytest.mark.parametrize("asked_before", [False, True])
def test_a_request_that_is_unread_as_its_idle_connection_times_out_is_answered(
    asked_before: bool,
) -> None:
    """Guards against closing an idle connection on which a first or later request is unread."""

    async def test() -> None:
        async with Rig() as rig:
            raw = await idle_client(rig) if asked_before else Raw(rig)
            await wait_until(lambda: rig.host.frontend.idle)
            raw.send(ASK)  # in the kernel, not read yet
            rig.host.frontend.sweep(rig.host.clock.now() + client_module.IDLE_TIMEOUT_MS + 1.0)
            assert (await raw.read()).startswith(b"HTTP/1.1 200")
            raw.sock.close()
            await assert_all_finished(rig)

    run(test())


def test_a_request_after_the_close_is_not_forwarded_and_sees_an_end_not_a_reset() -> None:
    async def test() -> None:
        async with Rig() as rig:
            ended = intercept_stop(rig.host)
            raw = await idle_client(rig)
            rig.host.stop()
            rig.host._drain()
            raw.send(ASK)  # the connection is being closed
            assert await raw.read(until_end=True) == b""
            sent = rig.forwarded_count
            raw.sock.close()
            await wait_until(lambda: ended)
            await assert_all_finished(rig)
            assert rig.forwarded_count == sent == 1

    run(test())


def test_all_requests_read_before_shutdown_are_answered() -> None:
    async def test() -> None:
        gate = Gate(serve_value)
        async with Rig(gate) as rig:
            ended = intercept_stop(rig.host)
            raw = Raw(rig)
            raw.send(3 * ASK)
            await wait_until(lambda: rig.forwarded_count)
            rig.host.stop()
            gate.open.set()
            data = await raw.read(until_end=True)
            assert data.count(b"HTTP/1.1 200") == 3 and data.count(b"Connection: close") == 1
            raw.sock.close()
            await wait_until(lambda: ended)
            await assert_all_finished(rig)

    run(test())


def test_a_response_in_flight_is_not_lost_to_data_behind_its_request() -> None:
    body = b"v" * 50_000

    async def long(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        await gate.wait()
        writer.write(answer(body))

    gate = asyncio.Event()

    async def test() -> None:
        async with Rig(long) as rig:
            raw = Raw(rig)
            raw.send(LAST)
            await wait_until(lambda: rig.forwarded_count)
            (client_connection,) = rig.host.frontend.clients
            assert client_connection.transport is not None
            client_connection.transport.pause_reading()  # further data stays unread
            raw.send(100 * ASK)
            gate.set()
            data = await raw.read(until_end=True)
            assert data.endswith(body)
            raw.sock.close()
            await assert_all_finished(rig)
            assert rig.forwarded_count == 1

    run(test())


def test_a_body_received_after_connection_close_was_announced_leaves_nothing_buffered() -> None:
    put = ASK.replace(b"GET", b"PUT").replace(b"\r\n\r\n", b"\r\nContent-Length: 9\r\n\r\ntoo late.")
    half = b"v" * 50_000

    async def in_two(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(answer(2 * half)[: -len(half)])
        await gate.wait()
        writer.write(half)

    gate = asyncio.Event()

    async def test() -> None:
        async with Rig(in_two) as rig:
            rig.host.stop()
            raw = Raw(rig)
            raw.send(ASK)
            assert b"Connection: close" in await raw.read()
            raw.send(put)
            await wait_until(lambda: rig.host.buffered_bytes)
            gate.set()
            assert (await raw.read(until_end=True)).endswith(half)
            raw.sock.close()
            await assert_all_finished(rig)
            assert rig.forwarded_count == 1

    run(test())


def test_a_client_that_keeps_sending_after_a_close_is_disconnected_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        async with Rig() as rig:
            raw = Raw(rig)
            raw.send(LAST)
            await wait_until(lambda: any(c.closed_at < float("inf") for c in rig.host.frontend.clients))
            (client_connection,) = rig.host.frontend.clients
            client_connection.active_at = 0.0
            raw.send(1_000 * ASK)
            await wait_until(lambda: client_connection.active_at)
            monkeypatch.setattr(client_module, "LINGER_MS", -1.0)
            client_connection.close_if_timed_out(rig.host.clock.now())
            await wait_until(lambda: not rig.host.frontend.clients)
            await assert_all_finished(rig)
            assert rig.forwarded_count == 1

    run(test())


def test_a_lingering_connection_is_closed_for_room_before_any_other(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(frontend, "MIN_IDLE_MS", 0.0)

    async def test() -> None:
        async with Rig() as rig:
            raw, other = Raw(rig), await idle_client(rig)
            raw.send(LAST)
            await wait_until(lambda: rig.host.frontend.lingering)
            assert rig.host.frontend.close_idle()
            frontend = rig.host.frontend
            await wait_until(lambda: not frontend.lingering and len(frontend.clients) == 1)
            assert frontend.clients.keys() == frontend.idle.keys()
            other.sock.close()
            await assert_all_finished(rig)

    run(test())


def nodelay(transport: Any) -> int:
    return int(transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))


def test_small_writes_are_not_delayed_on_either_side() -> None:
    async def test() -> None:
        async with Rig() as rig:
            raw = await idle_client(rig)
            (client,) = rig.host.frontend.clients
            (pool,) = rig.host.pools.values()
            assert nodelay(client.transport) and nodelay(pool.idle[0].transport)
            # also on connections taken over from another process of this proxy
            (descriptor,) = rig.host.frontend.hand_over_idle(1)
            rig.host.adopt_client_connection(socket.socket(fileno=descriptor))
            node = next(iter(rig.host.pools))
            given = socket.create_connection(pool.address)
            rig.host.adopt_node_connection(given, node, "{}:{}".format(*pool.address), 1.0)
            await wait_until(lambda: len(pool.idle) == 2 and rig.host.frontend.idle)
            (client,) = rig.host.frontend.idle
            assert nodelay(client.transport) and all(nodelay(c.transport) for c in pool.idle)
            raw.sock.close()
            await assert_all_finished(rig)

    run(test())
