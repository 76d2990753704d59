"""The in-memory index: the location of the newest record of each key, in hash tables with open addressing.

The tables are flat arrays of 40 bytes per slot. A dictionary of tuples takes five times the memory and cannot
be filled from a hint file without creating every object (benchmarks/store.py compares them). Keys are stored
as 128-bit BLAKE2b digests; a reader compares the full key with the record that it reads. The index is divided
into shards so that growing one blocks readers for a millisecond and not for a second. One thread writes, any
thread may read.
"""

from __future__ import annotations

import hashlib
import struct
import threading
from array import array
from typing import Any, Final, NamedTuple

import numpy as np
import numpy.typing as npt

SHARDS: Final = 64
MAX_LOAD_FACTOR: Final = 0.66  # share of a shard's slots in use before it doubles
INITIAL_SLOTS: Final = 64
OFFSET_BITS: Final = 40
LENGTH_BITS: Final = 21
SEGMENTS_MAX: Final = 1 << 24
EXPIRES_MAX: Final = (1 << 43) - 1
_DIGEST: Final = struct.Struct("<QQ")
_OFFSET_MASK: Final = (1 << OFFSET_BITS) - 1
LENGTH_MASK: Final = (1 << LENGTH_BITS) - 1


class Entry(NamedTuple):
    """The newest record of a key. Offsets and lengths are in bytes; an `expires` of 0 is never."""

    number: int
    segment: int
    offset: int
    length: int
    expires: int


class EntryColumns(NamedTuple):
    """Many entries in columnar form, as stored in a hint file."""

    low: npt.NDArray[np.uint64]
    high: npt.NDArray[np.uint64]
    number: npt.NDArray[np.uint64]
    location: npt.NDArray[np.uint64]
    meta: npt.NDArray[np.uint64]


def digest(key: bytes) -> tuple[int, int]:
    """The key's digest as two 64-bit halves; the first is never 0, which marks an empty slot."""
    low, high = _DIGEST.unpack(hashlib.blake2b(key, digest_size=16).digest())
    return low or 1, high


def pack(segment: int, offset: int, length: int, expires: int) -> tuple[int, int]:
    """Packs an entry into two 64-bit words. Raises ValueError if a number is out of range."""
    if not (
        0 <= segment < SEGMENTS_MAX
        and 0 <= offset <= _OFFSET_MASK
        and 0 < length <= LENGTH_MASK
        and 0 <= expires <= EXPIRES_MAX
    ):
        raise ValueError(
            f"segment {segment}, offset {offset}, length {length}, expiry {expires}: out of range"
        )
    return segment << OFFSET_BITS | offset, expires << LENGTH_BITS | length


def unpack(number: int, location: int, meta: int) -> Entry:
    """The entry that `pack` packed into two words."""
    return Entry(
        number, location >> OFFSET_BITS, location & _OFFSET_MASK, meta & LENGTH_MASK, meta >> LENGTH_BITS
    )


