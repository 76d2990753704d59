"""Stand-ins for the cases: nodes, discovery and a relay that delays; and the process of the proxy."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_S = 30.0


class NotRunError(Exception):
    """The case could not run, so that it shows nothing."""


class Record:
    """Writes what was sent, answered and run to `record.txt`, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file: TextIO = (folder / "record.txt").open("w", encoding="utf-8")
        self.began = time.monotonic()

    def add(self, what: str) -> None:
        """Writes one line."""
        self.file.write(f"{time.monotonic() - self.began:9.4f} {what}\n")
        self.file.flush()


class Message:
    """A request or an answer, as a stand-in has read it."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes) -> None:
        self.line, self.headers, self.body = line, headers, body

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.line.split()[1])

    @property
    def path(self) -> str:
        """The target of a request."""
        return self.line.split()[1]


async def read_message(reader: asyncio.StreamReader, first: bytes = b"") -> Message | None:
    """Reads one message whole, whose `first` bytes have been read; None if the connection ends before."""
    try:
        head = first + await reader.readuntil(b"\r\n\r\n")
        line, *fields = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (f.partition(":") for f in fields)}
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Message(line, headers, body)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


async def read_answer(reader: asyncio.StreamReader, wait_s: float) -> Message | None:
    """Reads an answer; None if the connection ends without one, or none has come by then."""
    try:
        return await asyncio.wait_for(read_message(reader), wait_s)
    except TimeoutError:
        return None


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection, as the death of its process does."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def answer(body: bytes, status: str = "200 OK", extra: str = "") -> bytes:
    """The bytes of an answer with a length."""
    return f"HTTP/1.1 {status}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Connection:
    """A connection to a stand-in node. `begun` is the number of requests that have begun to come."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.begun = 0


Script = Callable[["Node", Connection, Message], Awaitable[None]]


class Node:
    """A stand-in cache node, which calls its script for each request that has come whole."""

    def __init__(self, name: str, script: Script, zone: str = "a", cell: int = 0) -> None:
        self.name, self.script, self.zone, self.cell = name, script, zone, cell
        self.open: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.port = 0
        self.listed_port = 0  # where the proxy reaches it: its own, or that of a relay

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.listed_port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.server is None:
            reset(writer)
            return
        self.open.add(writer)
        connection = Connection(reader, writer)
        try:
            while first := await reader.read(1):
                connection.begun += 1
                request = await read_message(reader, first)
                if request is None:
                    break
                await self.script(self, connection, request)
        except (ConnectionError, asyncio.CancelledError):
            pass  # the proxy has left, or the play is over
        finally:
            self.open.discard(writer)
            writer.close()

    def die(self) -> None:
        """Ends like a process that is killed: connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.open):
            reset(writer)

    def entry(self, phase: str = "up") -> dict[str, Any]:
        """Its entry in the list of discovery."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.listed_port}",
            "locality": self.zone,
            "flavor": "m",
            "cell": self.cell,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
        }


