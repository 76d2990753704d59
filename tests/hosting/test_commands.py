"""Commands run as processes: the demo and the administration client; a start with ten thousand tenants."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import httpx

from notchflow.state.database import Database
from notchflow.tenancy.keys import KEY, mint
from notchflow.tenancy.model import ApiKey, Tenant
from tests.hosting.rig import ROOT, Service
from tests.rig import run

LONG = 60.0
TENANT_COUNT = 10_000


def start(*arguments: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "notchflow", *arguments],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def test_the_demo_serves_every_class_tenant_and_node_and_ends_after_its_time() -> None:
    process = start("demo", "--seconds", "3", "--plain", "--rate", "100")
    out, err = process.communicate(timeout=LONG)
    assert process.returncode == 0, err
    last = dict(pair.split("=") for pair in out.strip().splitlines()[-1].split())
    served, asked = last.pop("served").split("/")
    assert int(asked) >= 200 and int(served) >= 0.9 * int(asked)
    assert {"menu-read", "order-status", "comedor-sur", "vianda-norte", "box-1", "box-4"} <= last.keys()


def test_the_demo_ends_cleanly_at_ctrl_c() -> None:
    process = start("demo", "--plain")
    assert process.stdout is not None
    while "served=" not in (line := process.stdout.readline()):
        assert line, process.communicate()[1]
    process.send_signal(signal.SIGINT)
    out, err = process.communicate(timeout=LONG)
    assert process.returncode == 0 and "Traceback" not in err
    assert "draining" in err, "the service was stopped gracefully"


def test_a_demo_without_a_rate_is_an_error() -> None:
    process = start("demo", "--rate", "0")
    _, err = process.communicate(timeout=LONG)
    assert process.returncode == 2 and "must be above 0" in err


def test_the_administration_client_runs_every_command(tmp_path: Path) -> None:
    async def test() -> None:
        async with Service(tmp_path) as service:
            token = service.api.headers["Authorization"].removeprefix("Bearer ")
            environment = os.environ | {
                "NOTCHFLOW_TOKEN": token,
                "COLUMNS": "250",
                "NOTCHFLOW_ADMIN": f"http://127.0.0.1:{service.admin_port}",
            }

            async def admin(*words: str, code: int = 0) -> str:
                done = await asyncio.to_thread(
                    subprocess.run,
                    [sys.executable, "-m", "notchflow", "admin", *words],
                    cwd=ROOT,
                    env=environment,
                    capture_output=True,
                    text=True,
                    timeout=30,
                )
                assert done.returncode == code, done.stderr
                return done.stdout if code == 0 else done.stderr

            assert "alfa" in await admin("tenants", "create", "alfa", "--name", "Comedor Alfa")
            key = json.loads(await admin("--json", "keys", "issue", "alfa", "--label", "till"))
            service.tokens["alfa"] = key["token"]
            assert (await service.ask("alfa")).status == 200
            put = json.loads(await admin("--json", "limits", "set", "alfa", "--rate-per-s", "7"))
            assert put["limits"]["rate_per_s"] == 7 and put["limits"]["in_hand"] == 100_000
            assert "suspended" in await admin("tenants", "suspend", "alfa")
            assert (await service.ask("alfa")).status == 403
            assert "active" in await admin("tenants", "resume", "alfa")
            assert json.loads(await admin("--json", "tenants", "usage", "alfa"))["served"] == 1
            assert "s-0" in await admin("boxes", "list")
            assert "state: suspended -> active" in await admin("events", "list")
            assert "phase: active" in await admin("proxy", "show")
            assert "phase: standby" in await admin("proxy", "standby")
            ready = f"http://127.0.0.1:{service.port}/health/ready"
            async with httpx.AsyncClient(trust_env=False) as http:
                assert (await http.get(ready)).status_code == 503
                assert "serving: true" in await admin("proxy", "active")
                assert (await http.get(ready)).status_code == 200
            await admin("keys", "revoke", "alfa", key["id"])
            assert (await service.ask("alfa")).status == 401
            own = json.loads(await admin("--json", "tokens", "issue", "--tenant", "alfa"))
            environment["NOTCHFLOW_TOKEN"] = own["token"]
            assert "(403)" in await admin("tenants", "retire", "alfa", code=1)
            assert "(404)" in await admin("tenants", "show", "beta", code=1)
            environment["NOTCHFLOW_TOKEN"] = token
            assert "retiring" in await admin("tenants", "retire", "alfa")
            assert "no token" in await admin("--token-file", str(service.file), "tenants", "list", code=2)
            assert "no token" in await admin("--token-file", os.devnull, "tenants", "list", code=2)
            environment["NOTCHFLOW_ADMIN"] = "http://127.0.0.1:1"
            assert "127.0.0.1:1" in await admin("tenants", "list", code=1)

    run(test(), LONG)


def test_ten_thousand_tenants_are_served_from_the_start(tmp_path: Path) -> None:
    minted = [mint(KEY) for _ in range(TENANT_COUNT)]
    db = Database(tmp_path / "state")
    with db.change():
        for number, key in enumerate(minted):
            db.put_tenant(Tenant(f"tenant-{number:05}"))
            db.put_key(ApiKey(key.id, f"tenant-{number:05}", key.digest))
    db.close()

    async def test() -> None:
        async with Service(tmp_path) as service:
            for number in (0, TENANT_COUNT // 2, TENANT_COUNT - 1):
                name = f"tenant-{number:05}"
                service.tokens[name] = minted[number].token
                assert (await service.ask(name)).status == 200
            assert {seen.headers["x-caller"] for seen in service.sent} == {
                "tenant-00000",
                "tenant-05000",
                "tenant-09999",
            }
            page = (await service.api.get("/v1/tenants?limit=500&cursor=tenant-09499")).json()
            assert len(page["items"]) == 500 and page["next"] is None
            await service.add("one-more")
            assert (await service.ask("one-more")).status == 200

    run(test(), LONG)
