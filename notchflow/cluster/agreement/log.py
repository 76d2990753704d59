"""The replicated log as one instance holds it: the entries that follow a snapshot. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from notchflow.cluster.agreement.wire import MAX_APPEND_BYTES, MAX_APPEND_ENTRIES, Entry, EntryKind


class Compacted(Exception):
    """The requested entries have been compacted; only the snapshot still covers them."""


class Log:
    """Log entries by index, counted from 1. Those up to `base_index` are compacted into a snapshot."""

    __slots__ = ("base_index", "base_term", "entries")

    def __init__(self, base_index: int = 0, base_term: int = 0, entries: Sequence[Entry] = ()) -> None:
        self.base_index, self.base_term = base_index, base_term
        self.entries = list(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the last compacted one if no entry follows it."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the entry at `last_index`."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """The term of the entry at an index; None if there is no such entry or it has been compacted."""
        if index == self.base_index:
            return self.base_term
        offset = index - self.base_index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else None

    def entry_at(self, index: int) -> Entry:
        """The entry at an index. Raises Compacted, or IndexError past the end of the log."""
        if index <= self.base_index:
            raise Compacted(f"entry {index} has been compacted; the log starts after {self.base_index}")
        return self.entries[index - self.base_index - 1]

    def entries_after(self, index: int) -> tuple[Entry, ...]:
        """The entries after an index, limited to what fits into one AppendEntries. Raises Compacted."""
        if index < self.base_index:
            raise Compacted(f"entry {index + 1} has been compacted; the log starts after {self.base_index}")
        found: list[Entry] = []
        size = 0
        for entry in self.entries[index - self.base_index : index - self.base_index + MAX_APPEND_ENTRIES]:
            size += len(entry.data)
            if found and size > MAX_APPEND_BYTES:
                break
            found.append(entry)
        return tuple(found)

    def append(self, entry: Entry) -> int:
        """Appends an entry and returns its index."""
        self.entries.append(entry)
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Deletes the entry at an index and all that follow it."""
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Deletes the entries up to an index, which a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        assert term is not None, f"cannot compact up to {index}: the last index is {self.last_index}"
        del self.entries[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def first_index_of_term(self, index: int) -> int:
        """The first index after the base that has the same term as the entry at `index`. A follower whose log
        conflicts returns it, so that the leader skips the whole term (the paper's section 5.3)."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def latest_roster(self, base_roster: tuple[str, ...]) -> tuple[str, ...]:
        """The newest roster in the log, or `base_roster` (that of the snapshot) if no entry has one."""
        for entry in reversed(self.entries):
            if entry.kind is EntryKind.ROSTER:
                return decode_roster(entry.data)
        return base_roster


def encode_roster(roster: Sequence[str]) -> bytes:
    """The data of a ROSTER entry: the names, sorted and without duplicates, as msgpack."""
    return msgspec.msgpack.encode(tuple(sorted(set(roster))))


def decode_roster(data: bytes) -> tuple[str, ...]:
    """The names in the data of a ROSTER entry."""
    return msgspec.msgpack.decode(data, type=tuple[str, ...])
