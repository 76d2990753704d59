"""Budgets of a fleet in simulated time: the core that the service runs, and what it is compared with.

Each instance has a clock of its own that may drift; links lose, double, delay and cut; instances are killed,
started, paused. The ledger holds what was admitted, in true time, and judges it by the limit alone.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from notchflow.cluster.budgets import Budgets, TokenTerms
from notchflow.cluster.messages import LoanGrant, LoanRequest
from notchflow.cluster.model import Incarnation
from notchflow.emulator.engine import Simulator
from notchflow.emulator.members import between
from notchflow.tenancy.limits import Bucket

SLACK: Final = 1.05
TICK_MS: Final = 50.0


class Part(Protocol):
    """How one instance decides."""

    def take(self, key: str, now: float, rate: float, burst: float) -> float: ...

    def tick(self, now: float, present: Iterable[str]) -> list[tuple[str, Any]]: ...

    def heard(self, now: float, sender: str, life: Incarnation, body: Any) -> Any:
        """A message; its answer, or None."""


class Ours:
    """The core, as its edge drives it."""

    def __init__(self, name: str, names: list[str], rng: random.Random, now: float) -> None:
        self.core = Budgets(name, names, TokenTerms(), rng, now)

    def take(self, key: str, now: float, rate: float, burst: float) -> float:
        return self.core.take(key, now, rate, burst)

    def tick(self, now: float, present: Iterable[str]) -> list[tuple[str, Any]]:
        return [*self.core.tick(now, present)]

    def heard(self, now: float, sender: str, life: Incarnation, body: Any) -> Any:
        if isinstance(body, LoanRequest):
            return self.core.handle_loan_request(now, sender, life, body)
        assert isinstance(body, LoanGrant)
        self.core.handle_loan_grant(now, sender, body)
        return None


class Alone:
    """Today's limits, or an equal part for ever: nobody hears of anybody."""

    def __init__(self, share: float, now: float) -> None:
        self.share = share
        self.buckets: dict[str, Bucket] = {}

    def take(self, key: str, now: float, rate: float, burst: float) -> float:
        bucket = self.buckets.setdefault(key, Bucket(burst * self.share, now / 1e3))
        return bucket.take(now / 1e3, rate * self.share, max(burst * self.share, 1.0))

    def tick(self, now: float, present: Iterable[str]) -> list[tuple[str, Any]]:
        return []

    def heard(self, now: float, sender: str, life: Incarnation, body: Any) -> Any:
        return None


class Gossiped:
    """Each tells the others what it is asked for, and takes the part of the rate that its demand is of all
    that it has heard of lately."""

    AGE_MS: Final = 1_000.0

    def __init__(self, now: float) -> None:
        self.buckets: dict[str, Bucket] = {}
        self.asked: dict[str, float] = {}
        self.demand: dict[str, float] = {}
        self.others: dict[tuple[str, str], tuple[float, float]] = {}
        self.ticks = 0

    def take(self, key: str, now: float, rate: float, burst: float) -> float:
        self.asked[key] = self.asked.get(key, 0.0) + 1
        mine = max(self.demand.get(key, 0.0), 1.0)
        known = sum(d for (_, k), (d, at) in self.others.items() if k == key and now - at < self.AGE_MS)
        share = mine / (mine + known)
        bucket = self.buckets.setdefault(key, Bucket(burst * share, now / 1e3))
        return bucket.take(now / 1e3, rate * share, max(burst * share, 1.0))

    def tick(self, now: float, present: Iterable[str]) -> list[tuple[str, Any]]:
        self.ticks += 1
        for key in self.asked:
            before = self.demand.get(key, 0.0)
            self.demand[key] = before + 0.2 * (self.asked[key] * 1e3 / TICK_MS - before)
            self.asked[key] = 0.0
        return [(name, dict(self.demand)) for name in present] if self.ticks % 4 == 0 else []

    def heard(self, now: float, sender: str, life: Incarnation, body: Any) -> Any:
        for key, demand in body.items():
            self.others[sender, key] = demand, now
        return None


@dataclass(slots=True)
class Node:
    name: str
    part: Part
    life: Incarnation
    rate: float  # of its clock
    offset: float
    alive: bool = True
    paused_until: float = 0.0
    waiting: list[tuple[Callable[..., None], tuple[Any, ...]]] = field(default_factory=list)


@dataclass(slots=True)
class Budget:
    rate: float
    burst: float


class Ledger:
    """What was admitted of one budget, as a bucket of the whole limit with the slack: it never runs dry while
    over every window no more was admitted than rate x window x 1.05 + burst."""

    def __init__(self, budget: Budget, at: float) -> None:
        self.budget, self.level, self.at = budget, budget.burst, at
        self.admitted = self.refused = 0
        self.worst = 0.0  # tokens by which the limit was exceeded, at most

    def admit(self, at: float) -> None:
        """`at` in milliseconds."""
        grown = self.level + (at - self.at) / 1e3 * self.budget.rate * SLACK
        self.level, self.at = min(grown, self.budget.burst) - 1.0, at
        self.admitted += 1
        self.worst = max(self.worst, -self.level)


