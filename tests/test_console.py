"""The console, and the listening socket that is inherited."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest

from notchflow.net.console import CALLERS_MAX
from notchflow.net.frontend import inherit
from tests.rig import Client, Rig, Seen, read_message, run, serve_value, until

ANY = ("127.0.0.1", 0)


async def dial(rig: Rig) -> Client:
    console = rig.host.console
    assert console is not None and console.listener is not None
    return Client(*await asyncio.open_connection(*console.listener.getsockname()))


async def call(rig: Rig, method: str, path: str) -> Seen:
    client = await dial(rig)
    client.writer.write(f"{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n".encode())
    seen = await client.receive()
    assert seen is not None and seen.headers["connection"] == "close"
    assert await client.receive() is None, "one call on each connection"
    return seen


def rig_with_console() -> Rig:
    return Rig(serve_value, serve_value, limits={"console": ANY})


def test_each_call_and_what_is_none() -> None:
    async def test() -> None:
        async with rig_with_console() as rig:
            assert (await call(rig, "GET", "/status")).status == 200
            await rig.ask()
            figures = (await call(rig, "GET", "/status/metrics")).body.decode()
            assert 'svc_operations{priority="read",status="fulfilled"} 1\n' in figures
            assert (await call(rig, "GET", "/nothing")).status == 404
            wrong = await call(rig, "GET", "/standby")
            assert (wrong.status, wrong.headers["allow"]) == (405, "POST")
            assert (await rig.ask()).status == 200, "a call in the wrong form does nothing"
            client = await dial(rig)
            client.writer.write(b"nonsense\r\n\r\n")
            assert (await read_message(client.reader) or Seen("x 0", {}, b"")).status == 400

    run(test())


def test_silent_callers_keep_nobody_out() -> None:
    async def test() -> None:
        async with rig_with_console() as rig:
            silent = [await dial(rig) for _ in range(CALLERS_MAX * 3)]
            for half in silent[::2]:
                half.writer.write(b"GET /sta")
            assert (await call(rig, "GET", "/status")).status == 200
            console = rig.host.console
            assert console is not None
            assert len(console.callers) <= CALLERS_MAX
            for caller in console.callers:
                caller.since -= 10_000
            console.sweep(rig.host.clock.now())
            await until(lambda: not console.callers)
            for client in silent:
                client.writer.transport.abort()

    run(test())


def lasting(text: str) -> list[str]:
    """What does not change by itself from one report to the next."""
    return [line for line in text.splitlines() if not line.startswith("svc_registry_age_ms")]


def test_an_answer_longer_than_the_kernel_takes_comes_whole() -> None:
    async def test() -> None:
        async with rig_with_console() as rig:
            rig.host.metrics.know(f"class-{n}" for n in range(40_000))
            text = rig.host.metrics_text()
            assert len(text) > 8 << 20
            came = (await call(rig, "GET", "/status/metrics")).body.decode()
            assert lasting(came) == lasting(text)

    run(test())


def test_standby_sends_clients_away_and_active_brings_them_back() -> None:
    async def test() -> None:
        async with rig_with_console() as rig:
            used, idle = await rig.connect(), await rig.connect()
            assert (await used.ask()).status == (await idle.ask()).status == 200
            assert (await call(rig, "POST", "/standby")).status == 200
            ready = await rig.ask(path="/health/ready")
            assert ready.status == 503
            asked = await used.ask()
            assert (asked.status, asked.headers["connection"]) == (200, "close")
            assert (await rig.ask()).status == 200, "what still comes is served"
            rig.host.lifecycle.since -= 1_600
            assert await idle.receive() is None, "idle ones are closed"
            await until(lambda: not rig.host.frontend.clients)
            assert (await call(rig, "POST", "/standby")).status == 200
            assert (await call(rig, "POST", "/active")).status == 200
            assert (await rig.ask(path="/health/ready")).status == 200
            assert "connection" not in (await rig.ask()).headers

    run(test())


def test_after_the_end_was_told_no_call_brings_clients_back() -> None:
    async def test() -> None:
        async with rig_with_console() as rig:
            held = await rig.connect()
            held.send("PUT", body=None, content_length="5")  # keeps the process there
            await until(lambda: any(c.arriving for c in rig.host.frontend.clients))
            rig.host.stop()
            assert (await call(rig, "POST", "/active")).status == 409
            assert (await call(rig, "GET", "/status")).status == 503
            rig.host.stop_by = float("inf")

    run(test())


def test_an_inherited_socket_is_accepted_from_and_left_open_for_others() -> None:
    async def test() -> None:
        listener = socket.create_server(ANY)
        rig = Rig(serve_value, limits={"accept_fd": os.dup(listener.fileno())})
        async with rig:
            assert rig.port == listener.getsockname()[1]
            assert (await rig.ask()).status == 200
        late = socket.create_connection(listener.getsockname())
        taken, _ = listener.accept()
        taken.close()
        late.close()
        listener.close()

    run(test())


def test_what_is_no_listener_is_told_by_its_number() -> None:
    with socket.socket() as idle:
        with pytest.raises(OSError, match=f"descriptor {idle.fileno()} .*ROUTER_ACCEPT_FD"):
            inherit(idle.fileno())
