"""Every outcome of an attempt, and the answer that the client gets for it, over loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from notchflow.interface import Outcome, Status
from tests.rig import CLASSES, HttpMessage, Rig, Script, answer, run, serve_value, wait_until


def replies(data: bytes, close: bool = False) -> Script:
    """Returns a node that answers every request with these bytes."""

    async def script(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        if close:
            writer.close()

    return script


async def hangs(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
    """A node that never answers."""


async def resets(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
    """A node that resets the connection when a request arrives."""
    writer.transport.abort()


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SWITCH = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
ROWS: list[tuple[Script, Status, int]] = [
    (serve_value, Status.OK, 200),
    (replies(answer(status="500 Internal Server Error")), Status.ERROR, 502),
    (replies(answer(status="503 Service Unavailable", X_Rejected="1")), Status.FULL, 503),
    (replies(answer(status="504 Gateway Timeout", X_Rejected="1")), Status.FULL, 503),
    (replies(answer(status="503 Service Unavailable")), Status.ERROR, 502),
    (replies(answer(status="404 Not Found")), Status.ERROR, 502),
    (resets, Status.RESET, 502),
    (replies(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", close=True), Status.RESET, 502),
    (replies(CHUNKED + b"5\r\nshort\r\n", close=True), Status.RESET, 502),
    (replies(b"no HTTP at all\r\n\r\n"), Status.RESET, 502),
    (replies(b"HTTP/1.1 banana\r\n\r\n"), Status.RESET, 502),
    (replies(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc"), Status.RESET, 502),
    (replies(SWITCH), Status.RESET, 502),
    (replies(b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nthe first of it"), Status.RESET, 502),
    (replies(b"HTTP/1.1 200 OK\r\nX-Long: " + b"a" * 40_000), Status.RESET, 502),
    (hangs, Status.TIMEOUT, 504),
]


@pytest.mark.parametrize("script,status,final", ROWS)
def test_an_unsafe_request_gets_the_outcome_and_is_never_sent_twice(
    script: Script, status: Status, final: int
) -> None:
    async def test() -> None:
        async with Rig(script) as rig:
            outcomes = rig.record_events(Outcome)
            budget = "0.2" if status is Status.TIMEOUT else "5"
            seen = await rig.request("PUT", body=b"paid", X_Call_Class="once", X_Budget=budget)
            assert (seen.status, [o.status for o in outcomes]) == (final, [status])
            assert rig.forwarded_count == 1
            assert not rig.host.active_requests and not rig.host.balancer.pending

    run(test())


@pytest.mark.parametrize("script,status", [(s, t) for s, t, _ in ROWS if t in (Status.RESET, Status.ERROR)])
def test_a_read_goes_to_another_node_and_no_broken_connection_is_kept(script: Script, status: Status) -> None:
    async def test() -> None:
        async with Rig(script, script, serve_value) as rig:
            outcomes = rig.record_events(Outcome)
            number = 0
            while len(outcomes) == number:  # until the first attempt of a request goes to a broken node
                number += 1
                seen = await rig.request(path=f"/api/{number:016x}")
                assert (seen.status, seen.body) == (200, b"value of /api/%016x" % number)
            assert {o.status for o in outcomes} == {status, Status.OK}
            if status is Status.RESET:
                idle = [p for p in rig.host.pools.values() if p.idle]
                assert len(idle) == 1 and idle[0].address[1] == rig.nodes[2].port

    run(test())


def test_a_refused_connection_proves_that_nothing_ran() -> None:
    async def test() -> None:
        async with Rig(serve_value, serve_value) as rig:
            outcomes = rig.record_events(Outcome)
            rig.nodes[0].stop()
            for number in range(8):
                seen = await rig.request("PUT", f"/api/{number:016x}", b"paid", X_Call_Class="once")
                assert seen.status == 200, "an attempt that never ran is retried, unsafe or not"
            assert Status.CONNECT_FAILED in {o.status for o in outcomes}
            assert rig.forwarded_count == 8

    run(test())


def test_surplus_bytes_after_an_answer_close_the_connection_only() -> None:
    async def test() -> None:
        async with Rig(replies(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue and more")) as rig:
            client = await rig.connect()
            for _ in range(2):
                seen = await client.request()
                assert (seen.status, seen.body) == (200, b"value")
            assert rig.nodes[0].connections == 2

    run(test())


def test_an_answer_before_the_request_is_written_is_an_error() -> None:
    async def answer_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(answer())
        await asyncio.Event().wait()

    async def test() -> None:
        async with Rig() as rig:
            outcomes = rig.record_events(Outcome)
            rig.nodes[0].stop()
            server = await asyncio.start_server(answer_early, "127.0.0.1", rig.nodes[0].port, limit=1)
            client = await rig.connect()
            client.send("PUT", body=b"x" * (16 << 20), X_Call_Class="once")
            seen = await client.receive()
            assert seen is not None and seen.status == 502
            assert [o.status for o in outcomes] == [Status.RESET]
            server.close()
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()

    run(test())


def test_interim_answers_and_trailers_are_dropped() -> None:
    data = (
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        b"X-Kept: yes\r\n\r\n5\r\nvalue\r\n0\r\nX-Hit: hit\r\nX-Late: yes\r\n\r\n"
    )

    async def test() -> None:
        async with Rig(replies(data)) as rig:
            outcomes = rig.record_events(Outcome)
            seen = await rig.request()
            assert (seen.status, seen.body, seen.headers["x-kept"]) == (200, b"value", "yes")
            assert "link" not in seen.headers and "x-late" not in seen.headers
            assert seen.headers["content-length"] == "5" and "transfer-encoding" not in seen.headers
            assert outcomes[0].hit is None

    run(test())


def test_a_body_may_be_delimited_by_the_end_of_the_connection() -> None:
    async def test() -> None:
        async with Rig(replies(b"HTTP/1.1 200 OK\r\nX-Hit: miss\r\n\r\nvalue", close=True)) as rig:
            outcomes = rig.record_events(Outcome)
            seen = await rig.request()
            assert (seen.status, seen.body) == (200, b"value")
            assert outcomes[0].hit is False

    run(test())


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    data = (
        b"HTTP/1.1 200 OK\r\nConnection: close, X-Private\r\nX-Private: 1\r\nX-Kept: 2\r\n"
        b"Keep-Alive: 5\r\nContent-Length: 5\r\n\r\nvalue"
    )

    async def test() -> None:
        async with Rig(replies(data, close=True)) as rig:
            client = await rig.connect()
            seen = await client.request(Connection="keep-alive, X-Hop", X_Hop="1", X_Kept="2")
            assert seen.headers["x-kept"] == "2"
            assert not {"connection", "x-private", "keep-alive"} & seen.headers.keys()
            got = rig.nodes[0].received[0].headers
            assert got["x-kept"] == "2" and not {"x-hop", "connection"} & got.keys()
            assert (await client.request()).status == 200, "the client's own connection is kept"

    run(test())


def test_line_headers_and_body_reach_the_node_unchanged() -> None:
    async def test() -> None:
        async with Rig() as rig:
            await rig.request(
                "PUT",
                "/api/00aa?x=1&y=%20",
                b"body",
                X_Call_Id="77",
                Idempotency_Key="k-1",
                X_Call_Class="keyed",
                X_Budget="2.5",
            )
            got = rig.nodes[0].received[0]
            assert (got.line, got.body) == ("PUT /api/00aa?x=1&y=%20 HTTP/1.1", b"body")
            assert (got.headers["x-call-id"], got.headers["idempotency-key"]) == ("77", "k-1")
            assert 0 < float(got.headers["x-budget"]) <= 2.5

    run(test())


@pytest.mark.parametrize("window,times", [(5_000.0, 2), (5.5, 1)])
def test_a_keyed_request_is_retried_within_its_window_only(window: float, times: int) -> None:
    classes = tuple(replace(c, window_ms=window) if c.name == "keyed" else c for c in CLASSES)

    async def slow_reset(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.02)  # longer than the shorter window
        writer.transport.abort()

    async def test() -> None:
        async with Rig(slow_reset, slow_reset, classes=classes) as rig:
            seen = await rig.request("PUT", body=b"x", X_Call_Class="keyed", Idempotency_Key="k")
            assert seen.status in (502, 503)
            assert rig.forwarded_count == times

    run(test())


async def end_before_answer(rig: Rig, end: Callable[[], None], gate: asyncio.Event) -> None:
    """Ends a request by something else while its node holds the answer back."""
    client = await rig.connect()
    client.send()
    await wait_until(lambda: rig.forwarded_count)
    end()
    await wait_until(lambda: not rig.host.active_requests)
    gate.set()
    assert not rig.host.balancer.pending


def test_a_disconnected_client_ends_its_request_and_a_late_answer_is_dropped() -> None:
    gate = asyncio.Event()

    async def held(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
        await gate.wait()
        writer.write(answer())

    async def test() -> None:
        async with Rig(held) as rig:
            outcomes = rig.record_events(Outcome)
            await end_before_answer(rig, lambda: rig.clients[0].reset(), gate)
            assert [o.status for o in outcomes] == [Status.CANCELLED]
            assert (await rig.request()).status == 200

    run(test())


def test_at_the_deadline_the_client_gets_one_answer_and_a_late_one_is_dropped() -> None:
    gate = asyncio.Event()

    async def held(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
        if len(rig.nodes[0].received) == 1:
            await gate.wait()
        writer.write(answer())

    async def test() -> None:
        async with rig:
            outcomes = rig.record_events(Outcome)
            client = await rig.connect()
            seen = await client.request(X_Budget="0.15")
            assert seen.status in (503, 504)
            gate.set()
            assert (await client.request()).status == 200, "no bytes of the late answer may precede it"
            assert [o.status for o in outcomes] == [Status.TIMEOUT, Status.OK]

    rig = Rig(held)
    run(test())


def test_a_request_that_the_policy_ignores_ends_at_its_deadline() -> None:
    async def test() -> None:
        async with Rig() as rig:
            rig.host.balancer.handle = lambda now, event: []  # type: ignore[method-assign]
            assert (await rig.request(X_Budget="0.1")).status == 504
            assert rig.forwarded_count == 0 and not rig.host.active_requests

    run(test())


def test_an_exception_in_the_policy_fails_one_request_only() -> None:
    async def test() -> None:
        async with Rig() as rig:
            handle = rig.host.balancer.handle
            broken = [True]

            def failing(now: float, event: Any) -> Any:
                if broken and type(event).__name__ == "Request":
                    broken.clear()
                    raise KeyError("a mistake")
                return handle(now, event)

            rig.host.balancer.handle = failing  # type: ignore[method-assign]
            client = await rig.connect()
            assert (await client.request()).status == 502
            assert (await client.request()).status == 200

    run(test())
