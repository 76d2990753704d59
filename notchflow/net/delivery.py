"""Whether a peer still takes what was written to its connection. Free of I/O and of a clock; times are
milliseconds."""

from __future__ import annotations

import math


class DeliveryProgress:
    """Follows the number of bytes that the peer has not acknowledged yet.

    A slow reader frees its receive buffer in large steps, so that for seconds nothing seems to move.
    """

    __slots__ = ("unsent_bytes", "moved_at")

    def __init__(self) -> None:
        self.unsent_bytes = 0
        self.moved_at = -math.inf  # when a change was last seen

    def update(self, now: float, unsent_bytes: int) -> None:
        """Takes the number of bytes that the peer has not acknowledged at this time."""
        if unsent_bytes != self.unsent_bytes:
            self.unsent_bytes, self.moved_at = unsent_bytes, now

    def restart(self, now: float) -> None:
        """Forgets what was left to send: the peer has caught up, and what follows is another response."""
        self.unsent_bytes, self.moved_at = 0, now

    def has_stalled(self, now: float, timeout_ms: float) -> bool:
        """Whether something is left to send, of which the peer has taken nothing for this long."""
        return self.unsent_bytes > 0 and now - self.moved_at > timeout_ms
