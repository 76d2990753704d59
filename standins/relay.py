"""Relays between instances that inject faults: one for each ordered pair, for datagrams and connections.

A relay from A to B listens at the address that A's address book has for B, and forwards to B's real address.
It does not interpret what it forwards. Its `LinkBehavior` sets the faults, and may change at any time.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

READS_PER_EVENT: Final = 256
DATAGRAM_BYTES_MAX: Final = 65_536
DELAYED_MAX: Final = 4_096  # delayed datagrams; more are lost
PORT_TRIES: Final = 50


@dataclass(frozen=True, slots=True)
class LinkBehavior:
    """Faults of a link in one direction. Fractions are 0 to 1, times in milliseconds. A delay is lognormal:
    its median, and the standard deviation of its logarithm (0: a constant delay)."""

    cut: bool = False
    loss: float = 0.0
    duplicated: float = 0.0
    reordered: float = 0.0  # fraction that is held back
    held_ms: float = 0.0  # how long those are held back
    delay_ms: float = 0.0
    sigma: float = 0.0
    bytes_per_s: float = 0.0  # 0: no limit
    silent: bool = False  # connections are accepted, but no bytes pass


HEALTHY: Final = LinkBehavior()


class Relay:
    """A link in one direction."""

    def __init__(self, target: Callable[[], tuple[str, int]], seed: str) -> None:
        self.target, self.random = target, random.Random(seed)
        self.behavior = HEALTHY
        self.reverse: Relay | None = None  # whose behavior applies to the bytes that a connection returns
        self.counts: Counter[str] = Counter()
        self.loop = asyncio.get_running_loop()
        self.delayed = 0
        self.line_free_at = 0.0  # loop time at which a link with a byte rate has sent all it got
        self.udp, self.server = self._listen()
        self.sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sender.setblocking(False)
        self.connection_tasks: set[asyncio.Task[None]] = set()

    def _listen(self) -> tuple[socket.socket, socket.socket]:
        """Binds a datagram and a listening socket to the same free port."""
        for _ in range(PORT_TRIES):
            server = socket.create_server(("127.0.0.1", 0))
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                udp.bind(server.getsockname())
            except OSError:
                server.close()
                udp.close()
                continue
            server.setblocking(False)
            udp.setblocking(False)
            return udp, server
        raise OSError("no port is free for both datagrams and connections")

    @property
    def address(self) -> str:
        """Its host and port."""
        return "{}:{}".format(*self.server.getsockname())

    def start(self) -> None:
        """Begins to forward."""
        self.loop.add_reader(self.udp, self._read_datagrams)
        self.loop.add_reader(self.server, self._accept)

    def stop(self) -> None:
        """Closes the sockets and ends all connections."""
        for sock in (self.udp, self.server):
            self.loop.remove_reader(sock)
            sock.close()
        self.sender.close()
        for task in self.connection_tasks:
            task.cancel()

    # -- datagrams
    def _read_datagrams(self) -> None:
        for _ in range(READS_PER_EVENT):
            try:
                data = self.udp.recv(DATAGRAM_BYTES_MAX)
            except OSError:
                return
            self._relay_datagram(data)

    def _relay_datagram(self, data: bytes) -> None:
        behavior, rng = self.behavior, self.random
        self.counts["datagrams"] += 1
        if behavior.cut or rng.random() < behavior.loss or self.delayed >= DELAYED_MAX:
            self.counts["lost"] += 1
            return
        for _ in range(2 if rng.random() < behavior.duplicated else 1):
            delay_s = self._random_delay(behavior)
            if rng.random() < behavior.reordered:
                delay_s += behavior.held_ms / 1e3
            delay_s += self._rate_delay(behavior, len(data))
            if delay_s <= 0:
                self._send(data)
            else:
                self.delayed += 1
                self.loop.call_later(delay_s, self._send_delayed, data)

    def _random_delay(self, behavior: LinkBehavior) -> float:
        """A random delay in seconds."""
        if behavior.delay_ms <= 0:
            return 0.0
        return (
            behavior.delay_ms
            / 1e3
            * (self.random.lognormvariate(0.0, behavior.sigma) if behavior.sigma else 1.0)
        )

    def _rate_delay(self, behavior: LinkBehavior, size: int) -> float:
        """Seconds until a link with a byte rate has sent what waits and these bytes."""
        if behavior.bytes_per_s <= 0:
            return 0.0
        now = self.loop.time()
        self.line_free_at = max(self.line_free_at, now) + size / behavior.bytes_per_s
        return self.line_free_at - now

    def _send_delayed(self, data: bytes) -> None:
        self.delayed -= 1
        if self.behavior.cut:
            self.counts["lost"] += 1
        else:
            self._send(data)

    def _send(self, data: bytes) -> None:
        try:
            self.sender.sendto(data, self.target())
            self.counts["passed"] += 1
        except OSError:  # nothing listens there, or the relay was stopped
            self.counts["lost"] += 1

    # -- connections
    def _accept(self) -> None:
        try:
            sock, _ = self.server.accept()
        except OSError:
            return
        sock.setblocking(False)
        self.counts["connections"] += 1
        task = self.loop.create_task(self._relay_connection(sock))
        self.connection_tasks.add(task)
        task.add_done_callback(self.connection_tasks.discard)

    async def _relay_connection(self, inbound: socket.socket) -> None:
        outbound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        outbound.setblocking(False)
        try:
            if self.behavior.cut or (self.reverse is not None and self.reverse.behavior.cut):
                return  # dialing fails as it does without an answer to the SYN, but sooner
            await self.loop.sock_connect(outbound, self.target())
            reverse = self.reverse or self
            await asyncio.gather(self._pump(inbound, outbound), reverse._pump(outbound, inbound))
        except OSError:
            pass
        finally:
            inbound.close()
            outbound.close()

    async def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        """Copies one direction of a connection until it ends. While the link is cut, bytes wait."""
        while data := await self.loop.sock_recv(source, 16_384):
            while self.behavior.cut or self.behavior.silent:
                await asyncio.sleep(0.02)
            delay_s = self._random_delay(self.behavior) + self._rate_delay(self.behavior, len(data))
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            await self.loop.sock_sendall(sink, data)
        sink.shutdown(socket.SHUT_WR)


class Mesh:
    """A relay for each ordered pair of names."""

    def __init__(self, places: dict[str, tuple[str, int]], seed: int) -> None:
        """`places`: the address of each name; may change at any time."""
        self.places = places
        self.relays = {
            (a, b): Relay(lambda b=b: self.places[b], f"{seed} {a} {b}")  # type: ignore[misc]
            for a in places
            for b in places
            if a != b
        }
        for (a, b), relay in self.relays.items():
            relay.reverse = self.relays[b, a]

    def address_book(self, name: str) -> dict[str, str]:
        """The relay addresses at which one instance reaches the others."""
        return {b: relay.address for (a, b), relay in self.relays.items() if a == name}

    def start(self) -> None:
        """Starts all relays."""
        for relay in self.relays.values():
            relay.start()

    def stop(self) -> None:
        """Stops all relays."""
        for relay in self.relays.values():
            relay.stop()
