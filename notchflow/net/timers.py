"""Timers that are set, cancelled and forgotten in constant amortised time. Free of I/O and of a clock."""

from __future__ import annotations

import math
from collections.abc import Callable, Generator
from heapq import heappop, heappush
from typing import Any, TypeAlias

TICK_MS = 1.0

TimerId: TypeAlias = tuple[int, int]  # the tick and the number within all that were ever set


class TimerWheel:
    """Callbacks by the tick in which they come due: a hashed timing wheel (Varghese and Lauck, SOSP 1987,
    scheme 6) whose slots are a dictionary, so that it has no horizon, and whose hand is a heap of the ticks
    in use, so that an idle proxy is not woken for empty slots.

    Times are milliseconds on the caller's clock. A due time is rounded up to a whole tick of TICK_MS: nothing
    fires early, and the calendar makes nothing later than one tick. Setting costs a heap's push for the first
    timer of a tick alone; cancelling takes the entry out of its slot, so that nothing keeps what the callback
    refers to. An emptied slot stays until its tick: at most one for each millisecond ahead.
    """

    __slots__ = ("slots", "ticks", "count")

    def __init__(self) -> None:
        self.slots: dict[int, dict[int, tuple[Callable[..., None], Any]]] = {}
        self.ticks: list[int] = []  # a heap of the keys of `slots`, each once
        self.count = 0

    def __len__(self) -> int:
        return sum(len(slot) for slot in self.slots.values())

    def set(self, due: float, call: Callable[..., None], argument: Any = None) -> TimerId:
        """`call(argument)` is due at this time; the handle cancels it."""
        tick = math.ceil(due / TICK_MS)
        self.count = number = self.count + 1
        slot = self.slots.get(tick)
        if slot is None:
            self.slots[tick] = {number: (call, argument)}
            heappush(self.ticks, tick)
        else:
            slot[number] = call, argument
        return tick, number

    def cancel(self, handle: TimerId) -> None:
        """Forgets a timer. One that has fired or was cancelled before is no error."""
        slot = self.slots.get(handle[0])
        if slot is not None:
            slot.pop(handle[1], None)

    def next_due(self) -> float:
        """When the next timer fires; infinity where there is none."""
        ticks, slots = self.ticks, self.slots
        while ticks and not slots[ticks[0]]:
            del slots[heappop(ticks)]
        return ticks[0] * TICK_MS if ticks else math.inf

    def due(self, now: float) -> Generator[tuple[Callable[..., None], Any], None, None]:
        """Takes out what has come due, one by one: what is called for one timer may cancel or set others."""
        ticks, slots = self.ticks, self.slots
        while ticks and ticks[0] * TICK_MS <= now:
            tick = heappop(ticks)
            slot = slots[tick]  # stays: a timer set or cancelled for this very tick meanwhile must find it
            try:
                while slot:
                    for number in list(slot):
                        entry = slot.pop(number, None)
                        if entry is not None:
                            yield entry
            finally:
                if slot:  # whoever takes them out has stopped in between
                    heappush(ticks, tick)
                else:
                    del slots[tick]

    def clear(self) -> None:
        """Forgets all timers."""
        self.slots.clear()
        self.ticks.clear()
