"""Metrics by tenant and by class, replicated between all instances. No I/O.

Each incarnation of an instance has its own metrics, which only it changes: a copy is identified by its
version, and merging two copies takes the later one (a state-based CRDT with one register per instance,
incarnation and tenant). An instance sends each member directly what changed since the version that the member
acknowledged, a bounded part at a time; a lost message is made up for by later ones. Of incarnations that
ended the last counters received are kept, as one sum per tenant.
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
CLASS_PREFIX: Final = "class/"  # of keys that are classes; tenant names contain no slash
GAUGE_COLUMNS: Final = 2  # the last columns of a row; they end with their incarnation
ROWS_PER_MESSAGE: Final = 8
MESSAGES_PER_TICK: Final = 2  # to each member
TENANTS_MAX: Final = 10_000  # replicated per instance; further ones are not

MetricValues = tuple[int, ...]
ZERO: Final[MetricValues] = (0,) * len(TENANT_METRICS)


def add_values(a: MetricValues, b: MetricValues) -> MetricValues:
    """Adds two rows column by column."""
    return tuple(x + y for x, y in zip(a, b, strict=True))


@dataclass(slots=True)
class MetricsCopy:
    """Copy of another instance's metrics: of its current incarnation, and the sum of earlier ones."""

    incarnation: Incarnation = NO_INCARNATION
    version: int = 0  # all changes up to this one were received
    updated_at: float = float("-inf")
    rows: dict[str, MetricValues] = field(default_factory=dict)
    ended: dict[str, MetricValues] = field(default_factory=dict)

    def begin_incarnation(self, incarnation: Incarnation) -> None:
        """Switches to a newer incarnation; counters of the previous one are kept."""
        for tenant, values in self.rows.items():
            counters = values[:-GAUGE_COLUMNS] + (0,) * GAUGE_COLUMNS
            self.ended[tenant] = add_values(self.ended.get(tenant, ZERO), counters)
        self.incarnation, self.version, self.rows = incarnation, 0, {}


@dataclass(frozen=True, slots=True)
class FleetTotal:
    """Fleet-wide metrics of a tenant or class: values by name, age of the oldest copy, members missing."""

    values: Mapping[str, int]
    age_ms: float
    missing: tuple[str, ...]


