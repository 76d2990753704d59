"""All orders of events that an agreement of three can see, in stated bounds: the core itself, nothing else.

A state is three instances, their disks, and what is under way on each link. From it every next step is taken:
the first message of any link arrives, is lost or comes twice; a timer fires; a change is proposed; an
instance crashes and starts again from its disk, or from none. States that were seen before are not gone on
from. One clock for all: a timer that fires moves it on, so that leases of leaders age as they would.
"""

from __future__ import annotations

import io
import pickle
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import Any, Final, NamedTuple

from notchflow.cluster.agreement.log import Log
from notchflow.cluster.agreement.raft import Raft
from notchflow.cluster.agreement.replica import HardState, RaftSettings, Role
from notchflow.cluster.agreement.wire import Entry, EntryKind

NAMES: Final = ("p1", "p2", "p3")
LINKS: Final = tuple((a, b) for a in range(3) for b in range(3) if a != b)
PLACES: Final = {link: place for place, link in enumerate(LINKS)}
SETTINGS: Final = RaftSettings(trailing_entries=1)
FIRST: Final = Entry(1, EntryKind.NOOP)


class Half:
    """Draws that are all the same, so that the order of events is the only choice."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, bits: int) -> int:
        return 1


@dataclass(frozen=True, slots=True)
class Scope:
    """How often each may happen, along one line of events."""

    timeouts: int = 1
    beats: int = 0
    changes: int = 1
    losses: int = 0
    doubles: int = 0
    crashes: int = 0
    amnesias: int = 0


class Brief(NamedTuple):
    """What of an instance the choice of steps and the judge need."""

    leads: bool
    term: int
    election_at: float
    beat_at: float


class State(NamedTuple):
    """Where the three stand. Instances are kept as bytes: a step makes one anew."""

    cores: tuple[bytes, ...]
    briefs: tuple[Brief, ...]
    links: tuple[tuple[Any, ...], ...]  # under way, in the order of LINKS
    left: Scope
    now: float = 0.0
    leaders: tuple[tuple[int, int], ...] = ()  # terms, and who led in them
    agreed: tuple[Entry, ...] = ()  # all that anybody has held to be agreed
    changes: int = 0


class Step(NamedTuple):
    """One thing that may happen: to whom, what it does, and what is taken off the bounds and the links."""

    text: str
    who: int
    act: Callable[[Raft, float], object] | None
    spent: str = ""
    drops: tuple[int, ...] = ()  # links whose first message is gone
    clears: tuple[int, ...] = ()  # links of which nothing is heeded any more
    at: float = 0.0
    forgets: bool | None = None  # a start: with its disk, or with none


def begin(scope: Scope) -> State:
    """A log that has begun, and nobody leads: all three have just been started."""
    rafts = [_raft(name, 0.0, HardState(1, "p1", True), [FIRST]) for name in NAMES]
    return State(
        tuple(_kept(raft) for raft in rafts), tuple(_brief(raft) for raft in rafts), ((),) * len(LINKS), scope
    )


def _raft(name: str, now: float, hard: HardState, entries: list[Entry]) -> Raft:
    raft = Raft(name, NAMES, SETTINGS, Half(), now, hard, Log(0, 0, entries))  # type: ignore[arg-type]
    raft.start(now)
    return raft


def _kept(raft: Raft) -> bytes:
    """An instance as bytes, the same for the same contents: whatever the order in which votes came (that of a
    set hangs on the process's hash seed besides), and whichever of equal names is one object."""
    raft.votes = set(sorted(raft.votes))
    raft.issued_tickets, raft.received_tickets = (
        dict(sorted(raft.issued_tickets.items())),
        dict(sorted(raft.received_tickets.items())),
    )
    file = io.BytesIO()
    pickler = pickle.Pickler(file)
    pickler.fast = True
    pickler.dump(raft)
    return file.getvalue()


def _brief(raft: Raft) -> Brief:
    return Brief(raft.role is Role.LEADER, raft.term, raft.election_at, raft.heartbeat_at)


def steps(state: State) -> Iterator[Step]:
    """All that may happen next."""
    left = state.left
    for place, ((a, b), messages) in enumerate(zip(LINKS, state.links, strict=True)):
        if messages:
            text, heard = f"{NAMES[a]}>{NAMES[b]} {type(messages[0]).__name__}", _hears(a, messages[0])
            yield Step(text, b, heard, drops=(place,))
            if left.losses:
                yield Step(text + " lost", b, None, "losses", (place,))
            if left.doubles:
                yield Step(text + " twice", b, heard, "doubles")
    for who, brief in enumerate(state.briefs):
        if not brief.leads and left.timeouts:
            yield Step(
                f"{NAMES[who]} waits no longer", who, _waits_no_longer, "timeouts", at=brief.election_at
            )
        if brief.leads and left.beats:
            yield Step(f"{NAMES[who]} beats", who, Raft.tick, "beats", at=brief.beat_at)
        if brief.leads and left.changes:
            yield Step(f"{NAMES[who]} changes", who, _changes(bytes([state.changes + 1])), "changes")
        if left.crashes:
            yield Step(f"{NAMES[who]} crashes", who, None, "crashes", forgets=False)
        if left.amnesias and state.agreed:
            own = tuple(PLACES[who, other] for other in range(3) if other != who)
            yield Step(f"{NAMES[who]} forgets", who, None, "amnesias", clears=own, forgets=True)


def _hears(sender: int, body: Any) -> Callable[[Raft, float], object]:
    return lambda raft, now: raft.handle_message(now, NAMES[sender], body)


def _changes(data: bytes) -> Callable[[Raft, float], object]:
    return lambda raft, now: raft.propose(now, data)


def _waits_no_longer(raft: Raft, now: float) -> None:
    raft.election_at = now
    raft.tick(now)


def take(state: State, step: Step) -> tuple[State, list[str]]:
    """The state after a step, and what is wrong with it."""
    now = max(state.now, step.at)
    left = (
        replace(state.left, **{step.spent: getattr(state.left, step.spent) - 1}) if step.spent else state.left
    )
    links = list(state.links)
    for place in step.drops:
        links[place] = links[place][1:]
    for place in step.clears:
        links[place] = ()
    state = state._replace(
        links=tuple(links), left=left, now=now, changes=state.changes + (step.spent == "changes")
    )
    if step.act is None and step.forgets is None:
        return state, []
    raft: Raft = pickle.loads(state.cores[step.who])
    if step.forgets is not None:  # of a lost disk nothing is left; messages of a former life are not heeded
        raft = (
            _raft(raft.name, now, HardState(), [])
            if step.forgets
            else _raft(raft.name, now, HardState(raft.term, raft.voted_for, raft.joined), raft.log.entries)
        )
    if step.act is not None:
        step.act(raft, now)
    return _settled(state, step.who, raft)


def _settled(state: State, who: int, raft: Raft) -> tuple[State, list[str]]:
    """All is written at once, and what is to be sent is under way then."""
    links = list(state.links)
    while True:
        batch = raft.take_batch()
        if not batch.needs_write and not batch.messages:
            break
        for to, body in batch.messages:
            links[PLACES[who, NAMES.index(to)]] += (body,)
        raft.mark_durable(batch.last_index, batch.last_term)
    leaders, agreed, found = dict(state.leaders), list(state.agreed), []
    if raft.role is Role.LEADER:
        if leaders.setdefault(raft.term, who) != who:
            found.append(f"two lead in term {raft.term}")
        newest = all(raft.term > one.term for n, one in enumerate(state.briefs) if n != who and one.leads)
        if newest and raft.log.entries[: len(agreed)] != agreed:
            found.append(f"{raft.name} leads in term {raft.term} and lacks what is agreed")
    for index in range(1, raft.commit_index + 1):
        entry = raft.log.entry_at(index)
        if index > len(agreed):
            agreed.append(entry)
        elif agreed[index - 1] != entry:
            found.append(f"{raft.name} has another entry at {index} than was agreed")
    cores, briefs = list(state.cores), list(state.briefs)
    cores[who], briefs[who] = _kept(raft), _brief(raft)
    return state._replace(
        cores=tuple(cores),
        briefs=tuple(briefs),
        links=tuple(links),
        leaders=tuple(sorted(leaders.items())),
        agreed=tuple(agreed),
    ), found


def explore(scope: Scope, most: int = 10_000_000) -> tuple[int, list[str], bool]:
    """Goes through all states in the bounds: how many, what is wrong with the first that is wrong and how it
    came about, and whether all were gone through."""
    first = begin(scope)
    seen = {hash(first)}
    stack: list[tuple[State, Any]] = [(first, None)]
    count = 0
    while stack and count < most:
        state, path = stack.pop()
        count += 1
        for step in steps(state):
            try:
                after, problems = take(state, step)
            except AssertionError as error:
                after, problems = state, [str(error)]
            if problems:
                return count, [*problems, _told((path, step.text))], False
            key = hash(after)
            if key not in seen:
                seen.add(key)
                stack.append((after, (path, step.text)))
    return count, [], not stack


def _told(path: Any) -> str:
    texts = []
    while path is not None:
        path, text = path
        texts.append(text)
    return " | ".join(reversed(texts))
