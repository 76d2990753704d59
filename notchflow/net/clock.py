"""The proxy's time."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Unix time in milliseconds at the start, then monotonic: steps of the wall clock do no harm."""

    __slots__ = ("offset_ms", "loop")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.offset_ms = (time.time() - time.monotonic()) * 1e3

    def now(self) -> float:
        """The present moment."""
        return self.offset_ms + time.monotonic() * 1e3

    def loop_time(self) -> float:
        """The time at which the loop's present turn began."""
        return self.offset_ms + self.loop.time() * 1e3
