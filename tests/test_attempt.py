"""What is read of a node's load report."""

from __future__ import annotations

import pytest

from notchflow.net.attempt import load_report
from notchflow.net.exchange import UpstreamResponse

MALFORMED = [
    b"",
    b"{",
    b"[]",
    b"7",
    b'{"queue": "x"}',
    b'{"queue": null}',
    b'{"queue": NaN}',
    b'{"queue": Infinity}',
    b'{"queue": 1' + 400 * b"0" + b"}",
    b'{"queue": 1' + 5_000 * b"0" + b"}",
    20_000 * b"[",
]


@pytest.mark.parametrize("text", MALFORMED, ids=lambda text: f"{text[:20]!r}, {len(text)} bytes")
def test_a_malformed_load_report_is_ignored(text: bytes) -> None:
    """Guards against an attempt whose end the policy never hears of."""
    response = UpstreamResponse()
    response.headers[b"x-load-report"] = text
    assert not load_report(response, ("queue",))


def test_a_load_report_is_read() -> None:
    response = UpstreamResponse()
    response.headers[b"x-load-report"] = b'{"inflight": 7, "queue": 2.5, "more": []}'
    report = load_report(response, ("queue",))
    assert report is not None and list(report.values()) == [2.5]
