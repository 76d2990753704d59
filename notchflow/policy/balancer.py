"""Decides on every request, from its arrival to its single final answer. Types: notchflow/interface.py.

Pure: a Balancer receives the time and an event and returns actions. docs/design/decisions.md states which
parts of the design are kept and when each departure from it applies.
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
from notchflow.policy.handover import export_state, restore_state
from notchflow.policy.health import (
    HEDGE_AFTER_LATENCIES,
    SUSPECT_AFTER_FAILURES,
    TRIAL_TIMEOUT_SHARE,
    is_healthy,
)
from notchflow.policy.hot_keys import SAMPLE_MS, HotKeys
from notchflow.policy.nodes import INCONCLUSIVE, MISS, OK, READY, SAFE, UNSAFE, Node
from notchflow.policy.pending import HedgeSchedule, Pending
from notchflow.policy.placement import Placement

IN_TIME_AIM_SHARE: Final = 0.7  # of a class's aim; slower answers count as pressure
WATCH_DELAY_SHARE: Final = 0.3  # of the time to ask within; the first call is made within this
WATCH_SPACING_MS: Final = 25.0  # mean interval between the first calls of all instances
# Two pauses and two calls that queue for 2 s each fit into the 6 s after which changes count as announced.
WATCH_BACKOFF_MS: Final = (250.0, 1_000.0)
WATCH_BACKOFF_SHARE: Final = 0.4  # of the time to ask within; upper limit


def watch_backoff_ms(rng: random.Random, rules: Rules) -> float:
    """Returns a random pause before the list of nodes is requested again after a failed call."""
    pause_max = WATCH_BACKOFF_SHARE * rules.ask_within_ms
    return rng.uniform(*(min(pause, pause_max) for pause in WATCH_BACKOFF_MS))


class Balancer:
    """The decisions of one proxy instance."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.rng = random.Random(seed)
        self._apply_settings(settings)
        self.fleet = Fleet(settings, now)
        self.hot_keys = HotKeys(self.rng, now)
        self.budgets = Budgets()
        self.throttle = self.budgets.throttle
        self.placement = Placement(self.rng, self.fleet, self.hot_keys, self.throttle)
        self.pending: dict[int, Pending] = {}
        self.arrivals = 0
        self.rate_per_ms = 0.0  # requests received by this instance
        self.sampled_at = now
        self.started = False
        self.actions: list[Action] = []
        self.hedges = HedgeSchedule()

    def _apply_settings(self, settings: Settings) -> None:
        self.settings = settings
        self.worth_by_work = settings.worth_by_work
        self.second_copies, self.max_attempts = settings.limits.second_copies, settings.limits.max_attempts
        self.classes = {c.name: c for c in settings.classes}

    def _change_settings(self, now: float, settings: Settings) -> None:
        """Adopts new settings and keeps all learned state.

        Pending requests keep their class. Their maximum number of attempts never rises, but falls to a lower
        new one.
        """
        self._apply_settings(settings)
        self.fleet.apply_settings(settings)
        for pending in self.pending.values():
            pending.max_attempts = min(pending.max_attempts, self.max_attempts)
        self.fleet.update(now, Membership(ListKind.DELTA))  # warm-up times may differ

    # -- state for the process that replaces this one
    def export_state(self, now: float) -> dict[str, Any]:
        """Returns the learned state in plain values, with times relative to `now`."""
        return export_state(now, self.fleet, self.hot_keys, self.budgets, self.rate_per_ms)

    def restore_state(self, now: float, state: Mapping[str, Any]) -> None:
        """Restores the state that another process exported; on an error, nothing changes.

        Raises KeyError, TypeError, ValueError or AttributeError for malformed state.
        """
        self.rate_per_ms = restore_state(now, state, self.fleet, self.hot_keys, self.budgets)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handles one event and returns the actions to take, in order."""
        self.actions = []
        if isinstance(event, Request):
            self._request(now, event)
        elif isinstance(event, Outcome):
            self._outcome(now, event)
        else:
            self._handle_other(now, event)
        return self.actions

    def count_out_of_rotation(self, now: float) -> int:
        """Counts the listed nodes that get no requests because they drain, are ejected or on trial."""
        return sum(
            n.member.state is not READY or not is_healthy(n, now)
            for n in self.fleet.nodes.values()
            if n.member.state is not State.GONE
        )

    def _handle_other(self, now: float, event: Event) -> None:
        match event:
            case Membership():
                self._membership(now, event)
            case Timer(token):
                self._timer(now, token)
            case ClientGone(request):
                self._drop(request)
            case SettingsChanged(settings):
                self._change_settings(now, settings)
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

    # -- membership
    def _membership(self, now: float, event: Membership) -> None:
        self.fleet.update(now, event)
        if not self.started:
            self.started = True
            self.actions.append(SetTimer(now + SAMPLE_MS, "sample"))
            if self.settings.list_on_request:
                # Jitter: discovery cannot answer all instances at once.
                delay_max = min(
                    WATCH_DELAY_SHARE * self.settings.rules.ask_within_ms,
                    WATCH_SPACING_MS * self.settings.balancers,
                )
                self.actions.append(SetTimer(now + self.rng.random() * delay_max, "watch"))
        elif event.kind is ListKind.FAILED and self.settings.list_on_request:
            self.actions.append(SetTimer(now + watch_backoff_ms(self.rng, self.settings.rules), "watch"))

    def _timer(self, now: float, token: str) -> None:
        if token == "watch":
            self.actions.append(Watch())
        elif token == "second":
            self._send_due_hedges(now)
        elif token == "sample":
            self.actions.append(SetTimer(now + SAMPLE_MS, "sample"))
            self._sample(now)

    # -- requests and attempts
    def _sample(self, now: float) -> None:
        span = max(now - self.sampled_at, 1.0)
        self.rate_per_ms += (
            0.1 * (self.arrivals / span - self.rate_per_ms) if self.rate_per_ms else self.arrivals / span
        )
        self.arrivals, self.sampled_at = 0, now
        self.fleet.tick(now)
        self.throttle.decay()
        self.hot_keys.sample(now, self.rate_per_ms, self.fleet)

    def _request(self, now: float, request: Request) -> None:
        cls = self.classes.get(request.cls)
        if cls is None:  # causes no work, so it must not count towards the load or the rates of keys
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
        self.budgets.earn_retry()
        to_origin = self.fleet.cache_aside and request.write
        node = self.fleet.origin if to_origin else self.placement.pick(now, pending, self.rate_per_ms)
        self._send(now, pending, node)
        mean_latency_ms = self.fleet.class_latency_ms.get(cls.name)
        if (
            self.second_copies
            and pending.outstanding
            and mean_latency_ms
            and HEDGE_AFTER_LATENCIES * mean_latency_ms < cls.aim_ms
            and cls.effect is not UNSAFE
        ):
            due_at = now + HEDGE_AFTER_LATENCIES * mean_latency_ms
            if self.hedges.add(now, due_at, number):
                self.actions.append(SetTimer(due_at, "second"))

    def _send_due_hedges(self, now: float) -> None:
        """Hedges the requests that are due and sets a timer for the next one."""
        for number in self.hedges.pop_due(now, self.pending):
            self._hedge(now, number)
        due_at = self.hedges.next_timer(now)
        if due_at is not None:
            self.actions.append(SetTimer(due_at, "second"))

    def _hedge(self, now: float, request_id: int) -> None:
        """Sends a hedge if the node has answered an attempt sent in the second half of the wait.

        Otherwise the node may merely have a queue, which would delay both attempts.
        """
        pending = self.pending.get(request_id)
        if (
            pending is None
            or pending.done
            or pending.streaming
            or pending.body_incomplete
            or len(pending.outstanding) != 1
            or self.budgets.retry_tokens < 1
        ):
            return
        (first,) = pending.outstanding.values()
        allowed = pending.attempts < pending.max_attempts and self.throttle.pressure() <= 0
        overtaken = first.node.newest > (first.sent_at + now) / 2
        node = self.placement.pick(now, pending, self.rate_per_ms) if allowed and overtaken else None
        if node is not None:
            self.budgets.retry_tokens -= 1
            self._send(now, pending, node)

    def _send(self, now: float, pending: Pending, node: Node | None) -> None:
        remaining_ms, attempts = pending.deadline - now, pending.attempts
        if (
            node is None
            or remaining_ms <= 0
            or attempts >= pending.max_attempts
            or node.member.state is not READY
            or now >= pending.repeat_until
            or (attempts and not pending.may_repeat_on(node, now))
        ):
            self._finish(pending)
            return
        timeout_ms = None
        if node.failures or node.class_health:
            health = node.class_health.get(pending.cls.name)
            suspect = node.failures > 0 or (health is not None and health.failures >= SUSPECT_AFTER_FAILURES)
            if (
                suspect
                and attempts + 1 < pending.max_attempts
                and pending.cls.effect is SAFE
                and not pending.body_incomplete
            ):
                timeout_ms = remaining_ms * TRIAL_TIMEOUT_SHARE
        complete_before, others_before = pending.complete_before(), pending.others_complete_before(now)
        number = pending.attempt_sent(now, node)
        self.fleet.attempt_sent(node, now, pending.cls.name, (pending.request.id, number))
        self.actions.append(Send(pending.request.id, node.id, timeout_ms, complete_before, others_before))

    def _outcome(self, now: float, outcome: Outcome) -> None:
        pending = self.pending.get(outcome.id)
        if pending is None or outcome.attempt not in pending.outstanding:
            return
        node, status = pending.outstanding[outcome.attempt].node, outcome.status
        self.fleet.attempt_ended(now, node, outcome, pending.cls)
        pending.attempt_ended(outcome.attempt, status)
        if status not in INCONCLUSIVE:
            in_time = status is OK and outcome.latency_ms <= IN_TIME_AIM_SHARE * pending.cls.aim_ms
            node.throttle.count(in_time)
            self.throttle.count(in_time)
        if status is OK or outcome.closed:
            pending.done = True
            if pending.outstanding:
                self._cancel(pending)
        elif not pending.done and not pending.outstanding and not pending.streaming:
            self._retry(now, pending, status)
        if pending.done and not pending.outstanding:
            self.pending.pop(outcome.id, None)

    def _retry(self, now: float, pending: Pending, status: Status) -> None:
        """Retries after a failed attempt if that can help and the budget permits, else answers the client."""
        if status is MISS:
            self._send(now, pending, self.fleet.origin)
            return
        # An attempt that never ran has cost no work and is limited by the maximum number of attempts only.
        # Otherwise requests to one full or dead node would be rejected while other nodes have capacity.
        write, ran = pending.request.write, not status.never_ran
        exhausted = ran and (self.budgets.retry_tokens < 1 or (self.throttle.pressure() > 0 and not write))
        if exhausted or pending.deadline - now <= self.settings.tick_ms:
            self._finish(pending)
            return
        self.budgets.retry_tokens -= ran
        node = (
            None if self.fleet.cache_aside and write else self.placement.pick(now, pending, self.rate_per_ms)
        )
        self._send(now, pending, node)

    def _finish(self, pending: Pending) -> None:
        if not pending.done:
            pending.done = True
            self.actions.append((Refuse if pending.may_refuse() else Fail)(pending.request.id))
        if not pending.outstanding:
            self.pending.pop(pending.request.id, None)

    def _drop(self, request_id: int) -> None:
        pending = self.pending.get(request_id)
        if pending is not None:
            pending.done = True
            self._cancel(pending)
            if not pending.outstanding:
                del self.pending[request_id]

    def _cancel(self, pending: Pending, except_attempt: int = -1) -> None:
        if self.settings.limits.cancel:
            self.actions.extend(
                Cancel(pending.request.id, a) for a in pending.outstanding if a != except_attempt
            )
