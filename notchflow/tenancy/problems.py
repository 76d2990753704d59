"""Problem details (RFC 9457): machine-readable bodies of the proxy's own error replies."""

from __future__ import annotations

import json
import math
from typing import Any, Final

from notchflow.net.exchange import LocalReply

TYPE_PREFIX: Final = "urn:notchflow:problem:"

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
    """The members of a problem: type, title, status, detail, and those in `more` that the kind defines."""
    members: dict[str, Any] = {"type": TYPE_PREFIX + kind, "title": TITLES[kind], "status": status}
    if detail:
        members["detail"] = detail
    return members | more


def whole_seconds(seconds: float) -> int:
    """Rounds a duration up for Retry-After, which is in whole seconds; at least 1."""
    return max(math.ceil(seconds), 1)


def reply(
    status: int,
    kind: str,
    detail: str = "",
    retry_after_s: float | None = None,
    fields: tuple[bytes, ...] = (),
    **more: Any,
) -> LocalReply:
    """A reply with a problem as its body; `fields` are further header lines."""
    headers = [b"Content-Type: application/problem+json\r\n", b"Cache-Control: no-store\r\n", *fields]
    if retry_after_s is not None:
        headers.append(b"Retry-After: %d\r\n" % whole_seconds(retry_after_s))
    return LocalReply(status, tuple(headers), json.dumps(document(status, kind, detail, **more)).encode())
