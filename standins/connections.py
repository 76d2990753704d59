"""Records of stand-in clients' connections, to show who ended that of a lost request, and when."""

from __future__ import annotations

import time
from dataclasses import asdict, dataclass
from enum import Enum
from typing import Any, Final

NEVER: Final = 0.0


class End(Enum):
    """How a connection ended, as seen by its client."""

    OPEN = "open"
    BY_PEER = "by peer"  # the other side closed it
    BY_RESET = "by reset"
    BY_CLIENT = "by client"


@dataclass(slots=True)
class ConnectionRecord:
    """A connection. Times are seconds of the machine's monotonic clock, or NEVER.

    `port` is the client's port, by which the logs of the other side identify the connection.
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
        """Notes that a request is sent."""
        self.requests += 1
        self.last_sent_at = time.monotonic()
        self.first_sent_at = self.first_sent_at or self.last_sent_at

    def received(self) -> None:
        """Notes that bytes of an answer were read."""
        self.last_received_at = time.monotonic()
        self.first_received_at = self.first_received_at or self.last_received_at

    def ended(self, end: End) -> None:
        """Notes the end of the connection; only the first call counts."""
        if self.end is End.OPEN:
            self.ended_at, self.end = time.monotonic(), end

    def fields(self) -> dict[str, Any]:
        """The record as a history shows it: times in milliseconds since the connection opened."""
        shown = asdict(self) | {"end": self.end.value}
        for name, value in shown.items():
            if name.endswith("_at") and name != "opened_at":
                shown[name] = round((value - self.opened_at) * 1e3, 1) if value else None
        return shown
