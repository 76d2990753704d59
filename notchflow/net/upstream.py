"""Upstream connections: attempts at cache nodes, and the keep-alive pool to each of them."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
from bisect import bisect_right, insort
from collections.abc import Collection, Sequence
from typing import Protocol, cast

from httptools import HttpParserError, HttpResponseParser

from notchflow import wire
from notchflow.interface import Status
from notchflow.net.exchange import HOP_BY_HOP, Answer, Dialler, Open
from notchflow.net.timers import Handle

log = logging.getLogger(__name__)

OK = Status.OK  # looked up for every request

HOLD_MAX = 64 << 10  # bytes of an answer held whole, so that a broken one can be retried; more is streamed
LAST_CHUNK = b"0\r\n\r\n"
HEAD_MAX = 32 << 10
LENGTH_MAX = 32 << 20  # no value is so long: who announces more is spoilt, and another node may still serve
RETIRE_SHARE = 0.7
STALE_WITHIN_MS = 50.0
AGES_MS = (0.0, 20.0, 30.0, 45.0, 70.0, 100.0, 150.0, 225.0, 340.0, 500.0, 1_000.0, 2_000.0, 5_000.0)
DIAL_COST = 0.15
GAIN_MIN = 2.0
FADE_MS = 30_000.0
OWN = frozenset({b"x-rejected", b"x-hit", b"x-load-report"})


class IdleLimit:
    """How long a connection may have been idle and still be used.

    Nodes may drop idle connections earlier than the settings say, and a request that crosses that ends as a
    reset: lost, where it must not run twice. But on a bad network connections of any age break, and new ones
    would only cost more: what counts is how many more break than among the younger ones. The nodes run one
    program, so what one shows holds for all.
    """

    __slots__ = ("stated_ms", "ms", "uses", "breaks", "faded_at")

    def __init__(self, conn_idle_ms: float) -> None:
        self.stated_ms = self.ms = RETIRE_SHARE * conn_idle_ms
        self.uses = [0.0] * (len(AGES_MS) + 1)
        self.breaks = [0.0] * (len(AGES_MS) + 1)
        self.faded_at = 0.0

    def state(self, conn_idle_ms: float) -> None:
        """The settings state another time."""
        self.stated_ms = RETIRE_SHARE * conn_idle_ms
        self.ms = min(self.ms, self.stated_ms)
        self._judge()

    def count(self, age: float | None, broken: bool) -> None:
        self.uses[0 if age is None else bisect_right(AGES_MS, age)] += 1
        if broken:
            self.breaks[0 if age is None else bisect_right(AGES_MS, age)] += 1
            self._judge()

    def fade(self, now: float) -> None:
        if now >= self.faded_at + FADE_MS:
            self.faded_at = now
            self.uses = [n / 2 for n in self.uses]
            self.breaks = [n / 2 for n in self.breaks]
            self._judge()

    def _judge(self) -> None:
        """Gives up the ages beyond the edge at which that saves most, if it saves anything for certain."""
        best, edge = (GAIN_MIN / 2 if self.ms < self.stated_ms else GAIN_MIN), self.stated_ms
        uses, breaks = self.uses[0], self.breaks[0]
        old_uses, old_breaks = sum(self.uses) - uses, sum(self.breaks) - breaks
        for step, age in enumerate(AGES_MS, 1):
            gain = old_breaks - old_uses * (breaks / max(uses, 1.0) + DIAL_COST)
            if gain >= best:
                best, edge = gain, age
            uses, breaks = uses + self.uses[step], breaks + self.breaks[step]
            old_uses, old_breaks = old_uses - self.uses[step], old_breaks - self.breaks[step]
        self.ms = min(edge, self.stated_ms)


class Exchange(Protocol):
    """One request and its answer on an upstream connection: `answered` or `failed` ends it, once."""

    connection: Connection | None
    hold_max: int
    unfinished: bool  # more of the request is to come

    def chunks(self, now: float) -> list[bytes]: ...

    def stream(self, answer: Answer) -> bool: ...

    def streamed(self, data: bytes) -> None: ...

    def answered(self, answer: Answer, sent: bool) -> None: ...

    def failed(self, sent: bool) -> None: ...

    def starved(self, _: object = None) -> None: ...

    def written(self) -> None: ...

    def blocked(self, on: bool) -> None:
        """The node reads more slowly than the request comes, or has caught up."""


class Connection(asyncio.Protocol):
    """A connection to a node; it carries one exchange at a time."""

    __slots__ = ("pool", "transport", "parser", "exchange", "answer", "in_head", "head_size", "complete",
                 "surplus", "streaming", "delimited", "keep", "sent", "counted", "idle_since", "heard_at",
                 "begun_at", "age", "held", "turn_over")

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.parser: HttpResponseParser | None = None
        self.exchange: Exchange | None = None
        self.answer = Answer()
        self.in_head = self.complete = self.surplus = self.streaming = self.delimited = self.keep = False
        self.head_size = 0
        self.sent = False  # the request's last byte has gone to the kernel
        self.counted = True  # against the budget of descriptors
        self.idle_since = self.heard_at = self.begun_at = 0.0
        self.age: float | None = None
        self.held = False  # the client reads more slowly than the answer comes
        self.turn_over = False  # enough of an answer was read in this turn of the loop

    # -- the transport's callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # so resume_writing tells that the last byte has gone
        self.pool.opened(self)

    def pause_writing(self) -> None:
        if self.exchange is not None and self.exchange.unfinished:
            self.exchange.blocked(True)

    def resume_writing(self) -> None:
        if self.exchange is not None and self.exchange.unfinished:
            self.exchange.blocked(False)
        elif not self.sent:
            self.sent = True
            if self.exchange is not None:
                self.exchange.written()

    def more(self, pieces: Sequence[bytes]) -> None:
        """Further pieces of an unfinished request; none, where its end is all there is to tell."""
        if self.transport is None or self.exchange is None:
            return
        if pieces:
            self.transport.writelines(pieces)
        self._if_sent()

    def hold(self, on: bool) -> None:
        """Reads no more of an answer, as its client is slow, or goes on."""
        self.held = on
        self._read_on()

    def _end_turn(self) -> None:
        """Leaves the rest of a long answer for the next turn of the loop, which else reads 8 MiB at once."""
        if not self.turn_over and self.transport is not None:
            self.turn_over = True
            self._read_on()
            self.pool.host.soon(self._next_turn, None)

    def _next_turn(self, _: object = None) -> None:
        self.turn_over = False
        self._read_on()

    def _read_on(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.held or self.turn_over:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _if_sent(self) -> None:
        # A failed write leaves nothing in the buffer either, but begins to close.
        assert self.transport is not None and self.exchange is not None
        if (not self.sent and not self.exchange.unfinished and not self.transport.get_write_buffer_size()
                and not self.transport.is_closing()):
            self.sent = True
            self.exchange.written()

    def data_received(self, data: bytes) -> None:
        if self.exchange is None or self.parser is None:
            self.close()
            return
        self.heard_at = self.pool.host.clock.turn()
        try:
            self.parser.feed_data(data)
        except HttpParserError as error:
            if not self.complete:
                log.warning("a node sent a malformed answer: %s", error)
                self._fail()
                return
            self.surplus = True
        if self.complete:
            self._finish()
        elif self.streaming:
            self._end_turn()
        elif self.in_head:
            self.head_size += len(data)
            if self.head_size > HEAD_MAX:
                log.warning("a node sent a head of over %d bytes", HEAD_MAX)
                self._fail()

    def eof_received(self) -> bool:
        if self.exchange is not None and self.delimited and not self.in_head:
            self.surplus = True
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.parser = None  # it holds bound methods of this object
        self.pool.closed(self)
        self._fail()

    # -- the exchange
    def start(self, exchange: Exchange, now: float, age: float | None = None) -> None:
        assert self.transport is not None
        if self.parser is None:
            self.parser = HttpResponseParser(self)
        self.begun_at, self.age = now, age
        self.exchange, exchange.connection = exchange, self
        self.answer = Answer()
        self.in_head, self.head_size = True, 0
        self.complete = self.surplus = self.streaming = self.delimited = self.keep = self.sent = False
        if self.held:  # the last answer ended just as its client was too slow for it
            self.hold(False)
        self.transport.writelines(exchange.chunks(now))
        self._if_sent()

    def abandon(self) -> None:
        self.exchange = None
        self.close()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _fail(self) -> None:
        exchange, self.exchange = self.exchange, None
        self.close()
        if exchange is not None:
            silent = self.in_head and not self.head_size
            self.pool.limit.count(
                self.age, silent and self.pool.host.clock.now() < self.begun_at + STALE_WITHIN_MS)
            exchange.connection = None
            exchange.failed(self.sent)

    def _finish(self) -> None:
        exchange, self.exchange = self.exchange, None
        assert exchange is not None
        exchange.connection = None
        answer, sent = self.answer, self.sent
        keep = sent and self.keep and not self.surplus
        self.pool.limit.count(self.age, False)
        if keep and self.transport is not None and not self.transport.is_closing():
            self.pool.release(self)
        else:
            self.close()
        exchange.answered(answer, sent)

    # -- the parser's callbacks
    def on_message_begin(self) -> None:
        if self.complete:
            self.surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head or self.complete:
            return  # trailers, or a second answer that nobody asked for
        low, answer = name.lower(), self.answer
        if low in OWN or low in HOP_BY_HOP:
            answer.fields[low] = value
        else:
            answer.passed.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        if self.complete or self.parser is None or self.exchange is None:
            return
        code = self.parser.get_status_code()
        answer = self.answer
        if 100 <= code < 200:
            answer.fields.clear()
            answer.passed.clear()
            return  # an interim answer: the final one follows
        self.in_head = False
        answer.code, answer.begun_at = code, self.heard_at
        if b"content-length" in answer.fields:
            answer.length = int(answer.fields[b"content-length"])
        elif b"transfer-encoding" not in answer.fields:
            self.delimited = True
        named = answer.fields.get(b"connection")
        if named is not None and answer.passed:
            drop = tuple(t.strip().lower() + b":" for t in named.split(b","))
            answer.passed = [line for line in answer.passed if not line.lower().startswith(drop)]
        if answer.length is None or answer.length <= self.exchange.hold_max:
            return
        if answer.length > LENGTH_MAX:
            log.warning("a node announced an answer of %d bytes", answer.length)
            self._fail()
        else:
            self._stream()

    def on_body(self, data: bytes) -> None:
        if self.complete or self.exchange is None:
            return
        if self.streaming:
            self.exchange.streamed(data)
            return
        answer = self.answer
        answer.size += len(data)
        answer.body.append(data)
        if answer.size > self.exchange.hold_max:
            self._stream()

    def on_message_complete(self) -> None:
        if not self.in_head and self.parser is not None and self.exchange is not None:
            self.complete = True
            self.keep = self.parser.should_keep_alive()  # the parser forgets it with this call

    def _stream(self) -> None:
        assert self.exchange is not None
        self.streaming = self.exchange.stream(self.answer)
        self.answer.body.clear()


class Pool:
    """The connections to one address: the last to become idle is used first, so that the others age out."""

    __slots__ = ("host", "address", "connect_ms", "limit", "idle", "dials", "adopting", "retired")

    def __init__(self, host: Dialler, address: tuple[str, int], connect_ms: float, limit: IdleLimit) -> None:
        self.host = host
        self.address = address
        self.connect_ms = connect_ms
        self.limit = limit
        self.idle: list[Connection] = []
        self.dials: dict[Connection, tuple[asyncio.Task[None], Exchange, Handle]] = {}
        self.adopting: dict[Connection, asyncio.Task[None]] = {}
        self.retired = False

    def send(self, exchange: Exchange, now: float) -> None:
        if self.retired:  # whoever decided on it did so by an older list
            self.host.soon(exchange.starved, None)
            return
        while self.idle:
            connection = self.idle[-1]
            if now - connection.idle_since > self.limit.ms:
                break  # the youngest is too old; they are closed in the sweep
            self.idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                connection.start(exchange, now, now - connection.idle_since)
                return
        if not self.host.descriptor():
            self.host.soon(exchange.starved, None)
            return
        connection = Connection(self)
        task = self.host.loop.create_task(self._dial(connection))
        timer = self.host.at(now + self.connect_ms, self._overdue, connection)
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
            self.host.freed()

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

    def pass_on(self, most: int) -> list[tuple[int, float]]:
        """Gives up idle connections, the youngest first and so many at most, for another process to go on
        with: each one's descriptor, and for how long it has been idle, in milliseconds."""
        given: list[tuple[int, float]] = []
        now = self.host.clock.now()
        while self.idle and len(given) < most and now - self.idle[-1].idle_since <= self.limit.ms:
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
        elif self.retired:
            self.host.timers.cancel(dial[2])
            connection.close()
            dial[1].failed(False)
        else:
            self.host.timers.cancel(dial[2])
            connection.start(dial[1], self.host.clock.now())

    def give_up(self, exchange: Exchange) -> None:
        for connection, (task, waiting, timer) in self.dials.items():
            if waiting is exchange:
                del self.dials[connection]
                self.host.timers.cancel(timer)
                task.cancel()
                return

    def release(self, connection: Connection) -> None:
        if self.retired:
            connection.close()
            return
        connection.idle_since = self.host.clock.now()  # its age decides whether and by when it is used again
        self.idle.append(connection)

    def closed(self, connection: Connection) -> None:
        self._uncount(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def sweep(self, now: float) -> None:
        keep = 0
        while keep < len(self.idle) and (self.retired or self.idle[keep].idle_since + self.limit.ms <= now):
            keep += 1
        for connection in self.idle[:keep]:
            connection.close()
        del self.idle[:keep]

    def undial(self) -> None:
        """What waits for a connection goes elsewhere: it must not begin at a node that has begun to drain."""
        for connection, (task, _, _) in list(self.dials.items()):
            task.cancel()
            self._undone(connection)

    def retire(self) -> None:
        """Nothing new goes here; what is out may finish."""
        self.retired = True
        self.sweep(0.0)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _idle_since(connection: Connection) -> float:
    return connection.idle_since


class Courier(Dialler, Protocol):
    """What attempts need of the host."""

    def outcome(self, attempt: Attempt, status: Status, answer: Answer | None) -> None: ...

    def stream_started(self, attempt: Attempt, answer: Answer) -> bool: ...


class Attempt:
    """One attempt at a node. It ends once, with the outcome that the facts prove."""

    __slots__ = ("host", "open", "number", "node", "pool", "begun_at", "expires_at", "connection", "over",
                 "started", "hold_max", "timer", "unfinished")

    def __init__(self, host: Courier, item: Open, number: int, node: int, pool: Pool, now: float,
                 expires: float) -> None:
        self.host, self.open = host, item
        self.number, self.node, self.pool = number, node, pool
        self.begun_at, self.expires_at = now, expires
        self.connection: Connection | None = None
        self.over = self.started = False
        self.hold_max = HOLD_MAX
        self.timer: Handle | None = None
        self.unfinished = False

    def chunks(self, now: float) -> list[bytes]:
        """The request as it goes out; its budget is what this attempt has left."""
        call = self.open.call
        if call.flowing:
            self.unfinished = not call.whole
            call.client.flow(True)
        left = max(self.expires_at - now, 1.0) / 1e3
        head = b"%b %b HTTP/1.1\r\nX-Budget: %.3f\r\n%b\r\n"
        data = [head % (call.method, call.url, left, b"".join(call.passed)), *call.body]
        if call.chunked:
            data[1:] = [_chunk(piece) for piece in call.body]
            if call.whole:
                data.append(LAST_CHUNK)
        return data

    def more(self, pieces: Sequence[bytes]) -> None:
        """Further pieces of the body; before there is a connection they are held with the rest."""
        if self.connection is not None:
            self.connection.more([_chunk(p) for p in pieces] if self.open.call.chunked else pieces)

    def body_ended(self) -> None:
        """The body is whole: from now on the node's time counts, and the request can run."""
        self.unfinished = False
        if self.connection is not None:
            self.connection.more((LAST_CHUNK,) if self.open.call.chunked else ())

    def unwritten_to(self, pools: Collection[object]) -> bool:
        """Whether it goes to one of these pools, and a part of the request is still to be written."""
        return self.pool in pools and self.connection is not None and not self.connection.sent

    def blocked(self, on: bool) -> None:
        """The node reads more slowly than the body comes, or has caught up."""
        if not self.over:
            self.open.call.client.flow(not on)

    def stream(self, answer: Answer) -> bool:
        if answer.code != 200 or self.unfinished:
            self._end(_status(answer, not self.unfinished))
            return False
        self.started = True
        if not self.host.stream_started(self, answer):
            self._end(Status.CANCELLED)
            return False
        return True

    def streamed(self, data: bytes) -> None:
        """A part of a large answer."""
        self.open.call.client.stream(data)

    def answered(self, answer: Answer, sent: bool) -> None:
        """A whole answer has come."""
        if not self.over:
            self.over = True
            self.host.outcome(self, _status(answer, sent), answer)

    def failed(self, sent: bool) -> None:
        self._end(Status.RESET if sent else Status.CONNECT_FAILED)

    def written(self) -> None:
        """The last byte of the request has gone."""
        counts = self.open.counts
        if counts is not None:
            counts.relayed += 1
        if self.open.call.flowing:  # a body that took its time is no sign of a slow node
            self.begun_at = self.host.clock.now()

    def starved(self, _: object = None) -> None:
        """There was no descriptor to dial with: nothing went out, and the node is not to blame."""
        self._end(Status.MOOT)

    def abandon(self, status: Status) -> None:
        """Stops waiting. Before its last byte was written a request cannot have run."""
        if status is Status.TIMEOUT and (self.connection is None or not self.connection.sent):
            status = Status.CONNECT_FAILED
        self._end(status)

    def _end(self, status: Status) -> None:
        if self.over:
            return
        self.over = True
        if self.connection is not None:
            self.connection.abandon()
            self.connection = None
        else:
            self.pool.give_up(self)
        self.host.outcome(self, status, None)


def _status(answer: Answer, sent: bool) -> Status:
    if answer.code == 200 and sent:
        return OK
    if answer.code in (503, 504) and answer.fields.get(b"x-rejected") == b"1":
        return Status.FULL
    if answer.code == 200:
        return Status.RESET  # before the request was written whole, this cannot be its answer
    return Status.ERROR


def load_report(answer: Answer, names: Sequence[str]) -> dict[str, float] | None:
    raw = answer.fields.get(b"x-load-report")
    if raw is None or not names:
        return None
    try:
        data = json.loads(raw)
        return {wire.LOADS.get(n, n): float(data[n]) for n in names if n in data}
    except (ValueError, TypeError):
        return None
