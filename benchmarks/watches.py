"""A fleet's watches that fall silent together, and lists of 1,024 nodes beside lists of 100.

`python -m benchmarks.watches [--quick]`. The fleets are emulated (`notchflow/emulator/watches.py`): all
watches fall silent, and a node begins to drain right after. The lists go through one proxy's own steps in
this process.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from functools import partial
from typing import Any, Final

from rich.console import Console
from rich.table import Table

from notchflow.emulator.fixed_waits import FixedWaits
from notchflow.emulator.watches import Day, Verdict, World
from notchflow.interface import ListKind, RequestClass, Settings
from notchflow.net.config import Config, load
from notchflow.net.host import Host
from notchflow.net.node_list import NodeList, decode_node_list
from notchflow.net.watch import ListWatch

SILENT_MS: Final = 6_000.0
DRAIN_MS: Final = 7_000.0
SIZES: Final = (100, 1_024)
MAKERS: Final = {"before": FixedWaits, "now": ListWatch}


def silent(proxies: int, asked: bool, all_call_ms: float, make: type[ListWatch], seed: int) -> Verdict:
    day = Day(
        proxies=proxies,
        asked=asked,
        all_call_ms=all_call_ms,
        silences=(SILENT_MS,),
        changes=(DRAIN_MS,),
        seed=seed,
    )
    return World(day, make).play()


def fleets(console: Console, seeds: int) -> bool:
    """Whether no fleet of today's broke anything."""
    table = Table(
        "way",
        "proxies",
        "a call of each, s",
        "watch",
        "proxies late",
        "least time left, s",
        "oldest list, s",
        "busiest second",
        "refused",
        title=f"watches silent together, {seeds} seeds",
    )
    held = True
    for asked, all_call_ms in ((True, 2_000.0), (True, 8_000.0), (False, 0.0)):
        for proxies in (6, 40, 230):
            for word, make in MAKERS.items():
                played = [silent(proxies, asked, all_call_ms, make, seed) for seed in range(seeds)]
                late = sum(len(v.broken) for v in played)
                held = held and (word != "now" or not late)
                table.add_row(
                    "asked" if asked else "pushed",
                    str(proxies),
                    f"{all_call_ms / 1e3:g}" if asked else "-",
                    word,
                    f"{late / seeds:.1f}",
                    f"{min(v.slack_ms for v in played) / 1e3:.2f}",
                    f"{max(v.age_ms for v in played) / 1e3:.1f}",
                    str(max(v.busiest for v in played)),
                    f"{statistics.mean(v.refused for v in played):.0f}",
                )
    console.print(table)
    return held


def members(count: int, phase: str = "up") -> list[dict[str, Any]]:
    return [
        {
            "id": f"s-{n:08x}",
            "host_port": f"10.1.{n // 250}.{n % 250 + 1}:9000",
            "locality": "ab"[n % 2],
            "flavor": "ml"[n % 2],
            "cell": n // 8,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }
        for n in range(count)
    ]


def clocked(rounds: int, step: Callable[[], object]) -> float:
    """Milliseconds, the median of some rounds."""
    took = []
    for _ in range(rounds):
        began = time.perf_counter()
        step()
        took.append((time.perf_counter() - began) * 1e3)
    return statistics.median(took)


def config_file(count: int) -> str:
    """A proxy's file in a fleet of so many proxies and nodes."""
    classes = [{"Name": "read", "ObjectiveMs": 300, "DeadlineMs": 500}]
    with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
        json.dump(
            {
                "name": "n0",
                "listen": "127.0.0.1:9000",
                "discovery": "127.0.0.1:1",
                "seed": "7",
                "peers": [f"10.3.{n // 250}.{n % 250 + 1}:7946" for n in range(count)],
                "known": {"revision": 1, "complete": True, "members": members(count)},
                "settings": {"Classes": classes, "PeersTotal": count},
            },
            file,
        )
    return file.name


async def lists(console: Console, rounds: int) -> None:
    table = Table(
        "nodes and proxies",
        "file read, ms",
        "whole list, ms",
        "one change, ms",
        "a quarter drains, ms",
        "list and pools, MiB",
        title="one proxy's own steps, medians",
    )
    settings = Settings(classes=(RequestClass("read", 300, 500),))
    for count in SIZES:
        path = config_file(count)
        read = clocked(rounds, partial(load, {"ROUTER_CONFIG": path}))
        os.unlink(path)
        config = Config(
            name="n0",
            listen=("127.0.0.1", 0),
            discovery=("127.0.0.1", 1),
            seed=7,
            settings=settings,
            known=NodeList(0, True, (), {}),
        )
        host = Host(config, asyncio.get_running_loop())
        whole = json.dumps({"revision": 2, "complete": True, "members": members(count)}, indent=2).encode()
        one = json.dumps({"revision": 3, "complete": False, "members": members(1, "draining")}).encode()
        leaving = members(count // 4, "draining")
        quarter = json.dumps({"revision": 4, "complete": False, "members": leaving}).encode()

        def take(data: bytes, kind: ListKind, host: Host = host) -> None:
            host.apply(decode_node_list(json.loads(data)), kind)

        tracemalloc.start()
        take(whole, ListKind.FULL)
        size = tracemalloc.get_traced_memory()[0] / (1 << 20)
        tracemalloc.stop()
        table.add_row(
            str(count),
            f"{read:.2f}",
            f"{clocked(rounds, partial(take, whole, ListKind.FULL)):.2f}",
            f"{clocked(rounds, partial(take, one, ListKind.DELTA)):.2f}",
            f"{clocked(rounds, partial(take, quarter, ListKind.DELTA)):.2f}",
            f"{size:.2f}",
        )
    console.print(table)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer seeds and rounds")
    quick = parser.parse_args().quick
    console = Console()
    held = fleets(console, 2 if quick else 20)
    asyncio.run(lists(console, 5 if quick else 30))
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
