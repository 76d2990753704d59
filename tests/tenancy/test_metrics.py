"""Metrics by tenant."""

from __future__ import annotations

from notchflow.tenancy.directory import Directory
from notchflow.tenancy.metrics import lines
from notchflow.tenancy.model import Limits, Tenant


def make_directory(count: int) -> Directory:
    directory = Directory(Limits(), (), 1_000)
    for number in range(count):
        directory.put(Tenant(f"t-{number}"), 0.0)
        usage = directory.entries[f"t-{number}"].usage
        usage.asked = usage.served = number
    return directory


def test_the_tenants_with_most_requests_are_named_and_the_others_summed_up() -> None:
    text = lines(make_directory(10).entries.values(), named_max=3)
    assert [line for line in text if line.startswith("svc_tenant_asked")] == [
        'svc_tenant_asked{tenant="t-9"} 9',
        'svc_tenant_asked{tenant="t-8"} 8',
        'svc_tenant_asked{tenant="t-7"} 7',
        'svc_tenant_asked{tenant=""} 21',
    ]
    assert sum(line.startswith("# TYPE") for line in text) == 6


def test_few_tenants_are_all_named_and_rejections_are_summed_up() -> None:
    directory = make_directory(3)
    directory.entries["t-1"].usage.count_rejection("rate")
    directory.entries["t-1"].usage.count_rejection("module")
    text = lines(directory.entries.values())
    assert 'svc_tenant_refused{tenant="t-1"} 2' in text and 'svc_tenant_refused{tenant="t-2"} 0' in text
    assert not any(
        'tenant=""' in line or "t-0" in line for line in text
    ), "tenants without requests are left out"


def test_without_requests_there_are_only_type_lines() -> None:
    assert all(line.startswith("# TYPE") for line in lines(make_directory(1).entries.values()))
