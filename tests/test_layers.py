"""The imports among the modules of the program have no cycle."""

from __future__ import annotations

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = "notchflow"


def module_name(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_name(p): p for p in sorted((ROOT / PACKAGE).rglob("*.py"))}


def imports(name: str) -> set[str]:
    """Returns the modules of the program that a module imports, on any level of its code."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(MODULES[name].read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.level == 0:
            for alias in node.names:
                full_name = f"{node.module}.{alias.name}"
                found.add(full_name if full_name in MODULES else node.module)
        elif isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
    return {n for n in found if n in MODULES and n != name}


def test_imports_have_no_cycle() -> None:
    graph = {name: imports(name) for name in MODULES}
    assert graph[f"{PACKAGE}.net.host"] >= {f"{PACKAGE}.net.pool"}, "known imports are found"
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        pytest.fail(f"import cycle: {error.args[1]}")


def test_nothing_is_imported_for_the_type_checker_only() -> None:
    """Imports under TYPE_CHECKING would hide a cycle."""
    assert [n for n, p in MODULES.items() if "TYPE_CHECKING" in p.read_text()] == []
