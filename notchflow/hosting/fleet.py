"""A fleet of service instances on this machine, each in its own process with its own folder.

Used by `notchflow fleet up`, the fault rig (`notchflow/faults/rig.py`), tests and benchmarks.
"""

from __future__ import annotations

import asyncio
import os
import secrets
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import httpx

from notchflow.cluster.messages import SECRET_BYTES_MIN
from notchflow.hosting.demo import FILE_TEMPLATE
from notchflow.state.database import Database, Token
from notchflow.tenancy.keys import ADMIN, KEY, mint
from notchflow.tenancy.model import ApiKey, Limits, Tenant
from standins.ports import free_ports

START_TIMEOUT_S: Final = 30.0
STOP_TIMEOUT_S: Final = 10.0
CLUSTER_SECTION: Final = """
[cluster]
name = "{name}"
listen = "127.0.0.1:{port}"
roster = [{roster}]
seeds = [{seeds}]
secret = "{secret}"
history = "history.jsonl"
{more}
[cluster.addresses]
{addresses}
"""


class StartError(Exception):
    """An instance did not start; the message holds the end of its log."""


@dataclass(frozen=True, slots=True)
class Ports:
    """The ports of one instance."""

    clients: int
    admin: int
    cluster: int


@dataclass(slots=True)
class Instance:
    """One instance: its files, and its process, which may be started again."""

    name: str
    folder: Path
    ports: Ports
    token: str = field(repr=False)
    process: subprocess.Popen[bytes] | None = None
    paused: bool = False

    @property
    def file(self) -> Path:
        """Its operator file."""
        return self.folder / "service.toml"

    @property
    def history(self) -> Path:
        """Its file of membership events."""
        return self.folder / "history.jsonl"

    @property
    def log(self) -> str:
        """What it has logged, over all starts."""
        path = self.folder / "log"
        return path.read_text() if path.exists() else ""

    @property
    def running(self) -> bool:
        """Whether its process exists, paused or not."""
        return self.process is not None and self.process.poll() is None

    def spawn(self, environment: Mapping[str, str] | None = None) -> None:
        """Starts the process, appending to its log."""
        with (self.folder / "log").open("ab") as log:
            # In its own session, so that Ctrl-C reaches only the starting process, which stops it gracefully.
            self.process = subprocess.Popen(
                [sys.executable, "-m", "notchflow", "serve", str(self.file)],
                stderr=log,
                start_new_session=True,
                env={**os.environ, **(environment or {})},
            )
        self.paused = False

    async def wait_until_ready(self, joined: bool = True) -> None:
        """Waits until it accepts requests, or, if not `joined`, until it listens. StartError."""
        deadline = time.monotonic() + START_TIMEOUT_S
        async with httpx.AsyncClient(trust_env=False) as http:
            while time.monotonic() < deadline and self.running:
                try:
                    response = await http.get(f"http://127.0.0.1:{self.ports.clients}/health/ready")
                    if response.status_code == 200 or not joined:
                        return
                except httpx.HTTPError:
                    pass
                await asyncio.sleep(0.02)
        raise StartError(f"{self.name} did not start:\n{self.log[-2_000:]}")

    def _signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Sends SIGKILL and waits for the end, as if the machine had failed."""
        self._signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def pause(self) -> None:
        """Suspends the process (SIGSTOP)."""
        self._signal(signal.SIGSTOP)
        self.paused = True

    def resume(self) -> None:
        """Resumes the process (SIGCONT)."""
        self._signal(signal.SIGCONT)
        self.paused = False

    def terminate(self) -> None:
        """Sends SIGTERM, which starts a graceful stop."""
        self._signal(signal.SIGTERM)

    async def wait_until_ended(self) -> int:
        """Waits for the end after `terminate`, kills the process if it takes too long; its exit status."""
        assert self.process is not None
        try:
            return await asyncio.to_thread(self.process.wait, STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.process.returncode

    async def view(self) -> dict[str, Any] | None:
        """The body of `GET /v1/cluster`; None without an answer."""
        return await self.call("/v1/cluster")

    async def call(self, path: str, seconds: float = 2.0) -> dict[str, Any] | None:
        """The body of a GET at the administration; None without an answer of status 200."""
        try:
            async with httpx.AsyncClient(trust_env=False, timeout=seconds) as http:
                response = await http.get(
                    f"http://127.0.0.1:{self.ports.admin}{path}",
                    headers={"Authorization": f"Bearer {self.token}"},
                )
        except httpx.HTTPError:
            return None
        return dict(response.json()) if response.status_code == 200 else None


class Fleet:
    """Instances that share a roster, a secret, an operator token and the same tenants."""

    def __init__(
        self,
        folder: Path,
        count: int,
        discovery: str,
        tenants: Sequence[str],
        more: str = "",
        limits: Limits | None = None,
    ) -> None:
        """`more`: additional lines of the section `cluster`."""
        self.folder, self.discovery, self.more = folder, discovery, more
        folder.mkdir(parents=True, exist_ok=True)
        self.names = [f"p{number + 1}" for number in range(count)]
        ports = free_ports(3 * count)
        self.operator = mint(ADMIN)
        self.keys = {tenant: mint(KEY) for tenant in tenants}
        self.limits = limits
        self.instances: dict[str, Instance] = {}
        for number, name in enumerate(self.names):
            instance_ports = Ports(*ports[3 * number : 3 * number + 3])
            self.instances[name] = Instance(name, folder / name, instance_ports, self.operator.token)
        self.secret = folder / "cluster.secret"
        # For each instance the addresses of members in its operator file.
        self.address_books: dict[str, Mapping[str, str]] = {}

    @property
    def tokens(self) -> dict[str, str]:
        """Each tenant's API key."""
        return {tenant: key.token for tenant, key in self.keys.items()}

    def endpoints(self) -> dict[str, tuple[str, int]]:
        """Host and port of each member's cluster sockets."""
        return {name: ("127.0.0.1", one.ports.cluster) for name, one in self.instances.items()}

    def prepare(self) -> None:
        """Writes the secret, and each instance's operator file and initial state."""
        if not self.secret.exists():
            handle = os.open(self.secret, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
            os.write(handle, secrets.token_bytes(SECRET_BYTES_MIN))
            os.close(handle)
        for name in self.names:
            self.write_file(name)
            self.write_state(name)

    def write_file(self, name: str) -> None:
        """Writes an instance's operator file."""
        instance = self.instances[name]
        instance.folder.mkdir(parents=True, exist_ok=True)
        book = self.address_books.get(name, {})
        seeds = (
            [f"127.0.0.1:{other.ports.cluster}" for other in self.instances.values()]
            if not book
            else list(book.values())
        )
        text = FILE_TEMPLATE.format(
            port=instance.ports.clients, admin=instance.ports.admin, discovery=self.discovery
        )
        instance.file.write_text(
            text
            + CLUSTER_SECTION.format(
                name=name,
                port=instance.ports.cluster,
                roster=", ".join(f'"{n}"' for n in self.names),
                seeds=", ".join(f'"{seed}"' for seed in seeds[:3]),
                secret=self.secret,
                more=self.more,
                addresses="\n".join(f'{n} = "{address}"' for n, address in book.items()),
            )
        )

    def write_state(self, name: str) -> None:
        """Writes the tenants, keys and operator token into an instance's state, if it has none yet."""
        state = self.instances[name].folder / "state"
        if state.exists():
            return
        db = Database(state)
        with db.change():
            db.put_token(Token(self.operator.id, None, self.operator.digest))
            for tenant, key in self.keys.items():
                db.put_tenant(Tenant(tenant, limits=self.limits))
                db.put_key(ApiKey(key.id, tenant, key.digest))
        db.close()

    def reset_state(self, name: str) -> None:
        """Replaces an instance's state by the initial one, as after the loss of its disk."""
        shutil.rmtree(self.instances[name].folder / "state", ignore_errors=True)
        self.write_state(name)

    async def start(self) -> None:
        """Starts all instances, and waits until each accepts requests."""
        for one in self.instances.values():
            one.spawn()
        await asyncio.gather(*(one.wait_until_ready() for one in self.instances.values()))

    async def views(self) -> dict[str, dict[str, Any]]:
        """The fleet as each running instance sees it, by name."""
        running = [one for one in self.instances.values() if one.running and not one.paused]
        views = await asyncio.gather(*(one.view() for one in running))
        return {one.name: view for one, view in zip(running, views, strict=True) if view is not None}

    async def wait_until_agreed(self, seconds: float, living: int | None = None) -> float | None:
        """Waits until all running instances have the same view, with `living` members alive (default: all
        that run); returns the seconds taken, or None after `seconds`."""
        started = time.monotonic()
        while time.monotonic() - started < seconds:
            views = await self.views()
            running = [one for one in self.instances.values() if one.running and not one.paused]
            alive = {sum(m["state"] == "alive" for m in view["members"]) for view in views.values()}
            expected = len(running) if living is None else living
            if (
                len(views) == len(running)
                and len({v["view"] for v in views.values()}) == 1
                and alive == {expected}
            ):
                return time.monotonic() - started
            await asyncio.sleep(0.02)
        return None

    async def stop(self) -> None:
        """Stops all instances gracefully."""
        running = [one for one in self.instances.values() if one.running]
        for one in running:
            one.resume()
            one.terminate()
        await asyncio.gather(*(one.wait_until_ended() for one in running))

    def kill(self) -> None:
        """Kills all instances."""
        for one in self.instances.values():
            one.kill()
