"""A stand-in cache box: HTTP/1.1 over loopback, some cores, a queue, and a count of what it executed."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from httptools import HttpParserError, HttpRequestParser

from standins.holds import no_hold

BACKLOG = 1_024  # a proxy that starts may dial as often as it has clients
QUEUE_MAX = 512  # requests waiting for a core; more are turned away, as a box does


@dataclass(frozen=True, slots=True)
class Work:
    """What a box costs: seconds of a core for a request (0: answered at once), cores, bytes of an answer, and
    the share of requests that it turns away unheard."""

    seconds: float = 0.0
    cores: int = 2
    body: int = 512
    failing: float = 0.0


@dataclass(slots=True)
class Execution:
    """One request as the box ran it."""

    method: str
    path: str
    key: str | None
    id: str


class Box:
    """One box. `executions` counts each (method, path, Idempotency-Key or X-Call-Id) that it ran."""

    def __init__(self, name: str, work: Work | None = None) -> None:
        self.name, self.work = name, work or Work()
        self.executions: Counter[tuple[str, str, str]] = Counter()
        self.watch: Callable[[Execution, dict[bytes, bytes], bytes], None] | None = None
        self.heard: Callable[[str], None] | None = None  # told the X-Call-Id of each request that has come
        self.hold: Callable[[str], None] = no_hold
        self.busy = 0
        self.queue: deque[Callable[[], None]] = deque()
        self.open: set[asyncio.Transport] = set()
        self.random = random.Random(name)
        self.port = 0
        self.draining = False
        self.body = b"x" * self.work.body
        self.fields = b"X-Hit: hit\r\nX-Box: %b\r\n" % name.encode()
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        self.server = await self.loop.create_server(lambda: _Peer(self), "127.0.0.1", port, backlog=BACKLOG)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def stop(self) -> None:
        """As when the process dies: connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()

    def reset(self) -> None:
        """Resets all its connections."""
        for transport in list(self.open):
            transport.abort()

    def fails(self) -> bool:
        """Whether this request is one of those turned away; the same ones every time."""
        return self.work.failing > 0 and self.random.random() < self.work.failing

    def admit(self, run: Callable[[], None]) -> bool:
        """Takes work for a core, now or from the queue; false where the queue is full."""
        if self.busy < self.work.cores:
            self.busy += 1
            self.loop.call_later(self.work.seconds, self._done, run)
            return True
        if len(self.queue) >= QUEUE_MAX:
            return False
        self.queue.append(run)
        return True

    def _done(self, run: Callable[[], None]) -> None:
        run()
        if self.queue:
            self.loop.call_later(self.work.seconds, self._done, self.queue.popleft())
        else:
            self.busy -= 1


class _Peer(asyncio.Protocol):
    """A proxy's connection to the box; one request at a time."""

    def __init__(self, box: Box) -> None:
        self.box = box
        self.parser = HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.url = b""
        self.fields: dict[bytes, bytes] = {}
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.box.server is None:  # accepted just before the stop, which did not see it
            self.transport.abort()
            return
        self.box.open.add(self.transport)
        self.box.hold("accepted")

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None:
            self.box.open.discard(self.transport)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.box.hold("before a node reads")
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            if self.transport is not None:
                self.transport.close()

    def on_message_begin(self) -> None:
        self.url, self.fields, self.body = b"", {}, b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        method = self.parser.get_method()
        url, fields, body = self.url, self.fields, self.body
        if self.box.heard is not None:
            self.box.heard(fields.get(b"x-call-id", b"").decode("latin-1"))
        if self.box.draining or self.box.fails():
            self._write(b"503 Service Unavailable", b"X-Rejected: 1\r\n", b"")
        elif b"x-call-id" not in fields:
            self._write(b"404 Not Found", b"", b"")
        elif self.box.work.seconds <= 0:
            self._run(method, url, fields, body)
        elif not self.box.admit(lambda: self._run(method, url, fields, body)):
            self._write(b"503 Service Unavailable", b"X-Rejected: 1\r\n", b"")

    def _run(self, method: bytes, url: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        box, key = self.box, fields.get(b"idempotency-key")
        call = fields[b"x-call-id"].decode("latin-1")
        text = key.decode("latin-1") if key is not None else None
        if box.watch is not None or method != b"GET":
            done = Execution(method.decode(), url.decode("latin-1"), text, call)
            box.executions[done.method, done.path, text or call] += 1
            if box.watch is not None:
                box.watch(done, fields, body)
        self._write(b"200 OK", box.fields, box.body)

    def _write(self, status: bytes, extra: bytes, body: bytes) -> None:
        if self.transport is not None:
            self.transport.write(
                b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, extra, len(body), body)
            )
