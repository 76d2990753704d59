"""Value types: tenants, their keys, routes and limits."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

TENANT_ID: Final = re.compile(r"[a-z][a-z0-9-]{1,30}[a-z0-9]")
METHODS: Final = ("GET", "PUT", "POST", "PATCH", "DELETE")
ROUTES_MAX: Final = 64


class TenantState(Enum):
    """A tenant's lifecycle state. GONE is final: the ID is never reused."""

    ACTIVE = "active"
    SUSPENDED = "suspended"
    RETIRING = "retiring"
    GONE = "gone"


# Allowed state changes.
TRANSITIONS: Final = {
    TenantState.ACTIVE: frozenset({TenantState.SUSPENDED, TenantState.RETIRING}),
    TenantState.SUSPENDED: frozenset({TenantState.ACTIVE, TenantState.RETIRING}),
    TenantState.RETIRING: frozenset({TenantState.GONE}),
    TenantState.GONE: frozenset[TenantState](),
}


def _check(ok: bool, name: str, message: str) -> None:
    if not ok:
        raise ValueError(f"{name}: {message}")


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one tenant at one proxy.

    rate_per_s: requests per second (a bucket of `burst` requests that refills at this rate);
    in_hand: requests admitted and not yet answered; bytes_held: bytes of request bodies in memory;
    weight: its share of the proxy under pressure, relative to the other tenants with requests in hand.
    """

    rate_per_s: float = 100.0
    burst: float = 50.0
    in_hand: int = 256
    bytes_held: int = 8 << 20
    weight: float = 1.0

    def __post_init__(self) -> None:
        for name in ("rate_per_s", "burst", "in_hand", "bytes_held", "weight"):
            value = getattr(self, name)
            _check(math.isfinite(value) and value > 0, f"limits.{name}", f"must be above 0, is {value!r}")
        _check(self.burst >= 1, "limits.burst", f"must be at least 1, is {self.burst!r}")


@dataclass(frozen=True, slots=True)
class Route:
    """A method and a path template, the request class that they map to, and the template's parameters that
    make up the request's key (empty: the whole path is the key)."""

    method: str
    path: str
    cls: str
    key: tuple[str, ...] = ()
    key_required: bool = False  # whether an Idempotency-Key is required; keyed classes always require one


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant. None for `limits` or `routes` means the operator's defaults; times are Unix seconds."""

    id: str
    name: str = ""
    state: TenantState = TenantState.ACTIVE
    limits: Limits | None = None
    routes: tuple[Route, ...] | None = None
    version: int = 1
    created_at: float = 0.0
    changed_at: float = 0.0

    def __post_init__(self) -> None:
        _check(
            TENANT_ID.fullmatch(self.id) is not None,
            "tenant.id",
            f"must be 3 to 32 of a-z, 0-9 and -, begin with a letter and not end with -, is {self.id!r}",
        )


@dataclass(frozen=True, slots=True)
class ApiKey:
    """A tenant's API key. `id` is its public part, by which it is looked up; of the secret only the digest is
    stored. Times are Unix seconds."""

    id: str
    tenant: str
    digest: bytes = field(repr=False)
    label: str = ""
    created_at: float = 0.0
    expires_at: float | None = None
    revoked_at: float | None = None

    def usable(self, now: float) -> bool:
        """Whether the key is neither revoked nor expired."""
        return self.revoked_at is None and (self.expires_at is None or now < self.expires_at)
