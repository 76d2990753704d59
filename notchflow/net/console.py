"""The console: operators' requests over HTTP/1.1, one per connection, answered whatever the load."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Any, Final, Protocol, cast

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from notchflow.net.clock import Clock
from notchflow.net.exchange import REASON_PHRASES, LocalReply

log = logging.getLogger(__name__)

# Descriptors reserved for connections with an incomplete request: at most this many, and at most this part of
# the limit.
MAX_CONNECTIONS, MAX_CONNECTIONS_SHARE = 48, 1 / 8
BACKLOG: Final = 256
MAX_REQUEST_BYTES: Final = 8 << 10  # bytes of a request, with its head
REQUEST_TIMEOUT_MS: Final = 2_000.0  # time for a request to arrive
# per turn of the loop, so that an accepted connection has some turns to be read before others displace it
ACCEPTS_PER_TURN: Final = 8
TEXT_HEADERS: Final = (b"Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n",)
STATUS, METRICS, STANDBY, ACTIVE = "/status", "/status/metrics", "/standby", "/active"
METHODS: Final = {STATUS: "GET", METRICS: "GET", STANDBY: "POST", ACTIVE: "POST"}


class ConsoleHost(Protocol):
    """What the console needs of the proxy."""

    loop: asyncio.AbstractEventLoop
    clock: Clock

    def is_serving(self) -> bool:
        """Returns whether this process serves clients: from its start until it is told to stop."""

    def enter_standby(self) -> bool:
        """Starts standby. Returns whether the proxy is on standby now."""

    def activate(self) -> bool:
        """Ends standby. Returns whether the proxy is active now."""

    def metrics_text(self) -> str:
        """Returns the current metrics in the Prometheus text format."""


def handle_request(host: ConsoleHost, method: str, path: str) -> LocalReply:
    """Carries out a request and returns the response."""
    allowed = METHODS.get(path)
    if allowed is None:
        return LocalReply(404, TEXT_HEADERS, f"no such call; there are {', '.join(METHODS)}\n".encode())
    if method != allowed:
        return LocalReply(405, (f"Allow: {allowed}\r\n".encode(),), b"")
    if path == METRICS:
        return LocalReply(200, TEXT_HEADERS, host.metrics_text().encode())
    if path == STATUS:
        done, failure_status = host.is_serving(), 503
    else:
        done, failure_status = host.enter_standby() if path == STANDBY else host.activate(), 409
    return (
        LocalReply(200, TEXT_HEADERS, b"yes\n")
        if done
        else LocalReply(failure_status, TEXT_HEADERS, b"no: not ready, or told to end\n")
    )


class ConsoleConnection(asyncio.Protocol):
    """A connection to the console, with its one request. Most requests lie complete in the kernel's buffer
    when the connection is accepted, and are answered at once; other connections wait on the loop for the
    rest."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.transport: asyncio.Transport | None = None
        self.parser: HttpRequestParser | None = HttpRequestParser(self)
        self.url = b""
        self.size = 0
        self.opened_at = console.host.clock.now()
        self.response: LocalReply | None = None
        self.unsent = b""  # the part of the response that the kernel did not accept at once

    def feed(self, data: bytes) -> bytes:
        """Parses a part of the request. Returns the encoded response once there is one."""
        if self.response is not None or self.parser is None:
            return b""
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            pass  # the request itself is complete
        except HttpParserError:
            self.response = self.response or LocalReply(400)
        if self.response is None and self.size > MAX_REQUEST_BYTES:
            self.response = LocalReply(413)
        return b"" if self.response is None else encode_response(self.response)

    def on_url(self, url: bytes) -> None:
        """Parser: a part of the request target."""
        self.url += url

    def on_message_complete(self) -> None:
        """Parser: the request is complete and is carried out."""
        if self.response is not None or self.parser is None:
            return
        path = self.url.partition(b"?")[0].decode("latin-1")
        try:
            self.response = handle_request(self.console.host, self.parser.get_method().decode(), path)
        except Exception:
            log.exception("a console request failed")
            self.response = LocalReply(503)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: the connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        if self not in self.console.connections:
            self.abort()  # displaced by another connection meanwhile
        self.send_and_close(self.unsent)

    def data_received(self, data: bytes) -> None:
        """asyncio: a part of the request has arrived."""
        self.send_and_close(self.feed(data))

    def send_and_close(self, data: bytes) -> None:
        """Sends the response, if there is one, and closes the connection."""
        if data and self.transport is not None:
            self.transport.write(data)
            self.transport.close()

    def time_out(self) -> None:
        """Ends a connection whose request has not arrived in time."""
        if self.response is not None:
            self.abort()  # the client does not read its response
        else:
            self.response = LocalReply(408)
            self.send_and_close(encode_response(self.response))

    def abort(self) -> None:
        """Aborts the connection."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection has closed."""
        self.transport = self.parser = None
        self.console.connections.pop(self, None)


