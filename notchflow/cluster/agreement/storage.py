"""Durable Raft state in a store of its own: term and vote, log entries, and where the log begins.

Each batch of the core is one append to the store, so that all of it becomes durable or none.
"""

from __future__ import annotations

import logging
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import msgspec

from notchflow.cluster.agreement.log import Log
from notchflow.cluster.agreement.replica import Batch, HardState
from notchflow.cluster.agreement.wire import Entry
from notchflow.store.commit import Committer
from notchflow.store.engine import Change, Engine, StoreError
from notchflow.store.frames import RecordKind

log = logging.getLogger(__name__)
HARD_STATE_KEY: Final = b"hard"
BASE_KEY: Final = b"base"
_INDEX: Final = struct.Struct(">Q")


@dataclass(frozen=True, slots=True)
class LogBase:
    """Where the log begins: the last index that a snapshot covers, its term, and the roster there."""

    index: int
    term: int
    roster: tuple[str, ...]


def entry_key(index: int) -> bytes:
    """The store's key of the log entry at an index."""
    return b"e" + _INDEX.pack(index)


@dataclass(frozen=True, slots=True)
class StoredState:
    """The state to start Raft from, as read from the store."""

    hard_state: HardState
    base: LogBase
    log: Log
    stored_range: tuple[int, int] = (0, 0)  # entries in the store: after the first index, up to the second


def load_state(engine: Engine, roster: tuple[str, ...], applied: int, applied_term: int) -> StoredState:
    """Reads term, vote and log from an open store, next to a state machine that has applied entries up to
    `applied`. A state machine that ends before the log begins has been lost on its own: the log is then
    discarded and the instance must rejoin. If the log ends before `applied` or disagrees with it there, it
    begins anew from `applied`, because applied entries are committed. Raises Damaged or OSError."""
    record = engine.read(HARD_STATE_KEY)
    hard_state = (
        HardState(*msgspec.msgpack.decode(record.value, type=tuple[int, str, bool]))
        if record
        else HardState()
    )
    record = engine.read(BASE_KEY)
    base = (
        LogBase(*msgspec.msgpack.decode(record.value, type=tuple[int, int, tuple[str, ...]]))
        if record
        else LogBase(0, 0, roster)
    )
    entries: list[Entry] = []
    while (record := engine.read(entry_key(base.index + len(entries) + 1))) is not None:
        entry: Entry = msgspec.msgpack.decode(record.value, type=Entry)
        entries.append(entry)
    stored_log = Log(base.index, base.term, entries)
    stored_range = base.index, stored_log.last_index
    if applied < base.index:
        return StoredState(
            HardState(hard_state.term, hard_state.voted_for, False),
            LogBase(0, 0, roster),
            Log(),
            stored_range,
        )
    if applied > stored_log.last_index or stored_log.term_at(applied) != applied_term:
        base = LogBase(applied, applied_term, stored_log.latest_roster(base.roster))
        return StoredState(hard_state, base, Log(applied, applied_term), stored_range)
    return StoredState(hard_state, base, stored_log, stored_range)


class LogStore:
    """Writes batches to the store, in order."""

    def __init__(self, committer: Committer, state: StoredState) -> None:
        self.committer = committer
        self.base = state.base
        self.stored_base, self.stored_last = state.stored_range
        if state.stored_range != (state.base.index, state.log.last_index):  # the stored log is not continued
            committer.submit(self._base_changes(state.base, True), _log_failure)

    def write(self, batch: Batch, done: Callable[[StoreError | None], None]) -> None:
        """Stores a batch and calls `done` when it is durable or has failed. Raises Backlogged or Broken."""
        changes: list[Change] = []
        if batch.hard_state is not None:
            hard_state = (batch.hard_state.term, batch.hard_state.voted_for, batch.hard_state.joined)
            changes.append(Change(RecordKind.PUT, HARD_STATE_KEY, msgspec.msgpack.encode(hard_state)))
        if batch.snapshot is not None:
            base = LogBase(batch.snapshot.index, batch.snapshot.term, batch.snapshot.roster)
            changes += self._base_changes(base)
        last_index = batch.first_index + len(batch.entries) - 1
        for offset, entry in enumerate(batch.entries):
            changes.append(
                Change(RecordKind.PUT, entry_key(batch.first_index + offset), msgspec.msgpack.encode(entry))
            )
        if batch.entries or batch.snapshot is not None or batch.first_index <= self.stored_last:
            changes += [
                Change(RecordKind.DELETE, entry_key(index))
                for index in range(last_index + 1, self.stored_last + 1)
            ]
            self.stored_last = last_index
        self.committer.submit(changes, done)

    def rebase(self, base: LogBase, done: Callable[[StoreError | None], None]) -> None:
        """Moves the beginning of the log forward after a compaction. Raises Backlogged or Broken."""
        self.committer.submit(self._base_changes(base), done)

    def _base_changes(self, base: LogBase, discard_all: bool = False) -> list[Change]:
        value = msgspec.msgpack.encode((base.index, base.term, base.roster))
        end = self.stored_last if discard_all else min(base.index, self.stored_last)
        deletions = [
            Change(RecordKind.DELETE, entry_key(index)) for index in range(self.stored_base + 1, end + 1)
        ]
        self.base, self.stored_base = base, base.index
        self.stored_last = base.index if discard_all else max(self.stored_last, base.index)
        return [Change(RecordKind.PUT, BASE_KEY, value), *deletions]


def _log_failure(problem: StoreError | None) -> None:
    if problem is not None:
        log.error("the new beginning of the Raft log could not be stored: %s", problem)
