"""Figures by tenant over the fleet: never more than was counted, and all of it once messages come through."""

from __future__ import annotations

import random

from notchflow.cluster.fleet_metrics import (
    CLASS_PREFIX,
    GAUGE_COLUMNS,
    MESSAGES_PER_TICK,
    ROWS_PER_MESSAGE,
    TENANT_METRICS,
    TENANTS_MAX,
    ZERO,
    FleetMetrics,
    MetricValues,
    normalize,
)
from notchflow.cluster.messages import MetricsAck, MetricsRow, MetricsUpdate
from notchflow.cluster.model import Incarnation

NAMES = ("p1", "p2", "p3")
FOREVER = 1e12


def test_classes_are_counted_beside_tenants_and_a_life_that_ends_leaves_its_counters() -> None:
    net = Net(3, 0.0)
    read = (5, 2, 1, 0, 7, 0, 0, 0, 0, 3, 0)  # in the order of CLASS_METRICS
    for ledger in net.ledgers.values():
        ledger.set("read", values(9))  # a tenant may have a class's name
        ledger.set(CLASS_PREFIX + "read", read)
    net.round()
    found = net.ledgers["p1"].sum(net.now, CLASS_PREFIX + "read", frozenset(), FOREVER).values
    assert found == {"fulfilled": 15, "throttled": 6, "faulted": 3, "departed": 0, "relayed": 21, "open": 9}
    assert net.ledgers["p1"].sum(net.now, "read", frozenset(), FOREVER).values["asked"] == 27
    net.ledgers["p3"], net.lives["p3"] = FleetMetrics("p3", NAMES), Incarnation(2, 1)
    net.ledgers["p3"].set(CLASS_PREFIX + "pay", read)
    net.round()
    found = net.ledgers["p1"].sum(net.now, CLASS_PREFIX + "read", frozenset(), FOREVER).values
    assert (found["fulfilled"], found["open"]) == (15, 6), "what was open has gone with its life"
    assert net.ledgers["p1"].classes() == ["pay", "read"]


def values(asked: int, held: int = 0) -> MetricValues:
    return (asked, *ZERO[1:-1], held)


class Net:
    """Ledgers and what passes between them; some of it lost, doubled or late."""

    def __init__(self, seed: int, loss: float) -> None:
        self.rng, self.loss = random.Random(seed), loss
        self.ledgers = {name: FleetMetrics(name, NAMES) for name in NAMES}
        self.lives = {name: Incarnation(1, 1) for name in NAMES}
        self.late: list[tuple[str, Incarnation, str, MetricsUpdate | MetricsAck]] = []
        self.now = 0.0

    def round(self) -> None:
        self.now += 500.0
        for name, ledger in self.ledgers.items():
            lives = {other: life for other, life in self.lives.items() if other != name}
            for to, message in ledger.tick(lives):
                self.pass_on(name, self.lives[name], to, message)
        late, self.late = self.late, []
        for sender, life, to, body in late:
            self.arrive(sender, life, to, body)

    def pass_on(self, sender: str, life: Incarnation, to: str, body: MetricsUpdate | MetricsAck) -> None:
        if self.rng.random() < self.loss:
            return
        if self.rng.random() < self.loss:
            self.late.append((sender, life, to, body))
        for _ in range(2 if self.rng.random() < self.loss else 1):
            self.arrive(sender, life, to, body)

    def arrive(self, sender: str, life: Incarnation, to: str, body: MetricsUpdate | MetricsAck) -> None:
        ledger = self.ledgers[to]
        if isinstance(body, MetricsAck):
            ledger.handle_ack(sender, life, body)
            return
        answer = ledger.handle_update(self.now, sender, life, body)
        if answer is not None:
            self.pass_on(to, self.lives[to], sender, answer)

    def asked(self, at: str, tenant: str) -> int:
        return self.ledgers[at].sum(self.now, tenant, frozenset(), FOREVER).values["asked"]


