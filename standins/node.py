"""A stand-in cache node: HTTP/1.1 over loopback, with cores, a queue and a count of executed requests."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from httptools import HttpParserError, HttpRequestParser

from standins.stalls import no_stall

BACKLOG = 1_024  # a proxy that starts may open one connection for each client
QUEUE_MAX = 512  # requests waiting for a core; more are rejected


@dataclass(frozen=True, slots=True)
class NodeProfile:
    """A node's capacity: seconds of a core for each request (0: answered at once), the number of cores, bytes
    of an answer's body, and the fraction of requests that it rejects without running them."""

    service_s: float = 0.0
    cores: int = 2
    body_bytes: int = 512
    reject_fraction: float = 0.0


@dataclass(slots=True)
class Execution:
    """A request that the node ran."""

    method: str
    path: str
    key: str | None
    id: str


class StandInNode:
    """A stand-in node. `executions` counts each (method, path, Idempotency-Key or X-Call-Id) that it ran."""

    def __init__(self, name: str, profile: NodeProfile | None = None) -> None:
        self.name, self.profile = name, profile or NodeProfile()
        self.executions: Counter[tuple[str, str, str]] = Counter()
        self.on_execution: Callable[[Execution, dict[bytes, bytes], bytes], None] | None = None
        self.on_request_received: Callable[[str], None] | None = (
            None  # called with the X-Call-Id of each request
        )
        self.on_step: Callable[[str], None] = no_stall
        self.busy_cores = 0
        self.queue: deque[Callable[[], None]] = deque()
        self.connections: set[asyncio.Transport] = set()
        self.random = random.Random(name)
        self.port = 0
        self.draining = False
        self.body = b"x" * self.profile.body_bytes
        self.answer_headers = b"X-Hit: hit\r\nX-Box: %b\r\n" % name.encode()
        self.loop = asyncio.get_running_loop()
        self.server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Listens on this port, or on a free one."""
        self.server = await self.loop.create_server(
            lambda: _ServerConnection(self), "127.0.0.1", port, backlog=BACKLOG
        )
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Its host and port."""
        return f"127.0.0.1:{self.port}"

    def stop(self) -> None:
        """Acts like a process that dies: connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()

    def reset(self) -> None:
        """Resets all open connections."""
        for transport in list(self.connections):
            transport.abort()

    def should_reject(self) -> bool:
        """Whether to reject the next request; the sequence depends on the node's name alone."""
        return self.profile.reject_fraction > 0 and self.random.random() < self.profile.reject_fraction

    def admit(self, run: Callable[[], None]) -> bool:
        """Runs work on a core, at once or after queueing; false if the queue is full."""
        if self.busy_cores < self.profile.cores:
            self.busy_cores += 1
            self.loop.call_later(self.profile.service_s, self._finish, run)
            return True
        if len(self.queue) >= QUEUE_MAX:
            return False
        self.queue.append(run)
        return True

    def _finish(self, run: Callable[[], None]) -> None:
        run()
        if self.queue:
            self.loop.call_later(self.profile.service_s, self._finish, self.queue.popleft())
        else:
            self.busy_cores -= 1


class _ServerConnection(asyncio.Protocol):
    """A proxy's connection to the node, with one request at a time."""

    def __init__(self, node: StandInNode) -> None:
        self.node = node
        self.parser = HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.node.server is None:  # accepted just before stop(), which did not see it
            self.transport.abort()
            return
        self.node.connections.add(self.transport)
        self.node.on_step("accepted")

    def connection_lost(self, exc: Exception | None) -> None:
        if self.transport is not None:
            self.node.connections.discard(self.transport)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.node.on_step("before a node reads")
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            if self.transport is not None:
                self.transport.close()

    def on_message_begin(self) -> None:
        self.url, self.headers, self.body = b"", {}, b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        method = self.parser.get_method()
        url, headers, body = self.url, self.headers, self.body
        if self.node.on_request_received is not None:
            self.node.on_request_received(headers.get(b"x-call-id", b"").decode("latin-1"))
        if self.node.draining or self.node.should_reject():
            self._write(b"503 Service Unavailable", b"X-Rejected: 1\r\n", b"")
        elif b"x-call-id" not in headers:
            self._write(b"404 Not Found", b"", b"")
        elif self.node.profile.service_s <= 0:
            self._run(method, url, headers, body)
        elif not self.node.admit(lambda: self._run(method, url, headers, body)):
            self._write(b"503 Service Unavailable", b"X-Rejected: 1\r\n", b"")

    def _run(self, method: bytes, url: bytes, headers: dict[bytes, bytes], body: bytes) -> None:
        node, key = self.node, headers.get(b"idempotency-key")
        call_id = headers[b"x-call-id"].decode("latin-1")
        key_text = key.decode("latin-1") if key is not None else None
        if node.on_execution is not None or method != b"GET":
            execution = Execution(method.decode(), url.decode("latin-1"), key_text, call_id)
            node.executions[execution.method, execution.path, key_text or call_id] += 1
            if node.on_execution is not None:
                node.on_execution(execution, headers, body)
        self._write(b"200 OK", node.answer_headers, node.body)

    def _write(self, status: bytes, extra: bytes, body: bytes) -> None:
        if self.transport is not None:
            self.transport.write(
                b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, extra, len(body), body)
            )
