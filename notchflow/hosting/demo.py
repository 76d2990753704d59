"""`notchflow demo`: runs the hosted service with stand-in nodes, two tenants and a small load."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable
from contextlib import AsyncExitStack, nullcontext, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import httpx
import uvloop
from rich.console import Console
from rich.live import Live
from rich.table import Table

from notchflow.hosting.service import TOKEN_FILE
from standins.discovery import StandInDiscovery, node_entry
from standins.load import OpenLoop
from standins.node import NodeProfile, StandInNode
from standins.ports import free_ports

START_TIMEOUT_S: Final = 20.0
NODE_COUNT: Final = 4
DAYS: Final = 40  # distinct keys; nearer days are requested more often
PRINT_INTERVAL_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class RequestKind:
    """A kind of request that the demo's clients send; `share` is its share of all requests."""

    name: str
    share: float
    aim_ms: float
    worth: float
    method: str
    path: str


REQUEST_KINDS: Final = (
    RequestKind("menu-read", 0.52, 500, 2, "GET", "/menus/{day}"),
    RequestKind("order-status", 0.42, 600, 1, "GET", "/orders/{day}"),
    RequestKind("slot-set", 0.04, 300, 2, "PUT", "/slots/{day}"),
    RequestKind("order-pay", 0.02, 300, 8, "POST", "/orders/{day}/pay"),
)
TENANTS: Final = (("comedor-sur", 0.6), ("vianda-norte", 0.4))
FILE_TEMPLATE: Final = """
[service]
name = "demo"
state = "state"
[[listeners]]
address = "127.0.0.1:{port}"
[admin]
address = "127.0.0.1:{admin}"
[fleet]
discovery = "{discovery}"
[[classes]]
name = "menu-read"
aim_ms = 500.0
deadline_ms = 1000.0
worth = 2.0
effect = "safe"
[[classes]]
name = "order-status"
aim_ms = 600.0
deadline_ms = 1500.0
effect = "safe"
[[classes]]
name = "slot-set"
aim_ms = 300.0
deadline_ms = 750.0
worth = 2.0
effect = "keyed"
window_ms = 750.0
[[classes]]
name = "order-pay"
aim_ms = 300.0
deadline_ms = 1000.0
worth = 8.0
effect = "unsafe"
[[tenants.routes]]
method = "GET"
path = "/menus/{{day}}"
class = "menu-read"
key = ["day"]
[[tenants.routes]]
method = "GET"
path = "/orders/{{day}}"
class = "order-status"
key = ["day"]
[[tenants.routes]]
method = "PUT"
path = "/slots/{{day}}"
class = "slot-set"
key = ["day"]
[[tenants.routes]]
method = "POST"
path = "/orders/{{day}}/pay"
class = "order-pay"
key = ["day"]
"""


class Scoreboard:
    """Worth served in time over worth requested, by class, tenant and node."""

    def __init__(self) -> None:
        self.kinds = {kind.name: kind for kind in REQUEST_KINDS}
        self.requested: dict[tuple[str, str], float] = defaultdict(float)
        self.in_time: dict[tuple[str, str], float] = defaultdict(float)
        self.count = self.served = 0

    def count_response(self, label: str, status: int, ms: float, box: str) -> None:
        """Counts a response; `label` is the tenant and the class."""
        tenant, _, name = label.partition(" ")
        kind = self.kinds[name]
        good = status == 200 and ms <= kind.aim_ms
        self.count += 1
        self.served += status == 200
        for group in (("class", name), ("tenant", tenant), ("box", box)):
            if group[1]:
                self.requested[group] += kind.worth
                self.in_time[group] += kind.worth * good

    def rows(self) -> list[tuple[str, str, float, float]]:
        """Group, name, worth requested, and the share of it served in time."""
        groups = ("class", "tenant", "box")
        ordered = sorted(self.requested, key=lambda row: (groups.index(row[0]), row[1]))
        return [(*row, self.requested[row], self.in_time[row] / self.requested[row]) for row in ordered]

    def table(self) -> Table:
        """The live table."""
        table = Table(title=f"{self.served} of {self.count} served")
        for name in ("by", "name", "worth asked", "in time"):
            table.add_column(name, justify="left" if name in ("by", "name") else "right")
        for group, name, requested, share in self.rows():
            table.add_row(group, name, f"{requested:.0f}", f"{share:.3f}")
        return table

    def line(self) -> str:
        """The rows in one line, for plain output."""
        parts = [f"{name}={share:.3f}" for _, name, _, share in self.rows()]
        return f"served={self.served}/{self.count} " + " ".join(parts)


