"""State of the membership protocol at one instance, and helpers that its other parts share. No I/O."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from notchflow.cluster.actions import Action, Datagram, MembershipEvent
from notchflow.cluster.contacts import Contacts, Link
from notchflow.cluster.gossip import GossipQueue
from notchflow.cluster.messages import Message, Update, digest
from notchflow.cluster.model import Incarnation, Record, Settings, Standing, State
from notchflow.cluster.name_claim import NameClaim
from notchflow.cluster.probes import Probes
from notchflow.cluster.suspicion import LocalHealth, Suspicion
from notchflow.cluster.view import View


@dataclass(frozen=True, slots=True)
class Sender:
    """Name and incarnation of the sender of an authenticated message."""

    name: str
    incarnation: Incarnation


class LocalState:
    """State of the membership protocol at one instance."""

    def __init__(
        self,
        own_record: Record,
        roster: Iterable[str],
        settings: Settings,
        rng: random.Random,
        seeds: Sequence[str] = (),
    ) -> None:
        self.settings, self.rng = settings, rng
        self.name, self.address, self.version = own_record.name, own_record.address, own_record.version
        self.view = View(roster, own_record.name)
        self.roster_size = len(self.view.roster)
        self.others = [n for n in self.view.roster if n != self.name]
        self.roster_digest = digest("\n".join(self.view.roster))
        self.name_claim = NameClaim(own_record.incarnation, lambda: rng.getrandbits(62))
        self.seeds = [s for s in seeds if s != own_record.address]
        self.contacts = Contacts(self.name, self.view.roster, settings.contact_bound_ms(self.roster_size))
        self.probes = Probes(self.others, rng)
        self.gossip_queue = GossipQueue(settings.retransmit_factor)
        self.local_health = LocalHealth(settings.local_health_max)
        self.suspicions: dict[str, Suspicion] = {}
        self.left: frozenset[str] = frozenset()
        self.disagreements: dict[str, str] = {}  # value last reported by kind and subject
        self.links: dict[str, Link] = {}
        self.actions: list[Action] = []
        self.probe_at = self.join_at = self.join_timeout_at = self.flush_at = math.inf
        self.exchange_at = self.report_at = -math.inf  # not before these times
        self.next_timer_at = math.inf  # when `tick` is due; a later call means a stall
        self.reported_standing = Standing.ALONE
        self.slept_ms = self.started_at = 0.0

    @property
    def record(self) -> Record:
        """The record that this instance announces for itself."""
        known = self.view.get(self.name)
        if known is not None and known.incarnation == self.name_claim.incarnation:
            return known
        return Record(self.name, self.name_claim.incarnation, 0, State.ALIVE, self.address, self.version)

    def standing(self, now: float) -> Standing:
        """How much of the roster has answered this instance of late."""
        return self.contacts.standing(now, self.left)

    def accepts_requests(self) -> bool:
        """Whether this instance may accept requests under its name."""
        return self.name_claim.accepts_requests

    def present_count(self) -> int:
        """Number of members that are alive or suspect, including this instance."""
        return self.view.others_present + 1

    def next_due(self) -> float:
        """Computes when `tick` is due (ms); infinite where no timer is set."""
        self.next_timer_at = min(
            self.probe_at,
            self.join_at,
            self.join_timeout_at,
            self.flush_at,
            self.probes.next_due(),
            min((s.expires_at() for s in self.suspicions.values()), default=math.inf),
        )
        return self.next_timer_at

    def _take_actions(self, now: float) -> list[Action]:
        """Returns the pending actions and recomputes the next timer."""
        self.next_due()
        actions, self.actions = self.actions, []
        return actions

    def _gossip_for(self, name: str) -> tuple[Update, ...]:
        """Updates to piggyback on a message to a member. If that member is not held alive its own record goes
        first, so that it can refute it."""
        known = self.view.get(name)
        first = Update(known) if known is not None and known.state is not State.ALIVE else None
        return self.gossip_queue.take(self.present_count(), first)

    def _address(self, name: str) -> str:
        known = self.view.get(name)
        return known.address if known is not None else ""

    def _send(self, name: str, body: Message) -> None:
        self.actions.append(Datagram(name, self._address(name), body))

    def _reply(self, name: str, body: Message) -> None:
        self.actions.append(Datagram(name, self._address(name), body, reply_to_source=True))

    def _emit_event(self, what: str, subject: str = "", **more: object) -> None:
        self.actions.append(MembershipEvent(what, subject, dict(more)))

    def _report_disagreement(self, kind: str, subject: str, value: str = "", **more: str) -> None:
        """Emits an event for a disagreement, unless the same value was reported last."""
        key = f"{kind} {subject}"
        if self.disagreements.get(key, None) != value:
            self.disagreements[key] = value
            self._emit_event("disagree", subject, kind=kind, **more)

    def _check_roster(self, name: str, roster_digest: int) -> None:
        if roster_digest and roster_digest != self.roster_digest:
            self._report_disagreement("rosters", name, value=str(roster_digest))
        elif roster_digest:
            self.disagreements.pop(f"rosters {name}", None)

    def _check_address(self, record: Record) -> None:
        """Reports two present members with the same address: one instance with two names, or a configuration
        error."""
        if not record.address or not record.present:
            return
        for other in self.view:
            if other.address == record.address and other.present and other.name != record.name:
                self._report_disagreement(
                    "two-names", record.name, value=record.address, answers_as=other.name
                )
                return

    def _is_stale(self, sender: Sender) -> bool:
        """Whether a newer incarnation of the sender is known, or this incarnation has left."""
        known = self.view.get(sender.name)
        if sender.name == self.name:
            return sender.incarnation < self.name_claim.incarnation
        return known is not None and (
            sender.incarnation < known.incarnation
            or (sender.incarnation == known.incarnation and known.state is State.LEFT)
        )
