"""The on-disk format of segments: a header followed by batches of records.

Each batch is written and synced as one unit, with a checksum over all of it. A batch is written only once
the batch before it is durable, so a crash can tear at most the last batch of the last segment: a bad batch
that is followed by a good one is corruption, not a torn write. Each record also has its own checksum, since
records are read individually later. All numbers are little-endian. Checksums are CRC32C (RFC 3720, appendix
B.4).

This module does no I/O. Sizes and offsets are in bytes, times in milliseconds of the store's clock.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum
from itertools import accumulate
from typing import Final

import google_crc32c

KEY_MAX: Final = 1024
VALUE_MAX: Final = 1 << 20
BATCH_MAX: Final = 4 << 20  # payload bytes of one batch, which a reader holds in memory
VERSION: Final = 1

_SEGMENT: Final = struct.Struct("<4sHHQQ")  # magic, version, unused, segment, first number
_BATCH: Final = struct.Struct("<4sIQIQ")  # magic, length of the payload, first number, count, time
_RECORD: Final = struct.Struct("<QQBHI")  # number, expiry, kind, length of the key, of the value
_CRC: Final = struct.Struct("<I")
SEGMENT_MAGIC: Final = b"NFS1"
BATCH_MAGIC: Final = b"NFB1"
SEGMENT_HEADER: Final = _SEGMENT.size + _CRC.size
BATCH_HEADER: Final = _BATCH.size + _CRC.size
RECORD_HEADER: Final = _RECORD.size + _CRC.size


class RecordKind(IntEnum):
    """The kind of a record: a value or a tombstone."""

    PUT = 1
    DELETE = 2


class FrameError(Exception):
    """Invalid bytes in a segment: their offset and what is wrong with them."""

    def __init__(self, offset: int, reason: str) -> None:
        super().__init__(f"offset {offset}: {reason}")
        self.offset, self.reason = offset, reason


@dataclass(frozen=True, slots=True)
class Record:
    """One change. `expires` is when the record may be dropped, 0 for never; a tombstone expires with the
    record that it deletes."""

    number: int
    kind: RecordKind
    key: bytes
    value: bytes = b""
    expires: int = 0

    def __post_init__(self) -> None:
        check_sizes(self.key, self.value)


def check_sizes(key: bytes, value: bytes) -> None:
    """Raises ValueError if the key or the value is too long, or the key empty."""
    if not 0 < len(key) <= KEY_MAX:
        raise ValueError(f"a key of {len(key)} bytes; 1 to {KEY_MAX} are allowed")
    if len(value) > VALUE_MAX:
        raise ValueError(f"a value of {len(value)} bytes; at most {VALUE_MAX} are allowed")


def expired(expires: int, now: int) -> bool:
    """Whether an expiry has passed; an expiry of 0 never does."""
    return 0 < expires <= now


def later_expiry(one: int, other: int) -> int:
    """The later of two expiries; 0 is never."""
    return 0 if one == 0 or other == 0 else max(one, other)


@dataclass(frozen=True, slots=True)
class LocatedRecord:
    """A record and its position in its segment."""

    record: Record
    offset: int
    length: int


@dataclass(frozen=True, slots=True)
class Batch:
    """A complete batch: where it begins, and where the next one would begin."""

    offset: int
    end: int
    time: int
    records: tuple[LocatedRecord, ...]


def crc(data: bytes) -> int:
    """CRC32C."""
    return int(google_crc32c.value(data))


def encode_fields(number: int, kind: int, key: bytes, value: bytes, expires: int) -> bytes:
    """Encodes a record from its fields, which must be valid."""
    body = _RECORD.pack(number, expires, kind, len(key), len(value)) + key + value
    return _CRC.pack(google_crc32c.value(body)) + body


def encode_record(record: Record) -> bytes:
    """Encodes a record."""
    return encode_fields(record.number, record.kind, record.key, record.value, record.expires)


def decode_record(data: bytes, start: int = 0, at: int = 0, limit: int | None = None) -> LocatedRecord:
    """Decodes the record that begins at `start` of `data` and ends by `limit`; `at` is its offset in the
    segment. Raises FrameError."""
    limit = len(data) if limit is None else limit
    if limit - start < RECORD_HEADER:
        raise FrameError(at, "a record's header is cut off")
    (stored_crc,) = _CRC.unpack_from(data, start)
    number, expires, kind, key_size, value_size = _RECORD.unpack_from(data, start + _CRC.size)
    end = start + RECORD_HEADER + key_size + value_size
    if not 0 < key_size <= KEY_MAX or value_size > VALUE_MAX or end > limit:
        raise FrameError(at, f"a record of {key_size} and {value_size} bytes cannot be here")
    if crc(data[start + _CRC.size : end]) != stored_crc:
        raise FrameError(at, "a record's checksum differs")
    if kind not in (RecordKind.PUT, RecordKind.DELETE):
        raise FrameError(at, f"a record of kind {kind}")
    key_at, value_at = start + RECORD_HEADER, start + RECORD_HEADER + key_size
    record = Record(number, RecordKind(kind), data[key_at:value_at], data[value_at:end], expires)
    return LocatedRecord(record, at, end - start)


def record_length(key: int, value: int) -> int:
    """The encoded length of a record with a key and a value of these lengths."""
    return RECORD_HEADER + key + value


def encode_batch(records: Sequence[Record], time: int) -> tuple[bytes, tuple[int, ...]]:
    """Encodes a batch and returns it with the offset of each record in it. `time` is on the store's
    clock."""
    if not records:
        raise ValueError("a batch holds at least one record")
    pieces = [encode_record(record) for record in records]
    starts = accumulate(map(len, pieces[:-1]), initial=BATCH_HEADER)
    return join_batch(pieces, records[0].number, time), tuple(starts)


def join_batch(pieces: Sequence[bytes], first: int, time: int) -> bytes:
    """Encodes a batch of already encoded records; `first` is the number of the first one."""
    payload = b"".join(pieces)
    if len(payload) > BATCH_MAX:
        raise ValueError(f"a batch holds at most {BATCH_MAX} bytes, not {len(payload)}")
    head = _BATCH.pack(BATCH_MAGIC, len(payload), first, len(pieces), time)
    return _CRC.pack(crc(head + payload)) + head + payload


def batch_length(head: bytes, at: int) -> int:
    """The length of the batch that has this header, header included. Raises FrameError."""
    if len(head) < BATCH_HEADER:
        raise FrameError(at, "a batch's header is cut off")
    magic, length, _, _, _ = _BATCH.unpack_from(head, _CRC.size)
    if magic != BATCH_MAGIC or length > BATCH_MAX:
        raise FrameError(at, "no batch begins here")
    return BATCH_HEADER + int(length)


def decode_batch(data: bytes, start: int, at: int) -> Batch:
    """Decodes the batch that begins at `start` of `data`; `at` is its offset in the segment. Raises
    FrameError."""
    size = batch_length(data[start : start + BATCH_HEADER], at)
    (stored_crc,) = _CRC.unpack_from(data, start)
    _, _, first, count, time = _BATCH.unpack_from(data, start + _CRC.size)
    end = start + size
    if end > len(data):
        raise FrameError(at, f"a batch of {size} bytes is cut off")
    if crc(data[start + _CRC.size : end]) != stored_crc:
        raise FrameError(at, "a batch's checksum differs")
    records, position = [], start + BATCH_HEADER
    while position < end:
        placed = decode_record(data, position, at + position - start, end)
        records.append(placed)
        position += placed.length
    if len(records) != count or not records or records[0].record.number != first:
        raise FrameError(at, f"a batch of {len(records)} records says {count}")
    return Batch(at, at + end - start, time, tuple(records))


def encode_segment_header(segment: int, first: int) -> bytes:
    """Encodes the header of a segment; `first` is the lowest record number that it may hold."""
    head = _SEGMENT.pack(SEGMENT_MAGIC, VERSION, 0, segment, first)
    return head + _CRC.pack(crc(head))


def decode_segment_header(data: bytes, segment: int) -> int:
    """The lowest record number that the segment may hold. Raises FrameError, also if the header belongs to
    a different segment."""
    if len(data) < SEGMENT_HEADER:
        raise FrameError(0, "the segment's header is cut off")
    magic, version, _, stored_segment, first = _SEGMENT.unpack_from(data)
    if magic != SEGMENT_MAGIC:
        raise FrameError(0, "this is no segment")
    if crc(data[: _SEGMENT.size]) != _CRC.unpack_from(data, _SEGMENT.size)[0]:
        raise FrameError(0, "the header's checksum differs")
    if version != VERSION:
        raise FrameError(0, f"version {version}; this program reads version {VERSION}")
    if stored_segment != segment:
        raise FrameError(0, f"this is segment {stored_segment}, by its name {segment}")
    return int(first)


def find_batch(data: bytes, start: int) -> Batch | None:
    """The first valid batch that begins at or after `start`: resynchronizes after corruption."""
    while True:
        found = data.find(BATCH_MAGIC, start + _CRC.size)
        if found < 0:
            return None
        start = found - _CRC.size
        try:
            return decode_batch(data, start, start)
        except FrameError:
            start += 1
