"""Metrics by tenant, in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Iterable
from heapq import nlargest
from typing import Final

from notchflow.tenancy.directory import Entry
from notchflow.tenancy.limits import Usage

# Formatting ten thousand tenants blocks the loop for 60 ms, so only the tenants with most requests are named.
MAX_NAMED_TENANTS: Final = 200
METRIC_NAMES: Final = ("asked", "served", "failed", "refused", "in_hand", "bytes_held")
COUNTER_COUNT: Final = 4  # the first four are counters, the others gauges


def lines(entries: Iterable[Entry], named_max: int = MAX_NAMED_TENANTS) -> list[str]:
    """One line per tenant and metric. The tenants beyond `named_max` are summed up as the tenant "" (no ID is
    empty); a tenant without requests is left out."""
    active = [entry for entry in entries if entry.usage.asked]
    named = nlargest(named_max, active, key=lambda entry: (entry.usage.asked, entry.tenant.id))
    rows = {entry.tenant.id: _values(entry.usage) for entry in named}
    if len(active) > len(named):
        remaining = set(map(id, active)) - set(map(id, named))
        sums = zip(*(_values(entry.usage) for entry in active if id(entry) in remaining), strict=True)
        rows[""] = tuple(sum(column) for column in sums)
    text = []
    for index, name in enumerate(METRIC_NAMES):
        text.append(f"# TYPE svc_tenant_{name} {'counter' if index < COUNTER_COUNT else 'gauge'}")
        text += [f'svc_tenant_{name}{{tenant="{tenant}"}} {values[index]}' for tenant, values in rows.items()]
    return text


def _values(usage: Usage) -> tuple[int, ...]:
    return (
        usage.asked,
        usage.served,
        usage.failed,
        sum(usage.refused.values()),
        usage.in_hand,
        usage.bytes_held,
    )
