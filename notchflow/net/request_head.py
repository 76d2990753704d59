"""A request's head, read: its target, and the figures among its fields."""

from __future__ import annotations

import math
import re

# A target that every reader takes for the same, as nearly all are; others are looked at more closely.
PLAIN = re.compile(rb"/api/(?:[A-Za-z0-9_~-]+/)*([A-Za-z0-9_~-]+)")
DOTS = frozenset({b".", b".."})


def readable(url: bytes) -> bool:
    """Whether every reader takes a target for the same: a box may resolve dot segments, escaped or not, and
    a path that leaves its prefix is none of ours; only printable ASCII is in a target (RFC 3986)."""
    if not url.isascii() or b"#" in url or b"\\" in url:
        return False
    path = url.partition(b"?")[0]
    if b"%2" in path:
        path = path.replace(b"%2e", b".").replace(b"%2E", b".").replace(b"%2f", b"/").replace(b"%2F", b"/")
    return b"/." not in path or not DOTS.intersection(path.split(b"/"))


def number_of(fields: dict[bytes, bytes], name: bytes, factor: float) -> float | None:
    """A finite number of a header, if it is there."""
    raw = fields.get(name)
    if raw is None:
        return None
    value = float(raw) * factor
    if not math.isfinite(value):
        raise ValueError("not finite")
    return value


def info_size(info: bytes) -> float | None:
    """The value's size among the further figures of a request."""
    for pair in info.split(b","):
        name, _, value = pair.partition(b"=")
        if name.strip() == b"size":
            try:
                return float(value)
            except ValueError:
                return None
    return None
