"""A connection to a cache node: one exchange at a time, its answer parsed; and for how long one may rest."""

from __future__ import annotations

import asyncio
import logging
from bisect import bisect_right
from collections.abc import Sequence
from typing import Protocol, cast

from httptools import HttpParserError, HttpResponseParser

from notchflow.net.exchange import HOP_BY_HOP, ConnectionHost, UpstreamResponse

log = logging.getLogger(__name__)

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

    __slots__ = ("configured_ms", "limit_ms", "uses", "breaks", "faded_at")

    def __init__(self, conn_idle_ms: float) -> None:
        self.configured_ms = self.limit_ms = RETIRE_SHARE * conn_idle_ms
        self.uses = [0.0] * (len(AGES_MS) + 1)
        self.breaks = [0.0] * (len(AGES_MS) + 1)
        self.faded_at = 0.0

    def configure(self, conn_idle_ms: float) -> None:
        """The settings state another time."""
        self.configured_ms = RETIRE_SHARE * conn_idle_ms
        self.limit_ms = min(self.limit_ms, self.configured_ms)
        self._judge()

    def count(self, age: float | None, broken: bool) -> None:
        """One use of a connection of this age, none for a new one, and whether it broke."""
        self.uses[0 if age is None else bisect_right(AGES_MS, age)] += 1
        if broken:
            self.breaks[0 if age is None else bisect_right(AGES_MS, age)] += 1
            self._judge()

    def decay(self, now: float) -> None:
        """Halves the counts from time to time, so that what has passed is forgotten."""
        if now >= self.faded_at + FADE_MS:
            self.faded_at = now
            self.uses = [n / 2 for n in self.uses]
            self.breaks = [n / 2 for n in self.breaks]
            self._judge()

    def _judge(self) -> None:
        """Gives up the ages beyond the edge at which that saves most, if it saves anything for certain."""
        best, edge = (GAIN_MIN / 2 if self.limit_ms < self.configured_ms else GAIN_MIN), self.configured_ms
        uses, breaks = self.uses[0], self.breaks[0]
        old_uses, old_breaks = sum(self.uses) - uses, sum(self.breaks) - breaks
        for step, age in enumerate(AGES_MS, 1):
            gain = old_breaks - old_uses * (breaks / max(uses, 1.0) + DIAL_COST)
            if gain >= best:
                best, edge = gain, age
            uses, breaks = uses + self.uses[step], breaks + self.breaks[step]
            old_uses, old_breaks = old_uses - self.uses[step], old_breaks - self.breaks[step]
        self.limit_ms = min(edge, self.configured_ms)


class Exchange(Protocol):
    """One request and its answer on an upstream connection: `answered` or `failed` ends it, once."""

    connection: Connection | None
    hold_max: int
    unfinished: bool  # more of the request is to come

    def chunks(self, now: float) -> list[bytes]:
        """The request's bytes; `now` tells what is left of its time."""

    def stream(self, answer: UpstreamResponse) -> bool:
        """An answer too long to be held has begun; whether it is wanted."""

    def streamed(self, data: bytes) -> None:
        """A part of such an answer."""

    def answered(self, answer: UpstreamResponse, sent: bool) -> None:
        """A whole answer. `sent`: the request's last byte had been written before."""

    def failed(self, sent: bool) -> None:
        """The connection broke. `sent`: the request's last byte had been written."""

    def wanted(self, now: float) -> bool:
        """Whether it may still begin: asked at a new connection, before the first byte goes out."""

    def no_descriptor(self) -> None:
        """There is none to dial with."""

    def unsent(self, _: object = None) -> None:
        """Nothing of it went out, and the node is not to blame."""

    def written(self) -> None:
        """The request's last byte has gone to the kernel."""

    def blocked(self, on: bool) -> None:
        """The node reads more slowly than the request comes, or has caught up."""


class Owner(Protocol):
    """The pool that a connection belongs to."""

    host: ConnectionHost
    limit: IdleLimit

    def opened(self, connection: Connection) -> None:
        """The connection is open."""

    def closed(self, connection: Connection) -> None:
        """The connection has ended."""

    def release(self, connection: Connection) -> None:
        """The connection's exchange is over; it can carry another."""


