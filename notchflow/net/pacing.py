"""Paces the imports of a starting process, to leave processor time to the process that is serving.

Where a new process takes over from one that serves, both share a part of a core. Imports are most of the work
of a start, done in one piece, and under a quota the serving process stands still meanwhile: deadlines pass.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from types import ModuleType
from typing import Final

PAUSE_RATIO: Final = 2.0  # ratio of a pause to the work before it
MIN_WORK_S: Final = 0.002  # processor time that makes a pause worth its context switches


class PausingFinder:
    """An import hook that finds no modules: called before each import, it sleeps in proportion to the work
    since its last pause."""

    def __init__(self) -> None:
        self.cpu_at_last_pause_s = time.process_time()

    def find_spec(self, name: str, path: Sequence[str] | None, target: ModuleType | None = None) -> None:
        """Returns None, which leaves the module to the next finder."""
        work_s = time.process_time() - self.cpu_at_last_pause_s
        if work_s >= MIN_WORK_S:
            time.sleep(PAUSE_RATIO * work_s)
            self.cpu_at_last_pause_s = time.process_time()


@contextmanager
def paced_imports() -> Iterator[None]:
    """Paces the imports within the context."""
    finder = PausingFinder()
    sys.meta_path.insert(0, finder)
    try:
        yield
    finally:
        sys.meta_path.remove(finder)
