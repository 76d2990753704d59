"""Figures by tenant and by class that all instances know of one another. Pure.

Each life of an instance counts for itself, and its figures only ever change by itself: a copy of them is as
good as its version, and joining two copies takes the later one (a state-based CRDT, one register by instance,
life and tenant). Who counts sends what has changed since the version that a member has acknowledged, straight
to each, a bounded part at a time; nothing is lost for good by a message that is. Of a life that has ended the
last figures that came stay, in one sum by tenant.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from notchflow.cluster.messages import MetricsAck, MetricsRow, MetricsUpdate
from notchflow.cluster.model import NO_INCARNATION, Incarnation

TENANT_METRICS: Final = (
    "asked",
    "served",
    "failed",
    "rate",
    "in-hand",
    "bytes-held",
    "share",
    "capacity",
    "module",
    "open",
    "held",
)
CLASS_METRICS: Final = (
    "fulfilled",
    "throttled",
    "faulted",
    "departed",
    "relayed",
    "",
    "",
    "",
    "",
    "open",
    "",
)
CLASS_PREFIX: Final = "class/"  # before the name of a class; no tenant's name has the mark
GAUGES: Final = 2  # the last places of a row: gone with their life
ROWS_A_MESSAGE: Final = 8
MESSAGES_A_TICK: Final = 2  # to one member
TENANTS_MAX: Final = 10_000  # of one instance; more are not told of

MetricValues = tuple[int, ...]
ZERO: Final[MetricValues] = (0,) * len(TENANT_METRICS)


def added(a: MetricValues, b: MetricValues) -> MetricValues:
    return tuple(x + y for x, y in zip(a, b, strict=True))


@dataclass(slots=True)
class Copy:
    """What is known of one instance's figures: of its present life, and the sum of those before."""

    incarnation: Incarnation = NO_INCARNATION
    version: int = 0  # all changes up to this one have come
    as_of: float = float("-inf")
    rows: dict[str, MetricValues] = field(default_factory=dict)
    past: dict[str, MetricValues] = field(default_factory=dict)

    def turn(self, life: Incarnation) -> None:
        """A new life has begun; of the one before the counters stay."""
        for tenant, values in self.rows.items():
            counters = values[:-GAUGES] + (0,) * GAUGES
            self.past[tenant] = added(self.past.get(tenant, ZERO), counters)
        self.incarnation, self.version, self.rows = life, 0, {}


@dataclass(frozen=True, slots=True)
class Sum:
    """The fleet's figures of a tenant or a class: values by name, how old the oldest part is (ms), who is not
    in it."""

    values: Mapping[str, int]
    age_ms: float
    missing: tuple[str, ...]


