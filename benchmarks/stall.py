"""Runs a program with its loop watched: `python -m benchmarks.stall MODULE [ARGUMENT...]`.

A timer of the loop comes due every millisecond; what it comes later is a stall. On SIGUSR1 the longest since
the last time is printed, in milliseconds: by the wall, and by the processor time that the program itself used
meanwhile (the rest is time in which the machine ran something else).
"""

from __future__ import annotations

import asyncio
import runpy
import signal
import sys
import time

import uvloop

TICK_S = 0.001


class Watch:
    """The longest stalls so far."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.wall = self.cpu = 0.0
        self.seen = time.monotonic(), time.thread_time()
        loop.add_signal_handler(signal.SIGUSR1, self.tell)
        loop.call_soon(self.tick)

    def tick(self) -> None:
        now, used = time.monotonic(), time.thread_time()
        wall = now - self.seen[0] - TICK_S
        self.wall = max(self.wall, wall)
        self.cpu = max(self.cpu, min(wall, used - self.seen[1]))
        self.seen = now, used
        self.loop.call_later(TICK_S, self.tick)

    def tell(self) -> None:
        print(f"{self.wall * 1e3:.3f} {self.cpu * 1e3:.3f}", flush=True)
        self.wall = self.cpu = 0.0


def main() -> None:
    made = uvloop.new_event_loop

    def watched() -> uvloop.Loop:
        loop = made()
        loop.call_soon(Watch, loop)  # within its run: a handler of a signal needs the loop's own thread
        return loop

    uvloop.new_event_loop = watched
    sys.argv = sys.argv[1:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
