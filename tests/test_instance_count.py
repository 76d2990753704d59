"""Decisions that depend on the number of instances."""

from __future__ import annotations

import pytest

from notchflow.interface import ListKind, Membership, Outcome, SettingsChanged, Status, Timer
from notchflow.policy.fleet import Fleet
from notchflow.policy.instance_count import has_many_instances
from tests.helpers import make_balancer, make_fleet, make_request, make_settings, sends


@pytest.mark.parametrize(
    ("balancers", "expected"), [(1, False), (3, False), (4, True), (40, True), (300, True)]
)
def test_more_than_three_instances_are_many(balancers: int, expected: bool) -> None:
    assert has_many_instances(balancers) is expected
    assert Fleet(make_settings(balancers=balancers)).many_instances is expected


def test_new_settings_change_the_number_of_instances() -> None:
    """Guards against instances that still assume their initial number after a reload by SIGHUP."""
    balancer = make_balancer(8)
    assert not balancer.fleet.many_instances
    balancer.handle(1.0, SettingsChanged(make_settings(balancers=40)))
    assert balancer.fleet.many_instances


@pytest.mark.parametrize("balancers", [0, -1])
def test_a_number_of_balancers_below_one_is_rejected(balancers: int) -> None:
    with pytest.raises(ValueError, match="balancers"):
        make_settings(balancers=balancers)


def test_cold_nodes_are_retried_after_none_answered_in_time() -> None:
    """Guards against a fleet of cold nodes only that gets no more requests once all of them have failed: the
    share admitted must not be computed from zero answers."""
    balancer = make_balancer(0, balancers=200)
    balancer.handle(1_000.0, Membership(ListKind.FULL, make_fleet(8, ready_at_ms=1_000.0)))
    first = sends(balancer.handle(1_100.0, make_request(1, 1_100.0)))
    assert first, "no request was counted yet, so all requests with a home there are admitted"
    for _ in range(60):
        balancer.throttle.count(False)
    balancer.handle(1_200.0, Outcome(1, 0, first[0].node, Status.TIMEOUT, 100.0, closed=True))
    assert not any(
        sends(balancer.handle(1_300.0, make_request(number, 1_300.0))) for number in range(100, 110)
    )
    for step in range(1, 25):
        balancer.handle(1_300.0 + 250.0 * step, Timer("sample"))
    later = 7_500.0
    assert any(sends(balancer.handle(later, make_request(number, later))) for number in range(200, 210))


def test_all_instances_together_respect_the_token_budget_of_a_cold_node() -> None:
    """Guards against a minimum per instance: many instances together then send hundreds of requests at
    once."""
    in_time_rate, sent = 0.0003, 0
    for seed in range(230):
        balancer = make_balancer(2, balancers=230)
        fleet = balancer.fleet
        balancer.rng.seed(seed)
        balancer.handle(10_000.0, Membership(ListKind.DELTA, make_fleet(1, ready_at_ms=10_000.0)))
        cold = fleet.nodes[make_fleet(1)[0].node]
        for step in range(10):
            now = 10_000.0 + 100.0 * step
            if fleet.has_cold_token(cold, now, in_time_rate, balancer.rng.random()):
                fleet.attempt_sent(cold, now, "read", (step, 0))
                sent += 1
    capacity = 230 * fleet.cold_multiple * in_time_rate * 1_000.0 * fleet.share(cold)
    assert capacity / 2 < sent <= capacity + 2 * capacity**0.5 + 2
