"""What each kind of server can do, learned from how long its answers take.

Pure. Weights are multiples, 1 for a kind that nothing is known of. One balancer of few corrects them step by
step (`Steps`); one of many, that hears little, holds a belief of each kind (`Beliefs`; docs/design/fleet.md).
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
# --- beliefs: variances are of natural logarithms
PRIOR_VAR: Final = 0.5  # a kind may do twice as much as the middle of all, or half: one standard deviation
ANSWER_VAR: Final = 1.0  # of one answer's time over its mean, as of an exponential law
MODEL_VAR: Final = 0.1  # no reading is surer than that: times follow load only roughly
DRIFT_VAR: Final = 0.001  # a second: what kinds can do changes slowly
OCTAVE: Final = 0.5 * math.log(2)  # weights move in half octaves: balancers that each know a little agree ...
HOLD: Final = 0.8  # ... and only once the belief is so much of a step away
CAUTION: Final = 3.0  # times the variance: of a kind that nothing is known of a fifth is counted


class Steps:
    """Weights corrected step by step, each on what was heard since the last one."""

    __slots__ = ("weights", "slow")

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        self.slow: dict[str, list[float]] = {}  # kind -> sum and count of relative latencies lately

    def add_answer(self, kind: str, ratio: float, sent_at: float) -> None:
        """An answer took so many times what is usual for its class."""
        total = self.slow.setdefault(kind, [0.0, 0.0])
        total[0] += ratio
        total[1] += 1

    def update_weights(self, now: float) -> bool:
        """Corrects the weights; whether one changed."""
        means = {k: s / n for k, (s, n) in sorted(self.slow.items()) if n >= LEARN_SURE**2}
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


class Belief:
    """Of one kind: mean and variance of the logarithm of its capacity over the middle of all, the weight in
    force as a logarithm, and the answers since the last step."""

    __slots__ = ("mean", "var", "applied", "total", "count")

    def __init__(self, mean: float = 0.0, var: float = PRIOR_VAR) -> None:
        self.mean, self.var = mean, var
        self.applied = OCTAVE * round(mean / OCTAVE)
        self.total = self.count = 0.0


class Beliefs:
    """A scalar Kalman filter for each kind. How long its answers take, over what is usual, is a noisy reading
    of its load, and so of its capacity under the weight that was in force when they were sent."""

    __slots__ = ("beliefs", "weights", "changed_at", "stepped_at")

    def __init__(self) -> None:
        self.beliefs: dict[str, Belief] = {}
        self.weights: dict[str, float] = {}
        self.changed_at = self.stepped_at = -math.inf

    def add_answer(self, kind: str, ratio: float, sent_at: float) -> None:
        """An answer took so many times what is usual. One sent under former weights would tell of those."""
        belief = self.beliefs.get(kind)
        if belief is None:
            belief = self.beliefs[kind] = Belief()
        if sent_at >= self.changed_at:
            belief.total += ratio
            belief.count += 1

    def confidence(self, kind: str) -> float:
        """The part of its weight that a kind may be trusted with."""
        belief = self.beliefs.get(kind)
        return math.exp(-CAUTION * (belief.var if belief is not None else PRIOR_VAR))

    def update_weights(self, now: float) -> bool:
        """Takes in what was heard since the last step; whether a weight changed."""
        span = min(now - self.stepped_at, 60_000.0) / 1000 if self.stepped_at > -math.inf else 0.0
        self.stepped_at = now
        for belief in self.beliefs.values():
            belief.var = min(belief.var + DRIFT_VAR * span, PRIOR_VAR)
        heard = [b for b in self.beliefs.values() if b.total > 0]
        if len(heard) < 2:
            return False
        middle = sum(math.log(b.total / b.count) for b in heard) / len(heard)
        for belief in heard:
            reading = belief.applied - (math.log(belief.total / belief.count) - middle)
            gain = belief.var / (belief.var + ANSWER_VAR / belief.count + MODEL_VAR)
            mean = belief.mean + gain * (reading - belief.mean)
            belief.mean = min(max(mean, -math.log(LEARN_MAX)), math.log(LEARN_MAX))
            belief.var *= 1 - gain
            belief.total = belief.count = 0.0
        moved = [b for b in self.beliefs.values() if abs(b.mean - b.applied) > HOLD * OCTAVE]
        for belief in moved:
            belief.applied = OCTAVE * round(belief.mean / OCTAVE)
        if moved:
            self.changed_at = now
            self._weigh()
        return bool(moved)

    def _weigh(self) -> None:
        self.weights = {kind: math.exp(belief.applied) for kind, belief in self.beliefs.items()}

    def told(self) -> dict[str, Any]:
        """What a process that takes this one's place is told."""
        return {"kinds": self.weights, "beliefs": {kind: [b.mean, b.var] for kind, b in self.beliefs.items()}}

    def take(self, told: Mapping[str, Any]) -> None:
        """Begins with that; an error leaves all as it was. Weights alone are a mean without any certainty."""
        known = {kind: [math.log(w), PRIOR_VAR] for kind, w in numbers(told["kinds"]).items() if w > 0}
        beliefs = {}
        for kind, (mean, var) in {**known, **told.get("beliefs", {})}.items():
            mean, var = float(mean), float(var)
            if not (abs(mean) <= 2 * math.log(LEARN_MAX) and 0 < var <= PRIOR_VAR):
                raise ValueError(f"belief of {kind}: a mean of {mean!r} and a variance of {var!r} are none")
            beliefs[str(kind)] = Belief(mean, var)
        self.beliefs = beliefs
        self._weigh()


def select_estimator(many: bool, known: Steps | Beliefs | None = None) -> Steps | Beliefs:
    """The one that fits the number of balancers; it begins with what another has learned."""
    begun = Beliefs() if many else Steps()
    if known is not None:
        if type(known) is type(begun):
            return known
        begun.take({"kinds": known.weights, "slow": {}})
    return begun


def numbers(told: Mapping[str, Any]) -> dict[str, float]:
    """Finite numbers by name, none negative; ValueError or TypeError for anything else."""
    values = {str(name): float(value) for name, value in told.items()}
    if not all(math.isfinite(value) and value >= 0 for value in values.values()):
        raise ValueError("expected finite numbers that are not negative")
    return values
