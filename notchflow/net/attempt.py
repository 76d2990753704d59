"""One attempt at a cache node, and what its end proves."""

from __future__ import annotations

import json
from collections.abc import Collection, Sequence
from typing import Protocol

from notchflow import wire
from notchflow.interface import Status
from notchflow.net.connection import Connection
from notchflow.net.exchange import ActiveRequest, ConnectionHost, UpstreamResponse
from notchflow.net.pool import Pool
from notchflow.net.timers import TimerId

OK = Status.OK  # looked up for every request

HOLD_MAX = 64 << 10  # bytes of an answer held whole, so that a broken one can be retried; more is streamed
LAST_CHUNK = b"0\r\n\r\n"


class Courier(ConnectionHost, Protocol):
    """What attempts need of the host."""

    def outcome(self, attempt: Attempt, status: Status, answer: UpstreamResponse | None) -> None:
        """An attempt has ended."""

    def await_descriptor(self, attempt: Attempt) -> None:
        """An attempt waits for a descriptor to dial with."""

    def stream_started(self, attempt: Attempt, answer: UpstreamResponse) -> bool:
        """A long answer begins; whether it is this one that the client gets."""


class Attempt:
    """One attempt at a node. It ends once, with the outcome that the facts prove."""

    __slots__ = (
        "host",
        "open",
        "number",
        "node",
        "pool",
        "begun_at",
        "expires_at",
        "before",
        "connection",
        "over",
        "started",
        "hold_max",
        "timer",
        "unfinished",
    )

    def __init__(
        self,
        host: Courier,
        item: ActiveRequest,
        number: int,
        node: int,
        pool: Pool,
        now: float,
        expires: float,
        before: float,
    ) -> None:
        self.host, self.open = host, item
        self.number, self.node, self.pool = number, node, pool
        self.begun_at, self.expires_at, self.before = now, expires, before
        self.connection: Connection | None = None
        self.over = self.started = False
        self.hold_max = HOLD_MAX
        self.timer: TimerId | None = None
        self.unfinished = False

    def chunks(self, now: float) -> list[bytes]:
        """The request as it goes out; its budget is what this attempt has left."""
        call = self.open.client_request
        if call.streams_body:
            self.unfinished = not call.body_complete
            call.client.set_body_wanted(True)
        left = max(self.expires_at - now, 1.0) / 1e3
        head = b"%b %b HTTP/1.1\r\nX-Budget: %.3f\r\n%b\r\n"
        data = [head % (call.method, call.url, left, b"".join(call.forwarded_headers)), *call.body]
        if call.chunked:
            data[1:] = [_chunk(piece) for piece in call.body]
            if call.body_complete:
                data.append(LAST_CHUNK)
        return data

    def more(self, pieces: Sequence[bytes]) -> None:
        """Further pieces of the body; before there is a connection they are held with the rest."""
        if self.connection is not None:
            self.connection.more([_chunk(p) for p in pieces] if self.open.client_request.chunked else pieces)

    def body_ended(self) -> None:
        """The body is whole: from now on the node's time counts, and the request can run."""
        self.unfinished = False
        if self.connection is not None:
            self.connection.more((LAST_CHUNK,) if self.open.client_request.chunked else ())

    def is_writing_to(self, pools: Collection[object]) -> bool:
        """Whether it goes to one of these pools, and a part of the request is still to be written."""
        return self.pool in pools and self.connection is not None and not self.connection.sent

    def blocked(self, on: bool) -> None:
        """The node reads more slowly than the body comes, or has caught up."""
        if not self.over:
            self.open.client_request.client.set_body_wanted(not on)

    def stream(self, answer: UpstreamResponse) -> bool:
        """An answer too long to be held has begun; whether it goes on to the client."""
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
        self.open.client_request.client.stream(data)

    def answered(self, answer: UpstreamResponse, sent: bool) -> None:
        """A whole answer has come."""
        if not self.over:
            self.over = True
            self.host.outcome(self, _status(answer, sent), answer)

    def failed(self, sent: bool) -> None:
        """Its connection broke. `sent`: the request's last byte had been written."""
        self._end(Status.RESET if sent else Status.CONNECT_FAILED)

    def written(self) -> None:
        """The last byte of the request has gone."""
        counts = self.open.class_counts
        if counts is not None:
            counts.relayed += 1
        if self.open.client_request.streams_body:  # a body that took its time is no sign of a slow node
            self.begun_at = self.host.clock.now()

    def wanted(self, now: float) -> bool:
        """Whether its request is in hand, its client there, and an earlier attempt still remembered."""
        item = self.open
        return not (self.over or item.done or now >= self.before or item.client_request.client.has_left(now))

    def no_descriptor(self) -> None:
        """There is none to dial with: it waits for one."""
        self.host.await_descriptor(self)

    def unsent(self, _: object = None) -> None:
        """No descriptor came free in time, or it was too late once there was a connection."""
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


def _status(answer: UpstreamResponse, sent: bool) -> Status:
    if answer.code == 200 and sent:
        return OK
    if answer.code in (503, 504) and answer.headers.get(b"x-rejected") == b"1":
        return Status.FULL
    if answer.code == 200:
        return Status.RESET  # before the request was written whole, this cannot be its answer
    return Status.ERROR


def load_report(answer: UpstreamResponse, names: Sequence[str]) -> dict[str, float] | None:
    """The figures of a node's load report under the module's names; none where it has no readable one."""
    raw = answer.headers.get(b"x-load-report")
    if raw is None or not names:
        return None
    try:
        data = json.loads(raw)
        return {wire.LOAD_FIELD_NAMES.get(n, n): float(data[n]) for n in names if n in data}
    except (ValueError, TypeError):
        return None


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
