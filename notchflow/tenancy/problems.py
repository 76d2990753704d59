"""Problem details (RFC 9457): the proxy's own answers in words that a program can read."""

from __future__ import annotations

import json
import math
from typing import Any, Final

from notchflow.net.exchange import LocalReply

TYPE: Final = "urn:notchflow:problem:"

TITLES: Final = {
    "bad-request": "The request cannot be read in one way",
    "host-required": "The request names no host, or more than one",
    "path-ambiguous": "The target has no one reading",
    "key-missing": "No API key was given",
    "key-unknown": "The API key is not valid",
    "tenant-suspended": "The tenant is suspended",
    "tenant-retiring": "The tenant is being retired",
    "no-route": "There is nothing here",
    "method-not-allowed": "The path does not have this method",
    "idempotency-key-reused": "The Idempotency-Key stands for another request",
    "idempotency-in-hand": "The first request under this Idempotency-Key is in hand",
    "idempotency-unknown": "It is not known whether a request under this Idempotency-Key has run",
    "idempotency-key-required": "This request needs an Idempotency-Key",
    "limit": "The tenant is at its limit",
    "refused": "The service is too busy for this request now",
    "failed": "The request could not be served in time",
    "too-large": "The request is too large",
    "not-implemented": "The transfer coding is not supported",
}


def document(status: int, kind: str, detail: str = "", **more: Any) -> dict[str, Any]:
    """A problem's members: type, title, status, detail, and what more the kind defines."""
    found: dict[str, Any] = {"type": TYPE + kind, "title": TITLES[kind], "status": status}
    if detail:
        found["detail"] = detail
    return found | more


def whole_seconds(seconds: float) -> int:
    """Retry-After is in whole seconds, and never earlier than meant."""
    return max(math.ceil(seconds), 1)


def reply(
    status: int,
    kind: str,
    detail: str = "",
    retry_after_s: float | None = None,
    fields: tuple[bytes, ...] = (),
    **more: Any,
) -> LocalReply:
    headers = [b"Content-Type: application/problem+json\r\n", b"Cache-Control: no-store\r\n", *fields]
    if retry_after_s is not None:
        headers.append(b"Retry-After: %d\r\n" % whole_seconds(retry_after_s))
    return LocalReply(status, tuple(headers), json.dumps(document(status, kind, detail, **more)).encode())
