"""The connection pool of one address: dials, idle connections, expiry."""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from bisect import bisect_right, insort
from typing import NamedTuple

from notchflow.net import reuse
from notchflow.net.connection import Connection, Exchange
from notchflow.net.exchange import ConnectionHost
from notchflow.net.idle_limit import IdleLimit
from notchflow.net.reuse import ReuseDelay
from notchflow.net.timers import TimerId

log = logging.getLogger(__name__)

DIAL_PRICE_MS = 200.0  # in waiting of requests; nodes hold few connections, and each costs them a handshake


class Dial(NamedTuple):
    """A connection that is being established, and the exchange that it is for."""

    task: asyncio.Task[None]
    exchange: Exchange
    timer_id: TimerId


class Pool:
    """The connections to one address. Of those that may be reused, the one that became idle last is used
    first, so that the others expire."""

    __slots__ = (
        "host",
        "address",
        "connect_timeout_ms",
        "idle_limit",
        "reuse_delay",
        "single_use_until",
        "idle",
        "dials",
        "dial_price_ms",
        "waited_ms",
        "awaited",
        "adopting",
        "retired",
    )

    def __init__(
        self,
        host: ConnectionHost,
        address: tuple[str, int],
        connect_timeout_ms: float,
        idle_limit: IdleLimit,
        reuse_delay: ReuseDelay,
        dial_price_ms: float = DIAL_PRICE_MS,
    ) -> None:
        self.host = host
        self.address = address
        self.connect_timeout_ms = connect_timeout_ms
        self.idle_limit = idle_limit
        self.reuse_delay = reuse_delay
        self.single_use_until = 0.0  # until then each connection serves a single exchange
        self.idle: list[Connection] = []
        self.dials: dict[Connection, Dial] = {}
        self.dial_price_ms = dial_price_ms
        self.waited_ms = 0.0  # for connections that may soon be reused, since the last dial
        # Idle connections that may be reused soon, each with the exchange that waits for it.
        self.awaited: dict[Connection, tuple[Exchange, TimerId]] = {}
        self.adopting: dict[Connection, asyncio.Task[None]] = {}
        self.retired = False

    def send(self, exchange: Exchange, now: float) -> None:
        """Starts an exchange on an idle connection, or dials a new one."""
        if self.retired:  # the policy decided by an older list
            self.host.call_soon(exchange.not_sent, None)
            return
        connection = self._take_idle(now)
        if connection is not None:
            connection.start(exchange, now, now - connection.idle_since)
            return
        if self._await_reuse(exchange, now):
            return
        if not self.host.acquire_descriptor():
            exchange.await_descriptor()
            return
        connection = Connection(self)
        task = self.host.loop.create_task(self._dial(connection))
        timer_id = self.host.call_at(now + self.connect_timeout_ms, self._connect_timed_out, connection)
        self.dials[connection] = Dial(task, exchange, timer_id)

    def _take_idle(self, now: float) -> Connection | None:
        """Removes and returns the connection that became idle last among those that may be reused."""
        expired_since = now - self.idle_limit.limit_ms
        reusable_since = now - self.reuse_delay.delay_ms(now)
        for index in range(bisect_right(self.idle, reusable_since, key=_idle_since) - 1, -1, -1):
            connection = self.idle[index]
            if connection.idle_since < expired_since:
                self.close_expired(now)
                return None
            if connection.is_closing() or connection in self.awaited:
                continue
            del self.idle[index]
            if not connection.has_unread_input():
                return connection
            connection.close()  # an unsolicited response, or the node's close
        return None

    def _await_reuse(self, exchange: Exchange, now: float) -> bool:
        """Makes an exchange wait for a connection that may soon be reused, or returns false to have it dial.

        It dials once the waits since the last dial add up to what a dial costs: then more connections are
        worth their price, and a quiet pool opens none for a chance encounter.
        """
        delay_ms = self.reuse_delay.delay_ms(now)
        if delay_ms > self.idle_limit.limit_ms:
            return False
        for connection in self.idle:
            reusable_at = connection.idle_since + delay_ms
            if reusable_at > now and connection not in self.awaited and not connection.is_closing():
                break
        else:
            return False
        wait_ms = reusable_at - now
        if wait_ms > reuse.MIN_REUSE_DELAY_MS:
            return False
        self.waited_ms += wait_ms
        if self.waited_ms > self.dial_price_ms:
            self.waited_ms = 0.0
            return False
        self.awaited[connection] = exchange, self.host.call_at(reusable_at, self._reuse_awaited, connection)
        return True

    def _reuse_awaited(self, connection: Connection) -> None:
        """An awaited connection may be reused, or is closed: sends the exchange, on that one or another."""
        waiting = self.awaited.pop(connection, None)
        if waiting is None:
            return
        exchange, timer_id = waiting
        self.host.timers.cancel(timer_id)
        now = self.host.clock.now()
        if self.retired:
            exchange.connection_failed(False)
        elif exchange.may_start(now):
            self.send(exchange, now)
        else:
            exchange.not_sent()

    def unsolicited_response(self, connection: Connection) -> None:
        """A response has arrived on a connection without an exchange."""
        now = self.host.clock.now()
        idle_ms = now - connection.idle_since
        if connection not in self.idle or idle_ms > self.idle_limit.limit_ms:
            return  # its exchange was abandoned, or it would not have been reused
        self.host.count_unsolicited_response()
        if self.reuse_delay.record_unsolicited(now, idle_ms):
            self.single_use_until = now + reuse.MEMORY_MS
            for idle in list(self.idle):
                idle.close()
            log.warning(
                "an unsolicited response from %s:%d after %.0f ms: its connections are not reused for %.0f s",
                *self.address,
                idle_ms,
                reuse.MEMORY_MS / 1e3,
            )

    async def _dial(self, connection: Connection) -> None:
        try:
            await self.host.loop.create_connection(lambda: connection, *self.address)
        except asyncio.CancelledError:
            self._release_descriptor(connection)
        except OSError:
            self._release_descriptor(connection)
            self._dial_failed(connection)

    def _connect_timed_out(self, connection: Connection) -> None:
        if connection in self.dials:
            self.dials[connection].task.cancel()
            self._dial_failed(connection)

    def _dial_failed(self, connection: Connection) -> None:
        dial = self.dials.pop(connection, None)
        if dial is not None:
            self.host.timers.cancel(dial.timer_id)
            dial.exchange.connection_failed(False)

    def _release_descriptor(self, connection: Connection) -> None:
        if connection.holds_descriptor:
            connection.holds_descriptor = False
            self.host.release_descriptor()

    def adopt(self, sock: socket.socket, idle_ms: float) -> None:
        """Takes over a connection that was idle in another process of this proxy for this long. Its
        descriptor is already counted."""
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
            self._release_descriptor(connection)

    def export_idle(self, most: int) -> list[tuple[int, float]]:
        """Removes up to `most` idle connections, the most recently used first, for another process to take
        over. Returns a duplicate descriptor of each, and for how long it has been idle, in milliseconds.
        Without a descriptor left for a duplicate, fewer are removed."""
        exported: list[tuple[int, float]] = []
        now = self.host.clock.now()
        while (
            self.idle and len(exported) < most and now - self.idle[-1].idle_since <= self.idle_limit.limit_ms
        ):
            connection = self.idle[-1]
            if connection.transport is not None and not connection.transport.is_closing():
                try:
                    descriptor = os.dup(connection.transport.get_extra_info("socket").fileno())
                except OSError:
                    break
                exported.append((descriptor, now - connection.idle_since))
                connection.close()  # closes only this process's descriptor
            self.idle.pop()
        return exported

    def opened(self, connection: Connection) -> None:
        """A dial has succeeded, or a connection has been taken over."""
        if self.adopting.pop(connection, None) is not None:
            if self.retired:
                connection.close()
            else:
                insort(self.idle, connection, key=_idle_since)
            return
        dial = self.dials.pop(connection, None)
        if dial is None:
            connection.close()
            connection.transport = None  # connection_lost is not called for a cancelled dial
            return
        exchange = dial.exchange
        self.host.timers.cancel(dial.timer_id)
        if self.retired:
            connection.close()
            exchange.connection_failed(False)
        elif not exchange.may_start(now := self.host.clock.now()):
            self.release(connection)
            exchange.not_sent()
        else:
            connection.start(exchange, now)

    def cancel_dial(self, exchange: Exchange) -> None:
        """Cancels the dial that was made for this exchange, or its wait for a connection."""
        for connection, dial in self.dials.items():
            if dial.exchange is exchange:
                del self.dials[connection]
                self.host.timers.cancel(dial.timer_id)
                dial.task.cancel()
                return
        for connection, (waiting, timer_id) in self.awaited.items():
            if waiting is exchange:
                del self.awaited[connection]
                self.host.timers.cancel(timer_id)
                return

    def release(self, connection: Connection) -> None:
        """An exchange has ended: keeps its connection idle, unless a dial elsewhere waits for a
        descriptor."""
        now = self.host.clock.now()
        if self.retired or self.host.has_waiting_dials() or now < self.single_use_until:
            connection.close()
            return
        connection.idle_since = now  # decides from when on and for how long it may be reused
        self.idle.append(connection)

    def closed(self, connection: Connection) -> None:
        """A connection has been closed."""
        self._release_descriptor(connection)
        self._dial_failed(connection)  # closed before the dial was reported
        self.adopting.pop(connection, None)
        if connection in self.idle:
            self.idle.remove(connection)
        self._reuse_awaited(connection)

    def close_expired(self, now: float) -> None:
        """Closes connections that have been idle longer than the limit; all, if the pool is retired."""
        expired = 0
        while expired < len(self.idle) and (
            self.retired or self.idle[expired].idle_since + self.idle_limit.limit_ms <= now
        ):
            expired += 1
        for connection in self.idle[:expired]:
            connection.close()
        del self.idle[:expired]

    def cancel_dials(self) -> None:
        """Fails the exchanges that wait for a connection, so that they are retried elsewhere: none may start
        at a node that has begun to drain."""
        for connection, dial in list(self.dials.items()):
            dial.task.cancel()
            self._dial_failed(connection)
        for connection, (exchange, timer_id) in list(self.awaited.items()):
            del self.awaited[connection]
            self.host.timers.cancel(timer_id)
            exchange.connection_failed(False)

    def retire(self) -> None:
        """Starts no new exchange; those that are under way may finish."""
        self.retired = True
        self.close_expired(0.0)


def _idle_since(connection: Connection) -> float:
    return connection.idle_since
