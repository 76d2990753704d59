"""A request in hand: its attempts, and what the rules still allow for it."""

from __future__ import annotations

import math
from collections.abc import Container, Iterator
from heapq import heappop, heappush
from typing import Final

from notchflow.interface import Effect, Group, Request, RequestClass, Status
from notchflow.policy.nodes import READY, SAFE, UNSAFE, Node

WINDOW_MARGIN_MS: Final = 5.0


class Pending:
    """A request in hand: its attempts, and what the rules still allow for it."""

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
        "until",
    )

    def __init__(self, request: Request, cls: RequestClass, most: int) -> None:
        self.request, self.cls, self.max_attempts = request, cls, most
        self.deadline, self.body_incomplete = request.deadline, request.body_incomplete
        self.outstanding: dict[int, tuple[Node, float]] = {}
        self.tried: tuple[Node, ...] = ()
        self.may_have_run: tuple[tuple[Node, float], ...] = ()
        self.attempts = 0
        self.done = False
        self.streaming = False
        self.until = math.inf  # no attempt begins from then on: boxes forget an earlier one under its key
        if request.earlier is not None:
            window = cls.window_ms - WINDOW_MARGIN_MS if cls.effect is Effect.KEYED else 0.0
            self.until = request.earlier + window

    def ended(self, attempt: int, status: Status) -> None:
        sent = self.outstanding.pop(attempt)
        if not status.never_ran:
            self.may_have_run = *self.may_have_run, sent

    def before(self) -> float:
        """From when on no attempt may begin: servers forget what may have run under its key."""
        if self.cls.effect is not Effect.KEYED:
            return self.until
        earliest = min((at for _, at in (*self.may_have_run, *self.outstanding.values())), default=math.inf)
        return min(self.until, earliest + self.cls.window_ms - WINDOW_MARGIN_MS)

    def allows(self, node: Node, now: float) -> bool:
        if node.member.state is not READY or now >= self.until or node in self.tried:
            return False
        return not self.attempts or self.may_go(node, now)

    def may_go(self, node: Node, now: float) -> bool:
        if self.cls.effect is SAFE:
            return True
        earlier = [*self.may_have_run, *self.outstanding.values()]
        if self.cls.effect is UNSAFE or not earlier:
            return not earlier
        if now >= self.before():
            return False
        group, here, there = self.cls.group, node.member, [other.member for other, _ in earlier]
        near = group is Group.ALL or all(member.zone == here.zone for member in there)
        return near and (group is not Group.CELL or all(member.cell == here.cell for member in there))

    def may_refuse(self) -> bool:
        if self.cls.effect is SAFE or not (self.may_have_run or self.outstanding):
            return True
        return self.cls.effect is Effect.KEYED and self.cls.group is Group.ALL


class Copies:
    """When which request may have a second copy, and the one timer that is set for the first of them."""

    def __init__(self) -> None:
        self.queue: list[tuple[float, int]] = []  # a heap
        self.at = math.inf

    def add(self, now: float, due: float, number: int) -> bool:
        """Whether a timer must be set for it."""
        heappush(self.queue, (due, number))
        if due < self.at or now > self.at:  # the caller may have lost one or be late
            self.at = due
            return True
        return False

    def come(self, now: float, pending: Container[int]) -> Iterator[int]:
        """The requests that are due and still in hand, first to last."""
        while self.queue and (self.queue[0][0] <= now or self.queue[0][1] not in pending):
            due, number = heappop(self.queue)
            if due <= now:
                yield number

    def next(self, now: float) -> float | None:
        """When a timer must be set for the first that is left, if none is: two would stay two for good."""
        if self.queue and not now < self.at <= self.queue[0][0]:
            self.at = self.queue[0][0]
            return self.at
        if self.at <= now:
            self.at = math.inf
        return None
