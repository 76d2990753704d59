"""Downstream connections: clients' requests parsed, answers written, backpressure both ways."""

from __future__ import annotations

import asyncio
import logging
import math
import os
import re
import select
import socket
from collections import deque
from itertools import islice
from typing import Any, cast

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from notchflow.net.exchange import HOP_BY_HOP, REASONS, Answer, Call, Door, Gatekeeper, Reply

log = logging.getLogger(__name__)

HEAD_MAX = 32 << 10
BODY_MAX = 32 << 20
FLOW_FROM = 256 << 10  # a longer body goes on to a box as it comes, and is held as far as memory allows
BUDGET_MAX_MS = 60_000.0
WAITING_MAX = 16
ACCEPTS_PER_TURN = 64
SWEEP_PART = 500  # clients looked at in one turn of the loop: a fraction of a millisecond
BACKLOG = 4_096
IDLE_MS = 75_000.0
STALLED_MS = 10_000.0
# By when a request must have come whole: who says nothing, or half, keeps no descriptor. A head may take
# 2 s; a body has as long as it needs at half the rate of the slowest clients, by what has come of it.
ARRIVE_MS, BODY_RATE = 2_300.0, 32.0  # bytes a millisecond
LINGER_MS = 2_000.0
SERVED_SHARE = 0.75
# Who makes room for others must have been still for so long: a connection just made, or just answered, is
# about to carry a request, which would be lost, and its client would come back at once for another's place.
STILL_MS = 100.0
LOOKED_AT = 8  # idle connections, of those still for longest, before room is said not to be there
ROOM_AGAIN_MS, ROOM_TOLD_MS = 20.0, 1_000.0
SLICE = 8 << 10  # a longer read is parsed in such pieces, so that the bounds on framing hold within it
FIELDS_MAX = 256
FRAMING_MAX, FRAMING_CHUNK = 4 << 10, 32  # bytes of a chunked body that are no body: in all, and a chunk
JOIN_BELOW = 1 << 10  # bytes: smaller pieces of a body are put together, as each costs memory of its own
READ = frozenset({b"x-call-id", b"x-call-class", b"x-caller", b"x-budget", b"x-again", b"x-call-cost",
                  b"x-call-info", b"expect", b"idempotency-key", b"host"})
REPLACED = frozenset({b"x-budget", b"expect"})
# Two of these can be read either way: as one request here, as another at the box.
SINGLE = frozenset({b"x-call-id", b"idempotency-key", b"host"})
# A sender may name in Connection what is meant for this hop alone. These are meant for the end: without its
# X-Call-Id or Idempotency-Key a box could not tell a repeat, and an effect would happen twice.
END_TO_END = READ | {b"authorization", b"content-type", b"content-encoding", b"cache-control"}
PREFIX = b"/api/"
NO_HOST = b"Host: service.internal\r\n"
READY = b"/health/ready"
# A target that every reader takes for the same, as nearly all are; others are looked at more closely.
PLAIN = re.compile(rb"/api/(?:[A-Za-z0-9_~-]+/)*([A-Za-z0-9_~-]+)")
FRAMING = frozenset({b"connection", b"transfer-encoding"})
DOTS = frozenset({b".", b".."})


