"""Request and response bodies of the administration API.

The OpenAPI document is generated from these classes: their names, their docstrings and the descriptions of
their fields are published in it. A class that is not described there has a comment instead of a docstring.
"""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Annotated, Any, Generic, Literal, TypeVar

from pydantic import AwareDatetime, BaseModel, ConfigDict, Field

from notchflow.hosting.schema import LimitsModel, RouteModel, StrictModel, TenantId
from notchflow.state.database import AuditEvent, Token
from notchflow.tenancy.model import ApiKey, Limits, Tenant

T = TypeVar("T")
TenantStateName = Literal["active", "suspended", "retiring", "gone"]
DisplayName = Annotated[str, Field(max_length=200, pattern=r"^[^\x00-\x1f\x7f]*$")]
ExpiryTime = Annotated[AwareDatetime, Field(strict=False)]


def to_datetime(at: float) -> datetime:
    """A UTC time, from seconds since the epoch."""
    return datetime.fromtimestamp(at, UTC)


def to_datetime_or_none(at: float | None) -> datetime | None:
    """Like `to_datetime`; None stays None."""
    return to_datetime(at) if at is not None else None


class Problem(BaseModel):
    """Problem details (RFC 9457)."""

    model_config = ConfigDict(extra="allow")

    type: str
    title: str
    status: int
    detail: str | None = None


class Page(BaseModel, Generic[T]):
    """A part of a list; `next` is the cursor of what follows, null at the end."""

    items: list[T]
    next: str | None


# Body of a request that creates a tenant.
class TenantCreate(StrictModel):  # noqa: D101 - a docstring would be published in the OpenAPI document
    id: TenantId
    name: DisplayName = ""
    limits: LimitsModel | None = None
    routes: list[RouteModel] | None = Field(None, max_length=64)


class TenantPatch(StrictModel):
    """What is left out stays; limits or routes set to null are the operator's defaults again."""

    name: DisplayName = ""
    state: Literal["active", "suspended"] = "active"
    limits: LimitsModel | None = None
    routes: list[RouteModel] | None = Field(None, max_length=64)


# A tenant, as the API returns it.
class TenantView(BaseModel):  # noqa: D101 - a docstring would be published in the OpenAPI document
    id: str
    name: str
    state: TenantStateName
    limits: LimitsModel | None
    routes: list[RouteModel] | None
    version: int
    created_at: datetime
    changed_at: datetime

    @classmethod
    def of(cls, tenant: Tenant) -> TenantView:
        """The view of a stored tenant."""
        return cls(
            id=tenant.id,
            name=tenant.name,
            state=tenant.state.value,
            limits=LimitsModel.from_domain(tenant.limits) if tenant.limits is not None else None,
            routes=[RouteModel.from_domain(r) for r in tenant.routes] if tenant.routes is not None else None,
            version=tenant.version,
            created_at=to_datetime(tenant.created_at),
            changed_at=to_datetime(tenant.changed_at),
        )


class LimitsView(BaseModel):
    """The limits in force, and whether they are the tenant's own."""

    limits: LimitsModel
    own: bool

    @classmethod
    def of(cls, tenant: Tenant, defaults: Limits) -> LimitsView:
        """The limits of a stored tenant, or the defaults if it has none of its own."""
        return cls(limits=LimitsModel.from_domain(tenant.limits or defaults), own=tenant.limits is not None)


class TenantFigures(BaseModel):
    """What a tenant has in hand, and what became of its requests."""

    in_hand: int
    bytes_held: int
    asked: int
    served: int
    failed: int
    refused: dict[str, int]


class FleetUsage(TenantFigures):
    """A tenant's figures over the whole fleet, as far as they have come to this instance."""

    age_ms: float = Field(description="of the oldest part")
    missing: list[str] = Field(description="instances not heard lately: what they counted since is not in it")


class UsageView(TenantFigures):
    """What a tenant has in hand here, and what became of its requests since the proxy started."""

    fleet: FleetUsage | None = Field(None, description="null where the instance is by itself")


# Body of a request that issues a key.
class KeyCreate(StrictModel):  # noqa: D101 - a docstring would be published in the OpenAPI document
    label: DisplayName = ""
    expires_at: ExpiryTime | None = None


# A key without its secret text.
class KeyView(BaseModel):  # noqa: D101 - a docstring would be published in the OpenAPI document
    id: str = Field(description="the key's public part: what stands between its underscores")
    label: str
    created_at: datetime
    expires_at: datetime | None
    revoked_at: datetime | None
    last_used_at: datetime | None

    @classmethod
    def of(cls, key: ApiKey, last_used_at: float | None = None) -> KeyView:
        """The view of a stored key; `last_used_at` in seconds since the epoch."""
        return cls(
            id=key.id,
            label=key.label,
            created_at=to_datetime(key.created_at),
            expires_at=to_datetime_or_none(key.expires_at),
            revoked_at=to_datetime_or_none(key.revoked_at),
            last_used_at=to_datetime_or_none(last_used_at),
        )


# Response to a request that issues a key, with its secret text.
class KeyIssued(KeyView):  # noqa: D101 - a docstring would be published in the OpenAPI document
    token: str | None = Field(description="the key itself, shown this once; null in a repeated answer")


# Body of a request that issues a token for this API.
class TokenCreate(StrictModel):  # noqa: D101 - a docstring would be published in the OpenAPI document
    label: DisplayName = ""
    tenant: TenantId | None = Field(None, description="whose token it is; null: an operator's")
    expires_at: ExpiryTime | None = None