def request_generator(keys: dict[str, str], seed: int = 1) -> Callable[[], tuple[bytes, str]]:
    """A generator of the demo's requests: bytes and label. `keys`: API key by tenant."""
    rng, numbers = random.Random(seed), itertools.count()
    names, shares = [t for t, _ in TENANTS], [share for _, share in TENANTS]
    weights = [1 / (day + 1) for day in range(DAYS)]

    def draw() -> tuple[bytes, str]:
        tenant = rng.choices(names, shares)[0]
        kind = rng.choices(REQUEST_KINDS, [k.share for k in REQUEST_KINDS])[0]
        day = f"2026-12-{rng.choices(range(DAYS), weights)[0] + 1:02d}"
        head = (
            f"{kind.method} {kind.path.format(day=day)} HTTP/1.1\r\nHost: demo\r\n"
            f"Authorization: Bearer {keys[tenant]}\r\n"
        )
        if kind.method != "GET":
            head += f"Idempotency-Key: {seed}-{next(numbers)}\r\nContent-Length: 2\r\n"
        return f"{head}\r\n".encode() + (b"{}" if kind.method != "GET" else b""), f"{tenant} {kind.name}"

    return draw


async def _wait_until_ready(port: int, process: subprocess.Popen[bytes]) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    async with httpx.AsyncClient(trust_env=False) as http:
        while time.monotonic() < deadline and process.poll() is None:
            with suppress(httpx.HTTPError):
                if (await http.get(f"http://127.0.0.1:{port}/health/ready")).status_code == 200:
                    return
            await asyncio.sleep(0.05)
    raise RuntimeError("the service did not start; its log is above")


async def _create_tenants(admin: int, token: str) -> dict[str, str]:
    """Creates the tenants through the API; returns their API keys."""
    keys = {}
    async with httpx.AsyncClient(
        base_url=f"http://127.0.0.1:{admin}", trust_env=False, headers={"Authorization": f"Bearer {token}"}
    ) as http:
        for tenant, _ in TENANTS:
            (await http.post("/v1/tenants", json={"id": tenant})).raise_for_status()
            response = await http.post(f"/v1/tenants/{tenant}/keys", json={"label": "demo"})
            keys[tenant] = str(response.raise_for_status().json()["token"])
    return keys


async def start_stand_ins(stack: AsyncExitStack) -> StandInDiscovery:
    """Starts stand-in nodes and a discovery that lists them; `stack` stops them."""
    registry = StandInDiscovery()
    await registry.start()
    stack.callback(registry.stop)
    for number in range(NODE_COUNT):
        box = StandInNode(f"box-{number + 1}", NodeProfile(0.02, 2, 512))
        await box.start()
        stack.callback(box.stop)
        await registry.put(node_entry(box.name, box.address))
    return registry


def _stop(process: subprocess.Popen[bytes]) -> None:
    process.send_signal(signal.SIGTERM)
    try:
        process.wait(10)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


async def _demo(seconds: float, rate: float, plain: bool) -> int:
    console = Console()
    stop = asyncio.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="notchflow-demo-")))
        registry = await start_stand_ins(stack)
        port, admin = free_ports(2)
        file = folder / "demo.toml"
        file.write_text(FILE_TEMPLATE.format(port=port, admin=admin, discovery=registry.address))
        # In its own session: Ctrl-C reaches only this process, which then stops the service gracefully.
        process = subprocess.Popen(
            [sys.executable, "-m", "notchflow", "serve", str(file)],
            start_new_session=True,
            env=os.environ,
            stderr=None if plain else subprocess.DEVNULL,
        )
        stack.callback(_stop, process)
        await _wait_until_ready(port, process)
        keys = await _create_tenants(admin, (folder / "state" / TOKEN_FILE).read_text().strip())
        scoreboard = Scoreboard()
        load = asyncio.create_task(
            OpenLoop(port, rate, request_generator(keys), observe=scoreboard.count_response).run(
                seconds or float("inf")
            )
        )
        console.print(
            f"clients: http://127.0.0.1:{port}  administration: http://127.0.0.1:{admin}", markup=False
        )
        await _show(console, scoreboard, stop, load, plain or not console.is_terminal)
        load.cancel()
        with suppress(asyncio.CancelledError):
            await load
        console.print(scoreboard.line(), markup=False, soft_wrap=True)
    return 0 if scoreboard.served else 1


async def _show(
    console: Console, scoreboard: Scoreboard, stop: asyncio.Event, load: asyncio.Task[object], plain: bool
) -> None:
    with (
        Live(scoreboard.table(), console=console, auto_refresh=False) if not plain else nullcontext() as live
    ):
        while not stop.is_set() and not load.done():
            with suppress(TimeoutError):
                async with asyncio.timeout(PRINT_INTERVAL_S):
                    await stop.wait()
            if live is not None:
                live.update(scoreboard.table(), refresh=True)
            else:
                console.print(scoreboard.line(), markup=False, soft_wrap=True)


def run(seconds: float, rate: float, plain: bool) -> int:
    """Runs for `seconds` (0: until Ctrl-C); returns the exit status: 0 if a request was served."""
    try:
        return uvloop.run(_demo(seconds, rate, plain))
    except RuntimeError as error:
        print(f"notchflow: {error}", file=sys.stderr)
        return 1
