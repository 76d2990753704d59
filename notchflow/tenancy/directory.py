"""The tenants known to one proxy: authentication by API key, admission by limits, and retirement."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from enum import Enum
from typing import Final, Protocol

from notchflow.tenancy.keys import KEY, matches, public_id
from notchflow.tenancy.limits import FairShares, Reason, Rejection, TokenSource, Usage
from notchflow.tenancy.model import ApiKey, Limits, Route, Tenant, TenantState
from notchflow.tenancy.routes import Router

LAST_USE_RESOLUTION_S: Final = 60.0  # of a key's last use, to limit writes to one per key and minute
# Compared against for an unknown key ID, so that response times do not reveal whether the ID exists.
DUMMY_DIGEST: Final = bytes(32)


class AuthFailure(Enum):
    """Why authentication failed."""

    MISSING = "missing"
    UNKNOWN = "unknown"  # also revoked, expired, or of a tenant that is gone; clients cannot tell which


class Entry:
    """A tenant with its effective limits and routes, and its usage."""

    __slots__ = ("tenant", "limits", "router", "usage", "key_prefix", "id_bytes")

    def __init__(self, tenant: Tenant, limits: Limits, router: Router, usage: Usage) -> None:
        self.tenant, self.limits, self.router, self.usage = tenant, limits, router, usage
        self.key_prefix = (
            tenant.id + "/"
        )  # prefix of its keys; IDs hold no slash, so no prefix begins another
        self.id_bytes = tenant.id.encode()


class FleetLimits(Protocol):
    """Limits that the instances of a fleet enforce together."""

    def bucket(self, tenant: str) -> TokenSource:
        """The source of a tenant's rate tokens."""

    def set_limits(self, tenant: str, limits: Limits) -> None:
        """Sets a tenant's limits."""

    def register_usage(self, tenant: str, usage: Usage) -> None:
        """Registers a tenant's usage at this instance, to be reported to the others."""

    def forget(self, tenant: str) -> None:
        """Removes a tenant."""
        ...


