"""Runs the hosted service as a process with scripted nodes, and clients for both its listeners."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import httpx

from notchflow.hosting.service import TOKEN_FILE
from standins.discovery import StandInDiscovery, node_entry
from standins.ports import free_ports
from tests.rig import Client, HttpMessage, Peer, Script, answer, serve_value

ROOT = Path(__file__).resolve().parent.parent.parent
CONFIG = """
[service]
name = "test"
{service}
[[listeners]]
address = "127.0.0.1:{port}"
[[listeners]]
address = "127.0.0.1:{second}"
[admin]
address = "127.0.0.1:{admin}"
{admin_more}
[fleet]
discovery = "{discovery}"
[[classes]]
name = "read"
aim_ms = 5000.0
deadline_ms = 5000.0
effect = "safe"
[[classes]]
name = "keyed"
aim_ms = 5000.0
deadline_ms = 5000.0
effect = "keyed"
window_ms = 5000.0
[[classes]]
name = "once"
aim_ms = 5000.0
deadline_ms = 5000.0
effect = "unsafe"
[tenants.limits]
rate_per_s = {rate}
burst = {rate}
in_hand = 100000
[[tenants.routes]]
method = "GET"
path = "/menus/{{day}}"
class = "read"
key = ["day"]
[[tenants.routes]]
method = "POST"
path = "/orders/{{day}}/pay"
class = "once"
key = ["day"]
[[tenants.routes]]
method = "PUT"
path = "/menus/{{day}}/slots"
class = "keyed"
key = ["day"]
[[tenants.routes]]
method = "POST"
path = "/orders/{{day}}/strict"
class = "once"
key = ["day"]
idempotency = "required"
"""


class HeldResponses:
    """A node's script that answers each request only once its event is set."""

    def __init__(self) -> None:
        self.requests: list[asyncio.Event] = []

    async def __call__(self, seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
        self.requests.append(asyncio.Event())
        await self.requests[-1].wait()
        writer.write(answer())


class Service:
    """`notchflow serve` with its nodes. The operator file and the state in `folder` outlive a restart."""

    def __init__(
        self,
        folder: Path,
        *scripts: Script,
        rate: float = 100_000.0,
        service: str = "",
        admin: str = "rate_per_s = 100000.0\nburst = 100000.0",
    ) -> None:
        self.folder, self.file = folder, folder / "service.toml"
        self.boxes = [Peer(script) for script in scripts or (serve_value,)]
        self.registry = StandInDiscovery()
        self.port, self.second, self.admin_port = free_ports(3)
        self.rate, self.service_lines, self.admin_lines = rate, service, admin
        self.process: subprocess.Popen[bytes] | None = None
        self.clients: list[Client] = []
        self.tokens: dict[str, str] = {}

    def write(self) -> None:
        self.file.write_text(
            CONFIG.format(
                port=self.port,
                second=self.second,
                admin=self.admin_port,
                discovery=self.registry.address,
                rate=float(self.rate),
                service=self.service_lines,
                admin_more=self.admin_lines,
            )
        )

    async def __aenter__(self) -> Self:
        await self.registry.start()
        for number, box in enumerate(self.boxes):
            await box.start()
            await self.registry.put(node_entry(f"s-{number}", f"127.0.0.1:{box.port}"))
        self.write()
        await self.start()
        return self

    def command(self, file: Path | None = None) -> list[str]:
        return [sys.executable, "-m", "notchflow", "serve", str(file or self.file)]

    async def start(self) -> None:
        """Starts the process and waits until both listeners accept connections."""
        self.process = subprocess.Popen(
            self.command(),
            cwd=ROOT,
            stderr=(self.folder / "log").open("ab"),
        )
        async with asyncio.timeout(30):
            while not await self._ready():
                assert self.process.poll() is None, (self.folder / "log").read_text()
                await asyncio.sleep(0.02)
        token = (self.folder / "state" / TOKEN_FILE).read_text().strip()
        self.api = self.api_as(token)

    def api_as(self, token: str) -> httpx.AsyncClient:
        return httpx.AsyncClient(
            base_url=f"http://127.0.0.1:{self.admin_port}",
            timeout=20,
            trust_env=False,
            headers={"Authorization": f"Bearer {token}"},
        )

    async def _ready(self) -> bool:
        """Whether the service is ready and has received the list of all nodes."""
        try:
            async with httpx.AsyncClient(trust_env=False) as http:
                readiness = await http.get(f"http://127.0.0.1:{self.port}/health/ready")
                await http.get(f"http://127.0.0.1:{self.admin_port}/openapi.json")
        except httpx.HTTPError:
            return False
        return readiness.status_code == 200 and len(self.registry.written_at) == len(self.boxes)

    async def kill(self) -> None:
        """Sends SIGKILL and waits for the end."""
        assert self.process is not None
        self.process.kill()
        await asyncio.to_thread(self.process.wait)
        await self.api.aclose()
        self.registry.written_at.clear()

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    async def ended(self) -> int:
        assert self.process is not None
        return await asyncio.to_thread(self.process.wait, 20)

    @property
    def log(self) -> str:
        return (self.folder / "log").read_text()

    # -- the administration
    async def add(self, *tenants: str, **more: Any) -> None:
        """Creates tenants, each with a key."""
        for tenant in tenants:
            response = await self.api.post("/v1/tenants", json={"id": tenant} | more)
            assert response.status_code == 201, response.text
            await self.issue(tenant)

    async def issue(self, tenant: str) -> str:
        """Issues a key that the tenant's requests use from now on; returns its ID."""
        response = await self.api.post(f"/v1/tenants/{tenant}/keys", json={})
        assert response.status_code == 201, response.text
        self.tokens[tenant] = response.json()["token"]
        return str(response.json()["id"])

    async def tenant(self, tenant: str) -> dict[str, Any]:
        response = await self.api.get(f"/v1/tenants/{tenant}")
        assert response.status_code == 200, response.text
        return dict(response.json())

    async def change(self, tenant: str, method: str = "PATCH", **changes: Any) -> httpx.Response:
        version = (await self.tenant(tenant))["version"]
        return await self.api.request(
            method, f"/v1/tenants/{tenant}", json=changes or None, headers={"If-Match": f'"{version}"'}
        )

    # -- clients
    async def connect(self, port: int | None = None) -> Client:
        client = Client(*await asyncio.open_connection("127.0.0.1", port or self.port))
        self.clients.append(client)
        return client

    def request(
        self, tenant: str, path: str = "/menus/d1", method: str = "GET", body: bytes = b"", key: str = ""
    ) -> bytes:
        length = f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
        length += f"Idempotency-Key: {key}\r\n" if key else ""
        return (
            f"{method} {path} HTTP/1.1\r\nHost: door\r\nAuthorization: Bearer {self.tokens[tenant]}\r\n"
            f"{length}\r\n"
        ).encode() + body

    async def ask(self, tenant: str, client: Client | None = None, **more: Any) -> HttpMessage:
        client = client or await self.connect()
        client.writer.write(self.request(tenant, **more))
        seen = await client.receive()
        assert seen is not None, "the connection ended without a response"
        return seen

    @property
    def sent(self) -> list[HttpMessage]:
        return [seen for box in self.boxes for seen in box.received]

    async def __aexit__(
        self, kind: type[BaseException] | None, value: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self.process is not None:
            self.process.kill()
            await asyncio.to_thread(self.process.wait)
        for client in self.clients:
            client.writer.transport.abort()
        await self.api.aclose()
        self.registry.stop()
        for box in self.boxes:
            box.stop()
