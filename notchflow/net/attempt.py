"""One attempt at a node, and the outcome that its end proves."""

from __future__ import annotations

import json
import math
from collections.abc import Collection, Sequence
from typing import Protocol

from notchflow import wire
from notchflow.interface import Status
from notchflow.net.bounded_reads import portion_bytes
from notchflow.net.connection import Connection
from notchflow.net.exchange import ActiveRequest, ConnectionHost, UpstreamResponse
from notchflow.net.pool import Pool
from notchflow.net.timers import TimerId

OK = Status.OK  # looked up for every request

MAX_BUFFERED_BYTES = 64 << 10  # longer responses are streamed; one that breaks while buffered can be retried
# A node that gives nothing more of a streamed response for so long has stopped. A long response may pause, as
# in a partition; one of unknown length that is still short at its deadline is rather one that never ends.
LONG_STREAM_STALL_MS, SHORT_STREAM_STALL_MS = 10_000.0, 2_000.0
LAST_CHUNK = b"0\r\n\r\n"


class AttemptHost(ConnectionHost, Protocol):
    """The host, as attempts use it."""

    def attempt_ended(self, attempt: Attempt, status: Status, response: UpstreamResponse | None) -> None:
        """Reports the end of an attempt."""

    def await_descriptor(self, attempt: Attempt) -> None:
        """Queues an attempt for a descriptor to dial with."""

    def stream_started(self, attempt: Attempt, response: UpstreamResponse) -> bool:
        """A long response begins; whether it is the one that the client gets."""


