"""The configuration of a proxy: the ROUTER_* environment variables, and the JSON file that one of them
names."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from notchflow.interface import Settings
from notchflow.net.node_list import Address, NodeList, decode_node_list, parse_address
from notchflow.operations.key_paths import KeyPaths, collect_key_paths, missing_key_paths
from notchflow.settings import decode, integer, number

DEFAULT_CONN_IDLE_MS = 10_000.0
DEFAULT_MEMORY_MB, DEFAULT_SOCKETS = 192.0, 1024
PLATFORM_STOP_MS = 3_000.0  # the platform counts a longer deadline as this at a restart

_R = TypeVar("_R")


class ConfigError(Exception):
    """The configuration is missing or malformed; the text says where."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one proxy."""

    name: str
    listen: Address
    discovery: Address | None  # None: the nodes are the fixed list in `known`
    seed: int
    settings: Settings
    known: NodeList
    report_fields: tuple[str, ...] = ()
    conn_idle_ms: float = DEFAULT_CONN_IDLE_MS
    memory_mb: float = DEFAULT_MEMORY_MB
    sockets: int = DEFAULT_SOCKETS
    also_listen: tuple[Address, ...] = ()
    console: Address | None = None  # where operators connect; None: there is no console
    accept_fd: int | None = None  # the listening socket for clients, if it is inherited
    key_paths: KeyPaths = frozenset()  # the key paths of the file
    max_stop_ms: float = PLATFORM_STOP_MS  # longest time that requests are given after SIGTERM


def load(env: Mapping[str, str], running: KeyPaths = frozenset()) -> Config:
    """Reads the configuration. Variables take precedence over the file, which must have all keys in
    `running`. A ConfigError names place, value and remedy."""
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
    absent = missing_key_paths(running, data)
    if absent:
        raise ConfigError(
            f"ROUTER_CONFIG: {path}: lacks {', '.join(absent[:5])}, which the running file has; "
            "put the whole file in its place and send SIGHUP again"
        )
    try:
        return _decode(data, env)
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise ConfigError(f"ROUTER_CONFIG: {path}: {error!s:.300}") from None


def reload(env: Mapping[str, str], running: KeyPaths) -> Config:
    """Reads the file again. The address of discovery comes from the file now, as the variable still has its
    value from the start."""
    return load({name: value for name, value in env.items() if name != "ROUTER_DISCOVERY"}, running)


def _decode(data: Mapping[str, Any], env: Mapping[str, str]) -> Config:
    settings, report_fields = decode(data.get("settings"))
    # the platform kills the process over the first and refuses sockets over the second
    limits = data.get("limits") or {}
    console, accept_fd = env.get("ROUTER_CONSOLE") or data.get("console"), env.get("ROUTER_ACCEPT_FD")
    known = data.get("known")
    idle_ms = (data["settings"].get("Limits") or {}).get("ConnIdleMs", DEFAULT_CONN_IDLE_MS)
    return Config(
        name=str(env.get("ROUTER_NAME") or data.get("name") or ""),
        listen=_parse_at("listen", parse_address, env.get("ROUTER_LISTEN") or data.get("listen")),
        discovery=_parse_at("discovery", parse_address, env.get("ROUTER_DISCOVERY") or data.get("discovery")),
        seed=_parse_seed(data.get("seed", 0)),
        settings=settings,
        report_fields=report_fields,
        known=_parse_at("known", decode_node_list, known) if known else NodeList(0, True, (), {}),
        conn_idle_ms=number(idle_ms, "Limits.ConnIdleMs"),
        memory_mb=number(limits.get("memory_mb", DEFAULT_MEMORY_MB), "limits.memory_mb"),
        sockets=integer(limits.get("sockets", DEFAULT_SOCKETS), "limits.sockets"),
        console=_parse_at("console", parse_address, console) if console else None,
        accept_fd=int(accept_fd) if accept_fd else None,
        key_paths=collect_key_paths(data),
    )


def _parse_at(place: str, read: Callable[[object], _R], value: object) -> _R:
    """Returns the parsed value, or raises a ValueError that begins with its place."""
    try:
        return read(value)
    except ValueError as error:
        raise ValueError(f"{place}: {error}") from None


def _parse_seed(value: object) -> int:
    """Parses a seed; a string is hexadecimal."""
    try:
        return int(value, 16) if isinstance(value, str) else integer(value, "seed")
    except ValueError:
        raise ValueError(f"seed: must be hex digits in quotes or a whole number, not {value!r:.60}") from None
