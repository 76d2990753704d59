"""Whether the proxy wants clients: at work, on standby, or leaving for good.

On standby readiness says no from the call on. What still comes is served, and each answer asks for the
connection's end; connections that nobody uses are closed once the front has surely heard of it, and well
before 4 s after the call, when none may be held.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

# The front asks every 0.1 s, and for 0.2 s more sends new connections: by now those have carried a request.
SETTLED_MS: Final = 1_500.0
# A connection that has been still for so long is about to carry nothing. All are gone by 1.9 s, so that what
# is under way 4 s after the call was begun over 2 s before.
STILL_MS: Final = 300.0


class Phase(Enum):
    """What the proxy does with clients."""

    ACTIVE = "active"
    STANDBY = "standby"
    LEAVING = "leaving"  # the process is to end; there is no way back


class Lifecycle:
    """The phase, and what follows from it for readiness and for clients' connections."""

    __slots__ = ("phase", "since", "draining")

    def __init__(self) -> None:
        self.phase = Phase.ACTIVE
        self.since = 0.0
        self.draining = False  # clients are to go elsewhere; read for every answer

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase, self.since, self.draining = phase, now, phase is not Phase.ACTIVE

    def standby(self, now: float) -> bool:
        """Sends clients away; whether that is done now. A second call does not begin the time anew."""
        if self.phase is Phase.ACTIVE:
            self._enter(Phase.STANDBY, now)
        return self.phase is Phase.STANDBY

    def active(self, now: float) -> bool:
        """Back to work; a process that is to end cannot."""
        if self.phase is Phase.STANDBY:
            self._enter(Phase.ACTIVE, now)
        return self.phase is Phase.ACTIVE

    def leave(self, now: float, succeeded: bool = False) -> bool:
        """The process is to end; false where that was told before. Where another takes over, clients need not
        go anywhere: their connections do."""
        if self.phase is Phase.LEAVING:
            return False
        self._enter(Phase.LEAVING, now)
        self.draining = not succeeded
        return True

    def deserted(self) -> None:
        """The one that was to take over has ended: clients are to go elsewhere after all."""
        self.draining = True

    def overstays(self, now: float, still_since: float) -> bool:
        """Whether a connection that carries nothing since then is to be closed, on standby."""
        return now >= self.since + SETTLED_MS and now >= still_since + STILL_MS
