"""Simulates one day: builds the deployment that the day describes, runs its events and returns the ledger."""

from __future__ import annotations

import math

import numpy as np

from notchflow.emulator.cache_node import CacheNode, NodeStatus, Origin
from notchflow.emulator.deciders import DeciderFactory, create_balancer
from notchflow.emulator.engine import Draws, Simulator, Streams
from notchflow.emulator.ledger import Ledger
from notchflow.emulator.proxy import Proxy
from notchflow.emulator.spec import CLASSES, Day, Event
from notchflow.interface import ListKind, Member, Membership, State, Status

RESTART_MS = 300.0  # start time of a proxy
SPREAD_STEPS = 10  # steps in which an event that takes time is carried out


class World:
    """A deployment on one day, with the same kind of decider in all proxies."""

    def __init__(self, day: Day, decider_factory: DeciderFactory = create_balancer) -> None:
        self.day, self.decider_factory = day, decider_factory
        self.simulator, self.streams, self.ledger = Simulator(), Streams(day.seed), Ledger()
        fleet = day.fleet
        work_draws = self.streams.named("work")
        self.next_work = Draws(lambda n: work_draws.exponential(1.0, n))
        origin_draws = self.streams.named("origin")
        self.origin = Origin(self.simulator, fleet, Draws(lambda n: origin_draws.exponential(1.0, n)))
        self.announcement_lags = self.streams.named("discovery")
        self.event_choices = self.streams.named("events")
        self.boxes: dict[int, CacheNode] = {}
        self.last_node_index = 0
        self.members: dict[int, Member] = {}  # as discovery knows them, by node
        weights_of_kinds = np.array([k.part for k in fleet.kinds])
        for index, kind in enumerate(
            self.streams.named("kinds").choice(
                len(weights_of_kinds), fleet.boxes, p=weights_of_kinds / weights_of_kinds.sum()
            )
        ):
            self._create_node(int(kind), fleet.zones[index % len(fleet.zones)], 0.0)
        self.proxies = [self._create_proxy(n) for n in range(fleet.proxies)]
        self._start_clients()
        for event in day.events:
            self.simulator.at(event.at, self._apply_event, event)

    # -- nodes and discovery
    def _create_node(self, kind: int, zone: str, started_at: float) -> CacheNode:
        self.last_node_index += 1
        number = int(np.random.SeedSequence(self.last_node_index).generate_state(1, np.uint64)[0])
        node = CacheNode(
            number,
            self.day.fleet.kinds[kind],
            zone,
            self.day.fleet,
            self.day.rules,
            self.simulator,
            self.origin,
            self.next_work,
            started_at,
        )
        self.boxes[number] = node
        self.members[number] = Member(number, State.READY, node.kind.name, zone, ready_at_ms=started_at)
        return node

    def distance(self, zone: str, node: CacheNode) -> float:
        """One-way network delay between a zone and a node, milliseconds."""
        return self.day.fleet.same_zone_ms if zone == node.zone else self.day.fleet.cross_zone_ms

    def announce(self, node: CacheNode, state: State, within: tuple[float, float]) -> None:
        """Announces a node's state to every proxy, each after a lag drawn from `within` (milliseconds)."""
        member = Member(node.number, state, node.kind.name, node.zone, ready_at_ms=node.started_at)
        self.members[node.number] = member
        if state is State.GONE:
            del self.members[node.number]
        lags = self.announcement_lags.uniform(*within, len(self.proxies)).tolist()
        for proxy, lag in zip(self.proxies, lags, strict=True):
            self.simulator.after(lag, proxy.learn, Membership(ListKind.DELTA, (member,)))

    # -- proxies
    def _create_proxy(self, number: int) -> Proxy:
        zone = self.day.fleet.zones[number % len(self.day.fleet.zones)]
        seed = int(self.streams.named("seeds").integers(1 << 62))
        decider = self.decider_factory(self.day.settings(zone), seed, self.simulator.now)
        proxy = Proxy(f"n{number}", zone, self.day, self.simulator, self, self.ledger, decider)
        proxy.learn(Membership(ListKind.CACHED, tuple(self.members.values())))
        return proxy

    def _restart(self, number: int) -> None:
        self.proxies[number].kill()
        self.simulator.after(RESTART_MS, self._start, number)

    def _start(self, number: int) -> None:
        self.proxies[number] = self._create_proxy(number)

    # -- clients
    def _start_clients(self) -> None:
        fleet, load = self.day.fleet, self.day.load
        rng = self.streams.named("clients")
        shares = rng.lognormal(0.0, load.uneven, fleet.proxies)
        self.cumulative_shares = np.cumsum(shares / shares.sum())
        capacity = sum(n.kind.cores * n.kind.speed for n in self.boxes.values()) / fleet.hit_ms * 1e3
        self.rate = load.load * capacity  # a second
        weights = np.arange(1, load.keys + 1) ** -load.skew
        self.cumulative_weights = np.cumsum(weights / weights.sum())
        self.next_uniform = Draws(lambda n: rng.random(n))
        arrival_draws = self.streams.named("arrivals")
        self.next_gap = Draws(lambda n: arrival_draws.exponential(1.0, n))
        self.simulator.after(self.next_gap() * 1e3 / self.rate, self._arrive)

    def _arrive(self) -> None:
        now, load = self.simulator.now, self.day.load
        start, end, times = load.burst
        rate = self.rate * (times if start <= now < end else 1.0)
        if now < self.day.length:
            self.simulator.after(self.next_gap() * 1e3 / rate, self._arrive)
        rank = (
            0
            if self.next_uniform() < load.hot
            else int(np.searchsorted(self.cumulative_weights, self.next_uniform()))
        )
        write = self.next_uniform() < load.writes
        self._send_request("pay" if write else "read", f"{rank * 2654435761 % 2**64:016x}", write, 0, now)

    def _send_request(self, cls: str, key: str, write: bool, retries: int, first_sent_at: float) -> None:
        proxy = self.proxies[
            min(int(np.searchsorted(self.cumulative_shares, self.next_uniform())), len(self.proxies) - 1)
        ]
        now, request_class = self.simulator.now, CLASSES[cls]
        second = self.ledger.second(now)
        second.offered += 1
        if not retries:
            second.worth += request_class.worth
            self.ledger.first_attempts += 1

        def answered(status: Status, delay_ms: float) -> None:
            latency_ms = self.simulator.now - now
            if status is Status.OK:
                if latency_ms <= request_class.aim_ms:
                    second.in_time += 1
                    if self.simulator.now - first_sent_at <= request_class.aim_ms:
                        second.worth_in_time += request_class.worth
                else:
                    second.late += 1
                self.ledger.latencies.append(latency_ms)
                return
            if status is Status.FULL:
                second.refused += 1
            else:
                second.failed += 1
            retryable = status is Status.FULL or not write
            if retryable and retries < self.day.load.retries and self.simulator.now < self.day.length:
                low, high = self.day.load.backoff_ms
                backoff_ms = max(delay_ms, low * math.pow(high / low, self.next_uniform()) * 2**retries)
                self.simulator.after(
                    backoff_ms, self._send_request, cls, key, write, retries + 1, first_sent_at
                )

        proxy.submit(cls, key, write, retries > 0, answered)

    # -- scheduled events
    def _apply_event(self, event: Event) -> None:
        if event.what in ("restart", "massacre"):
            count = max(1, round(event.share * len(self.proxies)))
            spread_ms = 0.0 if event.what == "massacre" else event.lasts
            for position, number in enumerate(
                self.event_choices.permutation(len(self.proxies))[:count].tolist()
            ):
                delay_ms = spread_ms * (position * SPREAD_STEPS // count) / SPREAD_STEPS
                self.simulator.after(delay_ms, self._restart, number)
            return
        serving = [n for n in self.boxes.values() if n.state is NodeStatus.SERVING]
        if event.what == "zone":
            chosen = [n for n in serving if n.zone == self.day.fleet.zones[-1]]
        else:
            count = max(1, round(event.share * len(serving)))
            chosen = [serving[i] for i in self.event_choices.permutation(len(serving))[:count]]
        for position, node in enumerate(chosen):
            delay_ms = event.lasts * (position * SPREAD_STEPS // len(chosen)) / SPREAD_STEPS
            if event.what == "drain":
                self.simulator.after(delay_ms, self._drain, node)
            elif event.what == "slow":
                node.slowdown = event.times
                self.simulator.after(event.lasts, self._end_slowdown, node)
            else:
                self._silence(node, event.lasts)

    def _end_slowdown(self, node: CacheNode) -> None:
        node.slowdown = 1.0

    def _drain(self, node: CacheNode) -> None:
        """Announces the drain, removes the node afterwards and adds a cold replacement."""
        node.state = NodeStatus.DRAINING
        self.announce(node, State.DRAINING, self.day.fleet.told_ms)
        self.simulator.after(3_000.0, self._remove, node)
        self.simulator.after(2_500.0, self._replace, node)

    def _remove(self, node: CacheNode) -> None:
        node.stop(NodeStatus.GONE)
        self.announce(node, State.GONE, self.day.fleet.told_ms)

    def _replace(self, node: CacheNode) -> None:
        kind = self.day.fleet.kinds.index(node.kind)
        replacement = self._create_node(kind, node.zone, self.simulator.now)
        self.announce(replacement, State.READY, self.day.fleet.told_ms)

    def _silence(self, node: CacheNode, lasts: float) -> None:
        """Stops all answers of a node; discovery notices later, and a cold node replaces it in the end."""
        node.stop(NodeStatus.SILENT)
        self.announce(node, State.GONE, self.day.fleet.notice_ms)
        self.simulator.after(lasts, self._bring_back, node)

    def _bring_back(self, node: CacheNode) -> None:
        node.stop(NodeStatus.GONE)  # open connections are reset
        self._replace(node)

    # -- the run
    def simulate(self) -> Ledger:
        """Simulates the whole day and 3 s more for the last answers, and returns the ledger."""
        self.simulator.run(self.day.length)
        self.simulator.run(self.day.length + 3_000.0)
        for node in self.boxes.values():
            if node.overloaded_at is not None:
                self.ledger.report(
                    node.overloaded_at,
                    "fail-back",
                    f"node {node.number} was overloaded while cold: "
                    f"{node.peak_overload:.2f} times its limit",
                )
        for proxy in self.proxies:
            for active in proxy.active.values():
                if not active.finished:
                    self.ledger.report(self.simulator.now, "answer", f"{proxy.name} did not answer a request")
        return self.ledger
