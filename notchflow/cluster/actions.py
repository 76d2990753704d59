"""What the core of members asks of its edge, and what it tells. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeAlias

from notchflow.cluster.messages import Message
from notchflow.cluster.model import Incarnation


@dataclass(frozen=True, slots=True)
class Datagram:
    """Send this to a member, by its name; `address` is what it says of itself, the book goes before it.
    `back`: whoever sent what this answers gets it instead, where the book does not know the name."""

    name: str
    address: str
    body: Message
    back: bool = False


@dataclass(frozen=True, slots=True)
class Exchange:
    """Open a connection, send this whole view and hand in what is answered. Without a name: a seed."""

    name: str
    address: str
    body: Message


@dataclass(frozen=True, slots=True)
class PersistIncarnation:
    """Make this life durable before anything is sent under it."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """For the log and the history: what, of whom, and what more there is to it."""

    what: str
    subject: str = ""
    details: dict[str, Any] = field(default_factory=dict)


Action: TypeAlias = Datagram | Exchange | PersistIncarnation | MembershipEvent