class Client(asyncio.Protocol):
    """A client's connection."""

    __slots__ = ("front", "host", "transport", "parser", "arriving", "in_head", "head_size", "waiting",
                 "current", "stepping", "paused", "half_closed", "closing", "chunked", "charged", "active_at",
                 "due_since", "framing", "chunks", "held_off", "stopped_at", "turn_over", "pieces", "known")

    def __init__(self, front: Front, known: bool = False) -> None:
        self.front = front
        self.host = front.host
        self.known = known  # another process served it before: it may be idle as long as any
        self.transport: asyncio.Transport | None = None
        self.parser: HttpRequestParser | None = None
        self.arriving: Call | None = None
        self.in_head = False
        self.head_size = self.framing = self.chunks = 0
        self.waiting: deque[Call] = deque()
        self.current: Call | None = None
        self.stepping = False
        self.paused = False
        self.held_off = False  # nothing is read until what waits is fewer
        self.stopped_at: float | None = None  # since then no more of a body is wanted
        self.turn_over = False  # enough of a body was read in this turn of the loop
        self.pieces: list[bytes] = []  # of a body that flows, read but not passed on yet
        self.half_closed = False
        self.closing = False
        self.chunked = False
        self.charged = 0
        self.active_at = 0.0
        self.due_since: float | None = None  # a request is due: the first, or one that has begun to come

    # -- the transport's callbacks
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.parser = HttpRequestParser(self)
        self.active_at = self.host.clock.turn()
        self.due_since = None if self.known else self.active_at
        self.front.clients[self] = None
        self.front.idle[self] = None

    def data_received(self, data: bytes) -> None:
        self.active_at = self.host.clock.turn()
        if self.closing or self.parser is None:
            return  # what follows a fault is read and dropped, so that its answer is not lost to a reset
        self.front.idle.pop(self, None)
        if len(data) <= SLICE:
            self._feed(data)
        else:
            for at in range(0, len(data), SLICE):
                if not self.closing:
                    self._feed(data[at : at + SLICE])
        if self.arriving is not None and self.arriving.flowing:
            self._pass_pieces(self.arriving)
            if len(data) > SLICE:
                self._end_turn()
        self._step()
        if self.current is None and self.arriving is None and not self.waiting and not self.closing:
            self.front.idle[self] = None  # the rest of what was answered already has come

    def _feed(self, data: bytes) -> None:
        if self.parser is None:
            return
        call = self.arriving
        before = call.size if call is not None else 0
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            self.closing = True  # the request stands, in plain HTTP; what follows it cannot be read
        except HttpParserError as error:
            log.info("malformed request: %s", error)
            self._fault(400)
        if self.in_head:
            self.head_size += len(data)
            if self.head_size >= HEAD_MAX:
                self._fault(431)
        elif call is not None and call is self.arriving:  # in the midst of a body
            self.framing += len(data) - (call.size - before)
            if self.framing > FRAMING_MAX + FRAMING_CHUNK * self.chunks:
                log.info("more framing than body")
                self._fault(400)

    def eof_received(self) -> bool:
        self.half_closed = True
        if self.current is self.arriving and not self.waiting:
            return False  # nothing is in hand, or its body ends in the midst
        self.closing = True
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = self.parser = None
        self.closing = True
        self.host.held -= self.charged
        self.charged = 0
        calls = [c for c in (self.current, self.arriving, *self.waiting) if c is not None]
        self.current = self.arriving = None
        self.waiting.clear()
        for call in calls:
            item = call.open
            call.settle(0)
            if item is not None:
                self.host.client_gone(item)
        self.front.lost(self)

    def pause_writing(self) -> None:
        self.paused = True
        if self.transport is not None:
            self._charge(self.transport.get_write_buffer_size())
        if self.current is not None and self.current.open is not None:
            self.host.pause(self.current.open, True)

    def resume_writing(self) -> None:
        self.paused = False
        self.active_at = self.host.clock.turn()
        self._charge(0)
        if self.current is not None and self.current.open is not None:
            self.host.pause(self.current.open, False)
        self._step()

    def _charge(self, size: int) -> None:
        self.host.held += size - self.charged
        self.charged = size

    # -- the parser's callbacks
    def on_message_begin(self) -> None:
        self.arriving = Call(self, self.host)
        self.in_head, self.head_size, self.framing, self.chunks = True, 0, 0, 0
        self.due_since = self.active_at

    def on_url(self, url: bytes) -> None:
        if self.arriving is not None:
            self.arriving.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        call, low = self.arriving, name.lower()
        if call is None or not self.in_head:
            return  # trailers
        if low in READ:
            if low in SINGLE and low in call.fields:
                call.fault = 400
            call.fields[low] = value
            if low in REPLACED:
                return
        elif low in HOP_BY_HOP:
            call.fields[low] = b"%b, %b" % (call.fields[low], value) if low in call.fields else value
            return
        call.passed.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        call, parser = self.arriving, self.parser
        if call is None or parser is None:
            return
        self.in_head = False
        call.method = parser.get_method()
        call.chunks_allowed = parser.get_http_version() == "1.1"
        call.keep = call.chunks_allowed and parser.should_keep_alive()
        if not FRAMING.isdisjoint(call.fields) and not self._framed(call):
            return
        if len(call.passed) > FIELDS_MAX:
            self._fault(431)
            return
        if self.front.door is not None and not call.fault:
            self.front.door.head(call)
        if int(call.fields.get(b"content-length", 0)) > BODY_MAX:
            self._fault(413)
        elif b"expect" in call.fields:
            self._expected(call)

    def _framed(self, call: Call) -> bool:
        """What the head says of the connection and the coding; false where that is a fault."""
        named = call.fields.get(b"connection")
        if named is not None and b"," in named or named and named.lower() not in (b"keep-alive", b"close"):
            tokens = {t.strip().lower() for t in named.split(b",")} - END_TO_END
            drop = tuple(t + b":" for t in tokens if t)
            call.passed = [line for line in call.passed if not line.lower().startswith(drop)]
        coding = call.fields.get(b"transfer-encoding")
        if coding is not None and coding.strip().lower() != b"chunked":
            self._fault(501)  # the body would go on in a coding that nobody told the box of
            return False
        return True

    def _expected(self, call: Call) -> None:
        """The client waits with the body."""
        if call.reply is not None:
            self._fault(call.reply.status)  # it may as well keep it
        elif call.fields[b"expect"].lower() == b"100-continue":
            if self.current is None and not self.waiting and self.transport is not None:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        call = self.arriving
        if call is None:
            return
        call.size += len(data)
        if call.size > BODY_MAX:
            self._fault(413)
        elif call.dropped:
            return
        elif call.flowing or self._flows(call, len(data)):
            self._flow(call, data)
        elif call.reply is None and not call.spilled:
            full = self.host.held + len(data) > self.host.held_max
            if full or (call.ticket is not None and not call.ticket.charge(len(data))):
                call.spilled = True
                call.release()
            else:
                self.host.held += len(data)
                call.charged += len(data)
                if call.body and len(data) < JOIN_BELOW and len(call.body[-1]) < JOIN_BELOW:
                    call.body[-1] += data
                else:
                    call.body.append(data)

    def _flows(self, call: Call, size: int) -> bool:
        """Whether this body is to go on as it comes, from now on."""
        if self.front.door is not None or call.method != b"PUT" or call.fault or call.spilled:
            return False
        short = self.host.held + size > self.host.held_max
        if call.size > FLOW_FROM or short and int(call.fields.get(b"content-length", 0)) > FLOW_FROM:
            call.flowing = True
            self.waiting.append(call)
        return call.flowing

    def _flow(self, call: Call, data: bytes) -> None:
        """A piece of a body that goes on as it comes. It is held too, so that another box can be given all of
        it, as long as there is memory; else what comes waits until a box is reading."""
        host, item = self.host, call.open
        if not call.spent:
            host.held += len(data)
            call.charged += len(data)
            call.body.append(data)
        if item is not None:
            self.pieces.append(data)
        if not call.spent and host.held > host.held_max:
            if item is not None and host.spend(item):
                self._pass_pieces(call)
                call.spent = True
                call.release()
            else:
                self.flow(False)

    def _pass_pieces(self, call: Call) -> None:
        """Passes on what was read, in one write."""
        pieces, self.pieces = self.pieces, []
        if pieces and call.open is not None:
            self.host.body_came(call.open, pieces)

    def _end_turn(self) -> None:
        """Leaves the rest of a body for the next turn of the loop, which else reads a socket up to 32 times
        over while there is more, 8 MiB, and all other clients wait for so long."""
        if not self.turn_over:
            self.turn_over = True
            self._read_on(False)
            self.host.soon(self._next_turn, None)

    def _next_turn(self, _: object = None) -> None:
        self.turn_over = False
        self._read_on(True)

    def flow(self, on: bool) -> None:
        """Whether more of the body that is arriving is wanted now; else the client's time stands still."""
        if on is (self.stopped_at is None) or self.transport is None or self.transport.is_closing():
            return
        now = self.host.clock.now()
        if on:
            assert self.stopped_at is not None
            if self.due_since is not None:
                self.due_since += now - self.stopped_at
            self.stopped_at, self.active_at = None, now
        else:
            self.stopped_at = now
        self._read_on(on)

    def _read_on(self, on: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        if not on:
            self.transport.pause_reading()
        elif not self.held_off and self.stopped_at is None and not self.turn_over:
            self.transport.resume_reading()

    def on_chunk_header(self) -> None:
        self.chunks += 1

    def on_message_complete(self) -> None:
        call, self.arriving = self.arriving, None
        self.due_since = None
        if call is None:
            return
        call.arrived_at = self.active_at
        if call.flowing:
            self._pass_pieces(call)
            call.whole = True
            self.flow(True)
            if call.dropped and not call.keep and self.transport is not None:
                self.closing = True
                self.transport.close()
            if call.open is not None:
                self.host.body_whole(call.open)
            return
        if call.size or call.method == b"PUT":
            call.passed.append(b"Content-Length: %d\r\n" % call.size)
        self.waiting.append(call)
        if len(self.waiting) >= WAITING_MAX and self.transport is not None:
            self.held_off = True
            self._read_on(False)

    def _fault(self, status: int) -> None:
        """What comes is no request that can be answered otherwise; nothing after it can be read."""
        if self.closing:
            return
        self.closing = True
        call = self.arriving or Call(self, self.host)
        self.arriving, self.in_head = None, False
        if call is self.current:  # its body was on the way to a box: that is over, and not whole
            call.fault, call.keep, item = status, False, call.open
            if item is not None:
                self.host.client_gone(item)
            self.fail(call, status)
            return
        if call in self.waiting:
            self.waiting.remove(call)
        call.release()
        call.fault, call.keep = status, False
        if call.dropped:
            if self.transport is not None:
                self.transport.close()
            return
        self.waiting.append(call)

    # -- one request after the other
    def silent(self) -> bool:
        """Whether nothing has come that was not read yet: what is closed then is lost to its client."""
        assert self.transport is not None
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)

    def pass_on(self) -> int | None:
        """Gives up the connection for another process to go on with, between two requests: had some of the
        next been read, it would be lost. The connection's descriptor, or none if it must stay."""
        transport = self.transport
        if (transport is None or transport.is_closing() or self.closing or self.half_closed or self.waiting
                or self.current is not None or self.arriving is not None
                or transport.get_write_buffer_size()):
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
            if self.held_off and not self.waiting:
                self.held_off = False
                self._read_on(True)
            try:
                self._begin(call)
            except Exception:
                log.exception("a request failed")
                self.fail(call, 502)
        self.stepping = False

    def _begin(self, call: Call) -> None:
        if call.reply is not None:
            self._reply(call, call.reply)
            return
        if call.fault:
            self.fail(call, call.fault)
            return
        if self.front.door is None and call.method == b"GET" and not call.spilled:
            plain = PLAIN.fullmatch(call.url)
            if plain is not None:
                self._request(call, plain[1].decode("ascii"))
                return
        path = call.url.partition(b"?")[0]
        if path == READY:
            self._write(call, 503 if self.host.duty.away or not self.host.informed() else 200, [], [], 0)
            return
        if self.front.door is not None:
            reply = self.front.door.begin(call)
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
        elif call.spilled:
            log.warning("memory is short: a request is refused")
            call.counts = self.host.figures.take(call.fields.get(b"x-call-class", b"").decode("latin-1"))
            self.refuse(call, 0.0)
        else:
            self._request(call, key.decode("latin-1"))

    def _request(self, call: Call, key: str) -> None:
        fields = call.fields
        try:
            if not fields.get(b"x-call-id"):
                raise ValueError("no X-Call-Id")
            budget = _number(fields, b"x-budget", 1e3) if b"x-budget" in fields else None
            hint = _number(fields, b"x-call-cost", 1e-3) if b"x-call-cost" in fields else None
        except ValueError:
            self.fail(call, 400)
            return
        if b"host" not in fields:  # allowed to the platform's clients, not to us (RFC 9112 section 3.2)
            call.passed.append(NO_HOST)
        if call.flowing:
            self._framed_anew(call)
        info, tenant = fields.get(b"x-call-info"), fields.get(b"x-caller")
        self.host.request(
            call, fields.get(b"x-call-class", b"").decode("latin-1"),
            budget if budget is None or budget < BUDGET_MAX_MS else BUDGET_MAX_MS, key,
            tenant.decode("latin-1") if tenant else None, hint, _info_size(info) if info else None,
            fields.get(b"x-again") == b"1", call.method == b"PUT")

    def _framed_anew(self, call: Call) -> None:
        """How a body that flows goes on; its time begins with its last byte, by when that must be there."""
        length = b"%d" % call.size if call.whole else call.fields.get(b"content-length")
        call.chunked = length is None
        call.passed.append(
            b"Transfer-Encoding: chunked\r\n" if length is None else b"Content-Length: %b\r\n" % length)
        if not call.whole:
            left = (BODY_MAX if length is None else int(length)) - call.size
            call.arrived_at = self.host.clock.now() + ARRIVE_MS + left / BODY_RATE

    def serve(self, call: Call, answer: Answer) -> None:
        self._write(call, 200, answer.passed, answer.body, answer.size)

    def refuse(self, call: Call, retry_after_ms: float) -> None:
        if self.front.door is not None:
            self._reply(call, self.front.door.refused(retry_after_ms))
            return
        extra = [b"Retry-After: %.3f\r\n" % (retry_after_ms / 1e3)] if retry_after_ms > 0 else []
        self._write(call, 503, extra, [], 0)

    def fail(self, call: Call, status: int) -> None:
        """Failed, with no promise."""
        if self.front.door is not None:
            self._reply(call, self.front.door.failed(status))
        else:
            self._write(call, status, [], [], 0)

    def answer(self, call: Call, reply: Reply) -> None:
        """An answer of the door's, that it needed time for."""
        self._reply(call, reply)

    def _reply(self, call: Call, reply: Reply) -> None:
        self._write(call, reply.status, list(reply.headers), [reply.body], len(reply.body))

    def _write(self, call: Call, status: int, headers: list[bytes], body: list[bytes], size: int) -> None:
        if self.transport is None or self.current is not call:
            return
        keep = self._keeps(call)
        end = b"\r\n" if keep else b"Connection: close\r\n\r\n"
        self.transport.writelines([b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b" % (
            status, REASONS[status], b"".join(headers), size, end), *body])
        self._answered(call, keep, status)

    def _keeps(self, call: Call) -> bool:
        return call.keep and not self.host.duty.away and (not self.closing or bool(self.waiting))

    def _answered(self, call: Call, keep: bool, status: int = 200) -> None:
        call.settle(status)
        self.current = None
        self.active_at = self.host.clock.turn()
        if self.transport is None:
            return
        if self.arriving is call:  # a client that is cut off while it sends may never see its answer
            call.dropped, call.keep = True, keep
            self.flow(True)
        elif not keep:  # else it was told that it may go on, and may be about to
            self.closing = True
            self.waiting.clear()
            if call.fault and not self.half_closed:
                self.transport.write_eof()
            else:
                self.transport.close()
        elif self.waiting:
            self._step()
        elif self.arriving is None:
            self.front.idle[self] = None

    def begin_stream(self, call: Call, answer: Answer) -> None:
        if self.transport is None:
            return
        self.chunked = answer.length is None and call.chunks_allowed
        if answer.length is None and not self.chunked:
            call.keep = False
        framing = (b"Content-Length: %d\r\n" % answer.length if answer.length is not None
                   else b"Transfer-Encoding: chunked\r\n" if self.chunked else b"")
        call.keep = self._keeps(call)
        self.transport.write(b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (
            b"".join(answer.passed), framing, b"" if call.keep else b"Connection: close\r\n"))
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

    def end_stream(self, call: Call, whole: bool) -> None:
        if self.transport is None:
            return
        if not whole:
            call.settle(502)  # cut off: the client can tell
            self.transport.abort()
            return
        if self.chunked:
            self.transport.write(b"0\r\n\r\n")
        self._answered(call, call.keep)

    def _arrival_ms(self) -> float:
        return ARRIVE_MS + (self.arriving.size / BODY_RATE if self.arriving is not None else 0.0)

    def close_if_over(self, now: float) -> None:
        if self.transport is None:
            return
        if self.stopped_at is not None and not self.closing:  # it is not the client that is slow
            call = self.current
            if now - self.stopped_at > STALLED_MS and call is not None and call.open is not None:
                self.host.stuck(call.open)
            return
        quiet = now - self.active_at
        busy = self.current is not None and self.current is not self.arriving and not self.paused
        if self.closing and not busy and not self.waiting and quiet > LINGER_MS:
            self.transport.abort()
        elif self.paused and quiet > STALLED_MS:
            self.transport.abort()
        elif not busy and self.due_since is not None and now - self.due_since > self._arrival_ms():
            if self.arriving is not None and not self.closing:
                self._fault(408)
                self._step()
            else:
                self.transport.close()
        elif not busy and quiet > IDLE_MS:
            self.transport.close()


