"""Several instances of the service on this machine, each a process of its own with a folder of its own.

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
from notchflow.hosting.demo import FILE
from notchflow.state.database import Database, Token
from notchflow.tenancy.keys import ADMIN, KEY, mint
from notchflow.tenancy.model import ApiKey, Limits, Tenant
from standins.ports import free_ports

READY_S: Final = 30.0
END_S: Final = 10.0
SECTION: Final = """
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


class StartFailed(Exception):
    """An instance did not start; the text has the end of its log."""


@dataclass(frozen=True, slots=True)
class Ports:
    clients: int
    admin: int
    cluster: int


@dataclass(slots=True)
class Instance:
    """One instance: its files, and its process from one start to the next."""

    name: str
    folder: Path
    ports: Ports
    token: str = field(repr=False)
    process: subprocess.Popen[bytes] | None = None
    paused: bool = False

    @property
    def file(self) -> Path:
        return self.folder / "service.toml"

    @property
    def history(self) -> Path:
        return self.folder / "history.jsonl"

    @property
    def log(self) -> str:
        path = self.folder / "log"
        return path.read_text() if path.exists() else ""

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def spawn(self, environment: Mapping[str, str] | None = None) -> None:
        """Starts the process; its log is added to."""
        with (self.folder / "log").open("ab") as log:
            # A group of its own: Ctrl-C is for the one that started it, which ends it in good order.
            self.process = subprocess.Popen(
                [sys.executable, "-m", "notchflow", "serve", str(self.file)],
                stderr=log,
                start_new_session=True,
                env={**os.environ, **(environment or {})},
            )
        self.paused = False

    async def ready(self, joined: bool = True) -> None:
        """Waits until clients are taken, or only until something listens. StartFailed."""
        until = time.monotonic() + READY_S
        async with httpx.AsyncClient(trust_env=False) as http:
            while time.monotonic() < until and self.running:
                try:
                    answer = await http.get(f"http://127.0.0.1:{self.ports.clients}/health/ready")
                    if answer.status_code == 200 or not joined:
                        return
                except httpx.HTTPError:
                    pass
                await asyncio.sleep(0.02)
        raise StartFailed(f"{self.name} did not start:\n{self.log[-2_000:]}")

    def _signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """As when the machine is gone."""
        self._signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def pause(self) -> None:
        self._signal(signal.SIGSTOP)
        self.paused = True

    def resume(self) -> None:
        self._signal(signal.SIGCONT)
        self.paused = False

    def terminate(self) -> None:
        self._signal(signal.SIGTERM)

    async def ended(self) -> int:
        """Waits for the end after `terminate`; kills what does not come to one."""
        assert self.process is not None
        try:
            return await asyncio.to_thread(self.process.wait, END_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.process.returncode

    async def view(self) -> dict[str, Any] | None:
        """`GET /v1/cluster`; None where it does not answer."""
        return await self.call("/v1/cluster")

    async def call(self, path: str, seconds: float = 2.0) -> dict[str, Any] | None:
        try:
            async with httpx.AsyncClient(trust_env=False, timeout=seconds) as http:
                answer = await http.get(
                    f"http://127.0.0.1:{self.ports.admin}{path}",
                    headers={"Authorization": f"Bearer {self.token}"},
                )
        except httpx.HTTPError:
            return None
        return dict(answer.json()) if answer.status_code == 200 else None


class Fleet:
    """N instances with one roster, one secret, one operator's token and the same tenants."""

    def __init__(
        self,
        folder: Path,
        count: int,
        discovery: str,
        tenants: Sequence[str],
        more: str = "",
        limits: Limits | None = None,
    ) -> None:
        """`more`: further lines of the section `cluster`."""
        self.folder, self.discovery, self.more = folder, discovery, more
        folder.mkdir(parents=True, exist_ok=True)
        self.names = [f"p{number + 1}" for number in range(count)]
        ports = free_ports(3 * count)
        self.operator = mint(ADMIN)
        self.keys = {tenant: mint(KEY) for tenant in tenants}
        self.limits = limits
        self.instances: dict[str, Instance] = {}
        for number, name in enumerate(self.names):
            own = Ports(*ports[3 * number : 3 * number + 3])
            self.instances[name] = Instance(name, folder / name, own, self.operator.token)
        self.secret = folder / "cluster.secret"
        self.books: dict[str, Mapping[str, str]] = {}

    @property
    def tokens(self) -> dict[str, str]:
        """Each tenant's key to the door."""
        return {tenant: key.token for tenant, key in self.keys.items()}

    def places(self) -> dict[str, tuple[str, int]]:
        """Where each member's sockets are."""
        return {name: ("127.0.0.1", one.ports.cluster) for name, one in self.instances.items()}

    def prepare(self) -> None:
        """Writes the secret, and each instance's file and state."""
        if not self.secret.exists():
            handle = os.open(self.secret, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
            os.write(handle, secrets.token_bytes(SECRET_BYTES_MIN))
            os.close(handle)
        for name in self.names:
            self.write(name)
            self.fill(name)

    def write(self, name: str) -> None:
        one = self.instances[name]
        one.folder.mkdir(parents=True, exist_ok=True)
        book = self.books.get(name, {})
        seeds = (
            [f"127.0.0.1:{other.ports.cluster}" for other in self.instances.values()]
            if not book
            else list(book.values())
        )
        text = FILE.format(port=one.ports.clients, admin=one.ports.admin, discovery=self.discovery)
        one.file.write_text(
            text
            + SECTION.format(
                name=name,
                port=one.ports.cluster,
                roster=", ".join(f'"{n}"' for n in self.names),
                seeds=", ".join(f'"{seed}"' for seed in seeds[:3]),
                secret=self.secret,
                more=self.more,
                addresses="\n".join(f'{n} = "{at}"' for n, at in book.items()),
            )
        )

    def fill(self, name: str) -> None:
        """The same tenants, keys and operator's token for each instance; what is there stays."""
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

    def lose_state(self, name: str) -> None:
        """The folder is lost; the instance starts with none."""
        shutil.rmtree(self.instances[name].folder / "state", ignore_errors=True)
        self.fill(name)

    async def start(self) -> None:
        """Starts all, and waits until each takes clients."""
        for one in self.instances.values():
            one.spawn()
        await asyncio.gather(*(one.ready() for one in self.instances.values()))

    async def views(self) -> dict[str, dict[str, Any]]:
        """What each running instance holds of the fleet."""
        running = [one for one in self.instances.values() if one.running and not one.paused]
        found = await asyncio.gather(*(one.view() for one in running))
        return {one.name: view for one, view in zip(running, found, strict=True) if view is not None}

    async def agreed(self, seconds: float, living: int | None = None) -> float | None:
        """Waits until all that run hold the same of the fleet, with so many members alive; seconds taken, or
        None where it did not come."""
        begun = time.monotonic()
        while time.monotonic() - begun < seconds:
            views = await self.views()
            running = [one for one in self.instances.values() if one.running and not one.paused]
            alive = {sum(m["state"] == "alive" for m in view["members"]) for view in views.values()}
            wanted = len(running) if living is None else living
            if (
                len(views) == len(running)
                and len({v["view"] for v in views.values()}) == 1
                and alive == {wanted}
            ):
                return time.monotonic() - begun
            await asyncio.sleep(0.02)
        return None

    async def stop(self) -> None:
        """Ends all in good order."""
        running = [one for one in self.instances.values() if one.running]
        for one in running:
            one.resume()
            one.terminate()
        await asyncio.gather(*(one.ended() for one in running))

    def kill(self) -> None:
        """Ends all at once; for a caller that cannot wait."""
        for one in self.instances.values():
            one.kill()
