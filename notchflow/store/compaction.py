"""Compaction policy: which segments to merge, and which of their records to copy. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from notchflow.store.frames import Record, RecordKind, expired

MIN_GARBAGE_RATIO: Final = 0.5  # share of a segment that must be garbage before the rest is worth copying
SMALL_SEGMENT_RATIO: Final = 0.1  # of a full segment: smaller ones are merged together
MIN_SMALL_SEGMENTS: Final = 4


@dataclass(frozen=True, slots=True)
class SegmentStats:
    """A sealed segment: its length, the bytes of records that are still the newest of their key, the bytes
    of tombstones, and the lowest record number that it may hold."""

    segment: int
    length: int
    live_bytes: int
    tombstone_bytes: int
    first_number: int

    @property
    def retained_bytes(self) -> int:
        """The bytes that a compaction would copy."""
        return self.live_bytes + self.tombstone_bytes

    @property
    def garbage_ratio(self) -> float:
        """The share of the segment that a compaction would free."""
        return 1 - self.retained_bytes / self.length if self.length > 0 else 1.0


def select_segments(sealed: Sequence[SegmentStats], segment_max: int) -> tuple[int, ...]:
    """The segments to merge into one, oldest first; empty if no compaction is worthwhile.

    Segments that are mostly garbage are selected first, in order of decreasing garbage ratio, as long as
    their retained bytes fit into one segment. Each byte copied therefore frees at least one byte, and disk
    usage stays below twice the live data plus one segment.
    """
    chosen = _select_fitting(
        sorted((e for e in sealed if e.garbage_ratio >= MIN_GARBAGE_RATIO), key=lambda e: -e.garbage_ratio),
        segment_max,
    )
    if not chosen:
        small = [e for e in sealed if e.length < SMALL_SEGMENT_RATIO * segment_max]
        if len(small) >= MIN_SMALL_SEGMENTS:
            chosen = _select_fitting(small, segment_max)
    selected = {e.segment for e in chosen}
    return tuple(e.segment for e in sealed if e.segment in selected)


def _select_fitting(candidates: Iterable[SegmentStats], segment_max: int) -> list[SegmentStats]:
    chosen, free_bytes = [], segment_max
    for stats in candidates:
        if stats.retained_bytes <= free_bytes:
            chosen.append(stats)
            free_bytes -= stats.retained_bytes
    return chosen


def must_copy(
    record: Record, newest: int | None, newest_may_be_lost: bool, now: int, oldest_other: int | None
) -> bool:
    """Whether compaction must copy a record.

    `newest` is the number of the newest record of its key, None if there is none. `newest_may_be_lost` says
    that this record, or the tombstone that deleted the key, is in the active segment, whose end may still be
    lost in a crash: the older record is then the key's value. `oldest_other` is the lowest record number in
    any segment that is not being merged, None if there is no other segment; a tombstone is copied only while
    older records may exist there.
    """
    if expired(record.expires, now):
        return False
    if newest_may_be_lost:
        return True
    if record.kind is RecordKind.PUT:
        return newest == record.number
    return oldest_other is not None and oldest_other < record.number
