"""Real instances with faults on the links between them: checks of the merged history.

A few schedules in CI; with NOTCHFLOW_LONG=1 thirty drawn ones, and each kind of partition.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any

import pytest

from notchflow.cluster.histories import format_lines
from notchflow.faults import checks
from notchflow.faults.rig import CONNECTION_END_SLACK_MS, SLACK_MS, Outcome, Rig
from notchflow.faults.schedule import Schedule, draw
from notchflow.tenancy.model import Limits
from standins.stalls import RandomStalls

LONG = bool(os.environ.get("NOTCHFLOW_LONG"))
SEEDS = range(1, 31) if LONG else (11,)
STALL_SEEDS = range(1_000, 1_050) if LONG else (1_005,)
STALL_PROBABILITY = 0.005  # of the steps: a few stalls of 0.15 s in each play
RATE = 20.0


def play(
    folder: Path, plan: Schedule, rate: float = RATE, limits: Limits | None = None, extra_settings: str = ""
) -> Outcome:
    outcome = asyncio.run(Rig(folder, plan, rate, extra_settings, limits).play())
    assert outcome.violations == [], describe(plan, outcome)
    assert served(outcome) > (0.5 if limits is None else 0.1) * outcome.request_count > 0
    return outcome


def describe(plan: Schedule, outcome: Outcome) -> str:
    """Schedule, history and logs of a play that failed."""
    lost = [line for line in outcome.lines if line["what"] == "lost"]
    logs = [f"{name}: {text}" for name, text in outcome.logs.items()]
    return "\n".join([plan.toml(), *format_lines(outcome.lines, 60), *format_lines(lost), *logs])


def served(outcome: Outcome) -> int:
    return sum(line["what"] == "answer" and line["status"] == 200 for line in outcome.lines)


def make_schedule(instances: int, seconds: float, *faults: dict[str, Any]) -> Schedule:
    return Schedule.model_validate({"instances": instances, "seconds": seconds, "faults": list(faults)})


def test_deaths_and_leaves_are_detected_in_time_and_a_pause_is_neither(tmp_path: Path) -> None:
    plan = make_schedule(
        5,
        5.2,
        {"kind": "kill", "who": ["p2"], "at_s": 0.3, "for_s": 3.0},
        {"kind": "pause", "who": ["p4"], "at_s": 0.5, "for_s": 0.3},
        {"kind": "restart", "who": ["p3"], "at_s": 4.0},
    )
    outcome = play(tmp_path, plan)
    ((delays, _),) = checks.detection_delays(outcome.lines)
    assert delays.keys() == {"p1", "p3", "p4", "p5"}
    assert checks.check_detection(outcome.lines, outcome.bounds, SLACK_MS) == []
    assert checks.check_no_false_deaths(outcome.lines) == [], "a member paused for 300 ms was declared dead"
    left = {line["who"] for line in outcome.lines if line["what"] == "left" and line["subject"] == "p3"}
    assert left == {"p1", "p2", "p4", "p5"}
    assert not [line for line in outcome.lines if line["what"] == "dead" and line["subject"] == "p3"]


def test_of_two_instances_of_one_name_the_newer_one_accepts_requests(tmp_path: Path) -> None:
    """Two instances run on copies of one folder. Once the newer one has ended, the older one, which knows of
    it, starts an incarnation that is newer still."""
    outcome = play(
        tmp_path, make_schedule(3, 5.0, {"kind": "twin", "who": ["p2"], "at_s": 0.3, "for_s": 4.5})
    )
    kinds = {line["kind"] for line in outcome.lines if line["what"] == "disagree"}
    assert {"folder", "two-instances"} <= kinds
    first = next(line for line in outcome.lines if line["what"] == "contested")
    assert first["who"] == "p2"
    taken = [line for line in outcome.lines if line["what"] == "takes" and line["who"] == "p2"]
    assert [line["takes"] for line in taken[:3]] == [True, True, False] and taken[2]["pid"] == taken[0]["pid"]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_drawn_schedule_violates_no_rule_and_no_shared_limit(tmp_path: Path, seed: int) -> None:
    """Each instance gets 30 requests a second; the tenant's limit is 50 for all together."""
    plan = draw(seed, 5 if LONG else 4, 10.0 if LONG else 5.0)
    outcome = play(tmp_path, plan, 30.0, Limits(rate_per_s=50.0, burst=25.0))
    assert served(outcome) > 0.5 * 50.0 * plan.seconds


def test_an_instance_that_cannot_write_serves_reads_and_runs_no_payment(tmp_path: Path) -> None:
    """A payment runs only after its intent is durable; if that fails, it is rejected and does not run."""
    plan = make_schedule(3, 3.5, {"kind": "disk", "who": ["p2"], "at_s": 1.0, "for_s": 2.0})
    outcome = play(tmp_path, plan, 40.0, extra_settings="[effects]")
    began_at, ended_at = (
        next(line["t"] for line in outcome.lines if line["what"] == what and "kind" in line)
        for what in ("fault", "healed")
    )
    settled_at = began_at + 200 * checks.NS_PER_MS  # earlier requests are answered by then
    during = [line for line in outcome.lines if settled_at < line["t"] < ended_at]
    assert [
        line
        for line in during
        if line["what"] == "answer" and line["instance"] == "p2" and line["status"] == 200
    ], "no read was served"
    paid = {line["key"].split("/")[-1] for line in during if line["what"] == "ran" and line["unsafe"]}
    assert paid and not [key for key in paid if key.startswith("p2-")]
    assert {line["status"] for line in during if line["what"] == "answer"} == {200, 503}


@pytest.mark.parametrize("seed", STALL_SEEDS)
def test_no_request_is_lost_where_clients_and_nodes_stall(tmp_path: Path, seed: int) -> None:
    """Guards against requests lost to a connection that ends between a client's check of it and its write."""
    plan = make_schedule(3, 3.5, {"kind": "disk", "who": ["p2"], "at_s": 1.0, "for_s": 2.0})
    outcome = asyncio.run(
        Rig(tmp_path, plan, RATE, "[effects]", stall=RandomStalls(seed, STALL_PROBABILITY)).play()
    )
    assert checks.check_answered_once(outcome.lines, CONNECTION_END_SLACK_MS) == [], describe(plan, outcome)


@pytest.mark.skipif(not LONG, reason="shows that the check can fail; NOTCHFLOW_LONG=1")
def test_separate_limits_of_each_instance_exceed_the_shared_limit(tmp_path: Path) -> None:
    limits = Limits(rate_per_s=50.0, burst=25.0)
    outcome = asyncio.run(Rig(tmp_path, make_schedule(4, 6.0), 30.0, 'limits = "instance"', limits).play())
    assert {broken.rule for broken in outcome.violations} == {"within-limit"}


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
def test_a_fleet_converges_after_long_faults(tmp_path: Path, faults: list[dict[str, Any]]) -> None:
    play(tmp_path, make_schedule(8, 25.0, *faults))


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
def test_a_fleet_converges_after_each_kind_of_fault(tmp_path: Path, fault: dict[str, Any]) -> None:
    play(tmp_path, make_schedule(8, 9.0, {"at_s": 0.5, "for_s": 7.0} | fault))
