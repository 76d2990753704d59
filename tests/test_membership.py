"""What a list of nodes, or a change to it, must not make the policy forget."""

from __future__ import annotations

from dataclasses import replace

import pytest

from notchflow.interface import ListKind, Member, Membership, Outcome, State, Status
from notchflow.policy.balancer import Balancer
from tests.helpers import RULES, make_balancer, make_fleet, make_key, make_request, make_settings, sends

ABSENT = "absent from a whole list"
REMOVED = "removed, by an entry without zone and cell"
MOVED = "listed in another zone and cell"
WAYS = (ABSENT, REMOVED, MOVED)


def forget(balancer: Balancer, now: float, node: int, way: str) -> None:
    """Makes the node lose its zone and cell in one of the ways."""
    others = tuple(m for m in make_fleet(8) if m.node != node)
    if way == ABSENT:
        balancer.handle(now, Membership(ListKind.FULL, others))
    elif way == REMOVED:
        balancer.handle(now, Membership(ListKind.DELTA, (Member(node, State.GONE),)))
    else:
        moved = Member(node, State.DRAINING, zone="c", cell=9)
        balancer.handle(now, Membership(ListKind.DELTA, (moved,)))


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("cls", ["celled", "zoned"])
def test_a_keyed_request_stays_in_the_group_of_a_node_that_was_removed(cls: str, way: str) -> None:
    """Guards against a keyed write that runs again where its key is not known."""
    members = {m.node: m for m in make_fleet(8)}
    for number in range(40):
        balancer = make_balancer(8)
        send = sends(balancer.handle(0, make_request(1, 0, cls, make_key(number))))[0]
        first = members[send.node]
        forget(balancer, 10, first.node, way)
        for repeat in sends(balancer.handle(20, Outcome(1, 0, first.node, Status.RESET, 20))):
            second = members[repeat.node]
            assert second.zone == first.zone
            assert cls == "zoned" or second.cell == first.cell


def test_a_cold_node_that_a_list_left_out_does_not_get_its_budget_anew() -> None:
    """Guards against overloading a cold node by a list that lacks it for a moment."""
    settings = make_settings(rules=replace(RULES, fall_ms=1_000.0))
    balancer = Balancer(settings, 11, -1e9)
    cold = Member(5, ready_at_ms=1.0)
    fleet = make_fleet(4)
    balancer.handle(2, Membership(ListKind.FULL, (*fleet, cold)))
    key = next(make_key(i) for i in range(5000) if balancer.fleet.order(make_key(i))[0].id == 5)
    counts = []
    number = 0
    for now in (10.0, 30.0):
        sent = []
        for _ in range(50):
            number += 1
            sent += sends(balancer.handle(now, make_request(number, now, key=key)))
        for send in sent:
            balancer.handle(now + 5, Outcome(send.id, 0, send.node, Status.OK, 5.0, closed=True))
        counts.append(sum(send.node == 5 for send in sent))
        balancer.handle(now + 6, Membership(ListKind.FULL, fleet))
        balancer.handle(now + 7, Membership(ListKind.FULL, (*fleet, cold)))
    assert counts[0] > 0 and counts[1] == 0


def test_a_node_that_is_gone_is_forgotten_in_time() -> None:
    """Guards against nodes that are kept for ever."""
    balancer = Balancer(make_settings(), 11, -1e9)
    cold = Member(5, ready_at_ms=1.0)
    balancer.handle(2, Membership(ListKind.FULL, (cold,)))
    for send in sends(balancer.handle(3, make_request(1, 3))):
        balancer.handle(4, Outcome(send.id, 0, send.node, Status.OK, 1.0, closed=True))
    balancer.handle(5, Membership(ListKind.FULL, make_fleet(2)))
    assert 5 in balancer.fleet.nodes
    balancer.handle(5 + RULES.fall_ms, Membership(ListKind.FULL, make_fleet(2)))
    assert 5 not in balancer.fleet.nodes
