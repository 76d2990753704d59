"""The listening socket for clients: accepts connections, bounds their number, closes or hands over idle
ones."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections.abc import Iterable
from itertools import islice
from typing import Any

from notchflow.net.client import ClientConnection
from notchflow.net.exchange import ClientHost, Gateway

log = logging.getLogger(__name__)

ACCEPTS_PER_TURN = 64
SWEEP_BATCH = 500  # clients checked in one turn of the loop, which takes a fraction of a millisecond
BACKLOG = 4_096
CLIENT_DESCRIPTOR_SHARE = 0.75
# A connection that was just made or just answered is about to carry a request. Closing it loses that request,
# and the client reconnects at once and displaces another, so only connections idle for this long are closed
# to make room.
MIN_IDLE_MS = 100.0
MAX_IDLE_CHECKED = 8  # the connections idle for the longest that are checked before giving up
ACCEPT_RETRY_MS, EXHAUSTED_LOG_INTERVAL_MS = 20.0, 1_000.0


class Frontend:
    """A listening socket and the client connections accepted on it."""

    def __init__(self, host: ClientHost, address: tuple[str, int], door: Gateway | None = None) -> None:
        self.host = host
        self.door = door
        self.address = address
        self.listener: socket.socket | None = None
        self.clients: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.lingering: dict[ClientConnection, None] = {}  # connections closed on this side, the oldest first
        self.accepting = False
        self.backlog_empty = False
        self.inherited_fd: int | None = None
        self.adopt_tasks: set[asyncio.Task[Any]] = set()
        self.sweep_queue: list[ClientConnection] = []
        self.retry_scheduled = False  # the timer that resumes accepting is set
        self.exhausted_logged_at = -EXHAUSTED_LOG_INTERVAL_MS  # when descriptor exhaustion was last logged

    def listen(self) -> None:
        """Opens the listening socket, or uses the inherited one. That one is shared with other processes, so
        it is neither bound nor shut down here."""
        if self.inherited_fd is not None:
            self.listener = inherit_listener(self.inherited_fd)
            self.resume_accepting()
            return
        self.listener = socket.socket(socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(self.address)
        self.listener.listen(BACKLOG)
        self.resume_accepting()

    def resume_accepting(self) -> None:
        """Accepts connections again, unless the listener is closed."""
        if not self.accepting and self.listener is not None:
            self.accepting = True
            self.host.loop.add_reader(self.listener, self._accept)

    def _pause_accepting(self) -> None:
        if self.accepting and self.listener is not None:
            self.accepting = False
            self.host.loop.remove_reader(self.listener)

    def _has_room(self) -> bool:
        host = self.host
        client_count = len(self.clients) + len(self.adopt_tasks)
        below_share = client_count < CLIENT_DESCRIPTOR_SHARE * host.total_descriptor_limit
        if below_share and host.descriptors_used < host.descriptor_limit:
            return True
        if not self._connection_pending():
            return True
        return (below_share and host.close_idle_connection()) or self.close_idle()

    def _connection_pending(self) -> bool:
        """Returns whether a connection is waiting to be accepted: without one, nothing is closed to make
        room."""
        assert self.listener is not None
        poll = select.poll()
        poll.register(self.listener, select.POLLIN)
        return bool(poll.poll(0))

    def close_idle(self) -> bool:
        """Closes one client connection on which no request is about to come, to free its descriptor. Returns
        false if there is none."""
        now = self.host.clock.now()
        for client in islice(self.lingering, MAX_IDLE_CHECKED):
            if now < client.closed_at + MIN_IDLE_MS:
                break  # all later ones were closed after it
            if client.transport is not None and client.may_close_for_room():
                client.transport.abort()  # its responses have been delivered
                del self.lingering[client]
                return True
        for client in islice(self.idle, MAX_IDLE_CHECKED):
            if now < client.active_at + MIN_IDLE_MS:
                break  # all later ones became idle after it
            if client.transport is not None and client.may_close_for_room():
                del self.idle[client]
                client.closing = True
                # at once, for its descriptor; with no unread input the close sends no reset
                client.transport.close()
                return True
        return False

    def _wait_for_descriptors(self) -> None:
        """Pauses accepting for want of descriptors. New connections wait in the listen queue, where they are
        not lost."""
        self._pause_accepting()
        now = self.host.clock.now()
        if not self.retry_scheduled:
            self.retry_scheduled = True
            self.host.call_at(now + ACCEPT_RETRY_MS, self._retry_accept)
        if now >= self.exhausted_logged_at + EXHAUSTED_LOG_INTERVAL_MS:
            self.exhausted_logged_at = now
            log.warning(
                "no descriptors left: %d of %d in use, %d clients, %d of them idle; accepting pauses",
                self.host.descriptors_used,
                self.host.descriptor_limit,
                len(self.clients),
                len(self.idle),
            )

    def _retry_accept(self, _: object = None) -> None:
        self.retry_scheduled = False
        self.resume_accepting()

    def _accept(self) -> None:
        listener = self.listener
        self.backlog_empty = False
        for _ in range(ACCEPTS_PER_TURN):
            if listener is None:
                return
            if not self._has_room():
                self._wait_for_descriptors()
                return
            try:
                sock, _address = listener.accept()
            except BlockingIOError:
                self.backlog_empty = True
                return
            except OSError as error:
                log.warning("accept failed: %s", error)
                self._pause_accepting()
                self.host.call_at(self.host.clock.now() + 50.0, self._retry_accept)
                return
            sock.setblocking(False)
            self.host.descriptors_used += 1
            self.adopt(sock)

    def adopt(self, sock: socket.socket, handed_over: bool = False) -> None:
        """Serves the client on this connection, whose descriptor is already counted. `handed_over`: another
        process has served it before."""
        task = self.host.loop.create_task(self._adopt(sock, handed_over))
        self.adopt_tasks.add(task)
        task.add_done_callback(self.adopt_tasks.discard)

    async def _adopt(self, sock: socket.socket, handed_over: bool) -> None:
        try:
            await self.host.loop.connect_accepted_socket(lambda: ClientConnection(self, handed_over), sock)
        except OSError:
            sock.close()
            self.host.release_descriptor()

    def drain(self) -> bool:
        """Accepts the connections in the listen queue, closes the listener and idle connections. Returns
        whether all clients have gone."""
        if self.listener is not None:
            self._accept()
            if self.backlog_empty:
                self.close_listener()
        if self.listener is None and not self.adopt_tasks:
            self._close_quiet(list(self.idle))
        return self.listener is None and not self.adopt_tasks and not self.clients

    def is_delivering(self, now: float) -> bool:
        """Returns whether a client is still taking a response that would be cut off with this process."""
        return any(client.is_delivering(now) for client in self.clients)

    def close_listener(self) -> None:
        """Closes the listener."""
        if self.listener is not None:
            self._pause_accepting()
            self.listener.close()
            self.listener = None

    def hand_over_idle(self, max_count: int) -> list[int]:
        """Releases idle connections, `max_count` at the most, to hand them over to another process. Returns
        their descriptors; fewer where the process has no descriptor left for a duplicate."""
        descriptors: list[int] = []
        for client in list(self.idle):
            if len(descriptors) >= max_count:
                break
            try:
                descriptor = client.hand_over()
            except OSError as error:
                log.warning("a client is not handed over yet: %s", error)
                break
            if descriptor is not None:
                self.idle.pop(client, None)
                descriptors.append(descriptor)
        return descriptors

    def close_idle_on_standby(self, now: float) -> None:
        """Closes connections that have been idle for long enough on standby."""
        self._close_quiet([c for c in self.idle if self.host.lifecycle.should_close_idle(now, c.active_at)])

    def _close_quiet(self, clients: Iterable[ClientConnection]) -> None:
        """Closes those connections that have no unread input: a request that is already in the kernel's
        buffer is answered first."""
        for client in clients:
            if client.transport is not None and client.has_no_unread_input():
                client.close()

    def connection_closed(self, client: ClientConnection) -> None:
        """Forgets a client connection that has closed."""
        self.clients.pop(client, None)
        self.lingering.pop(client, None)
        # a closed connection left here would never go, and closing it would free no descriptor
        self.idle.pop(client, None)
        self.host.release_descriptor()

    def sweep(self, now: float) -> None:
        """Closes client connections that have timed out. Large numbers are checked in batches, one per turn
        of the loop, so that requests are not delayed."""
        if not self.sweep_queue:
            self.sweep_queue = list(self.clients)
            self._sweep_batch(now)

    def _sweep_batch(self, now: float) -> None:
        batch, self.sweep_queue = self.sweep_queue[:SWEEP_BATCH], self.sweep_queue[SWEEP_BATCH:]
        for client in batch:
            client.close_if_timed_out(now)
        if self.sweep_queue:
            self.host.call_soon(self._sweep_batch, now)


def inherit_listener(descriptor: int) -> socket.socket:
    """Returns the listening socket behind an inherited descriptor. An OSError says why it is not one."""
    listener = socket.socket(fileno=descriptor)
    is_listening = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if listener.type != socket.SOCK_STREAM or not is_listening:
        listener.detach()
        raise OSError(f"descriptor {descriptor} (ROUTER_ACCEPT_FD) is not a listening stream socket")
    listener.setblocking(False)
    return listener
