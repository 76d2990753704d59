"""Load-generating clients: a closed loop to measure throughput, an open loop to measure latency."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import cast

from httptools import HttpResponseParser

from standins.connections import ConnectionRecord, End
from standins.stalls import no_stall

# Returns the bytes of the next request and a label, by which results are grouped.
RequestSource = Callable[[], tuple[bytes, str]]
# Called for each answer instead of the tally: label, status (0: no answer), milliseconds, answering node.
AnswerObserver = Callable[[str, int, float, str], None]
# Called when a connection ends with a request unanswered: that request's label and the connection's record.
LostCallback = Callable[[str, ConnectionRecord], None]
# Called at named steps of a connection; may block the process there.
StallHook = Callable[[str], None]


@dataclass(slots=True)
class Tally:
    """Results of requests: statuses and latencies (milliseconds), by label."""

    statuses: dict[str, Counter[int]] = field(default_factory=dict)
    latencies: dict[str, list[float]] = field(default_factory=dict)
    retry_after: Counter[float] = field(default_factory=Counter)
    lost: int = 0
    duration_s: float = 0.0

    def add(self, label: str, status: int, ms: float) -> None:
        """Counts an answer; only answers of 200 count for the latencies."""
        self.statuses.setdefault(label, Counter())[status] += 1
        if status == 200:
            self.latencies.setdefault(label, []).append(ms)

    @property
    def served(self) -> int:
        """Requests that were answered with 200."""
        return sum(c[200] for c in self.statuses.values())

    def answer_count(self, label: str) -> int:
        """Requests of a label that got an answer of any status."""
        return sum(self.statuses.get(label, Counter()).values())

    def in_time(self, label: str, aim_ms: float) -> int:
        """Requests of a label that were answered with 200 within the aim."""
        return sum(1 for ms in self.latencies.get(label, []) if ms <= aim_ms)

    def percentile(self, share: float, label: str | None = None) -> float:
        """The latency in milliseconds below which this fraction of requests lies; 0 if none was served."""
        chosen = self.latencies.values() if label is None else [self.latencies.get(label, [])]
        values = sorted(ms for part in chosen for ms in part)
        return values[min(int(share * len(values)), len(values) - 1)] if values else 0.0


class LoadConnection(asyncio.Protocol):
    """A client's connection, with one request at a time."""

    def __init__(self, tally: Tally, stall: StallHook = no_stall) -> None:
        self.tally, self.stall = tally, stall
        self.record = ConnectionRecord(0, 0.0)
        self.lost: LostCallback | None = None
        self.parser = HttpResponseParser(self)
        self.transport: asyncio.Transport | None = None
        self.label = ""
        self.sent_at = 0.0
        self.on_answer: Callable[[LoadConnection], None] | None = None
        self.observe: AnswerObserver | None = None
        self.node = ""
        self.busy = False
        self.keep_alive = True  # the last answer lets the connection stay open

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the record of the connection."""
        self.transport = cast(asyncio.Transport, transport)
        port = int(transport.get_extra_info("sockname")[1])
        self.record = ConnectionRecord(port, time.monotonic())
        self.stall("connected")

    def ask(self, data: bytes, label: str, sent_at: float | None = None) -> None:
        """Sends a request. Its latency counts from `sent_at` (monotonic seconds), or from now."""
        assert self.transport is not None
        self.label, self.busy = label, True
        self.sent_at = time.monotonic() if sent_at is None else sent_at
        self.stall("before a request")
        self.record.sent()
        self.transport.write(data)
        self.stall("after a request")

    def eof_received(self) -> None:
        """Notes that the other side closed the connection."""
        self.record.ended(End.BY_PEER)

    def close(self) -> None:
        """Closes the connection from the client's side."""
        if self.transport is not None:
            self.record.ended(End.BY_CLIENT)
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Parses bytes of an answer."""
        self.record.received()
        self.parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header of an answer."""
        lowered = name.lower()
        if lowered == b"retry-after":
            self.tally.retry_after[float(value)] += 1
        elif lowered == b"x-box":
            self.node = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """Called by the parser at the end of an answer."""
        status, self.keep_alive = self.parser.get_status_code(), self.parser.should_keep_alive()
        elapsed_ms = (time.monotonic() - self.sent_at) * 1e3
        if self.observe is None:
            self.tally.add(self.label, status, elapsed_ms)
        else:
            self.observe(self.label, status, elapsed_ms, self.node)
        self.busy = False
        if self.on_answer is not None:
            asyncio.get_running_loop().call_soon(self.on_answer, self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Counts an unanswered request as lost."""
        self.transport = None
        self.record.ended(End.BY_PEER if exc is None else End.BY_RESET)
        if self.busy:
            self.busy = False
            self.tally.lost += 1
            if self.lost is not None:
                self.lost(self.label, self.record)
            if self.observe is not None:
                self.observe(self.label, 0, (time.monotonic() - self.sent_at) * 1e3, self.node)
            if self.on_answer is not None:
                self.on_answer(self)


async def _connect(port: int, tally: Tally, stall: StallHook = no_stall) -> LoadConnection:
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(lambda: LoadConnection(tally, stall), "127.0.0.1", port)
    return connection


async def closed_loop(ports: Sequence[int], connections: int, seconds: float, draw: RequestSource) -> Tally:
    """Sends the next request on each connection as soon as the last is answered. The connections are spread
    over the ports in turn."""
    tally = Tally()
    deadline = time.monotonic() + seconds
    finished = asyncio.Event()
    running = connections

    def send_next(connection: LoadConnection) -> None:
        nonlocal running
        if time.monotonic() < deadline and connection.transport is not None:
            connection.ask(*draw())
            return
        running -= 1
        connection.close()
        if not running:
            finished.set()

    started_at = time.monotonic()
    for connection in await asyncio.gather(
        *(_connect(ports[i % len(ports)], tally) for i in range(connections))
    ):
        connection.on_answer = send_next
        connection.ask(*draw())
    await finished.wait()
    tally.duration_s = time.monotonic() - started_at
    return tally


class OpenLoop:
    """An open loop: a fixed rate of requests, whatever the latency, on as many connections as that needs.
    Beyond `connections_max` requests wait, and their latency includes the wait."""

    def __init__(
        self,
        port: int,
        per_second: float,
        draw: RequestSource,
        connections_max: int = 256,
        observe: AnswerObserver | None = None,
        lost: LostCallback | None = None,
        stall: StallHook = no_stall,
    ) -> None:
        self.observe, self.lost, self.stall = observe, lost, stall
        self.port, self.per_second, self.draw = port, per_second, draw
        self.connections_max = connections_max
        self.tally = Tally()
        self.idle: list[LoadConnection] = []
        self.connections: set[LoadConnection] = set()
        self.waiting: list[tuple[bytes, str, float]] = []
        self.connecting = 0

    async def run(self, seconds: float) -> Tally:
        """Sends requests for this long and returns the results, once all are answered or 10 s later."""
        loop = asyncio.get_running_loop()
        started_at = time.monotonic()
        sent = 0
        tasks: set[asyncio.Task[None]] = set()
        while (now := time.monotonic()) < started_at + seconds:
            while sent < (now - started_at) * self.per_second:
                sent += 1
                data, label = self.draw()
                self._send_or_queue(data, label, now, loop, tasks)
            await asyncio.sleep(0.002)
        deadline = time.monotonic() + 10.0  # every request should be answered long before
        while (self.waiting or any(a.busy for a in self.connections)) and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        self.tally.lost += len(self.waiting) + sum(a.busy for a in self.connections)
        for connection in self.connections:
            connection.close()
        self.tally.duration_s = seconds
        return self.tally

    def _send_or_queue(
        self,
        data: bytes,
        label: str,
        now: float,
        loop: asyncio.AbstractEventLoop,
        tasks: set[asyncio.Task[None]],
    ) -> None:
        while self.idle:
            connection = self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                connection.ask(data, label, now)
                return
            self.connections.discard(connection)
        self.waiting.append((data, label, now))
        if len(self.connections) + self.connecting < self.connections_max:
            self.connecting += 1
            task = loop.create_task(self._open_connection())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _open_connection(self) -> None:
        try:
            connection = await _connect(self.port, self.tally, self.stall)
        except OSError:
            return
        finally:
            self.connecting -= 1
        connection.on_answer, connection.observe, connection.lost = self._on_answer, self.observe, self.lost
        if not self.waiting:  # sent elsewhere meanwhile; servers close connections without requests
            connection.close()
            return
        self.connections.add(connection)
        connection.ask(*self.waiting.pop(0))

    def _on_answer(self, connection: LoadConnection) -> None:
        if not connection.keep_alive:
            connection.close()
        if connection.transport is None or connection.transport.is_closing():
            self.connections.discard(connection)
            if self.waiting:  # waiting requests need a new connection in place of the closed one
                self.connecting += 1
                task = asyncio.get_running_loop().create_task(self._open_connection())
                self._last_task = task
        elif self.waiting:
            connection.ask(*self.waiting.pop(0))
        else:
            self.idle.append(connection)
