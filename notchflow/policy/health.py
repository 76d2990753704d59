"""Outlier ejection: of nodes that stop responding, and of single request classes that a node fails."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from notchflow.interface import Outcome, RequestClass
from notchflow.policy.nodes import CANCELLED, ERROR, MISS, OK, RESET, TIMEOUT, ClassHealth, Node

SUSPECT_AFTER_FAILURES: Final = 2  # consecutive
MAX_EJECTION_MS: Final = 8_000.0
TRIAL_TIMEOUT_SHARE: Final = 0.4  # of the remaining time, for an attempt on a suspect node
TIMEOUT_EJECTED_SHARE: Final = 0.34  # of the fleet that timeouts may eject; above, the cause lies elsewhere
CLASS_EJECT_AFTER: Final = 5  # failures of one class in excess of its answers, on a node that serves others
CLASS_EJECTED_SHARE: Final = 0.6  # of the fleet that may eject a class; above, the cause lies behind it
HEDGE_AFTER_LATENCIES: Final = 3.0  # mean latencies without an answer after which a hedge may be sent


def is_healthy(node: Node, now: float, cls: str = "") -> bool:
    """Whether the node may get a request of the class: neither the node nor the class is ejected from it, and
    no trial after an ejection is outstanding."""
    if node.ejected_until > now or (node.on_trial and node.in_flight > 0):
        return False
    return cls not in node.class_health or not node.class_health[cls].blocks(now)


def record_class_outcome(
    now: float,
    node: Node,
    outcome: Outcome,
    request_class: RequestClass,
    mean_latency_ms: float,
    ready: Sequence[Node],
) -> None:
    """Counts failures per class and ejects the class from the node after too many of them.

    A node may hang or fail on one class only, or on most requests of it; its answers to other classes, and
    the few to this one, must not hide that. An attempt that timed out or was cancelled counts only if the
    node has answered one sent in the second half of its wait, since a node that merely has a queue would not
    have. `mean_latency_ms` is that of the class, infinite if unknown.
    """
    cls, status, elapsed_ms = request_class.name, outcome.status, outcome.latency_ms
    health = node.class_health.get(cls)
    if health is not None:
        health.outstanding = max(0, health.outstanding - 1)
        if status in (OK, MISS):
            health.failures, health.ejected_until = health.failures - 1, 0.0
            if health.failures <= 0:
                del node.class_health[cls]
    if status in (TIMEOUT, CANCELLED):
        on_trial = health is not None and health.ejected_until > 0
        overdue = elapsed_ms > min(HEDGE_AFTER_LATENCIES * mean_latency_ms, request_class.aim_ms)
        if node.newest <= now - elapsed_ms / 2 or not (overdue or on_trial):
            return  # the node is queueing, or the wait was too short to tell
    elif status not in (ERROR, RESET):
        return
    health = node.class_health.setdefault(cls, ClassHealth())
    health.failures = min(health.failures + 1, CLASS_EJECT_AFTER)
    if health.failures < CLASS_EJECT_AFTER or health.ejected_until > now:
        return
    ejected = sum(1 for n in ready if cls in n.class_health and n.class_health[cls].ejected_until > now)
    if ejected < CLASS_EJECTED_SHARE * len(ready):
        health.ejected_until = now + health.ejection_ms
        health.ejection_ms = min(health.ejection_ms * 2, MAX_EJECTION_MS)


def record_no_response(now: float, node: Node, refused: bool, ready: Sequence[Node]) -> None:
    """Counts an attempt without any response and ejects the node after too many of them.

    Slow nodes time out too, but then many do at once; timeouts therefore eject only a part of the fleet. A
    refused connection is sufficient proof by itself.
    """
    node.failures += 1
    if node.failures < SUSPECT_AFTER_FAILURES or node.ejected_until > now:
        return
    if refused or sum(n.ejected_until > now for n in ready) < TIMEOUT_EJECTED_SHARE * len(ready):
        node.ejected_until = now + node.ejection_ms
        node.ejection_ms = min(node.ejection_ms * 2, MAX_EJECTION_MS)
        node.on_trial = True
