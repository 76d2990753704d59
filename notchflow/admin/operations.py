"""The operations of the administration API on the stored state. Each change is one transaction that includes
its audit event.

The code blocks (SQLite), so it runs on a dedicated thread. Values that the running proxy must apply are
returned with the result of the change; the calling code passes them on.
"""

from __future__ import annotations

import hashlib
import json
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any, Final, Generic, TypeVar

from notchflow.admin import models as m
from notchflow.hosting.schema import RouteModel
from notchflow.state.database import AuditEvent, Database, StoredAnswer, Token
from notchflow.tenancy.directory import retired
from notchflow.tenancy.keys import ADMIN, KEY, matches, mint, public_id
from notchflow.tenancy.model import TRANSITIONS, ApiKey, Limits, Tenant, TenantState
from notchflow.tenancy.routes import validate_routes as route_errors

T = TypeVar("T")
UNKNOWN_TOKEN_DIGEST: Final = bytes(32)  # used in the comparison if no such token is stored
MAX_KEYS: Final = 100  # usable keys of a tenant; rotation needs two

Change = Tenant | ApiKey  # a new value that the running proxy must apply

PROBLEM_TITLES: Final = {
    "unauthorized": "The token is not valid",
    "forbidden": "The token does not allow this",
    "not-found": "There is nothing here",
    "exists": "The id is taken or was once",
    "conflict": "The state does not allow this",
    "precondition-failed": "It has changed meanwhile",
    "precondition-required": "If-Match is required",
    "invalid": "The request is not valid",
    "too-large": "The request is too large",
    "too-many": "Too many requests",
    "too-slow": "The request took too long",
    "bad-request": "The request cannot be read",
    "method-not-allowed": "The path does not have this method",
    "failed": "The request failed",
    "no-majority": "The fleet cannot agree now",
    "refused": "Not now",
    "unknown": "It is not known whether this holds",
}


class ApiProblem(Exception):
    """An error response with problem details (RFC 9457)."""

    def __init__(
        self, status: int, kind: str, detail: str, headers: Mapping[str, str] | None = None, **extra: Any
    ) -> None:
        super().__init__(detail)
        self.status, self.kind, self.headers = status, kind, dict(headers or {})
        self.body = {
            "type": f"urn:notchflow:problem:{kind}",
            "title": PROBLEM_TITLES[kind],
            "status": status,
            "detail": detail,
        } | extra


@dataclass(frozen=True, slots=True)
class Actor:
    """The authenticated client: an operator, or one tenant."""

    id: str
    tenant: str | None

    @property
    def name(self) -> str:
        """The name in the audit log: `operator:ID` or `tenant:TENANT:ID`."""
        return f"{'tenant:' + self.tenant if self.tenant is not None else 'operator'}:{self.id}"


@dataclass(frozen=True, slots=True)
class ChangeResult(Generic[T]):
    """The result of a committed change, and the values that the running proxy must apply."""

    result: T
    changes: tuple[Change, ...] = ()


@dataclass(frozen=True, slots=True)
class ApiDefaults:
    """Values of the operator file that the API needs: the request classes and the default limits."""

    classes: tuple[str, ...]
    limits: Limits


def etag(tenant: Tenant) -> str:
    """The ETag of a tenant: its version, quoted."""
    return f'"{tenant.version}"'


