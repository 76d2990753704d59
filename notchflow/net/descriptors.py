"""The descriptors of one proxy: dials wait for one, and idle connections are closed to free one."""

from __future__ import annotations

import asyncio

from notchflow.net.attempt import Attempt
from notchflow.net.clock import Clock
from notchflow.net.frontend import Frontend
from notchflow.net.pool import Pool
from notchflow.net.scheduler import Scheduler

DESCRIPTOR_WAIT_MS = 100.0  # a dial without a descriptor waits this long before an idle client is closed


class DescriptorBudget(Scheduler):
    """Counts the descriptors that clients and nodes use, within a limit."""

    frontends: list[Frontend]
    descriptor_limit: int
    total_descriptor_limit: int

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        super().__init__(loop, clock)
        self.pools: dict[int, Pool] = {}
        self.descriptors_used = 0
        self.waiting_dials: dict[Attempt, None] = {}  # dials that wait for a descriptor, oldest first

    def start_attempt(self, attempt: Attempt) -> None:
        """Starts a deferred attempt, if it may still start."""
        raise NotImplementedError

    def acquire_descriptor(self) -> bool:
        """Reserves a descriptor for a dial, closing an idle connection to a node if none is left; false where
        that fails."""
        if self.descriptors_used >= self.descriptor_limit and not self.close_idle_connection():
            return False
        self.descriptors_used += 1
        return True

    def release_descriptor(self) -> None:
        """Returns a descriptor. Waiting dials take precedence over new clients."""
        self.descriptors_used -= 1
        if self.waiting_dials:
            self.call_soon(self._resume_dials, None)
        for frontend in self.frontends:
            frontend.resume_accepting()

    def close_idle_connection(self) -> bool:
        """Closes the connection to a node that has been idle longest; false if there is none."""
        idle = [p for p in self.pools.values() if p.idle]
        if not idle:
            return False
        pool = min(idle, key=lambda p: p.idle[0].idle_since)
        pool.idle.pop(0).close()
        return True

    def await_descriptor(self, attempt: Attempt) -> None:
        """Queues a dial for the next free descriptor. A client is not closed at once, as its next request
        might be lost."""
        self.waiting_dials[attempt] = None
        self.call_at(self.clock.now() + DESCRIPTOR_WAIT_MS, self._descriptor_wait_over, attempt)

    def _descriptor_wait_over(self, attempt: Attempt) -> None:
        """No descriptor came free within DESCRIPTOR_WAIT_MS: closes an idle client, or ends the attempt."""
        if attempt not in self.waiting_dials:
            return
        if any(frontend.close_idle() for frontend in self.frontends):
            self.await_descriptor(attempt)
            return
        del self.waiting_dials[attempt]
        attempt.not_sent()

    def _resume_dials(self, _: object) -> None:
        while self.waiting_dials and self.descriptors_used < self.descriptor_limit:
            attempt = next(iter(self.waiting_dials))
            del self.waiting_dials[attempt]
            self.start_attempt(attempt)

    def has_waiting_dials(self) -> bool:
        """Whether dials are waiting for descriptors."""
        return bool(self.waiting_dials)
