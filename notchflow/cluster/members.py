"""The core of membership: messages, timers and local facts in, actions out. Pure.

SWIM with Lifeguard's additions, and four departures that docs/design/cluster.md gives reasons for: probes go
over the whole roster in turn, the dead included, so that round trips give the standing and a healed link is
found; a suspected member is probed by others at once; whole views are exchanged when their digests differ;
a judge that slept counts nothing of its sleep.
"""

from __future__ import annotations

import math
from typing import Final

from notchflow.cluster.actions import Action, Exchange
from notchflow.cluster.contacts import Link
from notchflow.cluster.local_state import Sender
from notchflow.cluster.messages import (
    Ack,
    Ask,
    Denial,
    Gossip,
    Message,
    Nack,
    Ping,
    Sync,
    Update,
)
from notchflow.cluster.model import Record, Standing, State
from notchflow.cluster.name_claim import ClaimState
from notchflow.cluster.probes import Probe
from notchflow.cluster.updates import UpdateProcessor

LEAVE_TOLD: Final = 32  # members that are told of a leave directly
SEEDS_AT_ONCE: Final = 3
OTHER_ROSTER: Final = 20  # times longer between exchanges with those whose views can never be equal
ERRAND: Final = 0.8  # of a timeout: the word of one that could not help comes before the asker's judgement
LOOKS: Final = 20  # at links and standing in a contact bound


