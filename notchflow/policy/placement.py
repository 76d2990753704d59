"""Chooses the node for the next attempt of a request."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final

from notchflow.interface import Request
from notchflow.policy.fleet import LOAD_BOUND_MIN, Fleet
from notchflow.policy.health import is_healthy
from notchflow.policy.hot_keys import HotKeys
from notchflow.policy.nodes import Node, Throttle
from notchflow.policy.pending import Pending

IN_TIME_PRIOR: Final = 0.25  # requests; cold nodes are tried again after seconds without an answer in time


class Placement:
    """Chooses among a key's home, the next places of a hot key, and substitutes for unavailable nodes."""

    def __init__(self, rng: random.Random, fleet: Fleet, hot_keys: HotKeys, throttle: Throttle) -> None:
        self.rng, self.fleet, self.hot_keys, self.throttle = rng, fleet, hot_keys, throttle
        self.rotation = 0

    def candidates(self, now: float, request: Request) -> Iterable[Node]:
        """Returns nodes in order of preference."""
        fleet = self.fleet
        if request.key is None:
            pair = self.rng.sample(fleet.ready, min(2, len(fleet.ready)))
            return [*sorted(pair, key=lambda n: n.in_flight / max(n.weight, 1e-9)), *fleet.ready]
        order = fleet.order(request.key)
        if request.write and not fleet.cache_aside:
            # No cached copy serves a write, at home or elsewhere, so the least loaded node may take it.
            return sorted(order, key=lambda n: fleet.load_per_weight(n, now))
        width, _ = self.hot_keys.spread.get(request.key, (1, 0.0))
        if width < 2 or not self.hot_keys.factoring:
            return order
        order = fleet.full_order(request.key)
        warm = (n for n in order if fleet.warmth(n, now) >= 1.0 and is_healthy(n, now, request.cls))
        head = [node for _, node in zip(range(width), warm, strict=False)]
        if not head:
            return order
        self.rotation += 1
        first = self.rotation % len(head)
        return [*head[first:], *head[:first], *order]

    def pick(self, now: float, pending: Pending, rate: float) -> Node | None:
        """Returns the first candidate that is allowed, healthy and below its load bound, else the first
        allowed one.

        `rate` is this instance's requests per millisecond.
        """
        fleet, cls = self.fleet, pending.cls.name
        fallback: Node | None = None
        for node in self.candidates(now, pending.request):
            if not pending.allows(node, now):
                continue
            # The comparisons come first: most nodes are warm and idle, and the calls would double the cost.
            if is_healthy(node, now, cls) and (
                now >= node.cold_until or self._may_use_cold(node, now, pending.request.key, rate)
            ):
                if (
                    (node.in_flight < LOAD_BOUND_MIN or not fleet.over_load_bound(node))
                    and not self._diverted(node)
                    and not (fleet.many_instances and fleet.crowded(node, now, self.rng.random()))
                ):
                    return node
                fallback = fallback or node
        if fallback is not None:
            return fallback
        # No cached place is available. A cold node must not be overloaded even if there is no other.
        rest = [
            n
            for n in fleet.ready
            if pending.allows(n, now)
            and (now >= n.cold_until or self._may_use_cold(n, now, pending.request.key, rate))
        ]
        healthy = [n for n in rest if is_healthy(n, now, cls)]
        return min(healthy or rest, key=lambda n: (n.in_flight, n.id)) if rest else None

    def _may_use_cold(self, node: Node, now: float, key: str | None, rate: float) -> bool:
        """Whether a cold node may get a request.

        Of many instances, each has one request or none for the node, which a budget per instance cannot
        bound. A key whose home is the node is admitted in part if it exceeds the node's due traffic or if few
        requests are answered in time; a key with another home takes a token.
        """
        fleet, throttle = self.fleet, self.throttle
        # Share of recent requests answered in time; 1 if there were none.
        in_time = (throttle.accepts + IN_TIME_PRIOR) / (throttle.requests + IN_TIME_PRIOR)
        if not fleet.many_instances:
            return not fleet.cold_budget_spent(node, now, rate, in_time)
        if fleet.cold_budget_spent(node, now, rate):
            return False
        confidence = fleet.confidence(node)
        if key is None or fleet.order(key)[0] is not node:
            return fleet.has_cold_token(node, now, rate * in_time * confidence, self.rng.random())
        excess = max(self.hot_keys.topk.share(key) / fleet.share(node), 1.0)
        return self.rng.random() * excess <= min(fleet.cold_multiple * in_time, 1.0) * confidence

    def _diverted(self, node: Node) -> bool:
        """Whether a request skips a node that answers too few in time while the fleet as a whole does well.

        Nothing is diverted if the whole fleet is overloaded: that would only cost additional fetches.
        """
        if self.throttle.pressure() > 0 or self.rng.random() >= node.throttle.pressure():
            return False
        node.throttle.count(False)
        return True
