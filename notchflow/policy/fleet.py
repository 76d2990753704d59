"""The servers: who is ready, warm-up, what each has in hand, and what their answers tell."""

from __future__ import annotations

import math
from typing import Final

from notchflow.interface import ListKind, Member, Membership, Outcome, RequestClass, Settings, State
from notchflow.policy.health import failed, listen
from notchflow.policy.instance_count import many
from notchflow.policy.kinds import Beliefs, Steps, select_estimator
from notchflow.policy.nodes import (
    ANSWERED,
    CONNECT_FAILED,
    EJECT_MS,
    FULL,
    OK,
    READY,
    RESET,
    TIMEOUT,
    Node,
)
from notchflow.policy.rendezvous import Order

BOUND: Final = 1.6
BOUND_MIN: Final = 4.0  # in flight below which the bound never acts
SLOW_GAIN: Final = 0.5  # weight of one answer in how slow a server is held to be
SLOW_MS: Final = 3_000.0  # after which most of that is forgotten: who is left alone recovers unseen
SLOW_POWER: Final = 2.0  # of how far a server is over the bound: what goes on shrinks faster than it grows
WARM_STEP_MS: Final = 500.0  # a cold server's weight is raised this often
LEARN_MS: Final = 1_000.0  # a kind's weight is corrected this often
SMOOTH: Final = 0.05  # weight of one answer in a mean of latencies
REFUSED_RATIO: Final = 5.0
COLD_SLACK: Final = 0.5  # of the stated multiple: what one instance may send a cold server over its due
COLD_BURST: Final = 2.0  # requests that a cold server may always get within the span
COLD_DEVIATIONS: Final = 2.0  # that a cold server bears over the stated multiple
COLD_CARRIED: Final = 2.0  # of the stated multiple, counted in answers in time: what many send it


