"""Measures agreement on rules in a fleet. `python -m benchmarks.agreement [--quick] [PART ...]`.

Real processes on loopback without relays. Parts: `changes` (changes per second, and the time until a change
is in force at the last instance), `leader` (the time from SIGKILL of the leader to the next accepted change),
`cut` (the time until a suspension is in force at an instance that receives nothing: its process is paused and
resumed here, while the fault rig cuts links), `large` (10,000 tenants: the time until an instance that lost
its state folder accepts requests again).
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final

import httpx

from notchflow.cluster.histories import merge
from notchflow.hosting.fleet import Fleet
from standins.discovery import StandInDiscovery, node_entry
from standins.node import NodeProfile, StandInNode

AGREED_RULES: Final = 'rules = "fleet"'


class RunningFleet:
    """A running fleet with one stand-in node, and an operator's requests to it."""

    def __init__(self, folder: Path, count: int, tenants: int) -> None:
        self.folder, self.count, self.tenants = folder, count, [f"tenant-{n}" for n in range(tenants)]

    async def __aenter__(self) -> RunningFleet:
        self.registry = StandInDiscovery()
        await self.registry.start()
        self.node = StandInNode("box-1", NodeProfile(0.002, 4, 128))
        await self.node.start()
        await self.registry.put(node_entry(self.node.name, self.node.address))
        self.fleet = Fleet(self.folder, self.count, self.registry.address, self.tenants, AGREED_RULES)
        self.fleet.prepare()
        self.client = httpx.AsyncClient(
            trust_env=False, timeout=10.0, headers={"Authorization": f"Bearer {self.fleet.operator.token}"}
        )
        await self.fleet.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.client.aclose()
        await self.fleet.stop()
        self.registry.stop()
        self.node.stop()

    async def change(self, instance: str, body: dict[str, Any], tenant: str = "tenant-0") -> int:
        """Changes a tenant through the admin API of an instance; returns the status, 0 without an answer."""
        url = f"http://127.0.0.1:{self.fleet.instances[instance].ports.admin}/v1/tenants/{tenant}"
        try:
            return (await self.client.patch(url, json=body, headers={"If-Match": "*"})).status_code
        except httpx.HTTPError:
            return 0

    async def request_status(self, instance: str) -> int:
        """Sends a request of the first tenant to an instance; returns its status."""
        url = f"http://127.0.0.1:{self.fleet.instances[instance].ports.clients}/menus/1"
        token = self.fleet.tokens["tenant-0"]
        return (await self.client.get(url, headers={"Authorization": f"Bearer {token}"})).status_code

    async def leader(self) -> str:
        """Waits until an instance reports a leader; returns the leader's name."""
        while True:
            for view in (await self.fleet.views()).values():
                if view["rules"]["leader"]:
                    return str(view["rules"]["leader"])
            await asyncio.sleep(0.02)


def print_spread(name: str, values: list[float]) -> None:
    """Prints the count, the median and the worst of some durations in milliseconds."""
    ordered = sorted(values)
    print(
        f"{name}: {len(ordered)} times, median {statistics.median(ordered):.0f} ms, worst "
        f"{ordered[-1]:.0f} ms",
        flush=True,
    )


async def changes(quick: bool, folder: Path) -> list[str]:
    """Measures single changes, concurrent changes, and how soon a change is in force everywhere."""
    count = 50 if quick else 300
    async with RunningFleet(folder, 5, 2) as running:
        durations_ms = []
        for number in range(count):
            started_at = time.monotonic()
            status = await running.change(f"p{number % 5 + 1}", {"name": f"n{number}"})
            durations_ms.append((time.monotonic() - started_at) * 1e3)
            if status != 200:
                return [f"a change was answered {status}"]
        print_spread("a change, from the call to its answer, 5 instances", durations_ms)
        for operators, instances in ((4, ["p1"]), (4, ["p1", "p2", "p3", "p4"])):
            started_at, total = time.monotonic(), 0

            async def write_changes(instance: str, number: int, end_at: float) -> int:
                accepted = 0
                while time.monotonic() < end_at:
                    accepted += await running.change(instance, {"name": f"m{number}-{accepted}"}) == 200
                return accepted

            end_at = started_at + (2.0 if quick else 10.0)
            total = sum(
                await asyncio.gather(
                    *(write_changes(instances[n % len(instances)], n, end_at) for n in range(operators))
                )
            )
            print(
                f"{operators} operators at {len(instances)} instances: "
                f"{total / (time.monotonic() - started_at):.0f} changes a second",
                flush=True,
            )
    by_version: dict[int, dict[str, int]] = defaultdict(dict)
    for line in merge([folder / f"p{n}" / "history.jsonl" for n in range(1, 6)]):
        if line["what"] == "rules":
            by_version[line["version"]].setdefault(line["who"], line["t"])
    spreads_ms = [
        (max(times.values()) - min(times.values())) / 1e6 for times in by_version.values() if len(times) == 5
    ]
    print_spread("from the first to the last instance that has a change in force", spreads_ms)
    return [] if statistics.median(spreads_ms) <= 100 else ["a change is not everywhere within 100 ms"]


