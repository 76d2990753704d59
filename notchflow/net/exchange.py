"""What the two sides of the proxy and the host share: a request in hand, an answer, and what each needs of
the others. No module of this package imports one that imports it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from notchflow.interface import Event, ListKind, Settings, Status
from notchflow.net.clock import Clock
from notchflow.net.listing import Listing
from notchflow.net.stalls import StallDetector
from notchflow.net.timers import Calendar, Handle
from notchflow.operations.duty import Duty
from notchflow.operations.figures import ClassCounts, Figures

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
DEPARTED = 0  # in place of a status: the client left before its answer
REASONS = {
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


class Answer:
    """A node's answer as it comes in."""

    __slots__ = ("code", "fields", "passed", "body", "size", "length", "begun_at")

    def __init__(self) -> None:
        self.code = 0
        self.fields: dict[bytes, bytes] = {}
        self.passed: list[bytes] = []
        self.body: list[bytes] = []
        self.size = 0
        self.length: int | None = None
        self.begun_at = 0.0


class Asker(Protocol):
    """The client's side of a request in hand: it takes the one final answer."""

    paused: bool

    def serve(self, call: Call, answer: Answer) -> None:
        """Answers with what a node answered."""

    def refuse(self, call: Call, retry_after_ms: float) -> None:
        """Answers that nothing ran. `retry_after_ms`: when to come back, if positive."""

    def fail(self, call: Call, status: int) -> None:
        """Answers that the request failed, with no promise."""

    def answer(self, call: Call, reply: Reply) -> None:
        """Answers with a reply of the proxy's own."""

    def begin_stream(self, call: Call, answer: Answer) -> None:
        """A long answer begins."""

    def stream(self, data: bytes) -> None:
        """A part of a long answer."""

    def end_stream(self, call: Call, whole: bool) -> None:
        """A long answer has ended, whole or cut off."""

    def flow(self, on: bool) -> None:
        """Whether more of the body that is arriving is wanted now."""

    def gone(self, now: float) -> bool:
        """Whether the client has closed its connection, so that nothing may begin for it any more."""


class Link(Protocol):
    """The connection that a streamed answer comes on."""

    heard_at: float

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

    def unwritten_to(self, pools: Collection[object]) -> bool:
        """Whether it goes to one of these pools, and a part of the request is still to be written."""


class Ticket(Protocol):
    """What a request in hand costs the tenant that it belongs to."""

    def charge(self, size: int) -> bool:
        """Counts bytes held; false where they are over the tenant's limit."""

    def done(self, status: int, ran: bool) -> None:
        """The request is over: answered with this status, or DEPARTED. Called once. `ran`: an
        attempt may have run, or may yet."""


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer of the proxy's own."""

    status: int
    headers: tuple[bytes, ...] = ()  # whole lines
    body: bytes = b""


class Ledger(Protocol):
    """Where bytes held in memory are counted."""

    held: int


class Call:
    """One request as a client sent it."""

    __slots__ = (
        "client",
        "ledger",
        "method",
        "url",
        "fields",
        "passed",
        "body",
        "size",
        "charged",
        "spilled",
        "keep",
        "chunks_allowed",
        "arrived_at",
        "earliest_at",
        "open",
        "fault",
        "ticket",
        "reply",
        "counts",
        "flowing",
        "whole",
        "spent",
        "chunked",
        "dropped",
        "ran",
    )

    def __init__(self, client: Asker, ledger: Ledger) -> None:
        self.client, self.ledger = client, ledger
        self.method = self.url = b""
        self.fields: dict[bytes, bytes] = {}
        self.passed: list[bytes] = []
        self.body: list[bytes] = []
        self.size = 0
        self.charged = 0  # bytes counted as held
        self.spilled = False
        self.keep = False
        self.chunks_allowed = True
        self.arrived_at = 0.0
        self.earliest_at = 0.0  # when it may have come: before it was read, if the process stood still
        self.open: Open | None = None
        self.fault = 0  # the status that a request which never reaches the module is answered with
        self.ticket: Ticket | None = None
        self.counts: ClassCounts | None = None  # where its end is counted, once it is taken
        self.flowing = False  # a long body: the request begins before that is whole
        self.whole = False  # of one that flows: the last byte has come
        self.spent = False  # and the first ones are not held any more
        self.dropped = False  # it is answered already: the rest of it is read and dropped
        self.chunked = False  # it goes on in chunks, as its length is not known
        self.ran = False  # an attempt may have run; kept where there is a ticket
        self.reply: Reply | None = None  # settled at the end of the head: the body is read and dropped

    def release(self) -> None:
        """Lets go of the body and of the bytes that are counted for it."""
        if self.charged:
            self.ledger.held -= self.charged
            self.charged = 0
        if self.body:
            self.body = []

    def settle(self, status: int) -> None:
        """The request is over for its client. What it was to the host is let go of, as that refers back: the
        collector, which stops the loop, must find nothing to do."""
        self.release()
        item, self.open = self.open, None
        counts, self.counts = self.counts, None
        if counts is not None:
            counts.end(status)
        ticket, self.ticket = self.ticket, None
        if ticket is not None:
            ticket.done(status, self.ran or (item is not None and bool(item.out)))


