"""Measures the membership protocol. `python -m benchmarks.members [--quick] [PART ...]`.

Parts: `emulated` (the protocol core compared with plain heartbeats and with SWIM without extensions),
`kills`, `leaves`, `calm` and `heals` (real processes connected through relays, under load), `cost` (processor
time of the protocol by fleet size), `hot` (processor time per request with and without a fleet).
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import os
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import replace
from pathlib import Path
from typing import Any, Final

from rich.console import Console
from rich.table import Table

from notchflow.cluster.model import Incarnation, Settings
from notchflow.emulator.heartbeats import Heartbeats
from notchflow.emulator.members import Fleet, LinkModel
from notchflow.faults import checks
from notchflow.faults.rig import Outcome, Rig
from notchflow.faults.schedule import Schedule
from notchflow.hosting.fleet import Fleet as ProcessFleet
from notchflow.tenancy.model import Limits
from standins.discovery import StandInDiscovery, node_entry
from standins.load import OpenLoop
from standins.node import NodeProfile, StandInNode

FULL: Final = Settings()
PLAIN: Final = replace(FULL, confirmations=0, suspicion_max_factor=1.0, local_health_max=1, stall_ms=1e12)
LOSSY: Final = LinkModel(loss=0.05)
HOT_RATE: Final = 500.0  # requests per second
SETTLE_MS, STALL_RUN_MS = 5_000.0, 20_000.0
SETTLE_S = 4.0  # after the start, until all members know one another
START_GOSSIP_MS = 15_000.0  # 1,000 members that start together gossip about it for 13 s
STALLED_SHARE, STALL_MS, STALL_INTERVAL_MS = 0.1, 4_000.0, 6_000.0


def create_fleet(kind: str, size: int, seed: int, law: LinkModel) -> Fleet:
    """Returns a started emulated fleet that runs this kind of membership protocol."""
    names = [f"p{number:04}" for number in range(size)]

    def create_heartbeats(name: str, life: Incarnation, address: str, rng: random.Random) -> Heartbeats:
        return Heartbeats(name, life, names, rng)

    settings = PLAIN if kind == "swim" else FULL
    fleet = Fleet(names, settings, seed, law, create_heartbeats if kind == "heartbeats" else None)
    for name in names:
        fleet.start(name)
    return fleet


Job = tuple[str, int, int, str]  # kind, members, seed, name of the measurement


def emulate(job: Job) -> tuple[Job, dict[str, float], float]:
    """Runs one measurement; returns the job, its results and the seconds that it took."""
    kind, size, seed, part = job
    started_at = time.monotonic()
    measured = MEASURES[part](kind, size, seed)
    return job, measured, time.monotonic() - started_at


def measure_detection(kind: str, size: int, seed: int) -> dict[str, float]:
    """Measures the traffic of an idle fleet and the time until all members detect one death."""
    fleet = create_fleet(kind, size, seed, LinkModel())
    heartbeats = kind == "heartbeats"
    fleet.run(START_GOSSIP_MS if not heartbeats else 2_000.0)
    fleet.count_bytes = not (heartbeats and size > 100)
    fleet.datagrams.clear()
    fleet.bytes.clear()
    fleet.run(1_000.0)
    measured = {"datagrams": sum(fleet.datagrams.values()) / size}
    if fleet.count_bytes:
        measured["bytes"] = sum(fleet.bytes.values()) / size
    fleet.count_bytes = False
    victim = fleet.names[size // 2]
    fleet.history.clear()
    killed_at = fleet.sim.now
    fleet.kill(victim)
    fleet.run(4_000.0 if not heartbeats else 3_200.0)
    detected_ms = {
        t.who: t.at - killed_at for t in reversed(fleet.history) if t.what == "dead" and t.subject == victim
    }
    measured["detected"] = max(detected_ms.values()) if len(detected_ms) == size - 1 else float("inf")
    return measured


def measure_healing(kind: str, size: int, seed: int) -> dict[str, float]:
    """Measures the time until all views are equal after a partition into halves that lasts 4 s."""
    fleet = create_fleet(kind, size, seed, LinkModel())
    fleet.run(SETTLE_MS)
    fleet.net.islands(fleet.names[: size // 2], fleet.names[size // 2 :])
    fleet.run(4_000.0)
    fleet.net.islands()
    durations_ms = fleet.run_until(lambda: len({m.view.digest for m in fleet.members()}) == 1, 60_000.0)
    return {"heal": float("inf") if durations_ms is None else durations_ms}


def measure_false_positives(kind: str, size: int, seed: int) -> dict[str, float]:
    """Counts false verdicts of death per thousand members and minute.

    5% of the datagrams are lost, members pause for up to 300 ms, and a tenth of them stall for 4 s every 6 s.
    Verdicts on stalled members are correct and do not count; the verdicts of stalled members on others do.
    """
    fleet = create_fleet(kind, size, seed, LOSSY)
    fleet.run(3_000.0)
    fleet.history.clear()
    rng = random.Random(seed)
    stalled = rng.sample(fleet.names, max(int(size * STALLED_SHARE), 1))
    end = fleet.sim.now + STALL_RUN_MS
    while fleet.sim.now < end:
        for name in rng.sample(fleet.names, max(size // 20, 1)):
            fleet.pause(name, rng.uniform(0.0, 300.0))
        if int(fleet.sim.now / 100.0) % int(STALL_INTERVAL_MS / 100.0) == 0:
            for name in stalled:
                fleet.pause(name, STALL_MS)
        fleet.run(100.0)
    verdicts = sum(t.what == "dead" and t.subject not in stalled for t in fleet.history)
    return {"false": verdicts / size * 1_000 / (STALL_RUN_MS / 60_000.0)}


MEASURES: Final[dict[str, Callable[[str, int, int], dict[str, float]]]] = {
    "detection": measure_detection,
    "false": measure_false_positives,
    "heal": measure_healing,
}


def plan_jobs(sizes: tuple[int, ...]) -> list[Job]:
    """Returns the jobs, the longest first so that they run in parallel.

    Heartbeats exchange no views, so they have no `heal`; 1,000 members with heartbeats from all to all would
    send two million messages per second, so they run `detection` alone.
    """
    return [
        (kind, size, 3, part)
        for size in sorted(sizes, reverse=True)
        for part in ("false", "heal", "detection")
        for kind in ("ours", "swim", "heartbeats")
        if kind != "heartbeats" or (part != "heal" and (part == "detection" or size <= 100))
    ]


def emulated(quick: bool) -> list[str]:
    """Prints the table of the emulated fleets; returns the missed bounds."""
    sizes = (3, 100) if quick else (3, 100, 1_000)
    rows: dict[tuple[str, int], dict[str, float]] = {
        (kind, size): {} for size in sizes for kind in ("ours", "swim", "heartbeats")
    }
    with ProcessPoolExecutor(4) as pool:
        for future in as_completed([pool.submit(emulate, job) for job in plan_jobs(sizes)]):
            (kind, size, _, part), measured, seconds = future.result()
            rows[kind, size] |= measured
            values = ", ".join(f"{name} {value:.0f}" for name, value in measured.items())
            print(f"emulated: {kind}, {size} members, {part}: {values} ({seconds:.0f} s)", flush=True)
    table = Table(title="emulated: detection of one death, traffic a member, false deaths, partition")
    for name in (
        "kind",
        "members",
        "detected ms",
        "datagrams/s",
        "bytes/s",
        "false/1000/min",
        "equal after ms",
    ):
        table.add_column(name, justify="left" if name == "kind" else "right")
    for (kind, size), measured in rows.items():
        cells = [
            f"{measured[name]:.0f}" if name in measured else "-"
            for name in ("detected", "datagrams", "bytes", "false", "heal")
        ]
        table.add_row(kind, str(size), *cells)
    Console(width=110).print(table)
    failures = []
    if not quick and rows["ours", 1_000]["datagrams"] > 1.3 * rows["ours", 100]["datagrams"]:
        failures.append("datagrams a member grow from 100 to 1,000 members")
    return failures


# -- real processes
def run_schedule(plan: Schedule, rate: float) -> Outcome:
    """Runs a schedule of faults with real processes in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="notchflow-members-") as folder:
        return asyncio.run(Rig(Path(folder), plan, rate).play())


