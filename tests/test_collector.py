"""Requests of every kind leave nothing for the cyclic garbage collector, whose full collections stop the
loop."""

from __future__ import annotations

import asyncio
import gc
import itertools
import os
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from notchflow.interface import Outcome, Status, StreamStarted
from tests.rig import HttpMessage, Rig, Script, answer, run, serve_value, wait_until

ROUNDS = 60


async def reset(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def err(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(b"", status="500 Internal Server Error"))


async def shed(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(b"", status="503 Service Unavailable", X_Rejected="1"))


async def hang(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
    """Sends nothing; the proxy closes the connection."""


async def long_answer(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(b"v" * 200_000))


async def ask(rig: Rig) -> None:
    await rig.request()


async def ask_for_short(rig: Rig) -> None:
    await rig.request(X_Budget="0.01")


async def ask_for_unknown_class(rig: Rig) -> None:
    await rig.request(X_Call_Class="unknown")


async def ask_and_leave(rig: Rig) -> None:
    client, sent = await rig.connect(), rig.forwarded_count
    client.send()
    await wait_until(lambda: rig.forwarded_count > sent)
    client.reset()
    await wait_until(lambda: not rig.host.active_requests)


KINDS: list[tuple[str, Script, Callable[[Rig], Awaitable[None]]]] = [
    ("served", serve_value, ask),
    ("reset", reset, ask),
    ("error", err, ask),
    ("shed", shed, ask),
    ("timed out", hang, ask_for_short),
    ("refused", serve_value, ask_for_unknown_class),
    ("left", hang, ask_and_leave),
    ("streamed", long_answer, ask),
]


@contextmanager
def uncollected() -> Iterator[Counter[str]]:
    """Yields a counter, filled at the end with the notchflow objects that only the collector could free, by
    type."""
    left: Counter[str] = Counter()
    gc.collect()
    gc.disable()
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        yield left
        gc.collect()
        left.update(type(o).__qualname__ for o in gc.garbage if type(o).__module__.startswith("notchflow"))
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()


@pytest.mark.parametrize("name,script,one", KINDS, ids=[k[0] for k in KINDS])
def test_requests_leave_nothing_for_the_collector(
    name: str, script: Script, one: Callable[[Rig], Awaitable[None]]
) -> None:
    async def test() -> None:
        async with Rig(script, script) as rig:
            for _ in range(5):
                await one(rig)
            with uncollected() as left:
                for _ in range(ROUNDS):
                    await one(rig)
                await wait_until(lambda: not rig.host.active_requests)
                rig.host.timers.clear()  # as when all of them have fired
            assert not left

    run(test())


async def by_kind(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
    """Responds as the request's X-Kind says; a hang applies only to the first attempt of a request."""
    kind, call = seen.headers["x-kind"], seen.headers["x-call-id"]
    if kind in ("hang", "time out") and (call not in hung or kind == "time out"):
        hung.add(call)
        return
    hung.discard(call)
    await {"reset": reset, "error": err, "shed": shed, "long": long_answer}.get(kind, serve_value)(
        seen, writer
    )


hung: set[str] = set()
MIX = [
    ("served", 200),
    ("reset", 2),
    ("error", 2),
    ("shed", 2),
    ("long", 3),
    ("hang", 4),
    ("time out", 1),
    ("leave", 4),
    ("unknown", 3),
    ("put", 6),
    ("body", 4),
    ("pipeline", 4),
]


async def mixed_client(rig: Rig, rng: random.Random, numbers: Iterator[int], seen: Counter[str]) -> None:
    """Sends one request after the other, and reconnects wherever the connection has ended."""
    client = await rig.connect()
    for number in numbers:
        kind = rng.choices([k for k, _ in MIX], [n for _, n in MIX])[0]
        fields: dict[str, Any] = {
            "X_Kind": kind,
            "X_Call_Id": f"{number:016x}",
            "path": f"/api/{number % 500:016x}",
            "X_Call_Class": "unknown" if kind == "unknown" else "read",
            "X_Budget": "0.01" if kind == "time out" else "0.4",
        }
        if kind in ("put", "body"):
            client.send("PUT", body=b"v" * (200 if kind == "put" else 100_000), **fields)
        else:
            client.send(**fields)
        if kind == "leave":
            client.reset()
            seen["left"] += 1
        else:
            if kind == "pipeline":
                client.send(**fields)
                await client.receive()
            got = await client.receive()
            seen["lost" if got is None else f"{kind}: {got.status}"] += 1
            if got is not None and got.headers.get("connection") != "close":
                continue
        client.writer.transport.abort()
        rig.clients.remove(client)
        client = await rig.connect()


def test_a_mix_of_all_kinds_leaves_nothing_for_the_collector() -> None:
    """Sends 3,000 requests, or as many as NOTCHFLOW_REQUESTS says (the full run is 100,000)."""
    count, clients = int(os.environ.get("NOTCHFLOW_REQUESTS", "3000")), 16

    async def test() -> None:
        async with Rig(by_kind, by_kind, by_kind) as rig:
            streams, outcomes = rig.record_events(StreamStarted), rig.record_events(Outcome)
            seen, numbers = Counter[str](), iter(range(count))
            await asyncio.gather(
                *(
                    mixed_client(rig, random.Random(i), itertools.islice(numbers, 20), Counter())
                    for i in range(clients)
                )
            )
            with uncollected() as left:
                await asyncio.gather(
                    *(mixed_client(rig, random.Random(i), numbers, seen) for i in range(clients))
                )
                await wait_until(lambda: not rig.host.active_requests)
                assert rig.host.buffered_bytes == 0, "no body stays counted"
                assert len(rig.host.timers) < 20, "no timer of a request is left"
                assert not rig.host.balancer.pending and rig.host.balancer.fleet.in_flight == 0
            statuses = Counter(o.status for o in outcomes)
            assert not left
            assert streams and seen["left"] and seen["unknown: 503"] and not seen["lost"]
            assert (
                not {Status.OK, Status.ERROR, Status.FULL, Status.RESET, Status.TIMEOUT, Status.CANCELLED}
                - statuses.keys()
            )
            assert any(o.attempt > 0 and o.status is Status.OK for o in outcomes), "retries or hedges served"

    run(test(), timeout_s=60.0 + count / 200)
