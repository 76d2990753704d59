"""The request dispatcher: reports events to the policy and carries out the actions that it returns.

It guarantees that each request gets exactly one final answer, and enforces deadlines whatever the policy
does.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Sequence

from notchflow.interface import (
    Action,
    BodyArrived,
    BodyDiscarded,
    Cancel,
    ClientGone,
    Event,
    Fail,
    Outcome,
    Probe,
    Probed,
    Refuse,
    Request,
    Send,
    SetTimer,
    Settings,
    Status,
    StreamStarted,
    Timer,
    Watch,
)
from notchflow.net.attempt import Attempt, load_report
from notchflow.net.clock import Clock
from notchflow.net.config import Config
from notchflow.net.descriptors import DescriptorBudget
from notchflow.net.discovery import Discovery
from notchflow.net.exchange import CLIENT_CLOSED, ActiveRequest, ClientRequest, UpstreamResponse
from notchflow.net.frontend import Frontend
from notchflow.net.request_ids import IdClaim, RequestIds
from notchflow.net.stalls import StallDetector
from notchflow.operations.metrics import ProxyMetrics
from notchflow.policy.balancer import Balancer

log = logging.getLogger(__name__)

OK, MOOT = Status.OK, Status.MOOT  # looked up for every request


class Dispatcher(DescriptorBudget):
    """The active requests of one proxy with their attempts."""

    discovery: Discovery
    frontend: Frontend
    settings: Settings
    classes: dict[str, float]  # deadline of each class, milliseconds
    effect_classes: frozenset[str]  # those that must not simply run twice
    longest_deadline_ms: float
    max_attempts: int
    buffer_limit: float
    total_buffer_limit: float
    max_read_bytes: int

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, clock: Clock | None = None) -> None:
        super().__init__(loop, clock or Clock(loop))
        self.config = config
        self.balancer = Balancer(config.settings, config.seed, self.clock.now())
        self.active_requests: dict[int, ActiveRequest] = {}
        self.last_request_id = 0
        self.event_queue: deque[Event] = deque()
        self.dispatching = False
        self.now = 0.0  # time of the last policy call: attempts that it decided on begin then
        self.stalls = StallDetector(self.clock.now())
        self.buffered_bytes = 0
        self.answer_deadline = float("inf")  # set at shutdown: caps the deadline of every request
        self.metrics = ProxyMetrics()
        self.request_ids = RequestIds()

    def count_unsolicited_response(self) -> None:
        """Counts a response that a node has sent on an idle connection."""
        self.metrics.unsolicited_responses += 1

    # -- policy
    def dispatch(self, event: Event) -> None:
        """Passes an event to the policy and executes its actions. Events caused meanwhile are queued and
        handled in order."""
        if self.dispatching:
            self.event_queue.append(event)
            return
        self.dispatching = True
        while True:
            try:
                self.now = now = self.clock.now()
                for action in self.balancer.handle(now, event):
                    if isinstance(action, Send):
                        self._send(action)
                    else:
                        self._execute(action)
            except Exception:  # at most this request fails, never the process
                log.exception("policy failed on %s", type(event).__name__)
                self._recover(event)
            if not self.event_queue:
                break
            event = self.event_queue.popleft()
        self.dispatching = False

    def _recover(self, event: Event) -> None:
        number = getattr(event, "id", None)
        active = self.active_requests.get(number) if number is not None else None
        if active is not None and not active.done:
            self._fail_request(active)
            if not isinstance(event, ClientGone):
                self.event_queue.append(ClientGone(active.id))

    def _execute(self, action: Action) -> None:
        match action:
            case Refuse(number, wait):
                active = self.active_requests.get(number)
                if active is not None and not active.done:
                    self._finish_request(active)
                    active.client_request.client.refuse(active.client_request, wait)
            case Fail(number):
                active = self.active_requests.get(number)
                if active is not None:
                    self._fail_request(active)
            case Cancel(number, attempt):
                active = self.active_requests.get(number)
                target = active.outstanding_attempts.get(attempt) if active is not None else None
                if target is not None and self.settings.limits.cancel and not target.streaming:
                    target.abandon(Status.CANCELLED)
            case SetTimer(at, token):
                self.call_at(at, self._on_timer, token)
            case Watch(on):
                self.discovery.watch(on)
            case Probe(node):
                self.event_queue.append(Probed(node, Status.MOOT))

    def _on_timer(self, token: str) -> None:
        self.dispatch(Timer(token))

    def _send(self, action: Send) -> None:
        number, node, timeout, complete_before, others_complete_before = action
        active = self.active_requests.get(number)
        if active is None:
            log.error("policy sent an attempt for a request that is already finished")
            return
        attempt_number, active.attempt_count = active.attempt_count, active.attempt_count + 1
        pool, now = self.pools.get(node), self.now
        if (
            pool is None
            or active.done
            or active.streaming_attempt is not None
            or now >= active.deadline
            or attempt_number >= self.max_attempts
            or active.client_request.body_start_dropped
            or (active.outstanding_attempts and not self.settings.limits.second_copies)
        ):
            self.event_queue.append(Outcome(number, attempt_number, node, Status.MOOT, closed=active.done))
            return
        expires_at = active.deadline if timeout is None else min(active.deadline, now + timeout)
        attempt = Attempt(self, active, attempt_number, node, pool, now, expires_at)
        if others_complete_before < math.inf:
            for other in active.outstanding_attempts.values():
                other.must_be_complete_before(others_complete_before)
        if complete_before < math.inf:
            attempt.must_be_complete_before(complete_before)
        active.outstanding_attempts[attempt_number] = attempt
        if expires_at < active.deadline:
            attempt.timeout_timer = self.call_at(expires_at, self._on_attempt_timeout, attempt)
        if attempt_number or active.client_request.earliest_arrival_at != self.clock.loop_time():
            self.call_after_poll(self.start_attempt, attempt)
        else:
            pool.send(attempt, now)

    def start_attempt(self, attempt: Attempt) -> None:
        """Starts a deferred attempt, if it may still start."""
        if attempt.ended:
            return
        attempt.begun_at = now = self.clock.now()
        if attempt.may_start(now):
            attempt.pool.send(attempt, now)
        else:
            attempt.not_sent()

    def _on_attempt_timeout(self, attempt: Attempt) -> None:
        if not attempt.ended and not attempt.streaming:
            attempt.abandon(Status.TIMEOUT)

    # -- request life cycle
    def claim_id(self, request: ClientRequest, cls: str) -> bool:
        """Claims the id that a client gave its request; false if it must not be passed on once more: a
        request with this id is open, or may have run and must not run again."""
        request_id = request.headers[b"x-call-id"]
        is_repeatable = cls not in self.effect_classes
        request.id_claim = self.request_ids.claim(self.clock.now(), request_id, is_repeatable)
        if request.id_claim is None:
            return False
        if not is_repeatable:
            self.id_claimed(request.id_claim)
        return True

    def id_claimed(self, claim: IdClaim) -> None:
        """The request with this id begins, and must not begin in another process of this proxy."""

    def id_unused(self, claim: IdClaim) -> None:
        """The request with this id has ended and has not run: it may begin elsewhere."""

    def start_request(
        self,
        request: ClientRequest,
        cls: str,
        budget_ms: float | None,
        key: str | None = None,
        tenant: str | None = None,
        hint_ms: float | None = None,
        size: float | None = None,
        retry: bool = False,
        write: bool = False,
        earlier: float | None = None,
    ) -> None:
        """Accepts a request, which from here on gets exactly one final answer. `earlier`: milliseconds since
        a request with the same effect may first have run."""
        if budget_ms is None:
            budget_ms = self.classes.get(cls, self.longest_deadline_ms)
        self.last_request_id = number = self.last_request_id + 1
        arriving = request.streams_body and not request.body_complete
        deadline = request.arrived_at + budget_ms
        if deadline > self.answer_deadline:
            deadline = self.answer_deadline
        request.class_counts = self.metrics.begin_request(cls)
        request.active = active = ActiveRequest(number, request, deadline)
        if deadline <= self.clock.now():
            active.last_status = Status.TIMEOUT
            self._fail_request(active)
            return
        if request.client.has_left(self.clock.now()):
            self._end_departed(active)
            return
        if arriving:
            active.budget_ms = budget_ms
        self.active_requests[number] = active
        active.deadline_timer = self.call_at(deadline, self._on_deadline, number)
        self.dispatch(
            Request(
                number,
                cls,
                deadline,
                key,
                tenant,
                hint_ms,
                size,
                retry,
                write,
                arriving,
                None if earlier is None else self.clock.now() - earlier,
            )
        )

    def set_deadline(self, active: ActiveRequest, deadline: float) -> None:
        """Changes the time by which a request is answered at the latest."""
        active.deadline = deadline
        if active.deadline_timer is not None:
            self.timers.cancel(active.deadline_timer)
        active.deadline_timer = self.call_at(deadline, self._on_deadline, active.id)

    # -- streamed request bodies
    def body_received(self, active: ActiveRequest, pieces: Sequence[bytes]) -> None:
        """Forwards pieces of a streamed body to the outstanding attempts."""
        for attempt in list(active.outstanding_attempts.values()):
            attempt.send_body(pieces)

    def hold_body(self, active: ActiveRequest, since: float) -> None:
        """A body is not read further, as its node is slow or memory is short, although its client may have
        sent all of it: the client's budget runs since then."""
        if active.done or active.held_since is not None:
            return
        active.held_since, active.transfer_deadline = since, active.deadline
        self.set_deadline(active, min(active.deadline, since + active.budget_ms))

    def release_body(self, active: ActiveRequest) -> None:
        """A body is read again: until it is complete the client's budget does not run."""
        if active.done or active.held_since is None:
            return
        active.budget_ms = max(active.budget_ms - (self.clock.now() - active.held_since), 0.0)
        active.held_since = None
        self.set_deadline(active, min(active.transfer_deadline, self.answer_deadline))

    def finish_body(self, active: ActiveRequest) -> None:
        """The body is complete: the client's budget runs from now on."""
        if active.done:
            return
        self.set_deadline(active, min(self.clock.now() + active.budget_ms, self.answer_deadline))
        for attempt in list(active.outstanding_attempts.values()):
            attempt.end_body()
        self.dispatch(BodyArrived(active.id, active.deadline))

    def try_discard_body(self, active: ActiveRequest) -> bool:
        """Whether the buffered start of the body may be discarded, as exactly one node is receiving it and
        has taken all of it. If so, notifies the policy, as no retry is possible from then on."""
        if active.done or len(active.outstanding_attempts) != 1:
            return False
        (attempt,) = active.outstanding_attempts.values()
        if attempt.connection is None or attempt.connection.has_unwritten_output():
            return False
        self.dispatch(BodyDiscarded(active.id))
        return True

    def body_stalled(self, active: ActiveRequest) -> None:
        """The node stopped reading the body. Without its last byte the request cannot have run."""
        self._abandon_attempts(active)

    def _abandon_attempts(self, active: ActiveRequest) -> None:
        for attempt in list(active.outstanding_attempts.values()):
            attempt.abandon(Status.CONNECT_FAILED)

    def _on_deadline(self, number: int) -> None:
        active = self.active_requests.get(number)
        if active is None or active.streaming_attempt is not None:
            return
        attempts = list(active.outstanding_attempts.values())
        if not active.done and any(attempt.begin_stream_early() for attempt in attempts):
            return
        for attempt in attempts:
            attempt.abandon(Status.TIMEOUT)
        if not active.done:  # the policy held the request past its deadline
            self._fail_request(active)
            self.dispatch(ClientGone(active.id))

    def _end_departed(self, active: ActiveRequest) -> None:
        """Ends a request whose client has disconnected, so that no attempt may start. A client that closed
        only its sending side still gets a 503, which says that nothing ran."""
        request = active.client_request
        request.finish(CLIENT_CLOSED)
        self.client_gone(active)
        if active.may_have_run:
            request.client.fail(request, 502)
        else:
            request.client.refuse(request, 0.0)

    def end_incomplete(self, active: ActiveRequest) -> None:
        """The client of a long body has closed its connection, or its side of it: ends the request unless a
        node has all of it already."""
        attempts = active.outstanding_attempts.values()
        if not (active.done or any(attempt.is_complete_at_node() for attempt in attempts)):
            self._end_departed(active)

    def client_gone(self, active: ActiveRequest) -> None:
        """The client has disconnected: ends its request and notifies the policy."""
        if active.done:
            return
        self._finish_request(active)
        if active.streaming_attempt is not None:
            active.streaming_attempt.abandon(Status.CANCELLED)
        if active.client_request.streams_body:
            # Also without `cancel`: a long body would be complete at its node, and run, long after its client
            # left. That it is not complete yet is not the node's fault.
            for attempt in list(active.outstanding_attempts.values()):
                if not attempt.is_complete_at_node():
                    attempt.abandon(Status.MOOT if attempt.is_writing() else Status.CANCELLED)
        self.dispatch(ClientGone(active.id))

    def stream_started(self, attempt: Attempt, response: UpstreamResponse) -> bool:
        """A long response begins; whether it is the one that the client gets."""
        active = attempt.request
        if active.done or active.streaming_attempt is not None:
            return False
        active.streaming_attempt = attempt
        active.client_request.client.begin_stream(active.client_request, response)
        self.dispatch(StreamStarted(active.id, attempt.number, attempt.node))
        return True

    def set_response_paused(self, active: ActiveRequest, paused: bool) -> None:
        """Pauses or resumes reading from the node, as the client reads a streamed response too slowly or has
        caught up."""
        connection = active.streaming_attempt.connection if active.streaming_attempt else None
        if connection is not None:
            if not paused:
                connection.last_read_at = self.clock.now()
            connection.set_paused(paused)

    def attempt_ended(self, attempt: Attempt, status: Status, response: UpstreamResponse | None) -> None:
        """Handles the end of an attempt. The first 200, or the end of a stream, is the final answer."""
        active = attempt.request
        active.outstanding_attempts.pop(attempt.number, None)
        if self.waiting_dials:  # it no longer needs a descriptor
            self.waiting_dials.pop(attempt, None)
        active.last_status = status
        if not (status.never_ran or attempt.is_unwritten):
            active.may_have_run = True
            if active.client_request.ticket is not None:
                active.client_request.may_have_run = True
        if (
            status is MOOT
            and not (active.done or active.outstanding_attempts)
            and active.client_request.client.has_left(self.clock.now())
        ):
            self._end_departed(active)
        if not active.done:
            request = active.client_request
            if attempt.streaming:
                active.set_done()
                request.client.end_stream(request, status is OK)
            elif response is not None and status is OK:
                active.set_done()
                request.client.serve(request, response)
        if active.streaming_attempt is attempt:
            active.streaming_attempt = None  # else a reference cycle is left to the garbage collector
        hit = load = None
        if response is not None:
            ended_at, hit = response.begun_at, response.headers.get(b"x-hit")
            if b"x-load-report" in response.headers:
                load = load_report(response, self.config.report_fields)
        else:
            ended_at = self.clock.loop_time()
        attempt.cancel_timers()
        if active.done and not active.outstanding_attempts:
            self._remove_request(active)
        latency_ms = ended_at - attempt.begun_at
        self.dispatch(
            Outcome(
                active.id,
                attempt.number,
                attempt.node,
                status,
                latency_ms if latency_ms > 0.0 else 0.0,
                active.done,
                None if hit is None else hit == b"hit",
                load,
            )
        )

    def _fail_request(self, active: ActiveRequest) -> None:
        if not active.done:
            self._finish_request(active)
            timed_out = active.last_status is Status.TIMEOUT or self.clock.now() >= active.deadline
            active.client_request.client.fail(active.client_request, 504 if timed_out else 502)

    def _finish_request(self, active: ActiveRequest) -> None:
        active.set_done()
        if not active.outstanding_attempts:
            self._remove_request(active)

    def _remove_request(self, active: ActiveRequest) -> None:
        """Drops a request that is answered and has no outstanding attempt, with its deadline timer."""
        self.active_requests.pop(active.id, None)
        if active.deadline_timer is not None:
            self.timers.cancel(active.deadline_timer)
        claim, active.id_claim = active.id_claim, None
        if claim is not None:
            self.request_ids.release(self.clock.now(), claim, active.may_have_run)
            if not (claim.is_repeatable or active.may_have_run):
                self.id_unused(claim)
