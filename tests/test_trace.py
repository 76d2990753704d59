"""Regression test: the policy takes the recorded actions for the same events.

A simulation of nodes, clients and faults, seeded once, drives the policy event by event. What it sends,
cancels, refuses and fails is compared, in blocks of a hundred actions, with the record in trace.json. `python
-m tests.test_trace` prints the record of the current code.
"""

from __future__ import annotations

import hashlib
import heapq
import json
import random
from collections import Counter
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import pytest

from notchflow.interface import (
    Cancel,
    ClientGone,
    Effect,
    Event,
    Fail,
    Group,
    Limits,
    ListKind,
    Member,
    Membership,
    Outcome,
    Refuse,
    Request,
    RequestClass,
    Rules,
    Send,
    SetTimer,
    Settings,
    State,
    Status,
    StreamStarted,
    Timer,
    Watch,
)
from notchflow.policy.balancer import Balancer
from notchflow.policy.hot_keys import COMPARISONS, FastTopK
from tests.helpers import make_key

RECORD = Path(__file__).parent / "trace.json"
BLOCK = 100
CLASSES = (
    RequestClass("read", 300, 1000),
    RequestClass("list", 600, 2000, worth=3.0, stream=True),
    RequestClass("pay", 300, 1000, worth=8.0, effect=Effect.UNSAFE),
    RequestClass("keyed", 300, 1000, worth=2.0, effect=Effect.KEYED, window_ms=400),
    RequestClass("celled", 300, 1000, effect=Effect.KEYED, group=Group.CELL, window_ms=400),
)
RULES = Rules(
    answer_slack_ms=20,
    ask_within_ms=10_000,
    drain_grace_ms=250,
    cold_share=0.2,
    cold_ms=4_000,
    overload_factor=3,
    fall_ms=1_000,
)


@dataclass(frozen=True, slots=True)
class Phase:
    """A phase of the simulation: requests per second, skew of their keys, and faults."""

    seconds: float
    rate: float
    hot: float = 0.0  # share of the requests that are for one key
    full: float = 0.0
    error: float = 0.0
    reset: float = 0.0
    hang: float = 0.0
    gone: float = 0.0  # share of the clients that disconnect
    slow: float = 1.0
    hanging_class: str = ""  # every third node hangs on it
    list_change: str = ""  # change of the list of nodes at the start


PHASES = (
    Phase(8.0, 120.0),
    Phase(4.0, 300.0, hot=0.4),
    Phase(3.0, 200.0, full=0.3),
    Phase(3.0, 150.0, error=0.2),
    Phase(3.0, 150.0, reset=0.1, gone=0.1),
    Phase(3.0, 120.0, hang=0.1, list_change="add"),
    Phase(4.0, 900.0, slow=4.0),
    Phase(4.0, 150.0, hanging_class="read"),
    Phase(4.0, 200.0, hot=0.5, list_change="drain"),
    Phase(4.0, 250.0, list_change="replace"),
    Phase(2.0, 150.0, list_change="fail"),
    Phase(3.0, 200.0, hot=0.2, full=0.1, error=0.1, hang=0.05, gone=0.05),
)


class DrawByDraw(FastTopK):
    """Compares entry by entry, with one random number each, as the code did when the record was written. Now
    a single random number gives the number of matches; tests/test_load_balancing.py checks its
    distribution."""

    def observe(self, key: str) -> None:
        self.seen += 1
        if key in self.historical:
            self.historical[key] += 1
            return
        entries = len(self.fifo)
        draws = min(entries, COMPARISONS)
        self.compared += draws
        matches = sum([self.fifo[int(self.rng.random() * entries)] == key for _ in range(draws)])
        if matches:
            self.counters[key] = self.counters.get(key, 0.0) + matches
        self.fifo.append(key)
        del self.fifo[: max(entries + 1 - self.capacity, 0)]


