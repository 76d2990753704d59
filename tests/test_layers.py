"""The order of the packages: imports point one way, and none comes back in a circle."""

from __future__ import annotations

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PROGRAM = "notchflow"


def module_name(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_name(p): p for p in sorted((ROOT / PROGRAM).rglob("*.py"))}


def imports(name: str) -> set[str]:
    """The modules of the program that a module imports, at whatever depth of its code."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(MODULES[name].read_text())):
        if isinstance(node, ast.ImportFrom) and node.module and node.level == 0:
            for alias in node.names:
                whole = f"{node.module}.{alias.name}"
                found.add(whole if whole in MODULES else node.module)
        elif isinstance(node, ast.Import):
            found.update(alias.name for alias in node.names)
    return {n for n in found if n in MODULES and n != name}


def test_no_module_imports_one_that_imports_it() -> None:
    graph = {name: imports(name) for name in MODULES}
    assert graph[f"{PROGRAM}.net.host"] >= {f"{PROGRAM}.net.pool"}, "the walk sees what there is"
    try:
        TopologicalSorter(graph).prepare()
    except CycleError as error:
        pytest.fail(f"an import circle: {error.args[1]}")


def test_nothing_is_imported_for_the_type_checker_alone() -> None:
    """An import that only the type checker sees hides a circle."""
    assert [n for n, p in MODULES.items() if "TYPE_CHECKING" in p.read_text()] == []