class Directory:
    """All tenants of one proxy. A change replaces the whole value of a tenant or of a key."""

    def __init__(
        self,
        limits: Limits,
        routes: Iterable[Route],
        capacity: int,
        on_drained: Callable[[str], None] = lambda tenant: None,
    ) -> None:
        self.limits = limits
        self.routes = tuple(routes)
        self.router = Router(self.routes)
        self.shares = FairShares(capacity)
        self.entries: dict[str, Entry] = {}
        self.keys: dict[str, ApiKey] = {}
        self.key_uses: dict[str, float] = {}  # key ID -> Unix time of use, since the last `take_key_uses`
        self.use_recorded_at: dict[str, float] = {}  # key ID -> Unix time of the last use entered in `used`
        self.shared: FleetLimits | None = None  # set before the first tenant
        self.on_drained = on_drained  # called once a retiring tenant has no request in hand any more

    # -- changes
    def put(self, tenant: Tenant, now: float) -> None:
        """Sets a tenant's value; a version older than the known one is ignored. `now`: monotonic seconds."""
        entry = self.entries.get(tenant.id)
        if entry is not None and tenant.version < entry.tenant.version:
            return
        limits = tenant.limits or self.limits
        router = self.router if tenant.routes is None else Router(tenant.routes)
        if entry is None:
            bucket = self.shared.bucket(tenant.id) if self.shared is not None else None
            entry = self.entries[tenant.id] = Entry(tenant, limits, router, Usage(limits.burst, now, bucket))
        else:
            entry.tenant, entry.limits, entry.router = tenant, limits, router
        if self.shared is not None:
            self.shared.set_limits(tenant.id, limits)
            self.shared.register_usage(tenant.id, entry.usage)
        if tenant.state is TenantState.GONE:
            self._forget(entry)
        elif tenant.state is TenantState.RETIRING and not entry.usage.in_hand:
            self.on_drained(tenant.id)

    def replace(self, tenants: Iterable[Tenant], keys: Iterable[ApiKey], now: float) -> None:
        """Replaces all tenants and all live keys. Tenants that remain keep their usage."""
        fresh = {tenant.id: tenant for tenant in tenants}
        for name in self.entries.keys() - fresh.keys():
            self._forget(self.entries[name])
        for tenant in fresh.values():
            entry = self.entries.get(tenant.id)
            if entry is not None and tenant.version < entry.tenant.version:
                entry.tenant = tenant  # versions of another history may be lower
            self.put(tenant, now)
        self.keys = {key.id: key for key in keys if key.revoked_at is None}

    def _forget(self, entry: Entry) -> None:
        del self.entries[entry.tenant.id]
        if self.shared is not None:
            self.shared.forget(entry.tenant.id)
        for key in [k for k in self.keys.values() if k.tenant == entry.tenant.id]:
            del self.keys[key.id]
            self.use_recorded_at.pop(key.id, None)

    def put_key(self, key: ApiKey) -> None:
        """Sets a key's value. A revoked key is removed; requests in hand continue."""
        if key.revoked_at is not None:
            self.keys.pop(key.id, None)
            self.use_recorded_at.pop(key.id, None)
        else:
            self.keys[key.id] = key

    def set_defaults(self, limits: Limits, routes: Iterable[Route], capacity: int) -> None:
        """Sets the defaults, at once for every tenant without limits or routes of its own."""
        self.limits, self.routes, self.shares.capacity = limits, tuple(routes), capacity
        self.router = Router(self.routes)
        for entry in self.entries.values():
            entry.limits = entry.tenant.limits or limits
            if self.shared is not None:
                self.shared.set_limits(entry.tenant.id, entry.limits)
            if entry.tenant.routes is None:
                entry.router = self.router

    # -- requests
    def authenticate(self, token: str | None, now: float) -> Entry | AuthFailure:
        """Finds the tenant of an API key; `now` is Unix time. Each token, known or not, costs one digest and
        one comparison."""
        if token is None:
            return AuthFailure.MISSING
        key_id = public_id(token, KEY)
        key = self.keys.get(key_id) if key_id is not None else None
        digest_matches = matches(token, key.digest if key is not None else DUMMY_DIGEST)
        entry = (
            self.entries.get(key.tenant) if key is not None and digest_matches and key.usable(now) else None
        )
        if entry is None or key is None:
            return AuthFailure.UNKNOWN
        if now - self.use_recorded_at.get(key.id, 0.0) >= LAST_USE_RESOLUTION_S:
            self.key_uses[key.id] = self.use_recorded_at[key.id] = now
        return entry

    def admit(self, entry: Entry, now: float, pressure: float) -> Rejection | None:
        """Counts a request in, or returns why it is rejected (see `FairShares.admit`)."""
        return self.shares.admit(entry.usage, entry.limits, now, pressure)

    def charge(self, entry: Entry, size: int) -> bool:
        """Counts bytes held for a tenant; returns False, and counts nothing, if that exceeds its limit."""
        if entry.usage.bytes_held + size > entry.limits.bytes_held:
            return False
        entry.usage.bytes_held += size
        return True

    def finish(self, entry: Entry, in_hand_s: float, status: int) -> None:
        """Counts out an admitted request that was answered with this status; 0: its client left."""
        usage = entry.usage
        self.shares.release(usage, in_hand_s)
        if status == 200:
            usage.served += 1
        elif status == 503:
            usage.count_rejection("module")
        elif status:
            usage.failed += 1
        if not usage.in_hand and entry.tenant.state is TenantState.RETIRING:
            self.on_drained(entry.tenant.id)

    def reject_body(self, entry: Entry) -> Rejection:
        """Counts and returns the rejection of a request whose body exceeds the tenant's `bytes_held`."""
        entry.usage.asked += 1
        entry.usage.count_rejection(Reason.BYTES.value)
        return Rejection(Reason.BYTES, max(entry.usage.mean_in_hand_s, 1.0))

    # -- reporting
    def take_key_uses(self) -> dict[str, float]:
        """The keys used since the last call and their times of use (Unix seconds, to the minute)."""
        used, self.key_uses = self.key_uses, {}
        return used


def retired(tenant: Tenant, now: float) -> Tenant:
    """The final value of a tenant that has drained."""
    return replace(tenant, state=TenantState.GONE, version=tenant.version + 1, changed_at=now)
