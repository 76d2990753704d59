"""One server as a balancer knows it, and what it counts there. Types: notchflow/interface.py."""

from __future__ import annotations

import hashlib
import math
from collections import deque
from typing import Final

from notchflow.interface import Effect, Member, State, Status

TOLERANCE: Final = 1.2
CHANCE: Final = 4.0  # unanswered requests that are no evidence yet, at a trickle above all
FADE: Final = 0.8
EJECT_MS: Final = 1_000.0  # a first ejection

# Looking up a member of an enum costs as much as a call: these are looked up several times a request.
OK, ERROR, FULL, TIMEOUT = Status.OK, Status.ERROR, Status.FULL, Status.TIMEOUT
CONNECT_FAILED, RESET = Status.CONNECT_FAILED, Status.RESET
CANCELLED, MOOT, MISS = Status.CANCELLED, Status.MOOT, Status.MISS
ANSWERED: Final = (OK, ERROR, FULL, MISS)  # whatever it says, the server is alive
SILENT: Final = (CANCELLED, MOOT, MISS)  # says nothing of whether the server answers in time
READY, SAFE, UNSAFE = State.READY, Effect.SAFE, Effect.UNSAFE


def mixed(data: int | str) -> int:
    """A 64-bit hash that is the same in every process."""
    raw = data.encode() if isinstance(data, str) else data.to_bytes(8, "big")
    return int.from_bytes(hashlib.blake2b(raw, digest_size=8).digest(), "big")


class Throttle:
    """Lets through no more than a little over what is answered in time (both counted lately)."""

    __slots__ = ("asked", "good")

    def __init__(self) -> None:
        self.asked = self.good = 0.0

    def count(self, good: bool) -> None:
        self.asked += 1
        self.good += good

    def fade(self) -> None:
        """Lets the past fade."""
        self.asked *= FADE
        self.good *= FADE

    def pressure(self) -> float:
        over = self.asked - TOLERANCE * self.good - CHANCE
        return over / (self.asked + 1) if over > 0 else 0.0


class Mute:
    """A class that a server has lately failed, while it served others."""

    __slots__ = ("failures", "until", "pause", "out")

    def __init__(self) -> None:
        self.failures = 0  # less the answers since
        self.until = 0.0
        self.pause = EJECT_MS
        self.out = 0  # attempts since it first failed: one at a time tries whether it still does

    def bars(self, now: float) -> bool:
        return self.until > now or (self.until > 0 and self.out > 0)


class Node:
    """One server as this balancer knows it."""

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
        "pause",
        "cold_sent",
        "trial",
        "throttle",
        "newest",
        "mutes",
        "slow",
        "slow_at",
        "outstanding",
        "tokens",
        "refilled_at",
    )

    def __init__(self, member: Member) -> None:
        self.id = member.node
        self.salt = mixed(member.node)
        self.in_flight = 0
        self.outstanding: dict[tuple[int, int], float] = {}  # attempts under way: when each was sent
        self.cold_until = -math.inf
        self.restart(member)

    def restart(self, member: Member) -> None:
        self.member = member
        self.weight = 0.0
        self.failures = 0
        self.answered_at = self.newest = -math.inf
        self.ejected_until = 0.0
        self.pause = EJECT_MS
        self.trial = False
        self.cold_sent: deque[float] = deque()
        self.tokens, self.refilled_at = 0.0, -math.inf  # for requests at home elsewhere, while it is cold
        self.throttle = Throttle()
        self.slow, self.slow_at = 1.0, -math.inf
        self.mutes: dict[str, Mute] = {}
