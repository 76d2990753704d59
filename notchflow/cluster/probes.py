"""Whom to probe next, and the probes that are out. Pure."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from notchflow.cluster.model import NO_INCARNATION, Incarnation


@dataclass(slots=True)
class Probe:
    """One probe of one member: direct first, through others after `ask_at`, failed at `due`."""

    target: str
    incarnation: Incarnation  # of the target, as it was held when asked
    asked_at: float
    ask_at: float
    due: float
    asked: bool = False  # others are probing as well
    helpers: int = 0
    nacks: int = 0
    through: bool = False  # somebody else reached it


@dataclass(slots=True)
class Errand:
    """A probe made in another's place."""

    asker: str
    number: int  # the asker's
    target: str
    due: float


@dataclass(slots=True)
class Round:
    """The roster in a drawn order, drawn anew after each round (SWIM, 4.3): between two probes of a member
    lie less than two rounds."""

    names: list[str]
    rng: random.Random
    queue: list[str] = field(default_factory=list)

    def next(self, left: frozenset[str]) -> str | None:
        """Who is probed next; nobody where all have left."""
        for _ in range(len(self.names) + 1):
            if not self.queue:
                self.queue = list(self.names)
                self.rng.shuffle(self.queue)
            if not self.queue:
                return None
            name = self.queue.pop()
            if name not in left:
                return name
        return None


class Probes:
    """Probes and errands by their numbers."""

    def __init__(self, names: Iterable[str], rng: random.Random) -> None:
        self.round = Round(list(names), rng)
        self.out: dict[int, Probe] = {}
        self.errands: dict[int, Errand] = {}
        self.number = rng.getrandbits(32)

    def begin(self, target: str, life: Incarnation | None, now: float, timeout: float, due: float) -> int:
        self.number += 1
        self.out[self.number] = Probe(target, life or NO_INCARNATION, now, now + timeout, due)
        return self.number

    def errand(self, asker: str, number: int, target: str, due: float) -> int:
        self.number += 1
        self.errands[self.number] = Errand(asker, number, target, due)
        return self.number

    def out_for(self, target: str) -> bool:
        return any(probe.target == target for probe in self.out.values())

    def next_due(self) -> float:
        dues = [p.due if p.asked else min(p.ask_at, p.due) for p in self.out.values()]
        dues += [e.due for e in self.errands.values()]
        return min(dues, default=float("inf"))

    def forget(self) -> int:
        """Drops all probes without a verdict; how many there were."""
        count = len(self.out)
        self.out.clear()
        self.errands.clear()
        return count
