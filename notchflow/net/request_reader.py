"""Reads requests from a client connection and bounds the size of heads, framing and bodies, and the time they
take."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Any, Protocol

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from notchflow.net.bounded_reads import MIN_READ_BYTES, BoundedReads
from notchflow.net.exchange import HOP_BY_HOP, ClientHost, ClientRequest, Gateway
from notchflow.net.polling import unread_bytes
from notchflow.net.request_head import (
    END_TO_END_HEADERS,
    FRAMING_HEADERS,
    PARSED_HEADERS,
    REPLACED_HEADERS,
    SINGLETON_HEADERS,
    SUPPORTED_VERSIONS,
)

log = logging.getLogger(__name__)

MAX_HEAD_BYTES = 32 << 10
MAX_BODY_BYTES = 32 << 20
# a longer body is streamed to a node as it arrives, and buffered as far as memory allows
STREAM_BODY_BYTES = 256 << 10
MAX_PIPELINED = 16
MAX_STARTS_PER_TURN = 4  # requests of one client, so that others are served in between
# A request must arrive within these bounds, so that clients that send nothing or half a request hold no
# descriptor. A head may take 2 s; a body may arrive at half the rate of the slowest clients, judged by the
# bytes received so far.
HEAD_TIMEOUT_MS, MIN_BODY_BYTES_PER_MS = 2_300.0, 32.0
# A longer read is parsed in slices, so that the bounds on framing hold within it, and so that few requests
# are parsed ahead of those that may be started.
BODY_SLICE_BYTES, HEAD_SLICE_BYTES = 8 << 10, 1 << 10
MAX_FIELDS = 256
FIELD_OVERHEAD_BYTES = 64  # of memory for a header field or a piece of a body, beside its text
SMALL_HEAD_BYTES = 1 << 10  # memory for a head that is read whole with no more than this is not counted
# bytes of a chunked body that are not content: in all, and for each chunk
MAX_FRAMING_BYTES, FRAMING_BYTES_PER_CHUNK = 4 << 10, 32
# What a client's own kernel may hold of a body that it has written to the end, when this one reads no more.
CLIENT_KERNEL_BYTES = 4 << 20
HELD_BODY_CHECK_MS = 50.0  # between two looks at how much of a body that is not read has come
JOIN_BELOW_BYTES = 1 << 10  # smaller parts of a body are joined, as each bytes object has a memory overhead


class ConnectionOwner(Protocol):
    """What a client connection needs of the frontend that accepted it."""

    host: ClientHost
    door: Gateway | None
    clients: dict[Any, None]
    idle: dict[Any, None]
    lingering: dict[Any, None]

    def connection_closed(self, client: Any) -> None:
        """Forgets a client connection that has closed."""


class RequestReader(BoundedReads):
    """The reading half of a client connection: parses requests and appends them to `queued`."""

    __slots__ = (
        "frontend",
        "host",
        "transport",
        "parser",
        "arriving",
        "in_head",
        "head_size",
        "slice_size",
        "queued",
        "current",
        "closing",
        "active_at",
        "request_due_since",
        "framing_bytes",
        "chunk_count",
        "pipeline_full",
        "unparsed",
        "charged_input",
        "advance_scheduled",
        "body_paused_at",
        "read_limit_reached",
        "was_paused",
        "unsent_pieces",
    )

    def __init__(self, frontend: ConnectionOwner) -> None:
        self.frontend = frontend
        self.host = self.memory = frontend.host
        self.transport: asyncio.Transport | None = None
        self.parser: HttpRequestParser | None = None
        self.arriving: ClientRequest | None = None
        self.in_head = False
        self.head_size = self.framing_bytes = self.chunk_count = 0
        self.slice_size = 0  # of the input that is being parsed
        self.queued: deque[ClientRequest] = deque()
        self.current: ClientRequest | None = None
        self.pipeline_full = False  # reading pauses until all that has been read is parsed and started
        self.unparsed = b""  # input that waits until the queue is shorter
        self.charged_input = 0  # bytes of it that are counted as held in memory
        self.advance_scheduled = False  # parsing goes on in the next turn of the loop
        self.body_paused_at: float | None = None  # since when no more of the body is wanted
        self.read_limit_reached = False  # reading pauses until the next turn of the loop
        self.was_paused = False  # reading was paused before, so an end of file may be unread
        self.unsent_pieces: list[bytes] = []  # parts of a streamed body that are not forwarded yet
        self.closing = False
        self.active_at = 0.0
        # when the current wait for a request began: for the first one, or for one that has begun to arrive
        self.request_due_since: float | None = None

    # -- implemented by ClientConnection
    def _new_request(self) -> ClientRequest:
        """Returns a new request, whose first bytes have arrived."""
        raise NotImplementedError

    def _start_next(self) -> None:
        """Starts the next queued request, if none is in progress."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes the connection once everything written has been sent."""
        raise NotImplementedError

    def fail(self, request: ClientRequest, status: int) -> None:
        """Answers that the request failed, which leaves open whether it ran."""
        raise NotImplementedError

    def has_left(self, now: float) -> bool:
        """Returns whether the client has closed the connection."""
        raise NotImplementedError

    # -- input
    def data_received(self, data: bytes) -> None:
        """asyncio: bytes have arrived. Parses them, then starts the next request."""
        self.active_at = self.host.clock.loop_time()
        if self.closing or self.parser is None:
            return  # input after an error is read and dropped, so that no reset destroys the response
        self.frontend.idle.pop(self, None)
        self.unparsed = self.unparsed + data if self.unparsed else data
        if len(data) >= MIN_READ_BYTES:
            self._pause_until_next_turn()
        self._advance()

    def _advance(self, _: object = None) -> None:
        """Parses what has been read and starts requests, as far as a turn of the loop allows."""
        self.advance_scheduled = False
        if self.transport is None:
            return
        self._parse_unparsed()
        if self.arriving is not None and self.arriving.streams_body:
            self._forward_parts(self.arriving)
        self._start_next()
        if not (self.current or self.arriving or self.queued or self.unparsed or self.closing):
            self.frontend.idle[self] = None  # the rest of a request that was already answered has arrived

    def _parse_unparsed(self) -> None:
        """Parses what has been read, up to the length of the queue; the rest waits, and so does what the
        client sends."""
        data, at = self.unparsed, 0
        while at < len(data) and not self.closing and len(self.queued) < MAX_PIPELINED:
            is_body = self.arriving is not None and not self.in_head
            end = at + (BODY_SLICE_BYTES if is_body else HEAD_SLICE_BYTES)
            self._parse(data[at:end] if at or end < len(data) else data)
            at = end
        self._keep_unparsed(b"" if self.closing else data[at:])
        if self.unparsed or len(self.queued) >= MAX_PIPELINED:
            self.pipeline_full = True
            self._set_reading(False)

    def _keep_unparsed(self, rest: bytes) -> None:
        """Keeps what is not parsed yet, and counts it as held in memory."""
        self.unparsed = rest
        self.host.buffered_bytes += len(rest) - self.charged_input
        self.charged_input = len(rest)

    def _schedule_advance(self) -> None:
        """Goes on in the next turn of the loop, after other clients."""
        if not self.advance_scheduled:
            self.advance_scheduled = True
            self.host.call_soon(self._advance, None)

    def _parse(self, data: bytes) -> None:
        if self.parser is None:
            return
        request = self.arriving
        before = request.body_size if request is not None else 0
        self.slice_size = len(data)
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            self.closing = True  # the request itself is valid HTTP/1.1; what follows it cannot be parsed
        except HttpParserError as error:
            self._reject(400, f"malformed request: {error}")
        if self.in_head:
            self.head_size += len(data)
            if self.head_size >= MAX_HEAD_BYTES:
                self._reject(431, f"head larger than {MAX_HEAD_BYTES} bytes")
            elif self.arriving is not None:
                fields = len(self.arriving.forwarded_headers)
                self._charge_head(self.arriving, self.head_size + fields * FIELD_OVERHEAD_BYTES)
        elif request is not None and request is self.arriving:  # within a body
            self.framing_bytes += len(data) - (request.body_size - before)
            if self.framing_bytes > MAX_FRAMING_BYTES + FRAMING_BYTES_PER_CHUNK * self.chunk_count:
                self._reject(400, "more framing than content")
        if self.closing:
            self.parser = None  # with the part of a head that it holds: nothing more is parsed

    # -- parser callbacks
    def on_message_begin(self) -> None:
        """Parser: a request begins."""
        self.arriving = self._new_request()
        self.in_head, self.head_size, self.framing_bytes, self.chunk_count = True, 0, 0, 0
        self.request_due_since = self.active_at

    def on_url(self, url: bytes) -> None:
        """Parser: a part of the request target."""
        if self.arriving is not None:
            self.arriving.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser: a header or a trailer field."""
        request, lower_name = self.arriving, name.lower()
        if request is None or not self.in_head:
            return  # a trailer field
        if lower_name in PARSED_HEADERS:
            if lower_name in SINGLETON_HEADERS and lower_name in request.headers:
                request.error_status = 400
            request.headers[lower_name] = value
            if lower_name in REPLACED_HEADERS:
                return
        elif lower_name in HOP_BY_HOP:
            request.headers[lower_name] = (
                b"%b, %b" % (request.headers[lower_name], value) if lower_name in request.headers else value
            )
            return
        request.forwarded_headers.append(b"%b: %b\r\n" % (name, value))
        if len(request.forwarded_headers) > MAX_FIELDS:
            self._reject(431, f"more than {MAX_FIELDS} header fields")

    def _charge_head(self, request: ClientRequest, size: int) -> None:
        """Counts the memory of a head that is long, or not complete yet, against the limit."""
        if size > request.charged_head:
            self.host.buffered_bytes += size - request.charged_head
            request.charged_head = size
            if self.host.buffered_bytes > self.host.buffer_limit:
                self._reject(503, "buffer limit reached")

    def on_headers_complete(self) -> None:
        """Parser: the head is complete."""
        request, parser = self.arriving, self.parser
        if request is None or parser is None:
            return
        self.in_head = False
        request.method = parser.get_method()
        version = parser.get_http_version()
        if version not in SUPPORTED_VERSIONS:
            self._reject(400, f"unsupported HTTP version {version}")
            return
        request.chunks_allowed = version == "1.1"
        request.keep_alive = request.chunks_allowed and parser.should_keep_alive()
        if not FRAMING_HEADERS.isdisjoint(request.headers) and not self._check_framing(request):
            return
        if self.head_size or self.slice_size > SMALL_HEAD_BYTES:
            fields = request.forwarded_headers
            size = sum(map(len, fields)) + len(fields) * FIELD_OVERHEAD_BYTES
            if size > SMALL_HEAD_BYTES:
                self._charge_head(request, size)
            if self.arriving is None:
                return
        if self.frontend.door is not None and not request.error_status:
            self.frontend.door.head(request)
        if int(request.headers.get(b"content-length", 0)) > MAX_BODY_BYTES:
            self._reject(413, f"body larger than {MAX_BODY_BYTES} bytes")
        elif b"expect" in request.headers:
            self._handle_expect(request)

    def _check_framing(self, request: ClientRequest) -> bool:
        """Evaluates Connection and Transfer-Encoding. Returns false where the coding is not supported."""
        named = request.headers.get(b"connection")
        if named is not None and b"," in named or named and named.lower() not in (b"keep-alive", b"close"):
            tokens = {t.strip().lower() for t in named.split(b",")} - END_TO_END_HEADERS
            drop = tuple(t + b":" for t in tokens if t)
            request.forwarded_headers = [
                line for line in request.forwarded_headers if not line.lower().startswith(drop)
            ]
        coding = request.headers.get(b"transfer-encoding")
        if coding is not None and not request.chunks_allowed:
            self._reject(400, "transfer coding in HTTP/1.0")  # RFC 9112 section 6.1: the framing is faulty
            return False
        if coding is not None and coding.strip().lower() != b"chunked":
            # The node would not be told of the coding.
            self._reject(501, f"unsupported transfer coding {coding!r:.60}")
            return False
        return True

    def _handle_expect(self, request: ClientRequest) -> None:
        """Handles Expect: 100-continue: asks for the body, or rejects the request before it is sent."""
        if request.local_reply is not None:
            # The client need not send the body.
            self._reject(request.local_reply.status, "rejected before its body was sent")
        elif request.headers[b"expect"].lower() == b"100-continue":
            if self.current is None and not self.queued and self.transport is not None:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Parser: a part of the body."""
        request = self.arriving
        if request is None:
            return
        request.body_size += len(data)
        if request.body_size > MAX_BODY_BYTES:
            self._reject(413, f"body larger than {MAX_BODY_BYTES} bytes")
        elif request.drop_body:
            return
        elif request.streams_body or self._should_stream(request, len(data)):
            self._stream_body(request, data)
        elif request.local_reply is None and not request.body_not_held:
            full = self.host.buffered_bytes + len(data) > self.host.buffer_limit
            if full or (request.ticket is not None and not request.ticket.charge(len(data))):
                request.body_not_held = True
                request.release_body()
            else:
                self._hold(request, data)

    def _hold(self, request: ClientRequest, data: bytes) -> None:
        """Holds a part of a body in memory and counts it."""
        size = len(data)
        if request.body and size < JOIN_BELOW_BYTES and len(request.body[-1]) < JOIN_BELOW_BYTES:
            request.body[-1] += data
        else:
            if request.body:  # one piece is no more than its text
                size += FIELD_OVERHEAD_BYTES
            request.body.append(data)
        self.host.buffered_bytes += size
        request.charged_bytes += size

    def _should_stream(self, request: ClientRequest, size: int) -> bool:
        """Decides whether the body is streamed to the node from here on."""
        if (
            self.frontend.door is not None
            or request.method != b"PUT"
            or request.error_status
            or request.body_not_held
        ):
            return False
        over_limit = self.host.buffered_bytes + size > self.host.buffer_limit
        if (
            request.body_size > STREAM_BODY_BYTES
            or over_limit
            and int(request.headers.get(b"content-length", 0)) > STREAM_BODY_BYTES
        ):
            request.streams_body = True
            self.queued.append(request)
        return request.streams_body

    def _stream_body(self, request: ClientRequest, data: bytes) -> None:
        """Takes a part of a streamed body. It is also buffered while memory allows, so that the whole body
        can be sent to another node; beyond that, reading pauses until a node reads."""
        host, active = self.host, request.active
        if not request.body_start_dropped:
            self._hold(request, data)
        if active is not None:
            self.unsent_pieces.append(data)
        if not request.body_start_dropped and host.buffered_bytes > host.buffer_limit:
            if active is not None and host.try_discard_body(active):
                self._forward_parts(request)
                request.body_start_dropped = True
                request.release_body()
            else:
                self.set_body_wanted(False)

    def _forward_parts(self, request: ClientRequest) -> None:
        """Forwards the parts read so far in one write."""
        pieces, self.unsent_pieces = self.unsent_pieces, []
        if pieces and request.active is not None:
            self.host.body_received(request.active, pieces)

    def _pause_until_next_turn(self) -> None:
        """Leaves the rest of what has come for the next turn of the loop. Otherwise the loop reads a socket
        that has more data up to 32 times in a row, 8 MiB, while all other clients wait."""
        if not self.read_limit_reached:
            self.read_limit_reached = True
            self._set_reading(False)
            self.host.call_soon(self._resume_next_turn, None)

    def _resume_next_turn(self, _: object = None) -> None:
        self.read_limit_reached = False
        self._set_reading(True)

    def set_body_wanted(self, on: bool) -> None:
        """Resumes or pauses reading the body. While it is paused, the time limit for the client does not
        run, but its budget does if it may have sent all of the body."""
        if on is (self.body_paused_at is None) or self.transport is None or self.transport.is_closing():
            return
        now = self.host.clock.now()
        if on:
            assert self.body_paused_at is not None
            if self.request_due_since is not None:
                self.request_due_since += now - self.body_paused_at
            if self.arriving is not None and self.arriving.active is not None:
                self.host.release_body(self.arriving.active)
            self.body_paused_at, self.active_at = None, now
        else:
            self.body_paused_at = now
            self.check_held_body(now)
        self._set_reading(on)

    def check_held_body(self, paused_at: float | None) -> None:
        """Looks after a body that is not read, every HELD_BODY_CHECK_MS. The time since `paused_at` counts as
        the client's if it may have sent the rest already; a client that has left ends the request."""
        request = self.arriving
        if request is None or request.active is None or paused_at is None or paused_at != self.body_paused_at:
            return
        now = self.host.clock.now()
        if now >= paused_at + HELD_BODY_CHECK_MS and self.has_left(now):
            self.host.end_incomplete(request.active)
            return
        if self._may_be_sent(request):
            self.host.hold_body(request.active, paused_at)
        self.host.call_at(now + HELD_BODY_CHECK_MS, self.check_held_body, paused_at)

    def _may_be_sent(self, request: ClientRequest) -> bool:
        """Whether the client may have written the whole body: what this kernel has not received yet may lie
        in the client's own. The length of a chunked body is not known."""
        length = request.headers.get(b"content-length")
        if length is None or self.transport is None:
            return True
        return int(length) - request.body_size - unread_bytes(self.transport) <= CLIENT_KERNEL_BYTES

    def _set_reading(self, on: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if not on:
            self.was_paused = True
            self.transport.pause_reading()
        elif not self.pipeline_full and self.body_paused_at is None and not self.read_limit_reached:
            self.transport.resume_reading()

    def on_chunk_header(self) -> None:
        """Parser: a chunk begins. Chunks are counted for the bound on framing."""
        self.chunk_count += 1

    def on_message_complete(self) -> None:
        """Parser: the request is complete."""
        request, self.arriving = self.arriving, None
        self.request_due_since = None
        if request is None:
            return
        request.arrived_at = self.active_at
        request.earliest_arrival_at = self.host.stalls.earliest_arrival(self.active_at)
        if request.streams_body:
            self._forward_parts(request)
            request.body_complete = True
            self.set_body_wanted(True)
            if request.drop_body and not request.keep_alive:
                self.close()
            if request.active is not None:
                self.host.finish_body(request.active)
            return
        if request.body_size or request.method == b"PUT":
            request.forwarded_headers.append(b"Content-Length: %d\r\n" % request.body_size)
        self.queued.append(request)

    def _reject(self, status: int, reason: str) -> None:
        """Rejects input that cannot be handled as a request. The framing of what follows is unknown, so
        nothing after it is parsed."""
        if self.closing:
            return
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        log.info("a client's connection ends with %d: %s, from %s", status, reason, peer)
        self.closing = True
        request = self.arriving or self._new_request()
        self.arriving, self.in_head = None, False
        if request is self.current:  # its body was being streamed to a node, and will stay incomplete
            request.error_status, request.keep_alive, active = status, False, request.active
            if active is not None:
                self.host.client_gone(active)
            self.fail(request, status)
            return
        if request in self.queued:
            self.queued.remove(request)
        request.release_body()
        request.error_status, request.keep_alive = status, False
        if request.drop_body:
            self.close()
            return
        self.queued.append(request)
