"""The life of the watch, event by event."""

from __future__ import annotations

from dataclasses import replace

import pytest

from notchflow.interface import ListKind, Member, State
from notchflow.net.node_list import NodeList
from notchflow.net.watch import (
    ANSWER_MARGIN_MS,
    CONTINUES_MS,
    OLDER_MS,
    PAUSE_MAX_MS,
    PUSH_MARGIN_MS,
    PUSH_WAIT_MS,
    QUEUE_MARGIN_MS,
    QUEUE_MS,
    RENEWAL_RANGE_MS,
    SOON_MS,
    WAIT_MS,
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

NOTHING = NodeList(41, False)


def changes(revision: int, state: State = State.DRAINING, complete: bool = False) -> NodeList:
    return NodeList(revision, complete, (Member(7, state),), {7: ("127.0.0.1", 1)}, {7: "s-7"})


def begun(asked: bool, seed: int = 1) -> ListWatch:
    watch = ListWatch(41, asked, seed, RULES)
    assert watch.set_wanted(0.0, True) == [StartCall(1, 41, SOON_MS)]
    return watch


def watching(asked: bool) -> ListWatch:
    """With its first watch, the second call, open."""
    watch = begun(asked)
    watch.answered(0.0, 1, NOTHING, False)
    assert watch.wake(watch.wake_at) == [StartCall(2, 41, WAIT_MS if asked else PUSH_WAIT_MS)]
    assert watch.phase.value == "watching"
    return watch


def run_until(watch: ListWatch, until: float) -> list[tuple[float, WatchAction]]:
    """All that a watch does of itself up to a time."""
    done: list[tuple[float, WatchAction]] = []
    while (now := watch.wake_at) <= until:
        done += [(now, action) for action in watch.wake(now)]
    return done


def test_an_asked_watch_is_opened_anew_by_a_call_that_is_answered_at_once() -> None:
    """The old watch stays until the answer shows that discovery hears the proxy; then the new one goes on."""
    watch = watching(True)
    renewed = watch.wake_at
    began = watch.pending_calls[0].begun_at
    assert began + RENEWAL_RANGE_MS[0] <= renewed <= began + RENEWAL_RANGE_MS[1] <= began + WAIT_MS / 2
    assert watch.wake(renewed) == [StartCall(3, 41, SOON_MS)] and watch.phase.value == "renewing"
    assert watch.answered(renewed + 300, 3, NOTHING, False) == [
        ApplyList(NOTHING, ListKind.DELTA),
        CancelCall(2),
        StartCall(4, 41, WAIT_MS),
    ]
    assert watch.phase.value == "watching"
    assert renewed + 300 + RENEWAL_RANGE_MS[0] <= watch.wake_at <= renewed + 300 + RENEWAL_RANGE_MS[1]


@pytest.mark.parametrize("first", [2, 3])
def test_whichever_call_tells_something_first_is_gone_on_with(first: int) -> None:
    watch = watching(True)
    now = watch.wake_at
    watch.wake(now)
    news = changes(42)
    assert watch.answered(now + 200, first, news, False) == [
        ApplyList(news, ListKind.DELTA),
        CancelCall(5 - first),
        StartCall(4, 42, WAIT_MS),
    ]
    assert watch.phase.value == "watching" and watch.wake_at >= now + 200 + RENEWAL_RANGE_MS[0]


def test_a_renewal_that_fails_is_tried_again_and_leaves_the_old_watch() -> None:
    watch = watching(True)
    now = watch.wake_at
    watch.wake(now)
    assert watch.failed(now, 3, "status 503") == [ReportFailure("status 503", True)]
    assert now + WATCH_BACKOFF_MS[0] <= watch.wake_at <= now + WATCH_BACKOFF_MS[1]
    assert watch.wake(watch.wake_at) == [StartCall(4, 41, SOON_MS)]


def test_a_renewal_that_is_silent_is_made_again_at_once() -> None:
    """Guards against a failure on which all counts 6 s later, beside a watch that is silent too."""
    watch = watching(True)
    now = watch.wake_at
    watch.wake(now)
    assert watch.wake_at == now + SOON_MS + QUEUE_MS + QUEUE_MARGIN_MS
    assert watch.wake(watch.wake_at) == [
        CancelCall(3),
        ReportFailure("no answer", True),
        StartCall(4, 41, SOON_MS),
    ]
    assert watch.pending_calls[0].number == 2, "the old one stays"


def test_a_watch_that_breaks_while_it_is_renewed_fails_nothing() -> None:
    watch = watching(True)
    now = watch.wake_at
    watch.wake(now)
    assert watch.failed(now + 10, 2, "connection lost") == [ReportFailure("connection lost", True)]
    assert watch.phase.value == "watching" and watch.wake_at == now + SOON_MS + QUEUE_MS + QUEUE_MARGIN_MS


def test_where_lists_are_asked_for_the_module_says_when_to_call_after_a_failure() -> None:
    watch = watching(True)
    assert watch.failed(205.0, 2, "connection lost") == [ReportFailure("connection lost", False)]
    assert watch.phase.value == "idle" and watch.wake_at == float("inf")
    assert watch.set_wanted(900.0, True) == [StartCall(3, 41, SOON_MS)]


def test_a_call_too_late_to_continue_a_watch_asks_to_be_answered_at_once() -> None:
    watch = begun(True)
    watch.answered(0.0, 1, NOTHING, False)
    assert watch.wake(CONTINUES_MS + 1) == [StartCall(2, 41, SOON_MS)]


def test_a_silent_agent_is_asked_again_and_the_first_call_is_kept_for_its_return() -> None:
    """Guards against a moment without a call as the agent comes back, when all it has counts as told."""
    watch = watching(False)
    began = watch.pending_calls[0].begun_at
    silent = PUSH_WAIT_MS + PUSH_MARGIN_MS
    assert run_until(watch, began + 3.5 * silent) == [
        (began + silent, StartCall(3, 41, PUSH_WAIT_MS)),
        (began + 2 * silent, CancelCall(3)),
        (began + 2 * silent, StartCall(4, 41, PUSH_WAIT_MS)),
        (began + 3 * silent, CancelCall(4)),
        (began + 3 * silent, StartCall(5, 41, PUSH_WAIT_MS)),
    ]
    news = changes(42)
    assert watch.answered(9_000.0, 2, news, False) == [
        ApplyList(news, ListKind.DELTA),
        CancelCall(5),
        StartCall(6, 42, PUSH_WAIT_MS),
    ]


def test_an_agent_that_fails_is_asked_again_within_a_drain_s_grace() -> None:
    """Guards against half a second in which what the agent has counts as told and nobody asks."""
    watch, now, waits = watching(False), 1_000.0, []
    for number in range(2, 8):
        assert watch.failed(now, number, "connection lost") == [ReportFailure("connection lost", False)]
        waits.append(watch.wake_at - now)
        now = watch.wake_at
        assert watch.wake(now) == [StartCall(number + 1, 41, PUSH_WAIT_MS)]
    assert waits == [20, 40, 80, 100, 100, 100] and waits[-1] < 250 / 2
    watch.answered(now, 8, NOTHING, False)
    watch.wake(watch.wake_at)
    watch.failed(now + 500, 9, "connection lost")
    assert watch.wake_at == now + 520, "an answer ends the series"


@pytest.mark.parametrize(
    ("grace_ms", "longest"), [(1_000.0, 100.0), (250.0, 100.0), (100.0, 40.0), (0.0, 20.0)]
)
def test_no_pause_outlasts_half_of_the_grace_that_the_settings_give(grace_ms: float, longest: float) -> None:
    watch = ListWatch(41, False, 1, replace(RULES, drain_grace_ms=grace_ms))
    now, waits = 0.0, []
    watch.set_wanted(now, True)
    for number in range(1, 8):
        watch.failed(now, number, "connection lost")
        waits.append(watch.wake_at - now)
        now = watch.wake_at
        watch.wake(now)
    assert max(waits) == longest
    watch.answered(now, 8, NOTHING, False)
    assert watch.wake_at == now + longest


def test_answers_that_come_at_once_are_spaced_within_what_counts_as_one_watch() -> None:
    watch = watching(False)
    now = watch.pending_calls[0].begun_at
    assert watch.answered(now + 1, 2, NOTHING, False) == [ApplyList(NOTHING, ListKind.DELTA)]
    assert watch.phase.value == "resting" and watch.wake_at == now + PAUSE_MAX_MS < now + 1 + 200


def test_a_wait_that_is_over_without_an_answer_is_followed_by_a_call_at_once() -> None:
    """Guards against the module's pause after a call that was silent, and not turned away."""
    watch = watching(True)
    over = watch.pending_calls[0].begun_at + WAIT_MS + ANSWER_MARGIN_MS
    for number in range(3, 500):  # no renewal is ever taken
        if watch.wake_at >= over:
            break
        watch.wake(now := watch.wake_at)
        watch.failed(now, number, "status 503")
    told = watch.wake(over)
    assert told[:2] == [CancelCall(2), ReportFailure("no answer", True)]
    assert [a for a in told if isinstance(a, StartCall)] and watch.phase.value != "idle"


def test_discovery_that_moves_is_asked_at_once_and_the_old_one_is_left() -> None:
    watch = watching(True)
    watch.wake(now := watch.wake_at)
    assert watch.restart(now + 1) == [CancelCall(2), CancelCall(3), StartCall(4, 41, SOON_MS)]
    with pytest.raises(WatchError, match="call 2 is not out"):
        watch.answered(now + 2, 2, changes(42), False)


def test_a_lower_revision_brings_nothing_back_but_takes_away_and_the_whole_list_is_asked_for() -> None:
    watch = watching(True)
    older = NodeList(40, True, (Member(7, State.DRAINING), Member(8, State.READY)), {}, {})
    told = watch.answered(205.0, 2, older, False)
    assert [a.kind for a in told if isinstance(a, ApplyList)] == [ListKind.DELTA]
    assert [m.node for a in told if isinstance(a, ApplyList) for m in a.listing.members] == [7]
    assert told[-1] == ReportFailure("revision 40 is older than 41", False) and watch.revision == 41
    (whole,) = watch.set_wanted(900.0, True)
    assert isinstance(whole, StartCall) and whole.revision is None
    new = NodeList(41, True, (Member(7, State.READY),), {}, {})
    assert watch.answered(950.0, whole.number, new, False)[0] == ApplyList(new, ListKind.FULL)


def test_changes_that_were_asked_for_before_an_older_list_came_are_taken() -> None:
    """Guards against a refusal of what counts as told, because of what another call brought."""
    watch = watching(True)
    watch.wake(now := watch.wake_at)
    assert watch.answered(now + 1, 2, NodeList(40, False), False) == [
        ReportFailure("revision 40 is older than 41", True)
    ]
    news = changes(42)
    told = watch.answered(now + 200, 3, news, False)
    assert told[0] == ApplyList(news, ListKind.DELTA) and watch.revision == 42
    assert isinstance(told[1], StartCall) and told[1].revision is None, "what was taken away must come back"


def test_revisions_that_began_anew_are_taken_after_a_minute() -> None:
    watch, now, number = begun(True), 0.0, 1
    lower = NodeList(3, True, (Member(8, State.READY),), {}, {})
    while now < OLDER_MS:
        (failed,) = watch.answered(now, number, lower, False)
        assert isinstance(failed, ReportFailure)
        now += 7_000
        (call,) = watch.set_wanted(now, True)
        assert isinstance(call, StartCall)
        number = call.number
    assert watch.answered(now, number, lower, False)[0] == ApplyList(lower, ListKind.FULL)
    assert watch.revision == 3


def test_a_whole_list_without_members_and_changes_to_none_are_refused() -> None:
    watch = begun(True)
    assert watch.answered(1.0, 1, NodeList(50, True), True) == [
        ReportFailure("a whole list without members", False)
    ]
    assert watch.revision == 41
    watch.answered(2.0, watch.set_wanted(2.0, True)[0].number, NodeList(40, False), False)  # type: ignore[union-attr]
    (whole,) = watch.set_wanted(3.0, True)
    assert isinstance(whole, StartCall) and whole.revision is None
    told = watch.answered(4.0, whole.number, changes(60, State.READY), False)
    assert (
        told == [ReportFailure("changes where the whole list was asked for", False)] and watch.revision == 41
    )


def test_settings_that_change_how_lists_come_change_the_next_call() -> None:
    watch = watching(True)
    latest = watch.pending_calls[0].begun_at + WAIT_MS + PUSH_MARGIN_MS
    assert watch.mode(1_000.0, False, RULES) == [] and watch.wake_at <= latest
    watch.failed(1_000.0, 2, "connection lost")
    assert isinstance(watch.wake(watch.wake_at)[0], StartCall), "an agent is asked without the module's word"
    pushed = watching(False)
    pushed.mode(500.0, True, RULES)
    assert 500.0 <= pushed.wake_at <= pushed.pending_calls[0].begun_at + RENEWAL_RANGE_MS[1]
