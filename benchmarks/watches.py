"""Measures discovery watches that fall silent together, and lists of 1,024 nodes compared with 100.

`python -m benchmarks.watches [--quick]`. The fleets are emulated (`notchflow/emulator/watches.py`): all
watches fall silent, and shortly afterwards a node begins to drain. The lists are processed by one proxy's
code in this process. The exit code is 1 if a proxy with the current watch is late or goes back to an older
list.
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
from notchflow.emulator.watches import Day, DayResult, World
from notchflow.interface import ListKind, RequestClass, Settings
from notchflow.net.config import Config, load
from notchflow.net.host import Host
from notchflow.net.node_list import NodeList, decode_node_list
from notchflow.net.watch import ListWatch

SILENT_MS: Final = 6_000.0
DRAIN_MS: Final = 7_000.0
SIZES: Final = (100, 1_024)
WATCH_CLASSES: Final = {"before": FixedWaits, "now": ListWatch}


def play_silence(
    proxies: int, asked: bool, all_call_ms: float, watch_class: type[ListWatch], seed: int
) -> DayResult:
    """Emulates a day on which all watches fall silent shortly before a node drains."""
    day = Day(
        proxies=proxies,
        asked=asked,
        all_call_ms=all_call_ms,
        silences=(SILENT_MS,),
        changes=(DRAIN_MS,),
        seed=seed,
    )
    return World(day, watch_class).simulate()


def compare_fleets(console: Console, seeds: int) -> bool:
    """Prints the comparison; returns whether no proxy with the current watch was late or went back."""
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
    correct = True
    for asked, all_call_ms in ((True, 2_000.0), (True, 8_000.0), (False, 0.0)):
        for proxies in (6, 40, 230):
            for label, watch_class in WATCH_CLASSES.items():
                verdicts = [
                    play_silence(proxies, asked, all_call_ms, watch_class, seed) for seed in range(seeds)
                ]
                late = sum(len(v.broken) for v in verdicts)
                correct = correct and (label != "now" or not late)
                table.add_row(
                    "asked" if asked else "pushed",
                    str(proxies),
                    f"{all_call_ms / 1e3:g}" if asked else "-",
                    label,
                    f"{late / seeds:.1f}",
                    f"{min(v.slack_ms for v in verdicts) / 1e3:.2f}",
                    f"{max(v.age_ms for v in verdicts) / 1e3:.1f}",
                    str(max(v.busiest for v in verdicts)),
                    f"{statistics.mean(v.refused for v in verdicts):.0f}",
                )
    console.print(table)
    return correct


def create_members(count: int, phase: str = "up") -> list[dict[str, Any]]:
    """Returns the entries of `count` nodes as discovery sends them."""
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


def measure_ms(rounds: int, step: Callable[[], object]) -> float:
    """Returns the median duration of `step` over some rounds, in milliseconds."""
    durations_ms = []
    for _ in range(rounds):
        started_at = time.perf_counter()
        step()
        durations_ms.append((time.perf_counter() - started_at) * 1e3)
    return statistics.median(durations_ms)


def write_config(count: int) -> str:
    """Writes the configuration of a proxy in a fleet of `count` proxies and nodes; returns its path."""
    classes = [{"Name": "read", "ObjectiveMs": 300, "DeadlineMs": 500}]
    with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
        json.dump(
            {
                "name": "n0",
                "listen": "127.0.0.1:9000",
                "discovery": "127.0.0.1:1",
                "seed": "7",
                "peers": [f"10.3.{n // 250}.{n % 250 + 1}:7946" for n in range(count)],
                "known": {"revision": 1, "complete": True, "members": create_members(count)},
                "settings": {"Classes": classes, "PeersTotal": count},
            },
            file,
        )
    return file.name


async def measure_lists(console: Console, rounds: int) -> None:
    """Prints how long a proxy takes to process lists of each size, and the memory that they use."""
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
        path = write_config(count)
        read_ms = measure_ms(rounds, partial(load, {"ROUTER_CONFIG": path}))
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
        full_list = json.dumps(
            {"revision": 2, "complete": True, "members": create_members(count)}, indent=2
        ).encode()
        one_change = json.dumps(
            {"revision": 3, "complete": False, "members": create_members(1, "draining")}
        ).encode()
        draining = create_members(count // 4, "draining")
        quarter_drains = json.dumps({"revision": 4, "complete": False, "members": draining}).encode()

        def apply(data: bytes, kind: ListKind, host: Host = host) -> None:
            host.apply(decode_node_list(json.loads(data)), kind)

        tracemalloc.start()
        apply(full_list, ListKind.FULL)
        memory_mib = tracemalloc.get_traced_memory()[0] / (1 << 20)
        tracemalloc.stop()
        table.add_row(
            str(count),
            f"{read_ms:.2f}",
            f"{measure_ms(rounds, partial(apply, full_list, ListKind.FULL)):.2f}",
            f"{measure_ms(rounds, partial(apply, one_change, ListKind.DELTA)):.2f}",
            f"{measure_ms(rounds, partial(apply, quarter_drains, ListKind.DELTA)):.2f}",
            f"{memory_mib:.2f}",
        )
    console.print(table)


def main() -> int:
    """Runs both measurements; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer seeds and rounds")
    quick = parser.parse_args().quick
    console = Console()
    correct = compare_fleets(console, 2 if quick else 20)
    asyncio.run(measure_lists(console, 5 if quick else 30))
    return 0 if correct else 1


if __name__ == "__main__":
    sys.exit(main())
