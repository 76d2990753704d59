"""State that each instance keeps of the replicated log in any role, and what it has to store and send. No
I/O.

A message may only state what is durable. The driver therefore takes a `Batch` after each event, writes it,
and sends its messages once this batch and all earlier ones are durable (etcd's raft calls this Ready).
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

RaftMessage: TypeAlias = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
)


class Role(Enum):
    """The role of an instance in its term. The values are reported by the administration."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftSettings:
    """Timing and log retention, the same on all instances. Times are milliseconds."""

    heartbeat_ms: float = 100.0
    election_timeout_ms: float = 500.0  # the shortest; a random part of up to the same length is added
    stall_ms: float = 100.0  # a timer that fires later than this means that the process was suspended
    trailing_entries: int = 200  # kept behind a snapshot, so that a slightly slower follower needs none
    ticket_ms: float = 1_000.0  # how long after a granted pre-vote the vote itself is granted
    clock_drift: float = 1 / 200  # largest difference in rate between two clocks

    @property
    def probation_ms(self) -> float:
        """How long after a start without stored state forgotten votes of this instance may count."""
        return self.ticket_ms * (1 + self.clock_drift) ** 2 + self.ticket_ms / 10


@dataclass(frozen=True, slots=True)
class HardState:
    """State that must survive a restart besides the log."""

    term: int = 0
    voted_for: str = ""
    joined: bool = False  # votes and counts in majorities: took part from the first entry, or caught up since


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state that replaces the log up to `index`, and the term and roster there."""

    index: int
    term: int
    roster: tuple[str, ...]
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Batch:
    """Changes to store atomically, and messages to send afterwards. `entries` replace all stored entries from
    `first_index` on; with a snapshot, the stored log starts again after it."""

    hard_state: HardState | None
    first_index: int
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None
    messages: tuple[tuple[str, RaftMessage], ...]
    last_index: int
    last_term: int

    @property
    def needs_write(self) -> bool:
        """Whether anything has to be stored before the messages are sent."""
        return self.hard_state is not None or bool(self.entries) or self.snapshot is not None


class Replica:
    """The log, term and vote of one instance."""

    def __init__(
        self,
        name: str,
        roster: Sequence[str],
        settings: RaftSettings,
        rng: Random,
        now: float,
        hard_state: HardState | None = None,
        log: Log | None = None,
        weight: int = 0,
    ) -> None:
        """`roster` is that of the snapshot, or the first one of a new fleet. `weight` is the size of the
        local state before the log has begun: the first leader is an instance with the largest."""
        self.name, self.settings, self.rng, self.weight = name, settings, rng, weight
        hard_state = hard_state or HardState()
        self.term, self.voted_for, self.joined = hard_state.term, hard_state.voted_for, hard_state.joined
        self.started_at = now
        self.log = log or Log()
        self.base_roster = tuple(sorted(set(roster)))
        self.roster = self.log.latest_roster(self.base_roster)
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = self.log.base_index
        self.durable_index = self.log.last_index
        self.now = now
        self.election_at = math.inf
        self.heard_at = -math.inf  # time of the last message from the leader
        self.saved_hard_state = hard_state
        self.unsaved_from = math.inf  # first index that is in no batch yet
        self.unsaved_snapshot: Snapshot | None = None
        self.outbox: list[tuple[str, RaftMessage]] = []
        self.halted = False  # after a storage failure: takes no further part

    # -- output
    def _send(self, to: str, body: RaftMessage) -> None:
        self.outbox.append((to, body))

    def take_batch(self) -> Batch:
        """What there is to store and to send since the last call."""
        hard_state = HardState(self.term, self.voted_for, self.joined)
        first_index = int(min(self.unsaved_from, self.log.last_index + 1))
        batch = Batch(
            hard_state if hard_state != self.saved_hard_state else None,
            first_index,
            tuple(self.log.entries[first_index - self.log.base_index - 1 :]),
            self.unsaved_snapshot,
            tuple(self.outbox),
            self.log.last_index,
            self.log.last_term,
        )
        self.saved_hard_state, self.unsaved_from, self.unsaved_snapshot = hard_state, math.inf, None
        self.outbox.clear()
        return batch

    # -- the log
    @property
    def others(self) -> list[str]:
        """The names on the roster except this instance's own."""
        return [name for name in self.roster if name != self.name]

    @property
    def majority(self) -> int:
        """The number of instances that make a majority of the roster."""
        return len(self.roster) // 2 + 1

    def _append(self, entry: Entry) -> int:
        index = self.log.append(entry)
        self.unsaved_from = min(self.unsaved_from, index)
        if entry.kind is EntryKind.ROSTER:
            self.roster = self.log.latest_roster(self.base_roster)
        return index

    def _truncate_from(self, index: int) -> None:
        """Deletes uncommitted entries that conflict with the leader's."""
        if index <= self.commit_index:
            raise AssertionError(
                f"{self.name} would delete entry {index}, but entries up to {self.commit_index} are committed"
            )
        self.log.truncate_from(index)
        self.unsaved_from = min(self.unsaved_from, index)
        self.durable_index = min(self.durable_index, index - 1)
        self.roster = self.log.latest_roster(self.base_roster)

    def _reset_election_timer(self, now: float) -> None:
        self.election_at = now + self.settings.election_timeout_ms * (1.0 + self.rng.random())

    @property
    def applicable_index(self) -> int:
        """The last index that may be applied here: committed, and durable in the local log."""
        return min(self.commit_index, self.durable_index)

    def compact(self, index: int) -> None:
        """Deletes the entries that a durable snapshot at `index` covers, except the trailing ones."""
        index = min(index, self.applicable_index) - self.settings.trailing_entries
        if index > self.log.base_index:
            roster = Log(
                self.log.base_index, self.log.base_term, self.log.entries[: index - self.log.base_index]
            ).latest_roster(self.base_roster)
            self.log.compact(index)
            self.base_roster = roster
