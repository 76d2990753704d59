"""The idempotency state machine, also against a model of which requests may have run."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from notchflow.effects.record import Effect, Fate, decode, fingerprint
from notchflow.effects.tracker import (
    ActiveKey,
    IdempotencyRule,
    IdempotencyTracker,
    InvalidTransition,
    Outcome,
    Phase,
    ReadRecord,
    Reject,
    RejectReason,
    Replay,
    Start,
)
from notchflow.interface import Effect as Kind

UNSAFE = IdempotencyRule(Kind.UNSAFE, 60_000)
KEYED = IdempotencyRule(Kind.KEYED, 60_000, 750.0)
ONE, OTHER = b"a" * 16, b"b" * 16


def start(tracker: IdempotencyTracker, rule: IdempotencyRule = UNSAFE, now: int = 1000) -> Start:
    decision = tracker.request_arrived(b"k", ONE, rule, now, False)
    assert isinstance(decision, Start)
    if decision.wait:
        tracker.intent_durable(b"k")
    return decision


def test_an_unsafe_request_waits_for_its_intent_and_a_keyed_one_does_not() -> None:
    decision = IdempotencyTracker(7).request_arrived(b"k", ONE, UNSAFE, 1000, False)
    assert decision == Start(Effect(Fate.INTENDED, ONE, 7, 1000), True)
    decision = IdempotencyTracker(7).request_arrived(b"k", ONE, KEYED, 1000, False)
    assert decision == Start(Effect(Fate.INTENDED, ONE, 7, 1000), False)


def test_a_repeat_is_rejected_in_every_phase_of_the_first_request() -> None:
    tracker = IdempotencyTracker(7)
    tracker.request_arrived(b"k", ONE, UNSAFE, 0, True)
    assert tracker.request_arrived(b"k", ONE, UNSAFE, 1, True) == Reject(RejectReason.IN_PROGRESS), "looking"
    tracker.record_read(b"k", None, 2)
    assert tracker.request_arrived(b"k", ONE, UNSAFE, 3, False) == Reject(RejectReason.IN_PROGRESS), "writing"
    tracker.intent_durable(b"k")
    assert tracker.request_arrived(b"k", ONE, UNSAFE, 4, True) == Reject(RejectReason.IN_PROGRESS), "out"
    assert tracker.request_arrived(b"k", OTHER, UNSAFE, 5, True) == Reject(RejectReason.MISMATCH)


@pytest.mark.parametrize(
    ("outcome", "status", "decision"),
    [
        (Outcome.SERVED, 200, Replay(200)),
        (Outcome.FAILED, 502, Reject(RejectReason.UNKNOWN)),
        (Outcome.NEVER_RAN, 503, Start(Effect(Fate.INTENDED, ONE, 7, 1100), True)),
    ],
)
def test_a_repeat_while_the_outcome_is_written_gets_that_outcome(
    outcome: Outcome, status: int, decision: object
) -> None:
    tracker = IdempotencyTracker(7)
    start(tracker)
    active_key = tracker.active[b"k"]
    tracker.request_ended(b"k", outcome, status)
    assert tracker.request_arrived(b"k", ONE, UNSAFE, 1100, True) == decision
    tracker.outcome_written(b"k", active_key)
    assert (tracker.active == {}) is (outcome is not Outcome.NEVER_RAN), "a key that is active again stays so"


@pytest.mark.parametrize(
    ("fate", "decision"),
    [
        (Fate.SERVED, Replay(200)),
        (Fate.FAILED, Reject(RejectReason.UNKNOWN)),
        (Fate.INTENDED, Reject(RejectReason.UNKNOWN)),
    ],
)
def test_after_a_crash_an_unsafe_request_is_answered_from_its_fate(fate: Fate, decision: object) -> None:
    for boot in (7, 8):
        tracker = IdempotencyTracker(7)
        assert tracker.request_arrived(b"k", ONE, UNSAFE, 1000, True) == ReadRecord()
        status = 200 if fate is Fate.SERVED else 0
        assert tracker.record_read(b"k", Effect(fate, ONE, boot, 990, status), 1000) == decision
        assert tracker.active == {}


def test_a_request_that_never_ran_may_be_sent_again() -> None:
    tracker = IdempotencyTracker(7)
    start(tracker)
    active_key = tracker.active[b"k"]
    assert tracker.request_ended(b"k", Outcome.NEVER_RAN, 503) is None, "its record is deleted"
    tracker.outcome_written(b"k", active_key)
    assert isinstance(tracker.request_arrived(b"k", ONE, UNSAFE, 1100, False), Start)


def test_a_keyed_repeat_is_sent_only_within_the_window_that_the_first_request_opened() -> None:
    tracker = IdempotencyTracker(7)
    for now, decision in (
        (1500, Start(Effect(Fate.INTENDED, ONE, 7, 1000), False, 1000)),
        (1724, Start(Effect(Fate.INTENDED, ONE, 7, 1000), False, 1000)),
        (1725, Reject(RejectReason.UNKNOWN)),
        (999, Reject(RejectReason.UNKNOWN)),
    ):
        tracker.request_arrived(b"k", ONE, KEYED, now, True)
        assert tracker.record_read(b"k", Effect(Fate.FAILED, ONE, 7, 1000), now) == decision, now
        tracker.active.clear()
    tracker.request_arrived(b"k", ONE, KEYED, 1500, True)
    assert tracker.record_read(b"k", Effect(Fate.INTENDED, ONE, 8, 1000), 1500) == Reject(
        RejectReason.UNKNOWN
    ), "another boot"
    tracker.request_arrived(b"k", ONE, KEYED, 5000, True)
    assert tracker.record_read(b"k", Effect(Fate.SERVED, ONE, 7, 1000, 200), 5000) == Replay(200)


def test_a_repeat_that_never_ran_keeps_the_record_if_the_first_request_may_have_run() -> None:
    tracker = IdempotencyTracker(7)
    tracker.request_arrived(b"k", ONE, KEYED, 1500, True)
    tracker.record_read(b"k", Effect(Fate.FAILED, ONE, 7, 1000), 1500)
    assert tracker.request_ended(b"k", Outcome.NEVER_RAN, 503) == Effect(Fate.FAILED, ONE, 7, 1000)


@pytest.mark.parametrize("outcome", [Outcome.NEVER_RAN, Outcome.FAILED])
def test_a_key_that_was_served_stays_so_whatever_becomes_of_its_repeat(outcome: Outcome) -> None:
    """Guards against telling a client that a write's fate is unknown, after it was told of success."""
    served = Effect(Fate.SERVED, ONE, 7, 1000, 200)
    tracker = IdempotencyTracker(7)
    tracker.request_arrived(b"k", ONE, KEYED, 1500, True)
    decision = tracker.record_read(b"k", served, 1500)
    assert decision == Start(served, False, 1000), "the record says so too, if the process dies now"
    active_key = tracker.active[b"k"]
    assert tracker.request_ended(b"k", outcome, 503) == served
    tracker.outcome_written(b"k", active_key)
    tracker.request_arrived(b"k", ONE, KEYED, 5000, True)
    assert tracker.record_read(b"k", served, 5000) == Replay(200)


