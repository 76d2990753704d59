"""Nodes at a distance that answer twice now and then, refuse some requests, and refuse those that are over:
each client gets the answer to its own request, and nothing runs twice where that has an effect."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from typing import Any

import pytest

from notchflow.interface import Effect, Group, RequestClass
from tests.rig import HttpMessage, Rig, answer, run

PLAY_S = 5.0
NODES = 8  # half of them in the other zone
CLIENTS = 16
ONE_WAY_S = 0.009  # to any node
WORK_S = (0.002, 0.02)
MEAN_PAUSE_S = 0.01
REFUSED_SHARE, REPEATED_SHARE = 0.1, 0.05
LATE_S = (0.001, 0.010)  # a second response follows the first one by so much
REFUSAL = answer(b"", "503 Service Unavailable", X_Rejected="1")
CLASSES = (
    RequestClass("read", 300, 1_000),
    RequestClass("zoned", 300, 1_000, effect=Effect.KEYED, group=Group.ZONE, window_ms=1_000),
    RequestClass("once", 300, 1_000, effect=Effect.UNSAFE),
)


def call_of(request: HttpMessage) -> str:
    return request.headers["x-call-id"]


class Play:
    """The nodes, the clients, and what both of them saw."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.received: dict[Any, list[float]] = defaultdict(list)  # by connection: when requests came
        self.runs: dict[str, list[int]] = defaultdict(list)  # by call: the nodes that ran it
        self.over: set[str] = set()  # calls whose client has its answer
        self.answered = 0
        self.repeated = 0
        self.foreign: list[str] = []
        self.trace: list[str] = []

    def note(self, text: str) -> None:
        self.trace.append(f"{asyncio.get_running_loop().time():.4f} {text}")

    def script(self, node: int) -> Any:
        """The script of a node."""

        async def serve(request: HttpMessage, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(ONE_WAY_S)
            self.received[writer].append(asyncio.get_running_loop().time())
            call = call_of(request)
            if call in self.over or self.draw.random() < REFUSED_SHARE:
                self.note(f"node {node} refuses {call}{' which is over' if call in self.over else ''}")
                await self.respond(node, call, writer, REFUSAL)
                return
            await asyncio.sleep(self.draw.uniform(*WORK_S))
            self.note(f"node {node} runs {call}")
            self.runs[call].append(node)
            await self.respond(node, call, writer, answer(f"value for {call}".encode()))

        return serve

    async def respond(self, node: int, call: str, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Sends a response, and at times once more, if no further request has reached the node by then."""
        loop = asyncio.get_running_loop()
        responded_at = loop.time()
        await asyncio.sleep(ONE_WAY_S)
        writer.write(data)
        if self.draw.random() < REPEATED_SHARE:
            late_s = self.draw.uniform(*LATE_S)
            sent_at = responded_at + late_s
            loop.call_later(late_s, self._repeat, node, call, writer, data, responded_at, sent_at)

    def _repeat(
        self,
        node: int,
        call: str,
        writer: asyncio.StreamWriter,
        data: bytes,
        responded_at: float,
        sent_at: float,
    ) -> None:
        """Delivers a second response that the node sent a while ago."""
        busy = any(responded_at < at <= sent_at for at in self.received[writer])
        if not busy and not writer.transport.is_closing():
            self.repeated += 1
            self.note(f"a second response of node {node} to {call} arrives")
            writer.write(data)

    async def client(self, rig: Rig, number: int) -> None:
        """A client that sends one request after the other."""
        client, loop = await rig.connect(), asyncio.get_running_loop()
        until, count = loop.time() + PLAY_S, 0
        while loop.time() < until:
            count += 1
            call, cls = f"{number}-{count}", self.draw.choice(CLASSES).name
            path = f"/api/{self.draw.randrange(200):016x}"
            method, body = ("GET", None) if cls == "read" else ("PUT", b"v")
            self.note(f"client sends {call}, {cls}")
            response = await client.request(
                method, path, body, X_Call_Id=call, X_Call_Class=cls, X_Budget="1.0", Idempotency_Key=call
            )
            self.over.add(call)
            self.answered += 1
            if response.status == 200 and response.body != f"value for {call}".encode():
                self.foreign.append(call)
                self.note(f"client of {call} is served with '{response.body.decode()}'")
            await asyncio.sleep(self.draw.expovariate(1 / MEAN_PAUSE_S))

    def count_repeats(self, cls: str) -> int:
        """The calls of a class that ran more often than its effect allows."""
        count = 0
        for call, nodes in self.runs.items():
            if not any(text.endswith(f"client sends {call}, {cls}") for text in self.trace):
                continue
            zones = {node % 2 for node in nodes}
            count += len(nodes) > 1 if cls == "once" else len(zones) > 1
        return count


class ZonedRig(Rig):
    """Nodes in two zones by turns."""

    def entry(self, number: int, **changes: Any) -> dict[str, Any]:
        return super().entry(number, **({"locality": "ab"[number % 2]} | changes))


@pytest.mark.parametrize("seed", [1, 2])
def test_second_responses_and_refusals_make_nothing_run_twice_and_reach_no_other_client(seed: int) -> None:
    """Guards against repeats outside the group and after a run, and against foreign answers. All of them
    began with a second response: the refusal of a request that was over by then answered the next one."""
    play = Play(seed)

    async def test() -> None:
        scripts = [play.script(node) for node in range(NODES)]
        async with ZonedRig(*scripts, classes=CLASSES) as rig:
            await asyncio.gather(*(play.client(rig, number) for number in range(CLIENTS)))

    run(test(), PLAY_S + 10)
    assert play.repeated > 0 and play.answered > 0
    counts = {cls: play.count_repeats(cls) for cls in ("zoned", "once")}
    assert (len(play.foreign), counts) == (0, {"zoned": 0, "once": 0}), "\n".join(play.trace)
