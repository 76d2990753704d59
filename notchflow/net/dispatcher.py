"""Requests in hand: the module hears what happens to them, and what it decides is carried out.

Here a request gets its one final answer, and deadlines are kept whatever the module does.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

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
from notchflow.net.discovery import Discovery
from notchflow.net.exchange import CLIENT_CLOSED, ActiveRequest, ClientRequest, UpstreamResponse
from notchflow.net.frontend import Frontend
from notchflow.net.pool import Pool
from notchflow.net.stalls import StallDetector
from notchflow.net.timers import TimerId, TimerWheel
from notchflow.operations.metrics import ProxyMetrics
from notchflow.policy.balancer import Balancer

log = logging.getLogger(__name__)

OK, MOOT = Status.OK, Status.MOOT  # looked up for every request
LATE_MS = 2.0
DESCRIPTOR_WAIT_MS = 100.0


class Dispatcher:
    """What one proxy has in hand: requests and their attempts, timers, descriptors."""

    discovery: Discovery
    frontend: Frontend
    frontends: list[Frontend]
    settings: Settings
    classes: dict[str, float]  # their deadlines
    longest_deadline_ms: float
    max_attempts: int
    descriptor_limit: int
    total_descriptor_limit: int
    buffer_limit: float
    total_buffer_limit: float

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, clock: Clock | None = None) -> None:
        self.config, self.loop = config, loop
        self.clock = clock or Clock(loop)
        self.balancer = Balancer(config.settings, config.seed, self.clock.now())
        self.active_requests: dict[int, ActiveRequest] = {}
        self.numbers = 0
        self.pools: dict[int, Pool] = {}
        self.inbox: deque[Event] = deque()
        self.telling = False
        self.now = 0.0  # when the module was last asked: what it decided begins then
        self.timers = TimerWheel()
        self.stalls = StallDetector(self.clock.now())
        self.armed: asyncio.TimerHandle | None = None
        self.armed_for = float("inf")
        self.descriptors_used = 0
        self.starved: dict[Attempt, None] = {}  # dials that wait for a descriptor, in order
        self.buffered_bytes = 0
        self.answer_deadline = float("inf")  # no request is held longer than this, once the process is to end
        self.metrics = ProxyMetrics()

    # -- time
    def call_at(self, due: float, call: Callable[..., None], argument: Any = None) -> TimerId:
        """Calls back at a time, never before, unless `timers.cancel` is given the handle."""
        handle = self.timers.set(due, call, argument)
        if due < self.armed_for:
            self._arm(due)
        return handle

    def call_soon(self, call: Callable[..., None], argument: Any) -> None:
        """Calls back in the loop's next turn."""
        self.loop.call_soon(call, argument)

    def once_read(self, call: Callable[..., None], argument: Any) -> None:
        """Calls back once the loop has polled again: what lay unread beside the event in hand was read."""
        self.loop.call_soon(self.loop.call_soon, call, argument)

    def _arm(self, due: float) -> None:
        if self.armed is not None:
            self.armed.cancel()
        self.armed_for = due
        self.armed = self.loop.call_later(max(due - self.clock.now(), 0.0) / 1e3, self._run_timers, due)

    def _run_timers(self, due: float, again: bool = False) -> None:
        now = self.clock.now()
        if not again and now > due + LATE_MS:
            # The loop was busy: answers may be waiting in the kernel, and nodes must not be blamed for that.
            self.armed = self.loop.call_later(0.001, self._run_timers, due, True)
            return
        for call, argument in self.timers.due(now):
            try:
                call(argument)
            except Exception:
                log.exception("a timer failed")
        self.armed, self.armed_for = None, float("inf")
        following = self.timers.next_due()
        if following < self.armed_for:
            self._arm(following)

    # -- budgets
    def acquire_descriptor(self) -> bool:
        """Takes a descriptor for a dial, if there is one or an idle connection to a node can give its own."""
        if self.descriptors_used >= self.descriptor_limit and not self.close_idle_connection():
            return False
        self.descriptors_used += 1
        return True

    def release_descriptor(self) -> None:
        """A descriptor has been given back: dials that wait come before new clients."""
        self.descriptors_used -= 1
        if self.starved:
            self.call_soon(self._resume_dials, None)
        for frontend in self.frontends:
            frontend.resume_accepting()

    def close_idle_connection(self) -> bool:
        """Closes the connection to a node that has been idle for longest, if there is one."""
        idle = [p for p in self.pools.values() if p.idle]
        if not idle:
            return False
        pool = min(idle, key=lambda p: p.idle[0].idle_since)
        pool.idle.pop(0).close()
        return True

    def await_descriptor(self, attempt: Attempt) -> None:
        """A dial waits for the next descriptor: to close a client's connection might lose its request."""
        self.starved[attempt] = None
        self.call_at(self.clock.now() + DESCRIPTOR_WAIT_MS, self._still_starved, attempt)

    def _still_starved(self, attempt: Attempt) -> None:
        """None has come free for a while: an idle client gives way, or the attempt is over."""
        if attempt not in self.starved:
            return
        if any(frontend.close_idle() for frontend in self.frontends):
            self.await_descriptor(attempt)
            return
        del self.starved[attempt]
        attempt.unsent()

    def _resume_dials(self, _: object) -> None:
        while self.starved and self.descriptors_used < self.descriptor_limit:
            attempt = next(iter(self.starved))
            del self.starved[attempt]
            self._begin(attempt)

    def has_waiting_dials(self) -> bool:
        """Whether dials wait for descriptors."""
        return bool(self.starved)

    # -- the module
    def dispatch(self, event: Event) -> None:
        """Hands the module an event and carries out its answer; what follows from that comes after it."""
        if self.telling:
            self.inbox.append(event)
            return
        self.telling = True
        while True:
            try:
                self.now = now = self.clock.now()
                for action in self.balancer.handle(now, event):
                    if isinstance(action, Send):
                        self._send(action)
                    else:
                        self._perform(action)
            except Exception:  # costs this one request at most, never the process
                log.exception("the module failed on %s", type(event).__name__)
                self._give_up(event)
            if not self.inbox:
                break
            event = self.inbox.popleft()
        self.telling = False

    def _give_up(self, event: Event) -> None:
        number = getattr(event, "id", None)
        item = self.active_requests.get(number) if number is not None else None
        if item is not None and not item.done:
            self._fail(item)
            if not isinstance(event, ClientGone):
                self.inbox.append(ClientGone(item.id))

    def _perform(self, action: Action) -> None:
        match action:
            case Refuse(number, wait):
                item = self.active_requests.get(number)
                if item is not None and not item.done:
                    self._end(item)
                    item.client_request.client.refuse(item.client_request, wait)
            case Fail(number):
                item = self.active_requests.get(number)
                if item is not None:
                    self._fail(item)
            case Cancel(number, attempt):
                item = self.active_requests.get(number)
                out = item.outstanding_attempts.get(attempt) if item is not None else None
                if out is not None and self.settings.limits.cancel and not out.started:
                    out.abandon(Status.CANCELLED)
            case SetTimer(at, token):
                self.call_at(at, self._timer, token)
            case Watch(on):
                self.discovery.watch(on)
            case Probe(node):
                self.inbox.append(Probed(node, Status.MOOT))

    def _timer(self, token: str) -> None:
        self.dispatch(Timer(token))

    def _send(self, action: Send) -> None:
        number, node, timeout, before = action
        item = self.active_requests.get(number)
        if item is None:
            log.error("the module sent a request that is over")
            return
        attempt_number, item.attempts = item.attempts, item.attempts + 1
        pool, now = self.pools.get(node), self.now
        if (
            pool is None
            or item.done
            or item.streaming_attempt is not None
            or now >= item.deadline
            or attempt_number >= self.max_attempts
            or item.client_request.body_start_dropped
            or (item.outstanding_attempts and not self.settings.limits.second_copies)
        ):
            self.inbox.append(Outcome(number, attempt_number, node, Status.MOOT, closed=item.done))
            return
        expires = item.deadline if timeout is None else min(item.deadline, now + timeout)
        attempt = Attempt(self, item, attempt_number, node, pool, now, expires, before)
        item.outstanding_attempts[attempt_number] = attempt
        if expires < item.deadline:
            attempt.timer = self.call_at(expires, self._expire, attempt)
        if attempt_number or item.client_request.earliest_arrival_at != self.clock.loop_time():
            self.once_read(self._begin, attempt)
        else:
            pool.send(attempt, now)

    def _begin(self, attempt: Attempt) -> None:
        """Begins an attempt whose request was not read just now, if it may still begin."""
        if attempt.over:
            return
        attempt.begun_at = now = self.clock.now()
        if attempt.wanted(now):
            attempt.pool.send(attempt, now)
        else:
            attempt.unsent()

    def _expire(self, attempt: Attempt) -> None:
        if not attempt.over and not attempt.started:
            attempt.abandon(Status.TIMEOUT)

    # -- the life of a request
    def start_request(
        self,
        call: ClientRequest,
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
        """Takes a request in hand: from here on it is owed its one final answer. `earlier`: so many
        milliseconds ago a request with the same effect may first have run."""
        if budget_ms is None:
            budget_ms = self.classes.get(cls, self.longest_deadline_ms)
        self.numbers = number = self.numbers + 1
        arriving = call.streams_body and not call.body_complete
        deadline = call.arrived_at + budget_ms
        if deadline > self.answer_deadline:
            deadline = self.answer_deadline
        call.class_counts = self.metrics.begin_request(cls)
        call.active = item = ActiveRequest(number, call, deadline)
        if deadline <= self.clock.now():
            item.last = Status.TIMEOUT
            self._fail(item)
            return
        if call.client.has_left(self.clock.now()):
            self._depart(item)
            return
        if arriving:
            item.budget_ms = budget_ms
        self.active_requests[number] = item
        item.timer = self.call_at(deadline, self._deadline, number)
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

    # -- bodies that flow
    def body_received(self, item: ActiveRequest, pieces: Sequence[bytes]) -> None:
        """Pieces of a long body, for the attempts that are under way."""
        for attempt in list(item.outstanding_attempts.values()):
            attempt.more(pieces)

    def finish_body(self, item: ActiveRequest) -> None:
        """All of it has come: the client's time counts from now on."""
        if item.done:
            return
        item.deadline = min(self.clock.now() + item.budget_ms, self.answer_deadline)
        if item.timer is not None:
            self.timers.cancel(item.timer)
        item.timer = self.call_at(item.deadline, self._deadline, item.id)
        for attempt in list(item.outstanding_attempts.values()):
            attempt.body_ended()
        self.dispatch(BodyArrived(item.id, item.deadline))

    def try_discard_body(self, item: ActiveRequest) -> bool:
        """Whether the start of the body need not be held any more, as a box is getting it."""
        if (
            item.done
            or len(item.outstanding_attempts) != 1
            or any(a.connection is None for a in item.outstanding_attempts.values())
        ):
            return False
        self.dispatch(BodyDiscarded(item.id))
        return True

    def body_stalled(self, item: ActiveRequest) -> None:
        """A box does not take the body any more: without its last byte it cannot have run."""
        self._abandon_attempts(item)

    def _abandon_attempts(self, item: ActiveRequest) -> None:
        for attempt in list(item.outstanding_attempts.values()):
            attempt.abandon(Status.CONNECT_FAILED)

    def _deadline(self, number: int) -> None:
        item = self.active_requests.get(number)
        if item is None or item.streaming_attempt is not None:
            return
        for attempt in list(item.outstanding_attempts.values()):
            attempt.abandon(Status.TIMEOUT)
        if not item.done:  # the module held it too long
            self._fail(item)
            self.dispatch(ClientGone(item.id))

    def _depart(self, item: ActiveRequest) -> None:
        """Ends a request for which nothing may begin, as its client has gone. A client that has only closed
        its sending side is still told, by 503, that nothing ran."""
        call = item.client_request
        call.finish(CLIENT_CLOSED)
        self.client_gone(item)
        if item.may_have_run:
            call.client.fail(call, 502)
        else:
            call.client.refuse(call, 0.0)

    def client_gone(self, item: ActiveRequest) -> None:
        """The client has left: nothing is owed to it any more, and the module hears of it."""
        if item.done:
            return
        self._end(item)
        if item.streaming_attempt is not None:
            item.streaming_attempt.abandon(Status.CANCELLED)
        if (
            item.client_request.streams_body and not item.client_request.body_complete
        ):  # whatever may be cancelled: the rest never comes
            self._abandon_attempts(item)
        self.dispatch(ClientGone(item.id))

    def stream_started(self, attempt: Attempt, answer: UpstreamResponse) -> bool:
        """A long answer begins; whether it is this one that the client gets."""
        item = attempt.open
        if item.done or item.streaming_attempt is not None:
            return False
        item.streaming_attempt = attempt
        item.client_request.client.begin_stream(item.client_request, answer)
        self.dispatch(StreamStarted(item.id, attempt.number, attempt.node))
        return True

    def set_response_paused(self, item: ActiveRequest, paused: bool) -> None:
        """A client reads a long answer too slowly, or has caught up: its node waits or goes on."""
        connection = item.streaming_attempt.connection if item.streaming_attempt else None
        if connection is not None:
            if not paused:
                connection.last_read_at = self.clock.now()
            connection.hold(paused)

    def outcome(self, attempt: Attempt, status: Status, answer: UpstreamResponse | None) -> None:
        """An attempt has ended. The first 200 and the end of a stream are the request's final answer."""
        item = attempt.open
        item.outstanding_attempts.pop(attempt.number, None)
        if self.starved:  # it wants no descriptor any more
            self.starved.pop(attempt, None)
        item.last = status
        if not status.never_ran:
            item.may_have_run = True
            if item.client_request.ticket is not None:
                item.client_request.ran = True
        if (
            status is MOOT
            and not (item.done or item.outstanding_attempts)
            and item.client_request.client.has_left(self.clock.now())
        ):
            self._depart(item)
        if not item.done:
            call = item.client_request
            if attempt.started:
                item.done = True
                call.client.end_stream(call, status is OK)
            elif answer is not None and status is OK:
                item.done = True
                call.client.serve(call, answer)
        if item.streaming_attempt is attempt:
            item.streaming_attempt = None  # else the two would keep one another until the collector comes
        hit = load = None
        if answer is not None:
            ended, hit = answer.begun_at, answer.headers.get(b"x-hit")
            if b"x-load-report" in answer.headers:
                load = load_report(answer, self.config.report_fields)
        else:
            ended = self.clock.loop_time()
        if attempt.timer is not None:
            self.timers.cancel(attempt.timer)
        if item.done and not item.outstanding_attempts:
            self._forget(item)
        took = ended - attempt.begun_at
        self.dispatch(
            Outcome(
                item.id,
                attempt.number,
                attempt.node,
                status,
                took if took > 0.0 else 0.0,
                item.done,
                None if hit is None else hit == b"hit",
                load,
            )
        )

    def _fail(self, item: ActiveRequest) -> None:
        if not item.done:
            self._end(item)
            late = item.last is Status.TIMEOUT or self.clock.now() >= item.deadline
            item.client_request.client.fail(item.client_request, 504 if late else 502)

    def _end(self, item: ActiveRequest) -> None:
        item.done = True
        if not item.outstanding_attempts:
            self._forget(item)

    def _forget(self, item: ActiveRequest) -> None:
        """Nothing is owed and nothing is out: its deadline matters no more."""
        self.active_requests.pop(item.id, None)
        if item.timer is not None:
            self.timers.cancel(item.timer)
