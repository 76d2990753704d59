"""Real instances, relays between them, and faults: what must hold of the merged history.

A few plays in CI; with NOTCHFLOW_LONG=1 thirty drawn schedules, and each shape of partition.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any

import pytest

from notchflow.cluster.histories import format_lines
from notchflow.faults import checks
from notchflow.faults.rig import AT_THE_END_MS, SLACK_MS, Outcome, Rig
from notchflow.faults.schedule import Schedule, draw
from notchflow.tenancy.model import Limits
from standins.holds import Holds

LONG = bool(os.environ.get("NOTCHFLOW_LONG"))
SEEDS = range(1, 31) if LONG else (11,)
HELD_SEEDS = range(1_000, 1_050) if LONG else (1_005,)
HELD_SHARE = 0.005  # of the steps: some holds of 0.15 s in a play
RATE = 20.0


def play(
    folder: Path, plan: Schedule, rate: float = RATE, limits: Limits | None = None, more: str = ""
) -> Outcome:
    outcome = asyncio.run(Rig(folder, plan, rate, more, limits).play())
    assert outcome.broken == [], told(plan, outcome)
    assert served(outcome) > (0.5 if limits is None else 0.1) * outcome.asked > 0
    return outcome


def told(plan: Schedule, outcome: Outcome) -> str:
    """What is needed to see why a play failed."""
    lost = [line for line in outcome.lines if line["what"] == "lost"]
    logs = [f"{name}: {text}" for name, text in outcome.logs.items()]
    return "\n".join([plan.toml(), *format_lines(outcome.lines, 60), *format_lines(lost), *logs])


def served(outcome: Outcome) -> int:
    return sum(line["what"] == "answer" and line["status"] == 200 for line in outcome.lines)


def planned(instances: int, seconds: float, *faults: dict[str, Any]) -> Schedule:
    return Schedule.model_validate({"instances": instances, "seconds": seconds, "faults": list(faults)})


def test_deaths_and_leaves_are_known_to_all_others_in_time_and_a_pause_is_neither(tmp_path: Path) -> None:
    plan = planned(
        5,
        5.2,
        {"kind": "kill", "who": ["p2"], "at_s": 0.3, "for_s": 3.0},
        {"kind": "pause", "who": ["p4"], "at_s": 0.5, "for_s": 0.3},
        {"kind": "restart", "who": ["p3"], "at_s": 4.0},
    )
    outcome = play(tmp_path, plan)
    ((told, _),) = checks.deaths(outcome.lines)
    assert told.keys() == {"p1", "p3", "p4", "p5"}
    assert checks.detected(outcome.lines, outcome.bounds, SLACK_MS) == []
    assert checks.nobody_buried_alive(outcome.lines) == [], "a pause of 300 ms is no death"
    left = {line["who"] for line in outcome.lines if line["what"] == "left" and line["subject"] == "p3"}
    assert left == {"p1", "p2", "p4", "p5"}
    assert not [line for line in outcome.lines if line["what"] == "dead" and line["subject"] == "p3"]


def test_of_two_instances_of_one_name_the_newer_one_takes_requests(tmp_path: Path) -> None:
    """The folder is copied to a second place, and both run; when the newer one is gone the older one, which
    has learned of it, begins a life after that one's."""
    outcome = play(tmp_path, planned(3, 5.0, {"kind": "twin", "who": ["p2"], "at_s": 0.3, "for_s": 4.5}))
    kinds = {line["kind"] for line in outcome.lines if line["what"] == "disagree"}
    assert {"folder", "two-instances"} <= kinds
    first = next(line for line in outcome.lines if line["what"] == "contested")
    assert first["who"] == "p2"
    taken = [line for line in outcome.lines if line["what"] == "takes" and line["who"] == "p2"]
    assert [line["takes"] for line in taken[:3]] == [True, True, False] and taken[2]["pid"] == taken[0]["pid"]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_drawn_schedule_holds_and_so_does_a_limit_that_all_share(tmp_path: Path, seed: int) -> None:
    """Each of the instances is asked 30 times a second; the tenant may 50 times in all."""
    plan = draw(seed, 5 if LONG else 4, 10.0 if LONG else 5.0)
    outcome = play(tmp_path, plan, 30.0, Limits(rate_per_s=50.0, burst=25.0))
    assert served(outcome) > 0.5 * 50.0 * plan.seconds


