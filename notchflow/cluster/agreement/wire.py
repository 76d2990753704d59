"""Messages that the instances of a fleet exchange to replicate a log. No I/O.

The names follow Raft (Ongaro and Ousterhout, USENIX ATC 2014; Ongaro's thesis, Stanford 2014): RequestVote
with a pre-vote, AppendEntries, InstallSnapshot in chunks, and ReadIndex. A follower forwards proposals to the
leader with Propose. The structs are encoded as arrays: the order, the types and the tags of their fields are
the format.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Final

import msgspec

from notchflow.cluster.model import Name, Number

MAX_ENTRY_BYTES: Final = 128 << 10
MAX_APPEND_BYTES: Final = 256 << 10  # entries of one AppendEntries; a single larger entry is still sent
SNAPSHOT_CHUNK_BYTES: Final = 256 << 10
MAX_APPEND_ENTRIES: Final = 256
MAX_SNAPSHOT_BYTES: Final = 256 << 20
MAX_ROSTER_NAMES: Final = 1_000


class EntryKind(IntEnum):
    """What an entry holds: nothing (the first entry of a leader's term), a command for the state machine, or
    the roster that applies from this entry on."""

    NOOP = 0
    COMMAND = 1
    ROSTER = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One log entry. Its index is not stored in it but follows from its position in the log."""

    term: Number
    kind: EntryKind = EntryKind.COMMAND
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_ENTRY_BYTES)] = b""


Roster = Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_ROSTER_NAMES)]


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Asks for a vote in `term`, or, with `pre_vote`, whether it would be granted; that changes no term or
    vote."""

    term: Number
    last_log_index: Number
    last_log_term: Number
    weight: Number = 0  # size of the candidate's state; decides between candidates whose logs are empty
    pre_vote: bool = False
    ticket: Number = 0  # from the voter's answer to the pre-vote, so that a delayed request gets no vote


class RequestVoteResponse(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Answers a RequestVote. A granted pre-vote carries a ticket, to be returned with the vote's request."""

    term: Number
    vote_granted: bool
    pre_vote: bool = False
    ticket: Number = 0


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Entries that follow `prev_log_index`; without entries, a heartbeat. The response repeats `round`, by
    which the leader tells which heartbeat round has reached a majority."""

    term: Number
    prev_log_index: Number
    prev_log_term: Number
    leader_commit: Number
    round: Number
    entries: Annotated[tuple[Entry, ...], msgspec.Meta(max_length=MAX_APPEND_ENTRIES)] = ()


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """With `success`, the log matches the leader's up to `index` and is durable up to there. Otherwise
    `index` is the next index that the leader should send from."""

    term: Number
    success: bool
    index: Number
    round: Number
    voting: bool = True  # False while an instance that lost its disk catches up


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """One chunk of a snapshot that replaces the log up to `last_included_index`."""

    term: Number
    last_included_index: Number
    last_included_term: Number
    roster: Roster
    total_size: Annotated[int, msgspec.Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
    offset: Annotated[int, msgspec.Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
    data: Annotated[bytes, msgspec.Meta(max_length=SNAPSHOT_CHUNK_BYTES)]


class InstallSnapshotResponse(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Asks for the chunk at `next_offset`; the snapshot is complete when that is its total size."""

    term: Number
    last_included_index: Number
    next_offset: Annotated[int, msgspec.Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]
    voting: bool = True


class ReadIndex(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """Asks the leader for its commit index. Answered by a ReadIndexResponse once a majority has confirmed
    that the instance still leads."""

    request_id: Number


class ReadIndexResponse(msgspec.Struct, frozen=True, array_like=True, tag=27):
    """Everything that was committed when the request was made lies at or before `index`."""

    request_id: Number
    index: Number


class Propose(msgspec.Struct, frozen=True, array_like=True, tag=28):
    """Asks the leader to append a command to the log."""

    request_id: Number
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_ENTRY_BYTES)]


class ProposeResponse(msgspec.Struct, frozen=True, array_like=True, tag=29):
    """The index at which the command was appended; it is not committed yet and may still be replaced. 0 if
    the receiver does not lead or accepts no command at present."""

    request_id: Number
    index: Number
