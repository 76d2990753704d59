"""The listener: clients' connections accepted, counted, closed for room, passed on."""

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
SWEEP_PART = 500  # clients looked at in one turn of the loop: a fraction of a millisecond
BACKLOG = 4_096
SERVED_SHARE = 0.75
# Who makes room for others must have been still for so long: a connection just made, or just answered, is
# about to carry a request, which would be lost, and its client would come back at once for another's place.
MIN_IDLE_MS = 100.0
LOOKED_AT = 8  # idle connections, of those still for longest, before room is said not to be there
ROOM_AGAIN_MS, ROOM_TOLD_MS = 20.0, 1_000.0


class Frontend:
    """The listener and its clients."""

    def __init__(self, host: ClientHost, address: tuple[str, int], door: Gateway | None = None) -> None:
        self.host = host
        self.door = door
        self.address = address
        self.listener: socket.socket | None = None
        self.clients: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.lingering: dict[ClientConnection, None] = {}  # closed on this side, the longest first
        self.accepting = False
        self.backlog_empty = False
        self.inherited: int | None = None
        self.adopting: set[asyncio.Task[Any]] = set()
        self.sweeping: list[ClientConnection] = []
        self.looking = False  # it is looked for room again in a moment
        self.short_told = -ROOM_TOLD_MS  # when the log last told that there is none

    def listen(self) -> None:
        """Opens the listener, or takes the one that is inherited: others hold it too, so that it is neither
        bound nor shut down here."""
        if self.inherited is not None:
            self.listener = inherit(self.inherited)
            self.resume_accepting()
            return
        self.listener = socket.socket(socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(self.address)
        self.listener.listen(BACKLOG)
        self.resume_accepting()

    def resume_accepting(self) -> None:
        """Accepts again, if there is a listener and room."""
        if not self.accepting and self.listener is not None:
            self.accepting = True
            self.host.loop.add_reader(self.listener, self._accept)

    def _pause(self) -> None:
        if self.accepting and self.listener is not None:
            self.accepting = False
            self.host.loop.remove_reader(self.listener)

    def _room(self) -> bool:
        host = self.host
        count = len(self.clients) + len(self.adopting)
        few = count < SERVED_SHARE * host.total_descriptor_limit
        if few and host.descriptors_used < host.descriptor_limit:
            return True
        if not self._somebody_waits():
            return True
        return (few and host.close_idle_connection()) or self.close_idle()

    def _somebody_waits(self) -> bool:
        """Whether there is a connection to accept: no room is made for none."""
        assert self.listener is not None
        poll = select.poll()
        poll.register(self.listener, select.POLLIN)
        return bool(poll.poll(0))

    def close_idle(self) -> bool:
        """Makes room by closing a connection that is surely not about to carry a request, if there is one."""
        now = self.host.clock.now()
        oldest = next(iter(self.lingering), None)
        if oldest is not None and oldest.transport is not None and now >= oldest.closed_at + MIN_IDLE_MS:
            oldest.transport.abort()  # what was answered has long arrived
            del self.lingering[oldest]
            return True
        for client in islice(self.idle, LOOKED_AT):
            if now < client.active_at + MIN_IDLE_MS:
                break  # and so are all that became idle after it
            if client.transport is not None and client.silent():
                del self.idle[client]
                client.closing = True
                client.transport.close()  # at once, as room is short: nothing unread is there to reset it
                return True
        return False

    def _crowded(self) -> None:
        """What is not accepted now waits in the listener's queue, where it is not lost."""
        self._pause()
        now = self.host.clock.now()
        if not self.looking:
            self.looking = True
            self.host.call_at(now + ROOM_AGAIN_MS, self._look_again)
        if now >= self.short_told + ROOM_TOLD_MS:
            self.short_told = now
            log.warning(
                "no descriptors left: %d of %d in use, %d clients, %d of them idle; accepting pauses",
                self.host.descriptors_used,
                self.host.descriptor_limit,
                len(self.clients),
                len(self.idle),
            )

    def _look_again(self, _: object = None) -> None:
        self.looking = False
        self.resume_accepting()

    def _accept(self) -> None:
        listener = self.listener
        self.backlog_empty = False
        for _ in range(ACCEPTS_PER_TURN):
            if listener is None:
                return
            if not self._room():
                self._crowded()
                return
            try:
                sock, _address = listener.accept()
            except BlockingIOError:
                self.backlog_empty = True
                return
            except OSError as error:
                log.warning("accept failed: %s", error)
                self._pause()
                self.host.call_at(self.host.clock.now() + 50.0, self._look_again)
                return
            sock.setblocking(False)
            self.host.descriptors_used += 1
            self.adopt(sock)

    def adopt(self, sock: socket.socket, known: bool = False) -> None:
        """Serves the client on this connection, which is counted already."""
        task = self.host.loop.create_task(self._adopt(sock, known))
        self.adopting.add(task)
        task.add_done_callback(self.adopting.discard)

    async def _adopt(self, sock: socket.socket, known: bool) -> None:
        try:
            await self.host.loop.connect_accepted_socket(lambda: ClientConnection(self, known), sock)
        except OSError:
            sock.close()
            self.host.release_descriptor()

    def close(self) -> bool:
        """Takes what waits to be accepted and closes what is idle; whether all clients have gone."""
        if self.listener is not None:
            self._accept()
            if self.backlog_empty:
                self.close_listener()
        if self.listener is None and not self.adopting:
            self._let_go(list(self.idle))
        return self.listener is None and not self.adopting and not self.clients

    def close_listener(self) -> None:
        """Closes the listener."""
        if self.listener is not None:
            self._pause()
            self.listener.close()
            self.listener = None

    def hand_over_idle(self, most: int) -> list[int]:
        """Gives up idle connections, so many at most, for another process to go on with."""
        given: list[int] = []
        for client in list(self.idle):
            if len(given) >= most:
                break
            descriptor = client.pass_on()
            if descriptor is not None:
                self.idle.pop(client, None)
                given.append(descriptor)
        return given

    def close_still(self, now: float) -> None:
        """Closes connections that carry nothing and are not to be held while clients are sent away."""
        self._let_go([c for c in self.idle if self.host.lifecycle.overstays(now, c.active_at)])

    def _let_go(self, clients: Iterable[ClientConnection]) -> None:
        """Closes those of whom nothing has come: a request that lies unread is answered first."""
        for client in clients:
            if client.transport is not None and client.silent():
                client.close()

    def lost(self, client: ClientConnection) -> None:
        """A client's connection has ended."""
        self.clients.pop(client, None)
        self.lingering.pop(client, None)
        self.idle.pop(client, None)  # else the dead stay for good, and closing one of them makes no room
        self.host.release_descriptor()

    def sweep(self, now: float) -> None:
        """Closes clients that have been silent, or still, for too long. Very many are looked at in parts,
        so that requests need not wait for it."""
        if not self.sweeping:
            self.sweeping = list(self.clients)
            self._sweep_on(now)

    def _sweep_on(self, now: float) -> None:
        part, self.sweeping = self.sweeping[:SWEEP_PART], self.sweeping[SWEEP_PART:]
        for client in part:
            client.close_if_timed_out(now)
        if self.sweeping:
            self.host.call_soon(self._sweep_on, now)


def inherit(descriptor: int) -> socket.socket:
    """The listening socket that the platform holds; an OSError says why it is none."""
    listener = socket.socket(fileno=descriptor)
    listens = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if listener.type != socket.SOCK_STREAM or not listens:
        listener.detach()
        raise OSError(f"descriptor {descriptor} (ROUTER_ACCEPT_FD) is no stream socket that listens")
    listener.setblocking(False)
    return listener
