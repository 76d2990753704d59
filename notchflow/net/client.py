"""A client's connection: its requests taken up one after the other, each answered, backpressure both ways."""

from __future__ import annotations

import asyncio
import logging
import math
import os
import select
from typing import cast

from httptools import HttpRequestParser

from notchflow.net.exchange import CLIENT_CLOSED, REASON_PHRASES, ClientRequest, LocalReply, UpstreamResponse
from notchflow.net.request_head import PLAIN, info_size, number_of, readable
from notchflow.net.request_reader import ARRIVE_MS, BODY_MAX, BODY_RATE, Entrance, RequestReader

log = logging.getLogger(__name__)

BUDGET_MAX_MS = 60_000.0
IDLE_TIMEOUT_MS = 75_000.0
STALL_TIMEOUT_MS = 10_000.0
LINGER_MS = 2_000.0  # of a lingering close, whatever comes meanwhile
# A client that sends no more may have gone for good: both look the same. For so long after its last byte came
# what it asked for may still begin, as a half-closed client may send its end along with its request; an
# attempt over 100 ms after the end is a fault.
HALF_CLOSED_GRACE_MS = 50.0
GONE = select.POLLRDHUP | select.POLLHUP | select.POLLERR
PREFIX = b"/api/"
NO_HOST = b"Host: service.internal\r\n"
READY = b"/health/ready"


