"""Measures the resources of one proxy as its fleet of nodes grows: `python -m benchmarks.nodes [--quick]`.

The same traffic goes to one proxy process with few nodes and to one with sixteen times as many, while the
list changes twice a second: a node drains, then it is removed and a cold one takes its place. All nodes are
one stand-in that answers immediately, so that only the proxy's own needs differ. The bounds are those of the
operators (sixteen times the nodes, 3,200 at most). The exit code is 1 if one is exceeded.
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
from standins.discovery import StandInDiscovery, node_entry
from standins.load import OpenLoop
from standins.node import StandInNode
from standins.ports import free_ports

SIZES: Final = ((25, 400), (200, 3_200))
SEEDS: Final = (1, 2, 3)
SPAN_S, QUICK_S = 20.0, 6.0
RATE_PER_S: Final = 40.0
KEYS: Final = 2_000
CHANGE_INTERVAL_S: Final = 0.5
SAMPLE_INTERVAL_S: Final = 0.2
SETTINGS: Final = {
    "Classes": [{"Name": "read", "ObjectiveMs": 300, "DeadlineMs": 2000, "Effect": "repeatable"}],
    "Limits": {"MaxAttempts": 3, "SecondCopies": True, "Cancel": True},
    "Rules": {"DrainGraceMs": 400, "ColdMs": 5000, "ColdShare": 0.3, "OverloadFactor": 4, "FallMs": 1000},
    "PeersTotal": 8,
}


@dataclass(frozen=True, slots=True)
class Needs:
    """Resources that a proxy used in one run; `list_kb` is the volume of discovery updates."""

    nodes: int
    cpu_s: float
    memory_mb: float
    descriptors: int
    connections: int
    list_kb: float
    served: float


@dataclass(frozen=True, slots=True)
class Over:
    """A bound that is exceeded."""

    what: str
    used: float
    bound: float


def over(few: Needs, many: Needs) -> list[Over]:
    """Returns the exceeded bounds, each a multiple of the need of few nodes plus an allowance."""
    thousands = many.nodes / 1_000
    bounds = {
        "cpu_s": 1.4 * few.cpu_s + 0.02 + 0.12 * thousands,
        "memory_mb": 1.5 * few.memory_mb + 8 + 4 * thousands,
        "descriptors": 2 * few.descriptors + 40,
        "connections": 2.5 * few.connections + 40,
        "list_kb": 2 * few.list_kb + 64 + 500 * thousands,
    }
    violations = [
        Over(what, getattr(many, what), bound)
        for what, bound in bounds.items()
        if getattr(many, what) > bound
    ]
    if many.served < 0.85 * few.served:
        violations.append(Over("served", many.served, 0.85 * few.served))
    return violations


@contextmanager
def proxy(registry: StandInDiscovery, folder: Path) -> Iterator[tuple[int, subprocess.Popen[bytes]]]:
    """Runs a proxy that starts with the current list of nodes; yields its port and its process."""
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
                "known": registry.node_list(None),
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


async def replace_nodes(registry: StandInDiscovery, address: str, nodes: int) -> None:
    """Replaces one node after the other until cancelled; each first drains and is then removed."""
    old, new = 0, nodes
    while True:
        await asyncio.sleep(CHANGE_INTERVAL_S)
        await registry.set_phase(f"s-{old}", "draining")
        await asyncio.sleep(CHANGE_INTERVAL_S)
        await registry.set_phase(f"s-{old}", "removed")
        await registry.put(node_entry(f"s-{new}", address, up_since_ms=int(time.time() * 1e3)))
        old, new = old + 1, new + 1


async def measure(nodes: int, seed: int, span_s: float) -> Needs:
    """Runs a proxy with `nodes` nodes for `span_s` seconds and returns what it needed."""
    draw, number = random.Random(seed), 0

    def draw_request() -> tuple[bytes, str]:
        nonlocal number
        number += 1
        key = int(KEYS * draw.random() ** 3)  # skewed: low keys are requested more often
        head = f"Host: a\r\nX-Call-Id: {number:x}\r\nX-Call-Class: read\r\nX-Budget: 2.0\r\n"
        return f"GET /api/{key * 2654435761:016x} HTTP/1.1\r\n{head}\r\n".encode(), "read"

    node, registry = StandInNode("s"), StandInDiscovery()
    connections = 0

    def count_connections(step: str) -> None:
        nonlocal connections
        connections += step == "accepted"

    node.on_step = count_connections
    await node.start()
    await registry.start()
    for n in range(nodes):
        await registry.put(node_entry(f"s-{n}", node.address))
    with tempfile.TemporaryDirectory() as folder, proxy(registry, Path(folder)) as (port, process):
        await asyncio.to_thread(wait_ready, port, process)
        cpu_before, written_before = cpu_s(process), registry.bytes_written
        replacing = asyncio.create_task(replace_nodes(registry, node.address, nodes))
        load = asyncio.create_task(OpenLoop(port, RATE_PER_S, draw_request).run(span_s))
        memory, descriptors = 0.0, 0
        while not load.done():
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            memory = max(memory, memory_mb(process))
            descriptors = max(descriptors, len(os.listdir(f"/proc/{process.pid}/fd")))
        replacing.cancel()
        tally = await load
        used, written = cpu_s(process) - cpu_before, registry.bytes_written - written_before
    node.stop()
    registry.stop()
    return Needs(
        nodes,
        used,
        memory,
        descriptors,
        connections,
        written / 1e3,
        tally.served / max(tally.answer_count("read"), 1),
    )


def main() -> int:
    """Runs all sizes and compares many nodes with few; returns the exit code."""
    parser = argparse.ArgumentParser(description="measures the resources of a proxy as its fleet grows")
    parser.add_argument("--quick", action="store_true", help="one seed, 6 s a run")
    quick = parser.parse_args().quick
    violations = 0
    for few, many in SIZES:
        for seed in SEEDS[:1] if quick else SEEDS:
            pair = [asyncio.run(measure(n, seed, QUICK_S if quick else SPAN_S)) for n in (few, many)]
            for needs in pair:
                print(needs, flush=True)
            for excess in over(*pair):
                violations += 1
                print(f"over: {excess.what} {excess.used:.2f}, at most {excess.bound:.2f}", flush=True)
    return int(violations > 0)


if __name__ == "__main__":
    sys.exit(main())
