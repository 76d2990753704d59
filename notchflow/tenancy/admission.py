"""Admission of tenants' requests: authenticates, routes, limits and rewrites them before they are dispatched.

The request that a node receives is built from the decisions made here, not copied from the client's: the path
is in normal form and below the tenant's own prefix, the request ID is assigned here, the tenant is named, and
the idempotency key is prefixed so that keys of different tenants never collide.
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
from notchflow.tenancy.directory import AuthFailure, Directory, Entry
from notchflow.tenancy.limits import Rejection
from notchflow.tenancy.model import TenantState
from notchflow.tenancy.paths import HOST, PathError, Target, normalise_target
from notchflow.tenancy.problems import reply
from notchflow.tenancy.routes import Match

READINESS_PATH: Final = b"/health/ready"
BEARER_CREDENTIALS: Final = re.compile(rb"[Bb][Ee][Aa][Rr][Ee][Rr] +([A-Za-z0-9._~+/=-]{1,200})")
IDEMPOTENCY_KEY: Final = re.compile(rb"[\x21-\x7e]{1,200}")
# Header fields that are never forwarded: credentials, fields that only the proxy may set, and fields that
# `_rewrite_head` sets again. A client cannot forge X-Caller or X-Call-Id.
NEVER_FORWARDED: Final = frozenset(
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
METHODS_WITH_BODY: Final = frozenset({b"PUT", b"POST", b"PATCH"})
PROBLEM_KINDS: Final = {
    400: "bad-request",
    408: "bad-request",
    413: "too-large",
    431: "too-large",
    501: "not-implemented",
}
# Retry-After of requests that the policy sheds without a time of its own; its pressure halves in less.
SHED_RETRY_AFTER_S: Final = 1.0
TENANT_PATH_PREFIX: Final = "/t/"


class RequestHost(Protocol):
    """The host that dispatches admitted requests."""

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
    ) -> None:
        """Dispatches a request whose body is complete."""
        ...


class TrackedRequest(Protocol):
    """A request with an idempotency key, tracked by the effect memory."""

    def begin(self, call: ClientRequest, cls: str) -> LocalReply | None:
        """Forwards the request, now or later, or returns the reply that answers it instead."""

    def ended(self, status: int, ran: bool) -> None:
        """Records the final status and whether the request may have run."""
        ...


class EffectMemory(Protocol):
    """The memory of effects, which deduplicates requests by idempotency key."""

    def guard(
        self, call: ClientRequest, cls: str, key: bytes, busy: LocalReply, go: Callable[[float | None], None]
    ) -> TrackedRequest | None:
        """Tracks a request with an idempotency key, or returns None if its class needs no tracking.

        `go` forwards the request."""


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Admission settings.

    prefix: path prefix of all tenants at the nodes; host: Host header sent to nodes; body_max: maximum body
    size in bytes; effects: effect of each request class.
    """

    prefix: str = "/api"
    host: bytes = b"notchflow.internal"
    body_max: int = 64 << 10
    effects: Mapping[str, Effect] | None = None


class Ticket:
    """A tenant's request from the end of its head to its response (see `notchflow.net.exchange.Ticket`)."""

    __slots__ = (
        "admission",
        "entry",
        "match",
        "target",
        "admitted_at",
        "charged_bytes",
        "over_limit",
        "tracked_request",
    )

    def __init__(self, admission: TenantAdmission, entry: Entry, match: Match, target: Target) -> None:
        self.admission, self.entry, self.match, self.target = admission, entry, match, target
        self.admitted_at = 0.0  # monotonic seconds; 0: not admitted
        self.charged_bytes = 0  # body bytes counted against the tenant's `bytes_held`
        self.over_limit = False  # the body would exceed the tenant's `bytes_held`
        self.tracked_request: TrackedRequest | None = None

    def charge(self, size: int) -> bool:
        """Charges body bytes to the tenant; False if that would exceed its limit."""
        if not self.admission.directory.charge(self.entry, size):
            self.over_limit = True
            return False
        self.charged_bytes += size
        return True

    def done(self, status: int, ran: bool) -> None:
        """Releases what the request holds. `status` 0: the client left; `ran`: it may have run."""
        tracked, self.tracked_request = self.tracked_request, None
        if tracked is not None:
            tracked.ended(status, ran)
        self.entry.usage.bytes_held -= self.charged_bytes
        if self.admitted_at:
            self.admission.directory.finish(self.entry, max(time.monotonic() - self.admitted_at, 0.0), status)


