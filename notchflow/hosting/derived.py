"""Derives the settings of the service's components from the operator file."""

from __future__ import annotations

from notchflow.admin.operations import ApiDefaults
from notchflow.admin.server import AdminLimits
from notchflow.effects.tracker import IdempotencyRule
from notchflow.hosting.file import OperatorFile
from notchflow.hosting.schema import EFFECTS, AdminModel
from notchflow.interface import Effect
from notchflow.tenancy.admission import AdmissionSettings


def admission_settings(file: OperatorFile) -> AdmissionSettings:
    """Settings of the admission of tenants' requests."""
    return AdmissionSettings(
        file.fleet.path_prefix,
        file.fleet.host.encode(),
        file.service.body_max,
        {c.name: EFFECTS[c.effect] for c in file.classes},
    )


def admin_bounds(admin: AdminModel) -> AdminLimits:
    """Limits of the administration listener."""
    return AdminLimits(
        admin.head_max, admin.body_max, admin.timeout_s, admin.rate_per_s, admin.burst, admin.connections
    )


def effect_rules(file: OperatorFile) -> dict[str, IdempotencyRule]:
    """For each class with effects, how long its idempotency keys are remembered. A ValueError names a class
    whose window outlasts that."""
    rules: dict[str, IdempotencyRule] = {}
    for c in file.classes:
        kind = EFFECTS[c.effect]
        if file.effects is not None and kind is not Effect.SAFE:
            keep_s = file.effects.unsafe_s if kind is Effect.UNSAFE else file.effects.keyed_s
            window_ms = c.window_ms if kind is Effect.KEYED else 0.0
            try:
                rules[c.name] = IdempotencyRule(kind, int(keep_s * 1e3), window_ms)
            except ValueError as error:
                raise ValueError(
                    f"class {c.name!r}, with the section `effects` that this process began with: {error}; "
                    "shorten the window, or restart the service"
                ) from None
    return rules


def api_defaults(file: OperatorFile) -> ApiDefaults:
    """Known classes and default limits for the administration API."""
    return ApiDefaults(tuple(c.name for c in file.classes), file.tenants.limits.to_domain())
