"""Keys and tokens: made from `secrets`, shown once, kept as digests, compared in constant time.

A token reads `nvk_<12 hex digits>_<32 characters>`: the kind, its public id, and 192 bits of secret in
URL-safe base64. With that much entropy a plain SHA-256 is the right digest: there is nothing to guess, so a
slow hash would only cost each request time (NIST SP 800-63B, 5.1.2.2 asks for a salt and a slow hash below
112 bits).
"""

from __future__ import annotations

import hashlib
import hmac
import re
import secrets
from dataclasses import dataclass, field
from typing import Final

KEY, ADMIN = "nvk", "nva"
SECRET_BYTES: Final = 24
TOKEN: Final = re.compile(r"(nvk|nva)_([0-9a-f]{12})_([A-Za-z0-9_-]{32})")


@dataclass(frozen=True, slots=True)
class Minted:
    """A new token: `token` is for its owner's eyes, once; the rest is kept."""

    token: str = field(repr=False)
    id: str
    digest: bytes = field(repr=False)


def digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()


def mint(kind: str) -> Minted:
    public = secrets.token_hex(6)
    token = f"{kind}_{public}_{secrets.token_urlsafe(SECRET_BYTES)}"
    return Minted(token, public, digest(token))


def public_id(token: str, kind: str) -> str | None:
    """The public id of what looks like a token of this kind."""
    found = TOKEN.fullmatch(token)
    return found[2] if found is not None and found[1] == kind else None


def matches(token: str, kept: bytes) -> bool:
    return hmac.compare_digest(digest(token), kept)
