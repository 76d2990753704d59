"""Detects stalls of the process (no CPU, a pause, a long garbage collection), after which the data that it
reads may have arrived much earlier. Free of I/O and of a clock; times are milliseconds."""

from __future__ import annotations

from typing import Final

STALL_CHECK_MS: Final = 25.0


class StallDetector:
    """Records when the process last ran for certain, by a timer that fires every STALL_CHECK_MS.

    A stall shorter than STALL_CHECK_MS is not detected; every stall longer than twice that is.
    """

    __slots__ = ("last_running_at",)

    def __init__(self, now: float) -> None:
        self.last_running_at = now

    def mark_running(self, now: float) -> float:
        """The timer has fired; returns when it is due next."""
        self.last_running_at = now
        return now + STALL_CHECK_MS

    def earliest_arrival(self, now: float) -> float:
        """The earliest time at which data that is read now may have arrived."""
        return now if now - self.last_running_at < 2 * STALL_CHECK_MS else self.last_running_at
