"""The phase of a proxy: active, on standby, or leaving for good.

On standby the readiness check fails at once. Requests that still arrive are served, each response asks the
client to close the connection, and idle connections are closed once the load balancer in front must have
noticed, well before 4 s after the call, when none may be open.
"""

from __future__ import annotations

from enum import Enum
from typing import Final

# The load balancer in front checks readiness every 0.1 s and sends new connections for 0.2 s more: by now
# those have carried a request.
REDIRECT_SETTLED_MS: Final = 1_500.0
# A connection that has been idle for this long is about to carry nothing. All are closed by 1.9 s, so a
# request that is in progress 4 s after the call began over 2 s before.
STANDBY_IDLE_MS: Final = 300.0


class Phase(Enum):
    """How the proxy treats clients."""

    ACTIVE = "active"
    STANDBY = "standby"
    LEAVING = "leaving"  # the process is shutting down; there is no way back


class Lifecycle:
    """The current phase, and what follows from it for readiness and for client connections."""

    __slots__ = ("phase", "entered_at", "draining")

    def __init__(self) -> None:
        self.phase = Phase.ACTIVE
        self.entered_at = 0.0
        self.draining = False  # clients have to go elsewhere; read for every response

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase, self.entered_at, self.draining = phase, now, phase is not Phase.ACTIVE

    def enter_standby(self, now: float) -> bool:
        """Starts standby. Returns whether the proxy is on standby now; a second call does not restart the
        time."""
        if self.phase is Phase.ACTIVE:
            self._enter(Phase.STANDBY, now)
        return self.phase is Phase.STANDBY

    def activate(self, now: float) -> bool:
        """Ends standby. Returns whether the proxy is active now: a process that is shutting down cannot
        be."""
        if self.phase is Phase.STANDBY:
            self._enter(Phase.ACTIVE, now)
        return self.phase is Phase.ACTIVE

    def begin_shutdown(self, now: float, has_successor: bool = False) -> bool:
        """Starts the shutdown; returns false if it has started before. With a successor clients need not
        reconnect, as their connections are handed over."""
        if self.phase is Phase.LEAVING:
            return False
        self._enter(Phase.LEAVING, now)
        self.draining = not has_successor
        return True

    def successor_lost(self) -> None:
        """The successor has ended: clients have to reconnect elsewhere after all."""
        self.draining = True

    def should_close_idle(self, now: float, idle_since: float) -> bool:
        """Returns whether a connection that has been idle since `idle_since` is to be closed on standby."""
        return now >= self.entered_at + REDIRECT_SETTLED_MS and now >= idle_since + STANDBY_IDLE_MS
