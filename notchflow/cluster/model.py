"""Terms that all of the fleet's cores share: lives, states, records, standing, settings. Pure.

Times are milliseconds on the caller's monotonic clock. What the terms mean: docs/design/cluster.md.
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
    """One instance's opinion of another; the later one covers the earlier of the same revision."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Standing(Enum):
    """How much of the roster answers an instance, by its own round trips alone."""

    WHOLE = "whole"
    MAJORITY = "majority"
    MINORITY = "minority"
    ALONE = "alone"


class Incarnation(NamedTuple):
    """One life of an instance: what it counted up to at its start, and a number drawn then."""

    epoch: Number
    nonce: Number

    def __str__(self) -> str:
        return f"{self.epoch}.{self.nonce:x}"


NO_INCARNATION: Final = Incarnation(0, 0)


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What is said of a member: one state of one revision of one life."""

    name: Name
    incarnation: Incarnation
    revision: Number = 0
    state: State = State.ALIVE
    address: Address = ""
    version: Text = ""

    @property
    def present(self) -> bool:
        """Whether it may be there: neither dead nor left."""
        return self.state <= State.SUSPECT

    def rank(self) -> tuple[Incarnation, bool, int, State, str, str]:
        """A total order, so that any two instances that have seen the same records hold the same one. A later
        life covers all of an earlier one; leaving is the last word on a life; within it a member's own newer
        revision covers what was said of the one before."""
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
    """How members look after one another. Bounds that follow from these are properties here, so that what is
    shown to operators is what the code goes by."""

    contact_ms: float = 2_000.0  # a round trip is worth this long, unless the roster is too large for it
    probe_timeout_ms: float = 200.0  # a direct probe has so long, then others are asked for as long again
    suspicion_ms: float = 1_000.0  # who is suspected has this long at least to refute it
    helpers: int = 3  # asked to probe in one's place
    confirmations: int = 3  # other accusers after which the shortest suspicion is enough
    suspicion_max_factor: float = 3.0  # the longest suspicion, of the shortest
    fanout: int = 3  # members that are told news at once
    flush_ms: float = 20.0  # news of so long go together
    repeats: int = 4  # times log10(members) that news are passed on
    stall_ms: float = 100.0  # a timer that fires later than this was slept through
    local_health_max: int = 8
    join_ms: float = 1_000.0  # how long a start waits for somebody to know it
    retry_ms: float = 500.0  # between tries at seeds
    quiet_ms: float = 500.0  # views that differ while nothing has changed for so long are exchanged whole
    spacing_ms: float = 50.0  # at least this long between two probes, however large the roster
    spacing_max_ms: float = 200.0  # and at most this long, however small

    def probe_interval_ms(self, roster: int) -> float:
        """Milliseconds between two probes of an instance: each other one is asked three times in the contact
        bound, within these limits."""
        return min(max(self.contact_ms / 3 / max(roster - 1, 1), self.spacing_ms), self.spacing_max_ms)

    def contact_bound_ms(self, roster: int) -> float:
        """For how long an acknowledged round trip counts: three rounds through the roster."""
        return max(self.contact_ms, 3 * (roster - 1) * self.probe_interval_ms(roster))

    def suspicion_bounds_ms(self, roster: int) -> tuple[float, float]:
        """The shortest and the longest suspicion; news take longer to go round a larger fleet."""
        shortest = self.suspicion_ms * max(1.0, math.log10(max(roster, 1)))
        return shortest, shortest * self.suspicion_max_factor

    def detection_bound_ms(self, roster: int) -> float:
        """By when the death of one among living is known to all, but for one case in 1,000 (the seventh power
        of what is left unprobed in one spacing, 1/e): probe, failure of it, suspicion, news."""
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
        """News go round in about so long: each who hears tells `fanout` others after `flush_ms`."""
        hops = math.log(max(roster, 2)) / math.log(self.fanout + 1) + 2
        return hops * (self.flush_ms + self.probe_timeout_ms / 4)

    def one_name_bound_ms(self, roster: int) -> float:
        """For how long two instances of one name may both take requests, once both are linked with a third:
        the older one is answered by nobody, asks the fleet, and is told."""
        return self.contact_bound_ms(roster) + 2 * self.retry_ms + self.probe_timeout_ms

    def heal_bound_ms(self, roster: int) -> float:
        """By when all views are equal after the links are whole: one round of probes over those held dead,
        refutation, news, and two exchanges one after the other for what was lost of them."""
        return (
            self.contact_bound_ms(roster) / 3
            + 2 * self.gossip_bound_ms(roster)
            + 2 * (self.quiet_ms + self.probe_timeout_ms)
        )
