"""Actions that the membership protocol returns for the transport to perform. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeAlias

from notchflow.cluster.messages import Message
from notchflow.cluster.model import Incarnation


@dataclass(frozen=True, slots=True)
class Datagram:
    """Send a message to a member.

    `address` is the one that the member advertises; the address book overrides it. With `reply_to_source` the
    message goes to the source of the one that it answers, unless the address book has the name.
    """

    name: str
    address: str
    body: Message
    reply_to_source: bool = False


@dataclass(frozen=True, slots=True)
class Exchange:
    """Open a connection, send a full view and deliver the reply. An empty name means a seed."""

    name: str
    address: str
    body: Message


@dataclass(frozen=True, slots=True)
class PersistIncarnation:
    """Make this incarnation durable before anything is sent under it."""

    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class MembershipEvent:
    """An event for the log and the history: its kind, the member concerned, and details."""

    what: str
    subject: str = ""
    details: dict[str, Any] = field(default_factory=dict)


Action: TypeAlias = Datagram | Exchange | PersistIncarnation | MembershipEvent
