"""The timer wheel: no timer fires early or after it was cancelled, and nothing is retained."""

from __future__ import annotations

import gc
import math
import weakref

from hypothesis import given, settings
from hypothesis import strategies as st

from notchflow.net.timers import TICK_MS, TimerWheel


def fired(wheel: TimerWheel, now: float) -> list[object]:
    return [argument for _, argument in wheel.pop_due(now)]


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
def test_the_wheel_agrees_with_a_plain_dictionary(plan: list[tuple[str, float]]) -> None:
    wheel, now, number = TimerWheel(), 1.75e12, 0
    model: dict[int, float] = {}
    timer_ids = {}
    for what, value in plan:
        if what == "set":
            number += 1
            model[number] = now + value
            timer_ids[number] = wheel.schedule(now + value, ignore, number)
        elif what == "cancel" and timer_ids:
            chosen = list(timer_ids)[int(value) % len(timer_ids)]  # may have fired or been cancelled already
            model.pop(chosen, None)
            wheel.cancel(timer_ids[chosen])
        elif what == "pass":
            now += value
            expired = {int(str(n)) for n in fired(wheel, now)}
            assert all(model[n] <= now for n in expired), "never early"
            assert {
                n for n, due in model.items() if due <= now - TICK_MS
            } <= expired, "late by at most one tick"
            model = {n: due for n, due in model.items() if n not in expired}
        assert len(wheel) == len(model)
        assert (wheel.next_due() == math.inf) == (not model)


def test_a_timer_may_cancel_and_schedule_others_of_its_own_tick() -> None:
    wheel: TimerWheel = TimerWheel()
    later = wheel.schedule(10.0, ignore, "second")
    seen = []
    wheel.schedule(10.0, ignore, "first")
    wheel.cancel(later)
    later = wheel.schedule(10.0, ignore, "second")
    for _, argument in wheel.pop_due(10.0):
        seen.append(argument)
        if argument == "first":
            wheel.cancel(later)
            wheel.schedule(10.0, ignore, "third")
            wheel.schedule(3.0, ignore, "past")
    assert seen == ["first", "third", "past"]
    assert not wheel.slots and not wheel.ticks


def test_stopping_in_the_middle_loses_no_timer() -> None:
    wheel = TimerWheel()
    for name in "abc":
        wheel.schedule(5.0, ignore, name)
    taken = wheel.pop_due(9.0)
    assert next(taken)[1] == "a"
    taken.close()
    assert wheel.next_due() == 5.0
    assert fired(wheel, 9.0) == ["b", "c"]


def test_a_cancelled_timer_retains_nothing() -> None:
    class Body:
        pass

    wheel, body = TimerWheel(), Body()
    gone = weakref.ref(body)
    timer_id = wheel.schedule(1e6, ignore, body)
    gc.disable()
    try:
        del body
        wheel.cancel(timer_id)
        assert gone() is None
    finally:
        gc.enable()


def test_a_hundred_thousand_cancelled_timers_leave_at_most_one_slot_per_millisecond() -> None:
    wheel = TimerWheel()
    for number in range(100_000):
        wheel.cancel(wheel.schedule(1_000.0 + number / 1_000, ignore, number))
    assert len(wheel) == 0 and len(wheel.slots) == len(wheel.ticks) <= 101
    assert wheel.next_due() == math.inf and not wheel.slots
