"""Estimation of the capacity of each kind of node: its speed, its confidence and its export."""

from __future__ import annotations

import math
import random

import pytest

from benchmarks.kinds import SAME, TWO, play
from notchflow.interface import ListKind, Member, Membership, SettingsChanged
from notchflow.policy.kinds import PRIOR_VAR, Beliefs, Steps, select_estimator
from tests.helpers import make_balancer, make_settings


def feed(beliefs: Beliefs, seconds: int, factor: float, seed: int = 1) -> None:
    rng = random.Random(seed)
    for second in range(seconds):
        for _ in range(10):
            for kind, mean in (("x", 1 / factor), ("y", factor)):
                beliefs.add_answer(kind, rng.expovariate(1 / mean), second * 1000.0 + 500)
        beliefs.update_weights(second * 1000.0 + 1000)


def test_two_seconds_of_low_traffic_distinguish_kinds() -> None:
    beliefs = Beliefs()
    feed(beliefs, 2, 2.0)
    assert beliefs.weights["x"] > 1.9 * beliefs.weights["y"]
    assert beliefs.beliefs["x"].var < 0.3 * PRIOR_VAR


def test_variance_falls_with_answers_and_rises_without_them() -> None:
    beliefs = Beliefs()
    variances = []
    for seconds in (1, 3, 9):
        beliefs = Beliefs()
        feed(beliefs, seconds, 1.0)
        variances.append(beliefs.beliefs["x"].var)
    assert variances == sorted(variances, reverse=True)
    beliefs.update_weights(60_000.0)
    assert beliefs.beliefs["x"].var > variances[-1]


def test_answers_sent_under_earlier_weights_are_ignored() -> None:
    beliefs = Beliefs()
    feed(beliefs, 2, 2.0)
    before = beliefs.weights
    for _ in range(50):
        beliefs.add_answer("x", 5.0, beliefs.changed_at - 1)
        beliefs.add_answer("y", 0.2, beliefs.changed_at - 1)
    assert not beliefs.update_weights(3_000.0) and beliefs.weights == before


def test_beliefs_converge_sooner_than_steps_and_hardly_move_equal_kinds() -> None:
    """Uses one scenario of benchmarks/kinds.py: a load of 0.8 and ten answers per second."""
    times = {
        estimator: sorted(play(estimator(), TWO, 10, 0.8, seed)[0] for seed in range(15))
        for estimator in (Steps, Beliefs)
    }
    assert times[Beliefs][7] < times[Steps][7] and times[Beliefs][13] < times[Steps][13]
    moved = [play(Beliefs(), SAME, 10, 0.5, seed)[1] for seed in range(15)]
    assert sum(moved) / len(moved) < 0.25


def test_exported_beliefs_are_restored_and_malformed_ones_are_rejected() -> None:
    old, new = Beliefs(), Beliefs()
    feed(old, 3, 2.0)
    new.restore_state(old.export_state())
    assert new.weights == old.weights
    assert {k: (b.mean, b.var) for k, b in new.beliefs.items()} == {
        k: (b.mean, b.var) for k, b in old.beliefs.items()
    }
    for bad in ([float("nan"), 0.1], [0.0, 0.0], [99.0, 0.1], [0.0, "x"], [0.0]):
        with pytest.raises((ValueError, TypeError)):
            new.restore_state({"kinds": {}, "beliefs": {"x": bad}})
    assert new.weights == old.weights


def test_confidence_is_partial_for_an_unknown_kind_and_high_for_a_known_one() -> None:
    beliefs = Beliefs()
    assert beliefs.confidence("x") == pytest.approx(math.exp(-3 * PRIOR_VAR))
    feed(beliefs, 9, 1.0)
    assert beliefs.confidence("x") > 0.9


@pytest.mark.parametrize(
    ("balancers", "kinds", "confidence"), [(8, "xx", 1.0), (8, "xy", 0.223), (3, "xy", 1.0)]
)
def test_a_single_kind_needs_no_estimation(balancers: int, kinds: str, confidence: float) -> None:
    balancer = make_balancer(0, balancers=balancers)
    members = tuple(Member(number, kind=kind) for number, kind in enumerate(kinds))
    balancer.handle(0.0, Membership(ListKind.FULL, members))
    assert balancer.fleet.confidence(balancer.fleet.ready[0]) == pytest.approx(confidence, abs=0.001)


def test_weights_are_kept_when_the_number_of_instances_exceeds_three() -> None:
    balancer = make_balancer(8)
    assert isinstance(balancer.fleet.kinds, Steps)
    balancer.fleet.kinds.weights = {"x": 2.0, "y": 0.5}
    balancer.handle(1.0, SettingsChanged(make_settings(balancers=40)))
    assert isinstance(balancer.fleet.kinds, Beliefs)
    assert balancer.fleet.kinds.weights == pytest.approx({"x": 2.0, "y": 0.5})
    known = balancer.fleet.kinds
    assert select_estimator(True, known) is known
