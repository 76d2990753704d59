"""Which server gets the next attempt of a request."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final

from notchflow.interface import Request
from notchflow.policy.fleet import BOUND_MIN, Fleet
from notchflow.policy.health import healthy
from notchflow.policy.hot_keys import HotKeys
from notchflow.policy.nodes import Node, Throttle
from notchflow.policy.pending import Pending

PRIOR: Final = 0.25  # requests: with none answered in time for seconds, cold servers are tried again


class Placement:
    """The home of a key, the next few of a hot one, and who stands in for a server that is unwell or full."""

    def __init__(self, rng: random.Random, fleet: Fleet, hot: HotKeys, throttle: Throttle) -> None:
        self.rng, self.fleet, self.hot_keys, self.throttle = rng, fleet, hot, throttle
        self.turn = 0

    def candidates(self, now: float, request: Request) -> Iterable[Node]:
        """Servers in the order in which they are asked."""
        fleet = self.fleet
        if request.key is None:
            pair = self.rng.sample(fleet.ready, min(2, len(fleet.ready)))
            return [*sorted(pair, key=lambda n: n.in_flight / max(n.weight, 1e-9)), *fleet.ready]
        order = fleet.order(request.key)
        if (
            request.write and not fleet.cache_aside
        ):  # no copy serves it, at home or elsewhere: the least busy may
            return sorted(order, key=lambda n: fleet.burden(n, now))
        width, _ = self.hot_keys.spread.get(request.key, (1, 0.0))
        if width < 2 or not self.hot_keys.factoring:
            return order
        order = fleet.all_places(request.key)
        warm = (n for n in order if fleet.warmth(n, now) >= 1.0 and healthy(n, now, request.cls))
        head = [node for _, node in zip(range(width), warm, strict=False)]
        if not head:
            return order
        self.turn += 1
        first = self.turn % len(head)
        return [*head[first:], *head[:first], *order]

    def pick(self, now: float, pending: Pending, rate: float) -> Node | None:
        """The first server in order that is allowed, healthy and under its bound; failing that, the first
        that is allowed. `rate`: own requests, a millisecond."""
        fleet, cls = self.fleet, pending.cls.name
        fallback: Node | None = None
        for node in self.candidates(now, pending.request):
            if not pending.allows(node, now):
                continue
            # That it is warm and idle, as is usual, is asked before the calls: they cost as much again.
            if healthy(node, now, cls) and (
                now >= node.cold_until or self._may_use_cold(node, now, pending.request.key, rate)
            ):
                if (
                    (node.in_flight < BOUND_MIN or not fleet.bounded(node))
                    and not self._held_back(node)
                    and not (fleet.many_instances and fleet.crowded(node, now, self.rng.random()))
                ):
                    return node
                fallback = fallback or node
        if fallback is not None:
            return fallback
        # The remembered places are out; no cold server is pushed over for want of another.
        rest = [
            n
            for n in fleet.ready
            if pending.allows(n, now)
            and (now >= n.cold_until or self._may_use_cold(n, now, pending.request.key, rate))
        ]
        well = [n for n in rest if healthy(n, now, cls)]
        return min(well or rest, key=lambda n: (n.in_flight, n.id)) if rest else None

    def _may_use_cold(self, node: Node, now: float, key: str | None, rate: float) -> bool:
        """Whether a cold server may have a request. Many balancers have one for it or none each, which no
        budget of one bounds. A key at home there comes in part where it brings more than the server's due or
        little is answered in time; one at home elsewhere takes a token."""
        fleet, throttle = self.fleet, self.throttle
        good = (throttle.good + PRIOR) / (throttle.asked + PRIOR)  # 1 where nothing was asked lately
        if not fleet.many_instances:
            return not fleet.cold_budget_spent(node, now, rate, good)
        if fleet.cold_budget_spent(node, now, rate):
            return False
        confidence = fleet.confidence(node)
        if key is None or fleet.order(key)[0] is not node:
            return fleet.spare(node, now, rate * good * confidence, self.rng.random())
        over_due = max(self.hot_keys.topk.share(key) / fleet.share(node), 1.0)
        return self.rng.random() * over_due <= min(fleet.cold_multiple * good, 1.0) * confidence

    def _held_back(self, node: Node) -> bool:
        """A server that answers too little in time while the fleet at large does well: part of its requests
        go to their next place. In trouble of the whole fleet nothing moves: that would only cost fetches."""
        if self.throttle.pressure() > 0 or self.rng.random() >= node.throttle.pressure():
            return False
        node.throttle.count(False)
        return True
