"""What is refused so that the rest is answered in time, and how many further attempts there may be."""

from __future__ import annotations

import math
from typing import Final

from notchflow.interface import RequestClass
from notchflow.policy.nodes import Throttle

SMOOTH: Final = 0.05  # weight of one request in the mean cost
RETRY_SHARE: Final = 0.1  # further attempts that may have cost work, a request
RETRY_SAVED: Final = 5.0


class Budgets:
    """The pressure on this balancer, what a usual request costs for its worth, and saved further attempts."""

    def __init__(self) -> None:
        self.throttle = Throttle()
        self.mean_cost = 0.0  # work for worth of a usual request
        self.retries = RETRY_SAVED

    def shed(self, cls: RequestClass, work: float, draw: float) -> bool:
        """Whether a request is refused at once: the least worth for their work first."""
        cost = max(work, 0.1) / max(cls.worth, 1e-3)
        self.mean_cost += SMOOTH * (cost - self.mean_cost) if self.mean_cost else cost
        pressure = self.throttle.pressure()
        # as a power, all classes together shed no more than the pressure, yet all of it if need be
        return pressure > 0 and draw >= math.pow(1 - pressure, cost / self.mean_cost)

    def earn(self) -> None:
        """A request that is sent on earns a part of a further attempt; shed ones must earn none in a jam."""
        self.retries = min(self.retries + RETRY_SHARE, RETRY_SAVED)
