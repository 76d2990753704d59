"""Baseline that membership is compared with: all-to-all heartbeats, and a member that is silent is dead.

No suspicion and no gossip: each member decides alone and at once. Sans-I/O, driven like the real core.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from notchflow.cluster.actions import Action, Datagram, MembershipEvent
from notchflow.cluster.local_state import Sender
from notchflow.cluster.messages import Message, Nack
from notchflow.cluster.model import Incarnation

INTERVAL_MS: Final = 500.0
TIMEOUT_MS: Final = 2_000.0  # four missed heartbeats


class Heartbeats:
    """The heartbeat core of one instance."""

    def __init__(
        self, name: str, incarnation: Incarnation, roster: Sequence[str], rng: random.Random
    ) -> None:
        self.name, self.incarnation, self.rng = name, incarnation, rng
        self.others = [n for n in roster if n != name]
        self.last_heard_at: dict[str, float] = {}
        self.dead: set[str] = set()
        self.next_timer_at = float("inf")
        self.heartbeat = Nack(0)

    def start(self, now: float) -> list[Action]:
        """Starts the timer at a random phase."""
        self.next_timer_at = now + self.rng.random() * INTERVAL_MS
        self.last_heard_at = dict.fromkeys(self.others, now)
        return []

    def tick(self, now: float) -> list[Action]:
        """Sends heartbeats and declares silent members dead."""
        self.next_timer_at = now + INTERVAL_MS
        actions: list[Action] = [Datagram(name, "", self.heartbeat) for name in self.others]
        for name, last_heard_at in self.last_heard_at.items():
            if now - last_heard_at > TIMEOUT_MS and name not in self.dead:
                self.dead.add(name)
                actions.append(MembershipEvent("dead", name))
        return actions

    def handle_message(self, now: float, sender: Sender, body: Message) -> list[Action]:
        """Records a heartbeat; a dead member that sends again is alive."""
        self.last_heard_at[sender.name] = now
        if sender.name in self.dead:
            self.dead.discard(sender.name)
            return [MembershipEvent("alive", sender.name)]
        return []
