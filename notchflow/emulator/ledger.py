"""Results of a simulated day, second by second, and violations of the rules. Independent of the decider."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Final


@dataclass(slots=True)
class Second:
    """Counts of one second: requests by outcome (first attempts of clients and retries alike), worth and
    attempts."""

    offered: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    worth: float = 0.0
    worth_in_time: float = 0.0
    attempts: Counter[str] = field(default_factory=Counter)
    dials: int = 0


SUMMED: Final = ("offered", "in_time", "late", "refused", "failed", "worth", "worth_in_time", "dials")


@dataclass(slots=True)
class Violation:
    """A violation of a rule: when, which and how."""

    at: float
    rule: str
    what: str


class Ledger:
    """Results of one day."""

    def __init__(self) -> None:
        self.seconds: dict[int, Second] = {}
        self.broken: list[Violation] = []
        self.first_attempts = 0
        self.latencies: list[float] = []

    def second(self, now: float) -> Second:
        """Returns the counts of the second that a time falls in."""
        number = int(now // 1000)
        record = self.seconds.get(number)
        if record is None:
            record = self.seconds[number] = Second()
        return record

    def report(self, now: float, rule: str, what: str) -> None:
        """Records a violation of a rule."""
        self.broken.append(Violation(now, rule, what))

    def total(self, since: float = 0.0, until: float = float("inf")) -> Second:
        """Sums the seconds that begin within a time span (milliseconds)."""
        total = Second()
        for number, record in self.seconds.items():
            if since <= number * 1000 < until:
                for name in SUMMED:
                    setattr(total, name, getattr(total, name) + getattr(record, name))
                total.attempts.update(record.attempts)
        return total

    def share_in_time(self, since: float = 0.0, until: float = float("inf")) -> float:
        """Worth answered in time over worth requested."""
        total = self.total(since, until)
        return total.worth_in_time / total.worth if total.worth else 1.0
