"""The storage engine, used by one thread: recovery, appends, reads, compaction. It blocks on the disk.

An acknowledged change is durable. A failed sync is never retried: it is unknown which pages reached the disk,
and a later sync may succeed without writing them (as SQLite and PostgreSQL loaded), so the store rejects
writes until it is reopened. A full disk is different: the write is undone, and a later one may succeed.
"""

from __future__ import annotations

import errno
import logging
from collections.abc import Callable, Generator, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final, NamedTuple, NoReturn, TypeAlias

import numpy as np

from notchflow.store import hints, manifest
from notchflow.store.compaction import SegmentStats, must_copy, select_segments
from notchflow.store.files import File, Files, file_size, remove_if_exists
from notchflow.store.frames import (
    BATCH_HEADER,
    BATCH_MAX,
    SEGMENT_HEADER,
    Batch,
    FrameError,
    LocatedRecord,
    Record,
    RecordKind,
    batch_length,
    check_sizes,
    decode_batch,
    decode_record,
    decode_segment_header,
    encode_fields,
    encode_segment_header,
    expired,
    find_batch,
    join_batch,
    later_expiry,
)
from notchflow.store.index import EntryColumns, Index, digest
from notchflow.store.manifest import Manifest, log_name

log = logging.getLogger(__name__)

DISK_FULL_ERRNOS: Final = (errno.ENOSPC, errno.EDQUOT)
COPY_STEP_BYTES: Final = 256 << 10  # copied per compaction step: the longest that an append waits for one
INDEX_STEP_ENTRIES: Final = 2_000  # index entries updated per compaction step


class StoreError(Exception):
    """The store cannot perform an operation."""


class DiskFullError(StoreError):
    """The disk is full: nothing was written, and a later attempt may succeed."""


class StoreFailedError(StoreError):
    """The disk failed or the store is closed: after a restart the changes may be there or not, and until then
    all writes are rejected."""


class CorruptionError(StoreError):
    """A segment is corrupt in a way that no crash can cause. Nothing was changed."""

    def __init__(self, name: str, offset: int, reason: str) -> None:
        super().__init__(
            f"{name}, offset {offset}: {reason}; 'notchflow store check' tells what is lost, "
            "'notchflow store repair' sets it aside"
        )
        self.name, self.offset, self.reason = name, offset, reason


class StoreState(Enum):
    """The state of the store."""

    OPEN = "open"
    FULL = "full"  # the disk is full: reads work, writes are attempted
    BROKEN = "broken"  # the disk failed: reads only
    CLOSED = "closed"


RecordFields: TypeAlias = tuple[int, RecordKind, bytes, bytes, int]  # number, kind, key, value, expiry


class Change(NamedTuple):
    """A change to write. Overwriting a key never makes it expire earlier than before; a delete needs no
    expiry."""

    kind: RecordKind
    key: bytes
    value: bytes = b""
    expires: int = 0


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """EngineOptions of a store. `segment_max` is the size in bytes at which a segment is sealed."""

    segment_max: int = 16 << 20

    def __post_init__(self) -> None:
        if not 4096 <= self.segment_max <= 1 << 32:
            raise ValueError(f"segment_max: 4096 to {1 << 32} bytes, not {self.segment_max}")


@dataclass(slots=True)
class Segment:
    """One segment of an open store."""

    number: int
    file: File
    first_number: int
    end: int
    tombstone_bytes: int = 0
    pinned_bytes: int = 0  # bytes copied only because the end of the active segment may still be lost


@dataclass(frozen=True, slots=True)
class RecoveryReport:
    """The result of a recovery."""

    records: int  # live
    torn_bytes: int  # bytes of a torn write, cut off
    scanned_bytes: int  # bytes of segments that were read as they had no valid hint file
    hinted_segments: int  # segments recovered from their hint files


def read_batches(file: File, start: int, end: int) -> Iterator[Batch]:
    """The batches between two offsets, one in memory at a time. Raises FrameError."""
    while start < end:
        size = batch_length(file.read(start, min(BATCH_HEADER, end - start)), start)
        if start + size > end:
            raise FrameError(start, f"a batch of {size} bytes is cut off")
        batch = decode_batch(file.read(start, size), 0, start)
        yield batch
        start = batch.end


