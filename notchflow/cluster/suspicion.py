"""Suspicions that run, and how far an instance trusts its own judgement. Pure.

After Lifeguard (Dadgar, Phillips and Currey, DSN 2018): a suspicion begins long and becomes shorter with each
independent accuser; who misses answers that others should have given judges itself slow and gives more time.
What goes beyond it: a suspicion does not run while the one that judges sleeps.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from notchflow.cluster.model import Record


@dataclass(slots=True)
class Suspicion:
    """Of one revision of one life of a member."""

    record: Record
    since: float
    shortest: float
    longest: float
    needed: int
    accusers: set[str] = field(default_factory=set)

    def due(self) -> float:
        """When the member is held dead."""
        if self.needed < 1:
            return self.since + self.shortest
        others = min(max(len(self.accusers) - 1, 0), self.needed)
        share = math.log(others + 1) / math.log(self.needed + 1)
        return self.since + self.longest - share * (self.longest - self.shortest)

    def accuse(self, accuser: str) -> bool:
        """Another says so too; whether that is worth passing on."""
        if accuser in self.accusers or len(self.accusers) > self.needed:
            return False
        self.accusers.add(accuser)
        return True


class LocalHealth:
    """How slow this instance is itself: 0 is well. Timeouts are stretched by one and this."""

    __slots__ = ("score", "most")

    def __init__(self, most: int) -> None:
        self.score = 0
        self.most = most - 1

    def change(self, by: int) -> None:
        self.score = min(max(self.score + by, 0), self.most)

    @property
    def factor(self) -> int:
        return self.score + 1
