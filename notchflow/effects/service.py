"""Connects admission, the idempotency state machine and the store: decides which requests wait for the disk,
and for how long."""

from __future__ import annotations

import json
import logging
import secrets
import time
import uuid
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, Final, Protocol

from notchflow.effects.record import Effect, decode, fingerprint
from notchflow.effects.tracker import (
    ActiveKey,
    Decision,
    IdempotencyRule,
    IdempotencyTracker,
    Outcome,
    Phase,
    ReadRecord,
    Reject,
    RejectReason,
    Replay,
    Start,
)
from notchflow.net.exchange import ClientRequest, LocalReply
from notchflow.net.timers import TimerId
from notchflow.store.commit import Committer
from notchflow.store.engine import Change, StoreError
from notchflow.store.frames import Record, RecordKind
from notchflow.tenancy.problems import reply

log = logging.getLogger(__name__)

RETRY_AFTER_S: Final = 1.0
BOOT_ID_PATH: Final = Path("/proc/sys/kernel/random/boot_id")
Send = Callable[[float | None], None]  # milliseconds since an earlier attempt may first have run


class IdempotencyHost(Protocol):
    """The parts of the host that the idempotency service uses."""

    classes: dict[str, float]  # deadlines, milliseconds

    def call_at(self, due: float, call: Callable[..., None], argument: Any = None) -> TimerId:
        """Calls `call(argument)` at `due` (milliseconds of the host's clock)."""
        ...


def boot_id() -> int:
    """Identifies the machine's current boot. If the system has no boot id, a random number is returned, so
    that no deduplication window is taken to be open across a restart of the process."""
    try:
        return uuid.UUID(BOOT_ID_PATH.read_text().strip()).int >> 64
    except (OSError, ValueError):
        return secrets.randbits(64)


