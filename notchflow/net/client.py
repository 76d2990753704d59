"""A client connection: requests are handled one after the other, and connections end without loss."""

from __future__ import annotations

import asyncio
import logging
import math
import os
import select
from typing import cast

from httptools import HttpRequestParser

from notchflow.net.exchange import CLIENT_CLOSED, ClientRequest
from notchflow.net.polling import pending_events, unsent_bytes
from notchflow.net.request_head import (
    PLAIN_TARGET,
    is_unambiguous_target,
    parse_info_size,
    parse_number_header,
)
from notchflow.net.request_reader import (
    HEAD_TIMEOUT_MS,
    MAX_BODY_BYTES,
    MAX_STARTS_PER_TURN,
    MIN_BODY_BYTES_PER_MS,
    ConnectionOwner,
)
from notchflow.net.response_writer import ResponseWriter

log = logging.getLogger(__name__)

MAX_BUDGET_MS = 60_000.0
IDLE_TIMEOUT_MS = 75_000.0
STALL_TIMEOUT_MS = 10_000.0
# Bytes that a client has not taken, at most, that do not pause what comes next.
MAX_UNCOUNTED_OUTPUT_BYTES = 64 << 10
LINGER_MS = 2_000.0  # for a lingering close, whatever arrives meanwhile
# A client that has half-closed the connection may have left for good: both look the same. For this long after
# its last byte its request may still begin, as a half-closed client may send the end of its stream along with
# the request. An attempt that begins over 100 ms after the client's end is a fault.
HALF_CLOSED_GRACE_MS = 50.0
CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
API_PREFIX = b"/api/"
DEFAULT_HOST_HEADER = b"Host: service.internal\r\n"
READINESS_PATH = b"/health/ready"