class Open:
    """A request in hand and its attempts."""

    __slots__ = (
        "id",
        "call",
        "deadline",
        "budget_ms",
        "attempts",
        "out",
        "done",
        "streaming",
        "last",
        "may_have_run",
        "timer",
        "counts",
    )

    def __init__(self, number: int, call: Call, deadline: float) -> None:
        self.id = number
        self.call = call
        self.counts = call.counts  # its attempts are counted there, also after its end
        self.deadline = deadline
        self.budget_ms = 0.0  # from the last byte of a body that is still arriving
        self.attempts = 0
        self.out: dict[int, Try] = {}
        self.done = False
        self.streaming: Try | None = None
        self.last: Status | None = None
        self.may_have_run = False  # by an attempt that has ended
        self.timer: Handle | None = None


class Dialler(Protocol):
    """What connections to nodes and to discovery need of the host."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    timers: Calendar

    def at(self, due: float, call: Callable[..., None], argument: Any = None) -> Handle:
        """Calls back at a time, in milliseconds on the clock."""

    def soon(self, call: Callable[..., None], argument: Any) -> None:
        """Calls back in the loop's next turn."""

    def descriptor(self) -> bool:
        """Takes a descriptor for a dial; false where there is none."""

    def freed(self) -> None:
        """A descriptor has been given back."""

    def starving(self) -> bool:
        """Whether dials wait for descriptors: an idle connection would keep one from them."""


class Teller(Dialler, Protocol):
    """What discovery needs of the host."""

    settings: Settings
    figures: Figures

    def tell(self, event: Event) -> None:
        """Hands the module an event."""

    def apply(self, listing: Listing, kind: ListKind) -> None:
        """Takes over a list of nodes, or changes to it."""

    def emptied(self, listing: Listing) -> bool:
        """Whether a whole list would leave nothing of the one that is known."""

    def pass_on(self, listing: Listing) -> None:
        """Tells other processes of this proxy what discovery told this one."""


class Gatekeeper(Protocol):
    """What clients' connections need of the host."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    stalls: StallDetector
    held: int
    held_max: float
    used: int
    descriptors: int  # that may be in use now; another process may have the rest for a while
    descriptors_whole: int
    duty: Duty
    figures: Figures

    def at(self, due: float, call: Callable[..., None], argument: Any = None) -> Handle:
        """Calls back at a time, in milliseconds on the clock."""

    def soon(self, call: Callable[..., None], argument: Any) -> None:
        """Calls back in the loop's next turn."""

    def freed(self) -> None:
        """A descriptor has been given back."""

    def spare(self) -> bool:
        """Closes the connection to a node that has been idle for longest, if there is one."""

    def informed(self) -> bool:
        """Whether clients may come: the list is as new as may be expected of a new process."""

    def request(
        self,
        call: Call,
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

    def client_gone(self, item: Open) -> None:
        """The client of a request has left."""

    def body_came(self, item: Open, pieces: Sequence[bytes]) -> None:
        """Pieces of a long body, for the attempts that are under way."""

    def body_whole(self, item: Open) -> None:
        """All of it has come: the client's time counts from now on."""

    def stuck(self, item: Open) -> None:
        """A box does not take the body any more."""

    def spend(self, item: Open) -> bool:
        """Whether the start of the body need not be held any more, as a box is getting it."""

    def pause(self, item: Open, paused: bool) -> None:
        """A client reads a long answer too slowly, or has caught up."""


class Door(Protocol):
    """What stands before the module where requests are not the platform's own: who asks, for what class, and
    in which words it is turned away."""

    def head(self, call: Call) -> None:
        """The head has come: may set `ticket`, or `reply` where the request is turned away already."""

    def begin(self, call: Call) -> Reply | None:
        """The request is whole: hands it to the host, or says why not."""

    def refused(self, retry_after_ms: float) -> Reply:
        """The words for a refusal of the module's."""

    def failed(self, status: int) -> Reply:
        """The words for a failure."""
