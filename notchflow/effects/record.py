"""The stored record of an idempotency key: a fingerprint of the request and the status of its response.
Neither request nor response bodies are stored."""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

_RECORD: Final = struct.Struct("<BBH16sQQ")  # version, fate, status, fingerprint, boot, first sent
VERSION: Final = 1
FINGERPRINT_BYTES: Final = 16


class Fate(IntEnum):
    """What is known of a request. A request that never ran has no record: its key may be used again."""

    INTENDED = 1  # it may have run, or may still run: its end was not recorded
    SERVED = 2
    FAILED = 3  # it may have run: no response confirmed or ruled it out


@dataclass(frozen=True, slots=True)
class Effect:
    """The record of one key. An attempt may have run from `first_ms` on, which is on the clock of the
    machine's boot `boot`."""

    fate: Fate
    fingerprint: bytes
    boot: int
    first_ms: int
    status: int = 0

    def encode(self) -> bytes:
        """The stored form."""
        return _RECORD.pack(VERSION, self.fate, self.status, self.fingerprint, self.boot, self.first_ms)


def decode(data: bytes) -> Effect:
    """Decodes a stored record. Raises ValueError if `data` is not one."""
    if len(data) != _RECORD.size or data[0] != VERSION:
        raise ValueError(f"expected an idempotency record of {_RECORD.size} bytes, version {VERSION}")
    _, fate, status, fingerprint, boot, first_ms = _RECORD.unpack(data)
    return Effect(Fate(fate), fingerprint, boot, first_ms, status)


def fingerprint(method: bytes, target: bytes, body: Iterable[bytes]) -> bytes:
    """Distinguishes requests under the same key. Length prefixes keep method, target and body apart."""
    hasher = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    hasher.update(b"%d %b %d %b " % (len(method), method, len(target), target))
    for piece in body:
        hasher.update(piece)
    return hasher.digest()