class ClientConnection(ResponseWriter):
    """A connection from a client."""

    __slots__ = (
        "starting",
        "handed_over",
        "half_closed",
        "closed_at",
    )

    def __init__(self, frontend: ConnectionOwner, handed_over: bool = False) -> None:
        super().__init__(frontend)
        self.handed_over = handed_over  # by another process, so it may be idle for as long as any other
        self.starting = False
        self.half_closed = False  # the client's end of file has been read
        self.closed_at = math.inf  # when a lingering close began

    def _new_request(self) -> ClientRequest:
        return ClientRequest(self, self.host)

    # -- transport callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: the connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=min(self.host.max_read_bytes, MAX_UNCOUNTED_OUTPUT_BYTES))
        self.parser = HttpRequestParser(self)
        self.active_at = self.host.clock.loop_time()
        self.request_due_since = None if self.handed_over else self.active_at
        self.frontend.clients[self] = None
        self.frontend.idle[self] = None

    def eof_received(self) -> bool:
        """asyncio: the client sends no more. Returns whether the connection stays open for responses."""
        self.half_closed = True
        if self.closed_at < math.inf:
            return False  # both sides have ended
        if self.current is self.arriving and not self.queued:
            return False  # no request is in progress, or its body ends early
        self.closing = True
        if self.current is not None and self.current.streams_body:
            now = self.host.clock.now()
            self.host.call_at(now + HALF_CLOSED_GRACE_MS, self._half_closed_grace_over, self.current)
        return True

    def _half_closed_grace_over(self, request: ClientRequest) -> None:
        """The client may have left: a long body that no node has whole yet must not begin any more."""
        if request.active is not None:
            self.host.end_incomplete(request.active)

    def has_left(self, now: float) -> bool:
        """Returns whether the client has closed the connection, or has half-closed it over
        HALF_CLOSED_GRACE_MS ago and may have left."""
        if self.transport is None:
            return True
        if self.half_closed:
            return self.current is None or now > self.current.earliest_arrival_at + HALF_CLOSED_GRACE_MS
        return self.was_paused and bool(pending_events(self.transport, CLOSED_EVENTS))

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection has closed, which ends every request on it."""
        self.transport = self.parser = None
        self.closing = True
        self._charge_output(0)
        requests = [c for c in (self.current, self.arriving, *self.queued) if c is not None]
        self.current = self.arriving = None
        self.queued.clear()
        self._keep_unparsed(b"")
        for request in requests:
            active = request.active
            request.finish(CLIENT_CLOSED)
            if active is not None:
                self.host.client_gone(active)
        self.frontend.connection_closed(self)

    def close(self) -> None:
        """Performs a lingering close (RFC 9112 section 9.6).

        Closing a socket with unread input sends a reset, which destroys a response in transit. So only the
        sending side is shut down, and input is read and dropped until the client closes its side too, or a
        time limit ends the wait.
        """
        self.closing = True
        self.frontend.idle.pop(self, None)
        transport = self.transport
        if transport is None or transport.is_closing() or self.closed_at < math.inf:
            return
        if self.half_closed:
            transport.close()  # all its input has been read
            return
        self.closed_at = self.host.clock.now()
        self.frontend.lingering[self] = None
        transport.write_eof()
        if not transport.is_reading():
            transport.resume_reading()

    def _drop_queued(self) -> None:
        """Drops the requests that were pipelined before a close."""
        for request in self.queued:
            request.finish(CLIENT_CLOSED)
        self.queued.clear()

    # -- requests and responses
    def has_no_unread_input(self) -> bool:
        """Returns whether the kernel holds no unread input. A close over unread input would lose a
        request."""
        assert self.transport is not None
        return not self.unparsed and not pending_events(self.transport, select.POLLIN)

    def hand_over(self) -> int | None:
        """Releases the connection to another process, between two requests: input that has been read would be
        lost. Returns a duplicate of its descriptor, or None if it must stay. An OSError says that the process
        has no descriptor left for the duplicate; the connection then goes on here."""
        transport = self.transport
        if (
            transport is None
            or transport.is_closing()
            or self.closing
            or self.half_closed
            or self.queued
            or self.unparsed
            or self.current is not None
            or self.arriving is not None
            or transport.get_write_buffer_size()
        ):
            return None
        descriptor = os.dup(transport.get_extra_info("socket").fileno())
        transport.pause_reading()
        self.closing = True
        # closes only this process's descriptor: the connection stays open in the other process
        transport.abort()
        return descriptor

    def _start_next(self) -> None:
        if self.starting:
            return
        self.starting = True
        starts = 0
        while self._may_start() and self.queued and starts < MAX_STARTS_PER_TURN:
            request = self.current = self.queued.popleft()
            starts += 1
            try:
                self._handle(request)
            except Exception:
                log.exception("unexpected error in a request")
                self.fail(request, 502)
        self.starting = False
        if not self._may_start():
            return  # goes on when the current request is answered, or the client has caught up
        if self.queued or self.unparsed:
            self._schedule_advance()
        elif self.pipeline_full:
            self.pipeline_full = False
            self._set_reading(True)

    def _may_start(self) -> bool:
        return self.current is None and not self.paused and self.transport is not None

    def _handle(self, request: ClientRequest) -> None:
        if request.local_reply is not None:
            self._send_local_reply(request, request.local_reply)
            return
        if request.error_status:
            self.fail(request, request.error_status)
            return
        if self.frontend.door is None and request.method == b"GET" and not request.body_not_held:
            plain = PLAIN_TARGET.fullmatch(request.url)
            if plain is not None:
                self._start_request(request, plain[1].decode("ascii"))
                return
        path = request.url.partition(b"?")[0]
        if path == READINESS_PATH:
            self._write_response(
                request,
                503 if self.host.lifecycle.draining or not self.host.list_is_current() else 200,
                [],
                [],
                0,
            )
            return
        if self.frontend.door is not None:
            reply = self.frontend.door.begin(request)
            if reply is not None:
                self._send_local_reply(request, reply)
            return
        if not is_unambiguous_target(request.url):
            self.fail(request, 400)
            return
        key = path.rpartition(b"/")[2]
        if not path.startswith(API_PREFIX) or not key:
            self.fail(request, 404)
        elif request.method not in (b"GET", b"PUT"):
            self.fail(request, 405)
        elif request.body_not_held:
            log.warning("buffer limit reached: request rejected")
            request.class_counts = self.host.metrics.begin_request(
                request.headers.get(b"x-call-class", b"").decode("latin-1")
            )
            self.refuse(request, 0.0)
        else:
            self._start_request(request, key.decode("latin-1"))

    def _start_request(self, request: ClientRequest, key: str) -> None:
        headers = request.headers
        try:
            if not headers.get(b"x-call-id"):
                raise ValueError("no X-Call-Id")
            budget = parse_number_header(headers, b"x-budget", 1e3) if b"x-budget" in headers else None
            hint = parse_number_header(headers, b"x-call-cost", 1e-3) if b"x-call-cost" in headers else None
        except ValueError:
            self.fail(request, 400)
            return
        cls = headers.get(b"x-call-class", b"").decode("latin-1")
        if not self.host.claim_id(request, cls):
            self.fail(request, 409)
            return
        # the platform's clients may omit Host, but the proxy may not (RFC 9112 section 3.2)
        if b"host" not in headers:
            request.forwarded_headers.append(DEFAULT_HOST_HEADER)
        if request.streams_body:
            self._frame_streamed_body(request)
        info, tenant = headers.get(b"x-call-info"), headers.get(b"x-caller")
        self.host.start_request(
            request,
            cls,
            budget if budget is None or budget < MAX_BUDGET_MS else MAX_BUDGET_MS,
            key,
            tenant.decode("latin-1") if tenant else None,
            hint,
            parse_info_size(info) if info else None,
            headers.get(b"x-again") == b"1",
            request.method == b"PUT",
        )
        if request is self.arriving:
            self.check_held_body(self.body_paused_at)

    def _frame_streamed_body(self, request: ClientRequest) -> None:
        """Frames a streamed body for the node. The request's deadline counts from the last byte of the body,
        which must arrive within the time allowed for its size."""
        length = (
            b"%d" % request.body_size if request.body_complete else request.headers.get(b"content-length")
        )
        request.chunked = length is None
        request.forwarded_headers.append(
            b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %b\r\n" % length
        )
        if not request.body_complete:
            remaining = (MAX_BODY_BYTES if length is None else int(length)) - request.body_size
            request.arrived_at = self.host.clock.now() + HEAD_TIMEOUT_MS + remaining / MIN_BODY_BYTES_PER_MS

    def _request_is_late(self, now: float) -> bool:
        """Whether a request that is due, or is arriving, takes too long: in all for what has come of it, or
        since its last byte."""
        assert self.request_due_since is not None
        due_ms = now - self.request_due_since
        if self.arriving is None:
            return due_ms > HEAD_TIMEOUT_MS
        if due_ms > HEAD_TIMEOUT_MS + self.arriving.body_size / MIN_BODY_BYTES_PER_MS:
            return True
        return now - self.active_at > HEAD_TIMEOUT_MS and self.has_no_unread_input()

    def close_if_timed_out(self, now: float) -> None:
        """Closes the connection if its client is too slow or has been idle for too long."""
        if self.transport is None:
            return
        if self.body_paused_at is not None and not self.closing:  # the node is slow, not the client
            request = self.current
            if (
                now - self.body_paused_at > STALL_TIMEOUT_MS
                and request is not None
                and request.active is not None
            ):
                self.host.body_stalled(request.active)
            return
        if self.closing or self.paused:
            self._update_delivery(now)
            if self.delivery.has_stalled(now, STALL_TIMEOUT_MS):
                self.transport.abort()
            if self.delivery.unsent_bytes:
                return
        if now - max(self.closed_at, self.delivery.moved_at) > LINGER_MS:
            self.transport.abort()
            return
        idle_ms = now - max(self.active_at, self.delivery.moved_at)
        in_progress = self.current is not None and self.current is not self.arriving and not self.paused
        if self.closing and not in_progress and not self.queued and idle_ms > LINGER_MS:
            self.transport.abort()
        elif self.paused and idle_ms > STALL_TIMEOUT_MS:
            self.transport.abort()
        elif not in_progress and self.request_due_since is not None and self._request_is_late(now):
            if self.arriving is not None and not self.closing:
                self._reject(408, "request timed out")
                self._start_next()
            else:
                self._close_unless_unread(now - self.request_due_since)
        elif not in_progress and idle_ms > IDLE_TIMEOUT_MS:
            self._close_unless_unread(idle_ms)

    def _update_delivery(self, now: float) -> None:
        assert self.transport is not None
        self.delivery.update(now, unsent_bytes(self.transport))

    def is_delivering(self, now: float) -> bool:
        """Returns whether the client is still taking a response that would be cut off with this process."""
        if self.transport is None:
            return False
        active = self.current.active if self.current is not None else None
        if active is not None and active.streaming_attempt is not None:
            return True
        self._update_delivery(now)
        return bool(self.transport.get_write_buffer_size()) and not self.delivery.has_stalled(
            now, STALL_TIMEOUT_MS
        )

    def may_close_for_room(self) -> bool:
        """Returns whether a close would lose neither a request nor a part of a response. The kernel goes on
        sending what it holds, unless there is unread input."""
        return (
            self.transport is not None
            and not self.transport.get_write_buffer_size()
            and self.has_no_unread_input()
        )

    def _close_unless_unread(self, silent_ms: float) -> None:
        """Closes a connection on which no request arrives, unless one lies unread."""
        if self.closed_at < math.inf or not self.has_no_unread_input():
            return
        assert self.transport is not None
        peer = self.transport.get_extra_info("peername")
        log.info("a client's connection ends: no request for %.0f ms, from %s", silent_ms, peer)
        self.close()
