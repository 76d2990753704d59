"""An instance's use of the replicated log: confirmed reads, proposals, and the lease on the rules. No I/O.

The lease lets an instance act on the rules that it has applied. It ends at a time on the instance's own
clock, counted from when the instance *sent* its ReadIndex request, and begins once everything up to the
confirmed index is applied. A change committed after the request can therefore be unknown here for no longer
than the lease lasts. No other instance's clock enters into it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final, TypeAlias

from notchflow.cluster.agreement.leader import NotLeader, ProposalRejected
from notchflow.cluster.agreement.raft import Raft
from notchflow.cluster.agreement.replica import Role
from notchflow.cluster.agreement.wire import Propose, ProposeResponse, ReadIndex, ReadIndexResponse

MAX_REQUEST_ID: Final = (1 << 62) - 1
SessionMessage: TypeAlias = ReadIndex | ReadIndexResponse | Propose | ProposeResponse


@dataclass(frozen=True, slots=True)
class SessionSettings:
    """Timing of reads, proposals and leases. Milliseconds. All instances must use the same values."""

    lease_ms: float = 4_000.0
    renew_ms: float = 1_000.0  # between renewals of a valid lease; without one, `retry_ms` apart
    retry_ms: float = 250.0  # an unanswered request is sent again
    read_timeout_ms: float = 1_500.0
    clock_drift: float = 1 / 200  # largest difference in rate between two clocks
    delivery_ms: float = 250.0  # from the check of the lease until a request that it allowed reaches a node

    @property
    def divergence_bound_ms(self) -> float:
        """The longest time for which two instances may act on rules that contradict each other."""
        return self.lease_ms * (1 + self.clock_drift) + self.delivery_ms


@dataclass(slots=True)
class ReadRequest:
    """A read that waits for its confirmed index."""

    requested_at: float
    retry_at: float
    renews_lease: bool


@dataclass(slots=True)
class Proposal:
    """A command that is proposed until it is known to have been applied or rejected."""

    data: bytes
    retry_at: float
    index: int = 0  # where the leader of `term` appended it
    term: int = 0


class Lease:
    """Permission to act on the rules that are applied here, until a time on this instance's clock."""

    def __init__(self, settings: SessionSettings) -> None:
        self.settings = settings
        self.expires_at = -math.inf
        self.pending: list[tuple[int, float]] = []  # index that must be applied first, and expiry

    def extend(self, requested_at: float, index: int, applied: int) -> None:
        """Extends the lease from a confirmed read, at once or when the index is applied."""
        expires_at = requested_at + self.settings.lease_ms
        if index <= applied:
            self.expires_at = max(self.expires_at, expires_at)
        else:
            self.pending.append((index, expires_at))

    def mark_applied(self, index: int) -> None:
        """Puts the pending extensions into effect for which everything up to `index` was needed."""
        for needed, expires_at in self.pending:
            if needed <= index:
                self.expires_at = max(self.expires_at, expires_at)
        self.pending = [item for item in self.pending if item[0] > index]

    def is_valid(self, now: float) -> bool:
        """Whether the instance may act on its rules at this time."""
        return now < self.expires_at


