"""Between the door, the memory of effects and the store: what waits for the disk, and for how long."""

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

from notchflow.effects.memory import (
    Begin,
    Deny,
    End,
    Held,
    Look,
    Memory,
    Phase,
    Rule,
    Tell,
    Verdict,
    Why,
)
from notchflow.effects.record import Effect, decode, fingerprint
from notchflow.net.exchange import ClientRequest, LocalReply
from notchflow.net.timers import TimerId
from notchflow.store.commit import Committer
from notchflow.store.engine import Change, StoreError
from notchflow.store.frames import Kind, Record
from notchflow.tenancy.problems import reply

log = logging.getLogger(__name__)

RETRY_S: Final = 1.0
BOOT_ID: Final = Path("/proc/sys/kernel/random/boot_id")
Go = Callable[[float | None], None]


class Hosted(Protocol):
    """The host's time and classes, as far as the keeper needs them."""

    classes: dict[str, float]  # deadlines, milliseconds

    def call_at(self, due: float, call: Callable[..., None], argument: Any = None) -> TimerId: ...


def this_boot() -> int:
    """A number for this run of the machine; where none is told, one that no earlier process had, so that no
    window is held to be open over a restart."""
    try:
        return uuid.UUID(BOOT_ID.read_text().strip()).int >> 64
    except (OSError, ValueError):
        return secrets.randbits(64)


def boot_ms() -> int:
    """Milliseconds since the machine was started, also while it slept."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class Guard:
    """One request under the memory's rules, from the door to its end."""

    __slots__ = ("keeper", "key", "rule", "call", "go", "timer", "over", "busy", "held")

    def __init__(
        self, keeper: Keeper, key: bytes, rule: Rule, call: ClientRequest, busy: LocalReply, go: Go
    ) -> None:
        self.keeper, self.key, self.rule = keeper, key, rule
        self.call: ClientRequest | None = call
        self.busy, self.go = busy, go
        self.timer: TimerId | None = None
        self.over = False  # answered or left while it waited for the store
        self.held: Held | None = None  # what is in hand under the key, if it is for this request

    def ended(self, status: int, ran: bool) -> None:
        """The request is over for its client. `ran`: an attempt may have run, or may yet."""
        self.over = True
        self.call = None
        self.keeper.ended(self, status, ran)

    def begin(self, call: ClientRequest, cls: str) -> LocalReply | None:
        """Sends the request on, now or later, or says why not."""
        return self.keeper.begin(self, call, cls)


