"""A connection to a node, which carries one exchange at a time and parses its response."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
import struct
from collections.abc import Sequence
from typing import Protocol, cast

from httptools import HttpParserError, HttpResponseParser

from notchflow.net.bounded_reads import BoundedReads
from notchflow.net.exchange import HOP_BY_HOP, ConnectionHost, UpstreamResponse
from notchflow.net.idle_limit import IdleLimit
from notchflow.net.polling import pending_events, unsent_bytes

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 32 << 10
MAX_RESPONSE_BYTES = 32 << 20  # no value is longer: more is a fault of the node, and another one may serve
STALE_CONNECTION_MS = 50.0  # a reused connection that fails this soon was closed while idle
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, without time to send the rest
RESPONSE_START, END_OF_HEAD = b"HTTP/1.", b"\r\n\r\n"
CONSUMED_HEADERS = frozenset({b"x-rejected", b"x-hit", b"x-load-report"})


class Exchange(Protocol):
    """One request and its response on an upstream connection. `response_received` or `connection_failed` ends
    it, once."""

    connection: Connection | None
    request_incomplete: bool  # more of the body will follow

    @property
    def is_held(self) -> bool:
        """Whether what is written of the request is held, and counted, elsewhere as well."""

    @property
    def max_buffered(self) -> int:
        """The longest response body that is held until it is complete, in bytes."""

    def request_data(self, now: float) -> list[bytes]:
        """The bytes to send; the remaining budget follows from `now`."""

    def begin_stream(self, response: UpstreamResponse) -> bool:
        """A response too long to buffer has begun; whether it is wanted."""

    def stream_data(self, data: bytes) -> None:
        """A part of a streamed response."""

    def response_received(self, response: UpstreamResponse, sent: bool) -> None:
        """A complete response. `sent`: the last byte of the request had been written before."""

    def connection_failed(self, sent: bool) -> None:
        """The connection failed. `sent`: the last byte of the request had been written."""

    def may_start(self, now: float) -> bool:
        """Whether it may still start; asked before the first byte is sent on a new connection."""

    def await_descriptor(self) -> None:
        """No descriptor is left to dial with."""

    def not_sent(self, _: object = None) -> None:
        """Nothing was sent, which is not the node's fault."""

    def request_written(self) -> None:
        """The last byte of the request has been passed to the kernel."""

    def set_write_blocked(self, on: bool) -> None:
        """The node reads more slowly than the request arrives, or has caught up."""


class ConnectionPool(Protocol):
    """The pool that a connection belongs to."""

    host: ConnectionHost
    idle_limit: IdleLimit

    def opened(self, connection: Connection) -> None:
        """The connection has been established."""

    def closed(self, connection: Connection) -> None:
        """The connection has been closed."""

    def release(self, connection: Connection) -> None:
        """The exchange has ended, and the connection can be reused."""

    def unsolicited_response(self, connection: Connection) -> None:
        """A response has arrived on a connection without an exchange."""


