"""The simulator itself: seeds, queues, cold nodes, and detection of rule violations."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import pytest

from notchflow.emulator.cache_node import CacheNode, NodeStatus, Origin
from notchflow.emulator.deciders import DECIDERS, BaselineDecider, RandomChoice
from notchflow.emulator.engine import Draws, Simulator, Streams
from notchflow.emulator.spec import RULES, Day, Event, Fleet, Kind, Load
from notchflow.emulator.world import World
from notchflow.interface import Action, Member, Membership, Outcome, Request, Send, Status
from notchflow.interface import Event as DeciderEvent

SMALL = Day(fleet=Fleet(boxes=8, proxies=6), load=Load(load=0.4), length=3_000.0)


def test_events_at_equal_times_keep_their_order_and_past_times_count_as_now() -> None:
    simulator, seen = Simulator(), list[int]()
    simulator.at(5, seen.append, 1)
    simulator.at(5, seen.append, 2)
    simulator.at(3, lambda: simulator.at(1, seen.append, 0))
    simulator.run(10)
    assert seen == [0, 1, 2] and simulator.now == 10


def test_streams_are_the_same_for_a_seed_and_differ_by_name() -> None:
    work, repeated, other = Streams(7).named("work"), Streams(7).named("work"), Streams(7).named("clients")
    first = work.random(5).tolist()
    assert first == repeated.random(5).tolist() != other.random(5).tolist()
    assert Streams(8).named("work").random(5).tolist() != first
    numbers = Draws(lambda n: Streams(7).named("work").random(n))
    assert [numbers() for _ in range(5)] == first


def new_node(started_at: float = 0.0) -> tuple[Simulator, CacheNode]:
    simulator, fleet = Simulator(), Fleet()
    origin = Origin(simulator, fleet, Draws(lambda n: Streams(1).named("o").exponential(1.0, n)))
    constant = Draws(lambda n: Streams(1).named("c").uniform(1.0, 1.0, n))
    kind = Kind("k", 2, 2.0, queue_per_core=3)
    return simulator, CacheNode(1, kind, "a", fleet, RULES, simulator, origin, constant, started_at)


def submit_write(node: CacheNode) -> None:
    node.submit("k", True, lambda status, hit: None)


def test_node_runs_one_request_per_core_and_rejects_beyond_its_queue() -> None:
    simulator, node = new_node()
    node.cached_keys["k"] = None
    outcomes: list[tuple[float, Status]] = []
    for _ in range(10):
        node.submit("k", False, lambda status, hit: outcomes.append((simulator.now, status)))
    assert [s for _, s in outcomes] == [Status.FULL] * 2, "two cores and six queue places"
    simulator.run(1_000)
    assert [at for at, s in outcomes if s is Status.OK] == [20.0, 20.0, 40.0, 40.0, 60.0, 60.0, 80.0, 80.0]


def test_concurrent_misses_of_a_key_share_one_fetch() -> None:
    simulator, node = new_node()
    outcomes: list[Status] = []
    for _ in range(3):
        node.submit("k", False, lambda status, hit: outcomes.append(status))
    simulator.run(5_000)
    assert outcomes == [Status.OK] * 3 and node.origin.fetches == 1 and node.misses == 3
    node.submit("k", False, lambda status, hit: outcomes.append(status))
    assert node.hits == 1


def test_overloaded_cold_node_fails_for_good_and_a_warm_one_only_queues() -> None:
    for started_at, fails in ((1.0, True), (0.0, False)):
        simulator, node = new_node(started_at=started_at)
        write = partial(submit_write, node)
        for n in range(200):
            simulator.at(1.0 + 4 * n, write)
        simulator.run(900)
        assert (node.overloaded_at is not None) is fails and (node.state is NodeStatus.GONE) is fails
        assert (node.peak_overload > 1) is fails


def test_a_day_is_reproducible_and_its_clients_are_the_same_for_every_decider() -> None:
    ledger, repeated = World(SMALL).simulate(), World(SMALL).simulate()
    assert ledger.seconds == repeated.seconds and ledger.latencies == repeated.latencies
    other = World(SMALL, DECIDERS["random"]).simulate()
    assert other.first_attempts == ledger.first_attempts
    assert World(replace(SMALL, seed=2)).simulate().latencies != ledger.latencies


def test_no_decider_breaks_a_rule_on_a_quiet_day_and_every_request_is_accounted_for() -> None:
    for name, make in DECIDERS.items():
        ledger = World(replace(SMALL, load=Load(load=0.1, retries=0)), make).simulate()
        assert ledger.broken == [], name
        total = ledger.total()
        ended = total.in_time + total.late + total.refused + total.failed
        assert total.offered == ledger.first_attempts == ended
        assert total.in_time > 0.9 * total.offered, name


class NeverAnswers(RandomChoice):
    """Gives up no request and answers none."""

    def _handle_outcome(self, event: Outcome) -> list[Action]:
        return []


class IgnoresDrains(RandomChoice):
    """Keeps sending to draining nodes."""

    def handle(self, now: float, event: DeciderEvent) -> list[Action]:
        if isinstance(event, Membership):
            ready = tuple(Member(m.node, kind=m.kind, zone=m.zone) for m in event.members)
            event = replace(event, members=ready)
        return super().handle(now, event)


class SendsTwice(RandomChoice):
    """Sends every first attempt twice."""

    def _send(self, request: Request, attempts: int) -> list[Action]:
        found = super()._send(request, attempts)
        return [*found, *found] if attempts == 0 and found and isinstance(found[0], Send) else found


@pytest.mark.parametrize(
    ("make", "rule", "events"),
    [
        (NeverAnswers, "answer", (Event(500.0, "kill", 1.0, 2_000.0),)),
        (IgnoresDrains, "drain", (Event(500.0, "drain", 0.5),)),
        (SendsTwice, "effects", ()),
    ],
)
def test_rule_violation_is_reported(
    make: type[BaselineDecider], rule: str, events: tuple[Event, ...]
) -> None:
    ledger = World(replace(SMALL, events=events), make).simulate()
    assert rule in {broken.rule for broken in ledger.broken}


def test_invalid_records_are_rejected() -> None:
    for create_invalid in (
        lambda: Kind("k", 0, 1.0),
        lambda: Fleet(boxes=0),
        lambda: Load(load=0.0),
        lambda: Fleet(kinds=()),
        lambda: Event(1.0, "drain", share=0.0),
        lambda: Load(hot=1.0),
    ):
        with pytest.raises(ValueError):
            create_invalid()
