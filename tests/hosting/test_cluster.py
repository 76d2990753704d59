"""The section `cluster`: validated before anything listens; fleets of processes seen through their APIs."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import httpx
import pytest

from notchflow.hosting.file import InvalidFileError, decode
from notchflow.hosting.fleet import Fleet
from notchflow.tenancy.model import Limits
from standins.discovery import StandInDiscovery, node_entry
from standins.node import NodeProfile, StandInNode
from tests.hosting.rig import ROOT
from tests.rig import run

BASE: dict[str, Any] = {
    "listeners": [{"address": "127.0.0.1:1"}],
    "admin": {"address": "127.0.0.1:2"},
    "fleet": {"discovery": "127.0.0.1:3"},
    "classes": [{"name": "read", "aim_ms": 1.0, "deadline_ms": 1.0, "effect": "safe"}],
}
CLUSTER: dict[str, Any] = {
    "name": "p1",
    "listen": "127.0.0.1:4",
    "roster": ["p1", "p2"],
    "seeds": ["127.0.0.1:5"],
    "secret": "secret",
}


def errors_of(folder: Path, **changes: Any) -> list[str]:
    section = {name: value for name, value in (CLUSTER | changes).items() if value is not None}
    try:
        decode(BASE | {"cluster": section}, folder / "service.toml")
    except InvalidFileError as error:
        return [str(fault) for fault in error.issues]
    return []


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "secret").write_bytes(b"s" * 32)
    (tmp_path / "secret").chmod(0o600)
    return tmp_path


def test_a_valid_section_is_accepted(folder: Path) -> None:
    assert errors_of(folder) == []
    assert errors_of(folder, seeds=[], addresses={"p2": "127.0.0.1:6"}) == []
    assert errors_of(folder, roster=["p1"], seeds=[]) == []
    many = [f"p{n}" for n in range(1_024)]
    seeds = [f"127.0.{n // 250}.{n % 250 + 1}:7946" for n in range(1_024)]
    assert errors_of(folder, roster=many, seeds=seeds) == [], "a fleet of over a thousand"


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"roster": ["p2", "p3"]}, "cluster.roster: lacks 'p1', which is cluster.name; add it"),
        ({"roster": ["p1", "p2", "p2"]}, "cluster.roster: holds p2 twice"),
        ({"roster": []}, "cluster.roster: has 0 names; 1 to 4096"),
        ({"roster": [f"p{n}" for n in range(10_000)]}, "cluster.roster: has 10000 names; 1 to 4096"),
        ({"roster": ["p1", "p 2"]}, "cluster.roster[1]: is 'p 2'"),
        ({"seeds": []}, "cluster.seeds: is empty, and so is cluster.addresses"),
        ({"listen": "127.0.0.1:1"}, "cluster.listen: is '127.0.0.1:1', which is a listener's already"),
        ({"listen": "localhost:4"}, "cluster.listen: is 'localhost:4'; a numeric address is needed"),
        ({"seeds": ["127.0.0.1:99999"]}, "cluster.seeds[0]: expected host:port"),
        ({"addresses": {"p9": "127.0.0.1:6"}}, "cluster.addresses.p9: is not on the roster"),
        ({"secret": "nowhere"}, "cluster.secret: is "),
        ({"secret": None}, "cluster.secret: is missing and has no default"),
        ({"contact_ms": 1.0}, "cluster.contact_ms: is 1.0"),
        ({"colour": "red"}, "cluster.colour: unknown name"),
    ],
)
def test_an_error_names_place_value_and_remedy(folder: Path, changes: dict[str, Any], expected: str) -> None:
    found = errors_of(folder, **changes)
    assert len(found) == 1 and found[0].startswith(expected), found


def test_all_errors_are_reported_at_once(folder: Path) -> None:
    (folder / "secret").chmod(0o644)
    found = errors_of(folder, roster=["p2", "p2"], listen="127.0.0.1:2")
    assert [text.partition(":")[0] for text in found] == [
        "cluster.roster",
        "cluster.roster",
        "cluster.listen",
        "cluster.secret",
    ]
    assert "chmod 600" in found[-1]


def test_an_address_in_use_ends_the_start_with_an_error(tmp_path: Path) -> None:
    async def test() -> None:
        registry = StandInDiscovery()
        await registry.start()
        fleet = Fleet(tmp_path, 2, registry.address, ["alfa"])
        fleet.prepare()
        fleet.instances["p1"].spawn()
        await fleet.instances["p1"].wait_until_ready()
        second = fleet.instances["p2"]
        second.file.write_text(
            second.file.read_text().replace(
                f'listen = "127.0.0.1:{second.ports.cluster}"',
                f'listen = "127.0.0.1:{fleet.instances["p1"].ports.cluster}"',
            )
        )
        second.spawn()
        assert second.process is not None and second.process.wait(20) == 1
        assert "cannot listen" in second.log and "Traceback" not in second.log
        await fleet.stop()
        registry.stop()

    run(test(), 60)


def test_a_full_disk_stops_the_history_and_an_unusable_folder_the_start(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        registry = StandInDiscovery()
        await registry.start()
        fleet = Fleet(tmp_path, 2, registry.address, ["alfa"])
        fleet.prepare()
        one, two = fleet.instances.values()
        one.file.write_text(one.file.read_text().replace('"history.jsonl"', '"/dev/full"'))
        (two.folder / "state" / "cluster").write_text("no folder")
        one.spawn()
        two.spawn()
        await one.wait_until_ready()
        assert "the history cannot be written: [Errno 28]" in one.log
        assert two.process is not None and two.process.wait(20) == 1
        assert "Not a directory" in two.log and "Traceback" not in two.log
        await fleet.stop()
        registry.stop()

    run(test(), 60)


def test_requests_in_hand_of_a_tenant_are_limited_over_the_fleet(tmp_path: Path) -> None:
    """The limit is six; two instances get ten requests each at once, for a slow node."""

    async def test() -> None:
        registry = StandInDiscovery()
        await registry.start()
        box = StandInNode("box-1", NodeProfile(1.5, 64, 16))
        await box.start()
        await registry.put(node_entry(box.name, box.address))
        fleet = Fleet(tmp_path, 2, registry.address, ["alfa"], limits=Limits(1_000.0, 1_000.0, in_hand=6))
        fleet.prepare()
        await fleet.start()
        token = fleet.tokens["alfa"]
        async with httpx.AsyncClient(trust_env=False, timeout=20) as http:
            answers = await asyncio.gather(
                *(
                    http.get(
                        f"http://127.0.0.1:{one.ports.clients}/orders/{number}",
                        headers={"Authorization": f"Bearer {token}"},
                    )
                    for one in fleet.instances.values()
                    for number in range(10)
                )
            )
        admitted = [answer for answer in answers if answer.status_code != 429]
        assert 4 <= len(admitted) <= 6
        assert {answer.json()["limit"] for answer in answers if answer.status_code == 429} == {"in-hand"}
        await fleet.stop()
        box.stop()
        registry.stop()

    run(test(), 60)


async def _check_fleet_usage(fleet: Fleet) -> None:
    """Each of three instances gets requests; all report the fleet's metrics, also after one is killed."""
    token = fleet.tokens["alfa"]
    async with httpx.AsyncClient(trust_env=False) as http:
        for number, one in enumerate(fleet.instances.values(), 1):
            for _ in range(number):
                await http.get(
                    f"http://127.0.0.1:{one.ports.clients}/menus/d1",
                    headers={"Authorization": f"Bearer {token}"},
                )

    async def fleet_usage(name: str) -> dict[str, Any]:
        found = await fleet.instances[name].call("/v1/tenants/alfa/usage")
        assert found is not None
        return dict(found["fleet"])

    async def class_total(name: str) -> int:
        view = await fleet.instances[name].view()
        assert view is not None
        return sum(
            counts["fulfilled"] + counts["throttled"] + counts["faulted"]
            for counts in view["figures"]["classes"].values()
        )

    async with asyncio.timeout(20):
        while [(await fleet_usage(name))["asked"] for name in fleet.names] != [6, 6, 6]:
            await asyncio.sleep(0.05)
        while [await class_total(name) for name in fleet.names] != [6, 6, 6]:
            await asyncio.sleep(0.05)
        assert (await fleet_usage("p1"))["missing"] == []
        fleet.instances["p3"].kill()
        while (await fleet_usage("p1"))["missing"] != ["p3"]:
            await asyncio.sleep(0.05)
        assert (await fleet_usage("p1"))["asked"] == 6
        fleet.instances["p3"].spawn()
        await fleet.instances["p3"].wait_until_ready()
        while [(await fleet_usage(name))["asked"] for name in fleet.names] != [6, 6, 3]:
            await asyncio.sleep(0.05)  # only p3 has lost the counts of its former incarnation


