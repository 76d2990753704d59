"""The consensus core: messages, timers and storage acknowledgements in, batches out. No I/O.

Raft with pre-vote, quorum checks by the leader, ReadIndex, snapshots in chunks, and a roster that changes by
one name at a time. How this differs from the paper is described in docs/design/agreement.md.
"""

from __future__ import annotations

import math

from notchflow.cluster.agreement.leader import Leadership
from notchflow.cluster.agreement.log import Log
from notchflow.cluster.agreement.replica import RaftMessage, Role, Snapshot
from notchflow.cluster.agreement.wire import (
    MAX_SNAPSHOT_BYTES,
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    RequestVote,
    RequestVoteResponse,
)


class Raft(Leadership):
    """The Raft state machine of one instance. Times are milliseconds of the driver's clock."""

    def start(self, now: float) -> None:
        """Begins as a follower. To be called once, before any other method."""
        self.now = now
        self.votes: set[str] = set()
        self.incoming_snapshot: InstallSnapshot | None = None
        self.incoming_data = bytearray()
        self.issued_tickets: dict[str, tuple[int, float]] = {}  # by candidate: ticket and time of issue
        self.received_tickets: dict[str, int] = {}  # by voter, for the current candidacy
        self.pre_vote_at = -math.inf
        self.rejoin_index = math.inf  # once this is applicable, an instance that lost its state votes again
        self._reset_election_timer(now)

    @property
    def next_timer_at(self) -> float:
        """When `tick` is to be called next; infinity if no timer runs."""
        if self.halted:
            return math.inf
        if self.role is Role.LEADER:
            return min(self.heartbeat_at, self.quorum_check_at)
        return self.election_at

    def tick(self, now: float) -> None:
        """Runs every timer that has expired."""
        if self.halted:
            return
        self.now = now
        if self.role is Role.LEADER:
            if now >= self.quorum_check_at:
                self._check_quorum(now)
            if self.role is Role.LEADER and now >= self.heartbeat_at:
                self._broadcast(now)
        elif now >= self.election_at:
            if now - self.election_at > self.settings.stall_ms:
                # The process was suspended: a heartbeat may be waiting to be read.
                self._reset_election_timer(now)
            else:
                self._start_pre_vote(now)

    def halt(self) -> None:
        """Stops taking part. After a storage failure nothing that this instance promises is durable."""
        self.halted = True
        self.role, self.leader = Role.FOLLOWER, ""

    def read_confirmed(self, requested_at: float, index: int) -> None:
        """Notes a commit index that was confirmed for a read requested at a time. An instance that lost its
        state votes again once it has everything that was committed when its forgotten votes had expired."""
        if not self.joined and requested_at >= self.started_at + self.settings.probation_ms:
            self.rejoin_index = min(self.rejoin_index, index)
            self._check_rejoined()

    def _check_rejoined(self) -> None:
        if not self.joined and self.applicable_index >= self.rejoin_index:
            self.joined = True

    def mark_durable(self, index: int, term: int) -> None:
        """Notes that a batch whose last entry has this index and term has been stored."""
        if self.log.term_at(index) == term and index > self.durable_index:
            self.durable_index = index
            self._check_rejoined()
            if self.role is Role.LEADER:
                previous = self.commit_index
                self._advance_commit()
                if self.commit_index > previous:
                    self._broadcast(self.now)

    # -- elections
    def _check_quorum(self, now: float) -> None:
        """Steps down if no majority was heard lately, or once its removal from the roster is committed."""
        self.quorum_check_at = now + self.settings.election_timeout_ms
        heard = 1 + sum(
            now - peer.heard_at <= 2 * self.settings.election_timeout_ms for peer in self.peers.values()
        )
        if heard < self.majority or self.name not in self.roster and self.commit_index >= self.log.last_index:
            self._become_follower(now, self.term, "")

    def _become_follower(self, now: float, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.voted_for = term, ""
        if self.role is not Role.FOLLOWER or self.election_at == math.inf:
            self._reset_election_timer(now)
        self.role, self.leader = Role.FOLLOWER, leader
        self.heartbeat_at = self.quorum_check_at = math.inf

    def _start_pre_vote(self, now: float) -> None:
        """Asks whether it would be elected, so that an instance that was partitioned does not raise the term
        and depose a working leader."""
        self._reset_election_timer(now)
        self.leader = ""
        if self.name not in self.roster or not self.joined and self.log.last_index:
            return
        if not self.log.last_index and not self._may_bootstrap(now):
            return
        self.role, self.votes, self.received_tickets, self.pre_vote_at = (
            Role.PRE_CANDIDATE,
            {self.name},
            {},
            now,
        )
        for name in self.others:
            self._send(
                name,
                RequestVote(self.term + 1, self.log.last_index, self.log.last_term, self.weight, True),
            )
        self._tally_votes(now)

    def _start_election(self, now: float) -> None:
        self.term, self.voted_for, self.joined = self.term + 1, self.name, True
        self.role, self.votes = Role.CANDIDATE, {self.name}
        self._reset_election_timer(now)
        for name, ticket in self.received_tickets.items():
            self._send(
                name,
                RequestVote(self.term, self.log.last_index, self.log.last_term, self.weight, False, ticket),
            )
        self._tally_votes(now)

    def _tally_votes(self, now: float) -> None:
        """A majority elects. The first election of an empty log needs the whole roster, because an instance
        that lost its state cannot be told from one that never had any."""
        needed = self.majority if self.log.last_index else len(self.roster)
        if len(self.votes & set(self.roster)) < needed:
            return
        if self.role is Role.PRE_CANDIDATE and now - self.pre_vote_at <= self.settings.election_timeout_ms:
            self._start_election(now)  # not on older answers, which a suspended process may find waiting
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)

    def _handle_request_vote(self, now: float, sender: str, body: RequestVote) -> None:
        """Grants one vote a term, to a candidate whose log is as up-to-date. None while a leader is heard."""
        has_leader = (
            self.leader
            and now - self.heard_at < self.settings.election_timeout_ms
            or self.role is Role.LEADER
        )
        if has_leader or body.term < self.term or not self._may_vote_for(now, body):
            self._send(sender, RequestVoteResponse(self.term, False, body.pre_vote))
            return
        if body.pre_vote:
            ticket = self.rng.getrandbits(62)
            self.issued_tickets[sender] = ticket, now
            self._send(sender, RequestVoteResponse(body.term, True, True, ticket))
            return
        ticket, issued_at = self.issued_tickets.pop(sender, (0, -math.inf))
        ticket_valid = body.ticket == ticket and now - issued_at <= self.settings.ticket_ms
        if body.term > self.term and ticket_valid:
            self._become_follower(now, body.term, "")
        granted = ticket_valid and self.voted_for in ("", sender)
        if granted:
            # An instance that had not joined votes only to begin an empty log, which needs the whole roster:
            # it then has the log from its first entry.
            self.voted_for, self.joined = sender, True
            self._reset_election_timer(now)
        self._send(sender, RequestVoteResponse(self.term, granted))

    def _may_vote_for(self, now: float, body: RequestVote) -> bool:
        """Whether a candidate may be elected as far as this instance knows. An instance without state votes
        only for the first leader of an empty log, never where a log has already begun."""
        may_vote = (
            self.joined or not self.log.last_index and not body.last_log_index and self._may_bootstrap(now)
        )
        return may_vote and self._is_up_to_date(body)

    def _may_bootstrap(self, now: float) -> bool:
        """Whether it may take part in the first election: not before a vote that it may have given and
        forgotten has expired."""
        return self.joined or now >= self.started_at + self.settings.probation_ms

    def _is_up_to_date(self, body: RequestVote) -> bool:
        """Whether a candidate's log is at least as up-to-date as this one (the paper's 5.4.1). Of two empty
        logs, the larger state wins."""
        if not self.log.last_index and not body.last_log_index and self.weight > body.weight:
            return False
        return (body.last_log_term, body.last_log_index) >= (self.log.last_term, self.log.last_index)

    def _handle_vote_response(self, now: float, sender: str, body: RequestVoteResponse) -> None:
        if not body.vote_granted:
            if body.term > self.term:
                self._become_follower(now, body.term, "")
            return
        expected_term = self.term + 1 if body.pre_vote else self.term
        if body.pre_vote and self.role is Role.PRE_CANDIDATE and body.term == expected_term:
            self.received_tickets[sender] = body.ticket
        role = Role.PRE_CANDIDATE if body.pre_vote else Role.CANDIDATE
        if self.role is role and body.term == expected_term:
            self.votes.add(sender)
            self._tally_votes(now)

    # -- messages
    def handle_message(self, now: float, sender: str, body: RaftMessage) -> None:
        """Handles a message of another member. Messages may come in any order, and any number of times."""
        if self.halted:
            return
        self.now = now
        match body:
            case RequestVote():
                self._handle_request_vote(now, sender, body)
            case RequestVoteResponse():
                self._handle_vote_response(now, sender, body)
            case AppendEntries() | InstallSnapshot():
                self._handle_leader_message(now, sender, body)
            case AppendEntriesResponse() | InstallSnapshotResponse():
                if body.term > self.term:
                    self._become_follower(now, body.term, "")
                elif self.role is Role.LEADER and body.term == self.term:
                    if isinstance(body, AppendEntriesResponse):
                        self._handle_append_response(now, sender, body)
                    else:
                        self._handle_snapshot_response(now, sender, body)

    def _handle_leader_message(self, now: float, sender: str, body: AppendEntries | InstallSnapshot) -> None:
        if body.term < self.term:  # from a deposed leader, which learns the newer term from the response
            self._send(sender, AppendEntriesResponse(self.term, False, 0, 0, self.joined))
            return
        if self.role is Role.LEADER and body.term == self.term:
            raise AssertionError(f"two leaders in term {body.term}: {sender} and {self.name}")
        self._become_follower(now, body.term, sender)
        self._reset_election_timer(now)
        self.heard_at = now
        if isinstance(body, AppendEntries):
            self._handle_append_entries(sender, body)
        else:
            self._handle_install_snapshot(now, sender, body)

    def _handle_append_entries(self, sender: str, body: AppendEntries) -> None:
        """Appends entries that follow a matching one; otherwise answers from where the leader should send."""
        prev_log_index = body.prev_log_index
        if prev_log_index > self.log.last_index:
            self._send(
                sender,
                AppendEntriesResponse(self.term, False, self.log.last_index + 1, body.round, self.joined),
            )
            return
        entries = body.entries
        if prev_log_index < self.log.base_index:  # compacted entries are committed, and so need no comparison
            entries, prev_log_index = entries[self.log.base_index - prev_log_index :], self.log.base_index
        elif self.log.term_at(prev_log_index) != body.prev_log_term:
            next_index = max(self.log.first_index_of_term(prev_log_index), self.commit_index + 1)
            self._send(sender, AppendEntriesResponse(self.term, False, next_index, body.round, self.joined))
            return
        index = prev_log_index
        for entry in entries:
            index += 1
            existing_term = self.log.term_at(index)
            if existing_term is not None and existing_term != entry.term:
                self._truncate_from(index)
                existing_term = None
            if existing_term is None:
                self._append(entry)
        self.commit_index = max(self.commit_index, min(body.leader_commit, index))
        self._check_rejoined()
        self._send(sender, AppendEntriesResponse(self.term, True, index, body.round, self.joined))

    # -- snapshots
    def _handle_install_snapshot(self, now: float, sender: str, body: InstallSnapshot) -> None:
        if body.last_included_index <= self.commit_index:  # everything in it is already here
            self._send(
                sender,
                InstallSnapshotResponse(self.term, body.last_included_index, body.total_size, self.joined),
            )
            return
        first = self.incoming_snapshot
        same = first is not None and (
            first.last_included_index,
            first.last_included_term,
            first.total_size,
            first.term,
        ) == (
            body.last_included_index,
            body.last_included_term,
            body.total_size,
            body.term,
        )
        if not same:
            self.incoming_snapshot, self.incoming_data = body, bytearray()
        if body.offset == len(self.incoming_data) and body.total_size <= MAX_SNAPSHOT_BYTES:
            self.incoming_data += body.data
        if len(self.incoming_data) >= body.total_size:
            data, self.incoming_snapshot, self.incoming_data = (
                bytes(self.incoming_data),
                None,
                bytearray(),
            )
            self._install_snapshot(
                Snapshot(body.last_included_index, body.last_included_term, body.roster, data)
            )
            self._send(
                sender,
                InstallSnapshotResponse(self.term, body.last_included_index, body.total_size, self.joined),
            )
            return
        self._send(
            sender,
            InstallSnapshotResponse(
                self.term, body.last_included_index, len(self.incoming_data), self.joined
            ),
        )

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces the log up to the snapshot's index; entries after it stay if the log matches there."""
        if self.log.term_at(snapshot.index) == snapshot.term:
            entries = self.log.entries[snapshot.index - self.log.base_index :]
        else:
            entries = []
        self.log = Log(snapshot.index, snapshot.term, entries)
        self.base_roster = snapshot.roster
        self.roster = self.log.latest_roster(self.base_roster)
        self.commit_index = max(self.commit_index, snapshot.index)
        self.durable_index = max(min(self.durable_index, self.log.last_index), snapshot.index)
        self.unsaved_from = snapshot.index + 1
        self.unsaved_snapshot = snapshot
