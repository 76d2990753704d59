"""Estimates the relative capacity of each kind of node from the latency of its answers.

Pure. Weights are factors, 1 for an unknown kind. With few instances, each corrects the weights step by step
(`Steps`); with many instances, each sees few answers and keeps a mean and a variance per kind (`Beliefs`;
docs/design/fleet.md).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, Final

STEP_GAIN: Final = 0.5  # of the logarithm of a kind's relative latency
STEP_DEAD_BAND: Final = 0.12  # smaller deviations of the logarithm are ignored
STEP_DEVIATIONS: Final = 2.0  # and deviations below so many standard errors, 1 / sqrt(answers), are ignored
STEP_HISTORY: Final = 400.0  # answers of a kind above which the counts are halved
WEIGHT_MIN, WEIGHT_MAX = 0.1, 4.0
# --- Beliefs: all variances are of natural logarithms
PRIOR_VAR: Final = 0.5  # one standard deviation is a factor of two around the mean of all kinds
ANSWER_VAR: Final = 1.0  # of one answer's latency over the mean, as for an exponential distribution
MODEL_VAR: Final = 0.1  # added to every observation: latency follows load only roughly
DRIFT_VAR_PER_S: Final = 0.001  # the capacity of a kind changes slowly
# Weights change in steps of a factor sqrt(2), so that instances with slightly different estimates agree.
LOG_STEP: Final = 0.5 * math.log(2)
HYSTERESIS: Final = 0.8  # part of a step by which the mean must differ before the weight changes
CONFIDENCE_DECAY: Final = 3.0  # per unit of variance; an unknown kind has a confidence of about a fifth


class Steps:
    """Corrects weights in steps, each based on the answers since the last correction."""

    __slots__ = ("weights", "ratios")

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        self.ratios: dict[str, list[float]] = {}  # kind -> sum and count of recent relative latencies

    def add_answer(self, kind: str, ratio: float, sent_at: float) -> None:
        """Adds an answer; `ratio` is its latency over the mean of its class."""
        total = self.ratios.setdefault(kind, [0.0, 0.0])
        total[0] += ratio
        total[1] += 1

    def update_weights(self, now: float) -> bool:
        """Corrects the weights; returns whether one changed."""
        means = {k: s / n for k, (s, n) in sorted(self.ratios.items()) if n >= STEP_DEVIATIONS**2}
        if len(means) < 2:
            return False
        mean_log = sum(math.log(m) for m in means.values()) / len(means)
        changed = False
        for kind, mean in means.items():
            deviation = math.log(mean) - mean_log
            # At low traffic, chance would let each instance's weights drift apart, and with them the homes of
            # keys. Only deviations that are significant for the number of answers count. Then counting
            # restarts.
            if abs(deviation) > max(STEP_DEAD_BAND, STEP_DEVIATIONS / math.sqrt(self.ratios[kind][1])):
                weight = self.weights.get(kind, 1.0) * math.exp(-STEP_GAIN * deviation)
                self.weights[kind] = min(max(weight, WEIGHT_MIN), WEIGHT_MAX)
                changed = True
        for total in self.ratios.values():
            factor = 0.0 if changed else 0.5 if total[1] > STEP_HISTORY else 1.0
            total[:] = [total[0] * factor, total[1] * factor]
        return changed

    def export_state(self) -> dict[str, Any]:
        """Returns the learned state for the process that replaces this one."""
        return {"kinds": self.weights, "slow": self.ratios}

    def restore_state(self, state: Mapping[str, Any]) -> None:
        """Restores exported state; on an error, nothing changes."""
        weights = finite_numbers(state["kinds"])
        self.ratios = {str(kind): [float(s), float(n)] for kind, (s, n) in state["slow"].items()}
        self.weights = weights


class Belief:
    """The estimate for one kind: mean and variance of the logarithm of its capacity relative to the mean of
    all kinds, the logarithm of the weight in force, and the answers since the last update."""

    __slots__ = ("mean", "var", "applied", "total", "count")

    def __init__(self, mean: float = 0.0, var: float = PRIOR_VAR) -> None:
        self.mean, self.var = mean, var
        self.applied = LOG_STEP * round(mean / LOG_STEP)
        self.total = self.count = 0.0


class Beliefs:
    """A scalar Kalman filter per kind. The relative latency of its answers is a noisy observation of its
    load, and thus of its capacity under the weight that was in force when the attempts were sent."""

    __slots__ = ("beliefs", "weights", "changed_at", "updated_at")

    def __init__(self) -> None:
        self.beliefs: dict[str, Belief] = {}
        self.weights: dict[str, float] = {}
        self.changed_at = self.updated_at = -math.inf

    def add_answer(self, kind: str, ratio: float, sent_at: float) -> None:
        """Adds an answer; `ratio` is its latency over the mean of its class.

        Answers to attempts that were sent under earlier weights are ignored.
        """
        belief = self.beliefs.get(kind)
        if belief is None:
            belief = self.beliefs[kind] = Belief()
        if sent_at >= self.changed_at:
            belief.total += ratio
            belief.count += 1

    def confidence(self, kind: str) -> float:
        """Returns how far the weight of a kind can be relied on, from 0 to 1."""
        belief = self.beliefs.get(kind)
        return math.exp(-CONFIDENCE_DECAY * (belief.var if belief is not None else PRIOR_VAR))

    def update_weights(self, now: float) -> bool:
        """Applies the answers since the last update; returns whether a weight changed."""
        elapsed_s = min(now - self.updated_at, 60_000.0) / 1000 if self.updated_at > -math.inf else 0.0
        self.updated_at = now
        for belief in self.beliefs.values():
            belief.var = min(belief.var + DRIFT_VAR_PER_S * elapsed_s, PRIOR_VAR)
        observed = [b for b in self.beliefs.values() if b.total > 0]
        if len(observed) < 2:
            return False
        mean_log = sum(math.log(b.total / b.count) for b in observed) / len(observed)
        for belief in observed:
            observation = belief.applied - (math.log(belief.total / belief.count) - mean_log)
            gain = belief.var / (belief.var + ANSWER_VAR / belief.count + MODEL_VAR)
            mean = belief.mean + gain * (observation - belief.mean)
            belief.mean = min(max(mean, -math.log(WEIGHT_MAX)), math.log(WEIGHT_MAX))
            belief.var *= 1 - gain
            belief.total = belief.count = 0.0
        changed = [b for b in self.beliefs.values() if abs(b.mean - b.applied) > HYSTERESIS * LOG_STEP]
        for belief in changed:
            belief.applied = LOG_STEP * round(belief.mean / LOG_STEP)
        if changed:
            self.changed_at = now
            self._recompute_weights()
        return bool(changed)

    def _recompute_weights(self) -> None:
        self.weights = {kind: math.exp(belief.applied) for kind, belief in self.beliefs.items()}

    def export_state(self) -> dict[str, Any]:
        """Returns the learned state for the process that replaces this one."""
        return {"kinds": self.weights, "beliefs": {kind: [b.mean, b.var] for kind, b in self.beliefs.items()}}

    def restore_state(self, state: Mapping[str, Any]) -> None:
        """Restores exported state; on an error, nothing changes.

        Weights without beliefs get the prior variance.

        Raises KeyError, TypeError or ValueError for malformed state.
        """
        known = {
            kind: [math.log(w), PRIOR_VAR] for kind, w in finite_numbers(state["kinds"]).items() if w > 0
        }
        beliefs = {}
        for kind, (mean, var) in {**known, **state.get("beliefs", {})}.items():
            mean, var = float(mean), float(var)
            if not (abs(mean) <= 2 * math.log(WEIGHT_MAX) and 0 < var <= PRIOR_VAR):
                raise ValueError(f"belief of {kind}: mean {mean!r} or variance {var!r} out of range")
            beliefs[str(kind)] = Belief(mean, var)
        self.beliefs = beliefs
        self._recompute_weights()


def select_estimator(many_instances: bool, known: Steps | Beliefs | None = None) -> Steps | Beliefs:
    """Returns the estimator that fits the number of instances, with the weights of the known one."""
    created = Beliefs() if many_instances else Steps()
    if known is not None:
        if type(known) is type(created):
            return known
        created.restore_state({"kinds": known.weights, "slow": {}})
    return created


def finite_numbers(values_by_name: Mapping[str, Any]) -> dict[str, float]:
    """Returns finite, non-negative numbers by name; raises ValueError or TypeError for anything else."""
    values = {str(name): float(value) for name, value in values_by_name.items()}
    if not all(math.isfinite(value) and value >= 0 for value in values.values()):
        raise ValueError("expected finite numbers that are not negative")
    return values
