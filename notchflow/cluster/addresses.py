"""Numeric addresses of members, which need no name resolution. No I/O."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from functools import lru_cache
from typing import TypeAlias

from notchflow.net.node_list import parse_address

Endpoint: TypeAlias = tuple[str, int]


@lru_cache(4_096)
def parse_numeric_address(text: str) -> Endpoint | None:
    """Host and port of a numeric address, else None: resolving a host name would block the event loop."""
    try:
        host, port = parse_address(text)
        socket.inet_pton(address_family(host), host)
    except (ValueError, OSError):
        return None
    return host, port


def address_family(host: str) -> socket.AddressFamily:
    """Address family of a numeric host."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


class AddressBook:
    """Endpoints of members: as configured by the operators, else as advertised by the member.

    A configured address overrides the advertised one, because only operators know what lies between two
    members (a relay, an address for each side, one way or both). It no longer applies to a member that moved:
    one whose current incarnation advertises another address than the first one seen, and sends from there
    directly. The configured address is then that of an earlier incarnation. A member that sends directly but
    has not moved is still reached at its configured address.
    """

    def __init__(self, configured: Mapping[str, str]) -> None:
        self.configured = {
            name: endpoint
            for name, text in configured.items()
            if (endpoint := parse_numeric_address(text)) is not None
        }
        self.first_advertised: dict[str, str] = {}  # first advertised address of each configured name
        self.direct: dict[str, Endpoint] = {}  # source of members that moved

    def record_source(self, name: str, address: str, source: Endpoint) -> None:
        """Records the source of a message of a member's current incarnation, which advertises `address`."""
        moved = name in self.configured and self.first_advertised.setdefault(name, address) != address
        if moved and parse_numeric_address(address) == source:
            self.direct[name] = source

    def endpoint_for(self, name: str, address: str) -> Endpoint | None:
        """Where to send to a member that advertises `address` (empty if unknown)."""
        advertised = parse_numeric_address(address)
        if advertised is not None and self.direct.get(name) == advertised:
            return advertised
        return self.configured.get(name) or advertised
