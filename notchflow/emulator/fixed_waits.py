"""Baseline that the watch is compared with: one call at a time with a fixed wait of 20 s, cancelled one
second after the wait is over, the same at every proxy."""

from __future__ import annotations

from typing import Final

from notchflow.net.watch import CancelCall, ListWatch, PendingCall, WatchAction

FIXED_WAIT_MS: Final = 20_000
CALL_TIMEOUT_MS: Final = 1_000.0
RETRY_MS: Final = 500.0


class FixedWaits(ListWatch):
    """A watch with one call at a time; the next call starts after its end."""

    def _wait_ms(self, now: float) -> int:
        return FIXED_WAIT_MS

    def _renewal_at(self, now: float, out: PendingCall) -> float:
        return float("inf")

    def _overdue_at(self, out: PendingCall) -> float:
        return out.begun_at + out.wait_ms + CALL_TIMEOUT_MS

    def wake(self, now: float) -> list[WatchAction]:
        """Cancels an overdue call."""
        for out in list(self.pending_calls):
            if self._overdue_at(out) <= now:
                return [CancelCall(out.number), *self.failed(now, out.number, "no answer")]
        return super().wake(now)

    def _after_failure(self, now: float, problem: str) -> list[WatchAction]:
        actions = super()._after_failure(now, problem)
        if not self.on_request:
            self.next_at = now + RETRY_MS
        return actions
