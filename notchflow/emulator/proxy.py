"""A simulated proxy: performs a decider's actions, keeps deadlines and connections, and checks the rules."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from notchflow.emulator.cache_node import CacheNode, Job, NodeStatus
from notchflow.emulator.deciders import Decider
from notchflow.emulator.engine import Simulator
from notchflow.emulator.ledger import Ledger
from notchflow.emulator.spec import CLASSES, Day
from notchflow.interface import (
    Action,
    Cancel,
    ClientGone,
    Effect,
    Event,
    Fail,
    Membership,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Send,
    SetTimer,
    State,
    Status,
    Timer,
)

AnswerCallback = Callable[[Status, float], None]  # final status, Retry-After in milliseconds


class NodeDirectory(Protocol):
    """Looks up nodes and their network distance."""

    boxes: dict[int, CacheNode]

    def distance(self, zone: str, node: CacheNode) -> float:
        """One-way network delay between a zone and a node, milliseconds."""
        ...


class Attempt:
    """One attempt of a request at a node."""

    __slots__ = ("number", "node", "job", "sent_at", "ended", "new_connection")

    def __init__(self, number: int, node: CacheNode, sent_at: float) -> None:
        self.number, self.node, self.sent_at = number, node, sent_at
        self.job: Job | None = None
        self.ended = False
        self.new_connection = False


class ActiveRequest:
    """A request that is in progress at a proxy."""

    __slots__ = ("request", "cls", "on_answer", "in_flight", "attempts", "finished", "may_have_run")

    def __init__(self, request: Request, cls: RequestClass, on_answer: AnswerCallback) -> None:
        self.request, self.cls, self.on_answer = request, cls, on_answer
        self.in_flight: dict[int, Attempt] = {}
        self.attempts = 0
        self.finished = False
        self.may_have_run = False


class Proxy:
    """One simulated proxy. Violations of the rules are reported to the ledger."""

    def __init__(
        self,
        name: str,
        zone: str,
        day: Day,
        simulator: Simulator,
        directory: NodeDirectory,
        ledger: Ledger,
        decider: Decider,
    ) -> None:
        self.name, self.zone, self.day = name, zone, day
        self.simulator, self.directory, self.ledger, self.decider = simulator, directory, ledger, decider
        self.active: dict[int, ActiveRequest] = {}
        self.idle_connections: dict[int, list[float]] = {}  # by node: since when each connection is idle
        self.drained_at: dict[int, float] = {}  # when this proxy learned that a node drains or is gone
        self.last_request_id = 0
        self.dead = False
        self.inbox: list[Event] = []
        self.dispatching = False

    # -- inputs
    def learn(self, event: Membership) -> None:
        """Handles a list or a change from discovery."""
        if self.dead:
            return
        for member in event.members:
            if member.state is State.READY:
                self.drained_at.pop(member.node, None)
            else:
                self.drained_at.setdefault(member.node, self.simulator.now)
                self._close_idle(member.node)
        self.dispatch(event)

    def submit(self, cls: str, key: str, write: bool, retry: bool, on_answer: AnswerCallback) -> None:
        """Accepts a client's request. A dead proxy resets it."""
        if self.dead:
            on_answer(Status.RESET, 0.0)
            return
        self.last_request_id += 1
        now, request_class = self.simulator.now, CLASSES[cls]
        request = Request(
            self.last_request_id, cls, now + request_class.deadline_ms, key=key, retry=retry, write=write
        )
        self.active[request.id] = ActiveRequest(request, request_class, on_answer)
        self.simulator.at(request.deadline, self._deadline_passed, request.id)
        self.dispatch(request)

    def kill(self) -> None:
        """Kills the process: all connections break."""
        self.dead = True
        for active in self.active.values():
            if not active.finished:
                active.finished = True
                active.on_answer(Status.RESET, 0.0)
            for attempt in active.in_flight.values():
                self._abandon(attempt)
        self.active.clear()
        for node_id in list(self.idle_connections):
            self._close_idle(node_id)

    def _report(self, rule: str, what: str) -> None:
        self.ledger.report(self.simulator.now, rule, f"{self.name} {what}")

    # -- the decider
    def dispatch(self, event: Event) -> None:
        """Passes an event to the decider and performs the actions; events raised meanwhile are queued."""
        self.inbox.append(event)
        if self.dispatching or self.dead:
            return
        self.dispatching = True
        while self.inbox and not self.dead:
            now = self.simulator.now
            for action in self.decider.handle(now, self.inbox.pop(0)):
                self._perform(action)
        self.dispatching = False

    def _perform(self, action: Action) -> None:
        match action:
            case Send(number, node_id, timeout):
                self._send(number, node_id, timeout)
            case Refuse(number, retry_after):
                active = self.active.get(number)
                if active is not None and not active.finished:
                    if active.cls.effect is Effect.UNSAFE and (active.may_have_run or active.in_flight):
                        self._report("effects", "refuses a request that may have run")
                    self._finish(active, Status.FULL, retry_after)
            case Fail(number):
                active = self.active.get(number)
                if active is not None and not active.finished:
                    self._finish(active, Status.ERROR, 0.0)
            case Cancel(number, attempt):
                active = self.active.get(number)
                out = active.in_flight.get(attempt) if active is not None else None
                if active is not None and out is not None:
                    self._abandon(out)
                    self._outcome(active, out, Status.CANCELLED, None)
            case SetTimer(at, token):
                self.simulator.at(at, self._timer, token)

    def _timer(self, token: str) -> None:
        if not self.dead:
            self.dispatch(Timer(token))

    # -- attempts
    def _send(self, number: int, node_id: int, timeout: float | None) -> None:
        now, active = self.simulator.now, self.active.get(number)
        if active is None or active.finished or node_id not in self.directory.boxes:
            attempt_number = active.attempts if active is not None else 0
            if active is not None:
                active.attempts += 1
            self.inbox.append(
                Outcome(
                    number, attempt_number, node_id, Status.MOOT, closed=active is None or active.finished
                )
            )
            return
        if node_id in self.drained_at and now > self.drained_at[node_id] + self.day.rules.drain_grace_ms:
            self._report(
                "drain", f"sends to node {node_id}, announced {now - self.drained_at[node_id]:.0f} ms ago"
            )
        if active.cls.effect is Effect.UNSAFE and (active.may_have_run or active.in_flight):
            self._report("effects", "sends again a request that may have run")
        node = self.directory.boxes[node_id]
        attempt = Attempt(active.attempts, node, now)
        active.attempts += 1
        active.in_flight[attempt.number] = attempt
        distance_ms = self.directory.distance(self.zone, node)
        if self._take_connection(node):
            self.simulator.after(distance_ms, self._arrive, active, attempt)
        else:
            self._dial(active, attempt, distance_ms)
        if timeout is not None and now + timeout < active.request.deadline:
            self.simulator.after(timeout, self._time_out, active, attempt)

    def _take_connection(self, node: CacheNode) -> bool:
        """Takes an idle connection that the node has not closed meanwhile."""
        idle = self.idle_connections.get(node.number)
        while idle:
            idle_since = idle.pop()
            if idle_since + self.day.fleet.idle_ms > self.simulator.now and node.state is not NodeStatus.GONE:
                return True
            node.connections -= 1
        return False

    def _dial(self, active: ActiveRequest, attempt: Attempt, distance_ms: float) -> None:
        self.ledger.second(self.simulator.now).dials += 1
        if attempt.node.state is NodeStatus.SILENT:
            timeout_ms = self.day.limits.connect_timeout_ms
            self.simulator.after(timeout_ms, self._fail, active, attempt, Status.CONNECT_FAILED)
        elif attempt.node.state is NodeStatus.GONE or not attempt.node.accept_connection():
            self.simulator.after(2 * distance_ms, self._fail, active, attempt, Status.CONNECT_FAILED)
        else:
            attempt.new_connection = True
            self.simulator.after(5 * distance_ms + self.day.fleet.handshake_ms, self._arrive, active, attempt)

    def _arrive(self, active: ActiveRequest, attempt: Attempt) -> None:
        if attempt.ended:
            return
        request, node = active.request, attempt.node
        if node.state is NodeStatus.SILENT:
            return  # never answers
        if node.state is NodeStatus.GONE:
            self._fail(active, attempt, Status.RESET)
            return
        distance_ms = self.directory.distance(self.zone, node)

        def done(status: Status, hit: bool | None) -> None:
            self.simulator.after(distance_ms, self._answered, active, attempt, status, hit)

        attempt.job = node.submit(request.key or "", request.write, done)

    def _answered(self, active: ActiveRequest, attempt: Attempt, status: Status, hit: bool | None) -> None:
        if attempt.ended or self.dead:
            return
        attempt.ended = True
        if status is Status.RESET:
            attempt.node.connections -= 1
        else:
            self._keep_connection(attempt.node)
        self._outcome(active, attempt, status, hit)

    def _keep_connection(self, node: CacheNode) -> None:
        if node.number in self.drained_at or node.state is NodeStatus.GONE:
            node.connections -= 1
        else:
            self.idle_connections.setdefault(node.number, []).append(self.simulator.now)

    def _fail(self, active: ActiveRequest, attempt: Attempt, status: Status) -> None:
        if not attempt.ended and not self.dead:
            attempt.ended = True
            self._outcome(active, attempt, status, None)

    def _time_out(self, active: ActiveRequest, attempt: Attempt) -> None:
        if not attempt.ended and not self.dead:
            self._abandon(attempt)
            self._outcome(active, attempt, Status.TIMEOUT, None)

    def _abandon(self, attempt: Attempt) -> None:
        """Abandons an attempt by closing its connection."""
        if not attempt.ended:
            attempt.ended = True
            attempt.node.connections -= attempt.job is not None or attempt.new_connection
            if attempt.job is not None:
                attempt.node.abandon(attempt.job)

    def _close_idle(self, node_id: int) -> None:
        node, idle = self.directory.boxes.get(node_id), self.idle_connections.pop(node_id, [])
        if node is not None:
            node.connections -= len(idle)

    def _outcome(self, active: ActiveRequest, attempt: Attempt, status: Status, hit: bool | None) -> None:
        now, request = self.simulator.now, active.request
        self.ledger.second(now).attempts[status.value] += 1
        active.in_flight.pop(attempt.number, None)
        if not status.never_ran:
            active.may_have_run = True
        if status is Status.OK and not active.finished:
            active.finished = True
            active.on_answer(Status.OK, 0.0)
        latency_ms = now - attempt.sent_at
        self.dispatch(
            Outcome(request.id, attempt.number, attempt.node.number, status, latency_ms, active.finished, hit)
        )
        self._remove_if_finished(active)

    # -- final answer
    def _finish(self, active: ActiveRequest, status: Status, retry_after: float) -> None:
        active.finished = True
        active.on_answer(status, retry_after)
        self._remove_if_finished(active)

    def _remove_if_finished(self, active: ActiveRequest) -> None:
        if active.finished and not active.in_flight:
            self.active.pop(active.request.id, None)

    def _deadline_passed(self, number: int) -> None:
        active = self.active.get(number)
        if active is None or self.dead:
            return
        for attempt in list(active.in_flight.values()):
            self._abandon(attempt)
            self._outcome(active, attempt, Status.TIMEOUT, None)
        if not active.finished:
            self._report("answer", "did not answer a request by its deadline")
            self._finish(active, Status.ERROR, 0.0)
            self.dispatch(ClientGone(number))
