"""Deciders: the real policy and the baselines that it is compared with, behind one interface."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable
from typing import Protocol

from notchflow.interface import (
    Action,
    Event,
    Fail,
    ListKind,
    Member,
    Membership,
    Outcome,
    Refuse,
    Request,
    Send,
    Settings,
    State,
    Status,
)
from notchflow.policy.balancer import Balancer


class Decider(Protocol):
    """Decides for one proxy."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handles an event and returns the actions to perform."""
        ...


DeciderFactory = Callable[[Settings, int, float], Decider]


class BaselineDecider:
    """Base of the baselines: chooses one node for each attempt. No health, no pressure; retries only requests
    that never ran."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.rng = random.Random(seed)
        self.members: dict[int, Member] = {}
        self.in_flight: dict[int, int] = {}  # by node
        self.requests: dict[int, tuple[Request, int]] = {}
        self.max_attempts = settings.limits.max_attempts

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handles an event and returns the actions to perform."""
        if isinstance(event, Membership):
            if event.kind is ListKind.FULL or event.kind is ListKind.CACHED:
                self.members.clear()
            for member in event.members:
                self.members[member.node] = member
                if member.state is State.GONE:
                    del self.members[member.node]
        elif isinstance(event, Request):
            return self._send(event, 0)
        elif isinstance(event, Outcome):
            return self._handle_outcome(event)
        return []

    def _handle_outcome(self, event: Outcome) -> list[Action]:
        self.in_flight[event.node] = self.in_flight.get(event.node, 1) - 1
        pending = self.requests.get(event.id)
        if pending is None:
            return []
        request, attempts = pending
        if event.status is Status.OK or event.closed:
            self.requests.pop(event.id, None)
            return []
        if event.status.never_ran and attempts < self.max_attempts:
            return self._send(request, attempts)
        self.requests.pop(event.id, None)
        return [Refuse(event.id) if event.status.never_ran else Fail(event.id)]

    def _send(self, request: Request, attempts: int) -> list[Action]:
        ready = [m for m in self.members.values() if m.state is State.READY]
        if not ready:
            self.requests.pop(request.id, None)
            return [Refuse(request.id)]
        node = self.choose(request, ready, attempts).node
        self.requests[request.id] = request, attempts + 1
        self.in_flight[node] = self.in_flight.get(node, 0) + 1
        return [Send(request.id, node)]

    def choose(self, request: Request, ready: list[Member], attempts: int) -> Member:
        """Chooses a node for an attempt; `attempts` counts those already sent."""
        raise NotImplementedError


class RandomChoice(BaselineDecider):
    """A node chosen at random."""

    def choose(self, request: Request, ready: list[Member], attempts: int) -> Member:
        """Chooses uniformly at random."""
        return self.rng.choice(ready)


class LeastInFlight(BaselineDecider):
    """The node with the fewest requests in flight from this proxy."""

    def choose(self, request: Request, ready: list[Member], attempts: int) -> Member:
        """Chooses the least loaded node, ties at random."""
        return min(ready, key=lambda m: (self.in_flight.get(m.node, 0), self.rng.random()))


class TwoChoices(BaselineDecider):
    """Power of two choices (Mitzenmacher): the less loaded one of two nodes drawn at random."""

    def choose(self, request: Request, ready: list[Member], attempts: int) -> Member:
        """Chooses the less loaded one of two random nodes."""
        candidates = self.rng.sample(ready, min(2, len(ready)))
        return min(candidates, key=lambda m: self.in_flight.get(m.node, 0))


class Rendezvous(BaselineDecider):
    """Rendezvous hashing (highest random weight): the home of the key, and the next node for each retry."""

    def choose(self, request: Request, ready: list[Member], attempts: int) -> Member:
        """Chooses by the key's rendezvous order."""
        ranked = sorted(ready, key=lambda m: _rendezvous_weight(request.key or "", m.node), reverse=True)
        return ranked[min(attempts, len(ranked) - 1)]


def _rendezvous_weight(key: str, node: int) -> bytes:
    return hashlib.blake2b(f"{key}/{node}".encode(), digest_size=8).digest()


def create_balancer(settings: Settings, seed: int, now: float) -> Decider:
    """Creates the real policy."""
    return Balancer(settings, seed, now)


DECIDERS: dict[str, DeciderFactory] = {
    "notchflow": create_balancer,
    "random": RandomChoice,
    "least-in-flight": LeastInFlight,
    "two-choices": TwoChoices,
    "rendezvous": Rendezvous,
}