class Members(UpdateProcessor):
    """One instance's part in the fleet."""

    # -- events
    def start(self, now: float) -> list[Action]:
        """Begins: tells seeds of itself and asks what they know of it."""
        self.began = now
        self.view.put(now, self.record)
        self._tell("start", life=str(self.name_claim.incarnation))
        if not self.others:
            self._joined(now)
            return self._done(now)
        self.join_at, self.join_by = now, now + self.settings.join_ms
        self.probe_at = now + self.rng.random() * self.settings.probe_interval_ms(self.roster_size)
        return self.tick(now)

    def leave(self, now: float) -> list[Action]:
        """Tells the others, and is silent from now on."""
        if self.name_claim.state is ClaimState.LEFT:
            return []
        contested = self.name_claim.state is ClaimState.CONTESTED
        self.name_claim.state = ClaimState.LEFT
        self.probe_at = self.join_at = self.join_by = self.flush_at = math.inf
        self.probes.forget()
        self.suspicions.clear()
        if not contested:
            mine = self.record
            gone = Record(self.name, mine.incarnation, mine.revision, State.LEFT, self.address, self.version)
            self.view.put(now, gone)
            present = self.view.present()
            for name in self.rng.sample(present, min(LEAVE_TOLD, len(present))):
                self._send(name, Gossip((Update(gone),)))
        self._tell("leave")
        return self._done(now)

    def tick(self, now: float) -> list[Action]:
        """Whatever is due by now."""
        if self.name_claim.state is ClaimState.LEFT:
            return []
        self._awake(now)
        if now >= self.join_by:
            self.join_by = math.inf
            self._joined(now)
        if now >= self.join_at:
            self._call(now)
        self._judge(now)
        if now >= self.probe_at:
            self._probe_next(now)
        if now >= self.flush_at:
            self._flush()
        return self._done(now)

    def handle_message(self, now: float, sender: Sender, body: Message) -> list[Action]:
        """A message that was authentic and came for the first time."""
        if self.name_claim.state is ClaimState.LEFT:
            return []
        self._awake(now)
        if self._known(now, sender, body):
            self.contacts.heard(sender.name, now)
            match body:
                case Ping():
                    self._news(now, body.news)
                    self._compare(now, sender.name, body.view, body.roster)
                    news = self._news_for(sender.name)
                    self._reply(sender.name, Ack(body.number, self.view.digest, self.roster_digest, "", news))
                case Ack():
                    self._news(now, body.news)
                    self._acked(now, sender, body)
                    if not body.of:
                        self._compare(now, sender.name, body.view, body.roster)
                case Ask():
                    self._news(now, body.news)
                    self._errand(now, sender.name, body)
                case Nack():
                    if body.number in self.probes.out:
                        self.probes.out[body.number].nacks += 1
                case Gossip():
                    self._news(now, body.news)
                case Denial():
                    self._disagree("denied", sender.name, reason=body.reason)
                case Sync():
                    pass  # comes over TCP alone
        return self._done(now)

    def handle_sync(self, now: float, sender: Sender, body: Sync) -> tuple[Message | None, list[Action]]:
        """A whole view that came over TCP: the answer to write, and what else follows."""
        if self.name_claim.state is ClaimState.LEFT:
            return None, []
        self._awake(now)
        if sender.name not in self.view.names:
            self._disagree("stranger", sender.name)
            return Denial("not on the roster"), self._done(now)
        if sender.name == self.name and sender.incarnation == self.name_claim.incarnation:
            self._twin(now)
        older = self._outlived(sender)
        if older:
            self._disagree(
                "two-instances", sender.name, value=str(sender.incarnation), older=str(sender.incarnation)
            )
        else:
            self.contacts.heard(sender.name, now)
            self._rosters(sender.name, body.roster)
            self._records(now, body.records)
        return Sync(self._whole(), True, self.roster_digest), self._done(now)

    def handle_sync_reply(self, now: float, sender: Sender, body: Message) -> list[Action]:
        """What an exchange was answered with."""
        if self.name_claim.state is ClaimState.LEFT:
            return []
        self._awake(now)
        if isinstance(body, Denial):
            self._disagree("denied", sender.name, reason=body.reason)
        elif isinstance(body, Sync) and sender.name in self.view.names and not self._outlived(sender):
            self.contacts.heard(sender.name, now)
            self._rosters(sender.name, body.roster)
            self._records(now, body.records)
            if sender.name != self.name:
                self._joined(now)
        return self._done(now)

    # -- time
    def _awake(self, now: float) -> None:
        """Sleep is found at the first event after it, before any judgement: nobody is blamed for it."""
        late = now - self.next_timer_at
        if late < self.settings.stall_ms:
            return
        self.slept_ms += late
        for suspicion in self.suspicions.values():
            suspicion.since += late
        dropped = self.probes.forget()
        self.local_health.change(1 + int(late / self.settings.probe_timeout_ms))
        self.probe_at = min(self.probe_at, now) if self.probe_at < math.inf else self.probe_at
        self.next_timer_at = now
        self._tell("slept", ms=round(late), probes=dropped)

    # -- probing
    def _probe_next(self, now: float) -> None:
        self.probe_at = now + self.settings.probe_interval_ms(self.roster_size)
        if self.name_claim.state is ClaimState.CONTESTED:
            return  # others know this name by another life: they would not answer
        target = self.probes.round.next(self.left)
        if target is not None and not self.probes.out_for(target):
            self._probe(now, target)
        if now >= self.look_at:
            self._look(now)

    def _judge(self, now: float) -> None:
        for number, probe in list(self.probes.out.items()):
            if now >= probe.due:
                del self.probes.out[number]
                self._failed(now, probe)
            elif now >= probe.ask_at and not probe.asked:
                held = self.view.get(probe.target)
                if held is not None and held.present:
                    self._ask_others(number, probe)
                else:  # it was asked whether it is back; it is not
                    del self.probes.out[number]
        for number, errand in list(self.probes.errands.items()):
            if now >= errand.due:
                del self.probes.errands[number]
                self._send(errand.asker, Nack(errand.number))
        for name, suspicion in list(self.suspicions.items()):
            if now >= suspicion.due():
                del self.suspicions[name]
                record = suspicion.record
                self._learn(
                    now,
                    Update(
                        Record(
                            name,
                            record.incarnation,
                            record.revision,
                            State.DEAD,
                            record.address,
                            record.version,
                        )
                    ),
                )

    def _ask_others(self, number: int, probe: Probe) -> None:
        probe.asked = True
        able = [n for n in self.view.present() if n != probe.target and self.view.state(n) is State.ALIVE]
        for name in self.rng.sample(able, min(self.settings.helpers, len(able))):
            probe.helpers += 1
            self._send(name, Ask(number, probe.target, self._news_for(name)))

    def _failed(self, now: float, probe: Probe) -> None:
        """Neither answered this instance nor others in its place."""
        if probe.through:
            return
        self.local_health.change(1 if probe.helpers and probe.nacks < probe.helpers else 0)
        if not probe.helpers:
            self.local_health.change(1)
        held = self.view.get(probe.target)
        if held is None or not held.present or held.incarnation != probe.incarnation:
            return  # nobody, or another than was asked
        self._accuse(now, held)

    def _accuse(self, now: float, held: Record) -> None:
        suspect = Record(
            held.name, held.incarnation, held.revision, State.SUSPECT, held.address, held.version
        )
        self._learn(now, Update(suspect, self.name))

    def _errand(self, now: float, asker: str, body: Ask) -> None:
        if body.target not in self.contacts.by_name:
            return
        number = self.probes.errand(
            asker, body.number, body.target, now + ERRAND * self.settings.probe_timeout_ms
        )
        self._send(
            body.target, Ping(number, self.view.digest, self.roster_digest, self._news_for(body.target))
        )

    def _acked(self, now: float, sender: Sender, body: Ack) -> None:
        errand = self.probes.errands.get(body.number)
        if errand is not None and errand.target == sender.name:
            del self.probes.errands[body.number]
            self._send(errand.asker, Ack(errand.number, 0, self.roster_digest, sender.name))
            return
        probe = self.probes.out.get(body.number)
        if probe is None:
            return
        if body.of:  # somebody else has reached it
            if body.of == probe.target and not probe.through:
                probe.through = True
                self.contacts.through(probe.target, now)
            return
        if sender.name != probe.target:
            self._disagree("two-names", probe.target, answers_as=sender.name)
            return
        del self.probes.out[body.number]
        self.local_health.change(-1)
        self.contacts.acked(sender.name, probe.asked_at)
        self.disagreements.pop(f"two-names {sender.name}", None)
        self._joined(now)

    # -- news
    def _flush(self) -> None:
        self.flush_at = math.inf
        if not self.queue:
            return
        present = self.view.present()
        for name in self.rng.sample(present, min(self.settings.fanout, len(present))):
            news = self._news_for(name)
            if news:
                self._send(name, Gossip(news))

    # -- whole views
    def _whole(self) -> tuple[Record, ...]:
        return tuple(self.view)

    def _call(self, now: float) -> None:
        """Asks seeds, and where these give nothing members, for what they hold: at a start, and whenever
        nobody answers."""
        self.join_at = math.inf
        if self.name_claim.state is ClaimState.HOLDING and self.contacts.reached(now):
            return
        self.join_at = now + self.settings.retry_ms
        named = [n for n in self.others if n not in self.left]
        body = Sync(self._whole(), False, self.roster_digest)
        for seed in self.rng.sample(self.seeds, min(SEEDS_AT_ONCE, len(self.seeds))):
            self.actions.append(Exchange("", seed, body))
        for name in self.rng.sample(named, min(2, len(named))):
            self.actions.append(Exchange(name, self._address(name), body))

    def _compare(self, now: float, name: str, view: int, roster: int) -> None:
        self._rosters(name, roster)
        quiet = now - self.view.changed_at >= self.settings.quiet_ms
        if view == self.view.digest or not quiet or now < self.exchange_at:
            return
        wait = self.settings.quiet_ms * (1 if roster in (0, self.roster_digest) else OTHER_ROSTER)
        self.exchange_at = now + wait
        body = Sync(self._whole(), False, self.roster_digest)
        self.actions.append(Exchange(name, self._address(name), body))

    # -- disagreements
    def _known(self, now: float, sender: Sender, body: Message) -> bool:
        """Whether what a sender says is to be heeded; who is told otherwise learns why."""
        if sender.name not in self.view.names:
            self._disagree("stranger", sender.name)
            if not isinstance(body, Denial):
                self._reply(sender.name, Denial("not on the roster"))
            return False
        if sender.name == self.name:
            if sender.incarnation == self.name_claim.incarnation:
                self._twin(now)
            elif sender.incarnation > self.name_claim.incarnation:
                self._learn(now, Update(Record(self.name, sender.incarnation)))
            else:
                self._reply(self.name, Gossip((Update(self.record),)))
                self._disagree(
                    "two-instances", self.name, value=str(sender.incarnation), older=str(sender.incarnation)
                )
            return False
        if self._outlived(sender):
            held = self.view.get(sender.name)
            assert held is not None
            if held.present:
                self._disagree(
                    "two-instances",
                    sender.name,
                    value=str(sender.incarnation),
                    older=str(sender.incarnation),
                    newer=str(held.incarnation),
                )
            self._reply(sender.name, Gossip((Update(held),)))
            return False
        held = self.view.get(sender.name)
        if (
            held is None or sender.incarnation > held.incarnation
        ):  # its own record comes with its next news or exchange
            self._learn(now, Update(Record(sender.name, sender.incarnation)))
        return self.name_claim.state is not ClaimState.CONTESTED or isinstance(body, Gossip)

    def heeds(self, sender: Sender) -> bool:
        """Whether what a sender says beside membership is taken: from the present life of another member, by
        an instance that has its own name."""
        return (
            sender.name != self.name
            and sender.name in self.view.names
            and self.name_claim.accepts_requests
            and not self._outlived(sender)
        )

    def _look(self, now: float) -> None:
        """Tells of the standing, and of links that are other than the members' states say."""
        self.look_at = now + self.contacts.bound / LOOKS
        standing = self.standing(now)
        if standing is not self.was:
            self._tell("standing", standing=standing.value, before=self.was.value)
            self.was = standing
        if standing is Standing.ALONE and self.others and self.join_at == math.inf:
            self.join_at = now  # nobody answers: perhaps as another has this name, or all have moved
        if now < self.began + self.contacts.bound:
            return
        for name in self.others:
            held = self.view.get(name)
            link = self.contacts.link(name, now, held is not None and held.state is State.ALIVE)
            before = self.links.get(name, Link.WHOLE)
            if link is not before:
                self.links[name] = link
                self._tell("link", name, link=link.value, before=before.value)

    # -- small things
    def _joined(self, now: float) -> None:
        if self.name_claim.joined():
            self.join_by = math.inf
            self._spread(now, Update(self.record))
            self._tell("joined", members=self.present_count())