class Shard:
    """One hash table with linear probing. The low half of the digest selects the slot; 0 marks an empty
    one."""

    __slots__ = ("lock", "size", "count", "low", "high", "number", "location", "meta")

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.count = 0
        self._allocate(INITIAL_SLOTS)

    def _allocate(self, size: int) -> None:
        self.size = size
        zeros = bytes(8 * size)
        self.low, self.high, self.number, self.location, self.meta = (array("Q", zeros) for _ in range(5))

    def find(self, low: int, high: int) -> int:
        """The slot of a key, or ~slot of the first empty slot for it."""
        mask, lows, slot = self.size - 1, self.low, (low >> 6) & (self.size - 1)
        while (stored := lows[slot]) != 0:
            if stored == low and self.high[slot] == high:
                return slot
            slot = (slot + 1) & mask
        return ~slot

    def write(self, slot: int, low: int, high: int, number: int, location: int, meta: int) -> None:
        """Overwrites a slot."""
        self.low[slot], self.high[slot], self.number[slot] = low, high, number
        self.location[slot], self.meta[slot] = location, meta

    def add(self, slot: int, low: int, high: int, number: int, location: int, meta: int) -> None:
        """Adds a key that is not in the table; `slot` is what `find` returned for it."""
        if self.count + 1 > MAX_LOAD_FACTOR * self.size:
            self.rebuild(self.entries(), 2 * self.size)
            slot = self.find(low, high)
        self.write(~slot, low, high, number, location, meta)
        self.count += 1

    def delete(self, slot: int) -> None:
        """Empties a slot and shifts later entries back, so that no probe sequence is interrupted."""
        mask, lows = self.size - 1, self.low
        self.count -= 1
        following = slot
        while True:
            following = (following + 1) & mask
            low = lows[following]
            if low == 0:
                break
            home = (low >> 6) & mask
            if (following - home) & mask >= (following - slot) & mask:
                self.write(
                    slot,
                    low,
                    self.high[following],
                    self.number[following],
                    self.location[following],
                    self.meta[following],
                )
                slot = following
        lows[slot] = 0

    def columns(self) -> tuple[Any, ...]:
        """The table's columns as NumPy arrays that share its memory."""
        return tuple(
            np.frombuffer(a, dtype=np.uint64)
            for a in (self.low, self.high, self.number, self.location, self.meta)
        )

    def entries(self) -> EntryColumns:
        """A copy of all entries."""
        columns = self.columns()
        used = columns[0] != 0
        return EntryColumns(*(column[used] for column in columns))

    def rebuild(self, entries: EntryColumns, size: int) -> None:
        """Recreates the table with `size` slots from entries whose keys are all different."""
        self._allocate(size)
        columns, mask = self.columns(), np.uint64(size - 1)
        waiting = np.arange(len(entries.low))
        slots = (entries.low >> np.uint64(6)) & mask
        while len(waiting):
            free = columns[0][slots] == 0
            _, first = np.unique(slots, return_index=True)
            winners = np.zeros(len(waiting), dtype=bool)
            winners[first] = True
            winners &= free
            for column, values in zip(columns, entries, strict=True):
                column[slots[winners]] = values[waiting[winners]]
            waiting, slots = waiting[~winners], (slots[~winners] + np.uint64(1)) & mask
        self.count = len(entries.low)