def test_who_can_write_nothing_serves_reads_and_lets_no_payment_run(tmp_path: Path) -> None:
    """A payment's intent must be durable first; one that cannot be is refused, and did not run."""
    plan = planned(3, 3.5, {"kind": "disk", "who": ["p2"], "at_s": 1.0, "for_s": 2.0})
    outcome = play(tmp_path, plan, 40.0, more="[effects]")
    begun, ended = (
        next(line["t"] for line in outcome.lines if line["what"] == what and "kind" in line)
        for what in ("fault", "healed")
    )
    settled = begun + 200 * checks.MS  # what was asked for before is answered
    during = [line for line in outcome.lines if settled < line["t"] < ended]
    assert [
        line
        for line in during
        if line["what"] == "answer" and line["instance"] == "p2" and line["status"] == 200
    ], "reads are served"
    paid = {line["key"].split("/")[-1] for line in during if line["what"] == "ran" and line["unsafe"]}
    assert paid and not [key for key in paid if key.startswith("p2-")]
    assert {line["status"] for line in during if line["what"] == "answer"} == {200, 503}


@pytest.mark.parametrize("seed", HELD_SEEDS)
def test_nothing_is_lost_where_clients_and_nodes_are_held_up(tmp_path: Path, seed: int) -> None:
    """Guards against requests lost to a connection that ends between a client's look at it and its write."""
    plan = planned(3, 3.5, {"kind": "disk", "who": ["p2"], "at_s": 1.0, "for_s": 2.0})
    outcome = asyncio.run(Rig(tmp_path, plan, RATE, "[effects]", hold=Holds(seed, HELD_SHARE)).play())
    assert checks.answered_once(outcome.lines, AT_THE_END_MS) == [], told(plan, outcome)


@pytest.mark.skipif(not LONG, reason="what is shown there is that the check is no empty one")
def test_limits_of_each_instance_by_itself_are_found_to_be_over(tmp_path: Path) -> None:
    limits = Limits(rate_per_s=50.0, burst=25.0)
    outcome = asyncio.run(Rig(tmp_path, planned(4, 6.0), 30.0, 'limits = "instance"', limits).play())
    assert {broken.rule for broken in outcome.broken} == {"within-limit"}


@pytest.mark.skipif(not LONG, reason="minutes: NOTCHFLOW_LONG=1")
@pytest.mark.parametrize(
    "faults",
    [
        [
            {"kind": "restart", "who": [f"p{n + 1}" for n in range(8)], "at_s": 0.5},
            {"kind": "flap", "period_s": 0.6, "from": ["p1"], "to": ["p5"], "at_s": 0.5, "for_s": 24.0},
        ],
        [
            {
                "kind": "islands",
                "groups": [["p1", "p2"], ["p3", "p4", "p5"], ["p6", "p7", "p8"]],
                "at_s": 0.5,
                "for_s": 6.0,
            },
            {
                "kind": "islands",
                "groups": [["p1", "p2", "p3", "p4", "p5"], ["p6", "p7", "p8"]],
                "at_s": 6.4,
                "for_s": 6.0,
            },
        ],
    ],
    ids=["rolling restart, a link flaps", "islands heal in two steps"],
)
def test_a_long_trouble_heals(tmp_path: Path, faults: list[dict[str, Any]]) -> None:
    play(tmp_path, planned(8, 25.0, *faults))


@pytest.mark.skipif(not LONG, reason="minutes: NOTCHFLOW_LONG=1")
@pytest.mark.parametrize(
    "fault",
    [
        {"kind": "islands", "groups": [["p1", "p2", "p3", "p4"], ["p5", "p6", "p7", "p8"]]},
        {"kind": "islands", "groups": [["p1", "p2"], ["p3", "p4", "p5"], ["p6", "p7", "p8"]]},
        {"kind": "bridge", "middle": ["p2"], "sides": [["p1", "p3", "p4"], ["p5", "p6", "p7", "p8"]]},
        {"kind": "cut", "from": ["p1"], "to": ["*"]},
        {"kind": "cut", "from": ["*"], "to": ["p1"]},
        {"kind": "flap", "period_s": 1.0, "from": ["p1"], "to": ["p2", "p3"]},
        {"kind": "kill", "who": ["p1", "p2", "p3", "p4"]},
        {"kind": "disk", "who": ["p1", "p2", "p3"]},
        {"kind": "disk", "who": ["p1", "p2"], "room_kb": 64},
        {"kind": "pause", "who": ["p1", "p2"]},
        {"kind": "pause", "who": ["p1", "p2"], "for_s": 1.0},
    ],
    ids=lambda fault: str(fault["kind"]),
)
def test_each_shape_of_fault_heals(tmp_path: Path, fault: dict[str, Any]) -> None:
    play(tmp_path, planned(8, 9.0, {"at_s": 0.5, "for_s": 7.0} | fault))
