"""What one instance holds of its fleet, and the small things that all of its parts do with it. Pure."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from notchflow.cluster.actions import Action, Datagram, MembershipEvent
from notchflow.cluster.contacts import Contacts, Link
from notchflow.cluster.gossip import Queue
from notchflow.cluster.messages import Message, Update, digest
from notchflow.cluster.model import Incarnation, Record, Settings, Standing, State
from notchflow.cluster.name_claim import NameClaim
from notchflow.cluster.probes import Probes
from notchflow.cluster.suspicion import LocalHealth, Suspicion
from notchflow.cluster.view import View


@dataclass(frozen=True, slots=True)
class Sender:
    """Who a message says it is from; its authentication code held."""

    name: str
    incarnation: Incarnation


class LocalState:
    """One instance's state, its own record, and disagreements told once."""

    def __init__(
        self,
        me: Record,
        roster: Iterable[str],
        settings: Settings,
        rng: random.Random,
        seeds: Sequence[str] = (),
    ) -> None:
        self.settings, self.rng = settings, rng
        self.name, self.address, self.version = me.name, me.address, me.version
        self.view = View(roster, me.name)
        self.roster_size = len(self.view.roster)
        self.others = [n for n in self.view.roster if n != self.name]
        self.roster_digest = digest("\n".join(self.view.roster))
        self.name_claim = NameClaim(me.incarnation, lambda: rng.getrandbits(62))
        self.seeds = [s for s in seeds if s != me.address]
        self.contacts = Contacts(self.name, self.view.roster, settings.contact_bound_ms(self.roster_size))
        self.probes = Probes(self.others, rng)
        self.queue = Queue(settings.repeats)
        self.local_health = LocalHealth(settings.local_health_max)
        self.suspicions: dict[str, Suspicion] = {}
        self.left: frozenset[str] = frozenset()
        self.disagreements: dict[str, str] = {}  # disagreements by subject, each told once
        self.links: dict[str, Link] = {}
        self.actions: list[Action] = []
        self.probe_at = self.join_at = self.join_by = self.flush_at = math.inf
        self.exchange_at = self.look_at = -math.inf  # none before this
        self.next_timer_at = math.inf  # when the next timer should have fired
        self.was = Standing.ALONE
        self.slept_ms = self.began = 0.0

    @property
    def record(self) -> Record:
        """What this instance says of itself."""
        held = self.view.get(self.name)
        if held is not None and held.incarnation == self.name_claim.incarnation:
            return held
        return Record(self.name, self.name_claim.incarnation, 0, State.ALIVE, self.address, self.version)

    def standing(self, now: float) -> Standing:
        return self.contacts.standing(now, self.left)

    def accepts_requests(self) -> bool:
        """Whether this instance may take requests under its name."""
        return self.name_claim.accepts_requests

    def present_count(self) -> int:
        """Members that are held alive, this one counted."""
        return self.view.count + 1

    def next_due(self) -> float:
        """When `tick` is due."""
        self.next_timer_at = min(
            self.probe_at,
            self.join_at,
            self.join_by,
            self.flush_at,
            self.probes.next_due(),
            min((s.due() for s in self.suspicions.values()), default=math.inf),
        )
        return self.next_timer_at

    def _done(self, now: float) -> list[Action]:
        """Hands out what is to be done."""
        self.next_due()
        actions, self.actions = self.actions, []
        return actions

    def _news_for(self, name: str) -> tuple[Update, ...]:
        """What goes along to a member; first of all, what is held of itself where that is not alive, or where
        this instance knows none."""
        held = self.view.get(name)
        first = Update(held) if held is not None and held.state is not State.ALIVE else None
        return self.queue.take(self.present_count(), first)

    def _address(self, name: str) -> str:
        held = self.view.get(name)
        return held.address if held is not None else ""

    def _send(self, name: str, body: Message) -> None:
        self.actions.append(Datagram(name, self._address(name), body))

    def _reply(self, name: str, body: Message) -> None:
        self.actions.append(Datagram(name, self._address(name), body, back=True))

    def _tell(self, what: str, subject: str = "", **more: object) -> None:
        self.actions.append(MembershipEvent(what, subject, dict(more)))

    def _disagree(self, kind: str, subject: str, value: str = "", **more: str) -> None:
        """Told once, until it is over or another."""
        key = f"{kind} {subject}"
        if self.disagreements.get(key, None) != value:
            self.disagreements[key] = value
            self._tell("disagree", subject, kind=kind, **more)

    def _rosters(self, name: str, theirs: int) -> None:
        if theirs and theirs != self.roster_digest:
            self._disagree("rosters", name, value=str(theirs))
        elif theirs:
            self.disagreements.pop(f"rosters {name}", None)

    def _same_address(self, record: Record) -> None:
        """Two names at one address are two names for one instance, or a mistake in a file."""
        if not record.address or not record.present:
            return
        for other in self.view:
            if other.address == record.address and other.present and other.name != record.name:
                self._disagree("two-names", record.name, value=record.address, answers_as=other.name)
                return

    def _outlived(self, sender: Sender) -> bool:
        """Whether a later life of the sender is known, or this one has left."""
        held = self.view.get(sender.name)
        if sender.name == self.name:
            return sender.incarnation < self.name_claim.incarnation
        return held is not None and (
            sender.incarnation < held.incarnation
            or (sender.incarnation == held.incarnation and held.state is State.LEFT)
        )
