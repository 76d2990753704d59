"""Hot keys: coincidences among recent requests, the load threshold, and how far each key is spread."""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Mapping
from typing import Any, Final

from notchflow.policy.fleet import Fleet
from notchflow.policy.kinds import numbers

TOP_K: Final = 16  # keys in either list; popularity is steep, beyond these a key is no burden to one server
COMPARISONS: Final = 32
FIFO_MS: Final = 5_000.0  # c spans this much own traffic, so that a surge fills it as fast at a trickle ...
FIFO_MIN, FIFO_MAX = 32, 512  # ... but never fewer entries than m, nor more than an index reaches cheaply
MIN_MATCHES: Final = 6  # chance alone gives a key asked for three times about one
AGE_MS: Final = 5_000.0  # counters and N halve this often: popularity moves on
PRIOR_REQUESTS: Final = 50.0  # a key that enters the historical list keeps its old rate for about so many
# --- threshold and spread
SAMPLE_MS: Final = 250.0  # own load is sampled this often
HISTORY: Final = 240  # samples kept: a minute
HISTORY_MIN: Final = 20  # no threshold before so many samples
PERCENTILE: Final = 0.8  # base load: own load exceeds it a fifth of the time
ENTER, LEAVE = 1.5, 1.1  # factoring starts above ENTER times the base load and ends below LEAVE times
LOAD_FLOOR: Final = 3.0  # attempts in hand below which load is chance, whatever the history
SWAMP: Final = 0.8
LOAD_SPREAD: Final = 2  # servers for every hot key while own load is high
WIDEN_MS: Final = 500.0  # a spread grows one step, half as much again, this often
TOLD: Final = ("fifo", "counters", "historical", "prior", "compared", "seen")  # of the top-k


