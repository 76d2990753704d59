"""The edge of agreement: the fleet's sockets, one timer, the store's thread, and a state that takes entries.

Batches are written in order, and what a batch says is sent once it is durable. What is agreed is put in force
by the state's own thread, one part at a time, and counts as in force once that has come back.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Sequence
from typing import Final, Protocol

from notchflow.cluster.agreement.raft import Raft
from notchflow.cluster.agreement.replica import Batch, Role, Snapshot
from notchflow.cluster.agreement.session import Session, SessionSettings
from notchflow.cluster.agreement.storage import Base, Keep
from notchflow.cluster.agreement.wire import (
    AppendEntries,
    AppendEntriesResponse,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotResponse,
    Propose,
    ProposeResponse,
    ReadIndex,
    ReadIndexResponse,
    RequestVote,
    RequestVoteResponse,
)
from notchflow.cluster.local_state import Sender
from notchflow.cluster.messages import Message
from notchflow.cluster.transport import ClusterTransport
from notchflow.store.engine import StoreError

log = logging.getLogger(__name__)
COMPACT_AT: Final = 512  # entries behind the snapshot; then those that are in force are dropped but for a few
APPLY_MOST: Final = 128  # entries put in force at a time


class Rules(Protocol):
    """The state that the log builds. All but `at` are called on the loop and come back there."""

    def at(self) -> int:
        """Up to where entries are in force."""

    def put(self, entries: Sequence[tuple[int, int, bytes | None]], done: Callable[[bool], None]) -> None:
        """Puts entries in force; whether that went well."""

    def load(self, snapshot: Snapshot, done: Callable[[bool], None]) -> None: ...

    def dump(self, done: Callable[[int, int, bytes], None]) -> None:
        """The whole, with its place in the log and the term there."""

    def certain(self, number: int, index: int | None) -> None:
        """An answer to `Agreement.ask`; None: there was none in time."""

    def led(self, leader: str, term: int) -> None: ...


class Agreement:
    """One instance's part, running."""

    def __init__(
        self, edge: ClusterTransport, raft: Raft, terms: SessionSettings, keep: Keep, rules: Rules
    ) -> None:
        self.edge, self.raft, self.keep, self.rules = edge, raft, keep, rules
        self.session = Session(raft, terms, edge.now())
        self.session.mark_applied(rules.at())
        self.queue: deque[Batch] = deque()
        self.writing = self.putting = self.dumping = False
        self.timer: asyncio.TimerHandle | None = None
        self.armed = float("inf")
        self.told = ("", 0)
        self.stopped = False
        edge.handlers |= dict.fromkeys(
            (
                RequestVote,
                RequestVoteResponse,
                AppendEntries,
                AppendEntriesResponse,
                InstallSnapshot,
                InstallSnapshotResponse,
            ),
            self._said,
        )
        edge.handlers |= dict.fromkeys((ReadIndex, ReadIndexResponse, Propose, ProposeResponse), self._asked)

    def start(self) -> None:
        self.raft.start(self.edge.now())
        self._step()

    def stop(self) -> None:
        """Takes no part any more; the others elect another leader where this one led."""
        self.stopped = True
        self.raft.fail()
        if self.timer is not None:
            self.timer.cancel()

    # -- what is wanted
    def holds(self, now: float) -> bool:
        """Whether this instance may act on the rules that are in force here."""
        return self.session.lease.is_valid(now)

    def ask(self) -> int:
        """The answer comes in a later turn of the loop, whenever it is known."""
        number = self.session.read_index(self.edge.now())
        self.edge.loop.call_soon(self._step)
        return number

    def propose(self, data: bytes) -> int:
        number = self.session.propose(self.edge.now(), data)
        self.edge.loop.call_soon(self._step)
        return number

    def settled(self, number: int) -> None:
        self.session.finish_proposal(number)

    @property
    def leads(self) -> bool:
        return self.raft.role is Role.LEADER and not self.raft.silent

    # -- events
    def _said(self, now: float, sender: Sender, body: Message) -> Message | None:
        if not self.stopped:
            assert isinstance(
                body,
                RequestVote
                | RequestVoteResponse
                | AppendEntries
                | AppendEntriesResponse
                | InstallSnapshot
                | InstallSnapshotResponse,
            )
            self.raft.handle_message(now, sender.name, body)
            self._step()
        return None

    def _asked(self, now: float, sender: Sender, body: Message) -> Message | None:
        if not self.stopped:
            assert isinstance(body, ReadIndex | ReadIndexResponse | Propose | ProposeResponse)
            self.session.handle_message(now, sender.name, body)
            self._step()
        return None

    def _fire(self, due: float) -> None:
        self.timer, self.armed = None, float("inf")
        if not self.stopped:
            self.session.tick(max(self.edge.now(), due))
            self._step()

    def _step(self) -> None:
        """After any event: writes, sends, puts in force, answers."""
        if self.stopped:
            return
        now = self.edge.now()
        self.session.collect_reads(now)
        while True:
            batch = self.raft.take_batch()
            if not batch.needs_write and not batch.messages:
                break
            self.queue.append(batch)
        self._write()
        for to, body in self.session.outbox:
            self.edge.send(to, body)
        self.session.outbox.clear()
        self._put()
        certain, self.session.read_results = self.session.read_results, []
        for number, index in certain:
            self.rules.certain(number, index)
        if self.told != (self.raft.leader, self.raft.term):
            self.told = self.raft.leader, self.raft.term
            self.rules.led(*self.told)
        self._arm(now)

    def _arm(self, now: float) -> None:
        due = self.session.next_timer_at
        if due == self.armed or self.stopped:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.armed, self.timer = due, None
        if due < float("inf"):
            self.timer = self.edge.loop.call_later(max(due - now, 0.0) / 1e3, self._fire, due)

    # -- the store
    def _write(self) -> None:
        while self.queue and not self.writing:
            batch = self.queue[0]
            if not batch.needs_write:
                self._sent(self.queue.popleft())
                continue
            self.writing = True
            if batch.snapshot is not None:
                self.rules.load(batch.snapshot, self._loaded)
            else:
                self._submit(batch)

    def _loaded(self, well: bool) -> None:
        """A snapshot is in force; then the log begins anew behind it."""
        if not well:
            self._failed(StoreError("a snapshot cannot be taken over"))
            return
        self.session.mark_applied(self.rules.at())
        self._submit(self.queue[0])

    def _submit(self, batch: Batch) -> None:
        try:
            self.keep.write(batch, self._written)
        except StoreError as error:
            self._failed(error)

    def _written(self, problem: StoreError | None) -> None:
        if problem is not None:
            self._failed(problem)
            return
        if self.stopped:
            return
        batch = self.queue.popleft()
        self.writing = False
        self._sent(batch)
        self.raft.mark_durable(batch.last_index, batch.last_term)
        self._step()

    def _failed(self, error: StoreError) -> None:
        """What cannot be made durable is not said: this instance takes no part until it is started anew."""
        if not self.stopped:
            log.error(
                "agreement: this instance takes no part any more, as its log cannot be written: %s; "
                "mend the disk and start it again",
                error,
            )
            self.raft.fail()

    def _sent(self, batch: Batch) -> None:
        if not self.raft.silent:
            for to, body in batch.messages:
                self.edge.send(to, body)

    # -- the state
    def _put(self) -> None:
        loading = bool(self.queue) and self.queue[0].snapshot is not None
        if self.putting or self.stopped or self.raft.silent or loading:
            return
        first = self.rules.at() + 1
        last = min(self.raft.applicable_index, first + APPLY_MOST - 1)
        if last < first or first <= self.raft.log.base_index:
            self._snapshot()
            return
        entries = []
        for index in range(first, last + 1):
            entry = self.raft.log.entry_at(index)
            entries.append((index, entry.term, entry.data if entry.kind is EntryKind.COMMAND else None))
        self.putting = True
        self.rules.put(entries, self._in_force)

    def _in_force(self, well: bool) -> None:
        self.putting = False
        if self.stopped:
            return
        if not well:
            self._failed(StoreError("entries cannot be put in force"))
            return
        at = self.rules.at()
        self.session.mark_applied(at)
        if at - self.raft.log.base_index >= COMPACT_AT:
            self._compact(at)
        self._step()

    def _compact(self, at: int) -> None:
        """The state is durable by itself: of the log only what others may lack is kept."""
        raft = self.raft
        raft.compact(at)
        base = Base(raft.log.base_index, raft.log.base_term, raft.base_roster)
        try:
            self.keep.rebase(base, lambda problem: self._failed(problem) if problem is not None else None)
        except StoreError as error:
            self._failed(error)

    def _snapshot(self) -> None:
        """One that is far behind needs the whole."""
        if self.raft.needs_snapshot and not self.dumping:
            self.dumping = True
            self.rules.dump(self._dumped)

    def _dumped(self, index: int, term: int, data: bytes) -> None:
        self.dumping = False
        if not self.stopped:
            self.raft.provide_snapshot(self.edge.now(), Snapshot(index, term, self.raft.roster, data))
            self._step()
