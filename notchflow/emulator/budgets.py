"""Simulation of fleet-wide budgets: the real core, and the baselines that it is compared with.

Each instance has its own clock, which may drift; links lose, duplicate, delay and cut messages; instances are
killed, started and paused. The ledger checks admissions, in true time, against the limit alone.
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
from notchflow.emulator.members import partition_filter
from notchflow.tenancy.limits import TokenBucket

RATE_TOLERANCE: Final = 1.05
TICK_MS: Final = 50.0


class BudgetCore(Protocol):
    """The budget core of one instance: the real one or a baseline."""

    def take(self, key: str, now: float, rate: float, burst: float) -> float:
        """Takes a token; returns 0, or the wait in seconds until one is available."""
        ...

    def tick(self, now: float, present: Iterable[str]) -> list[tuple[str, Any]]:
        """Returns the messages to send, with their receivers."""
        ...

    def handle_message(self, now: float, sender: str, incarnation: Incarnation, body: Any) -> Any:
        """Handles a message; returns its answer, or None."""


class RealCore:
    """The real core, driven as the service drives it."""

    def __init__(self, name: str, names: list[str], rng: random.Random, now: float) -> None:
        self.budgets = Budgets(name, names, TokenTerms(), rng, now)

    def take(self, key: str, now: float, rate: float, burst: float) -> float:
        """Takes a token; returns 0, or the wait in seconds until one is available."""
        return self.budgets.take(key, now, rate, burst)

    def tick(self, now: float, present: Iterable[str]) -> list[tuple[str, Any]]:
        """Returns the messages to send, with their receivers."""
        return [*self.budgets.tick(now, present)]

    def handle_message(self, now: float, sender: str, incarnation: Incarnation, body: Any) -> Any:
        """Handles a message; returns its answer, or None."""
        if isinstance(body, LoanRequest):
            return self.budgets.handle_loan_request(now, sender, incarnation, body)
        assert isinstance(body, LoanGrant)
        self.budgets.handle_loan_grant(now, sender, body)
        return None


class LocalLimits:
    """Local token buckets with a fixed share of the limit; no messages."""

    def __init__(self, share: float, now: float) -> None:
        self.share = share
        self.buckets: dict[str, TokenBucket] = {}

    def take(self, key: str, now: float, rate: float, burst: float) -> float:
        """Takes a token; returns 0, or the wait in seconds until one is available."""
        bucket = self.buckets.setdefault(key, TokenBucket(burst * self.share, now / 1e3))
        return bucket.take(now / 1e3, rate * self.share, max(burst * self.share, 1.0))

    def tick(self, now: float, present: Iterable[str]) -> list[tuple[str, Any]]:
        """Returns the messages to send, with their receivers."""
        return []

    def handle_message(self, now: float, sender: str, incarnation: Incarnation, body: Any) -> Any:
        """Handles a message; returns its answer, or None."""
        return None


class GossipedDemand:
    """Instances broadcast their demand; each takes the share of the rate that its demand has of all demand
    reported within `AGE_MS`."""

    AGE_MS: Final = 1_000.0

    def __init__(self, now: float) -> None:
        self.buckets: dict[str, TokenBucket] = {}
        self.requested: dict[str, float] = {}
        self.demand: dict[str, float] = {}
        self.reported_demand: dict[tuple[str, str], tuple[float, float]] = {}
        self.ticks = 0

    def take(self, key: str, now: float, rate: float, burst: float) -> float:
        """Takes a token; returns 0, or the wait in seconds until one is available."""
        self.requested[key] = self.requested.get(key, 0.0) + 1
        own = max(self.demand.get(key, 0.0), 1.0)
        reported = sum(
            d for (_, k), (d, at_ms) in self.reported_demand.items() if k == key and now - at_ms < self.AGE_MS
        )
        share = own / (own + reported)
        bucket = self.buckets.setdefault(key, TokenBucket(burst * share, now / 1e3))
        return bucket.take(now / 1e3, rate * share, max(burst * share, 1.0))

    def tick(self, now: float, present: Iterable[str]) -> list[tuple[str, Any]]:
        """Returns the messages to send, with their receivers."""
        self.ticks += 1
        for key in self.requested:
            previous = self.demand.get(key, 0.0)
            self.demand[key] = previous + 0.2 * (self.requested[key] * 1e3 / TICK_MS - previous)
            self.requested[key] = 0.0
        return [(name, dict(self.demand)) for name in present] if self.ticks % 4 == 0 else []

    def handle_message(self, now: float, sender: str, incarnation: Incarnation, body: Any) -> Any:
        """Handles a message; returns its answer, or None."""
        for key, demand in body.items():
            self.reported_demand[sender, key] = demand, now
        return None


@dataclass(slots=True)
class Node:
    """One process. `rate` and `offset` (ms) define its clock."""

    name: str
    core: BudgetCore
    incarnation: Incarnation
    rate: float
    offset: float
    alive: bool = True
    paused_until: float = 0.0
    waiting: list[tuple[Callable[..., None], tuple[Any, ...]]] = field(default_factory=list)


@dataclass(slots=True)
class Budget:
    """A limit: tokens per second and burst in tokens."""

    rate: float
    burst: float


class AdmissionLedger:
    """Admissions of one budget, as a bucket of the whole limit with tolerance: it stays above zero as long as
    no window admits more than rate x window x 1.05 + burst."""

    def __init__(self, budget: Budget, at_ms: float) -> None:
        self.budget, self.level, self.updated_at = budget, budget.burst, at_ms
        self.admitted = self.refused = 0
        self.max_excess = 0.0  # maximum number of tokens by which the limit was exceeded

    def admit(self, at_ms: float) -> None:
        """Records an admission at a time in milliseconds."""
        refilled = self.level + (at_ms - self.updated_at) / 1e3 * self.budget.rate * RATE_TOLERANCE
        self.level, self.updated_at = min(refilled, self.budget.burst) - 1.0, at_ms
        self.admitted += 1
        self.max_excess = max(self.max_excess, -self.level)


class World:
    """Instances with one kind of core, the network between them, and the budgets."""

    def __init__(
        self,
        names: Iterable[str],
        kind: str,
        budgets: dict[str, Budget],
        seed: int,
        delay_ms: tuple[float, float] = (0.5, 2.0),
    ) -> None:
        self.names, self.kind, self.budgets = list(names), kind, budgets
        self.sim, self.rng, self.link_rng = Simulator(), random.Random(seed), random.Random(seed + 1)
        self.delay_ms = delay_ms
        self.loss = self.duplicated = 0.0
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.fate: Callable[[str, str, Any], list[float] | None] = lambda a, b, body: None
        self.nodes: dict[str, Node] = {}
        self.ledgers = {key: AdmissionLedger(budget, 0.0) for key, budget in budgets.items()}
        self.messages = 0
        self.log: list[tuple[float, str, str, bool]] = []  # time, instance, budget, admitted
        self.keep_log = False
        for name in self.names:
            self.start(name)

    # -- processes
    def start(self, name: str, clock: float = 1.0) -> Node:
        """Starts a process whose clock runs at the rate `clock`."""
        offset = self.rng.uniform(0, 1e6)  # each incarnation has its own monotonic clock
        now = self.sim.now * clock + offset
        incarnation = Incarnation(int(self.sim.now), self.rng.getrandbits(60))
        node = self.nodes[name] = Node(name, self._create_core(name, now), incarnation, clock, offset)
        if isinstance(node.core, RealCore):
            for key, budget in self.budgets.items():
                node.core.budgets.set_limit(key, now, budget.rate, budget.burst)
        self.sim.after(self.rng.uniform(0, TICK_MS), self._tick, node)
        return node

    def _create_core(self, name: str, now: float) -> BudgetCore:
        if self.kind == "ours":
            return RealCore(name, self.names, random.Random(self.rng.getrandbits(64)), now)
        if self.kind == "gossip":
            return GossipedDemand(now)
        return LocalLimits(1.0 if self.kind == "today" else 1 / len(self.names), now)

    def kill(self, name: str) -> None:
        """Kills a process; messages and requests that wait for it are lost."""
        self.nodes[name].alive = False
        self.nodes[name].waiting.clear()

    def pause(self, name: str, ms: float) -> None:
        """Pauses a process; messages and requests wait meanwhile."""
        node = self.nodes[name]
        node.paused_until = max(node.paused_until, self.sim.now + ms)
        self.sim.at(node.paused_until, self._resume, node)

    def _resume(self, node: Node) -> None:
        if self.sim.now >= node.paused_until:
            waiting, node.waiting = node.waiting, []
            for call, arguments in waiting:
                call(*arguments)

    def islands(self, *groups: Iterable[str]) -> None:
        """Partitions the network into these groups."""
        self.cut = partition_filter(*groups)

    def clock(self, node: Node) -> float:
        """Reads a process's clock, milliseconds."""
        return self.sim.now * node.rate + node.offset

    # -- requests
    def request(self, name: str, key: str, retry: Callable[[float], None] | None = None) -> None:
        """Sends a client's request to an instance; it waits at a paused one and is lost at a dead one."""
        node = self.nodes[name]
        if not node.alive:
            return
        if self.sim.now < node.paused_until:
            node.waiting.append((self.request, (name, key, retry)))
            return
        budget, ledger = self.budgets[key], self.ledgers[key]
        wait = node.core.take(key, self.clock(node), budget.rate, budget.burst)
        if wait <= 0:
            ledger.admit(self.sim.now)
        else:
            ledger.refused += 1
            if retry is not None:
                retry(wait)
        if self.keep_log:
            self.log.append((self.sim.now, name, key, wait <= 0))

    def demand(self, name: str, key: str, per_s: float, until: float) -> None:
        """Generates Poisson requests at an instance until a time (ms)."""

        def ask() -> None:
            if self.sim.now < until:
                self.request(name, key)
                self.sim.after(self.link_rng.expovariate(per_s / 1e3), ask)

        self.sim.after(self.link_rng.expovariate(per_s / 1e3), ask)

    # -- messages
    def _tick(self, node: Node) -> None:
        if not node.alive or self.nodes[node.name] is not node:
            return
        self.sim.after(TICK_MS, self._tick, node)
        if self.sim.now >= node.paused_until:
            others = [n for n in self.names if n != node.name]
            for to, body in node.core.tick(self.clock(node), others):
                self._send(node, to, body)

    def _send(self, node: Node, to: str, body: Any) -> None:
        self.messages += 1
        fate = self.fate(node.name, to, body)
        if fate is None:
            lost = self.cut(node.name, to) or (self.loss and self.link_rng.random() < self.loss)
            copies = 2 if self.duplicated and self.link_rng.random() < self.duplicated else 1
            fate = [] if lost else [self.link_rng.uniform(*self.delay_ms) for _ in range(copies)]
        for delay in fate:
            self.sim.after(delay, self._arrive, node.name, node.incarnation, to, body)

    def _arrive(self, sender: str, incarnation: Incarnation, to: str, body: Any) -> None:
        node = self.nodes[to]
        if not node.alive:
            return
        if self.sim.now < node.paused_until:
            node.waiting.append((self._arrive, (sender, incarnation, to, body)))
            return
        answer = node.core.handle_message(self.clock(node), sender, incarnation, body)
        if answer is not None:
            self._send(node, sender, answer)

    def run(self, ms: float) -> None:
        """Advances the simulation."""
        self.sim.run(self.sim.now + ms)
