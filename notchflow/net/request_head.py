"""What is read of a request head: its header fields, the target, and numbers in fields."""

from __future__ import annotations

import math
import re

# Matches targets that every parser interprets in the same way, as nearly all are; others are checked by
# is_unambiguous_target().
PLAIN_TARGET = re.compile(rb"/api/(?:[A-Za-z0-9_~-]+/)*([A-Za-z0-9_~-]+)")
DECIMAL_NUMBER = re.compile(rb"[+-]?(?:[0-9]+\.?[0-9]*|\.[0-9]+)(?:[eE][+-]?[0-9]+)?")
DOT_SEGMENTS = frozenset({b".", b".."})
PARSED_HEADERS = frozenset(
    {
        b"x-call-id",
        b"x-call-class",
        b"x-caller",
        b"x-budget",
        b"x-again",
        b"x-call-cost",
        b"x-call-info",
        b"expect",
        b"idempotency-key",
        b"host",
    }
)
REPLACED_HEADERS = frozenset({b"x-budget", b"expect"})
# A repeated field is ambiguous: the proxy might use one value and the node the other.
SINGLETON_HEADERS = frozenset(
    {
        b"x-call-id",
        b"x-call-class",
        b"x-caller",
        b"x-budget",
        b"x-again",
        b"x-call-cost",
        b"idempotency-key",
        b"host",
    }
)
SUPPORTED_VERSIONS = frozenset({"1.0", "1.1"})
# A client may list hop-by-hop fields in Connection. These fields are end-to-end and stay: without X-Call-Id
# or Idempotency-Key a node could not recognise a repeat, and an effect would happen twice.
END_TO_END_HEADERS = PARSED_HEADERS | {
    b"authorization",
    b"content-type",
    b"content-encoding",
    b"cache-control",
}
FRAMING_HEADERS = frozenset({b"connection", b"transfer-encoding"})


def is_unambiguous_target(url: bytes) -> bool:
    """Returns whether every parser interprets a target in the same way.

    A node may resolve dot segments, escaped or not, and a path that leaves its prefix is not to be forwarded.
    A target consists of printable ASCII only (RFC 3986).
    """
    if not url.isascii() or b"#" in url or b"\\" in url:
        return False
    path = url.partition(b"?")[0]
    if b"%2" in path:
        path = path.replace(b"%2e", b".").replace(b"%2E", b".").replace(b"%2f", b"/").replace(b"%2F", b"/")
    return b"/." not in path or not DOT_SEGMENTS.intersection(path.split(b"/"))


def parse_number(text: bytes, factor: float = 1.0) -> float:
    """Returns a decimal number times `factor`, which must be finite. A ValueError says that it is not; Python
    alone would also take digits grouped by underscores, `nan` and `inf`."""
    if not DECIMAL_NUMBER.fullmatch(text):
        raise ValueError(f"expected a decimal number, got {text[:40]!r}")
    value = float(text) * factor
    if not math.isfinite(value):
        raise ValueError(f"expected a finite number, got {text[:40]!r}")
    return value


def parse_number_header(fields: dict[bytes, bytes], name: bytes, factor: float) -> float | None:
    """Returns a finite number from a header field, times `factor`, or None if the field is absent. A
    ValueError says that it is not a finite number."""
    raw = fields.get(name)
    return None if raw is None else parse_number(raw, factor)


def parse_info_size(info: bytes) -> float | None:
    """Returns the size of the value from the X-Call-Info field, or None."""
    for pair in info.split(b","):
        name, _, value = pair.partition(b"=")
        if name.strip() == b"size":
            try:
                return parse_number(value.strip())
            except ValueError:
                return None
    return None
