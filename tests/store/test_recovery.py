"""Recovery: from every cut, every crash and every flipped bit."""

from __future__ import annotations

import errno
import os
import random
from collections import Counter

import pytest

from notchflow.store import manifest
from notchflow.store.engine import Broken, Change, Damaged, Engine, Full, Options, State
from notchflow.store.files import Locked
from notchflow.store.frames import SEGMENT_HEADER, Kind
from standins.faulty_files import FaultyFiles, PowerCut
from tests.store.world import SMALL, History, apply, holds, live, opened

LONG = bool(os.environ.get("NOTCHFLOW_LONG"))
SEEDS = 3000 if LONG else 250


def written(batches: int) -> tuple[FaultyFiles, list[list[Change]]]:
    """A store of several segments that was compacted and not closed, and its batches."""
    files, history = FaultyFiles(), History(5)
    engine = Engine(files, lambda: history.now, SMALL)
    engine.open()
    told = []
    for _ in range(batches):
        told.append(history.changes())
        engine.append(told[-1])
        engine.step()
    assert engine.compactions > 0 and len(engine.segments) > 1
    return files, told


def state_after(told: list[list[Change]]) -> dict[bytes, bytes]:
    model: dict[bytes, tuple[bytes, int]] = {}
    for changes in told:
        model = apply(model, changes, 1000)
    return live(model, 1000)


def test_the_last_segment_cut_at_every_byte_recovers_a_clean_prefix() -> None:
    """At each offset the state is the one after some number of whole batches, never fewer for a later cut;
    and what is written on from there is found again."""
    files, told = written(160)
    engine = opened(files.copy())
    name = manifest.log_name(engine.active.number)
    size = engine.active.end
    engine.close()
    states = [state_after(told[:n]) for n in range(len(told) + 1)]
    reached, seen = 0, set()
    for cut in range(SEGMENT_HEADER, size + 1):
        copy = files.copy()
        del copy.files[name].seen[cut:]
        engine = opened(copy)
        found = holds(engine)
        while reached < len(states) and states[reached] != found:
            reached += 1
        assert reached < len(states), f"cut at {cut}: no prefix of what was written"
        seen.add(reached)
        if cut % 11:
            continue
        engine.append([Change(Kind.PUT, b"new", b"%d" % cut)])
        engine.close()
        again = holds(opened(copy))
        assert again.pop(b"new") == b"%d" % cut and again == found
    assert reached == len(told) and len(seen) > 4, "the last segment has several batches"


def test_a_sealed_segment_cut_at_any_byte_is_damage_and_nothing_is_changed() -> None:
    files, _ = written(120)
    engine = opened(files.copy())
    sealed = next(iter(engine.segments.values()))
    engine.close()
    for cut in range(0, sealed.end, 7):
        copy = files.copy()
        del copy.files[manifest.log_name(sealed.number)].seen[cut:]
        before = {n: bytes(i.seen) for n, i in copy.files.items()}
        with pytest.raises(Damaged) as caught:
            opened(copy)
        assert caught.value.name == manifest.log_name(sealed.number) and caught.value.offset <= cut
        assert {n: bytes(i.seen) for n, i in copy.files.items()} == before
        assert not copy.locked, "the folder is free again"


def test_a_flipped_bit_in_an_old_segment_is_told_with_its_place() -> None:
    """With hints the segment is not read at a start: the record itself tells when it is read. Without, the
    start does, and what lies behind the place is neither dropped nor used."""
    files, _ = written(120)
    engine = opened(files.copy())
    number, end = next((n, s.end) for n, s in engine.segments.items())
    engine.close()
    for offset in range(SEGMENT_HEADER, end, 97):
        copy = files.copy()
        for name in [n for n in copy.files if n.endswith(".hint")]:
            del copy.files[name]
        copy.files[manifest.log_name(number)].seen[offset] ^= 0x10
        with pytest.raises(Damaged) as caught:
            opened(copy)
        assert caught.value.offset <= offset
    copy = files.copy()
    engine = opened(copy)
    key, entry = next((r.key, e) for r in engine.records() if (e := engine.index.get(r.key)) is not None)
    copy.files[manifest.log_name(entry.segment)].seen[entry.offset + 9] ^= 1
    with pytest.raises(Damaged, match=manifest.log_name(entry.segment)):
        engine.read(key)


