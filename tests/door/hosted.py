"""A hosted gateway in front of scripted nodes: two tenants and four routes, one of them keyed."""

from __future__ import annotations

from dataclasses import replace

from notchflow.interface import Effect, RequestClass
from notchflow.tenancy.admission import AdmissionSettings, TenantAdmission
from notchflow.tenancy.directory import Directory
from notchflow.tenancy.keys import KEY, mint
from notchflow.tenancy.model import ApiKey, Limits, Route, Tenant, TenantState
from tests.rig import Rig, Script

ROUTES = (
    Route("GET", "/menus/{canteen}/{day}", "read", ("canteen", "day")),
    Route("PUT", "/menus/{canteen}/{day}", "keyed", ("canteen", "day")),
    Route("POST", "/orders/{day}/pay", "once", ("day",)),
    Route("GET", "/", "read"),
)
CLASSES = (
    RequestClass("read", 5_000, 5_000),
    RequestClass("keyed", 5_000, 5_000, effect=Effect.KEYED, window_ms=5_000),
    RequestClass("once", 5_000, 5_000, effect=Effect.UNSAFE),
)
BODY_MAX = 1_000


class HostedRig(Rig):
    """The proxy with a hosted gateway, without the administration API."""

    def __init__(
        self,
        *scripts: Script,
        limits_of: Limits | None = None,
        capacity: int = 1000,
        tenants: tuple[str, ...] = ("alfa", "beta"),
    ) -> None:
        self.gone: list[str] = []
        self.directory = Directory(
            limits_of or Limits(rate_per_s=1e5, burst=1e5), ROUTES, capacity, self.gone.append
        )
        self.tokens: dict[str, str] = {}
        for name in tenants:
            self.directory.put(Tenant(name), 0.0)
            self.add_key(name)
        face = AdmissionSettings(body_max=BODY_MAX, effects={c.name: c.effect for c in CLASSES})
        self.pressure = 0.0
        super().__init__(
            *scripts,
            classes=CLASSES,
            door=TenantAdmission(self.directory, face, lambda: self.pressure, b"0badcafe"),
        )

    def add_key(self, tenant: str) -> ApiKey:
        minted = mint(KEY)
        key = ApiKey(minted.id, tenant, minted.digest)
        self.directory.put_key(key)
        self.tokens[tenant] = minted.token
        return key

    def change(self, tenant: str, **changes: object) -> None:
        """Changes a tenant as the administration API does."""
        before = self.directory.entries[tenant].tenant
        self.directory.put(replace(before, version=before.version + 1, **changes), 0.0)  # type: ignore[arg-type]

    def suspend(self, tenant: str) -> None:
        self.change(tenant, state=TenantState.SUSPENDED)

    def raw(
        self,
        target: bytes = b"/menus/c1/d1",
        method: bytes = b"GET",
        tenant: str = "alfa",
        fields: bytes = b"",
        body: bytes = b"",
        host: bytes = b"Host: door\r\n",
    ) -> bytes:
        """Returns the bytes of a request."""
        length = b"Content-Length: %d\r\n" % len(body) if body else b""
        return b"%b %b HTTP/1.1\r\n%bAuthorization: Bearer %b\r\n%b%b\r\n%b" % (
            method,
            target,
            host,
            self.tokens[tenant].encode(),
            length,
            fields,
            body,
        )
