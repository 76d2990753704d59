"""Several proxies of the platform as processes, behind one agent that falls silent, breaks, goes down and
comes back while boxes begin to drain. Judged by when the boxes were sent something, beside when a drain
counts as told."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from notchflow.net.watch import RENEWAL_RANGE_MS
from standins.discovery import Registry, member
from standins.ports import free_ports
from tests.rig import Client, Peer, Seen, answer, run, until

PROXIES, BOXES = 4, 7
GRACE_S = 0.25
BUSY_S = 1.0  # a machine that does much else may hold a process up for so long
SILENT_S = 6.0  # after it fell silent, what a watch missed counts as told
DOWN_S = 3.0
EVERY_S = 0.01


@dataclass
class Fleet:
    """The processes, the boxes, and what each box was sent: by which proxy's process, and when."""

    folder: Path
    way: str  # how lists come, as the settings have it
    registry: Registry = field(default_factory=Registry)
    sent: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    boxes: dict[str, Peer] = field(default_factory=dict)
    processes: dict[int, subprocess.Popen[bytes]] = field(default_factory=dict)
    lives: dict[int, int] = field(default_factory=dict)
    ports: list[int] = field(default_factory=lambda: free_ports(PROXIES))
    answers: dict[int, int] = field(default_factory=dict)

    async def begin(self) -> None:
        await self.registry.start()
        for number in range(BOXES):
            name = f"box-{number}"
            self.sent[name] = []

            async def serve(seen: Seen, writer: asyncio.StreamWriter, name: str = name) -> None:
                self.sent[name].append((time.monotonic(), seen.headers["x-caller"]))
                writer.write(answer(b"value"))

            self.boxes[name] = box = Peer(serve)
            await box.start()
            await self.registry.put(member(name, f"127.0.0.1:{box.port}"))
        self.known = self.registry.listing(None)
        for number in range(PROXIES):
            self.start(number)
        for number in range(PROXIES):
            await self.ready(number)

    def start(self, number: int) -> None:
        """A process with the list of the fleet's beginning, as old as that may be by now."""
        file = self.folder / f"n{number}.json"
        file.write_text(
            json.dumps(
                {
                    "name": f"n{number}",
                    "listen": f"127.0.0.1:{self.ports[number]}",
                    "discovery": self.registry.address,
                    "seed": str(number),
                    "known": self.known,
                    "settings": {
                        "MembershipMode": self.way,
                        "PeersTotal": PROXIES,
                        "Classes": [{"Name": "read", "ObjectiveMs": 1_000, "DeadlineMs": 3_000}],
                        "Rules": {"DrainGraceMs": GRACE_S * 1e3},
                    },
                }
            )
        )
        self.lives[number] = self.lives.get(number, 0) + 1
        self.answers[number] = 0
        self.processes[number] = subprocess.Popen(
            [sys.executable, "-m", "notchflow"],
            env=os.environ | {"ROUTER_CONFIG": str(file)},
            stderr=subprocess.DEVNULL,
        )

    async def ready(self, number: int) -> None:
        while True:
            try:
                client = Client(*await asyncio.open_connection("127.0.0.1", self.ports[number]))
                if (await client.ask(path="/health/ready")).status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)

    async def load(self, number: int) -> None:
        """Asks one proxy again and again for other keys, on one connection, as long as its process lives."""
        life, asked = f"n{number}.{self.lives[number]}", 0
        client = Client(*await asyncio.open_connection("127.0.0.1", self.ports[number]))
        while True:
            asked += 1
            try:
                seen = await client.ask(path=f"/api/{asked * 2654435761 % 2**64:016x}", x_caller=life)
            except (AssertionError, ConnectionError):
                return
            self.answers[number] += seen.status == 200
            await asyncio.sleep(EVERY_S)

    def last(self, box: str) -> float:
        return max((at for at, _ in self.sent[box]), default=0.0)

    def end(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.registry.stop()
        for box in self.boxes.values():
            box.stop()


@contextmanager
def fleet(folder: Path, way: str) -> Iterator[Fleet]:
    made = Fleet(folder, way)
    try:
        yield made
    finally:
        made.end()


async def quiet(made: Fleet, box: str, told: float) -> None:
    """Waits until some time after a drain counts as told, and judges what the box was sent since."""
    await asyncio.sleep(max(0.0, told + GRACE_S + BUSY_S + 0.5 - time.monotonic()))
    assert made.last(box) <= told + GRACE_S + BUSY_S, f"{box} was sent something after its drain was told"


def test_no_process_sends_to_a_box_that_drains_whatever_its_agent_goes_through(tmp_path: Path) -> None:
    async def test() -> None:
        with fleet(tmp_path, "pushed") as made:
            await made.begin()
            loads = [asyncio.create_task(made.load(n)) for n in range(PROXIES)]
            await until(lambda: all(made.sent[box] for box in made.boxes))

            assert made.registry.silence() >= PROXIES
            silent = time.monotonic()
            await made.registry.phase("box-0", "draining")
            await quiet(made, "box-0", silent + SILENT_S)

            made.registry.reset()
            await made.registry.phase("box-1", "draining")
            await quiet(made, "box-1", time.monotonic())

            made.registry.up.clear()
            await made.registry.phase("box-2", "draining")
            await asyncio.sleep(DOWN_S)
            made.registry.up.set()
            await quiet(made, "box-2", time.monotonic())

            made.processes[0].kill()
            await loads[0]
            made.start(0)
            await made.ready(0)
            loads[0] = asyncio.create_task(made.load(0))
            await until(lambda: made.answers[0] >= 100)
            new = [box for box, sent in made.sent.items() if any(who == "n0.2" for _, who in sent)]
            assert new and not {"box-0", "box-1", "box-2"} & set(new), "its first list was an old one"
            assert all(made.answers[n] > 200 for n in range(1, PROXIES))
            for load in loads:
                load.cancel()
            await asyncio.gather(*loads, return_exceptions=True)

    run(test(), 60)


@pytest.mark.skipif(not os.environ.get("NOTCHFLOW_LONG"), reason="takes half a minute; NOTCHFLOW_LONG=1")
def test_asked_proxies_hear_within_half_a_minute_what_their_silent_watches_missed(tmp_path: Path) -> None:
    async def test() -> None:
        with fleet(tmp_path, "on_request") as made:
            await made.begin()
            loads = [asyncio.create_task(made.load(n)) for n in range(PROXIES)]
            await until(lambda: len(made.registry.writers) == PROXIES)
            made.registry.silence()
            silent = time.monotonic()
            await made.registry.phase("box-0", "draining")
            await asyncio.sleep(RENEWAL_RANGE_MS[0] / 1e3 - 2.0)
            assert {who for at, who in made.sent["box-0"] if at > silent + GRACE_S + BUSY_S} == {
                f"n{n}.1" for n in range(PROXIES)
            }, "nobody can know it yet"
            await quiet(made, "box-0", silent + RENEWAL_RANGE_MS[1] / 1e3)
            for load in loads:
                load.cancel()
            await asyncio.gather(*loads, return_exceptions=True)

    run(test(), 60)
