"""Measures how soon one instance estimates the capacity of each kind of node, and how many homes it moves.

Both estimators of notchflow.policy.kinds receive the same draws: a fleet of two kinds under a given load,
each kind a queue with several cores (Sakasegawa's approximation of the wait), and one instance that sees a
given number of answers per second. All instances are assumed to have the weights of this one. `known` is the
first second from which the mean answer takes, for five seconds, no more than 1.2 times the time under the
best weights (at a light load, latency is best if a fast kind gets more than its share of the capacity, so the
ratio of capacities is not the aim); seeds that never reach it count as the whole run. `moved` is the share of
homes that changes of the weights moved, summed over the run.
"""

from __future__ import annotations

import argparse
import math
import random
import statistics
import sys
from collections.abc import Mapping
from dataclasses import dataclass

from notchflow.policy.kinds import Beliefs, Steps

RUN_S = 60
HOLD_S = 5
NEAR_BEST_FACTOR = 1.2
MAX_WAIT = 5.0  # the relative wait that a rejection or a timeout counts as


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of node: cores, speed of one core, and the fraction of the nodes that are of this kind."""

    cores: int
    speed: float
    fraction: float

    @property
    def capacity(self) -> float:
        """The requests that all cores of a node serve per unit of time."""
        return self.cores * self.speed


TWO = {"x": Kind(4, 1.8, 0.5), "y": Kind(2, 0.9, 0.5)}
SAME = {"x": Kind(4, 1.8, 0.5), "y": Kind(4, 1.8, 0.5)}


def mean_wait_of_kind(kind: Kind, load: float) -> float:
    """Returns the mean time of an answer at a load from 0 to 1; 1.0 is that on an idle core of speed 1."""
    load = min(load, 0.97)
    queued: float = load ** (math.sqrt(2 * (kind.cores + 1)) - 1) / (kind.cores * (1 - load))
    return (1 + queued) / kind.speed


def traffic_shares(kinds: dict[str, Kind], weights: Mapping[str, float]) -> dict[str, float]:
    """Returns the share of the traffic of each kind."""
    total_weight = sum(weights.get(n, 1.0) * k.fraction for n, k in kinds.items())
    return {n: weights.get(n, 1.0) * k.fraction / total_weight for n, k in kinds.items()}


def waits_by_kind(kinds: dict[str, Kind], shares: Mapping[str, float], load: float) -> dict[str, float]:
    """Returns the mean time of an answer of each kind."""
    total = sum(k.capacity * k.fraction for k in kinds.values())
    return {
        n: mean_wait_of_kind(k, load * total * shares[n] / (k.capacity * k.fraction))
        for n, k in kinds.items()
    }


def mean_wait(kinds: dict[str, Kind], ratio: float, load: float) -> float:
    """Returns the mean time of an answer if kind x has `ratio` times the weight of kind y."""
    shares = traffic_shares(kinds, {"x": ratio, "y": 1.0})
    return sum(shares[n] * mean for n, mean in waits_by_kind(kinds, shares, load).items())


def play(
    estimator: Steps | Beliefs, kinds: dict[str, Kind], rate: float, load: float, seed: int
) -> tuple[float, float]:
    """Returns the second from which the kinds are known, and the share of homes that moved."""
    rng = random.Random(seed)
    best = min(mean_wait(kinds, math.exp(step / 20), load) for step in range(-60, 61))
    typical_wait, moved, seconds_near_best = 1.0, 0.0, 0.0
    known_at = float(RUN_S)
    previous_shares = {name: k.fraction for name, k in kinds.items()}
    for second in range(RUN_S):
        shares = traffic_shares(kinds, estimator.weights)
        moved += sum(abs(shares[n] - previous_shares[n]) for n in kinds) / 2
        previous_shares = shares
        means = waits_by_kind(kinds, shares, load)
        for _ in range(round(rate)):
            name = "x" if rng.random() < shares["x"] else "y"
            wait = rng.expovariate(1 / means[name])
            typical_wait += 0.05 * (wait - typical_wait)
            estimator.add_answer(name, min(wait / typical_wait, MAX_WAIT), second * 1000.0 + 500)
        estimator.update_weights(second * 1000.0 + 1000)
        ratio = estimator.weights.get("x", 1.0) / estimator.weights.get("y", 1.0)
        seconds_near_best = (
            seconds_near_best + 1 if mean_wait(kinds, ratio, load) <= NEAR_BEST_FACTOR * best else 0
        )
        if seconds_near_best == HOLD_S and known_at == RUN_S:
            known_at = second + 2.0 - HOLD_S
    return known_at, moved


def main() -> int:
    """Prints the results of both estimators; returns 1 if beliefs are slower or move homes of equal kinds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="20 seeds instead of 100")
    seeds = 20 if parser.parse_args().quick else 100
    failed = False
    for load in (0.5, 0.8):
        for rate in (10, 40, 300):
            medians = {}
            for estimator_class in (Steps, Beliefs):
                results = [play(estimator_class(), TWO, rate, load, seed) for seed in range(seeds)]
                times = sorted(p[0] for p in results)
                name = f"{estimator_class.__name__.lower()}_load{load:g}_rate{rate}"
                medians[estimator_class] = statistics.median(times)
                print(f"{name}_known_median = {medians[estimator_class]:.1f} s")
                print(f"{name}_known_p90 = {times[int(0.9 * (seeds - 1))]:.1f} s")
                print(f"{name}_moved = {statistics.fmean(p[1] for p in results):.3f} of homes")
                same = statistics.fmean(
                    play(estimator_class(), SAME, rate, load, seed)[1] for seed in range(seeds)
                )
                print(f"{name}_moved_when_equal = {same:.3f} of homes")
                failed |= estimator_class is Beliefs and same > 0.5
            failed |= medians[Beliefs] > medians[Steps]
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