def encode_response(reply: LocalReply) -> bytes:
    """Encodes a response."""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\nConnection: close\r\n\r\n%b" % (
        reply.status,
        REASON_PHRASES[reply.status],
        b"".join(reply.headers),
        len(reply.body),
        reply.body,
    )


def connection_limit(sockets: int) -> int:
    """Returns how many console connections a limit on descriptors leaves room for."""
    return max(min(MAX_CONNECTIONS, int(sockets * MAX_CONNECTIONS_SHARE)), 4)


class Console:
    """The listening socket of the console and its connections, in the order in which they were accepted."""

    def __init__(
        self, host: ConsoleHost, address: tuple[str, int], max_connections: int = MAX_CONNECTIONS
    ) -> None:
        self.host, self.address, self.max_connections = host, address, max_connections
        self.listener: socket.socket | None = None
        self.connections: dict[ConsoleConnection, None] = {}
        self.adopt_tasks: set[asyncio.Task[Any]] = set()

    def listen(self) -> None:
        """Opens the listening socket."""
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        self.listener = socket.create_server(self.address, family=family, backlog=BACKLOG)
        self.listener.setblocking(False)
        self.host.loop.add_reader(self.listener, self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            if self.listener is None:
                return
            try:
                sock, _address = self.listener.accept()
            except OSError:  # no connection is waiting, or it was closed again
                return
            sock.setblocking(False)
            if not self._answer_at_once(sock, connection := ConsoleConnection(self)):
                self._make_room()
                self.connections[connection] = None
                task = self.host.loop.create_task(self._adopt(sock, connection))
                self.adopt_tasks.add(task)
                task.add_done_callback(self.adopt_tasks.discard)

    def _answer_at_once(self, sock: socket.socket, connection: ConsoleConnection) -> bool:
        """Answers a request that has already arrived. Returns false if the rest of it must be waited for."""
        try:
            data = sock.recv(MAX_REQUEST_BYTES)
            response = connection.feed(data)
            if data and not response:
                return False
            if response:
                connection.unsent = response[sock.send(response) :]
                if connection.unsent:
                    return False
        except BlockingIOError:
            return False
        except OSError:
            pass
        sock.close()
        return True

    def _make_room(self) -> None:
        """Aborts the oldest connection at the limit: silent clients must not keep others out, and the oldest
        one has had the most time."""
        if len(self.connections) >= self.max_connections:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.abort()

    async def _adopt(self, sock: socket.socket, connection: ConsoleConnection) -> None:
        try:
            await self.host.loop.connect_accepted_socket(lambda: connection, sock)
        except OSError:
            self.connections.pop(connection, None)
            sock.close()

    def close_expired(self, now: float) -> None:
        """Times out connections whose request has not arrived in time."""
        for connection in list(self.connections):
            if now < connection.opened_at + REQUEST_TIMEOUT_MS:
                break
            connection.time_out()

    def close(self) -> None:
        """Closes the listening socket and all connections."""
        if self.listener is not None:
            self.host.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        for connection in list(self.connections):
            connection.abort()
