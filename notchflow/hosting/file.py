"""Reads and validates the operator file. Each error names its place, the value, and what is allowed."""

from __future__ import annotations

import math
import tomllib
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final, TypeVar

from pydantic import TypeAdapter, ValidationError

from notchflow.cluster.addresses import parse_numeric_address
from notchflow.cluster.identity import IdentityError, read_secret
from notchflow.cluster.messages import SECRET_BYTES_MIN
from notchflow.cluster.model import NAMES_MAX
from notchflow.hosting.schema import (
    AdminModel,
    ClassModel,
    ClusterModel,
    EffectsModel,
    FleetModel,
    ListenerModel,
    ServiceModel,
    TenantsModel,
)
from notchflow.interface import Limits, Rules, Settings
from notchflow.net.config import Config
from notchflow.net.node_list import NodeList, decode_node_list, parse_address
from notchflow.tenancy.routes import validate_routes as route_errors

_T = TypeVar("_T")
SECTIONS: Final = ("service", "listeners", "admin", "fleet", "classes", "tenants", "effects", "cluster")
SHOWN_VALUE_LENGTH: Final = 60


@dataclass(frozen=True, slots=True)
class Issue:
    """One error in a file: its place, and what is wrong and allowed."""

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.message}" if self.place else self.message


class InvalidFileError(Exception):
    """An invalid operator file, with all its errors."""

    def __init__(self, path: Path, issues: list[Issue]) -> None:
        super().__init__("\n".join(f"{path}: {issue}" for issue in issues))
        self.path, self.issues = path, issues


@dataclass(frozen=True, slots=True)
class OperatorFile:
    """A valid operator file."""

    path: Path
    service: ServiceModel
    listeners: tuple[ListenerModel, ...]
    admin: AdminModel
    fleet: FleetModel
    classes: tuple[ClassModel, ...]
    tenants: TenantsModel
    effects: EffectsModel | None = None
    cluster: ClusterModel | None = None
    secret: bytes = field(default=b"", repr=False)  # of the cluster

    @property
    def effects_folder(self) -> Path | None:
        """The folder of the effect store, below the state folder; None without a section `effects`."""
        return self.state / self.effects.folder if self.effects is not None else None

    @property
    def state(self) -> Path:
        """The state folder; a relative path starts at the file's folder."""
        return self.path.parent / self.service.state

    def static_node_list(self) -> NodeList:
        """The static list of nodes in discovery's format; empty if discovery provides the nodes."""
        return decode_node_list(
            {
                "revision": 0,
                "complete": True,
                "members": [
                    {
                        "id": b.id,
                        "host_port": b.address,
                        "locality": b.zone,
                        "flavor": b.kind,
                        "size": b.size,
                        "phase": "up",
                    }
                    for b in self.fleet.boxes
                ],
            }
        )

    def settings(self) -> Settings:
        """The policy's settings."""
        fleet = self.fleet
        return Settings(
            classes=tuple(c.to_domain() for c in self.classes),
            zone=fleet.zone,
            rules=Rules(
                drain_grace_ms=fleet.drain_grace_ms,
                cold_share=fleet.cold_share,
                cold_ms=fleet.cold_ms,
                overload_factor=fleet.overload_factor,
                fall_ms=fleet.fall_ms,
            ),
            limits=Limits(
                max_attempts=fleet.max_attempts,
                second_copies=fleet.second_copies,
                cancel=True,
                connect_timeout_ms=fleet.connect_timeout_ms,
            ),
        )

    def config(self, seed: int) -> Config:
        """The configuration of the proxy itself."""
        first, *others = [parse_address(entry.address) for entry in self.listeners]
        return Config(
            name=self.service.name,
            listen=first,
            also_listen=tuple(others),
            discovery=parse_address(self.fleet.discovery) if self.fleet.discovery else None,
            seed=seed,
            settings=self.settings(),
            known=self.static_node_list(),
            conn_idle_ms=self.fleet.idle_ms,
            memory_mb=self.service.memory_mb,
            sockets=self.service.sockets,
            console=parse_address(self.service.console) if self.service.console else None,
            max_stop_ms=math.inf,  # as long as the classes allow
        )


def load(path: Path) -> OperatorFile:
    """Reads and validates a file. InvalidFileError."""
    return decode(read_toml(path), path)


