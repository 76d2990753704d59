"""Reuse of connections: a response that nobody asked for is not taken for that of a later request."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Any

import pytest

from notchflow.net import reuse
from notchflow.net.discovery import IDLE_TIMEOUT_MS
from notchflow.net.pool import DIAL_PRICE_MS, Pool
from notchflow.net.reuse import LATENESS_MARGIN, MAX_REUSE_DELAY_MS, MEMORY_MS, MIN_REUSE_DELAY_MS, ReuseDelay
from tests.crossings.forced import assert_all_finished
from tests.door.hosted import HostedRig
from tests.rig import Client, HttpMessage, Rig, answer, run, serve_value, wait_until

REFUSAL = answer(b"", "503 Service Unavailable", X_Rejected="1")
NEVER_MS = 3_600_000.0


class LateNode:
    """A node that answers its first request at once. What the test passes to `send_late` follows on the same
    connection once the next request has been received, which is answered only then."""

    def __init__(self) -> None:
        self.first: asyncio.StreamWriter | None = None
        self.released = asyncio.Event()
        self.requests: list[HttpMessage] = []

    async def __call__(self, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        self.requests.append(request)
        if self.first is None:
            self.first = writer
        else:
            await self.released.wait()
        await serve_value(request, writer)

    def send_late(self, data: bytes) -> None:
        """Sends bytes on the connection of the first request."""
        assert self.first is not None
        self.first.write(data)
        self.released.set()


@pytest.fixture
def long_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """No connection may be reused while the test goes on, however slow the machine is."""
    monkeypatch.setattr(reuse, "MIN_REUSE_DELAY_MS", NEVER_MS)


def make_connections_reusable(rig: Rig) -> None:
    """As if every idle connection had been idle for long enough."""
    for pool in rig.host.pools.values():
        for connection in pool.idle:
            connection.idle_since -= MIN_REUSE_DELAY_MS


async def ask_around_a_late_response(rig: Rig, node: LateNode, late: bytes, **second: Any) -> HttpMessage:
    """Sends a request, then a second one; the late response reaches the proxy while the second is out."""
    clients = [await rig.connect() for _ in range(2)]
    assert (await clients[0].request()).status == 200
    clients[1].send(**second)
    await wait_until(lambda: len(node.requests) == 2)
    node.send_late(late)
    response = await clients[1].receive()
    assert response is not None
    return response


def test_a_late_second_response_does_not_answer_the_next_request(long_delay: None) -> None:
    """Guards against serving a client with the response made for another."""

    async def test() -> None:
        node = LateNode()
        async with Rig(node) as rig:
            response = await ask_around_a_late_response(
                rig, node, answer(b"value of another"), path="/api/bb"
            )
            assert (response.status, response.body) == (200, b"value of /api/bb")
            await wait_until(lambda: rig.host.metrics.unsolicited_responses == 1)
            await wait_until(lambda: len(rig.nodes[0].open) == 1)

    run(test())


@pytest.mark.parametrize("cls", ["once", "celled"])
def test_a_late_refusal_does_not_make_the_next_request_run_twice(long_delay: None, cls: str) -> None:
    """Guards against sending a request again, also outside its group, while its node runs it."""

    async def test() -> None:
        node = LateNode()
        async with Rig(node, node) as rig:
            response = await ask_around_a_late_response(
                rig, node, REFUSAL, method="PUT", body=b"paid", X_Call_Class=cls, Idempotency_Key="k"
            )
            assert response.status == 200
            assert len(node.requests) == 2, "the second request was sent once"

    run(test())


def test_a_late_second_response_reaches_no_other_tenant(long_delay: None) -> None:
    """Guards against showing one tenant of the hosted service what another has read."""

    async def test() -> None:
        node = LateNode()
        async with HostedRig(node) as rig:
            first, second = await rig.connect(), await rig.connect()
            first.writer.write(rig.raw(b"/menus/c1/d1", tenant="alfa"))
            assert (seen := await first.receive()) is not None and seen.status == 200
            second.writer.write(rig.raw(b"/menus/c1/d2", tenant="beta"))
            await wait_until(lambda: len(node.requests) == 2)
            node.send_late(answer(b"menu of alfa"))
            assert (seen := await second.receive()) is not None
            assert (seen.status, seen.body) == (200, b"value of /api/beta/menus/c1/d2")

    run(test())


async def answer_call(rig: Rig, revision: int) -> asyncio.StreamWriter:
    """Answers the next call to discovery with a list without changes, and returns its connection."""
    _, writer = await rig.discovery_calls.get()
    writer.write(rig.list_answer(revision, False, []))
    await wait_until(lambda: rig.host.discovery.revision == revision)
    return writer


def test_a_late_second_list_does_not_answer_the_next_call_to_discovery(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a list that answers an earlier call being taken for the newest."""
    monkeypatch.setattr(reuse, "MIN_REUSE_DELAY_MS", 0.5 * IDLE_TIMEOUT_MS)

    async def test() -> None:
        async with Rig(list_on_request=True) as rig:
            writer = await answer_call(rig, 43)
            await wait_until(lambda: rig.host.discovery.calls)
            (call,) = rig.host.discovery.calls.values()
            assert call.connection is None, "the next call waits until the connection may be reused"
            writer.write(rig.list_answer(44, True, [rig.entry(0, id="s-9")]))
            await answer_call(rig, 45)
            assert [name for name, _, _ in rig.host.listed_nodes.values()] == ["s-0"]

    run(test())


