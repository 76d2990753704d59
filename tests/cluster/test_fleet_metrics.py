"""Fleet metrics: sums never exceed what was counted, and reach it once messages arrive."""

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


def test_classes_are_separate_from_tenants_and_counters_outlive_their_incarnation() -> None:
    net = Net(3, 0.0)
    read = (5, 2, 1, 0, 7, 0, 0, 0, 0, 3, 0)  # in the order of CLASS_METRICS
    for ledger in net.ledgers.values():
        ledger.set("read", values(9))  # a tenant may have the name of a class
        ledger.set(CLASS_PREFIX + "read", read)
    net.round()
    found = net.ledgers["p1"].sum(net.now, CLASS_PREFIX + "read", frozenset(), FOREVER).values
    assert found == {"fulfilled": 15, "throttled": 6, "faulted": 3, "departed": 0, "relayed": 21, "open": 9}
    assert net.ledgers["p1"].sum(net.now, "read", frozenset(), FOREVER).values["asked"] == 27
    net.ledgers["p3"], net.incarnations["p3"] = FleetMetrics("p3", NAMES), Incarnation(2, 1)
    net.ledgers["p3"].set(CLASS_PREFIX + "pay", read)
    net.round()
    found = net.ledgers["p1"].sum(net.now, CLASS_PREFIX + "read", frozenset(), FOREVER).values
    assert (found["fulfilled"], found["open"]) == (15, 6), "gauges end with their incarnation"
    assert net.ledgers["p1"].classes() == ["pay", "read"]


def values(asked: int, held: int = 0) -> MetricValues:
    return (asked, *ZERO[1:-1], held)


class Net:
    """Instances and the messages between them, some lost, duplicated or delayed."""

    def __init__(self, seed: int, loss: float) -> None:
        self.rng, self.loss = random.Random(seed), loss
        self.ledgers = {name: FleetMetrics(name, NAMES) for name in NAMES}
        self.incarnations = {name: Incarnation(1, 1) for name in NAMES}
        self.delayed: list[tuple[str, Incarnation, str, MetricsUpdate | MetricsAck]] = []
        self.now = 0.0

    def round(self) -> None:
        self.now += 500.0
        for name, ledger in self.ledgers.items():
            incarnations = {
                other: incarnation for other, incarnation in self.incarnations.items() if other != name
            }
            for to, message in ledger.tick(incarnations):
                self.send(name, self.incarnations[name], to, message)
        delayed, self.delayed = self.delayed, []
        for sender, incarnation, to, body in delayed:
            self.arrive(sender, incarnation, to, body)

    def send(self, sender: str, incarnation: Incarnation, to: str, body: MetricsUpdate | MetricsAck) -> None:
        if self.rng.random() < self.loss:
            return
        if self.rng.random() < self.loss:
            self.delayed.append((sender, incarnation, to, body))
        for _ in range(2 if self.rng.random() < self.loss else 1):
            self.arrive(sender, incarnation, to, body)

    def arrive(
        self, sender: str, incarnation: Incarnation, to: str, body: MetricsUpdate | MetricsAck
    ) -> None:
        ledger = self.ledgers[to]
        if isinstance(body, MetricsAck):
            ledger.handle_ack(sender, incarnation, body)
            return
        answer = ledger.handle_update(self.now, sender, incarnation, body)
        if answer is not None:
            self.send(to, self.incarnations[to], sender, answer)

    def asked(self, at: str, tenant: str) -> int:
        return self.ledgers[at].sum(self.now, tenant, frozenset(), FOREVER).values["asked"]


def test_metrics_converge_despite_loss_duplication_delay_and_restarts() -> None:
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
                for key in ("a", "b", "c"):
                    assert net.asked(at, key) <= sum(c[key] for c in counted.values()) + ended[key]
            if rng.random() < 0.05:  # a restart; its last metrics may be known to others or not
                for key in ("a", "b", "c"):
                    ended[key] += counted[name][key]
                counted[name] = dict.fromkeys(("a", "b", "c"), 0)
                net.incarnations[name] = Incarnation(net.incarnations[name].epoch + 1, 1)
                net.ledgers[name] = FleetMetrics(name, NAMES)
        net.loss = 0.0
        for _ in range(10):
            net.round()
        for key in ("a", "b", "c"):
            now = sum(c[key] for c in counted.values())
            assert all(now <= net.asked(at, key) <= now + ended[key] for at in NAMES)


def test_counters_of_an_ended_incarnation_are_kept_and_gauges_are_not() -> None:
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


def test_an_update_that_starts_after_the_known_version_is_not_applied() -> None:
    ledger = FleetMetrics("p1", NAMES)
    assert ledger.handle_update(
        0.0, "p2", Incarnation(1, 1), MetricsUpdate(5, 6, (MetricsRow("a", values(7)),))
    ) == MetricsAck(0)
    assert ledger.sum(0.0, "a", frozenset(), FOREVER).values["asked"] == 0


def test_a_silent_member_is_reported_missing_unless_it_left() -> None:
    ledger = FleetMetrics("p1", NAMES)
    ledger.handle_update(0.0, "p2", Incarnation(1, 1), MetricsUpdate(0, 0, ()))
    assert ledger.sum(1_000.0, "a", frozenset(), 3_000.0).missing == ("p3",)
    assert ledger.sum(4_000.0, "a", frozenset(), 3_000.0).missing == ("p2", "p3")
    delayed = ledger.sum(2_000.0, "a", frozenset({"p3"}), 3_000.0)
    assert delayed.missing == () and delayed.age_ms == 2_000.0


def test_only_changes_are_sent_in_bounded_messages() -> None:
    ledger = FleetMetrics("p1", NAMES)
    for number in range(100):
        ledger.set(f"t{number}", values(1))
    received = 0
    for _ in range(100):
        messages = [m for name, m in ledger.tick({"p2": Incarnation(1, 1)})]
        assert len(messages) <= MESSAGES_PER_TICK and all(len(m.rows) <= ROWS_PER_MESSAGE for m in messages)
        if not messages[0].rows:
            break
        received += sum(len(m.rows) for m in messages)
        ledger.handle_ack("p2", Incarnation(1, 1), MetricsAck(messages[-1].up_to))
    assert received == 100
    ledger.set("t7", values(2))
    ledger.set("t8", values(1))
    ((_, message),) = ledger.tick({"p2": Incarnation(1, 1)})
    assert [row.tenant for row in message.rows] == ["t7"]
    (_, message), *_ = ledger.tick({"p2": Incarnation(2, 1)})
    assert len(message.rows) == ROWS_PER_MESSAGE, "a new incarnation of p2 has no metrics yet"


def test_tenants_are_bounded_and_rows_of_other_formats_are_fitted() -> None:
    ledger = FleetMetrics("p1", NAMES)
    for number in range(TENANTS_MAX + 5):
        ledger.set(f"t{number}", values(1))
    assert len(ledger.own) == TENANTS_MAX and ledger.unreported_tenants == 5
    assert normalize((1, 2)) == (1, 2, *ZERO[2:]) and len(normalize(tuple(range(30)))) == len(TENANT_METRICS)
    assert GAUGE_COLUMNS == 2 and TENANT_METRICS[-GAUGE_COLUMNS:] == ("open", "held")
