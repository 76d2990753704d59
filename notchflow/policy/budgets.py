"""Load shedding and the retry budget."""

from __future__ import annotations

import math
from typing import Final

from notchflow.interface import RequestClass
from notchflow.policy.nodes import Throttle

COST_GAIN: Final = 0.05  # weight of one request in the moving mean of the cost
RETRY_TOKENS_PER_REQUEST: Final = 0.1  # retries of attempts that may have run, per request
RETRY_TOKENS_MAX: Final = 5.0  # tokens that can be saved up


class Budgets:
    """The throttle of this instance, the mean cost of a request for its worth, and the retry tokens."""

    def __init__(self) -> None:
        self.throttle = Throttle()
        self.mean_cost = 0.0  # work per worth
        self.retry_tokens = RETRY_TOKENS_MAX

    def shed(self, cls: RequestClass, work: float, draw: float) -> bool:
        """Whether to reject a request at once. Requests with the least worth for their work are shed first.

        `draw` is a uniform random number in [0, 1).
        """
        cost = max(work, 0.1) / max(cls.worth, 1e-3)
        self.mean_cost += COST_GAIN * (cost - self.mean_cost) if self.mean_cost else cost
        pressure = self.throttle.pressure()
        # As a power, all classes together shed no more than the pressure, and everything at a pressure of 1.
        return pressure > 0 and draw >= math.pow(1 - pressure, cost / self.mean_cost)

    def earn_retry(self) -> None:
        """Adds a part of a retry token for a request that is sent on.

        Shed requests must earn none: during overload they would pay for retries, which add load.
        """
        self.retry_tokens = min(self.retry_tokens + RETRY_TOKENS_PER_REQUEST, RETRY_TOKENS_MAX)
