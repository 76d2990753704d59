"""Processing of membership updates: merged into the view, refuted, and passed on as gossip. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from notchflow.cluster.actions import PersistIncarnation
from notchflow.cluster.local_state import LocalState
from notchflow.cluster.messages import Ping, Update
from notchflow.cluster.model import Record, State
from notchflow.cluster.name_claim import ClaimState
from notchflow.cluster.suspicion import Suspicion

STATE_NAMES: Final = {State.ALIVE: "alive", State.SUSPECT: "suspect", State.DEAD: "dead", State.LEFT: "left"}


class UpdateProcessor(LocalState):
    """Applies updates about members and about this instance to the local state."""

    def _apply_updates(self, now: float, updates: Iterable[Update]) -> None:
        for update in updates:
            self._apply_update(now, update)

    def _apply_records(self, now: float, records: Iterable[Record]) -> None:
        """Applies a full view. It does not say who accused a suspect, so a suspicion that starts here has no
        accuser; accusers arrive by gossip."""
        for record in records:
            self._apply_update(now, Update(record))

    def _apply_update(self, now: float, update: Update) -> None:
        """Merges an update into the view; what was new is passed on by gossip."""
        record = update.record
        if record.name == self.name:
            self._apply_own_record(now, record)
            return
        before = self.view.get(record.name)
        if self.view.merge(now, record) is None:
            self._confirm_suspicion(now, update)
            return
        if record.state is State.LEFT:
            self.left |= {record.name}
        else:
            self.left -= {record.name}
        self._record_changed(now, before, update)
        self._enqueue_gossip(now, update)

    def _enqueue_gossip(self, now: float, update: Update) -> None:
        self.gossip_queue.put(update)
        self.flush_at = min(self.flush_at, now + self.settings.gossip_delay_ms)

    def _record_changed(self, now: float, before: Record | None, update: Update) -> None:
        record = update.record
        suspicion = self.suspicions.get(record.name)
        if record.state is State.SUSPECT:
            self._start_suspicion(now, update)
        elif suspicion is not None:
            del self.suspicions[record.name]
        if before is not None and before.incarnation != record.incarnation:
            self._emit_event(
                "life", record.name, life=str(record.incarnation), before=str(before.incarnation)
            )
            self.disagreements.pop(f"two-instances {record.name}", None)
        if before is None or before.state is not record.state or before.incarnation != record.incarnation:
            self._emit_event(
                STATE_NAMES[record.state],
                record.name,
                life=str(record.incarnation),
                revision=record.revision,
                **({"by": update.accuser} if update.accuser else {}),
            )
        self._check_address(record)

    def _start_suspicion(self, now: float, update: Update) -> None:
        min_ms, max_ms = self.settings.suspicion_bounds_ms(self.roster_size)
        confirmations_needed = max(min(self.settings.confirmations, self.present_count() - 2), 0)
        suspicion = Suspicion(update.record, now, min_ms, max_ms, confirmations_needed)
        if update.accuser:
            suspicion.add_accuser(update.accuser)
        self.suspicions[update.record.name] = suspicion
        self._probe_suspect(now, update.record.name)

    def _probe_suspect(self, now: float, name: str) -> None:
        """Probes a suspect at once, with a probability that lets a few members do so: the suspicion is then
        settled early."""
        probability = 2 * self.settings.confirmations / max(self.present_count() - 2, 1)
        if (
            self.name_claim.state is not ClaimState.CONTESTED
            and not self.probes.is_pending(name)
            and (probability >= 1 or self.rng.random() < probability)
        ):
            self._send_probe(now, name)

    def _confirm_suspicion(self, now: float, update: Update) -> None:
        suspicion = self.suspicions.get(update.record.name)
        record = update.record
        if (
            suspicion is None
            or not update.accuser
            or record.state is not State.SUSPECT
            or (record.incarnation, record.revision)
            != (suspicion.record.incarnation, suspicion.record.revision)
        ):
            return
        if suspicion.add_accuser(update.accuser):
            self._enqueue_gossip(now, update)

    def _apply_own_record(self, now: float, record: Record) -> None:
        """Handles a record about this instance: refutes suspicion or death, and yields the name to a newer
        incarnation."""
        own = self.record
        if record.incarnation == own.incarnation:
            if record.state is State.LEFT or (record.state is State.ALIVE and record.rank() > own.rank()):
                # Only another process with this incarnation can have sent it.
                self._handle_duplicate_incarnation(now)
            elif record.state is not State.ALIVE and record.revision >= own.revision:
                self._set_own_record(now, record.revision + 1)
                self.local_health.adjust(1)
                self._emit_event("refuted", revision=record.revision + 1, held=STATE_NAMES[record.state])
            return
        if record.incarnation < own.incarnation:
            return
        if self.name_claim.handle_newer_record(record):
            self._announce_incarnation(now, record)
        elif self.disagreements.get(f"two-instances {self.name}") != str(record.incarnation):
            self.view.merge(now, record)
            self._report_disagreement(
                "two-instances", self.name, value=str(record.incarnation), newer=str(record.incarnation)
            )
            self._emit_event("contested", newer=str(record.incarnation))
            self.probes.cancel_all()  # members do not answer the older incarnation; not a failure
            self.suspicions.clear()
            self.join_at = now + self.settings.join_retry_ms
        else:
            self.view.merge(now, record)

    def _handle_duplicate_incarnation(self, now: float) -> None:
        """Another process runs under this name and incarnation: both begin a new incarnation."""
        self._report_disagreement(
            "two-instances",
            self.name,
            value=str(self.name_claim.incarnation),
            same=str(self.name_claim.incarnation),
        )
        self.name_claim.begin_newer_incarnation(self.name_claim.incarnation)
        self._announce_incarnation(now, None)

    def _announce_incarnation(self, now: float, superseded: Record | None) -> None:
        self.actions.append(PersistIncarnation(self.name_claim.incarnation))
        self._emit_event(
            "rose",
            life=str(self.name_claim.incarnation),
            over=str(superseded.incarnation) if superseded is not None else "a twin",
        )
        self._set_own_record(now, 0)

    def _set_own_record(self, now: float, revision: int) -> None:
        own = Record(
            self.name, self.name_claim.incarnation, revision, State.ALIVE, self.address, self.version
        )
        self.view.put(now, own)
        self._enqueue_gossip(now, Update(own))

    def _send_probe(self, now: float, target: str) -> None:
        timeout_ms = self.settings.probe_timeout_ms * self.local_health.multiplier
        known = self.view.get(target)
        number = self.probes.begin(
            target, known.incarnation if known else None, now, timeout_ms, now + 2 * timeout_ms
        )
        self._send(target, Ping(number, self.view.digest, self.roster_digest, self._gossip_for(target)))
