"""Every decision on a request, from its arrival to its one final answer. Types: notchflow/interface.py.

Pure: a Balancer is told the time and an event and answers with actions. docs/design/decisions.md says what
is kept of the design and when each departure from it applies.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any, Final

from notchflow.interface import (
    Action,
    BodyArrived,
    BodyDiscarded,
    Cancel,
    ClientGone,
    Event,
    Fail,
    ListKind,
    Membership,
    Outcome,
    Refuse,
    Request,
    Rules,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    State,
    Status,
    StreamStarted,
    Timer,
    Watch,
)
from notchflow.policy.budgets import Budgets
from notchflow.policy.fleet import Fleet
from notchflow.policy.handover import take, tell
from notchflow.policy.health import SECOND_AFTER, SUSPECT_AFTER, TRIAL_SHARE, healthy
from notchflow.policy.hot_keys import SAMPLE_MS, HotKeys
from notchflow.policy.nodes import MISS, OK, READY, SAFE, SILENT, UNSAFE, Node
from notchflow.policy.pending import Copies, Pending
from notchflow.policy.placement import Placement

COMFORT: Final = 0.7  # of a class's aim: an answer in so much of it shows no pressure
WATCH_EARLY: Final = 0.3
WATCH_SPACING_MS: Final = 25.0  # between the first calls of all instances, on average
WATCH_BACKOFF_MS: Final = (
    250.0,
    1_000.0,
)  # twice this and two calls that queue for 2 s: 6 s, when changes count
BACKOFF_SHARE: Final = 0.4  # of the time to ask within, at most


def watch_backoff_ms(rng: random.Random, rules: Rules) -> float:
    """How long after a call for the list that came to nothing the next is made."""
    most = BACKOFF_SHARE * rules.ask_within_ms
    return rng.uniform(*(min(pause, most) for pause in WATCH_BACKOFF_MS))


class Balancer:
    """Decides what becomes of every request of one balancer."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.rng = random.Random(seed)
        self._take_over(settings)
        self.fleet = Fleet(settings, now)
        self.hot_keys = HotKeys(self.rng, now)
        self.budgets = Budgets()
        self.throttle = self.budgets.throttle
        self.placement = Placement(self.rng, self.fleet, self.hot_keys, self.throttle)
        self.pending: dict[int, Pending] = {}
        self.arrivals = 0
        self.rate = 0.0  # own requests, a millisecond
        self.sampled_at = now
        self.started = False
        self.actions: list[Action] = []
        self.hedges = Copies()

    def _take_over(self, settings: Settings) -> None:
        self.settings = settings
        self.worth_by_work = settings.worth_by_work
        self.second_copies, self.max_attempts = settings.limits.second_copies, settings.limits.max_attempts
        self.classes = {c.name: c for c in settings.classes}

    def _retune(self, now: float, settings: Settings) -> None:
        """New settings: what was learned of servers, keys and times stays. Requests in hand keep their class,
        and no more attempts than were allowed then; where fewer are now, that holds for them too."""
        self._take_over(settings)
        self.fleet.state(settings)
        for pending in self.pending.values():
            pending.max_attempts = min(pending.max_attempts, self.max_attempts)
        self.fleet.update(now, Membership(ListKind.DELTA))  # warm-up times may be others

    # -- what a process that takes this one's place is told
    def export_state(self, now: float) -> dict[str, Any]:
        """What need not be learned anew, in plain values; times are counted from now."""
        return tell(now, self.fleet, self.hot_keys, self.budgets, self.rate)

    def restore_state(self, now: float, told: Mapping[str, Any]) -> None:
        """Begins with what another process has learned; an error leaves all as it was."""
        self.rate = take(now, told, self.fleet, self.hot_keys, self.budgets)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Answers one event."""
        self.actions = []
        if isinstance(event, Request):
            self._request(now, event)
        elif isinstance(event, Outcome):
            self._outcome(now, event)
        else:
            self._other(now, event)
        return self.actions

    def count_out_of_rotation(self, now: float) -> int:
        """How many servers of the list get no requests now: they drain, are ejected, or still on trial."""
        return sum(
            n.member.state is not READY or not healthy(n, now)
            for n in self.fleet.nodes.values()
            if n.member.state is not State.GONE
        )

    def _other(self, now: float, event: Event) -> None:
        match event:
            case Membership():
                self._membership(now, event)
            case Timer(token):
                self._timer(now, token)
            case ClientGone(request):
                self._close(request)
            case SettingsChanged(settings):
                self._retune(now, settings)
            case BodyArrived(request, deadline):
                if request in self.pending:
                    self.pending[request].deadline, self.pending[request].body_incomplete = deadline, False
            case BodyDiscarded(request):
                if request in self.pending:
                    self.pending[request].max_attempts = self.pending[request].attempts
            case StreamStarted(request, attempt):
                if request in self.pending:
                    self.pending[request].streaming = True
                    self._cancel(self.pending[request], attempt)

    # -- the list of servers
    def _membership(self, now: float, event: Membership) -> None:
        self.fleet.update(now, event)
        if not self.started:
            self.started = True
            self.actions.append(SetTimer(now + SAMPLE_MS, "sample"))
            if self.settings.list_on_request:  # jitter: the list cannot answer every instance at once
                early = min(
                    WATCH_EARLY * self.settings.rules.ask_within_ms,
                    WATCH_SPACING_MS * self.settings.balancers,
                )
                self.actions.append(SetTimer(now + self.rng.random() * early, "watch"))
        elif event.kind is ListKind.FAILED and self.settings.list_on_request:
            self.actions.append(SetTimer(now + watch_backoff_ms(self.rng, self.settings.rules), "watch"))

    def _timer(self, now: float, token: str) -> None:
        if token == "watch":
            self.actions.append(Watch())
        elif token == "second":
            self._seconds(now)
        elif token == "sample":
            self.actions.append(SetTimer(now + SAMPLE_MS, "sample"))
            self._sample(now)

    # -- the mechanism
    def _sample(self, now: float) -> None:
        span = max(now - self.sampled_at, 1.0)
        self.rate += 0.1 * (self.arrivals / span - self.rate) if self.rate else self.arrivals / span
        self.arrivals, self.sampled_at = 0, now
        self.fleet.tick(now)
        self.throttle.fade()
        self.hot_keys.sample(now, self.rate, self.fleet)

    def _request(self, now: float, request: Request) -> None:
        cls = self.classes.get(request.cls)
        if cls is None:  # no work comes of it: it says nothing of load, nor of what is asked for
            self.actions.append(Refuse(request.id))
            return
        number, key = request.id, request.key
        if number in self.pending:
            return
        self.arrivals += 1
        if key is not None:
            self.hot_keys.topk.observe(key)
        pending = self.pending[number] = Pending(request, cls, self.max_attempts)
        work = 1.0 if self.worth_by_work else self.fleet.class_latency_ms.get(cls.name, cls.aim_ms)
        if self.budgets.shed(cls, work, self.rng.random()):
            self.throttle.count(False)
            self._finish(pending)
            return
        self.budgets.earn()
        aside = self.fleet.cache_aside and request.write
        node = self.fleet.origin if aside else self.placement.pick(now, pending, self.rate)
        self._send(now, pending, node)
        usual = self.fleet.class_latency_ms.get(cls.name)
        if (
            self.second_copies
            and pending.outstanding
            and usual
            and SECOND_AFTER * usual < cls.aim_ms
            and cls.effect is not UNSAFE
        ):
            due = now + SECOND_AFTER * usual
            if self.hedges.add(now, due, number):
                self.actions.append(SetTimer(due, "second"))

    def _seconds(self, now: float) -> None:
        """Second copies for what has waited so long; then a timer for the first that is still in hand."""
        for number in self.hedges.come(now, self.pending):
            self._second(now, number)
        due = self.hedges.next(now)
        if due is not None:
            self.actions.append(SetTimer(due, "second"))

    def _second(self, now: float, request_id: int) -> None:
        """A second copy where what was sent half the wait later is served: a queue would delay both."""
        pending = self.pending.get(request_id)
        if (
            pending is None
            or pending.done
            or pending.streaming
            or pending.body_incomplete
            or len(pending.outstanding) != 1
            or self.budgets.retries < 1
        ):
            return
        ((first, sent_at),) = pending.outstanding.values()
        more = pending.attempts < pending.max_attempts and self.throttle.pressure() <= 0
        served = first.newest > (sent_at + now) / 2
        node = self.placement.pick(now, pending, self.rate) if more and served else None
        if node is not None:
            self.budgets.retries -= 1
            self._send(now, pending, node)

    def _send(self, now: float, pending: Pending, node: Node | None) -> None:
        left, attempts = pending.deadline - now, pending.attempts
        if (
            node is None
            or left <= 0
            or attempts >= pending.max_attempts
            or node.member.state is not READY
            or now >= pending.until
            or (attempts and not pending.may_go(node, now))
        ):
            self._finish(pending)
            return
        timeout = None
        if node.failures or node.mutes:
            mute = node.mutes.get(pending.cls.name)
            doubtful = node.failures > 0 or (mute is not None and mute.failures >= SUSPECT_AFTER)
            if (
                doubtful
                and attempts + 1 < pending.max_attempts
                and pending.cls.effect is SAFE
                and not pending.body_incomplete
            ):
                timeout = left * TRIAL_SHARE
        before = pending.before()
        pending.outstanding[attempts] = node, now
        pending.attempts = attempts + 1
        pending.tried = *pending.tried, node
        self.fleet.sent(node, now, pending.cls.name, (pending.request.id, attempts))
        self.actions.append(Send(pending.request.id, node.id, timeout, before))

    def _outcome(self, now: float, outcome: Outcome) -> None:
        pending = self.pending.get(outcome.id)
        if pending is None or outcome.attempt not in pending.outstanding:
            return
        node, status = pending.outstanding[outcome.attempt][0], outcome.status
        self.fleet.ended(now, node, outcome, pending.cls)
        pending.ended(outcome.attempt, status)
        if status not in SILENT:
            in_time = status is OK and outcome.latency_ms <= COMFORT * pending.cls.aim_ms
            node.throttle.count(in_time)
            self.throttle.count(in_time)
        if status is OK or outcome.closed:
            pending.done = True
            if pending.outstanding:
                self._cancel(pending)
        elif not pending.done and not pending.outstanding and not pending.streaming:
            self._further(now, pending, status)
        if pending.done and not pending.outstanding:
            self.pending.pop(outcome.id, None)

    def _further(self, now: float, pending: Pending, status: Status) -> None:
        """A failed attempt: one more where it can still help and the budget has room, else the answer."""
        if status is MISS:
            self._send(now, pending, self.fleet.origin)
            return
        # What never ran has cost no work: only the most attempts allowed bound it, so that one full or dead
        # server does not have its requests refused while others have room.
        write, ran = pending.request.write, not status.never_ran
        spent = ran and (self.budgets.retries < 1 or (self.throttle.pressure() > 0 and not write))
        if spent or pending.deadline - now <= self.settings.tick_ms:
            self._finish(pending)
            return
        self.budgets.retries -= ran
        node = None if self.fleet.cache_aside and write else self.placement.pick(now, pending, self.rate)
        self._send(now, pending, node)

    def _finish(self, pending: Pending) -> None:
        if not pending.done:
            pending.done = True
            self.actions.append((Refuse if pending.may_refuse() else Fail)(pending.request.id))
        if not pending.outstanding:
            self.pending.pop(pending.request.id, None)

    def _close(self, request_id: int) -> None:
        pending = self.pending.get(request_id)
        if pending is not None:
            pending.done = True
            self._cancel(pending)
            if not pending.outstanding:
                del self.pending[request_id]

    def _cancel(self, pending: Pending, but: int = -1) -> None:
        if self.settings.limits.cancel:
            self.actions.extend(Cancel(pending.request.id, a) for a in pending.outstanding if a != but)
