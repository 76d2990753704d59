"""Case 8: a process that is replaced runs out of descriptors as it hands over its clients."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import time
from collections import Counter

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

SOCKETS = 256  # descriptors that a process may hold
PHONES = 150  # clients, each with a kept connection of its own
AT_ONCE = 60  # requests open at once, under a third of SOCKETS
NODES, WORK_S = 4, 0.3
BUDGET_S, ANSWER_SLACK_S = 1.2, 0.5
DEADLINE_S, KILL_MARGIN_S = 2.0, 0.7
UNREAD_ALLOWED = 2  # requests that may meet an unread connection at no cost
LISTENER_FD = 4
SETTINGS = {
    "Classes": [{"Name": "menu-read", "ObjectiveMs": 1_000.0, "DeadlineMs": 2_000.0, "Effect": "repeatable"}],
    "Limits": {
        "Cancel": True,
        "SecondCopies": True,
        "MaxAttempts": 3,
        "DialTimeoutMs": 150.0,
        "ConnIdleMs": 10_000.0,
    },
    "Rules": {"AskWithinMs": 10_000.0, "DrainGraceMs": 250.0},
    "MembershipMode": "pushed",
    "PeersTotal": 2,
}


async def serve_node(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A cache node: each read takes WORK_S and is served."""
    try:
        while True:
            parse_fields(await reader.readuntil(b"\r\n\r\n"))
            await asyncio.sleep(WORK_S)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


class Phone:
    """A client with a kept connection, which sends one request at a time."""

    sent = 0

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Opens a connection."""
        self.reader, self.writer = await asyncio.open_connection(*self.address.split(":"))

    async def ask(self) -> str:
        """Sends a request and returns what became of it: a status, or `no answer` when its time is up. One
        whose connection is closed unread is sent once more on a new one."""
        try:
            async with asyncio.timeout(BUDGET_S + ANSWER_SLACK_S):
                try:
                    return await self._send()
                except (asyncio.IncompleteReadError, ConnectionError):
                    await self.connect()
                    return await self._send()
        except TimeoutError:
            return "no answer"
        except (asyncio.IncompleteReadError, OSError) as error:
            return f"ended: {type(error).__name__}"

    async def _send(self) -> str:
        assert self.reader is not None and self.writer is not None
        Phone.sent += 1
        head = request_head("GET", f"{Phone.sent % 40:x}", f"{Phone.sent:x}", "menu-read", BUDGET_S)
        self.writer.write(head)
        status, _ = await read_answer(self.reader)
        return str(status)


async def all_ask(stage: Stage, what: str, phones: list[Phone]) -> Counter[str]:
    """Has phones ask, AT_ONCE at a time, and notes what became of the requests."""
    ends: Counter[str] = Counter()
    for start in range(0, len(phones), AT_ONCE):
        ends.update(await asyncio.gather(*(phone.ask() for phone in phones[start : start + AT_ONCE])))
    stage.note("clients", what, dict(ends))
    return ends


def descriptors(pid: int) -> int:
    """How many descriptors a process holds."""
    return len(os.listdir(f"/proc/{pid}/fd"))


async def case(stage: Stage) -> bool:
    """Whether every request that is sent during the replacement gets its answer."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=1_024)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    registry = StandInDiscovery()
    await registry.start()
    for number in range(NODES):
        server = await asyncio.start_server(serve_node, "127.0.0.1", 0)
        await registry.put(node_entry(f"box-{number}", f"127.0.0.1:{server.sockets[0].getsockname()[1]}"))
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}
    config = {"limits": limits, "settings": SETTINGS}

    def start(name: str, console: str) -> int:
        """The platform starts `run` with its listening socket as LISTENER_FD, and holds it to its limit."""
        told = {"ROUTER_ACCEPT_FD": str(LISTENER_FD), "ROUTER_CONSOLE": console}
        environment = proxy_environment(stage, address, registry.address, config, **told)
        command = f"ulimit -n {SOCKETS}; {deploy_command('run')}"
        process = stage.spawn(name, command, environment, {LISTENER_FD: listener.fileno()})
        stage.note("start", name, f"pid={process.pid}")
        return process.pid

    console = local_address()
    old = start("old", console)
    await until_ready(console, "/status")
    await until_ready(address)
    phones = [Phone(address) for _ in range(PHONES)]
    for phone in phones:
        await phone.connect()
    warm = await all_ask(stage, "before", phones)
    if warm != Counter({"200": PHONES}):
        raise CannotRunError("not every client was served before the replacement")
    successor_console = local_address()
    if TROUBLE:
        start("new", successor_console)
        await until_ready(successor_console, "/status")
        stage.note("new process", "says yes")
    await all_ask(stage, "while both run" if TROUBLE else "again", phones[-AT_ONCE:])
    stage.note("old process", descriptors(old), "descriptors of", SOCKETS)
    if TROUBLE:
        os.kill(old, signal.SIGTERM)
        stage.note("signal", "old SIGTERM")
    told_at = time.monotonic()
    await asyncio.sleep(0.1)
    ends = await all_ask(stage, "in the replacement" if TROUBLE else "again", phones[:AT_ONCE])
    if TROUBLE:
        for line in stage.log_lines("old", "ERROR", "OSError", "draining"):
            stage.note("log", "old", line)
        await asyncio.sleep(max(told_at + DEADLINE_S + KILL_MARGIN_S - time.monotonic(), 0.0))
        process = next(p for p in stage.processes if p.pid == old)
        stage.note("old process", "has ended" if process.poll() is not None else "still runs: SIGKILL")
        if process.poll() is None:
            process.kill()
    await all_ask(stage, "after", phones)
    return ends["no answer"] <= UNREAD_ALLOWED


if __name__ == "__main__":
    main(__file__, case)
