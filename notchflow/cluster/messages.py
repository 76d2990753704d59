"""Messages between instances and their encoding: a version, a typed body, an authentication tag. No I/O.

Layout: one version byte, a msgpack array [name, [epoch, nonce], counter, to, body], and the first 16 bytes of
HMAC-SHA256 (RFC 2104) over all of that under the fleet's secret. Arrays may grow at their end: a reader
ignores unknown fields and uses defaults for fields that an older writer omits.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import Annotated, Final, TypeAlias

import msgspec

from notchflow.cluster.agreement.wire import (
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Propose,
    ProposeResponse,
    ReadIndex,
    ReadIndexResponse,
    RequestVote,
    RequestVoteResponse,
)
from notchflow.cluster.model import NAMES_MAX, Incarnation, Name, Number, Record, Text

VERSION: Final = 1
DATAGRAM_BYTES_MAX: Final = 1_200
FRAME_BYTES_MAX: Final = 1 << 20
TAG_BYTES: Final = 16
MESSAGE_BYTES_MIN: Final = 1 + 8 + TAG_BYTES
SECRET_BYTES_MIN: Final = 32
Digest = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class Update(msgspec.Struct, frozen=True, array_like=True):
    """A membership update; for a suspicion also the member that accuses."""

    record: Record
    accuser: Text = ""


Updates = Annotated[tuple[Update, ...], msgspec.Meta(max_length=256)]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Probe, answered by an `Ack` with the same number."""

    number: Number
    view_digest: Digest = 0  # of the sender's view
    roster_digest: Digest = 0
    updates: Updates = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer to a probe. With `target`: that member acked a probe made on behalf of the receiver."""

    number: Number
    view_digest: Digest = 0
    roster_digest: Digest = 0
    target: Text = ""
    updates: Updates = ()


class PingReq(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Asks the receiver to probe `target` on behalf of the sender."""

    number: Number
    target: Name
    updates: Updates = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Answer to a `PingReq` whose target did not ack; shows that the relaying member itself responds."""

    number: Number


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Updates that are sent without waiting for a probe."""

    updates: Updates = ()


class Sync(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A full view, sent over TCP. The receiver of one that is not a reply answers with its own."""

    records: Annotated[tuple[Record, ...], msgspec.Meta(max_length=NAMES_MAX)]
    reply: bool = False
    roster_digest: Digest = 0


class Denial(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The receiver's message was rejected, with the reason."""

    reason: Text


class LoanItem(msgspec.Struct, frozen=True, array_like=True):
    """Tokens requested from one budget, and the numbers of its grants that are used up."""

    key: Text
    tokens: Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]
    spent: Annotated[tuple[Number, ...], msgspec.Meta(max_length=16)] = ()


class LoanRequest(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Requests tokens, answered by a `LoanGrant` with the same number."""

    number: Number
    items: Annotated[tuple[LoanItem, ...], msgspec.Meta(max_length=64)]
    kind: Annotated[int, msgspec.Meta(ge=0, le=255)] = 0  # of budget: tokens or concurrency slots


class LentTokens(msgspec.Struct, frozen=True, array_like=True):
    """Tokens lent from one budget."""

    key: Text
    tokens: Annotated[int, msgspec.Meta(ge=1, le=1 << 31)]


class LoanGrant(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Lends tokens. Their lifetime counts from when the request was sent."""

    number: Number
    lent: Annotated[tuple[LentTokens, ...], msgspec.Meta(max_length=64)]
    kind: Annotated[int, msgspec.Meta(ge=0, le=255)] = 0


class MetricsRow(msgspec.Struct, frozen=True, array_like=True):
    """Metrics of a tenant or class at one instance."""

    tenant: Text
    values: Annotated[tuple[Number, ...], msgspec.Meta(max_length=64)]


class MetricsUpdate(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """The sender's metrics that changed after one version, up to another. Answered by `MetricsAck`."""

    since: Number
    up_to: Number
    rows: Annotated[tuple[MetricsRow, ...], msgspec.Meta(max_length=64)]


class MetricsAck(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Acknowledges all of the receiver's metrics up to a version."""

    version: Number


Message: TypeAlias = (
    Ping
    | Ack
    | PingReq
    | Nack
    | Gossip
    | Sync
    | Denial
    | LoanRequest
    | LoanGrant
    | MetricsUpdate
    | MetricsAck
    | RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | ReadIndex
    | ReadIndexResponse
    | Propose
    | ProposeResponse
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender, the sender's incarnation and message counter, and the receiver's name."""

    name: Name
    incarnation: Incarnation
    counter: Number
    to: Text
    body: Message


class ForeignMessageError(Exception):
    """The bytes were not written by an instance of this fleet."""


class UnknownVersionError(Exception):
    """The bytes have an unknown protocol version."""


class MalformedMessageError(Exception):
    """Authentic bytes that do not decode: a bug, or an incompatible later format."""


_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Envelope] = msgspec.msgpack.Decoder(Envelope)


def _tag(secret: bytes, data: bytes) -> bytes:
    return hmac.digest(secret, data, hashlib.sha256)[:TAG_BYTES]


def encode_message(secret: bytes, envelope: Envelope) -> bytes:
    """Encodes and authenticates a message."""
    data = bytes((VERSION,)) + _encode(envelope)
    return data + _tag(secret, data)


def decode_message(secret: bytes, data: bytes) -> Envelope:
    """Verifies and decodes a message.

    ForeignMessageError: truncated, altered, or signed with another secret; UnknownVersionError;
    MalformedMessageError.
    """
    if len(data) < MESSAGE_BYTES_MIN:
        raise ForeignMessageError(f"{len(data)} bytes, too short for a message")
    if data[0] != VERSION:
        raise UnknownVersionError(str(data[0]))
    body = data[:-TAG_BYTES]
    if not hmac.compare_digest(_tag(secret, body), data[-TAG_BYTES:]):
        raise ForeignMessageError("authentication tag does not match: another secret, or altered in transit")
    try:
        return _decoder.decode(memoryview(body)[1:])
    except (msgspec.DecodeError, ValueError) as error:  # ValueError: text that is not UTF-8
        raise MalformedMessageError(str(error)) from None


def encoded_size(update: Update) -> int:
    """Encoded size of an update in bytes."""
    return len(_encode(update))


def digest(text: str) -> int:
    """A 63-bit hash of a text."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") >> 1


class ReplayWindow:
    """Anti-replay window over the message counters of a sender's incarnation (RFC 4303, 3.4.3): the newest
    counter and a bitmap of those before it. Counters further back count as seen."""

    __slots__ = ("newest", "seen")

    WIDTH: Final = 1_024

    def __init__(self) -> None:
        self.newest = -1
        self.seen = 0

    def accept(self, counter: int) -> bool:
        """Whether this counter is new; it counts as seen afterwards."""
        if counter > self.newest:
            shift = counter - self.newest
            self.seen = ((self.seen << shift) | 1) & ((1 << self.WIDTH) - 1) if shift < self.WIDTH else 1
            self.newest = counter
            return True
        behind = self.newest - counter
        if behind >= self.WIDTH or self.seen >> behind & 1:
            return False
        self.seen |= 1 << behind
        return True
