"""What kinds of servers can do: how soon a balancer of many knows, and how sure it is."""

from __future__ import annotations

import math
import random

import pytest

from benchmarks.kinds import SAME, TWO, play
from notchflow.interface import ListKind, Member, Membership, SettingsChanged
from notchflow.policy.kinds import PRIOR_VAR, Beliefs, Steps, select_estimator
from tests.helpers import make_balancer, make_settings


def hear(beliefs: Beliefs, seconds: int, slow: float, seed: int = 1) -> None:
    rng = random.Random(seed)
    for second in range(seconds):
        for _ in range(10):
            for kind, mean in (("x", 1 / slow), ("y", slow)):
                beliefs.add_answer(kind, rng.expovariate(1 / mean), second * 1000.0 + 500)
        beliefs.update_weights(second * 1000.0 + 1000)


def test_two_seconds_at_a_trickle_tell_kinds_apart() -> None:
    beliefs = Beliefs()
    hear(beliefs, 2, 2.0)
    assert beliefs.weights["x"] > 1.9 * beliefs.weights["y"]
    assert beliefs.beliefs["x"].var < 0.3 * PRIOR_VAR


def test_it_is_surer_the_more_it_hears_and_less_sure_while_it_hears_nothing() -> None:
    beliefs = Beliefs()
    variances = []
    for seconds in (1, 3, 9):
        beliefs = Beliefs()
        hear(beliefs, seconds, 1.0)
        variances.append(beliefs.beliefs["x"].var)
    assert variances == sorted(variances, reverse=True)
    beliefs.update_weights(60_000.0)
    assert beliefs.beliefs["x"].var > variances[-1]


def test_what_was_sent_under_other_weights_tells_nothing_of_these() -> None:
    beliefs = Beliefs()
    hear(beliefs, 2, 2.0)
    before = beliefs.weights
    for _ in range(50):
        beliefs.add_answer("x", 5.0, beliefs.changed_at - 1)
        beliefs.add_answer("y", 0.2, beliefs.changed_at - 1)
    assert not beliefs.update_weights(3_000.0) and beliefs.weights == before


def test_it_knows_sooner_than_steps_do_and_leaves_equal_kinds_nearly_alone() -> None:
    """The benchmark's worlds at a load of 0.8 and ten answers a second (benchmarks/kinds.py has them all)."""
    times = {
        made: sorted(play(made(), TWO, 10, 0.8, seed)[0] for seed in range(15)) for made in (Steps, Beliefs)
    }
    assert times[Beliefs][7] < times[Steps][7] and times[Beliefs][13] < times[Steps][13]
    moved = [play(Beliefs(), SAME, 10, 0.5, seed)[1] for seed in range(15)]
    assert sum(moved) / len(moved) < 0.25


def test_a_successor_goes_on_with_the_belief_and_a_spoilt_one_is_turned_down() -> None:
    old, new = Beliefs(), Beliefs()
    hear(old, 3, 2.0)
    new.take(old.told())
    assert new.weights == old.weights
    assert {k: (b.mean, b.var) for k, b in new.beliefs.items()} == {
        k: (b.mean, b.var) for k, b in old.beliefs.items()
    }
    for bad in ([float("nan"), 0.1], [0.0, 0.0], [99.0, 0.1], [0.0, "x"], [0.0]):
        with pytest.raises((ValueError, TypeError)):
            new.take({"kinds": {}, "beliefs": {"x": bad}})
    assert new.weights == old.weights


def test_of_a_kind_that_nothing_is_known_of_a_part_is_counted_and_nearly_all_once_it_is_known() -> None:
    beliefs = Beliefs()
    assert beliefs.confidence("x") == pytest.approx(math.exp(-3 * PRIOR_VAR))
    hear(beliefs, 9, 1.0)
    assert beliefs.confidence("x") > 0.9


@pytest.mark.parametrize(
    ("balancers", "kinds", "confidence"), [(8, "xx", 1.0), (8, "xy", 0.223), (3, "xy", 1.0)]
)
def test_a_fleet_of_one_kind_has_nothing_to_learn_of_it(
    balancers: int, kinds: str, confidence: float
) -> None:
    balancer = make_balancer(0, balancers=balancers)
    members = tuple(Member(number, kind=kind) for number, kind in enumerate(kinds))
    balancer.handle(0.0, Membership(ListKind.FULL, members))
    assert balancer.fleet.confidence(balancer.fleet.ready[0]) == pytest.approx(confidence, abs=0.001)


def test_a_fleet_that_grows_past_three_proxies_keeps_its_weights() -> None:
    balancer = make_balancer(8)
    assert isinstance(balancer.fleet.kinds, Steps)
    balancer.fleet.kinds.weights = {"x": 2.0, "y": 0.5}
    balancer.handle(1.0, SettingsChanged(make_settings(balancers=40)))
    assert isinstance(balancer.fleet.kinds, Beliefs)
    assert balancer.fleet.kinds.weights == pytest.approx({"x": 2.0, "y": 0.5})
    known = balancer.fleet.kinds
    assert select_estimator(True, known) is known
