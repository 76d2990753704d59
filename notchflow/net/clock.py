"""The proxy's time."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Unix time in milliseconds at the start, then monotonic: steps of the wall clock do no harm."""

    __slots__ = ("base", "loop")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.base = (time.time() - time.monotonic()) * 1e3

    def now(self) -> float:
        """The present moment."""
        return self.base + time.monotonic() * 1e3

    def turn(self) -> float:
        """The time at which the loop's present turn began."""
        return self.base + self.loop.time() * 1e3
