"""The list of tests that are known to fail: they run, must fail, and are few."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TESTS = """
import pytest
def test_red(): assert False
def test_green(): pass
@pytest.mark.parametrize("n", [1, 2])
def test_both(n): assert n == 1
"""
RED = "test_a.py::test_red | the cause | #1"


def play(folder: Path, listed: str, *more: str) -> tuple[int, str]:
    """One run of pytest on three tests beside a list."""
    (folder / "test_a.py").write_text(TESTS)
    (folder / "conftest.py").write_text((ROOT / "tests" / "conftest.py").read_text())
    (folder / "KNOWN-RED.txt").write_text(listed)
    (folder / "pytest.ini").write_text("[pytest]\n")
    settings = os.environ | {"PYTHONPATH": str(ROOT), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
    told = subprocess.run([sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *more], cwd=folder,
                          env=settings, capture_output=True, text=True, timeout=60)
    return told.returncode, told.stdout + told.stderr


def test_what_is_listed_runs_must_fail_and_is_printed(tmp_path: Path) -> None:
    code, told = play(tmp_path, f"{RED}\ntest_a.py::test_both[2] | another | #2\n")
    assert code == 0 and "2 passed, 2 xfailed" in told
    assert "KNOWN RED test_a.py::test_red: the cause (#1)" in told
    assert play(tmp_path, RED, "-k", "green")[0] == 0, "a part of the tests may be run"


@pytest.mark.parametrize(("listed", "told"), [
    ("", "2 failed"),
    (f"{RED}\ntest_a.py::test_green | none | #1", "XPASS(strict)"),
    (f"{RED}\ntest_a.py::test_both | one of two | #1", "XPASS(strict)"),
    (f"{RED}\ntest_a.py::test_gone | gone | #1", "there is no test test_a.py::test_gone"),
    ("test_a.py::test_both[3] | gone | #1", "there is no test test_a.py::test_both[3]"),
    ("test_b.py::test_red | gone | #1", "there is no test test_b.py::test_red"),
    ("test_a.py::test_red", "KNOWN-RED.txt:1: expected 'file::test | cause | issue'"),
    ("\n".join([RED] * 4), "4 lines, 3 at the most"),
])
def test_a_list_that_is_wrong_or_out_of_date_fails_the_run(tmp_path: Path, listed: str, told: str) -> None:
    code, said = play(tmp_path, listed)
    assert code != 0 and told in said
