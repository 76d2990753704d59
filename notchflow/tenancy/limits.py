"""Tenant limits: a token bucket for the rate, counts of requests in hand, and fair shares under pressure.

Every rejection carries a retry time. For the rate limit these times are spaced as the bucket refills, so that
rejected clients do not all return at the same moment.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final, Protocol

from notchflow.tenancy.model import Limits

MAX_RETRY_AFTER_S: Final = 30.0  # the tenant's limits may change within a longer wait
FULL_SHARE: Final = 0.8  # share of the capacity in hand from which tenants are held to their fair shares
IN_HAND_SMOOTHING: Final = 0.05  # weight of one request in the mean time in hand
TOKEN_TOLERANCE: Final = 1e-6  # a client that returns exactly on time must not fail by a rounding error
MIN_RETRY_AFTER_S: Final = 1.0  # Retry-After is in whole seconds (RFC 9110 section 10.2.3)


class Reason(Enum):
    """Why a tenant's request is rejected."""

    RATE = "rate"
    IN_HAND = "in-hand"
    BYTES = "bytes-held"
    SHARE = "share"
    CAPACITY = "capacity"


@dataclass(frozen=True, slots=True)
class Rejection:
    """A rejection: its reason, and after how many seconds to retry."""

    reason: Reason
    retry_after_s: float


class TokenBucket:
    """A token bucket that spaces the retry times of the requests that it rejects."""

    __slots__ = ("tokens", "updated_at", "last_retry_at")

    def __init__(self, burst: float, now: float) -> None:
        self.tokens, self.updated_at, self.last_retry_at = burst, now, 0.0

    def take(self, now: float, rate: float, burst: float) -> float:
        """Takes one token and returns 0, or returns the seconds after which to retry.

        `now` is in seconds; a clock that steps back neither adds nor removes tokens."""
        if now > self.updated_at:
            self.tokens += (now - self.updated_at) * rate
        if self.tokens > burst:
            self.tokens = burst
        self.updated_at = now
        if self.tokens >= 1.0 - TOKEN_TOLERANCE:
            self.tokens -= 1.0
            return 0.0
        earliest = now + (1.0 - self.tokens) / rate
        self.last_retry_at = min(max(earliest, self.last_retry_at + 1.0 / rate), now + MAX_RETRY_AFTER_S)
        return self.last_retry_at - now


class TokenSource(Protocol):
    """The source of a tenant's rate tokens: a local bucket, or the fleet's budget."""

    def take(self, now: float, rate: float, burst: float) -> float:
        """Takes one token and returns 0, or returns the seconds after which to retry."""


class Slots(Protocol):
    """A limit on a tenant's requests in hand over the whole fleet."""

    def free(self) -> int:
        """Number of requests that may be admitted now."""

    def take(self) -> None:
        """Counts a request in."""
        ...

    def release(self) -> None:
        """Counts a request out."""
        ...


class Usage:
    """A tenant's requests and bytes in hand at this proxy, and its request counters since the start."""

    __slots__ = (
        "bucket",
        "in_hand",
        "bytes_held",
        "counted_weight",
        "mean_in_hand_s",
        "asked",
        "served",
        "failed",
        "refused",
        "slots",
    )

    def __init__(self, burst: float, now: float, bucket: TokenSource | None = None) -> None:
        self.bucket: TokenSource = bucket or TokenBucket(burst, now)
        self.slots: Slots | None = None  # None: only the local count `in_hand` is limited
        self.in_hand = self.bytes_held = 0
        self.counted_weight = 0.0  # its weight as counted in FairShares.weight while it has requests in hand
        self.mean_in_hand_s = 0.0  # smoothed time that a request is in hand
        self.asked = self.served = self.failed = 0
        self.refused: dict[str, int] = {}

    def count_rejection(self, reason: str) -> None:
        """Counts a rejected request."""
        self.refused[reason] = self.refused.get(reason, 0) + 1


class FairShares:
    """Fair sharing of this proxy's capacity (requests in hand) among tenants."""

    __slots__ = ("capacity", "in_hand", "weight")

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.in_hand = 0
        self.weight = 0.0  # sum over the tenants that have requests in hand

    def admit(self, usage: Usage, limits: Limits, now: float, pressure: float) -> Rejection | None:
        """Counts a request in, or returns why it is rejected. `pressure` is the share of requests that the
        policy sheds, 0 to 1.

        The token is taken last, so that a request rejected for another reason does not cost one.
        """
        usage.asked += 1
        rejection = self._check_counts(usage, limits, pressure)
        if rejection is None:
            wait = usage.bucket.take(now, limits.rate_per_s, limits.burst)
            rejection = Rejection(Reason.RATE, wait) if wait > 0 else None
        if rejection is not None:
            usage.count_rejection(rejection.reason.value)
            return rejection
        if not usage.in_hand:
            usage.counted_weight = limits.weight
            self.weight += limits.weight
        usage.in_hand += 1
        self.in_hand += 1
        if usage.slots is not None:
            usage.slots.take()
        return None

    def _check_counts(self, usage: Usage, limits: Limits, pressure: float) -> Rejection | None:
        retry_after_s = max(usage.mean_in_hand_s, MIN_RETRY_AFTER_S)
        if usage.in_hand >= limits.in_hand or (usage.slots is not None and not usage.slots.free()):
            return Rejection(Reason.IN_HAND, retry_after_s)
        if self.in_hand >= self.capacity:
            return Rejection(Reason.CAPACITY, retry_after_s)
        fair_share = self._fair_share(usage, limits, pressure)
        return (
            Rejection(Reason.SHARE, retry_after_s)
            if fair_share is not None and usage.in_hand >= fair_share
            else None
        )

    def _fair_share(self, usage: Usage, limits: Limits, pressure: float) -> float | None:
        """A tenant's fair share of requests in hand under pressure; None without pressure.

        Even a tenant alone never gets the whole capacity, so that the next one finds room."""
        full = self.in_hand >= FULL_SHARE * self.capacity
        if not full and pressure <= 0:
            return None
        weight = usage.counted_weight if usage.in_hand else limits.weight
        others = self.weight - (usage.counted_weight if usage.in_hand else 0.0)
        if not full and others <= 0:
            return None  # no other tenant to share with; the policy sheds what the nodes cannot serve
        base = FULL_SHARE * self.capacity if full else float(self.in_hand + 1)
        return max(base * weight / (weight + max(others, 0.0)), 1.0)

    def release(self, usage: Usage, in_hand_s: float) -> None:
        """Counts out a request that was in hand for `in_hand_s` seconds."""
        usage.in_hand -= 1
        self.in_hand -= 1
        if usage.slots is not None:
            usage.slots.release()
        usage.mean_in_hand_s += IN_HAND_SMOOTHING * (in_hand_s - usage.mean_in_hand_s)
        if not usage.in_hand:
            self.weight = max(self.weight - usage.counted_weight, 0.0) if self.in_hand else 0.0
