"""The index and hint files, compared with a dictionary."""

from __future__ import annotations

import random

import numpy as np
import pytest

from notchflow.store.frames import LocatedRecord, Record, RecordKind
from notchflow.store.hints import HintColumns, decode, encode
from notchflow.store.index import SHARDS, Entry, Index, Shard, pack, unpack


def entry(number: int, expires: int = 0) -> Entry:
    return Entry(number, number % 7, 100 + number, 50 + number % 9, expires)


def test_the_index_agrees_with_a_dictionary_through_growth_and_removal() -> None:
    rng, index = random.Random(1), Index()
    model: dict[bytes, Entry] = {}
    for number in range(1, 30_001):
        key = b"%d" % rng.randrange(4000)
        if rng.random() < 0.3:
            assert index.remove(key, number) is (key in model)
            model.pop(key, None)
        else:
            assert index.put(key, entry(number))
            model[key] = entry(number)
    assert len(index) == len(model)
    for number in range(4000):
        assert index.get(b"%d" % number) == model.get(b"%d" % number)
    live = dict.fromkeys(range(7), 0)
    for found in model.values():
        live[found.segment] += found.length
    assert {k: v for k, v in index.live_bytes.items() if v} == {k: v for k, v in live.items() if v}


def test_colliding_keys_around_the_end_of_a_table_are_found_after_deletions() -> None:
    """Backward-shift deletion across the end of the table, with keys of neighbouring home slots."""
    rng = random.Random(3)
    for home in (0, 61, 62, 63):
        shard = Shard()
        model: dict[tuple[int, int], int] = {}
        for _ in range(400):
            low, high = (home + rng.randrange(3)) % 64 << 6 | rng.randrange(8) << 20 | 1, rng.randrange(4)
            slot = shard.find(low, high)
            assert (slot >= 0) is ((low, high) in model)
            if slot >= 0:
                shard.delete(slot)
                del model[low, high]
            elif len(model) < 30:
                shard.add(slot, low, high, 1, len(model), 1)
                model[low, high] = len(model)
            for (a, b), location in model.items():
                at = shard.find(a, b)
                assert at >= 0 and shard.location[at] == location


def test_older_records_that_arrive_later_change_nothing() -> None:
    index = Index()
    assert index.put(b"k", entry(5))
    assert not index.put(b"k", entry(4)) and not index.remove(b"k", 3)
    assert index.get(b"k") == entry(5)


def hint_columns(records: list[Record], segment: int) -> HintColumns:
    found = HintColumns()
    for n, record in enumerate(records):
        found.add(segment, LocatedRecord(record, 24 + 10 * n, 10))
    return found


def test_a_bulk_load_keeps_the_newest_record_of_each_key_and_honours_tombstones() -> None:
    rng, parts = random.Random(2), []
    model: dict[bytes, Record] = {}
    numbers = list(range(1, 5001))
    rng.shuffle(numbers)
    for segment in range(5):
        records = []
        for number in numbers[segment * 1000 : (segment + 1) * 1000]:
            kind = RecordKind.DELETE if rng.random() < 0.2 else RecordKind.PUT
            record = Record(number, kind, b"%d" % rng.randrange(800))
            records.append(record)
            if record.key not in model or model[record.key].number < number:
                model[record.key] = record
        parts.append(hint_columns(records, segment).entries())
    index = Index()
    index.bulk_load(type(parts[0])(*(np.concatenate(c) for c in zip(*parts, strict=True))))
    expected = {k: r.number for k, r in model.items() if r.kind is RecordKind.PUT}
    assert len(index) == len(expected)
    for key, number in expected.items():
        found = index.get(key)
        assert found is not None and found.number == number
    assert sum(index.live_bytes.values()) == 10 * len(expected)
    index.put(b"new", entry(9000))
    assert index.get(b"new") == entry(9000), "the loaded index accepts new entries"


def test_a_sweep_removes_expired_entries_only() -> None:
    index = Index()
    for number in range(1, 2001):
        index.put(b"%d" % number, entry(number, expires=number if number % 2 else 0))
    removed = sum(index.sweep(1000) for _ in range(SHARDS))
    assert removed == 500 and len(index) == 1500
    assert index.get(b"999") is None and index.get(b"1001") is not None and index.get(b"998") is not None


def test_packed_words_round_trip_or_are_rejected() -> None:
    location, meta = pack((1 << 24) - 1, (1 << 40) - 1, (1 << 21) - 1, (1 << 43) - 1)
    assert unpack(3, location, meta) == Entry(3, (1 << 24) - 1, (1 << 40) - 1, (1 << 21) - 1, (1 << 43) - 1)
    for bad in ((1 << 24, 0, 1, 0), (0, 1 << 40, 1, 0), (0, 0, 1 << 21, 0), (0, 0, 0, 0), (0, 0, 1, 1 << 43)):
        with pytest.raises(ValueError):
            pack(*bad)


def test_a_hint_that_is_corrupt_or_of_another_length_is_ignored() -> None:
    hint = hint_columns([Record(1, RecordKind.PUT, b"a"), Record(2, RecordKind.DELETE, b"b")], 9)
    data = encode(9, 500, hint)
    found = decode(data, 9, 500)
    assert found is not None and found[0].number.tolist() == [1, 2] and found[1] == 10
    assert decode(data, 8, 500) is None and decode(data, 9, 501) is None and decode(data[:-1], 9, 500) is None
    for at in range(len(data)):
        corrupt = bytearray(data)
        corrupt[at] ^= 1
        assert decode(bytes(corrupt), 9, 500) is None
