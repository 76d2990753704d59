"""How many proxies there are, as the module is told: damped, so that a member that flaps moves nothing.

Pure. What is known to the module of other proxies is their number alone; it learns again from the start what
it knew where that number passes a threshold, so that a wrong number is cheaper than one that flaps.
"""

from __future__ import annotations

from dataclasses import dataclass

from notchflow.cluster.model import Standing

HEARS = (Standing.WHOLE, Standing.MAJORITY)


@dataclass(slots=True)
class FleetSize:
    """The number in force. More are taken over after `up_ms` in which there were never fewer than that, fewer
    after `down_ms`. Who hears less than a majority keeps the number: the others serve the same boxes still,
    whether they are heard or not."""

    value: int = 1
    up_ms: float = 2_000.0
    down_ms: float = 30_000.0
    wanted: int = 1
    since: float = 0.0

    def observe(self, now: float, living: int, standing: Standing) -> bool:
        """What is seen now; whether the number in force has changed by it."""
        if standing not in HEARS or living == self.value:
            self.wanted, self.since = self.value, now
            return False
        if (living > self.value) != (self.wanted > self.value) or self.wanted == self.value:
            self.wanted, self.since = living, now
        elif living > self.value:
            self.wanted = min(self.wanted, living)
        else:
            self.wanted = max(self.wanted, living)
        if now - self.since < (self.up_ms if self.wanted > self.value else self.down_ms):
            return False
        self.value, self.since = self.wanted, now
        return True