class Session:
    """The reads and proposals of one instance, sent to the leader until they are answered."""

    def __init__(self, raft: Raft, settings: SessionSettings, now: float) -> None:
        self.raft, self.settings = raft, settings
        self.lease = Lease(settings)
        self.last_request_id = raft.rng.getrandbits(61)
        self.pending_reads: dict[int, ReadRequest] = {}
        self.proposals: dict[int, Proposal] = {}
        self.renew_at = now
        self.applied_index = 0
        self.outbox: list[tuple[str, SessionMessage]] = []
        self.read_results: list[tuple[int, int | None]] = []  # request id, and index or None on timeout

    # -- requests
    def read_index(self, now: float) -> int:
        """Requests the commit index as of now. The result appears in `read_results` under the returned id."""
        return self._start_read(now, False)

    def _start_read(self, now: float, renews_lease: bool) -> int:
        self.last_request_id = self.last_request_id % MAX_REQUEST_ID + 1
        self.pending_reads[self.last_request_id] = ReadRequest(
            now, now + self.settings.retry_ms, renews_lease
        )
        self._send_read(now, self.last_request_id)
        return self.last_request_id

    def propose(self, now: float, data: bytes) -> int:
        """Proposes a command repeatedly until `finish_proposal`. It may be appended more than once, so
        applying it must be idempotent."""
        self.last_request_id = self.last_request_id % MAX_REQUEST_ID + 1
        self.proposals[self.last_request_id] = Proposal(data, now)
        self._send_proposal(now, self.last_request_id)
        return self.last_request_id

    def finish_proposal(self, request_id: int) -> None:
        """Stops proposing a command."""
        self.proposals.pop(request_id, None)

    # -- time
    @property
    def next_timer_at(self) -> float:
        """When `tick` is to be called next."""
        due_at = min(
            [
                self.renew_at,
                *(q.retry_at for q in self.pending_reads.values()),
                *(p.retry_at for p in self.proposals.values()),
            ]
        )
        return min(due_at, self.raft.next_timer_at)

    def tick(self, now: float) -> None:
        """Runs every timer that has expired: of Raft, of retries and timeouts, and of the lease's renewal."""
        self.raft.tick(now)
        for request_id, read in list(self.pending_reads.items()):
            if now - read.requested_at >= self.settings.read_timeout_ms:
                self._finish_read(request_id, None)
            elif now >= read.retry_at:
                read.retry_at = now + self.settings.retry_ms
                self._send_read(now, request_id)
        for request_id, proposal in list(self.proposals.items()):
            if now >= proposal.retry_at:
                self._send_proposal(now, request_id)
        if now >= self.renew_at:
            self.renew_at = now + (
                self.settings.renew_ms if self.lease.is_valid(now) else self.settings.retry_ms
            )
            self._start_read(now, True)
        self._deliver_confirmed_reads(now)

    # -- messages to and from the leader
    def _send_read(self, now: float, request_id: int) -> None:
        if self.raft.role is Role.LEADER:
            self.raft.read_index(now, self.raft.name, request_id)
            self._deliver_confirmed_reads(now)
        elif self.raft.leader:
            self.outbox.append((self.raft.leader, ReadIndex(request_id)))

    def _send_proposal(self, now: float, request_id: int) -> None:
        proposal = self.proposals[request_id]
        proposal.retry_at = now + self.settings.retry_ms
        if proposal.index and proposal.term == self.raft.term:
            return  # the current leader has it in its log
        proposal.index, proposal.term = 0, self.raft.term
        if self.raft.role is Role.LEADER:
            try:
                proposal.index = self.raft.propose(now, proposal.data)
            except ProposalRejected:
                pass
        elif self.raft.leader:
            self.outbox.append((self.raft.leader, Propose(request_id, proposal.data)))

    def handle_message(self, now: float, sender: str, body: SessionMessage) -> None:
        """Handles a request of another member, or the leader's answer to one of this instance."""
        match body:
            case ReadIndex():
                try:
                    self.raft.read_index(now, sender, body.request_id)
                except NotLeader:
                    pass  # the sender asks again, then the leader that it knows
            case Propose():
                try:
                    index = self.raft.propose(now, body.data)
                except (NotLeader, ProposalRejected):
                    index = 0
                self.outbox.append((sender, ProposeResponse(body.request_id, index)))
            case ReadIndexResponse():
                self._finish_read(body.request_id, body.index)
            case ProposeResponse():
                proposal = self.proposals.get(body.request_id)
                if proposal is not None:
                    proposal.index = body.index
        self._deliver_confirmed_reads(now)

    def _deliver_confirmed_reads(self, now: float) -> None:
        """As the leader, answers the reads that have been confirmed."""
        for requester, request_id, index in self.raft.take_confirmed_reads():
            if requester == self.raft.name:
                self._finish_read(request_id, index)
            else:
                self.outbox.append((requester, ReadIndexResponse(request_id, index)))

    def _finish_read(self, request_id: int, index: int | None) -> None:
        read = self.pending_reads.pop(request_id, None)
        if read is None:
            return
        if index is not None:
            self.raft.read_confirmed(read.requested_at, index)
            self.lease.extend(read.requested_at, index, self.applied_index)
        if not read.renews_lease:
            self.read_results.append((request_id, index))

    def collect_reads(self, now: float) -> None:
        """Answers reads that messages or storage acknowledgements to `raft` have confirmed."""
        self._deliver_confirmed_reads(now)

    def mark_applied(self, index: int) -> None:
        """Notes that everything up to an index is applied here."""
        self.applied_index = index
        self.lease.mark_applied(index)
