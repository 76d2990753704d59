"""What instances say to one another, and its bytes: a version, a typed body, an authentication code.

Layout: one byte of version, a msgpack array [name, epoch, nonce, counter, to, body], and the first 16 bytes
of HMAC-SHA256 (RFC 2104) over all before under the fleet's secret. Arrays may grow at their end: a reader
ignores what it does not know and fills in what an older writer left out. Pure.
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
DATAGRAM_MAX: Final = 1_200
FRAME_MAX: Final = 1 << 20
TAG: Final = 16
MIN: Final = 1 + 8 + TAG
SECRET_BYTES_MIN: Final = 32
Digest = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class Update(msgspec.Struct, frozen=True, array_like=True):
    """One piece of news; of a suspicion, whose it is."""

    record: Record
    accuser: Text = ""


News = Annotated[tuple[Update, ...], msgspec.Meta(max_length=256)]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Are you there? Answered by an Ack of the same number."""

    number: Number
    view: Digest = 0  # of all that the sender holds of members
    roster: Digest = 0
    news: News = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """I am; or, with `of`, that one is."""

    number: Number
    view: Digest = 0
    roster: Digest = 0
    of: Text = ""
    news: News = ()


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Probe this one for me."""

    number: Number
    target: Name
    news: News = ()


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """It did not answer me either; but I answer you."""

    number: Number


class Gossip(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """News that do not wait for a probe."""

    news: News = ()


class Sync(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A whole view, over TCP. The one that is asked answers with its own."""

    records: Annotated[tuple[Record, ...], msgspec.Meta(max_length=NAMES_MAX)]
    reply: bool = False
    roster: Digest = 0


class Denial(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Nothing was taken of what you said, for this reason."""

    reason: Text


class LoanItem(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one budget that are asked for, and the numbers of grants of it that are used up."""

    key: Text
    tokens: Annotated[int, msgspec.Meta(ge=0, le=1 << 31)]
    spent: Annotated[tuple[Number, ...], msgspec.Meta(max_length=16)] = ()


class LoanRequest(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Lend me these. Answered by a LoanGrant of the same number."""

    number: Number
    items: Annotated[tuple[LoanItem, ...], msgspec.Meta(max_length=64)]
    kind: Annotated[int, msgspec.Meta(ge=0, le=255)] = 0  # of budget


class Lent(msgspec.Struct, frozen=True, array_like=True):
    key: Text
    tokens: Annotated[int, msgspec.Meta(ge=1, le=1 << 31)]


class LoanGrant(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """These are yours, for the time that was left when you asked."""

    number: Number
    lent: Annotated[tuple[Lent, ...], msgspec.Meta(max_length=64)]
    kind: Annotated[int, msgspec.Meta(ge=0, le=255)] = 0


class MetricsRow(msgspec.Struct, frozen=True, array_like=True):
    """A tenant's figures at one instance."""

    tenant: Text
    values: Annotated[tuple[Number, ...], msgspec.Meta(max_length=64)]


class MetricsUpdate(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """What has changed of my figures after one version and up to another. Answered by MetricsAck."""

    since: Number
    up_to: Number
    rows: Annotated[tuple[MetricsRow, ...], msgspec.Meta(max_length=64)]


class MetricsAck(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """I have all of yours up to this version."""

    version: Number


Message: TypeAlias = (
    Ping
    | Ack
    | Ask
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
    """Who says it to whom, in which life, and as the how-manieth of it."""

    name: Name
    incarnation: Incarnation
    counter: Number
    to: Text
    body: Message


class Foreign(Exception):
    """Bytes that no instance of this fleet has written."""


class UnknownVersion(Exception):
    """Bytes of a version that is not known here."""


class Malformed(Exception):
    """Bytes with the fleet's code that are no message: a fault of ours, or a later form."""


_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[Envelope] = msgspec.msgpack.Decoder(Envelope)


def _code(secret: bytes, data: bytes) -> bytes:
    return hmac.digest(secret, data, hashlib.sha256)[:TAG]


def encode_message(secret: bytes, envelope: Envelope) -> bytes:
    """The bytes of a message."""
    data = bytes((VERSION,)) + _encode(envelope)
    return data + _code(secret, data)


def decode_message(secret: bytes, data: bytes) -> Envelope:
    """The message of bytes. Foreign: cut off, changed, or under another secret; UnknownVersion; Malformed."""
    if len(data) < MIN:
        raise Foreign(f"{len(data)} bytes")
    if data[0] != VERSION:
        raise UnknownVersion(str(data[0]))
    body = data[:-TAG]
    if not hmac.compare_digest(_code(secret, body), data[-TAG:]):
        raise Foreign("another secret, or changed on the way")
    try:
        return _decoder.decode(memoryview(body)[1:])
    except (msgspec.DecodeError, ValueError) as error:  # ValueError: text that is not UTF-8
        raise Malformed(str(error)) from None


def size_of(update: Update) -> int:
    """Bytes that a piece of news takes."""
    return len(_encode(update))


def digest(text: str) -> int:
    """63 bits that stand for a text."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") >> 1


class Window:
    """Which numbers of a sender's life have been seen: the newest and a bitmap of those before it (RFC 4303,
    3.4.3). What lies further back counts as seen."""

    __slots__ = ("newest", "seen")

    WIDTH: Final = 1_024

    def __init__(self) -> None:
        self.newest = -1
        self.seen = 0

    def fresh(self, counter: int) -> bool:
        """Whether this number comes for the first time; it is seen then."""
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
