"""Discrete events: one queue, one clock in milliseconds, and named streams of random numbers.

The queue is a binary heap of tuples; equal times keep the order in which they were asked for, so that a seed
gives the same run every time. Streams are independent of one another (numpy's SeedSequence): a model that
draws once more changes no other model's draws, which lets two variants be compared on the same day.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

import numpy as np


class Simulator:
    """The clock and what is due. Calls get the arguments that they were asked for with."""

    def __init__(self) -> None:
        self.now = 0.0
        self.count = 0  # events that were asked for
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, due: float, call: Callable[..., None], *arguments: Any) -> None:
        """Calls at a time; one that has passed is now."""
        self.count += 1
        heappush(self.queue, (max(due, self.now), self.count, call, arguments))

    def after(self, wait: float, call: Callable[..., None], *arguments: Any) -> None:
        self.at(self.now + wait, call, *arguments)

    def run(self, until: float) -> None:
        """Goes through all that is due up to a time, which it then is."""
        queue = self.queue
        while queue and queue[0][0] <= until:
            self.now, _, call, arguments = heappop(queue)
            call(*arguments)
        self.now = until


class Streams:
    """Generators by name, each the same for the same seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.made: dict[str, np.random.Generator] = {}

    def named(self, name: str) -> np.random.Generator:
        found = self.made.get(name)
        if found is None:
            sequence = np.random.SeedSequence(self.seed, spawn_key=(zlib.crc32(name.encode()),))
            found = self.made[name] = np.random.Generator(np.random.PCG64(sequence))
        return found


class Draws:
    """Numbers of one stream, drawn many at a time: a generator's single draw costs as much as a decision."""

    __slots__ = ("draw", "held", "next")

    def __init__(self, draw: Callable[[int], np.ndarray[Any, Any]]) -> None:
        self.draw = draw
        self.held: list[float] = []
        self.next = 0

    def __call__(self) -> float:
        if self.next >= len(self.held):
            self.held, self.next = self.draw(1024).tolist(), 0
        self.next += 1
        return self.held[self.next - 1]
