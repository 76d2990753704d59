"""Requests that are not yet answered: their attempts, the rules for repeating them, and hedge timers."""

from __future__ import annotations

import math
from collections.abc import Container, Iterator
from heapq import heappop, heappush
from typing import Final, NamedTuple

from notchflow.interface import Effect, Group, Member, Request, RequestClass, Status
from notchflow.policy.nodes import READY, SAFE, UNSAFE, Node

WINDOW_MARGIN_MS: Final = 5.0  # by which repeats stop before the nodes' deduplication window ends


class SentAttempt(NamedTuple):
    """An attempt, and its node as listed when it was sent: a later list may name another zone or cell, or
    none, but the nodes that discard a repeat are those of this one's group."""

    node: Node
    member: Member
    sent_at: float


class Pending:
    """A request that is not yet answered: its attempts, and which further ones the rules allow."""

    __slots__ = (
        "request",
        "cls",
        "deadline",
        "body_incomplete",
        "outstanding",
        "tried",
        "may_have_run",
        "attempts",
        "max_attempts",
        "done",
        "streaming",
        "repeat_until",
    )

    def __init__(self, request: Request, cls: RequestClass, max_attempts: int) -> None:
        self.request, self.cls, self.max_attempts = request, cls, max_attempts
        self.deadline, self.body_incomplete = request.deadline, request.body_incomplete
        self.outstanding: dict[int, SentAttempt] = {}
        self.tried: tuple[Node, ...] = ()
        self.may_have_run: tuple[SentAttempt, ...] = ()
        self.attempts = 0
        self.done = False
        self.streaming = False
        # No attempt may start from this time on, because nodes forget the idempotency key of an earlier one.
        self.repeat_until = math.inf
        if request.may_have_run_since is not None:
            window = cls.window_ms - WINDOW_MARGIN_MS if cls.effect is Effect.KEYED else 0.0
            self.repeat_until = request.may_have_run_since + window

    def attempt_sent(self, now: float, node: Node) -> int:
        """Records the next attempt and returns its number."""
        number = self.attempts
        self.outstanding[number] = SentAttempt(node, node.member, now)
        self.attempts = number + 1
        self.tried = *self.tried, node
        return number

    def attempt_ended(self, attempt: int, status: Status) -> None:
        """Removes an attempt from the outstanding ones and notes whether it may have run."""
        sent = self.outstanding.pop(attempt)
        if not status.never_ran:
            self.may_have_run = *self.may_have_run, sent

    def complete_before(self) -> float:
        """Returns the time before which a node must have the whole of a further attempt. Nodes then forget
        the idempotency key."""
        if self.cls.effect is not Effect.KEYED:
            return self.repeat_until
        earlier = (*self.may_have_run, *self.outstanding.values())
        earliest = min((attempt.sent_at for attempt in earlier), default=math.inf)
        return min(self.repeat_until, earliest + self.cls.window_ms - WINDOW_MARGIN_MS)

    def others_complete_before(self, now: float) -> float:
        """Returns the time before which nodes must have the whole of the outstanding attempts if another one
        is sent now, which may run at once."""
        if self.cls.effect is not Effect.KEYED or not self.outstanding:
            return math.inf
        return now + self.cls.window_ms - WINDOW_MARGIN_MS

    def allows(self, node: Node, now: float) -> bool:
        """Whether an attempt may be sent to a node."""
        if node.member.state is not READY or now >= self.repeat_until or node in self.tried:
            return False
        return not self.attempts or self.may_repeat_on(node, now)

    def may_repeat_on(self, node: Node, now: float) -> bool:
        """Whether the effect of the request class permits another attempt on a node."""
        if self.cls.effect is SAFE:
            return True
        earlier = [*self.may_have_run, *self.outstanding.values()]
        if self.cls.effect is UNSAFE or not earlier:
            return not earlier
        if now >= self.complete_before():
            return False
        group, here, others = self.cls.group, node.member, [attempt.member for attempt in earlier]
        same_zone = group is Group.ALL or all(member.zone == here.zone for member in others)
        return same_zone and (group is not Group.CELL or all(member.cell == here.cell for member in others))

    def may_refuse(self) -> bool:
        """Whether a rejection, which promises that a retry is harmless, is true as the final answer."""
        if self.cls.effect is SAFE or not (self.may_have_run or self.outstanding):
            return True
        return self.cls.effect is Effect.KEYED and self.cls.group is Group.ALL


class HedgeSchedule:
    """When each request may be hedged, and the single timer that is set for the earliest of them."""

    def __init__(self) -> None:
        self.queue: list[tuple[float, int]] = []  # a heap
        self.timer_at = math.inf

    def add(self, now: float, due_at: float, number: int) -> bool:
        """Schedules a request; returns whether a timer must be set for it."""
        heappush(self.queue, (due_at, number))
        if due_at < self.timer_at or now > self.timer_at:  # the timer may be lost or late
            self.timer_at = due_at
            return True
        return False

    def pop_due(self, now: float, pending: Container[int]) -> Iterator[int]:
        """Yields the pending requests that are due, earliest first."""
        while self.queue and (self.queue[0][0] <= now or self.queue[0][1] not in pending):
            due_at, number = heappop(self.queue)
            if due_at <= now:
                yield number

    def next_timer(self, now: float) -> float | None:
        """Returns the time for which a timer must be set, or None if one is already set.

        A second timer would never go away, since each timer that fires sets the next.
        """
        if self.queue and not now < self.timer_at <= self.queue[0][0]:
            self.timer_at = self.queue[0][0]
            return self.timer_at
        if self.timer_at <= now:
            self.timer_at = math.inf
        return None