class Discovery:
    """Discovery: whole lists, and watches that wait for a change."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.revision = 41
        self.members = members
        self.answer_whole = False  # the next answer of a watch is the whole list
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Condition()
        self.on_write: Callable[[dict[str, Any]], None] = lambda listing: None
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def change(self, entry: dict[str, Any], whole: bool = False) -> None:
        """Changes an entry. `whole`: watches are answered with the whole list, and not with the change."""
        async with self.changed:
            self.revision += 1
            self.members = [m for m in self.members if m["id"] != entry["id"]]
            if entry["phase"] != "removed":
                self.members.append(entry)
            self.changes.append((self.revision, entry))
            self.answer_whole = whole
            self.changed.notify_all()

    def whole_list(self) -> dict[str, Any]:
        """The whole list."""
        return {"revision": self.revision, "complete": True, "members": self.members}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                query = dict(p.split("=") for p in request.path.partition("?")[2].split("&") if p)
                listing = self.whole_list()
                if "index" in query:
                    index = int(query["index"])
                    await self._wait(index, int(query.get("wait", "0")) / 1e3)
                    if self.answer_whole and self.revision > index:
                        listing = self.whole_list()
                    else:
                        newest = {e["id"]: e for revision, e in self.changes if revision > index}
                        listing = {
                            "revision": self.revision,
                            "complete": False,
                            "members": list(newest.values()),
                        }
                self.on_write(listing)
                writer.write(answer(json.dumps(listing).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the proxy has left, or the play is over
        finally:
            writer.close()

    async def _wait(self, index: int, seconds: float) -> None:
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: self.revision > index), seconds)
            except TimeoutError:
                pass


class Relay:
    """Passes bytes on after a delay each way, as a network does between two data centres."""

    def __init__(self, port: int, delay_s: float) -> None:
        self.target, self.delay_s = port, delay_s
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            reset(writer)
            return
        try:
            await asyncio.gather(self._pass(reader, far_writer), self._pass(far_reader, writer))
        except asyncio.CancelledError:
            pass  # the play is over

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        for sock in (writer.get_extra_info("socket"),):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while data := await reader.read(65536):
                loop.call_later(self.delay_s, _write, writer, data)
        except (ConnectionError, asyncio.CancelledError):
            pass
        loop.call_later(self.delay_s, writer.close)


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.transport.is_closing():
        writer.write(data)


def small_settings(classes: list[dict[str, Any]], **changes: Any) -> dict[str, Any]:
    """Settings like those of a small deployment, in which discovery is asked."""
    return {
        "Az": "a",
        "Callers": {"MarksRetry": True},
        "Classes": classes,
        "GranularityMs": 5.0,
        "Kinds": ["m"],
        "Limits": {
            "Cancel": True,
            "ConnIdleMs": 10000.0,
            "DialTimeoutMs": 150.0,
            "MaxAttempts": 3,
            "MaxOpen": 20000,
            "MaxRetryAfterMs": 750.0,
            "MayProbe": False,
            "MayTell": False,
            "RetryAfter": True,
            "SecondCopies": True,
            "StreamsPerConn": 1,
        },
        "Me": 0,
        "MembershipMode": "on_request",
        "PeersTotal": 2,
        "Report": {"Fields": [], "How": "off"},
        "Rules": {
            "AskWithinMs": 10000.0,
            "ColdMs": 24000.0,
            "ColdShare": 0.12,
            "DrainGraceMs": 250.0,
            "FallMs": 1000.0,
            "GraceToAnswerMs": 20.0,
            "OverloadFactor": 4.0,
        },
        "Workload": "cache",
        "Zones": ["a", "b"],
    } | changes


def request_class(name: str, effect: str, deadline_ms: float, **changes: Any) -> dict[str, Any]:
    """A request class of the settings."""
    return {
        "Name": name,
        "Effect": effect,
        "Group": "all",
        "ObjectiveMs": deadline_ms,
        "DeadlineMs": deadline_ms,
        "Points": 1.0,
        "LateValue": 0.0,
        "Stream": False,
        "WindowMs": 5000.0,
    } | changes


def request(method: str, key: str, call_id: str, cls: str, budget_s: float, extra: str = "") -> bytes:
    """The head of a request, in the form of the protocol page."""
    return (
        f"{method} /api/{key} HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: {call_id}\r\n"
        f"X-Call-Class: {cls}\r\nX-Budget: {budget_s:.3f}\r\n{extra}\r\n"
    ).encode()


class Proxy:
    """The proxy's process, started as the deploy file says."""

    def __init__(self, record: Record, discovery: Discovery, settings: dict[str, Any]) -> None:
        sys.path.insert(0, str(ROOT))
        from standins.ports import free_ports

        self.record, self.discovery = record, discovery
        (self.port,) = free_ports(1)
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.config = Path(self.folder.name) / "config.json"
        self.file = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole_list(),
            "settings": settings,
        }
        self.write_config()
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Puts the configuration in its place, whole."""
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(self.file))
        new.rename(self.config)

    async def start(self) -> None:
        """Starts the process and waits until it is ready."""
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        temporary = Path(self.folder.name) / "tmp"
        temporary.mkdir()
        told = {
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
            "ROUTER_DISCOVERY": f"127.0.0.1:{self.discovery.port}",
            "ROUTER_CONFIG": str(self.config),
            "TMPDIR": str(temporary),
        }
        log = (Path(self.folder.name) / "log").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=os.environ | told, stdout=log, stderr=log
        )
        log.close()
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise NotRunError(f"the proxy ended with {self.process.returncode}: {self.log()}")
            if await self._is_ready():
                self.record.add(f"proxy ready, process {self.process.pid}")
                return
            await asyncio.sleep(0.05)
        raise NotRunError("the proxy was never ready")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: service.internal\r\n\r\n")
        got = await read_message(reader)
        writer.close()
        return got is not None and got.status == 200

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.record.add(f"signal {number} to the proxy")
        self.process.send_signal(number)

    def log(self) -> str:
        """What the process has logged."""
        return (Path(self.folder.name) / "log").read_text(errors="replace")

    def end(self) -> None:
        """Ends the process, and notes its log."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.terminate()
                try:
                    self.process.wait(6.0)
                except subprocess.TimeoutExpired:
                    self.process.kill()
                    self.process.wait()
            for line in self.log().splitlines()[-40:]:
                self.record.add(f"log of the proxy: {line}")
        self.folder.cleanup()


def run_case(folder: Path, play: Callable[[Record], Awaitable[int]], limit_s: float = 100.0) -> int:
    """Runs a case and returns its exit status."""
    record = Record(folder)
    record.add(f"trouble: {'on' if TROUBLE else 'off'}")
    try:
        status = asyncio.run(asyncio.wait_for(play(record), limit_s))
    except Exception as error:  # whatever went wrong here says nothing of the proxy
        record.add(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        return NOT_RUN
    verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[status]
    record.add(f"the rule: {verdict}")
    print(f"the rule: {verdict}")
    return status
