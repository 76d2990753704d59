"""Types shared by the cluster modules: incarnations, states, records, standing, settings. No I/O.

Times are milliseconds on the caller's monotonic clock. Definitions: docs/design/cluster.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Annotated, Final, NamedTuple

import msgspec

NAME_PATTERN: Final = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
NAMES_MAX: Final = 4_096
Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
Number = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
Text = Annotated[str, msgspec.Meta(max_length=64)]
Address = Annotated[str, msgspec.Meta(max_length=255)]


class State(IntEnum):
    """State of a member in a view; of the same revision the later state overrides the earlier."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Standing(Enum):
    """How much of the roster answers an instance, by its own round trips only."""

    WHOLE = "whole"
    MAJORITY = "majority"
    MINORITY = "minority"
    ALONE = "alone"


class Incarnation(NamedTuple):
    """One run of an instance's process: its epoch, which grows with each start, and a random nonce."""

    epoch: Number
    nonce: Number

    def __str__(self) -> str:
        return f"{self.epoch}.{self.nonce:x}"


NO_INCARNATION: Final = Incarnation(0, 0)


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A statement about a member: the state of one revision of one incarnation."""

    name: Name
    incarnation: Incarnation
    revision: Number = 0
    state: State = State.ALIVE
    address: Address = ""
    version: Text = ""

    @property
    def present(self) -> bool:
        """Whether the member is alive or suspect."""
        return self.state <= State.SUSPECT

    def rank(self) -> tuple[Incarnation, bool, int, State, str, str]:
        """Key of the total order by which records of one name are merged, so that instances that have seen
        the same records hold the same one. A newer incarnation overrides an older one; leaving is final for
        an incarnation; within it a newer revision, made by the member itself, overrides statements about an
        older one."""
        return (
            self.incarnation,
            self.state is State.LEFT,
            self.revision,
            self.state,
            self.address,
            self.version,
        )


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the membership protocol. The bounds that follow from them are methods here, so that
    operators are shown the values that the code uses."""

    contact_ms: float = 2_000.0  # validity of a round trip, unless a large roster needs longer
    probe_timeout_ms: float = 200.0  # for the direct probe, then again for the indirect one
    suspicion_ms: float = 1_000.0  # minimum time that a suspect has to refute
    ping_req_targets: int = 3  # members asked to probe indirectly
    confirmations: int = 3  # further accusers that reduce a suspicion to its minimum
    suspicion_max_factor: float = 3.0  # longest suspicion as a multiple of the shortest
    fanout: int = 3  # members that receive gossip at a time
    gossip_delay_ms: float = 20.0  # updates of this span are sent together
    retransmit_factor: int = 4  # times log10(members): how often an update is sent
    stall_ms: float = 100.0  # a timer that fires later than this means a stall
    local_health_max: int = 8  # largest multiplier of probe timeouts
    join_timeout_ms: float = 1_000.0  # how long a start waits for an answer
    join_retry_ms: float = 500.0  # between attempts to contact seeds
    sync_quiet_ms: float = 500.0  # views that differ and have not changed for this long are exchanged in full
    probe_interval_min_ms: float = 50.0  # lower bound between two probes, for any roster
    probe_interval_max_ms: float = 200.0  # upper bound, for any roster

    def probe_interval_ms(self, roster: int) -> float:
        """Interval between probes of an instance: within its limits, each other member is probed three times
        per contact bound."""
        return min(
            max(self.contact_ms / 3 / max(roster - 1, 1), self.probe_interval_min_ms),
            self.probe_interval_max_ms,
        )

    def contact_bound_ms(self, roster: int) -> float:
        """How long an acked round trip is valid: at least three rounds through the roster."""
        return max(self.contact_ms, 3 * (roster - 1) * self.probe_interval_ms(roster))

    def suspicion_bounds_ms(self, roster: int) -> tuple[float, float]:
        """Shortest and longest suspicion; gossip takes longer to reach all of a larger fleet."""
        shortest = self.suspicion_ms * max(1.0, math.log10(max(roster, 1)))
        return shortest, shortest * self.suspicion_max_factor

    def detection_bound_ms(self, roster: int) -> float:
        """Time until all members know of one member's death, except for one case in 1,000 (a member stays
        unprobed for one interval with probability 1/e; seven intervals): probe, its failure, suspicion,
        gossip."""
        if roster < 2:
            return 0.0
        shortest, _ = self.suspicion_bounds_ms(roster)
        return (
            7 * self.probe_interval_ms(roster)
            + 2 * self.probe_timeout_ms
            + shortest
            + self.gossip_bound_ms(roster)
        )

    def gossip_bound_ms(self, roster: int) -> float:
        """Approximate time for an update to reach all members: each sends it to `fanout` others after
        `gossip_delay_ms`."""
        hops = math.log(max(roster, 2)) / math.log(self.fanout + 1) + 2
        return hops * (self.gossip_delay_ms + self.probe_timeout_ms / 4)

    def one_name_bound_ms(self, roster: int) -> float:
        """How long two instances of one name may both accept requests once both are linked with a third: the
        older one gets no acks, contacts the seeds, and learns of the newer incarnation."""
        return self.contact_bound_ms(roster) + 2 * self.join_retry_ms + self.probe_timeout_ms

    def heal_bound_ms(self, roster: int) -> float:
        """Time until all views are equal after the links are restored: one round of probes of dead members,
        refutation, gossip, and two successive exchanges for lost updates."""
        return (
            self.contact_bound_ms(roster) / 3
            + 2 * self.gossip_bound_ms(roster)
            + 2 * (self.sync_quiet_ms + self.probe_timeout_ms)
        )
