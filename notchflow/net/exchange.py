"""What the two sides of the proxy and the host share: a request in hand, an answer, and what each needs of
the others. No module of this package imports one that imports it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from notchflow.interface import Event, ListKind, Settings, Status
from notchflow.net.clock import Clock
from notchflow.net.node_list import NodeList
from notchflow.net.stalls import StallDetector
from notchflow.net.timers import TimerId, TimerWheel
from notchflow.operations.lifecycle import Lifecycle
from notchflow.operations.metrics import ClassCounts, ProxyMetrics

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"transfer-encoding",
        b"content-length",
        b"proxy-authenticate",
        b"proxy-authorization",
    }
)
CLIENT_CLOSED = 0  # in place of a status: the client left before its answer
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    401: b"Unauthorized",
    403: b"Forbidden",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class UpstreamResponse:
    """A node's answer as it comes in."""

    __slots__ = ("code", "headers", "forwarded_headers", "body", "body_size", "length", "begun_at")

    def __init__(self) -> None:
        self.code = 0
        self.headers: dict[bytes, bytes] = {}
        self.forwarded_headers: list[bytes] = []
        self.body: list[bytes] = []
        self.body_size = 0
        self.length: int | None = None
        self.begun_at = 0.0


class Downstream(Protocol):
    """The client's side of a request in hand: it takes the one final answer."""

    paused: bool

    def serve(self, call: ClientRequest, answer: UpstreamResponse) -> None:
        """Answers with what a node answered."""

    def refuse(self, call: ClientRequest, retry_after_ms: float) -> None:
        """Answers that nothing ran. `retry_after_ms`: when to come back, if positive."""

    def fail(self, call: ClientRequest, status: int) -> None:
        """Answers that the request failed, with no promise."""

    def answer(self, call: ClientRequest, reply: LocalReply) -> None:
        """Answers with a reply of the proxy's own."""

    def begin_stream(self, call: ClientRequest, answer: UpstreamResponse) -> None:
        """A long answer begins."""

    def stream(self, data: bytes) -> None:
        """A part of a long answer."""

    def end_stream(self, call: ClientRequest, whole: bool) -> None:
        """A long answer has ended, whole or cut off."""

    def set_body_wanted(self, on: bool) -> None:
        """Whether more of the body that is arriving is wanted now."""

    def has_left(self, now: float) -> bool:
        """Whether the client has closed its connection, so that nothing may begin for it any more."""


class Link(Protocol):
    """The connection that a streamed answer comes on."""

    last_read_at: float

    def hold(self, on: bool) -> None:
        """Reads no more of an answer, or goes on."""


class Try(Protocol):
    """An attempt at a node, as the host sees it."""

    started: bool

    @property
    def connection(self) -> Link | None:
        """The connection that it goes on, once there is one."""

    def abandon(self, status: Status) -> None:
        """Gives the attempt up, with this outcome."""

    def more(self, pieces: Sequence[bytes]) -> None:
        """Further pieces of the body."""

    def body_ended(self) -> None:
        """The body is whole."""

    def is_writing_to(self, pools: Collection[object]) -> bool:
        """Whether it goes to one of these pools, and a part of the request is still to be written."""


class Ticket(Protocol):
    """What a request in hand costs the tenant that it belongs to."""

    def charge(self, size: int) -> bool:
        """Counts bytes held; false where they are over the tenant's limit."""

    def done(self, status: int, ran: bool) -> None:
        """The request is over: answered with this status, or CLIENT_CLOSED. Called once. `ran`: an
        attempt may have run, or may yet."""


@dataclass(frozen=True, slots=True)
class LocalReply:
    """An answer of the proxy's own."""

    status: int
    headers: tuple[bytes, ...] = ()  # whole lines
    body: bytes = b""


class Ledger(Protocol):
    """Where bytes held in memory are counted."""

    buffered_bytes: int


class ClientRequest:
    """One request as a client sent it."""

    __slots__ = (
        "client",
        "ledger",
        "method",
        "url",
        "headers",
        "forwarded_headers",
        "body",
        "body_size",
        "charged_bytes",
        "body_not_held",
        "keep_alive",
        "chunks_allowed",
        "arrived_at",
        "earliest_arrival_at",
        "active",
        "error_status",
        "ticket",
        "local_reply",
        "class_counts",
        "streams_body",
        "body_complete",
        "body_start_dropped",
        "chunked",
        "drop_body",
        "ran",
    )

    def __init__(self, client: Downstream, ledger: Ledger) -> None:
        self.client, self.ledger = client, ledger
        self.method = self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.forwarded_headers: list[bytes] = []
        self.body: list[bytes] = []
        self.body_size = 0
        self.charged_bytes = 0  # bytes counted as held
        self.body_not_held = False
        self.keep_alive = False
        self.chunks_allowed = True
        self.arrived_at = 0.0
        self.earliest_arrival_at = (
            0.0  # when it may have come: before it was read, if the process stood still
        )
        self.active: ActiveRequest | None = None
        self.error_status = 0  # the status that a request which never reaches the module is answered with
        self.ticket: Ticket | None = None
        self.class_counts: ClassCounts | None = None  # where its end is counted, once it is taken
        self.streams_body = False  # a long body: the request begins before that is whole
        self.body_complete = False  # of one that flows: the last byte has come
        self.body_start_dropped = False  # and the first ones are not held any more
        self.drop_body = False  # it is answered already: the rest of it is read and dropped
        self.chunked = False  # it goes on in chunks, as its length is not known
        self.ran = False  # an attempt may have run; kept where there is a ticket
        self.local_reply: LocalReply | None = (
            None  # settled at the end of the head: the body is read and dropped
        )

    def release_body(self) -> None:
        """Lets go of the body and of the bytes that are counted for it."""
        if self.charged_bytes:
            self.ledger.buffered_bytes -= self.charged_bytes
            self.charged_bytes = 0
        if self.body:
            self.body = []

    def finish(self, status: int) -> None:
        """The request is over for its client. What it was to the host is let go of, as that refers back: the
        collector, which stops the loop, must find nothing to do."""
        self.release_body()
        item, self.active = self.active, None
        counts, self.class_counts = self.class_counts, None
        if counts is not None:
            counts.end_request(status)
        ticket, self.ticket = self.ticket, None
        if ticket is not None:
            ticket.done(status, self.ran or (item is not None and bool(item.outstanding_attempts)))


