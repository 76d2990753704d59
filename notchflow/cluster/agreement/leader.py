"""The leader's part of Raft: replication, commitment, confirmed reads, and sending snapshots. No I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from notchflow.cluster.agreement.log import Compacted, decode_roster, encode_roster
from notchflow.cluster.agreement.replica import Replica, Role, Snapshot
from notchflow.cluster.agreement.wire import (
    MAX_ENTRY_BYTES,
    SNAPSHOT_CHUNK_BYTES,
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotResponse,
)

MAX_UNCOMMITTED_ENTRIES: Final = 1_024  # further proposals are rejected


class NotLeader(Exception):
    """The operation needs the leader. The argument is the leader's name, empty if it is not known."""


class ProposalRejected(Exception):
    """Too many entries are uncommitted, or an earlier change of the roster has not been committed."""


@dataclass(slots=True)
class Peer:
    """What a leader knows of another member."""

    match_index: int = 0  # highest index known to be replicated there
    next_index: int = 1  # next index to send
    acked_round: int = 0  # latest heartbeat round that it has answered
    heard_at: float = -math.inf
    voting: bool = True
    snapshot_offset: int = 0  # of the snapshot that is being sent to it
    chunk_sent_at: float = -math.inf


@dataclass(slots=True)
class PendingRead:
    """A ReadIndex request, confirmed once a majority has answered a heartbeat round begun after it."""

    requester: str
    request_id: int
    round: int
    index: int


