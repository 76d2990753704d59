"""Membership protocol: turns messages and timer events into actions. No I/O.

SWIM with Lifeguard's additions, and four deviations (reasons: docs/design/cluster.md): probes cycle through
the whole roster including dead members, so that round trips determine the standing and a healed link is
noticed; other members probe a suspect immediately; full views are exchanged when their digests differ; time
during which this instance was stalled does not count against anybody.
"""

from __future__ import annotations

import math
from typing import Final

from notchflow.cluster.actions import Action, Exchange
from notchflow.cluster.contacts import Link
from notchflow.cluster.local_state import Sender
from notchflow.cluster.messages import (
    Ack,
    Denial,
    Gossip,
    Message,
    Nack,
    Ping,
    PingReq,
    Sync,
    Update,
)
from notchflow.cluster.model import Record, Standing, State
from notchflow.cluster.name_claim import ClaimState
from notchflow.cluster.probes import Probe
from notchflow.cluster.updates import UpdateProcessor

LEAVE_NOTIFIED_MAX: Final = 32  # members that are notified of a leave directly
SEEDS_PER_ATTEMPT: Final = 3  # seeds that are contacted at a time
# Factor on the interval between exchanges with a member of another roster: such views never become equal.
ROSTER_MISMATCH_BACKOFF: Final = 20
# Share of the probe timeout; below 1 so that a nack arrives before the requester's own probe fails.
RELAYED_TIMEOUT_SHARE: Final = 0.8
REPORTS_PER_CONTACT_BOUND: Final = 20  # checks of links and standing