def create_schedule(instances: int, seconds: float, faults: list[dict[str, Any]], seed: int = 1) -> Schedule:
    """Returns a validated schedule of faults."""
    return Schedule.model_validate(
        {"instances": instances, "seconds": seconds, "seed": seed, "faults": faults}
    )


def print_spread(name: str, values: list[float], unit: str = "ms") -> None:
    """Prints the count, the median and the worst of some values."""
    ordered = sorted(values)
    print(
        f"{name}: {len(ordered)} times, median {statistics.median(ordered):.0f} {unit}, worst "
        f"{ordered[-1]:.0f} {unit}",
        flush=True,
    )


def kills(quick: bool) -> list[str]:
    """Measures the time from SIGKILL of one of eight until the last survivor detects the death."""
    count, interval_s = (6, 7.0) if quick else (50, 7.0)
    rng = random.Random(5)
    faults = [
        {"kind": "kill", "who": [f"p{rng.randint(1, 8)}"], "at_s": 1.0 + interval_s * n, "for_s": 4.0}
        for n in range(count)
    ]
    outcome = run_schedule(create_schedule(8, interval_s * count + 2.0, faults), 25.0)
    durations_ms = [
        ms for detected_ms, _ in checks.detection_delays(outcome.lines) for ms in detected_ms.values()
    ]
    worst = [
        max((ms for ms in detected_ms.values() if ms is not None), default=float("inf"))
        for detected_ms, _ in checks.detection_delays(outcome.lines)
    ]
    print_spread("SIGKILL to the last survivor's verdict, 8 instances", worst)
    print(
        f"the formula says {outcome.bounds.detection_ms:.0f} ms; requests {outcome.request_count}, "
        f"rules broken {[str(b) for b in outcome.violations]}"
    )
    failures = [] if None not in durations_ms else ["a survivor never held the killed one dead"]
    return (
        failures
        + (["worst detection over 3 s"] if max(worst) > 3_000 else [])
        + [str(b) for b in outcome.violations]
    )


