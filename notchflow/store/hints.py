"""Hint files: the index entries of a sealed segment, so that recovery need not read the segment.

They are an optimization only: if a hint file is missing, short or corrupt, the segment is read instead.
"""

from __future__ import annotations

import contextlib
import struct
from array import array
from typing import Final

import numpy as np

from notchflow.store.files import Files, read_file, write_file
from notchflow.store.frames import LocatedRecord, RecordKind, crc
from notchflow.store.index import LENGTH_MASK, EntryColumns, digest, pack
from notchflow.store.manifest import hint_name

MAGIC: Final = b"NFH1"
_HEAD: Final = struct.Struct("<4sIQQQQ")  # magic, checksum, segment, its length, rows, tombstone bytes
COLUMN_COUNT: Final = 5


class HintColumns:
    """The rows of one segment's hint file, as one array per column."""

    def __init__(self) -> None:
        self.arrays = tuple(array("Q") for _ in range(COLUMN_COUNT))
        self.tombstone_bytes = 0

    def add(self, segment: int, placed: LocatedRecord) -> None:
        """Adds a record. A tombstone is added with length 0: it hides older records and is not an index
        entry itself."""
        record = placed.record
        low, high = digest(record.key)
        if record.kind is RecordKind.DELETE:
            self.add_tombstone(
                low, high, record.number, segment, placed.offset, placed.length, record.expires
            )
        else:
            location, meta = pack(segment, placed.offset, placed.length, record.expires)
            self.extend((low, high, record.number, location, meta))

    @classmethod
    def from_entries(cls, entries: EntryColumns, tombstone_bytes: int) -> HintColumns:
        """Rows that begin with these entries."""
        columns = cls()
        for column, words in zip(columns.arrays, entries, strict=True):
            column.frombytes(words.tobytes())
        columns.tombstone_bytes = tombstone_bytes
        return columns

    def tombstones(self) -> HintColumns:
        """The tombstones only."""
        result = HintColumns()
        for row in zip(*self.arrays, strict=True):
            if not row[4] & LENGTH_MASK:
                result.extend(row)
        result.tombstone_bytes = self.tombstone_bytes
        return result

    def extend(self, row: tuple[int, ...]) -> None:
        """Appends one row."""
        for column, word in zip(self.arrays, row, strict=True):
            column.append(word)

    def add_tombstone(
        self, low: int, high: int, number: int, segment: int, offset: int, length: int, expires: int
    ) -> None:
        """Adds a tombstone by key digest."""
        location, meta = pack(segment, offset, length, expires)
        self.extend((low, high, number, location, meta - length))
        self.tombstone_bytes += length

    def digests(self) -> set[tuple[int, int]]:
        """The key digests of all rows."""
        return set(zip(self.arrays[0], self.arrays[1], strict=True))

    def appended_to(self, entries: EntryColumns) -> HintColumns:
        """`entries` followed by these rows."""
        result = HintColumns.from_entries(entries, self.tombstone_bytes)
        for column, words in zip(result.arrays, self.arrays, strict=True):
            column.extend(words)
        return result

    def entries(self) -> EntryColumns:
        """All rows."""
        return EntryColumns(
            *(
                np.frombuffer(column, dtype=np.uint64) if column else np.zeros(0, dtype=np.uint64)
                for column in self.arrays
            )
        )


def encode(segment: int, length: int, columns: HintColumns) -> bytes:
    """Encodes the hint file of a segment of this length."""
    body = b"".join(column.tobytes() for column in columns.arrays)
    rest = struct.pack("<QQQQ", segment, length, len(columns.arrays[0]), columns.tombstone_bytes) + body
    return MAGIC + struct.pack("<I", crc(rest)) + rest


def decode(data: bytes, segment: int, length: int) -> tuple[EntryColumns, int] | None:
    """The entries and the number of tombstone bytes; None if this is not the hint file of that segment at
    that length."""
    if len(data) < _HEAD.size:
        return None
    magic, stored_crc, stored_segment, stored_length, count, tombstone_bytes = _HEAD.unpack_from(data)
    if (
        magic != MAGIC
        or stored_segment != segment
        or stored_length != length
        or len(data) != _HEAD.size + 8 * COLUMN_COUNT * count
        or crc(data[8:]) != stored_crc
    ):
        return None
    words = np.frombuffer(data, dtype=np.uint64, offset=_HEAD.size).reshape(COLUMN_COUNT, count)
    return EntryColumns(*words), int(tombstone_bytes)


def load(files: Files, segment: int, length: int) -> tuple[EntryColumns, int] | None:
    """Loads the hint file of a segment; None if there is no valid one."""
    try:
        data = read_file(files, hint_name(segment))
    except FileNotFoundError:
        return None
    return decode(data, segment, length)


def save(files: Files, segment: int, length: int, columns: HintColumns) -> None:
    """Writes a hint file. An error is ignored: an incomplete file is detected, and only recovery is
    slower."""
    with contextlib.suppress(OSError):
        write_file(files, hint_name(segment), encode(segment, length, columns), sync=False)
