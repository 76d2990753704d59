"""What every instance has of the agreed log, whatever its part; and what is to be written and sent. Pure.

What a message says is durable when it is sent: whoever drives this takes a `Batch` after each event, writes
it, and sends its messages once that and all before it is written (the Ready of etcd's raft).
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import TypeAlias

from notchflow.cluster.agreement.log import Log
from notchflow.cluster.agreement.wire import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotResponse,
    RequestVote,
    RequestVoteResponse,
)

Said: TypeAlias = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
)


class Role(Enum):
    FOLLOWER = "follower"
    ASKING = "asking"  # whether it would be voted for
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Milliseconds."""

    beat_ms: float = 100.0  # between two words of a leader
    election_ms: float = 500.0  # without a word of it, and up to twice that by draw
    stall_ms: float = 100.0  # a timer that is later than this was slept through
    trailing_entries: int = 200  # entries kept behind a snapshot, for those that are a little behind
    ticket_ms: float = 1_000.0  # a vote is given for so long after it was said that it would be
    clock_drift: float = 1 / 200  # by which two clocks may differ

    @property
    def probation_ms(self) -> float:
        """After a start without a memory: till then votes that it has forgotten may still be of use."""
        return self.ticket_ms * (1 + self.clock_drift) ** 2 + self.ticket_ms / 10


@dataclass(frozen=True, slots=True)
class HardState:
    """What must never be forgotten besides the log."""

    term: int = 0
    vote: str = ""
    joined: bool = False  # it counts: it was there when the log began, or has learned all of it since


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What stands for the log up to an index."""

    index: int
    term: int
    roster: tuple[str, ...]
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Batch:
    """What is to be made durable, all together, and then to be sent. `entries` take the place of all from
    `first` on; of a snapshot the log begins anew behind it."""

    hard_state: HardState | None
    first_index: int
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None
    messages: tuple[tuple[str, Said], ...]
    last_index: int
    last_term: int

    @property
    def needs_write(self) -> bool:
        return self.hard_state is not None or bool(self.entries) or self.snapshot is not None


class Replica:
    """One instance's log, term and vote."""

    def __init__(
        self,
        me: str,
        roster: Sequence[str],
        settings: RaftSettings,
        rng: Random,
        now: float,
        hard: HardState | None = None,
        log: Log | None = None,
        weight: int = 0,
    ) -> None:
        """`roster`: of the snapshot, or the one to begin with. `weight`: how much is known here where the log
        is empty: the first leader is one that knows most."""
        self.name, self.settings, self.rng, self.weight = me, settings, rng, weight
        hard = hard or HardState()
        self.term, self.voted_for, self.joined = hard.term, hard.vote, hard.joined
        self.began = now
        self.log = log or Log()
        self.base_roster = tuple(sorted(set(roster)))
        self.roster = self.log.latest_roster(self.base_roster)
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = self.log.base_index
        self.durable = self.log.last_index
        self.now = now
        self.election_at = math.inf
        self.heard_at = -math.inf  # when the leader was heard
        self.saved_hard = hard
        self.changed_from = math.inf  # the first index that is not handed out for writing
        self.installed: Snapshot | None = None  # to be handed out
        self.sends: list[tuple[str, Said]] = []
        self.silent = False  # its disk has failed: it takes no part any more

    # -- what goes out
    def _send(self, to: str, body: Said) -> None:
        self.sends.append((to, body))

    def take_batch(self) -> Batch:
        """What there is to write and to send since the last time."""
        hard = HardState(self.term, self.voted_for, self.joined)
        first = int(min(self.changed_from, self.log.last_index + 1))
        batch = Batch(
            hard if hard != self.saved_hard else None,
            first,
            tuple(self.log.entries[first - self.log.base_index - 1 :]),
            self.installed,
            tuple(self.sends),
            self.log.last_index,
            self.log.last_term,
        )
        self.saved_hard, self.changed_from, self.installed = hard, math.inf, None
        self.sends.clear()
        return batch

    # -- the log
    @property
    def others(self) -> list[str]:
        return [name for name in self.roster if name != self.name]

    @property
    def majority(self) -> int:
        return len(self.roster) // 2 + 1

    def _put(self, entry: Entry) -> int:
        index = self.log.append(entry)
        self.changed_from = min(self.changed_from, index)
        if entry.kind is EntryKind.ROSTER:
            self.roster = self.log.latest_roster(self.base_roster)
        return index

    def _cut(self, index: int) -> None:
        """Drops what no majority has agreed on."""
        if index <= self.commit_index:
            raise AssertionError(f"{self.name} would drop {index}, which is agreed up to {self.commit_index}")
        self.log.cut(index)
        self.changed_from = min(self.changed_from, index)
        self.durable = min(self.durable, index - 1)
        self.roster = self.log.latest_roster(self.base_roster)

    def _election_later(self, now: float) -> None:
        self.election_at = now + self.settings.election_ms * (1.0 + self.rng.random())

    @property
    def applicable_index(self) -> int:
        """Up to where entries may be put in force here."""
        return min(self.commit_index, self.durable)

    def compact(self, index: int) -> None:
        """A snapshot of the state at an index is durable: entries well before it are forgotten."""
        index = min(index, self.applicable_index) - self.settings.trailing_entries
        if index > self.log.base_index:
            roster = Log(
                self.log.base_index, self.log.base_term, self.log.entries[: index - self.log.base_index]
            ).latest_roster(self.base_roster)
            self.log.compact(index)
            self.base_roster = roster
