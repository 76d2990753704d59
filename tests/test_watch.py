"""The state machine of the watch, event by event."""

from __future__ import annotations

from dataclasses import replace

import pytest

from notchflow.interface import ListKind, Member, State
from notchflow.net.node_list import NodeList
from notchflow.net.watch import (
    ANSWER_MARGIN_MS,
    CONTINUATION_WINDOW_MS,
    IMMEDIATE_WAIT_MS,
    LONG_WAIT_MS,
    MAX_PAUSE_MS,
    PUSH_MARGIN_MS,
    PUSH_WAIT_MS,
    QUEUE_MARGIN_MS,
    QUEUE_TIMEOUT_MS,
    RENEWAL_RANGE_MS,
    REVISION_RESET_MS,
    ApplyList,
    CancelCall,
    ListWatch,
    ReportFailure,
    StartCall,
    WatchAction,
    WatchError,
)
from notchflow.policy.balancer import WATCH_BACKOFF_MS
from tests.helpers import RULES

NO_CHANGES = NodeList(41, False)


def changes(revision: int, state: State = State.DRAINING, complete: bool = False) -> NodeList:
    return NodeList(revision, complete, (Member(7, state),), {7: ("127.0.0.1", 1)}, {7: "s-7"})


def start_watch(on_request: bool, seed: int = 1) -> ListWatch:
    watch = ListWatch(41, on_request, seed, RULES)
    assert watch.set_wanted(0.0, True) == [StartCall(1, 41, IMMEDIATE_WAIT_MS)]
    return watch


def open_watch(on_request: bool) -> ListWatch:
    """A watch whose second call, the first with a long wait, is outstanding."""
    watch = start_watch(on_request)
    watch.answered(0.0, 1, NO_CHANGES, False)
    assert watch.wake(watch.wake_at) == [StartCall(2, 41, LONG_WAIT_MS if on_request else PUSH_WAIT_MS)]
    assert watch.phase.value == "watching"
    return watch


def run_until(watch: ListWatch, until: float) -> list[tuple[float, WatchAction]]:
    """The actions of a watch up to a time, without events."""
    done: list[tuple[float, WatchAction]] = []
    while (now := watch.wake_at) <= until:
        done += [(now, action) for action in watch.wake(now)]
    return done


def test_a_watch_on_request_is_renewed_by_a_call_for_an_immediate_answer() -> None:
    """The old watch is kept until the answer proves that discovery is reachable; then the new one
    continues."""
    watch = open_watch(True)
    renewed = watch.wake_at
    began = watch.pending_calls[0].begun_at
    assert began + RENEWAL_RANGE_MS[0] <= renewed <= began + RENEWAL_RANGE_MS[1] <= began + LONG_WAIT_MS / 2
    assert watch.wake(renewed) == [StartCall(3, 41, IMMEDIATE_WAIT_MS)] and watch.phase.value == "renewing"
    assert watch.answered(renewed + 300, 3, NO_CHANGES, False) == [
        ApplyList(NO_CHANGES, ListKind.DELTA),
        CancelCall(2),
        StartCall(4, 41, LONG_WAIT_MS),
    ]
    assert watch.phase.value == "watching"
    assert renewed + 300 + RENEWAL_RANGE_MS[0] <= watch.wake_at <= renewed + 300 + RENEWAL_RANGE_MS[1]


@pytest.mark.parametrize("first", [2, 3])
def test_the_call_that_is_answered_first_is_continued(first: int) -> None:
    watch = open_watch(True)
    now = watch.wake_at
    watch.wake(now)
    update = changes(42)
    assert watch.answered(now + 200, first, update, False) == [
        ApplyList(update, ListKind.DELTA),
        CancelCall(5 - first),
        StartCall(4, 42, LONG_WAIT_MS),
    ]
    assert watch.phase.value == "watching" and watch.wake_at >= now + 200 + RENEWAL_RANGE_MS[0]


def test_a_failed_renewal_is_retried_and_keeps_the_old_watch() -> None:
    watch = open_watch(True)
    now = watch.wake_at
    watch.wake(now)
    assert watch.failed(now, 3, "status 503") == [ReportFailure("status 503", True)]
    assert now + WATCH_BACKOFF_MS[0] <= watch.wake_at <= now + WATCH_BACKOFF_MS[1]
    assert watch.wake(watch.wake_at) == [StartCall(4, 41, IMMEDIATE_WAIT_MS)]


def test_an_unanswered_renewal_is_repeated_at_once() -> None:
    """Guards against a failure after which every change counts as announced 6 s later, beside a watch that is
    unresponsive as well."""
    watch = open_watch(True)
    now = watch.wake_at
    watch.wake(now)
    assert watch.wake_at == now + IMMEDIATE_WAIT_MS + QUEUE_TIMEOUT_MS + QUEUE_MARGIN_MS
    assert watch.wake(watch.wake_at) == [
        CancelCall(3),
        ReportFailure("no answer", True),
        StartCall(4, 41, IMMEDIATE_WAIT_MS),
    ]
    assert watch.pending_calls[0].number == 2, "the old watch is kept"


