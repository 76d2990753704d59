"""Stand-in clients: a closed loop of connections for throughput, a paced one for service."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import cast

from httptools import HttpResponseParser

from standins.connections import ConnectionRecord, End
from standins.holds import no_hold

# The bytes of the next request, and what it is about (any label that the caller reports by).
Draw = Callable[[], tuple[bytes, str]]
# Told of each answer, instead of the tally: its label, status, milliseconds, and the box that gave it.
Observe = Callable[[str, int, float, str], None]
# Told of a connection whose request got no answer, with that request's label.
Lost = Callable[[str, ConnectionRecord], None]
Hold = Callable[[str], None]


@dataclass(slots=True)
class Tally:
    """What became of the requests: statuses and latencies (milliseconds), by label."""

    statuses: dict[str, Counter[int]] = field(default_factory=dict)
    latencies: dict[str, list[float]] = field(default_factory=dict)
    retry_after: Counter[float] = field(default_factory=Counter)
    lost: int = 0
    span_s: float = 0.0

    def add(self, label: str, status: int, ms: float) -> None:
        self.statuses.setdefault(label, Counter())[status] += 1
        if status == 200:
            self.latencies.setdefault(label, []).append(ms)

    @property
    def served(self) -> int:
        return sum(c[200] for c in self.statuses.values())

    def asked(self, label: str) -> int:
        return sum(self.statuses.get(label, Counter()).values())

    def in_time(self, label: str, aim_ms: float) -> int:
        return sum(1 for ms in self.latencies.get(label, []) if ms <= aim_ms)

    def percentile(self, share: float, label: str | None = None) -> float:
        """A latency in milliseconds that so great a share stays within; 0 where nothing was served."""
        chosen = self.latencies.values() if label is None else [self.latencies.get(label, [])]
        values = sorted(ms for part in chosen for ms in part)
        return values[min(int(share * len(values)), len(values) - 1)] if values else 0.0


class Asker(asyncio.Protocol):
    """One connection of a client: a request at a time."""

    def __init__(self, tally: Tally, hold: Hold = no_hold) -> None:
        self.tally, self.hold = tally, hold
        self.record = ConnectionRecord(0, 0.0)
        self.lost: Lost | None = None
        self.parser = HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.label = ""
        self.asked_at = 0.0
        self.answered: Callable[[Asker], None] | None = None
        self.observe: Observe | None = None
        self.box = ""
        self.busy = False
        self.keeps = True  # the last answer did not ask for the connection's end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        port = int(transport.get_extra_info("sockname")[1])
        self.record = ConnectionRecord(port, time.monotonic())
        self.hold("connected")

    def ask(self, data: bytes, label: str, asked_at: float | None = None) -> None:
        assert self.transport is not None
        self.label, self.busy = label, True
        self.asked_at = time.monotonic() if asked_at is None else asked_at
        self.hold("before a request")
        self.record.sent()
        self.transport.write(data)
        self.hold("after a request")

    def eof_received(self) -> None:
        self.record.ended(End.BY_PEER)

    def close(self) -> None:
        """Ends the connection from this side."""
        if self.transport is not None:
            self.record.ended(End.BY_CLIENT)
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        self.record.received()
        self.parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        low = name.lower()
        if low == b"retry-after":
            self.tally.retry_after[float(value)] += 1
        elif low == b"x-box":
            self.box = value.decode("latin-1")

    def on_message_complete(self) -> None:
        status, self.keeps = self.parser.get_status_code(), self.parser.should_keep_alive()
        took = (time.monotonic() - self.asked_at) * 1e3
        if self.observe is None:
            self.tally.add(self.label, status, took)
        else:
            self.observe(self.label, status, took, self.box)
        self.busy = False
        if self.answered is not None:
            asyncio.get_running_loop().call_soon(self.answered, self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.record.ended(End.BY_PEER if exc is None else End.BY_RESET)
        if self.busy:
            self.busy = False
            self.tally.lost += 1
            if self.lost is not None:
                self.lost(self.label, self.record)
            if self.observe is not None:
                self.observe(self.label, 0, (time.monotonic() - self.asked_at) * 1e3, self.box)
            if self.answered is not None:
                self.answered(self)


async def _connect(port: int, tally: Tally, hold: Hold = no_hold) -> Asker:
    loop = asyncio.get_running_loop()
    _, asker = await loop.create_connection(lambda: Asker(tally, hold), "127.0.0.1", port)
    return asker


async def closed_loop(ports: Sequence[int], connections: int, seconds: float, draw: Draw) -> Tally:
    """Each connection asks again as soon as it is answered. The ports get the connections in turn."""
    tally = Tally()
    until = time.monotonic() + seconds
    over = asyncio.Event()
    running = connections

    def again(asker: Asker) -> None:
        nonlocal running
        if time.monotonic() < until and asker.transport is not None:
            asker.ask(*draw())
            return
        running -= 1
        asker.close()
        if not running:
            over.set()

    begun = time.monotonic()
    for asker in await asyncio.gather(*(_connect(ports[i % len(ports)], tally) for i in range(connections))):
        asker.answered = again
        asker.ask(*draw())
    await over.wait()
    tally.span_s = time.monotonic() - begun
    return tally


class Paced:
    """An open loop: so many requests a second whatever becomes of them, on as many connections as it needs
    (up to a bound: then a request waits, and its wait counts)."""

    def __init__(
        self,
        port: int,
        per_second: float,
        draw: Draw,
        connections_max: int = 256,
        observe: Observe | None = None,
        lost: Lost | None = None,
        hold: Hold = no_hold,
    ) -> None:
        self.observe, self.lost, self.hold = observe, lost, hold
        self.port, self.per_second, self.draw = port, per_second, draw
        self.connections_max = connections_max
        self.tally = Tally()
        self.idle: list[Asker] = []
        self.all: set[Asker] = set()
        self.waiting: list[tuple[bytes, str, float]] = []
        self.connecting = 0

    async def run(self, seconds: float) -> Tally:
        loop = asyncio.get_running_loop()
        begun = time.monotonic()
        sent = 0
        tasks: set[asyncio.Task[None]] = set()
        while (now := time.monotonic()) < begun + seconds:
            while sent < (now - begun) * self.per_second:
                sent += 1
                data, label = self.draw()
                self._ask(data, label, now, loop, tasks)
            await asyncio.sleep(0.002)
        until = time.monotonic() + 10.0  # every request has its one answer long before
        while (self.waiting or any(a.busy for a in self.all)) and time.monotonic() < until:
            await asyncio.sleep(0.01)
        self.tally.lost += len(self.waiting) + sum(a.busy for a in self.all)
        for asker in self.all:
            asker.close()
        self.tally.span_s = seconds
        return self.tally

    def _ask(
        self,
        data: bytes,
        label: str,
        now: float,
        loop: asyncio.AbstractEventLoop,
        tasks: set[asyncio.Task[None]],
    ) -> None:
        while self.idle:
            asker = self.idle.pop()
            if asker.transport is not None and not asker.transport.is_closing():
                asker.ask(data, label, now)
                return
            self.all.discard(asker)
        self.waiting.append((data, label, now))
        if len(self.all) + self.connecting < self.connections_max:
            self.connecting += 1
            task = loop.create_task(self._grow())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _grow(self) -> None:
        try:
            asker = await _connect(self.port, self.tally, self.hold)
        except OSError:
            return
        finally:
            self.connecting -= 1
        asker.answered, asker.observe, asker.lost = self._answered, self.observe, self.lost
        if not self.waiting:  # whom it was for was served; servers end connections that say nothing
            asker.close()
            return
        self.all.add(asker)
        asker.ask(*self.waiting.pop(0))

    def _answered(self, asker: Asker) -> None:
        if not asker.keeps:
            asker.close()
        if asker.transport is None or asker.transport.is_closing():
            self.all.discard(asker)
            if self.waiting:  # whoever waits must not wait for a connection that is gone
                self.connecting += 1
                task = asyncio.get_running_loop().create_task(self._grow())
                self._keep = task
        elif self.waiting:
            asker.ask(*self.waiting.pop(0))
        else:
            self.idle.append(asker)