def test_a_bad_batch_with_a_good_one_behind_it_is_no_torn_write() -> None:
    files = FaultyFiles()
    engine = opened(files)
    ends = []
    for n in range(3):
        engine.append([Change(Kind.PUT, b"k%d" % n, b"value")])
        ends.append(engine.active.end)
    for offset in range(SEGMENT_HEADER, ends[1]):
        copy = files.copy()
        copy.files[manifest.log_name(1)].seen[offset] ^= 0x80
        with pytest.raises(Damaged) as caught:
            opened(copy)
        assert caught.value.offset in (SEGMENT_HEADER, ends[0])
    copy = files.copy()
    copy.files[manifest.log_name(1)].seen[ends[1] + 3] ^= 0x80  # of the last batch it cannot be told
    assert set(holds(opened(copy))) == {b"k0", b"k1"}


def test_after_an_orderly_end_even_the_last_batch_is_known_to_be_damaged() -> None:
    files = FaultyFiles()
    engine = opened(files)
    engine.append([Change(Kind.PUT, b"a", b"b")])
    end = engine.active.end
    engine.close()
    files.files[manifest.log_name(1)].seen[end - 1] ^= 1
    for name in [n for n in files.files if n.endswith(".hint")]:
        del files.files[name]
    with pytest.raises(Damaged):
        opened(files)


def crashes(run: int) -> tuple[int, Counter[str]]:
    """How many operations one history makes, and of which kinds."""
    files, history = FaultyFiles(), History(run)
    history.run(files, 70)
    return files.operations, Counter(files.kinds)


@pytest.mark.parametrize("run", [1, 2])
def test_a_power_cut_at_every_file_operation_loses_nothing_acknowledged(run: int) -> None:
    """Compactions, new segments and restarts are among the operations."""
    operations, kinds = crashes(run)
    assert kinds["rename"] > 5 and kinds["remove"] > 3 and kinds["truncate"] >= 0
    for cut in range(1, operations + 1):
        for seed in range(2 if LONG else 1):
            files, history = FaultyFiles(cut_at=cut), History(run)
            with pytest.raises(PowerCut):
                history.run(files, 70)
            history.check(files.after_cut(1000 * seed + cut))


@pytest.mark.parametrize("run", [1, 2])
@pytest.mark.parametrize("error", [errno.EIO, errno.ENOSPC])
def test_an_error_in_every_file_operation_loses_nothing_acknowledged(run: int, error: int) -> None:
    """Both seen at once by a new process, and after a power cut."""
    operations, _ = crashes(run)
    for at in range(1, operations + 1, 2):
        files, history = FaultyFiles(errors={at: error}), History(run)
        history.run(files, 70)
        history.check(files.after_cut(at) if at % 4 == 1 else files.copy())


@pytest.mark.parametrize("block", range(5))
def test_seeded_histories_of_faults_and_restarts_agree_with_a_model(block: int) -> None:
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


def test_a_failed_sync_is_never_taken_for_one_that_worked() -> None:
    """After it the kernel has the pages marked clean: a second sync would succeed and prove nothing."""
    files = FaultyFiles()
    engine = opened(files)
    engine.append([Change(Kind.PUT, b"a", b"1")])
    files.errors = {files.operations + 2: errno.EIO}  # the write, then the sync
    with pytest.raises(Broken):
        engine.append([Change(Kind.PUT, b"b", b"2")])
    assert engine.state is State.BROKEN
    with pytest.raises(Broken):
        engine.append([Change(Kind.PUT, b"c", b"3")])
    record = engine.read(b"a")
    assert record is not None and record.value == b"1", "what was acknowledged is read on"
    assert engine.read(b"b") is None
    assert set(holds(opened(files.after_cut(1)))) <= {b"a", b"b"}


def test_a_full_disk_takes_nothing_and_says_so_until_there_is_room() -> None:
    files = FaultyFiles()
    engine = opened(files)
    engine.append([Change(Kind.PUT, b"a", b"1")])
    files.capacity = sum(len(i.seen) for i in files.files.values()) + 30
    for _ in range(3):
        with pytest.raises(Full):
            engine.append([Change(Kind.PUT, b"b", b"2" * 500)])
    assert engine.state is State.FULL and engine.read(b"b") is None
    files.capacity = None
    engine.append([Change(Kind.PUT, b"c", b"3")])
    assert engine.append([]) == 2 and str(engine.state) == str(State.OPEN)
    assert holds(engine) == {b"a": b"1", b"c": b"3"} == holds(opened(files.after_cut(3)))