class Leadership(Replica):
    """The leader's behaviour. `take_confirmed_reads` returns the reads that have been confirmed."""

    heartbeat_at = math.inf
    quorum_check_at = math.inf
    round = 0

    def _become_leader(self, now: float) -> None:
        """Begins a term as its leader. An entry of the own term must be committed before it is known which
        entries of earlier terms are."""
        self.role, self.leader, self.joined = Role.LEADER, self.name, True
        self.election_at = math.inf
        self.quorum_check_at = now + self.settings.election_timeout_ms
        self.peers = {name: Peer(next_index=self.log.last_index + 1, heard_at=now) for name in self.others}
        self.pending_reads: list[PendingRead] = []
        self.confirmed_reads: list[tuple[str, int, int]] = []
        self.outgoing_snapshot: Snapshot | None = None
        self.term_start_index = self._append(Entry(self.term, EntryKind.NOOP))
        self._broadcast(now)
        self._advance_commit()

    # -- proposals
    def propose(self, now: float, data: bytes) -> int:
        """Appends a command and returns its index. Raises NotLeader, ProposalRejected or ValueError."""
        if self.role is not Role.LEADER or self.halted:
            raise NotLeader(self.leader)
        if len(data) > MAX_ENTRY_BYTES:
            raise ValueError(f"a command of {len(data)} bytes is longer than {MAX_ENTRY_BYTES}")
        if self.log.last_index - self.commit_index >= MAX_UNCOMMITTED_ENTRIES:
            raise ProposalRejected(f"{self.log.last_index - self.commit_index} entries are not committed yet")
        index = self._append(Entry(self.term, EntryKind.COMMAND, data))
        self._broadcast(now)
        self._advance_commit()
        return index

    def change_roster(self, now: float, roster: tuple[str, ...]) -> int:
        """Adds or removes one member, effective at once. Raises NotLeader, ProposalRejected or ValueError."""
        if self.role is not Role.LEADER or self.halted:
            raise NotLeader(self.leader)
        if len(set(roster) ^ set(self.roster)) != 1 or not roster:
            raise ValueError("the roster changes by one name at a time")
        if self.commit_index < self.term_start_index or self.roster != self._committed_roster():
            raise ProposalRejected("an earlier change of the roster is not committed yet")
        index = self._append(Entry(self.term, EntryKind.ROSTER, encode_roster(roster)))
        self._update_peers(now)
        self._broadcast(now)
        self._advance_commit()
        return index

    def _committed_roster(self) -> tuple[str, ...]:
        for index in range(self.commit_index, self.log.base_index, -1):
            entry = self.log.entry_at(index)
            if entry.kind is EntryKind.ROSTER:
                return decode_roster(entry.data)
        return self.base_roster

    def _update_peers(self, now: float) -> None:
        for name in self.others:
            self.peers.setdefault(name, Peer(next_index=self.log.last_index + 1, heard_at=now))
        for name in self.peers.keys() - set(self.others):
            del self.peers[name]

    # -- replication
    def _broadcast(self, now: float) -> None:
        """Begins a heartbeat round: sends each member what it lacks, or an empty AppendEntries."""
        self.round += 1
        self.heartbeat_at = now + self.settings.heartbeat_ms
        for name in self.others:
            self._replicate(now, name)
        self._confirm_reads()

    def _replicate(self, now: float, name: str) -> None:
        """Sends a member its next entries, or a chunk of the snapshot if these have been compacted."""
        peer = self.peers[name]
        if peer.next_index <= self.log.base_index:
            self._send_snapshot_chunk(now, name, peer)
            return
        prev_log_index = peer.next_index - 1
        try:
            entries = self.log.entries_after(prev_log_index)
        except Compacted:  # pragma: no cover - the base is before it
            return
        term = self.log.term_at(prev_log_index)
        assert term is not None
        self._send(
            name, AppendEntries(self.term, prev_log_index, term, self.commit_index, self.round, entries)
        )
        peer.next_index = prev_log_index + 1 + len(entries)

    def _handle_append_response(self, now: float, name: str, body: AppendEntriesResponse) -> None:
        peer = self.peers.get(name)
        if peer is None:
            return
        peer.heard_at, peer.voting = now, body.voting
        peer.acked_round = max(peer.acked_round, body.round)
        if body.success:
            peer.match_index = max(peer.match_index, body.index)
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            previous = self.commit_index
            self._advance_commit()
            if self.commit_index > previous:
                self._broadcast(now)  # sends the new commit index without waiting for the next heartbeat
            elif peer.next_index <= self.log.last_index:
                self._replicate(now, name)
        elif body.index < peer.next_index:
            if body.index <= peer.match_index:  # the member has lost entries that it had acknowledged
                peer.match_index = 0
            peer.next_index = max(min(body.index, peer.next_index - 1), 1)
            self._replicate(now, name)
        self._confirm_reads()

    def _advance_commit(self) -> None:
        """Commits what a majority has if it is of the current term, and all before it (the paper's 5.4.2)."""
        replicated = sorted(
            (self._peer_value(name, self.durable_index, "match_index") for name in self.roster), reverse=True
        )
        index = replicated[self.majority - 1]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index

    def _peer_value(self, name: str, own: int, attribute: str) -> int:
        """A member's value as it counts towards a majority: 0 if it lost its state and is catching up."""
        if name == self.name:
            return own
        peer = self.peers[name]
        value: int = getattr(peer, attribute)
        return value if peer.voting else 0

    # -- confirmed reads
    def read_index(self, now: float, requester: str, request_id: int) -> None:
        """Begins to confirm a commit index for a reader (the thesis' ReadIndex). Raises NotLeader."""
        if self.role is not Role.LEADER or self.halted:
            raise NotLeader(self.leader)
        self.pending_reads.append(PendingRead(requester, request_id, self.round + 1, self.commit_index))
        self._broadcast(now)

    def _confirm_reads(self) -> None:
        """A heartbeat round that a majority has answered shows that no other leader had been elected when it
        began. Nothing is confirmed before an entry of the current term is committed."""
        if self.role is not Role.LEADER or self.commit_index < self.term_start_index:
            return
        rounds = sorted(
            (self._peer_value(name, self.round, "acked_round") for name in self.roster), reverse=True
        )
        confirmed = rounds[self.majority - 1]
        for read in self.pending_reads:
            if read.round <= confirmed:
                self.confirmed_reads.append(
                    (read.requester, read.request_id, max(read.index, self.term_start_index))
                )
        self.pending_reads = [read for read in self.pending_reads if read.round > confirmed]

    def take_confirmed_reads(self) -> list[tuple[str, int, int]]:
        """Requester, request id and index of each read that has been confirmed since the last call."""
        if self.role is not Role.LEADER:
            return []
        confirmed, self.confirmed_reads = self.confirmed_reads, []
        return confirmed

    # -- snapshots
    @property
    def needs_snapshot(self) -> bool:
        """Whether a member needs a snapshot and the current one, if any, ends before the log begins."""
        return (
            self.role is Role.LEADER
            and any(p.next_index <= self.log.base_index for p in self.peers.values())
            and (self.outgoing_snapshot is None or self.outgoing_snapshot.index < self.log.base_index)
        )

    def provide_snapshot(self, now: float, snapshot: Snapshot) -> None:
        """Begins to send a snapshot of the committed state to the members that need one."""
        if self.role is not Role.LEADER or snapshot.index < self.log.base_index:
            return
        self.outgoing_snapshot = snapshot
        for name, peer in self.peers.items():
            if peer.next_index <= self.log.base_index:
                peer.snapshot_offset, peer.chunk_sent_at = 0, -math.inf
                self._send_snapshot_chunk(now, name, peer)

    def _send_snapshot_chunk(self, now: float, name: str, peer: Peer) -> None:
        snapshot = self.outgoing_snapshot
        if snapshot is None or snapshot.index < self.log.base_index:
            # No snapshot yet: a heartbeat keeps the member from starting an election.
            term = self.log.term_at(self.log.base_index)
            assert term is not None
            self._send(name, AppendEntries(self.term, self.log.base_index, term, 0, self.round))
            return
        if now < peer.chunk_sent_at + self.settings.heartbeat_ms:
            return
        peer.chunk_sent_at = now
        data = snapshot.data[peer.snapshot_offset : peer.snapshot_offset + SNAPSHOT_CHUNK_BYTES]
        self._send(
            name,
            InstallSnapshot(
                self.term,
                snapshot.index,
                snapshot.term,
                snapshot.roster,
                len(snapshot.data),
                peer.snapshot_offset,
                data,
            ),
        )

    def _handle_snapshot_response(self, now: float, name: str, body: InstallSnapshotResponse) -> None:
        peer, snapshot = self.peers.get(name), self.outgoing_snapshot
        if peer is None:
            return
        peer.heard_at, peer.voting = now, body.voting
        if snapshot is None or body.last_included_index != snapshot.index:
            return
        if body.next_offset >= len(snapshot.data):
            peer.match_index = max(peer.match_index, snapshot.index)
            peer.next_index = max(peer.next_index, snapshot.index + 1)
            peer.snapshot_offset = 0
            self._advance_commit()
            self._replicate(now, name)
        elif body.next_offset != peer.snapshot_offset:
            peer.snapshot_offset, peer.chunk_sent_at = body.next_offset, -math.inf
            self._send_snapshot_chunk(now, name, peer)
