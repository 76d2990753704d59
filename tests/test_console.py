"""The console, and the inherited listening socket."""

from __future__ import annotations

import asyncio
import os
import socket

import pytest

from notchflow.net.console import MAX_CONNECTIONS
from notchflow.net.frontend import inherit_listener
from tests.rig import Client, HttpMessage, Rig, read_message, run, serve_value, wait_until

ANY = ("127.0.0.1", 0)


async def connect(rig: Rig) -> Client:
    console = rig.host.console
    assert console is not None and console.listener is not None
    return Client(*await asyncio.open_connection(*console.listener.getsockname()))


async def request(rig: Rig, method: str, path: str) -> HttpMessage:
    client = await connect(rig)
    client.writer.write(f"{method} {path} HTTP/1.1\r\nHost: console\r\n\r\n".encode())
    seen = await client.receive()
    assert seen is not None and seen.headers["connection"] == "close"
    assert await client.receive() is None, "one request per connection"
    return seen


def rig_with_console() -> Rig:
    return Rig(serve_value, serve_value, config_options={"console": ANY})


def test_each_request_and_invalid_ones() -> None:
    async def test() -> None:
        async with rig_with_console() as rig:
            assert (await request(rig, "GET", "/status")).status == 200
            await rig.request()
            metrics = (await request(rig, "GET", "/status/metrics")).body.decode()
            assert 'svc_operations{priority="read",status="fulfilled"} 1\n' in metrics
            assert (await request(rig, "GET", "/nothing")).status == 404
            wrong = await request(rig, "GET", "/standby")
            assert (wrong.status, wrong.headers["allow"]) == (405, "POST")
            assert (await rig.request()).status == 200, "a request with the wrong method does nothing"
            client = await connect(rig)
            client.writer.write(b"nonsense\r\n\r\n")
            assert (await read_message(client.reader) or HttpMessage("x 0", {}, b"")).status == 400

    run(test())


def test_silent_connections_keep_no_others_out() -> None:
    async def test() -> None:
        async with rig_with_console() as rig:
            silent = [await connect(rig) for _ in range(MAX_CONNECTIONS * 3)]
            for half in silent[::2]:
                half.writer.write(b"GET /sta")
            assert (await request(rig, "GET", "/status")).status == 200
            console = rig.host.console
            assert console is not None
            assert len(console.connections) <= MAX_CONNECTIONS
            for connection in console.connections:
                connection.opened_at -= 10_000
            console.close_expired(rig.host.clock.now())
            await wait_until(lambda: not console.connections)
            for client in silent:
                client.writer.transport.abort()

    run(test())


def without_age(text: str) -> list[str]:
    """Returns the metrics that do not change with time."""
    return [line for line in text.splitlines() if not line.startswith("svc_registry_age_ms")]


def test_a_response_longer_than_the_socket_buffer_arrives_complete() -> None:
    async def test() -> None:
        async with rig_with_console() as rig:
            rig.host.metrics.add_classes(f"class-{n}" for n in range(40_000))
            text = rig.host.metrics_text()
            assert len(text) > 8 << 20
            received = (await request(rig, "GET", "/status/metrics")).body.decode()
            assert without_age(received) == without_age(text)

    run(test())


def test_standby_closes_client_connections_and_active_ends_it() -> None:
    async def test() -> None:
        async with rig_with_console() as rig:
            used, idle = await rig.connect(), await rig.connect()
            assert (await used.request()).status == (await idle.request()).status == 200
            assert (await request(rig, "POST", "/standby")).status == 200
            ready = await rig.request(path="/health/ready")
            assert ready.status == 503
            asked = await used.request()
            assert (asked.status, asked.headers["connection"]) == (200, "close")
            assert (await rig.request()).status == 200, "requests that still arrive are served"
            rig.host.lifecycle.entered_at -= 1_600
            assert await idle.receive() is None, "idle connections are closed"
            await wait_until(lambda: not rig.host.frontend.clients)
            assert (await request(rig, "POST", "/standby")).status == 200
            assert (await request(rig, "POST", "/active")).status == 200
            assert (await rig.request(path="/health/ready")).status == 200
            assert "connection" not in (await rig.request()).headers

    run(test())


def test_a_process_that_is_stopping_cannot_become_active() -> None:
    async def test() -> None:
        async with rig_with_console() as rig:
            held = await rig.connect()
            # an incomplete request delays the end of the process
            held.send("PUT", body=None, content_length="5")
            await wait_until(lambda: any(c.arriving for c in rig.host.frontend.clients))
            rig.host.stop()
            assert (await request(rig, "POST", "/active")).status == 409
            assert (await request(rig, "GET", "/status")).status == 503
            rig.host.stop_deadline = float("inf")

    run(test())


def test_an_inherited_socket_is_accepted_from_and_left_open_for_others() -> None:
    async def test() -> None:
        listener = socket.create_server(ANY)
        rig = Rig(serve_value, config_options={"accept_fd": os.dup(listener.fileno())})
        async with rig:
            assert rig.port == listener.getsockname()[1]
            assert (await rig.request()).status == 200
        late = socket.create_connection(listener.getsockname())
        taken, _ = listener.accept()
        taken.close()
        late.close()
        listener.close()

    run(test())


def test_an_error_names_the_inherited_descriptor_that_is_not_a_listener() -> None:
    with socket.socket() as idle:
        with pytest.raises(OSError, match=f"descriptor {idle.fileno()} .*ROUTER_ACCEPT_FD"):
            inherit_listener(idle.fileno())