class World:
    """Instances with one kind of part, and budgets that are asked for."""

    def __init__(
        self,
        names: Iterable[str],
        kind: str,
        budgets: dict[str, Budget],
        seed: int,
        delay_ms: tuple[float, float] = (0.5, 2.0),
    ) -> None:
        self.names, self.kind, self.budgets = list(names), kind, budgets
        self.sim, self.rng, self.draws = Simulator(), random.Random(seed), random.Random(seed + 1)
        self.delay_ms = delay_ms
        self.loss = self.doubled = 0.0
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.fate: Callable[[str, str, Any], list[float] | None] = lambda a, b, body: None
        self.nodes: dict[str, Node] = {}
        self.ledgers = {key: Ledger(budget, 0.0) for key, budget in budgets.items()}
        self.messages = 0
        self.log: list[tuple[float, str, str, bool]] = []  # time, instance, budget, admitted
        self.keep_log = False
        for name in self.names:
            self.start(name)

    # -- processes
    def start(self, name: str, clock: float = 1.0) -> Node:
        offset = self.rng.uniform(0, 1e6)  # each life has a monotonic clock of its own
        now = self.sim.now * clock + offset
        life = Incarnation(int(self.sim.now), self.rng.getrandbits(60))
        node = self.nodes[name] = Node(name, self._part(name, now), life, clock, offset)
        if isinstance(node.part, Ours):
            for key, budget in self.budgets.items():
                node.part.core.set_limit(key, now, budget.rate, budget.burst)
        self.sim.after(self.rng.uniform(0, TICK_MS), self._tick, node)
        return node

    def _part(self, name: str, now: float) -> Part:
        if self.kind == "ours":
            return Ours(name, self.names, random.Random(self.rng.getrandbits(64)), now)
        if self.kind == "gossip":
            return Gossiped(now)
        return Alone(1.0 if self.kind == "today" else 1 / len(self.names), now)

    def kill(self, name: str) -> None:
        self.nodes[name].alive = False
        self.nodes[name].waiting.clear()

    def pause(self, name: str, ms: float) -> None:
        node = self.nodes[name]
        node.paused_until = max(node.paused_until, self.sim.now + ms)
        self.sim.at(node.paused_until, self._wake, node)

    def _wake(self, node: Node) -> None:
        if self.sim.now >= node.paused_until:
            waiting, node.waiting = node.waiting, []
            for call, arguments in waiting:
                call(*arguments)

    def islands(self, *groups: Iterable[str]) -> None:
        self.cut = between(*groups)

    def clock(self, node: Node) -> float:
        return self.sim.now * node.rate + node.offset

    # -- requests
    def request(self, name: str, key: str, retry: Callable[[float], None] | None = None) -> None:
        """A client's request at an instance; at one that is paused it waits, at a dead one it is lost."""
        node = self.nodes[name]
        if not node.alive:
            return
        if self.sim.now < node.paused_until:
            node.waiting.append((self.request, (name, key, retry)))
            return
        budget, ledger = self.budgets[key], self.ledgers[key]
        wait = node.part.take(key, self.clock(node), budget.rate, budget.burst)
        if wait <= 0:
            ledger.admit(self.sim.now)
        else:
            ledger.refused += 1
            if retry is not None:
                retry(wait)
        if self.keep_log:
            self.log.append((self.sim.now, name, key, wait <= 0))

    def demand(self, name: str, key: str, per_s: float, until: float) -> None:
        """Requests at drawn times from now on."""

        def ask() -> None:
            if self.sim.now < until:
                self.request(name, key)
                self.sim.after(self.draws.expovariate(per_s / 1e3), ask)

        self.sim.after(self.draws.expovariate(per_s / 1e3), ask)

    # -- messages
    def _tick(self, node: Node) -> None:
        if not node.alive or self.nodes[node.name] is not node:
            return
        self.sim.after(TICK_MS, self._tick, node)
        if self.sim.now >= node.paused_until:
            others = [n for n in self.names if n != node.name]
            for to, body in node.part.tick(self.clock(node), others):
                self._send(node, to, body)

    def _send(self, node: Node, to: str, body: Any) -> None:
        self.messages += 1
        fate = self.fate(node.name, to, body)
        if fate is None:
            lost = self.cut(node.name, to) or (self.loss and self.draws.random() < self.loss)
            copies = 2 if self.doubled and self.draws.random() < self.doubled else 1
            fate = [] if lost else [self.draws.uniform(*self.delay_ms) for _ in range(copies)]
        for delay in fate:
            self.sim.after(delay, self._arrive, node.name, node.life, to, body)

    def _arrive(self, sender: str, life: Incarnation, to: str, body: Any) -> None:
        node = self.nodes[to]
        if not node.alive:
            return
        if self.sim.now < node.paused_until:
            node.waiting.append((self._arrive, (sender, life, to, body)))
            return
        answer = node.part.heard(self.clock(node), sender, life, body)
        if answer is not None:
            self._send(node, sender, answer)

    def run(self, ms: float) -> None:
        self.sim.run(self.sim.now + ms)
