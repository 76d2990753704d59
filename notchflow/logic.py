"""Every decision of notchflow: hot-key factoring, the rules, health. Types: notchflow/interface.py.

Pure: a Balancer is told the time and an event and answers with actions. docs/design/decisions.md says what
is kept of the design and when each departure from it applies.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from heapq import heappop, heappush
from typing import Any, Final

from notchflow.interface import (
    Action, Arrived, Cancel, ClientGone, Effect, Event, Fail, Group, ListKind, Member, Membership, Outcome,
    Refuse, Request, RequestClass, Retune, Send, SetTimer, Settings, Spent, State, Status, StreamStarted,
    Timer, Watch,
)
from notchflow.shares import many

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
# --- order of servers and load bound
PLACES: Final = 6
LANE: Final = 16  # bytes: a 64-bit product of two 64-bit numbers stays in its lane
SCORED: Final = 24  # servers scored for a key, of very many: fewer than PLACES once in 100,000 keys
MEMO_MAX: Final = 20_000  # remembered keys
WHOLE_MAX: Final = 4 * TOP_K  # and those whose whole order is remembered
BOUND: Final = 1.6
BOUND_MIN: Final = 4.0  # in flight below which the bound never acts
SLOW_GAIN: Final = 0.5  # weight of one answer in how slow a server is held to be
SLOW_MS: Final = 3_000.0  # after which most of that is forgotten: who is left alone recovers unseen
SLOW_POWER: Final = 2.0  # of how far a server is over the bound: what goes on shrinks faster than it grows
WARM_STEP_MS: Final = 500.0  # a cold server's weight is raised this often
# --- weights learned from latency
LEARN_MS: Final = 1_000.0  # a kind's weight is corrected this often
LEARN_GAIN: Final = 0.5  # of the logarithm of its relative latency
LEARN_BAND: Final = 0.12
LEARN_SURE: Final = 2.0  # and so many times its likely error, one over the root of the answers seen
LEARN_KEEP: Final = 400.0  # answers of a kind after which the older ones fade
LEARN_MIN, LEARN_MAX = 0.1, 4.0
SMOOTH: Final = 0.05  # weight of one answer in a mean of latencies
# --- health
SUSPECT_AFTER: Final = 2
EJECT_MS, EJECT_MAX_MS = 1_000.0, 8_000.0
TRIAL_SHARE: Final = 0.4  # of the time left for an attempt at a server under suspicion
QUIET_SHARE: Final = 0.34  # of the fleet that time-outs alone may eject: more is trouble elsewhere
MUTE_AFTER: Final = 5  # more failures than answers of one class at a server that serves the others
MUTE_SHARE: Final = 0.6  # of the fleet that may be mute for a class: more is trouble behind the fleet
TOLERANCE: Final = 1.2
COMFORT: Final = 0.7
CHANCE: Final = 4.0  # unanswered requests that are no evidence yet, at a trickle above all
FADE: Final = 0.8
REFUSED_RATIO: Final = 5.0
# --- further attempts, cold servers, the list
RETRY_SHARE: Final = 0.1  # further attempts that may have cost work, a request
RETRY_SAVED: Final = 5.0
SECOND_AFTER: Final = 3.0  # usual latencies without an answer: a second copy may go out
COLD_SLACK: Final = 0.5  # of the stated multiple: what one instance may send a cold server over its due
COLD_BURST: Final = 2.0  # requests that a cold server may always get within the span
WATCH_EARLY: Final = 0.3
WATCH_SPACING_MS: Final = 25.0  # between the first calls of all instances, on average
BACKOFF_MS, BACKOFF_MAX_MS = 500.0, 6_000.0
WINDOW_MARGIN_MS: Final = 5.0

TOLD: Final = ("fifo", "counters", "historical", "prior", "compared", "seen")  # of the top-k

MASK: Final = (1 << 64) - 1

# Looking up a member of an enum costs as much as a call: these are looked up several times a request.
OK, ERROR, FULL, TIMEOUT = Status.OK, Status.ERROR, Status.FULL, Status.TIMEOUT
CONNECT_FAILED, RESET = Status.CONNECT_FAILED, Status.RESET
CANCELLED, MOOT, MISS = Status.CANCELLED, Status.MOOT, Status.MISS
ANSWERED: Final = (OK, ERROR, FULL, MISS)  # whatever it says, the server is alive
SILENT: Final = (CANCELLED, MOOT, MISS)  # says nothing of whether the server answers in time
READY, SAFE, UNSAFE = State.READY, Effect.SAFE, Effect.UNSAFE


def mixed(data: int | str) -> int:
    """A 64-bit hash that is the same in every process."""
    raw = data.encode() if isinstance(data, str) else data.to_bytes(8, "big")
    return int.from_bytes(hashlib.blake2b(raw, digest_size=8).digest(), "big")


class FastTopK:
    """Finds the top-k keys by coincidences among recent requests (section III.C of the paper)."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.capacity = FIFO_MIN
        self.fifo: list[str] = []
        self.held: dict[str, int] = {}  # how often each key stands in the FIFO
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
        fifo, held = self.fifo, self.held
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
        held = self.held
        for key in self.fifo[:count]:
            if held[key] == 1:
                del held[key]
            else:
                held[key] -= 1
        del self.fifo[:count]

    def hot(self) -> dict[str, float]:
        """The top k of both lists with their estimated rates, as shares of the traffic."""
        rates = []
        for key, count in self._top():
            rates.append((math.sqrt(count / self.compared), key))
        for key, count in self.historical.items():
            rates.append(((count + PRIOR_REQUESTS * self.prior[key]) / (self.seen + PRIOR_REQUESTS), key))
        rates.sort(reverse=True)
        return {key: rate for rate, key in rates[:TOP_K]}

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


