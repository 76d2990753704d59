"""What one proxy needs as its fleet of nodes grows: `python -m benchmarks.nodes [--quick]`.

The same traffic goes to one real process with few nodes and with sixteen times as many, while the list
changes twice a second: a node drains, then it is removed and another comes cold in its place. All nodes are
one stand-in that answers at once, so that the proxy's own needs alone differ. The bounds are the operators'
(sixteen times the nodes, 3,200 at most). Exits with 1 where one is broken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from benchmarks.rig import ROOT, cpu_s, memory_mb, wait_ready
from standins.box import Box
from standins.discovery import Registry, member
from standins.load import Paced
from standins.ports import free_ports

SIZES: Final = ((25, 400), (200, 3_200))
SEEDS: Final = (1, 2, 3)
SPAN_S, QUICK_S = 20.0, 6.0
RATE: Final = 40.0  # requests a second
KEYS: Final = 2_000
CHANGE_EVERY_S: Final = 0.5
LOOK_S: Final = 0.2
SETTINGS: Final = {
    "Classes": [{"Name": "read", "ObjectiveMs": 300, "DeadlineMs": 2000, "Effect": "repeatable"}],
    "Limits": {"MaxAttempts": 3, "SecondCopies": True, "Cancel": True},
    "Rules": {"DrainGraceMs": 400, "ColdMs": 5000, "ColdShare": 0.3, "OverloadFactor": 4, "FallMs": 1000},
    "PeersTotal": 8,
}


@dataclass(frozen=True, slots=True)
class Needs:
    """What a proxy used over one run; `list_kb` while discovery told changes."""

    nodes: int
    cpu_s: float
    memory_mb: float
    descriptors: int
    connections: int
    list_kb: float
    served: float


@dataclass(frozen=True, slots=True)
class Over:
    """A bound that is broken."""

    what: str
    used: float
    bound: float


def over(few: Needs, many: Needs) -> list[Over]:
    """The operators' bounds: each a multiple of what few nodes need, and an allowance."""
    thousands = many.nodes / 1_000
    bounds = {
        "cpu_s": 1.4 * few.cpu_s + 0.02 + 0.12 * thousands,
        "memory_mb": 1.5 * few.memory_mb + 8 + 4 * thousands,
        "descriptors": 2 * few.descriptors + 40,
        "connections": 2.5 * few.connections + 40,
        "list_kb": 2 * few.list_kb + 64 + 500 * thousands,
    }
    found = [Over(what, getattr(many, what), b) for what, b in bounds.items() if getattr(many, what) > b]
    if many.served < 0.85 * few.served:
        found.append(Over("served", many.served, 0.85 * few.served))
    return found


@contextmanager
def proxy(registry: Registry, folder: Path) -> Iterator[tuple[int, subprocess.Popen[bytes]]]:
    """A process with the list as it is now: its port and itself."""
    (port,) = free_ports(1)
    file = folder / "config.json"
    file.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": registry.address,
                "seed": "1",
                "limits": {"memory_mb": 192, "sockets": 1024},
                "known": registry.listing(None),
                "settings": SETTINGS,
            }
        )
    )
    settings = {"ROUTER_CONFIG": str(file), "PYTHONPATH": str(ROOT)}
    process = subprocess.Popen(
        [sys.executable, "-m", "notchflow"], cwd=ROOT, env=os.environ | settings, stderr=subprocess.DEVNULL
    )
    try:
        yield port, process
    finally:
        process.kill()
        process.wait()


async def change(registry: Registry, address: str, nodes: int) -> None:
    """Replaces one node after the other, in two steps each, without end."""
    old, new = 0, nodes
    while True:
        await asyncio.sleep(CHANGE_EVERY_S)
        await registry.phase(f"s-{old}", "draining")
        await asyncio.sleep(CHANGE_EVERY_S)
        await registry.phase(f"s-{old}", "removed")
        await registry.put(member(f"s-{new}", address, up_since_ms=int(time.time() * 1e3)))
        old, new = old + 1, new + 1


async def measure(nodes: int, seed: int, span_s: float) -> Needs:
    """One run with so many nodes."""
    draw, number = random.Random(seed), 0

    def ask() -> tuple[bytes, str]:
        nonlocal number
        number += 1
        key = int(KEYS * draw.random() ** 3)  # some are asked for often
        head = f"Host: a\r\nX-Call-Id: {number:x}\r\nX-Call-Class: read\r\nX-Budget: 2.0\r\n"
        return f"GET /api/{key * 2654435761:016x} HTTP/1.1\r\n{head}\r\n".encode(), "read"

    box, registry = Box("s"), Registry()
    dialled = 0

    def count(step: str) -> None:
        nonlocal dialled
        dialled += step == "accepted"

    box.hold = count
    await box.start()
    await registry.start()
    for n in range(nodes):
        await registry.put(member(f"s-{n}", box.address))
    with tempfile.TemporaryDirectory() as folder, proxy(registry, Path(folder)) as (port, process):
        await asyncio.to_thread(wait_ready, port, process)
        begun, told = cpu_s(process), registry.written
        changes = asyncio.create_task(change(registry, box.address, nodes))
        load = asyncio.create_task(Paced(port, RATE, ask).run(span_s))
        memory, descriptors = 0.0, 0
        while not load.done():
            await asyncio.sleep(LOOK_S)
            memory = max(memory, memory_mb(process))
            descriptors = max(descriptors, len(os.listdir(f"/proc/{process.pid}/fd")))
        changes.cancel()
        tally = await load
        used, written = cpu_s(process) - begun, registry.written - told
    box.stop()
    registry.stop()
    return Needs(
        nodes, used, memory, descriptors, dialled, written / 1e3, tally.served / max(tally.asked("read"), 1)
    )


def main() -> int:
    """Plays all sizes, and holds the many to the few."""
    parser = argparse.ArgumentParser(description="what a proxy needs as its fleet grows")
    parser.add_argument("--quick", action="store_true", help="one seed, 6 s a run")
    quick = parser.parse_args().quick
    broken = 0
    for few, many in SIZES:
        for seed in SEEDS[:1] if quick else SEEDS:
            pair = [asyncio.run(measure(n, seed, QUICK_S if quick else SPAN_S)) for n in (few, many)]
            for needs in pair:
                print(needs, flush=True)
            for one in over(*pair):
                broken += 1
                print(f"over: {one.what} {one.used:.2f}, at most {one.bound:.2f}", flush=True)
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
