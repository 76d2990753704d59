"""Addresses of nodes, and the list of nodes in the JSON format of discovery."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from notchflow.interface import Member, State

Address = tuple[str, int]

PHASES = {"up": State.READY, "draining": State.DRAINING, "removed": State.GONE}


@dataclass(frozen=True, slots=True)
class NodeList:
    """One answer of discovery: the complete list, or the entries that changed."""

    revision: int
    complete: bool
    members: tuple[Member, ...] = ()
    addresses: Mapping[int, Address] | None = None
    names: Mapping[int, str] | None = None


def node_id(name: str) -> int:
    """The numeric id of a node. It is the same at every proxy and after every restart, as the homes of keys
    depend on it."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def parse_address(text: object) -> Address:
    """Parses `host:port`; raises a ValueError that describes the problem."""
    if not isinstance(text, str):
        raise ValueError(f"expected host:port, got {text!r}")
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"expected host:port, got {text[:60]!r}")
    return host.strip("[]"), int(port)


def encode_member(name: str, address: Address, member: Member) -> dict[str, object]:
    """An entry of the list in the JSON format of discovery."""
    phase = next(word for word, state in PHASES.items() if state is member.state)
    return {
        "id": name,
        "host_port": f"{address[0]}:{address[1]}",
        "locality": member.zone,
        "flavor": member.kind,
        "cell": member.cell,
        "phase": phase,
        "size": member.size,
        "up_since_ms": member.ready_at_ms,
    }


def decode_node_list(data: object) -> NodeList:
    """Decodes a list from the JSON format of discovery; raises a ValueError with the place, the problem and
    the value."""
    if not isinstance(data, dict):
        raise ValueError("expected an object with revision, complete and members")
    revision, complete, entries = data.get("revision"), data.get("complete"), data.get("members")
    if not isinstance(revision, int) or not isinstance(complete, bool) or not isinstance(entries, list):
        raise ValueError("expected a whole number in revision, a bool in complete and a list in members")
    members, addresses, names = [], {}, {}
    for place, entry in enumerate(entries):
        try:
            member, address = _decode_member(entry)
        except KeyError as error:
            raise ValueError(f"members[{place}]: lacks {error.args[0]}: {entry!r:.120}") from None
        except (TypeError, AttributeError, ValueError, OverflowError) as error:
            raise ValueError(f"members[{place}]: {error}: {entry!r:.120}") from None
        if member.node in names:
            raise ValueError(f"members[{place}]: {entry['id']!r:.120} is there twice")
        members.append(member)
        addresses[member.node], names[member.node] = address, entry["id"]
    return NodeList(revision, complete, tuple(members), addresses, names)


def _decode_member(entry: Any) -> tuple[Member, Address]:
    name, phase = entry["id"], entry["phase"]
    if not isinstance(name, str) or not name:
        raise ValueError(f"expected a name in id, got {name!r:.60}")
    if phase not in PHASES:
        raise ValueError(f"expected phase to be one of {', '.join(PHASES)}, got {phase!r:.60}")
    size, started = float(entry.get("size", 1.0)), float(entry.get("up_since_ms", 0))
    for field, value in (("size", size), ("up_since_ms", started)):
        if not 0 <= value < math.inf:
            raise ValueError(f"expected a finite number from 0 in {field}, got {value!r}")
    member = Member(
        node=node_id(name),
        state=PHASES[phase],
        kind=str(entry.get("flavor", "")),
        zone=str(entry.get("locality", "")),
        cell=int(entry.get("cell", 0)),
        size=size,
        ready_at_ms=started,
    )
    return member, parse_address(entry["host_port"])
