"""What a new connection to a node costs a request. Free of I/O and of a clock; times are milliseconds."""

from __future__ import annotations

from typing import Final

GAIN: Final = 0.05  # weight of one sample in the moving means


class DialCost:
    """The time that a dial takes, and how much longer the first exchange on a connection takes than later
    ones, as it does where a handshake follows. All nodes run the same program, so that one cost serves them
    all."""

    __slots__ = ("dial_ms", "first_ms", "later_ms")

    def __init__(self) -> None:
        self.dial_ms = 0.0
        self.first_ms = self.later_ms = 0.0

    def record_dial(self, taken_ms: float) -> None:
        """Records how long a dial took, whether it succeeded or not."""
        self.dial_ms = _moving_mean(self.dial_ms, taken_ms)

    def record_exchange(self, taken_ms: float, first: bool) -> None:
        """Records the time from a request to its response; `first`: on a new connection."""
        if first:
            self.first_ms = _moving_mean(self.first_ms, taken_ms)
        else:
            self.later_ms = _moving_mean(self.later_ms, taken_ms)

    @property
    def total_ms(self) -> float:
        """How much later a response comes over a new connection than over an idle one."""
        extra_ms = self.first_ms - self.later_ms if self.first_ms and self.later_ms else 0.0
        return self.dial_ms + max(0.0, extra_ms)


def _moving_mean(mean: float, sample: float) -> float:
    return mean + GAIN * (sample - mean) if mean else sample