def test_a_watch_that_fails_during_its_renewal_is_no_failure_for_the_policy() -> None:
    watch = open_watch(True)
    now = watch.wake_at
    watch.wake(now)
    assert watch.failed(now + 10, 2, "connection lost") == [ReportFailure("connection lost", True)]
    assert (
        watch.phase.value == "watching"
        and watch.wake_at == now + IMMEDIATE_WAIT_MS + QUEUE_TIMEOUT_MS + QUEUE_MARGIN_MS
    )


def test_with_lists_on_request_the_policy_decides_when_to_call_after_a_failure() -> None:
    watch = open_watch(True)
    assert watch.failed(205.0, 2, "connection lost") == [ReportFailure("connection lost", False)]
    assert watch.phase.value == "idle" and watch.wake_at == float("inf")
    assert watch.set_wanted(900.0, True) == [StartCall(3, 41, IMMEDIATE_WAIT_MS)]


def test_a_call_too_late_to_continue_a_watch_asks_for_an_immediate_answer() -> None:
    watch = start_watch(True)
    watch.answered(0.0, 1, NO_CHANGES, False)
    assert watch.wake(CONTINUATION_WINDOW_MS + 1) == [StartCall(2, 41, IMMEDIATE_WAIT_MS)]


def test_an_unresponsive_agent_is_called_again_and_the_first_call_is_kept() -> None:
    """Guards against a moment without a call as the agent returns, when all that it has counts as
    announced."""
    watch = open_watch(False)
    began = watch.pending_calls[0].begun_at
    timeout_ms = PUSH_WAIT_MS + PUSH_MARGIN_MS
    assert run_until(watch, began + 3.5 * timeout_ms) == [
        (began + timeout_ms, StartCall(3, 41, PUSH_WAIT_MS)),
        (began + 2 * timeout_ms, CancelCall(3)),
        (began + 2 * timeout_ms, StartCall(4, 41, PUSH_WAIT_MS)),
        (began + 3 * timeout_ms, CancelCall(4)),
        (began + 3 * timeout_ms, StartCall(5, 41, PUSH_WAIT_MS)),
    ]
    update = changes(42)
    assert watch.answered(9_000.0, 2, update, False) == [
        ApplyList(update, ListKind.DELTA),
        CancelCall(5),
        StartCall(6, 42, PUSH_WAIT_MS),
    ]


def test_a_failed_agent_is_called_again_within_the_drain_grace() -> None:
    """Guards against half a second without a call, while what the agent has counts as announced."""
    watch, now, waits = open_watch(False), 1_000.0, []
    for number in range(2, 8):
        assert watch.failed(now, number, "connection lost") == [ReportFailure("connection lost", False)]
        waits.append(watch.wake_at - now)
        now = watch.wake_at
        assert watch.wake(now) == [StartCall(number + 1, 41, PUSH_WAIT_MS)]
    assert waits == [20, 40, 80, 100, 100, 100] and waits[-1] < 250 / 2
    watch.answered(now, 8, NO_CHANGES, False)
    watch.wake(watch.wake_at)
    watch.failed(now + 500, 9, "connection lost")
    assert watch.wake_at == now + 520, "an answer resets the backoff"


@pytest.mark.parametrize(
    ("grace_ms", "longest"), [(1_000.0, 100.0), (250.0, 100.0), (100.0, 40.0), (0.0, 20.0)]
)
def test_no_pause_exceeds_half_of_the_configured_drain_grace(grace_ms: float, longest: float) -> None:
    watch = ListWatch(41, False, 1, replace(RULES, drain_grace_ms=grace_ms))
    now, waits = 0.0, []
    watch.set_wanted(now, True)
    for number in range(1, 8):
        watch.failed(now, number, "connection lost")
        waits.append(watch.wake_at - now)
        now = watch.wake_at
        watch.wake(now)
    assert max(waits) == longest
    watch.answered(now, 8, NO_CHANGES, False)
    assert watch.wake_at == now + longest


def test_immediate_answers_are_spaced_but_continue_the_watch() -> None:
    watch = open_watch(False)
    now = watch.pending_calls[0].begun_at
    assert watch.answered(now + 1, 2, NO_CHANGES, False) == [ApplyList(NO_CHANGES, ListKind.DELTA)]
    assert watch.phase.value == "resting" and watch.wake_at == now + MAX_PAUSE_MS < now + 1 + 200


