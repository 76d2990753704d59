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
LEAST: Final = 0.2  # of a limit: a process can do something, whatever the others use
LENGTH_MAX: Final = 8 << 20  # bytes: ten thousand boxes and all keys remembered stay far below


class HandoverError(Exception):
    """What came is no frame of this format; the text says why."""


def pack(state: dict[str, Any]) -> bytes:
    """A frame."""
    data = json.dumps(state, separators=(",", ":")).encode()
    return HEAD.pack(MAGIC, FORMAT, len(data)) + data


class Reader:
    """Takes frames from what comes, in pieces of any size."""

    __slots__ = ("held",)

    def __init__(self) -> None:
        self.held = bytearray()

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """What came whole with this piece."""
        self.held += data
        whole = []
        while len(self.held) >= HEAD.size:
            magic, number, length = HEAD.unpack_from(self.held)
            if magic != MAGIC:
                raise HandoverError("not a handover")
            if number != FORMAT:
                raise HandoverError(f"format {number}, and this program reads {FORMAT}")
            if length > LENGTH_MAX:
                raise HandoverError(f"{length} bytes, and {LENGTH_MAX} are the most")
            if len(self.held) < HEAD.size + length:
                break
            whole.append(_decode(bytes(self.held[HEAD.size : HEAD.size + length])))
            del self.held[: HEAD.size + length]
        return whole


def _decode(data: bytes) -> dict[str, Any]:
    try:
        state = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise HandoverError(f"not JSON ({error})") from None
    if not isinstance(state, dict):
        raise HandoverError("not an object")
    return state


class Shares:
    """How much of the platform's limits, which hold for all processes of a proxy together, is this one's:
    what others do not use, as they last told. A fixed half was too little for the one that has the clients:
    it closed some to make room for others, and those came back at once."""

    __slots__ = ("used",)

    def __init__(self) -> None:
        self.used: dict[object, tuple[float, float] | None] = {}  # by process; none: it has not told yet

    def joined(self, who: object) -> None:
        """Another process runs beside this one."""
        self.used[who] = None

    def told(self, who: object, descriptors: float, held: float) -> None:
        """What it uses now: descriptors, and bytes held."""
        if who in self.used:
            self.used[who] = max(descriptors, 0.0), max(held, 0.0)

    def moved(self, who: object, descriptors: int) -> None:
        """Connections passed to it or, where negative, came from it: what it told is older than that."""
        used = self.used.get(who)
        if used is not None:
            self.used[who] = max(used[0] + descriptors, 0.0), used[1]

    def left(self, who: object) -> None:
        """It has ended."""
        self.used.pop(who, None)

    def descriptors(self, whole: int) -> int:
        """This process's part of the descriptors."""
        return int(self._left(whole, 0))

    def held(self, whole: float) -> float:
        """This process's part of the bytes that may be held."""
        return self._left(whole, 1)

    def _left(self, whole: float, which: int) -> float:
        others = sum(whole / 2 if used is None else used[which] for used in self.used.values())
        return max(whole - others, whole * LEAST)
