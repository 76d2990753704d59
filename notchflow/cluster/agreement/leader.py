"""A leader's part: who has what of the log, what is agreed, what is certain, and snapshots. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from notchflow.cluster.agreement.log import Compacted, bytes_of, names_of
from notchflow.cluster.agreement.replica import Replica, Role, Snapshot
from notchflow.cluster.agreement.wire import (
    ENTRY_MAX,
    PIECE_BYTES,
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotResponse,
)

AHEAD_MAX: Final = 1_024  # entries sent to one that has not said it has them


class NotLeading(Exception):
    """Only a leader does that."""


class Busy(Exception):
    """One change of the roster at a time; and more is under way than may be."""


@dataclass(slots=True)
class Peer:
    """What a leader knows of another."""

    match: int = 0  # up to here it has what the leader has
    next: int = 1  # from here on it is sent
    round: int = 0  # the latest that it has answered
    heard_at: float = -math.inf
    counts: bool = True
    offset: int = 0  # of the snapshot that it is being sent
    piece_at: float = -math.inf


@dataclass(slots=True)
class Question:
    """Somebody wants to be certain: answered once a round begun after it has a majority."""

    who: str
    number: int
    round: int
    index: int


class Leading(Replica):
    """What a leader does. `certain` is handed out with `take_certain`."""

    heartbeat_at = math.inf
    check_at = math.inf
    round = 0

    def _lead(self, now: float) -> None:
        """The vote is won. An entry of this term tells what is agreed of the terms before."""
        self.role, self.leader, self.joined = Role.LEADER, self.name, True
        self.election_at = math.inf
        self.check_at = now + self.settings.election_ms
        self.peers = {name: Peer(next=self.log.last_index + 1, heard_at=now) for name in self.others}
        self.questions: list[Question] = []
        self.answers: list[tuple[str, int, int]] = []
        self.blob: Snapshot | None = None
        self.first_of_term = self._put(Entry(self.term, EntryKind.NOOP))
        self._broadcast(now)
        self._agree()

    # -- changes
    def propose(self, now: float, data: bytes) -> int:
        """Puts a change into the log; its index. NotLeading, Busy."""
        if self.role is not Role.LEADER or self.silent:
            raise NotLeading(self.leader)
        if len(data) > ENTRY_MAX:
            raise ValueError(f"{len(data)} bytes; a change has at most {ENTRY_MAX}")
        if self.log.last_index - self.commit_index >= AHEAD_MAX:
            raise Busy(f"{self.log.last_index - self.commit_index} changes wait for a majority")
        index = self._put(Entry(self.term, EntryKind.COMMAND, data))
        self._broadcast(now)
        self._agree()
        return index

    def change_roster(self, now: float, roster: tuple[str, ...]) -> int:
        """One name more or less from now on. NotLeading, Busy; ValueError."""
        if self.role is not Role.LEADER or self.silent:
            raise NotLeading(self.leader)
        if len(set(roster) ^ set(self.roster)) != 1 or not roster:
            raise ValueError("the roster changes by one name at a time")
        if self.commit_index < self.first_of_term or self.roster != self._agreed_roster():
            raise Busy("a change of the roster is under way")
        index = self._put(Entry(self.term, EntryKind.ROSTER, bytes_of(roster)))
        self._peers_changed(now)
        self._broadcast(now)
        self._agree()
        return index

    def _agreed_roster(self) -> tuple[str, ...]:
        for index in range(self.commit_index, self.log.base_index, -1):
            entry = self.log.entry_at(index)
            if entry.kind is EntryKind.ROSTER:
                return names_of(entry.data)
        return self.base_roster

    def _peers_changed(self, now: float) -> None:
        for name in self.others:
            self.peers.setdefault(name, Peer(next=self.log.last_index + 1, heard_at=now))
        for name in self.peers.keys() - set(self.others):
            del self.peers[name]

    # -- what others have
    def _broadcast(self, now: float) -> None:
        self.round += 1
        self.heartbeat_at = now + self.settings.beat_ms
        for name in self.others:
            self._replicate(now, name)
        self._confirm()

    def _replicate(self, now: float, name: str) -> None:
        """The next entries for one; where these are compacted away, a piece of the snapshot."""
        peer = self.peers[name]
        if peer.next <= self.log.base_index:
            self._send_piece(now, name, peer)
            return
        before = peer.next - 1
        try:
            entries = self.log.behind(before)
        except Compacted:  # pragma: no cover - the base is before it
            return
        term = self.log.term_at(before)
        assert term is not None
        self._send(name, AppendEntries(self.term, before, term, self.commit_index, self.round, entries))
        peer.next = before + 1 + len(entries)

    def _appended(self, now: float, name: str, body: AppendEntriesResponse) -> None:
        peer = self.peers.get(name)
        if peer is None:
            return
        peer.heard_at, peer.counts = now, body.counts
        peer.round = max(peer.round, body.round)
        if body.ok:
            peer.match = max(peer.match, body.index)
            peer.next = max(peer.next, peer.match + 1)
            before = self.commit_index
            self._agree()
            if self.commit_index > before:
                self._broadcast(now)  # all are told at once of what is agreed
            elif peer.next <= self.log.last_index:
                self._replicate(now, name)
        elif body.index < peer.next:
            if body.index <= peer.match:  # it has lost what it had
                peer.match = 0
            peer.next = max(min(body.index, peer.next - 1), 1)
            self._replicate(now, name)
        self._confirm()

    def _agree(self) -> None:
        """What a majority has is agreed if it is of this term, and all before it too (the paper's 5.4.2)."""
        have = sorted((self._counted_of(name, self.durable, "match") for name in self.roster), reverse=True)
        index = have[self.majority - 1]
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index

    def _counted_of(self, name: str, own: int, what: str) -> int:
        """A figure of one of the roster; 0 of one that has lost its memory."""
        if name == self.name:
            return own
        peer = self.peers[name]
        figure: int = getattr(peer, what)
        return figure if peer.counts else 0

    # -- certainty
    def ask(self, now: float, who: str, number: int) -> None:
        """Somebody wants to know up to where is agreed as of now. NotLeading."""
        if self.role is not Role.LEADER or self.silent:
            raise NotLeading(self.leader)
        self.questions.append(Question(who, number, self.round + 1, self.commit_index))
        self._broadcast(now)

    def _confirm(self) -> None:
        """A round that a majority has answered shows that nobody else led when it began. Nothing is certain
        before an entry of this term is agreed."""
        if self.role is not Role.LEADER or self.commit_index < self.first_of_term:
            return
        rounds = sorted((self._counted_of(name, self.round, "round") for name in self.roster), reverse=True)
        shown = rounds[self.majority - 1]
        for question in self.questions:
            if question.round <= shown:
                self.answers.append((question.who, question.number, max(question.index, self.first_of_term)))
        self.questions = [q for q in self.questions if q.round > shown]

    def take_certain(self) -> list[tuple[str, int, int]]:
        """Who is told of what number that all agreed before lies at or before what index."""
        if self.role is not Role.LEADER:
            return []
        answers, self.answers = self.answers, []
        return answers

    # -- snapshots
    @property
    def needs_snapshot(self) -> bool:
        """Whether somebody needs one, and what there is lies before the log's beginning."""
        return (
            self.role is Role.LEADER
            and any(p.next <= self.log.base_index for p in self.peers.values())
            and (self.blob is None or self.blob.index < self.log.base_index)
        )

    def provide_snapshot(self, now: float, blob: Snapshot) -> None:
        """The state at an index that is agreed."""
        if self.role is not Role.LEADER or blob.index < self.log.base_index:
            return
        self.blob = blob
        for name, peer in self.peers.items():
            if peer.next <= self.log.base_index:
                peer.offset, peer.piece_at = 0, -math.inf
                self._send_piece(now, name, peer)

    def _send_piece(self, now: float, name: str, peer: Peer) -> None:
        blob = self.blob
        if (
            blob is None or blob.index < self.log.base_index
        ):  # a word all the same, so that it holds no election
            term = self.log.term_at(self.log.base_index)
            assert term is not None
            self._send(name, AppendEntries(self.term, self.log.base_index, term, 0, self.round))
            return
        if now < peer.piece_at + self.settings.beat_ms:
            return
        peer.piece_at = now
        data = blob.data[peer.offset : peer.offset + PIECE_BYTES]
        self._send(
            name,
            InstallSnapshot(self.term, blob.index, blob.term, blob.roster, len(blob.data), peer.offset, data),
        )

    def _pieced(self, now: float, name: str, body: InstallSnapshotResponse) -> None:
        peer, blob = self.peers.get(name), self.blob
        if peer is None:
            return
        peer.heard_at, peer.counts = now, body.counts
        if blob is None or body.index != blob.index:
            return
        if body.offset >= len(blob.data):
            peer.match = max(peer.match, blob.index)
            peer.next = max(peer.next, blob.index + 1)
            peer.offset = 0
            self._agree()
            self._replicate(now, name)
        elif body.offset != peer.offset:
            peer.offset, peer.piece_at = body.offset, -math.inf
            self._send_piece(now, name, peer)
