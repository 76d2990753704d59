"""A node's answer or its end crosses the client's reset, the deadline, the dial's time, the next request: one
final answer, nothing sent twice, and nothing left behind."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from notchflow.interface import Outcome, Status
from tests.crossings.forced import Dials, all_over
from tests.crossings.test_client_gone import LIMITS, rig_of
from tests.rig import Rig, Seen, answer, run, serve_value, until


class Silent:
    """A node that answers when the test says so."""

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []

    async def __call__(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)


@pytest.mark.parametrize("answer_first", [True, False])
@pytest.mark.parametrize("cls", ["read", "once"])
def test_an_answer_and_the_client_s_reset_in_one_turn(cls: str, answer_first: bool) -> None:
    async def test() -> None:
        node = Silent()
        async with rig_of(node) as rig:
            told = rig.told(Outcome)
            client = await rig.connect()
            client.send("PUT", body=b"x", X_Call_Class=cls)
            await until(lambda: node.writers)
            steps = [lambda: node.writers[0].write(answer()), client.reset]
            for step in steps if answer_first else steps[::-1]:
                step()  # both lie in the system before the proxy's next turn
            await all_over(rig)
            assert rig.sent == 1 and len(told) == 1
            assert told[0].status in (Status.OK, Status.CANCELLED)

    run(test())


@pytest.mark.parametrize("cls", ["read", "once"])
def test_an_answer_that_lies_unread_at_the_deadline_is_one_answer_or_none(cls: str) -> None:
    async def test() -> None:
        node = Silent()
        async with rig_of(node) as rig:
            client = await rig.connect()
            client.send("PUT", body=b"x", X_Call_Class=cls, X_Budget="0.5")
            await until(lambda: node.writers)
            (item,) = rig.host.active_requests.values()
            node.writers[0].write(answer())
            rig.host._on_deadline(item.id)  # before the proxy reads it
            seen = await client.receive()
            assert seen is not None
            assert seen.status == (504 if cls == "once" else 503)  # a repeat of a read is harmless
            client.send(path="/health/ready")
            seen = await client.receive()
            assert seen is not None and seen.status == 200 and not seen.body, "no second answer came between"
            await all_over(rig)

    run(test())


def test_a_dial_that_is_done_in_the_turn_in_which_its_time_is_over_sends_nothing() -> None:
    async def test() -> None:
        async with rig_of(serve_value, connect_timeout_ms=60_000.0) as rig:
            dials = Dials(rig)
            client = await rig.connect()
            client.send("PUT", body=b"paid", X_Call_Class="once", X_Budget="0.4")
            await until(lambda: dials.waiting)
            (pool,) = rig.host.pools.values()
            (connection,) = pool.dials
            dials.up.set()
            pool._connect_timed_out(connection)
            seen = await client.receive()
            assert seen is not None and seen.status == 503, "it never ran"
            await all_over(rig)
            assert rig.sent == 0

    run(test())


@pytest.mark.parametrize("cls", ["read", "once"])
def test_a_request_on_a_connection_whose_end_lies_unread_runs_once_at_most(cls: str) -> None:
    async def test() -> None:
        async with Rig(serve_value, serve_value) as rig:
            rig.settings = replace(rig.settings, limits=LIMITS)
            told = rig.told(Outcome)
            client = await rig.connect()
            assert (await client.ask("PUT", body=b"x", X_Call_Class=cls)).status == 200
            (pool,) = [p for p in rig.host.pools.values() if p.idle]
            node = next(n for n in rig.nodes if n.port == pool.address[1])
            sent = rig.sent
            for writer in node.open:
                writer.transport.abort()
            client.send("PUT", body=b"y", X_Call_Class=cls)  # both are there as the proxy turns
            seen = await client.receive()
            assert seen is not None
            ran = rig.sent - sent
            if seen.status == 200:
                assert ran == 1
            else:
                assert cls == "once" and ran == 0 and told[-1].status is Status.RESET
            await all_over(rig)

    run(test())


def test_a_hedged_request_whose_dial_is_done_after_the_answer_is_not_sent() -> None:
    """Also where nothing may be cancelled: what is over can start nothing."""
    gate = asyncio.Event()

    async def held(seen: Seen, writer: asyncio.StreamWriter) -> None:
        if "held" in seen.line:
            await gate.wait()
        await serve_value(seen, writer)

    async def test() -> None:
        async with rig_of(held, held, cancel=False) as rig:
            rig.host.balancer.fleet.class_latency_ms["read"] = 50.0  # a second copy is due after 150 ms
            client, other = await rig.connect(), await rig.connect()
            dials = Dials(rig, free=2)
            client.send(path="/api/00aa?held")
            await until(lambda: rig.sent)
            while dials.waiting < 3:  # what came later is served: no queue
                await other.ask(path="/api/00aa")
            gate.set()
            seen = await client.receive()
            assert seen is not None and seen.status == 200
            dials.up.set()
            await all_over(rig)
            assert sum("held" in s.line for node in rig.nodes for s in node.seen) == 1

    run(test())
