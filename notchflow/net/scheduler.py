"""Timers and deferred calls of one proxy, on its event loop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from notchflow.net.clock import Clock
from notchflow.net.timers import TimerId, TimerWheel

log = logging.getLogger(__name__)

LATE_TIMER_MS = 2.0  # a timer later than this means that the event loop was busy


class Scheduler:
    """Calls back at a time, in the next iteration of the event loop, or after it has polled once more."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self.loop, self.clock = loop, clock
        self.timers = TimerWheel()
        self.timer_handle: asyncio.TimerHandle | None = None
        self.timer_due_at = float("inf")

    def call_at(self, due: float, callback: Callable[..., None], argument: Any = None) -> TimerId:
        """Calls back at `due`, never earlier. `timers.cancel` takes the returned id."""
        timer_id = self.timers.schedule(due, callback, argument)
        if due < self.timer_due_at:
            self._arm_timer(due)
        return timer_id

    def call_soon(self, callback: Callable[..., None], argument: Any) -> None:
        """Calls back in the next iteration of the event loop."""
        self.loop.call_soon(callback, argument)

    def call_after_poll(self, callback: Callable[..., None], argument: Any) -> None:
        """Calls back after the loop has polled once more, so that data that was ready beside the current
        event has been read."""
        self.loop.call_soon(self.loop.call_soon, callback, argument)

    def _arm_timer(self, due: float) -> None:
        if self.timer_handle is not None:
            self.timer_handle.cancel()
        self.timer_due_at = due
        self.timer_handle = self.loop.call_later(
            max(due - self.clock.now(), 0.0) / 1e3, self._run_timers, due
        )

    def _run_timers(self, due: float, again: bool = False) -> None:
        now = self.clock.now()
        if not again and now > due + LATE_TIMER_MS:
            # The loop was busy: responses may be waiting in the kernel, which is not the nodes' fault.
            self.timer_handle = self.loop.call_later(0.001, self._run_timers, due, True)
            return
        for callback, argument in self.timers.pop_due(now):
            try:
                callback(argument)
            except Exception:
                log.exception("timer callback failed")
        self.timer_handle, self.timer_due_at = None, float("inf")
        next_due = self.timers.next_due()
        if next_due < self.timer_due_at:
            self._arm_timer(next_due)
