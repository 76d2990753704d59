"""Connects the consensus core to the fleet's sockets, a timer, the store's thread and the state machine.

Batches are written in order, and the messages of a batch are sent once it is durable. Committed entries are
applied on the state machine's own thread, one batch at a time, and count as applied once that has reported
back.
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
from notchflow.cluster.agreement.storage import LogBase, LogStore
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
COMPACTION_THRESHOLD: Final = 512  # log entries; then the applied ones are dropped except a few trailing ones
MAX_APPLY_BATCH: Final = 128  # entries


class StateMachine(Protocol):
    """The state that the log builds. The methods are called on the loop, and `done` is called back there."""

    def applied_index(self) -> int:
        """The index of the last applied entry."""

    def apply(self, entries: Sequence[tuple[int, int, bytes | None]], done: Callable[[bool], None]) -> None:
        """Applies entries: index, term, and the command or None. Calls `done` with whether that succeeded."""

    def load_snapshot(self, snapshot: Snapshot, done: Callable[[bool], None]) -> None:
        """Replaces the state by a snapshot. Calls `done` with whether that succeeded."""
        ...

    def dump_snapshot(self, done: Callable[[int, int, bytes], None]) -> None:
        """Calls `done` with the applied index, its term and the whole state as bytes."""

    def read_completed(self, request_id: int, index: int | None) -> None:
        """Gives the result of `RaftDriver.read_index`: a commit index, or None on timeout."""

    def leader_changed(self, leader: str, term: int) -> None:
        """Reports the known leader, empty if there is none, and the term."""
        ...


class RaftDriver:
    """Runs the consensus core of one instance."""

    def __init__(
        self,
        transport: ClusterTransport,
        raft: Raft,
        settings: SessionSettings,
        log_store: LogStore,
        state_machine: StateMachine,
    ) -> None:
        self.transport, self.raft, self.log_store, self.state_machine = (
            transport,
            raft,
            log_store,
            state_machine,
        )
        self.session = Session(raft, settings, transport.now())
        self.session.mark_applied(state_machine.applied_index())
        self.write_queue: deque[Batch] = deque()
        self.writing = self.applying = self.dumping = False
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due_at = float("inf")
        self.reported_leader = ("", 0)
        self.stopped = False
        transport.handlers |= dict.fromkeys(
            (
                RequestVote,
                RequestVoteResponse,
                AppendEntries,
                AppendEntriesResponse,
                InstallSnapshot,
                InstallSnapshotResponse,
            ),
            self._on_raft_message,
        )
        transport.handlers |= dict.fromkeys(
            (ReadIndex, ReadIndexResponse, Propose, ProposeResponse), self._on_session_message
        )

    def start(self) -> None:
        """Begins to take part, as a follower."""
        self.raft.start(self.transport.now())
        self._process()

    def stop(self) -> None:
        """Takes no further part. If this instance led, the others elect another leader."""
        self.stopped = True
        self.raft.halt()
        if self.timer is not None:
            self.timer.cancel()

    # -- requests
    def holds_lease(self, now: float) -> bool:
        """Whether this instance may act on the rules that it has applied."""
        return self.session.lease.is_valid(now)

    def read_index(self) -> int:
        """Requests the commit index and returns the request's id. The result comes to
        `StateMachine.read_completed`, never before this call has returned."""
        request_id = self.session.read_index(self.transport.now())
        self.transport.loop.call_soon(self._process)
        return request_id

    def propose(self, data: bytes) -> int:
        """Proposes a command until `finish_proposal` is called with the returned id."""
        request_id = self.session.propose(self.transport.now(), data)
        self.transport.loop.call_soon(self._process)
        return request_id

    def finish_proposal(self, request_id: int) -> None:
        """Stops proposing a command."""
        self.session.finish_proposal(request_id)

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads as far as it knows."""
        return self.raft.role is Role.LEADER and not self.raft.halted

    # -- events
    def _on_raft_message(self, now: float, sender: Sender, body: Message) -> Message | None:
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
            self._process()
        return None

    def _on_session_message(self, now: float, sender: Sender, body: Message) -> Message | None:
        if not self.stopped:
            assert isinstance(body, ReadIndex | ReadIndexResponse | Propose | ProposeResponse)
            self.session.handle_message(now, sender.name, body)
            self._process()
        return None

    def _on_timer(self, due_at: float) -> None:
        self.timer, self.timer_due_at = None, float("inf")
        if not self.stopped:
            self.session.tick(max(self.transport.now(), due_at))
            self._process()

    def _process(self) -> None:
        """Carries out what an event has led to: writes, messages, applying entries, read results, the
        timer."""
        if self.stopped:
            return
        now = self.transport.now()
        self.session.collect_reads(now)
        while True:
            batch = self.raft.take_batch()
            if not batch.needs_write and not batch.messages:
                break
            self.write_queue.append(batch)
        self._write_batches()
        for to, body in self.session.outbox:
            self.transport.send(to, body)
        self.session.outbox.clear()
        self._apply_committed()
        read_results, self.session.read_results = self.session.read_results, []
        for request_id, index in read_results:
            self.state_machine.read_completed(request_id, index)
        if self.reported_leader != (self.raft.leader, self.raft.term):
            self.reported_leader = self.raft.leader, self.raft.term
            self.state_machine.leader_changed(*self.reported_leader)
        self._set_timer(now)

    def _set_timer(self, now: float) -> None:
        due_at = self.session.next_timer_at
        if due_at == self.timer_due_at or self.stopped:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_due_at, self.timer = due_at, None
        if due_at < float("inf"):
            self.timer = self.transport.loop.call_later(max(due_at - now, 0.0) / 1e3, self._on_timer, due_at)

    # -- the store
    def _write_batches(self) -> None:
        while self.write_queue and not self.writing:
            batch = self.write_queue[0]
            if not batch.needs_write:
                self._send_messages(self.write_queue.popleft())
                continue
            self.writing = True
            if batch.snapshot is not None:
                self.state_machine.load_snapshot(batch.snapshot, self._on_snapshot_loaded)
            else:
                self._submit(batch)

    def _on_snapshot_loaded(self, succeeded: bool) -> None:
        """Stores the new beginning of the log, after the state machine has taken over the snapshot."""
        if not succeeded:
            self._halt(StoreError("a snapshot could not be loaded"))
            return
        self.session.mark_applied(self.state_machine.applied_index())
        self._submit(self.write_queue[0])

    def _submit(self, batch: Batch) -> None:
        try:
            self.log_store.write(batch, self._on_written)
        except StoreError as error:
            self._halt(error)

    def _on_written(self, problem: StoreError | None) -> None:
        if problem is not None:
            self._halt(problem)
            return
        if self.stopped:
            return
        batch = self.write_queue.popleft()
        self.writing = False
        self._send_messages(batch)
        self.raft.mark_durable(batch.last_index, batch.last_term)
        self._process()

    def _halt(self, error: StoreError) -> None:
        """After a storage failure nothing may be promised to others: takes no part until restarted."""
        if not self.stopped:
            log.error(
                "raft: this instance has stopped taking part, because its log cannot be written: %s; "
                "repair the disk and start the instance again",
                error,
            )
            self.raft.halt()

    def _send_messages(self, batch: Batch) -> None:
        if not self.raft.halted:
            for to, body in batch.messages:
                self.transport.send(to, body)

    # -- the state machine
    def _apply_committed(self) -> None:
        loading = bool(self.write_queue) and self.write_queue[0].snapshot is not None
        if self.applying or self.stopped or self.raft.halted or loading:
            return
        first_index = self.state_machine.applied_index() + 1
        last_index = min(self.raft.applicable_index, first_index + MAX_APPLY_BATCH - 1)
        if last_index < first_index or first_index <= self.raft.log.base_index:
            self._dump_if_needed()
            return
        entries = []
        for index in range(first_index, last_index + 1):
            entry = self.raft.log.entry_at(index)
            entries.append((index, entry.term, entry.data if entry.kind is EntryKind.COMMAND else None))
        self.applying = True
        self.state_machine.apply(entries, self._on_applied)

    def _on_applied(self, succeeded: bool) -> None:
        self.applying = False
        if self.stopped:
            return
        if not succeeded:
            self._halt(StoreError("committed entries could not be applied"))
            return
        applied_index = self.state_machine.applied_index()
        self.session.mark_applied(applied_index)
        if applied_index - self.raft.log.base_index >= COMPACTION_THRESHOLD:
            self._compact(applied_index)
        self._process()

    def _compact(self, applied_index: int) -> None:
        """Drops applied entries: the state machine is durable by itself, only slower members need some."""
        raft = self.raft
        raft.compact(applied_index)
        base = LogBase(raft.log.base_index, raft.log.base_term, raft.base_roster)
        try:
            self.log_store.rebase(base, lambda problem: self._halt(problem) if problem is not None else None)
        except StoreError as error:
            self._halt(error)

    def _dump_if_needed(self) -> None:
        """Asks for a snapshot if a member lacks entries that have been compacted."""
        if self.raft.needs_snapshot and not self.dumping:
            self.dumping = True
            self.state_machine.dump_snapshot(self._on_snapshot_dumped)

    def _on_snapshot_dumped(self, index: int, term: int, data: bytes) -> None:
        self.dumping = False
        if not self.stopped:
            self.raft.provide_snapshot(self.transport.now(), Snapshot(index, term, self.raft.roster, data))
            self._process()
