"""Attempts and the connection pool, over loopback sockets."""

from __future__ import annotations

import asyncio
import random

from notchflow.interface import Outcome, Status
from notchflow.net.idle_limit import DECAY_INTERVAL_MS, IdleLimit
from tests.rig import HttpMessage, Rig, answer, run, serve_value, wait_until


def test_a_failure_in_the_middle_of_a_response_does_not_count_against_idle_time() -> None:
    async def cut(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        if len(rig.nodes[0].received) == 2:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nva")
            await writer.drain()
            writer.close()
        else:
            writer.write(answer())

    async def test() -> None:
        async with rig:
            client = await rig.connect()
            await client.request()
            await client.request()
            await wait_until(lambda: rig.forwarded_count == 2)
            assert sum(rig.host.idle_limit.failures) == 0

    rig = Rig(cut)
    run(test())


def test_a_connection_is_reused_and_its_idle_time_counts_from_its_last_response() -> None:
    """Guards against a new connection for each request: nodes allow few, and each costs them work."""

    async def test() -> None:
        async with Rig() as rig:
            client = await rig.connect()
            for _ in range(5):
                assert (await client.request()).status == 200
                await rig.wait_for_reuse()
            assert rig.nodes[0].connections == 1
            (pool,) = rig.host.pools.values()
            (connection,) = pool.idle
            assert 0 <= rig.host.clock.now() - connection.idle_since < pool.idle_limit.limit_ms
            pool.close_expired(connection.idle_since + pool.idle_limit.limit_ms - 1)
            assert pool.idle, "idle for less than the limit"
            pool.close_expired(connection.idle_since + pool.idle_limit.limit_ms)
            await wait_until(lambda: not rig.nodes[0].open)
            assert (
                not pool.idle
            ), "nodes close connections at their own limit, and a request sent at that moment is reset"

    run(test())


def test_a_lack_of_descriptors_does_not_count_against_nodes() -> None:
    """Guards against ejecting every node because the proxy itself has run out of sockets."""

    async def test() -> None:
        async with Rig(serve_value, serve_value) as rig:
            outcomes = rig.record_events(Outcome)
            client = await rig.connect()
            assert (await client.request(path="/health/ready")).status == 200
            rig.host.descriptor_limit = 0
            for _ in range(3):
                assert (await client.request("PUT", body=b"paid", X_Call_Class="once")).status == 503
            assert {o.status for o in outcomes} == {Status.MOOT}
            rig.host.descriptor_limit = 100
            assert (await client.request()).status == 200
            assert not any(n.failures or n.ejected_until for n in rig.host.balancer.fleet.ready)

    run(test())


def test_idle_times_that_fail_more_than_shorter_ones_are_excluded_and_tried_again_later() -> None:
    limit, stated = IdleLimit(10_000), IdleLimit(10_000).limit_ms
    for number in range(40):
        limit.record_use(50.0, False)
        limit.record_use(300.0, number % 2 == 0)
    assert 50.0 < limit.limit_ms <= 300.0
    for turn in range(1, 8):
        limit.decay(turn * DECAY_INTERVAL_MS)
    assert limit.limit_ms == stated


def test_failures_at_every_idle_time_do_not_lower_the_limit() -> None:
    """Incident rac6d92: the network broke connections at random, new ones most often, so that more dials made
    it worse."""
    limit, stated, rng = IdleLimit(10_000), IdleLimit(10_000).limit_ms, random.Random(5)
    for _ in range(2_000):
        limit.record_use(rng.choice([None, 10.0, 60.0, 200.0, 800.0]), rng.random() < 0.08)
        assert limit.limit_ms == stated