def test_a_wait_that_ends_without_an_answer_is_followed_by_a_call_at_once() -> None:
    """Guards against the policy's backoff after a call that was not answered, rather than rejected."""
    watch = open_watch(True)
    over = watch.pending_calls[0].begun_at + LONG_WAIT_MS + ANSWER_MARGIN_MS
    for number in range(3, 500):  # no renewal is ever accepted
        if watch.wake_at >= over:
            break
        watch.wake(now := watch.wake_at)
        watch.failed(now, number, "status 503")
    actions = watch.wake(over)
    assert actions[:2] == [CancelCall(2), ReportFailure("no answer", True)]
    assert [a for a in actions if isinstance(a, StartCall)] and watch.phase.value != "idle"


def test_a_new_discovery_address_is_called_at_once_and_old_calls_are_cancelled() -> None:
    watch = open_watch(True)
    watch.wake(now := watch.wake_at)
    assert watch.restart(now + 1) == [CancelCall(2), CancelCall(3), StartCall(4, 41, IMMEDIATE_WAIT_MS)]
    with pytest.raises(WatchError, match="call 2 is not outstanding"):
        watch.answered(now + 2, 2, changes(42), False)


def test_a_lower_revision_adds_no_node_but_removes_some_and_the_complete_list_is_requested() -> None:
    watch = open_watch(True)
    older = NodeList(40, True, (Member(7, State.DRAINING), Member(8, State.READY)), {}, {})
    actions = watch.answered(205.0, 2, older, False)
    assert [a.kind for a in actions if isinstance(a, ApplyList)] == [ListKind.DELTA]
    assert [m.node for a in actions if isinstance(a, ApplyList) for m in a.node_list.members] == [7]
    assert actions[-1] == ReportFailure("revision 40 is older than 41", False) and watch.revision == 41
    (full_call,) = watch.set_wanted(900.0, True)
    assert isinstance(full_call, StartCall) and full_call.revision is None
    new = NodeList(41, True, (Member(7, State.READY),), {}, {})
    assert watch.answered(950.0, full_call.number, new, False)[0] == ApplyList(new, ListKind.FULL)


def test_changes_requested_before_an_older_list_arrived_are_accepted() -> None:
    """Guards against rejecting changes that count as announced because of the answer to another call."""
    watch = open_watch(True)
    watch.wake(now := watch.wake_at)
    assert watch.answered(now + 1, 2, NodeList(40, False), False) == [
        ReportFailure("revision 40 is older than 41", True)
    ]
    update = changes(42)
    actions = watch.answered(now + 200, 3, update, False)
    assert actions[0] == ApplyList(update, ListKind.DELTA) and watch.revision == 42
    assert isinstance(actions[1], StartCall) and actions[1].revision is None, "removed nodes must be restored"


def test_revisions_that_started_anew_are_accepted_after_a_minute() -> None:
    watch, now, number = start_watch(True), 0.0, 1
    lower = NodeList(3, True, (Member(8, State.READY),), {}, {})
    while now < REVISION_RESET_MS:
        (failed,) = watch.answered(now, number, lower, False)
        assert isinstance(failed, ReportFailure)
        now += 7_000
        (call,) = watch.set_wanted(now, True)
        assert isinstance(call, StartCall)
        number = call.number
    assert watch.answered(now, number, lower, False)[0] == ApplyList(lower, ListKind.FULL)
    assert watch.revision == 3


def test_a_complete_list_without_members_and_changes_instead_of_one_are_rejected() -> None:
    watch = start_watch(True)
    assert watch.answered(1.0, 1, NodeList(50, True), True) == [
        ReportFailure("a whole list without members", False)
    ]
    assert watch.revision == 41
    watch.answered(2.0, watch.set_wanted(2.0, True)[0].number, NodeList(40, False), False)  # type: ignore[union-attr]
    (full_call,) = watch.set_wanted(3.0, True)
    assert isinstance(full_call, StartCall) and full_call.revision is None
    actions = watch.answered(4.0, full_call.number, changes(60, State.READY), False)
    assert (
        actions == [ReportFailure("changes where the whole list was asked for", False)]
        and watch.revision == 41
    )


def test_a_change_of_the_list_mode_applies_to_the_next_call() -> None:
    watch = open_watch(True)
    latest = watch.pending_calls[0].begun_at + LONG_WAIT_MS + PUSH_MARGIN_MS
    assert watch.configure(1_000.0, False, RULES) == [] and watch.wake_at <= latest
    watch.failed(1_000.0, 2, "connection lost")
    assert isinstance(
        watch.wake(watch.wake_at)[0], StartCall
    ), "an agent is called without a decision of the policy"
    pushed = open_watch(False)
    pushed.configure(500.0, True, RULES)
    assert 500.0 <= pushed.wake_at <= pushed.pending_calls[0].begun_at + RENEWAL_RANGE_MS[1]
