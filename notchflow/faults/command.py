"""`notchflow fleet`: a fleet to try, and faults between its processes."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from notchflow.cluster import histories
from notchflow.faults.rig import Outcome, Rig
from notchflow.faults.schedule import Schedule, draw, load
from notchflow.faults.shrink import shrink
from notchflow.hosting.file import InvalidFileError, Issue
from notchflow.hosting.fleet import StartError


def parser() -> argparse.ArgumentParser:
    """The options of `notchflow fleet`."""
    root = argparse.ArgumentParser(prog="notchflow fleet", description=__doc__)
    commands = root.add_subparsers(dest="call", required=True)
    up = commands.add_parser("up", help="start N instances with stand-in boxes and a small load, on loopback")
    up.add_argument("count", type=int, metavar="N")
    up.add_argument("--folder", type=Path, help="keep files, state and histories there")
    up.add_argument("--seconds", type=float, default=0.0, help="end after so long (default: at Ctrl-C)")
    up.add_argument("--rate", type=float, default=60.0, help="requests a second in all (default: 60)")
    up.add_argument("--plain", action="store_true", help="lines instead of a live table")
    check = commands.add_parser("check", help="check a schedule of faults and tell all that is wrong at once")
    check.add_argument("file", type=Path)
    faults = commands.add_parser("faults", help="play schedules of faults on real processes, and judge them")
    faults.add_argument("file", type=Path, nargs="?", help="a schedule; without it they are drawn")
    faults.add_argument("--seed", type=int, default=1, help="of the first that is drawn (default: 1)")
    faults.add_argument("--plays", type=int, default=1, help="how many are drawn (default: 1)")
    faults.add_argument("--instances", type=int, default=5, help="of a drawn schedule (default: 5)")
    faults.add_argument("--seconds", type=float, default=10.0, help="of a drawn schedule (default: 10)")
    faults.add_argument("--rate", type=float, default=20.0, help="requests a second at each (default: 20)")
    faults.add_argument("--folder", type=Path, help="keep what was played there")
    faults.add_argument("--shrink", action="store_true", help="shorten a schedule that fails")
    return root


def main(arguments: Sequence[str]) -> int:
    """Runs the command. Exit status 0: all rules held; 1: a rule was violated; 2: invalid options or file."""
    options = parser().parse_args(arguments)
    if options.call == "up":
        from notchflow.hosting.fleet_up import up

        return up(options.count, options.folder, options.seconds, options.rate, options.plain)
    try:
        if options.call == "check":
            load(options.file)
            print(f"{options.file}: valid")
            return 0
        plans = _schedules(options)
    except InvalidFileError as error:
        print(error, file=sys.stderr)
        return 2
    try:
        return asyncio.run(_play(plans, options))
    except (StartError, OSError) as error:
        print(f"notchflow: {error}", file=sys.stderr)
        return 1


def _schedules(options: argparse.Namespace) -> list[Schedule]:
    if options.file is not None:
        return [load(options.file)]
    if not 2 <= options.instances <= 16 or options.seconds < 1 or options.plays < 1:
        raise InvalidFileError(
            Path("notchflow fleet faults"),
            [
                Issue(
                    "--instances, --seconds, --plays",
                    f"are {options.instances}, {options.seconds:g} and "
                    f"{options.plays}; 2 to 16, 1 or more, 1 or more",
                )
            ],
        )
    return [draw(options.seed + n, options.instances, options.seconds) for n in range(options.plays)]


async def _play(plans: list[Schedule], options: argparse.Namespace) -> int:
    failed = 0
    with tempfile.TemporaryDirectory(prefix="notchflow-faults-") as scratch:
        root = options.folder or Path(scratch)
        for plan in plans:
            folder = root / f"seed-{plan.seed}"
            outcome = await _play_one(folder, plan, options.rate)
            print(_summary_line(plan, outcome), flush=True)
            if outcome.violations:
                failed += 1
                await _explain(folder, plan, outcome, options)
    return int(failed > 0)


async def _play_one(folder: Path, plan: Schedule, rate: float) -> Outcome:
    folder.mkdir(parents=True, exist_ok=False)
    (folder / "schedule.toml").write_text(plan.toml())
    outcome = await Rig(folder, plan, rate).play()
    histories.write_lines(folder / "history.jsonl", outcome.lines)
    return outcome


async def _explain(folder: Path, plan: Schedule, outcome: Outcome, options: argparse.Namespace) -> None:
    """Prints the violations of a failed play, and with `--shrink` the shortest schedule that still fails."""
    for violation in outcome.violations[:10]:
        print(f"  {violation}")
    if not options.shrink:
        print(plan.toml())
        return
    attempts = 0

    async def fails(shorter: Schedule) -> bool:
        nonlocal attempts
        attempts += 1
        return bool((await _play_one(folder / f"try-{attempts}", shorter, options.rate)).violations)

    shortest, played = await shrink(plan, fails)
    print(f"  after {played} plays the shortest that still fails:")
    print(shortest.toml())


def _summary_line(plan: Schedule, outcome: Outcome) -> str:
    kinds = ", ".join(fault.kind for fault in plan.faults)
    convergence = "never" if outcome.convergence_ms is None else f"{outcome.convergence_ms:.0f} ms"
    verdict = f"{len(outcome.violations)} rules broken" if outcome.violations else "held"
    return (
        f"seed {plan.seed}: {verdict}; {plan.instances} instances, {outcome.request_count} requests, "
        f"views equal {convergence} after the end; faults: {kinds}"
    )