class Index:
    """The newest record of every key, and the number of live bytes in each segment."""

    def __init__(self) -> None:
        self.shards = [Shard() for _ in range(SHARDS)]
        self.live_bytes: dict[int, int] = {}  # segment -> bytes
        self.next_sweep = 0  # the shard that is swept next

    def __len__(self) -> int:
        return sum(shard.count for shard in self.shards)

    def memory_bytes(self) -> int:
        """Bytes used by the tables."""
        return sum(40 * shard.size for shard in self.shards)

    def get(self, key: bytes) -> Entry | None:
        """The entry of a key, if there is one."""
        low, high = digest(key)
        shard = self.shards[low & SHARDS - 1]
        with shard.lock:
            slot = shard.find(low, high)
            if slot < 0:
                return None
            return unpack(shard.number[slot], shard.location[slot], shard.meta[slot])

    def expiry(self, low: int, high: int) -> int | None:
        """The expiry of the record with this key digest; None if there is no record."""
        shard = self.shards[low & SHARDS - 1]
        with shard.lock:
            slot = shard.find(low, high)
            return shard.meta[slot] >> LENGTH_BITS if slot >= 0 else None

    def put(self, key: bytes, entry: Entry) -> bool:
        """Stores an entry unless a newer one is known; returns whether it was stored."""
        return self.put_by_digest(*digest(key), *entry)

    def put_by_digest(
        self, low: int, high: int, number: int, segment: int, offset: int, length: int, expires: int
    ) -> bool:
        """The same as `put`, by key digest."""
        location, meta = pack(segment, offset, length, expires)
        shard = self.shards[low & SHARDS - 1]
        with shard.lock:
            slot = shard.find(low, high)
            if slot >= 0:
                if shard.number[slot] >= number:
                    return False
                self._subtract_live_bytes(shard, slot)
                shard.number[slot], shard.location[slot], shard.meta[slot] = number, location, meta
            else:
                shard.add(slot, low, high, number, location, meta)
        self.live_bytes[segment] = self.live_bytes.get(segment, 0) + length
        return True

    def entries_of(self, segment: int) -> EntryColumns:
        """All entries whose records are in a segment."""
        found = []
        for shard in self.shards:
            with shard.lock:
                columns = shard.columns()
                in_segment = (columns[0] != 0) & (columns[3] >> np.uint64(OFFSET_BITS) == np.uint64(segment))
                found.append([column[in_segment] for column in columns])
        return EntryColumns(*(np.concatenate(column) for column in zip(*found, strict=True)))

    def remove(self, key: bytes, number: int) -> bool:
        """Removes a key unless a record newer than `number` is known; returns whether it was removed."""
        return self.remove_by_digest(*digest(key), number)

    def remove_by_digest(self, low: int, high: int, number: int) -> bool:
        """The same as `remove`, by key digest."""
        shard = self.shards[low & SHARDS - 1]
        with shard.lock:
            slot = shard.find(low, high)
            if slot < 0 or shard.number[slot] > number:
                return False
            self._subtract_live_bytes(shard, slot)
            shard.delete(slot)
        return True

    def update_locations(self, entries: EntryColumns) -> None:
        """Updates the locations of records that were copied; skips those that are no longer the newest of
        their key."""
        for low, high, number, location, meta in zip(*(c.tolist() for c in entries), strict=True):
            if not meta & LENGTH_MASK:
                continue
            shard = self.shards[low & SHARDS - 1]
            with shard.lock:
                slot = shard.find(low, high)
                if slot < 0 or shard.number[slot] != number:
                    continue
                self._subtract_live_bytes(shard, slot)
                shard.write(slot, low, high, number, location, meta)
            segment = location >> OFFSET_BITS
            self.live_bytes[segment] = self.live_bytes.get(segment, 0) + (meta & LENGTH_MASK)

    def _subtract_live_bytes(self, shard: Shard, slot: int) -> None:
        segment = shard.location[slot] >> OFFSET_BITS
        self.live_bytes[segment] = self.live_bytes.get(segment, 0) - (shard.meta[slot] & LENGTH_MASK)

    def sweep(self, now: int) -> int:
        """Removes the expired entries of the next shard and returns their number. `now` is in
        milliseconds."""
        shard = self.shards[self.next_sweep]
        self.next_sweep = (self.next_sweep + 1) % SHARDS
        with shard.lock:
            columns = shard.columns()
            expires = columns[4] >> np.uint64(LENGTH_BITS)
            expired = np.flatnonzero((expires > 0) & (expires <= np.uint64(now)) & (columns[0] != 0))
            digests = [(shard.low[int(slot)], shard.high[int(slot)]) for slot in expired]
            for low, high in digests:  # by key, since each removal shifts other entries
                slot = shard.find(low, high)
                self._subtract_live_bytes(shard, slot)
                shard.delete(slot)
        return len(digests)

    def bulk_load(self, entries: EntryColumns) -> None:
        """Loads many entries into an empty index; they may be in any order and repeat keys."""
        newest = np.lexsort((entries.number, entries.high, entries.low))
        entries = EntryColumns(*(column[newest] for column in entries))
        last = np.ones(len(entries.low), dtype=bool)
        if len(entries.low) > 1:
            last[:-1] = (entries.low[1:] != entries.low[:-1]) | (entries.high[1:] != entries.high[:-1])
        last &= (entries.meta & np.uint64(LENGTH_MASK)) != 0  # tombstones are not entries
        entries = EntryColumns(*(column[last] for column in entries))
        segments, sizes = entries.location >> np.uint64(OFFSET_BITS), entries.meta & np.uint64(LENGTH_MASK)
        for segment in np.unique(segments):
            self.live_bytes[int(segment)] = int(sizes[segments == segment].sum())
        shard_of = entries.low & np.uint64(SHARDS - 1)
        entries = EntryColumns(*(column[np.argsort(shard_of, kind="stable")] for column in entries))
        bounds = np.searchsorted(np.sort(shard_of), np.arange(SHARDS + 1, dtype=np.uint64)).tolist()
        for number, shard in enumerate(self.shards):
            shard_entries = EntryColumns(*(column[bounds[number] : bounds[number + 1]] for column in entries))
            if not len(shard_entries.low):
                continue
            size = INITIAL_SLOTS
            while len(shard_entries.low) > MAX_LOAD_FACTOR * size:
                size *= 2
            with shard.lock:
                shard.rebuild(shard_entries, size)