def leaves(quick: bool) -> list[str]:
    """Measures the time from SIGTERM of one of eight until all others know that it left."""
    count = 4 if quick else 30
    faults = [{"kind": "restart", "who": [f"p{n % 8 + 1}"], "at_s": 1.0 + 5.0 * n} for n in range(count)]
    outcome = run_schedule(create_schedule(8, 5.0 * count + 2.0, faults), 25.0)
    worst = []
    for index, line in enumerate(outcome.lines):
        if line["what"] != "terminated":
            continue
        detected_ms: dict[str, float] = {}
        for later in outcome.lines[index:]:
            if later["what"] == "left" and later["subject"] == line["subject"]:
                detected_ms.setdefault(later["who"], (later["t"] - line["t"]) / 1e6)
            if later["what"] == "started" and later["subject"] == line["subject"]:
                break
        worst.append(max(detected_ms.values()) if len(detected_ms) == 7 else float("inf"))
    print_spread("SIGTERM to the last of the others knowing, 8 instances", worst)
    return (["a leave known after 0.5 s"] if max(worst) > 500 else []) + [str(b) for b in outcome.violations]


def calm(quick: bool) -> list[str]:
    """Checks that minor faults over a long time cause no false verdict of death."""
    seconds = 30.0 if quick else 600.0
    rng = random.Random(9)
    faults: list[dict[str, Any]] = [{"kind": "loss", "part": 0.05, "at_s": 0.5}]
    at = 1.0
    while at < seconds - 2.0:
        faults.append(
            {
                "kind": "pause",
                "who": [f"p{rng.randint(1, 8)}"],
                "at_s": round(at, 3),
                "for_s": round(rng.uniform(0.02, 0.3), 3),
            }
        )
        at += rng.uniform(0.2, 1.0)
    outcome = run_schedule(create_schedule(8, seconds, faults), 25.0)
    false_deaths = checks.check_no_false_deaths(outcome.lines)
    suspected = sum(line["what"] == "suspect" for line in outcome.lines)
    print(
        f"calm: {seconds:.0f} s of 5% loss and {len(faults) - 1} pauses up to 300 ms, 8 instances: "
        f"{len(false_deaths)} living members held dead, {suspected} suspicions, "
        f"{outcome.request_count} requests, broken {[str(b) for b in outcome.violations]}"
    )
    return [str(b) for b in [*false_deaths, *outcome.violations]]


def heals(quick: bool) -> list[str]:
    """Measures the time after a partition of eight until all views are equal."""
    partitions: list[dict[str, Any]] = [
        {"kind": "islands", "groups": [["p1", "p2", "p3", "p4"], ["p5", "p6", "p7", "p8"]]},
        {"kind": "islands", "groups": [["p1"], ["p2", "p3", "p4", "p5", "p6", "p7", "p8"]]},
        {"kind": "islands", "groups": [["p1", "p2"], ["p3", "p4", "p5"], ["p6", "p7", "p8"]]},
        {"kind": "islands", "groups": [["p1"], ["p2"], ["p3"], ["p4"], ["p5"], ["p6"], ["p7"], ["p8"]]},
        {"kind": "bridge", "middle": ["p4"], "sides": [["p1", "p2", "p3"], ["p5", "p6", "p7", "p8"]]},
    ]
    durations_ms = []
    failures = []
    for number, partition in enumerate(partitions * (1 if quick else 4)):
        outcome = run_schedule(
            create_schedule(8, 6.0, [partition | {"at_s": 0.5, "for_s": 5.5}], number), 10.0
        )
        durations_ms.append(outcome.convergence_ms if outcome.convergence_ms is not None else float("inf"))
        failures += [str(b) for b in outcome.violations]
    print_spread("heal of a partition to equal views, 8 instances", durations_ms)
    print(f"the formula says {FULL.heal_bound_ms(8):.0f} ms")
    return failures + (["views equal after more than 3 s"] if max(durations_ms) > 3_000 else [])


