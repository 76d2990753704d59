"""Bounded model checking of the watch: every placement of a few events on a few times. Two proxies, three
changes, and at most one each of a silence, a cut answer, a move and a restart. Each placement is a day of
`watches`, checked against the operators' rules.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import combinations_with_replacement, product

from notchflow.emulator.watches import Day, WatchFactory, World
from notchflow.net.watch import ListWatch

LENGTH_MS = 75_000.0  # longer than the longest wait of a watch where lists are requested
PUSHED_MS = 36_000.0


def days(asked: bool, moments: tuple[float, ...], changes: int = 3) -> Iterator[Day]:
    """Enumerates the placements. Changes are interchangeable, so that their order does not matter."""
    optional = [(), *((at,) for at in moments)]
    for change_times, silence, cut, move, restart in product(
        combinations_with_replacement(moments, changes), optional, optional, optional, optional
    ):
        yield Day(
            proxies=2,
            asked=asked,
            all_call_ms=3_000.0,
            length_ms=LENGTH_MS if asked else PUSHED_MS,
            changes=tuple(at + 30.0 * n for n, at in enumerate(change_times)),
            silences=tuple(at - 10.0 for at in silence),
            cuts=tuple((at, 0) for at in cut),
            moves=tuple(at - 20.0 for at in move),
            restarts=tuple((at + 10.0, 1) for at in restart),
        )


def run_case(day: Day, make: WatchFactory = ListWatch) -> tuple[Day, list[str]]:
    """Simulates a day; returns it with the violations."""
    return day, World(day, make).simulate().broken


def explore(
    asked: bool, moments: tuple[float, ...], changes: int = 3, processes: int = 1
) -> tuple[int, list[tuple[Day, list[str]]]]:
    """Simulates all placements; returns their number and the days with violations."""
    schedules = days(asked, moments, changes)
    if processes == 1:
        results = list(map(run_case, schedules))
    else:
        with ProcessPoolExecutor(processes) as pool:
            results = list(pool.map(run_case, schedules, chunksize=256))
    return len(results), [(day, broken) for day, broken in results if broken]


def random_day(seed: int) -> Day:
    """Returns a random day: faults of all kinds at random times, in a fleet of random size."""
    rng = random.Random(seed)
    proxies = rng.choice((1, 2, 6, 20, 60))

    def random_times(most: int, until: float = 60_000.0) -> tuple[float, ...]:
        return tuple(sorted(rng.uniform(500.0, until) for _ in range(rng.randint(0, most))))

    def random_times_with_proxy(most: int) -> tuple[tuple[float, int], ...]:
        return tuple((at, rng.randrange(proxies)) for at in random_times(most))

    downs = tuple((at, at + rng.uniform(1_000.0, 9_000.0)) for at in random_times(1, 40_000.0))
    return Day(
        proxies=proxies,
        asked=rng.random() < 0.5,
        all_call_ms=rng.uniform(2_000.0, 8_000.0),
        changes=tuple(sorted(rng.uniform(500.0, 70_000.0) for _ in range(rng.randint(1, 6)))),
        silences=random_times(2),
        resets=random_times(2),
        cuts=random_times_with_proxy(3),
        older=random_times_with_proxy(1),
        downs=downs,
        moves=random_times(1),
        restarts=random_times_with_proxy(3),
        length_ms=150_000.0,
        seed=seed,
        grace_ms=rng.choice((100.0, 250.0, 1_000.0)),
        ask_within_ms=rng.choice((3_000.0, 10_000.0, 30_000.0)),
    )
