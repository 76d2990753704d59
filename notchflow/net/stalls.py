"""Whether the process has stood still (no processor, a pause, a long collection), so that what it reads now
may have lain unread for longer than a turn of the loop takes. Free of I/O and of a clock; times are
milliseconds."""

from __future__ import annotations

from typing import Final

STALL_CHECK_MS: Final = 25.0


class StallDetector:
    """Knows the last moment at which the process is known to have run, from a timer that fires every
    STALL_CHECK_MS.

    A stall shorter than STALL_CHECK_MS is not seen; each longer than twice that is.
    """

    __slots__ = ("beat_at",)

    def __init__(self, now: float) -> None:
        self.beat_at = now

    def mark_running(self, now: float) -> float:
        """The timer has fired; when it is due next."""
        self.beat_at = now
        return now + STALL_CHECK_MS

    def earliest_arrival(self, now: float) -> float:
        """When what is read now may have come at the earliest."""
        return now if now - self.beat_at < 2 * STALL_CHECK_MS else self.beat_at
