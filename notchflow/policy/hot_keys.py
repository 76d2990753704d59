"""Hot keys: their detection, the load threshold, and the number of nodes that serve each of them."""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Mapping
from typing import Any, Final

from notchflow.policy.fleet import Fleet
from notchflow.policy.kinds import finite_numbers

TOP_K: Final = 16  # keys in either list; popularity is steep, so less popular keys do not overload a node
COMPARISONS: Final = 32  # entries that each request is compared with; m in the paper
# The FIFO (c in the paper) covers this much of the instance's traffic, so that it reacts to a surge equally
# fast at any rate, within limits: no fewer entries than COMPARISONS, and no more than can be indexed cheaply.
FIFO_SPAN_MS: Final = 5_000.0
FIFO_MIN, FIFO_MAX = 32, 512
MIN_MATCHES: Final = 6  # a key requested three times gets about one match by chance
HALF_LIFE_MS: Final = 5_000.0  # interval at which all counts are halved, since popularity changes
PRIOR_REQUESTS: Final = 50.0  # weight, in requests, of the rate with which a key entered the historical list
# --- threshold and spread
SAMPLE_MS: Final = 250.0  # interval between samples of the instance's load
HISTORY_SAMPLES: Final = 240  # one minute
HISTORY_SAMPLES_MIN: Final = 20  # samples needed before the threshold applies
BASE_LOAD_PERCENTILE: Final = 0.8  # the base load is exceeded a fifth of the time
ENTER_FACTOR, LEAVE_FACTOR = 1.5, 1.1  # multiples of the base load at which factoring starts and ends
LOAD_FLOOR: Final = 3.0  # requests in flight; a lower load is not significant, whatever the history
KEY_SHARE_MAX: Final = 0.8  # of the due traffic of its nodes that a single key may use
HIGH_LOAD_SPREAD: Final = 2  # nodes for every hot key while the instance's load is high
SPREAD_STEP_MS: Final = 500.0  # interval at which a spread grows by half or shrinks by one
# The attributes of FastTopK that are exported, under these names.
EXPORTED_FIELDS: Final = ("fifo", "counters", "historical", "prior", "compared", "seen")


class FastTopK:
    """Finds the top-k keys by comparing requests with samples of recent ones (section III.C of the paper)."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.capacity = FIFO_MIN
        self.fifo: list[str] = []
        self.fifo_counts: dict[str, int] = {}  # occurrences of each key in the FIFO
        self.counters: dict[str, float] = {}
        self.historical: dict[str, float] = {}
        self.prior: dict[str, float] = {}  # rate with which a key entered the historical list
        self.compared = 0.0
        self.seen = 0.0

    def resize(self, rate: float) -> None:
        """Sets the FIFO's capacity to cover the same time at any rate (requests per millisecond)."""
        self.capacity = int(min(max(rate * FIFO_SPAN_MS, FIFO_MIN), FIFO_MAX))

    def observe(self, key: str) -> None:
        """Counts a request for a key."""
        self.seen += 1
        if key in self.historical:
            self.historical[key] += 1
            return
        fifo, counts = self.fifo, self.fifo_counts
        entries, occurrences = len(fifo), counts.get(key, 0)
        if entries:
            draws = entries if entries < COMPARISONS else COMPARISONS
            self.compared += draws
            if occurrences:
                matches = self._draw_matches(draws, occurrences / entries)
                if matches:
                    self.counters[key] = self.counters.get(key, 0.0) + matches
        fifo.append(key)
        counts[key] = occurrences + 1
        if entries >= self.capacity:
            self._evict(entries + 1 - self.capacity)

    def _draw_matches(self, draws: int, share: float) -> int:
        """Returns how many of the entries drawn with replacement match a key that has this share of them.

        The count is binomial and is drawn by inversion, which takes one random number instead of one per
        draw.
        """
        if share >= 1:
            return draws
        remaining, odds = self.rng.random(), share / (1 - share)
        probability, matches = (1 - share) ** draws, 0
        while remaining >= probability and matches < draws:
            remaining -= probability
            probability *= odds * (draws - matches) / (matches + 1)
            matches += 1
        return matches

    def _evict(self, count: int) -> None:
        counts = self.fifo_counts
        for key in self.fifo[:count]:
            if counts[key] == 1:
                del counts[key]
            else:
                counts[key] -= 1
        del self.fifo[:count]

    def top_rates(self) -> dict[str, float]:
        """Returns the top k of both lists with their estimated rates, as shares of the traffic."""
        rates = [(math.sqrt(count / self.compared), key) for key, count in self._top_counters()]
        rates += [(self._historical_rate(key), key) for key in self.historical]
        return {key: rate for rate, key in sorted(rates, reverse=True)[:TOP_K]}

    def share(self, key: str) -> float:
        """Returns the share of recent requests for a key, the current request excluded."""
        if key in self.historical:
            return self._historical_rate(key)
        return (self.fifo_counts.get(key, 1) - 1) / max(len(self.fifo), 1)

    def _historical_rate(self, key: str) -> float:
        return (self.historical[key] + PRIOR_REQUESTS * self.prior[key]) / (self.seen + PRIOR_REQUESTS)

    def _top_counters(self) -> list[tuple[str, float]]:
        known = [(k, n) for k, n in self.counters.items() if n >= MIN_MATCHES]
        return sorted(known, key=lambda item: (-item[1], item[0]))[:TOP_K]

    def enter_factoring(self) -> None:
        """Moves the current hot keys to the historical list and counts others from zero."""
        rates = self.top_rates()
        self.prior = rates
        self.historical = dict.fromkeys(rates, 0.0)
        self.counters = {}
        self.compared = self.seen = 0.0

    def leave_factoring(self) -> None:
        """Returns to normal mode: clears the historical list, whose keys are then counted like all others."""
        self.historical, self.prior = {}, {}

    def halve(self) -> None:
        """Halves all counts, so that the rates follow recent requests."""
        self.counters = {k: n / 2 for k, n in self.counters.items() if n >= 1}
        self.historical = {k: n / 2 for k, n in self.historical.items()}
        self.compared /= 2
        self.seen /= 2


