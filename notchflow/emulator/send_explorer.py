"""Bounded model checking with whole proxies: the placements of `watch_explorer`, each with nodes that drain
and are removed, one that returns under its id, one that changes its address, and one whose address another
takes.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from itertools import product

from notchflow.emulator.sends import Plan, Sends, WatchedHost
from notchflow.emulator.watch_explorer import days
from notchflow.emulator.watches import Day

PLANS: tuple[Plan, ...] = (
    (("n1", "draining", 1), ("n1", "removed", 1), ("n1", "up", 1)),  # removed and back
    (("n1", "draining", 1), ("n2", "draining", 2), ("n1", "up", 4)),  # back at another address
    (("n1", "up", 4), ("n2", "up", 1), ("n3", "draining", 3)),  # its address is taken by another node
)

DRAIN_GRACES_MS = (250.0, 250.0, 100.0)


def schedules(asked: bool, moments: tuple[float, ...]) -> Iterator[tuple[Day, Plan]]:
    """Enumerates all days. The last plan has a drain grace shorter than a dial may take."""
    for day, (number, plan) in product(days(asked, moments), enumerate(PLANS)):
        yield replace(day, grace_ms=DRAIN_GRACES_MS[number]), plan


def run_case(case: tuple[Day, Plan], make: Callable[..., WatchedHost] = WatchedHost) -> tuple[int, list[str]]:
    """Simulates a day; returns the number of requests and the violations."""
    world = Sends(*case, make)
    broken = world.run()
    return world.requests, broken


def explore(
    cases: list[tuple[Day, Plan]], processes: int | None = None
) -> tuple[int, list[tuple[tuple[Day, Plan], list[str]]]]:
    """Simulates the days in parallel; returns the number of requests and the days with violations."""
    with ProcessPoolExecutor(processes, initializer=logging.disable) as pool:
        results = list(pool.map(run_case, cases, chunksize=8))
    return (
        sum(requests for requests, _ in results),
        [(case, broken) for case, (_, broken) in zip(cases, results, strict=True) if broken],
    )