def cost(quick: bool) -> list[str]:
    """Measures the processor time of the protocol core and its codec by the size of the fleet."""
    for size in (3, 30) if quick else (3, 30, 300):
        fleet = create_fleet("ours", size, 1, LinkModel())
        fleet.run(5_000.0)
        fleet.count_bytes = True  # encodes and signs every message, as over a network
        fleet.datagrams.clear()
        started_at, seconds = time.process_time(), 10.0 if size < 300 else 4.0
        fleet.run(seconds * 1e3)
        used = (time.process_time() - started_at) / size / seconds
        sent = sum(fleet.datagrams.values()) / size / seconds
        print(
            f"cost: {size} members: {used * 100:.2f}% of a core a member (emulated links and the emulator "
            f"included), {sent:.0f} datagrams/s, {sum(fleet.bytes.values()) / size / seconds:.0f} bytes/s"
        )
    return []


def read_cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_request_cost(
    folder: Path, instances: int, standalone: bool, seconds: float
) -> tuple[float, float]:
    """Measures one instance under load and idle.

    Returns the processor time per request in microseconds, its idle use included, and the idle use in
    milliseconds per second.
    """
    registry = StandInDiscovery()
    await registry.start()
    node = StandInNode("box-1", NodeProfile(0.0, 8, 128))
    await node.start()
    await registry.put(node_entry(node.name, node.address))
    fleet = ProcessFleet(
        folder, instances, registry.address, ["alfa"], limits=Limits(1e5, 1e5, 10_000, 1 << 30)
    )
    fleet.prepare()
    first = fleet.instances["p1"]
    if standalone:
        first.file.write_text(first.file.read_text().partition("[cluster]")[0])
    await fleet.start()
    token = fleet.tokens["alfa"]
    counter = itertools.count()

    def draw() -> tuple[bytes, str]:
        head = f"GET /menus/{next(counter) % 50} HTTP/1.1\r\nHost: f\r\nAuthorization: Bearer {token}"
        return f"{head}\r\n\r\n".encode(), "read"

    assert first.process is not None
    await asyncio.sleep(SETTLE_S)
    before = read_cpu_s(first.process.pid)
    await asyncio.sleep(seconds)
    idle = (read_cpu_s(first.process.pid) - before) / seconds
    await OpenLoop(first.ports.clients, HOT_RATE, draw).run(2.0)
    before = read_cpu_s(first.process.pid)
    tally = await OpenLoop(first.ports.clients, HOT_RATE, draw).run(seconds)
    used = read_cpu_s(first.process.pid) - before
    await fleet.stop()
    registry.stop()
    node.stop()
    return used / max(tally.served, 1) * 1e6, idle * 1e3


def hot(quick: bool) -> list[str]:
    """Measures the processor time per request with and without a fleet, in alternating order."""
    measured: dict[str, list[tuple[float, float]]] = {"alone": [], "one of 8": []}
    for round_number in range(2 if quick else 6):
        for name in list(measured) if round_number % 2 else list(measured)[::-1]:
            with tempfile.TemporaryDirectory(prefix="notchflow-hot-") as folder:
                measured[name].append(
                    asyncio.run(
                        measure_request_cost(
                            Path(folder), 1 if name == "alone" else 8, name == "alone", 5.0 if quick else 10.0
                        )
                    )
                )
    for name, values in measured.items():
        request, idle = (statistics.median(value[index] for value in values) for index in (0, 1))
        print(
            f"hot: {name}: {request:.0f} us a request at {HOT_RATE:.0f}/s, {idle:.1f} ms a second at rest, "
            f"so {request - idle * 1e3 / HOT_RATE:.0f} us of its own; runs "
            f"{', '.join(f'{us:.0f} ({ms:.1f})' for us, ms in values)}"
        )
    return []


PARTS: Final[dict[str, Callable[[bool], list[str]]]] = {
    "emulated": emulated,
    "cost": cost,
    "kills": kills,
    "leaves": leaves,
    "calm": calm,
    "heals": heals,
    "hot": hot,
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
        started_at = time.monotonic()
        failures += PARTS[name](options.quick)
        print(f"({name}: {time.monotonic() - started_at:.0f} s)", flush=True)
    for line in failures:
        print(f"MISSED: {line}")
    return int(bool(failures))


if __name__ == "__main__":
    sys.exit(main())
