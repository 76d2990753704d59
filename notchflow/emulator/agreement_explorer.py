"""Bounded model checking of agreement: all orders of events among three real Raft cores within a scope.

A state consists of three instances, their disks, and the messages in flight on each link. Every possible next
step is taken from it: the first message of a link arrives, is lost or is duplicated; a timer fires; a change
is proposed; an instance crashes and restarts from its disk or from an empty one. States seen before are not
expanded again. All instances share one clock, which a firing timer advances, so that leader leases expire.
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
LINK_POSITIONS: Final = {link: position for position, link in enumerate(LINKS)}
SETTINGS: Final = RaftSettings(trailing_entries=1)
FIRST_ENTRY: Final = Entry(1, EntryKind.NOOP)


class ConstantRandom:
    """Random generator that always gives the same value, so that the order of events is the only choice."""

    def random(self) -> float:
        """Returns 0.5."""
        return 0.5

    def getrandbits(self, bits: int) -> int:
        """Returns 1."""
        return 1


@dataclass(frozen=True, slots=True)
class Scope:
    """How often each kind of event may happen along one path."""

    timeouts: int = 1
    beats: int = 0
    changes: int = 1
    losses: int = 0
    duplicates: int = 0
    crashes: int = 0
    disk_losses: int = 0


class CoreSummary(NamedTuple):
    """Summary of an instance for the choice of steps and the invariants."""

    is_leader: bool
    term: int
    election_at: float
    heartbeat_at: float


class State(NamedTuple):
    """A state of the exploration. Instances are serialized; a step restores one."""

    cores: tuple[bytes, ...]
    summaries: tuple[CoreSummary, ...]
    links: tuple[tuple[Any, ...], ...]  # messages in flight, in the order of LINKS
    remaining: Scope
    now: float = 0.0
    leaders: tuple[tuple[int, int], ...] = ()  # terms and their leaders
    committed: tuple[Entry, ...] = ()  # all entries that an instance held for committed
    changes: int = 0


class Step(NamedTuple):
    """A possible step: the instance, its action, and what it takes off the scope and the links."""

    text: str
    instance: int
    action: Callable[[Raft, float], object] | None
    budget: str = ""
    delivered_links: tuple[int, ...] = ()  # links that lose their first message
    cleared_links: tuple[int, ...] = ()  # links whose messages are all discarded
    not_before: float = 0.0
    loses_disk: bool | None = None  # for a restart: whether the disk is lost


def initial_state(scope: Scope) -> State:
    """Returns the first state: all three have just started, the log has begun, and there is no leader."""
    rafts = [_raft(name, 0.0, HardState(1, "p1", True), [FIRST_ENTRY]) for name in NAMES]
    return State(
        tuple(_serialize(raft) for raft in rafts),
        tuple(_summarize(raft) for raft in rafts),
        ((),) * len(LINKS),
        scope,
    )


def _raft(name: str, now: float, hard: HardState, entries: list[Entry]) -> Raft:
    raft = Raft(name, NAMES, SETTINGS, ConstantRandom(), now, hard, Log(0, 0, entries))  # type: ignore[arg-type]
    raft.start(now)
    return raft


def _serialize(raft: Raft) -> bytes:
    """Serializes an instance; equal contents give equal bytes, whatever the order in which votes arrived (the
    order of a set also depends on the hash seed) and whichever equal strings are the same object."""
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


def _summarize(raft: Raft) -> CoreSummary:
    return CoreSummary(raft.role is Role.LEADER, raft.term, raft.election_at, raft.heartbeat_at)


def steps(state: State) -> Iterator[Step]:
    """Enumerates the possible next steps."""
    remaining = state.remaining
    for position, ((a, b), messages) in enumerate(zip(LINKS, state.links, strict=True)):
        if messages:
            text, deliver = f"{NAMES[a]}>{NAMES[b]} {type(messages[0]).__name__}", _deliver(a, messages[0])
            yield Step(text, b, deliver, delivered_links=(position,))
            if remaining.losses:
                yield Step(text + " lost", b, None, "losses", (position,))
            if remaining.duplicates:
                yield Step(text + " twice", b, deliver, "duplicates")
    for instance, summary in enumerate(state.summaries):
        if not summary.is_leader and remaining.timeouts:
            yield Step(
                f"{NAMES[instance]} waits no longer",
                instance,
                _time_out,
                "timeouts",
                not_before=summary.election_at,
            )
        if summary.is_leader and remaining.beats:
            yield Step(
                f"{NAMES[instance]} beats", instance, Raft.tick, "beats", not_before=summary.heartbeat_at
            )
        if summary.is_leader and remaining.changes:
            yield Step(
                f"{NAMES[instance]} changes", instance, _propose(bytes([state.changes + 1])), "changes"
            )
        if remaining.crashes:
            yield Step(f"{NAMES[instance]} crashes", instance, None, "crashes", loses_disk=False)
        if remaining.disk_losses and state.committed:
            own_links = tuple(LINK_POSITIONS[instance, other] for other in range(3) if other != instance)
            yield Step(
                f"{NAMES[instance]} forgets",
                instance,
                None,
                "disk_losses",
                cleared_links=own_links,
                loses_disk=True,
            )


def _deliver(sender: int, body: Any) -> Callable[[Raft, float], object]:
    return lambda raft, now: raft.handle_message(now, NAMES[sender], body)


def _propose(data: bytes) -> Callable[[Raft, float], object]:
    return lambda raft, now: raft.propose(now, data)


def _time_out(raft: Raft, now: float) -> None:
    raft.election_at = now
    raft.tick(now)


def take_step(state: State, step: Step) -> tuple[State, list[str]]:
    """Takes a step; returns the next state and the invariants that it violates."""
    now = max(state.now, step.not_before)
    remaining = (
        replace(state.remaining, **{step.budget: getattr(state.remaining, step.budget) - 1})
        if step.budget
        else state.remaining
    )
    links = list(state.links)
    for position in step.delivered_links:
        links[position] = links[position][1:]
    for position in step.cleared_links:
        links[position] = ()
    state = state._replace(
        links=tuple(links), remaining=remaining, now=now, changes=state.changes + (step.budget == "changes")
    )
    if step.action is None and step.loses_disk is None:
        return state, []
    raft: Raft = pickle.loads(state.cores[step.instance])
    if step.loses_disk is not None:  # a lost disk leaves nothing
        raft = (
            _raft(raft.name, now, HardState(), [])
            if step.loses_disk
            else _raft(raft.name, now, HardState(raft.term, raft.voted_for, raft.joined), raft.log.entries)
        )
    if step.action is not None:
        step.action(raft, now)
    return _complete_step(state, step.instance, raft)


def _complete_step(state: State, instance: int, raft: Raft) -> tuple[State, list[str]]:
    """Makes all batches durable, puts their messages in flight and checks the invariants."""
    links = list(state.links)
    while True:
        batch = raft.take_batch()
        if not batch.needs_write and not batch.messages:
            break
        for to, body in batch.messages:
            links[LINK_POSITIONS[instance, NAMES.index(to)]] += (body,)
        raft.mark_durable(batch.last_index, batch.last_term)
    leaders, committed, problems = dict(state.leaders), list(state.committed), []
    if raft.role is Role.LEADER:
        if leaders.setdefault(raft.term, instance) != instance:
            problems.append(f"two lead in term {raft.term}")
        is_newest_leader = all(
            raft.term > one.term for n, one in enumerate(state.summaries) if n != instance and one.is_leader
        )
        if is_newest_leader and raft.log.entries[: len(committed)] != committed:
            problems.append(f"{raft.name} leads in term {raft.term} and lacks committed entries")
    for index in range(1, raft.commit_index + 1):
        entry = raft.log.entry_at(index)
        if index > len(committed):
            committed.append(entry)
        elif committed[index - 1] != entry:
            problems.append(f"{raft.name} has an entry at {index} that differs from the committed one")
    cores, summaries = list(state.cores), list(state.summaries)
    cores[instance], summaries[instance] = _serialize(raft), _summarize(raft)
    return state._replace(
        cores=tuple(cores),
        summaries=tuple(summaries),
        links=tuple(links),
        leaders=tuple(sorted(leaders.items())),
        committed=tuple(committed),
    ), problems


def explore(scope: Scope, most: int = 10_000_000) -> tuple[int, list[str], bool]:
    """Explores all states within a scope, up to `most`. Returns the number of states, the violations of the
    first wrong state with the path to it, and whether the exploration is complete."""
    first = initial_state(scope)
    seen = {hash(first)}
    stack: list[tuple[State, Any]] = [(first, None)]
    count = 0
    while stack and count < most:
        state, path = stack.pop()
        count += 1
        for step in steps(state):
            try:
                next_state, problems = take_step(state, step)
            except AssertionError as error:
                next_state, problems = state, [str(error)]
            if problems:
                return count, [*problems, _format_path((path, step.text))], False
            key = hash(next_state)
            if key not in seen:
                seen.add(key)
                stack.append((next_state, (path, step.text)))
    return count, [], not stack


def _format_path(path: Any) -> str:
    texts = []
    while path is not None:
        path, text = path
        texts.append(text)
    return " | ".join(reversed(texts))
