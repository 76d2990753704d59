"""A client's end crosses a dial, a further attempt, a second copy, requests sent ahead: nothing begins for
who has gone, and what went out before may still be answered. A full close and a half-close look the same."""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from notchflow.interface import Limits, Outcome
from notchflow.net import client as downstream
from notchflow.net.request_reader import MAX_PIPELINED
from tests.crossings.forced import Dials, all_over, ends_sending
from tests.rig import Client, Rig, Script, Seen, run, serve_value, until

LIMITS = Limits(max_attempts=3, second_copies=True, cancel=True, connect_timeout_ms=5_000.0)
ENDS: tuple[Callable[[Client], None], ...] = (ends_sending, Client.reset)


@pytest.fixture(autouse=True)
def at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is allowed for a moment after the end is over at once, so that no test waits for it."""
    monkeypatch.setattr(downstream, "HALF_CLOSED_GRACE_MS", 0.0)


def rig_of(*scripts: Script, **limits: Any) -> Rig:
    rig = Rig(*scripts)
    rig.settings = replace(rig.settings, limits=replace(LIMITS, **limits))
    return rig


async def seen_to_go(rig: Rig, client: Client) -> None:
    """The proxy has read the client's end, and its clock has moved on."""
    port = client.writer.get_extra_info("sockname")[1]
    await until(lambda: all(c.half_closed for c in rig.host.frontend.clients if peer_port(c) == port))
    then = rig.host.clock.now()
    await until(lambda: rig.host.clock.now() > then)


def peer_port(client: downstream.ClientConnection) -> int:
    assert client.transport is not None
    return int(client.transport.get_extra_info("peername")[1])


