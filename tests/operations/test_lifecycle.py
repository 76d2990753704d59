"""When clients are wanted, and which of their connections may stay."""

from __future__ import annotations

from notchflow.operations.lifecycle import Lifecycle, Phase


def test_standby_called_twice_does_not_begin_anew() -> None:
    duty = Lifecycle()
    assert duty.standby(1_000) and duty.draining
    assert duty.standby(4_000) and duty.since == 1_000


def test_back_to_work_at_once_and_twice() -> None:
    duty = Lifecycle()
    duty.standby(0)
    assert duty.active(500) and not duty.draining
    assert duty.active(600) and duty.phase is Phase.ACTIVE


def test_who_is_to_end_comes_back_by_no_call() -> None:
    duty = Lifecycle()
    assert duty.leave(0) and not duty.leave(5)
    assert not duty.active(10) and not duty.standby(10) and duty.phase is Phase.LEAVING


def test_nothing_idle_is_held_at_two_seconds() -> None:
    duty = Lifecycle()
    duty.standby(10_000)
    assert not duty.overstays(10_250, 0), "the front has not surely heard yet"
    assert not duty.overstays(11_600, 11_500), "it has just been used"
    assert duty.overstays(11_500, 11_200)
    assert duty.overstays(12_000, 11_700)
