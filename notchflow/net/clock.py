"""The clock of the proxy."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """Unix time in milliseconds when created, monotonic from then on: changes of the wall clock have no
    effect."""

    __slots__ = ("offset_ms", "loop")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.offset_ms = (time.time() - time.monotonic()) * 1e3

    def now(self) -> float:
        """The current time."""
        return self.offset_ms + time.monotonic() * 1e3

    def loop_time(self) -> float:
        """The time at which the current iteration of the event loop began."""
        return self.offset_ms + self.loop.time() * 1e3
