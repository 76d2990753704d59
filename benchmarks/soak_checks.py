"""Checks the rules of the service on the record of a soak run, without any knowledge of the program."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

MAX_ANSWER_DELAY_S: Final = 0.5  # after its deadline an answer earns nothing, after this too it is missing
MAX_CLOSE_RACE_S: Final = 0.3  # a request sent while the connection is being closed sees the end within this
MAX_START_AFTER_LEAVE_S: Final = 0.1  # no attempt begins later than this after its client left
MAX_DRAIN_DELAY_S: Final = 0.15  # a process may stall this long between reading the clock and writing


@dataclass(frozen=True, slots=True)
class Asked:
    """A request as its client saw it, in seconds of the loop; `first` marks the first on its connection."""

    id: str
    unsafe: bool
    first: bool
    sent_at: float
    budget_s: float
    status: int | None  # None: the connection ended or no answer arrived in time
    ended_at: float


@dataclass(frozen=True, slots=True)
class Run:
    """The execution of a request by a node."""

    id: str
    node: str
    at: float


class Departure(Enum):
    """How a client ends its connection during a request. After a half-close it still reads the answer."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half-close"


@dataclass(frozen=True, slots=True)
class Left:
    """A client that ended its connection during a request."""

    id: str
    how: Departure
    at: float


@dataclass(frozen=True, slots=True)
class Heard:
    """The arrival of a request at a node; `earliest` is its earliest possible time if the node stalled."""

    id: str
    earliest: float


@dataclass(frozen=True, slots=True)
class Stopped:
    """A process that received SIGTERM at `told_at`; `code` is None if it had to be killed."""

    instance: str
    told_at: float
    ended_at: float
    code: int | None


@dataclass(slots=True)
class Record:
    """Events of a soak run; `told` is the time at which a draining node was last announced to an instance."""

    grace_s: float
    crowd: bool = False
    asked: list[Asked] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    heard: list[Heard] = field(default_factory=list)
    left: list[Left] = field(default_factory=list)
    stopped: list[Stopped] = field(default_factory=list)
    told: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated rule and the event that violates it."""

    rule: str
    what: str


def check(record: Record) -> list[Violation]:
    """Returns all violations in the record."""
    return [
        *find_unanswered(record),
        *find_duplicate_effects(record),
        *find_late_attempts(record),
        *find_runs_after_drain(record),
        *find_failed_exits(record.stopped),
    ]


def find_unanswered(record: Record) -> list[Violation]:
    """Returns the requests without a final answer in time.

    A request that never ran may race with the close of its connection. If idle clients use up the
    descriptors, a new connection may be closed unread. A client that closed or reset its connection gets no
    answer.
    """
    ran = {run.id for run in record.runs}
    departed = {leave.id for leave in record.left if leave.how is not Departure.HALF_CLOSE}
    violations = []
    for request in record.asked:
        if request.id in departed:
            continue
        took = request.ended_at - request.sent_at
        if request.status is None:
            may_close = took <= MAX_CLOSE_RACE_S and (not request.first or record.crowd)
            if request.id in ran or not may_close:
                violations.append(
                    Violation("answer", f"{request.id}: none in {took:.3f} s, first {request.first}")
                )
        elif took > request.budget_s + MAX_ANSWER_DELAY_S:
            violations.append(
                Violation(
                    "answer", f"{request.id}: {request.status} after {took:.3f} s of {request.budget_s:g}"
                )
            )
    return violations


def find_duplicate_effects(record: Record) -> list[Violation]:
    """Returns the unsafe requests that ran more than once."""
    times = Counter(run.id for run in record.runs)
    unsafe = [request.id for request in record.asked if request.unsafe]
    return [Violation("effect", f"{id_} ran {times[id_]} times") for id_ in unsafe if times[id_] > 1]


def find_late_attempts(record: Record) -> list[Violation]:
    """Returns the attempts, retries and hedges included, that began long after their client left."""
    departures = {leave.id: leave for leave in record.left}
    violations = []
    for arrival in record.heard:
        leave = departures.get(arrival.id)
        if leave is not None and arrival.earliest - leave.at > MAX_START_AFTER_LEAVE_S:
            late = arrival.earliest - leave.at
            violations.append(
                Violation("gone", f"{arrival.id}: begun {late:.3f} s after its {leave.how.value}")
            )
    return violations


def find_runs_after_drain(record: Record) -> list[Violation]:
    """Returns the requests that ran at a draining node after the grace period."""
    violations = []
    for run in record.runs:
        late = run.at - record.told.get(run.node, float("inf")) - record.grace_s
        if late > MAX_DRAIN_DELAY_S:
            violations.append(Violation("drain", f"{run.id} at {run.node}, {late:.3f} s after the grace"))
    return violations


def find_failed_exits(stopped: Sequence[Stopped]) -> list[Violation]:
    """Returns the processes that did not exit by themselves with code 0."""
    return [
        Violation(
            "end", f"{process.instance}: {process.code} after {process.ended_at - process.told_at:.3f} s"
        )
        for process in stopped
        if process.code != 0
    ]
