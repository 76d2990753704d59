"""The interface of the policy: its settings, the events it receives and the actions it returns.

All times are milliseconds on the clock of the program that drives the policy, which also assigns all ids; ids
carry no meaning. Types that are created for every request are named tuples, because creating a frozen
dataclass takes four times as long.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple, TypeAlias


class Effect(Enum):
    """Whether a request may be executed more than once: always, under an idempotency key, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The nodes among which a repeat of a keyed request is recognized and dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """A node's state according to discovery."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a membership event relates to the previous list of nodes."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class Status(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    MISS = "miss"

    @property
    def never_ran(self) -> bool:
        """Whether the node certainly did not execute the request."""
        return self in _NEVER_RAN


# A tuple, because so few members are found faster by identity than by hash.
_NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT, Status.MISS)


def _check(ok: bool, name: str, what: str) -> None:
    if not ok:
        raise ValueError(f"{name}: {what}")


def _positive(owner: str, **values: float) -> None:
    for name, value in values.items():
        _check(math.isfinite(value) and value > 0, f"{owner}.{name}", f"must be above 0, not {value!r}")


def _not_negative(owner: str, **values: float) -> None:
    for name, value in values.items():
        _check(math.isfinite(value) and value >= 0, f"{owner}.{name}", f"must not be negative, is {value!r}")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests: its objective and deadline, its worth, and whether it may be repeated."""

    name: str
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    window_ms: float = 0.0
    stream: bool = False

    def __post_init__(self) -> None:
        _check(bool(self.name), "RequestClass.name", "must not be empty")
        _positive("RequestClass", aim_ms=self.aim_ms, deadline_ms=self.deadline_ms)
        _not_negative("RequestClass", worth=self.worth, late_worth=self.late_worth, window_ms=self.window_ms)


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and the rate that lies within its share, summed over all instances."""

    name: str
    quota_per_s: float = 0.0
    share: float = 0.0

    def __post_init__(self) -> None:
        _check(bool(self.name), "Tenant.name", "must not be empty")
        _not_negative("Tenant", quota_per_s=self.quota_per_s, share=self.share)


@dataclass(frozen=True, slots=True)
class Rules:
    """Parameters of the rules on deadlines, the list of nodes, draining nodes and cold nodes."""

    answer_slack_ms: float = 0.0
    ask_within_ms: float = 10_000.0
    drain_grace_ms: float = 0.0
    cold_share: float = 1.0
    cold_ms: float = 0.0
    overload_factor: float = 2.0
    fall_ms: float = 1_000.0

    def __post_init__(self) -> None:
        _positive(
            "Rules",
            ask_within_ms=self.ask_within_ms,
            overload_factor=self.overload_factor,
            fall_ms=self.fall_ms,
        )
        _not_negative(
            "Rules",
            answer_slack_ms=self.answer_slack_ms,
            drain_grace_ms=self.drain_grace_ms,
            cold_ms=self.cold_ms,
        )
        _check(0 < self.cold_share <= 1, "Rules.cold_share", f"must lie in (0, 1], is {self.cold_share!r}")


@dataclass(frozen=True, slots=True)
class Limits:
    """What the deployment permits an instance to do."""

    max_attempts: int = 1
    second_copies: bool = False
    cancel: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 250.0

    def __post_init__(self) -> None:
        _check(self.max_attempts >= 1, "Limits.max_attempts", f"must be at least 1, is {self.max_attempts!r}")
        _not_negative(
            "Limits", max_retry_after_ms=self.max_retry_after_ms, connect_timeout_ms=self.connect_timeout_ms
        )


@dataclass(frozen=True, slots=True)
class Prices:
    """Deductions from the result, as far as decisions of the policy can weigh them."""

    cross_zone: float = 0.0
    waste: float = 0.0
    origin: float = 0.0
    probe: float = 0.0
    late_fail: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one instance."""

    classes: tuple[RequestClass, ...]
    zone: str = ""
    balancers: int = 1
    tenants: tuple[Tenant, ...] = ()
    rules: Rules = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    prices: Prices = field(default_factory=Prices)
    list_on_request: bool = False
    origin_kind: str | None = None
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    tick_ms: float = 1.0

    def __post_init__(self) -> None:
        _check(bool(self.classes), "Settings.classes", "must not be empty")
        names = [c.name for c in self.classes]
        _check(len(set(names)) == len(names), "Settings.classes", "holds a name twice")
        _check(self.balancers >= 1, "Settings.balancers", f"must be at least 1, is {self.balancers!r}")
        _not_negative("Settings", over_share_worth=self.over_share_worth, tick_ms=self.tick_ms)


@dataclass(frozen=True, slots=True)
class Member:
    """One entry of the list of nodes."""

    node: int
    state: State = State.READY
    kind: str = ""
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    ready_at_ms: float = 0.0

    def with_state(self, state: State) -> Member:
        """Returns this entry in another state."""
        return replace(self, state=state)


@dataclass(frozen=True, slots=True)
class Membership:
    """The list of nodes, or changes to it."""

    kind: ListKind
    members: tuple[Member, ...] = ()
    version: int = 0


class Request(NamedTuple):
    """A client's request, which must get exactly one final answer before its deadline."""

    id: int
    cls: str
    deadline: float
    key: str | None = None
    tenant: str | None = None
    hint_ms: float | None = None
    size: float | None = None
    retry: bool = False
    write: bool = False
    body_incomplete: bool = False  # the body is still being received; `BodyArrived` then sets the deadline
    may_have_run_since: float | None = None  # time at which a request with the same effect may first have run


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun: the attempt now lasts until the client or the node ends it."""

    id: int
    attempt: int
    node: int


class Outcome(NamedTuple):
    """The end of one attempt. `closed` means that the request is finished."""

    id: int
    attempt: int
    node: int
    status: Status
    latency_ms: float = 0.0
    closed: bool = False
    hit: bool | None = None
    load: Mapping[str, float] | None = None


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has disconnected and expects no answer."""

    id: int


@dataclass(frozen=True, slots=True)
class Probed:
    """The result of a probe."""

    node: int
    status: Status
    latency_ms: float = 0.0
    load: Mapping[str, float] | None = None


@dataclass(frozen=True, slots=True)
class BodyArrived:
    """The body of a request that was forwarded early is complete; `deadline` replaces the earlier one."""

    id: int
    deadline: float


@dataclass(frozen=True, slots=True)
class BodyDiscarded:
    """Part of a request's body is no longer buffered: attempts under way may go on, no new one may start."""

    id: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings. Pending requests keep the class with which they were accepted."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer that was set by this instance has fired."""

    token: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another instance."""

    source: int
    data: bytes


Event: TypeAlias = (
    Membership
    | Request
    | StreamStarted
    | Outcome
    | ClientGone
    | Probed
    | Timer
    | PeerMessage
    | SettingsChanged
    | BodyArrived
    | BodyDiscarded
)


class Send(NamedTuple):
    """Start an attempt. Without `timeout_ms` it runs until the deadline of the request.

    The node must have the last byte of the request before `complete_before`, however long connecting and
    writing take. The attempts of the same request that are outstanding must be complete at their nodes before
    `others_complete_before`, as this one may run.
    """

    id: int
    node: int
    timeout_ms: float | None = None
    complete_before: float = math.inf
    others_complete_before: float = math.inf


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: rejected; a retry by the client is harmless."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may or may not have been executed."""

    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `Timer` event at a time."""

    at: float
    token: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a node."""

    node: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Watch the list of nodes for changes, or stop watching it."""

    on: bool = True


Action: TypeAlias = Send | Cancel | Refuse | Fail | SetTimer | Probe | Watch
