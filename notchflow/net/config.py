"""What a proxy is told at its start: the ROUTER_* variables and the JSON file that one of them names."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from notchflow.interface import Settings
from notchflow.net.node_list import Address, NodeList, decode_node_list, parse_address
from notchflow.operations.key_paths import Shape, missing, shape_of
from notchflow.settings import decode, integer, number

CONN_IDLE_MS = 10_000.0
MEMORY_MB, SOCKETS = 192.0, 1024

_R = TypeVar("_R")


class ConfigError(Exception):
    """The configuration is missing or malformed; the text says where."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one proxy."""

    name: str
    listen: Address
    discovery: Address | None  # none: the fleet is the fixed list that is known
    seed: int
    settings: Settings
    known: NodeList
    report_fields: tuple[str, ...] = ()
    conn_idle_ms: float = CONN_IDLE_MS
    memory_mb: float = MEMORY_MB
    sockets: int = SOCKETS
    also_listen: tuple[Address, ...] = ()
    console: Address | None = None  # where operators call; none: there is no console
    accept_fd: int | None = None  # the clients' listening socket, where it is inherited
    shape: Shape = frozenset()  # the keys of the file


def load(env: Mapping[str, str], running: Shape = frozenset()) -> Config:
    """Reads the configuration; the variables come before the file, which must have the running one's keys."""
    path = env.get("ROUTER_CONFIG")
    if not path:
        raise ConfigError("ROUTER_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            data = json.load(file)
    except OSError as error:
        raise ConfigError(f"ROUTER_CONFIG: {error}") from None
    except ValueError as error:
        raise ConfigError(f"ROUTER_CONFIG: {path}: not JSON ({error})") from None
    if not isinstance(data, dict):
        raise ConfigError(f"ROUTER_CONFIG: {path}: expected an object")
    lacks = missing(running, data)
    if lacks:
        raise ConfigError(
            f"ROUTER_CONFIG: {path}: lacks {', '.join(lacks[:5])}, which the running file has; "
            "put the whole file in its place and send SIGHUP again"
        )
    try:
        return _decode(data, env)
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise ConfigError(f"ROUTER_CONFIG: {path}: {error!s:.300}") from None


def reload(env: Mapping[str, str], running: Shape) -> Config:
    """Reads the file again. It names discovery now: the variable is still that of the start."""
    return load({name: value for name, value in env.items() if name != "ROUTER_DISCOVERY"}, running)


def _decode(data: Mapping[str, Any], env: Mapping[str, str]) -> Config:
    settings, report_fields = decode(data.get("settings"))
    limits = data.get("limits") or {}  # the platform kills over the one and refuses sockets over the other
    console, accept_fd = env.get("ROUTER_CONSOLE") or data.get("console"), env.get("ROUTER_ACCEPT_FD")
    known = data.get("known")
    idle_ms = (data["settings"].get("Limits") or {}).get("ConnIdleMs", CONN_IDLE_MS)
    return Config(
        name=str(env.get("ROUTER_NAME") or data.get("name") or ""),
        listen=_read("listen", parse_address, env.get("ROUTER_LISTEN") or data.get("listen")),
        discovery=_read("discovery", parse_address, env.get("ROUTER_DISCOVERY") or data.get("discovery")),
        seed=_seed(data.get("seed", 0)),
        settings=settings,
        report_fields=report_fields,
        known=_read("known", decode_node_list, known) if known else NodeList(0, True, (), {}),
        conn_idle_ms=number(idle_ms, "Limits.ConnIdleMs"),
        memory_mb=number(limits.get("memory_mb", MEMORY_MB), "limits.memory_mb"),
        sockets=integer(limits.get("sockets", SOCKETS), "limits.sockets"),
        console=_read("console", parse_address, console) if console else None,
        accept_fd=int(accept_fd) if accept_fd else None,
        shape=shape_of(data),
    )


def _read(place: str, read: Callable[[object], _R], value: object) -> _R:
    """What is read, or a ValueError that begins with its place."""
    try:
        return read(value)
    except ValueError as error:
        raise ValueError(f"{place}: {error}") from None


def _seed(value: object) -> int:
    """A text is hexadecimal."""
    try:
        return int(value, 16) if isinstance(value, str) else integer(value, "seed")
    except ValueError:
        raise ValueError(f"seed: must be hex digits in quotes or a whole number, not {value!r:.60}") from None
