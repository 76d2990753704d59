"""The calendar of timers: never early, cancelled for good, nothing kept."""

from __future__ import annotations

import gc
import math
import weakref

from hypothesis import given, settings
from hypothesis import strategies as st

from notchflow.net.timers import TICK_MS, TimerWheel


def fired(calendar: TimerWheel, now: float) -> list[object]:
    return [argument for _, argument in calendar.due(now)]


def ignore(_: object) -> None:
    pass


steps = st.lists(
    st.one_of(
        st.tuples(st.just("set"), st.floats(0, 500)),
        st.tuples(st.just("cancel"), st.integers(0, 50)),
        st.tuples(st.just("pass"), st.floats(0, 100)),
    ),
    max_size=80,
)


@settings(derandomize=True, max_examples=300)
@given(steps)
def test_against_a_list_that_is_searched(plan: list[tuple[str, float]]) -> None:
    calendar, now, number = TimerWheel(), 1.75e12, 0
    model: dict[int, float] = {}
    handles = {}
    for what, value in plan:
        if what == "set":
            number += 1
            model[number] = now + value
            handles[number] = calendar.set(now + value, ignore, number)
        elif what == "cancel" and handles:
            chosen = list(handles)[int(value) % len(handles)]  # may have fired, or twice the same
            model.pop(chosen, None)
            calendar.cancel(handles[chosen])
        elif what == "pass":
            now += value
            came = {int(str(n)) for n in fired(calendar, now)}
            assert all(model[n] <= now for n in came), "never early"
            assert {n for n, due in model.items() if due <= now - TICK_MS} <= came, "late by a tick at most"
            model = {n: due for n, due in model.items() if n not in came}
        assert len(calendar) == len(model)
        assert (calendar.next_due() == math.inf) == (not model)


def test_a_timer_may_cancel_and_set_others_of_its_own_tick() -> None:
    calendar: TimerWheel = TimerWheel()
    later = calendar.set(10.0, ignore, "second")
    seen = []
    calendar.set(10.0, ignore, "first")
    calendar.cancel(later)
    later = calendar.set(10.0, ignore, "second")
    for _, argument in calendar.due(10.0):
        seen.append(argument)
        if argument == "first":
            calendar.cancel(later)
            calendar.set(10.0, ignore, "third")
            calendar.set(3.0, ignore, "past")
    assert seen == ["first", "third", "past"]
    assert not calendar.slots and not calendar.ticks


def test_who_stops_in_the_middle_loses_none() -> None:
    calendar = TimerWheel()
    for name in "abc":
        calendar.set(5.0, ignore, name)
    taken = calendar.due(9.0)
    assert next(taken)[1] == "a"
    taken.close()
    assert calendar.next_due() == 5.0
    assert fired(calendar, 9.0) == ["b", "c"]


def test_a_cancelled_timer_keeps_nothing_alive() -> None:
    class Body:
        pass

    calendar, body = TimerWheel(), Body()
    gone = weakref.ref(body)
    handle = calendar.set(1e6, ignore, body)
    gc.disable()
    try:
        del body
        calendar.cancel(handle)
        assert gone() is None
    finally:
        gc.enable()


def test_a_hundred_thousand_cancelled_timers_leave_a_slot_a_millisecond_at_most() -> None:
    calendar = TimerWheel()
    for number in range(100_000):
        calendar.cancel(calendar.set(1_000.0 + number / 1_000, ignore, number))
    assert len(calendar) == 0 and len(calendar.slots) == len(calendar.ticks) <= 101
    assert calendar.next_due() == math.inf and not calendar.slots