class FleetMetrics:
    """One instance's own figures, and its copies of the others'."""

    def __init__(self, me: str, roster: Iterable[str]) -> None:
        self.me = me
        self.others = [name for name in sorted(set(roster)) if name != me]
        self.own: dict[str, MetricValues] = {}
        self.stamps: dict[str, int] = {}  # by tenant: the version that changed it last; in that order
        self.version = 0
        self.acked: dict[str, tuple[Incarnation, int]] = {}
        self.copies: dict[str, Copy] = {name: Copy() for name in self.others}
        self.untold = 0

    # -- own figures
    def set(self, tenant: str, values: MetricValues) -> None:
        """The figures as they are now."""
        if self.own.get(tenant, ZERO) == values:
            return
        if tenant not in self.own and len(self.own) >= TENANTS_MAX:
            self.untold += 1
            return
        self.version += 1
        self.own[tenant] = values
        self.stamps.pop(tenant, None)
        self.stamps[tenant] = self.version

    def forget(self, tenant: str) -> None:
        self.own.pop(tenant, None)
        self.stamps.pop(tenant, None)
        for copy in self.copies.values():
            copy.rows.pop(tenant, None)
            copy.past.pop(tenant, None)

    # -- between instances
    def tick(self, present: Mapping[str, Incarnation]) -> list[tuple[str, MetricsUpdate]]:
        """What members that may be there do not know yet, in the order in which it changed; where they know
        all, a message without rows that says so."""
        found = []
        for name, life in present.items():
            held = self.acked.get(name)
            since = held[1] if held is not None and held[0] == life else 0
            found += [(name, message) for message in self._since(since)]
        return found

    def _since(self, since: int) -> list[MetricsUpdate]:
        """Messages of what is newer than a version: the stamps are in order, the newest last."""
        if since >= self.version:
            return [MetricsUpdate(since, self.version, ())]
        rows = []
        for tenant in reversed(self.stamps):
            if self.stamps[tenant] <= since:
                break
            rows.append((self.stamps[tenant], tenant))
        rows.reverse()
        messages = []
        for start in range(0, min(len(rows), ROWS_A_MESSAGE * MESSAGES_A_TICK), ROWS_A_MESSAGE):
            part = rows[start : start + ROWS_A_MESSAGE]
            up_to = part[-1][0] if start + ROWS_A_MESSAGE < len(rows) else self.version
            messages.append(
                MetricsUpdate(since, up_to, tuple(MetricsRow(tenant, self.own[tenant]) for _, tenant in part))
            )
            since = up_to
        return messages

    def handle_update(
        self, now: float, sender: str, life: Incarnation, body: MetricsUpdate
    ) -> MetricsAck | None:
        """Figures of another; what is acknowledged. A part whose beginning is missing is not taken: what it
        leaves out comes again."""
        copy = self.copies.get(sender)
        if copy is None or life < copy.incarnation:
            return None
        if life > copy.incarnation:
            copy.turn(life)
        if body.since > copy.version:
            return MetricsAck(copy.version)
        if body.up_to >= copy.version:
            for row in body.rows:
                copy.rows[row.tenant] = fitted(row.values)
            copy.version, copy.as_of = body.up_to, now
        return MetricsAck(copy.version)

    def handle_ack(self, sender: str, life: Incarnation, body: MetricsAck) -> None:
        """How far a member has come."""
        held = self.acked.get(sender)
        if held is None or held[0] != life or body.version >= held[1]:
            self.acked[sender] = life, min(body.version, self.version)

    # -- what is known
    def classes(self) -> list[str]:
        """The names of all classes that anybody has counted."""
        copies = self.copies.values()
        keys = {*self.own, *(key for copy in copies for key in (*copy.rows, *copy.past))}
        return sorted(key.removeprefix(CLASS_PREFIX) for key in keys if key.startswith(CLASS_PREFIX))

    def total(self, key: str) -> dict[str, int]:
        """The fleet's figures of a tenant, or of a class by its key, by their names."""
        total = self.own.get(key, ZERO)
        for copy in self.copies.values():
            total = added(total, added(copy.rows.get(key, ZERO), copy.past.get(key, ZERO)))
        names = CLASS_METRICS if key.startswith(CLASS_PREFIX) else TENANT_METRICS
        return {name: n for name, n in zip(names, total, strict=True) if name}

    def coverage(self, now: float, left: frozenset[str], fresh_ms: float) -> tuple[float, tuple[str, ...]]:
        """The age of the oldest part of all figures (ms), and who is missing: has not left and was not heard
        for longer than `fresh_ms`. Their last figures are in the sums, what they counted since is not."""
        age, missing = 0.0, []
        for name, copy in self.copies.items():
            if name in left:
                continue
            old = now - copy.as_of
            if old > fresh_ms:
                missing.append(name)
            else:
                age = max(age, old)
        return age, tuple(missing)

    def sum(self, now: float, tenant: str, left: frozenset[str], fresh_ms: float) -> Sum:
        """The fleet's figures, with how far they reach."""
        return Sum(self.total(tenant), *self.coverage(now, left, fresh_ms))


def fitted(values: tuple[int, ...]) -> MetricValues:
    """Figures of an older or a newer form, as this one has them."""
    return (values + ZERO)[: len(TENANT_METRICS)]
