"""Probe order and pending probes. No I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from notchflow.cluster.model import NO_INCARNATION, Incarnation


@dataclass(slots=True)
class Probe:
    """A pending probe of one member: direct first, by ping-req from `indirect_at`, failed at `due_at`."""

    target: str
    incarnation: Incarnation  # of the target, as known when the probe was sent
    sent_at: float
    indirect_at: float
    due_at: float
    indirect_sent: bool = False  # ping-reqs were sent
    ping_reqs: int = 0  # members asked to probe
    nacks: int = 0
    reached_indirectly: bool = False  # another member got an ack


@dataclass(slots=True)
class RelayedProbe:
    """A probe made on behalf of another member (ping-req)."""

    requester: str
    number: int  # sequence number of the requester's probe
    target: str
    due_at: float


@dataclass(slots=True)
class ProbeOrder:
    """Round-robin order over the roster, shuffled after each round (SWIM, 4.3): two probes of a member are
    less than two rounds apart."""

    names: list[str]
    rng: random.Random
    queue: list[str] = field(default_factory=list)

    def next(self, left: frozenset[str]) -> str | None:
        """The next member to probe; None if all have left."""
        for _ in range(len(self.names) + 1):
            if not self.queue:
                self.queue = list(self.names)
                self.rng.shuffle(self.queue)
            if not self.queue:
                return None
            name = self.queue.pop()
            if name not in left:
                return name
        return None


class Probes:
    """Pending probes by sequence number, own and relayed."""

    def __init__(self, names: Iterable[str], rng: random.Random) -> None:
        self.order = ProbeOrder(list(names), rng)
        self.pending: dict[int, Probe] = {}
        self.relayed: dict[int, RelayedProbe] = {}
        self.number = rng.getrandbits(32)

    def begin(
        self, target: str, incarnation: Incarnation | None, now: float, timeout_ms: float, due_at: float
    ) -> int:
        """Registers a probe; returns its sequence number."""
        self.number += 1
        self.pending[self.number] = Probe(
            target, incarnation or NO_INCARNATION, now, now + timeout_ms, due_at
        )
        return self.number

    def begin_relayed(self, requester: str, number: int, target: str, due_at: float) -> int:
        """Registers a probe on behalf of `requester`; returns its own sequence number."""
        self.number += 1
        self.relayed[self.number] = RelayedProbe(requester, number, target, due_at)
        return self.number

    def is_pending(self, target: str) -> bool:
        """Whether a probe of this member is pending."""
        return any(probe.target == target for probe in self.pending.values())

    def next_due(self) -> float:
        """When the next probe times out or becomes indirect (ms); infinite without probes."""
        dues = [p.due_at if p.indirect_sent else min(p.indirect_at, p.due_at) for p in self.pending.values()]
        dues += [r.due_at for r in self.relayed.values()]
        return min(dues, default=float("inf"))

    def cancel_all(self) -> int:
        """Drops all probes without a result; returns how many own probes were pending."""
        count = len(self.pending)
        self.pending.clear()
        self.relayed.clear()
        return count