class Gate:
    """A node that holds its answer until it may go on."""

    def __init__(self, then: Script) -> None:
        self.open = asyncio.Event()
        self.then = then

    async def __call__(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        await self.open.wait()
        await self.then(seen, writer)


async def resets(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("end", ENDS)
def test_a_dial_that_is_done_after_the_client_has_gone_sends_nothing(
    end: Callable[[Client], None], cancel: bool
) -> None:
    async def test() -> None:
        async with rig_of(serve_value, serve_value, cancel=cancel) as rig:
            dials = Dials(rig)
            client = await rig.connect()
            client.send()
            await until(lambda: dials.waiting)
            end(client)
            await seen_to_go(rig, client)
            dials.up.set()
            await all_over(rig)
            assert rig.sent == 0

    run(test())


def test_who_sends_no_more_is_told_that_nothing_ran() -> None:
    async def test() -> None:
        async with rig_of(serve_value) as rig:
            dials = Dials(rig)
            client = await rig.connect()
            client.send(X_Call_Class="once", method="PUT", body=b"paid")
            await until(lambda: dials.waiting)
            ends_sending(client)
            await seen_to_go(rig, client)
            dials.up.set()
            seen = await client.receive()
            assert seen is not None and seen.status == 503
            assert await client.reader.read() == b""
            await all_over(rig)
            assert rig.sent == 0

    run(test())


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("end", ENDS)
def test_a_failed_attempt_is_not_followed_by_one_for_a_client_that_has_gone(
    end: Callable[[Client], None], cancel: bool
) -> None:
    async def test() -> None:
        gate = Gate(resets)
        async with rig_of(gate, gate, gate, cancel=cancel) as rig:
            told = rig.told(Outcome)
            client = await rig.connect()
            client.send()
            await until(lambda: rig.sent)
            end(client)
            await seen_to_go(rig, client)
            gate.open.set()
            await until(lambda: told)
            await all_over(rig)
            assert rig.sent == 1

    run(test())


STALL_S = 0.15
HALF_CLOSED_GRACE_MS = downstream.HALF_CLOSED_GRACE_MS  # as it is, before `at_once`


@pytest.mark.parametrize("cancel", [True, False])
def test_a_client_s_end_that_lies_unread_through_a_stall_counts(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against attempts that begin over 0.1 s after an end that was not read yet."""
    monkeypatch.setattr(downstream, "HALF_CLOSED_GRACE_MS", HALF_CLOSED_GRACE_MS)

    async def test() -> None:
        gate = Gate(resets)
        async with rig_of(gate, gate, gate, cancel=cancel) as rig:
            told = rig.told(Outcome)
            client = await rig.connect()
            client.send()
            await until(lambda: rig.sent)
            node = next(writer for node in rig.nodes for writer in node.open)
            for writer in (node, client.writer):  # in the kernel at once, before the process goes on
                with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as same:
                    same.shutdown(socket.SHUT_WR)
            time.sleep(STALL_S)
            await until(lambda: told)
            gate.open.set()
            await all_over(rig)
            assert rig.sent == 1

    run(test())


def test_what_went_out_before_the_client_s_end_still_brings_its_answer() -> None:
    async def test() -> None:
        gate = Gate(serve_value)
        async with rig_of(gate) as rig:
            client = await rig.connect()
            client.send()
            await until(lambda: rig.sent)
            ends_sending(client)
            await seen_to_go(rig, client)
            gate.open.set()
            seen = await client.receive()
            assert seen is not None and seen.status == 200
            await all_over(rig)

    run(test())


@pytest.mark.parametrize("end", ENDS)
def test_no_second_copy_goes_out_for_a_client_that_has_gone(end: Callable[[Client], None]) -> None:
    async def test() -> None:
        gate = asyncio.Event()

        async def held(seen: Seen, writer: asyncio.StreamWriter) -> None:
            if "held" in seen.line:
                await gate.wait()
            await serve_value(seen, writer)

        async with rig_of(held, held, cancel=False) as rig:
            rig.host.balancer.fleet.class_latency_ms["read"] = 50.0  # a second copy is due after 150 ms
            client, other = await rig.connect(), await rig.connect()
            client.send(path="/api/00aa?held")
            await until(lambda: rig.sent)
            number = next(iter(rig.host.active_requests))
            end(client)
            await seen_to_go(rig, client)
            copies = rig.host.balancer.hedges
            while any(asked == number for _, asked in copies.queue):  # what came later is served: no queue
                await other.ask(path="/api/00aa")
            assert sum("held" in s.line for node in rig.nodes for s in node.seen) == 1
            gate.set()
            await all_over(rig)
            assert sum("held" in s.line for node in rig.nodes for s in node.seen) == 1

    run(test())


@pytest.mark.parametrize("end", ENDS)
def test_of_many_requests_sent_ahead_none_begins_once_the_client_has_gone(
    end: Callable[[Client], None],
) -> None:
    """So many that nothing more is read: the client's end lies unread behind them."""

    async def test() -> None:
        gate = Gate(serve_value)
        async with rig_of(gate) as rig:
            client = await rig.connect()
            for _ in range(3 * MAX_PIPELINED):
                client.send()
            await until(lambda: any(c.pipeline_full for c in rig.host.frontend.clients) and rig.sent)
            end(client)
            await until(lambda: all(c.has_left(rig.host.clock.now()) for c in rig.host.frontend.clients))
            gate.open.set()
            await all_over(rig)
            assert rig.sent == 1

    run(test())


def test_a_first_attempt_does_not_begin_where_request_and_end_lay_unread_through_a_stall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against first attempts that begin over 0.1 s after their client's end."""
    monkeypatch.setattr(downstream, "HALF_CLOSED_GRACE_MS", HALF_CLOSED_GRACE_MS)

    async def test() -> None:
        async with rig_of(serve_value) as rig:
            client = await rig.connect()
            assert (await client.ask()).status == 200  # so that an idle connection to the node is there
            stalls = rig.host.stalls
            then = stalls.last_running_at
            await until(lambda: stalls.last_running_at > then)
            client.send()
            ends_sending(client)
            time.sleep(STALL_S)
            seen = await client.receive()
            assert seen is not None and seen.status == 503
            await all_over(rig)
            assert rig.sent == 1 and rig.host.metrics.classes["read"].departed == 1

    run(test())


def test_a_request_whose_end_comes_along_with_it_is_served_after_no_stall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(downstream, "HALF_CLOSED_GRACE_MS", HALF_CLOSED_GRACE_MS)

    async def test() -> None:
        async with rig_of(serve_value) as rig:
            client = await rig.connect()
            client.send()
            ends_sending(client)
            seen = await client.receive()
            assert seen is not None and seen.status == 200
            await all_over(rig)

    run(test())
