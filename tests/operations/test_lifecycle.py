"""When clients have to leave, and when they may stay."""

from __future__ import annotations

from notchflow.operations.lifecycle import Lifecycle, Phase


def test_a_second_standby_call_does_not_restart_the_time() -> None:
    lifecycle = Lifecycle()
    assert lifecycle.enter_standby(1_000) and lifecycle.draining
    assert lifecycle.enter_standby(4_000) and lifecycle.entered_at == 1_000


def test_activation_is_immediate_and_idempotent() -> None:
    lifecycle = Lifecycle()
    lifecycle.enter_standby(0)
    assert lifecycle.activate(500) and not lifecycle.draining
    assert lifecycle.activate(600) and lifecycle.phase is Phase.ACTIVE


def test_a_process_that_is_stopping_cannot_become_active() -> None:
    lifecycle = Lifecycle()
    assert lifecycle.begin_shutdown(0) and not lifecycle.begin_shutdown(5)
    assert not lifecycle.activate(10) and not lifecycle.enter_standby(10) and lifecycle.phase is Phase.LEAVING


def test_idle_connections_are_closed_within_two_seconds_of_standby() -> None:
    lifecycle = Lifecycle()
    lifecycle.enter_standby(10_000)
    assert not lifecycle.should_close_idle(10_250, 0), "the load balancer may not have noticed yet"
    assert not lifecycle.should_close_idle(11_600, 11_500), "it has just been used"
    assert lifecycle.should_close_idle(11_500, 11_200)
    assert lifecycle.should_close_idle(12_000, 11_700)
