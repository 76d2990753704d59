"""Holds this process up at drawn steps, as a busy machine does: between a connection and its first byte, or
between a check and the write that follows it. What is lost then was lost by whoever did not allow for it."""

from __future__ import annotations

import random
import time
from typing import Final

HELD_S: Final = 0.15


class Holds:
    """Sleeps at a share of the steps, drawn from a seed."""

    def __init__(self, seed: int, share: float) -> None:
        self.draw, self.share = random.Random(seed), share
        self.steps: list[str] = []  # those at which it slept

    def __call__(self, step: str) -> None:
        if self.draw.random() < self.share:
            self.steps.append(step)
            time.sleep(HELD_S)


def no_hold(step: str) -> None:
    """Where nothing is to be held up."""
