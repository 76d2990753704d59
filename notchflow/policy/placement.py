"""Which server gets the next attempt of a request."""

from __future__ import annotations

import random
from collections.abc import Iterable

from notchflow.interface import Request
from notchflow.policy.fleet import BOUND_MIN, Fleet
from notchflow.policy.health import healthy
from notchflow.policy.hot_keys import HotKeys
from notchflow.policy.nodes import Node, Throttle
from notchflow.policy.pending import Pending


class Placement:
    """The home of a key, the next few of a hot one, and who stands in for a server that is unwell or full."""

    def __init__(self, rng: random.Random, fleet: Fleet, hot: HotKeys, throttle: Throttle) -> None:
        self.rng, self.fleet, self.hot, self.throttle = rng, fleet, hot, throttle
        self.turn = 0

    def candidates(self, now: float, request: Request) -> Iterable[Node]:
        """Servers in the order in which they are asked."""
        fleet = self.fleet
        if request.key is None:
            pair = self.rng.sample(fleet.ready, min(2, len(fleet.ready)))
            return [*sorted(pair, key=lambda n: n.in_flight / max(n.weight, 1e-9)), *fleet.ready]
        order = fleet.order(request.key)
        if request.write and not fleet.aside:  # no copy serves it, at home or elsewhere: the least busy may
            return sorted(order, key=lambda n: fleet.burden(n, now))
        if not self.hot.factoring:
            return order
        width, _ = self.hot.spread.get(request.key, (1, 0.0))
        if width < 2:
            return order
        order = fleet.all_places(request.key)
        head: list[Node] = []
        for node in order:
            if fleet.warmth(node, now) >= 1.0 and healthy(node, now, request.cls):
                head.append(node)
                if len(head) == width:
                    break
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
            if healthy(node, now, cls) and (now >= node.cold_until
                                            or self._may_warm(node, now, pending.request.key, rate)):
                if ((node.in_flight < BOUND_MIN or not fleet.bounded(node)) and not self._held_back(node)
                        and not (fleet.many and fleet.crowded(node, now, self.rng.random()))):
                    return node
                fallback = fallback or node
        if fallback is not None:
            return fallback
        # The remembered places are out; no cold server is pushed over for want of another.
        rest = [n for n in fleet.ready if pending.allows(n, now) and not fleet.overspent(n, now, rate)]
        well = [n for n in rest if healthy(n, now, cls)]
        return min(well or rest, key=lambda n: (n.in_flight, n.id)) if rest else None

    def _may_warm(self, node: Node, now: float, key: str | None, rate: float) -> bool:
        """Whether a cold server may have a request. Budgets of many balancers do not keep one key off it, as
        each has one of its requests or none: one that brings more than the server's due goes there in
        part."""
        if self.fleet.overspent(node, now, rate):
            return False
        if key is None or not self.fleet.many:
            return True
        return self.rng.random() * self.hot.topk.share(key) <= self.fleet.share(node)

    def _held_back(self, node: Node) -> bool:
        """A server that answers too little in time while the fleet at large does well: part of its requests
        go to their next place. In trouble of the whole fleet nothing moves: that would only cost fetches."""
        if self.throttle.pressure() > 0 or self.rng.random() >= node.throttle.pressure():
            return False
        node.throttle.count(False)
        return True