class Front:
    """The listener and its clients."""

    def __init__(self, host: Gatekeeper, address: tuple[str, int], door: Door | None = None) -> None:
        self.host = host
        self.door = door
        self.address = address
        self.listener: socket.socket | None = None
        self.clients: dict[Client, None] = {}
        self.idle: dict[Client, None] = {}
        self.accepting = False
        self.backlog_empty = False
        self.inherited: int | None = None
        self.adopting: set[asyncio.Task[Any]] = set()
        self.sweeping: list[Client] = []
        self.looking = False  # it is looked for room again in a moment
        self.short_told = -ROOM_TOLD_MS  # when the log last told that there is none

    def listen(self) -> None:
        """Opens the listener, or takes the one that is inherited: others hold it too, so that it is neither
        bound nor shut down here."""
        if self.inherited is not None:
            self.listener = inherit(self.inherited)
            self.resume()
            return
        self.listener = socket.socket(socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(self.address)
        self.listener.listen(BACKLOG)
        self.resume()

    def resume(self) -> None:
        """Accepts again, if there is a listener and room."""
        if not self.accepting and self.listener is not None:
            self.accepting = True
            self.host.loop.add_reader(self.listener, self._accept)

    def _pause(self) -> None:
        if self.accepting and self.listener is not None:
            self.accepting = False
            self.host.loop.remove_reader(self.listener)

    def _room(self) -> bool:
        host = self.host
        count = len(self.clients) + len(self.adopting)
        if host.used < host.descriptors and count < SERVED_SHARE * host.descriptors_whole:
            return True
        return self.close_idle()

    def close_idle(self) -> bool:
        """Makes room by closing a connection that is surely not about to carry a request, if there is one."""
        now = self.host.clock.now()
        for client in islice(self.idle, LOOKED_AT):
            if now < client.active_at + STILL_MS:
                break  # and so are all that became idle after it
            if client.transport is not None and client.silent():
                self._let_go(client)
                return True
        return False

    def _crowded(self) -> None:
        """What is not accepted now waits in the listener's queue, where it is not lost."""
        self._pause()
        now = self.host.clock.now()
        if not self.looking:
            self.looking = True
            self.host.at(now + ROOM_AGAIN_MS, self._look_again)
        if now >= self.short_told + ROOM_TOLD_MS:
            self.short_told = now
            log.warning("no descriptors left: %d of %d in use, %d clients, %d of them idle; accepting pauses",
                        self.host.used, self.host.descriptors, len(self.clients), len(self.idle))

    def _look_again(self, _: object = None) -> None:
        self.looking = False
        self.resume()

    def _let_go(self, client: Client) -> None:
        del self.idle[client]
        client.closing = True
        if client.transport is not None:
            client.transport.close()

    def _accept(self) -> None:
        listener = self.listener
        self.backlog_empty = False
        for _ in range(ACCEPTS_PER_TURN):
            if listener is None:
                return
            if not self._room():
                self._crowded()
                return
            try:
                sock, _address = listener.accept()
            except BlockingIOError:
                self.backlog_empty = True
                return
            except OSError as error:
                log.warning("accept failed: %s", error)
                self._pause()
                self.host.at(self.host.clock.now() + 50.0, self._look_again)
                return
            sock.setblocking(False)
            self.host.used += 1
            self.adopt(sock)

    def adopt(self, sock: socket.socket, known: bool = False) -> None:
        """Serves the client on this connection, which is counted already."""
        task = self.host.loop.create_task(self._adopt(sock, known))
        self.adopting.add(task)
        task.add_done_callback(self.adopting.discard)

    async def _adopt(self, sock: socket.socket, known: bool) -> None:
        try:
            await self.host.loop.connect_accepted_socket(lambda: Client(self, known), sock)
        except OSError:
            sock.close()
            self.host.freed()

    def close(self) -> bool:
        if self.listener is not None:
            self._accept()
            if self.backlog_empty:
                self.shut()
        if self.listener is None and not self.adopting:
            for client in list(self.idle):
                self._let_go(client)
        return self.listener is None and not self.adopting and not self.clients

    def shut(self) -> None:
        """Closes the listener."""
        if self.listener is not None:
            self._pause()
            self.listener.close()
            self.listener = None

    def pass_on(self, most: int) -> list[int]:
        """Gives up idle connections, so many at most, for another process to go on with."""
        given: list[int] = []
        for client in list(self.idle):
            if len(given) >= most:
                break
            descriptor = client.pass_on()
            if descriptor is not None:
                self.idle.pop(client, None)
                given.append(descriptor)
        return given

    def close_still(self, now: float) -> None:
        """Closes connections that carry nothing and are not to be held while clients are sent away."""
        still = [c for c in self.idle if self.host.duty.overstays(now, c.active_at)]
        for client in still:
            self._let_go(client)

    def lost(self, client: Client) -> None:
        self.clients.pop(client, None)
        self.idle.pop(client, None)  # else the dead stay for good, and closing one of them makes no room
        self.host.freed()

    def sweep(self, now: float) -> None:
        """Closes clients that have been silent, or still, for too long. Very many are looked at in parts,
        so that requests need not wait for it."""
        if not self.sweeping:
            self.sweeping = list(self.clients)
            self._sweep_on(now)

    def _sweep_on(self, now: float) -> None:
        part, self.sweeping = self.sweeping[:SWEEP_PART], self.sweeping[SWEEP_PART:]
        for client in part:
            client.close_if_over(now)
        if self.sweeping:
            self.host.soon(self._sweep_on, now)


def inherit(descriptor: int) -> socket.socket:
    """The listening socket that the platform holds; an OSError says why it is none."""
    listener = socket.socket(fileno=descriptor)
    listens = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    if listener.type != socket.SOCK_STREAM or not listens:
        listener.detach()
        raise OSError(f"descriptor {descriptor} (ROUTER_ACCEPT_FD) is no stream socket that listens")
    listener.setblocking(False)
    return listener


def readable(url: bytes) -> bool:
    """Whether every reader takes a target for the same: a box may resolve dot segments, escaped or not, and
    a path that leaves its prefix is none of ours; only printable ASCII is in a target (RFC 3986)."""
    if not url.isascii() or b"#" in url or b"\\" in url:
        return False
    path = url.partition(b"?")[0]
    if b"%2" in path:
        path = path.replace(b"%2e", b".").replace(b"%2E", b".").replace(b"%2f", b"/").replace(b"%2F", b"/")
    return b"/." not in path or not DOTS.intersection(path.split(b"/"))


def _number(fields: dict[bytes, bytes], name: bytes, factor: float) -> float | None:
    """A finite number of a header, if it is there."""
    raw = fields.get(name)
    if raw is None:
        return None
    value = float(raw) * factor
    if not math.isfinite(value):
        raise ValueError("not finite")
    return value


def _info_size(info: bytes) -> float | None:
    """The value's size among the further figures of a request."""
    for pair in info.split(b","):
        name, _, value = pair.partition(b"=")
        if name.strip() == b"size":
            try:
                return float(value)
            except ValueError:
                return None
    return None