async def leader(quick: bool, folder: Path) -> list[str]:
    """Measures the time from SIGKILL of the leader to the next accepted change."""
    durations_ms = []
    async with RunningFleet(folder, 5, 2) as running:
        for number in range(5 if quick else 30):
            victim = await running.leader()
            other = next(name for name in running.fleet.names if name != victim)
            running.fleet.instances[victim].kill()
            started_at = time.monotonic()
            attempts = 0
            while await running.change(other, {"name": f"k{number}-{attempts}"}) != 200:
                attempts += 1
            durations_ms.append((time.monotonic() - started_at) * 1e3)
            running.fleet.instances[victim].spawn()
            await running.fleet.instances[victim].wait_until_ready()
    print_spread("SIGKILL of the leader to a change that holds, 5 instances", durations_ms)
    return [] if statistics.median(durations_ms) < 1_000 else ["more than 1 s without a leader"]


async def cut(quick: bool, folder: Path) -> list[str]:
    """Suspends a tenant while one instance is paused; once resumed, it must soon stop serving the tenant."""
    resumed_ms, effective_ms = [], []
    async with RunningFleet(folder, 3, 2) as running:
        for _ in range(2 if quick else 10):
            started_at = time.monotonic()
            await running.change("p1", {"state": "suspended"})
            for name in ("p2", "p3"):
                while await running.request_status(name) == 200:
                    pass
            effective_ms.append((time.monotonic() - started_at) * 1e3)
            await running.change("p1", {"state": "active"})
            while {await running.request_status(name) for name in running.fleet.names} != {200}:
                pass
            running.fleet.instances["p3"].pause()
            await running.change("p1", {"state": "suspended"})
            started_at = time.monotonic()
            await asyncio.sleep(1.0)
            running.fleet.instances["p3"].resume()
            while await running.request_status("p3") == 200:
                pass
            resumed_ms.append((time.monotonic() - started_at) * 1e3)
            await running.change("p1", {"state": "active"})
            await asyncio.sleep(0.5)
    print_spread("a suspension, from the call until all refuse, 3 instances", effective_ms)
    print_spread("the same, by one that was stopped for 1 s when it was made", resumed_ms)
    return [] if max(resumed_ms) < 4_270 else ["a suspension was honoured after the bound"]


async def large(quick: bool, folder: Path) -> list[str]:
    """Measures how long an instance without its state folder takes to recover with many tenants."""
    count = 1_000 if quick else 10_000
    async with RunningFleet(folder, 3, count) as running:
        print(f"{count} tenants: the first state was agreed", flush=True)
        victim = running.fleet.instances["p3"]
        victim.kill()
        running.fleet.reset_state("p3")
        started_at = time.monotonic()
        victim.spawn()
        await victim.wait_until_ready()
        print(
            f"{count} tenants: an instance without a folder takes requests after "
            f"{time.monotonic() - started_at:.1f} s",
            flush=True,
        )
        while not (await running.fleet.views())["p3"]["rules"]["joined"]:
            await asyncio.sleep(0.02)
        print(f"{count} tenants: and counts again after {time.monotonic() - started_at:.1f} s", flush=True)
    return []


PARTS: Final[dict[str, Callable[[bool, Path], Awaitable[list[str]]]]] = {
    "changes": changes,
    "leader": leader,
    "cut": cut,
    "large": large,
}


def main() -> int:
    """Runs the chosen parts and prints the missed bounds; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", metavar="PART", help=f"some of {', '.join(PARTS)} (default: all)")
    parser.add_argument("--quick", action="store_true", help="fewer and shorter runs")
    options = parser.parse_args()
    unknown = sorted(set(options.parts) - PARTS.keys())
    if unknown:
        parser.error(f"no such part: {', '.join(unknown)}")
    failures = []
    for name in options.parts or PARTS:
        with tempfile.TemporaryDirectory(prefix="notchflow-agreement-") as folder:
            failures += asyncio.run(_await_part(PARTS[name], options.quick, Path(folder)))
    for line in failures:
        print(f"MISSED: {line}")
    return int(bool(failures))


async def _await_part(
    part: Callable[[bool, Path], Awaitable[list[str]]], quick: bool, folder: Path
) -> list[str]:
    return await part(quick, folder)


if __name__ == "__main__":
    sys.exit(main())
