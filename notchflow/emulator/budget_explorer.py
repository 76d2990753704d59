"""Bounded model checking of token lending: all fault schedules within a scope, invariants after every step.

Three instances share a budget of a few tokens, and two of them demand more than the budget. Faults: the fate
of each of the first messages (lost, doubled, late within a token's lifetime, or later), one restart of an
instance during its loans, one pause, and one clock that is slow by the maximum drift. Invariants: the tokens
usable at any moment, and the requests admitted over any window, stay within the budget.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any, Final

from notchflow.cluster.budgets import TokenTerms
from notchflow.emulator.budgets import Budget, RealCore, World

NAMES: Final = ("p1", "p2", "p3")
KEY: Final = "t"
STEP_MS, LENGTH_MS = 10.0, 2_400.0
BEGIN_MS: Final = 1_500.0  # by then all shares are open and full
DELAYS: Final = {"lost": [], "doubled": [1.0, 30.0], "late": [350.0], "too late": [1_200.0]}
TERMS: Final = TokenTerms()
ROUNDING: Final = 1e-6


@dataclass(frozen=True, slots=True)
class Case:
    """`fates`: fates of messages by their number; `restart`: which instance is restarted and when; `pause`:
    which instance, when and for how long; `slow`: whose clock is slow by the maximum drift."""

    fates: tuple[tuple[int, str], ...]
    restart: tuple[str, float] | None
    pause: tuple[str, float, float] | None
    slow: str | None


@dataclass(frozen=True, slots=True)
class Scope:
    """Bounds of the exploration."""

    messages: int = 12
    fates: tuple[str, ...] = ("lost", "doubled", "late", "too late")
    restarts: tuple[tuple[str, float], ...] = tuple(itertools.product(("p1", "p2"), (20.0, 300.0)))
    pauses: tuple[tuple[str, float, float], ...] = tuple(
        itertools.product(("p1", "p2"), (20.0, 300.0), (400.0, 1_100.0))
    )
    slow: tuple[str | None, ...] = (None, "p2")
    faulty_messages: int = 1  # number of messages with a fault in one case

    def cases(self) -> Iterator[Case]:
        """Enumerates all schedules."""
        single = list(itertools.product(range(self.messages), self.fates))
        fates = [
            chosen
            for count in range(self.faulty_messages + 1)
            for chosen in itertools.combinations(single, count)
        ]
        for fate, restart, pause, slow in itertools.product(
            fates, (None, *self.restarts), (None, *self.pauses), self.slow
        ):
            yield Case(fate, restart, pause, slow)


class CaseRunner:
    """Runs one case: p2 and p3 demand more than the budget, p1 nothing, so that its share is lent."""

    def __init__(self, case: Case, budget: Budget) -> None:
        self.case, self.budget = case, budget
        self.world = World(NAMES, "ours", {KEY: budget}, 5, (1.0, 1.0))
        self.last_message = -1
        if case.slow is not None:
            self.world.kill(case.slow)
            self.world.start(case.slow, 1.0 - TERMS.clock_drift)

    def run(self) -> list[str]:
        """Runs the case and returns the violated invariants."""
        world = self.world
        world.run(BEGIN_MS)
        world.fate = self._delays
        started_at = world.sim.now
        if self.case.restart is not None:
            world.sim.at(started_at + self.case.restart[1], self._restart, self.case.restart[0])
        if self.case.pause is not None:
            who, at, ms = self.case.pause
            world.sim.at(started_at + at, world.pause, who, ms)
        number = 0
        while world.sim.now < started_at + LENGTH_MS:
            number += 1
            self._send_requests(number)
            world.run(STEP_MS)
            usable = self._usable_tokens()
            if usable > self.budget.burst + ROUNDING:
                return [f"{usable:.3f} tokens are usable, the budget is {self.budget.burst:g}"]
        excess = world.ledgers[KEY].max_excess
        if excess > ROUNDING:
            return [f"admissions exceeded the budget by {excess:.3f} requests"]
        if not any(self.case.fates) and self.case.restart is None and self.case.pause is None:
            return self._check_lending()
        return []

    def _send_requests(self, number: int) -> None:
        """p2 alternates bursts and pauses, so that borrowed tokens stay unused while shares refill. p3 sends
        now and then, p1 at the end."""
        if number % 75 < 8 or number > 180:
            for _ in range(2):
                self.world.request("p2", KEY)
        if number % 90 > 70:
            self.world.request("p3", KEY)
        if number > 210:
            self.world.request("p1", KEY)

    def _check_lending(self) -> list[str]:
        """Without faults, tokens must have been lent."""
        lent = sum(
            node.core.budgets.metrics["lent"]
            for node in self.world.nodes.values()
            if isinstance(node.core, RealCore)
        )
        return [] if lent else ["no tokens were lent"]

    def _usable_tokens(self) -> float:
        """Tokens that all running and paused instances could use now."""
        world = self.world
        total = 0.0
        for node in world.nodes.values():
            if node.alive:
                assert isinstance(node.core, RealCore)
                total += node.core.budgets.usable_tokens(KEY, world.clock(node))
        return total

    def _restart(self, name: str) -> None:
        self.world.kill(name)
        self.world.start(name)

    def _delays(self, sender: str, to: str, body: Any) -> list[float] | None:
        self.last_message += 1
        for number, fate in self.case.fates:
            if number == self.last_message:
                return DELAYS[fate]
        return None


BUDGETS: Final = (Budget(40.0, 30.0), Budget(4.0, 2.0))


def run_case(job: tuple[Case, Budget]) -> tuple[Case, list[str]]:
    """Runs one case with one budget; returns the case with the violated invariants."""
    return job[0], CaseRunner(*job).run()


def explore(scope: Scope, processes: int = 1) -> tuple[int, list[tuple[Case, list[str]]]]:
    """Runs all cases; returns their number and those with violations."""
    jobs = list(itertools.product(scope.cases(), BUDGETS))
    if processes <= 1:
        found = [run_case(job) for job in jobs]
    else:
        with ProcessPoolExecutor(processes) as pool:
            found = list(pool.map(run_case, jobs, chunksize=64))
    return len(jobs), [(case, broken) for case, broken in found if broken]
