"""The rules for repeating requests and for nodes, as properties of generated events and as single cases."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from notchflow.interface import (
    Cancel,
    ClientGone,
    Effect,
    Fail,
    Group,
    Limits,
    ListKind,
    Member,
    Membership,
    Outcome,
    Refuse,
    RequestClass,
    Send,
    SetTimer,
    State,
    Status,
    StreamStarted,
    Timer,
    Watch,
)
from notchflow.policy.balancer import Balancer
from notchflow.policy.health import is_healthy
from notchflow.policy.nodes import ACCEPTS_MULTIPLIER
from tests.helpers import (
    CLASSES,
    RULES,
    make_balancer,
    make_fleet,
    make_key,
    make_request,
    make_settings,
    ok,
    sends,
)


class Referee:
    """Simulates clients and nodes around one balancer and asserts the rules on every action."""

    def __init__(self, seed: int, **changes: Any) -> None:
        self.rng = random.Random(seed)
        self.settings = make_settings(**changes)
        self.balancer = Balancer(self.settings, seed, 0.0)
        self.members = {m.node: m for m in make_fleet(self.rng.randrange(0, 9))}
        self.now = 0.0
        self.open: dict[int, tuple[RequestClass, float]] = {}
        self.outstanding: dict[tuple[int, int], tuple[int, float]] = {}
        self.ran: dict[int, list[tuple[Member, float]]] = {}
        self.count: dict[int, int] = {}
        self.timers: list[tuple[float, str]] = []
        self.number = 0
        self.answered: set[int] = set()
        self.handle(Membership(ListKind.CACHED, tuple(self.members.values())))

    def handle(self, event: Any) -> None:
        for action in self.balancer.handle(self.now, event):
            match action:
                case Send(request, node, _):
                    cls, _ = self.open[request]
                    attempt = self.count[request]
                    self.count[request] += 1
                    member = self.members[node]
                    assert member.state is State.READY
                    earlier = self.ran[request] + [
                        (self.members[n], t) for (r, _), (n, t) in self.outstanding.items() if r == request
                    ]
                    assert not (earlier and cls.effect is Effect.UNSAFE)
                    if earlier and cls.effect is Effect.KEYED:
                        for other, at in earlier:
                            assert self.now < at + cls.window_ms
                            assert cls.group is Group.ALL or other.zone == member.zone
                            assert cls.group is not Group.CELL or other.cell == member.cell
                    if not self.settings.limits.second_copies:
                        assert not any(r == request for r, _ in self.outstanding)
                    self.outstanding[request, attempt] = node, self.now
                case Refuse(request):
                    cls, _ = self.open[request]
                    earlier_runs = bool(self.ran[request]) or any(r == request for r, _ in self.outstanding)
                    if earlier_runs:
                        assert cls.effect is Effect.SAFE or (
                            cls.effect is Effect.KEYED and cls.group is Group.ALL
                        )
                    self.close(request)
                case Fail(request):
                    self.close(request)
                case Cancel(request, attempt):
                    assert attempt < self.count[request]

    def close(self, request: int) -> None:
        assert request not in self.answered
        self.answered.add(request)
        del self.open[request]

    def send_request(self) -> None:
        cls = self.rng.choice(CLASSES)
        self.number += 1
        key = self.rng.choice([None, make_key(self.rng.randrange(6))])
        event = make_request(self.number, self.now, cls.name, key, write=self.rng.random() < 0.2)
        self.open[self.number] = cls, event.deadline
        self.ran[self.number], self.count[self.number] = [], 0
        self.handle(event)

    def end_attempt(self, attempt_id: tuple[int, int], status: Status) -> None:
        node, sent = self.outstanding.pop(attempt_id)
        request, attempt = attempt_id
        if not status.never_ran:
            self.ran[request].append((self.members[node], sent))
        closed = request not in self.open or status is Status.OK
        if status is Status.OK and request in self.open:
            self.close(request)
        self.handle(Outcome(request, attempt, node, status, self.now - sent, closed))

    def change_member(self) -> None:
        if not self.members or self.rng.random() < 0.3:
            node = self.rng.randrange(1, 2**32)
            changed = Member(node, zone="ab"[node % 2], cell=node % 4, ready_at_ms=self.now)
        else:
            node = self.rng.choice(sorted(self.members))
            old = self.members[node]
            changed = Member(node, self.rng.choice(list(State)), zone=old.zone, cell=old.cell)
        self.members[node] = changed
        if self.rng.random() < 0.3:
            known = [m for m in self.members.values() if m.state is not State.GONE]
            self.handle(Membership(ListKind.FULL, tuple(known)))
        else:
            self.handle(Membership(ListKind.DELTA, (changed,)))

    def step(self, statuses: list[Status]) -> None:
        draw = self.rng.random()
        if draw < 0.45:
            self.send_request()
        elif draw < 0.85 and self.outstanding:
            self.end_attempt(self.rng.choice(sorted(self.outstanding)), self.rng.choice(statuses))
        elif draw < 0.9:
            self.change_member()
        elif draw < 0.93:
            self.handle(Timer(self.rng.choice(["sample", "watch", "unknown"])))
        elif draw < 0.96 and self.open:
            gone = self.rng.choice(sorted(self.open))
            self.close(gone)
            self.handle(ClientGone(gone))
        else:
            self.handle(Membership(ListKind.FAILED))
        self.now += self.rng.random() * 60
        for attempt_id in sorted(self.outstanding):
            request = attempt_id[0]
            if request in self.open and self.now >= self.open[request][1]:
                self.end_attempt(attempt_id, Status.TIMEOUT)
        for request, (_, deadline) in self.open.items():
            assert self.now < deadline + 60 or any(r == request for r, _ in self.outstanding)

    def finish(self) -> None:
        for attempt_id in sorted(self.outstanding):
            if attempt_id in self.outstanding:
                self.end_attempt(attempt_id, Status.TIMEOUT)
        while self.outstanding:
            self.end_attempt(sorted(self.outstanding)[0], Status.TIMEOUT)
        assert not self.open
        assert not self.balancer.pending


WORLDS = st.sampled_from(
    [
        {},
        {"limits": Limits(max_attempts=5)},
        {"limits": Limits(max_attempts=1, cancel=True)},
        {"list_on_request": True},
        {"origin_kind": ""},
        {"origin_kind": "nowhere"},
    ]
)


@settings(derandomize=True, max_examples=120, deadline=None)
@given(st.integers(0, 2**32), WORLDS, st.lists(st.sampled_from(list(Status)), min_size=1, max_size=4))
def test_rules_hold_whatever_happens(seed: int, changes: dict[str, Any], statuses: list[Status]) -> None:
    referee = Referee(seed, **changes)
    for _ in range(120):
        referee.step(statuses)
    referee.finish()


def test_an_empty_fleet_rejects_at_once() -> None:
    assert make_balancer(0).handle(1, make_request(1, 1, "once")) == [Refuse(1)]


def test_an_unsafe_request_that_may_have_run_fails_without_a_retry() -> None:
    balancer = make_balancer()
    send = sends(balancer.handle(0, make_request(1, 0, "once")))[0]
    assert balancer.handle(50, Outcome(1, 0, send.node, Status.ERROR, 50)) == [Fail(1)]


def test_an_unsafe_request_that_never_ran_goes_to_another_node() -> None:
    balancer = make_balancer()
    send = sends(balancer.handle(0, make_request(1, 0, "once")))[0]
    again = sends(balancer.handle(5, Outcome(1, 0, send.node, Status.FULL, 5)))
    assert len(again) == 1 and again[0].node != send.node


def test_a_keyed_request_is_not_repeated_after_its_window() -> None:
    balancer = make_balancer()
    send = sends(balancer.handle(0, make_request(1, 0, "keyed")))[0]
    assert balancer.handle(500, Outcome(1, 0, send.node, Status.ERROR, 500)) == [Refuse(1)]


def test_a_draining_node_gets_no_new_requests() -> None:
    balancer = make_balancer()
    key = make_key(3)
    home = balancer.fleet.order(key)[0]
    balancer.handle(1, Membership(ListKind.DELTA, (Member(home.id, State.DRAINING),)))
    for i in range(50):
        assert sends(balancer.handle(2, make_request(i, 2, key=key)))[0].node != home.id


def test_a_burst_does_not_exceed_the_budget_of_a_cold_node() -> None:
    """Guards against a short burst of requests for the keys of a node that has just started."""
    balancer = make_balancer(4)
    balancer.handle(1, Membership(ListKind.DELTA, (Member(5, ready_at_ms=1.0),)))
    key = next(make_key(i) for i in range(5000) if balancer.fleet.order(make_key(i))[0].id == 5)
    nodes = [sends(balancer.handle(2, make_request(i, 2, key=key)))[0].node for i in range(50)]
    assert 1 <= nodes.count(5) <= 3


def test_a_cold_node_is_not_overloaded_if_there_is_no_other() -> None:
    """Guards against a fallback to any ready node: all other nodes drain, and a burst arrives."""
    balancer = make_balancer(4)
    cold = Member(5, ready_at_ms=1.0)
    others = tuple(Member(n, State.DRAINING) for n in balancer.fleet.nodes)
    balancer.handle(1, Membership(ListKind.DELTA, (cold, *others)))
    actions = [a for i in range(50) for a in balancer.handle(2, make_request(i, 2))]
    assert 1 <= len(sends(actions)) <= 3
    assert sum(isinstance(a, Refuse) for a in actions) == 50 - len(sends(actions))


def test_an_unresponsive_node_is_ejected_retried_and_restored() -> None:
    balancer = make_balancer(12)
    key = make_key(3)
    home = balancer.fleet.order(key)[0].id
    for i in range(2):
        balancer.handle(i, make_request(i, i, key=key))
    for i in range(2):
        balancer.handle(900 + i, Outcome(i, 0, home, Status.TIMEOUT, 900))
    assert sends(balancer.handle(1000, make_request(5, 1000, key=key)))[0].node != home
    trial = sends(balancer.handle(2500, make_request(6, 2500, key=key)))[0]
    assert trial.node == home and trial.timeout_ms is not None and trial.timeout_ms < 900
    assert sends(balancer.handle(2500, make_request(7, 2500, key=key)))[0].node != home
    balancer.handle(2510, ok(trial))
    assert sends(balancer.handle(2600, make_request(8, 2600, key=key)))[0].node == home


def test_a_node_that_hangs_on_one_class_is_ejected_for_that_class_and_retried() -> None:
    """Guards against a node whose answers to other classes hide that it never answers this one."""
    balancer = make_balancer(12)
    key = make_key(3)
    home = balancer.fleet.order(key)[0].id
    elsewhere = [n for n in range(200) if balancer.fleet.order(make_key(n))[0].id != home][:60]
    for n in elsewhere:  # load elsewhere, so that the hanging requests do not exceed the home's load bound
        balancer.handle(0, make_request(1_000 + n, 0, key=make_key(n)))
    for i in range(5):
        balancer.handle(100 * i, make_request(3 * i, 100 * i, key=key))
        other = sends(balancer.handle(100 * i + 1, make_request(3 * i + 1, 100 * i + 1, "once", key)))[0]
        assert other.node == home
        balancer.handle(100 * i + 11, ok(other))
    last = sends(balancer.handle(880, make_request(50, 880, "once", key)))[0]
    balancer.handle(890, ok(last))
    for i in range(5):
        balancer.handle(900 + 100 * i, Outcome(3 * i, 0, home, Status.TIMEOUT, 900))
    balancer.throttle.requests = 0.0
    read, paid = [
        sends(balancer.handle(1_400, make_request(20 + i, 1_400, c, key)))[0]
        for i, c in enumerate(("read", "once"))
    ]
    assert read.node != home and paid.node == home
    trial = sends(balancer.handle(2_400, make_request(30, 2_400, key=key)))[0]
    assert trial.node == home and trial.timeout_ms is not None
    assert (
        sends(balancer.handle(2_401, make_request(31, 2_401, key=key)))[0].node != home
    ), "one trial at a time"
    balancer.handle(2_410, ok(trial))
    assert sends(balancer.handle(2_420, make_request(32, 2_420, key=key)))[0].node == home


def test_a_node_that_fails_most_requests_of_one_class_is_ejected_for_that_class() -> None:
    """Guards against a node that keeps a class because it answers a sixth of its requests, and all others."""
    balancer = make_balancer(12)
    key = make_key(3)
    home = balancer.fleet.order(key)[0].id
    homed = {"read": 0, "once": 0}
    for i in range(120):
        now = 20.0 * i
        balancer.throttle.requests = balancer.throttle.accepts = 0.0
        for number, cls in ((2 * i, "read"), (2 * i + 1, "once")):
            sent = sends(balancer.handle(now, make_request(number, now, cls, key)))
            attempt = 0
            while sent:
                homed[cls] += sent[0].node == home
                if cls == "read" and sent[0].node == home and i % 6:
                    ended = Outcome(number, attempt, home, Status.ERROR, 4)
                else:
                    ended = ok(sent[0], attempt)
                sent, attempt = sends(balancer.handle(now, ended)), attempt + 1
    assert homed["once"] == 120 and homed["read"] < 30


def test_a_few_errors_do_not_eject_a_class() -> None:
    balancer, rng = make_balancer(12), random.Random(3)
    for i in range(3_000):
        now, status = 5.0 * i, rng.choices([Status.OK, Status.ERROR, Status.RESET], [90, 5, 5])[0]
        balancer.throttle.requests = balancer.throttle.accepts = 0.0
        (send,) = sends(balancer.handle(now, make_request(i, now)))
        again = sends(balancer.handle(now, Outcome(i, 0, send.node, status, 10, status is Status.OK)))
        for retry in again:
            balancer.handle(now, ok(retry, 1))
        assert not any(m.ejected_until for n in balancer.fleet.ready for m in n.class_health.values())


def test_a_slow_fleet_is_not_ejected_as_a_whole() -> None:
    """Guards against treating nodes as dead when the cause lies behind all of them, such as a slow origin."""
    balancer = make_balancer(12)
    for i in range(200):
        for send in sends(balancer.handle(i, make_request(i, i))):
            balancer.handle(i + 900, Outcome(i, 0, send.node, Status.TIMEOUT, 900))
    ejected = sum(n.ejected_until > 1100 for n in balancer.fleet.ready)
    assert 1 <= ejected <= 5


def test_the_retry_budget_limits_retries() -> None:
    """Guards against retries that multiply the load of a fleet in trouble."""
    balancer = make_balancer(12)
    retries = 0
    for i in range(300):
        balancer.throttle.requests = balancer.throttle.accepts = 0.0
        send = sends(balancer.handle(i, make_request(i, i)))[0]
        again = sends(balancer.handle(i, Outcome(i, 0, send.node, Status.ERROR, 1)))
        for send in again:
            balancer.handle(i, ok(send, 1))
        retries += len(again)
    assert 20 <= retries <= 45


def test_attempts_that_never_ran_are_retried_without_spending_the_budget() -> None:
    """Guards against rejecting the requests of one full node while others have capacity."""
    balancer = make_balancer(12)
    for i in range(100):
        balancer.throttle.requests = balancer.throttle.accepts = 0.0
        send = sends(balancer.handle(i, make_request(i, i, "once")))[0]
        (again,) = sends(balancer.handle(i, Outcome(i, 0, send.node, Status.FULL, 1)))
        assert again.node != send.node
        balancer.handle(i, ok(again, 1))
    assert balancer.budgets.retry_tokens >= 1


def test_a_read_that_may_have_run_is_not_retried_under_pressure() -> None:
    """Guards against retries of late reads, which double the work and add a fetch at the second node. They
    kept a fleet overloaded with three in four requests rejected."""
    balancer = make_balancer(12)
    first = [sends(balancer.handle(0, make_request(i, 0)))[0] for i in range(3)]
    balancer.throttle.requests = 50.0
    assert sends(balancer.handle(5, Outcome(0, 0, first[0].node, Status.ERROR, 5))) == []
    assert len(sends(balancer.handle(5, Outcome(1, 0, first[1].node, Status.FULL, 5)))) == 1
    balancer.throttle.requests = 0.0
    assert len(sends(balancer.handle(5, Outcome(2, 0, first[2].node, Status.ERROR, 5)))) == 1


def test_weights_of_kinds_do_not_drift_by_chance_at_low_traffic() -> None:
    """Guards against different homes in instances that each see few answers."""
    rng = random.Random(8)
    balancer = make_balancer(0)
    balancer.handle(0, Membership(ListKind.FULL, tuple(Member(i, kind="xy"[i % 2]) for i in range(20))))
    number, moves = 0, 0
    for step in range(400):
        now = step * 250.0
        before = dict(balancer.fleet.kinds.weights)
        balancer.handle(now, Timer("sample"))
        moves += before != balancer.fleet.kinds.weights
        for _ in range(3):
            number += 1
            for send in sends(balancer.handle(now, make_request(number, now))):
                balancer.handle(now, ok(send, latency=rng.expovariate(1 / 50)))
    assert all(0.6 < w < 1.6 for w in balancer.fleet.kinds.weights.values())
    assert moves <= 3


def test_overload_is_shed_until_answers_are_in_time_again() -> None:
    """Guards against congestion collapse, in which every queue is full and every answer late."""
    balancer = make_balancer(12)

    def play_second(start: int, latency: float) -> int:
        sent = 0
        for i in range(200):
            now = start + i * 5.0
            if i % 50 == 0:
                balancer.handle(now, Timer("sample"))
            for send in sends(balancer.handle(now, make_request(start + i, now))):
                sent += 1
                balancer.handle(now, ok(send, latency=latency))
        return sent

    assert play_second(0, 50.0) == 200
    for start in range(10_000, 13_000, 1_000):
        late = play_second(start, 800.0)
    assert late < 100
    for start in range(20_000, 50_000, 1_000):
        recovered = play_second(start, 50.0)
    assert recovered == 200


def test_no_more_is_shed_than_the_pressure_requires() -> None:
    """Guards against classes of unequal worth that together shed more than the pressure, which prevents
    recovery."""
    classes = (RequestClass("dear", 300, 1000, worth=9), RequestClass("cheap", 300, 1000, worth=1))
    balancer = make_balancer(12, classes=classes)
    balancer.throttle.requests, balancer.throttle.accepts = 1e9, 0.5e9 / ACCEPTS_MULTIPLIER
    sent = {c.name: 0 for c in classes}
    for i in range(4000):
        name = classes[i % 2].name
        for send in sends(balancer.handle(0, make_request(i, 0, name))):
            sent[name] += 1
            balancer.handle(0, ok(send))
    assert sent["dear"] > 1.5 * sent["cheap"] > 0
    assert 1900 <= sum(sent.values()) <= 2600
    balancer.throttle.accepts = 0.01e9
    assert sum(len(sends(balancer.handle(0, make_request(i, 0, "dear")))) for i in range(5000, 6000)) < 150


def test_answers_just_within_the_longest_aim_count_as_pressure() -> None:
    """Guards against queues that a long aim tolerates, although the most valuable classes have a shorter
    one."""
    balancer = make_balancer(12)
    for i in range(100):
        send = sends(balancer.handle(i, make_request(i, i)))
        for s in send:
            balancer.handle(i, ok(s, latency=280))
    assert balancer.throttle.pressure() > 0.5


def test_a_node_that_rejects_most_requests_does_not_look_fast() -> None:
    """Guards against sending ever more requests to a kind whose full queues reject them at once."""
    balancer = make_balancer(0)
    balancer.handle(0, Membership(ListKind.FULL, tuple(Member(i, kind="xy"[i % 2]) for i in range(8))))
    number = 0
    for step in range(40):
        balancer.handle(step * 250.0, Timer("sample"))
        for _ in range(10):
            number += 1
            for send in sends(balancer.handle(step * 250.0, make_request(number, step * 250.0))):
                full = send.node % 2 == 1 and number % 3 > 0
                status = Status.FULL if full else Status.OK
                latency = 1 if full else 10
                balancer.handle(step * 250.0 + 1, Outcome(number, 0, send.node, status, latency, not full))
    assert balancer.fleet.kinds.weights["y"] < balancer.fleet.kinds.weights["x"]


def test_a_kind_whose_attempts_time_out_does_not_look_fast() -> None:
    """Guards against judging an overloaded kind only by the few requests that it still answers."""
    balancer = make_balancer(0)
    balancer.handle(0, Membership(ListKind.FULL, tuple(Member(i, kind="xy"[i % 2]) for i in range(8))))
    for i in range(400):
        now = i * 25.0
        if i % 10 == 0:
            balancer.throttle.requests = balancer.throttle.accepts = 0.0
            balancer.handle(now, Timer("sample"))
        for send in sends(balancer.handle(now, make_request(i, now))):
            late = send.node % 2 == 1 and i % 3 > 0
            status = Status.TIMEOUT if late else Status.OK
            balancer.handle(now, Outcome(i, 0, send.node, status, 900 if late else 10, True))
    assert balancer.fleet.kinds.weights["y"] < balancer.fleet.kinds.weights["x"]


def test_shed_requests_earn_no_retry_budget() -> None:
    """Guards against overload whose shed requests pay for further retries."""
    balancer = make_balancer(12)
    balancer.budgets.retry_tokens, balancer.throttle.requests = 0.0, 1e9
    for i in range(100):
        assert sends(balancer.handle(0, make_request(i, 0))) == []
    assert balancer.budgets.retry_tokens == 0.0


def test_requests_are_diverted_from_one_late_node_but_not_under_pressure() -> None:
    """Guards against a home that answers too late at low traffic, where the requests in flight do not show
    it, and against scattering keys when the whole fleet is overloaded."""
    balancer = make_balancer(12)
    key = make_key(3)
    home, second = balancer.fleet.order(key)[:2]
    home.throttle.requests = 1e6
    assert sends(balancer.handle(0, make_request(1, 0, key=key)))[0].node == second.id
    balancer.throttle.requests, balancer.throttle.accepts = 100.0, 75.0
    nodes = [s.node for i in range(2, 40) for s in sends(balancer.handle(0, make_request(i, 0, key=key)))]
    assert nodes[:4] == [home.id] * 4


def test_the_list_is_requested_early_and_again_after_failures() -> None:
    """After a failed call, changes count as announced 6 s after they were made, and a call may queue for 2 s,
    so the pauses must leave time for two calls."""
    balancer = Balancer(make_settings(list_on_request=True, balancers=100), 3, 0.0)
    timers = [a for a in balancer.handle(0, Membership(ListKind.CACHED, make_fleet(4)))]
    watch = next(t for t in timers if getattr(t, "token", "") == "watch")
    assert watch.at <= 0.3 * RULES.ask_within_ms  # type: ignore[union-attr]
    assert balancer.handle(500, Timer("watch")) == [Watch()]
    pauses = []
    for i in range(6):
        timer = balancer.handle(1000 * i, Membership(ListKind.FAILED))[0]
        pauses.append(timer.at - 1000 * i)  # type: ignore[union-attr]
    assert 250 <= min(pauses) < max(pauses) <= 1_000, "random, because all instances fail together"


@given(st.sampled_from([1_000.0, 3_000.0, 10_000.0, 30_000.0]))
def test_no_pause_exceeds_the_time_to_ask_within(ask_within_ms: float) -> None:
    """Guards against a list that counts as announced although nobody asked for it, also during a long
    outage."""
    balancer = Balancer(
        make_settings(list_on_request=True, balancers=100, rules=replace(RULES, ask_within_ms=ask_within_ms)),
        3,
        0.0,
    )
    balancer.handle(0, Membership(ListKind.CACHED, make_fleet(4)))
    for i in range(50):
        timer = balancer.handle(1000 * i, Membership(ListKind.FAILED))[0]
        assert timer.at - 1000 * i <= 0.6 * ask_within_ms  # type: ignore[union-attr]


def test_late_unknown_and_repeated_ids_are_ignored() -> None:
    balancer = make_balancer()
    send = sends(balancer.handle(0, make_request(1, 0)))[0]
    balancer.handle(5, ok(send))
    assert balancer.handle(6, ok(send)) == []
    assert balancer.handle(6, Outcome(99, 0, 1, Status.OK)) == []
    assert balancer.handle(6, Outcome(1, 7, 424242, Status.TIMEOUT)) == []
    assert balancer.handle(6, ClientGone(77)) == []
    assert balancer.handle(6, StreamStarted(77, 0, 1)) == []
    assert balancer.handle(6, Timer("never set")) == []


def test_a_started_stream_is_neither_retried_nor_cancelled() -> None:
    balancer = make_balancer(classes=(RequestClass("s", 300, 1000, stream=True),))
    send = sends(balancer.handle(0, make_request(1, 0, "s")))[0]
    assert balancer.handle(10, StreamStarted(1, 0, send.node)) == []
    assert balancer.handle(2000, Outcome(1, 0, send.node, Status.RESET, 2000, closed=True)) == []
    assert not balancer.pending


def test_cache_aside_misses_and_writes_go_to_the_origin() -> None:
    balancer = make_balancer(0, origin_kind="store")
    fleet = (*make_fleet(4), Member(9, kind="store"))
    balancer.handle(0, Membership(ListKind.FULL, fleet))
    for i in range(40):
        send = sends(balancer.handle(1, make_request(i, 1)))[0]
        assert send.node != 9
        assert sends(balancer.handle(2, Outcome(i, 0, send.node, Status.MISS, 1)))[0].node == 9
    assert sends(balancer.handle(3, make_request(100, 3, "once", write=True)))[0].node == 9


def test_a_restarted_node_is_cold_and_healthy() -> None:
    balancer = make_balancer(4)
    node = balancer.fleet.ready[0]
    node.failures, node.ejected_until = 5, 1e9
    balancer.handle(2000, Membership(ListKind.DELTA, (Member(node.id, ready_at_ms=1900.0),)))
    assert is_healthy(node, 2000)
    assert balancer.fleet.warmth(node, 2000) < 0.3


def test_requests_of_unknown_classes_do_not_affect_load_or_keys() -> None:
    """Guards against clients with arbitrary classes that inflate the rate, and with it the budget of cold
    nodes."""
    balancer = make_balancer(4)
    for i in range(200):
        assert balancer.handle(i, make_request(i, i, "unheard-of", key=make_key(1))) == [Refuse(i)]
    balancer.handle(250, Timer("sample"))
    assert balancer.rate_per_ms == 0 and not balancer.hot_keys.topk.fifo and balancer.throttle.requests == 0


def test_gone_nodes_are_removed_once_no_attempt_is_outstanding() -> None:
    """Guards against unbounded memory and CPU use when nodes are replaced under new ids."""
    balancer = make_balancer(4)
    send = sends(balancer.handle(0, make_request(1, 0)))[0]
    for number in range(500):
        fleet = tuple(Member(10_000 + 4 * number + i) for i in range(4))
        balancer.handle(number, Membership(ListKind.FULL, fleet))
    assert len(balancer.fleet.nodes) == 5, "one attempt is outstanding at a node that is gone"
    balancer.handle(600, ok(send))
    balancer.handle(601, Membership(ListKind.DELTA, (Member(10_000, State.GONE),)))
    assert len(balancer.fleet.nodes) == 4 and balancer.fleet.in_flight == 0


def hedge(cls: str, overtaken: bool, pressure: float = 0.0) -> list[Send]:
    """Returns the attempts sent for a request that waits long, on a node that has or has not answered a later
    one."""
    balancer = make_balancer(4)
    for number in range(1, 20):  # establishes the mean latency
        first = sends(balancer.handle(number, make_request(number, number, cls, key=make_key(1))))[0]
        balancer.handle(number + 10, ok(first))
    actions = balancer.handle(1_000, make_request(100, 1_000, cls, key=make_key(1)))
    timers = [a for a in actions if isinstance(a, SetTimer)]
    later = sends(balancer.handle(1_025, make_request(101, 1_025, cls, key=make_key(1))))[0]
    assert later.node == sends(actions)[0].node
    if overtaken:
        balancer.handle(1_029, ok(later))
    balancer.throttle.requests += pressure
    return [s for t in timers for s in sends(balancer.handle(t.at, Timer(t.token)))]


def test_an_attempt_on_a_dead_connection_is_hedged_if_a_repeat_is_harmless() -> None:
    for cls in ("read", "keyed"):
        (send,) = hedge(cls, overtaken=True)
        assert send.id == 100
    assert not hedge("once", overtaken=True)


def test_a_queue_or_pressure_causes_no_hedge() -> None:
    assert not hedge("read", overtaken=False)
    assert not hedge("read", overtaken=True, pressure=1_000.0)
