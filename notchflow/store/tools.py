"""Offline maintenance of a store that no process has open: check, dump, compact and repair."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from notchflow.store import manifest
from notchflow.store.engine import Engine, read_batches
from notchflow.store.files import File, Files, file_size, remove_if_exists, write_file
from notchflow.store.frames import (
    SEGMENT_HEADER,
    Batch,
    FrameError,
    Record,
    RecordKind,
    decode_segment_header,
    encode_segment_header,
    expired,
    find_batch,
)
from notchflow.store.manifest import Manifest, ManifestError, hint_name, log_name


@dataclass(frozen=True, slots=True)
class Damage:
    """An unreadable byte range of a segment, from `offset` up to `end`; `torn` if it is a torn write, as a
    crash leaves."""

    name: str
    offset: int
    end: int
    reason: str
    torn: bool

    def __str__(self) -> str:
        kind, size = "torn write" if self.torn else "DAMAGE", self.end - self.offset
        return f"{self.name}: {kind} at offset {self.offset}, {size} bytes lost: {self.reason}"


@dataclass(frozen=True, slots=True)
class SegmentReport:
    """The contents of one segment."""

    name: str
    length: int
    batches: int
    records: int
    first_number: int
    last_number: int


@dataclass(frozen=True, slots=True)
class CheckReport:
    """The result of a check."""

    segments: tuple[SegmentReport, ...]
    damages: tuple[Damage, ...]

    @property
    def sound(self) -> bool:
        """Whether there is no damage other than a torn write."""
        return all(d.torn for d in self.damages)


def check(files: Files) -> CheckReport:
    """Reads and verifies the whole store without changing it. Raises ManifestError, OSError."""
    current = manifest.load(files)
    if current is None:
        raise ManifestError(f"there is no {manifest.NAME}: no store, or an older copy without it")
    segments: list[SegmentReport] = []
    damages: list[Damage] = []
    for number in current.segments:
        sealed = current.sealed.get(number)
        try:
            file = files.open(log_name(number))
        except FileNotFoundError:
            damages.append(Damage(log_name(number), 0, sealed or 0, "the file is not there", False))
            continue
        try:
            segment, segment_damages = _check_segment(file, number, sealed)
        finally:
            file.close()
        segments.append(segment)
        damages += segment_damages
    return CheckReport(tuple(segments), tuple(damages))


def _check_segment(file: File, number: int, sealed: int | None) -> tuple[SegmentReport, list[Damage]]:
    name, size = log_name(number), file.size()
    damages: list[Damage] = []
    try:
        decode_segment_header(file.read(0, SEGMENT_HEADER), number)
    except FrameError as error:
        damages.append(Damage(name, error.offset, SEGMENT_HEADER, error.reason, False))
    batches, numbers = 0, list[int]()
    for piece in _batches_and_gaps(file, size if sealed is None else min(sealed, size)):
        if isinstance(piece, Batch):
            batches += 1
            numbers += (placed.record.number for placed in piece.records)
        else:
            torn = sealed is None and piece.end == size
            damages.append(Damage(name, piece.offset, piece.end, piece.reason, torn))
    if sealed is not None and size < sealed:
        damages.append(Damage(name, size, sealed, f"the file ends here, the manifest says {sealed}", False))
    return SegmentReport(
        name, size, batches, len(numbers), next(iter(numbers), 0), max(numbers, default=0)
    ), damages


@dataclass(frozen=True, slots=True)
class _Gap:
    """An unreadable byte range, and why."""

    offset: int
    end: int
    reason: str


def _batches_and_gaps(file: File, end: int) -> Iterator[Batch | _Gap]:
    """The batches of a segment and the unreadable ranges between them, in order."""
    start = SEGMENT_HEADER
    while start < end:
        try:
            for batch in read_batches(file, start, end):
                yield batch
                start = batch.end
            return
        except FrameError as error:
            bad_from = max(error.offset, start)
            next_good = find_batch(file.read(bad_from, end - bad_from), 1)
            start = bad_from + next_good.offset if next_good is not None else end
            yield _Gap(bad_from, start, error.reason)


def records(files: Files, clock: Callable[[], int], include_all: bool) -> Iterator[Record]:
    """All live records, or every readable record including tombstones and overwritten ones. Changes
    nothing."""
    current = manifest.load(files)
    if current is None:
        raise ManifestError(f"there is no {manifest.NAME}")
    newest: dict[bytes, int] = {}
    if not include_all:
        for record in _all_records(files, current):
            newest[record.key] = max(newest.get(record.key, 0), record.number)
    now = max(current.clock, clock())
    for record in _all_records(files, current):
        if include_all or (
            newest[record.key] == record.number
            and record.kind is RecordKind.PUT
            and not expired(record.expires, now)
        ):
            yield record


def _all_records(files: Files, current: Manifest) -> Iterator[Record]:
    for number in current.segments:
        file = files.open(log_name(number))
        try:
            for piece in _batches_and_gaps(file, current.sealed.get(number, file.size())):
                if isinstance(piece, Batch):
                    yield from (placed.record for placed in piece.records)
        finally:
            file.close()


def compact(files: Files, clock: Callable[[], int]) -> tuple[int, int]:
    """Runs all worthwhile compactions; returns the store's size before and after in bytes. Raises
    StoreLockedError, CorruptionError, ManifestError, OSError."""
    before = _size(files)
    engine = Engine(files, clock)
    engine.open()
    try:
        engine.compact()
    finally:
        engine.close()
    return before, _size(files)


def _size(files: Files) -> int:
    return sum(file_size(files, name) for name in files.names() if manifest.segment_of(name) is not None)


def repair(files: Files) -> tuple[Damage, ...]:
    """Replaces each damaged segment by a new one with its readable batches, and keeps the old file as
    `damaged-NAME`. The lost records may have been the newest of any key. Raises StoreLockedError,
    ManifestError."""
    files.lock()
    try:
        damages = [d for d in check(files).damages if not d.torn]
        current = manifest.load(files)
        assert current is not None
        segments, sealed, next_segment = list(current.segments), dict(current.sealed), current.next_segment
        damaged_names: list[str] = []
        for name in dict.fromkeys(d.name for d in damages):
            number = manifest.segment_of(name)
            assert number is not None
            end = _salvage(files, number, sealed.get(number), next_segment)
            segments[segments.index(number)] = next_segment
            if sealed.pop(number, None) is not None or number != current.segments[-1]:
                sealed[next_segment] = end
            next_segment += 1
            damaged_names.append(name)
        if damaged_names:
            manifest.replace(
                files, Manifest(tuple(segments), sealed, next_segment, current.clock, current.clean)
            )
            for name in damaged_names:
                if name in files.names():
                    files.rename(name, f"damaged-{name}")
            files.sync_folder()
        return tuple(damages)
    finally:
        files.unlock()


def _salvage(files: Files, number: int, sealed: int | None, new_number: int) -> int:
    """Writes the readable batches of a segment to segment `new_number` and returns its length."""
    kept: list[bytes] = []
    first = 1
    if log_name(number) in files.names():
        old = files.open(log_name(number))
        try:
            first = _first_number(old, number)
            end = old.size() if sealed is None else min(sealed, old.size())
            kept = [
                old.read(batch.offset, batch.end - batch.offset)
                for batch in _batches_and_gaps(old, end)
                if isinstance(batch, Batch)
            ]
        finally:
            old.close()
    data = encode_segment_header(new_number, first) + b"".join(kept)
    remove_if_exists(files, hint_name(new_number))
    write_file(files, log_name(new_number), data, sync=True)
    files.sync_folder()
    return len(data)


def _first_number(file: File, number: int) -> int:
    try:
        return decode_segment_header(file.read(0, SEGMENT_HEADER), number)
    except FrameError:
        return 1


def store_clock() -> Callable[[], int]:
    """A clock that starts at the current Unix time in milliseconds and is monotonic from then on."""
    base = time.time() - time.monotonic()
    return lambda: int((base + time.monotonic()) * 1000)
