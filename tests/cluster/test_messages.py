"""Message encoding, the anti-replay window and the gossip queue."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from notchflow.cluster.gossip import UPDATES_BYTES_MAX, GossipQueue
from notchflow.cluster.messages import (
    DATAGRAM_BYTES_MAX,
    VERSION,
    Ack,
    Denial,
    Envelope,
    ForeignMessageError,
    Gossip,
    MalformedMessageError,
    Message,
    Nack,
    Ping,
    PingReq,
    ReplayWindow,
    Sync,
    UnknownVersionError,
    Update,
    _tag,
    decode_message,
    encode_message,
)
from notchflow.cluster.model import Incarnation, Record, State

SECRET, OTHER = b"s" * 32, b"o" * 32
RECORD = Record("p2", Incarnation(1_796_000_000_000, 1 << 61), 3, State.SUSPECT, "127.0.0.1:7946", "0.1.0")
BODIES: tuple[Message, ...] = (
    Ping(7, 8, 9, (Update(RECORD, "p3"),)),
    Ack(7, 8, 9, "p4", (Update(RECORD),)),
    PingReq(1, "p2"),
    Nack(3),
    Gossip((Update(RECORD),)),
    Sync((RECORD,), True, 5),
    Denial("not on the roster"),
)


def envelope_of(body: Message) -> Envelope:
    return Envelope("p1", Incarnation(5, 6), 9, "p2", body)


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_a_message_round_trips(body: Message) -> None:
    assert decode_message(SECRET, encode_message(SECRET, envelope_of(body))) == envelope_of(body)


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_a_truncated_message_is_foreign(body: Message) -> None:
    data = encode_message(SECRET, envelope_of(body))
    for size in range(len(data)):
        with pytest.raises(ForeignMessageError):
            decode_message(SECRET, data[:size])


def test_an_altered_message_or_another_secret_is_rejected() -> None:
    data = encode_message(SECRET, envelope_of(BODIES[0]))
    for position in range(len(data)):
        changed = bytes([*data[:position], data[position] ^ 0x41, *data[position + 1 :]])
        with pytest.raises((ForeignMessageError, UnknownVersionError)):
            decode_message(SECRET, changed)
    with pytest.raises(ForeignMessageError):
        decode_message(OTHER, data)


@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises((ForeignMessageError, UnknownVersionError)):
        decode_message(SECRET, data)


@given(st.binary(max_size=200))
def test_arbitrary_authenticated_bytes_decode_or_are_malformed(data: bytes) -> None:
    signed = bytes((VERSION,)) + data
    try:
        decode_message(SECRET, signed + _tag(SECRET, signed))
    except (MalformedMessageError, ForeignMessageError):
        pass


def test_a_later_version_is_distinguished_from_foreign_bytes() -> None:
    with pytest.raises(UnknownVersionError, match="9"):
        decode_message(SECRET, b"\x09" + encode_message(SECRET, envelope_of(Nack(1)))[1:])


def test_unknown_fields_are_ignored_and_missing_ones_have_defaults() -> None:
    later = msgspec.msgpack.encode(["p1", [5, 6], 9, "p2", [1, 7, 8, 9, [], "new"], "more"])
    data = bytes((VERSION,)) + later
    assert decode_message(SECRET, data + _tag(SECRET, data)).body == Ping(7, 8, 9)
    earlier = bytes((VERSION,)) + msgspec.msgpack.encode(["p1", [5, 6], 9, "p2", [1, 7]])
    assert decode_message(SECRET, earlier + _tag(SECRET, earlier)).body == Ping(7)


@pytest.mark.parametrize("name", ["", "p" * 64, "a b", "../x"])
def test_an_invalid_name_is_malformed(name: str) -> None:
    data = bytes((VERSION,)) + msgspec.msgpack.encode([name, [5, 6], 9, "p2", [4, 7]])
    with pytest.raises(MalformedMessageError):
        decode_message(SECRET, data + _tag(SECRET, data))


@given(st.lists(st.integers(0, 3_000), max_size=200))
def test_no_counter_is_accepted_twice(counters: list[int]) -> None:
    window = ReplayWindow()
    accepted = [n for n in counters if window.accept(n)]
    assert len(accepted) == len(set(accepted))
    in_order = sorted(set(counters))
    assert [n for n in in_order if ReplayWindow().accept(n)] == in_order


def test_a_late_counter_is_accepted_once_and_one_before_the_window_never() -> None:
    window = ReplayWindow()
    assert window.accept(2_000) and window.accept(1_500) and not window.accept(1_500)
    assert not window.accept(2_000 - ReplayWindow.WIDTH)


def test_piggybacked_updates_fit_into_a_datagram() -> None:
    queue = GossipQueue(4)
    for number in range(100):
        name = f"p{number}".ljust(63, "x")
        queue.put(
            Update(Record(name, Incarnation(1 << 62, 1 << 62), 1 << 40, State.DEAD, "a" * 60, "v" * 20), name)
        )
    updates = queue.take(100, Update(RECORD))
    assert len(updates) > 2 and updates[0] == Update(RECORD)
    body = Ping(1 << 62, (1 << 63) - 1, (1 << 63) - 1, updates)
    envelope = Envelope("p" * 63, Incarnation(1 << 62, 1 << 62), 1 << 62, "q" * 63, body)
    assert UPDATES_BYTES_MAX < len(encode_message(SECRET, envelope)) <= DATAGRAM_BYTES_MAX


def test_a_newer_update_replaces_an_older_one_and_is_sent_a_bounded_number_of_times() -> None:
    queue = GossipQueue(4)
    queue.put(Update(RECORD, "p1"))
    dead = Record(
        RECORD.name, RECORD.incarnation, RECORD.revision, State.DEAD, RECORD.address, RECORD.version
    )
    queue.put(Update(dead))
    sent = 0
    while queue:
        assert queue.take(10) == (Update(dead),)
        sent += 1
    assert sent == queue.retransmit_limit(10) == 8