class Attempt:
    """One attempt at a node. It ends once, with the most specific outcome that is certain."""

    __slots__ = (
        "host",
        "request",
        "number",
        "node",
        "pool",
        "begun_at",
        "expires_at",
        "complete_before",
        "connection",
        "ended",
        "streaming",
        "timeout_timer",
        "completion_timer",
        "is_unwritten",
        "request_incomplete",
    )

    def __init__(
        self,
        host: AttemptHost,
        active: ActiveRequest,
        number: int,
        node: int,
        pool: Pool,
        now: float,
        expires_at: float,
    ) -> None:
        self.host, self.request = host, active
        self.number, self.node, self.pool = number, node, pool
        self.begun_at, self.expires_at = now, expires_at
        self.complete_before = math.inf  # nodes may then have forgotten another attempt under the same key
        self.connection: Connection | None = None
        self.ended = self.streaming = False
        self.timeout_timer: TimerId | None = None
        self.completion_timer: TimerId | None = None
        self.is_unwritten = False  # it was ended before its last byte was written, so it cannot have run
        self.request_incomplete = False

    @property
    def is_held(self) -> bool:
        """Whether the request is held from its start, and counted with its client."""
        return not self.request.client_request.body_start_dropped

    @property
    def max_buffered(self) -> int:
        """The longest response body that is held until it is complete, in bytes: less than usual where memory
        is short."""
        return min(MAX_BUFFERED_BYTES, portion_bytes(self.host))

    def request_data(self, now: float) -> list[bytes]:
        """The bytes to send. X-Budget is the time that this attempt has left; while the body is still
        arriving, that is what the client allows from its last byte on."""
        request = self.request.client_request
        left_ms = self.expires_at - now
        if request.streams_body:
            self.request_incomplete = not request.body_complete
            request.client.set_body_wanted(True)
            if self.request_incomplete:
                left_ms = min(left_ms, self.request.budget_ms)
        left = max(left_ms, 1.0) / 1e3
        head = b"%b %b HTTP/1.1\r\nX-Budget: %.3f\r\n%b\r\n"
        data = [
            head % (request.method, request.url, left, b"".join(request.forwarded_headers)),
            *request.body,
        ]
        if request.chunked:
            data[1:] = [_chunk(piece) for piece in request.body]
            if request.body_complete:
                data.append(LAST_CHUNK)
        return data

    def send_body(self, pieces: Sequence[bytes]) -> None:
        """Sends further pieces of the body; before there is a connection they stay buffered in the
        request."""
        if self.connection is not None:
            self.connection.send_body(
                [_chunk(p) for p in pieces] if self.request.client_request.chunked else pieces
            )

    def end_body(self) -> None:
        """The body is complete, so that the request can run from now on."""
        self.request_incomplete = False
        if self.connection is not None:
            self.connection.send_body((LAST_CHUNK,) if self.request.client_request.chunked else ())

    def must_be_complete_before(self, due: float) -> None:
        """Ends the attempt if its node does not have the whole request by then. A node that gets its last
        byte later would run it, although another attempt under the same key may have run."""
        if due >= self.complete_before:
            return
        self.complete_before = due
        if self.completion_timer is not None:
            self.host.timers.cancel(self.completion_timer)
        self.completion_timer = self.host.call_at(due, self._end_unless_complete)

    def _end_unless_complete(self, _: object = None) -> None:
        if not (self.ended or self.streaming) and not self.is_complete_at_node():
            self.abandon(Status.TIMEOUT)

    def is_complete_at_node(self) -> bool:
        """Whether the node's machine has acknowledged the last byte of the request."""
        connection = self.connection
        return connection is not None and connection.request_sent and not connection.unsent_bytes()

    def cancel_timers(self) -> None:
        """Cancels the timers that may end the attempt: it has ended."""
        for timer_id in (self.timeout_timer, self.completion_timer):
            if timer_id is not None:
                self.host.timers.cancel(timer_id)

    def is_writing(self) -> bool:
        """Whether the last byte of the request has not been passed to the kernel."""
        return self.connection is None or not self.connection.request_sent

    def is_writing_to(self, pools: Collection[object]) -> bool:
        """Whether it uses one of these pools and has not written the whole request yet."""
        return self.pool in pools and self.connection is not None and not self.connection.request_sent

    def set_write_blocked(self, on: bool) -> None:
        """The node reads more slowly than the body arrives, or has caught up."""
        if not self.ended:
            self.request.client_request.client.set_body_wanted(not on)

    def begin_stream(self, response: UpstreamResponse) -> bool:
        """A response too long to buffer has begun; whether it is passed on to the client."""
        if response.code != 200 or self.request_incomplete:
            self._end(_status(response, not self.request_incomplete))
            return False
        self.streaming = True
        if not self.host.stream_started(self, response):
            self._end(Status.CANCELLED)
            return False
        return True

    def begin_stream_early(self) -> bool:
        """Begins to pass on a response of unknown length at the request's deadline, by which the first bytes
        of a long response are due. Returns whether there is one."""
        if self.ended or self.connection is None or self.request_incomplete:
            return False
        return self.connection.begin_stream_early()

    def stream_has_stalled(self, now: float) -> bool:
        """Whether the node has given nothing more of a streamed response for too long."""
        connection = self.connection
        if not self.streaming or connection is None:
            return False
        response = connection.response
        is_long = (response.length or response.body_size) > MAX_BUFFERED_BYTES
        return now - connection.last_read_at > (LONG_STREAM_STALL_MS if is_long else SHORT_STREAM_STALL_MS)

    def stream_data(self, data: bytes) -> None:
        """Passes on a part of a streamed response."""
        self.request.client_request.client.stream(data)

    def response_received(self, response: UpstreamResponse, sent: bool) -> None:
        """A complete response has been received."""
        if not self.ended:
            self.ended = True
            self.host.attempt_ended(self, _status(response, sent), response)

    def connection_failed(self, sent: bool) -> None:
        """The connection failed. `sent`: the last byte of the request had been written."""
        self._end(Status.RESET if sent else Status.CONNECT_FAILED)

    def request_written(self) -> None:
        """The last byte of the request has been written."""
        counts = self.request.class_counts
        if counts is not None:
            counts.relayed += 1
        if self.request.client_request.streams_body:
            self.begun_at = self.host.clock.now()  # its transfer must not count as the node's latency

    def may_start(self, now: float) -> bool:
        """Whether the request is unanswered, its client connected, and `complete_before` not reached."""
        active = self.request
        return not (
            self.ended
            or active.done
            or now >= self.complete_before
            or active.client_request.client.has_left(now)
        )

    def await_descriptor(self) -> None:
        """Waits for a descriptor to dial with."""
        self.host.await_descriptor(self)

    def not_sent(self, _: object = None) -> None:
        """Nothing was sent: no descriptor came free in time, or the attempt may no longer start."""
        self._end(Status.MOOT)

    def abandon(self, status: Status) -> None:
        """Ends the attempt with this status, corrected by whether the request may have run: before its last
        byte was written a timeout becomes CONNECT_FAILED, after that CONNECT_FAILED becomes RESET. A timeout
        while the node waits for the rest of a body becomes MOOT, as it is not the node's fault."""
        written = self.connection is not None and self.connection.request_sent
        self.is_unwritten = not written
        if status is Status.TIMEOUT and not written:
            status = Status.MOOT if self._awaits_body() else Status.CONNECT_FAILED
        elif status is Status.CONNECT_FAILED and written:
            status = Status.RESET
        self._end(status)

    def _awaits_body(self) -> bool:
        """Whether the node has taken all that has come of a body, the rest of which has not."""
        connection = self.connection
        return self.request_incomplete and connection is not None and not connection.has_unwritten_output()

    def _end(self, status: Status) -> None:
        if self.ended:
            return
        self.ended = True
        if self.connection is not None:
            self.connection.abandon()
            self.connection = None
        else:
            self.pool.cancel_dial(self)
        self.host.attempt_ended(self, status, None)


def _status(response: UpstreamResponse, sent: bool) -> Status:
    if response.code == 200 and sent:
        return OK
    if response.code in (503, 504) and response.headers.get(b"x-rejected") == b"1":
        return Status.FULL
    if response.code == 200:
        return Status.RESET  # sent before the whole request was written: not its response
    return Status.ERROR


def load_report(response: UpstreamResponse, names: Sequence[str]) -> dict[str, float] | None:
    """The requested fields of a node's load report, under the names that the policy uses; none if it is
    missing or malformed."""
    raw = response.headers.get(b"x-load-report")
    if raw is None or not names:
        return None
    try:
        data = json.loads(raw)
        report = {wire.LOAD_FIELD_NAMES.get(n, n): float(data[n]) for n in names if n in data}
    except (ValueError, TypeError, OverflowError, RecursionError):
        return None
    return report if all(map(math.isfinite, report.values())) else None


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