def test_a_different_request_under_a_known_key_is_rejected() -> None:
    tracker = IdempotencyTracker(7)
    tracker.request_arrived(b"k", OTHER, UNSAFE, 1500, True)
    assert tracker.record_read(b"k", Effect(Fate.SERVED, ONE, 7, 1000, 200), 1500) == Reject(
        RejectReason.MISMATCH
    )


def test_invalid_transitions_raise() -> None:
    tracker = IdempotencyTracker(7)
    for event in (
        lambda: tracker.intent_durable(b"k"),
        lambda: tracker.request_ended(b"k", Outcome.SERVED),
        lambda: tracker.record_read(b"k", None, 0),
        lambda: tracker.read_failed(b"k"),
        lambda: tracker.intent_failed(b"k"),
    ):
        with pytest.raises(InvalidTransition, match="not active"):
            event()
    start(tracker)
    with pytest.raises(InvalidTransition, match="out"):
        tracker.intent_durable(b"k")


def test_invalid_rules_are_rejected() -> None:
    with pytest.raises(ValueError, match="safe"):
        IdempotencyRule(Kind.SAFE, 1000)
    with pytest.raises(ValueError, match="window"):
        IdempotencyRule(Kind.KEYED, 500, 500.0)


def test_records_round_trip_and_other_bytes_are_rejected() -> None:
    effect = Effect(Fate.SERVED, ONE, 2**64 - 1, 123, 200)
    assert decode(effect.encode()) == effect
    for bad in (b"", effect.encode()[:-1], b"\2" + effect.encode()[1:], b"\1\7" + effect.encode()[2:]):
        with pytest.raises(ValueError):
            decode(bad)


