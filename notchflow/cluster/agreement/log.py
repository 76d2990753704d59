"""The log as an instance has it: what a snapshot stands for, and the entries behind that. Pure."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from notchflow.cluster.agreement.wire import APPEND_BYTES, ENTRIES_MAX, Entry, EntryKind


class Compacted(Exception):
    """Entries that are asked for are in the snapshot alone."""


class Log:
    """Entries by index, from 1; those up to `base` are compacted away."""

    __slots__ = ("base_index", "base_term", "entries")

    def __init__(self, base: int = 0, base_term: int = 0, entries: Sequence[Entry] = ()) -> None:
        self.base_index, self.base_term = base, base_term
        self.entries = list(entries)

    @property
    def last_index(self) -> int:
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """The term of an entry; None where there is none, or no longer."""
        if index == self.base_index:
            return self.base_term
        place = index - self.base_index - 1
        return self.entries[place].term if 0 <= place < len(self.entries) else None

    def entry_at(self, index: int) -> Entry:
        """Compacted; IndexError behind the end."""
        if index <= self.base_index:
            raise Compacted(f"{index}: the log begins behind {self.base_index}")
        return self.entries[index - self.base_index - 1]

    def behind(self, index: int) -> tuple[Entry, ...]:
        """What comes behind an index, as far as one message takes it. Compacted."""
        if index < self.base_index:
            raise Compacted(f"{index}: the log begins behind {self.base_index}")
        found: list[Entry] = []
        size = 0
        for entry in self.entries[index - self.base_index : index - self.base_index + ENTRIES_MAX]:
            size += len(entry.data)
            if found and size > APPEND_BYTES:
                break
            found.append(entry)
        return tuple(found)

    def append(self, entry: Entry) -> int:
        self.entries.append(entry)
        return self.last_index

    def cut(self, index: int) -> None:
        """Drops an entry and all behind it."""
        del self.entries[index - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Forgets entries up to an index, which a snapshot stands for."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        assert term is not None, f"{index} of {self.last_index}"
        del self.entries[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def first_of(self, index: int) -> int:
        """The first index, behind the base, of the term that stands at an index: where to look for what two
        logs have alike."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def latest_roster(self, before: tuple[str, ...]) -> tuple[str, ...]:
        """The newest roster in the log, or the one that the snapshot has."""
        for entry in reversed(self.entries):
            if entry.kind is EntryKind.ROSTER:
                return names_of(entry.data)
        return before


def bytes_of(roster: Sequence[str]) -> bytes:
    return msgspec.msgpack.encode(tuple(sorted(set(roster))))


def names_of(data: bytes) -> tuple[str, ...]:
    return msgspec.msgpack.decode(data, type=tuple[str, ...])
