"""All schedules of a few faults on a budget that instances lend, and the invariant after every step.

Three instances, a budget of a few tokens, two ask for more than there is; what becomes of each of the first
messages (lost, doubled, late within a token's life, late beyond it), one start of an instance while its
former loans run, one pause, one clock that is slow by the whole drift. What must hold: the tokens that could
be used at any moment, and what was admitted over any window, stay within the budget.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any, Final

from notchflow.cluster.budgets import TokenTerms
from notchflow.emulator.budgets import Budget, Ours, World

NAMES: Final = ("p1", "p2", "p3")
KEY: Final = "t"
STEP_MS, LENGTH_MS = 10.0, 2_400.0
BEGIN_MS: Final = 1_500.0  # by then all parts are open, and full
DELAYS: Final = {"lost": [], "doubled": [1.0, 30.0], "late": [350.0], "too late": [1_200.0]}
TERMS: Final = TokenTerms()
ROUNDING: Final = 1e-6


@dataclass(frozen=True, slots=True)
class Case:
    """`fates`: of which message from the beginning (its number) what becomes; `turn`: who is killed and
    started when; `pause`: who, when, for how long; `slow`: whose clock is slow by the whole drift."""

    fates: tuple[tuple[int, str], ...]
    turn: tuple[str, float] | None
    pause: tuple[str, float, float] | None
    slow: str | None


@dataclass(frozen=True, slots=True)
class Scope:
    messages: int = 12
    fates: tuple[str, ...] = ("lost", "doubled", "late", "too late")
    turns: tuple[tuple[str, float], ...] = tuple(itertools.product(("p1", "p2"), (20.0, 300.0)))
    pauses: tuple[tuple[str, float, float], ...] = tuple(
        itertools.product(("p1", "p2"), (20.0, 300.0), (400.0, 1_100.0))
    )
    slow: tuple[str | None, ...] = (None, "p2")
    together: int = 1  # messages with a fate of their own

    def cases(self) -> Iterator[Case]:
        single = list(itertools.product(range(self.messages), self.fates))
        fates = [
            chosen for count in range(self.together + 1) for chosen in itertools.combinations(single, count)
        ]
        for one, turn, pause, slow in itertools.product(
            fates, (None, *self.turns), (None, *self.pauses), self.slow
        ):
            yield Case(one, turn, pause, slow)


class Play:
    """One case: p2 and p3 ask for more than all there is, p1 for nothing; its part is lent."""

    def __init__(self, case: Case, budget: Budget) -> None:
        self.case, self.budget = case, budget
        self.world = World(NAMES, "ours", {KEY: budget}, 5, (1.0, 1.0))
        self.sent = -1
        if case.slow is not None:
            self.world.kill(case.slow)
            self.world.start(case.slow, 1.0 - TERMS.clock_drift)

    def run(self) -> list[str]:
        world = self.world
        world.run(BEGIN_MS)
        world.fate = self._fate
        begun = world.sim.now
        if self.case.turn is not None:
            world.sim.at(begun + self.case.turn[1], self._again, self.case.turn[0])
        if self.case.pause is not None:
            who, at, ms = self.case.pause
            world.sim.at(begun + at, world.pause, who, ms)
        number = 0
        while world.sim.now < begun + LENGTH_MS:
            number += 1
            self._demand(number)
            world.run(STEP_MS)
            there = self._potential()
            if there > self.budget.burst + ROUNDING:
                return [f"{there:.3f} tokens may be used, of {self.budget.burst:g}"]
        over = world.ledgers[KEY].worst
        if over > ROUNDING:
            return [f"{over:.3f} requests more were admitted than the budget allows"]
        if not any(self.case.fates) and self.case.turn is None and self.case.pause is None:
            return self._used()
        return []

    def _demand(self, number: int) -> None:
        """p2 asks for much, then for nothing, and so on: what it has borrowed lies there unspent while parts
        fill again. p3 asks now and then, p1 at the end."""
        if number % 75 < 8 or number > 180:
            for _ in range(2):
                self.world.request("p2", KEY)
        if number % 90 > 70:
            self.world.request("p3", KEY)
        if number > 210:
            self.world.request("p1", KEY)

    def _used(self) -> list[str]:
        """Without a fault what is lent must be of use."""
        lent = sum(
            node.part.core.metrics["lent"]
            for node in self.world.nodes.values()
            if isinstance(node.part, Ours)
        )
        return [] if lent else ["nothing was lent"]

    def _potential(self) -> float:
        """Tokens that could be used now, at all that run or sleep."""
        world = self.world
        total = 0.0
        for node in world.nodes.values():
            if node.alive:
                assert isinstance(node.part, Ours)
                total += node.part.core.usable_tokens(KEY, world.clock(node))
        return total

    def _again(self, name: str) -> None:
        self.world.kill(name)
        self.world.start(name)

    def _fate(self, sender: str, to: str, body: Any) -> list[float] | None:
        self.sent += 1
        for number, fate in self.case.fates:
            if number == self.sent:
                return DELAYS[fate]
        return None


BUDGETS: Final = (Budget(40.0, 30.0), Budget(4.0, 2.0))


def play(job: tuple[Case, Budget]) -> tuple[Case, list[str]]:
    return job[0], Play(*job).run()


def explore(scope: Scope, processes: int = 1) -> tuple[int, list[tuple[Case, list[str]]]]:
    """How many cases were played, and those that break something."""
    jobs = list(itertools.product(scope.cases(), BUDGETS))
    if processes <= 1:
        found = [play(job) for job in jobs]
    else:
        with ProcessPoolExecutor(processes) as pool:
            found = list(pool.map(play, jobs, chunksize=64))
    return len(jobs), [(case, broken) for case, broken in found if broken]