def test_one_instance_shows_the_fleet_by_its_api_its_console_and_the_command_line(tmp_path: Path) -> None:
    async def test() -> None:
        registry = StandInDiscovery()
        await registry.start()
        fleet = Fleet(tmp_path, 3, registry.address, ["alfa"])
        fleet.prepare()
        await fleet.start()
        assert await fleet.wait_until_agreed(20, 3) is not None
        one = fleet.instances["p2"]
        view = await one.view()
        assert view is not None and view["name"] == "p2" and view["takes"]
        assert [m["name"] for m in view["members"]] == ["p1", "p2", "p3"]
        assert {m["state"] for m in view["members"]} == {"alive"}
        assert view["bounds"].keys() == {"contact_ms", "detection_ms", "heal_ms", "one_name_ms", "lent_ms"}
        token_file = tmp_path / "token"
        token_file.write_text(one.token)
        command = [
            sys.executable,
            "-m",
            "notchflow",
            "cluster",
            "--url",
            f"http://127.0.0.1:{one.ports.admin}",
            "--token-file",
            str(token_file),
        ]

        def call(*rest: str, code: int = 0) -> str:
            done = subprocess.run([*command, *rest], cwd=ROOT, capture_output=True, text=True, timeout=30)
            assert done.returncode == code, done.stderr
            return done.stdout + done.stderr

        async with asyncio.timeout(20):  # the first metrics update is sent half a second after the start
            while (await one.view() or {"figures": {"missing": ["?"]}})["figures"]["missing"]:
                await asyncio.sleep(0.05)
        shown = call("members")
        assert "standing" in shown and "alive" in shown and "bounds" in shown
        assert "missing: nobody" in call("figures")
        command.insert(4, "--json")
        assert json.loads(call("members"))["name"] == "p2"
        assert json.loads(call("figures"))["missing"] == []
        assert "p1=alive" in call("watch", "--seconds", "0.1")
        histories = [str(other.history) for other in fleet.instances.values()]
        lines = json.loads(call("history", *histories))
        assert {line["who"] for line in lines} == {"p1", "p2", "p3"}
        assert [line["t"] for line in lines] == sorted(line["t"] for line in lines)
        assert "no such file" in call("history", "nowhere", code=2)
        async with asyncio.timeout(20):  # the policy of each instance is given the size of the fleet
            while {v["balancers"] for v in (await fleet.views()).values()} != {3}:
                await asyncio.sleep(0.05)
        async with httpx.AsyncClient(trust_env=False) as http:
            ready = await http.get(f"http://127.0.0.1:{one.ports.clients}/health/ready")
        assert (ready.status_code, ready.headers["x-standing"], ready.headers["x-instance"]) == (
            200,
            "whole",
            "p2",
        )
        await _check_fleet_usage(fleet)
        one.terminate()
        assert await one.wait_until_ended() == 0
        assert "cluster: " in call("members", code=1)
        await fleet.stop()
        registry.stop()

    run(test(), 90)
