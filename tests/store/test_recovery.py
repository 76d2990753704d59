"""Recovery after truncation, power cuts, disk errors and flipped bits."""

from __future__ import annotations

import errno
import os
import random
from collections import Counter

import pytest

from notchflow.store import manifest
from notchflow.store.engine import (
    Change,
    CorruptionError,
    DiskFullError,
    Engine,
    EngineOptions,
    StoreFailedError,
    StoreState,
)
from notchflow.store.files import StoreLockedError
from notchflow.store.frames import SEGMENT_HEADER, RecordKind
from standins.faulty_files import FaultyFiles, PowerCut
from tests.store.model import SMALL, History, apply_changes, contents, live_records, open_engine

LONG = bool(os.environ.get("NOTCHFLOW_LONG"))
SEEDS = 3000 if LONG else 250


def build_store(batches: int) -> tuple[FaultyFiles, list[list[Change]]]:
    """A store of several segments that was compacted and not closed, and the batches written to it."""
    files, history = FaultyFiles(), History(5)
    engine = Engine(files, lambda: history.now, SMALL)
    engine.open()
    batches_written = []
    for _ in range(batches):
        batches_written.append(history.changes())
        engine.append(batches_written[-1])
        engine.run_maintenance()
    assert engine.compactions > 0 and len(engine.segments) > 1
    return files, batches_written


def state_after(batches_written: list[list[Change]]) -> dict[bytes, bytes]:
    model: dict[bytes, tuple[bytes, int]] = {}
    for changes in batches_written:
        model = apply_changes(model, changes, 1000)
    return live_records(model, 1000)


def test_the_last_segment_truncated_at_any_byte_recovers_a_prefix_of_whole_batches() -> None:
    """The recovered state is the one after some number of whole batches, which never shrinks as more bytes
    are kept; and changes written after recovery are read back."""
    files, batches_written = build_store(160)
    engine = open_engine(files.copy())
    name = manifest.log_name(engine.active.number)
    size = engine.active.end
    engine.close()
    states = [state_after(batches_written[:n]) for n in range(len(batches_written) + 1)]
    reached, seen = 0, set()
    for cut in range(SEGMENT_HEADER, size + 1):
        copy = files.copy()
        del copy.files[name].visible[cut:]
        engine = open_engine(copy)
        found = contents(engine)
        while reached < len(states) and states[reached] != found:
            reached += 1
        assert reached < len(states), f"cut at {cut}: not a prefix of the batches written"
        seen.add(reached)
        if cut % 11:
            continue
        engine.append([Change(RecordKind.PUT, b"new", b"%d" % cut)])
        engine.close()
        again = contents(open_engine(copy))
        assert again.pop(b"new") == b"%d" % cut and again == found
    assert reached == len(batches_written) and len(seen) > 4, "the last segment has several batches"


def test_a_sealed_segment_truncated_at_any_byte_is_corrupt_and_nothing_is_changed() -> None:
    files, _ = build_store(120)
    engine = open_engine(files.copy())
    sealed = next(iter(engine.segments.values()))
    engine.close()
    for cut in range(0, sealed.end, 7):
        copy = files.copy()
        del copy.files[manifest.log_name(sealed.number)].visible[cut:]
        before = {n: bytes(i.visible) for n, i in copy.files.items()}
        with pytest.raises(CorruptionError) as caught:
            open_engine(copy)
        assert caught.value.name == manifest.log_name(sealed.number) and caught.value.offset <= cut
        assert {n: bytes(i.visible) for n, i in copy.files.items()} == before
        assert not copy.locked, "the lock is released"


def test_a_flipped_bit_in_a_sealed_segment_is_reported_with_its_offset() -> None:
    """Without hint files recovery reads the segment and reports the corruption; the batches after it are
    neither dropped nor used. With hint files the corruption is detected when the record is read."""
    files, _ = build_store(120)
    engine = open_engine(files.copy())
    number, end = next((n, s.end) for n, s in engine.segments.items())
    engine.close()
    for offset in range(SEGMENT_HEADER, end, 97):
        copy = files.copy()
        for name in [n for n in copy.files if n.endswith(".hint")]:
            del copy.files[name]
        copy.files[manifest.log_name(number)].visible[offset] ^= 0x10
        with pytest.raises(CorruptionError) as caught:
            open_engine(copy)
        assert caught.value.offset <= offset
    copy = files.copy()
    engine = open_engine(copy)
    key, entry = next((r.key, e) for r in engine.records() if (e := engine.index.get(r.key)) is not None)
    copy.files[manifest.log_name(entry.segment)].visible[entry.offset + 9] ^= 1
    with pytest.raises(CorruptionError, match=manifest.log_name(entry.segment)):
        engine.read(key)


