"""From how many balancers on each acts as one of many."""

from __future__ import annotations

import pytest

from notchflow.interface import Retune
from notchflow.policy.fleet import Fleet
from notchflow.policy.shares import many
from tests.helpers import make_balancer, make_settings


@pytest.mark.parametrize(("balancers", "expected"),
                         [(1, False), (3, False), (4, True), (40, True), (300, True)])
def test_three_see_the_fleet_in_their_own_counts_and_more_do_not(balancers: int, expected: bool) -> None:
    assert many(balancers) is expected
    assert Fleet(make_settings(balancers=balancers)).many is expected


def test_new_settings_make_one_of_many_of_one_that_was_alone() -> None:
    """Guards against a fleet that grows at SIGHUP while its proxies go on by the number they began with."""
    balancer = make_balancer(8)
    assert not balancer.fleet.many
    balancer.handle(1.0, Retune(make_settings(balancers=40)))
    assert balancer.fleet.many


@pytest.mark.parametrize("balancers", [0, -1])
def test_a_number_of_balancers_below_one_is_turned_down(balancers: int) -> None:
    with pytest.raises(ValueError, match="balancers"):
        make_settings(balancers=balancers)
