"""What is compacted, and which records outlive it. Pure: told sizes, numbers and times."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from notchflow.store.frames import Kind, Record, expired

DEAD_SHARE: Final = 0.5  # of a segment before it is worth copying the rest
SMALL_SHARE: Final = 0.1  # of a full segment: many so small ones are put together
SMALL_COUNT: Final = 4


@dataclass(frozen=True, slots=True)
class Extent:
    """A sealed segment: its length, the bytes of it that are still the newest of their key, those of
    deletes, and the first number that it may hold."""

    segment: int
    length: int
    live: int
    graves: int
    first: int

    @property
    def kept(self) -> int:
        return self.live + self.graves

    @property
    def dead(self) -> float:
        return 1 - self.kept / self.length if self.length > 0 else 1.0


def plan(sealed: Sequence[Extent], segment_max: int) -> tuple[int, ...]:
    """The segments to merge into one, oldest first; none where nothing is worth it.

    Segments that are mostly dead come first, the deadest before others, as long as what is left of them fits
    into one segment. So a byte that stays is copied at most once for each byte that is freed beside it: the
    disk holds at most twice what lives, and a segment beside it.
    """
    chosen = _fitting(sorted((e for e in sealed if e.dead >= DEAD_SHARE), key=lambda e: -e.dead), segment_max)
    if not chosen:
        small = [e for e in sealed if e.length < SMALL_SHARE * segment_max]
        if len(small) >= SMALL_COUNT:
            chosen = _fitting(small, segment_max)
    names = {e.segment for e in chosen}
    return tuple(e.segment for e in sealed if e.segment in names)


def _fitting(extents: Iterable[Extent], segment_max: int) -> list[Extent]:
    chosen, room = [], segment_max
    for extent in extents:
        if extent.kept <= room:
            chosen.append(extent)
            room -= extent.kept
    return chosen


def outlives(record: Record, newest: int | None, unsettled: bool, now: int, others_first: int | None) -> bool:
    """Whether a record is copied. `newest`: the number of the newest record of its key, none where it has
    none; `unsettled`: that one, or what deleted the key, lies in the segment that is written to, whose end
    may yet be lost: then the older one is what the key had before; `others_first`: the first number in any
    segment that is not merged, none where there is no other."""
    if expired(record.expires, now):
        return False
    if unsettled:
        return True
    if record.kind is Kind.PUT:
        return newest == record.number
    return others_first is not None and others_first < record.number
