"""The learned state that a process exports to the one that replaces it, in plain values."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from notchflow.policy.budgets import Budgets
from notchflow.policy.fleet import Fleet
from notchflow.policy.health import MAX_EJECTION_MS
from notchflow.policy.hot_keys import HotKeys
from notchflow.policy.kinds import finite_numbers


def export_state(
    now: float, fleet: Fleet, hot_keys: HotKeys, budgets: Budgets, rate: float
) -> dict[str, Any]:
    """Returns the learned state. Times are relative to `now`; `rate` is in requests per millisecond."""
    return {
        **fleet.kinds.export_state(),
        **hot_keys.export_state(),
        "classes": fleet.class_latency_ms,
        "cost": budgets.mean_cost,
        "rate": rate / 2,  # both processes serve for a while, each with its own budget per cold node
        "health": {
            str(n.id): [n.failures, max(n.ejected_until - now, 0.0), n.ejection_ms, n.on_trial]
            for n in fleet.nodes.values()
            if n.failures
        },
    }


def restore_state(
    now: float, state: Mapping[str, Any], fleet: Fleet, hot_keys: HotKeys, budgets: Budgets
) -> float:
    """Restores the state that another process exported and returns its rate. On an error, nothing changes.

    Raises KeyError, TypeError, ValueError or AttributeError for malformed state.
    """
    classes, rate, cost = finite_numbers(state["classes"]), float(state["rate"]), float(state["cost"])
    health = [
        (fleet.nodes.get(int(node)), int(failures), float(ejected_ms), float(ejection_ms), bool(on_trial))
        for node, (failures, ejected_ms, ejection_ms, on_trial) in state["health"].items()
    ]
    kinds = type(fleet.kinds)()
    kinds.restore_state(state)
    hot_keys.restore_state(now, state, rate)
    fleet.kinds, fleet.class_latency_ms, budgets.mean_cost = kinds, classes, cost
    for node, failures, ejected_ms, ejection_ms, on_trial in health:
        if node is not None:
            node.failures, node.ejection_ms, node.on_trial = (
                failures,
                min(ejection_ms, MAX_EJECTION_MS),
                on_trial,
            )
            node.ejected_until = now + min(ejected_ms, MAX_EJECTION_MS)
    fleet.recompute_weights(now)
    return rate