def boot_ms() -> int:
    """Milliseconds since the machine booted, including time spent suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class Guard:
    """One request with an idempotency key, from admission to its end."""

    __slots__ = ("service", "key", "rule", "call", "send", "timer", "finished", "busy", "active_key")

    def __init__(
        self,
        service: IdempotencyService,
        key: bytes,
        rule: IdempotencyRule,
        call: ClientRequest,
        busy: LocalReply,
        send: Send,
    ) -> None:
        self.service, self.key, self.rule = service, key, rule
        self.call: ClientRequest | None = call
        self.busy, self.send = busy, send
        self.timer: TimerId | None = None
        self.finished = False  # answered, or its client left, while it waited for the store
        self.active_key: ActiveKey | None = None  # the key's active state, if this request owns it

    def ended(self, status: int, ran: bool) -> None:
        """The request has ended for its client. `ran`: an attempt may have run, or may still run."""
        self.finished = True
        self.call = None
        self.service.ended(self, status, ran)

    def begin(self, call: ClientRequest, cls: str) -> LocalReply | None:
        """Starts the request, now or later, or returns the reply that rejects it."""
        return self.service.begin(self, call, cls)


class IdempotencyService:
    """The idempotency state machine, its store and the requests that wait for it."""

    def __init__(
        self,
        committer: Committer,
        host: IdempotencyHost,
        cancel: Callable[[TimerId], None],
        boot: int | None = None,
        clock: Callable[[], int] = boot_ms,
    ) -> None:
        self.committer, self.host, self.cancel, self.clock = committer, host, cancel, clock
        self.tracker = IdempotencyTracker(boot_id() if boot is None else boot)
        self.rules: dict[str, IdempotencyRule] = {}  # by class; requests of other classes are not recorded
        self.refused = 0  # requests shed because the store could not read or write in time

    def guard(self, call: ClientRequest, cls: str, key: bytes, busy: LocalReply, send: Send) -> Guard | None:
        """A guard for a request with an idempotency key; None if its class has no rule. `send` sends the
        request, with the milliseconds since an earlier attempt may first have run, or None."""
        rule = self.rules.get(cls)
        return Guard(self, key, rule, call, busy, send) if rule is not None else None

    def begin(self, guard: Guard, call: ClientRequest, cls: str) -> LocalReply | None:
        """The immediate reply to the client; None if the reply comes later or the request is sent."""
        known, request_fingerprint = (
            self.committer.contains(guard.key),
            fingerprint(call.method, call.url, call.body),
        )
        deadline = call.arrived_at + self.host.classes[cls]
        decision = self.tracker.request_arrived(
            guard.key, request_fingerprint, guard.rule, self.clock(), known
        )
        answer = self._apply_decision(guard, decision)
        if answer is None and not guard.finished and self._is_waiting(guard):
            guard.timer = self.host.call_at(deadline, self._on_deadline, guard)
        return answer

    def _is_waiting(self, guard: Guard) -> bool:
        active_key = self.tracker.active.get(guard.key)
        return active_key is not None and active_key.phase in (Phase.LOOKING, Phase.WRITING)

    def _apply_decision(self, guard: Guard, decision: Decision) -> LocalReply | None:
        if isinstance(decision, Replay):
            return replay_reply(decision.status)
        if isinstance(decision, Reject):
            return rejection_reply(decision.reason)
        if isinstance(decision, ReadRecord):
            self.committer.read(guard.key, partial(self._on_record_read, guard))
            return None
        guard.active_key = self.tracker.active[guard.key]
        try:
            done = partial(self._on_intent_durable, guard, decision) if decision.wait else _log_write_error
            self.committer.submit([self._put_change(guard, decision.effect)], done)
        except StoreError as error:
            return self._intent_not_written(guard, decision, error)
        if not decision.wait:
            guard.send(self._since_earlier_ms(decision))
        return None

    def _intent_not_written(self, guard: Guard, decision: Start, error: StoreError) -> LocalReply:
        """Sheds a request whose intent could not be written: it must not be sent."""
        log.debug("an intent could not be written: %s", error)
        self.refused += 1
        active_key, guard.active_key = guard.active_key, None
        if decision.wait:
            self.tracker.intent_failed(guard.key)
        elif active_key is not None:
            self.tracker.request_ended(guard.key, Outcome.NEVER_RAN)
            self.tracker.outcome_written(guard.key, active_key)
        return guard.busy

    def _since_earlier_ms(self, decision: Start) -> float | None:
        """Milliseconds since an attempt under the key may first have run; None if none has."""
        return (
            None if decision.earlier_attempt_ms is None else float(self.clock() - decision.earlier_attempt_ms)
        )

    def _put_change(self, guard: Guard, effect: Effect) -> Change:
        return Change(RecordKind.PUT, guard.key, effect.encode(), self.committer.now() + guard.rule.keep_ms)

    # -- store results, on the event loop
    def _on_record_read(self, guard: Guard, found: Record | StoreError | None) -> None:
        effect: Effect | None = None
        problem = found if isinstance(found, StoreError) else None
        if isinstance(found, Record):
            try:
                effect = decode(found.value)
            except ValueError as error:
                problem = StoreError(f"not an idempotency record: {error}")
        if problem is not None or guard.finished:
            if problem is not None:
                log.error("an idempotency record cannot be read: %s", problem)
                self.refused += 1
            self.tracker.read_failed(guard.key)
            self._answer(guard, guard.busy)
            return
        decision = self.tracker.record_read(guard.key, effect, self.clock())
        answer = self._apply_decision(guard, decision)
        if answer is not None:
            self._answer(guard, answer)
        elif not self._is_waiting(guard):
            self._stop_timer(guard)

    def _on_intent_durable(self, guard: Guard, decision: Start, problem: StoreError | None) -> None:
        self._stop_timer(guard)
        if problem is not None:
            self._answer(guard, self._intent_not_written(guard, decision, problem))
            return
        self.tracker.intent_durable(guard.key)
        if guard.finished:  # its client left or was already answered: never send it
            self._write_outcome(guard, Outcome.NEVER_RAN, 0)
        else:
            guard.send(self._since_earlier_ms(decision))

    def _on_deadline(self, guard: Guard) -> None:
        """The deadline passed while the request waited for the disk. Nothing was sent."""
        guard.timer = None
        self.refused += 1
        self._answer(guard, guard.busy)

    def _answer(self, guard: Guard, answer: LocalReply) -> None:
        self._stop_timer(guard)
        call = guard.call
        if call is not None and not guard.finished:
            guard.finished = True
            call.client.answer(call, answer)

    def _stop_timer(self, guard: Guard) -> None:
        if guard.timer is not None:
            self.cancel(guard.timer)
            guard.timer = None

    # -- request end
    def ended(self, guard: Guard, status: int, ran: bool) -> None:
        """Records the outcome of a request. `ran`: an attempt may have run, or may still run."""
        self._stop_timer(guard)
        if guard.active_key is None or guard.active_key.phase is not Phase.OUT:
            return  # still waiting for the store, or answered without being sent
        outcome = Outcome.SERVED if status == 200 else Outcome.FAILED if ran else Outcome.NEVER_RAN
        self._write_outcome(guard, outcome, status)

    def _write_outcome(self, guard: Guard, outcome: Outcome, status: int) -> None:
        active_key = self.tracker.active[guard.key]
        effect = self.tracker.request_ended(guard.key, outcome, status)
        change = Change(RecordKind.DELETE, guard.key) if effect is None else self._put_change(guard, effect)
        try:
            self.committer.submit([change], partial(self._on_outcome_written, guard.key, active_key))
        except StoreError as error:
            self._on_outcome_written(guard.key, active_key, error)

    def _on_outcome_written(self, key: bytes, active_key: ActiveKey, problem: StoreError | None) -> None:
        if problem is not None:  # the intent remains: the request counts as possibly run, which is safe
            log.warning("the outcome of a request could not be written: %s", problem)
        self.tracker.outcome_written(key, active_key)

    def metrics(self) -> dict[str, Any]:
        """Metrics for the console and the administration API."""
        counts, store = self.tracker.counts, self.committer.metrics
        return {
            "store": self.committer.state.value,
            "in_hand": len(self.tracker.active),
            "begun": counts.started,
            "sent_again": counts.restarted,
            "told": counts.replayed,
            "denied": dict(counts.rejected),
            "refused": self.refused,
            "keys": len(self.committer.engine.index),
            "commits": store.commits,
            "changes": store.changes,
            "turned_away": store.rejected,
            "waiting_bytes": store.queued_bytes,
            "slowest_commit_ms": round(store.slowest_commit_s * 1e3, 3),
        }


def _log_write_error(problem: StoreError | None) -> None:
    if problem is not None:
        log.warning("a request was sent, but its intent could not be written: %s", problem)


def replay_reply(status: int) -> LocalReply:
    """The reply to a repeat of a served request: its fate and status only, as bodies are not stored."""
    body = json.dumps({"fate": "served", "status": status}).encode()
    return LocalReply(
        200,
        (
            b"Content-Type: application/json\r\n",
            b"Cache-Control: no-store\r\n",
            b"Idempotency-Replayed: true\r\n",
        ),
        body,
    )


def rejection_reply(reason: RejectReason) -> LocalReply:
    """The problem reply to a rejected request."""
    if reason is RejectReason.MISMATCH:
        return reply(422, "idempotency-key-reused", "Use a new Idempotency-Key for another request.")
    if reason is RejectReason.IN_PROGRESS:
        return reply(
            409,
            "idempotency-in-hand",
            "The first request under this key is not over.",
            RETRY_AFTER_S,
            fate="in-hand",
        )
    return reply(
        409,
        "idempotency-unknown",
        "A request under this key may have run. Ask for its result before you use a new key.",
        fate="unknown",
    )