class Keeper:
    """The memory, its store, and those who wait."""

    def __init__(
        self,
        committer: Committer,
        host: Hosted,
        cancel: Callable[[TimerId], None],
        boot: int | None = None,
        clock: Callable[[], int] = boot_ms,
    ) -> None:
        self.committer, self.host, self.cancel, self.clock = committer, host, cancel, clock
        self.memory = Memory(this_boot() if boot is None else boot)
        self.rules: dict[str, Rule] = {}  # by class; others are not remembered
        self.refused = 0  # as the store could not take or give what was asked

    def guard(self, call: ClientRequest, cls: str, key: bytes, busy: LocalReply, go: Go) -> Guard | None:
        """For a request with an idempotency key; none where the class needs none."""
        rule = self.rules.get(cls)
        return Guard(self, key, rule, call, busy, go) if rule is not None else None

    def begin(self, guard: Guard, call: ClientRequest, cls: str) -> LocalReply | None:
        """What the client is told at once; none where it is told later, or the request is sent."""
        known, print_ = self.committer.known(guard.key), fingerprint(call.method, call.url, call.body)
        deadline = call.arrived_at + self.host.classes[cls]
        verdict = self.memory.ask(guard.key, print_, guard.rule, self.clock(), known)
        answer = self._act(guard, verdict)
        if answer is None and not guard.over and self._waits(guard):
            guard.timer = self.host.call_at(deadline, self._too_late, guard)
        return answer

    def _waits(self, guard: Guard) -> bool:
        held = self.memory.hand.get(guard.key)
        return held is not None and held.phase in (Phase.LOOKING, Phase.WRITING)

    def _act(self, guard: Guard, verdict: Verdict) -> LocalReply | None:
        if isinstance(verdict, Tell):
            return told(verdict.status)
        if isinstance(verdict, Deny):
            return denied(verdict.why)
        if isinstance(verdict, Look):
            self.committer.read(guard.key, partial(self._found, guard))
            return None
        guard.held = self.memory.hand[guard.key]
        try:
            done = partial(self._durable, guard, verdict) if verdict.wait else _ignore
            self.committer.submit([self._put(guard, verdict.effect)], done)
        except StoreError as error:
            return self._unwritten(guard, verdict, error)
        if not verdict.wait:
            guard.go(self._earlier(verdict))
        return None

    def _unwritten(self, guard: Guard, verdict: Begin, error: StoreError) -> LocalReply:
        """What cannot be remembered is not sent."""
        log.debug("an intent is not written: %s", error)
        self.refused += 1
        held, guard.held = guard.held, None
        if verdict.wait:
            self.memory.not_durable(guard.key)
        elif held is not None:
            self.memory.ended(guard.key, End.NEVER_RAN)
            self.memory.closed(guard.key, held)
        return guard.busy

    def _earlier(self, verdict: Begin) -> float | None:
        """How long ago an attempt may first have run, milliseconds."""
        return None if verdict.earlier_ms is None else float(self.clock() - verdict.earlier_ms)

    def _put(self, guard: Guard, effect: Effect) -> Change:
        return Change(Kind.PUT, guard.key, effect.encode(), self.committer.now() + guard.rule.keep_ms)

    # -- the store answers, on the loop
    def _found(self, guard: Guard, found: Record | StoreError | None) -> None:
        effect: Effect | None = None
        problem = found if isinstance(found, StoreError) else None
        if isinstance(found, Record):
            try:
                effect = decode(found.value)
            except ValueError as error:
                problem = StoreError(f"a record is not ours: {error}")
        if problem is not None or guard.over:
            if problem is not None:
                log.error("what became of a request cannot be read: %s", problem)
                self.refused += 1
            self.memory.unread(guard.key)
            self._answer(guard, guard.busy)
            return
        verdict = self.memory.found(guard.key, effect, self.clock())
        answer = self._act(guard, verdict)
        if answer is not None:
            self._answer(guard, answer)
        elif not self._waits(guard):
            self._stop_timer(guard)

    def _durable(self, guard: Guard, verdict: Begin, problem: StoreError | None) -> None:
        self._stop_timer(guard)
        if problem is not None:
            self._answer(guard, self._unwritten(guard, verdict, problem))
            return
        self.memory.durable(guard.key)
        if guard.over:  # its client has left or was refused: it is never sent
            self._close(guard, End.NEVER_RAN, 0)
        else:
            guard.go(self._earlier(verdict))

    def _too_late(self, guard: Guard) -> None:
        """The disk is too slow for this client. Nothing was sent."""
        guard.timer = None
        self.refused += 1
        self._answer(guard, guard.busy)

    def _answer(self, guard: Guard, answer: LocalReply) -> None:
        self._stop_timer(guard)
        call = guard.call
        if call is not None and not guard.over:
            guard.over = True
            call.client.answer(call, answer)

    def _stop_timer(self, guard: Guard) -> None:
        if guard.timer is not None:
            self.cancel(guard.timer)
            guard.timer = None

    # -- the request ends
    def ended(self, guard: Guard, status: int, ran: bool) -> None:
        self._stop_timer(guard)
        if guard.held is None or guard.held.phase is not Phase.OUT:
            return  # it waits for the store still, or was answered without being sent
        end = End.SERVED if status == 200 else End.FAILED if ran else End.NEVER_RAN
        self._close(guard, end, status)

    def _close(self, guard: Guard, end: End, status: int) -> None:
        held = self.memory.hand[guard.key]
        effect = self.memory.ended(guard.key, end, status)
        change = Change(Kind.DELETE, guard.key) if effect is None else self._put(guard, effect)
        try:
            self.committer.submit([change], partial(self._closed, guard.key, held))
        except StoreError as error:
            self._closed(guard.key, held, error)

    def _closed(self, key: bytes, held: Held, problem: StoreError | None) -> None:
        if problem is not None:  # the intent stands: it is held to have run, which is safe
            log.warning("the end of a request is not written: %s", problem)
        self.memory.closed(key, held)

    def figures(self) -> dict[str, Any]:
        """For the console and the administration API."""
        counts, store = self.memory.counts, self.committer.figures
        return {
            "store": self.committer.state.value,
            "in_hand": len(self.memory.hand),
            "begun": counts.begun,
            "sent_again": counts.again,
            "told": counts.told,
            "denied": dict(counts.denied),
            "refused": self.refused,
            "keys": len(self.committer.engine.index),
            "commits": store.commits,
            "changes": store.changes,
            "turned_away": store.turned_away,
            "waiting_bytes": store.waiting,
            "slowest_commit_ms": round(store.slowest_s * 1e3, 3),
        }


def _ignore(problem: StoreError | None) -> None:
    if problem is not None:
        log.warning("an intent was sent on and is not written: %s", problem)


def told(status: int) -> LocalReply:
    """A repeat of what was served: its fate, as answers are not kept."""
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


def denied(why: Why) -> LocalReply:
    if why is Why.MISMATCH:
        return reply(422, "idempotency-key-reused", "Use a new Idempotency-Key for another request.")
    if why is Why.IN_HAND:
        return reply(
            409,
            "idempotency-in-hand",
            "The first request under this key is not over.",
            RETRY_S,
            fate="in-hand",
        )
    return reply(
        409,
        "idempotency-unknown",
        "A request under this key may have run. Ask for its result before you use a new key.",
        fate="unknown",
    )
