"""The frames in which a process hands its state over to its successor, and each one's part of the common
limits.

A frame is `NFHO`, the number of the format and the length of the payload (32-bit numbers, most significant
byte first), then JSON. It is applied as a whole or not at all: half of the learned state would mislead the
policy more than none.
"""

from __future__ import annotations

import json
import struct
from typing import Any, Final

HEADER: Final = struct.Struct(">4sII")
MAGIC: Final = b"NFHO"
FORMAT_VERSION: Final = 1
MIN_LIMIT_SHARE: Final = 0.2  # of a limit: the part that each process has, whatever the others use
MAX_FRAME_LENGTH: Final = 8 << 20  # bytes: ten thousand nodes and all remembered keys stay far below


class HandoverError(Exception):
    """The input is not a frame of this format; the text says why."""


def encode_frame(state: dict[str, Any]) -> bytes:
    """Returns a frame that contains this state."""
    data = json.dumps(state, separators=(",", ":")).encode()
    return HEADER.pack(MAGIC, FORMAT_VERSION, len(data)) + data


class FrameReader:
    """Reassembles frames from input in pieces of any size."""

    __slots__ = ("buffer",)

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Returns the frames that are complete with this input. A HandoverError says that the input is
        malformed."""
        self.buffer += data
        frames = []
        while len(self.buffer) >= HEADER.size:
            magic, number, length = HEADER.unpack_from(self.buffer)
            if magic != MAGIC:
                raise HandoverError("not a handover frame")
            if number != FORMAT_VERSION:
                raise HandoverError(f"format {number}, expected {FORMAT_VERSION}")
            if length > MAX_FRAME_LENGTH:
                raise HandoverError(f"{length} bytes, at most {MAX_FRAME_LENGTH} are allowed")
            if len(self.buffer) < HEADER.size + length:
                break
            frames.append(_decode(bytes(self.buffer[HEADER.size : HEADER.size + length])))
            del self.buffer[: HEADER.size + length]
        return frames


def _decode(data: bytes) -> dict[str, Any]:
    try:
        state = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise HandoverError(f"not JSON ({error})") from None
    if not isinstance(state, dict):
        raise HandoverError("not a JSON object")
    return state


class LimitShares:
    """Divides the platform's limits, which hold for all processes of a proxy together: this process may use
    what the others do not, by their latest reports.

    A fixed half was too little for the process that has the clients: it closed some connections to make room
    for others, and those clients reconnected at once.
    """

    __slots__ = ("usage",)

    def __init__(self) -> None:
        # descriptors and bytes by process; None before its first report
        self.usage: dict[object, tuple[float, float] | None] = {}

    def add_process(self, process: object) -> None:
        """Adds a process that runs beside this one."""
        self.usage[process] = None

    def record_usage(self, process: object, descriptors: float, held: float) -> None:
        """Stores the usage that a process reported: descriptors, and buffered bytes."""
        if process in self.usage:
            self.usage[process] = max(descriptors, 0.0), max(held, 0.0)

    def record_transfer(self, process: object, descriptors: int) -> None:
        """Counts descriptors handed over to a process or, if negative, received from it, as its latest report
        is older."""
        reported = self.usage.get(process)
        if reported is not None:
            self.usage[process] = max(reported[0] + descriptors, 0.0), reported[1]

    def remove_process(self, process: object) -> None:
        """Removes a process that has ended."""
        self.usage.pop(process, None)

    def descriptor_limit(self, total: int) -> int:
        """Returns the number of descriptors that this process may use."""
        return int(self._remainder(total, 0))

    def buffer_limit(self, total: float) -> float:
        """Returns the number of bytes that this process may buffer."""
        return self._remainder(total, 1)

    def _remainder(self, total: float, index: int) -> float:
        others = sum(total / 2 if used is None else used[index] for used in self.usage.values())
        return max(total - others, total * MIN_LIMIT_SHARE)
