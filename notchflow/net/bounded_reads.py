"""Reads from sockets into one buffer that all connections share, in portions that the memory left allows."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

MAX_READ_BYTES: Final = 256_000
MIN_READ_BYTES: Final = 2 << 10
READ_SHARE: Final = 8  # one read takes at most this part of the memory that is left for buffers

_buffer: Final = memoryview(bytearray(MAX_READ_BYTES))


class MemoryAccount(Protocol):
    """What is held in memory for clients and nodes, and how much may be."""

    buffered_bytes: int
    buffer_limit: float
    max_read_bytes: int


def max_read_bytes(buffer_limit: float, descriptors: int) -> int:
    """Returns how many bytes one read may take. A third of the descriptors may hold as much that is counted
    nowhere, as the rest of a piece that a slow peer has taken in part; together that is half the limit."""
    return max(min(int(buffer_limit / 2 / (descriptors / 3)), MAX_READ_BYTES), MIN_READ_BYTES)


def portion_bytes(account: MemoryAccount) -> int:
    """Returns how many bytes may be taken at once, so that many connections stay within the limit."""
    left = int(account.buffer_limit - account.buffered_bytes) // READ_SHARE
    return max(min(left, account.max_read_bytes), MIN_READ_BYTES)


class BoundedReads(asyncio.BufferedProtocol):
    """A protocol whose transport reads portions by `memory`; `data_received` gets a copy of each."""

    __slots__ = ("memory",)

    memory: MemoryAccount

    def get_buffer(self, sizehint: int) -> memoryview:
        """asyncio: the buffer for the next read."""
        return _buffer[: portion_bytes(self.memory)]

    def buffer_updated(self, nbytes: int) -> None:
        """asyncio: this many bytes have been read into the buffer."""
        self.data_received(bytes(_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Takes the bytes that have been read."""
        raise NotImplementedError
