"""What the watch is compared with, and was before: one call at a time with a wait of 20 s, given up a second
after it, at every proxy alike."""

from __future__ import annotations

from typing import Final

from notchflow.net.watch import CancelCall, ListWatch, PendingCall, WatchAction

FIXED_WAIT_MS: Final = 20_000
GIVE_UP_MS: Final = 1_000.0
AGAIN_MS: Final = 500.0


class FixedWaits(ListWatch):
    """One call at a time, and the next after its end."""

    def _wait_ms(self, now: float) -> int:
        return FIXED_WAIT_MS

    def _renewal_at(self, now: float, out: PendingCall) -> float:
        return float("inf")

    def _overdue_at(self, out: PendingCall) -> float:
        return out.begun_at + out.wait_ms + GIVE_UP_MS

    def wake(self, now: float) -> list[WatchAction]:
        for out in list(self.pending_calls):
            if self._overdue_at(out) <= now:
                return [CancelCall(out.number), *self.failed(now, out.number, "no answer")]
        return super().wake(now)

    def _after_failure(self, now: float, problem: str) -> list[WatchAction]:
        actions = super()._after_failure(now, problem)
        if not self.on_request:
            self.next_at = now + AGAIN_MS
        return actions