def test_a_bad_batch_before_a_good_one_is_corruption_and_not_a_torn_write() -> None:
    files = FaultyFiles()
    engine = open_engine(files)
    ends = []
    for n in range(3):
        engine.append([Change(RecordKind.PUT, b"k%d" % n, b"value")])
        ends.append(engine.active.end)
    for offset in range(SEGMENT_HEADER, ends[1]):
        copy = files.copy()
        copy.files[manifest.log_name(1)].visible[offset] ^= 0x80
        with pytest.raises(CorruptionError) as caught:
            open_engine(copy)
        assert caught.value.offset in (SEGMENT_HEADER, ends[0])
    copy = files.copy()
    copy.files[manifest.log_name(1)].visible[ends[1] + 3] ^= 0x80  # the last batch could be a torn write
    assert set(contents(open_engine(copy))) == {b"k0", b"k1"}


def test_after_a_clean_shutdown_a_bad_last_batch_is_corruption() -> None:
    files = FaultyFiles()
    engine = open_engine(files)
    engine.append([Change(RecordKind.PUT, b"a", b"b")])
    end = engine.active.end
    engine.close()
    files.files[manifest.log_name(1)].visible[end - 1] ^= 1
    for name in [n for n in files.files if n.endswith(".hint")]:
        del files.files[name]
    with pytest.raises(CorruptionError):
        open_engine(files)


def count_operations(run: int) -> tuple[int, Counter[str]]:
    """The number of file operations of one workload, in total and by kind."""
    files, history = FaultyFiles(), History(run)
    history.run(files, 70)
    return files.operations, Counter(files.kinds)


@pytest.mark.parametrize("run", [1, 2])
def test_a_power_cut_at_any_file_operation_loses_nothing_acknowledged(run: int) -> None:
    """The operations include compactions, segment rotations and restarts."""
    operations, kinds = count_operations(run)
    assert kinds["rename"] > 5 and kinds["remove"] > 3 and kinds["truncate"] >= 0
    for cut in range(1, operations + 1):
        for seed in range(2 if LONG else 1):
            files, history = FaultyFiles(cut_at=cut), History(run)
            with pytest.raises(PowerCut):
                history.run(files, 70)
            history.check(files.after_cut(1000 * seed + cut))


@pytest.mark.parametrize("run", [1, 2])
@pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC])
def test_an_error_at_any_file_operation_loses_nothing_acknowledged(run: int, error: int) -> None:
    """Checked by a new process on the same files, or after a power cut."""
    operations, _ = count_operations(run)
    for at in range(1, operations + 1, 2):
        files, history = FaultyFiles(errors={at: error}), History(run)
        history.run(files, 70)
        history.check(files.after_cut(at) if at % 4 == 1 else files.copy())