class LoadThreshold:
    """Compares the instance's load with its own history."""

    def __init__(self) -> None:
        self.history: deque[float] = deque(maxlen=HISTORY_SAMPLES)
        self.load = 0.0
        self.high = False

    def sample(self, in_flight: int) -> bool:
        """Adds a sample of the load; returns whether it is above the threshold, with hysteresis."""
        self.load += 0.5 * (in_flight - self.load)
        if len(self.history) >= HISTORY_SAMPLES_MIN:
            base = sorted(self.history)[int(BASE_LOAD_PERCENTILE * (len(self.history) - 1))]
            self.high = self.load > max(base * (LEAVE_FACTOR if self.high else ENTER_FACTOR), LOAD_FLOOR)
        self.history.append(self.load)
        return self.high


class HotKeys:
    """The hot keys, and the number of nodes over which each of them is spread."""

    def __init__(self, rng: random.Random, now: float) -> None:
        self.topk = FastTopK(rng)
        self.threshold = LoadThreshold()
        self.factoring = False
        self.spread: dict[str, tuple[int, float]] = {}
        self.halved_at = now

    def sample(self, now: float, rate: float, fleet: Fleet) -> None:
        """Samples the load and adjusts the mode and, in steps, the spread of each hot key."""
        self.topk.resize(rate)
        if now >= self.halved_at + HALF_LIFE_MS:
            self.halved_at = now
            self.topk.halve()
        high = self.threshold.sample(fleet.in_flight)
        needed = {
            key: _required_spread(fleet, key, share, high) for key, share in self.topk.top_rates().items()
        }
        factoring = high or any(n > 1 for n in needed.values())
        if factoring and not self.factoring:
            self.topk.enter_factoring()
        elif self.factoring and not factoring:
            self.topk.leave_factoring()
        self.factoring = factoring
        spread = {}
        for key, nodes in needed.items():
            width, changed_at = self.spread.get(key, (1, -math.inf))
            if nodes != width and now >= changed_at + SPREAD_STEP_MS:
                wider = min(nodes, width + max(1, width // 2))
                width, changed_at = wider if nodes > width else width - 1, now
            spread[key] = width, changed_at
        self.spread = spread

    def export_state(self) -> dict[str, Any]:
        """Returns the learned state for the process that replaces this one."""
        return {
            "load": list(self.threshold.history),
            "topk": {name: getattr(self.topk, name) for name in EXPORTED_FIELDS},
            "spread": {key: width for key, (width, _) in self.spread.items()},
            "factoring": self.factoring,
        }

    def restore_state(self, now: float, state: Mapping[str, Any], rate: float) -> None:
        """Restores exported state; on an error, nothing changes.

        Raises AttributeError, KeyError, TypeError or ValueError for malformed state.
        """
        load, topk = [float(n) for n in state["load"]], FastTopK(self.topk.rng)
        for name in ("counters", "historical", "prior"):
            setattr(topk, name, finite_numbers(state["topk"][name]))
        topk.compared, topk.seen = float(state["topk"]["compared"]), float(state["topk"]["seen"])
        if topk.historical.keys() != topk.prior.keys():
            raise ValueError("the keys of the historical list differ from those of its rates")
        topk.fifo = [str(key) for key in state["topk"]["fifo"]][-FIFO_MAX:]
        topk.fifo_counts = dict(Counter(topk.fifo))
        spread = {str(key): (int(width), now) for key, width in state["spread"].items()}
        factoring = bool(state["factoring"])
        self.threshold.history.extend(load)
        self.threshold.load = load[-1] if load else 0.0
        self.topk, self.spread, self.factoring = topk, spread, factoring
        topk.resize(rate)


def _required_spread(fleet: Fleet, key: str, rate: float, high: bool) -> int:
    """Returns how many nodes a hot key needs.

    A key with more traffic than its home's due share overloads the home while the instance's load is still
    below the threshold; its rate is therefore decisive by itself.
    """
    capacity, nodes = 0.0, 0
    for node in fleet.order(key):
        nodes += 1
        capacity += fleet.share(node)
        if capacity * KEY_SHARE_MAX >= rate:
            break
    else:
        nodes = max(nodes, math.ceil(rate / KEY_SHARE_MAX * len(fleet.ready)))
    return max(nodes, HIGH_LOAD_SPREAD if high else 1)
