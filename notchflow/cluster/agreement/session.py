"""What an instance wants of the agreed log: to be certain, to change something, and leave to act. Pure.

Leave to act (the lease on rules) lasts until a time on this instance's own clock, counted from when it
*asked* up to where is agreed; it begins once all up to there is in force here. A change that is agreed after
it asked may be unknown here for no longer than the lease. No clock of another instance is in it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final, TypeAlias

from notchflow.cluster.agreement.leader import Busy, NotLeading
from notchflow.cluster.agreement.raft import Raft
from notchflow.cluster.agreement.replica import Role
from notchflow.cluster.agreement.wire import Propose, ProposeResponse, ReadIndex, ReadIndexResponse

NUMBERS: Final = (1 << 62) - 1
Asked: TypeAlias = ReadIndex | ReadIndexResponse | Propose | ProposeResponse


@dataclass(frozen=True, slots=True)
class SessionSettings:
    """What all instances must be set to alike. Milliseconds."""

    lease_ms: float = 4_000.0
    renew_ms: float = 1_000.0  # between two questions for the lease; sooner while there is none
    again_ms: float = 250.0  # an answer that has not come is asked for again
    patience_ms: float = 1_500.0  # then a question has failed
    clock_drift: float = 1 / 200
    delivery_ms: float = 250.0  # from the look at the lease to the last act on it: a request's way to a box

    @property
    def divergence_bound_ms(self) -> float:
        """For how long two instances may act on rules that contradict each other."""
        return self.lease_ms * (1 + self.clock_drift) + self.delivery_ms


@dataclass(slots=True)
class Question:
    asked_at: float
    again_at: float
    renews: bool  # asked for the lease


@dataclass(slots=True)
class Proposal:
    data: bytes
    again_at: float
    index: int = 0  # where the leader of a term has put it
    term: int = 0


class Lease:
    """Leave to act on the rules that are in force here."""

    def __init__(self, terms: SessionSettings) -> None:
        self.terms = terms
        self.until = -math.inf
        self.waiting: list[tuple[int, float]] = []  # from this index on, until that time

    def granted(self, asked_at: float, index: int, applied: int) -> None:
        until = asked_at + self.terms.lease_ms
        if index <= applied:
            self.until = max(self.until, until)
        else:
            self.waiting.append((index, until))

    def applied(self, index: int) -> None:
        for needed, until in self.waiting:
            if needed <= index:
                self.until = max(self.until, until)
        self.waiting = [one for one in self.waiting if one[0] > index]

    def is_valid(self, now: float) -> bool:
        return now < self.until


class Session:
    """One instance's questions and proposals, over its part in the agreement."""

    def __init__(self, raft: Raft, terms: SessionSettings, now: float) -> None:
        self.raft, self.terms = raft, terms
        self.lease = Lease(terms)
        self.number = raft.rng.getrandbits(61)
        self.questions: dict[int, Question] = {}
        self.proposals: dict[int, Proposal] = {}
        self.renew_at = now
        self.applied_index = 0
        self.outbox: list[tuple[str, Asked]] = []
        self.read_results: list[tuple[int, int | None]] = []  # number, index or None where it failed

    # -- what is wanted
    def read_index(self, now: float) -> int:
        """Up to where is agreed as of now? `certain` has the answer under this number."""
        return self._question(now, False)

    def _question(self, now: float, renews: bool) -> int:
        self.number = self.number % NUMBERS + 1
        self.questions[self.number] = Question(now, now + self.terms.again_ms, renews)
        self._put(now, self.number)
        return self.number

    def propose(self, now: float, data: bytes) -> int:
        """Wants a change in the log, again and again until `settled`: whoever puts it in force must know a
        change that comes twice."""
        self.number = self.number % NUMBERS + 1
        self.proposals[self.number] = Proposal(data, now)
        self._offer(now, self.number)
        return self.number

    def finish_proposal(self, number: int) -> None:
        self.proposals.pop(number, None)

    # -- time
    @property
    def next_timer_at(self) -> float:
        due = min(
            [
                self.renew_at,
                *(q.again_at for q in self.questions.values()),
                *(p.again_at for p in self.proposals.values()),
            ]
        )
        return min(due, self.raft.next_timer_at)

    def tick(self, now: float) -> None:
        self.raft.tick(now)
        for number, question in list(self.questions.items()):
            if now - question.asked_at >= self.terms.patience_ms:
                self._answered(number, None)
            elif now >= question.again_at:
                question.again_at = now + self.terms.again_ms
                self._put(now, number)
        for number, proposal in list(self.proposals.items()):
            if now >= proposal.again_at:
                self._offer(now, number)
        if now >= self.renew_at:
            self.renew_at = now + (self.terms.renew_ms if self.lease.is_valid(now) else self.terms.again_ms)
            self._question(now, True)
        self._own_answers(now)

    # -- the leader
    def _put(self, now: float, number: int) -> None:
        if self.raft.role is Role.LEADER:
            self.raft.ask(now, self.raft.name, number)
            self._own_answers(now)
        elif self.raft.leader:
            self.outbox.append((self.raft.leader, ReadIndex(number)))

    def _offer(self, now: float, number: int) -> None:
        proposal = self.proposals[number]
        proposal.again_at = now + self.terms.again_ms
        if proposal.index and proposal.term == self.raft.term:
            return  # it stands in the log of the one that leads now
        proposal.index, proposal.term = 0, self.raft.term
        if self.raft.role is Role.LEADER:
            try:
                proposal.index = self.raft.propose(now, proposal.data)
            except Busy:
                pass
        elif self.raft.leader:
            self.outbox.append((self.raft.leader, Propose(number, proposal.data)))

    def handle_message(self, now: float, sender: str, body: Asked) -> None:
        match body:
            case ReadIndex():
                try:
                    self.raft.ask(now, sender, body.number)
                except NotLeading:
                    pass  # it asks again, whoever leads then
            case Propose():
                try:
                    index = self.raft.propose(now, body.data)
                except (NotLeading, Busy):
                    index = 0
                self.outbox.append((sender, ProposeResponse(body.number, index)))
            case ReadIndexResponse():
                self._answered(body.number, body.index)
            case ProposeResponse():
                proposal = self.proposals.get(body.number)
                if proposal is not None:
                    proposal.index = body.index
        self._own_answers(now)

    def _own_answers(self, now: float) -> None:
        """What has become certain at this leader."""
        for who, number, index in self.raft.take_certain():
            if who == self.raft.name:
                self._answered(number, index)
            else:
                self.outbox.append((who, ReadIndexResponse(number, index)))

    def _answered(self, number: int, index: int | None) -> None:
        question = self.questions.pop(number, None)
        if question is None:
            return
        if index is not None:
            self.raft.sure(question.asked_at, index)
            self.lease.granted(question.asked_at, index, self.applied_index)
        if not question.renews:
            self.read_results.append((number, index))

    def collect_reads(self, now: float) -> None:
        """After messages for the core: what has become certain by them."""
        self._own_answers(now)

    def mark_applied(self, index: int) -> None:
        """All up to an index is in force here."""
        self.applied_index = index
        self.lease.applied(index)
