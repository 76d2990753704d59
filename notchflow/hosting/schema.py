"""Strict models of what operators and API clients write, with the bounds of each field.

docs/operators/hosting.md describes meanings, units and defaults.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from notchflow.cluster.model import NAME_PATTERN, NAMES_MAX, Settings
from notchflow.interface import Effect, RequestClass
from notchflow.tenancy.model import Limits, Route

Method = Literal["GET", "PUT", "POST", "PATCH", "DELETE"]
ClassName = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
TenantId = Annotated[
    str,
    Field(
        pattern=r"^[a-z][a-z0-9-]{1,30}[a-z0-9]$",
        description="3 to 32 of a-z, 0-9 and -; never given out again",
    ),
]
Template = Annotated[str, Field(min_length=1, max_length=512, pattern=r"^/[!-~]*$")]
ParameterName = Annotated[str, Field(pattern=r"^[a-z][a-z0-9_]{0,31}$")]
Address = Annotated[str, Field(pattern=r"^(\[[0-9A-Fa-f:.]+\]|[^\[\]:\s]+):[0-9]{1,5}$", max_length=255)]


class StrictModel(BaseModel):
    """Base model: unknown names are errors, and values are not converted to another type."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True, allow_inf_nan=False)


class LimitsModel(StrictModel):
    """What one tenant may take of one proxy."""

    rate_per_s: float = Field(100.0, gt=0, le=1e6, description="requests a second")
    burst: float = Field(50.0, ge=1, le=1e6, description="requests at once after a pause")
    in_hand: int = Field(256, ge=1, le=1_000_000, description="requests taken and not yet answered")
    bytes_held: int = Field(8 << 20, ge=1, le=1 << 40, description="bytes of request bodies in memory")
    weight: float = Field(1.0, gt=0, le=1e6, description="part of the proxy under pressure, against others")

    def to_domain(self) -> Limits:
        """The limits as the tenancy package has them."""
        return Limits(**self.model_dump())

    @classmethod
    def from_domain(cls, limits: Limits) -> LimitsModel:
        """The model of limits."""
        return cls(
            rate_per_s=limits.rate_per_s,
            burst=limits.burst,
            in_hand=limits.in_hand,
            bytes_held=limits.bytes_held,
            weight=limits.weight,
        )


class RouteModel(StrictModel):
    """A method and a path template to a request class."""

    method: Method
    path: Template
    cls: ClassName = Field(alias="class")
    key: list[ParameterName] = Field(default_factory=list, max_length=8)
    idempotency: Literal["optional", "required"] = Field(
        "optional", description="whether an Idempotency-Key must be sent; keyed classes need one anyway"
    )

    def to_domain(self) -> Route:
        """The route as the tenancy package has it."""
        return Route(self.method, self.path, self.cls, tuple(self.key), self.idempotency == "required")

    @classmethod
    def from_domain(cls, route: Route) -> RouteModel:
        """The model of a route."""
        return cls.model_validate(
            {
                "method": route.method,
                "path": route.path,
                "class": route.cls,
                "key": list(route.key),
                "idempotency": "required" if route.key_required else "optional",
            }
        )


EFFECTS = {"safe": Effect.SAFE, "keyed": Effect.KEYED, "unsafe": Effect.UNSAFE}


class ClassModel(StrictModel):
    """A request class."""

    name: ClassName
    aim_ms: float = Field(gt=0, le=600_000)
    deadline_ms: float = Field(gt=0, le=600_000)
    worth: float = Field(1.0, ge=0)
    effect: Literal["safe", "keyed", "unsafe"]
    window_ms: float = Field(0.0, ge=0)

    def to_domain(self) -> RequestClass:
        """The class as the policy has it."""
        return RequestClass(
            self.name,
            self.aim_ms,
            self.deadline_ms,
            self.worth,
            effect=EFFECTS[self.effect],
            window_ms=self.window_ms,
        )


