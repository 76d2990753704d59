"""Simulated watches of a fleet, checked against the operators' rules on when a change counts as announced."""

from __future__ import annotations

import os

import pytest

from notchflow.emulator.fixed_waits import FixedWaits
from notchflow.emulator.watch_explorer import explore, random_day, run_case
from notchflow.emulator.watches import Day, World
from notchflow.net.node_list import NodeList
from notchflow.net.watch import ApplyList, ListWatch, PendingCall, ReportFailure, WatchAction

LONG = bool(os.environ.get("NOTCHFLOW_LONG"))

# All watches fall silent in the first seconds, and a node begins to drain right after.
SILENT = {"silences": (6_000.0,), "changes": (7_000.0,)}


@pytest.mark.parametrize("asked", [True, False])
@pytest.mark.parametrize("all_call_ms", [2_000.0, 8_000.0])
@pytest.mark.parametrize("proxies", [2, 6, 40, 230])
def test_watches_that_fall_silent_together_are_renewed_in_time(
    proxies: int, all_call_ms: float, asked: bool
) -> None:
    verdict = World(Day(proxies=proxies, asked=asked, all_call_ms=all_call_ms, **SILENT)).simulate()  # type: ignore[arg-type]
    assert verdict.broken == [] and verdict.slack_ms >= (1_500 if asked else 250)
    assert verdict.age_ms <= (35_000 if asked else 3_000)
    assert verdict.busiest <= max(3, proxies * 1_000 / all_call_ms), "no more calls than discovery can accept"


@pytest.mark.parametrize("asked", [True, False])
def test_two_silences_one_of_them_during_a_renewal(asked: bool) -> None:
    for second in range(9_000, 34_000, 500):
        day = Day(
            proxies=6,
            asked=asked,
            all_call_ms=2_000.0,
            silences=(1_000.0, float(second)),
            changes=(1_500.0, second + 100.0),
        )
        assert World(day).simulate().broken == [], second


@pytest.mark.parametrize("asked", [True, False])
def test_every_placement_of_a_silence_a_cut_a_move_and_a_restart_passes(asked: bool) -> None:
    moments = (1_500.0, 6_000.0, 12_000.0, 22_000.0, 31_000.0) if LONG else (1_500.0, 6_000.0, 31_000.0)
    count, broken = explore(asked, moments, 3 if LONG else 2, processes=os.cpu_count() or 1 if LONG else 1)
    assert count == (45_360 if LONG else 1_536) and broken == []


def test_random_days_with_all_kinds_of_faults_pass() -> None:
    for seed in range(4_000 if LONG else 40):
        day, broken = run_case(random_day(seed))
        assert broken == [], day


class NeverRenews(ListWatch):
    def _renewal_at(self, now: float, out: PendingCall) -> float:
        return float("inf")


class RenewsAllAtOnce(ListWatch):
    """Renews watches, but late and at the same age at all proxies."""

    def _renewal_at(self, now: float, out: PendingCall) -> float:
        return out.begun_at + 59_500.0 if self.on_request else super()._renewal_at(now, out)


class IgnoresSecondCall(ListWatch):
    """Ignores the answer of a second call."""

    def answered(self, now: float, number: int, listing: NodeList, empty: bool) -> list[WatchAction]:
        if len(self.pending_calls) == 2 and number == self.pending_calls[1].number:
            return self.failed(now, number, "ignored")
        return super().answered(now, number, listing, empty)


class NoRenewalRetry(ListWatch):
    """Does not retry a renewal that failed."""

    def _after_failure(self, now: float, problem: str) -> list[WatchAction]:
        actions = super()._after_failure(now, problem)
        if self.pending_calls:
            self.renew_at = float("inf")
        return actions


class AcceptsOlderLists(ListWatch):
    def _rejection_reason(self, now: float, out: PendingCall, listing: NodeList) -> str:
        return ""


class SlowAfterFailure(ListWatch):
    """Waits half a second after a failure of the agent."""

    def _after_failure(self, now: float, problem: str) -> list[WatchAction]:
        actions = super()._after_failure(now, problem)
        if not self.on_request and not self.pending_calls:
            self.next_at = now + 500.0
        return actions


class SlowStart(ListWatch):
    def set_wanted(self, now: float, on: bool) -> list[WatchAction]:
        if not self.on_request and self.last_call_number == 0:
            self.wanted, self.next_at = on, now + 1_000.0
            return []
        return super().set_wanted(now, on)


class LosesCallOnReload(ListWatch):
    def restart(self, now: float) -> list[WatchAction]:
        actions = super().restart(now)
        self.pending_calls.clear()
        return actions[:-1]


class NoCallAfterAnswer(ListWatch):
    def answered(self, now: float, number: int, listing: NodeList, empty: bool) -> list[WatchAction]:
        actions = super().answered(now, number, listing, empty)
        if self.phase.value == "watching" and any(isinstance(a, ApplyList) for a in actions):
            self.pending_calls.clear()
            return [a for a in actions if isinstance(a, ApplyList)]
        return actions


class IgnoresPolicy(ListWatch):
    """Makes no call after a failure, although the policy asks for one."""

    def _after_failure(self, now: float, problem: str) -> list[WatchAction]:
        actions = super()._after_failure(now, problem)
        if any(isinstance(a, ReportFailure) and not a.watched for a in actions):
            self.next_at = 1e9
        return actions


FAULTY_DAYS = (
    Day(proxies=40, all_call_ms=8_000.0, **SILENT),  # type: ignore[arg-type]
    Day(proxies=40, cuts=tuple((7_100.0, n) for n in range(40)), **SILENT),  # type: ignore[arg-type]
    Day(proxies=6, asked=False, resets=(9_000.0,), changes=(9_100.0,)),
    Day(proxies=6, asked=False, restarts=((9_100.0, 0),), changes=(9_000.0,)),
    Day(proxies=6, all_call_ms=2_000.0, moves=(9_000.0,), changes=(12_000.0, 30_000.0)),
    Day(proxies=6, all_call_ms=2_000.0, changes=(12_000.0, 13_000.0, 40_000.0), older=((12_900.0, 1),)),
    Day(proxies=6, all_call_ms=2_000.0, resets=(9_000.0,), changes=(15_000.0,)),
)


@pytest.mark.parametrize(
    "mutant",
    [
        FixedWaits,
        NeverRenews,
        RenewsAllAtOnce,
        IgnoresSecondCall,
        NoRenewalRetry,
        AcceptsOlderLists,
        SlowAfterFailure,
        SlowStart,
        LosesCallOnReload,
        NoCallAfterAnswer,
        IgnoresPolicy,
    ],
)
def test_checker_reports_faults_in_the_watch(mutant: type[ListWatch]) -> None:
    assert any(World(day, mutant).simulate().broken for day in FAULTY_DAYS)


def test_the_same_days_pass_without_a_fault() -> None:
    assert [World(day).simulate().broken for day in FAULTY_DAYS] == [[]] * len(FAULTY_DAYS)
