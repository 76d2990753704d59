"""The hosted door: between a client's connection and the host, by what the directory says.

What goes on to a box is built here from what was decided, and not copied from what came: the path in normal
form below the tenant's own space, an id of ours, the tenant's name, and an idempotency key that no other
tenant's can equal.
"""

from __future__ import annotations

import re
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Final, Protocol

from notchflow.interface import Effect
from notchflow.net.exchange import ClientRequest, LocalReply
from notchflow.tenancy.directory import Denied, Directory, Entry
from notchflow.tenancy.limits import Refusal
from notchflow.tenancy.model import TenantState
from notchflow.tenancy.paths import HOST, PathFault, Target, normalise
from notchflow.tenancy.problems import reply
from notchflow.tenancy.routes import Match

READY: Final = b"/health/ready"
BEARER: Final = re.compile(rb"[Bb][Ee][Aa][Rr][Ee][Rr] +([A-Za-z0-9._~+/=-]{1,200})")
IDEMPOTENCY: Final = re.compile(rb"[\x21-\x7e]{1,200}")
# Never passed on: credentials, what only the proxy may say of a request, and what is written anew. A client
# that sends a forged X-Caller or X-Call-Id changes nothing.
OURS: Final = frozenset(
    {
        b"authorization",
        b"x-api-key",
        b"host",
        b"idempotency-key",
        b"x-caller",
        b"x-call-id",
        b"x-call-class",
        b"x-call-cost",
        b"x-call-info",
        b"x-again",
        b"x-budget",
        b"expect",
        b"forwarded",
        b"x-forwarded-for",
        b"x-forwarded-host",
        b"x-forwarded-proto",
        b"x-forwarded-prefix",
        b"x-original-url",
        b"x-rewrite-url",
        b"x-http-method-override",
        b"content-length",
    }
)
WRITES_BODY: Final = frozenset({b"PUT", b"POST", b"PATCH"})
FAILURES: Final = {
    400: "bad-request",
    408: "bad-request",
    413: "too-large",
    431: "too-large",
    501: "not-implemented",
}
MODULE_RETRY_S: Final = 1.0  # the module's pressure halves in less; it says no time of its own
OWN_SPACE: Final = "/t/"


class Receiver(Protocol):
    """The host, as far as the door needs it."""

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
        earlier: float | None = None,
    ) -> None: ...


class Guarded(Protocol):
    """A request whose effects are remembered, as far as its ticket needs it."""

    def begin(self, call: ClientRequest, cls: str) -> LocalReply | None:
        """Hands the request on, now or later, or says why not."""

    def ended(self, status: int, ran: bool) -> None: ...


class Remembers(Protocol):
    """The memory of effects, as far as the door needs it."""

    def guard(
        self, call: ClientRequest, cls: str, key: bytes, busy: LocalReply, go: Callable[[float | None], None]
    ) -> Guarded | None:
        """For a request with an idempotency key; none where the class needs none. `go` hands it on."""


@dataclass(frozen=True, slots=True)
class Face:
    """What the door is set to: where boxes expect a tenant's space, the Host that they are sent, the longest
    body (bytes), and each class's effect."""

    prefix: str = "/api"
    host: bytes = b"notchflow.internal"
    body_max: int = 64 << 10
    effects: Mapping[str, Effect] | None = None


class Ticket:
    """One request of a tenant's, from the end of its head to its answer."""

    __slots__ = ("door", "entry", "match", "target", "since", "size", "over", "guard")

    def __init__(self, door: TenantDoor, entry: Entry, match: Match, target: Target) -> None:
        self.door, self.entry, self.match, self.target = door, entry, match, target
        self.since = 0.0  # when it was admitted; 0: it was not
        self.size = 0  # bytes charged to the tenant
        self.over = False  # its body is more than the tenant may hold
        self.guard: Guarded | None = None

    def charge(self, size: int) -> bool:
        if not self.door.directory.charge(self.entry, size):
            self.over = True
            return False
        self.size += size
        return True

    def done(self, status: int, ran: bool) -> None:
        guard, self.guard = self.guard, None
        if guard is not None:
            guard.ended(status, ran)
        self.entry.usage.bytes -= self.size
        if self.since:
            self.door.directory.over(self.entry, max(time.monotonic() - self.since, 0.0), status)


