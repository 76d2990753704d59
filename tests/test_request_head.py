"""Numbers in header fields."""

from __future__ import annotations

import pytest

from notchflow.net.request_head import parse_info_size, parse_number_header
from tests.rig import Rig, run

NOT_A_NUMBER = ["1_0", "nan", "inf", "-inf", "1e999", "0x10", "", ".", "1 5", "١"]


@pytest.mark.parametrize("text", NOT_A_NUMBER)
def test_what_is_no_decimal_number_is_refused(text: str) -> None:
    """Guards against a deadline that Python alone reads as a number."""
    raw = text.encode()
    with pytest.raises(ValueError, match="expected a"):
        parse_number_header({b"x-budget": raw}, b"x-budget", 1e3)
    assert parse_info_size(b"size=" + raw) is None


@pytest.mark.parametrize(
    ("text", "value"), [("0.480", 480.0), ("10", 10_000.0), (".5", 500.0), ("1e-3", 1.0)]
)
def test_decimal_numbers_are_read(text: str, value: float) -> None:
    assert parse_number_header({b"x-budget": text.encode()}, b"x-budget", 1e3) == pytest.approx(value)
    assert parse_number_header({}, b"x-budget", 1e3) is None


def test_a_request_with_such_a_deadline_is_not_served() -> None:
    async def test() -> None:
        async with Rig() as rig:
            assert (await rig.request(X_Budget="1_0")).status == 400
            assert rig.forwarded_count == 0

    run(test())


def test_a_number_that_is_infinite_in_the_unit_of_the_proxy_is_refused() -> None:
    with pytest.raises(ValueError, match="finite"):
        parse_number_header({b"x-budget": b"1e306"}, b"x-budget", 1e3)