class Connection(BoundedReads):
    """A connection to a node, or to discovery, which carries one exchange at a time."""

    __slots__ = (
        "pool",
        "transport",
        "parser",
        "exchange",
        "response",
        "in_head",
        "head_size",
        "complete",
        "unexpected_data",
        "streaming",
        "ends_at_eof",
        "keep_alive",
        "request_sent",
        "holds_descriptor",
        "charged_bytes",
        "charged_output",
        "idle_since",
        "last_read_at",
        "begun_at",
        "idle_ms",
        "paused",
        "read_limit_reached",
    )

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.memory = pool.host
        self.transport: asyncio.Transport | None = None
        self.parser: HttpResponseParser | None = None
        self.exchange: Exchange | None = None
        self.response = UpstreamResponse()
        self.in_head = self.complete = self.unexpected_data = self.streaming = self.ends_at_eof = (
            self.keep_alive
        ) = False
        self.head_size = 0
        self.request_sent = False  # the last byte of the request has been passed to the kernel
        self.holds_descriptor = True  # counted against the limit on descriptors
        self.charged_bytes = 0  # memory of the response that is counted against the limit
        self.charged_output = 0  # memory of a request that is counted there
        self.idle_since = self.last_read_at = self.begun_at = 0.0
        self.idle_ms: float | None = None
        self.paused = False  # the client reads more slowly than the response arrives
        self.read_limit_reached = False  # enough was read in this iteration of the event loop

    # -- the transport's callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: the connection is established. The pool is notified in the next loop iteration."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # resume_writing is called once the last byte has gone
        self.pool.host.call_soon(self._opened, None)

    def _opened(self, _: object) -> None:
        """One loop iteration later, when a client's close that was ready at the same time has been read."""
        if self.transport is not None:
            self.pool.opened(self)

    def pause_writing(self) -> None:
        """asyncio: the node reads more slowly than the request arrives."""
        if self.exchange is not None and self.exchange.request_incomplete:
            self.exchange.set_write_blocked(True)
            if not self.exchange.is_held and self.transport is not None:
                self._charge_output(self.transport.get_write_buffer_size())

    def _charge_output(self, size: int) -> None:
        """Counts what is written and not passed to the kernel yet."""
        self.memory.buffered_bytes += size - self.charged_output
        self.charged_output = size

    def resume_writing(self) -> None:
        """asyncio: everything written has been passed to the kernel."""
        self._charge_output(0)
        if self.exchange is not None and self.exchange.request_incomplete:
            self.exchange.set_write_blocked(False)
        elif not self.request_sent:
            self.request_sent = True
            if self.exchange is not None:
                self.exchange.request_written()

    def send_body(self, pieces: Sequence[bytes]) -> None:
        """Sends further pieces of the body; none, if the request has just become complete."""
        if self.transport is None or self.exchange is None:
            return
        if pieces:
            self.transport.writelines(pieces)
        self._check_request_sent()

    def set_paused(self, on: bool) -> None:
        """Pauses or resumes reading the response, as its client is slow or has caught up."""
        self.paused = on
        self._update_reading()

    def _pause_until_next_turn(self) -> None:
        """Leaves the rest of a long response to the next loop iteration; the loop would read up to 8 MiB at
        once."""
        if not self.read_limit_reached and self.transport is not None:
            self.read_limit_reached = True
            self._update_reading()
            self.pool.host.call_soon(self._next_turn, None)

    def _next_turn(self, _: object = None) -> None:
        self.read_limit_reached = False
        self._update_reading()

    def _update_reading(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if self.paused or self.read_limit_reached:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _check_request_sent(self) -> None:
        # A failed write empties the buffer as well, but starts to close the transport.
        assert self.transport is not None and self.exchange is not None
        if (
            not self.request_sent
            and not self.exchange.request_incomplete
            and not self.transport.get_write_buffer_size()
            and not self.transport.is_closing()
        ):
            self.request_sent = True
            self.exchange.request_written()

    def data_received(self, data: bytes) -> None:
        """asyncio: bytes of the response."""
        if self.exchange is None or self.parser is None:
            if data.startswith(RESPONSE_START) and END_OF_HEAD in data:
                self.pool.unsolicited_response(self)
            self.close()
            return
        self.last_read_at = self.pool.host.clock.loop_time()
        try:
            self.parser.feed_data(data)
        except HttpParserError as error:
            if not self.complete:
                log.warning("malformed response from a node: %s", error)
                self._end_failed()
                return
            self.unexpected_data = True
        if self.complete:
            self._end_answered()
        elif self.streaming:
            self._pause_until_next_turn()
        elif self.in_head:
            self.head_size += len(data)
            if self.head_size > MAX_HEAD_BYTES:
                log.warning("response head from a node exceeds %d bytes", MAX_HEAD_BYTES)
                self._end_failed()

    def eof_received(self) -> bool:
        """asyncio: end of stream, which completes a response without a length."""
        if self.exchange is not None and self.ends_at_eof and not self.in_head:
            self.unexpected_data = True
            self._end_answered()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection is closed, which ends its exchange."""
        self.transport = None
        self._charge_output(0)
        self.parser = None  # it refers to bound methods of this object: a reference cycle
        self.pool.closed(self)
        self._end_failed()

    # -- the exchange
    def start(self, exchange: Exchange, now: float, idle_ms: float | None = None) -> None:
        """Starts an exchange. `idle_ms`: for how long the connection was idle, none for a new one."""
        assert self.transport is not None
        if self.parser is None:
            self.parser = HttpResponseParser(self)
        self.begun_at, self.idle_ms = now, idle_ms
        self.exchange, exchange.connection = exchange, self
        self.response = UpstreamResponse()
        self.in_head, self.head_size = True, 0
        self.complete = self.unexpected_data = self.streaming = self.ends_at_eof = self.keep_alive = (
            self.request_sent
        ) = False
        if self.paused:  # the last response ended while its client was too slow for it
            self.set_paused(False)
        self.transport.writelines(exchange.request_data(now))
        self._check_request_sent()

    def abandon(self) -> None:
        """Abandons the exchange and closes the connection, as its response is no longer wanted. What the node
        has not received of the request is not delivered any more."""
        if self.unsent_bytes():
            self._discard_unsent()
        self.exchange = None
        self._release_response()
        self.close()

    def _discard_unsent(self) -> None:
        """Makes the close reset the connection: otherwise the kernel would go on to deliver what it holds."""
        assert self.transport is not None
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def is_closing(self) -> bool:
        """Whether the connection is closed or about to be."""
        return self.transport is None or self.transport.is_closing()

    def has_unread_input(self) -> bool:
        """Whether the kernel holds input that has not been read, the end of the stream included."""
        return self.transport is not None and bool(pending_events(self.transport, select.POLLIN))

    def has_unwritten_output(self) -> bool:
        """Whether a part of what was written is still held in this process."""
        return self.transport is not None and self.transport.get_write_buffer_size() > 0

    def unsent_bytes(self) -> int:
        """The number of bytes written that the peer's machine has not acknowledged."""
        return unsent_bytes(self.transport) if self.transport is not None else 0

    def close(self) -> None:
        """Closes the connection at once."""
        if self.transport is not None:
            self.transport.abort()

    def _end_failed(self) -> None:
        exchange, self.exchange = self.exchange, None
        self._release_response()
        self.close()
        if exchange is not None:
            no_response = self.in_head and not self.head_size
            self.pool.idle_limit.record_use(
                self.idle_ms, no_response and self.pool.host.clock.now() < self.begun_at + STALE_CONNECTION_MS
            )
            exchange.connection = None
            exchange.connection_failed(self.request_sent)

    def _end_answered(self) -> None:
        exchange, self.exchange = self.exchange, None
        assert exchange is not None
        exchange.connection = None
        response, sent = self.response, self.request_sent
        reusable = sent and self.keep_alive and not self.unexpected_data
        self.pool.idle_limit.record_use(self.idle_ms, False)
        if reusable and self.transport is not None and not self.transport.is_closing():
            self.pool.release(self)
        else:
            self.close()
        self._release_response()  # what its client does not take is counted there
        exchange.response_received(response, sent)

    def _release_response(self) -> None:
        """Counts the memory of the response no longer."""
        self.memory.buffered_bytes -= self.charged_bytes
        self.charged_bytes = 0

    # -- the parser's callbacks
    def on_message_begin(self) -> None:
        """Parser: a response begins."""
        if self.complete:
            self.unexpected_data = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser: a header field."""
        if not self.in_head or self.complete:
            return  # trailers, or an unsolicited second response
        lowered, response = name.lower(), self.response
        if lowered in CONSUMED_HEADERS or lowered in HOP_BY_HOP:
            response.headers[lowered] = value
        else:
            response.forwarded_headers.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Parser: the head is complete."""
        if self.complete or self.parser is None or self.exchange is None:
            return
        code = self.parser.get_status_code()
        response = self.response
        if 100 <= code < 200:
            response.headers.clear()
            response.forwarded_headers.clear()
            return  # an interim response: the final one follows
        self.in_head = False
        response.code, response.begun_at = code, self.last_read_at
        if b"content-length" in response.headers:
            response.length = int(response.headers[b"content-length"])
        elif b"transfer-encoding" not in response.headers:
            self.ends_at_eof = True
        connection = response.headers.get(b"connection")
        if connection is not None and response.forwarded_headers:
            drop = tuple(t.strip().lower() + b":" for t in connection.split(b","))
            response.forwarded_headers = [
                line for line in response.forwarded_headers if not line.lower().startswith(drop)
            ]
        if response.length is None or response.length <= self.exchange.max_buffered:
            return
        if response.length > MAX_RESPONSE_BYTES:
            log.warning("response from a node announces %d bytes, more than allowed", response.length)
            self._end_failed()
        else:
            self._begin_stream()

    def on_body(self, data: bytes) -> None:
        """Parser: a part of the body."""
        if self.complete or self.exchange is None:
            return
        response = self.response
        response.body_size += len(data)
        if self.streaming:
            self.exchange.stream_data(data)
            return
        response.body.append(data)
        self.memory.buffered_bytes += len(data)
        self.charged_bytes += len(data)
        if response.body_size > self.exchange.max_buffered:
            self._begin_stream()

    def on_message_complete(self) -> None:
        """Parser: the response is complete."""
        if not self.in_head and self.parser is not None and self.exchange is not None:
            self.complete = True
            self.keep_alive = self.parser.should_keep_alive()  # not available after this callback

    def begin_stream_early(self) -> bool:
        """Begins to pass on a 200 response of unknown length whose end has not arrived. Returns whether there
        is such a response."""
        response = self.response
        if (
            self.exchange is None
            or self.in_head
            or self.complete
            or self.streaming
            or response.code != 200
            or response.length is not None
        ):
            return False
        self._begin_stream()
        return self.streaming

    def _begin_stream(self) -> None:
        assert self.exchange is not None
        self.streaming = self.exchange.begin_stream(self.response)
        self._release_response()
        self.response.body.clear()