def read_toml(path: Path) -> dict[str, Any]:
    """Parses a TOML file. InvalidFileError."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise InvalidFileError(path, [Issue("", f"cannot be read: {error.strerror}")]) from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise InvalidFileError(path, [Issue("", f"not TOML: {error}")]) from None


def decode(data: Mapping[str, Any], path: Path) -> OperatorFile:
    """Validates parsed tables; `path` is where relative paths start. InvalidFileError."""
    issues = [
        Issue(name, f"unknown section; allowed: {', '.join(SECTIONS)}")
        for name in data
        if name not in SECTIONS
    ]
    service = _section(data, "service", ServiceModel, {}, issues)
    listeners = _section(data, "listeners", tuple[ListenerModel, ...], None, issues)
    admin = _section(data, "admin", AdminModel, None, issues)
    fleet = _section(data, "fleet", FleetModel, None, issues)
    classes = _section(data, "classes", tuple[ClassModel, ...], None, issues)
    tenants = _section(data, "tenants", TenantsModel, {}, issues)
    effects = _section(data, "effects", EffectsModel, None, issues) if "effects" in data else None
    cluster = _section(data, "cluster", ClusterModel, None, issues) if "cluster" in data else None
    secret, found = _cluster_errors(cluster, path, listeners, admin, service)
    issues += found
    issues += _cross_section_errors(service, listeners, admin, fleet, classes, tenants)
    issues += _effects_errors(effects, classes)
    if issues or None in (service, listeners, admin, fleet, classes, tenants):
        raise InvalidFileError(path, issues)
    assert service and listeners and admin and fleet and classes and tenants
    return OperatorFile(path, service, listeners, admin, fleet, classes, tenants, effects, cluster, secret)


def _section(
    data: Mapping[str, Any], name: str, shape: type[_T], default: Any, issues: list[Issue]
) -> _T | None:
    value = data.get(name, default)
    if value is None:
        issues.append(Issue(name, "is missing and has no default"))
        return None
    if isinstance(value, list):  # TOML has no tuples, and strict models accept only a tuple for one
        value = tuple(value)
    try:
        return TypeAdapter(shape).validate_python(value)
    except ValidationError as error:
        issues += [
            Issue(format_place(name, e["loc"]), format_message(dict(e)))
            for e in error.errors(include_url=False)
        ]
        return None


def format_place(section: str, loc: tuple[int | str, ...]) -> str:
    """The place of a validation error, such as `fleet.boxes[0].id`."""
    return section + "".join(f"[{part}]" if isinstance(part, int) else f".{part}" for part in loc)


def format_message(error: dict[str, Any]) -> str:
    """The text of a validation error: the value and what is allowed."""
    if error["type"] == "extra_forbidden":
        return "unknown name"
    if error["type"] == "missing":
        return "is missing and has no default"
    shown = repr(error["input"])
    shown = shown if len(shown) <= SHOWN_VALUE_LENGTH else shown[:SHOWN_VALUE_LENGTH] + "..."
    return f"is {shown}; {error['msg'][0].lower()}{error['msg'][1:]}"


def _address_errors(place: str, text: str) -> list[Issue]:
    try:
        parse_address(text)
    except ValueError as error:
        return [Issue(place, str(error))]
    return []


def _cross_section_errors(
    service: ServiceModel | None,
    listeners: tuple[ListenerModel, ...] | None,
    admin: AdminModel | None,
    fleet: FleetModel | None,
    classes: tuple[ClassModel, ...] | None,
    tenants: TenantsModel | None,
) -> list[Issue]:
    """Errors between sections; sections that are invalid by themselves are None."""
    issues: list[Issue] = []
    places: dict[str, str] = {}
    listen_addresses = [(f"listeners[{i}].address", entry.address) for i, entry in enumerate(listeners or ())]
    listen_addresses += [("admin.address", admin.address)] if admin is not None else []
    if service is not None and service.console is not None:
        listen_addresses.append(("service.console", service.console))
    if listeners == ():
        issues.append(Issue("listeners", "is empty; at least one is needed"))
    for place, address in listen_addresses:
        issues += _address_errors(place, address)
        if address in places:
            issues.append(Issue(place, f"is {address!r}, which {places[address]} is already"))
        places[address] = place
    if fleet is not None:
        issues += _fleet_errors(fleet)
    class_names = [c.name for c in classes or ()]
    for number, c in enumerate(classes or ()):
        if c.name in class_names[:number]:
            issues.append(Issue(f"classes[{number}].name", f"is {c.name!r}, which another class has already"))
        if c.aim_ms > c.deadline_ms:
            issues.append(
                Issue(
                    f"classes[{number}].aim_ms", f"is {c.aim_ms:g}; at most the deadline, {c.deadline_ms:g}"
                )
            )
        if c.effect == "keyed" and c.window_ms <= 0:
            issues.append(
                Issue(
                    f"classes[{number}].window_ms",
                    "is 0; a keyed class states for how long boxes drop a repeat",
                )
            )
    if classes == ():
        issues.append(Issue("classes", "is empty; at least one is needed"))
    if tenants is not None and classes is not None:
        for place, what in route_errors([r.to_domain() for r in tenants.routes], class_names):
            index, _, field = place.partition(".")
            issues.append(Issue(f"tenants.routes[{index}].{field}" if place else "tenants.routes", what))
    return issues


def _effects_errors(effects: EffectsModel | None, classes: tuple[ClassModel, ...] | None) -> list[Issue]:
    if effects is None:
        return []
    too_long = [c for c in classes or () if c.effect == "keyed" and c.window_ms >= effects.keyed_s * 1e3]
    return [
        Issue(
            "effects.keyed_s",
            f"is {effects.keyed_s:g}; it must outlast the window of class " f"{c.name!r}, {c.window_ms:g} ms",
        )
        for c in too_long
    ]


def _cluster_errors(
    cluster: ClusterModel | None,
    path: Path,
    listeners: tuple[ListenerModel, ...] | None,
    admin: AdminModel | None,
    service: ServiceModel | None,
) -> tuple[bytes, list[Issue]]:
    """The secret, and the errors of the section."""
    if cluster is None:
        return b"", []
    issues = _roster_errors(cluster)
    taken = {entry.address: "a listener's" for entry in listeners or ()}
    taken |= {admin.address: "admin.address"} if admin is not None else {}
    taken |= {service.console: "service.console"} if service is not None and service.console else {}
    if cluster.listen in taken:
        issues.append(
            Issue("cluster.listen", f"is {cluster.listen!r}, which is {taken[cluster.listen]} already")
        )
    addresses = [("cluster.listen", cluster.listen)]
    addresses += [(f"cluster.seeds[{n}]", seed) for n, seed in enumerate(cluster.seeds)]
    addresses += [(f"cluster.addresses.{name}", text) for name, text in cluster.addresses.items()]
    for place, text in addresses:
        found = _address_errors(place, text)
        issues += found
        if not found and parse_numeric_address(text) is None:
            issues.append(
                Issue(
                    place,
                    f"is {text!r}; a numeric address is needed, as resolving a " "name would block the proxy",
                )
            )
    try:
        secret = read_secret(path.parent / cluster.secret, SECRET_BYTES_MIN)
    except IdentityError as error:
        return b"", [*issues, Issue("cluster.secret", str(error))]
    return secret, issues


def _roster_errors(cluster: ClusterModel) -> list[Issue]:
    issues, roster = [], cluster.roster
    if not 1 <= len(roster) <= NAMES_MAX:
        issues.append(Issue("cluster.roster", f"has {len(roster)} names; 1 to {NAMES_MAX}"))
    duplicates = sorted(name for name, count in Counter(roster).items() if count > 1)
    if duplicates:
        issues.append(Issue("cluster.roster", f"holds {', '.join(duplicates)} twice; each name stands once"))
    if roster and cluster.name not in roster:
        issues.append(
            Issue(
                "cluster.roster",
                f"lacks {cluster.name!r}, which is cluster.name; add it, as "
                "the roster includes every instance",
            )
        )
    if len(roster) > 1 and not cluster.seeds and not cluster.addresses:
        issues.append(
            Issue(
                "cluster.seeds",
                "is empty, and so is cluster.addresses; no other instance could be found: "
                "name at least one",
            )
        )
    unknown = sorted(cluster.addresses.keys() - set(roster))
    if unknown:
        issues.append(Issue(f"cluster.addresses.{unknown[0]}", "is not on the roster"))
    return issues


def _fleet_errors(fleet: FleetModel) -> list[Issue]:
    issues: list[Issue] = []
    if (fleet.discovery is None) == (not fleet.boxes):
        issues.append(Issue("fleet", "needs either discovery or boxes, and not both"))
    if fleet.discovery is not None:
        issues += _address_errors("fleet.discovery", fleet.discovery)
    seen: set[str] = set()
    for number, box in enumerate(fleet.boxes):
        issues += _address_errors(f"fleet.boxes[{number}].address", box.address)
        if box.id in seen:
            issues.append(Issue(f"fleet.boxes[{number}].id", f"is {box.id!r}, which another box has already"))
        seen.add(box.id)
    return issues