class Simulation:
    """A discrete-event simulation with its own random generator, separate from that of the policy."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.rng = random.Random(seed)
        self.balancer = Balancer(settings, seed=seed, now=0.0)
        self.balancer.hot_keys.topk = DrawByDraw(self.balancer.rng)
        self.settings = settings
        self.heap: list[tuple[float, int, Any]] = []
        self.count = self.numbers = 0
        self.now = 0.0
        self.phase = PHASES[0]
        self.members = {
            i: Member(1000 + 7919 * i, kind="ml"[i % 2], zone="ab"[i % 2], cell=i % 4, size=1.0 + i % 3)
            for i in range(8)
        }
        if settings.origin_kind is not None:
            self.members[99] = Member(5, kind=settings.origin_kind)
        self.open: dict[int, tuple[Request, dict[int, int]]] = {}
        self.attempts: Counter[int] = Counter()
        self.busy: Counter[int] = Counter()
        self.lines: list[str] = []

    def schedule(self, at: float, event: Any) -> None:
        self.count += 1
        heapq.heappush(self.heap, (at, self.count, event))

    def run(self) -> list[str]:
        start = 0.0
        self.handle(Membership(ListKind.CACHED, tuple(self.members.values()), 1))
        for phase in PHASES:
            self.schedule(start, phase)
            arrives_at = start
            while (
                arrives_at := arrives_at + self.rng.expovariate(phase.rate) * 1e3
            ) < start + phase.seconds * 1e3:
                self.schedule(arrives_at, "request")
            start += phase.seconds * 1e3
        while self.heap and self.now < start + 5_000:
            self.now, _, event = heapq.heappop(self.heap)
            if isinstance(event, Phase):
                self.phase = event
                self.change_list(event.list_change)
            elif event == "request":
                self.send_request()
            elif isinstance(event, tuple):
                self.end_attempt(*event)
            elif isinstance(event, ClientGone):
                if event.id in self.open:
                    self.close(event.id)
                    self.handle(event)
            else:
                self.handle(event)
        return self.lines

    def change_list(self, change: str) -> None:
        members, kind = self.members, ListKind.DELTA
        if change == "add":
            members |= {
                i: Member(9000 + 31 * i, kind="m", zone="a", cell=i % 4, ready_at_ms=self.now - 100)
                for i in (20, 21)
            }
        elif change == "drain":
            members[0] = replace(members[0], state=State.DRAINING)
            members[1] = replace(members[1], state=State.GONE)
        elif change == "replace":
            kind = ListKind.FULL
            del members[2]
            members[3] = replace(members[3], ready_at_ms=self.now - 500)
        if change == "fail":
            self.handle(Membership(ListKind.FAILED))
        elif change:
            self.handle(Membership(kind, tuple(members.values()), 2))

    def send_request(self) -> None:
        self.numbers += 1
        rng, number = self.rng, self.numbers
        cls = rng.choices(["read", "list", "pay", "keyed", "celled", "unheard"], [60, 15, 8, 8, 8, 1])[0]
        key: str | None = make_key(rng.randrange(300))
        if rng.random() < self.phase.hot:
            key = make_key(7)
        elif rng.random() < 0.03:
            key = None
        elif rng.random() < 0.1:
            key = f"tenant/{rng.randrange(40)}"
        deadline = next((c.deadline_ms for c in CLASSES if c.name == cls), 500.0)
        request = Request(
            number, cls, self.now + deadline * rng.choice([1.0, 1.0, 0.5]), key=key, write=cls == "pay"
        )
        self.open[number] = request, {}
        if rng.random() < self.phase.gone:
            self.schedule(self.now + rng.uniform(1, 60), ClientGone(number))
        self.handle(request)

    def close(self, number: int) -> None:
        _, outstanding = self.open.pop(number)
        for attempt, node in outstanding.items():
            self.schedule(self.now, (number, attempt, node, Status.CANCELLED, self.now))

    def send(self, action: Send) -> None:
        number, node = action.id, action.node
        attempt = self.attempts[number]
        self.attempts[number] += 1
        if number not in self.open:
            self.schedule(self.now, (number, attempt, node, Status.MOOT, self.now))
            return
        request, outstanding = self.open[number]
        outstanding[attempt] = node
        self.busy[node] += 1
        rng, phase = self.rng, self.phase
        took = rng.lognormvariate(2.0, 0.7) * phase.slow * (1 + self.busy[node] / 4)
        draw, status = rng.random(), Status.OK
        faults = (phase.full, Status.FULL), (phase.error, Status.ERROR), (phase.reset, Status.RESET)
        for share, fault in faults:
            if draw < share:
                status = fault
                break
            draw -= share
        else:
            if draw < phase.hang or (phase.hanging_class == request.cls and node % 3 == 0):
                took = 1e9
            elif self.settings.origin_kind is not None and node != 5 and rng.random() < 0.2:
                status = Status.MISS
        if status is Status.FULL:
            took = 0.5
        limit = (
            request.deadline
            if action.timeout_ms is None
            else min(request.deadline, self.now + action.timeout_ms)
        )
        if self.now + took >= limit:
            took, status = limit - self.now, Status.TIMEOUT
        if status is Status.OK and request.cls == "list" and rng.random() < 0.3:
            self.schedule(self.now + took / 2, StreamStarted(number, attempt, node))
        self.schedule(self.now + took, (number, attempt, node, status, self.now))

    def end_attempt(self, number: int, attempt: int, node: int, status: Status, sent_at: float) -> None:
        request, outstanding = self.open.get(number, (None, {}))
        if status not in (Status.CANCELLED, Status.MOOT) and outstanding.pop(attempt, None) is None:
            return  # already ended
        if status is not Status.MOOT:
            self.busy[node] -= 1
        closed = request is None or status is Status.OK
        if status is Status.OK:
            self.close(number)
        self.handle(
            Outcome(
                number,
                attempt,
                node,
                status,
                self.now - sent_at,
                closed,
                True if status is Status.OK else None,
            )
        )

    def handle(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            match action:
                case Send(number, node, timeout):
                    suffix = "" if timeout is None else f" {timeout:.6f}"
                    self.lines.append(f"{self.now:.6f} send {number} {node}{suffix}")
                    self.send(action)
                case Cancel(number, attempt):
                    self.lines.append(f"{self.now:.6f} cancel {number} {attempt}")
                    _, outstanding = self.open.get(number, (None, {}))
                    if attempt in outstanding:
                        self.schedule(
                            self.now, (number, attempt, outstanding.pop(attempt), Status.CANCELLED, self.now)
                        )
                case Refuse(number) | Fail(number):
                    self.lines.append(f"{self.now:.6f} {type(action).__name__.lower()} {number}")
                    if number in self.open:
                        self.close(number)
                case SetTimer(at, token):
                    self.schedule(at, Timer(token))
                case Watch():
                    self.lines.append(f"{self.now:.6f} watch")


def scenarios() -> dict[str, Settings]:
    limits = Limits(max_attempts=3, second_copies=True, cancel=True)
    plain = Settings(classes=CLASSES, zone="a", rules=RULES, limits=limits)
    return {
        "plain": plain,
        "aside": replace(plain, origin_kind="origin", list_on_request=True),
        "strict": replace(plain, limits=Limits(max_attempts=2), worth_by_work=True),
    }


def record(name: str, seed: int = 3) -> dict[str, Any]:
    lines = Simulation(scenarios()[name], seed).run()
    blocks = ["\n".join(lines[i : i + BLOCK]) for i in range(0, len(lines), BLOCK)]
    return {
        "kinds": dict(sorted(Counter(line.split()[1] for line in lines).items())),
        "blocks": [hashlib.sha256(b.encode()).hexdigest()[:8] for b in blocks],
    }


@pytest.mark.parametrize("name", scenarios())
def test_the_recorded_actions_are_taken(name: str) -> None:
    expected, actual = json.loads(RECORD.read_text())[name], record(name)
    assert set(expected["kinds"]) >= {"send", "refuse"} and expected["kinds"]["send"] > 3_000
    differing = [
        i for i, (a, b) in enumerate(zip(expected["blocks"], actual["blocks"], strict=False)) if a != b
    ]
    assert not differing, f"the actions differ from number {differing[0] * BLOCK} on"
    assert actual == expected


if __name__ == "__main__":
    print(json.dumps({name: record(name) for name in scenarios()}))
