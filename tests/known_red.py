"""Tests that fail for a fault which is known and not mended yet: KNOWN-RED.txt at the root, one line each,

    tests/test_x.py::test_name | the cause | the issue

Each runs as a strict expected failure and is printed. More than three lines, a malformed one, a test that is
not there and one that passes fail the run.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True, slots=True)
class Red:
    """One line of the list."""

    test: str
    cause: str
    issue: str


def read(root: Path) -> list[Red]:
    """The list; a UsageError says what is wrong with it."""
    path = root / FILE
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    reds = []
    for number, line in enumerate(lines, 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise pytest.UsageError(f"{FILE}:{number}: expected 'file::test | cause | issue', got {line!r}")
        reds.append(Red(*parts))
    if len(reds) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(reds)} lines, {MOST} at the most: mend one first")
    for red in reds:
        file, _, test = red.test.partition("::")
        name = test.rpartition("::")[2].partition("[")[0]
        if not (root / file).is_file() or f"def {name}(" not in (root / file).read_text(encoding="utf-8"):
            raise pytest.UsageError(f"{FILE}: there is no test {red.test}")
    return reds


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks what is listed. A file that was collected whole must have each listed test, parameters too."""
    for red in read(config.rootpath):
        found = [item for item in items if red.test in (item.nodeid, item.nodeid.partition("[")[0])]
        file = red.test.partition("::")[0]
        whole = not any("::" in argument for argument in config.args)
        if not found and whole and any(item.nodeid.startswith(file + "::") for item in items):
            raise pytest.UsageError(f"{FILE}: there is no test {red.test}")
        for item in found:
            item.add_marker(pytest.mark.xfail(strict=True, reason=f"known red: {red.cause} ({red.issue})"))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Prints the list, whatever of it was run."""
    for red in read(config.rootpath):
        terminalreporter.write_line(f"KNOWN RED {red.test}: {red.cause} ({red.issue})")