class Members(UpdateProcessor):
    """The membership protocol of one instance."""

    # -- events
    def start(self, now: float) -> list[Action]:
        """Starts the protocol: announces this instance to seeds and requests their views."""
        self.started_at = now
        self.view.put(now, self.record)
        self._emit_event("start", life=str(self.name_claim.incarnation))
        if not self.others:
            self._complete_join(now)
            return self._take_actions(now)
        self.join_at, self.join_timeout_at = now, now + self.settings.join_timeout_ms
        self.probe_at = now + self.rng.random() * self.settings.probe_interval_ms(self.roster_size)
        return self.tick(now)

    def leave(self, now: float) -> list[Action]:
        """Announces the leave to other members; nothing is sent afterwards."""
        if self.name_claim.state is ClaimState.LEFT:
            return []
        contested = self.name_claim.state is ClaimState.CONTESTED
        self.name_claim.state = ClaimState.LEFT
        self.probe_at = self.join_at = self.join_timeout_at = self.flush_at = math.inf
        self.probes.cancel_all()
        self.suspicions.clear()
        if not contested:
            own = self.record
            departed = Record(
                self.name, own.incarnation, own.revision, State.LEFT, self.address, self.version
            )
            self.view.put(now, departed)
            present = self.view.present()
            for name in self.rng.sample(present, min(LEAVE_NOTIFIED_MAX, len(present))):
                self._send(name, Gossip((Update(departed),)))
        self._emit_event("leave")
        return self._take_actions(now)

    def tick(self, now: float) -> list[Action]:
        """Runs every timer that is due."""
        if self.name_claim.state is ClaimState.LEFT:
            return []
        self._detect_stall(now)
        if now >= self.join_timeout_at:
            self.join_timeout_at = math.inf
            self._complete_join(now)
        if now >= self.join_at:
            self._contact_seeds(now)
        self._check_timeouts(now)
        if now >= self.probe_at:
            self._probe_next(now)
        if now >= self.flush_at:
            self._flush_gossip()
        return self._take_actions(now)

    def handle_message(self, now: float, sender: Sender, body: Message) -> list[Action]:
        """Handles an authenticated message that is not a replay."""
        if self.name_claim.state is ClaimState.LEFT:
            return []
        self._detect_stall(now)
        if self._check_sender(now, sender, body):
            self.contacts.record_heard(sender.name, now)
            match body:
                case Ping():
                    self._apply_updates(now, body.updates)
                    self._compare_views(now, sender.name, body.view_digest, body.roster_digest)
                    updates = self._gossip_for(sender.name)
                    self._reply(
                        sender.name, Ack(body.number, self.view.digest, self.roster_digest, "", updates)
                    )
                case Ack():
                    self._apply_updates(now, body.updates)
                    self._handle_ack(now, sender, body)
                    if not body.target:
                        self._compare_views(now, sender.name, body.view_digest, body.roster_digest)
                case PingReq():
                    self._apply_updates(now, body.updates)
                    self._handle_ping_req(now, sender.name, body)
                case Nack():
                    if body.number in self.probes.pending:
                        self.probes.pending[body.number].nacks += 1
                case Gossip():
                    self._apply_updates(now, body.updates)
                case Denial():
                    self._report_disagreement("denied", sender.name, reason=body.reason)
                case Sync():
                    pass  # only sent over TCP
        return self._take_actions(now)

    def handle_sync(self, now: float, sender: Sender, body: Sync) -> tuple[Message | None, list[Action]]:
        """Handles a full view received over TCP; returns the reply to send and further actions."""
        if self.name_claim.state is ClaimState.LEFT:
            return None, []
        self._detect_stall(now)
        if sender.name not in self.view.names:
            self._report_disagreement("stranger", sender.name)
            return Denial("not on the roster"), self._take_actions(now)
        if sender.name == self.name and sender.incarnation == self.name_claim.incarnation:
            self._handle_duplicate_incarnation(now)
        stale = self._is_stale(sender)
        if stale:
            self._report_disagreement(
                "two-instances", sender.name, value=str(sender.incarnation), older=str(sender.incarnation)
            )
        else:
            self.contacts.record_heard(sender.name, now)
            self._check_roster(sender.name, body.roster_digest)
            self._apply_records(now, body.records)
        return Sync(self._full_view(), True, self.roster_digest), self._take_actions(now)

    def handle_sync_reply(self, now: float, sender: Sender, body: Message) -> list[Action]:
        """Handles the reply to an exchange that this instance started."""
        if self.name_claim.state is ClaimState.LEFT:
            return []
        self._detect_stall(now)
        if isinstance(body, Denial):
            self._report_disagreement("denied", sender.name, reason=body.reason)
        elif isinstance(body, Sync) and sender.name in self.view.names and not self._is_stale(sender):
            self.contacts.record_heard(sender.name, now)
            self._check_roster(sender.name, body.roster_digest)
            self._apply_records(now, body.records)
            if sender.name != self.name:
                self._complete_join(now)
        return self._take_actions(now)

    # -- time
    def _detect_stall(self, now: float) -> None:
        """Detects that this process was stalled, by a timer that is overdue.

        Runs at the first event after the stall and before any timeout is evaluated, so that no member is
        suspected or declared dead because of it.
        """
        late = now - self.next_timer_at
        if late < self.settings.stall_ms:
            return
        self.slept_ms += late
        for suspicion in self.suspicions.values():
            suspicion.started_at += late
        dropped = self.probes.cancel_all()
        self.local_health.adjust(1 + int(late / self.settings.probe_timeout_ms))
        self.probe_at = min(self.probe_at, now) if self.probe_at < math.inf else self.probe_at
        self.next_timer_at = now
        self._emit_event("slept", ms=round(late), probes=dropped)

    # -- probing
    def _probe_next(self, now: float) -> None:
        self.probe_at = now + self.settings.probe_interval_ms(self.roster_size)
        if self.name_claim.state is ClaimState.CONTESTED:
            return  # others hold a newer incarnation of this name and would not answer
        target = self.probes.order.next(self.left)
        if target is not None and not self.probes.is_pending(target):
            self._send_probe(now, target)
        if now >= self.report_at:
            self._report_links(now)

    def _check_timeouts(self, now: float) -> None:
        for number, probe in list(self.probes.pending.items()):
            if now >= probe.due_at:
                del self.probes.pending[number]
                self._probe_failed(now, probe)
            elif now >= probe.indirect_at and not probe.indirect_sent:
                known = self.view.get(probe.target)
                if known is not None and known.present:
                    self._send_ping_reqs(number, probe)
                else:  # a probe of a dead or departed member: it is still gone
                    del self.probes.pending[number]
        for number, relayed in list(self.probes.relayed.items()):
            if now >= relayed.due_at:
                del self.probes.relayed[number]
                self._send(relayed.requester, Nack(relayed.number))
        for name, suspicion in list(self.suspicions.items()):
            if now >= suspicion.expires_at():
                del self.suspicions[name]
                record = suspicion.record
                self._apply_update(
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

    def _send_ping_reqs(self, number: int, probe: Probe) -> None:
        probe.indirect_sent = True
        helpers = [n for n in self.view.present() if n != probe.target and self.view.state(n) is State.ALIVE]
        for name in self.rng.sample(helpers, min(self.settings.ping_req_targets, len(helpers))):
            probe.ping_reqs += 1
            self._send(name, PingReq(number, probe.target, self._gossip_for(name)))

    def _probe_failed(self, now: float, probe: Probe) -> None:
        """Handles a probe that neither the target nor the members asked by ping-req answered."""
        if probe.reached_indirectly:
            return
        self.local_health.adjust(1 if probe.ping_reqs and probe.nacks < probe.ping_reqs else 0)
        if not probe.ping_reqs:
            self.local_health.adjust(1)
        known = self.view.get(probe.target)
        if known is None or not known.present or known.incarnation != probe.incarnation:
            return  # unknown, gone, or another incarnation than the one probed
        self._suspect_member(now, known)

    def _suspect_member(self, now: float, known: Record) -> None:
        suspect = Record(
            known.name, known.incarnation, known.revision, State.SUSPECT, known.address, known.version
        )
        self._apply_update(now, Update(suspect, self.name))

    def _handle_ping_req(self, now: float, requester: str, body: PingReq) -> None:
        if body.target not in self.contacts.by_name:
            return
        number = self.probes.begin_relayed(
            requester, body.number, body.target, now + RELAYED_TIMEOUT_SHARE * self.settings.probe_timeout_ms
        )
        self._send(
            body.target, Ping(number, self.view.digest, self.roster_digest, self._gossip_for(body.target))
        )

    def _handle_ack(self, now: float, sender: Sender, body: Ack) -> None:
        relayed = self.probes.relayed.get(body.number)
        if relayed is not None and relayed.target == sender.name:
            del self.probes.relayed[body.number]
            self._send(relayed.requester, Ack(relayed.number, 0, self.roster_digest, sender.name))
            return
        probe = self.probes.pending.get(body.number)
        if probe is None:
            return
        if body.target:  # indirect ack: another member reached it
            if body.target == probe.target and not probe.reached_indirectly:
                probe.reached_indirectly = True
                self.contacts.record_indirect_ack(probe.target, now)
            return
        if sender.name != probe.target:
            self._report_disagreement("two-names", probe.target, answers_as=sender.name)
            return
        del self.probes.pending[body.number]
        self.local_health.adjust(-1)
        self.contacts.record_ack(sender.name, probe.sent_at)
        self.disagreements.pop(f"two-names {sender.name}", None)
        self._complete_join(now)

    # -- gossip
    def _flush_gossip(self) -> None:
        self.flush_at = math.inf
        if not self.gossip_queue:
            return
        present = self.view.present()
        for name in self.rng.sample(present, min(self.settings.fanout, len(present))):
            updates = self._gossip_for(name)
            if updates:
                self._send(name, Gossip(updates))

    # -- full views
    def _full_view(self) -> tuple[Record, ...]:
        return tuple(self.view)

    def _contact_seeds(self, now: float) -> None:
        """Requests full views from seeds and some members: at the start, and whenever no member answers."""
        self.join_at = math.inf
        if self.name_claim.state is ClaimState.HOLDING and self.contacts.reached(now):
            return
        self.join_at = now + self.settings.join_retry_ms
        candidates = [n for n in self.others if n not in self.left]
        body = Sync(self._full_view(), False, self.roster_digest)
        for seed in self.rng.sample(self.seeds, min(SEEDS_PER_ATTEMPT, len(self.seeds))):
            self.actions.append(Exchange("", seed, body))
        for name in self.rng.sample(candidates, min(2, len(candidates))):
            self.actions.append(Exchange(name, self._address(name), body))

    def _compare_views(self, now: float, name: str, view: int, roster: int) -> None:
        self._check_roster(name, roster)
        quiet = now - self.view.changed_at >= self.settings.sync_quiet_ms
        if view == self.view.digest or not quiet or now < self.exchange_at:
            return
        wait = self.settings.sync_quiet_ms * (
            1 if roster in (0, self.roster_digest) else ROSTER_MISMATCH_BACKOFF
        )
        self.exchange_at = now + wait
        body = Sync(self._full_view(), False, self.roster_digest)
        self.actions.append(Exchange(name, self._address(name), body))

    # -- disagreements
    def _check_sender(self, now: float, sender: Sender, body: Message) -> bool:
        """Whether a message of this sender is processed. A sender that is rejected is sent the reason, or the
        newer record."""
        if sender.name not in self.view.names:
            self._report_disagreement("stranger", sender.name)
            if not isinstance(body, Denial):
                self._reply(sender.name, Denial("not on the roster"))
            return False
        if sender.name == self.name:
            if sender.incarnation == self.name_claim.incarnation:
                self._handle_duplicate_incarnation(now)
            elif sender.incarnation > self.name_claim.incarnation:
                self._apply_update(now, Update(Record(self.name, sender.incarnation)))
            else:
                self._reply(self.name, Gossip((Update(self.record),)))
                self._report_disagreement(
                    "two-instances", self.name, value=str(sender.incarnation), older=str(sender.incarnation)
                )
            return False
        if self._is_stale(sender):
            known = self.view.get(sender.name)
            assert known is not None
            if known.present:
                self._report_disagreement(
                    "two-instances",
                    sender.name,
                    value=str(sender.incarnation),
                    older=str(sender.incarnation),
                    newer=str(known.incarnation),
                )
            self._reply(sender.name, Gossip((Update(known),)))
            return False
        known = self.view.get(sender.name)
        if known is None or sender.incarnation > known.incarnation:
            # Its full record follows by gossip or exchange.
            self._apply_update(now, Update(Record(sender.name, sender.incarnation)))
        return self.name_claim.state is not ClaimState.CONTESTED or isinstance(body, Gossip)

    def accepts_from(self, sender: Sender) -> bool:
        """Whether messages of other protocols are accepted from a sender: it must be the current incarnation
        of another member, and this instance must hold its own name."""
        return (
            sender.name != self.name
            and sender.name in self.view.names
            and self.name_claim.accepts_requests
            and not self._is_stale(sender)
        )

    def _report_links(self, now: float) -> None:
        """Emits events for changes of the standing and of the links to other members."""
        self.report_at = now + self.contacts.bound_ms / REPORTS_PER_CONTACT_BOUND
        standing = self.standing(now)
        if standing is not self.reported_standing:
            self._emit_event("standing", standing=standing.value, before=self.reported_standing.value)
            self.reported_standing = standing
        if standing is Standing.ALONE and self.others and self.join_at == math.inf:
            self.join_at = now  # another instance may have taken the name, or all members have moved
        if now < self.started_at + self.contacts.bound_ms:
            return
        for name in self.others:
            known = self.view.get(name)
            link = self.contacts.link(name, now, known is not None and known.state is State.ALIVE)
            before = self.links.get(name, Link.WHOLE)
            if link is not before:
                self.links[name] = link
                self._emit_event("link", name, link=link.value, before=before.value)

    # -- joining
    def _complete_join(self, now: float) -> None:
        if self.name_claim.complete_join():
            self.join_timeout_at = math.inf
            self._enqueue_gossip(now, Update(self.record))
            self._emit_event("joined", members=self.present_count())
