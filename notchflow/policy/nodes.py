"""The local state of one node: its weight, its load and its health. Types: notchflow/interface.py."""

from __future__ import annotations

import hashlib
import math
from collections import deque
from typing import Final

from notchflow.interface import Effect, Member, State, Status

ACCEPTS_MULTIPLIER: Final = 1.2  # requests admitted for each one that is answered in time
UNANSWERED_ALLOWANCE: Final = 4.0  # failures tolerated as chance; without it low traffic would cause shedding
DECAY: Final = 0.8  # factor applied to the counters of a throttle at every sample
FIRST_EJECTION_MS: Final = 1_000.0  # every further ejection in a row takes twice as long

# Bound to module names because looking up an enum member costs as much as a function call, and these are
# needed several times per request.
OK, ERROR, FULL, TIMEOUT = Status.OK, Status.ERROR, Status.FULL, Status.TIMEOUT
CONNECT_FAILED, RESET = Status.CONNECT_FAILED, Status.RESET
CANCELLED, MOOT, MISS = Status.CANCELLED, Status.MOOT, Status.MISS
ANSWERED: Final = (OK, ERROR, FULL, MISS)  # any of these proves that the node is alive
INCONCLUSIVE: Final = (CANCELLED, MOOT, MISS)  # no evidence of whether the node answers in time
READY, SAFE, UNSAFE = State.READY, Effect.SAFE, Effect.UNSAFE


def hash64(data: int | str) -> int:
    """Returns a 64-bit hash that is the same in every process."""
    raw = data.encode() if isinstance(data, str) else data.to_bytes(8, "big")
    return int.from_bytes(hashlib.blake2b(raw, digest_size=8).digest(), "big")


class Throttle:
    """Adaptive throttling: admits slightly more requests than were recently answered in time.

    Both counters decay exponentially.
    """

    __slots__ = ("requests", "accepts")

    def __init__(self) -> None:
        self.requests = self.accepts = 0.0

    def count(self, in_time: bool) -> None:
        """Counts a request and whether it was answered in time."""
        self.requests += 1
        self.accepts += in_time

    def decay(self) -> None:
        """Reduces the weight of past requests."""
        self.requests *= DECAY
        self.accepts *= DECAY

    def pressure(self) -> float:
        """Returns the share of requests that should be rejected, from 0 to 1."""
        excess = self.requests - ACCEPTS_MULTIPLIER * self.accepts - UNANSWERED_ALLOWANCE
        return excess / (self.requests + 1) if excess > 0 else 0.0


class ClassHealth:
    """The health of one request class on a node that recently failed it while serving others."""

    __slots__ = ("failures", "ejected_until", "ejection_ms", "outstanding")

    def __init__(self) -> None:
        self.failures = 0  # minus the successful answers since
        self.ejected_until = 0.0
        self.ejection_ms = FIRST_EJECTION_MS
        self.outstanding = 0  # attempts sent since the first failure; trials run one at a time

    def blocks(self, now: float) -> bool:
        """Whether the class is ejected from the node, or a trial after an ejection is outstanding."""
        return self.ejected_until > now or (self.ejected_until > 0 and self.outstanding > 0)


class Node:
    """One node as this instance sees it."""

    __slots__ = (
        "id",
        "salt",
        "member",
        "weight",
        "in_flight",
        "failures",
        "answered_at",
        "cold_until",
        "ejected_until",
        "ejection_ms",
        "cold_send_times",
        "on_trial",
        "throttle",
        "newest",
        "class_health",
        "slowness_ewma",
        "slowness_at",
        "outstanding",
        "tokens",
        "refilled_at",
    )

    def __init__(self, member: Member) -> None:
        self.id = member.node
        self.salt = hash64(member.node)
        self.in_flight = 0
        self.outstanding: dict[tuple[int, int], float] = {}  # (request id, attempt) -> time of sending
        self.cold_until = -math.inf
        self.restart(member)

    def restart(self, member: Member) -> None:
        """Resets what was learned about the node, because it is new or has restarted."""
        self.member = member
        self.weight = 0.0
        self.failures = 0
        self.answered_at = self.newest = -math.inf  # newest: latest sending time of an answered attempt
        self.ejected_until = 0.0
        self.ejection_ms = FIRST_EJECTION_MS
        self.on_trial = False
        self.cold_send_times: deque[float] = deque()
        self.tokens, self.refilled_at = 0.0, -math.inf  # bucket for requests with another home, while cold
        self.throttle = Throttle()
        self.slowness_ewma, self.slowness_at = 1.0, -math.inf
        self.class_health: dict[str, ClassHealth] = {}
