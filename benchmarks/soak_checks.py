"""The rules of the service, judged from the record of a soak alone: it knows nothing of the program."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

ANSWER_SLACK_S: Final = 0.5  # after its time an answer only earns nothing; later it is lost
CROSSING_S: Final = 0.3  # a request that crosses a close sees the connection's end so soon
LEFT_S: Final = 0.1  # after a client's end no attempt begins
DRAIN_SLACK_S: Final = 0.15  # a process may be held up for so long between its clock and its write


@dataclass(frozen=True, slots=True)
class Asked:
    """A request as its client saw it; times are the loop's seconds. `first`: the first on its connection."""

    id: str
    unsafe: bool
    first: bool
    sent_at: float
    budget_s: float
    status: int | None  # none: the connection ended, or nothing came
    ended_at: float


@dataclass(frozen=True, slots=True)
class Run:
    """A request as a node ran it."""

    id: str
    node: str
    at: float


class Departure(Enum):
    """How a client leaves in the midst of a request. One that closes its sending side alone still listens."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half-close"


@dataclass(frozen=True, slots=True)
class Left:
    """A client's end, with a request in hand."""

    id: str
    how: Departure
    at: float


@dataclass(frozen=True, slots=True)
class Heard:
    """A request that came to a node. `earliest`: when it came at the earliest, if the node was held up."""

    id: str
    earliest: float


@dataclass(frozen=True, slots=True)
class Stopped:
    """A process that was told to end. `code`: none where it had to be killed."""

    instance: str
    told_at: float
    ended_at: float
    code: int | None


@dataclass(slots=True)
class Record:
    """All that a soak saw. `told`: when each draining node's phase was last written to an instance."""

    grace_s: float
    crowd: bool = False
    asked: list[Asked] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    heard: list[Heard] = field(default_factory=list)
    left: list[Left] = field(default_factory=list)
    stopped: list[Stopped] = field(default_factory=list)
    told: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Broken:
    """A rule that was broken, and by what."""

    rule: str
    what: str


def check(record: Record) -> list[Broken]:
    """All that is broken."""
    return [
        *unanswered(record),
        *twice(record),
        *begun_for_the_gone(record),
        *drained(record),
        *ended(record.stopped),
    ]


def unanswered(record: Record) -> list[Broken]:
    """Each request has a final answer in time. One that never ran may cross the end of its connection; with a
    crowd a new connection may be shut unread. Who has closed its connection hears nothing more."""
    ran = {run.id for run in record.runs}
    deaf = {one.id for one in record.left if one.how is not Departure.HALF_CLOSE}
    found = []
    for one in record.asked:
        if one.id in deaf:
            continue
        took = one.ended_at - one.sent_at
        if one.status is None:
            may_close = took <= CROSSING_S and (not one.first or record.crowd)
            if one.id in ran or not may_close:
                found.append(Broken("answer", f"{one.id}: none in {took:.3f} s, first {one.first}"))
        elif took > one.budget_s + ANSWER_SLACK_S:
            found.append(Broken("answer", f"{one.id}: {one.status} after {took:.3f} s of {one.budget_s:g}"))
    return found


def twice(record: Record) -> list[Broken]:
    """No unsafe request ran twice."""
    times = Counter(run.id for run in record.runs)
    unsafe = [one.id for one in record.asked if one.unsafe]
    return [Broken("effect", f"{one} ran {times[one]} times") for one in unsafe if times[one] > 1]


def begun_for_the_gone(record: Record) -> list[Broken]:
    """No attempt, first or further, begins long after its client's end."""
    ends = {one.id: one for one in record.left}
    found = []
    for one in record.heard:
        end = ends.get(one.id)
        if end is not None and one.earliest - end.at > LEFT_S:
            late = one.earliest - end.at
            found.append(Broken("gone", f"{one.id}: begun {late:.3f} s after its {end.how.value}"))
    return found


def drained(record: Record) -> list[Broken]:
    """Nothing new at a node that was told of as draining, after the grace."""
    found = []
    for run in record.runs:
        late = run.at - record.told.get(run.node, float("inf")) - record.grace_s
        if late > DRAIN_SLACK_S:
            found.append(Broken("drain", f"{run.id} at {run.node}, {late:.3f} s after the grace"))
    return found


def ended(stopped: Sequence[Stopped]) -> list[Broken]:
    """Each process ends by itself, with 0."""
    return [
        Broken("end", f"{one.instance}: {one.code} after {one.ended_at - one.told_at:.3f} s")
        for one in stopped
        if one.code != 0
    ]