def test_calls_to_discovery_go_on_over_one_connection() -> None:
    """Guards against a dial for each call of a watch."""

    async def test() -> None:
        async with Rig(list_on_request=True) as rig:
            for revision in (43, 44, 45):
                await answer_call(rig, revision)
            await rig.discovery_calls.get()
            assert rig.discovery.connections == 1

    run(test())


def test_expired_connections_to_discovery_are_closed() -> None:
    """Guards against one more open connection for each call that follows a pause."""

    async def test() -> None:
        async with Rig(list_on_request=True) as rig:
            pool = rig.host.discovery.pool
            for revision in (43, 44, 45):
                await answer_call(rig, revision)
                for connection in pool.idle:
                    connection.idle_since -= 2 * pool.idle_limit.limit_ms
            await rig.discovery_calls.get()
            await wait_until(lambda: len(rig.discovery.open) == 1)
            assert not pool.idle

    run(test())


def test_a_connection_that_was_handed_over_is_idle_for_the_rest_of_its_delay(long_delay: None) -> None:
    """Guards against a new process that takes an earlier process's late response for its own."""

    async def test() -> None:
        node = LateNode()
        async with Rig(node) as rig:
            first = await rig.connect()
            assert (await first.request()).status == 200
            (pool,) = rig.host.pools.values()
            ((descriptor, idle_ms),) = pool.export_idle(1)
            pool.adopt(socket.socket(fileno=descriptor), idle_ms)
            rig.host.descriptors_used += 1
            await wait_until(lambda: pool.idle)
            second = await rig.connect()
            second.send(path="/api/bb")
            await wait_until(lambda: len(node.requests) == 2)
            node.send_late(answer(b"value of another"))
            response = await second.receive()
            assert response is not None and response.body == b"value of /api/bb"

    run(test())


def test_a_late_response_that_lies_unread_is_found_before_the_connection_is_reused() -> None:
    """Guards against a process that stood still: its clock says that the connection was idle for long enough,
    but it has not read what came meanwhile."""

    async def test() -> None:
        async with Rig() as rig:
            client = await rig.connect()
            assert (await client.request()).status == 200
            (pool,) = rig.host.pools.values()
            (writer,) = rig.nodes[0].open
            make_connections_reusable(rig)
            os.write(writer.get_extra_info("socket").fileno(), answer(b"value of another"))
            assert pool.idle and pool._take_idle(rig.host.clock.now()) is None
            assert (await client.request(path="/api/bb")).body == b"value of /api/bb"

    run(test())


def test_connections_of_a_node_whose_second_responses_come_very_late_are_not_reused() -> None:
    """Guards against foreign responses that come later than any delay allows for."""

    async def test() -> None:
        async with Rig(serve_value, serve_value) as rig:
            client = await rig.connect()
            for number in range(8):
                assert (await client.request(path=f"/api/{number:016x}")).status == 200
            pools = list(rig.host.pools.values())
            for connection in pools[0].idle:
                connection.idle_since -= MAX_REUSE_DELAY_MS
            for writer in list(rig.nodes[0].open):
                writer.write(answer(b"value of another"))
            await wait_until(lambda: not pools[0].idle)
            dialled = [node.connections for node in rig.nodes]
            received = len(rig.nodes[0].received)
            for number in range(8):
                await rig.wait_for_reuse()
                assert (await client.request(path=f"/api/{number:016x}")).status == 200
            received = len(rig.nodes[0].received) - received
            assert rig.nodes[0].connections - dialled[0] == received > 1, "each serves one request"
            assert rig.nodes[1].connections == dialled[1], "the other node's are reused"

    run(test())


