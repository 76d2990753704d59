"""Requests of every kind leave nothing for the cyclic collector, whose full runs stop the loop."""

from __future__ import annotations

import asyncio
import gc
from collections import Counter
from collections.abc import Awaitable, Callable

import pytest

from tests.rig import Rig, Script, Seen, answer, run, serve_value, until

ROUNDS = 60


async def reset(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def err(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(b"", status="500 Internal Server Error"))


async def turn_away(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(b"", status="503 Service Unavailable", X_Rejected="1"))


async def hang(seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Says nothing; the proxy closes."""


async def long_answer(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(answer(b"v" * 200_000))


async def ask(rig: Rig) -> None:
    await rig.ask()


async def ask_for_short(rig: Rig) -> None:
    await rig.ask(X_Budget="0.01")


async def ask_unheard(rig: Rig) -> None:
    await rig.ask(X_Call_Class="unheard")


async def ask_and_leave(rig: Rig) -> None:
    client, sent = await rig.connect(), rig.sent
    client.send()
    await until(lambda: rig.sent > sent)
    client.reset()
    await until(lambda: not rig.host.open)


KINDS: list[tuple[str, Script, Callable[[Rig], Awaitable[None]]]] = [
    ("served", serve_value, ask), ("reset", reset, ask), ("error", err, ask), ("turned away", turn_away, ask),
    ("timed out", hang, ask_for_short), ("refused", serve_value, ask_unheard), ("left", hang, ask_and_leave),
    ("streamed", long_answer, ask),
]


@pytest.mark.parametrize("name,script,one", KINDS, ids=[k[0] for k in KINDS])
def test_requests_leave_nothing_for_the_collector(
        name: str, script: Script, one: Callable[[Rig], Awaitable[None]]) -> None:
    async def test() -> None:
        async with Rig(script, script) as rig:
            for _ in range(5):
                await one(rig)
            gc.collect()
            gc.disable()
            gc.set_debug(gc.DEBUG_SAVEALL)
            try:
                for _ in range(ROUNDS):
                    await one(rig)
                await until(lambda: not rig.host.open)
                rig.host.timers.clear()  # as when they have all come due
                gc.collect()
                left = Counter(type(o).__qualname__ for o in gc.garbage
                               if type(o).__module__.startswith("notchflow"))
            finally:
                gc.set_debug(0)
                gc.garbage.clear()
                gc.enable()
            assert not left

    run(test())