class Throttle:
    """Lets through no more than a little over what is answered in time (both counted lately)."""

    __slots__ = ("asked", "good")

    def __init__(self) -> None:
        self.asked = self.good = 0.0

    def count(self, good: bool) -> None:
        self.asked += 1
        self.good += good

    def fade(self) -> None:
        """Lets the past fade."""
        self.asked *= FADE
        self.good *= FADE

    def pressure(self) -> float:
        over = self.asked - TOLERANCE * self.good - CHANCE
        return over / (self.asked + 1) if over > 0 else 0.0


class Mute:
    """A class that a server has lately failed, while it served others."""

    __slots__ = ("fails", "until", "pause", "out")

    def __init__(self) -> None:
        self.fails = 0  # less the answers since
        self.until = 0.0
        self.pause = EJECT_MS
        self.out = 0  # attempts since it first failed: one at a time tries whether it still does

    def bars(self, now: float) -> bool:
        return self.until > now or (self.until > 0 and self.out > 0)


class Node:
    """One server as this balancer knows it."""

    __slots__ = ("id", "salt", "member", "weight", "in_flight", "fails", "answered_at", "cold_until",
                 "ejected_until", "pause", "cold_sent", "trial", "throttle", "newest", "mutes",
                 "slow", "slow_at", "out")

    def __init__(self, member: Member) -> None:
        self.id = member.node
        self.salt = mixed(member.node)
        self.in_flight = 0
        self.out: dict[tuple[int, int], float] = {}  # attempts under way: when each was sent
        self.cold_until = -math.inf
        self.restart(member)

    def restart(self, member: Member) -> None:
        self.member = member
        self.weight = 0.0
        self.fails = 0
        self.answered_at = self.newest = -math.inf
        self.ejected_until = 0.0
        self.pause = EJECT_MS
        self.trial = False
        self.cold_sent: deque[float] = deque()
        self.throttle = Throttle()
        self.slow, self.slow_at = 1.0, -math.inf
        self.mutes: dict[str, Mute] = {}