class Fleet:
    """The servers, their order for each key, warm-up, load and health."""

    def __init__(self, settings: Settings, began_at: float = -math.inf) -> None:
        self.began_at = began_at  # this life of the instance
        self.kinds: Steps | Beliefs = Steps()
        self.state(settings)
        self.nodes: dict[int, Node] = {}
        self.ready: list[Node] = []
        self.origin: Node | None = None
        self.ordered = Order()
        self.order, self.all_places = self.ordered.head, self.ordered.all_places  # asked with every request
        self.class_latency_ms: dict[str, float] = {}
        self.several_kinds = False  # among the servers that are ready
        self.in_flight = 0
        self.latency = 0.0  # usual, of all classes
        self.usual = 1.0  # slowness of the servers at large
        self.cold_until = 0.0
        self.warmed_at = self.learned_at = -math.inf

    def state(self, settings: Settings) -> None:
        """The settings state other figures."""
        self.settings = settings
        self.cache_aside = settings.origin_kind is not None
        self.many_instances = many(settings.balancers)
        self.kinds = select_estimator(self.many_instances, self.kinds)
        self.cold_multiple = COLD_CARRIED * settings.rules.overload_factor

    # -- the list
    def update(self, now: float, event: Membership) -> None:
        """Takes over a list or changes to it. A cached list may be stale, but it is all there is."""
        if event.kind is ListKind.FAILED:
            return
        if event.kind is not ListKind.DELTA:
            named = {m.node for m in event.members}
            for node in self.nodes.values():
                if node.id not in named:
                    node.member = Member(node.id, State.GONE, node.member.kind, node.member.zone)
        for member in event.members:
            known = self.nodes.get(member.node)
            if known is None:
                self.nodes[member.node] = Node(member)
            elif member.ready_at_ms > known.member.ready_at_ms and member.state is READY:
                known.restart(member)
            else:
                known.member = member
        # Ids are ever new where machines are replaced: what is gone is forgotten once nothing is out there.
        self.nodes = {i: n for i, n in self.nodes.items() if n.in_flight or n.member.state is not State.GONE}
        kind = self.settings.origin_kind
        live = [n for n in self.nodes.values() if n.member.state is READY]
        self.origin = next((n for n in live if n.member.kind == kind), None) if kind is not None else None
        self.ready = sorted((n for n in live if kind is None or n.member.kind != kind), key=lambda n: n.id)
        self.several_kinds = len({n.member.kind for n in self.ready}) > 1
        cold_ms = self.settings.rules.cold_ms
        for node in self.nodes.values():
            started = node.member.ready_at_ms
            node.cold_until = started + cold_ms if started > 0 and cold_ms > 0 else -math.inf
        self.cold_until = max((n.cold_until for n in self.ready), default=-math.inf)
        self.reweigh(now)

    def cold(self, node: Node, now: float) -> bool:
        """Whether it started less than the stated warm-up ago."""
        return now < node.cold_until

    def warmth(self, node: Node, now: float) -> float:
        """The share of its capacity that a server has for certain, by the stated warm-up."""
        rules, started = self.settings.rules, node.member.ready_at_ms
        if not self.cold(node, now):
            return 1.0
        return rules.cold_share + (1 - rules.cold_share) * max(0.0, now - started) / rules.cold_ms

    def reweigh(self, now: float) -> None:
        self.warmed_at = now
        for node in self.ready:
            kind = self.kinds.weights.get(node.member.kind, 1.0)
            node.weight = max(node.member.size, 1e-6) * kind * self.warmth(node, now)
        self.ordered.lay_out(self.ready)

    def tick(self, now: float) -> None:
        """Warms up cold servers and corrects the weights of kinds."""
        for node in self.ready:
            node.throttle.fade()
        if self.many_instances and self.ready:
            slows = sorted(self._faded(n, now) for n in self.ready)
            self.usual = max(1.0, slows[(len(slows) - 1) // 2])
        if now >= self.learned_at + LEARN_MS:
            self.learned_at = now
            if self.kinds.update_weights(now):
                self.reweigh(now)
        if self.warmed_at < self.cold_until and now >= self.warmed_at + WARM_STEP_MS:
            self.reweigh(now)

    def share(self, node: Node) -> float:
        """The part of all traffic that is due to a server."""
        total = self.ordered.total_weight
        return node.weight / total if total > 0 else 1.0

    def confidence(self, node: Node) -> float:
        """The part of its weight that a server may be trusted with: kinds have to be learned."""
        if self.several_kinds and isinstance(self.kinds, Beliefs):
            return self.kinds.confidence(node.member.kind)
        return 1.0

    def bounded(self, node: Node) -> bool:
        """At its load bound: far over its due part of what this instance has in flight."""
        return node.in_flight >= BOUND_MIN and node.in_flight > BOUND * self.in_flight * self.share(node) + 1

    def _slow(self, now: float, node: Node, ratio: float) -> None:
        """Counts how slow an answer was, as a multiple of what is usual for its class."""
        slow = self._faded(node, now)
        node.slow, node.slow_at = slow + SLOW_GAIN * (ratio - slow), now

    def _faded(self, node: Node, now: float) -> float:
        """How slow a server was by its answers, as far as that still counts."""
        return 1 + (node.slow - 1) * math.exp((node.slow_at - now) / SLOW_MS)

    def slowness(self, node: Node, now: float) -> float:
        """How slow a server is, as a multiple of the fleet. By Little's law that is also what all balancers
        together have in flight there, as a multiple of what is due to it."""
        slow = self._faded(node, now)
        if node.outstanding and self.latency:
            slow = max(slow, (now - next(iter(node.outstanding.values()))) / self.latency)
        return slow

    def burden(self, node: Node, now: float) -> float:
        """What a server has in hand for what it can do. One of many balancers has nothing in flight at most:
        by its own counts alone each of them would choose the largest, whatever that suffers from."""
        load = (node.in_flight + 1) / max(node.weight, 1e-9)
        return load * self.slowness(node, now) if self.many_instances else load

    def crowded(self, node: Node, now: float, draw: float) -> bool:
        """The load bound where many balancers each have too little in flight to see it. A part goes there all
        the same: all act on the same signs, and would else leave and come back together."""
        slow = self.slowness(node, now) / self.usual
        return slow > BOUND and draw >= (BOUND / slow) ** SLOW_POWER

    def cold_budget_spent(self, node: Node, now: float, rate: float, good: float = 1.0) -> bool:
        """A cold server whose budget with this instance is spent, or may be from the life before this one.
        `good`: the part of what is asked for that is answered in time; a budget follows it in a jam."""
        if not self.cold(node, now):
            return False
        rules, sent = self.settings.rules, node.cold_sent
        while sent and sent[0] <= now - rules.fall_ms:
            sent.popleft()
        due = rate * rules.fall_ms * self.share(node)
        forgotten = node.member.ready_at_ms <= self.began_at and now < self.began_at + rules.fall_ms
        return forgotten or len(sent) >= max(COLD_BURST, min(COLD_SLACK, good) * rules.overload_factor * due)

    def spare(self, node: Node, now: float, carried: float, draw: float) -> bool:
        """Whether a cold server may have a request that is at home elsewhere: a token bucket, emptied by all
        sends, filled with this balancer's part of what it bears. `carried`: answers in time a millisecond."""
        span, balancers = self.settings.rules.fall_ms, self.settings.balancers
        mean = self.cold_multiple * carried * span * self.share(node)
        allowed = mean + COLD_DEVIATIONS * (math.sqrt(mean / balancers) + 1 / balancers)
        most = max(1.0, allowed)
        level = node.tokens + allowed * (now - node.refilled_at) / span
        node.tokens = min(level, most) if node.refilled_at > -math.inf else draw * most
        node.refilled_at = now
        return node.tokens >= 1

    # -- what was seen
    def sent(self, node: Node, now: float, cls: str, attempt: tuple[int, int]) -> None:
        node.outstanding[attempt] = now
        if cls in node.mutes:
            node.mutes[cls].out += 1
        node.in_flight += 1
        self.in_flight += 1
        if now < node.cold_until:
            node.cold_sent.append(now)
            node.tokens = max(node.tokens - 1, -COLD_BURST)

    def ended(self, now: float, node: Node, outcome: Outcome, cls: RequestClass) -> None:
        """An attempt ended: latencies and health follow from it."""
        node.outstanding.pop((outcome.id, outcome.attempt), None)
        node.in_flight = max(0, node.in_flight - 1)
        self.in_flight = max(0, self.in_flight - 1)
        status = outcome.status
        if status is not OK or node.mutes:
            listen(now, node, outcome, cls, self.class_latency_ms.get(cls.name, math.inf), self.ready)
        if status in ANSWERED:
            node.answered_at = now  # whatever it says, it is alive
            if now - outcome.latency_ms > node.newest:
                node.newest = now - outcome.latency_ms
            node.failures, node.ejected_until, node.pause, node.trial = 0, 0.0, EJECT_MS, False
        elif status is CONNECT_FAILED or (
            status in (TIMEOUT, RESET) and node.answered_at < now - outcome.latency_ms
        ):
            failed(now, node, status is CONNECT_FAILED, self.ready)
        ratio = 0.0
        if status is OK and outcome.hit is not False:
            took = outcome.latency_ms
            mean = self.class_latency_ms.get(cls.name, took)
            self.class_latency_ms[cls.name] = mean + SMOOTH * (took - mean)
            self.latency += SMOOTH * (took - self.latency) if self.latency else took
            ratio = min(took / (mean if mean > 0.1 else 0.1), REFUSED_RATIO)
        elif status in (FULL, TIMEOUT):  # else a kind that answers little in time seems fast
            ratio = REFUSED_RATIO
        if ratio:
            if self.many_instances:
                self._slow(now, node, ratio)
            self.kinds.add_answer(node.member.kind, ratio, now - outcome.latency_ms)
