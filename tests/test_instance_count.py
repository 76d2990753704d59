"""From how many balancers on each acts as one of many."""

from __future__ import annotations

import pytest

from notchflow.interface import ListKind, Membership, Outcome, SettingsChanged, Status, Timer
from notchflow.policy.fleet import Fleet
from notchflow.policy.instance_count import many
from tests.helpers import make_balancer, make_fleet, make_request, make_settings, sends


@pytest.mark.parametrize(
    ("balancers", "expected"), [(1, False), (3, False), (4, True), (40, True), (300, True)]
)
def test_three_see_the_fleet_in_their_own_counts_and_more_do_not(balancers: int, expected: bool) -> None:
    assert many(balancers) is expected
    assert Fleet(make_settings(balancers=balancers)).many_instances is expected


def test_new_settings_make_one_of_many_of_one_that_was_alone() -> None:
    """Guards against a fleet that grows at SIGHUP while its proxies go on by the number they began with."""
    balancer = make_balancer(8)
    assert not balancer.fleet.many_instances
    balancer.handle(1.0, SettingsChanged(make_settings(balancers=40)))
    assert balancer.fleet.many_instances


@pytest.mark.parametrize("balancers", [0, -1])
def test_a_number_of_balancers_below_one_is_turned_down(balancers: int) -> None:
    with pytest.raises(ValueError, match="balancers"):
        make_settings(balancers=balancers)


def test_cold_servers_alone_are_tried_again_after_nothing_was_answered_in_time() -> None:
    """Guards against a part of nothing: cold servers that once failed, with no others, are sent to again."""
    balancer = make_balancer(0, balancers=200)
    balancer.handle(1_000.0, Membership(ListKind.FULL, make_fleet(8, ready_at_ms=1_000.0)))
    first = sends(balancer.handle(1_100.0, make_request(1, 1_100.0)))
    assert first, "nothing was asked yet: all that is at home there goes there"
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


def test_a_cold_server_is_sent_only_its_part_of_what_is_at_home_elsewhere() -> None:
    """Guards against a floor for each of many balancers: together they sent hundreds of requests at once."""
    carried, sent = 0.0003, 0
    for seed in range(230):
        balancer = make_balancer(2, balancers=230)
        fleet = balancer.fleet
        balancer.rng.seed(seed)
        balancer.handle(10_000.0, Membership(ListKind.DELTA, make_fleet(1, ready_at_ms=10_000.0)))
        cold = fleet.nodes[make_fleet(1)[0].node]
        for step in range(10):
            now = 10_000.0 + 100.0 * step
            if fleet.spare(cold, now, carried, balancer.rng.random()):
                fleet.sent(cold, now, "read", (step, 0))
                sent += 1
    bears = 230 * fleet.cold_multiple * carried * 1_000.0 * fleet.share(cold)
    assert bears / 2 < sent <= bears + 2 * bears**0.5 + 2
