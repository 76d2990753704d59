"""One budget for the fleet, against limits of each, equal parts, gossip.

`python -m benchmarks.budgets [--quick]`. Emulated, five instances, a limit of 100 a second and 50 at once;
then real processes with relays between them.
"""

from __future__ import annotations

import argparse
import asyncio
import math
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Final

from rich.console import Console
from rich.table import Table

from notchflow.cluster.budgets import Budgets, TokenTerms
from notchflow.cluster.messages import Envelope, encode_message
from notchflow.cluster.model import Incarnation
from notchflow.emulator.budgets import Budget, World
from notchflow.faults import checks
from notchflow.faults.rig import Rig
from notchflow.faults.schedule import Schedule, draw
from notchflow.tenancy.limits import Bucket
from notchflow.tenancy.model import Limits

NAMES: Final = [f"p{number}" for number in range(5)]
LIMIT: Final = Budget(100.0, 50.0)
KINDS: Final = ("ours", "today", "equal", "gossip")
FOREVER: Final = 1e12
REAL: Final = Limits(rate_per_s=50.0, burst=25.0)


def world(kind: str, seed: int) -> World:
    made = World(NAMES, kind, {"t": LIMIT}, seed)
    made.run(2_000.0)
    return made


def used(made: World, ms: float) -> float:
    """Requests a second that are admitted from now on, as a part of the limit."""
    before = made.ledgers["t"].admitted
    made.run(ms)
    return (made.ledgers["t"].admitted - before) / ms * 1e3 / LIMIT.rate


def steady(kind: str) -> float:
    """All demand at one."""
    made = world(kind, 1)
    made.demand("p0", "t", 300.0, FOREVER)
    made.run(3_000.0)
    return used(made, 20_000.0)


def jump(kind: str) -> float:
    """In the second second after all demand has moved to another instance."""
    made = world(kind, 2)
    made.demand("p1", "t", 300.0, 12_000.0)
    made.run(10_000.0)
    made.demand("p3", "t", 300.0, FOREVER)
    made.run(1_000.0)
    return used(made, 1_000.0)


def halves(kind: str) -> tuple[float, float, float]:
    """Cut 2 against 3, demand everywhere: what each side gets, and by how many tokens all are over."""
    made = world(kind, 3)
    made.keep_log = True
    for name in NAMES:
        made.demand(name, "t", 100.0, FOREVER)
    made.run(3_000.0)
    made.islands(NAMES[:2], NAMES[2:])
    made.log.clear()
    made.run(20_000.0)
    admitted = [name for _, name, _, done in made.log if done]
    small = sum(name in NAMES[:2] for name in admitted) / 20.0 / LIMIT.rate
    return small, len(admitted) / 20.0 / LIMIT.rate - small, made.ledgers["t"].worst


def trouble(kind: str, seeds: int) -> tuple[float, float]:
    """The worst overshoot (over rate x 1.05 x window + burst) in a minute of everything, and the use."""
    worst = total = 0.0
    for seed in range(seeds):
        made, rng = world(kind, seed), random.Random(seed)
        for name in NAMES:
            made.demand(name, "t", 80.0, FOREVER)
        made.loss = made.doubled = 0.1
        before = made.ledgers["t"].admitted
        for _ in range(60):
            made.run(1_000.0)
            name = rng.choice(NAMES)
            match rng.randint(0, 4):
                case 0:
                    made.kill(name)
                    made.start(name, 1.0 - rng.random() * TokenTerms().clock_drift)
                case 1:
                    made.pause(name, rng.choice((300.0, 1_100.0, 3_000.0)))
                case 2:
                    made.islands(NAMES[:2], NAMES[2:])
                case 3:
                    made.islands(*([n] for n in NAMES))
                case _:
                    made.cut = lambda a, b: False
        worst = max(worst, made.ledgers["t"].worst)
        total += (made.ledgers["t"].admitted - before) / 60.0 / LIMIT.rate / seeds
    return worst, total


