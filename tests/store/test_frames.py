"""The segment format: records and batches round-trip, and corrupt bytes are rejected."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from notchflow.store.frames import (
    BATCH_HEADER,
    KEY_MAX,
    VALUE_MAX,
    FrameError,
    Record,
    RecordKind,
    crc,
    decode_batch,
    decode_record,
    decode_segment_header,
    encode_batch,
    encode_record,
    encode_segment_header,
    find_batch,
    record_length,
)

RECORDS = st.builds(
    Record,
    st.integers(0, 2**64 - 1),
    st.sampled_from(RecordKind),
    st.binary(min_size=1, max_size=40),
    st.binary(max_size=100),
    st.integers(0, 2**40),
)


def test_the_checksum_matches_the_published_vectors() -> None:
    """RFC 3720, appendix B.4: 32 bytes of zeros, of ones, and rising."""
    assert crc(bytes(32)) == 0x8A9136AA
    assert crc(b"\xff" * 32) == 0x62A8AB43
    assert crc(bytes(range(32))) == 0x46DD794E


@given(RECORDS)
def test_a_record_round_trips(record: Record) -> None:
    data = encode_record(record)
    assert len(data) == record_length(len(record.key), len(record.value))
    placed = decode_record(b"before" + data + b"after", 6, 6)
    assert placed.record == record and placed.length == len(data)


@given(st.lists(RECORDS, min_size=1, max_size=5), st.integers(0, 2**50))
def test_a_batch_round_trips(records: list[Record], time: int) -> None:
    data, starts = encode_batch(records, time)
    batch = decode_batch(b"x" * 9 + data, 9, 100)
    assert [p.record for p in batch.records] == records and batch.time == time
    assert [p.offset for p in batch.records] == [100 + s for s in starts]
    assert batch.end == 100 + len(data)


def test_every_flipped_bit_and_truncation_of_a_batch_is_detected() -> None:
    data, _ = encode_batch(
        [Record(7, RecordKind.PUT, b"key", b"value", 9), Record(8, RecordKind.DELETE, b"other")], 5
    )
    for bit in range(8 * len(data)):
        corrupt = bytearray(data)
        corrupt[bit // 8] ^= 1 << bit % 8
        with pytest.raises(FrameError):
            decode_batch(bytes(corrupt), 0, 0)
    for size in range(len(data)):
        with pytest.raises(FrameError):
            decode_batch(data[:size], 0, 0)


def test_every_flipped_bit_of_a_record_is_detected() -> None:
    data = encode_record(Record(7, RecordKind.PUT, b"key", b"value", 9))
    for bit in range(8 * len(data)):
        corrupt = bytearray(data)
        corrupt[bit // 8] ^= 1 << bit % 8
        with pytest.raises(FrameError):
            decode_record(bytes(corrupt))


def test_a_batch_after_a_corrupt_one_is_found() -> None:
    one, _ = encode_batch([Record(1, RecordKind.PUT, b"a")], 0)
    two, _ = encode_batch([Record(2, RecordKind.PUT, b"b")], 0)
    corrupt = one[:BATCH_HEADER] + b"\0" * (len(one) - BATCH_HEADER) + two
    found = find_batch(corrupt, 0)
    assert found is not None and found.offset == len(one) and found.records[0].record.key == b"b"
    assert find_batch(corrupt[:-1], 0) is None


@pytest.mark.parametrize(
    ("key", "value", "what"),
    [(b"", b"", "key"), (b"k" * (KEY_MAX + 1), b"", "key"), (b"k", b"v" * (VALUE_MAX + 1), "value")],
)
def test_empty_or_oversized_keys_and_values_are_rejected(key: bytes, value: bytes, what: str) -> None:
    with pytest.raises(ValueError, match=what):
        Record(1, RecordKind.PUT, key, value)


def test_a_segment_header_with_the_wrong_number_or_bad_bytes_is_rejected() -> None:
    head = encode_segment_header(5, 77)
    assert decode_segment_header(head, 5) == 77
    for data, number, what in (
        (head, 6, "segment 5"),
        (head[:-1], 5, "cut off"),
        (b"x" + head[1:], 5, "no segment"),
        (head[:20] + b"\1" + head[21:], 5, "checksum"),
    ):
        with pytest.raises(FrameError, match=what):
            decode_segment_header(data, number)
