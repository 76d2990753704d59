"""What an instance learns of members and of itself: news taken over, judged, refuted, passed on. Pure."""

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
    """Members' records and suspicions, and what others say of this instance."""

    def _news(self, now: float, news: Iterable[Update]) -> None:
        for update in news:
            self._learn(now, update)

    def _records(self, now: float, records: Iterable[Record]) -> None:
        """A whole view. What it says of suspicions is its sender's word about others' accusations: the runs
        of suspicions come by news, so that here they begin without an accuser."""
        for record in records:
            self._learn(now, Update(record))

    def _learn(self, now: float, update: Update) -> None:
        """Takes over a piece of news, and passes it on where it is news."""
        record = update.record
        if record.name == self.name:
            self._of_myself(now, record)
            return
        before = self.view.get(record.name)
        if self.view.join(now, record) is None:
            self._also_accused(now, update)
            return
        if record.state is State.LEFT:
            self.left |= {record.name}
        else:
            self.left -= {record.name}
        self._changed(now, before, update)
        self._spread(now, update)

    def _spread(self, now: float, update: Update) -> None:
        self.queue.put(update)
        self.flush_at = min(self.flush_at, now + self.settings.flush_ms)

    def _changed(self, now: float, before: Record | None, update: Update) -> None:
        record = update.record
        suspicion = self.suspicions.get(record.name)
        if record.state is State.SUSPECT:
            self._suspect(now, update)
        elif suspicion is not None:
            del self.suspicions[record.name]
        if before is not None and before.incarnation != record.incarnation:
            self._tell("life", record.name, life=str(record.incarnation), before=str(before.incarnation))
            self.disagreements.pop(f"two-instances {record.name}", None)
        if before is None or before.state is not record.state or before.incarnation != record.incarnation:
            self._tell(
                STATE_NAMES[record.state],
                record.name,
                life=str(record.incarnation),
                revision=record.revision,
                **({"by": update.accuser} if update.accuser else {}),
            )
        self._same_address(record)

    def _suspect(self, now: float, update: Update) -> None:
        shortest, longest = self.settings.suspicion_bounds_ms(self.roster_size)
        needed = max(min(self.settings.confirmations, self.present_count() - 2), 0)
        suspicion = Suspicion(update.record, now, shortest, longest, needed)
        if update.accuser:
            suspicion.accuse(update.accuser)
        self.suspicions[update.record.name] = suspicion
        self._see_for_oneself(now, update.record.name)

    def _see_for_oneself(self, now: float, name: str) -> None:
        """Some of the others probe who is suspected at once: the suspicion ends soon, either way."""
        chance = 2 * self.settings.confirmations / max(self.present_count() - 2, 1)
        if (
            self.name_claim.state is not ClaimState.CONTESTED
            and not self.probes.out_for(name)
            and (chance >= 1 or self.rng.random() < chance)
        ):
            self._probe(now, name)

    def _also_accused(self, now: float, update: Update) -> None:
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
        if suspicion.accuse(update.accuser):
            self._spread(now, update)

    def _of_myself(self, now: float, record: Record) -> None:
        """What others say of this instance: refuted where it lives, heeded where the name is another's."""
        mine = self.record
        if record.incarnation == mine.incarnation:
            if record.state is State.LEFT or (record.state is State.ALIVE and record.rank() > mine.rank()):
                self._twin(now)  # nobody else can have said so
            elif record.state is not State.ALIVE and record.revision >= mine.revision:
                self._say(now, record.revision + 1)
                self.local_health.change(1)
                self._tell("refuted", revision=record.revision + 1, held=STATE_NAMES[record.state])
            return
        if record.incarnation < mine.incarnation:
            return
        if self.name_claim.hear(record):
            self._rise(now, record)
        elif self.disagreements.get(f"two-instances {self.name}") != str(record.incarnation):
            self.view.join(now, record)
            self._disagree(
                "two-instances", self.name, value=str(record.incarnation), newer=str(record.incarnation)
            )
            self._tell("contested", newer=str(record.incarnation))
            self.probes.forget()  # nobody answers the older one: that is no reason to judge them
            self.suspicions.clear()
            self.join_at = now + self.settings.retry_ms
        else:
            self.view.join(now, record)

    def _twin(self, now: float) -> None:
        """Another instance goes by this name and this very life: both begin new ones."""
        self._disagree(
            "two-instances",
            self.name,
            value=str(self.name_claim.incarnation),
            same=str(self.name_claim.incarnation),
        )
        self.name_claim.rise(self.name_claim.incarnation)
        self._rise(now, None)

    def _rise(self, now: float, over: Record | None) -> None:
        self.actions.append(PersistIncarnation(self.name_claim.incarnation))
        self._tell(
            "rose",
            life=str(self.name_claim.incarnation),
            over=str(over.incarnation) if over is not None else "a twin",
        )
        self._say(now, 0)

    def _say(self, now: float, revision: int) -> None:
        mine = Record(
            self.name, self.name_claim.incarnation, revision, State.ALIVE, self.address, self.version
        )
        self.view.put(now, mine)
        self._spread(now, Update(mine))

    def _probe(self, now: float, target: str) -> None:
        timeout = self.settings.probe_timeout_ms * self.local_health.factor
        held = self.view.get(target)
        number = self.probes.begin(
            target, held.incarnation if held else None, now, timeout, now + 2 * timeout
        )
        self._send(target, Ping(number, self.view.digest, self.roster_digest, self._news_for(target)))
