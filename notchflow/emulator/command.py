"""`notchflow lab`: simulates one kind of day with several seeds, each decider on the same random draws."""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from collections.abc import Sequence
from typing import Final

from rich.console import Console
from rich.table import Table

from notchflow.emulator.deciders import DECIDERS
from notchflow.emulator.spec import Day, Event, Fleet, Load
from notchflow.emulator.world import World

WIDTH: Final = 112  # least width of the table in characters, even where the terminal is narrower
DAYS: dict[str, tuple[Event, ...]] = {
    "calm": (),
    "drain": (Event(3_000.0, "drain", 0.6, 5_000.0),),
    "restart": (Event(3_000.0, "restart", 1.0, 8_000.0),),
    "massacre": (Event(3_000.0, "massacre", 0.7),),
    "zone": (Event(3_000.0, "zone", 1.0, 5_000.0),),
    "slow": (Event(3_000.0, "slow", 0.125, 8_000.0),),
    "release": (Event(3_000.0, "drain", 0.5, 6_000.0), Event(4_000.0, "restart", 1.0, 8_000.0)),
}


def parser() -> argparse.ArgumentParser:
    """Builds the command's argument parser."""
    arguments_parser = argparse.ArgumentParser(prog="notchflow lab", description=__doc__)
    arguments_parser.add_argument("day", choices=sorted(DAYS))
    arguments_parser.add_argument(
        "--deciders",
        default="notchflow,rendezvous,two-choices",
        help=f"some of {', '.join(DECIDERS)} (default: %(default)s)",
    )
    arguments_parser.add_argument(
        "--draws", type=int, default=2, help="days of this kind, each by its seed (default: 2)"
    )
    arguments_parser.add_argument("--seed", type=int, default=1, help="of the first (default: 1)")
    arguments_parser.add_argument("--boxes", type=int, default=24)
    arguments_parser.add_argument("--proxies", type=int, default=40)
    arguments_parser.add_argument(
        "--load", type=float, default=0.5, help="of what all warm boxes can do (default: 0.5)"
    )
    arguments_parser.add_argument(
        "--hot", type=float, default=0.0, help="part of the traffic that asks for one key"
    )
    arguments_parser.add_argument("--seconds", type=float, default=10.0, help="length of a day (default: 10)")
    return arguments_parser


def main(arguments: Sequence[str]) -> int:
    """Prints the table. Returns 2 for an invalid option, 1 where the policy violated a rule, else 0."""
    options = parser().parse_args(arguments)
    names = options.deciders.split(",")
    unknown = [name for name in names if name not in DECIDERS]
    if unknown:
        known = ", ".join(DECIDERS)
        print(f"notchflow: --deciders: {', '.join(unknown)}; known are {known}", file=sys.stderr)
        return 2
    if options.draws < 1 or options.seconds <= 0:
        print(
            f"notchflow: --draws {options.draws}, --seconds {options.seconds:g}; both must be above 0",
            file=sys.stderr,
        )
        return 2
    try:
        fleet, load = Fleet(options.boxes, options.proxies), Load(load=options.load, hot=options.hot)
        days = [
            Day(fleet, load, DAYS[options.day], options.seconds * 1e3, options.seed + n)
            for n in range(options.draws)
        ]
    except ValueError as error:
        print(f"notchflow: {error}", file=sys.stderr)
        return 2
    sizes = f"{options.boxes} boxes, {options.proxies} proxies"
    table = Table(title=f"{options.day}: {options.draws} draws, {sizes}")
    for column in (
        "decider",
        "worth in time",
        "spread",
        "late",
        "refused",
        "failed",
        "dials a try",
        "rules broken",
        "seconds a day",
    ):
        table.add_column(column, justify="left" if column == "decider" else "right")
    broken = 0
    for name in names:
        rows = [_row(day, name) for day in days]
        shares = [row[0] for row in rows]
        broken += sum(row[6] for row in rows) if name == "notchflow" else 0
        spread = statistics.pstdev(shares)
        means = [statistics.fmean(row[i] for row in rows) for i in range(1, 6)]
        table.add_row(
            name,
            f"{statistics.fmean(shares):.3f}",
            f"{spread:.3f}",
            *(f"{value:.3f}" for value in means[:4]),
            str(sum(row[6] for row in rows)),
            f"{means[4]:.1f}",
        )
    console = Console()
    Console(width=max(console.width, WIDTH)).print(table)
    return int(broken > 0)


def _row(day: Day, name: str) -> tuple[float, float, float, float, float, float, int]:
    """Share of worth in time; late, refused, failed and dials per request; seconds taken; number of distinct
    rules violated."""
    started_at = time.monotonic()
    ledger = World(day, DECIDERS[name]).simulate()
    total = ledger.total()
    requests = max(total.offered, 1)
    return (
        ledger.share_in_time(),
        total.late / requests,
        total.refused / requests,
        total.failed / requests,
        total.dials / requests,
        time.monotonic() - started_at,
        len({b.rule for b in ledger.broken}),
    )
