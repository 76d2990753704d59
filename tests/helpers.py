"""Settings, fleets, requests and outcomes for tests of the policy."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from notchflow.interface import (
    Action,
    Effect,
    Group,
    Limits,
    ListKind,
    Member,
    Membership,
    Outcome,
    Request,
    RequestClass,
    Rules,
    Send,
    Settings,
    Status,
)
from notchflow.policy.balancer import Balancer

CLASSES = (
    RequestClass("read", 300, 1000),
    RequestClass("keyed", 300, 1000, effect=Effect.KEYED, group=Group.ALL, window_ms=400),
    RequestClass("zoned", 300, 1000, effect=Effect.KEYED, group=Group.ZONE, window_ms=400),
    RequestClass("celled", 300, 1000, effect=Effect.KEYED, group=Group.CELL, window_ms=400),
    RequestClass("once", 300, 1000, effect=Effect.UNSAFE),
)
RULES = Rules(
    answer_slack_ms=20,
    ask_within_ms=10_000,
    drain_grace_ms=250,
    cold_share=0.2,
    cold_ms=10_000,
    overload_factor=3,
    fall_ms=1_000,
)
LIMITS = Limits(max_attempts=3, second_copies=True, cancel=True)


def make_settings(**changes: Any) -> Settings:
    """Returns the settings above with some fields changed."""
    values: dict[str, Any] = {"classes": CLASSES, "zone": "a", "rules": RULES, "limits": LIMITS}
    return Settings(**(values | changes))


def make_fleet(count: int, **changes: Any) -> tuple[Member, ...]:
    """Returns members spread over two zones and four cells."""
    return tuple(
        replace(Member(1000 + 7919 * i, zone="ab"[i % 2], cell=i % 4), **changes) for i in range(count)
    )


def make_balancer(count: int = 8, now: float = 0.0, **changes: Any) -> Balancer:
    """Returns a balancer that knows `count` nodes."""
    balancer = Balancer(make_settings(**changes), seed=11, now=now)
    balancer.handle(now, Membership(ListKind.FULL, make_fleet(count)))
    return balancer


def make_key(number: int) -> str:
    """Returns a key of 16 hexadecimal digits."""
    return f"{number * 2654435761 % 2**64:016x}"


def make_request(
    number: int, now: float, cls: str = "read", key: str | None = "use-number", **more: Any
) -> Request:
    """Returns a request with a deadline in 900 ms; by default its key is derived from its number."""
    request_key = make_key(number) if key == "use-number" else key
    return Request(id=number, cls=cls, deadline=now + 900, key=request_key, **more)


def sends(actions: list[Action]) -> list[Send]:
    """Returns the attempts among some actions."""
    return [a for a in actions if isinstance(a, Send)]


def ok(send: Send, attempt: int = 0, latency: float = 10.0) -> Outcome:
    """Returns the outcome of an attempt that succeeded."""
    return Outcome(send.id, attempt, send.node, Status.OK, latency, closed=True)
