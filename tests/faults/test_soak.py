"""Soak test: the real program under random faults violates no rule, and the checker finds each violation."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from benchmarks.soak import play
from benchmarks.soak_checks import Asked, Departure, Heard, Left, Record, Run, Stopped, check

SPAN_S = 6.0
SEEDS = (1, 8)  # the second with many idle clients
LEFT_SPAN_S = 10.0
LEFT_SEED = 424

ANSWERED = Asked("a", False, True, 1.0, 0.3, 200, 1.2)
UNANSWERED = Asked("b", False, False, 1.0, 0.3, None, 1.1)
PAID = Asked("c", True, False, 1.0, 0.3, 200, 1.2)
VALID = Record(
    grace_s=0.4,
    asked=[ANSWERED, UNANSWERED, PAID],
    runs=[Run("a", "s-0", 1.1), Run("c", "s-1", 1.1), Run("a", "s-1", 1.15)],
    heard=[Heard("a", 1.05), Heard("c", 1.05), Heard("c", 1.19)],
    left=[Left("c", Departure.HALF_CLOSE, 1.1)],
    stopped=[Stopped("n0", 2.0, 3.1, 0)],
    told={"s-0": 0.9},
)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_violated_under_signals_stalls_and_failing_nodes(seed: int) -> None:
    """Guards against requests lost, run twice or sent to a draining node as processes start and stop."""
    record, broken = asyncio.run(play(seed, SPAN_S))
    assert broken == []
    assert len(record.asked) > 500 and len(record.stopped) >= 3
    assert {one.status for one in record.asked} >= {200}


def test_no_attempt_begins_long_after_its_client_left_as_processes_stop_and_go_on() -> None:
    """Guards against attempts that start over 0.1 s after their client has left during a stall."""
    _, broken = asyncio.run(play(LEFT_SEED, LEFT_SPAN_S))
    assert broken == []


@pytest.mark.parametrize(
    ("rule", "record"),
    [
        ("answer", replace(VALID, asked=[replace(ANSWERED, ended_at=1.9)])),
        ("answer", replace(VALID, asked=[replace(UNANSWERED, id="a")])),
        ("answer", replace(VALID, asked=[replace(UNANSWERED, first=True)])),
        ("answer", replace(VALID, asked=[replace(UNANSWERED, ended_at=1.5)])),
        ("effect", replace(VALID, runs=[*VALID.runs, Run("c", "s-2", 1.2)])),
        ("gone", replace(VALID, heard=[*VALID.heard, Heard("c", 1.25)])),
        ("answer", replace(VALID, left=[], asked=[replace(ANSWERED, status=None)])),
        (
            "answer",
            replace(
                VALID,
                left=[Left("a", Departure.HALF_CLOSE, 1.1)],
                asked=[replace(ANSWERED, status=None)],
            ),
        ),
        ("drain", replace(VALID, runs=[Run("a", "s-0", 1.5)])),
        ("end", replace(VALID, stopped=[Stopped("n0", 2.0, 3.7, None)])),
        ("end", replace(VALID, stopped=[Stopped("n0", 2.0, 3.0, 1)])),
    ],
)
def test_the_checker_finds_the_one_event_that_violates_a_rule(rule: str, record: Record) -> None:
    assert check(VALID) == []
    assert check(replace(VALID, crowd=True, asked=[replace(UNANSWERED, first=True)])) == []
    gone = replace(VALID, left=[Left("a", Departure.CLOSE, 1.1)], asked=[replace(ANSWERED, status=None)])
    assert check(gone) == []
    assert [one.rule for one in check(record)] == [rule]
