"""Types shared by the client side, the node side and the host: requests, responses, and the protocols through
which each uses the others, so that imports within the package form no cycle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from notchflow.interface import Event, ListKind, Settings, Status
from notchflow.net.clock import Clock
from notchflow.net.node_list import NodeList
from notchflow.net.request_ids import IdClaim
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
CLIENT_CLOSED = 0  # in place of a status: the client disconnected before its answer
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
    """A response from a node, or from discovery, as it is received."""

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
    """The client's connection, to which the one final answer of a request is written."""

    paused: bool

    def serve(self, request: ClientRequest, response: UpstreamResponse) -> None:
        """Writes the response of a node."""

    def refuse(self, request: ClientRequest, retry_after_ms: float) -> None:
        """Rejects the request: nothing ran. `retry_after_ms`: when the client may retry, if positive."""

    def fail(self, request: ClientRequest, status: int) -> None:
        """Fails the request with this status; it may or may not have run."""

    def answer(self, request: ClientRequest, reply: LocalReply) -> None:
        """Writes a reply that the proxy generated."""

    def begin_stream(self, request: ClientRequest, response: UpstreamResponse) -> None:
        """Begins a streamed response."""

    def stream(self, data: bytes) -> None:
        """Writes a part of a streamed response."""

    def end_stream(self, request: ClientRequest, complete: bool) -> None:
        """Ends a streamed response, complete or cut off."""

    def set_body_wanted(self, on: bool) -> None:
        """Resumes or pauses reading the request body."""

    def has_left(self, now: float) -> bool:
        """Whether the client has disconnected, so that no attempt may start for it."""


class UpstreamConnection(Protocol):
    """The connection that a streamed response is read from."""

    last_read_at: float

    def has_unwritten_output(self) -> bool:
        """Whether a part of what was written is still held in this process."""

    def set_paused(self, on: bool) -> None:
        """Pauses or resumes reading the response."""


class UpstreamAttempt(Protocol):
    """An attempt at a node, as the host uses it."""

    streaming: bool

    @property
    def connection(self) -> UpstreamConnection | None:
        """Its connection; none before the dial has succeeded."""

    def abandon(self, status: Status) -> None:
        """Abandons the attempt with this outcome."""

    def begin_stream_early(self) -> bool:
        """Begins to pass on a response of unknown length that is still arriving; whether there is one."""

    def stream_has_stalled(self, now: float) -> bool:
        """Whether the node has given nothing more of a streamed response for too long."""

    def send_body(self, pieces: Sequence[bytes]) -> None:
        """Sends further pieces of the body."""

    def end_body(self) -> None:
        """The body is complete."""

    def is_complete_at_node(self) -> bool:
        """Whether the node's machine has acknowledged the last byte of the request."""

    def must_be_complete_before(self, due: float) -> None:
        """Ends the attempt if its node does not have the whole request by then."""

    def is_writing(self) -> bool:
        """Whether the last byte of the request has not been passed to the kernel."""

    def is_writing_to(self, pools: Collection[object]) -> bool:
        """Whether it uses one of these pools and has not written the whole request yet."""


class AdmissionTicket(Protocol):
    """Accounts for a request against the limits of its tenant."""

    def charge(self, size: int) -> bool:
        """Counts buffered bytes; false if they exceed the tenant's limit."""

    def done(self, status: int, ran: bool) -> None:
        """The request has ended with this status, or CLIENT_CLOSED. Called once. `ran`: an attempt may have
        run, or may still run."""


@dataclass(frozen=True, slots=True)
class LocalReply:
    """A response that the proxy generates itself."""

    status: int
    headers: tuple[bytes, ...] = ()  # complete lines, with CRLF
    body: bytes = b""


class BufferAccount(Protocol):
    """Counts the bytes of bodies held in memory."""

    buffered_bytes: int


