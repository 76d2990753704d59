"""A client's bytes as they come in: parsed to requests, with bounds on heads, framing, bodies and time."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Any, Protocol

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from notchflow.net.exchange import HOP_BY_HOP, ClientHost, ClientRequest, Gateway

log = logging.getLogger(__name__)

HEAD_MAX = 32 << 10
BODY_MAX = 32 << 20
FLOW_FROM = 256 << 10  # a longer body goes on to a box as it comes, and is held as far as memory allows
MAX_PIPELINED = 16
# By when a request must have come whole: who says nothing, or half, keeps no descriptor. A head may take
# 2 s; a body has as long as it needs at half the rate of the slowest clients, by what has come of it.
ARRIVE_MS, BODY_RATE = 2_300.0, 32.0  # bytes a millisecond
SLICE = 8 << 10  # a longer read is parsed in such pieces, so that the bounds on framing hold within it
FIELDS_MAX = 256
FRAMING_MAX, FRAMING_CHUNK = 4 << 10, 32  # bytes of a chunked body that are no body: in all, and a chunk
JOIN_BELOW = 1 << 10  # bytes: smaller pieces of a body are put together, as each costs memory of its own
READ = frozenset(
    {
        b"x-call-id",
        b"x-call-class",
        b"x-caller",
        b"x-budget",
        b"x-again",
        b"x-call-cost",
        b"x-call-info",
        b"expect",
        b"idempotency-key",
        b"host",
    }
)
REPLACED = frozenset({b"x-budget", b"expect"})
# Two of these can be read either way: as one request here, as another at the box.
SINGLE = frozenset({b"x-call-id", b"idempotency-key", b"host"})
# A sender may name in Connection what is meant for this hop alone. These are meant for the end: without its
# X-Call-Id or Idempotency-Key a box could not tell a repeat, and an effect would happen twice.
END_TO_END = READ | {b"authorization", b"content-type", b"content-encoding", b"cache-control"}
FRAMING = frozenset({b"connection", b"transfer-encoding"})


class Entrance(Protocol):
    """The listener's side, as its clients' connections see it."""

    host: ClientHost
    door: Gateway | None
    clients: dict[Any, None]
    idle: dict[Any, None]
    lingering: dict[Any, None]

    def lost(self, client: Any) -> None:
        """A client's connection has ended."""


