"""The start of a process beside one that serves: it pauses between its imports."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path

import pytest

from notchflow.net.pacing import MIN_WORK_S, PAUSE_RATIO, PausingFinder, paced_imports

ROOT = Path(__file__).resolve().parents[2]
COUNT_PAUSES = """
import sys, time
pauses = []
time.sleep = pauses.append
from notchflow.__main__ import run_proxy
ended = run_proxy()
print(ended, len(pauses) >= 5, len([f for f in sys.meta_path if type(f).__name__ == "PausingFinder"]))
"""


def test_pauses_are_proportional_to_the_work_since_the_last_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a start that uses up the processor quota of both processes in one piece."""
    pauses = list[float]()
    worked = [0.0]
    monkeypatch.setattr(time, "sleep", pauses.append)
    monkeypatch.setattr(time, "process_time", lambda: worked[0])
    finder = PausingFinder()
    for work in (MIN_WORK_S / 2, MIN_WORK_S / 2, 0.0, 0.01):
        worked[0] += work
        finder.find_spec("module", None)
    assert pauses == pytest.approx([PAUSE_RATIO * MIN_WORK_S, PAUSE_RATIO * 0.01])


def test_the_hook_is_removed_when_an_import_fails() -> None:
    before = list(sys.meta_path)
    with pytest.raises(ImportError), paced_imports():
        assert len(sys.meta_path) == len(before) + 1
        import notchflow.no_such_module  # type: ignore[import-not-found]  # noqa: F401
    assert sys.meta_path == before


@pytest.mark.parametrize(("inherited", "expected"), [("4", "2 True 0"), (None, "2 False 0")])
def test_a_start_with_an_inherited_socket_is_paced(inherited: str | None, expected: str) -> None:
    """Without a configuration the process ends with status 2, after all of its imports."""
    settings = {name: value for name, value in os.environ.items() if not name.startswith("ROUTER_")}
    if inherited is not None:
        settings["ROUTER_ACCEPT_FD"] = inherited
    ended = subprocess.run(
        [sys.executable, "-c", COUNT_PAUSES],
        cwd=ROOT,
        env=settings,
        text=True,
        capture_output=True,
        timeout=60,
    )
    assert ended.stdout.split("\n")[-2] == expected, ended.stderr