class ClientRequest:
    """One request as received from a client."""

    __slots__ = (
        "client",
        "buffer_account",
        "method",
        "url",
        "headers",
        "forwarded_headers",
        "body",
        "body_size",
        "charged_bytes",
        "charged_head",
        "id_claim",
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
        "may_have_run",
    )

    def __init__(self, client: Downstream, buffer_account: BufferAccount) -> None:
        self.client, self.buffer_account = client, buffer_account
        self.method = self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.forwarded_headers: list[bytes] = []
        self.body: list[bytes] = []
        self.body_size = 0
        self.charged_bytes = 0  # memory of the body that is counted in `buffer_account`
        self.id_claim: IdClaim | None = None  # of the id that its client gave it
        self.charged_head = 0  # memory of the head that is counted there
        self.body_not_held = False
        self.keep_alive = False
        self.chunks_allowed = True
        self.arrived_at = 0.0
        self.earliest_arrival_at = 0.0  # it may have arrived this early, if the process was stalled
        self.active: ActiveRequest | None = None
        self.error_status = 0  # if not 0, answered with this status without asking the policy
        self.ticket: AdmissionTicket | None = None
        self.class_counts: ClassCounts | None = None  # metrics of its class, once it is accepted
        self.streams_body = False  # a long body: attempts start before it is complete
        self.body_complete = False  # of a streamed body: the last byte has arrived
        self.body_start_dropped = False  # the start of a streamed body is no longer buffered
        self.drop_body = False  # already answered: the rest of the body is read and discarded
        self.chunked = False  # forwarded in chunked encoding, as the length is unknown
        self.may_have_run = False  # an attempt may have run; set only if there is a ticket
        self.local_reply: LocalReply | None = None  # decided after the head: the body is discarded

    def release_body(self) -> None:
        """Frees the body and stops counting its bytes."""
        if self.charged_bytes:
            self.buffer_account.buffered_bytes -= self.charged_bytes
            self.charged_bytes = 0
        if self.body:
            self.body = []

    def finish(self, status: int) -> None:
        """The request has ended for its client. Drops the reference to the host's state, which refers back:
        a cycle would be left to the garbage collector, whose runs stall the event loop."""
        self.release_body()
        if self.charged_head:
            self.buffer_account.buffered_bytes -= self.charged_head
            self.charged_head = 0
        active, self.active = self.active, None
        counts, self.class_counts = self.class_counts, None
        if counts is not None:
            counts.end_request(status)
        ticket, self.ticket = self.ticket, None
        if ticket is not None:
            ticket.done(
                status, self.may_have_run or (active is not None and bool(active.outstanding_attempts))
            )


class ActiveRequest:
    """An accepted request and its attempts."""

    __slots__ = (
        "id",
        "client_request",
        "deadline",
        "budget_ms",
        "held_since",
        "transfer_deadline",
        "attempt_count",
        "outstanding_attempts",
        "done",
        "streaming_attempt",
        "last_status",
        "may_have_run",
        "deadline_timer",
        "class_counts",
        "id_claim",
    )

    def __init__(self, number: int, request: ClientRequest, deadline: float) -> None:
        self.id = number
        self.client_request = request
        self.id_claim = request.id_claim
        self.class_counts = request.class_counts  # attempts are still counted after the request has ended
        self.deadline = deadline
        self.budget_ms = 0.0  # runs from the last byte of a streamed body
        self.held_since: float | None = None  # it is not read although its client may have sent all of it
        self.transfer_deadline = deadline  # by which the last byte of a streamed body must be answered
        self.attempt_count = 0
        self.outstanding_attempts: dict[int, UpstreamAttempt] = {}
        self.done = False
        self.streaming_attempt: UpstreamAttempt | None = None
        self.last_status: Status | None = None
        self.may_have_run = False  # as shown by attempts that have ended
        self.deadline_timer: TimerId | None = None

    def set_done(self) -> None:
        """The request has its final answer, or its client has left; attempts may still be outstanding."""
        self.done = True
        if self.id_claim is not None:
            self.id_claim.is_over = True


