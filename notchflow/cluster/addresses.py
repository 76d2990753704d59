"""Addresses that can be sent to without asking anybody for a name. Pure."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from functools import lru_cache
from typing import TypeAlias

from notchflow.net.node_list import parse_address

Endpoint: TypeAlias = tuple[str, int]


@lru_cache(4_096)
def parse_numeric_address(text: str) -> Endpoint | None:
    """Host and port of a numeric address; None where it is none. A name would hold up the loop."""
    try:
        host, port = parse_address(text)
        socket.inet_pton(address_family(host), host)
    except (ValueError, OSError):
        return None
    return host, port


def address_family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET


class AddressBook:
    """Where members are reached: by the operators' book, else where they say they are.

    The book goes over what they say: it alone may know what lies between two members (a relay, an address for
    each side, one way or both). It ends for a name that moves: once a message of its present life, which says
    that it is elsewhere than the first life heard of here, comes straight from there. The book's place is a
    former life's then. Who is heard straight but has not moved is still sent to by the book.
    """

    def __init__(self, given: Mapping[str, str]) -> None:
        self.given = {
            name: at for name, text in given.items() if (at := parse_numeric_address(text)) is not None
        }
        self.first: dict[str, str] = {}  # where each of the book's names first said that it is
        self.straight: dict[str, Endpoint] = {}  # where those that moved were heard from

    def heard(self, name: str, address: str, source: Endpoint) -> None:
        """A message of the name's present life, which says that it is at this address, came from an
        endpoint."""
        moved = name in self.given and self.first.setdefault(name, address) != address
        if moved and parse_numeric_address(address) == source:
            self.straight[name] = source

    def at(self, name: str, address: str) -> Endpoint | None:
        """Where to send; `address`: what the name says of itself, if anything is known of it."""
        said = parse_numeric_address(address)
        if said is not None and self.straight.get(name) == said:
            return said
        return self.given.get(name) or said