class Engine:
    """An open store. `clock` returns milliseconds; the store's own clock never goes back, even if this one
    does or the store is reopened."""

    def __init__(self, files: Files, clock: Callable[[], int], options: EngineOptions | None = None) -> None:
        self.files, self.clock, self.options = files, clock, options or EngineOptions()
        self.index = Index()
        self.segments: dict[int, Segment] = {}  # in manifest order; the last is the active segment
        self.retired: dict[int, Segment] = {}  # already merged, still read until the index is updated
        self.corrupt_segments: set[int] = set()  # never merged
        self.next_number = 1  # of the next record
        self.next_segment = 1
        self.latest_ms = 0
        self.state = StoreState.CLOSED
        self.tombstones = hints.HintColumns()  # of the active segment
        self.deleted_digests: set[tuple[int, int]] = set()  # of keys that the active segment deletes
        self.running_compaction: Generator[None, None, None] | None = None
        self.written_bytes = self.copied_bytes = 0  # bytes written by appends and by compactions
        self.compactions = 0

    # -- time
    def now(self) -> int:
        """The store's clock: the latest time ever seen, in milliseconds."""
        self.latest_ms = max(self.latest_ms, self.clock())
        return self.latest_ms

    # -- recovery
    def open(self) -> RecoveryReport:
        """Locks the directory and recovers the store in it. Raises StoreLockedError, CorruptionError,
        ManifestError, OSError."""
        self.files.lock()
        try:
            loaded = manifest.load(self.files)
            recovered = self._recover(loaded) if loaded is not None else self._create_store()
            self.state = StoreState.OPEN
            # No longer a clean shutdown: from now on an incomplete batch at the end is a torn write.
            manifest.replace(self.files, self._current_manifest())
            self._remove_orphans()
            return recovered
        except BaseException:
            self.state = StoreState.CLOSED
            self._close_files()
            self.files.unlock()
            raise

    def _create_store(self) -> RecoveryReport:
        """Creates a new store. A crash in here may leave a segment without batches, which is removed."""
        for name in self.files.names():
            number = manifest.segment_of(name)
            if number is None:
                continue
            if number != 1 or file_size(self.files, name) > SEGMENT_HEADER:
                raise CorruptionError(name, 0, "there are segments, but no manifest")
            self.files.remove(name)
        segment = self._create_segment(1)
        self.segments[1] = segment
        self.next_segment = 2
        return RecoveryReport(0, 0, 0, 0)

    def _recover(self, loaded: Manifest) -> RecoveryReport:
        self.latest_ms, self.next_segment = loaded.clock, loaded.next_segment
        entries: list[EntryColumns] = []
        torn = scanned = hinted = 0
        for number in loaded.segments:
            name = log_name(number)
            try:
                file = self.files.open(name)
            except FileNotFoundError:
                raise CorruptionError(name, 0, "the manifest names it, but it is not there") from None
            segment = self.segments[number] = Segment(number, file, 0, 0)
            size, sealed = file.size(), loaded.sealed.get(number)
            if sealed is not None and size < sealed:
                raise CorruptionError(name, size, f"it ends here and not at {sealed}")
            try:
                segment.first_number = decode_segment_header(file.read(0, SEGMENT_HEADER), number)
            except FrameError as error:
                raise CorruptionError(name, error.offset, error.reason) from None
            hint = hints.load(self.files, number, sealed) if sealed is not None else None
            if hint is not None and sealed is not None:
                columns = hints.HintColumns.from_entries(*hint)
                segment.end = sealed
                hinted += 1
            else:
                columns = hints.HintColumns()
                torn += self._scan(segment, columns, size if sealed is None else sealed, sealed is not None)
                scanned += segment.end
            entries.append(columns.entries())
            segment.tombstone_bytes = columns.tombstone_bytes
            if number == loaded.segments[-1]:
                self._truncate_tail(segment)
                self.tombstones = columns.tombstones()
                self.deleted_digests = self.tombstones.digests()
            self.next_number = max(self.next_number, segment.first_number)
        self._load_index(entries)
        return RecoveryReport(len(self.index), torn, scanned, hinted)

    def _load_index(self, entries: list[EntryColumns]) -> None:
        combined = EntryColumns(*(np.concatenate(columns) for columns in zip(*entries, strict=True)))
        if len(combined.number):
            self.next_number = max(self.next_number, int(combined.number.max()) + 1)
        self.index.bulk_load(combined)

    def _scan(self, segment: Segment, columns: hints.HintColumns, size: int, sealed: bool) -> int:
        """Reads a segment and returns the length of the torn write at the end of the last one."""
        segment.end = SEGMENT_HEADER
        try:
            for batch in read_batches(segment.file, SEGMENT_HEADER, size):
                for placed in batch.records:
                    columns.add(segment.number, placed)
                self.latest_ms = max(self.latest_ms, batch.time)
                segment.end = batch.end
        except FrameError as error:
            rest = b"" if sealed else segment.file.read(error.offset, size - error.offset)
            if sealed or find_batch(rest, 0) is not None:
                raise CorruptionError(log_name(segment.number), error.offset, error.reason) from None
            log.warning(
                "%s: a torn write of %d bytes is cut off at offset %d",
                log_name(segment.number),
                size - error.offset,
                error.offset,
            )
        return size - segment.end

    def _truncate_tail(self, segment: Segment) -> None:
        """Truncates the active segment to its end: removes a torn write, or a write that was undone on a full
        disk and came back because its truncation was lost."""
        if segment.file.size() > segment.end:
            segment.file.truncate(segment.end)
            segment.file.sync()

    def _remove_orphans(self) -> None:
        """Removes the files of unfinished compactions."""
        for name in self.files.names():
            number = manifest.segment_of(name)
            if number is not None and number not in self.segments:
                self.files.remove(name)

    def _create_segment(self, number: int, first: int | None = None) -> Segment:
        """Creates a segment and makes its header durable."""
        file = self.files.create(log_name(number))
        try:
            head = encode_segment_header(number, self.next_number if first is None else first)
            file.append(head)
            file.sync()
            self.files.sync_folder()
        except BaseException:
            file.close()
            raise
        return Segment(number, file, self.next_number if first is None else first, len(head))

    def _current_manifest(self, clean: bool = False) -> Manifest:
        names = tuple(self.segments)
        sealed = {n: s.end for n, s in self.segments.items() if clean or n != names[-1]}
        return Manifest(names, sealed, self.next_segment, self.latest_ms, clean)

    # -- writing
    @property
    def active(self) -> Segment:
        """The segment that is written to."""
        return next(reversed(self.segments.values()))

    def append(self, changes: Sequence[Change]) -> int:
        """Makes changes durable with one sync and returns the number of the last one. Raises DiskFullError,
        StoreFailedError, or ValueError if a key or value is too long, before anything is written."""
        if self.state is StoreState.BROKEN or self.state is StoreState.CLOSED:
            raise StoreFailedError(f"the store is {self.state.value}")
        numbered = self._assign_numbers(changes)
        if not numbered:
            return self.next_number - 1
        segment, time = self.active, self.now()
        data, locations = _encode([record for record, _, _ in numbered], time, segment.end)
        self._write(segment, data)
        self.state = StoreState.OPEN
        self.next_number += len(numbered)
        segment.end += len(data)
        self.written_bytes += len(data)
        self._update_index(segment, numbered, locations)
        if segment.end >= self.options.segment_max:
            self._rotate_segment()
        return self.next_number - 1

    def _assign_numbers(self, changes: Sequence[Change]) -> list[tuple[RecordFields, int, int]]:
        """The records for changes, with their key digests. A record never expires before the one that it
        hides, which would otherwise reappear once the newer one is removed from disk. A delete of a key that
        does not exist is dropped."""
        expiries: dict[tuple[int, int], int | None] = {}  # of keys changed so far; None: deleted
        records: list[tuple[RecordFields, int, int]] = []
        number = self.next_number
        for kind, key, value, expires in changes:
            check_sizes(key, value)
            key_digest = low, high = digest(key)
            old = expiries[key_digest] if key_digest in expiries else self.index.expiry(low, high)
            if kind is RecordKind.DELETE:
                if old is None:
                    continue
                expires, expiries[key_digest] = old, None
            else:
                if old is not None:
                    expires = later_expiry(expires, old)
                expiries[key_digest] = expires
            records.append(((number, kind, key, value, expires), low, high))
            number += 1
        return records

    def _write(self, segment: Segment, data: bytes) -> None:
        try:
            segment.file.append(data)
        except OSError as error:
            self._undo_write(segment, error)
        try:
            segment.file.sync()
        except OSError as error:
            self._fail(error)

    def _undo_write(self, segment: Segment, error: OSError) -> NoReturn:
        """Undoes a failed write, none of which was synced."""
        try:
            segment.file.truncate(segment.end)
        except OSError as truncate_error:
            self._fail(truncate_error)
        if error.errno in DISK_FULL_ERRNOS:
            if self.state is not StoreState.FULL:
                log.error("the store's disk is full: %s", error)
            self.state = StoreState.FULL
            raise DiskFullError(f"the store's disk is full: {error}") from error
        self._fail(error)

    def _fail(self, error: OSError) -> NoReturn:
        self.state = StoreState.BROKEN
        log.critical("the store's disk failed, writes are rejected until a restart: %s", error)
        raise StoreFailedError(f"the store's disk failed: {error}") from error

    def _update_index(
        self,
        segment: Segment,
        records: Sequence[tuple[RecordFields, int, int]],
        locations: Sequence[tuple[int, int]],
    ) -> None:
        put, name = self.index.put_by_digest, segment.number
        for ((number, kind, _, _, expires), low, high), (offset, length) in zip(
            records, locations, strict=True
        ):
            if kind is RecordKind.PUT:
                put(low, high, number, name, offset, length, expires)
            else:
                self.index.remove_by_digest(low, high, number)
                self.deleted_digests.add((low, high))
                self.tombstones.add_tombstone(low, high, number, name, offset, length, expires)
                segment.tombstone_bytes += length

    def _rotate_segment(self) -> None:
        """Seals the active segment and starts the next. If the disk is full, the old one stays active."""
        old, number = self.active, self.next_segment
        self.next_segment = number + 1  # a number whose files a failure may have left is not used again
        try:
            self.segments[number] = self._create_segment(number)
            manifest.draft(self.files, self._current_manifest())
        except OSError as error:
            created = self.segments.pop(number, None)
            if created is not None:
                created.file.close()
            if error.errno not in DISK_FULL_ERRNOS:
                self._fail(error)
            self.state = StoreState.FULL
            log.error("the store's disk is full, cannot start a new segment: %s", error)
            return
        self._publish_manifest()
        for segment in self.segments.values():
            segment.pinned_bytes = 0
        self._save_hint(old)
        self.tombstones, self.deleted_digests = hints.HintColumns(), set()

    def _save_hint(self, segment: Segment) -> None:
        """Saves the hint file of the segment that was active until now."""
        entries = self.tombstones.appended_to(self.index.entries_of(segment.number))
        hints.save(self.files, segment.number, segment.end, entries)

    def _publish_manifest(self) -> None:
        """Publishes the draft manifest. After an error either manifest may be on disk, so the store fails."""
        try:
            manifest.publish(self.files)
        except OSError as error:
            self._fail(error)

    # -- reading
    def read(self, key: bytes) -> Record | None:
        """The newest record of a key, if it has not expired. Raises CorruptionError, OSError."""
        entry = self.index.get(key)
        if entry is None or expired(entry.expires, self.now()):
            return None
        segment = self.segments.get(entry.segment) or self.retired[entry.segment]
        try:
            record = decode_record(segment.file.read(entry.offset, entry.length), 0, entry.offset).record
        except FrameError as error:
            raise CorruptionError(log_name(entry.segment), error.offset, error.reason) from None
        return record if record.key == key else None

    def records(self) -> Iterator[Record]:
        """All live records, in no particular order. Raises CorruptionError, OSError."""
        for segment in list(self.segments.values()):
            try:
                for batch in read_batches(segment.file, SEGMENT_HEADER, segment.end):
                    for placed in batch.records:
                        entry = self.index.get(placed.record.key)
                        if (
                            entry is not None
                            and entry.number == placed.record.number
                            and not expired(entry.expires, self.now())
                        ):
                            yield placed.record
            except FrameError as error:
                raise CorruptionError(log_name(segment.number), error.offset, error.reason) from None

    # -- maintenance
    def run_maintenance(self) -> bool:
        """One step of maintenance: removes expired entries of one index shard, and continues or starts a
        compaction. Returns whether more work is due at once. Raises StoreFailedError, CorruptionError."""
        if self.state is StoreState.BROKEN or self.state is StoreState.CLOSED:
            return False
        if self.running_compaction is None:
            self.index.sweep(self.now())
            chosen = select_segments(self._sealed_stats(), self.options.segment_max)
            if not chosen:
                return False
            self.running_compaction = self._merge_segments(chosen)
        try:
            next(self.running_compaction)
            return True
        except StopIteration:
            self.running_compaction = None
            return True
        except OSError as error:
            self.running_compaction = None
            if error.errno in DISK_FULL_ERRNOS:
                log.warning("not enough disk space to compact: %s", error)
                return False
            self._fail(error)

    def compact(self) -> None:
        """Runs all worthwhile compactions to the end."""
        for _ in range(len(self.index.shards)):
            self.index.sweep(self.now())
        while self.run_maintenance():
            pass

    def _sealed_stats(self) -> list[SegmentStats]:
        sealed = [s for s in list(self.segments.values())[:-1] if s.number not in self.corrupt_segments]
        return [
            SegmentStats(
                s.number,
                s.end - SEGMENT_HEADER,
                self.index.live_bytes.get(s.number, 0),
                s.tombstone_bytes + s.pinned_bytes,
                s.first_number,
            )
            for s in sealed
        ]

    def _merge_segments(self, chosen: Sequence[int]) -> Generator[None, None, None]:
        """Merges segments into a new one, which takes effect when the manifest is published."""
        inputs = [self.segments[n] for n in chosen]
        number, self.next_segment = self.next_segment, self.next_segment + 1
        output = self._create_segment(number, min(s.first_number for s in inputs))
        columns = hints.HintColumns()
        try:
            yield from self._copy_records(inputs, output, columns)
            if output.end > SEGMENT_HEADER:
                output.file.sync()
                yield
                hints.save(self.files, number, output.end, columns)
            self._install_merged(inputs, output)
        except BaseException as error:
            if number not in self.segments:
                output.file.close()
                if not isinstance(error, StoreFailedError | GeneratorExit):  # else removed at next start
                    self._remove_segment_files(number)
            if isinstance(error, FrameError):
                return
            raise
        output.tombstone_bytes = columns.tombstone_bytes
        yield from self._update_locations(columns)
        output.pinned_bytes = (
            output.end - SEGMENT_HEADER - self.index.live_bytes.get(number, 0) - output.tombstone_bytes
        )
        for segment in [*inputs, *([] if number in self.segments else [output])]:
            self.retired.pop(segment.number, None)
            self.index.live_bytes.pop(segment.number, None)
            segment.file.close()
            self._remove_segment_files(segment.number)
        self.compactions += 1

    def _remove_segment_files(self, number: int) -> None:
        for name in (log_name(number), manifest.hint_name(number)):
            remove_if_exists(self.files, name)

    def _copy_records(
        self, inputs: Sequence[Segment], output: Segment, columns: hints.HintColumns
    ) -> Iterator[None]:
        copies: list[Record] = []
        size = 0
        for segment in inputs:
            try:
                for batch in read_batches(segment.file, SEGMENT_HEADER, segment.end):
                    now, oldest_other, active = (
                        self.now(),
                        self._oldest_other_number(inputs),
                        self.active.number,
                    )
                    for placed in batch.records:
                        entry = self.index.get(placed.record.key)
                        newest = entry.number if entry is not None else None
                        newest_may_be_lost = (
                            entry.segment == active
                            if entry is not None
                            else digest(placed.record.key) in self.deleted_digests
                        )
                        if must_copy(placed.record, newest, newest_may_be_lost, now, oldest_other):
                            copies.append(placed.record)
                            size += placed.length
                    if size >= COPY_STEP_BYTES:
                        self._append_copies(copies, output, columns)
                        copies, size = [], 0
                        yield
            except FrameError as error:
                self.corrupt_segments.add(segment.number)
                log.critical(
                    "%s, offset %d: %s; the segment is not compacted, its other records remain readable",
                    log_name(segment.number),
                    error.offset,
                    error.reason,
                )
                raise
        if copies:
            self._append_copies(copies, output, columns)

    def _oldest_other_number(self, inputs: Sequence[Segment]) -> int | None:
        merged = {s.number for s in inputs}
        return min((s.first_number for n, s in self.segments.items() if n not in merged), default=None)

    def _append_copies(self, records: Sequence[Record], output: Segment, columns: hints.HintColumns) -> None:
        fields = [(r.number, r.kind, r.key, r.value, r.expires) for r in records]
        data, locations = _encode(fields, self.latest_ms, output.end)
        output.file.append(data)
        for record, (offset, length) in zip(records, locations, strict=True):
            columns.add(output.number, LocatedRecord(record, offset, length))
        output.end += len(data)
        self.copied_bytes += len(data)

    def _install_merged(self, inputs: Sequence[Segment], output: Segment) -> None:
        """Puts the new segment in the place of the first merged one and publishes the manifest. An empty new
        segment is left out."""
        merged = {s.number for s in inputs}
        before, after = self.segments, {}
        for name, segment in before.items():
            if name == inputs[0].number and output.end > SEGMENT_HEADER:
                after[output.number] = output
            if name not in merged:
                after[name] = segment
        self.segments = after
        try:
            manifest.draft(self.files, self._current_manifest())
        except OSError:
            self.segments = before
            raise
        self.retired = {s.number: s for s in inputs}
        self._publish_manifest()

    def _update_locations(self, columns: hints.HintColumns) -> Iterator[None]:
        for i in range(0, len(columns.arrays[0]), INDEX_STEP_ENTRIES):
            self.index.update_locations(
                EntryColumns(*(column[i : i + INDEX_STEP_ENTRIES] for column in columns.entries()))
            )
            yield

    # -- shutdown
    def close(self) -> None:
        """Shuts down cleanly: the next start treats an incomplete batch as corruption, not as a torn
        write."""
        if self.state is StoreState.CLOSED:
            return
        if self.running_compaction is not None:
            self.running_compaction.close()
            self.running_compaction = None
        try:
            if self.state in (StoreState.OPEN, StoreState.FULL):
                self.now()
                self._save_hint(self.active)
                manifest.replace(self.files, self._current_manifest(clean=True))
        finally:
            self.state = StoreState.CLOSED
            self._close_files()
            self.files.unlock()

    def _close_files(self) -> None:
        for segment in [*self.segments.values(), *self.retired.values()]:
            segment.file.close()
        self.segments, self.retired = {}, {}


def _encode(records: Sequence[RecordFields], time: int, at: int) -> tuple[bytes, list[tuple[int, int]]]:
    """Encodes records as batches of at most BATCH_MAX bytes. Returns the bytes, and the offset and length of
    each record when they are written at offset `at`."""
    batches: list[bytes] = []
    locations: list[tuple[int, int]] = []
    pieces: list[bytes] = []
    size = 0
    for record in records:
        piece = encode_fields(*record)
        if size + len(piece) > BATCH_MAX:
            batches.append(join_batch(pieces, records[len(locations) - len(pieces)][0], time))
            at += len(batches[-1])
            pieces, size = [], 0
        locations.append((at + BATCH_HEADER + size, len(piece)))
        pieces.append(piece)
        size += len(piece)
    batches.append(join_batch(pieces, records[len(locations) - len(pieces)][0], time))
    return b"".join(batches), locations
