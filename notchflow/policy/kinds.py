"""What each kind of server can do, learned from how long its answers take.

Pure. Weights are multiples, 1 for a kind that nothing is known of.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, Final

LEARN_GAIN: Final = 0.5  # of the logarithm of its relative latency
LEARN_BAND: Final = 0.12
LEARN_SURE: Final = 2.0  # and so many times its likely error, one over the root of the answers seen
LEARN_KEEP: Final = 400.0  # answers of a kind after which the older ones fade
LEARN_MIN, LEARN_MAX = 0.1, 4.0


class Steps:
    """Weights corrected step by step, each on what was heard since the last one."""

    __slots__ = ("weights", "slow")

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        self.slow: dict[str, list[float]] = {}  # kind -> sum and count of relative latencies lately

    def heard(self, kind: str, ratio: float) -> None:
        """An answer took so many times what is usual for its class."""
        total = self.slow.get(kind)
        if total is None:
            total = self.slow[kind] = [0.0, 0.0]
        total[0] += ratio
        total[1] += 1

    def step(self) -> bool:
        """Corrects the weights; whether one changed."""
        means = {k: s / n for k, (s, n) in sorted(self.slow.items()) if n >= LEARN_SURE ** 2}
        if len(means) < 2:
            return False
        middle = sum(math.log(m) for m in means.values()) / len(means)
        changed = False
        for kind, mean in means.items():
            off = math.log(mean) - middle
            # At a trickle chance would let each instance's weights wander off, and with them the homes: acts
            # only on what the number of answers proves, then counts afresh.
            if abs(off) > max(LEARN_BAND, LEARN_SURE / math.sqrt(self.slow[kind][1])):
                weight = self.weights.get(kind, 1.0) * math.exp(-LEARN_GAIN * off)
                self.weights[kind] = min(max(weight, LEARN_MIN), LEARN_MAX)
                changed = True
        for seen in self.slow.values():
            fading = 0.0 if changed else 0.5 if seen[1] > LEARN_KEEP else 1.0
            seen[:] = [seen[0] * fading, seen[1] * fading]
        return changed

    def told(self) -> dict[str, Any]:
        """What a process that takes this one's place is told."""
        return {"kinds": self.weights, "slow": self.slow}

    def take(self, told: Mapping[str, Any]) -> None:
        """Begins with that; an error leaves all as it was."""
        weights = numbers(told["kinds"])
        self.slow = {str(kind): [float(s), float(n)] for kind, (s, n) in told["slow"].items()}
        self.weights = weights


def numbers(told: Mapping[str, Any]) -> dict[str, float]:
    """Finite numbers by name, none negative; ValueError or TypeError for anything else."""
    values = {str(name): float(value) for name, value in told.items()}
    if not all(math.isfinite(value) and value >= 0 for value in values.values()):
        raise ValueError("expected finite numbers that are not negative")
    return values