def come_back(crush: int, budget: Budget) -> tuple[float, float]:
    """So many at once, over all instances; who is turned away comes back when told, at any instance: the part
    of these that is served then, and the longest time that was told (s)."""
    made = World(NAMES, "ours", {"t": budget}, 3)
    made.run(3_000.0)
    rng, waits, again = random.Random(1), [0.0], [0, 0]

    def late(wait: float) -> None:
        again[1] += 1

    def come() -> None:
        again[0] += 1
        made.request(rng.choice(NAMES), "t", late)

    def retry(wait: float) -> None:
        waits.append(wait)
        made.sim.after(math.ceil(wait) * 1e3, come)

    for _ in range(crush):
        made.sim.after(rng.random() * 100.0, made.request, rng.choice(NAMES), "t", retry)
    made.run(60_000.0)
    return 1 - again[1] / max(again[0], 1), max(waits)


def emulated(quick: bool) -> list[str]:
    table = Table(title="100/s and 50 at once, five instances, emulated")
    for name in (
        "kind",
        "all at one",
        "after a jump",
        "2 cut off",
        "3 cut off",
        "over, cut",
        "over, trouble",
        "used, trouble",
    ):
        table.add_column(name, justify="left" if name == "kind" else "right")
    missed = []
    for kind in KINDS:
        small, large, over = halves(kind)
        worst, share = trouble(kind, 2 if quick else 30)
        row = (steady(kind), jump(kind), small, large, over, worst, share)
        table.add_row(
            kind,
            *(f"{value:.2f}" if number not in (4, 5) else f"{value:.0f}" for number, value in enumerate(row)),
        )
        if kind == "ours":
            missed += [] if row[0] >= 0.98 else ["all demand at one: under 0.98"]
            missed += [] if row[1] >= 0.95 else ["after a jump: under 0.95"]
            missed += [] if over == worst == 0 else ["more than the limit"]
    Console(width=110).print(table)
    for crush, budget in ((300, LIMIT), (1_000, LIMIT), (60, Budget(20.0, 10.0)), (30, Budget(5.0, 5.0))):
        share, longest = come_back(crush, budget)
        least = (crush - budget.burst) / budget.rate
        print(
            f"{crush} at once, {budget.rate:g}/s and {budget.burst:g} at once: {share:.3f} of those who "
            f"come back when told are served; longest time told {longest:.0f} s (at least {least:.0f})"
        )
        if share < 0.99:
            missed.append(f"{share:.3f} of those who come back are served")
    return missed


