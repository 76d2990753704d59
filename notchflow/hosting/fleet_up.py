"""`notchflow fleet up N`: runs instances, stand-in nodes and a small load on loopback, with a live table."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from collections import Counter
from contextlib import AsyncExitStack, nullcontext, suppress
from pathlib import Path
from typing import Any, Final

import uvloop
from rich.console import Console
from rich.live import Live
from rich.table import Table

from notchflow.hosting.demo import PRINT_INTERVAL_S, TENANTS, request_generator, start_stand_ins
from notchflow.hosting.fleet import Fleet, StartError
from standins.load import AnswerObserver, OpenLoop

MAX_INSTANCES: Final = 16


class FleetStatus:
    """Responses of each instance to clients, and its view of the fleet."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.responses: dict[str, Counter[int]] = {name: Counter() for name in fleet.names}

    def observer(self, name: str) -> AnswerObserver:
        """A callback that counts the responses of one instance by status."""

        def count(label: str, status: int, ms: float, box: str) -> None:
            self.responses[name][status] += 1

        return count

    def rows(self, views: dict[str, dict[str, Any]]) -> list[tuple[str, ...]]:
        """The columns of `table`, for each instance."""
        rows: list[tuple[str, ...]] = []
        for name, one in self.fleet.instances.items():
            view, responses = views.get(name), self.responses[name]
            states = Counter(m["state"] for m in view["members"]) if view is not None else Counter()
            pid = str(one.process.pid) if one.process is not None and one.running else "-"
            rows.append(
                (
                    name,
                    pid,
                    view["standing"] if view is not None else "-",
                    str(states["alive"]),
                    str(states["suspect"]),
                    str(states["dead"] + states["left"]),
                    str(view["balancers"]) if view is not None else "-",
                    str(responses[200]),
                    str(sum(responses.values()) - responses[200]),
                )
            )
        return rows

    def table(self, views: dict[str, dict[str, Any]]) -> Table:
        """The live table."""
        table = Table(title=f"{len(self.fleet.names)} instances in {self.fleet.folder}")
        for name in (
            "instance",
            "process",
            "standing",
            "alive",
            "suspect",
            "gone",
            "proxies",
            "served",
            "other",
        ):
            table.add_column(name, justify="left" if name in ("instance", "standing") else "right")
        for row in self.rows(views):
            table.add_row(*row)
        return table

    def line(self, views: dict[str, dict[str, Any]]) -> str:
        """The rows in one line, for plain output."""
        return "  ".join(
            f"{row[0]}={row[2]},alive={row[3]},served={row[7]},other={row[8]}" for row in self.rows(views)
        )


async def _up(count: int, folder: Path | None, seconds: float, rate: float, plain: bool) -> int:
    console = Console()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    if seconds:
        loop.call_later(seconds, stop.set)
    async with AsyncExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="notchflow-fleet-")))
        registry = await start_stand_ins(stack)
        fleet = Fleet(folder, count, registry.address, [tenant for tenant, _ in TENANTS])
        fleet.prepare()
        stack.push_async_callback(fleet.stop)
        await fleet.start()
        status = FleetStatus(fleet)
        loads = [
            asyncio.create_task(
                OpenLoop(
                    one.ports.clients,
                    rate / count,
                    request_generator(fleet.tokens, number),
                    32,
                    status.observer(one.name),
                ).run(float("inf"))
            )
            for number, one in enumerate(fleet.instances.values(), 1)
        ]
        token = folder / "operator.token"
        token.write_text(fleet.operator.token + "\n")
        token.chmod(0o600)
        first = fleet.instances["p1"].ports.admin
        command = f"notchflow cluster --url http://127.0.0.1:{first} --token-file {token} members"
        console.print(f"ask any: {command}", markup=False, soft_wrap=True)
        console.print("break it: kill -9, -STOP or -CONT a process; Ctrl-C ends all", soft_wrap=True)
        await _show(console, status, stop, plain or not console.is_terminal)
        for load in loads:
            load.cancel()
        await asyncio.gather(*loads, return_exceptions=True)
    return 0 if all(responses[200] for responses in status.responses.values()) else 1


async def _show(console: Console, status: FleetStatus, stop: asyncio.Event, plain: bool) -> None:
    with Live(console=console, auto_refresh=False) if not plain else nullcontext() as live:
        while not stop.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(PRINT_INTERVAL_S):
                    await stop.wait()
            views = await status.fleet.views()
            if live is not None:
                live.update(status.table(views), refresh=True)
            else:
                console.print(status.line(views), markup=False, soft_wrap=True)


def up(count: int, folder: Path | None, seconds: float, rate: float, plain: bool) -> int:
    """Runs for `seconds` (0: until Ctrl-C); returns the exit status: 0 if each instance served a request."""
    if not 1 <= count <= MAX_INSTANCES or rate <= 0:
        print(
            f"notchflow fleet up: {count} instances, --rate {rate:g}; 1 to {MAX_INSTANCES}, and above 0",
            file=sys.stderr,
        )
        return 2
    try:
        return uvloop.run(_up(count, folder, seconds, rate, plain))
    except (StartError, OSError) as error:
        print(f"notchflow: {error}", file=sys.stderr)
        return 1
