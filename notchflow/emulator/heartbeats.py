"""What membership is compared with: every member tells every other that it is there; who is silent is dead.

No suspicion, no gossip: each judges by itself, at once. Pure, and driven like the real core.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from notchflow.cluster.actions import Action, Datagram, MembershipEvent
from notchflow.cluster.local_state import Sender
from notchflow.cluster.messages import Message, Nack
from notchflow.cluster.model import Incarnation

EVERY_MS: Final = 500.0
SILENT_MS: Final = 2_000.0  # four in a row that did not come


class Heartbeats:
    """One instance's part."""

    def __init__(self, name: str, life: Incarnation, roster: Sequence[str], rng: random.Random) -> None:
        self.name, self.life, self.rng = name, life, rng
        self.others = [n for n in roster if n != name]
        self.heard: dict[str, float] = {}
        self.dead: set[str] = set()
        self.next_timer_at = float("inf")
        self.beat = Nack(0)

    def start(self, now: float) -> list[Action]:
        self.next_timer_at = now + self.rng.random() * EVERY_MS
        self.heard = dict.fromkeys(self.others, now)
        return []

    def tick(self, now: float) -> list[Action]:
        self.next_timer_at = now + EVERY_MS
        actions: list[Action] = [Datagram(name, "", self.beat) for name in self.others]
        for name, at in self.heard.items():
            if now - at > SILENT_MS and name not in self.dead:
                self.dead.add(name)
                actions.append(MembershipEvent("dead", name))
        return actions

    def handle_message(self, now: float, sender: Sender, body: Message) -> list[Action]:
        self.heard[sender.name] = now
        if sender.name in self.dead:
            self.dead.discard(sender.name)
            return [MembershipEvent("alive", sender.name)]
        return []