class ClientConnection(RequestReader):
    """A client's connection."""

    __slots__ = ("stepping", "paused", "chunked", "charged", "known", "half_closed", "closed_at")

    def __init__(self, frontend: Entrance, known: bool = False) -> None:
        super().__init__(frontend)
        self.known = known  # another process served it before: it may be idle as long as any
        self.stepping = False
        self.paused = False
        self.chunked = False
        self.charged = 0
        self.half_closed = False  # the client's end has been read
        self.closed_at = math.inf  # when a lingering close began

    def _call(self) -> ClientRequest:
        return ClientRequest(self, self.host)

    # -- the transport's callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: the connection is open."""
        self.transport = cast(asyncio.Transport, transport)
        self.parser = HttpRequestParser(self)
        self.active_at = self.host.clock.loop_time()
        self.due_since = None if self.known else self.active_at
        self.frontend.clients[self] = None
        self.frontend.idle[self] = None

    def eof_received(self) -> bool:
        """asyncio: the client sends no more; whether the connection stays open for answers."""
        self.half_closed = True
        if self.closed_at < math.inf:
            return False  # both sides are done
        if self.current is self.arriving and not self.waiting:
            return False  # nothing is in hand, or its body ends in the midst
        self.closing = True
        return True

    def has_left(self, now: float) -> bool:
        """Whether it has left, or sends no more and may have left over HALF_CLOSED_GRACE_MS ago."""
        if self.transport is None:
            return True
        if self.half_closed:
            return self.current is None or now > self.current.earliest_arrival_at + HALF_CLOSED_GRACE_MS
        return self.lags and bool(self._poll(GONE))

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection has ended, and with it every request on it."""
        self.transport = self.parser = None
        self.closing = True
        self.host.buffered_bytes -= self.charged
        self.charged = 0
        calls = [c for c in (self.current, self.arriving, *self.waiting) if c is not None]
        self.current = self.arriving = None
        self.waiting.clear()
        for call in calls:
            item = call.active
            call.finish(CLIENT_CLOSED)
            if item is not None:
                self.host.client_gone(item)
        self.frontend.lost(self)

    def pause_writing(self) -> None:
        """asyncio: the client reads more slowly than its answer comes."""
        self.paused = True
        if self.transport is not None:
            self._charge(self.transport.get_write_buffer_size())
        if self.current is not None and self.current.active is not None:
            self.host.set_response_paused(self.current.active, True)

    def resume_writing(self) -> None:
        """asyncio: the client has caught up."""
        self.paused = False
        self.active_at = self.host.clock.loop_time()
        self._charge(0)
        if self.current is not None and self.current.active is not None:
            self.host.set_response_paused(self.current.active, False)
        self._step()

    def _charge(self, size: int) -> None:
        self.host.buffered_bytes += size - self.charged
        self.charged = size

    def close(self) -> None:
        """A lingering close (RFC 9112 section 9.6). A plain close over bytes that were not read resets the
        connection, and an answer that is still on its way is lost with it. So only the sending side is shut;
        what comes is read and dropped until the client's end comes too, for a while at most."""
        self.closing = True
        self.frontend.idle.pop(self, None)
        transport = self.transport
        if transport is None or transport.is_closing() or self.closed_at < math.inf:
            return
        if self.half_closed:
            transport.close()  # all that it sent is read
            return
        self.closed_at = self.host.clock.now()
        self.frontend.lingering[self] = None
        transport.write_eof()
        if not transport.is_reading():
            transport.resume_reading()

    def _drop_waiting(self) -> None:
        """What was sent ahead of a close is not taken up."""
        for call in self.waiting:
            call.finish(CLIENT_CLOSED)
        self.waiting.clear()

    # -- one request after the other
    def silent(self) -> bool:
        """Whether nothing has come that was not read yet: what is closed then is lost to its client."""
        return not self._poll(select.POLLIN)

    def _poll(self, events: int) -> list[tuple[int, int]]:
        assert self.transport is not None
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), events)
        return poll.poll(0)

    def pass_on(self) -> int | None:
        """Gives up the connection for another process to go on with, between two requests: had some of the
        next been read, it would be lost. The connection's descriptor, or none if it must stay."""
        transport = self.transport
        if (
            transport is None
            or transport.is_closing()
            or self.closing
            or self.half_closed
            or self.waiting
            or self.current is not None
            or self.arriving is not None
            or transport.get_write_buffer_size()
        ):
            return None
        transport.pause_reading()
        descriptor = os.dup(transport.get_extra_info("socket").fileno())
        self.closing = True
        transport.abort()  # closes this process's descriptor alone: the connection lives on in the other
        return descriptor

    def _step(self) -> None:
        if self.stepping:
            return
        self.stepping = True
        while self.waiting and self.current is None and not self.paused and self.transport is not None:
            call = self.current = self.waiting.popleft()
            try:
                self._begin(call)
            except Exception:
                log.exception("a request failed")
                self.fail(call, 502)
            if self.pipeline_full and not self.waiting:
                self.pipeline_full = False
                self._read_on(True)
        self.stepping = False

    def _begin(self, call: ClientRequest) -> None:
        if call.local_reply is not None:
            self._reply(call, call.local_reply)
            return
        if call.error_status:
            self.fail(call, call.error_status)
            return
        if self.frontend.door is None and call.method == b"GET" and not call.body_not_held:
            plain = PLAIN.fullmatch(call.url)
            if plain is not None:
                self._request(call, plain[1].decode("ascii"))
                return
        path = call.url.partition(b"?")[0]
        if path == READY:
            self._write(
                call,
                503 if self.host.lifecycle.draining or not self.host.list_is_current() else 200,
                [],
                [],
                0,
            )
            return
        if self.frontend.door is not None:
            reply = self.frontend.door.begin(call)
            if reply is not None:
                self._reply(call, reply)
            return
        if not readable(call.url):
            self.fail(call, 400)
            return
        key = path.rpartition(b"/")[2]
        if not path.startswith(PREFIX) or not key:
            self.fail(call, 404)
        elif call.method not in (b"GET", b"PUT"):
            self.fail(call, 405)
        elif call.body_not_held:
            log.warning("memory is short: a request is refused")
            call.class_counts = self.host.metrics.begin_request(
                call.headers.get(b"x-call-class", b"").decode("latin-1")
            )
            self.refuse(call, 0.0)
        else:
            self._request(call, key.decode("latin-1"))

    def _request(self, call: ClientRequest, key: str) -> None:
        fields = call.headers
        try:
            if not fields.get(b"x-call-id"):
                raise ValueError("no X-Call-Id")
            budget = number_of(fields, b"x-budget", 1e3) if b"x-budget" in fields else None
            hint = number_of(fields, b"x-call-cost", 1e-3) if b"x-call-cost" in fields else None
        except ValueError:
            self.fail(call, 400)
            return
        if b"host" not in fields:  # allowed to the platform's clients, not to us (RFC 9112 section 3.2)
            call.forwarded_headers.append(NO_HOST)
        if call.streams_body:
            self._framed_anew(call)
        info, tenant = fields.get(b"x-call-info"), fields.get(b"x-caller")
        self.host.start_request(
            call,
            fields.get(b"x-call-class", b"").decode("latin-1"),
            budget if budget is None or budget < BUDGET_MAX_MS else BUDGET_MAX_MS,
            key,
            tenant.decode("latin-1") if tenant else None,
            hint,
            info_size(info) if info else None,
            fields.get(b"x-again") == b"1",
            call.method == b"PUT",
        )

    def _framed_anew(self, call: ClientRequest) -> None:
        """How a body that flows goes on; its time begins with its last byte, by when that must be there."""
        length = b"%d" % call.body_size if call.body_complete else call.headers.get(b"content-length")
        call.chunked = length is None
        call.forwarded_headers.append(
            b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %b\r\n" % length
        )
        if not call.body_complete:
            left = (BODY_MAX if length is None else int(length)) - call.body_size
            call.arrived_at = self.host.clock.now() + ARRIVE_MS + left / BODY_RATE

    def serve(self, call: ClientRequest, answer: UpstreamResponse) -> None:
        """Answers with what a node answered."""
        self._write(call, 200, answer.forwarded_headers, answer.body, answer.body_size)

    def refuse(self, call: ClientRequest, retry_after_ms: float) -> None:
        """Answers 503: nothing ran. `retry_after_ms`: when to come back, if positive."""
        if self.frontend.door is not None:
            self._reply(call, self.frontend.door.refused(retry_after_ms))
            return
        extra = [b"Retry-After: %.3f\r\n" % (retry_after_ms / 1e3)] if retry_after_ms > 0 else []
        self._write(call, 503, extra, [], 0)

    def fail(self, call: ClientRequest, status: int) -> None:
        """Failed, with no promise."""
        if self.frontend.door is not None:
            self._reply(call, self.frontend.door.failed(status))
        else:
            self._write(call, status, [], [], 0)

    def answer(self, call: ClientRequest, reply: LocalReply) -> None:
        """An answer of the door's, that it needed time for."""
        self._reply(call, reply)

    def _reply(self, call: ClientRequest, reply: LocalReply) -> None:
        self._write(call, reply.status, list(reply.headers), [reply.body], len(reply.body))

    def _write(
        self, call: ClientRequest, status: int, headers: list[bytes], body: list[bytes], size: int
    ) -> None:
        if self.transport is None or self.current is not call:
            return
        keep = self._keeps(call)
        end = b"\r\n" if keep else b"Connection: close\r\n\r\n"
        self.transport.writelines(
            [
                b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b"
                % (status, REASON_PHRASES[status], b"".join(headers), size, end),
                *body,
            ]
        )
        self._answered(call, keep, status)

    def _keeps(self, call: ClientRequest) -> bool:
        # What was sent ahead has been read: a close would lose it.
        return call.keep_alive and (bool(self.waiting) or not (self.host.lifecycle.draining or self.closing))

    def _answered(self, call: ClientRequest, keep: bool, status: int = 200) -> None:
        call.finish(status)
        self.current = None
        self.active_at = self.host.clock.loop_time()
        if self.transport is None:
            return
        if self.arriving is call:  # a client that is cut off while it sends may never see its answer
            call.drop_body, call.keep_alive = True, keep
            self.set_body_wanted(True)
        elif not keep:  # else it was told that it may go on, and may be about to
            self._drop_waiting()
            self.close()
        elif self.waiting:
            self._step()
        elif self.arriving is None:
            self.frontend.idle[self] = None

    def begin_stream(self, call: ClientRequest, answer: UpstreamResponse) -> None:
        """A long answer begins: its head goes out."""
        if self.transport is None:
            return
        self.chunked = answer.length is None and call.chunks_allowed
        if answer.length is None and not self.chunked:
            call.keep_alive = False
        framing = (
            b"Content-Length: %d\r\n" % answer.length
            if answer.length is not None
            else b"Transfer-Encoding: chunked\r\n"
            if self.chunked
            else b""
        )
        call.keep_alive = self._keeps(call)
        self.transport.write(
            b"HTTP/1.1 200 OK\r\n%b%b%b\r\n"
            % (
                b"".join(answer.forwarded_headers),
                framing,
                b"" if call.keep_alive else b"Connection: close\r\n",
            )
        )
        for data in answer.body:
            self.stream(data)

    def stream(self, data: bytes) -> None:
        """A part of a long answer."""
        if self.transport is None:
            return
        if self.chunked:
            self.transport.writelines([b"%x\r\n" % len(data), data, b"\r\n"])
        else:
            self.transport.write(data)

    def end_stream(self, call: ClientRequest, whole: bool) -> None:
        """A long answer has ended; one that is not whole is cut off, so that the client can tell."""
        if self.transport is None:
            return
        if not whole:
            call.finish(502)  # cut off: the client can tell
            self.transport.abort()
            return
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self._answered(call, call.keep_alive)

    def _arrival_ms(self) -> float:
        return ARRIVE_MS + (self.arriving.body_size / BODY_RATE if self.arriving is not None else 0.0)

    def close_if_timed_out(self, now: float) -> None:
        """Closes the connection where its client is too slow or silent for too long."""
        if self.transport is None:
            return
        if self.body_paused_at is not None and not self.closing:  # it is not the client that is slow
            call = self.current
            if now - self.body_paused_at > STALL_TIMEOUT_MS and call is not None and call.active is not None:
                self.host.body_stalled(call.active)
            return
        buffered = self.transport.get_write_buffer_size()
        if now - self.closed_at > (STALL_TIMEOUT_MS if buffered else LINGER_MS):
            self.transport.abort()
            return
        quiet = now - self.active_at
        busy = self.current is not None and self.current is not self.arriving and not self.paused
        if self.closing and not busy and not self.waiting and quiet > LINGER_MS:
            self.transport.abort()
        elif self.paused and quiet > STALL_TIMEOUT_MS:
            self.transport.abort()
        elif not busy and self.due_since is not None and now - self.due_since > self._arrival_ms():
            if self.arriving is not None and not self.closing:
                self._fault(408, "a request that came too slowly")
                self._step()
            else:
                self._close_silent(now - self.due_since)
        elif not busy and quiet > IDLE_TIMEOUT_MS:
            self._close_silent(quiet)

    def _close_silent(self, silent_ms: float) -> None:
        """Closes a connection on which no request comes, unless one has come and lies unread."""
        if self.closed_at < math.inf or not self.silent():
            return
        assert self.transport is not None
        peer = self.transport.get_extra_info("peername")
        log.info("a client's connection ends: no request for %.0f ms, from %s", silent_ms, peer)
        self.close()