class TenantDoor:
    """The door of the hosted service (see `notchflow.net.exchange.Gateway`)."""

    def __init__(
        self,
        directory: Directory,
        face: Face,
        pressure: Callable[[], float],
        run: bytes,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.directory, self.face, self.pressure, self.wall = directory, face, pressure, wall
        self.host: Receiver | None = None
        self.memory: Remembers | None = None
        self.outside: LocalReply | None = None  # what all are told while this instance may take nothing
        self.doubts: Callable[[], LocalReply | None] | None = None  # whether the rules here may be acted on
        self.ready: Callable[[], LocalReply] | None = (
            None  # a readiness check's answer, in place of the host's
        )
        self.run, self.number = run, 0  # ids: 8 digits of this run of the process, 8 of the request
        self.suspended = reply(403, "tenant-suspended", "The operator has suspended this tenant.")
        self.retiring = reply(403, "tenant-retiring", "What is in hand is answered; nothing new is taken.")
        challenge = (b'WWW-Authenticate: Bearer realm="notchflow"\r\n',)
        self.denied = {
            Denied.MISSING: reply(
                401, "key-missing", "Send it as Authorization: Bearer, or as X-Api-Key.", fields=challenge
            ),
            Denied.UNKNOWN: reply(401, "key-unknown", fields=challenge),
        }
        self.nothing = reply(404, "no-route")
        self.hostless = reply(400, "host-required")
        self.busy = reply(503, "refused", "Nothing was done: trying again is harmless.", MODULE_RETRY_S)

    # -- the head has come
    def head(self, call: ClientRequest) -> None:
        if call.url == READY:
            call.local_reply = self.ready() if self.ready is not None else None
            return
        call.local_reply = self._closed()
        if call.local_reply is not None:
            return
        found = self._judge(call)
        if isinstance(found, LocalReply):
            call.local_reply = found
        else:
            call.ticket = found

    def _closed(self) -> LocalReply | None:
        """What all are told while nothing may be taken here."""
        if self.outside is not None:
            return self.outside
        return self.doubts() if self.doubts is not None else None

    def _judge(self, call: ClientRequest) -> Ticket | LocalReply:
        host = call.headers.get(b"host")
        if host is None or HOST.fullmatch(host) is None:
            return self.hostless
        entry = self.directory.authenticate(_token(call.forwarded_headers), self.wall())
        if isinstance(entry, Denied):
            return self.denied[entry]
        try:
            target = normalise(call.url)
        except PathFault as error:
            return reply(400, "path-ambiguous", f"{error}.")
        path = target.path
        if path.startswith(OWN_SPACE):  # the long form, /t/<tenant>/...: any other tenant's is not there
            own = OWN_SPACE + entry.space
            if not path.startswith(own):
                return self.nothing
            path = path[len(own) - 1 :]
            target = Target(path, target.query)
        match = entry.router.match(call.method.decode("ascii"), path)
        if isinstance(match, frozenset):
            if not match:
                return self.nothing
            allow = ", ".join(sorted(match))
            return reply(
                405, "method-not-allowed", f"Allowed: {allow}.", fields=(b"Allow: %b\r\n" % allow.encode(),)
            )
        return self._allowed(call, entry, match, target)

    def _allowed(
        self, call: ClientRequest, entry: Entry, match: Match, target: Target
    ) -> Ticket | LocalReply:
        if entry.tenant.state is not TenantState.ACTIVE:
            return self.suspended if entry.tenant.state is TenantState.SUSPENDED else self.retiring
        length = call.headers.get(b"content-length")
        if length is not None and int(length) > self.face.body_max:
            return self._too_large()
        key = call.headers.get(b"idempotency-key")
        if key is not None and IDEMPOTENCY.fullmatch(key) is None:
            return reply(400, "bad-request", "Idempotency-Key has 1 to 200 visible ASCII characters.")
        keyed = self.face.effects is not None and self.face.effects.get(match.route.cls) is Effect.KEYED
        if (keyed or match.route.key_required) and key is None:  # a repeat could not be known for one
            return reply(400, "idempotency-key-required", f"Class {match.route.cls} is known by its key.")
        return Ticket(self, entry, match, target)

    def _too_large(self) -> LocalReply:
        return reply(413, "too-large", f"A body has at most {self.face.body_max} bytes.")

    # -- the request is whole
    def begin(self, call: ClientRequest) -> LocalReply | None:
        ticket, host = call.ticket, self.host
        if not isinstance(ticket, Ticket) or host is None:
            return self.nothing
        closed = self._closed()  # a process that was stopped finds that its leave is over here
        if closed is not None:
            return closed
        entry = ticket.entry
        if entry.tenant.state is not TenantState.ACTIVE:  # it may have changed while the body came
            return self.suspended if entry.tenant.state is TenantState.SUSPENDED else self.retiring
        if call.body_size > self.face.body_max:
            return self._too_large()
        if call.body_not_held and not ticket.over:
            return self.busy  # the proxy's own memory is short
        if call.body_not_held:
            return _refusal(self.directory.too_many_bytes(entry))
        refusal = self.directory.admit(entry, time.monotonic(), self.pressure())
        if refusal is not None:
            return _refusal(refusal)
        ticket.since = time.monotonic()
        key, cls = call.headers.get(b"idempotency-key"), ticket.match.route.cls
        if self.memory is not None and key is not None:
            go = partial(self._hand_on, call, ticket)
            ticket.guard = self.memory.guard(call, cls, b"%b/%b" % (entry.caller, key), self.busy, go)
        if ticket.guard is not None:
            return ticket.guard.begin(call, cls)
        self._hand_on(call, ticket, None)
        return None

    def _hand_on(self, call: ClientRequest, ticket: Ticket, earlier: float | None) -> None:
        """`earlier`: so many milliseconds ago a request under the same key may first have run."""
        assert self.host is not None
        entry = ticket.entry
        self._rewrite(call, ticket)
        self.host.start_request(
            call,
            ticket.match.route.cls,
            None,
            key=entry.space + ticket.match.key,
            tenant=entry.tenant.id,
            write=call.method != b"GET",
            earlier=earlier,
        )

    def _rewrite(self, call: ClientRequest, ticket: Ticket) -> None:
        self.number += 1
        entry, target = ticket.entry, ticket.target
        query = b"" if target.query is None else b"?" + target.query
        call.url = b"%b/%b%b%b" % (self.face.prefix.encode(), entry.caller, target.path.encode(), query)
        passed = [line for line in call.forwarded_headers if line[: line.index(b":")].lower() not in OURS]
        passed.append(
            b"Host: %b\r\nX-Call-Id: %b%08x\r\nX-Call-Class: %b\r\nX-Caller: %b\r\n"
            % (
                self.face.host,
                self.run,
                self.number & 0xFFFFFFFF,
                ticket.match.route.cls.encode(),
                entry.caller,
            )
        )
        key = call.headers.get(b"idempotency-key")
        if key is not None:
            passed.append(b"Idempotency-Key: %b/%b\r\n" % (entry.caller, key))
        if call.body_size or call.method in WRITES_BODY:
            passed.append(b"Content-Length: %d\r\n" % call.body_size)
        call.forwarded_headers = passed

    # -- the module's answers
    def refused(self, retry_after_ms: float) -> LocalReply:
        if retry_after_ms <= 0:
            return self.busy
        return reply(503, "refused", "Nothing was done: trying again is harmless.", retry_after_ms / 1e3)

    def failed(self, status: int) -> LocalReply:
        return reply(status, FAILURES.get(status, "failed"))


def _token(passed: list[bytes]) -> str | None:
    """The API key of a request: two different ones are none."""
    found: set[bytes] = set()
    for line in passed:
        name, _, value = line.partition(b":")
        low = name.lower()
        if low == b"authorization":
            bearer = BEARER.fullmatch(value.strip())
            found.add(bearer[1] if bearer is not None else b"")
        elif low == b"x-api-key":
            found.add(value.strip())
    if not found:
        return None
    return found.pop().decode("latin-1") if len(found) == 1 else ""


def _refusal(refusal: Refusal) -> LocalReply:
    return reply(
        429,
        "limit",
        f"At its limit: {refusal.reason.value}. Nothing was done.",
        refusal.retry_after_s,
        limit=refusal.reason.value,
    )
