"""The token bucket, the counts in hand, and fair shares under pressure."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from notchflow.tenancy.limits import MAX_RETRY_AFTER_S, FairShares, Reason, TokenBucket, Usage
from notchflow.tenancy.model import Limits

WIDE = Limits(rate_per_s=1e6, burst=1e6, in_hand=1_000_000)


def test_a_bucket_grants_its_burst_and_then_its_rate() -> None:
    bucket = TokenBucket(5, 0.0)
    assert [bucket.take(0.0, 10, 5) for _ in range(5)] == [0.0] * 5
    assert bucket.take(0.0, 10, 5) == pytest.approx(0.1)
    assert bucket.take(0.101, 10, 5) == 0.0
    assert bucket.take(100.0, 10, 5) == 0.0 and bucket.tokens == 4, "never more than the burst"


def test_retry_times_of_rejected_requests_are_spaced_by_the_rate() -> None:
    bucket = TokenBucket(1, 0.0)
    bucket.take(0.0, 10, 1)
    retry_times = [bucket.take(0.0, 10, 1) for _ in range(5)]
    assert retry_times == pytest.approx([0.1, 0.2, 0.3, 0.4, 0.5])
    for at in retry_times:  # a client that returns on time is served
        assert bucket.take(at + 1e-6, 10, 1) == 0.0
    assert max(bucket.take(0.5, 0.001, 1) for _ in range(100)) <= MAX_RETRY_AFTER_S


def test_a_clock_that_steps_back_adds_no_tokens() -> None:
    bucket = TokenBucket(2, 100.0)
    assert bucket.take(50.0, 1, 2) == bucket.take(50.0, 1, 2) == 0.0
    assert bucket.take(50.0, 1, 2) > 0
    assert bucket.take(49.0, 1, 2) > 0


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.floats(0, 2), max_size=60), st.floats(0.5, 50), st.floats(1, 20))
def test_no_period_admits_more_than_burst_and_rate(gaps: list[float], rate: float, burst: float) -> None:
    bucket, now, admitted = TokenBucket(burst, 0.0), 0.0, 0
    for gap in gaps:
        now += gap
        admitted += bucket.take(now, rate, burst) == 0.0
    assert admitted <= burst + rate * now + 1e-6


def test_requests_in_hand_are_limited_and_released() -> None:
    shares, usage = FairShares(100), Usage(1e6, 0.0)
    limits = Limits(rate_per_s=1e6, burst=1e6, in_hand=2)
    assert shares.admit(usage, limits, 0.0, 0.0) is None
    assert shares.admit(usage, limits, 0.0, 0.0) is None
    rejection = shares.admit(usage, limits, 0.0, 0.0)
    assert rejection is not None and rejection.reason is Reason.IN_HAND and rejection.retry_after_s >= 1
    shares.release(usage, 0.5)
    assert shares.admit(usage, limits, 0.0, 0.0) is None
    assert usage.refused == {"in-hand": 1} and usage.asked == 4


def test_one_tenant_alone_never_takes_the_whole_capacity() -> None:
    shares, flood, other = FairShares(100), Usage(1e6, 0.0), Usage(1e6, 0.0)
    taken = sum(shares.admit(flood, WIDE, 0.0, 0.0) is None for _ in range(200))
    assert taken == 80
    assert sum(shares.admit(other, WIDE, 0.0, 0.0) is None for _ in range(200)) == 20
    for _ in range(40):  # as the flood's requests end, it is admitted up to its fair share only
        shares.release(flood, 0.1)
        shares.admit(flood, WIDE, 0.0, 0.0)
        shares.admit(other, WIDE, 0.0, 0.0)
    assert other.in_hand >= 39 and shares.in_hand <= 100


def test_shares_follow_the_weights() -> None:
    shares, light, heavy = FairShares(100), Usage(1e6, 0.0), Usage(1e6, 0.0)
    three = Limits(rate_per_s=1e6, burst=1e6, in_hand=1000, weight=3)
    for _ in range(300):
        for usage, limits in ((light, WIDE), (heavy, three)):
            if usage.in_hand:
                shares.release(usage, 0.1)
            shares.admit(usage, limits, 0.0, 0.0)
            shares.admit(usage, limits, 0.0, 0.0)
    assert 2.5 * light.in_hand <= heavy.in_hand <= 3.5 * light.in_hand


def test_under_the_policy_s_pressure_only_tenants_over_their_share_are_rejected() -> None:
    shares, flood, other = FairShares(10_000), Usage(1e6, 0.0), Usage(1e6, 0.0)
    for _ in range(50):
        assert shares.admit(flood, WIDE, 0.0, 0.0) is None
    assert shares.admit(flood, WIDE, 0.0, 0.5) is None, "there is no other tenant to share with"
    assert shares.admit(other, WIDE, 0.0, 0.5) is None
    rejection = shares.admit(flood, WIDE, 0.0, 0.5)
    assert rejection is not None and rejection.reason is Reason.SHARE
    assert shares.admit(flood, WIDE, 0.0, 0.0) is None


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 3), st.booleans()), max_size=200))
def test_counts_return_to_zero(steps: list[tuple[int, bool]]) -> None:
    shares, usages = FairShares(20), [Usage(1e6, 0.0) for _ in range(4)]
    for who, enters in steps:
        if enters:
            shares.admit(usages[who], WIDE, 0.0, 0.0)
        elif usages[who].in_hand:
            shares.release(usages[who], 0.1)
        assert shares.in_hand == sum(u.in_hand for u in usages) <= 20
        assert shares.weight == sum(u.in_hand > 0 for u in usages)
    for usage in usages:
        while usage.in_hand:
            shares.release(usage, 0.1)
    assert shares.in_hand == 0 and shares.weight == 0


@pytest.mark.parametrize(
    "field,value",
    [("rate_per_s", 0), ("burst", 0.5), ("in_hand", 0), ("bytes_held", -1), ("weight", float("inf"))],
)
def test_invalid_limits_name_the_field(field: str, value: Any) -> None:
    with pytest.raises(ValueError, match=field):
        Limits(**{field: value})
