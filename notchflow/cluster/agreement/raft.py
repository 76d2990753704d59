"""The core of agreement: messages, timers and local facts in, batches out. Pure.

Raft with pre-votes, checks of the quorum, certain reads by a round, snapshots in pieces, and a roster that
changes by one name at a time. What differs from the paper: docs/design/agreement.md.
"""

from __future__ import annotations

import math

from notchflow.cluster.agreement.leader import Leading
from notchflow.cluster.agreement.log import Log
from notchflow.cluster.agreement.replica import Role, Said, Snapshot
from notchflow.cluster.agreement.wire import (
    SNAPSHOT_MAX,
    AppendEntries,
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    RequestVote,
    RequestVoteResponse,
)


class Raft(Leading):
    """One instance's part."""

    def start(self, now: float) -> None:
        self.now = now
        self.votes: set[str] = set()
        self.arriving: InstallSnapshot | None = None
        self.arrived = bytearray()
        self.issued_tickets: dict[str, tuple[int, float]] = {}  # given to candidates: number, when
        self.received_tickets: dict[str, int] = {}  # that voters gave for this candidacy
        self.asked_at = -math.inf
        self.learned = math.inf  # from here on it counts again, if it has lost its memory
        self._election_later(now)

    @property
    def next_timer_at(self) -> float:
        """When something is due."""
        if self.silent:
            return math.inf
        if self.role is Role.LEADER:
            return min(self.heartbeat_at, self.check_at)
        return self.election_at

    def tick(self, now: float) -> None:
        """Whatever is due by now."""
        if self.silent:
            return
        self.now = now
        if self.role is Role.LEADER:
            if now >= self.check_at:
                self._check(now)
            if self.role is Role.LEADER and now >= self.heartbeat_at:
                self._broadcast(now)
        elif now >= self.election_at:
            if now - self.election_at > self.settings.stall_ms:  # it slept: a leader's word may be waiting
                self._election_later(now)
            else:
                self._would_you(now)

    def fail(self) -> None:
        """The disk has failed: nothing that this instance says could be relied on."""
        self.silent = True
        self.role, self.leader = Role.FOLLOWER, ""

    def sure(self, asked_at: float, index: int) -> None:
        """A certain answer to what this instance asked at a time. One that has lost its memory counts again
        once it has all that was agreed when votes of its that it has forgotten had run out."""
        if not self.joined and asked_at >= self.began + self.settings.probation_ms:
            self.learned = min(self.learned, index)
            self._learned()

    def _learned(self) -> None:
        if not self.joined and self.applicable_index >= self.learned:
            self.joined = True

    def mark_durable(self, index: int, term: int) -> None:
        """A batch is durable whose last entry is this one."""
        if self.log.term_at(index) == term and index > self.durable:
            self.durable = index
            self._learned()
            if self.role is Role.LEADER:
                before = self.commit_index
                self._agree()
                if self.commit_index > before:
                    self._broadcast(self.now)

    # -- elections
    def _check(self, now: float) -> None:
        """A leader that a majority does not hear leads no more."""
        self.check_at = now + self.settings.election_ms
        heard = 1 + sum(now - peer.heard_at <= 2 * self.settings.election_ms for peer in self.peers.values())
        if heard < self.majority or self.name not in self.roster and self.commit_index >= self.log.last_index:
            self._follow(now, self.term, "")

    def _follow(self, now: float, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.voted_for = term, ""
        if self.role is not Role.FOLLOWER or self.election_at == math.inf:
            self._election_later(now)
        self.role, self.leader = Role.FOLLOWER, leader
        self.heartbeat_at = self.check_at = math.inf

    def _would_you(self, now: float) -> None:
        """Asks first whether it would be elected, so that one that was cut off disturbs no term."""
        self._election_later(now)
        self.leader = ""
        if self.name not in self.roster or not self.joined and self.log.last_index:
            return
        if not self.log.last_index and not self._fit(now):
            return
        self.role, self.votes, self.received_tickets, self.asked_at = Role.ASKING, {self.name}, {}, now
        for name in self.others:
            self._send(
                name, RequestVote(self.term + 1, self.log.last_index, self.log.last_term, self.weight, True)
            )
        self._counted(now)

    def _stand(self, now: float) -> None:
        self.term, self.voted_for, self.joined = self.term + 1, self.name, True
        self.role, self.votes = Role.CANDIDATE, {self.name}
        self._election_later(now)
        for name, ticket in self.received_tickets.items():
            self._send(
                name,
                RequestVote(self.term, self.log.last_index, self.log.last_term, self.weight, False, ticket),
            )
        self._counted(now)

    def _counted(self, now: float) -> None:
        """A majority elects; to begin a log takes all of the roster, as one that has lost its memory cannot
        be told from one that never had any."""
        needed = self.majority if self.log.last_index else len(self.roster)
        if len(self.votes & set(self.roster)) < needed:
            return
        if self.role is Role.ASKING and now - self.asked_at <= self.settings.election_ms:
            self._stand(now)  # what was said longer ago, before it slept, no longer counts
        elif self.role is Role.CANDIDATE:
            self._lead(now)

    def _voted_for(self, now: float, sender: str, body: RequestVote) -> None:
        """Votes for whoever has all that this one has, once a term. Who hears a leader gives none."""
        led = self.leader and now - self.heard_at < self.settings.election_ms or self.role is Role.LEADER
        if led or body.term < self.term or not self._may_elect(now, body):
            self._send(sender, RequestVoteResponse(self.term, False, body.pre))
            return
        if body.pre:
            number = self.rng.getrandbits(62)
            self.issued_tickets[sender] = number, now
            self._send(sender, RequestVoteResponse(body.term, True, True, number))
            return
        number, given_at = self.issued_tickets.pop(sender, (0, -math.inf))
        in_time = body.ticket == number and now - given_at <= self.settings.ticket_ms
        if body.term > self.term and in_time:
            self._follow(now, body.term, "")
        granted = in_time and self.voted_for in ("", sender)
        if granted:
            self.voted_for, self.joined = (
                sender,
                True,
            )  # to begin a log takes all: it has known it from the start
            self._election_later(now)
        self._send(sender, RequestVoteResponse(self.term, granted))

    def _may_elect(self, now: float, body: RequestVote) -> bool:
        """Whether a candidate has all that this one has. One that has lost its memory, or never had any,
        helps to begin a log, and elects nobody to one that has begun."""
        fit = self.joined or not self.log.last_index and not body.last and self._fit(now)
        return fit and self._as_new(body)

    def _fit(self, now: float) -> bool:
        """Whether it may help to begin a log: not while one that began lately may have its vote."""
        return self.joined or now >= self.began + self.settings.probation_ms

    def _as_new(self, body: RequestVote) -> bool:
        """Whether a candidate's log is at least as new as this one; of two empty ones, who knows more."""
        if not self.log.last_index and not body.last and self.weight > body.weight:
            return False
        return (body.last_term, body.last) >= (self.log.last_term, self.log.last_index)

    def _vote_came(self, now: float, sender: str, body: RequestVoteResponse) -> None:
        if not body.granted:
            if body.term > self.term:
                self._follow(now, body.term, "")
            return
        wanted = self.term + 1 if body.pre else self.term
        if body.pre and self.role is Role.ASKING and body.term == wanted:
            self.received_tickets[sender] = body.ticket
        role = Role.ASKING if body.pre else Role.CANDIDATE
        if self.role is role and body.term == wanted:
            self.votes.add(sender)
            self._counted(now)

    # -- messages
    def handle_message(self, now: float, sender: str, body: Said) -> None:
        """A message of another member, in any order, any number of times."""
        if self.silent:
            return
        self.now = now
        match body:
            case RequestVote():
                self._voted_for(now, sender, body)
            case RequestVoteResponse():
                self._vote_came(now, sender, body)
            case AppendEntries() | InstallSnapshot():
                self._led(now, sender, body)
            case AppendEntriesResponse() | InstallSnapshotResponse():
                if body.term > self.term:
                    self._follow(now, body.term, "")
                elif self.role is Role.LEADER and body.term == self.term:
                    if isinstance(body, AppendEntriesResponse):
                        self._appended(now, sender, body)
                    else:
                        self._pieced(now, sender, body)

    def _led(self, now: float, sender: str, body: AppendEntries | InstallSnapshot) -> None:
        if body.term < self.term:  # a leader of the past: it learns so
            self._send(sender, AppendEntriesResponse(self.term, False, 0, 0, self.joined))
            return
        if self.role is Role.LEADER and body.term == self.term:
            raise AssertionError(f"{sender} and {self.name} lead in term {body.term}")
        self._follow(now, body.term, sender)
        self._election_later(now)
        self.heard_at = now
        if isinstance(body, AppendEntries):
            self._take(sender, body)
        else:
            self._take_piece(now, sender, body)

    def _take(self, sender: str, body: AppendEntries) -> None:
        """Entries that follow on what is here; where they do not, from where to try again."""
        before = body.before
        if before > self.log.last_index:
            self._send(
                sender,
                AppendEntriesResponse(self.term, False, self.log.last_index + 1, body.round, self.joined),
            )
            return
        entries = body.entries
        if (
            before < self.log.base_index
        ):  # compacted here, and so agreed: only what comes behind is of interest
            entries, before = entries[self.log.base_index - before :], self.log.base_index
        elif self.log.term_at(before) != body.before_term:
            again = max(self.log.first_of(before), self.commit_index + 1)
            self._send(sender, AppendEntriesResponse(self.term, False, again, body.round, self.joined))
            return
        index = before
        for entry in entries:
            index += 1
            held = self.log.term_at(index)
            if held is not None and held != entry.term:
                self._cut(index)
                held = None
            if held is None:
                self._put(entry)
        self.commit_index = max(self.commit_index, min(body.commit, index))
        self._learned()
        self._send(sender, AppendEntriesResponse(self.term, True, index, body.round, self.joined))

    # -- snapshots
    def _take_piece(self, now: float, sender: str, body: InstallSnapshot) -> None:
        if body.index <= self.commit_index:  # nothing that is not here
            self._send(sender, InstallSnapshotResponse(self.term, body.index, body.size, self.joined))
            return
        first = self.arriving
        same = first is not None and (first.index, first.index_term, first.size, first.term) == (
            body.index,
            body.index_term,
            body.size,
            body.term,
        )
        if not same:
            self.arriving, self.arrived = body, bytearray()
        if body.offset == len(self.arrived) and body.size <= SNAPSHOT_MAX:
            self.arrived += body.data
        if len(self.arrived) >= body.size:
            data, self.arriving, self.arrived = bytes(self.arrived), None, bytearray()
            self._install(Snapshot(body.index, body.index_term, body.roster, data))
            self._send(sender, InstallSnapshotResponse(self.term, body.index, body.size, self.joined))
            return
        self._send(sender, InstallSnapshotResponse(self.term, body.index, len(self.arrived), self.joined))

    def _install(self, snapshot: Snapshot) -> None:
        """The state comes from elsewhere. Entries behind it that fit stay."""
        if self.log.term_at(snapshot.index) == snapshot.term:
            kept = self.log.entries[snapshot.index - self.log.base_index :]
        else:
            kept = []
        self.log = Log(snapshot.index, snapshot.term, kept)
        self.base_roster = snapshot.roster
        self.roster = self.log.latest_roster(self.base_roster)
        self.commit_index = max(self.commit_index, snapshot.index)
        self.durable = max(min(self.durable, self.log.last_index), snapshot.index)
        self.changed_from = snapshot.index + 1
        self.installed = snapshot
