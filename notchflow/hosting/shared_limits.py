"""Tenants' rates as budgets of the whole fleet, and figures over it: the cores behind the door."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from random import Random
from typing import Any, Final

from notchflow.cluster.budgets import Budgets, TokenTerms
from notchflow.cluster.concurrency_limits import ConcurrencyLimits
from notchflow.cluster.concurrency_limits import SlotTerms as HoldTerms
from notchflow.cluster.fleet_metrics import (
    CLASS_METRICS,
    CLASS_PREFIX,
    TENANT_METRICS,
    FleetMetrics,
    MetricValues,
)
from notchflow.cluster.local_state import Sender
from notchflow.cluster.messages import LoanGrant, LoanRequest, Message, MetricsAck, MetricsUpdate
from notchflow.cluster.transport import ClusterTransport
from notchflow.operations.metrics import ClassCounts
from notchflow.tenancy.limits import Usage
from notchflow.tenancy.model import Limits

TERMS: Final = TokenTerms()
PLACES: Final = 1  # the kind of budget: places in hand, not tokens
HELD_ON_MS: Final = 1_000.0  # beyond the longest deadline, as an answer may be on its way
COUNT_S: Final = 0.5  # between two rounds of figures
FRESH_MS: Final = 3_000.0  # figures that are older are said to be missing


class SharedBucket:
    """A tenant's bucket, as the door takes from it; its tokens are the fleet's."""

    __slots__ = ("limits", "tenant")

    def __init__(self, limits: SharedLimits, tenant: str) -> None:
        self.limits, self.tenant = limits, tenant

    def take(self, now: float, rate: float, burst: float) -> float:
        """Takes one token; else the seconds after which to come back. `now`: monotonic seconds."""
        return self.limits.take(self.tenant, now * 1e3, rate, burst)


class SharedSlots:
    """A tenant's places in hand, as the door takes them; they are the fleet's."""

    __slots__ = ("limits", "tenant")

    def __init__(self, limits: SharedLimits, tenant: str) -> None:
        self.limits, self.tenant = limits, tenant

    def free(self) -> int:
        self.limits.wake()
        return self.limits.holds.free(self.tenant, self.limits.edge.now())

    def take(self) -> None:
        self.limits.holds.take(self.tenant, self.limits.edge.now())

    def release(self) -> None:
        self.limits.holds.release(self.tenant)


class SharedLimits:
    """The budgets of one instance, ticking while anybody asks."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        edge: ClusterTransport,
        rng: Random,
        longest_ms: float,
        classes: Mapping[str, ClassCounts],
    ) -> None:
        """`longest_ms`: for how long a request may be in hand. `classes`: what became of requests here."""
        self.classes = classes
        self.loop, self.edge = loop, edge
        core = edge.core
        self.core = Budgets(core.name, core.view.roster, TERMS, rng, edge.now())
        self.ticking: asyncio.TimerHandle | None = None
        edge.handlers[LoanRequest] = self._asked
        edge.handlers[LoanGrant] = self._granted
        self.holds = ConcurrencyLimits(
            core.name, core.view.roster, HoldTerms(longest_ms + HELD_ON_MS), rng, edge.now()
        )
        self.ledger = FleetMetrics(core.name, core.view.roster)
        self.usages: dict[str, Usage] = {}
        self.touched: dict[str, int] = {}  # rounds since a tenant's figures last changed
        self.counting: asyncio.TimerHandle | None = None
        edge.handlers[MetricsUpdate] = self._counts
        edge.handlers[MetricsAck] = self._counted

    def start(self) -> None:
        self.counting = self.loop.call_later(COUNT_S, self._count)

    def stop(self) -> None:
        for timer in (self.counting, self.ticking):
            if timer is not None:
                timer.cancel()

    def opened(self) -> bool:
        """Whether this instance's own parts are open: loans of its former life have ended."""
        return self.edge.now() >= self.core.opens_at

    # -- the door
    def bucket(self, tenant: str) -> SharedBucket:
        return SharedBucket(self, tenant)

    def set_limits(self, tenant: str, limits: Limits) -> None:
        """A tenant's limits from now on: others may ask for its tokens before anybody asks here."""
        self.core.set_limit(tenant, self.edge.now(), limits.rate_per_s, limits.burst)
        self.holds.set_limit(tenant, limits.in_hand)

    def forget(self, tenant: str) -> None:
        self.core.forget(tenant)
        self.holds.forget(tenant)
        self.ledger.forget(tenant)
        self.usages.pop(tenant, None)
        self.touched.pop(tenant, None)

    def register_usage(self, tenant: str, usage: Usage) -> None:
        """Whose figures these are."""
        self.usages[tenant] = usage
        if usage.slots is None:
            usage.slots = SharedSlots(self, tenant)

    def take(self, tenant: str, now: float, rate: float, burst: float) -> float:
        wait = self.core.take(tenant, now, rate, burst)
        self.touched[tenant] = 0
        self.wake()
        return wait

    def wake(self) -> None:
        """Somebody asks: from now on there are rounds of asking."""
        if self.ticking is None:
            self.ticking = self.loop.call_later(TERMS.tick_ms / 1e3, self._tick)

    def longest(self, ms: float) -> None:
        """Requests may be in hand for so long from now on; what was lent before is waited for as before."""
        self.holds.terms = HoldTerms(max(ms + HELD_ON_MS, self.holds.terms.hold_ms))

    # -- the fleet
    def _tick(self) -> None:
        self.ticking = None
        now, present = self.edge.now(), self.edge.core.view.present()
        for owner, want in self.core.tick(now, present):
            self.edge.send(owner, want)
        for owner, want in self.holds.tick(now, present):
            self.edge.send(owner, LoanRequest(want.number, want.items, PLACES))
        if (self.core.active_keys or self.holds.active_keys) and not self.edge.closed:
            self.ticking = self.loop.call_later(TERMS.tick_ms / 1e3, self._tick)

    def _asked(self, now: float, sender: Sender, body: Message) -> Message | None:
        assert isinstance(body, LoanRequest)
        if body.kind == PLACES:
            grant = self.holds.handle_loan_request(now, sender.name, sender.incarnation, body)
            return LoanGrant(grant.number, grant.lent, PLACES)
        return self.core.handle_loan_request(now, sender.name, sender.incarnation, body)

    def _granted(self, now: float, sender: Sender, body: Message) -> Message | None:
        assert isinstance(body, LoanGrant)
        (self.holds if body.kind == PLACES else self.core).handle_loan_grant(now, sender.name, body)
        return None

    # -- figures
    def _count(self) -> None:
        """Figures of tenants that were asked for lately go to the others. One that is turned away before its
        bucket is asked is seen once it is asked again."""
        self.counting = self.loop.call_later(COUNT_S, self._count)
        for tenant in list(self.touched):
            usage = self.usages.get(tenant)
            if usage is None:
                del self.touched[tenant]
                continue
            values = figures(usage)
            changed = self.ledger.own.get(tenant) != values
            self.ledger.set(tenant, values)
            self.touched[tenant] = 0 if changed or usage.in_hand else self.touched[tenant] + 1
            if self.touched[tenant] > 2:
                del self.touched[tenant]
        self._count_classes()
        view = self.edge.core.view
        lives = {
            name: record.incarnation for name in view.present() if (record := view.get(name)) is not None
        }
        for name, counts in self.ledger.tick(lives):
            self.edge.send(name, counts)

    def _count_classes(self) -> None:
        for name, counts in self.classes.items():
            self.ledger.set(CLASS_PREFIX + name, class_figures(counts))

    def by_class(self) -> dict[str, Any]:
        """The fleet's figures of each class, as the API tells them."""
        self._count_classes()
        age_ms, missing = self.ledger.coverage(self.edge.now(), self.edge.core.left, FRESH_MS)
        return {
            "classes": {name: self.ledger.total(CLASS_PREFIX + name) for name in self.ledger.classes()},
            "age_ms": round(age_ms, 1),
            "missing": list(missing),
        }

    def _counts(self, now: float, sender: Sender, body: Message) -> Message | None:
        assert isinstance(body, MetricsUpdate)
        return self.ledger.handle_update(now, sender.name, sender.incarnation, body)

    def _counted(self, now: float, sender: Sender, body: Message) -> Message | None:
        assert isinstance(body, MetricsAck)
        self.ledger.handle_ack(sender.name, sender.incarnation, body)
        return None

    def usage(self, tenant: str) -> dict[str, Any]:
        """The fleet's figures of a tenant, as the API tells them."""
        usage = self.usages.get(tenant)
        if usage is not None:
            self.ledger.set(tenant, figures(usage))
        found = self.ledger.sum(self.edge.now(), tenant, self.edge.core.left, FRESH_MS)
        values = dict(found.values)
        return {
            "asked": values.pop("asked"),
            "served": values.pop("served"),
            "failed": values.pop("failed"),
            "in_hand": values.pop("open"),
            "bytes_held": values.pop("held"),
            "refused": {why: count for why, count in values.items() if count},
            "age_ms": round(found.age_ms, 1),
            "missing": list(found.missing),
        }

    def lines(self) -> list[str]:
        return [f"cluster_budget_{name} {count}" for name, count in self.core.metrics.items()]


def figures(usage: Usage) -> MetricValues:
    """A tenant's figures in the order of TENANT_METRICS."""
    reasons = (usage.refused.get(why, 0) for why in TENANT_METRICS[3:9])
    return (usage.asked, usage.served, usage.failed, *reasons, usage.in_hand, usage.bytes)


def class_figures(counts: ClassCounts) -> MetricValues:
    """A class's figures in the order of CLASS_METRICS."""
    return tuple(getattr(counts, name) if name else 0 for name in CLASS_METRICS)
