"""Fleet-wide limits and metrics of tenants: connects the `cluster` package to the admission of requests."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from random import Random
from typing import Any, Final

from notchflow.cluster.budgets import Budgets, TokenTerms
from notchflow.cluster.concurrency_limits import ConcurrencyLimits, SlotTerms
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

TOKEN_TERMS: Final = TokenTerms()
SLOTS: Final = 1  # the kind of loan message for requests in hand; rate tokens are of kind 0
RESPONSE_TRANSIT_MS: Final = 1_000.0  # past the deadline, as a response may still be on its way
METRICS_INTERVAL_S: Final = 0.5  # between two metrics updates to the other instances
METRICS_MAX_AGE_MS: Final = 3_000.0  # metrics of another instance that are older are reported as missing


class SharedBucket:
    """A tenant's token bucket whose tokens come from the fleet's budget."""

    __slots__ = ("limits", "tenant")

    def __init__(self, limits: SharedLimits, tenant: str) -> None:
        self.limits, self.tenant = limits, tenant

    def take(self, now: float, rate: float, burst: float) -> float:
        """Takes one token and returns 0, or returns the seconds after which to retry.

        `now`: monotonic seconds."""
        return self.limits.take(self.tenant, now * 1e3, rate, burst)


class SharedSlots:
    """A tenant's limit on requests in hand over the whole fleet."""

    __slots__ = ("limits", "tenant")

    def __init__(self, limits: SharedLimits, tenant: str) -> None:
        self.limits, self.tenant = limits, tenant

    def free(self) -> int:
        """Number of requests that may be admitted here now."""
        self.limits.start_ticking()
        return self.limits.slots.free(self.tenant, self.limits.transport.now())

    def take(self) -> None:
        """Counts a request in."""
        self.limits.slots.take(self.tenant, self.limits.transport.now())

    def release(self) -> None:
        """Counts a request out."""
        self.limits.slots.release(self.tenant)


