"""Stalls this process at random steps, as a busy machine does: between a connection and its first byte, or
between a check and the write that follows it. Code that does not allow for such a stall loses requests."""

from __future__ import annotations

import random
import time
from typing import Final

STALL_S: Final = 0.15


class RandomStalls:
    """Sleeps at a fraction of the steps, drawn from a seed."""

    def __init__(self, seed: int, share: float) -> None:
        self.rng, self.share = random.Random(seed), share
        self.steps: list[str] = []  # at which it slept

    def __call__(self, step: str) -> None:
        """Sleeps at this step, if the draw says so."""
        if self.rng.random() < self.share:
            self.steps.append(step)
            time.sleep(STALL_S)


def no_stall(step: str) -> None:
    """Does not stall."""
