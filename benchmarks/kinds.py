"""How soon one balancer knows what kinds of servers can do, and how much it moves homes about meanwhile.

Both estimators of notchflow.policy.kinds hear the same draws: a fleet of two kinds under a given load, each
kind a queue with several cores (Sakasegawa's approximation of the wait), one balancer of which hears so many
answers a second. All balancers are taken to hold the weights of this one. `known` is the first second from
which on the mean answer takes, for five seconds, no more than 1.2 times what it takes under the best weights
(latency wants a fast kind to get more than its part at a light load: the ratio of capacities is not the
aim); seeds that never get there count as the whole run. `moved` is the share of homes that weights moved,
summed over the run.
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
NEAR = 1.2
WAIT_MAX = 5.0  # what a turn-away or a time-out counts as


@dataclass(frozen=True, slots=True)
class Kind:
    """Cores, speed of one core, and the part of the servers that are of this kind."""

    cores: int
    speed: float
    part: float

    @property
    def capacity(self) -> float:
        return self.cores * self.speed


TWO = {"x": Kind(4, 1.8, 0.5), "y": Kind(2, 0.9, 0.5)}
SAME = {"x": Kind(4, 1.8, 0.5), "y": Kind(4, 1.8, 0.5)}


def wait(kind: Kind, load: float) -> float:
    """Mean time of an answer at a load between 0 and 1, in the time that a core of speed 1 takes for one."""
    load = min(load, 0.97)
    queued: float = load ** (math.sqrt(2 * (kind.cores + 1)) - 1) / (kind.cores * (1 - load))
    return (1 + queued) / kind.speed


def shares_of(kinds: dict[str, Kind], weights: Mapping[str, float]) -> dict[str, float]:
    """Each kind's part of the traffic."""
    mass = sum(weights.get(n, 1.0) * k.part for n, k in kinds.items())
    return {n: weights.get(n, 1.0) * k.part / mass for n, k in kinds.items()}


def waits(kinds: dict[str, Kind], shares: Mapping[str, float], load: float) -> dict[str, float]:
    """Mean time of each kind's answers."""
    total = sum(k.capacity * k.part for k in kinds.values())
    return {n: wait(k, load * total * shares[n] / (k.capacity * k.part)) for n, k in kinds.items()}


def mean_wait(kinds: dict[str, Kind], ratio: float, load: float) -> float:
    """Mean time of an answer where kind x has so many times the weight of kind y."""
    shares = shares_of(kinds, {"x": ratio, "y": 1.0})
    return sum(shares[n] * mean for n, mean in waits(kinds, shares, load).items())


def play(
    estimator: Steps | Beliefs, kinds: dict[str, Kind], rate: float, load: float, seed: int
) -> tuple[float, float]:
    """The second from which on the kinds are known, and the share of homes moved."""
    rng = random.Random(seed)
    best = min(mean_wait(kinds, math.exp(step / 20), load) for step in range(-60, 61))
    usual, moved, near = 1.0, 0.0, 0.0
    known = float(RUN_S)
    before = {name: k.part for name, k in kinds.items()}
    for second in range(RUN_S):
        shares = shares_of(kinds, estimator.weights)
        moved += sum(abs(shares[n] - before[n]) for n in kinds) / 2
        before = shares
        means = waits(kinds, shares, load)
        for _ in range(round(rate)):
            name = "x" if rng.random() < shares["x"] else "y"
            took = rng.expovariate(1 / means[name])
            usual += 0.05 * (took - usual)
            estimator.add_answer(name, min(took / usual, WAIT_MAX), second * 1000.0 + 500)
        estimator.update_weights(second * 1000.0 + 1000)
        ratio = estimator.weights.get("x", 1.0) / estimator.weights.get("y", 1.0)
        near = near + 1 if mean_wait(kinds, ratio, load) <= NEAR * best else 0
        if near == HOLD_S and known == RUN_S:
            known = second + 2.0 - HOLD_S
    return known, moved


def main() -> int:
    """Prints both estimators' figures; fails where beliefs are slower than steps, or false alarms more."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="20 seeds instead of 100")
    seeds = 20 if parser.parse_args().quick else 100
    failed = False
    for load in (0.5, 0.8):
        for rate in (10, 40, 300):
            middle = {}
            for made in (Steps, Beliefs):
                plays = [play(made(), TWO, rate, load, seed) for seed in range(seeds)]
                times = sorted(p[0] for p in plays)
                name = f"{made.__name__.lower()}_load{load:g}_rate{rate}"
                middle[made] = statistics.median(times)
                print(f"{name}_known_median = {middle[made]:.1f} s")
                print(f"{name}_known_p90 = {times[int(0.9 * (seeds - 1))]:.1f} s")
                print(f"{name}_moved = {statistics.fmean(p[1] for p in plays):.3f} of homes")
                same = statistics.fmean(play(made(), SAME, rate, load, seed)[1] for seed in range(seeds))
                print(f"{name}_moved_when_equal = {same:.3f} of homes")
                failed |= made is Beliefs and same > 0.5
            failed |= middle[Beliefs] > middle[Steps]
    return int(failed)


if __name__ == "__main__":
    sys.exit(main())
