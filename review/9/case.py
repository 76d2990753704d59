"""Case 9: a planned restart loses a request of a class whose deadline is longer than 3 s."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from review.support2 import (
    TROUBLE,
    CannotRunError,
    Stage,
    deploy_command,
    local_address,
    main,
    parse_fields,
    proxy_environment,
    read_answer,
    request_head,
    until_ready,
)
from standins.discovery import StandInDiscovery, node_entry

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
DEADLINE_MS, BUDGET_S = 6_000.0, 4.8  # a try is given up after 50 to 80% of the class's give-up time
WORK_S = 4.4  # of the request at a cache node, in time for its client
TERM_AFTER_S = 0.2
LONGEST_S, KILL_MARGIN_S = 3.0, 0.7  # SIGKILL comes so long after SIGTERM, at the earliest
SETTINGS = {
    "Classes": [
        {"Name": "menu-read", "ObjectiveMs": 500.0, "DeadlineMs": 1_000.0, "Effect": "repeatable"},
        {"Name": "day-report", "ObjectiveMs": 5_000.0, "DeadlineMs": DEADLINE_MS, "Effect": "repeatable"},
    ],
    "Limits": {"Cancel": True, "MaxAttempts": 3, "DialTimeoutMs": 150.0, "ConnIdleMs": 10_000.0},
    "Rules": {"AskWithinMs": 10_000.0, "DrainGraceMs": 250.0},
    "MembershipMode": "pushed",
    "PeersTotal": 2,
}


def node(stage: Stage, name: str) -> Handler:
    """The connection handler of a sound cache node: the work of a report takes WORK_S."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                fields = parse_fields(await reader.readuntil(b"\r\n\r\n"))
                stage.note("attempt", name, fields["x-call-id"], f"X-Budget {fields['x-budget']}")
                await asyncio.sleep(WORK_S if fields["x-call-class"] == "day-report" else 0.06)
                stage.note("ran", name, fields["x-call-id"])
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    return serve


async def case(stage: Stage) -> bool:
    """Whether the report's client gets a final answer."""
    registry = StandInDiscovery()
    await registry.start()
    for name in ("box-1", "box-2"):
        server = await asyncio.start_server(node(stage, name), "127.0.0.1", 0)
        await registry.put(node_entry(name, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"))
    listen = local_address()
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    config = {"limits": limits, "settings": SETTINGS}
    environment = proxy_environment(stage, listen, registry.address, config)
    proxy = stage.spawn("proxy", deploy_command("run"), environment)
    await until_ready(listen)
    await asyncio.sleep(0.5)
    reader, writer = await asyncio.open_connection(*listen.split(":"))
    writer.write(request_head("GET", "c1-2026-12-05", "a1", "day-report", BUDGET_S))
    sent_at = time.monotonic()
    stage.note("client", "GET of class day-report", f"X-Budget {BUDGET_S}")
    if TROUBLE:
        await asyncio.sleep(TERM_AFTER_S)
        if proxy.poll() is not None:
            raise CannotRunError("the proxy ended by itself")
        proxy.send_signal(signal.SIGTERM)
        told_at = time.monotonic()
        stage.note("signal", "SIGTERM")

        def kill() -> None:
            if proxy.poll() is None:
                proxy.kill()
                stage.note("signal", f"SIGKILL {time.monotonic() - told_at:.3f} s after SIGTERM")

        asyncio.get_running_loop().call_later(LONGEST_S + KILL_MARGIN_S + 0.02, kill)
    try:
        async with asyncio.timeout(BUDGET_S + 0.5):
            status, _ = await read_answer(reader)
        stage.note("client", "answer", status, f"after {time.monotonic() - sent_at:.3f} s")
        return True
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
        stage.note("client", "no answer:", type(error).__name__, f"after {time.monotonic() - sent_at:.3f} s")
        return False


if __name__ == "__main__":
    main(__file__, case)