class ServiceModel(StrictModel):
    """The process: its name, state folder and resource limits."""

    name: str = Field("hosted", pattern=r"^[A-Za-z0-9._-]{1,64}$")
    state: str = Field("state", min_length=1)
    memory_mb: float = Field(512.0, ge=64)
    sockets: int = Field(4096, ge=64, le=1 << 20)
    in_hand: int = Field(2048, ge=1, le=1_000_000)
    body_max: int = Field(64 << 10, ge=0, le=32 << 20)
    console: Address | None = None


class EffectsModel(StrictModel):
    """The effect memory; without this section, effects are not remembered."""

    folder: str = Field("effects", min_length=1)
    unsafe_s: float = Field(86_400.0, gt=0, le=31_536_000)
    keyed_s: float = Field(600.0, gt=0, le=31_536_000)
    segment_mb: float = Field(16.0, ge=0.25, le=1024)
    queue_mb: float = Field(8.0, ge=0.0625, le=256)


MemberName = Annotated[str, Field(pattern=NAME_PATTERN)]


class ClusterModel(StrictModel):
    """The fleet that this instance is a member of; without this section it runs alone."""

    name: MemberName
    listen: Address
    roster: list[MemberName]
    seeds: list[Address] = Field(default_factory=list, max_length=NAMES_MAX)
    secret: str = Field(min_length=1)
    addresses: dict[MemberName, Address] = Field(default_factory=dict)
    contact_ms: float = Field(2_000.0, ge=200, le=600_000)
    probe_timeout_ms: float = Field(200.0, ge=10, le=60_000)
    suspicion_ms: float = Field(1_000.0, ge=50, le=600_000)
    limits: Literal["fleet", "instance"] = "fleet"
    rules: Literal["fleet", "instance"] = "instance"
    history: str | None = None

    def to_domain(self) -> Settings:
        """The settings as the cluster package has them."""
        return Settings(
            contact_ms=self.contact_ms, probe_timeout_ms=self.probe_timeout_ms, suspicion_ms=self.suspicion_ms
        )


class ListenerModel(StrictModel):
    """A listener for clients."""

    address: Address


class BoxModel(StrictModel):
    """A node of a static list."""

    id: str = Field(min_length=1, max_length=128)
    address: Address
    zone: str = ""
    kind: str = ""
    size: float = Field(1.0, gt=0)


class FleetModel(StrictModel):
    """The nodes, from discovery or as a static list, and the policy's settings for them."""

    discovery: Address | None = None
    boxes: list[BoxModel] = Field(default_factory=list)
    zone: str = ""
    path_prefix: str = Field("/api", pattern=r"^(/[A-Za-z0-9._~-]+)*$")
    host: str = Field("notchflow.internal", pattern=r"^[A-Za-z0-9.:-]{1,253}$")
    connect_timeout_ms: float = Field(250.0, gt=0)
    idle_ms: float = Field(10_000.0, gt=0)
    max_attempts: int = Field(3, ge=1, le=10)
    second_copies: bool = True
    drain_grace_ms: float = Field(250.0, ge=0)
    cold_share: float = Field(1.0, gt=0, le=1)
    cold_ms: float = Field(0.0, ge=0)
    overload_factor: float = Field(2.0, gt=0)
    fall_ms: float = Field(1_000.0, gt=0)


class AdminModel(StrictModel):
    """The administration listener and its own limits."""

    address: Address
    body_max: int = Field(64 << 10, ge=1024, le=16 << 20)
    head_max: int = Field(16 << 10, ge=1024, le=1 << 20)
    timeout_s: float = Field(10.0, gt=0, le=600)
    rate_per_s: float = Field(50.0, gt=0)
    burst: float = Field(100.0, ge=1)
    connections: int = Field(64, ge=1, le=10_000)


class TenantsModel(StrictModel):
    """Defaults for tenants without limits or routes of their own."""

    limits: LimitsModel = LimitsModel()
    routes: list[RouteModel] = Field(default_factory=list)
