"""What instances say to one another to agree on a log. Pure.

Names after Raft (Ongaro and Ousterhout, USENIX ATC 2014; Ongaro's thesis, Stanford 2014): RequestVote,
AppendEntries and InstallSnapshot with their responses; InstallSnapshot is sent in pieces.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Final

import msgspec

from notchflow.cluster.model import Name, Number

ENTRY_MAX: Final = 128 << 10  # bytes of one change
APPEND_BYTES: Final = 256 << 10  # of entries in one message; one entry goes in any case
PIECE_BYTES: Final = 256 << 10  # of a snapshot in one message
ENTRIES_MAX: Final = 256
SNAPSHOT_MAX: Final = 256 << 20  # bytes of a whole snapshot
ROSTER_MAX: Final = 1_000


class EntryKind(IntEnum):
    """What an entry is: nothing (a leader's first), a change of the rules, or the roster from here on."""

    NOOP = 0
    COMMAND = 1
    ROSTER = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One place of the log; its index is where it stands."""

    term: Number
    kind: EntryKind = EntryKind.COMMAND
    data: Annotated[bytes, msgspec.Meta(max_length=ENTRY_MAX)] = b""


Roster = Annotated[tuple[Name, ...], msgspec.Meta(max_length=ROSTER_MAX)]


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Give me your vote for this term; or, `pre`, would you?"""

    term: Number
    last: Number  # the candidate's last index, and its term
    last_term: Number
    weight: Number = 0  # how much an instance knows whose log is empty
    pre: bool = False
    ticket: Number = 0  # from the voter's own answer to `pre`, so that an old question gets no vote


class RequestVoteResponse(msgspec.Struct, frozen=True, array_like=True, tag=21):
    term: Number
    granted: bool
    pre: bool = False
    ticket: Number = 0


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Entries behind one that you have; and, without any, I lead. `round` is said back."""

    term: Number
    before: Number
    before_term: Number
    commit: Number
    round: Number
    entries: Annotated[tuple[Entry, ...], msgspec.Meta(max_length=ENTRIES_MAX)] = ()


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag=23):
    """`ok`: all up to `index` is as the leader has it, and durable. Else: try again from `index`."""

    term: Number
    ok: bool
    index: Number
    round: Number
    counts: bool = True  # not one that has lost its disk and learns still


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag=24):
    """A part of a snapshot that stands for the log up to an index."""

    term: Number
    index: Number
    index_term: Number
    roster: Roster
    size: Annotated[int, msgspec.Meta(ge=0, le=SNAPSHOT_MAX)]
    offset: Annotated[int, msgspec.Meta(ge=0, le=SNAPSHOT_MAX)]
    data: Annotated[bytes, msgspec.Meta(max_length=PIECE_BYTES)]


class InstallSnapshotResponse(msgspec.Struct, frozen=True, array_like=True, tag=25):
    """Go on from this offset of that snapshot."""

    term: Number
    index: Number
    offset: Annotated[int, msgspec.Meta(ge=0, le=SNAPSHOT_MAX)]
    counts: bool = True


class ReadIndex(msgspec.Struct, frozen=True, array_like=True, tag=26):
    """Up to where is agreed, for certain, as of now? Answered by ReadIndexResponse once a
    majority has said that the one that is asked still leads."""

    number: Number


class ReadIndexResponse(msgspec.Struct, frozen=True, array_like=True, tag=27):
    """All that was agreed when you asked lies at or before this index."""

    number: Number
    index: Number


class Propose(msgspec.Struct, frozen=True, array_like=True, tag=28):
    """Put this change into the log."""

    number: Number
    data: Annotated[bytes, msgspec.Meta(max_length=ENTRY_MAX)]


class ProposeResponse(msgspec.Struct, frozen=True, array_like=True, tag=29):
    """Where it stands now, which says nothing of whether it stays; 0: the one that is asked does not lead."""

    number: Number
    index: Number
