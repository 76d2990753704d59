"""The console: operators' calls over HTTP/1.1, one on each connection, answered whatever the load."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Any, Final, Protocol, cast

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from notchflow.net.clock import Clock
from notchflow.net.exchange import REASON_PHRASES, LocalReply

log = logging.getLogger(__name__)

# Descriptors set aside for callers that have not said all: of so many in all, or of this part of the limit.
CALLERS_MAX, CALLERS_SHARE = 48, 1 / 8
BACKLOG: Final = 256
CALL_MAX: Final = 8 << 10  # bytes of one call, with its head
DUE_MS: Final = 2_000.0  # a call that has not come whole by then is no call
ACCEPTS: Final = 8  # a turn: who is accepted has some turns to be heard before others take its place
TEXT: Final = (b"Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n",)
STATUS, METRICS, STANDBY, ACTIVE = "/status", "/status/metrics", "/standby", "/active"
METHODS: Final = {STATUS: "GET", METRICS: "GET", STANDBY: "POST", ACTIVE: "POST"}


class Operated(Protocol):
    """What the console asks of the proxy."""

    loop: asyncio.AbstractEventLoop
    clock: Clock

    def is_serving(self) -> bool:
        """Whether this process takes clients: from its start on until it is told to end."""

    def enter_standby(self) -> bool:
        """Sends clients away; whether that is done now."""

    def activate(self) -> bool:
        """Back to work; whether that is done now."""

    def metrics_text(self) -> str:
        """The figures."""


def answer(operated: Operated, method: str, path: str) -> LocalReply:
    """What a call is answered with, after it is carried out."""
    allowed = METHODS.get(path)
    if allowed is None:
        return LocalReply(404, TEXT, f"no such call; there are {', '.join(METHODS)}\n".encode())
    if method != allowed:
        return LocalReply(405, (f"Allow: {allowed}\r\n".encode(),), b"")
    if path == METRICS:
        return LocalReply(200, TEXT, operated.metrics_text().encode())
    if path == STATUS:
        done, no = operated.is_serving(), 503
    else:
        done, no = operated.enter_standby() if path == STANDBY else operated.activate(), 409
    return (
        LocalReply(200, TEXT, b"yes\n") if done else LocalReply(no, TEXT, b"no: not ready, or told to end\n")
    )


class Caller(asyncio.Protocol):
    """One caller and its call. Most calls lie whole in the kernel when the caller is accepted, and are
    answered then and there; the others wait for the rest as a connection of the loop."""

    def __init__(self, console: Console) -> None:
        self.console = console
        self.transport: asyncio.Transport | None = None
        self.parser: HttpRequestParser | None = HttpRequestParser(self)
        self.url = b""
        self.size = 0
        self.since = console.operated.clock.now()
        self.due: LocalReply | None = None
        self.unsent = b""  # of an answer that was longer than the kernel took at once

    def feed(self, data: bytes) -> bytes:
        """A part of the call; the answer, once it is due."""
        if self.due is not None or self.parser is None:
            return b""
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            pass  # the call itself came whole
        except HttpParserError:
            self.due = self.due or LocalReply(400)
        if self.due is None and self.size > CALL_MAX:
            self.due = LocalReply(413)
        return b"" if self.due is None else written(self.due)

    def on_url(self, url: bytes) -> None:
        """Parser: a part of the target."""
        self.url += url

    def on_message_complete(self) -> None:
        """Parser: the call is whole and is answered."""
        if self.due is not None or self.parser is None:
            return
        path = self.url.partition(b"?")[0].decode("latin-1")
        try:
            self.due = answer(self.console.operated, self.parser.get_method().decode(), path)
        except Exception:
            log.exception("a call failed")
            self.due = LocalReply(503)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: the caller's connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        if self not in self.console.callers:
            self.drop()  # room was made for others meanwhile
        self.end(self.unsent)

    def data_received(self, data: bytes) -> None:
        """asyncio: a part of a call."""
        self.end(self.feed(data))

    def end(self, data: bytes) -> None:
        """Writes the one answer, if it is due, and ends the connection."""
        if data and self.transport is not None:
            self.transport.write(data)
            self.transport.close()

    def late(self) -> None:
        """The call has not come in time."""
        if self.due is not None:
            self.drop()  # it does not read its answer
        else:
            self.due = LocalReply(408)
            self.end(written(self.due))

    def drop(self) -> None:
        """Waits no longer for what this caller may yet send."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the caller has gone."""
        self.transport = self.parser = None
        self.console.callers.pop(self, None)


def written(reply: LocalReply) -> bytes:
    """An answer as it is sent."""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\nConnection: close\r\n\r\n%b" % (
        reply.status,
        REASON_PHRASES[reply.status],
        b"".join(reply.headers),
        len(reply.body),
        reply.body,
    )


def callers_of(sockets: int) -> int:
    """How many callers a limit on descriptors leaves room for."""
    return max(min(CALLERS_MAX, int(sockets * CALLERS_SHARE)), 4)


class Console:
    """The listener and its callers, in the order in which they came."""

    def __init__(self, operated: Operated, address: tuple[str, int], most: int = CALLERS_MAX) -> None:
        self.operated, self.address, self.most = operated, address, most
        self.listener: socket.socket | None = None
        self.callers: dict[Caller, None] = {}
        self.adopting: set[asyncio.Task[Any]] = set()

    def listen(self) -> None:
        """Opens the listener."""
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        self.listener = socket.create_server(self.address, family=family, backlog=BACKLOG)
        self.listener.setblocking(False)
        self.operated.loop.add_reader(self.listener, self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            if self.listener is None:
                return
            try:
                sock, _address = self.listener.accept()
            except OSError:  # nobody waits, or they went away again
                return
            sock.setblocking(False)
            if not self._answered(sock, caller := Caller(self)):
                self._make_room()
                self.callers[caller] = None
                task = self.operated.loop.create_task(self._adopt(sock, caller))
                self.adopting.add(task)
                task.add_done_callback(self.adopting.discard)

    def _answered(self, sock: socket.socket, caller: Caller) -> bool:
        """Answers at once what has come already; false where the rest must be waited for."""
        try:
            data = sock.recv(CALL_MAX)
            due = caller.feed(data)
            if data and not due:
                return False
            if due:
                caller.unsent = due[sock.send(due) :]
                if caller.unsent:
                    return False
        except BlockingIOError:
            return False
        except OSError:
            pass
        sock.close()
        return True

    def _make_room(self) -> None:
        """One who says nothing must not keep out the others: who came first has had the longest time."""
        if len(self.callers) >= self.most:
            first = next(iter(self.callers))
            del self.callers[first]
            first.drop()

    async def _adopt(self, sock: socket.socket, caller: Caller) -> None:
        try:
            await self.operated.loop.connect_accepted_socket(lambda: caller, sock)
        except OSError:
            self.callers.pop(caller, None)
            sock.close()

    def sweep(self, now: float) -> None:
        """Answers those whose call has not come in time."""
        for caller in list(self.callers):
            if now < caller.since + DUE_MS:
                break
            caller.late()

    def shut(self) -> None:
        """Closes the listener and all callers."""
        if self.listener is not None:
            self.operated.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None
        for caller in list(self.callers):
            caller.drop()
