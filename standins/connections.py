"""What a stand-in client records of each connection, so that a lost request tells who ended it, and when."""

from __future__ import annotations

import time
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any, Final

NEVER: Final = 0.0


class End(Enum):
    """How a connection ended, as its client saw it."""

    OPEN = "open"
    BY_PEER = "by peer"  # the other side closed it
    BY_RESET = "by reset"
    BY_CLIENT = "by client"


@dataclass(slots=True)
class ConnectionRecord:
    """One connection; times are seconds on the machine's monotonic clock, NEVER where nothing came of it.

    `port` is the client's own: the other side's log names the connection by it.
    """

    port: int
    opened_at: float
    requests: int = 0
    first_sent_at: float = NEVER
    last_sent_at: float = NEVER
    first_received_at: float = NEVER
    last_received_at: float = NEVER
    ended_at: float = NEVER
    end: End = End.OPEN

    def sent(self) -> None:
        """A request goes out."""
        self.requests += 1
        self.last_sent_at = time.monotonic()
        self.first_sent_at = self.first_sent_at or self.last_sent_at

    def received(self) -> None:
        """Bytes of an answer have been read."""
        self.last_received_at = time.monotonic()
        self.first_received_at = self.first_received_at or self.last_received_at

    def ended(self, end: End) -> None:
        """It is over; the first to say so is right."""
        if self.end is End.OPEN:
            self.ended_at, self.end = time.monotonic(), end

    def fields(self) -> dict[str, Any]:
        """As a history shows it: milliseconds from the opening."""
        shown = asdict(self) | {"end": self.end.value}
        for name, value in shown.items():
            if name.endswith("_at") and name != "opened_at":
                shown[name] = round((value - self.opened_at) * 1e3, 1) if value else None
        return shown