class ActiveRequest:
    """A request in hand and its attempts."""

    __slots__ = (
        "id",
        "client_request",
        "deadline",
        "budget_ms",
        "attempts",
        "outstanding_attempts",
        "done",
        "streaming_attempt",
        "last",
        "may_have_run",
        "timer",
        "class_counts",
    )

    def __init__(self, number: int, call: ClientRequest, deadline: float) -> None:
        self.id = number
        self.client_request = call
        self.class_counts = call.class_counts  # its attempts are counted there, also after its end
        self.deadline = deadline
        self.budget_ms = 0.0  # from the last byte of a body that is still arriving
        self.attempts = 0
        self.outstanding_attempts: dict[int, Try] = {}
        self.done = False
        self.streaming_attempt: Try | None = None
        self.last: Status | None = None
        self.may_have_run = False  # by an attempt that has ended
        self.timer: TimerId | None = None


class ConnectionHost(Protocol):
    """What connections to nodes and to discovery need of the host."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    timers: TimerWheel

    def call_at(self, due: float, call: Callable[..., None], argument: Any = None) -> TimerId:
        """Calls back at a time, in milliseconds on the clock."""

    def call_soon(self, call: Callable[..., None], argument: Any) -> None:
        """Calls back in the loop's next turn."""

    def acquire_descriptor(self) -> bool:
        """Takes a descriptor for a dial; false where there is none."""

    def release_descriptor(self) -> None:
        """A descriptor has been given back."""

    def has_waiting_dials(self) -> bool:
        """Whether dials wait for descriptors: an idle connection would keep one from them."""


class DiscoveryHost(ConnectionHost, Protocol):
    """What discovery needs of the host."""

    settings: Settings
    metrics: ProxyMetrics

    def dispatch(self, event: Event) -> None:
        """Hands the module an event."""

    def apply(self, listing: NodeList, kind: ListKind) -> None:
        """Takes over a list of nodes, or changes to it."""

    def removes_all_nodes(self, listing: NodeList) -> bool:
        """Whether a whole list would leave nothing of the one that is known."""

    def share_list(self, listing: NodeList) -> None:
        """Tells other processes of this proxy what discovery told this one."""


class ClientHost(Protocol):
    """What clients' connections need of the host."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    stalls: StallDetector
    buffered_bytes: int
    buffer_limit: float
    descriptors_used: int
    descriptor_limit: int  # that may be in use now; another process may have the rest for a while
    total_descriptor_limit: int
    lifecycle: Lifecycle
    metrics: ProxyMetrics

    def call_at(self, due: float, call: Callable[..., None], argument: Any = None) -> TimerId:
        """Calls back at a time, in milliseconds on the clock."""

    def call_soon(self, call: Callable[..., None], argument: Any) -> None:
        """Calls back in the loop's next turn."""

    def release_descriptor(self) -> None:
        """A descriptor has been given back."""

    def close_idle_connection(self) -> bool:
        """Closes the connection to a node that has been idle for longest, if there is one."""

    def list_is_current(self) -> bool:
        """Whether clients may come: the list is as new as may be expected of a new process."""

    def start_request(
        self,
        call: ClientRequest,
        cls: str,
        budget_ms: float | None,
        key: str | None = None,
        tenant: str | None = None,
        hint_ms: float | None = None,
        size: float | None = None,
        retry: bool = False,
        write: bool = False,
    ) -> None:
        """Takes a request in hand: it is owed its one final answer."""

    def client_gone(self, item: ActiveRequest) -> None:
        """The client of a request has left."""

    def body_received(self, item: ActiveRequest, pieces: Sequence[bytes]) -> None:
        """Pieces of a long body, for the attempts that are under way."""

    def finish_body(self, item: ActiveRequest) -> None:
        """All of it has come: the client's time counts from now on."""

    def body_stalled(self, item: ActiveRequest) -> None:
        """A box does not take the body any more."""

    def try_discard_body(self, item: ActiveRequest) -> bool:
        """Whether the start of the body need not be held any more, as a box is getting it."""

    def set_response_paused(self, item: ActiveRequest, paused: bool) -> None:
        """A client reads a long answer too slowly, or has caught up."""


class Gateway(Protocol):
    """What stands before the module where requests are not the platform's own: who asks, for what class, and
    in which words it is turned away."""

    def head(self, call: ClientRequest) -> None:
        """The head has come: may set `ticket`, or `reply` where the request is turned away already."""

    def begin(self, call: ClientRequest) -> LocalReply | None:
        """The request is whole: hands it to the host, or says why not."""

    def refused(self, retry_after_ms: float) -> LocalReply:
        """The words for a refusal of the module's."""

    def failed(self, status: int) -> LocalReply:
        """The words for a failure."""