class Fleet:
    """The servers, their order for each key, warm-up, load and health."""

    def __init__(self, settings: Settings) -> None:
        self.state(settings)
        self.nodes: dict[int, Node] = {}
        self.ready: list[Node] = []
        self.origin: Node | None = None
        self.total_weight = 0.0
        self.kind_weight: dict[str, float] = {}
        self.kind_slow: dict[str, list[float]] = {}  # kind -> sum and count of relative latencies lately
        self.class_latency: dict[str, float] = {}
        self.salts = self.ones = self.lows = self.halves = 0  # a lane for each that is ready
        self.cuts: list[int] = []
        self.sure = 0.0
        self.memo: dict[str, list[Node]] = {}
        self.whole: dict[str, list[Node]] = {}  # the same of hot keys, with all places
        self.in_flight = 0
        self.latency = 0.0  # usual, of all classes
        self.usual = 1.0  # slowness of the servers at large
        self.cold_until = 0.0
        self.warmed_at = self.learned_at = -math.inf

    def state(self, settings: Settings) -> None:
        """The settings state other figures."""
        self.settings = settings
        self.many = many(settings.balancers)

    # -- the list
    def update(self, now: float, event: Membership) -> None:
        """Takes over a list or changes to it. A cached list may be stale, but it is all there is."""
        if event.kind is ListKind.FAILED:
            return
        if event.kind is not ListKind.DELTA:
            named = {m.node for m in event.members}
            for node in self.nodes.values():
                if node.id not in named:
                    node.member = Member(node.id, State.GONE, node.member.kind, node.member.zone)
        for member in event.members:
            known = self.nodes.get(member.node)
            if known is None:
                self.nodes[member.node] = Node(member)
            elif member.ready_at_ms > known.member.ready_at_ms and member.state is READY:
                known.restart(member)
            else:
                known.member = member
        # Ids are ever new where machines are replaced: what is gone is forgotten once nothing is out there.
        self.nodes = {i: n for i, n in self.nodes.items() if n.in_flight or n.member.state is not State.GONE}
        kind = self.settings.origin_kind
        live = [n for n in self.nodes.values() if n.member.state is READY]
        self.origin = next((n for n in live if n.member.kind == kind), None) if kind is not None else None
        self.ready = sorted((n for n in live if kind is None or n.member.kind != kind), key=lambda n: n.id)
        cold_ms = self.settings.rules.cold_ms
        for node in self.nodes.values():
            started = node.member.ready_at_ms
            node.cold_until = started + cold_ms if started > 0 and cold_ms > 0 else -math.inf
        self.cold_until = max((n.member.ready_at_ms for n in self.ready if n.member.ready_at_ms > 0),
                              default=-math.inf) + cold_ms
        self.reweigh(now)

    def cold(self, node: Node, now: float) -> bool:
        """Whether it started less than the stated warm-up ago."""
        return now < node.cold_until

    def warmth(self, node: Node, now: float) -> float:
        """The share of its capacity that a server has for certain, by the stated warm-up."""
        rules, started = self.settings.rules, node.member.ready_at_ms
        if not self.cold(node, now):
            return 1.0
        return rules.cold_share + (1 - rules.cold_share) * max(0.0, now - started) / rules.cold_ms

    def reweigh(self, now: float) -> None:
        self.warmed_at = now
        for node in self.ready:
            kind = self.kind_weight.get(node.member.kind, 1.0)
            node.weight = max(node.member.size, 1e-6) * kind * self.warmth(node, now)
        self.total_weight = sum(n.weight for n in self.ready)
        self.memo.clear()
        self.whole.clear()
        self._lay_out()

    def tick(self, now: float) -> None:
        """Warms up cold servers and corrects the weights of kinds."""
        for node in self.ready:
            node.throttle.fade()
        if self.many and self.ready:
            slows = sorted(self._faded(n, now) for n in self.ready)
            self.usual = max(1.0, slows[(len(slows) - 1) // 2])
        if now >= self.learned_at + LEARN_MS:
            self.learned_at = now
            if self._learn():
                self.reweigh(now)
        if self.warmed_at < self.cold_until and now >= self.warmed_at + WARM_STEP_MS:
            self.reweigh(now)

    def _learn(self) -> bool:
        means = {k: s / n for k, (s, n) in sorted(self.kind_slow.items()) if n >= LEARN_SURE ** 2}
        if len(means) < 2:
            return False
        middle = sum(math.log(m) for m in means.values()) / len(means)
        changed = False
        for kind, mean in means.items():
            off = math.log(mean) - middle
            # At a trickle chance would let each instance's weights wander off, and with them the homes: acts
            # only on what the number of answers proves, then counts afresh.
            if abs(off) > max(LEARN_BAND, LEARN_SURE / math.sqrt(self.kind_slow[kind][1])):
                weight = self.kind_weight.get(kind, 1.0) * math.exp(-LEARN_GAIN * off)
                self.kind_weight[kind] = min(max(weight, LEARN_MIN), LEARN_MAX)
                changed = True
        for seen in self.kind_slow.values():
            fading = 0.0 if changed else 0.5 if seen[1] > LEARN_KEEP else 1.0
            seen[:] = [seen[0] * fading, seen[1] * fading]
        return changed

    # -- the order
    def ranked(self, key: str, places: int) -> list[Node]:
        """The first places of the weighted rendezvous order of a key. All servers are hashed at once, as
        lanes of one long integer, and only those are scored that can be among so few places."""
        point = mixed(int(key, 16) & MASK if _hex(key) else mixed(key))
        lanes = ((self.salts ^ (self.ones * point)) * 0x9E3779B97F4A7C15) & self.lows
        lanes = ((lanes ^ ((lanes >> 32) & self.halves)) * 0xD6E8FEB86659FD93) & self.lows
        hashes = memoryview(lanes.to_bytes(LANE * len(self.ready), "little")).cast("Q").tolist()[::2]
        few, drawn = bool(self.cuts) and places <= PLACES, list(zip(hashes, self.ready, strict=True))
        if few:
            drawn = [pair for pair, cut in zip(drawn, self.cuts, strict=True) if pair[0] >= cut]
        scored = sorted([(-math.log(((x >> 11) + 1) * 1.1102230246251565e-16) / node.weight, node.id, node)
                         for x, node in drawn])
        if few and (len(scored) < places or scored[places - 1][0] >= self.sure):
            return self.ranked(key, len(self.ready))[:places]
        return [node for _, _, node in scored[:places]]

    def _lay_out(self) -> None:
        """What `ranked` computes with, for the servers and their weights as they are now."""
        count = len(self.ready)
        self.salts = int.from_bytes(b"".join(n.salt.to_bytes(LANE, "little") for n in self.ready), "little")
        self.ones = int.from_bytes((1).to_bytes(LANE, "little") * count, "little")
        self.lows, self.halves = self.ones * MASK, self.ones * (MASK >> 32)
        self.cuts = []
        if count > 2 * SCORED:  # of that many servers about SCORED score under this, whatever the weights
            under = SCORED / self.total_weight
            self.cuts = [int(math.exp(-n.weight * under) * 2.0**64) for n in self.ready]
            self.sure = under * (1 - 1e-6)  # who is cut off scores no less, but for the rounding

    def order(self, key: str) -> list[Node]:
        """The remembered head of a key's order."""
        places = self.memo.get(key)
        return places if places is not None else self._remember(self.memo, MEMO_MAX, key, PLACES)

    def all_places(self, key: str) -> list[Node]:
        """The whole order of a key, remembered: for hot keys, which are few."""
        places = self.whole.get(key)
        return places if places is not None else self._remember(self.whole, WHOLE_MAX, key, len(self.ready))

    def _remember(self, memo: dict[str, list[Node]], most: int, key: str, places: int) -> list[Node]:
        if len(memo) >= most:
            memo.clear()
        memo[key] = order = self.ranked(key, places)
        return order

    def share(self, node: Node) -> float:
        """The part of all traffic that is due to a server."""
        return node.weight / self.total_weight if self.total_weight > 0 else 1.0

    def healthy(self, node: Node, now: float, cls: str = "") -> bool:
        """Not ejected, not mute for this class, and no trial of one that was is out."""
        if node.ejected_until > now or (node.trial and node.in_flight > 0):
            return False
        return cls not in node.mutes or not node.mutes[cls].bars(now)

    def bounded(self, node: Node) -> bool:
        """At its load bound: far over its due part of what this instance has in flight."""
        return node.in_flight >= BOUND_MIN and node.in_flight > BOUND * self.in_flight * self.share(node) + 1

    def _slow(self, now: float, node: Node, ratio: float) -> None:
        """Counts how slow an answer was, as a multiple of what is usual for its class."""
        node.slow = self._faded(node, now)
        node.slow += SLOW_GAIN * (ratio - node.slow)
        node.slow_at = now

    def _faded(self, node: Node, now: float) -> float:
        """How slow a server was by its answers, as far as that still counts."""
        return 1 + (node.slow - 1) * math.exp((node.slow_at - now) / SLOW_MS)

    def slowness(self, node: Node, now: float) -> float:
        """How slow a server is, as a multiple of the fleet. By Little's law that is also what all balancers
        together have in flight there, as a multiple of what is due to it."""
        slow = self._faded(node, now)
        if node.out and self.latency:
            slow = max(slow, (now - next(iter(node.out.values()))) / self.latency)
        return slow

    def burden(self, node: Node, now: float) -> float:
        """What a server has in hand for what it can do. One of many balancers has nothing in flight at most:
        by its own counts alone each of them would choose the largest, whatever that suffers from."""
        load = (node.in_flight + 1) / max(node.weight, 1e-9)
        return load * self.slowness(node, now) if self.many else load

    def crowded(self, node: Node, now: float, draw: float) -> bool:
        """The load bound where many balancers each have too little in flight to see it. A part goes there all
        the same: all act on the same signs, and would else leave and come back together."""
        slow = self.slowness(node, now) / self.usual
        return slow > BOUND and draw >= (BOUND / slow) ** SLOW_POWER

    def overspent(self, node: Node, now: float, rate: float) -> bool:
        """A cold server whose budget with this instance is spent: a short burst must not push it over."""
        if not self.cold(node, now):
            return False
        rules, sent = self.settings.rules, node.cold_sent
        while sent and sent[0] <= now - rules.fall_ms:
            sent.popleft()
        due = rate * rules.fall_ms * self.share(node)
        return len(sent) >= max(COLD_BURST, COLD_SLACK * rules.overload_factor * due)

    # -- what was seen
    def sent(self, node: Node, now: float, cls: str, attempt: tuple[int, int]) -> None:
        node.out[attempt] = now
        if cls in node.mutes:
            node.mutes[cls].out += 1
        node.in_flight += 1
        self.in_flight += 1
        if now < node.cold_until:
            node.cold_sent.append(now)

    def ended(self, now: float, node: Node, outcome: Outcome, cls: RequestClass) -> None:
        """An attempt ended: latencies and health follow from it."""
        node.out.pop((outcome.id, outcome.attempt), None)
        if node.in_flight > 0:
            node.in_flight -= 1
        if self.in_flight > 0:
            self.in_flight -= 1
        status = outcome.status
        if status is not OK or node.mutes:
            self._listen(now, node, outcome, cls)
        if status in ANSWERED:
            node.answered_at = now  # whatever it says, it is alive
            if now - outcome.latency_ms > node.newest:
                node.newest = now - outcome.latency_ms
            node.fails, node.ejected_until, node.pause, node.trial = 0, 0.0, EJECT_MS, False
        elif status is CONNECT_FAILED or (
                status in (TIMEOUT, RESET) and node.answered_at < now - outcome.latency_ms):
            self._failed(now, node, status is CONNECT_FAILED)
        ratio = 0.0
        if status is OK and outcome.hit is not False:
            took = outcome.latency_ms
            mean = self.class_latency.get(cls.name, took)
            self.class_latency[cls.name] = mean + SMOOTH * (took - mean)
            self.latency += SMOOTH * (took - self.latency) if self.latency else took
            ratio = min(took / (mean if mean > 0.1 else 0.1), REFUSED_RATIO)
        elif status in (FULL, TIMEOUT):  # else a kind that answers little in time seems fast
            ratio = REFUSED_RATIO
        if ratio:
            if self.many:
                self._slow(now, node, ratio)
            total = self.kind_slow.get(node.member.kind)
            if total is None:
                total = self.kind_slow[node.member.kind] = [0.0, 0.0]
            total[0] += ratio
            total[1] += 1

    def _listen(self, now: float, node: Node, outcome: Outcome, of: RequestClass) -> None:
        """A server may hang or err on one class alone, or on most of it; the answers it gives to others, and
        the few to this one, must not hide that. In a queue nothing sent half the wait later is served."""
        cls, status, took = of.name, outcome.status, outcome.latency_ms
        mute = node.mutes.get(cls)
        if mute is not None:
            mute.out = max(0, mute.out - 1)
            if status in (OK, MISS):
                mute.fails, mute.until = mute.fails - 1, 0.0
                if mute.fails <= 0:
                    del node.mutes[cls]
        if status in (TIMEOUT, CANCELLED):
            trial = mute is not None and mute.until > 0
            long = took > min(SECOND_AFTER * self.class_latency.get(cls, math.inf), of.aim_ms)
            if node.newest <= now - took / 2 or not (long or trial):
                return  # a queue, or too little time to tell
        elif status not in (ERROR, RESET):
            return
        mute = node.mutes.setdefault(cls, Mute())
        mute.fails = min(mute.fails + 1, MUTE_AFTER)
        if mute.fails < MUTE_AFTER or mute.until > now:
            return
        silent = sum(1 for n in self.ready if cls in n.mutes and n.mutes[cls].until > now)
        if silent < MUTE_SHARE * len(self.ready):
            mute.until = now + mute.pause
            mute.pause = min(mute.pause * 2, EJECT_MAX_MS)

    def _failed(self, now: float, node: Node, refused: bool) -> None:
        """No sign of life. Servers that are merely slow look like this too, then many at once do: time-outs
        alone eject only a part of the fleet; a connection that cannot be opened is proof enough."""
        node.fails += 1
        if node.fails < SUSPECT_AFTER or node.ejected_until > now:
            return
        if refused or sum(n.ejected_until > now for n in self.ready) < QUIET_SHARE * len(self.ready):
            node.ejected_until = now + node.pause
            node.pause = min(node.pause * 2, EJECT_MAX_MS)
            node.trial = True


def _numbers(told: Mapping[str, Any]) -> dict[str, float]:
    values = {str(name): float(value) for name, value in told.items()}
    if not all(math.isfinite(value) and value >= 0 for value in values.values()):
        raise ValueError("expected finite numbers that are not negative")
    return values


def _hex(key: str) -> bool:
    return len(key) <= 16 and all(c in "0123456789abcdef" for c in key)


class Pending:
    """A request in hand: its attempts, and what the rules still allow for it."""

    __slots__ = ("request", "cls", "deadline", "arriving", "out", "tried", "may_have_run", "attempts", "most",
                 "done", "streaming")

    def __init__(self, request: Request, cls: RequestClass, most: int) -> None:
        self.request, self.cls, self.most = request, cls, most
        self.deadline, self.arriving = request.deadline, request.arriving
        self.out: dict[int, tuple[Node, float]] = {}
        self.tried: tuple[Node, ...] = ()
        self.may_have_run: tuple[tuple[Node, float], ...] = ()
        self.attempts = 0
        self.done = False
        self.streaming = False

    def ended(self, attempt: int, status: Status) -> None:
        sent = self.out.pop(attempt)
        if not status.never_ran:
            self.may_have_run = *self.may_have_run, sent

    def allows(self, node: Node, now: float) -> bool:
        if node.member.state is not READY:
            return False
        return not self.attempts or (node not in self.tried and self.may_go(node, now))

    def may_go(self, node: Node, now: float) -> bool:
        if self.cls.effect is SAFE:
            return True
        earlier = [*self.may_have_run, *self.out.values()]
        if self.cls.effect is UNSAFE or not earlier:
            return not earlier
        group, here = self.cls.group, node.member
        for other, sent_at in earlier:
            there = other.member
            if now >= sent_at + self.cls.window_ms - WINDOW_MARGIN_MS:
                return False
            if group is not Group.ALL and there.zone != here.zone:
                return False
            if group is Group.CELL and there.cell != here.cell:
                return False
        return True

    def may_refuse(self) -> bool:
        if self.cls.effect is SAFE or not (self.may_have_run or self.out):
            return True
        return self.cls.effect is Effect.KEYED and self.cls.group is Group.ALL


class Balancer:
    """Decides what becomes of every request of one balancer."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.rng = random.Random(seed)
        self._take_over(settings)
        self.fleet = Fleet(settings)
        self.topk = FastTopK(self.rng)
        self.threshold = Threshold()
        self.pending: dict[int, Pending] = {}
        self.factoring = False
        self.spread: dict[str, tuple[int, float]] = {}
        self.turn = 0
        self.retries = RETRY_SAVED
        self.throttle = Throttle()
        self.mean_cost = 0.0  # work for worth of a usual request
        self.arrivals = 0
        self.rate = 0.0  # own requests, a millisecond
        self.sampled_at = self.aged_at = now
        self.started = False
        self.backoff = BACKOFF_MS
        self.actions: list[Action] = []
        self.seconds: list[tuple[float, int]] = []  # when which request may have a second copy; a heap
        self.seconds_at = math.inf  # the timer that is set for the first of them

    def _take_over(self, settings: Settings) -> None:
        self.settings = settings
        self.aside = settings.origin_kind is not None
        self.by_work = settings.worth_by_work
        self.second_copies, self.max_attempts = settings.limits.second_copies, settings.limits.max_attempts
        self.classes = {c.name: c for c in settings.classes}

    def _retune(self, now: float, settings: Settings) -> None:
        """New settings: what was learned of servers, keys and times stays. Requests in hand keep their class,
        and no more attempts than were allowed then; where fewer are now, that holds for them too."""
        self._take_over(settings)
        self.fleet.state(settings)
        for pending in self.pending.values():
            pending.most = min(pending.most, self.max_attempts)
        self.fleet.update(now, Membership(ListKind.DELTA))  # warm-up times may be others

    # -- what a process that takes this one's place is told
    def learned(self, now: float) -> dict[str, Any]:
        """What need not be learned anew, in plain values; times are counted from now."""
        fleet, topk = self.fleet, self.topk
        return {
            "kinds": fleet.kind_weight, "slow": fleet.kind_slow, "classes": fleet.class_latency,
            "load": list(self.threshold.history), "cost": self.mean_cost,
            "rate": self.rate / 2,  # both serve for a while, and the two count cold servers' budgets apart
            "topk": {name: getattr(topk, name) for name in TOLD},
            "spread": {key: width for key, (width, _) in self.spread.items()}, "factoring": self.factoring,
            "health": {str(n.id): [n.fails, max(n.ejected_until - now, 0.0), n.pause, n.trial]
                       for n in fleet.nodes.values() if n.fails}}

    def learn(self, now: float, told: Mapping[str, Any]) -> None:
        """Begins with what another process has learned; an error leaves all as it was."""
        kinds, classes = _numbers(told["kinds"]), _numbers(told["classes"])
        slow = {str(kind): [float(s), float(n)] for kind, (s, n) in told["slow"].items()}
        load, rate, cost = [float(n) for n in told["load"]], float(told["rate"]), float(told["cost"])
        topk = FastTopK(self.rng)
        for name in ("counters", "historical", "prior"):
            setattr(topk, name, _numbers(told["topk"][name]))
        topk.compared, topk.seen = float(told["topk"]["compared"]), float(told["topk"]["seen"])
        if topk.historical.keys() != topk.prior.keys():
            raise ValueError("the historical list has keys without their rates")
        topk.fifo = [str(key) for key in told["topk"]["fifo"]][-FIFO_MAX:]
        topk.held = dict(Counter(topk.fifo))
        spread = {str(key): (int(width), now) for key, width in told["spread"].items()}
        health = [(self.fleet.nodes.get(int(node)), int(fails), float(out), float(pause), bool(trial))
                  for node, (fails, out, pause, trial) in told["health"].items()]
        self.fleet.kind_weight, self.fleet.kind_slow, self.fleet.class_latency = kinds, slow, classes
        self.threshold.history.extend(load)
        self.threshold.load = load[-1] if load else 0.0
        self.rate, self.mean_cost, self.topk = rate, cost, topk
        topk.fit(rate)
        self.spread, self.factoring = spread, bool(told["factoring"])
        for node, fails, out, pause, trial in health:
            if node is not None:
                node.fails, node.pause, node.trial = fails, min(pause, EJECT_MAX_MS), trial
                node.ejected_until = now + min(out, EJECT_MAX_MS)
        self.fleet.reweigh(now)

    def handle(self, now: float, event: Event) -> list[Action]:
        """Answers one event."""
        actions: list[Action] = []
        self.actions = actions
        if isinstance(event, Request):
            self._request(now, event)
        elif isinstance(event, Outcome):
            self._outcome(now, event)
        else:
            self._other(now, event)
        return actions

    def avoided(self, now: float) -> int:
        """How many servers of the list get no requests now: they drain, are ejected until later, or are still
        on trial."""
        return sum(n.member.state is not READY or not self.fleet.healthy(n, now)
                   for n in self.fleet.nodes.values() if n.member.state is not State.GONE)

    def _other(self, now: float, event: Event) -> None:
        match event:
            case Membership():
                self._membership(now, event)
            case Timer(token):
                self._timer(now, token)
            case ClientGone(request):
                self._close(request)
            case Retune(settings):
                self._retune(now, settings)
            case Arrived(request, deadline):
                if request in self.pending:
                    self.pending[request].deadline, self.pending[request].arriving = deadline, False
            case Spent(request):
                if request in self.pending:
                    self.pending[request].most = self.pending[request].attempts
            case StreamStarted(request, attempt):
                if request in self.pending:
                    self.pending[request].streaming = True
                    self._cancel(self.pending[request], attempt)

    # -- the list of servers
    def _membership(self, now: float, event: Membership) -> None:
        self.fleet.update(now, event)
        if not self.started:
            self.started = True
            self.actions.append(SetTimer(now + SAMPLE_MS, "sample"))
            if self.settings.list_on_request:  # jitter: the list cannot answer every instance at once
                early = min(WATCH_EARLY * self.settings.rules.ask_within_ms,
                            WATCH_SPACING_MS * self.settings.balancers)
                self.actions.append(SetTimer(now + self.rng.random() * early, "watch"))
        elif event.kind is ListKind.FAILED:
            if self.settings.list_on_request:
                self.actions.append(SetTimer(now + self.backoff * (0.5 + self.rng.random()), "watch"))
                self.backoff = min(self.backoff * 2, BACKOFF_MAX_MS)
        else:
            self.backoff = BACKOFF_MS

    def _timer(self, now: float, token: str) -> None:
        if token == "watch":
            self.actions.append(Watch())
        elif token == "second":
            self._seconds(now)
        elif token == "sample":
            self.actions.append(SetTimer(now + SAMPLE_MS, "sample"))
            self._sample(now)

    # -- the mechanism
    def _sample(self, now: float) -> None:
        span = max(now - self.sampled_at, 1.0)
        self.rate += 0.1 * (self.arrivals / span - self.rate) if self.rate else self.arrivals / span
        self.arrivals, self.sampled_at = 0, now
        self.fleet.tick(now)
        self.throttle.fade()
        self.topk.fit(self.rate)
        if now >= self.aged_at + AGE_MS:
            self.aged_at = now
            self.topk.age()
        high = self.threshold.sample(self.fleet.in_flight)
        needed = {key: self._needed(key, rate, high) for key, rate in self.topk.hot().items()}
        factoring = high or any(n > 1 for n in needed.values())
        if factoring and not self.factoring:
            self.topk.switch()
        elif self.factoring and not factoring:
            self.topk.normal()
        self.factoring = factoring
        spread = {}
        for key, servers in needed.items():
            now_at, since = self.spread.get(key, (1, -math.inf))
            if servers > now_at and now >= since + WIDEN_MS:
                now_at, since = min(servers, now_at + max(1, now_at // 2)), now
            elif servers < now_at and now >= since + WIDEN_MS:
                now_at, since = now_at - 1, now
            spread[key] = now_at, since
        self.spread = spread

    def _needed(self, key: str, rate: float, high: bool) -> int:
        """How many servers a hot key needs. A key that is more than its home's due traffic swamps it below
        every threshold of load: that counts as load by itself."""
        room, servers = 0.0, 0
        for node in self.fleet.order(key):
            servers += 1
            room += self.fleet.share(node)
            if room * SWAMP >= rate:
                break
        else:
            servers = max(servers, math.ceil(rate / SWAMP * len(self.fleet.ready)))
        return max(servers, LOAD_SPREAD if high else 1)

    def _candidates(self, now: float, request: Request) -> Iterable[Node]:
        fleet = self.fleet
        if request.key is None:
            pair = self.rng.sample(fleet.ready, min(2, len(fleet.ready)))
            return [*sorted(pair, key=lambda n: n.in_flight / max(n.weight, 1e-9)), *fleet.ready]
        order = fleet.order(request.key)
        if request.write and not self.aside:  # no copy serves it, at home or elsewhere: the least busy may
            return sorted(order, key=lambda n: fleet.burden(n, now))
        if not self.factoring:
            return order
        width, _ = self.spread.get(request.key, (1, 0.0))
        if width < 2:
            return order
        order = fleet.all_places(request.key)
        head: list[Node] = []
        for node in order:
            if fleet.warmth(node, now) >= 1.0 and fleet.healthy(node, now, request.cls):
                head.append(node)
                if len(head) == width:
                    break
        if not head:
            return order
        self.turn += 1
        first = self.turn % len(head)
        return [*head[first:], *head[:first], *order]

    def _pick(self, now: float, pending: Pending) -> Node | None:
        """The first server in order that is allowed, healthy and under its bound; failing that, the first
        that is allowed."""
        fleet, cls = self.fleet, pending.cls.name
        fallback: Node | None = None
        for node in self._candidates(now, pending.request):
            if not pending.allows(node, now):
                continue
            # That it is warm and idle, as is usual, is asked before the calls: they cost as much again.
            if fleet.healthy(node, now, cls) and (now >= node.cold_until
                                                  or not fleet.overspent(node, now, self.rate)):
                if ((node.in_flight < BOUND_MIN or not fleet.bounded(node)) and not self._held_back(node)
                        and not (fleet.many and fleet.crowded(node, now, self.rng.random()))):
                    return node
                fallback = fallback or node
        if fallback is not None:
            return fallback
        rest = [n for n in fleet.ready if pending.allows(n, now)]  # the remembered places are out
        well = [n for n in rest if fleet.healthy(n, now, cls) and not fleet.overspent(n, now, self.rate)]
        return min(well or rest, key=lambda n: (n.in_flight, n.id)) if rest else None

    def _held_back(self, node: Node) -> bool:
        """A server that answers too little in time while the fleet at large does well: part of its requests
        go to their next place. In trouble of the whole fleet nothing moves: that would only cost fetches."""
        if self.throttle.pressure() > 0 or self.rng.random() >= node.throttle.pressure():
            return False
        node.throttle.count(False)
        return True

    def _request(self, now: float, request: Request) -> None:
        cls = self.classes.get(request.cls)
        if cls is None:  # no work comes of it: it says nothing of load, nor of what is asked for
            self.actions.append(Refuse(request.id))
            return
        number, key = request.id, request.key
        if number in self.pending:
            return
        self.arrivals += 1
        if key is not None:
            self.topk.observe(key)
        pending = self.pending[number] = Pending(request, cls, self.max_attempts)
        if self._shed(request, cls):
            self.throttle.count(False)
            self._finish(pending)
            return
        self.retries = min(self.retries + RETRY_SHARE, RETRY_SAVED)  # shed ones must earn no retries in a jam
        if self.aside and request.write:
            self._send(now, pending, self.fleet.origin)
        else:
            self._send(now, pending, self._pick(now, pending))
        usual = self.fleet.class_latency.get(cls.name)
        if (self.second_copies and pending.out and usual and SECOND_AFTER * usual < cls.aim_ms
                and cls.effect is not UNSAFE):
            due = now + SECOND_AFTER * usual
            heappush(self.seconds, (due, number))
            if due < self.seconds_at or now > self.seconds_at:  # the caller may have lost one or be late
                self.seconds_at = due
                self.actions.append(SetTimer(due, "second"))

    def _seconds(self, now: float) -> None:
        """Second copies for what has waited so long; then a timer for the first that is still in hand."""
        queue, pending = self.seconds, self.pending
        while queue and (queue[0][0] <= now or queue[0][1] not in pending):
            due, number = heappop(queue)
            if due <= now:
                self._second(now, number)
        if queue and not now < self.seconds_at <= queue[0][0]:  # else one is set: two would stay two for good
            self.seconds_at = queue[0][0]
            self.actions.append(SetTimer(self.seconds_at, "second"))
        elif self.seconds_at <= now:
            self.seconds_at = math.inf

    def _second(self, now: float, request_id: int) -> None:
        """A second copy where what was sent half the wait later is served: a queue would delay both."""
        pending = self.pending.get(request_id)
        if (pending is None or pending.done or pending.streaming or pending.arriving or len(pending.out) != 1
                or self.retries < 1):
            return
        (first, sent_at), = pending.out.values()
        more = pending.attempts < pending.most and self.throttle.pressure() <= 0
        node = self._pick(now, pending) if more and first.newest > (sent_at + now) / 2 else None
        if node is not None:
            self.retries -= 1
            self._send(now, pending, node)

    def _shed(self, request: Request, cls: RequestClass) -> bool:
        work = 1.0 if self.by_work else self.fleet.class_latency.get(cls.name, cls.aim_ms)
        cost = max(work, 0.1) / max(cls.worth, 1e-3)
        self.mean_cost += SMOOTH * (cost - self.mean_cost) if self.mean_cost else cost
        pressure, draw = self.throttle.pressure(), self.rng.random()
        # as a power, all classes together shed no more than the pressure, yet all of it if need be
        return pressure > 0 and draw >= math.pow(1 - pressure, cost / self.mean_cost)

    def _send(self, now: float, pending: Pending, node: Node | None) -> None:
        left, attempts = pending.deadline - now, pending.attempts
        if (node is None or left <= 0 or attempts >= pending.most or node.member.state is not READY
                or (attempts and not pending.may_go(node, now))):
            self._finish(pending)
            return
        timeout = None
        if node.fails or node.mutes:
            mute = node.mutes.get(pending.cls.name)
            doubtful = node.fails > 0 or (mute is not None and mute.fails >= SUSPECT_AFTER)
            if (doubtful and attempts + 1 < pending.most and pending.cls.effect is SAFE
                    and not pending.arriving):
                timeout = left * TRIAL_SHARE
        pending.out[attempts] = node, now
        pending.attempts = attempts + 1
        pending.tried = *pending.tried, node
        self.fleet.sent(node, now, pending.cls.name, (pending.request.id, attempts))
        self.actions.append(Send(pending.request.id, node.id, timeout))

    def _outcome(self, now: float, outcome: Outcome) -> None:
        pending = self.pending.get(outcome.id)
        if pending is None or outcome.attempt not in pending.out:
            return
        node, status = pending.out[outcome.attempt][0], outcome.status
        self.fleet.ended(now, node, outcome, pending.cls)
        pending.ended(outcome.attempt, status)
        if status not in SILENT:
            in_time = status is OK and outcome.latency_ms <= COMFORT * pending.cls.aim_ms
            node.throttle.count(in_time)
            self.throttle.count(in_time)
        if status is OK or outcome.closed:
            pending.done = True
            if pending.out:
                self._cancel(pending)
        elif not pending.done and not pending.out and not pending.streaming:
            self._further(now, pending, status)
        if pending.done and not pending.out:
            self.pending.pop(outcome.id, None)

    def _further(self, now: float, pending: Pending, status: Status) -> None:
        """A failed attempt: one more where it can still help and the budget has room, else the answer."""
        if status is MISS:
            self._send(now, pending, self.fleet.origin)
            return
        if self.throttle.pressure() > 0 and not pending.request.write and not status.never_ran:
            self._finish(pending)
            return
        # What never ran has cost no work: only the most attempts allowed bound it, so that one full or dead
        # server does not have its requests refused while others have room.
        short = not status.never_ran and self.retries < 1
        if short or pending.deadline - now <= self.settings.tick_ms:
            self._finish(pending)
            return
        self.retries -= 0 if status.never_ran else 1
        if self.aside and pending.request.write:
            self._finish(pending)
            return
        self._send(now, pending, self._pick(now, pending))

    def _finish(self, pending: Pending) -> None:
        if not pending.done:
            pending.done = True
            refuse = pending.may_refuse()
            self.actions.append(Refuse(pending.request.id) if refuse else Fail(pending.request.id))
        if not pending.out:
            self.pending.pop(pending.request.id, None)

    def _close(self, request_id: int) -> None:
        pending = self.pending.get(request_id)
        if pending is not None:
            pending.done = True
            self._cancel(pending)
            if not pending.out:
                del self.pending[request_id]

    def _cancel(self, pending: Pending, but: int = -1) -> None:
        if self.settings.limits.cancel:
            self.actions.extend(Cancel(pending.request.id, a) for a in pending.out if a != but)
