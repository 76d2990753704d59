"""API keys and operator tokens: random, shown once, stored as digests, compared in constant time.

A token is `nvk_<12 hex digits>_<32 characters>`: its kind, its public ID, and 192 bits of secret in URL-safe
base64. With that entropy a plain SHA-256 suffices: the secret cannot be guessed, and a slow hash would only
cost time on each request (NIST SP 800-63B, 5.1.2.2 requires a salt and a slow hash below 112 bits).
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
    """A new token: `token` is shown to its owner once; only the ID and the digest are stored."""

    token: str = field(repr=False)
    id: str
    digest: bytes = field(repr=False)


def digest(token: str) -> bytes:
    """The stored form of a token."""
    return hashlib.sha256(token.encode()).digest()


def mint(kind: str) -> Minted:
    """Generates a token of a kind, KEY or ADMIN."""
    id_ = secrets.token_hex(6)
    token = f"{kind}_{id_}_{secrets.token_urlsafe(SECRET_BYTES)}"
    return Minted(token, id_, digest(token))


def public_id(token: str, kind: str) -> str | None:
    """The public ID of a token of this kind; None if it is not of that form."""
    parts = TOKEN.fullmatch(token)
    return parts[2] if parts is not None and parts[1] == kind else None


def matches(token: str, stored_digest: bytes) -> bool:
    """Compares a token with a stored digest in constant time."""
    return hmac.compare_digest(digest(token), stored_digest)
