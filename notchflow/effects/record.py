"""What is kept of one idempotency key: no part of the request but a fingerprint, no part of the answer but
its status."""

from __future__ import annotations

import hashlib
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

_RECORD: Final = struct.Struct("<BBH16sQQ")  # version, fate, status, fingerprint, boot, first sent
VERSION: Final = 1
FINGERPRINT: Final = 16


class Fate(IntEnum):
    """What is known of a request. That it never ran is not kept: its key is free again."""

    INTENDED = 1  # it may have run, or may yet: its end was not recorded
    SERVED = 2
    FAILED = 3  # it may have run: no answer came that says so or denies it


@dataclass(frozen=True, slots=True)
class Effect:
    """`boot` names the run of the machine whose clock `first_ms` is on: an attempt may have run from then
    on."""

    fate: Fate
    fingerprint: bytes
    boot: int
    first_ms: int
    status: int = 0

    def encode(self) -> bytes:
        return _RECORD.pack(VERSION, self.fate, self.status, self.fingerprint, self.boot, self.first_ms)


def decode(data: bytes) -> Effect:
    """ValueError for anything else."""
    if len(data) != _RECORD.size or data[0] != VERSION:
        raise ValueError(f"an effect's record has {_RECORD.size} bytes of version {VERSION}")
    _, fate, status, fingerprint, boot, first_ms = _RECORD.unpack(data)
    return Effect(Fate(fate), fingerprint, boot, first_ms, status)


def fingerprint(method: bytes, target: bytes, body: Iterable[bytes]) -> bytes:
    """Tells one request from another under the same key; lengths keep parts from running into one another."""
    found = hashlib.blake2b(digest_size=FINGERPRINT)
    found.update(b"%d %b %d %b " % (len(method), method, len(target), target))
    for piece in body:
        found.update(piece)
    return found.digest()
