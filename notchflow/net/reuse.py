"""How long a connection to a node must have been idle before it is reused. Free of I/O and of a clock; times
are milliseconds.

HTTP/1.1 matches responses to requests by their order alone. A node may send a second response that nobody
asked for, a little after the first. On an idle connection such bytes are recognised as unsolicited, and the
connection is closed. Once the next request is out, they would be taken for its response, and every later
response on that connection for the response to the request after its own.
"""

from __future__ import annotations

from typing import Final

MIN_REUSE_DELAY_MS: Final = 25.0  # unsolicited responses follow the first one within milliseconds
MAX_REUSE_DELAY_MS: Final = 250.0  # other connections are needed while these are idle
LATENESS_MARGIN: Final = 2.0  # the delay is this multiple of the latest unsolicited response
MEMORY_MS: Final = 30_000.0  # for so long an unsolicited response is remembered


class ReuseDelay:
    """The idle time that a connection needs before its next exchange.

    It rises with the lateness of the unsolicited responses of the last MEMORY_MS. All nodes run the same
    program, so that one delay serves them all.
    """

    __slots__ = ("_raised_ms", "_raised_until")

    def __init__(self) -> None:
        self._raised_ms = MIN_REUSE_DELAY_MS
        self._raised_until = float("-inf")

    def delay_ms(self, now: float) -> float:
        """Returns the idle time, in milliseconds, that a connection needs before it is reused."""
        return self._raised_ms if now < self._raised_until else MIN_REUSE_DELAY_MS

    def record_unsolicited(self, now: float, idle_ms: float) -> bool:
        """Records an unsolicited response on a connection that had been idle for `idle_ms`. Returns whether
        it came too late for any delay, so that the node's connections must not be reused."""
        needed_ms = LATENESS_MARGIN * idle_ms
        current_ms = self.delay_ms(now)
        if needed_ms > MIN_REUSE_DELAY_MS:
            self._raised_ms = min(max(needed_ms, current_ms), MAX_REUSE_DELAY_MS)
            self._raised_until = now + MEMORY_MS
        return needed_ms > MAX_REUSE_DELAY_MS
