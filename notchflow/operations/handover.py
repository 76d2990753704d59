"""What one process tells the one that takes its place: the frame it comes in, and the part each may use.

A frame is `NFHO`, the format's number and the length of what follows (32-bit numbers, most significant byte
first), then JSON. It is taken whole or not at all: half of what was learned would mislead more than none.
"""

from __future__ import annotations

import json
import struct
from typing import Any, Final

HEAD: Final = struct.Struct(">4sII")
MAGIC: Final = b"NFHO"
FORMAT: Final = 1
LENGTH_MAX: Final = 8 << 20  # bytes: ten thousand boxes and all keys remembered stay far below


class HandoverError(Exception):
    """What came is no frame of this format; the text says why."""


def pack(state: dict[str, Any]) -> bytes:
    """A frame."""
    data = json.dumps(state, separators=(",", ":")).encode()
    return HEAD.pack(MAGIC, FORMAT, len(data)) + data


class Reader:
    """Puts a frame together from what comes, in pieces of any size."""

    __slots__ = ("held",)

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> dict[str, Any] | None:
        """The state, once it is whole."""
        self.held += data
        if len(self.held) < HEAD.size:
            return None
        magic, number, length = HEAD.unpack_from(self.held)
        if magic != MAGIC:
            raise HandoverError("not a handover")
        if number != FORMAT:
            raise HandoverError(f"format {number}, and this program reads {FORMAT}")
        if length > LENGTH_MAX:
            raise HandoverError(f"{length} bytes, and {LENGTH_MAX} are the most")
        if len(self.held) < HEAD.size + length:
            return None
        try:
            state = json.loads(self.held[HEAD.size : HEAD.size + length])
        except (ValueError, RecursionError) as error:
            raise HandoverError(f"not JSON ({error})") from None
        if not isinstance(state, dict):
            raise HandoverError("not an object")
        return state


class Shares:
    """How much of the platform's limits, which hold for all processes of a proxy together, is this one's."""

    __slots__ = ("beside",)

    def __init__(self) -> None:
        self.beside = 0  # other processes that are known to run

    def joined(self) -> None:
        """Another process runs beside this one."""
        self.beside += 1

    def left(self) -> None:
        """One of them has ended."""
        self.beside = max(self.beside - 1, 0)

    def of(self, whole: float) -> float:
        """This process's part."""
        return whole / (1 + self.beside)