class SharedLimits:
    """One instance's part of the fleet's limits and metrics; ticks only while a limit is in use."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        transport: ClusterTransport,
        rng: Random,
        max_in_hand_ms: float,
        classes: Mapping[str, ClassCounts],
    ) -> None:
        """`max_in_hand_ms`: the longest that a request may be in hand; `classes`: this instance's request
        counters by class."""
        self.classes = classes
        self.loop, self.transport = loop, transport
        core = transport.core
        self.budgets = Budgets(core.name, core.view.roster, TOKEN_TERMS, rng, transport.now())
        self.tick_timer: asyncio.TimerHandle | None = None
        transport.handlers[LoanRequest] = self._on_loan_request
        transport.handlers[LoanGrant] = self._on_loan_grant
        self.slots = ConcurrencyLimits(
            core.name, core.view.roster, SlotTerms(max_in_hand_ms + RESPONSE_TRANSIT_MS), rng, transport.now()
        )
        self.fleet_metrics = FleetMetrics(core.name, core.view.roster)
        self.usages: dict[str, Usage] = {}
        self.unchanged_rounds: dict[str, int] = {}  # tenant -> updates since its metrics last changed
        self.metrics_timer: asyncio.TimerHandle | None = None
        transport.handlers[MetricsUpdate] = self._on_metrics_update
        transport.handlers[MetricsAck] = self._on_metrics_ack

    def start(self) -> None:
        """Starts sending metrics updates."""
        self.metrics_timer = self.loop.call_later(METRICS_INTERVAL_S, self._send_metrics)

    def stop(self) -> None:
        """Stops both timers."""
        for timer in (self.metrics_timer, self.tick_timer):
            if timer is not None:
                timer.cancel()

    def is_open(self) -> bool:
        """Whether this instance may use its own share: loans of its former incarnation have expired."""
        return self.transport.now() >= self.budgets.opens_at

    # -- for the admission
    def bucket(self, tenant: str) -> SharedBucket:
        """The source of a tenant's rate tokens."""
        return SharedBucket(self, tenant)

    def set_limits(self, tenant: str, limits: Limits) -> None:
        """Sets a tenant's limits, also before its first request here: other instances may request loans."""
        self.budgets.set_limit(tenant, self.transport.now(), limits.rate_per_s, limits.burst)
        self.slots.set_limit(tenant, limits.in_hand)

    def forget(self, tenant: str) -> None:
        """Removes a tenant."""
        self.budgets.forget(tenant)
        self.slots.forget(tenant)
        self.fleet_metrics.forget(tenant)
        self.usages.pop(tenant, None)
        self.unchanged_rounds.pop(tenant, None)

    def register_usage(self, tenant: str, usage: Usage) -> None:
        """Registers a tenant's usage at this instance."""
        self.usages[tenant] = usage
        if usage.slots is None:
            usage.slots = SharedSlots(self, tenant)

    def take(self, tenant: str, now: float, rate: float, burst: float) -> float:
        """Takes one token of a tenant and returns 0, or returns the seconds after which to retry. `now` is in
        milliseconds."""
        wait = self.budgets.take(tenant, now, rate, burst)
        self.unchanged_rounds[tenant] = 0
        self.start_ticking()
        return wait

    def start_ticking(self) -> None:
        """Starts tick_timer, if it does not tick: a limit is in use."""
        if self.tick_timer is None:
            self.tick_timer = self.loop.call_later(TOKEN_TERMS.tick_ms / 1e3, self._tick)

    def set_max_in_hand(self, ms: float) -> None:
        """Sets the longest that a request may be in hand. The terms never shrink, as loans made under longer
        ones may be outstanding."""
        self.slots.terms = SlotTerms(max(ms + RESPONSE_TRANSIT_MS, self.slots.terms.hold_ms))

    # -- the fleet
    def _tick(self) -> None:
        self.tick_timer = None
        now, present = self.transport.now(), self.transport.core.view.present()
        for owner, request in self.budgets.tick(now, present):
            self.transport.send(owner, request)
        for owner, request in self.slots.tick(now, present):
            self.transport.send(owner, LoanRequest(request.number, request.items, SLOTS))
        if (self.budgets.active_keys or self.slots.active_keys) and not self.transport.closed:
            self.tick_timer = self.loop.call_later(TOKEN_TERMS.tick_ms / 1e3, self._tick)

    def _on_loan_request(self, now: float, sender: Sender, body: Message) -> Message | None:
        assert isinstance(body, LoanRequest)
        if body.kind == SLOTS:
            grant = self.slots.handle_loan_request(now, sender.name, sender.incarnation, body)
            return LoanGrant(grant.number, grant.lent, SLOTS)
        return self.budgets.handle_loan_request(now, sender.name, sender.incarnation, body)

    def _on_loan_grant(self, now: float, sender: Sender, body: Message) -> Message | None:
        assert isinstance(body, LoanGrant)
        (self.slots if body.kind == SLOTS else self.budgets).handle_loan_grant(now, sender.name, body)
        return None

    # -- metrics
    def _send_metrics(self) -> None:
        """Sends the metrics of recently active tenants to the others. A request that is rejected before the
        tenant's bucket is used is reported with the next one that uses it."""
        self.metrics_timer = self.loop.call_later(METRICS_INTERVAL_S, self._send_metrics)
        for tenant in list(self.unchanged_rounds):
            usage = self.usages.get(tenant)
            if usage is None:
                del self.unchanged_rounds[tenant]
                continue
            values = tenant_metric_values(usage)
            changed = self.fleet_metrics.own.get(tenant) != values
            self.fleet_metrics.set(tenant, values)
            self.unchanged_rounds[tenant] = (
                0 if changed or usage.in_hand else self.unchanged_rounds[tenant] + 1
            )
            if self.unchanged_rounds[tenant] > 2:
                del self.unchanged_rounds[tenant]
        self._update_class_metrics()
        view = self.transport.core.view
        incarnations = {
            name: record.incarnation for name in view.present() if (record := view.get(name)) is not None
        }
        for name, counts in self.fleet_metrics.tick(incarnations):
            self.transport.send(name, counts)

    def _update_class_metrics(self) -> None:
        for name, counts in self.classes.items():
            self.fleet_metrics.set(CLASS_PREFIX + name, class_metric_values(counts))

    def class_metrics(self) -> dict[str, Any]:
        """The fleet's metrics by class, as in `GET /v1/cluster`."""
        self._update_class_metrics()
        age_ms, missing = self.fleet_metrics.coverage(
            self.transport.now(), self.transport.core.left, METRICS_MAX_AGE_MS
        )
        return {
            "classes": {
                name: self.fleet_metrics.total(CLASS_PREFIX + name) for name in self.fleet_metrics.classes()
            },
            "age_ms": round(age_ms, 1),
            "missing": list(missing),
        }

    def _on_metrics_update(self, now: float, sender: Sender, body: Message) -> Message | None:
        assert isinstance(body, MetricsUpdate)
        return self.fleet_metrics.handle_update(now, sender.name, sender.incarnation, body)

    def _on_metrics_ack(self, now: float, sender: Sender, body: Message) -> Message | None:
        assert isinstance(body, MetricsAck)
        self.fleet_metrics.handle_ack(sender.name, sender.incarnation, body)
        return None

    def usage(self, tenant: str) -> dict[str, Any]:
        """The fleet's metrics of a tenant, as in `GET /v1/tenants/{id}/usage`."""
        usage = self.usages.get(tenant)
        if usage is not None:
            self.fleet_metrics.set(tenant, tenant_metric_values(usage))
        total = self.fleet_metrics.sum(
            self.transport.now(), tenant, self.transport.core.left, METRICS_MAX_AGE_MS
        )
        values = dict(total.values)
        return {
            "asked": values.pop("asked"),
            "served": values.pop("served"),
            "failed": values.pop("failed"),
            "in_hand": values.pop("open"),
            "bytes_held": values.pop("held"),
            "refused": {reason: count for reason, count in values.items() if count},
            "age_ms": round(total.age_ms, 1),
            "missing": list(total.missing),
        }

    def metrics_lines(self) -> list[str]:
        """The metrics of the budgets, in the text format."""
        return [f"cluster_budget_{name} {count}" for name, count in self.budgets.metrics.items()]


def tenant_metric_values(usage: Usage) -> MetricValues:
    """A tenant's metrics in the order of TENANT_METRICS."""
    reasons = (usage.refused.get(reason, 0) for reason in TENANT_METRICS[3:9])
    return (usage.asked, usage.served, usage.failed, *reasons, usage.in_hand, usage.bytes_held)


def class_metric_values(counts: ClassCounts) -> MetricValues:
    """A class's metrics in the order of CLASS_METRICS."""
    return tuple(getattr(counts, name) if name else 0 for name in CLASS_METRICS)