class ConnectionHost(Protocol):
    """The host, as connections to nodes and to discovery use it."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    timers: TimerWheel
    buffered_bytes: int
    buffer_limit: float
    max_read_bytes: int

    def call_at(self, due: float, callback: Callable[..., None], argument: Any = None) -> TimerId:
        """Calls back at `due`, in milliseconds on the clock."""

    def call_soon(self, callback: Callable[..., None], argument: Any) -> None:
        """Calls back in the next iteration of the event loop."""

    def acquire_descriptor(self) -> bool:
        """Reserves a descriptor for a dial; false if none is left."""

    def release_descriptor(self) -> None:
        """Returns a descriptor."""

    def has_waiting_dials(self) -> bool:
        """Whether dials are waiting for descriptors, so that a connection should be closed rather than kept
        idle."""

    def count_unsolicited_response(self) -> None:
        """Counts a response that has arrived on an idle connection."""


class DiscoveryHost(ConnectionHost, Protocol):
    """The host, as discovery uses it."""

    settings: Settings
    metrics: ProxyMetrics

    def dispatch(self, event: Event) -> None:
        """Passes an event to the policy."""

    def apply_discovered(self, listing: NodeList, kind: ListKind) -> None:
        """Applies a list of nodes, or changes to it, in all processes of this proxy."""

    def removes_all_nodes(self, node_list: NodeList) -> bool:
        """Whether applying this complete list would remove every known node."""


class ClientHost(Protocol):
    """The host, as clients' connections use it."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    stalls: StallDetector
    buffered_bytes: int
    buffer_limit: float
    max_read_bytes: int
    descriptors_used: int
    descriptor_limit: int  # currently allowed; another process of this proxy may hold the rest for a while
    total_descriptor_limit: int
    lifecycle: Lifecycle
    metrics: ProxyMetrics

    def call_at(self, due: float, callback: Callable[..., None], argument: Any = None) -> TimerId:
        """Calls back at `due`, in milliseconds on the clock."""

    def call_soon(self, callback: Callable[..., None], argument: Any) -> None:
        """Calls back in the next iteration of the event loop."""

    def release_descriptor(self) -> None:
        """Returns a descriptor."""

    def close_idle_connection(self) -> bool:
        """Closes the connection to a node that has been idle longest; false if there is none."""

    def list_is_current(self) -> bool:
        """Whether the list of nodes is recent enough for a new process to report readiness."""

    def claim_id(self, request: ClientRequest, cls: str) -> bool:
        """Claims the id that a client gave its request; false if it must not be passed on once more."""

    def start_request(
        self,
        request: ClientRequest,
        cls: str,
        budget_ms: float | None,
        key: str | None = None,
        tenant: str | None = None,
        hint_ms: float | None = None,
        size: float | None = None,
        retry: bool = False,
        write: bool = False,
    ) -> None:
        """Accepts a request, which then gets exactly one final answer."""

    def end_incomplete(self, active: ActiveRequest) -> None:
        """The client of a long body has closed its connection, or its side of it: ends the request unless a
        node has all of it already."""

    def client_gone(self, active: ActiveRequest) -> None:
        """The client of a request has disconnected."""

    def body_received(self, active: ActiveRequest, pieces: Sequence[bytes]) -> None:
        """Forwards pieces of a streamed body to the outstanding attempts."""

    def finish_body(self, active: ActiveRequest) -> None:
        """The body is complete: the client's budget runs from now on."""

    def hold_body(self, active: ActiveRequest, since: float) -> None:
        """A body is not read further although its client may have sent all of it: its budget runs since
        then."""

    def release_body(self, active: ActiveRequest) -> None:
        """A body is read again."""

    def body_stalled(self, active: ActiveRequest) -> None:
        """A node has stopped reading the body."""

    def try_discard_body(self, active: ActiveRequest) -> bool:
        """Whether the buffered start of the body may be discarded, as exactly one node is receiving it."""

    def set_response_paused(self, active: ActiveRequest, paused: bool) -> None:
        """Pauses or resumes a streamed response, as the client reads too slowly or has caught up."""


class Gateway(Protocol):
    """Authenticates and routes the requests of tenants: decides the class of a request, and the replies to
    those that are rejected."""

    def head(self, request: ClientRequest) -> None:
        """The head is complete: may set `ticket`, or `local_reply` to reject the request already."""

    def begin(self, request: ClientRequest) -> LocalReply | None:
        """The request is complete: passes it to the host, or returns a reply that rejects it."""

    def refused(self, retry_after_ms: float) -> LocalReply:
        """The reply to a request that the policy rejected."""

    def failed(self, status: int) -> LocalReply:
        """The reply to a request that failed with this status."""