def test_the_delay_rises_with_the_lateness_of_second_responses_and_falls_again() -> None:
    delay = ReuseDelay()
    assert delay.delay_ms(0.0) == MIN_REUSE_DELAY_MS
    assert not delay.record_unsolicited(0.0, 3.0)
    assert delay.delay_ms(1.0) == MIN_REUSE_DELAY_MS
    assert not delay.record_unsolicited(1.0, 30.0)
    assert not delay.record_unsolicited(2.0, 20.0)
    assert delay.delay_ms(3.0) == LATENESS_MARGIN * 30.0
    assert delay.delay_ms(2.0 + MEMORY_MS) == MIN_REUSE_DELAY_MS
    assert delay.record_unsolicited(0.0, 0.6 * MAX_REUSE_DELAY_MS), "later than any delay"
    assert delay.delay_ms(1.0) == MAX_REUSE_DELAY_MS


def test_requests_wait_for_connections_until_that_has_cost_as_much_as_a_dial(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against steady traffic that waits for the same few connections for ever."""
    monkeypatch.setattr(reuse, "MIN_REUSE_DELAY_MS", 0.4 * DIAL_PRICE_MS)

    async def test() -> None:
        async with Rig() as rig:
            client = await rig.connect()
            while rig.nodes[0].connections < 2:
                assert (await client.request()).status == 200
            (pool,) = rig.host.pools.values()
            assert len(rig.nodes[0].received) >= 4 and pool.waited_ms == 0.0

    run(test())


async def begin_awaiting(rig: Rig) -> tuple[Client, Pool]:
    """A client whose request waits for the only connection to the only node to become reusable."""
    first, second = await rig.connect(), await rig.connect()
    assert (await first.request()).status == 200
    (pool,) = rig.host.pools.values()
    pool.dial_price_ms = NEVER_MS
    second.send(path="/api/bb")
    await wait_until(lambda: pool.awaited)
    return second, pool


def test_a_request_waits_for_a_connection_that_may_soon_be_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a new connection for each request that follows another closely."""
    monkeypatch.setattr(reuse, "MIN_REUSE_DELAY_MS", 500.0)

    async def test() -> None:
        async with Rig() as rig:
            client, pool = await begin_awaiting(rig)
            response = await client.receive()
            assert response is not None and response.body == b"value of /api/bb"
            assert rig.nodes[0].connections == 1 and not pool.awaited
            await assert_all_finished(rig)

    run(test())


def test_a_second_request_does_not_wait_for_the_same_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a queue of requests in front of one connection."""
    monkeypatch.setattr(reuse, "MIN_REUSE_DELAY_MS", 500.0)

    async def test() -> None:
        async with Rig() as rig:
            client, pool = await begin_awaiting(rig)
            assert len(pool.awaited) == 1
            assert (await rig.request(path="/api/cc")).body == b"value of /api/cc"
            assert rig.nodes[0].connections == 2
            response = await client.receive()
            assert response is not None and response.body == b"value of /api/bb"

    run(test())


@pytest.mark.parametrize("event", ["second response", "close", "drain", "client gone"])
def test_what_ends_the_wait_for_a_connection(event: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a request that is forgotten, sent to a draining node or for a client that has left."""
    monkeypatch.setattr(reuse, "MIN_REUSE_DELAY_MS", 1_000.0)

    async def test() -> None:
        async with Rig() as rig:
            client, pool = await begin_awaiting(rig)
            (writer,) = rig.nodes[0].open
            if event == "second response":
                writer.write(answer(b"value of another"))
            elif event == "close":
                writer.close()
            elif event == "client gone":
                client.reset()
                await wait_until(lambda: not rig.host.active_requests)
                assert not pool.awaited
            else:
                drained = [rig.entry(0, phase="draining")]
                _, discovery = await rig.discovery_calls.get()
                discovery.write(rig.list_answer(43, False, drained))
            if event != "client gone":
                response = await client.receive()
                assert response is not None
                assert response.status == (503 if event == "drain" else 200)
                assert response.body == (b"" if event == "drain" else b"value of /api/bb")
            assert rig.forwarded_count == (1 if event in ("drain", "client gone") else 2)
            await assert_all_finished(rig)

    run(test())