class TenantAdmission:
    """The gateway of the hosted service (see `notchflow.net.exchange.Gateway`)."""

    def __init__(
        self,
        directory: Directory,
        settings: AdmissionSettings,
        pressure: Callable[[], float],
        run_id: bytes,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.directory, self.settings, self.pressure, self.wall_clock = (
            directory,
            settings,
            pressure,
            wall_clock,
        )
        self.host: RequestHost | None = None
        self.memory: EffectMemory | None = None
        # Rejects every request while this instance may accept none.
        self.unavailable_reply: LocalReply | None = None
        # Rejects every request while the rules here may be stale.
        self.check_rules: Callable[[], LocalReply | None] | None = None
        # Answers readiness checks in place of the host.
        self.readiness_reply: Callable[[], LocalReply] | None = None
        # A request ID has 8 hexadecimal digits for this run of the process and 8 for the request.
        self.run_id, self.last_number = run_id, 0
        self.suspended = reply(403, "tenant-suspended", "The operator has suspended this tenant.")
        self.retiring = reply(403, "tenant-retiring", "What is in hand is answered; nothing new is taken.")
        challenge = (b'WWW-Authenticate: Bearer realm="notchflow"\r\n',)
        self.denied = {
            AuthFailure.MISSING: reply(
                401, "key-missing", "Send it as Authorization: Bearer, or as X-Api-Key.", fields=challenge
            ),
            AuthFailure.UNKNOWN: reply(401, "key-unknown", fields=challenge),
        }
        self.not_found = reply(404, "no-route")
        self.host_required = reply(400, "host-required")
        self.busy = reply(503, "refused", "Nothing was done: trying again is harmless.", SHED_RETRY_AFTER_S)

    # -- request head
    def head(self, call: ClientRequest) -> None:
        """Authenticates and routes a request by its head; sets its ticket, or the reply that rejects it."""
        if call.url == READINESS_PATH:
            call.local_reply = self.readiness_reply() if self.readiness_reply is not None else None
            return
        call.local_reply = self._unavailable()
        if call.local_reply is not None:
            return
        outcome = self._authorize(call)
        if isinstance(outcome, LocalReply):
            call.local_reply = outcome
        else:
            call.ticket = outcome

    def _unavailable(self) -> LocalReply | None:
        """The reply to every request while this instance may accept none, else None."""
        if self.unavailable_reply is not None:
            return self.unavailable_reply
        return self.check_rules() if self.check_rules is not None else None

    def _authorize(self, call: ClientRequest) -> Ticket | LocalReply:
        host = call.headers.get(b"host")
        if host is None or HOST.fullmatch(host) is None:
            return self.host_required
        entry = self.directory.authenticate(_api_key(call.forwarded_headers), self.wall_clock())
        if isinstance(entry, AuthFailure):
            return self.denied[entry]
        try:
            target = normalise_target(call.url)
        except PathError as error:
            return reply(400, "path-ambiguous", f"{error}.")
        path = target.path
        # The long form, /t/<tenant>/...: paths of other tenants do not exist.
        if path.startswith(TENANT_PATH_PREFIX):
            prefix = TENANT_PATH_PREFIX + entry.key_prefix
            if not path.startswith(prefix):
                return self.not_found
            path = path[len(prefix) - 1 :]
            target = Target(path, target.query)
        match = entry.router.match(call.method.decode("ascii"), path)
        if isinstance(match, frozenset):
            if not match:
                return self.not_found
            allow = ", ".join(sorted(match))
            return reply(
                405, "method-not-allowed", f"Allowed: {allow}.", fields=(b"Allow: %b\r\n" % allow.encode(),)
            )
        return self._check_request(call, entry, match, target)

    def _check_request(
        self, call: ClientRequest, entry: Entry, match: Match, target: Target
    ) -> Ticket | LocalReply:
        if entry.tenant.state is not TenantState.ACTIVE:
            return self.suspended if entry.tenant.state is TenantState.SUSPENDED else self.retiring
        length = call.headers.get(b"content-length")
        if length is not None and int(length) > self.settings.body_max:
            return self._too_large()
        key = call.headers.get(b"idempotency-key")
        if key is not None and IDEMPOTENCY_KEY.fullmatch(key) is None:
            return reply(400, "bad-request", "Idempotency-Key has 1 to 200 visible ASCII characters.")
        keyed = (
            self.settings.effects is not None and self.settings.effects.get(match.route.cls) is Effect.KEYED
        )
        if (keyed or match.route.key_required) and key is None:  # a repeat could not be recognised
            return reply(400, "idempotency-key-required", f"Class {match.route.cls} is known by its key.")
        return Ticket(self, entry, match, target)

    def _too_large(self) -> LocalReply:
        return reply(413, "too-large", f"A body has at most {self.settings.body_max} bytes.")

    # -- complete request
    def begin(self, call: ClientRequest) -> LocalReply | None:
        """Admits and forwards a request whose body is complete, or returns the reply that rejects it."""
        ticket, host = call.ticket, self.host
        if not isinstance(ticket, Ticket) or host is None:
            return self.not_found
        unavailable = self._unavailable()  # a process resumed after SIGSTOP may have lost its right to accept
        if unavailable is not None:
            return unavailable
        entry = ticket.entry
        if entry.tenant.state is not TenantState.ACTIVE:  # may have changed while the body was received
            return self.suspended if entry.tenant.state is TenantState.SUSPENDED else self.retiring
        if call.body_size > self.settings.body_max:
            return self._too_large()
        if call.body_not_held and not ticket.over_limit:
            return self.busy  # the proxy's own buffer limit, not the tenant's
        if call.body_not_held:
            return _limit_reply(self.directory.reject_body(entry))
        rejection = self.directory.admit(entry, time.monotonic(), self.pressure())
        if rejection is not None:
            return _limit_reply(rejection)
        ticket.admitted_at = time.monotonic()
        key, cls = call.headers.get(b"idempotency-key"), ticket.match.route.cls
        if self.memory is not None and key is not None:
            go = partial(self._forward, call, ticket)
            ticket.tracked_request = self.memory.guard(
                call, cls, b"%b/%b" % (entry.id_bytes, key), self.busy, go
            )
        if ticket.tracked_request is not None:
            return ticket.tracked_request.begin(call, cls)
        self._forward(call, ticket, None)
        return None

    def _forward(self, call: ClientRequest, ticket: Ticket, earlier: float | None) -> None:
        """`earlier`: how many milliseconds ago a request under the same key may first have run."""
        assert self.host is not None
        entry = ticket.entry
        self._rewrite_head(call, ticket)
        self.host.start_request(
            call,
            ticket.match.route.cls,
            None,
            key=entry.key_prefix + ticket.match.key,
            tenant=entry.tenant.id,
            write=call.method != b"GET",
            earlier=earlier,
        )

    def _rewrite_head(self, call: ClientRequest, ticket: Ticket) -> None:
        self.last_number += 1
        entry, target = ticket.entry, ticket.target
        query = b"" if target.query is None else b"?" + target.query
        call.url = b"%b/%b%b%b" % (self.settings.prefix.encode(), entry.id_bytes, target.path.encode(), query)
        headers = [
            line for line in call.forwarded_headers if line[: line.index(b":")].lower() not in NEVER_FORWARDED
        ]
        headers.append(
            b"Host: %b\r\nX-Call-Id: %b%08x\r\nX-Call-Class: %b\r\nX-Caller: %b\r\n"
            % (
                self.settings.host,
                self.run_id,
                self.last_number & 0xFFFFFFFF,
                ticket.match.route.cls.encode(),
                entry.id_bytes,
            )
        )
        key = call.headers.get(b"idempotency-key")
        if key is not None:
            headers.append(b"Idempotency-Key: %b/%b\r\n" % (entry.id_bytes, key))
        if call.body_size or call.method in METHODS_WITH_BODY:
            headers.append(b"Content-Length: %d\r\n" % call.body_size)
        call.forwarded_headers = headers

    # -- replies to requests that the policy sheds or that fail
    def refused(self, retry_after_ms: float) -> LocalReply:
        """The reply to a request that the policy sheds."""
        if retry_after_ms <= 0:
            return self.busy
        return reply(503, "refused", "Nothing was done: trying again is harmless.", retry_after_ms / 1e3)

    def failed(self, status: int) -> LocalReply:
        """The reply to a request that failed with this status."""
        return reply(status, PROBLEM_KINDS.get(status, "failed"))


def _api_key(headers: list[bytes]) -> str | None:
    """The API key of a request; None if there is none, "" (no valid token) if it sends two different ones."""
    tokens: set[bytes] = set()
    for line in headers:
        name, _, value = line.partition(b":")
        lower_name = name.lower()
        if lower_name == b"authorization":
            bearer = BEARER_CREDENTIALS.fullmatch(value.strip())
            tokens.add(bearer[1] if bearer is not None else b"")
        elif lower_name == b"x-api-key":
            tokens.add(value.strip())
    if not tokens:
        return None
    return tokens.pop().decode("latin-1") if len(tokens) == 1 else ""


def _limit_reply(rejection: Rejection) -> LocalReply:
    return reply(
        429,
        "limit",
        f"At its limit: {rejection.reason.value}. Nothing was done.",
        rejection.retry_after_s,
        limit=rejection.reason.value,
    )
