"""Number of instances in the fleet as announced to the policy, damped against flapping members. No I/O.

The policy knows only the number of instances. When that number crosses a threshold the policy discards what
it has learned, so a wrong number costs less than one that flaps.
"""

from __future__ import annotations

from dataclasses import dataclass

from notchflow.cluster.model import Standing

MAJORITY_STANDINGS = (Standing.WHOLE, Standing.MAJORITY)


@dataclass(slots=True)
class FleetSize:
    """The announced number of instances.

    It rises after `up_ms` in which never fewer were present, and falls after `down_ms` in which never more
    were. It is kept while this instance reaches less than a majority: the other instances still send to the
    same nodes, whether or not they are reachable from here.
    """

    value: int = 1
    up_ms: float = 2_000.0
    down_ms: float = 30_000.0
    candidate: int = 1
    candidate_since: float = 0.0

    def observe(self, now: float, present: int, standing: Standing) -> bool:
        """Records how many members are present now; True if the announced number changed."""
        if standing not in MAJORITY_STANDINGS or present == self.value:
            self.candidate, self.candidate_since = self.value, now
            return False
        if (present > self.value) != (self.candidate > self.value) or self.candidate == self.value:
            self.candidate, self.candidate_since = present, now
        elif present > self.value:
            self.candidate = min(self.candidate, present)
        else:
            self.candidate = max(self.candidate, present)
        if now - self.candidate_since < (self.up_ms if self.candidate > self.value else self.down_ms):
            return False
        self.value, self.candidate_since = self.candidate, now
        return True
