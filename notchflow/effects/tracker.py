"""The idempotency state machine: decides what a request with an idempotency key may do.

It has no I/O and no clock. Its inputs are events (a request arrived, a record was read, an intent became
durable, a request ended); its outputs are decisions. Each active key is in one phase:

    LOOKING   its record is being read
    WRITING   its intent is being written: nothing may be sent yet
    OUT       the request was sent and may be running
    CLOSING   the request has ended and its outcome is being written

Rules: the intent of an unsafe request is durable before its first byte is sent. A request is sent a second
time under the same key only if it is certain that nothing ran, or if the class is keyed, its nodes still
deduplicate the key, and the boot clock that measures this window has not been reset (the wall clock is never
used). An active key never has two requests in flight.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Final, TypeAlias

from notchflow.effects.record import Effect, Fate
from notchflow.interface import Effect as Kind

MARGIN_MS: Final = 25  # closes the window early: a node starts counting when it receives the request


@dataclass(frozen=True, slots=True)
class IdempotencyRule:
    """How a class is remembered: `keep_ms` is the lifetime of its records, `window_ms` how long nodes
    deduplicate a key (keyed classes only)."""

    kind: Kind
    keep_ms: int
    window_ms: float = 0.0

    def __post_init__(self) -> None:
        if self.kind is Kind.SAFE:
            raise ValueError("a safe class needs no idempotency records")
        if self.keep_ms <= self.window_ms:
            raise ValueError(f"keep_ms: {self.keep_ms} ms is no longer than the window, {self.window_ms:g}")


class RejectReason(Enum):
    """Why a request is rejected."""

    IN_PROGRESS = "in-hand"  # an earlier request under the key is in progress
    UNKNOWN = "unknown"  # an earlier request may have run; its outcome is not known
    MISMATCH = "mismatch"  # the key was used for a different request


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the key's record, then call `record_read` or `read_failed`."""


@dataclass(frozen=True, slots=True)
class Start:
    """Write `effect` and send the request: once the record is durable if `wait` is set, else at once.
    `earlier_attempt_ms` is when an attempt under this key may first have run, on this boot's clock; None if
    none has."""

    effect: Effect
    wait: bool
    earlier_attempt_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Replay:
    """Do not send: an earlier request was served with this status, which is replayed."""

    status: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Do not send: reject the request."""

    reason: RejectReason


Decision: TypeAlias = ReadRecord | Start | Replay | Reject


class Phase(Enum):
    """The phase of an active key."""

    LOOKING = "looking"
    WRITING = "writing"
    OUT = "out"
    CLOSING = "closing"


class Outcome(Enum):
    """How a started request ended."""

    SERVED = "served"
    NEVER_RAN = "never ran"
    FAILED = "failed"


class InvalidTransition(Exception):
    """The event is not possible in the key's phase: a bug in the calling code."""


@dataclass(slots=True)
class ActiveKey:
    """The state of a key whose request is in progress."""

    phase: Phase
    rule: IdempotencyRule
    fingerprint: bytes
    effect: Effect | None = None  # the record last written, or being written
    restarted: bool = False  # an earlier request under the key may have run
    deleting_record: bool = False  # closing: nothing ran, the record is being deleted


@dataclass(slots=True)
class Counts:
    """Number of decisions by type."""

    started: int = 0
    restarted: int = 0
    replayed: int = 0
    rejected: dict[str, int] = field(default_factory=lambda: {reason.value: 0 for reason in RejectReason})