# A token without its secret text.
class TokenView(BaseModel):  # noqa: D101 - a docstring would be published in the OpenAPI document
    id: str
    label: str
    tenant: str | None
    created_at: datetime
    expires_at: datetime | None
    revoked_at: datetime | None

    @classmethod
    def of(cls, token: Token) -> TokenView:
        """The view of a stored token."""
        return cls(
            id=token.id,
            label=token.label,
            tenant=token.tenant,
            created_at=to_datetime(token.created_at),
            expires_at=to_datetime_or_none(token.expires_at),
            revoked_at=to_datetime_or_none(token.revoked_at),
        )


# Response to a request that issues a token, with its secret text.
class TokenIssued(TokenView):  # noqa: D101 - a docstring would be published in the OpenAPI document
    token: str | None = Field(description="the token itself, shown this once; null in a repeated answer")


# A node, as this proxy sees it.
class BoxView(BaseModel):  # noqa: D101 - a docstring would be published in the OpenAPI document
    id: str
    address: str
    state: Literal["ready", "draining", "gone"]
    in_flight: int
    changed_at: datetime = Field(description="when this proxy was told of the state")


# All nodes; not paginated.
class Boxes(BaseModel):  # noqa: D101 - a docstring would be published in the OpenAPI document
    items: list[BoxView]


class EffectsView(BaseModel):
    """The memory of what became of requests with an Idempotency-Key, since the start of this process."""

    store: Literal["open", "full", "broken", "closed"]
    in_hand: int = Field(description="keys whose request is not over")
    keys: int = Field(description="keys that are remembered")
    begun: int = Field(description="requests that were sent on")
    sent_again: int = Field(description="repeats of a keyed class, sent on within the window")
    told: int = Field(description="repeats that were answered from what became of the first")
    denied: dict[str, int] = Field(description="repeats that were turned away, by reason")
    refused: int = Field(description="requests refused as they could not be remembered")
    commits: int
    changes: int
    turned_away: int = Field(description="changes for which the disk was too slow")
    waiting_bytes: int
    slowest_commit_ms: float


class ProxyView(BaseModel):
    """The running proxy."""

    phase: Literal["active", "standby", "leaving"]
    serving: bool = Field(description="whether this process takes clients")
    open_requests: int
    clients: int
    descriptors: int
    bytes_held: int
    effects: EffectsView | None = Field(None, description="the memory of effects; null where there is none")


class MemberView(BaseModel):
    """One member, as this instance sees it."""

    name: str
    incarnation: str | None
    state: Literal["alive", "suspect", "dead", "left", "unknown"] = Field(description="an opinion, no truth")
    heard_ms: float | None = Field(description="since it was last heard; null: never")
    version: str | None
    address: str | None
    link: Literal["self", "whole", "one-way", "bridge", "silent"] = Field(
        description="one-way: it is heard, but does not answer; bridge: others reach it, this one does not"
    )


class RulesView(BaseModel):
    """The rules as this instance has them."""

    version: int = Field(description="the place in the log of the last change that holds")
    digest: str = Field(description="equal where two instances have come by the same changes")
    applied: int = Field(description="all up to this place is in force here")
    agreed: int = Field(description="all up to this place is agreed, as far as is known here")
    term: int
    leader: str | None
    role: Literal["follower", "asking", "candidate", "leader", "silent"]
    joined: bool = Field(description="false: it has lost its memory, and does not count yet")
    sealed: bool = Field(description="whether the fleet has agreed on a first state")
    acts: bool = Field(description="whether requests are taken on these rules")
    lease_ms: float = Field(description="for how long, without hearing anything more")
    peers: dict[str, int] = Field(description="of a leader: up to where each of the others has the log")


class ClassFigures(BaseModel):
    """What became of a class's requests."""

    fulfilled: int
    throttled: int
    faulted: int
    departed: int = Field(description="their client had gone")
    relayed: int = Field(description="attempts written whole to a box")
    open: int


class FleetFigures(BaseModel):
    """Requests by class over the whole fleet, as far as they have come to this instance."""

    classes: dict[str, ClassFigures]
    age_ms: float = Field(description="of the oldest part")
    missing: list[str] = Field(description="instances not heard lately: what they counted since is not in it")


class ClusterView(BaseModel):
    """The fleet, as this instance sees it."""

    name: str
    incarnation: str
    standing: Literal["whole", "majority", "minority", "alone"]
    takes: bool = Field(description="whether requests are taken under this name")
    hold: Literal["joining", "holding", "contested", "left"]
    balancers: int = Field(description="proxies that the module counts on")
    members: list[MemberView]
    bounds: dict[str, float] = Field(description="how long what is wrong may last, in milliseconds")
    disagreements: list[str]
    view: str = Field(description="equal where two instances hold the same of all members")
    rules: RulesView | None = Field(None, description="the rules that all agree on; null: each its own")
    figures: FleetFigures | None = Field(None, description="null where limits are each instance's own")


class EventView(BaseModel):
    """One line of the audit log."""

    seq: int
    at: datetime
    actor: str
    action: str
    tenant: str | None
    target: str
    before: dict[str, Any] | None
    after: dict[str, Any] | None

    @classmethod
    def of(cls, event: AuditEvent) -> EventView:
        """The view of a stored audit event."""
        return cls(
            seq=event.seq,
            at=to_datetime(event.at),
            actor=event.actor,
            action=event.action,
            tenant=event.tenant,
            target=event.target,
            before=dict(event.before) if event.before is not None else None,
            after=dict(event.after) if event.after is not None else None,
        )