def test_figures_come_together_through_loss_doubling_delay_and_new_lives() -> None:
    for seed in range(30):
        net, rng = Net(seed, 0.3), random.Random(seed)
        counted = {name: dict.fromkeys(("a", "b", "c"), 0) for name in NAMES}
        ended = dict.fromkeys(("a", "b", "c"), 0)
        for _ in range(60):
            name, tenant = rng.choice(NAMES), rng.choice(("a", "b", "c"))
            counted[name][tenant] += rng.randint(1, 5)
            net.ledgers[name].set(tenant, values(counted[name][tenant]))
            net.round()
            for at in NAMES:
                for one in ("a", "b", "c"):
                    assert net.asked(at, one) <= sum(c[one] for c in counted.values()) + ended[one]
            if rng.random() < 0.05:  # a member is started again, all of it known to somebody or not
                for one in ("a", "b", "c"):
                    ended[one] += counted[name][one]
                counted[name] = dict.fromkeys(("a", "b", "c"), 0)
                net.lives[name] = Incarnation(net.lives[name].epoch + 1, 1)
                net.ledgers[name] = FleetMetrics(name, NAMES)
        net.loss = 0.0
        for _ in range(10):
            net.round()
        for one in ("a", "b", "c"):
            now = sum(c[one] for c in counted.values())
            assert all(now <= net.asked(at, one) <= now + ended[one] for at in NAMES)


def test_counters_of_a_life_that_has_ended_stay_and_what_it_had_in_hand_does_not() -> None:
    ledger = FleetMetrics("p1", NAMES)
    ledger.handle_update(
        0.0, "p2", Incarnation(1, 1), MetricsUpdate(0, 1, (MetricsRow("a", values(7, held=3)),))
    )
    ledger.handle_update(
        1.0, "p2", Incarnation(2, 1), MetricsUpdate(0, 1, (MetricsRow("a", values(2, held=1)),))
    )
    found = ledger.sum(1.0, "a", frozenset(), FOREVER).values
    assert (found["asked"], found["held"]) == (9, 1)
    assert (
        ledger.handle_update(
            2.0, "p2", Incarnation(1, 1), MetricsUpdate(1, 2, (MetricsRow("a", values(50)),))
        )
        is None
    )
    assert ledger.sum(2.0, "a", frozenset(), FOREVER).values["asked"] == 9


def test_a_part_whose_beginning_is_missing_is_asked_for_again() -> None:
    ledger = FleetMetrics("p1", NAMES)
    assert ledger.handle_update(
        0.0, "p2", Incarnation(1, 1), MetricsUpdate(5, 6, (MetricsRow("a", values(7)),))
    ) == MetricsAck(0)
    assert ledger.sum(0.0, "a", frozenset(), FOREVER).values["asked"] == 0


def test_who_is_not_heard_is_said_to_be_missing_unless_it_left() -> None:
    ledger = FleetMetrics("p1", NAMES)
    ledger.handle_update(0.0, "p2", Incarnation(1, 1), MetricsUpdate(0, 0, ()))
    assert ledger.sum(1_000.0, "a", frozenset(), 3_000.0).missing == ("p3",)
    assert ledger.sum(4_000.0, "a", frozenset(), 3_000.0).missing == ("p2", "p3")
    late = ledger.sum(2_000.0, "a", frozenset({"p3"}), 3_000.0)
    assert late.missing == () and late.age_ms == 2_000.0


def test_what_is_sent_is_what_changed_in_bounded_parts() -> None:
    ledger = FleetMetrics("p1", NAMES)
    for number in range(100):
        ledger.set(f"t{number}", values(1))
    told = 0
    for _ in range(100):
        messages = [m for name, m in ledger.tick({"p2": Incarnation(1, 1)})]
        assert len(messages) <= MESSAGES_PER_TICK and all(len(m.rows) <= ROWS_PER_MESSAGE for m in messages)
        if not messages[0].rows:
            break
        told += sum(len(m.rows) for m in messages)
        ledger.handle_ack("p2", Incarnation(1, 1), MetricsAck(messages[-1].up_to))
    assert told == 100
    ledger.set("t7", values(2))
    ledger.set("t8", values(1))
    ((_, message),) = ledger.tick({"p2": Incarnation(1, 1)})
    assert [row.tenant for row in message.rows] == ["t7"]
    (_, message), *_ = ledger.tick({"p2": Incarnation(2, 1)})
    assert len(message.rows) == ROWS_PER_MESSAGE, "a new life of p2 knows nothing"


def test_memory_is_bounded_by_tenants_and_other_forms_of_rows_are_fitted() -> None:
    ledger = FleetMetrics("p1", NAMES)
    for number in range(TENANTS_MAX + 5):
        ledger.set(f"t{number}", values(1))
    assert len(ledger.own) == TENANTS_MAX and ledger.unreported_tenants == 5
    assert normalize((1, 2)) == (1, 2, *ZERO[2:]) and len(normalize(tuple(range(30)))) == len(TENANT_METRICS)
    assert GAUGE_COLUMNS == 2 and TENANT_METRICS[-GAUGE_COLUMNS:] == ("open", "held")