class IdempotencyTracker:
    """The active keys. `boot` identifies the machine's current boot."""

    def __init__(self, boot: int) -> None:
        self.boot = boot
        self.active: dict[bytes, ActiveKey] = {}
        self.counts = Counts()

    # -- request arrival
    def request_arrived(
        self, key: bytes, fingerprint: bytes, rule: IdempotencyRule, now_ms: int, known: bool
    ) -> Decision:
        """Decides on a new request. `now_ms` is on this boot's clock; `known` says whether the store has a
        record of the key."""
        active_key = self.active.get(key)
        if active_key is None:
            if known:
                self.active[key] = ActiveKey(Phase.LOOKING, rule, fingerprint)
                return ReadRecord()
            return self._start(key, fingerprint, rule, now_ms, None)
        if active_key.fingerprint != fingerprint:
            return self._reject(RejectReason.MISMATCH)
        if active_key.phase is not Phase.CLOSING or active_key.effect is None:
            return self._reject(RejectReason.IN_PROGRESS)
        if active_key.deleting_record:  # the queued delete is written before the intent of this request
            return self._start(key, fingerprint, rule, now_ms, None)
        return self._decide_by_record(key, active_key.effect, rule, now_ms)

    def record_read(self, key: bytes, effect: Effect | None, now_ms: int) -> Decision:
        """Decides once the record has been read; `effect` is None if the store has none."""
        active_key = self._active_in(key, Phase.LOOKING)
        del self.active[key]
        if effect is None:
            return self._start(key, active_key.fingerprint, active_key.rule, now_ms, None)
        if effect.fingerprint != active_key.fingerprint:
            return self._reject(RejectReason.MISMATCH)
        return self._decide_by_record(key, effect, active_key.rule, now_ms)

    def _decide_by_record(self, key: bytes, effect: Effect, rule: IdempotencyRule, now_ms: int) -> Decision:
        if self._window_open(effect, rule, now_ms):
            return self._start(key, effect.fingerprint, rule, now_ms, effect)
        if effect.fate is Fate.SERVED:
            self.counts.replayed += 1
            return Replay(effect.status)
        return self._reject(RejectReason.UNKNOWN)

    def _window_open(self, effect: Effect, rule: IdempotencyRule, now_ms: int) -> bool:
        """Whether nodes still deduplicate the key. Valid only within the same boot: its clock is affected
        neither by wall clock steps nor by a restart of the proxy."""
        return (
            rule.kind is Kind.KEYED
            and effect.boot == self.boot
            and effect.first_ms <= now_ms < effect.first_ms + rule.window_ms - MARGIN_MS
        )

    def _start(
        self, key: bytes, fingerprint: bytes, rule: IdempotencyRule, now_ms: int, earlier: Effect | None
    ) -> Start:
        first = earlier.first_ms if earlier is not None else now_ms
        # A key that was served stays so, whatever becomes of its repeats.
        effect = (
            earlier
            if earlier is not None and earlier.fate is Fate.SERVED
            else Effect(Fate.INTENDED, fingerprint, self.boot, first)
        )
        wait = rule.kind is Kind.UNSAFE
        phase = Phase.WRITING if wait else Phase.OUT
        self.active[key] = ActiveKey(phase, rule, fingerprint, effect, earlier is not None)
        if earlier is None:
            self.counts.started += 1
        else:
            self.counts.restarted += 1
        return Start(effect, wait, None if earlier is None else first)

    def _reject(self, reason: RejectReason) -> Reject:
        self.counts.rejected[reason.value] += 1
        return Reject(reason)

    # -- store results
    def read_failed(self, key: bytes) -> None:
        """The record could not be read: the request is rejected and the key is no longer active."""
        self._active_in(key, Phase.LOOKING)
        del self.active[key]

    def intent_durable(self, key: bytes) -> None:
        """The intent is durable: the request may be sent."""
        self._active_in(key, Phase.WRITING).phase = Phase.OUT

    def intent_failed(self, key: bytes) -> None:
        """The intent could not be made durable, and nothing is sent. It may still have reached the disk:
        after a restart the request then counts as possibly run, which is safe."""
        self._active_in(key, Phase.WRITING)
        del self.active[key]

    # -- request end
    def request_ended(self, key: bytes, outcome: Outcome, status: int = 0) -> Effect | None:
        """Returns the record to write, or None if the key's record is to be deleted. Call `outcome_written`
        with the key's state afterwards."""
        active_key = self._active_in(key, Phase.OUT)
        assert active_key.effect is not None
        active_key.phase = Phase.CLOSING
        # If the key was sent before, the earlier request may have run whatever became of this one.
        active_key.deleting_record = outcome is Outcome.NEVER_RAN and not active_key.restarted
        if active_key.deleting_record:
            return None
        if outcome is Outcome.SERVED:
            active_key.effect = replace(active_key.effect, fate=Fate.SERVED, status=status)
        elif active_key.effect.fate is not Fate.SERVED:
            active_key.effect = replace(active_key.effect, fate=Fate.FAILED, status=0)
        return active_key.effect

    def outcome_written(self, key: bytes, active_key: ActiveKey) -> None:
        """The outcome is durable or could not be written: from now on the stored record decides, unless the
        key is active again."""
        if self.active.get(key) is active_key:
            del self.active[key]

    def _active_in(self, key: bytes, phase: Phase) -> ActiveKey:
        active_key = self.active.get(key)
        if active_key is None or active_key.phase is not phase:
            state = active_key.phase.value if active_key is not None else "not active"
            raise InvalidTransition(f"invalid transition: the key is {state}, expected {phase.value}")
        return active_key
