"""What the cases 6 to 10 share: the record, the processes that a case starts, stand-in nodes and clients.

A case is a coroutine that returns whether the rule held. `run` turns that into the exit status: 0 if it held,
1 if it was broken, 2 if the case could not run. All processes end with the case.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

from standins.ports import free_ports

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CASE_LIMIT_S = 110.0
START_LIMIT_S = 30.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be brought to the point at which the rule is judged."""


class Stage:
    """The record of a case, its temporary folder, and the processes that it has started."""

    def __init__(self, folder: Path) -> None:
        self.record = (folder / "record.txt").open("w")
        self.began = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.note("begin", f"trouble={int(TROUBLE)}")

    def note(self, what: str, *details: object) -> None:
        """Writes one line with the seconds since the case began, to the record and to standard output."""
        line = f"{time.monotonic() - self.began:8.3f} {what} {' '.join(map(str, details))}".rstrip()
        print(line, flush=True)
        self.record.write(line + "\n")
        self.record.flush()

    def spawn(
        self,
        name: str,
        command: str,
        environment: Mapping[str, str],
        inherited: Mapping[int, int] | None = None,
    ) -> subprocess.Popen[bytes]:
        """Starts a command line from the root of the repository; its output goes to a log of the case.
        `inherited`: descriptors of the new process, with those of this one that they are."""
        moves = dict(inherited or {})

        def move() -> None:
            for new, own in moves.items():
                os.dup2(own, new)

        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**os.environ, **environment},
                stdout=log,
                stderr=log,
                pass_fds=tuple(moves),
                preexec_fn=move if moves else None,
            )
        self.processes.append(process)
        return process

    def log_lines(self, name: str, *words: str) -> list[str]:
        """The lines of a process's log that hold one of these words."""
        path = self.folder / f"{name}.log"
        text = path.read_text(errors="replace") if path.exists() else ""
        return [line for line in text.splitlines() if any(word in line for word in words)]

    def close(self) -> None:
        """Ends all processes of the case and removes its folder."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run(folder: Path, case: Callable[[Stage], Awaitable[bool]]) -> int:
    """Plays a case within its time limit and returns the exit status."""
    stage = Stage(folder)

    async def play() -> bool:
        async with asyncio.timeout(CASE_LIMIT_S):
            return await case(stage)

    try:
        held = asyncio.run(play())
        stage.note("verdict", "the rule held" if held else "the rule was BROKEN")
        return HELD if held else BROKEN
    except (CannotRunError, TimeoutError, OSError) as error:
        stage.note("cannot run", repr(error))
        return CANNOT_RUN
    finally:
        stage.close()


def deploy_command(name: str) -> str:
    """A command of the deploy file."""
    return str(tomllib.loads((ROOT / "deploy/balancer.toml").read_text())[name])


def proxy_environment(
    stage: Stage, listen: str, discovery: str, config: Mapping[str, Any], **more: str
) -> dict[str, str]:
    """Writes the configuration of one platform proxy and returns what the platform tells it."""
    path = stage.folder / "config.json"
    path.write_text(json.dumps({"name": "n0", "seed": "5f0c", **config}))
    return {
        "ROUTER_NAME": "n0",
        "ROUTER_LISTEN": listen,
        "ROUTER_DISCOVERY": discovery,
        "ROUTER_CONFIG": str(path),
        "TMPDIR": str(stage.folder),
        **more,
    }


def local_address() -> str:
    """A free loopback address."""
    return f"127.0.0.1:{free_ports(1)[0]}"


async def http_get(address: str, path: str, method: str = "GET") -> int:
    """The status of one call on a connection of its own; 0 without an answer."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: door\r\nConnection: close\r\n\r\n".encode())
                return int((await reader.readuntil(b"\r\n")).split()[1])
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return 0


async def until_ready(address: str, path: str = "/health/ready", seconds: float = START_LIMIT_S) -> None:
    """Waits until a call is answered 200."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await http_get(address, path) == 200:
            return
        await asyncio.sleep(0.02)
    raise CannotRunError(f"{address}{path} was not answered 200 within {seconds:g} s")


def request_head(
    method: str, key: str, call_id: str, cls: str, budget_s: float, body: int = 0, idempotency: str = ""
) -> bytes:
    """The head of a client's request, as the protocol page has it."""
    lines = [
        f"{method} /api/{key} HTTP/1.1",
        "Host: service.internal",
        f"X-Call-Id: {call_id}",
        f"X-Call-Class: {cls}",
        f"X-Budget: {budget_s:.3f}",
    ]
    if method == "PUT":
        lines.append(f"Content-Length: {body}")
    if idempotency:
        lines.append(f"Idempotency-Key: {idempotency}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """One whole answer with a length: its status and body. Raises IncompleteReadError or ConnectionError."""
    head = await reader.readuntil(b"\r\n\r\n")
    fields = parse_fields(head)
    return int(head.split()[1]), await reader.readexactly(int(fields.get("content-length", "0")))


def parse_fields(head: bytes) -> dict[str, str]:
    """The header fields of a message, by their names in lower case."""
    fields = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        if value:
            fields[name.strip().lower()] = value.strip()
    return fields


def main(file: str, case: Callable[[Stage], Awaitable[bool]]) -> None:
    """Runs a case from its own file and exits with its status, whatever stand-ins are still connected."""
    status = run(Path(file).resolve().parent, case)
    sys.stdout.flush()
    os._exit(status)
