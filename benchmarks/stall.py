"""Runs a program and measures stalls of its event loop: `python -m benchmarks.stall MODULE [ARGUMENT...]`.

A timer of the loop is due every millisecond; its delay is a stall. SIGUSR1 prints the longest stall since the
previous signal in milliseconds: in wall time, and in processor time that the program itself used during a
stall (in the rest of the time the machine ran something else).
"""

from __future__ import annotations

import asyncio
import runpy
import signal
import sys
import time

import uvloop

TICK_S = 0.001


class StallMonitor:
    """Records the longest stalls of an event loop and prints them on SIGUSR1."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.wall = self.cpu = 0.0
        self.last_tick = time.monotonic(), time.thread_time()
        loop.add_signal_handler(signal.SIGUSR1, self.report)
        loop.call_soon(self.tick)

    def tick(self) -> None:
        """Records the delay of this tick and schedules the next one."""
        now, cpu_time = time.monotonic(), time.thread_time()
        wall = now - self.last_tick[0] - TICK_S
        self.wall = max(self.wall, wall)
        self.cpu = max(self.cpu, min(wall, cpu_time - self.last_tick[1]))
        self.last_tick = now, cpu_time
        self.loop.call_later(TICK_S, self.tick)

    def report(self) -> None:
        """Prints the longest stalls, wall time and processor time, and starts anew."""
        print(f"{self.wall * 1e3:.3f} {self.cpu * 1e3:.3f}", flush=True)
        self.wall = self.cpu = 0.0


def main() -> None:
    """Runs the module with a monitored event loop."""
    create_loop = uvloop.new_event_loop

    def create_watched_loop() -> uvloop.Loop:
        loop = create_loop()
        # Created while the loop runs, as a signal handler must be added in the loop's own thread.
        loop.call_soon(StallMonitor, loop)
        return loop

    uvloop.new_event_loop = create_watched_loop
    sys.argv = sys.argv[1:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
