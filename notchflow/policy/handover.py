"""What a process that takes this one's place is told: what need not be learned anew, in plain values."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from notchflow.policy.budgets import Budgets
from notchflow.policy.fleet import Fleet
from notchflow.policy.health import EJECT_MAX_MS
from notchflow.policy.hot_keys import HotKeys
from notchflow.policy.kinds import numbers


def tell(now: float, fleet: Fleet, hot: HotKeys, budgets: Budgets, rate: float) -> dict[str, Any]:
    """Times are counted from now, `rate` is own requests a millisecond."""
    return {
        **fleet.kinds.told(),
        **hot.told(),
        "classes": fleet.class_latency_ms,
        "cost": budgets.mean_cost,
        "rate": rate / 2,  # both serve for a while, and the two count cold servers' budgets apart
        "health": {
            str(n.id): [n.failures, max(n.ejected_until - now, 0.0), n.pause, n.trial]
            for n in fleet.nodes.values()
            if n.failures
        },
    }


def take(now: float, told: Mapping[str, Any], fleet: Fleet, hot: HotKeys, budgets: Budgets) -> float:
    """Begins with what another process has learned and gives the rate; an error leaves all as it was."""
    classes, rate, cost = numbers(told["classes"]), float(told["rate"]), float(told["cost"])
    health = [
        (fleet.nodes.get(int(node)), int(fails), float(out), float(pause), bool(trial))
        for node, (fails, out, pause, trial) in told["health"].items()
    ]
    kinds = type(fleet.kinds)()
    kinds.take(told)
    hot.take(now, told, rate)
    fleet.kinds, fleet.class_latency_ms, budgets.mean_cost = kinds, classes, cost
    for node, fails, out, pause, trial in health:
        if node is not None:
            node.failures, node.pause, node.trial = fails, min(pause, EJECT_MAX_MS), trial
            node.ejected_until = now + min(out, EJECT_MAX_MS)
    fleet.reweigh(now)
    return rate
