"""Suspicion timeouts and local health awareness. No I/O.

After Lifeguard (Dadgar, Phillips and Currey, DSN 2018): a suspicion timeout starts at its maximum and shrinks
with each independent accuser; an instance that misses expected answers lowers its own health and extends its
probe timeouts. In addition, a suspicion does not run while this process is stalled.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from notchflow.cluster.model import Record


@dataclass(slots=True)
class Suspicion:
    """A running suspicion of one revision of a member's incarnation."""

    record: Record
    started_at: float
    min_ms: float
    max_ms: float
    confirmations_needed: int
    accusers: set[str] = field(default_factory=set)

    def expires_at(self) -> float:
        """When the member is declared dead."""
        if self.confirmations_needed < 1:
            return self.started_at + self.min_ms
        confirmations = min(max(len(self.accusers) - 1, 0), self.confirmations_needed)
        share = math.log(confirmations + 1) / math.log(self.confirmations_needed + 1)
        return self.started_at + self.max_ms - share * (self.max_ms - self.min_ms)

    def add_accuser(self, accuser: str) -> bool:
        """Adds an accuser; True if it is new and still shortens the timeout, and so is passed on."""
        if accuser in self.accusers or len(self.accusers) > self.confirmations_needed:
            return False
        self.accusers.add(accuser)
        return True


class LocalHealth:
    """Lifeguard's local health multiplier: score 0 is healthy; probe timeouts are multiplied by score + 1."""

    __slots__ = ("score", "max_score")

    def __init__(self, max_score: int) -> None:
        self.score = 0
        self.max_score = max_score - 1

    def adjust(self, delta: int) -> None:
        """Adds to the score, within 0 and the maximum."""
        self.score = min(max(self.score + delta, 0), self.max_score)

    @property
    def multiplier(self) -> int:
        """Factor for probe timeouts."""
        return self.score + 1
