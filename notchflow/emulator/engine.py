"""Discrete-event engine: one event queue, one clock in milliseconds, and named streams of random numbers.

The queue is a binary heap of tuples. Events with equal times run in the order in which they were scheduled,
so that a seed always gives the same run. Streams are independent of one another (numpy's SeedSequence): an
extra draw in one model changes no draw of another, so that two variants can be compared on the same day.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

import numpy as np


class Simulator:
    """The simulated clock and the event queue. Callbacks get the arguments that they were scheduled with."""

    def __init__(self) -> None:
        self.now = 0.0
        self.count = 0  # events scheduled so far
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, due_at: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedules a callback at an absolute time; a time in the past counts as now."""
        self.count += 1
        heappush(self.queue, (max(due_at, self.now), self.count, callback, arguments))

    def after(self, delay_ms: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedules a callback after a delay in milliseconds."""
        self.at(self.now + delay_ms, callback, *arguments)

    def run(self, until: float) -> None:
        """Runs all events due up to a time and sets the clock to that time."""
        queue = self.queue
        while queue and queue[0][0] <= until:
            self.now, _, callback, arguments = heappop(queue)
            callback(*arguments)
        self.now = until


class Streams:
    """Random generators by name; the same seed and name give the same generator."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.generators: dict[str, np.random.Generator] = {}

    def named(self, name: str) -> np.random.Generator:
        """Returns the generator of a stream and creates it on first use."""
        generator = self.generators.get(name)
        if generator is None:
            seed_sequence = np.random.SeedSequence(self.seed, spawn_key=(zlib.crc32(name.encode()),))
            generator = self.generators[name] = np.random.Generator(np.random.PCG64(seed_sequence))
        return generator


class Draws:
    """Numbers of one stream, drawn in batches: a single draw from a generator costs as much as a decision."""

    __slots__ = ("sample", "buffer", "position")

    def __init__(self, sample: Callable[[int], np.ndarray[Any, Any]]) -> None:
        self.sample = sample
        self.buffer: list[float] = []
        self.position = 0

    def __call__(self) -> float:
        """Returns the next number."""
        if self.position >= len(self.buffer):
            self.buffer, self.position = self.sample(1024).tolist(), 0
        self.position += 1
        return self.buffer[self.position - 1]
