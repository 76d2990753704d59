"""The contract of notchflow: settings, the events a balancer is told and the actions it answers with.

All times are milliseconds on the caller's clock, all ids are the caller's and carry no meaning. What comes
with every request is a named tuple: a frozen dataclass takes four times as long to make.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple, TypeAlias


class Effect(Enum):
    """What a repeated execution of a request would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The servers that drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """A server's state as the list of servers tells it."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a membership event relates to what was known before."""

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
        return self in _NEVER_RAN


_NEVER_RAN = (Status.FULL, Status.CONNECT_FAILED, Status.MOOT, Status.MISS)  # few: found by identity


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
    """One class of requests: its times, its worth and whether it may be repeated."""

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
    """A tenant and the rate that lies within its share, over all balancers."""

    name: str
    quota_per_s: float = 0.0
    share: float = 0.0

    def __post_init__(self) -> None:
        _check(bool(self.name), "Tenant.name", "must not be empty")
        _not_negative("Tenant", quota_per_s=self.quota_per_s, share=self.share)


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures behind the four rules."""

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
    """What the deployment lets a balancer do."""

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
    """What the operators take off the result, for the prices a decision here can weigh."""

    cross_zone: float = 0.0
    waste: float = 0.0
    origin: float = 0.0
    probe: float = 0.0
    late_fail: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a balancer is told at its start."""

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
    """One entry of the list of servers."""

    node: int
    state: State = State.READY
    kind: str = ""
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    ready_at_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Membership:
    """The list of servers, or changes to it, as far as the balancer is told."""

    kind: ListKind
    members: tuple[Member, ...] = ()
    version: int = 0


class Request(NamedTuple):
    """A client's request: the balancer now owes it one final answer before its deadline."""

    id: int
    cls: str
    deadline: float
    key: str | None = None
    tenant: str | None = None
    hint_ms: float | None = None
    size: float | None = None
    retry: bool = False
    write: bool = False
    body_incomplete: bool = (
        False  # its body is still coming: `BodyArrived` tells the deadline that it has from then on
    )
    earlier: float | None = None  # when a request with the same effect may first have run


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed answer has begun; the attempt belongs to the client from here on."""

    id: int
    attempt: int
    node: int


class Outcome(NamedTuple):
    """How one attempt ended. `closed` means that the request is finished."""

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
    """The client left; nothing more is owed."""

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
    """The body of a request that began before it was whole has come: the client waits until this deadline."""

    id: int
    deadline: float


@dataclass(frozen=True, slots=True)
class BodyDiscarded:
    """A part of a request's body is not held any more: what is under way may go on, no attempt can begin."""

    id: int


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings, from now on. A request in hand keeps the class that it was taken with, to its end."""

    settings: Settings


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer set by this balancer has come due."""

    token: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another balancer."""

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
    """Start an attempt; without a time-out it runs until the client gives up. From `before` on it must not
    begin, however long its connection takes."""

    id: int
    node: int
    timeout_ms: float | None = None
    before: float = math.inf


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: turned away, trying again is harmless."""

    id: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, with no promise of what happened."""

    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a Timer event at a time."""

    at: float
    token: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Check on a server."""

    node: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Ask the list of servers for its changes from now on."""

    on: bool = True


Action: TypeAlias = Send | Cancel | Refuse | Fail | SetTimer | Probe | Watch
