"""Races of a client's close with a dial, a retry, a hedge and pipelined requests: no attempt starts for a
client that has gone, and attempts sent before may still be answered. A full close and a half-close look the
same."""

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
from notchflow.net import client as client_module
from notchflow.net.request_reader import MAX_PIPELINED
from tests.crossings.forced import HeldDials, assert_all_finished, half_close
from tests.rig import Client, HttpMessage, Rig, Script, run, serve_value, wait_until

LIMITS = Limits(max_attempts=3, second_copies=True, cancel=True, connect_timeout_ms=5_000.0)
CLOSES: tuple[Callable[[Client], None], ...] = (half_close, Client.reset)


@pytest.fixture(autouse=True)
def no_half_closed_grace(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sets the grace after a half-close to zero, so that no test waits for it."""
    monkeypatch.setattr(client_module, "HALF_CLOSED_GRACE_MS", 0.0)


def make_rig(*scripts: Script, **limits: Any) -> Rig:
    rig = Rig(*scripts)
    rig.settings = replace(rig.settings, limits=replace(LIMITS, **limits))
    return rig


async def wait_until_gone(rig: Rig, client: Client) -> None:
    """Waits until the proxy has read the client's close and its clock has advanced."""
    port = client.writer.get_extra_info("sockname")[1]
    await wait_until(lambda: all(c.half_closed for c in rig.host.frontend.clients if peer_port(c) == port))
    then = rig.host.clock.now()
    await wait_until(lambda: rig.host.clock.now() > then)


def peer_port(client: client_module.ClientConnection) -> int:
    assert client.transport is not None
    return int(client.transport.get_extra_info("peername")[1])


class Gate:
    """A node that holds back its answer until `open` is set."""

    def __init__(self, then: Script) -> None:
        self.open = asyncio.Event()
        self.then = then

    async def __call__(self, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        await self.open.wait()
        await self.then(request, writer)


async def reset_connection(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("end", CLOSES)
def test_a_dial_that_succeeds_after_the_client_has_gone_sends_nothing(
    end: Callable[[Client], None], cancel: bool
) -> None:
    async def test() -> None:
        async with make_rig(serve_value, serve_value, cancel=cancel) as rig:
            dials = HeldDials(rig)
            client = await rig.connect()
            client.send()
            await wait_until(lambda: dials.waiting)
            end(client)
            await wait_until_gone(rig, client)
            dials.released.set()
            await assert_all_finished(rig)
            assert rig.forwarded_count == 0

    run(test())


def test_a_half_closed_client_gets_503_if_nothing_ran() -> None:
    async def test() -> None:
        async with make_rig(serve_value) as rig:
            dials = HeldDials(rig)
            client = await rig.connect()
            client.send(X_Call_Class="once", method="PUT", body=b"paid")
            await wait_until(lambda: dials.waiting)
            half_close(client)
            await wait_until_gone(rig, client)
            dials.released.set()
            response = await client.receive()
            assert response is not None and response.status == 503
            assert await client.reader.read() == b""
            await assert_all_finished(rig)
            assert rig.forwarded_count == 0

    run(test())


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("end", CLOSES)
def test_a_failed_attempt_is_not_retried_for_a_client_that_has_gone(
    end: Callable[[Client], None], cancel: bool
) -> None:
    async def test() -> None:
        gate = Gate(reset_connection)
        async with make_rig(gate, gate, gate, cancel=cancel) as rig:
            outcomes = rig.record_events(Outcome)
            client = await rig.connect()
            client.send()
            await wait_until(lambda: rig.forwarded_count)
            end(client)
            await wait_until_gone(rig, client)
            gate.open.set()
            await wait_until(lambda: outcomes)
            await assert_all_finished(rig)
            assert rig.forwarded_count == 1

    run(test())


STALL_S = 0.15
HALF_CLOSED_GRACE_MS = client_module.HALF_CLOSED_GRACE_MS  # the real value, before `no_half_closed_grace`


@pytest.mark.parametrize("cancel", [True, False])
def test_a_close_that_is_unread_during_a_stall_counts(cancel: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against attempts that start more than 0.1 s after a close that was not read yet."""
    monkeypatch.setattr(client_module, "HALF_CLOSED_GRACE_MS", HALF_CLOSED_GRACE_MS)

    async def test() -> None:
        gate = Gate(reset_connection)
        async with make_rig(gate, gate, gate, cancel=cancel) as rig:
            outcomes = rig.record_events(Outcome)
            client = await rig.connect()
            client.send()
            await wait_until(lambda: rig.forwarded_count)
            node = next(writer for node in rig.nodes for writer in node.open)
            for writer in (node, client.writer):  # both closes are in the kernel before the process continues
                with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as same:
                    same.shutdown(socket.SHUT_WR)
            time.sleep(STALL_S)
            await wait_until(lambda: outcomes)
            gate.open.set()
            await assert_all_finished(rig)
            assert rig.forwarded_count == 1

    run(test())


def test_an_attempt_sent_before_the_half_close_is_still_answered() -> None:
    async def test() -> None:
        gate = Gate(serve_value)
        async with make_rig(gate) as rig:
            client = await rig.connect()
            client.send()
            await wait_until(lambda: rig.forwarded_count)
            half_close(client)
            await wait_until_gone(rig, client)
            gate.open.set()
            response = await client.receive()
            assert response is not None and response.status == 200
            await assert_all_finished(rig)

    run(test())


@pytest.mark.parametrize("end", CLOSES)
def test_no_hedge_is_sent_for_a_client_that_has_gone(end: Callable[[Client], None]) -> None:
    async def test() -> None:
        gate = asyncio.Event()

        async def gated(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
            if "held" in request.line:
                await gate.wait()
            await serve_value(request, writer)

        async with make_rig(gated, gated, cancel=False) as rig:
            rig.host.balancer.fleet.class_latency_ms["read"] = 50.0  # a hedge is due after 150 ms
            client, other = await rig.connect(), await rig.connect()
            client.send(path="/api/00aa?held")
            await wait_until(lambda: rig.forwarded_count)
            number = next(iter(rig.host.active_requests))
            end(client)
            await wait_until_gone(rig, client)
            copies = rig.host.balancer.hedges
            while any(asked == number for _, asked in copies.queue):  # later ones are served: no queue
                await other.request(path="/api/00aa")
            assert sum("held" in s.line for node in rig.nodes for s in node.received) == 1
            gate.set()
            await assert_all_finished(rig)
            assert sum("held" in s.line for node in rig.nodes for s in node.received) == 1

    run(test())


@pytest.mark.parametrize("end", CLOSES)
def test_no_pipelined_request_starts_once_the_client_has_gone(
    end: Callable[[Client], None],
) -> None:
    """With so many that reading pauses, so that the client's close stays unread behind them."""

    async def test() -> None:
        gate = Gate(serve_value)
        async with make_rig(gate) as rig:
            client = await rig.connect()
            for _ in range(3 * MAX_PIPELINED):
                client.send()
            await wait_until(
                lambda: any(c.pipeline_full for c in rig.host.frontend.clients) and rig.forwarded_count
            )
            end(client)
            await wait_until(lambda: all(c.has_left(rig.host.clock.now()) for c in rig.host.frontend.clients))
            gate.open.set()
            await assert_all_finished(rig)
            assert rig.forwarded_count == 1

    run(test())


def test_no_first_attempt_starts_if_request_and_close_were_unread_during_a_stall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against first attempts that start more than 0.1 s after their client's close."""
    monkeypatch.setattr(client_module, "HALF_CLOSED_GRACE_MS", HALF_CLOSED_GRACE_MS)

    async def test() -> None:
        async with make_rig(serve_value) as rig:
            client = await rig.connect()
            assert (await client.request()).status == 200  # leaves an idle connection to the node
            stalls = rig.host.stalls
            then = stalls.last_running_at
            await wait_until(lambda: stalls.last_running_at > then)
            client.send()
            half_close(client)
            time.sleep(STALL_S)
            response = await client.receive()
            assert response is not None and response.status == 503
            await assert_all_finished(rig)
            assert rig.forwarded_count == 1 and rig.host.metrics.classes["read"].departed == 1

    run(test())


def test_a_request_sent_together_with_a_half_close_is_served_without_a_stall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_module, "HALF_CLOSED_GRACE_MS", HALF_CLOSED_GRACE_MS)

    async def test() -> None:
        async with make_rig(serve_value) as rig:
            client = await rig.connect()
            client.send()
            half_close(client)
            response = await client.receive()
            assert response is not None and response.status == 200
            await assert_all_finished(rig)

    run(test())