@pytest.mark.parametrize("block", range(5))
def test_random_faults_and_restarts_agree_with_the_model(block: int) -> None:
    for seed in range(block * SEEDS // 5, (block + 1) * SEEDS // 5):
        rng, history = random.Random(seed), History(seed)
        files = FaultyFiles()
        for life in range(rng.randrange(2, 6)):
            files.cut_at = files.operations + rng.randrange(1, 120) if rng.random() < 0.7 else None
            files.errors = {files.operations + rng.randrange(1, 150): rng.choice([errno.EIO, errno.ENOSPC])}
            files.capacity = rng.choice([None, None, 30_000])
            try:
                history.run(files, 60)
            except PowerCut:
                pass
            files = files.after_cut(seed * 10 + life)
            history.check(files)


def test_writes_are_rejected_after_a_failed_sync() -> None:
    """After a failed sync the kernel marks the pages clean: a second sync succeeds without writing them."""
    files = FaultyFiles()
    engine = open_engine(files)
    engine.append([Change(RecordKind.PUT, b"a", b"1")])
    files.errors = {files.operations + 2: errno.EIO}  # the write, then the sync
    with pytest.raises(StoreFailedError):
        engine.append([Change(RecordKind.PUT, b"b", b"2")])
    assert engine.state is StoreState.BROKEN
    with pytest.raises(StoreFailedError):
        engine.append([Change(RecordKind.PUT, b"c", b"3")])
    record = engine.read(b"a")
    assert record is not None and record.value == b"1", "acknowledged records stay readable"
    assert engine.read(b"b") is None
    assert set(contents(open_engine(files.after_cut(1)))) <= {b"a", b"b"}


def test_a_full_disk_rejects_writes_until_there_is_space() -> None:
    files = FaultyFiles()
    engine = open_engine(files)
    engine.append([Change(RecordKind.PUT, b"a", b"1")])
    files.capacity = sum(len(i.visible) for i in files.files.values()) + 30
    for _ in range(3):
        with pytest.raises(DiskFullError):
            engine.append([Change(RecordKind.PUT, b"b", b"2" * 500)])
    assert engine.state is StoreState.FULL and engine.read(b"b") is None
    files.capacity = None
    engine.append([Change(RecordKind.PUT, b"c", b"3")])
    assert engine.append([]) == 2 and str(engine.state) == str(StoreState.OPEN)
    assert contents(engine) == {b"a": b"1", b"c": b"3"} == contents(open_engine(files.after_cut(3)))


def test_an_undone_write_that_reappears_is_truncated_at_recovery() -> None:
    """A write on a full disk reached the disk but its truncation did not, before a clean shutdown."""
    files = FaultyFiles()
    engine = open_engine(files)
    engine.append([Change(RecordKind.PUT, b"a", b"1")])
    end = engine.active.end
    files.capacity = sum(len(i.visible) for i in files.files.values()) + 20
    with pytest.raises(DiskFullError):
        engine.append([Change(RecordKind.PUT, b"b", b"2" * 500)])
    files.capacity = None
    engine.close()
    files.files[manifest.log_name(1)].visible += b"left over"
    for hint in (True, False):
        copy = files.copy()
        if not hint:
            del copy.files[manifest.hint_name(1)]
        engine = open_engine(copy)
        assert engine.active.end == end
        engine.append([Change(RecordKind.PUT, b"c", b"3")])
        assert contents(open_engine(copy.after_cut(1))) == {b"a": b"1", b"c": b"3"}


def test_a_full_disk_at_a_segment_rotation_keeps_the_old_segment_active() -> None:
    files = FaultyFiles()
    engine = open_engine(files)
    value = b"v" * 900
    while engine.active.end < SMALL.segment_max - 1000:
        engine.append([Change(RecordKind.PUT, b"k%d" % engine.next_number, value)])
    files.capacity = sum(len(i.visible) for i in files.files.values()) + 1000
    engine.append([Change(RecordKind.PUT, b"last", value)])
    assert engine.state is StoreState.FULL and len(engine.segments) == 1, "acknowledged, but no new segment"
    files.capacity = None
    engine.append([Change(RecordKind.PUT, b"more", value)])
    assert len(engine.segments) == 2
    assert {b"last", b"more"} <= set(contents(open_engine(files.after_cut(1))))


def test_the_store_has_one_writer() -> None:
    files = FaultyFiles()
    engine = open_engine(files)
    with pytest.raises(StoreLockedError):
        open_engine(files)
    engine.close()
    open_engine(files)


def test_a_clock_that_steps_back_neither_revives_nor_expires_records() -> None:
    files, now = FaultyFiles(), 10_000
    engine = Engine(files, lambda: now, SMALL)
    engine.open()
    engine.append(
        [Change(RecordKind.PUT, b"short", b"", 10_500), Change(RecordKind.PUT, b"long", b"", 90_000)]
    )
    now = 11_000
    assert engine.read(b"short") is None
    now = 2_000
    assert engine.read(b"short") is None and engine.read(b"long") is not None and engine.now() == 11_000
    engine.append([Change(RecordKind.PUT, b"other", b"", 12_000)])
    again = Engine(files.after_cut(0), lambda: 500, SMALL)
    again.open()
    assert again.now() == 11_000, "the time is recovered from the batch"
    assert again.read(b"short") is None and again.read(b"long") is not None


def test_segments_without_a_valid_manifest_are_not_taken_for_a_new_store() -> None:
    files = FaultyFiles()
    engine = open_engine(files)
    engine.append([Change(RecordKind.PUT, b"a", b"1")])
    copy = files.copy()
    del copy.files[manifest.NAME]
    with pytest.raises(CorruptionError, match="no manifest"):
        open_engine(copy)
    copy = files.copy()
    copy.files[manifest.NAME].visible[5] ^= 1
    with pytest.raises(manifest.ManifestError, match="checksum"):
        open_engine(copy)
    copy = files.copy()
    del copy.files[manifest.log_name(1)]
    with pytest.raises(CorruptionError, match="not there"):
        open_engine(copy)


def test_disk_usage_stays_close_to_the_live_data() -> None:
    """Ten thousand changes of five hundred keys: 2 MB without compaction, of which 100 kB are live."""
    files, rng, options = FaultyFiles(), random.Random(1), EngineOptions(segment_max=16384)
    engine = Engine(files, lambda: 1000, options)
    engine.open()
    for n in range(10_000):
        engine.append([Change(RecordKind.PUT, b"key-%d" % rng.randrange(500), b"%d" % n + b"x" * 150)])
        engine.run_maintenance()
    engine.compact()
    size = sum(len(i.visible) for n, i in files.files.items() if n.endswith(".log"))
    assert len(contents(engine)) == 500
    assert size < 2 * 500 * 230 + 2 * options.segment_max
    assert engine.copied_bytes < 1.5 * engine.written_bytes
    assert len(contents(open_engine(files.after_cut(1)))) == 500


def test_expired_records_are_removed_from_memory_and_disk() -> None:
    files, now = FaultyFiles(), 1000
    engine = Engine(files, lambda: now, SMALL)
    engine.open()
    for n in range(500):
        engine.append([Change(RecordKind.PUT, b"key-%d" % n, b"x" * 100, 2000)])
    assert len(engine.index) == 500
    now = 3000
    engine.compact()
    assert len(engine.index) == 0
    assert sum(len(i.visible) for n, i in files.files.items() if n.endswith(".log")) < 2 * SMALL.segment_max