def test_fingerprints_differ_by_method_target_and_body() -> None:
    found = {
        fingerprint(b"POST", b"/a", [b"xy"]),
        fingerprint(b"POST", b"/ax", [b"y"]),
        fingerprint(b"PUT", b"/a", [b"xy"]),
        fingerprint(b"POST", b"/a", [b"xyz"]),
        fingerprint(b"POST", b"/a 2 x", [b"y"]),
    }
    assert len(found) == 5
    assert fingerprint(b"POST", b"/a", [b"x", b"y"]) == fingerprint(b"POST", b"/a", [b"xy"])


@dataclass
class SendLog:
    """The model of one key: when it was sent without having been shown never to have run."""

    sent: list[int] = field(default_factory=list)
    served: bool = False


@pytest.mark.parametrize("seed", range(200))
def test_no_sequence_of_repeats_crashes_and_lost_records_resends_a_request_that_may_have_run(
    seed: int,
) -> None:
    """Random events over a few keys. A crash loses every record that is not durable yet."""
    rng, now, boot = random.Random(seed), 1000, 7
    disk: dict[bytes, Effect] = {}
    rules = {b"%d" % n: KEYED if n % 3 == 0 else UNSAFE for n in range(12)}
    tracker, logs = IdempotencyTracker(boot), {key: SendLog() for key in rules}
    writing: dict[bytes, Effect | None] = {}  # the newest write of a key that is not durable yet
    closing: dict[bytes, ActiveKey] = {}
    out: set[bytes] = set()
    sends = 0

    def send(key: bytes, decision: Start) -> None:
        nonlocal sends
        sends += 1
        log = logs[key]
        if rules[key].kind is Kind.UNSAFE:
            assert not log.sent, "it may have run"
            assert disk[key] == decision.effect, "the intent is durable before the first byte"
        elif log.sent:
            assert now < log.sent[0] + rules[key].window_ms, "nodes may no longer deduplicate it"
        log.sent.append(now)
        out.add(key)

    for _ in range(600):
        now += rng.choice([0, 1, 50, 400])
        key = rng.choice(sorted(logs))
        draw = rng.random()
        active_key = tracker.active.get(key)
        if draw < 0.45:
            decision = tracker.request_arrived(key, ONE, rules[key], now, key in disk)
            if isinstance(decision, ReadRecord):
                decision = tracker.record_read(key, disk[key], now)
            if isinstance(decision, Start):
                if active_key is not None and key in writing and rng.random() < 0.8:
                    disk.pop(key, None)  # the delete that freed the key is written first
                writing[key] = decision.effect
                if not decision.wait:
                    disk[key] = decision.effect  # made durable at once: losing it would permit a resend
                    send(key, decision)
            elif isinstance(decision, Replay):
                assert logs[key].served
        elif draw < 0.65 and active_key is not None and active_key.phase is Phase.WRITING:
            effect = writing.pop(key)
            assert effect is not None
            if rng.random() < 0.8:
                disk[key] = effect
                tracker.intent_durable(key)
                send(key, Start(effect, True))
            else:
                if rng.random() < 0.5:
                    disk[key] = effect  # the write failed but reached the disk anyway
                tracker.intent_failed(key)
        elif draw < 0.85 and key in out:
            out.discard(key)
            outcome = rng.choice(list(Outcome))
            log = logs[key]
            if outcome is Outcome.NEVER_RAN:
                log.sent.pop()
            log.served |= outcome is Outcome.SERVED
            closing[key] = tracker.active[key]
            writing[key] = tracker.request_ended(key, outcome, 200 if outcome is Outcome.SERVED else 503)
        elif draw < 0.95 and active_key is not None and active_key.phase is Phase.CLOSING:
            effect = writing.pop(key)
            if rng.random() < 0.8:
                if effect is None:
                    disk.pop(key, None)
                else:
                    disk[key] = effect
            tracker.outcome_written(key, closing[key])
        elif draw > 0.98:
            tracker, writing = IdempotencyTracker(boot), {}
            out.clear()
    assert sends > 5