class Operations:
    """The operations of the API; all run on one thread."""

    def __init__(
        self, db: Database, defaults: ApiDefaults, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self.db, self.defaults, self.wall_clock = db, defaults, wall_clock

    # -- authentication and authorization
    def authenticate(self, token: str | None) -> Actor:
        """Authenticates a bearer token. ApiProblem 401: it is missing, unknown, expired or revoked, or its
        tenant is gone."""
        challenge = {"WWW-Authenticate": 'Bearer realm="notchflow-admin"'}
        token_id = public_id(token, ADMIN) if token is not None else None
        stored_token = self.db.token(token_id) if token_id is not None else None
        is_match = matches(
            token or "", stored_token.digest if stored_token is not None else UNKNOWN_TOKEN_DIGEST
        )
        if stored_token is None or not is_match or not stored_token.usable(self.wall_clock()):
            raise ApiProblem(401, "unauthorized", "Send a valid token as Authorization: Bearer.", challenge)
        if stored_token.tenant is not None:
            owner = self.db.tenant(stored_token.tenant)
            if owner is None or owner.state is TenantState.GONE:
                raise ApiProblem(
                    401, "unauthorized", "Send a valid token as Authorization: Bearer.", challenge
                )
        return Actor(stored_token.id, stored_token.tenant)

    @staticmethod
    def require_operator(actor: Actor) -> None:
        """ApiProblem 403 for a tenant's token."""
        if actor.tenant is not None:
            raise ApiProblem(403, "forbidden", "Only an operator's token may do this.")

    def visible_tenant(self, actor: Actor, tenant: str) -> Tenant:
        """A tenant that the actor may see. ApiProblem 404 for any other, so that a tenant cannot learn
        whether another one exists."""
        found = self.db.tenant(tenant) if actor.tenant in (None, tenant) else None
        if found is None:
            raise ApiProblem(404, "not-found", "There is no such tenant.")
        return found

    # -- idempotent POST requests
    def run_once(
        self,
        actor: Actor,
        key: str | None,
        request_text: str,
        to_json: Callable[[T], dict[str, Any]],
        secrets: tuple[str, ...],
        operation: Callable[[], ChangeResult[T]],
    ) -> ChangeResult[dict[str, Any]]:
        """Runs the operation of a POST request, or returns the stored response (without secrets) to a repeat
        with the same Idempotency-Key. ApiProblem 422: the key was used for another request."""
        fingerprint = hashlib.sha256(request_text.encode()).hexdigest()
        stored = self.db.answer(actor.id, key, self.wall_clock()) if key is not None else None
        if stored is not None:
            if stored.fingerprint != fingerprint:
                raise ApiProblem(422, "invalid", "Idempotency-Key was used for another request.")
            return ChangeResult(json.loads(stored.body))
        with self.db.change():
            done = operation()
            body = to_json(done.result)
            if key is not None:
                public_body = body | {name: None for name in secrets}
                self.db.put_answer(
                    actor.id, key, self.wall_clock(), StoredAnswer(fingerprint, 201, json.dumps(public_body))
                )
        return ChangeResult(body, done.changes)

    # -- tenants
    def list_tenants(self, actor: Actor, after: str, limit: int, state: str | None) -> list[Tenant]:
        """At most `limit` tenants with ids after `after`; a tenant's token sees only its own."""
        if actor.tenant is None:
            return self.db.tenants(after, limit, state)
        own = self.visible_tenant(actor, actor.tenant)
        return [own] if own.id > after and state in (None, own.state.value) else []

    def create_tenant(self, actor: Actor, requested: m.TenantCreate) -> ChangeResult[Tenant]:
        """Creates a tenant; runs in the transaction of `run_once`. ApiProblem 409: the id is in use or once
        was."""
        now = self.wall_clock()
        if self.db.tenant(requested.id) is not None:
            raise ApiProblem(409, "exists", f"The id {requested.id!r} is taken or was once; choose another.")
        tenant = Tenant(
            requested.id,
            requested.name,
            limits=requested.limits.to_domain() if requested.limits else None,
            routes=self._checked_routes(requested.routes),
            created_at=now,
            changed_at=now,
        )
        self.db.put_tenant(tenant)
        self._audit(actor, "tenant.create", tenant.id, tenant.id, None, _tenant_json(tenant))
        return ChangeResult(tenant, (tenant,))

    def _checked_routes(self, routes: list[RouteModel] | None) -> tuple[Any, ...] | None:
        if routes is None:
            return None
        converted = tuple(r.to_domain() for r in routes)
        faults = route_errors(converted, self.defaults.classes)
        if faults:
            raise ApiProblem(
                422,
                "invalid",
                "Routes are not valid.",
                errors=[{"place": f"routes.{place}", "what": what} for place, what in faults],
            )
        return converted

    def change_tenant(
        self, actor: Actor, tenant: str, if_match: str | None, action: str, update: Callable[[Tenant], Tenant]
    ) -> ChangeResult[Tenant]:
        """Changes a tenant if `if_match` names its current version. ApiProblem 409, 412 or 428."""
        self.require_operator(actor)
        with self.db.change():
            before = self.visible_tenant(actor, tenant)
            self._check_if_match(before, if_match)
            after = update(before)
            if after == before:
                return ChangeResult(before)
            if after.state is not before.state and after.state not in TRANSITIONS[before.state]:
                raise ApiProblem(
                    409,
                    "conflict",
                    f"A tenant that is {before.state.value} cannot become {after.state.value}.",
                )
            if before.state in (TenantState.RETIRING, TenantState.GONE):
                raise ApiProblem(409, "conflict", f"A tenant that is {before.state.value} stays as it is.")
            return self._save_tenant(actor, action, before, after)

    def _save_tenant(self, actor: Actor, action: str, before: Tenant, after: Tenant) -> ChangeResult[Tenant]:
        after = replace(after, version=before.version + 1, changed_at=self.wall_clock())
        self.db.put_tenant(after)
        self._audit(actor, action, after.id, after.id, _tenant_json(before), _tenant_json(after))
        return ChangeResult(after, (after,))

    @staticmethod
    def _check_if_match(tenant: Tenant, if_match: str | None) -> None:
        if if_match is None:
            raise ApiProblem(
                428,
                "precondition-required",
                "Send If-Match with the ETag that you have seen.",
                {"ETag": etag(tenant)},
            )
        tags = [t.strip() for t in if_match.split(",")]
        if "*" not in tags and etag(tenant) not in tags:
            raise ApiProblem(
                412,
                "precondition-failed",
                "Read it again and change what is there now.",
                {"ETag": etag(tenant)},
            )

    def patch_tenant(
        self, actor: Actor, tenant: str, if_match: str | None, requested: m.TenantPatch
    ) -> ChangeResult[Tenant]:
        """Changes the fields that the request sets."""
        given = requested.model_fields_set

        def update(before: Tenant) -> Tenant:
            values: dict[str, Any] = {}
            if "name" in given:
                values["name"] = requested.name
            if "state" in given:
                values["state"] = TenantState(requested.state)
            if "limits" in given:
                values["limits"] = requested.limits.to_domain() if requested.limits is not None else None
            if "routes" in given:
                values["routes"] = self._checked_routes(requested.routes)
            return replace(before, **values)

        return self.change_tenant(actor, tenant, if_match, "tenant.change", update)

    def set_limits(
        self, actor: Actor, tenant: str, if_match: str | None, limits: Limits
    ) -> ChangeResult[Tenant]:
        """Sets the limits of a tenant."""
        return self.change_tenant(
            actor, tenant, if_match, "tenant.limits", lambda before: replace(before, limits=limits)
        )

    def retire_tenant(self, actor: Actor, tenant: str, if_match: str | None) -> ChangeResult[Tenant]:
        """Starts the retirement of a tenant: its open requests end, then `finish_retirement` follows."""
        return self.change_tenant(
            actor,
            tenant,
            if_match,
            "tenant.retire",
            lambda before: replace(before, state=TenantState.RETIRING),
        )

    def finish_retirement(self, tenant: str) -> ChangeResult[Tenant | None]:
        """Marks a retiring tenant as gone and revokes its keys, once the proxy has no open requests of it.
        The result is None if the tenant is not retiring."""
        with self.db.change():
            before = self.db.tenant(tenant)
            if before is None or before.state is not TenantState.RETIRING:
                return ChangeResult(None)
            now = self.wall_clock()
            after = retired(before, now)
            self.db.put_tenant(after)
            for key, _ in self.db.keys(tenant):
                if key.revoked_at is None:
                    self.db.put_key(replace(key, revoked_at=now))
            self._audit(
                Actor("service", None),
                "tenant.gone",
                tenant,
                tenant,
                _tenant_json(before),
                _tenant_json(after),
            )
            return ChangeResult(after, (after,))

    # -- keys
    def list_keys(
        self, actor: Actor, tenant: str, after: str, limit: int
    ) -> list[tuple[ApiKey, float | None]]:
        """Keys of a tenant, each with the time of its last use (s since the epoch; None: never)."""
        return self.db.keys(self.visible_tenant(actor, tenant).id, after, limit)

    def issue_key(
        self, actor: Actor, tenant: str, requested: m.KeyCreate
    ) -> ChangeResult[tuple[ApiKey, str]]:
        """Creates a key; runs in the transaction of `run_once`. Returns the key and its secret text.
        ApiProblem 409: the tenant is retiring or gone, or has `MAX_KEYS` keys already."""
        owner, now = self.visible_tenant(actor, tenant), self.wall_clock()
        if owner.state in (TenantState.RETIRING, TenantState.GONE):
            raise ApiProblem(409, "conflict", f"A tenant that is {owner.state.value} gets no keys.")
        if sum(k.usable(now) for k, _ in self.db.keys(tenant)) >= MAX_KEYS:
            raise ApiProblem(409, "conflict", f"A tenant has at most {MAX_KEYS} keys; revoke one first.")
        minted = mint(KEY)
        key = ApiKey(
            minted.id,
            tenant,
            minted.digest,
            requested.label,
            now,
            self._expiry_seconds(requested.expires_at, now),
        )
        self.db.put_key(key)
        self._audit(
            actor, "key.issue", tenant, key.id, None, {"label": key.label, "expires_at": key.expires_at}
        )
        return ChangeResult((key, minted.token), (key,))

    @staticmethod
    def _expiry_seconds(expires_at: Any, now: float) -> float | None:
        if expires_at is None:
            return None
        try:
            seconds = float(expires_at.timestamp())
        except (OverflowError, ValueError):
            seconds = 0.0
        if seconds <= now:
            raise ApiProblem(422, "invalid", "expires_at must lie ahead.")
        return seconds

    def revoke_key(self, actor: Actor, tenant: str, key: str) -> ChangeResult[None]:
        """Revokes a key of a tenant; repeating it has no further effect."""
        with self.db.change():
            self.visible_tenant(actor, tenant)
            found = self.db.key(key)
            if found is None or found.tenant != tenant:
                raise ApiProblem(404, "not-found", "There is no such key.")
            if found.revoked_at is not None:
                return ChangeResult(None, (found,))
            after = replace(found, revoked_at=self.wall_clock())
            self.db.put_key(after)
            self._audit(actor, "key.revoke", tenant, key, {"label": found.label}, None)
            return ChangeResult(None, (after,))

    # -- tokens
    def list_tokens(self, actor: Actor, after: str, limit: int) -> list[Token]:
        """At most `limit` tokens with ids after `after`; for operators."""
        self.require_operator(actor)
        return self.db.tokens(after, limit)

    def issue_token(self, actor: Actor, requested: m.TokenCreate) -> ChangeResult[tuple[Token, str]]:
        """Creates a token for this API; runs in the transaction of `run_once`. Returns the token and its
        secret text. ApiProblem 404: there is no such tenant."""
        self.require_operator(actor)
        if requested.tenant is not None:
            owner = self.db.tenant(requested.tenant)
            if owner is None or owner.state is TenantState.GONE:
                raise ApiProblem(404, "not-found", "There is no such tenant.")
        now, minted = self.wall_clock(), mint(ADMIN)
        token = Token(
            minted.id,
            requested.tenant,
            minted.digest,
            requested.label,
            now,
            self._expiry_seconds(requested.expires_at, now),
        )
        self.db.put_token(token)
        self._audit(actor, "token.issue", requested.tenant, token.id, None, {"label": token.label})
        return ChangeResult((token, minted.token))

    def revoke_token(self, actor: Actor, token: str) -> ChangeResult[None]:
        """Revokes a token. ApiProblem 409: it is the token of this request."""
        self.require_operator(actor)
        with self.db.change():
            found = self.db.token(token)
            if found is None:
                raise ApiProblem(404, "not-found", "There is no such token.")
            if found.revoked_at is None:
                if token == actor.id:  # otherwise revoking the last token would lock everybody out
                    raise ApiProblem(409, "conflict", "A token cannot revoke itself; use another one.")
                self.db.put_token(replace(found, revoked_at=self.wall_clock()))
                self._audit(actor, "token.revoke", found.tenant, token, {"label": found.label}, None)
            return ChangeResult(None)

    def ensure_operator_token(self) -> str | None:
        """Creates an operator's token if none is usable, since otherwise nobody could call the API. Returns
        its secret text, or None. For a single instance, or before a fleet has agreed on its first state."""
        now = self.wall_clock()
        if any(t.tenant is None and t.usable(now) for t in self.db.tokens()):
            return None
        with self.db.change():
            return self.issue_token(Actor("service", None), m.TokenCreate(label="first")).result[1]

    # -- the running proxy
    def record_phase_change(self, actor: Actor, before: str, after: str) -> ChangeResult[None]:
        """Writes to the audit log that an operator has changed the phase of the proxy."""
        with self.db.change():
            self._audit(actor, f"proxy.{after}", None, "proxy", {"phase": before}, {"phase": after})
            return ChangeResult(None)

    # -- the audit log
    def list_events(self, actor: Actor, after: int, limit: int, tenant: str | None) -> list[AuditEvent]:
        """At most `limit` audit events after a sequence number; a tenant's token sees only its own."""
        if actor.tenant is not None and tenant not in (None, actor.tenant):
            raise ApiProblem(404, "not-found", "There is no such tenant.")
        return self.db.events(after, limit, actor.tenant or tenant)

    def _audit(
        self,
        actor: Actor,
        action: str,
        tenant: str | None,
        target: str,
        before: Mapping[str, Any] | None,
        after: Mapping[str, Any] | None,
    ) -> None:
        self.db.add_event(self.wall_clock(), actor.name, action, tenant, target, before, after)


def _tenant_json(tenant: Tenant) -> dict[str, Any]:
    return m.TenantView.of(tenant).model_dump(mode="json", by_alias=True)
