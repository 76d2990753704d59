"""Timers with constant amortised cost to set, cancel and fire. Free of I/O and of a clock."""

from __future__ import annotations

import math
from collections.abc import Callable, Generator
from heapq import heappop, heappush
from typing import Any, TypeAlias

TICK_MS = 1.0

TimerId: TypeAlias = tuple[int, int]  # the tick, and the number of the timer since the start


class TimerWheel:
    """A hashed timing wheel (Varghese and Lauck, SOSP 1987, scheme 6). Its slots are a dictionary, so that
    the range is unlimited, and its hand is a heap of the ticks in use, so that an idle proxy is not woken for
    empty slots.

    Times are milliseconds on the caller's clock. A due time is rounded up to a whole tick of TICK_MS: no
    timer fires early, and the wheel delays none by more than one tick. Only the first timer of a tick costs a
    heap push. Cancelling removes the entry from its slot, so that nothing refers to the callback any more. An
    empty slot stays until its tick: at most one for each millisecond ahead.
    """

    __slots__ = ("slots", "ticks", "count")

    def __init__(self) -> None:
        self.slots: dict[int, dict[int, tuple[Callable[..., None], Any]]] = {}
        self.ticks: list[int] = []  # heap of the keys of `slots`, each once
        self.count = 0

    def __len__(self) -> int:
        return sum(len(slot) for slot in self.slots.values())

    def schedule(self, due: float, callback: Callable[..., None], argument: Any = None) -> TimerId:
        """Schedules `callback(argument)` at `due`; the returned id cancels it."""
        tick = math.ceil(due / TICK_MS)
        self.count = number = self.count + 1
        slot = self.slots.get(tick)
        if slot is None:
            self.slots[tick] = {number: (callback, argument)}
            heappush(self.ticks, tick)
        else:
            slot[number] = callback, argument
        return tick, number

    def cancel(self, timer_id: TimerId) -> None:
        """Cancels a timer; does nothing if it has fired or was cancelled before."""
        slot = self.slots.get(timer_id[0])
        if slot is not None:
            slot.pop(timer_id[1], None)

    def next_due(self) -> float:
        """When the next timer fires; infinity if there is none."""
        ticks, slots = self.ticks, self.slots
        while ticks and not slots[ticks[0]]:
            del slots[heappop(ticks)]
        return ticks[0] * TICK_MS if ticks else math.inf

    def pop_due(self, now: float) -> Generator[tuple[Callable[..., None], Any], None, None]:
        """Removes and yields the timers that are due, one by one, so that each callback may cancel or
        schedule others."""
        ticks, slots = self.ticks, self.slots
        while ticks and ticks[0] * TICK_MS <= now:
            tick = heappop(ticks)
            slot = slots[tick]  # stays in place: callbacks may schedule or cancel timers of this same tick
            try:
                while slot:
                    for number in list(slot):
                        entry = slot.pop(number, None)
                        if entry is not None:
                            yield entry
            finally:
                if slot:  # the caller stopped before the end
                    heappush(ticks, tick)
                else:
                    del slots[tick]

    def clear(self) -> None:
        """Cancels all timers."""
        self.slots.clear()
        self.ticks.clear()
