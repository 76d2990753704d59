"""The connections to one address: dialled, kept for the next exchange, and let go of."""

from __future__ import annotations

import asyncio
import os
import socket
from bisect import insort

from notchflow.net.connection import Connection, Exchange, IdleLimit
from notchflow.net.exchange import ConnectionHost
from notchflow.net.timers import TimerId


class Pool:
    """The connections to one address: the last to become idle is used first, so that the others age out."""

    __slots__ = ("host", "address", "connect_timeout_ms", "limit", "idle", "dials", "adopting", "retired")

    def __init__(
        self, host: ConnectionHost, address: tuple[str, int], connect_ms: float, limit: IdleLimit
    ) -> None:
        self.host = host
        self.address = address
        self.connect_timeout_ms = connect_ms
        self.limit = limit
        self.idle: list[Connection] = []
        self.dials: dict[Connection, tuple[asyncio.Task[None], Exchange, TimerId]] = {}
        self.adopting: dict[Connection, asyncio.Task[None]] = {}
        self.retired = False

    def send(self, exchange: Exchange, now: float) -> None:
        """Begins an exchange on an idle connection, or dials for it."""
        if self.retired:  # whoever decided on it did so by an older list
            self.host.call_soon(exchange.unsent, None)
            return
        while self.idle:
            connection = self.idle[-1]
            if now - connection.idle_since > self.limit.limit_ms:
                break  # the youngest is too old; they are closed in the sweep
            self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                connection.start(exchange, now, now - connection.idle_since)
                return
        if not self.host.acquire_descriptor():
            exchange.no_descriptor()
            return
        connection = Connection(self)
        task = self.host.loop.create_task(self._dial(connection))
        timer = self.host.call_at(now + self.connect_timeout_ms, self._overdue, connection)
        self.dials[connection] = task, exchange, timer

    async def _dial(self, connection: Connection) -> None:
        try:
            await self.host.loop.create_connection(lambda: connection, *self.address)
        except asyncio.CancelledError:
            self._uncount(connection)
        except OSError:
            self._uncount(connection)
            self._undone(connection)

    def _overdue(self, connection: Connection) -> None:
        if connection in self.dials:
            self.dials[connection][0].cancel()
            self._undone(connection)

    def _undone(self, connection: Connection) -> None:
        dial = self.dials.pop(connection, None)
        if dial is not None:
            self.host.timers.cancel(dial[2])
            dial[1].failed(False)

    def _uncount(self, connection: Connection) -> None:
        if connection.counted:
            connection.counted = False
            self.host.release_descriptor()

    def adopt(self, sock: socket.socket, idle_ms: float) -> None:
        """Keeps a connection, counted already, that another process of this proxy had idle for so long."""
        sock.setblocking(False)
        connection = Connection(self)
        connection.idle_since = self.host.clock.now() - idle_ms
        self.adopting[connection] = self.host.loop.create_task(self._adopt(connection, sock))

    async def _adopt(self, connection: Connection, sock: socket.socket) -> None:
        try:
            await self.host.loop.create_connection(lambda: connection, sock=sock)
        except OSError:
            del self.adopting[connection]
            sock.close()
            self._uncount(connection)

    def export_idle(self, most: int) -> list[tuple[int, float]]:
        """Gives up idle connections, the youngest first and so many at most, for another process to go on
        with: each one's descriptor, and for how long it has been idle, in milliseconds."""
        given: list[tuple[int, float]] = []
        now = self.host.clock.now()
        while self.idle and len(given) < most and now - self.idle[-1].idle_since <= self.limit.limit_ms:
            connection = self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                descriptor = os.dup(connection.transport.get_extra_info("socket").fileno())
                given.append((descriptor, now - connection.idle_since))
                connection.close()  # this process's descriptor alone
        return given

    def opened(self, connection: Connection) -> None:
        """A dial has succeeded, or a connection that another process had is open here."""
        if self.adopting.pop(connection, None) is not None:
            if self.retired:
                connection.close()
            else:
                insort(self.idle, connection, key=_idle_since)
            return
        dial = self.dials.pop(connection, None)
        if dial is None:
            connection.close()
            connection.transport = None  # that it is lost is not told where the dial was cancelled
            return
        exchange, timer = dial[1], dial[2]
        self.host.timers.cancel(timer)
        if self.retired:
            connection.close()
            exchange.failed(False)
        elif not exchange.wanted(now := self.host.clock.now()):
            self.release(connection)
            exchange.unsent()
        else:
            connection.start(exchange, now)

    def give_up(self, exchange: Exchange) -> None:
        """The exchange that a dial is for is over: so is the dial."""
        for connection, (task, waiting, timer) in self.dials.items():
            if waiting is exchange:
                del self.dials[connection]
                self.host.timers.cancel(timer)
                task.cancel()
                return

    def release(self, connection: Connection) -> None:
        """An exchange is over: the connection rests, unless a dial elsewhere waits for its descriptor."""
        if self.retired or self.host.has_waiting_dials():
            connection.close()
            return
        connection.idle_since = self.host.clock.now()  # its age decides whether and by when it is used again
        self.idle.append(connection)

    def closed(self, connection: Connection) -> None:
        """A connection has ended."""
        self._uncount(connection)
        self._undone(connection)  # lost as soon as it had come up
        self.adopting.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_expired(self, now: float) -> None:
        """Closes connections that have been idle for too long."""
        keep = 0
        while keep < len(self.idle) and (
            self.retired or self.idle[keep].idle_since + self.limit.limit_ms <= now
        ):
            keep += 1
        for connection in self.idle[:keep]:
            connection.close()
        del self.idle[:keep]

    def cancel_dials(self) -> None:
        """What waits for a connection goes elsewhere: it must not begin at a node that has begun to drain."""
        for connection, (task, _, _) in list(self.dials.items()):
            task.cancel()
            self._undone(connection)

    def retire(self) -> None:
        """Nothing new goes here; what is out may finish."""
        self.retired = True
        self.close_expired(0.0)


def _idle_since(connection: Connection) -> float:
    return connection.idle_since