class FastTopK:
    """Finds the top-k keys by coincidences among recent requests (section III.C of the paper)."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.capacity = FIFO_MIN
        self.fifo: list[str] = []
        self.fifo_counts: dict[str, int] = {}  # how often each key stands in the FIFO
        self.counters: dict[str, float] = {}
        self.historical: dict[str, float] = {}
        self.prior: dict[str, float] = {}  # rate with which a key entered the historical list
        self.compared = 0.0
        self.seen = 0.0

    def fit(self, rate: float) -> None:
        """The FIFO spans as much time at any rate (requests a millisecond)."""
        self.capacity = int(min(max(rate * FIFO_MS, FIFO_MIN), FIFO_MAX))

    def observe(self, key: str) -> None:
        self.seen += 1
        if key in self.historical:
            self.historical[key] += 1
            return
        fifo, held = self.fifo, self.fifo_counts
        entries, here = len(fifo), held.get(key, 0)
        if entries:
            draws = entries if entries < COMPARISONS else COMPARISONS
            self.compared += draws
            if here:
                matches = self._matches(draws, here / entries)
                if matches:
                    self.counters[key] = self.counters.get(key, 0.0) + matches
        fifo.append(key)
        held[key] = here + 1
        if entries >= self.capacity:
            self._forget(entries + 1 - self.capacity)

    def _matches(self, draws: int, share: float) -> int:
        """How many of so many entries drawn at random, with replacement, are a key that has this share of
        them: binomial, found by inversion from one number of the generator instead of one a draw."""
        if share >= 1:
            return draws
        left, odds = self.rng.random(), share / (1 - share)
        likely, matches = (1 - share) ** draws, 0
        while left >= likely and matches < draws:
            left -= likely
            likely *= odds * (draws - matches) / (matches + 1)
            matches += 1
        return matches

    def _forget(self, count: int) -> None:
        held = self.fifo_counts
        for key in self.fifo[:count]:
            if held[key] == 1:
                del held[key]
            else:
                held[key] -= 1
        del self.fifo[:count]

    def hot(self) -> dict[str, float]:
        """The top k of both lists with their estimated rates, as shares of the traffic."""
        rates = [(math.sqrt(count / self.compared), key) for key, count in self._top()]
        rates += [(self._known_rate(key), key) for key in self.historical]
        return {key: rate for rate, key in sorted(rates, reverse=True)[:TOP_K]}

    def share(self, key: str) -> float:
        """The part of lately seen requests that asked for a key, the present one left out."""
        if key in self.historical:
            return self._known_rate(key)
        return (self.fifo_counts.get(key, 1) - 1) / max(len(self.fifo), 1)

    def _known_rate(self, key: str) -> float:
        return (self.historical[key] + PRIOR_REQUESTS * self.prior[key]) / (self.seen + PRIOR_REQUESTS)

    def _top(self) -> list[tuple[str, float]]:
        known = [(k, n) for k, n in self.counters.items() if n >= MIN_MATCHES]
        return sorted(known, key=lambda item: (-item[1], item[0]))[:TOP_K]

    def switch(self) -> None:
        hot = self.hot()
        self.prior = hot
        self.historical = dict.fromkeys(hot, 0.0)
        self.counters = {}
        self.compared = self.seen = 0.0

    def normal(self) -> None:
        """Normal mode again: the historical list is empty, its keys are counted like the others."""
        self.historical, self.prior = {}, {}

    def age(self) -> None:
        """Halves all counts, so that the rates follow what is asked for now."""
        self.counters = {k: n / 2 for k, n in self.counters.items() if n >= 1}
        self.historical = {k: n / 2 for k, n in self.historical.items()}
        self.compared /= 2
        self.seen /= 2


class Threshold:
    """Compares own load with its own past and tells which mode it calls for."""

    def __init__(self) -> None:
        self.history: deque[float] = deque(maxlen=HISTORY)
        self.load = 0.0
        self.high = False

    def sample(self, in_flight: int) -> bool:
        """Adds a sample of own load; true while it is above the threshold, with hysteresis."""
        self.load += 0.5 * (in_flight - self.load)
        if len(self.history) >= HISTORY_MIN:
            base = sorted(self.history)[int(PERCENTILE * (len(self.history) - 1))]
            self.high = self.load > max(base * (LEAVE if self.high else ENTER), LOAD_FLOOR)
        self.history.append(self.load)
        return self.high


class HotKeys:
    """Which keys are hot, and over how many servers each of them goes."""

    def __init__(self, rng: random.Random, now: float) -> None:
        self.topk = FastTopK(rng)
        self.threshold = Threshold()
        self.factoring = False
        self.spread: dict[str, tuple[int, float]] = {}
        self.aged_at = now

    def sample(self, now: float, rate: float, fleet: Fleet) -> None:
        """Compares own load with its past; spreads follow step by step."""
        self.topk.fit(rate)
        if now >= self.aged_at + AGE_MS:
            self.aged_at = now
            self.topk.age()
        high = self.threshold.sample(fleet.in_flight)
        needed = {key: _needed(fleet, key, share, high) for key, share in self.topk.hot().items()}
        factoring = high or any(n > 1 for n in needed.values())
        if factoring and not self.factoring:
            self.topk.switch()
        elif self.factoring and not factoring:
            self.topk.normal()
        self.factoring = factoring
        spread = {}
        for key, servers in needed.items():
            now_at, since = self.spread.get(key, (1, -math.inf))
            if servers != now_at and now >= since + WIDEN_MS:
                wider = min(servers, now_at + max(1, now_at // 2))
                now_at, since = wider if servers > now_at else now_at - 1, now
            spread[key] = now_at, since
        self.spread = spread

    def told(self) -> dict[str, Any]:
        """What a process that takes this one's place is told."""
        return {
            "load": list(self.threshold.history),
            "topk": {name: getattr(self.topk, name) for name in TOLD},
            "spread": {key: width for key, (width, _) in self.spread.items()},
            "factoring": self.factoring,
        }

    def take(self, now: float, told: Mapping[str, Any], rate: float) -> None:
        """Begins with that; an error leaves all as it was."""
        load, topk = [float(n) for n in told["load"]], FastTopK(self.topk.rng)
        for name in ("counters", "historical", "prior"):
            setattr(topk, name, numbers(told["topk"][name]))
        topk.compared, topk.seen = float(told["topk"]["compared"]), float(told["topk"]["seen"])
        if topk.historical.keys() != topk.prior.keys():
            raise ValueError("the historical list has keys without their rates")
        topk.fifo = [str(key) for key in told["topk"]["fifo"]][-FIFO_MAX:]
        topk.fifo_counts = dict(Counter(topk.fifo))
        spread = {str(key): (int(width), now) for key, width in told["spread"].items()}
        factoring = bool(told["factoring"])
        self.threshold.history.extend(load)
        self.threshold.load = load[-1] if load else 0.0
        self.topk, self.spread, self.factoring = topk, spread, factoring
        topk.fit(rate)


def _needed(fleet: Fleet, key: str, rate: float, high: bool) -> int:
    """How many servers a hot key needs. A key that is more than its home's due traffic swamps it below
    every threshold of load: that counts as load by itself."""
    room, servers = 0.0, 0
    for node in fleet.order(key):
        servers += 1
        room += fleet.share(node)
        if room * SWAMP >= rate:
            break
    else:
        servers = max(servers, math.ceil(rate / SWAMP * len(fleet.ready)))
    return max(servers, LOAD_SPREAD if high else 1)
