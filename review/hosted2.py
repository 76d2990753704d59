"""Instances of the hosted service for the cases that need it: operator files, processes, calls."""

from __future__ import annotations

import os
import secrets
import subprocess
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import httpx

from review.support2 import START_LIMIT_S, CannotRunError, Stage, http_get
from standins.ports import free_ports

SERVE = "exec .venv-hosted/bin/notchflow serve {file}"
SERVICE = """
[service]
name = "{name}"
state = "state"
[[listeners]]
address = "127.0.0.1:{clients}"
[admin]
address = "127.0.0.1:{admin}"
rate_per_s = 100000.0
burst = 100000.0
[fleet]
connect_timeout_ms = 250.0
[[fleet.boxes]]
id = "box-1"
address = "{box}"
[[classes]]
name = "menu-read"
aim_ms = 500.0
deadline_ms = 1000.0
worth = 2.0
effect = "safe"
[tenants.limits]
rate_per_s = 1000.0
burst = 500.0
[[tenants.routes]]
method = "GET"
path = "/menus/{{day}}"
class = "menu-read"
key = ["day"]
"""
CLUSTER = """
[cluster]
name = "{name}"
listen = "127.0.0.1:{cluster}"
roster = [{roster}]
seeds = [{seeds}]
secret = "../cluster.secret"
rules = "fleet"
[cluster.addresses]
{addresses}
"""


class Instance:
    """One instance: its folder, its ports and its process, which may be started again."""

    def __init__(self, stage: Stage, name: str) -> None:
        self.stage, self.name = stage, name
        self.folder = stage.folder / name
        self.folder.mkdir()
        self.clients, self.admin, self.cluster = free_ports(3)
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def cluster_address(self) -> str:
        """Where the other instances reach it."""
        return f"127.0.0.1:{self.cluster}"

    def write_file(
        self, box: str, fleet: Sequence[Instance] = (), book: Mapping[str, str] | None = None
    ) -> None:
        """Writes its operator file: by itself, or a member of `fleet`, reached as `book` says."""
        text = SERVICE.format(name=self.name, clients=self.clients, admin=self.admin, box=box)
        if fleet:
            seeds = list(book.values()) if book else [one.cluster_address for one in fleet]
            text += CLUSTER.format(
                name=self.name,
                cluster=self.cluster,
                roster=", ".join(f'"{one.name}"' for one in fleet),
                seeds=", ".join(f'"{seed}"' for seed in seeds),
                addresses="\n".join(f'{name} = "{place}"' for name, place in (book or {}).items()),
            )
        (self.folder / "service.toml").write_text(text)

    def start(self) -> None:
        """Starts the process."""
        command = SERVE.format(file=self.folder / "service.toml")
        self.process = self.stage.spawn(self.name, command, {})
        self.stage.note("start", self.name, f"pid={self.process.pid}")

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self.stage.note("signal", self.name, number)

    async def until_listening(self) -> None:
        """Waits until the administration answers and the first token is there."""
        end = time.monotonic() + START_LIMIT_S
        while time.monotonic() < end:
            if await http_get(f"127.0.0.1:{self.admin}", "/openapi.json") == 200:
                return
        raise CannotRunError(f"{self.name}: the administration does not answer")

    @property
    def token(self) -> str:
        """The operator's token that its first start has written."""
        return (self.folder / "state" / "operator.token").read_text().strip()

    def api(self, token: str, seconds: float = 15.0) -> httpx.AsyncClient:
        """A client of its administration."""
        return httpx.AsyncClient(
            base_url=f"http://127.0.0.1:{self.admin}",
            trust_env=False,
            timeout=seconds,
            headers={"Authorization": f"Bearer {token}"},
        )

    async def ask(self, key: str, path: str = "/menus/2026-12-01") -> int:
        """The status of one request of a client with this API key; 0 without an answer."""
        try:
            async with httpx.AsyncClient(trust_env=False, timeout=3.0) as http:
                answer = await http.get(
                    f"http://127.0.0.1:{self.clients}{path}", headers={"Authorization": f"Bearer {key}"}
                )
                return answer.status_code
        except httpx.HTTPError:
            return 0


def write_secret(folder: Path) -> None:
    """The fleet's secret, in the folder that holds the instances' folders."""
    descriptor = os.open(folder / "cluster.secret", os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    os.write(descriptor, secrets.token_bytes(32))
    os.close(descriptor)


async def create_tenant(api: httpx.AsyncClient, tenant: str, **more: Any) -> str:
    """Creates a tenant and issues a key; returns the key."""
    created = await api.post("/v1/tenants", json={"id": tenant, **more})
    if created.status_code != 201:
        raise CannotRunError(f"tenant {tenant}: {created.status_code} {created.text[:200]}")
    issued = await api.post(f"/v1/tenants/{tenant}/keys", json={"label": "till"})
    if issued.status_code != 201:
        raise CannotRunError(f"key of {tenant}: {issued.status_code} {issued.text[:200]}")
    return str(issued.json()["token"])
