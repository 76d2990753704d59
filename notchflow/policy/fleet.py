"""The nodes: membership, warm-up, load, and what their answers reveal about latency and health."""

from __future__ import annotations

import math
from typing import Final

from notchflow.interface import ListKind, Membership, Outcome, RequestClass, Settings, State
from notchflow.policy.health import record_class_outcome, record_no_response
from notchflow.policy.instance_count import has_many_instances
from notchflow.policy.kinds import Beliefs, Steps, select_estimator
from notchflow.policy.nodes import (
    ANSWERED,
    CONNECT_FAILED,
    FIRST_EJECTION_MS,
    FULL,
    OK,
    READY,
    RESET,
    TIMEOUT,
    Node,
)
from notchflow.policy.rendezvous import RendezvousOrder

LOAD_BOUND: Final = 1.6  # multiple of its share of the load up to which a node gets requests
LOAD_BOUND_MIN: Final = 4.0  # requests in flight below which the bound does not apply
SLOWNESS_GAIN: Final = 0.5  # weight of one answer in the moving mean of a node's slowness
SLOWNESS_DECAY_MS: Final = 3_000.0  # time constant; also lets a node without requests recover
CROWDED_POWER: Final = 2.0  # the admitted share falls with this power of the excess over the bound
WARM_STEP_MS: Final = 500.0  # interval at which the weights of cold nodes rise
WEIGHT_UPDATE_MS: Final = 1_000.0  # interval at which the weights of kinds are corrected
LATENCY_GAIN: Final = 0.05  # weight of one answer in the moving means of latency
FAILED_LATENCY_RATIO: Final = 5.0  # multiple of the mean latency that a failure counts as; also the maximum
COLD_BUDGET_SHARE: Final = 0.5  # of the overload factor; one instance's budget for a cold node
COLD_BUDGET_MIN: Final = 2.0  # requests that a cold node may get in any case within the span
COLD_DEVIATIONS: Final = 2.0  # standard deviations allowed above the mean
COLD_MULTIPLE_SHARE: Final = 2.0  # of the overload factor, in answers in time; many instances together