def test_what_was_taken_back_on_a_full_disk_and_comes_again_is_cut_off() -> None:
    """The write reached the disk, its truncation did not, and the process ended in order between."""
    files = FaultyFiles()
    engine = opened(files)
    engine.append([Change(Kind.PUT, b"a", b"1")])
    end = engine.active.end
    files.capacity = sum(len(i.seen) for i in files.files.values()) + 20
    with pytest.raises(Full):
        engine.append([Change(Kind.PUT, b"b", b"2" * 500)])
    files.capacity = None
    engine.close()
    files.files[manifest.log_name(1)].seen += b"left over"
    for hint in (True, False):
        copy = files.copy()
        if not hint:
            del copy.files[manifest.hint_name(1)]
        engine = opened(copy)
        assert engine.active.end == end
        engine.append([Change(Kind.PUT, b"c", b"3")])
        assert holds(opened(copy.after_cut(1))) == {b"a": b"1", b"c": b"3"}


def test_a_full_disk_at_the_end_of_a_segment_goes_on_in_the_old_one() -> None:
    files = FaultyFiles()
    engine = opened(files)
    value = b"v" * 900
    while engine.active.end < SMALL.segment_max - 1000:
        engine.append([Change(Kind.PUT, b"k%d" % engine.number, value)])
    files.capacity = sum(len(i.seen) for i in files.files.values()) + 1000
    engine.append([Change(Kind.PUT, b"last", value)])
    assert engine.state is State.FULL and len(engine.segments) == 1, "acknowledged, though none can follow"
    files.capacity = None
    engine.append([Change(Kind.PUT, b"more", value)])
    assert len(engine.segments) == 2
    assert {b"last", b"more"} <= set(holds(opened(files.after_cut(1))))


def test_the_store_has_one_writer() -> None:
    files = FaultyFiles()
    engine = opened(files)
    with pytest.raises(Locked):
        opened(files)
    engine.close()
    opened(files)


def test_a_clock_that_steps_back_brings_nothing_back_and_forgets_nothing_early() -> None:
    files, now = FaultyFiles(), 10_000
    engine = Engine(files, lambda: now, SMALL)
    engine.open()
    engine.append([Change(Kind.PUT, b"short", b"", 10_500), Change(Kind.PUT, b"long", b"", 90_000)])
    now = 11_000
    assert engine.read(b"short") is None
    now = 2_000
    assert engine.read(b"short") is None and engine.read(b"long") is not None and engine.now() == 11_000
    engine.append([Change(Kind.PUT, b"other", b"", 12_000)])
    again = Engine(files.after_cut(0), lambda: 500, SMALL)
    again.open()
    assert again.now() == 11_000, "the batch told the time"
    assert again.read(b"short") is None and again.read(b"long") is not None


def test_a_folder_with_segments_and_no_manifest_is_not_taken_for_a_new_store() -> None:
    files = FaultyFiles()
    engine = opened(files)
    engine.append([Change(Kind.PUT, b"a", b"1")])
    copy = files.copy()
    del copy.files[manifest.NAME]
    with pytest.raises(Damaged, match="no manifest"):
        opened(copy)
    copy = files.copy()
    copy.files[manifest.NAME].seen[5] ^= 1
    with pytest.raises(manifest.ManifestError, match="checksum"):
        opened(copy)
    copy = files.copy()
    del copy.files[manifest.log_name(1)]
    with pytest.raises(Damaged, match="not there"):
        opened(copy)


def test_the_disk_holds_little_more_than_what_lives() -> None:
    """Ten thousand changes of five hundred keys: without compaction two megabytes, of which 100 kB live."""
    files, rng, options = FaultyFiles(), random.Random(1), Options(segment_max=16384)
    engine = Engine(files, lambda: 1000, options)
    engine.open()
    for n in range(10_000):
        engine.append([Change(Kind.PUT, b"key-%d" % rng.randrange(500), b"%d" % n + b"x" * 150)])
        engine.step()
    engine.compact()
    size = sum(len(i.seen) for n, i in files.files.items() if n.endswith(".log"))
    assert len(holds(engine)) == 500
    assert size < 2 * 500 * 230 + 2 * options.segment_max
    assert engine.copied < 1.5 * engine.written
    assert len(holds(opened(files.after_cut(1)))) == 500


def test_what_has_expired_leaves_the_memory_and_the_disk() -> None:
    files, now = FaultyFiles(), 1000
    engine = Engine(files, lambda: now, SMALL)
    engine.open()
    for n in range(500):
        engine.append([Change(Kind.PUT, b"key-%d" % n, b"x" * 100, 2000)])
    assert len(engine.index) == 500
    now = 3000
    engine.compact()
    assert len(engine.index) == 0
    assert sum(len(i.seen) for n, i in files.files.items() if n.endswith(".log")) < 2 * SMALL.segment_max
