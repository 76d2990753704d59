"""Attempts and the keep-alive pool, over loopback sockets."""

from __future__ import annotations

import asyncio
import random

from notchflow.interface import Outcome, Status
from notchflow.net.connection import FADE_MS, IdleLimit
from tests.rig import Rig, Seen, answer, run, serve_value, until


def test_a_break_in_midst_of_an_answer_says_nothing_of_idle_ages() -> None:
    async def cut(seen: Seen, writer: asyncio.StreamWriter) -> None:
        if len(rig.nodes[0].seen) == 2:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nva")
            await writer.drain()
            writer.close()
        else:
            writer.write(answer())

    async def test() -> None:
        async with rig:
            client = await rig.connect()
            await client.ask()
            await client.ask()
            await until(lambda: rig.sent == 2)
            assert sum(rig.host.idle_limit.breaks) == 0

    rig = Rig(cut)
    run(test())


def test_a_connection_is_used_again_and_its_age_counts_from_its_last_answer() -> None:
    """Guards against a new connection for each request: nodes hold few, and each costs them work."""

    async def test() -> None:
        async with Rig() as rig:
            client = await rig.connect()
            for _ in range(5):
                assert (await client.ask()).status == 200
            assert rig.nodes[0].connections == 1
            (pool,) = rig.host.pools.values()
            (connection,) = pool.idle
            assert 0 <= rig.host.clock.now() - connection.idle_since < pool.limit.limit_ms
            pool.close_expired(connection.idle_since + pool.limit.limit_ms - 1)
            assert pool.idle, "younger than the limit: kept"
            pool.close_expired(connection.idle_since + pool.limit.limit_ms)
            await until(lambda: not rig.nodes[0].open)
            assert not pool.idle, "nodes close at their idle time; a request that crosses it is a reset"

    run(test())


def test_without_a_descriptor_to_dial_with_no_node_is_blamed() -> None:
    """Guards against ejecting every node because the proxy's own sockets ran out."""

    async def test() -> None:
        async with Rig(serve_value, serve_value) as rig:
            told = rig.told(Outcome)
            client = await rig.connect()
            assert (await client.ask(path="/health/ready")).status == 200
            rig.host.descriptor_limit = 0
            for _ in range(3):
                assert (await client.ask("PUT", body=b"paid", X_Call_Class="once")).status == 503
            assert {o.status for o in told} == {Status.MOOT}
            rig.host.descriptor_limit = 100
            assert (await client.ask()).status == 200
            assert not any(n.failures or n.ejected_until for n in rig.host.balancer.fleet.ready)

    run(test())


def test_ages_that_break_more_than_younger_ones_are_given_up_and_tried_again() -> None:
    limit, stated = IdleLimit(10_000), IdleLimit(10_000).limit_ms
    for number in range(40):
        limit.count(50.0, False)
        limit.count(300.0, number % 2 == 0)
    assert 50.0 < limit.limit_ms <= 300.0
    for turn in range(1, 8):
        limit.decay(turn * FADE_MS)
    assert limit.limit_ms == stated


def test_breaks_at_every_age_do_not_give_up_kept_connections() -> None:
    """Incident rac6d92: the network broke connections at random, new ones most; dialling more cost twice."""
    limit, stated, rng = IdleLimit(10_000), IdleLimit(10_000).limit_ms, random.Random(5)
    for _ in range(2_000):
        limit.count(rng.choice([None, 10.0, 60.0, 200.0, 800.0]), rng.random() < 0.08)
        assert limit.limit_ms == stated