class Connection(asyncio.Protocol):
    """A connection to a node; it carries one exchange at a time."""

    __slots__ = (
        "pool",
        "transport",
        "parser",
        "exchange",
        "answer",
        "in_head",
        "head_size",
        "complete",
        "surplus",
        "streaming",
        "delimited",
        "keep",
        "sent",
        "counted",
        "idle_since",
        "last_read_at",
        "begun_at",
        "age",
        "held",
        "read_limit_reached",
    )

    def __init__(self, pool: Owner) -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.parser: HttpResponseParser | None = None
        self.exchange: Exchange | None = None
        self.answer = UpstreamResponse()
        self.in_head = self.complete = self.surplus = self.streaming = self.delimited = self.keep = False
        self.head_size = 0
        self.sent = False  # the request's last byte has gone to the kernel
        self.counted = True  # against the budget of descriptors
        self.idle_since = self.last_read_at = self.begun_at = 0.0
        self.age: float | None = None
        self.held = False  # the client reads more slowly than the answer comes
        self.read_limit_reached = False  # enough of an answer was read in this turn of the loop

    # -- the transport's callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: the connection is open. Its owner hears a turn later."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # so resume_writing tells that the last byte has gone
        self.pool.host.call_soon(self._opened, None)

    def _opened(self, _: object) -> None:
        """A turn later: the end of a client that lay unread beside this has been read by now."""
        if self.transport is not None:
            self.pool.opened(self)

    def pause_writing(self) -> None:
        """asyncio: the node reads more slowly than the request comes."""
        if self.exchange is not None and self.exchange.unfinished:
            self.exchange.blocked(True)

    def resume_writing(self) -> None:
        """asyncio: all that was written has gone to the kernel."""
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
        if not self.read_limit_reached and self.transport is not None:
            self.read_limit_reached = True
            self._read_on()
            self.pool.host.call_soon(self._next_turn, None)

    def _next_turn(self, _: object = None) -> None:
        self.read_limit_reached = False
        self._read_on()

    def _read_on(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.held or self.read_limit_reached:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _if_sent(self) -> None:
        # A failed write leaves nothing in the buffer either, but begins to close.
        assert self.transport is not None and self.exchange is not None
        if (
            not self.sent
            and not self.exchange.unfinished
            and not self.transport.get_write_buffer_size()
            and not self.transport.is_closing()
        ):
            self.sent = True
            self.exchange.written()

    def data_received(self, data: bytes) -> None:
        """asyncio: bytes of the answer."""
        if self.exchange is None or self.parser is None:
            self.close()
            return
        self.last_read_at = self.pool.host.clock.loop_time()
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
        """asyncio: the node sends no more, which ends an answer without a length."""
        if self.exchange is not None and self.delimited and not self.in_head:
            self.surplus = True
            self._finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection has ended, and with it its exchange."""
        self.transport = None
        self.parser = None  # it holds bound methods of this object
        self.pool.closed(self)
        self._fail()

    # -- the exchange
    def start(self, exchange: Exchange, now: float, age: float | None = None) -> None:
        """Carries an exchange. `age`: for how long the connection was idle, none for a new one."""
        assert self.transport is not None
        if self.parser is None:
            self.parser = HttpResponseParser(self)
        self.begun_at, self.age = now, age
        self.exchange, exchange.connection = exchange, self
        self.answer = UpstreamResponse()
        self.in_head, self.head_size = True, 0
        self.complete = self.surplus = self.streaming = self.delimited = self.keep = self.sent = False
        if self.held:  # the last answer ended just as its client was too slow for it
            self.hold(False)
        self.transport.writelines(exchange.chunks(now))
        self._if_sent()

    def abandon(self) -> None:
        """The exchange is given up: its answer is not wanted any more."""
        self.exchange = None
        self.close()

    def close(self) -> None:
        """Ends the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def _fail(self) -> None:
        exchange, self.exchange = self.exchange, None
        self.close()
        if exchange is not None:
            silent = self.in_head and not self.head_size
            self.pool.limit.count(
                self.age, silent and self.pool.host.clock.now() < self.begun_at + STALE_WITHIN_MS
            )
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
        """Parser: an answer begins."""
        if self.complete:
            self.surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser: a field of the head."""
        if not self.in_head or self.complete:
            return  # trailers, or a second answer that nobody asked for
        low, answer = name.lower(), self.answer
        if low in OWN or low in HOP_BY_HOP:
            answer.headers[low] = value
        else:
            answer.forwarded_headers.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Parser: the head is whole."""
        if self.complete or self.parser is None or self.exchange is None:
            return
        code = self.parser.get_status_code()
        answer = self.answer
        if 100 <= code < 200:
            answer.headers.clear()
            answer.forwarded_headers.clear()
            return  # an interim answer: the final one follows
        self.in_head = False
        answer.code, answer.begun_at = code, self.last_read_at
        if b"content-length" in answer.headers:
            answer.length = int(answer.headers[b"content-length"])
        elif b"transfer-encoding" not in answer.headers:
            self.delimited = True
        named = answer.headers.get(b"connection")
        if named is not None and answer.forwarded_headers:
            drop = tuple(t.strip().lower() + b":" for t in named.split(b","))
            answer.forwarded_headers = [
                line for line in answer.forwarded_headers if not line.lower().startswith(drop)
            ]
        if answer.length is None or answer.length <= self.exchange.hold_max:
            return
        if answer.length > LENGTH_MAX:
            log.warning("a node announced an answer of %d bytes", answer.length)
            self._fail()
        else:
            self._stream()

    def on_body(self, data: bytes) -> None:
        """Parser: a part of the body."""
        if self.complete or self.exchange is None:
            return
        if self.streaming:
            self.exchange.streamed(data)
            return
        answer = self.answer
        answer.body_size += len(data)
        answer.body.append(data)
        if answer.body_size > self.exchange.hold_max:
            self._stream()

    def on_message_complete(self) -> None:
        """Parser: the answer is whole."""
        if not self.in_head and self.parser is not None and self.exchange is not None:
            self.complete = True
            self.keep = self.parser.should_keep_alive()  # the parser forgets it with this call

    def _stream(self) -> None:
        assert self.exchange is not None
        self.streaming = self.exchange.stream(self.answer)
        self.answer.body.clear()
