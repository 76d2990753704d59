"""Parses the settings of a deployment from JSON. Errors name the place, the value and what to write
instead."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping
from dataclasses import MISSING, fields
from typing import Any, Final, TypeVar

from notchflow.interface import Effect, Group, Limits, Prices, RequestClass, Rules, Settings, Tenant

EFFECTS: Final = {"repeatable": Effect.SAFE, "by_key": Effect.KEYED, "once": Effect.UNSAFE}
GROUPS: Final = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}

CLASS_FIELDS: Final = {
    "name": "Name",
    "aim_ms": "ObjectiveMs",
    "deadline_ms": "DeadlineMs",
    "worth": "Points",
    "late_worth": "LateValue",
    "window_ms": "WindowMs",
    "stream": "Stream",
    "effect": "Effect",
    "group": "Group",
}
TENANT_FIELDS: Final = {"name": "Name", "quota_per_s": "QuotaPerS", "share": "Portion"}
RULES_FIELDS: Final = {
    "answer_slack_ms": "GraceToAnswerMs",
    "ask_within_ms": "AskWithinMs",
    "drain_grace_ms": "DrainGraceMs",
    "cold_share": "ColdShare",
    "cold_ms": "ColdMs",
    "overload_factor": "OverloadFactor",
    "fall_ms": "FallMs",
}
LIMITS_FIELDS: Final = {
    "max_attempts": "MaxAttempts",
    "second_copies": "SecondCopies",
    "cancel": "Cancel",
    "probes": "MayProbe",
    "retry_after": "RetryAfter",
    "max_retry_after_ms": "MaxRetryAfterMs",
    "connect_timeout_ms": "DialTimeoutMs",
}
PRICES_FIELDS: Final = {
    "cross_zone": "CrossZone",
    "waste": "Waste",
    "origin": "Origin",
    "probe": "Probe",
    "late_fail": "LateFail",
}
SETTINGS_FIELDS: Final = {
    "zone": "Az",
    "balancers": "PeersTotal",
    "over_share_worth": "OverShareWorth",
    "tick_ms": "GranularityMs",
}
NESTED_FIELDS: Final = {"classes": "Classes"}

_R = TypeVar("_R")


class SettingsError(ValueError):
    """Invalid settings; the message names the place, the value and the remedy."""


def decode(data: Any) -> tuple[Settings, tuple[str, ...]]:
    """Returns the settings and the field names of load reports; raises SettingsError."""
    data = _object(data, "settings", required=True)
    report = _object(data.get("Report"), "Report")
    names = tuple(
        _string(name, "Report.Fields") for _, name in _entries(report.get("Fields"), "Report.Fields")
    )
    return _settings(data), names


def number(value: Any, place: str) -> float:
    """Returns a finite number; raises SettingsError for anything else."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise SettingsError(f"{place}: must be a finite number, not {_quoted(value)}: write it in digits")
    return float(value)


def integer(value: Any, place: str) -> int:
    """Returns an integer; raises SettingsError for anything else."""
    if not number(value, place).is_integer():
        raise SettingsError(f"{place}: must be a whole number, not {_quoted(value)}")
    return int(value)


def _settings(data: Mapping[str, Any]) -> Settings:
    classes = tuple(_request_class(entry, place) for place, entry in _entries(data.get("Classes"), "Classes"))
    tenants = tuple(
        _build(Tenant, _object(entry, place, required=True), place, TENANT_FIELDS)
        for place, entry in _entries(data.get("Tenants"), "Tenants")
    )
    return _build(
        Settings,
        data,
        "",
        SETTINGS_FIELDS,
        classes=classes,
        tenants=tenants,
        rules=_build(Rules, data.get("Rules"), "Rules", RULES_FIELDS),
        limits=_build(Limits, data.get("Limits"), "Limits", LIMITS_FIELDS),
        prices=_build(Prices, data.get("Deductions"), "Deductions", PRICES_FIELDS),
        list_on_request=data.get("MembershipMode") == "on_request",
        origin_kind=_origin_kind(data),
        worth_by_work=data.get("ValueBy") == "work",
    )


def _origin_kind(data: Mapping[str, Any]) -> str | None:
    """Returns the node kind of the origin in cache-aside mode, else None."""
    family = _object(data.get("FamilyInfo"), "FamilyInfo")
    kinds = [_string(kind, place) for place, kind in _entries(data.get("Kinds"), "Kinds")]
    index = integer(family.get("OriginKind", -1), "FamilyInfo.OriginKind")
    return kinds[index] if family.get("Mode") == "aside" and 0 <= index < len(kinds) else None


def _request_class(entry: Any, place: str) -> RequestClass:
    entry = _object(entry, place, required=True)
    return _build(
        RequestClass,
        entry,
        place,
        CLASS_FIELDS,
        effect=_choice(entry.get("Effect", "once"), f"{place}.Effect", EFFECTS),
        group=_choice(entry.get("Group", "cell"), f"{place}.Group", GROUPS),
    )


def _build(
    dataclass_type: Callable[..., _R], data: Any, place: str, names: Mapping[str, str], **parsed: Any
) -> _R:
    """Builds a dataclass from the fields present under their external names; others keep their defaults."""
    data = _object(data, place)
    prefix = f"{place}." if place else ""
    values = dict(parsed)
    for field in fields(dataclass_type):  # type: ignore[arg-type]
        external_name = names.get(field.name)
        if external_name is None or field.name in parsed:
            continue
        value = data.get(external_name)
        if value is not None:
            values[field.name] = PARSERS[str(field.type)](value, prefix + external_name)
        elif field.default is MISSING:
            raise SettingsError(f"{prefix}{external_name}: is missing; every entry of {place} needs it")
    try:
        return dataclass_type(**values)
    except ValueError as error:  # names the field by its internal name
        internal, _, message = str(error).partition(": ")
        name = internal.rpartition(".")[2]
        raise SettingsError(
            f"{prefix}{names.get(name) or NESTED_FIELDS.get(name, name)}: {message}"
        ) from None


def _entries(value: Any, place: str) -> Iterator[tuple[str, Any]]:
    """Yields the entries of a list, each with its place; nothing if there is no list."""
    if value is not None and not isinstance(value, list):
        raise SettingsError(f"{place}: must be a list, not {_quoted(value)}: write it in [ ]")
    for index, entry in enumerate(value or ()):
        yield f"{place}[{index}]", entry


def _object(value: Any, place: str, required: bool = False) -> Mapping[str, Any]:
    if value is None and not required:
        return {}
    if not isinstance(value, dict):
        raise SettingsError(f"{place}: must be an object, not {_quoted(value)}: write it in {{ }}")
    return value


def _boolean(value: Any, place: str) -> bool:
    if not isinstance(value, bool) and value not in (0, 1):
        raise SettingsError(f"{place}: must be true or false, not {_quoted(value)}")
    return bool(value)


def _string(value: Any, place: str) -> str:
    if not isinstance(value, str):
        raise SettingsError(f"{place}: must be a text, not {_quoted(value)}: write it in quotes")
    return value


def _choice(value: Any, place: str, table: Mapping[str, _R]) -> _R:
    if not isinstance(value, str) or value not in table:
        raise SettingsError(f"{place}: must be one of {', '.join(table)}, not {_quoted(value)}")
    return table[value]


def _quoted(value: Any) -> str:
    return f"{value!r:.60}"


PARSERS: Final[Mapping[str, Callable[[Any, str], Any]]] = {
    "float": number,
    "int": integer,
    "bool": _boolean,
    "str": _string,
}
