"""Which keys a configuration file has: a file that lacks one which the running file has is not whole.

Defaults would hide that an editor cut a file off, and the proxy would go on with limits that nobody wrote.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import reduce
from typing import Any

Shape = frozenset[str]  # paths, as in `settings.Limits.MaxAttempts` or `settings.Classes[].Name`
TABLES = ("settings", "limits")


def shape_of(data: object) -> Shape:
    """The paths of a file: its keys, those of its tables, and what all `Classes` have in common."""
    if not isinstance(data, Mapping):
        return frozenset()
    paths = {str(key) for key in data}
    for table in TABLES:
        if isinstance(data.get(table), Mapping):
            paths |= _table(table, data[table])
    return frozenset(paths)


def _table(name: str, data: Mapping[str, Any]) -> set[str]:
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


def missing(running: Shape, data: object) -> list[str]:
    """The paths of the running file that another file lacks, in order."""
    return sorted(running - shape_of(data))
