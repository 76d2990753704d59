"""Races of a node's response or close with the client's reset, the deadline, the connect timeout and the next
request: there is one final answer, nothing is sent twice, and nothing is left behind."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from notchflow.interface import Outcome, Status
from tests.crossings.forced import HeldDials, assert_all_finished
from tests.crossings.test_client_gone import LIMITS, make_rig
from tests.rig import HttpMessage, Rig, answer, run, serve_value, wait_until


class ManualNode:
    """A node that leaves its answers to the test."""

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []

    async def __call__(self, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)


@pytest.mark.parametrize("answer_first", [True, False])
@pytest.mark.parametrize("cls", ["read", "once"])
def test_a_response_and_the_clients_reset_in_one_loop_iteration(cls: str, answer_first: bool) -> None:
    async def test() -> None:
        node = ManualNode()
        async with make_rig(node) as rig:
            outcomes = rig.record_events(Outcome)
            client = await rig.connect()
            client.send("PUT", body=b"x", X_Call_Class=cls)
            await wait_until(lambda: node.writers)
            steps = [lambda: node.writers[0].write(answer()), client.reset]
            for step in steps if answer_first else steps[::-1]:
                step()  # both are in the kernel before the proxy's next loop iteration
            await assert_all_finished(rig)
            assert rig.forwarded_count == 1 and len(outcomes) == 1
            assert outcomes[0].status in (Status.OK, Status.CANCELLED)

    run(test())


@pytest.mark.parametrize("cls", ["read", "once"])
def test_a_response_unread_at_the_deadline_causes_at_most_one_answer(cls: str) -> None:
    async def test() -> None:
        node = ManualNode()
        async with make_rig(node) as rig:
            client = await rig.connect()
            client.send("PUT", body=b"x", X_Call_Class=cls, X_Budget="0.5")
            await wait_until(lambda: node.writers)
            (item,) = rig.host.active_requests.values()
            node.writers[0].write(answer())
            rig.host._on_deadline(item.id)  # before the proxy reads it
            response = await client.receive()
            assert response is not None
            assert response.status == (504 if cls == "once" else 503)  # repeating a read is harmless
            client.send(path="/health/ready")
            response = await client.receive()
            assert (
                response is not None and response.status == 200 and not response.body
            ), "no second answer was sent"
            await assert_all_finished(rig)

    run(test())


def test_a_dial_that_succeeds_as_it_times_out_sends_nothing() -> None:
    async def test() -> None:
        async with make_rig(serve_value, connect_timeout_ms=60_000.0) as rig:
            dials = HeldDials(rig)
            client = await rig.connect()
            client.send("PUT", body=b"paid", X_Call_Class="once", X_Budget="0.4")
            await wait_until(lambda: dials.waiting)
            (pool,) = rig.host.pools.values()
            (connection,) = pool.dials
            dials.released.set()
            pool._connect_timed_out(connection)
            response = await client.receive()
            assert response is not None and response.status == 503, "it never ran"
            await assert_all_finished(rig)
            assert rig.forwarded_count == 0

    run(test())


@pytest.mark.parametrize("cls", ["read", "once"])
def test_a_request_on_a_connection_whose_close_is_unread_runs_at_most_once(cls: str) -> None:
    async def test() -> None:
        async with Rig(serve_value, serve_value) as rig:
            rig.settings = replace(rig.settings, limits=LIMITS)
            outcomes = rig.record_events(Outcome)
            client = await rig.connect()
            assert (await client.request("PUT", body=b"x", X_Call_Class=cls)).status == 200
            (pool,) = [p for p in rig.host.pools.values() if p.idle]
            node = next(n for n in rig.nodes if n.port == pool.address[1])
            sent = rig.forwarded_count
            for writer in node.open:
                writer.transport.abort()
            client.send("PUT", body=b"y", X_Call_Class=cls)  # ready together with the close
            response = await client.receive()
            assert response is not None
            ran = rig.forwarded_count - sent
            if response.status == 200:
                assert ran == 1
            else:
                assert cls == "once" and ran == 0 and outcomes[-1].status is Status.RESET
            await assert_all_finished(rig)

    run(test())


def test_a_hedge_whose_dial_succeeds_after_the_answer_is_not_sent() -> None:
    """Also if the settings forbid cancelling: a finished request starts nothing."""
    gate = asyncio.Event()

    async def gated(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        if "held" in request.line:
            await gate.wait()
        await serve_value(request, writer)

    async def test() -> None:
        async with make_rig(gated, gated, cancel=False) as rig:
            rig.host.balancer.fleet.class_latency_ms["read"] = 50.0  # a hedge is due after 150 ms
            client, other = await rig.connect(), await rig.connect()
            dials = HeldDials(rig, free=2)
            client.send(path="/api/00aa?held")
            await wait_until(lambda: rig.forwarded_count)
            while dials.waiting < 3:  # later requests are served, so that the node has no queue
                await other.request(path="/api/00aa")
                await rig.wait_for_reuse()
            gate.set()
            response = await client.receive()
            assert response is not None and response.status == 200
            dials.released.set()
            await assert_all_finished(rig)
            assert sum("held" in s.line for node in rig.nodes for s in node.received) == 1

    run(test())