class RequestReader(asyncio.Protocol):
    """A client's connection as far as it is read: `waiting` holds the requests that have come."""

    __slots__ = (
        "frontend",
        "host",
        "transport",
        "parser",
        "arriving",
        "in_head",
        "head_size",
        "waiting",
        "current",
        "closing",
        "active_at",
        "due_since",
        "framing",
        "chunks",
        "pipeline_full",
        "body_paused_at",
        "read_limit_reached",
        "lags",
        "unsent_pieces",
    )

    def __init__(self, frontend: Entrance) -> None:
        self.frontend = frontend
        self.host = frontend.host
        self.transport: asyncio.Transport | None = None
        self.parser: HttpRequestParser | None = None
        self.arriving: ClientRequest | None = None
        self.in_head = False
        self.head_size = self.framing = self.chunks = 0
        self.waiting: deque[ClientRequest] = deque()
        self.current: ClientRequest | None = None
        self.pipeline_full = False  # nothing is read until what waits is fewer
        self.body_paused_at: float | None = None  # since then no more of a body is wanted
        self.read_limit_reached = False  # enough of a body was read in this turn of the loop
        self.lags = False  # reading has stopped before: an end may lie unread behind what is read
        self.unsent_pieces: list[bytes] = []  # of a body that flows, read but not passed on yet
        self.closing = False
        self.active_at = 0.0
        self.due_since: float | None = None  # a request is due: the first, or one that has begun to come

    # -- what the client's side makes of it
    def _call(self) -> ClientRequest:
        """A request that begins to come."""
        raise NotImplementedError

    def _step(self) -> None:
        """Takes up what waits, if nothing is in hand."""
        raise NotImplementedError

    def close(self) -> None:
        """Ends the connection once what was written has gone."""
        raise NotImplementedError

    def fail(self, call: ClientRequest, status: int) -> None:
        """Failed, with no promise."""
        raise NotImplementedError

    # -- bytes
    def data_received(self, data: bytes) -> None:
        """Bytes have come: parses them, then takes up the next request."""
        self.active_at = self.host.clock.loop_time()
        if self.closing or self.parser is None:
            return  # what follows a fault is read and dropped, so that its answer is not lost to a reset
        self.frontend.idle.pop(self, None)
        if len(data) <= SLICE:
            self._feed(data)
        else:
            for at in range(0, len(data), SLICE):
                if not self.closing:
                    self._feed(data[at : at + SLICE])
        if self.arriving is not None and self.arriving.streams_body:
            self._pass_pieces(self.arriving)
            if len(data) > SLICE:
                self._end_turn()
        self._step()
        if self.current is None and self.arriving is None and not self.waiting and not self.closing:
            self.frontend.idle[self] = None  # the rest of what was answered already has come

    def _feed(self, data: bytes) -> None:
        if self.parser is None:
            return
        call = self.arriving
        before = call.body_size if call is not None else 0
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            self.closing = True  # the request stands, in plain HTTP; what follows it cannot be read
        except HttpParserError as error:
            self._fault(400, f"malformed request: {error}")
        if self.in_head:
            self.head_size += len(data)
            if self.head_size >= HEAD_MAX:
                self._fault(431, f"a head of over {HEAD_MAX} bytes")
        elif call is not None and call is self.arriving:  # in the midst of a body
            self.framing += len(data) - (call.body_size - before)
            if self.framing > FRAMING_MAX + FRAMING_CHUNK * self.chunks:
                self._fault(400, "more framing than body")

    # -- the parser's callbacks
    def on_message_begin(self) -> None:
        """Parser: a request begins."""
        self.arriving = self._call()
        self.in_head, self.head_size, self.framing, self.chunks = True, 0, 0, 0
        self.due_since = self.active_at

    def on_url(self, url: bytes) -> None:
        """Parser: a part of the target."""
        if self.arriving is not None:
            self.arriving.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser: a field of the head, or a trailer."""
        call, low = self.arriving, name.lower()
        if call is None or not self.in_head:
            return  # trailers
        if low in READ:
            if low in SINGLE and low in call.headers:
                call.error_status = 400
            call.headers[low] = value
            if low in REPLACED:
                return
        elif low in HOP_BY_HOP:
            call.headers[low] = b"%b, %b" % (call.headers[low], value) if low in call.headers else value
            return
        call.forwarded_headers.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Parser: the head is whole."""
        call, parser = self.arriving, self.parser
        if call is None or parser is None:
            return
        self.in_head = False
        call.method = parser.get_method()
        call.chunks_allowed = parser.get_http_version() == "1.1"
        call.keep_alive = call.chunks_allowed and parser.should_keep_alive()
        if not FRAMING.isdisjoint(call.headers) and not self._framed(call):
            return
        if len(call.forwarded_headers) > FIELDS_MAX:
            self._fault(431, f"over {FIELDS_MAX} fields")
            return
        if self.frontend.door is not None and not call.error_status:
            self.frontend.door.head(call)
        if int(call.headers.get(b"content-length", 0)) > BODY_MAX:
            self._fault(413, f"a body of over {BODY_MAX} bytes")
        elif b"expect" in call.headers:
            self._expected(call)

    def _framed(self, call: ClientRequest) -> bool:
        """What the head says of the connection and the coding; false where that is a fault."""
        named = call.headers.get(b"connection")
        if named is not None and b"," in named or named and named.lower() not in (b"keep-alive", b"close"):
            tokens = {t.strip().lower() for t in named.split(b",")} - END_TO_END
            drop = tuple(t + b":" for t in tokens if t)
            call.forwarded_headers = [
                line for line in call.forwarded_headers if not line.lower().startswith(drop)
            ]
        coding = call.headers.get(b"transfer-encoding")
        if coding is not None and coding.strip().lower() != b"chunked":
            self._fault(501, f"the coding {coding!r:.60}")  # the box would be told of none
            return False
        return True

    def _expected(self, call: ClientRequest) -> None:
        """The client waits with the body."""
        if call.local_reply is not None:
            self._fault(call.local_reply.status, "turned away before its body")  # it may as well keep it
        elif call.headers[b"expect"].lower() == b"100-continue":
            if self.current is None and not self.waiting and self.transport is not None:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Parser: a part of the body."""
        call = self.arriving
        if call is None:
            return
        call.body_size += len(data)
        if call.body_size > BODY_MAX:
            self._fault(413, f"a body of over {BODY_MAX} bytes")
        elif call.drop_body:
            return
        elif call.streams_body or self._flows(call, len(data)):
            self._flow(call, data)
        elif call.local_reply is None and not call.body_not_held:
            full = self.host.buffered_bytes + len(data) > self.host.buffer_limit
            if full or (call.ticket is not None and not call.ticket.charge(len(data))):
                call.body_not_held = True
                call.release_body()
            else:
                self.host.buffered_bytes += len(data)
                call.charged_bytes += len(data)
                if call.body and len(data) < JOIN_BELOW and len(call.body[-1]) < JOIN_BELOW:
                    call.body[-1] += data
                else:
                    call.body.append(data)

    def _flows(self, call: ClientRequest, size: int) -> bool:
        """Whether this body is to go on as it comes, from now on."""
        if self.frontend.door is not None or call.method != b"PUT" or call.error_status or call.body_not_held:
            return False
        short = self.host.buffered_bytes + size > self.host.buffer_limit
        if call.body_size > FLOW_FROM or short and int(call.headers.get(b"content-length", 0)) > FLOW_FROM:
            call.streams_body = True
            self.waiting.append(call)
        return call.streams_body

    def _flow(self, call: ClientRequest, data: bytes) -> None:
        """A piece of a body that goes on as it comes. It is held too, so that another box can be given all of
        it, as long as there is memory; else what comes waits until a box is reading."""
        host, item = self.host, call.active
        if not call.body_start_dropped:
            host.buffered_bytes += len(data)
            call.charged_bytes += len(data)
            call.body.append(data)
        if item is not None:
            self.unsent_pieces.append(data)
        if not call.body_start_dropped and host.buffered_bytes > host.buffer_limit:
            if item is not None and host.try_discard_body(item):
                self._pass_pieces(call)
                call.body_start_dropped = True
                call.release_body()
            else:
                self.set_body_wanted(False)

    def _pass_pieces(self, call: ClientRequest) -> None:
        """Passes on what was read, in one write."""
        pieces, self.unsent_pieces = self.unsent_pieces, []
        if pieces and call.active is not None:
            self.host.body_received(call.active, pieces)

    def _end_turn(self) -> None:
        """Leaves the rest of a body for the next turn of the loop, which else reads a socket up to 32 times
        over while there is more, 8 MiB, and all other clients wait for so long."""
        if not self.read_limit_reached:
            self.read_limit_reached = True
            self._read_on(False)
            self.host.call_soon(self._next_turn, None)

    def _next_turn(self, _: object = None) -> None:
        self.read_limit_reached = False
        self._read_on(True)

    def set_body_wanted(self, on: bool) -> None:
        """Whether more of the body that is arriving is wanted now; else the client's time stands still."""
        if on is (self.body_paused_at is None) or self.transport is None or self.transport.is_closing():
            return
        now = self.host.clock.now()
        if on:
            assert self.body_paused_at is not None
            if self.due_since is not None:
                self.due_since += now - self.body_paused_at
            self.body_paused_at, self.active_at = None, now
        else:
            self.body_paused_at = now
        self._read_on(on)

    def _read_on(self, on: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if not on:
            self.lags = True
            self.transport.pause_reading()
        elif not self.pipeline_full and self.body_paused_at is None and not self.read_limit_reached:
            self.transport.resume_reading()

    def on_chunk_header(self) -> None:
        """Parser: a chunk begins; chunks are counted for the bound on framing."""
        self.chunks += 1

    def on_message_complete(self) -> None:
        """Parser: the request is whole."""
        call, self.arriving = self.arriving, None
        self.due_since = None
        if call is None:
            return
        call.arrived_at = self.active_at
        call.earliest_arrival_at = self.host.stalls.earliest_arrival(self.active_at)
        if call.streams_body:
            self._pass_pieces(call)
            call.body_complete = True
            self.set_body_wanted(True)
            if call.drop_body and not call.keep_alive:
                self.close()
            if call.active is not None:
                self.host.finish_body(call.active)
            return
        if call.body_size or call.method == b"PUT":
            call.forwarded_headers.append(b"Content-Length: %d\r\n" % call.body_size)
        self.waiting.append(call)
        if len(self.waiting) >= MAX_PIPELINED and self.transport is not None:
            self.pipeline_full = True
            self._read_on(False)

    def _fault(self, status: int, why: str) -> None:
        """What comes is no request that can be answered otherwise; nothing after it can be read."""
        if self.closing:
            return
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        log.info("a client's connection ends with %d: %s, from %s", status, why, peer)
        self.closing = True
        call = self.arriving or self._call()
        self.arriving, self.in_head = None, False
        if call is self.current:  # its body was on the way to a box: that is over, and not whole
            call.error_status, call.keep_alive, item = status, False, call.active
            if item is not None:
                self.host.client_gone(item)
            self.fail(call, status)
            return
        if call in self.waiting:
            self.waiting.remove(call)
        call.release_body()
        call.error_status, call.keep_alive = status, False
        if call.drop_body:
            self.close()
            return
        self.waiting.append(call)
