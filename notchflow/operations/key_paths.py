"""The key paths of a configuration file: a file that lacks one of the running file's keys is incomplete.

Defaults would hide that an editor truncated a file, and the proxy would go on with limits that nobody
configured.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import reduce
from typing import Any

KeyPaths = frozenset[str]  # paths such as `settings.Limits.MaxAttempts` or `settings.Classes[].Name`
TABLES = ("settings", "limits")


def collect_key_paths(data: object) -> KeyPaths:
    """Returns the paths of a file: its keys, those of its tables, and those that all `Classes` have in
    common."""
    if not isinstance(data, Mapping):
        return frozenset()
    paths = {str(key) for key in data}
    for table in TABLES:
        if isinstance(data.get(table), Mapping):
            paths |= _table_paths(table, data[table])
    return frozenset(paths)


def _table_paths(name: str, data: Mapping[str, Any]) -> set[str]:
    paths = set()
    for key, value in data.items():
        paths.add(f"{name}.{key}")
        if isinstance(value, Mapping):
            paths |= {f"{name}.{key}.{inner}" for inner in value}
        elif key == "Classes" and isinstance(value, list):
            each = [{str(k) for k in entry} if isinstance(entry, Mapping) else set() for entry in value]
            common = reduce(set.intersection, each) if each else set()
            paths |= {f"{name}.{key}[].{inner}" for inner in common}
    return paths


def missing_key_paths(running: KeyPaths, data: object) -> list[str]:
    """Returns the paths of the running file that another file lacks, sorted."""
    return sorted(running - collect_key_paths(data))
