"""Figures by tenant."""

from __future__ import annotations

from notchflow.tenancy.directory import Directory
from notchflow.tenancy.metrics import lines
from notchflow.tenancy.model import Limits, Tenant


def directory(count: int) -> Directory:
    made = Directory(Limits(), (), 1_000)
    for number in range(count):
        made.put(Tenant(f"t-{number}"), 0.0)
        usage = made.entries[f"t-{number}"].usage
        usage.asked = usage.served = number
    return made


def test_who_asks_the_most_is_named_and_the_rest_stand_together() -> None:
    told = lines(directory(10).entries.values(), named_max=3)
    assert [line for line in told if line.startswith("svc_tenant_asked")] == [
        'svc_tenant_asked{tenant="t-9"} 9',
        'svc_tenant_asked{tenant="t-8"} 8',
        'svc_tenant_asked{tenant="t-7"} 7',
        'svc_tenant_asked{tenant=""} 21',
    ]
    assert sum(line.startswith("# TYPE") for line in told) == 6


def test_all_are_named_where_they_are_few_and_refusals_are_summed() -> None:
    made = directory(3)
    made.entries["t-1"].usage.count_rejection("rate")
    made.entries["t-1"].usage.count_rejection("module")
    told = lines(made.entries.values())
    assert 'svc_tenant_refused{tenant="t-1"} 2' in told and 'svc_tenant_refused{tenant="t-2"} 0' in told
    assert not any('tenant=""' in line or "t-0" in line for line in told), "who never asked is not told of"


def test_nobody_has_asked() -> None:
    assert all(line.startswith("# TYPE") for line in lines(directory(1).entries.values()))