class Fleet:
    """The nodes with their order for each key, warm-up, load and health."""

    def __init__(self, settings: Settings, started_at: float = -math.inf) -> None:
        self.started_at = started_at  # of this instance
        self.kinds: Steps | Beliefs = Steps()
        self.apply_settings(settings)
        self.nodes: dict[int, Node] = {}
        self.ready: list[Node] = []
        self.origin: Node | None = None
        self.rendezvous = RendezvousOrder()
        # Bound here to save an attribute look-up per request.
        self.order, self.full_order = self.rendezvous.head, self.rendezvous.full_order
        self.class_latency_ms: dict[str, float] = {}
        self.multiple_kinds = False  # among the ready nodes
        self.in_flight = 0
        self.mean_latency_ms = 0.0  # of all classes
        self.typical_slowness = 1.0  # median over the ready nodes, at least 1
        self.cold_until = 0.0
        self.weighted_at = self.kinds_updated_at = -math.inf

    def apply_settings(self, settings: Settings) -> None:
        """Adopts settings; the learned state stays."""
        self.settings = settings
        self.cache_aside = settings.origin_kind is not None
        self.many_instances = has_many_instances(settings.balancers)
        self.kinds = select_estimator(self.many_instances, self.kinds)
        self.cold_multiple = COLD_MULTIPLE_SHARE * settings.rules.overload_factor

    # -- membership
    def update(self, now: float, event: Membership) -> None:
        """Applies a list of nodes or changes to it. A cached list may be stale but is the best known."""
        if event.kind is ListKind.FAILED:
            return
        if event.kind is not ListKind.DELTA:
            listed = {m.node for m in event.members}
            for node in self.nodes.values():
                if node.id not in listed:
                    node.member = node.member.with_state(State.GONE)
        for member in event.members:
            known = self.nodes.get(member.node)
            if known is None:
                self.nodes[member.node] = Node(member)
            elif member.ready_at_ms > known.member.ready_at_ms and member.state is READY:
                known.restart(member)
            else:
                known.member = member
        self.nodes = {i: n for i, n in self.nodes.items() if self._must_keep(now, n)}
        kind = self.settings.origin_kind
        live = [n for n in self.nodes.values() if n.member.state is READY]
        self.origin = next((n for n in live if n.member.kind == kind), None) if kind is not None else None
        self.ready = sorted((n for n in live if kind is None or n.member.kind != kind), key=lambda n: n.id)
        self.multiple_kinds = len({n.member.kind for n in self.ready}) > 1
        cold_ms = self.settings.rules.cold_ms
        for node in self.nodes.values():
            ready_at = node.member.ready_at_ms
            node.cold_until = ready_at + cold_ms if ready_at > 0 and cold_ms > 0 else -math.inf
        self.cold_until = max((n.cold_until for n in self.ready), default=-math.inf)
        self.recompute_weights(now)

    def _must_keep(self, now: float, node: Node) -> bool:
        """Whether a node is listed or may still matter. Replaced machines come with new ids, so most that are
        gone do not return; one that a list left out by mistake must not get its cold budget anew."""
        sent_recently = bool(node.cold_send_times) and (
            node.cold_send_times[-1] > now - self.settings.rules.fall_ms
        )
        return node.member.state is not State.GONE or node.in_flight > 0 or sent_recently

    def is_cold(self, node: Node, now: float) -> bool:
        """Whether the node is still within its configured warm-up time."""
        return now < node.cold_until

    def warmth(self, node: Node, now: float) -> float:
        """Returns the share of its capacity that a node has according to the configured warm-up."""
        rules, ready_at = self.settings.rules, node.member.ready_at_ms
        if not self.is_cold(node, now):
            return 1.0
        return rules.cold_share + (1 - rules.cold_share) * max(0.0, now - ready_at) / rules.cold_ms

    def recompute_weights(self, now: float) -> None:
        """Derives the nodes' weights from size, kind and warm-up, and rebuilds the rendezvous order."""
        self.weighted_at = now
        for node in self.ready:
            kind_weight = self.kinds.weights.get(node.member.kind, 1.0)
            node.weight = max(node.member.size, 1e-6) * kind_weight * self.warmth(node, now)
        self.rendezvous.rebuild(self.ready)

    def tick(self, now: float) -> None:
        """Decays throttles, raises the weights of cold nodes and corrects the weights of kinds."""
        for node in self.ready:
            node.throttle.decay()
        if self.many_instances and self.ready:
            slowness = sorted(self._decayed_slowness(n, now) for n in self.ready)
            self.typical_slowness = max(1.0, slowness[(len(slowness) - 1) // 2])
        if now >= self.kinds_updated_at + WEIGHT_UPDATE_MS:
            self.kinds_updated_at = now
            if self.kinds.update_weights(now):
                self.recompute_weights(now)
        if self.weighted_at < self.cold_until and now >= self.weighted_at + WARM_STEP_MS:
            self.recompute_weights(now)

    def share(self, node: Node) -> float:
        """Returns a node's due share of the traffic, by weight."""
        total = self.rendezvous.total_weight
        return node.weight / total if total > 0 else 1.0

    def confidence(self, node: Node) -> float:
        """Returns how far a node's weight can be relied on, from 0 to 1, given what is known of its kind."""
        if self.multiple_kinds and isinstance(self.kinds, Beliefs):
            return self.kinds.confidence(node.member.kind)
        return 1.0

    def over_load_bound(self, node: Node) -> bool:
        """Whether the node holds far more than its share of this instance's requests in flight."""
        return (
            node.in_flight >= LOAD_BOUND_MIN
            and node.in_flight > LOAD_BOUND * self.in_flight * self.share(node) + 1
        )

    def _record_slowness(self, now: float, node: Node, ratio: float) -> None:
        """Records an answer's latency as a multiple of the mean of its class."""
        slowness = self._decayed_slowness(node, now)
        node.slowness_ewma, node.slowness_at = slowness + SLOWNESS_GAIN * (ratio - slowness), now

    def _decayed_slowness(self, node: Node, now: float) -> float:
        """Returns the node's moving mean of slowness, decayed towards 1 since its last answer."""
        return 1 + (node.slowness_ewma - 1) * math.exp((node.slowness_at - now) / SLOWNESS_DECAY_MS)

    def slowness(self, node: Node, now: float) -> float:
        """Returns how slow a node is, as a multiple of the fleet.

        By Little's law this is also the number of requests that all instances have in flight there, as a
        multiple of its share.
        """
        slowness = self._decayed_slowness(node, now)
        if node.outstanding and self.mean_latency_ms:
            slowness = max(slowness, (now - next(iter(node.outstanding.values()))) / self.mean_latency_ms)
        return slowness

    def load_per_weight(self, node: Node, now: float) -> float:
        """Returns a node's load relative to its weight.

        One of many instances usually has nothing in flight there: by its own counts alone, each of them would
        choose the largest node, however overloaded that is.
        """
        load = (node.in_flight + 1) / max(node.weight, 1e-9)
        return load * self.slowness(node, now) if self.many_instances else load

    def crowded(self, node: Node, now: float, draw: float) -> bool:
        """Applies the load bound by latency, for many instances that each have too few requests in flight.

        A part of the requests still goes there: all instances see the same latencies and would otherwise
        leave and return together. `draw` is a uniform random number in [0, 1).
        """
        relative = self.slowness(node, now) / self.typical_slowness
        return relative > LOAD_BOUND and draw >= (LOAD_BOUND / relative) ** CROWDED_POWER

    def cold_budget_spent(self, node: Node, now: float, rate: float, in_time: float = 1.0) -> bool:
        """Whether this instance may send no more to a cold node for now.

        Also true while the process before this one may have spent the budget. `in_time` is the share of
        requests answered in time; the budget shrinks with it during overload. `rate` is in requests per
        millisecond.
        """
        if not self.is_cold(node, now):
            return False
        rules, send_times = self.settings.rules, node.cold_send_times
        while send_times and send_times[0] <= now - rules.fall_ms:
            send_times.popleft()
        due = rate * rules.fall_ms * self.share(node)
        unknown = node.member.ready_at_ms <= self.started_at and now < self.started_at + rules.fall_ms
        return unknown or len(send_times) >= max(
            COLD_BUDGET_MIN, min(COLD_BUDGET_SHARE, in_time) * rules.overload_factor * due
        )

    def has_cold_token(self, node: Node, now: float, in_time_rate: float, draw: float) -> bool:
        """Whether a cold node may get a request whose home is another node.

        The token bucket is drained by every attempt sent to the node and filled with this instance's share of
        what the node can serve. `in_time_rate` is in answers in time per millisecond; `draw`, uniform in [0,
        1), sets the initial level.
        """
        span, balancers = self.settings.rules.fall_ms, self.settings.balancers
        mean = self.cold_multiple * in_time_rate * span * self.share(node)
        allowed = mean + COLD_DEVIATIONS * (math.sqrt(mean / balancers) + 1 / balancers)
        capacity = max(1.0, allowed)
        level = node.tokens + allowed * (now - node.refilled_at) / span
        node.tokens = min(level, capacity) if node.refilled_at > -math.inf else draw * capacity
        node.refilled_at = now
        return node.tokens >= 1

    # -- attempts
    def attempt_sent(self, node: Node, now: float, cls: str, attempt: tuple[int, int]) -> None:
        """Counts an attempt, given as (request id, attempt), that is sent to a node."""
        node.outstanding[attempt] = now
        if cls in node.class_health:
            node.class_health[cls].outstanding += 1
        node.in_flight += 1
        self.in_flight += 1
        if now < node.cold_until:
            node.cold_send_times.append(now)
            node.tokens = max(node.tokens - 1, -COLD_BUDGET_MIN)

    def attempt_ended(self, now: float, node: Node, outcome: Outcome, cls: RequestClass) -> None:
        """Updates load, latency and health from the end of an attempt."""
        node.outstanding.pop((outcome.id, outcome.attempt), None)
        node.in_flight = max(0, node.in_flight - 1)
        self.in_flight = max(0, self.in_flight - 1)
        status = outcome.status
        if status is not OK or node.class_health:
            record_class_outcome(
                now, node, outcome, cls, self.class_latency_ms.get(cls.name, math.inf), self.ready
            )
        if status in ANSWERED:
            node.answered_at = now  # any answer proves that the node is alive
            if now - outcome.latency_ms > node.newest:
                node.newest = now - outcome.latency_ms
            node.failures, node.ejected_until, node.ejection_ms, node.on_trial = (
                0,
                0.0,
                FIRST_EJECTION_MS,
                False,
            )
        elif status is CONNECT_FAILED or (
            status in (TIMEOUT, RESET) and node.answered_at < now - outcome.latency_ms
        ):
            record_no_response(now, node, status is CONNECT_FAILED, self.ready)
        ratio = 0.0
        if status is OK and outcome.hit is not False:
            latency_ms = outcome.latency_ms
            mean = self.class_latency_ms.get(cls.name, latency_ms)
            self.class_latency_ms[cls.name] = mean + LATENCY_GAIN * (latency_ms - mean)
            self.mean_latency_ms += (
                LATENCY_GAIN * (latency_ms - self.mean_latency_ms) if self.mean_latency_ms else latency_ms
            )
            ratio = min(latency_ms / (mean if mean > 0.1 else 0.1), FAILED_LATENCY_RATIO)
        elif status in (FULL, TIMEOUT):  # otherwise a kind that answers few in time would seem fast
            ratio = FAILED_LATENCY_RATIO
        if ratio:
            if self.many_instances:
                self._record_slowness(now, node, ratio)
            self.kinds.add_answer(node.member.kind, ratio, now - outcome.latency_ms)