def large(quick: bool) -> list[str]:
    """200 instances and 2,000 tenants of which 20 are busy, unevenly; cuts, restarts, slow clocks, loss."""
    size, tenants, busy = (40, 400, 4) if quick else (200, 2_000, 20)
    names = [f"p{number:03}" for number in range(size)]
    keys = [f"tenant-{number:04}" for number in range(tenants)]
    made = World(names, "ours", {key: LIMIT for key in keys}, 7)
    rng = random.Random(7)
    for key in keys[:busy]:
        for name in names:
            made.demand(name, key, rng.paretovariate(1.2) * 300.0 / size / 4, FOREVER)
    made.run(3_000.0)
    calm = sum(made.ledgers[key].admitted for key in keys[:busy])
    made.run(5_000.0)
    calm = sum(made.ledgers[key].admitted for key in keys[:busy]) - calm
    made.messages = 0
    made.loss = made.doubled = 0.05
    seconds = 10
    for second in range(seconds):
        if second % 3 == 0:
            cut = rng.randint(1, size - 1)
            mixed = rng.sample(names, size)
            made.islands(mixed[:cut], mixed[cut:])
        for name in rng.sample(names, size // 20):
            made.kill(name)
            made.start(name, 1.0 - rng.random() * TokenTerms().clock_drift)
        for name in rng.sample(names, size // 20):
            made.pause(name, 700.0)
        made.run(1_000.0)
    worst = max(made.ledgers[key].worst for key in keys)
    share = calm / 5 / busy / LIMIT.rate
    print(
        f"{size} instances, {tenants} tenants, {busy} busy: {share:.2f} of the limits used while all is "
        f"well; with cuts, restarts, pauses, 5% loss: {worst:.0f} over the limit at worst, "
        f"{made.messages / size / seconds:.0f} datagrams/s an instance"
    )
    return ["more than the limit at 200 instances"] if worst > 0 else []


def cost(quick: bool) -> list[str]:
    """A token's own cost, and bytes at 30 instances and 1,000 tenants of which 10 are busy."""
    count = 100_000 if quick else 400_000
    core = Budgets("p0", ["p0"], TokenTerms(), random.Random(1), 0.0)
    found: dict[str, list[float]] = {"bucket": [], "budget": []}
    for _ in range(5):
        plain = Bucket(1e9, 0.0)
        begun = time.perf_counter()
        for number in range(count):
            plain.take(number / 1e3, 1e6, 1e6)
        found["bucket"].append((time.perf_counter() - begun) / count * 1e9)
        begun = time.perf_counter()
        for number in range(count):
            core.take("t", 1_000.0 + number, 1e6, 1e6)
        found["budget"].append((time.perf_counter() - begun) / count * 1e9)
    print("cost: a token " + ", ".join(f"{name} {min(values):.0f} ns" for name, values in found.items()))
    names = [f"p{number:02}" for number in range(30)]
    made = World(names, "ours", {f"tenant-{n:04}": LIMIT for n in range(1_000)}, 5)
    sizes = [0, 0]

    def weigh(sender: str, to: str, body: Any) -> list[float] | None:
        sizes[0] += len(
            encode_message(b"s" * 32, Envelope(sender, Incarnation(1 << 40, 1 << 60), 1 << 20, to, body))
        )
        sizes[1] += 1
        return None

    made.run(2_000.0)
    for number in range(10):
        for name in names:
            made.demand(name, f"tenant-{number:04}", 10.0, FOREVER)
    made.run(1_000.0)
    made.fate = weigh
    made.run(5_000.0)
    print(
        f"cost: 30 instances, 1,000 tenants of which 10 are asked for at three times their limit: "
        f"{sizes[0] / 30 / 5:.0f} bytes/s and {sizes[1] / 30 / 5:.0f} datagrams/s an instance"
    )
    return []


def real(quick: bool) -> list[str]:
    """Five processes asked 30 a second each, a limit of 50 a second, drawn faults; and limits of each."""
    missed = []
    for more, seeds in (("", range(1, 4 if quick else 31)), ('limits = "instance"', range(1, 2))):
        over: list[str] = []
        shares = []
        for seed in seeds:
            plan: Schedule = draw(seed, 5, 6.0 if quick else 10.0)
            with tempfile.TemporaryDirectory(prefix="notchflow-budgets-") as folder:
                outcome = asyncio.run(Rig(Path(folder), plan, 30.0, more, REAL).play())
            answers = [line for line in outcome.lines if line["what"] == "answer"]
            times = [line["t"] for line in answers if line["status"] == 200]
            shares.append((len(times) - REAL.burst) / ((times[-1] - times[0]) / 1e9) / REAL.rate_per_s)
            over += [str(one) for one in outcome.broken]
        name = "limits of each" if more else "one budget"
        print(
            f"real: {name}: {len(shares)} drawn schedules, {min(shares):.2f} to {max(shares):.2f} of the "
            f"limit admitted beyond the burst, broken {over}"
        )
        if not more:
            missed += over
        elif not any("within-limit" in text for text in over):
            missed.append("limits of each were not found to be over")
    return missed


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="fewer and shorter")
    options = parser.parse_args()
    missed = [line for part in (emulated, large, cost, real) for line in part(options.quick)]
    for line in missed:
        print(f"MISSED: {line}")
    return int(bool(missed))


if __name__ == "__main__":
    assert checks.SLACK == 1.05
    sys.exit(main())
