"""The limit on how long a connection to a node may be idle and still be reused. Free of I/O and of a clock;
times are milliseconds."""

from __future__ import annotations

from bisect import bisect_right

USABLE_IDLE_SHARE = 0.7  # of the idle time that the settings state
IDLE_BUCKETS_MS = (0.0, 20.0, 30.0, 45.0, 70.0, 100.0, 150.0, 225.0, 340.0, 500.0, 1_000.0, 2_000.0, 5_000.0)
DIAL_COST = 0.15  # of a new connection, in failed requests
MIN_GAIN = 2.0  # failed requests that a lower limit must save
DECAY_INTERVAL_MS = 30_000.0


class IdleLimit:
    """How long a connection may have been idle and still be reused.

    Nodes may close idle connections earlier than the settings say. A request sent at that moment ends as a
    reset, and fails if it must not run twice. On a bad network, however, connections of any age break, and
    dialling new ones only costs more: so the limit depends on how many more reuses fail than on connections
    that were idle for a shorter time. All nodes run the same program, so that one limit serves them all.
    """

    __slots__ = ("configured_ms", "limit_ms", "uses", "failures", "decayed_at")

    def __init__(self, conn_idle_ms: float) -> None:
        self.configured_ms = self.limit_ms = USABLE_IDLE_SHARE * conn_idle_ms
        self.uses = [0.0] * (len(IDLE_BUCKETS_MS) + 1)
        self.failures = [0.0] * (len(IDLE_BUCKETS_MS) + 1)
        self.decayed_at = 0.0

    def configure(self, conn_idle_ms: float) -> None:
        """Applies the idle time that the settings now state, in milliseconds."""
        self.configured_ms = USABLE_IDLE_SHARE * conn_idle_ms
        self.limit_ms = min(self.limit_ms, self.configured_ms)
        self._update_limit()

    def record_use(self, idle_ms: float | None, failed: bool) -> None:
        """Counts a use of a connection, whether it failed, and for how long it was idle; none for a new
        one."""
        self.uses[0 if idle_ms is None else bisect_right(IDLE_BUCKETS_MS, idle_ms)] += 1
        if failed:
            self.failures[0 if idle_ms is None else bisect_right(IDLE_BUCKETS_MS, idle_ms)] += 1
            self._update_limit()

    def decay(self, now: float) -> None:
        """Halves the counts every DECAY_INTERVAL_MS, so that old failures are forgotten."""
        if now >= self.decayed_at + DECAY_INTERVAL_MS:
            self.decayed_at = now
            self.uses = [n / 2 for n in self.uses]
            self.failures = [n / 2 for n in self.failures]
            self._update_limit()

    def _update_limit(self) -> None:
        """Sets the limit to the idle time beyond which dialling instead saves the most failures, if the gain
        is significant."""
        best, limit_ms = (
            (MIN_GAIN / 2 if self.limit_ms < self.configured_ms else MIN_GAIN),
            self.configured_ms,
        )
        uses, failures = self.uses[0], self.failures[0]
        old_uses, old_failures = sum(self.uses) - uses, sum(self.failures) - failures
        for step, idle_ms in enumerate(IDLE_BUCKETS_MS, 1):
            gain = old_failures - old_uses * (failures / max(uses, 1.0) + DIAL_COST)
            if gain >= best:
                best, limit_ms = gain, idle_ms
            uses, failures = uses + self.uses[step], failures + self.failures[step]
            old_uses, old_failures = old_uses - self.uses[step], old_failures - self.failures[step]
        self.limit_ms = min(limit_ms, self.configured_ms)
