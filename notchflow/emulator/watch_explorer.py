"""Every placing of a few events on a few moments: two proxies, three changes, and one each of a silence, a
cut answer, a move and a restart, or none of it. Each placing is a day of `watches`, held to the operators'
terms.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import combinations_with_replacement, product

from notchflow.emulator.watches import Day, Maker, World
from notchflow.net.watch import ListWatch

LENGTH_MS = 75_000.0  # past the end of an asked watch's longest wait
PUSHED_MS = 36_000.0


def days(asked: bool, moments: tuple[float, ...], changes: int = 3) -> Iterator[Day]:
    """The placings. Changes are alike, so that their order among themselves does not matter."""
    maybe = [(), *((at,) for at in moments)]
    for when, silence, cut, move, restart in product(
        combinations_with_replacement(moments, changes), maybe, maybe, maybe, maybe
    ):
        yield Day(
            proxies=2,
            asked=asked,
            all_call_ms=3_000.0,
            length_ms=LENGTH_MS if asked else PUSHED_MS,
            changes=tuple(at + 30.0 * n for n, at in enumerate(when)),
            silences=tuple(at - 10.0 for at in silence),
            cuts=tuple((at, 0) for at in cut),
            moves=tuple(at - 20.0 for at in move),
            restarts=tuple((at + 10.0, 1) for at in restart),
        )


def play(day: Day, make: Maker = ListWatch) -> tuple[Day, list[str]]:
    """What a day breaks."""
    return day, World(day, make).play().broken


def explore(
    asked: bool, moments: tuple[float, ...], changes: int = 3, processes: int = 1
) -> tuple[int, list[tuple[Day, list[str]]]]:
    """How many days were played, and those that broke something."""
    placed = days(asked, moments, changes)
    if processes == 1:
        ended = list(map(play, placed))
    else:
        with ProcessPoolExecutor(processes) as pool:
            ended = list(pool.map(play, placed, chunksize=256))
    return len(ended), [(day, broken) for day, broken in ended if broken]


def draw(seed: int) -> Day:
    """A day with troubles of all kinds at drawn moments, in a fleet of a drawn size."""
    rng = random.Random(seed)
    proxies = rng.choice((1, 2, 6, 20, 60))

    def times(most: int, until: float = 60_000.0) -> tuple[float, ...]:
        return tuple(sorted(rng.uniform(500.0, until) for _ in range(rng.randint(0, most))))

    def aimed(most: int) -> tuple[tuple[float, int], ...]:
        return tuple((at, rng.randrange(proxies)) for at in times(most))

    downs = tuple((at, at + rng.uniform(1_000.0, 9_000.0)) for at in times(1, 40_000.0))
    return Day(
        proxies=proxies,
        asked=rng.random() < 0.5,
        all_call_ms=rng.uniform(2_000.0, 8_000.0),
        changes=tuple(sorted(rng.uniform(500.0, 70_000.0) for _ in range(rng.randint(1, 6)))),
        silences=times(2),
        resets=times(2),
        cuts=aimed(3),
        older=aimed(1),
        downs=downs,
        moves=times(1),
        restarts=aimed(3),
        length_ms=150_000.0,
        seed=seed,
        grace_ms=rng.choice((100.0, 250.0, 1_000.0)),
        ask_within_ms=rng.choice((3_000.0, 10_000.0, 30_000.0)),
    )
