"""What must last of the agreed log, in a store of its own: term and vote, entries, where the log begins.

One batch of the core is one append of the store: all of it is durable, or nothing.
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
from notchflow.store.frames import Kind

log = logging.getLogger(__name__)
HARD: Final = b"hard"
BASE: Final = b"base"
_INDEX: Final = struct.Struct(">Q")


@dataclass(frozen=True, slots=True)
class Base:
    """Where the log begins: what a snapshot stands for, and the roster then."""

    index: int
    term: int
    roster: tuple[str, ...]


def key_of(index: int) -> bytes:
    return b"e" + _INDEX.pack(index)


@dataclass(frozen=True, slots=True)
class Found:
    """What a start finds. `fit`: whether it can be relied on."""

    hard: HardState
    base: Base
    log: Log
    stored: tuple[int, int] = (0, 0)  # entries in the store: behind the first, up to the second


def load(engine: Engine, roster: tuple[str, ...], applied: int, applied_term: int) -> Found:
    """The log of an open store, beside a state that was put in force up to an index. A state that lies behind
    the log's beginning was lost by itself: then nothing here can be relied on. A log that lies behind the
    state goes on from that, as what is in force is agreed. Damaged, OSError."""
    record = engine.read(HARD)
    hard = (
        HardState(*msgspec.msgpack.decode(record.value, type=tuple[int, str, bool]))
        if record
        else HardState()
    )
    record = engine.read(BASE)
    base = (
        Base(*msgspec.msgpack.decode(record.value, type=tuple[int, int, tuple[str, ...]]))
        if record
        else Base(0, 0, roster)
    )
    entries: list[Entry] = []
    while (record := engine.read(key_of(base.index + len(entries) + 1))) is not None:
        entry: Entry = msgspec.msgpack.decode(record.value, type=Entry)
        entries.append(entry)
    found = Log(base.index, base.term, entries)
    stored = base.index, found.last_index
    if applied < base.index:
        return Found(HardState(hard.term, hard.vote, False), Base(0, 0, roster), Log(), stored)
    if applied > found.last_index or found.term_at(applied) != applied_term:
        base = Base(applied, applied_term, found.latest_roster(base.roster))
        return Found(hard, base, Log(applied, applied_term), stored)
    return Found(hard, base, found, stored)


class Keep:
    """Batches on their way to the store, in order."""

    def __init__(self, committer: Committer, found: Found) -> None:
        self.committer = committer
        self.base = found.base
        self.stored_base, self.stored_last = found.stored
        if found.stored != (found.base.index, found.log.last_index):  # what it has is not gone on with
            committer.submit(self._based(found.base, True), _told)

    def write(self, batch: Batch, done: Callable[[StoreError | None], None]) -> None:
        """Backlogged, Broken."""
        changes: list[Change] = []
        if batch.hard_state is not None:
            hard = (batch.hard_state.term, batch.hard_state.vote, batch.hard_state.joined)
            changes.append(Change(Kind.PUT, HARD, msgspec.msgpack.encode(hard)))
        if batch.snapshot is not None:
            base = Base(batch.snapshot.index, batch.snapshot.term, batch.snapshot.roster)
            changes += self._based(base)
        last = batch.first_index + len(batch.entries) - 1
        for offset, entry in enumerate(batch.entries):
            changes.append(
                Change(Kind.PUT, key_of(batch.first_index + offset), msgspec.msgpack.encode(entry))
            )
        if batch.entries or batch.snapshot is not None or batch.first_index <= self.stored_last:
            changes += [Change(Kind.DELETE, key_of(index)) for index in range(last + 1, self.stored_last + 1)]
            self.stored_last = last
        self.committer.submit(changes, done)

    def rebase(self, base: Base, done: Callable[[StoreError | None], None]) -> None:
        """The log begins later from now on. Backlogged, Broken."""
        self.committer.submit(self._based(base), done)

    def _based(self, base: Base, anew: bool = False) -> list[Change]:
        value = msgspec.msgpack.encode((base.index, base.term, base.roster))
        end = self.stored_last if anew else min(base.index, self.stored_last)
        gone = [Change(Kind.DELETE, key_of(index)) for index in range(self.stored_base + 1, end + 1)]
        self.base, self.stored_base = base, base.index
        self.stored_last = base.index if anew else max(self.stored_last, base.index)
        return [Change(Kind.PUT, BASE, value), *gone]


def _told(problem: StoreError | None) -> None:
    if problem is not None:
        log.error("the log could not be begun anew: %s", problem)