class FleetMetrics:
    """One instance's own metrics, and its copies of the other instances' metrics."""

    def __init__(self, own_name: str, roster: Iterable[str]) -> None:
        self.own_name = own_name
        self.others = [name for name in sorted(set(roster)) if name != own_name]
        self.own: dict[str, MetricValues] = {}
        self.changed_in: dict[str, int] = {}  # by tenant: version of its last change, in that order
        self.version = 0
        self.acknowledged: dict[str, tuple[Incarnation, int]] = {}
        self.copies: dict[str, MetricsCopy] = {name: MetricsCopy() for name in self.others}
        self.unreported_tenants = 0

    # -- own metrics
    def set(self, tenant: str, values: MetricValues) -> None:
        """Sets the current values of a tenant or class."""
        if self.own.get(tenant, ZERO) == values:
            return
        if tenant not in self.own and len(self.own) >= TENANTS_MAX:
            self.unreported_tenants += 1
            return
        self.version += 1
        self.own[tenant] = values
        self.changed_in.pop(tenant, None)
        self.changed_in[tenant] = self.version

    def forget(self, tenant: str) -> None:
        """Removes a tenant."""
        self.own.pop(tenant, None)
        self.changed_in.pop(tenant, None)
        for copy in self.copies.values():
            copy.rows.pop(tenant, None)
            copy.ended.pop(tenant, None)

    # -- between instances
    def tick(self, present: Mapping[str, Incarnation]) -> list[tuple[str, MetricsUpdate]]:
        """Messages with the changes that present members have not acknowledged, oldest first; a message
        without rows for a member that has all."""
        messages = []
        for name, incarnation in present.items():
            acknowledged = self.acknowledged.get(name)
            since = acknowledged[1] if acknowledged is not None and acknowledged[0] == incarnation else 0
            messages += [(name, message) for message in self._changes_since(since)]
        return messages

    def _changes_since(self, since: int) -> list[MetricsUpdate]:
        """Messages with the changes after a version."""
        if since >= self.version:
            return [MetricsUpdate(since, self.version, ())]
        rows = []
        for tenant in reversed(self.changed_in):
            if self.changed_in[tenant] <= since:
                break
            rows.append((self.changed_in[tenant], tenant))
        rows.reverse()
        messages = []
        for start in range(0, min(len(rows), ROWS_PER_MESSAGE * MESSAGES_PER_TICK), ROWS_PER_MESSAGE):
            chunk = rows[start : start + ROWS_PER_MESSAGE]
            up_to = chunk[-1][0] if start + ROWS_PER_MESSAGE < len(rows) else self.version
            messages.append(
                MetricsUpdate(
                    since, up_to, tuple(MetricsRow(tenant, self.own[tenant]) for _, tenant in chunk)
                )
            )
            since = up_to
        return messages

    def handle_update(
        self, now: float, sender: str, incarnation: Incarnation, body: MetricsUpdate
    ) -> MetricsAck | None:
        """Applies another instance's metrics and returns the acknowledgement. An update that starts after the
        known version is not applied; the sender repeats what is missing."""
        copy = self.copies.get(sender)
        if copy is None or incarnation < copy.incarnation:
            return None
        if incarnation > copy.incarnation:
            copy.begin_incarnation(incarnation)
        if body.since > copy.version:
            return MetricsAck(copy.version)
        if body.up_to >= copy.version:
            for row in body.rows:
                copy.rows[row.tenant] = normalize(row.values)
            copy.version, copy.updated_at = body.up_to, now
        return MetricsAck(copy.version)

    def handle_ack(self, sender: str, incarnation: Incarnation, body: MetricsAck) -> None:
        """Records the version that a member has acknowledged."""
        acknowledged = self.acknowledged.get(sender)
        if acknowledged is None or acknowledged[0] != incarnation or body.version >= acknowledged[1]:
            self.acknowledged[sender] = incarnation, min(body.version, self.version)

    # -- fleet-wide metrics
    def classes(self) -> list[str]:
        """Names of all classes counted by any instance, sorted."""
        copies = self.copies.values()
        keys = {*self.own, *(key for copy in copies for key in (*copy.rows, *copy.ended))}
        return sorted(key.removeprefix(CLASS_PREFIX) for key in keys if key.startswith(CLASS_PREFIX))

    def total(self, key: str) -> dict[str, int]:
        """Fleet-wide metrics by name, of a tenant or of a class by its prefixed key."""
        total = self.own.get(key, ZERO)
        for copy in self.copies.values():
            total = add_values(total, add_values(copy.rows.get(key, ZERO), copy.ended.get(key, ZERO)))
        names = CLASS_METRICS if key.startswith(CLASS_PREFIX) else TENANT_METRICS
        return {name: n for name, n in zip(names, total, strict=True) if name}

    def coverage(self, now: float, left: frozenset[str], fresh_ms: float) -> tuple[float, tuple[str, ...]]:
        """Age of the oldest copy (ms), and the members missing: those that have not left and sent no update
        for longer than `fresh_ms`. The sums contain the last metrics received from them."""
        age, missing = 0.0, []
        for name, copy in self.copies.items():
            if name in left:
                continue
            copy_age = now - copy.updated_at
            if copy_age > fresh_ms:
                missing.append(name)
            else:
                age = max(age, copy_age)
        return age, tuple(missing)

    def sum(self, now: float, tenant: str, left: frozenset[str], fresh_ms: float) -> FleetTotal:
        """Fleet-wide metrics of a tenant with their coverage."""
        return FleetTotal(self.total(tenant), *self.coverage(now, left, fresh_ms))


def normalize(values: tuple[int, ...]) -> MetricValues:
    """Fits a row of an older or newer format to the columns known here."""
    return (values + ZERO)[: len(TENANT_METRICS)]
