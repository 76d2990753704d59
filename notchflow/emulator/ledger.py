"""What a day came to, second by second, and whether a rule was broken. It knows nothing of who decides."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Final


@dataclass(slots=True)
class Second:
    """One second of a day: requests by what became of them (first tries and retries alike), worth,
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
class Broken:
    """A rule that was broken: when, which and how."""

    at: float
    rule: str
    what: str


class Ledger:
    """The books of a day."""

    def __init__(self) -> None:
        self.seconds: dict[int, Second] = {}
        self.broken: list[Broken] = []
        self.first_tries = 0
        self.latencies: list[float] = []

    def second(self, now: float) -> Second:
        number = int(now // 1000)
        found = self.seconds.get(number)
        if found is None:
            found = self.seconds[number] = Second()
        return found

    def breaks(self, now: float, rule: str, what: str) -> None:
        self.broken.append(Broken(now, rule, what))

    def total(self, since: float = 0.0, until: float = float("inf")) -> Second:
        """All seconds that begin within a span."""
        total = Second()
        for number, one in self.seconds.items():
            if since <= number * 1000 < until:
                for name in SUMMED:
                    setattr(total, name, getattr(total, name) + getattr(one, name))
                total.attempts.update(one.attempts)
        return total

    def share_in_time(self, since: float = 0.0, until: float = float("inf")) -> float:
        """Worth in time over worth asked for."""
        total = self.total(since, until)
        return total.worth_in_time / total.worth if total.worth else 1.0
