"""Records that describe a deployment and a simulated day. Times are milliseconds, rates are per second."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from notchflow.interface import Effect, Limits, RequestClass, Rules, Settings


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of node: cores, speed of a core (1 does a millisecond of work in a millisecond), relative share
    of the fleet, and queue places per core."""

    name: str
    cores: int
    speed: float
    part: float = 1.0
    queue_per_core: int = 16

    def __post_init__(self) -> None:
        if self.cores < 1 or self.speed <= 0 or self.part <= 0 or self.queue_per_core < 0:
            raise ValueError(f"kind {self.name}: {self.cores} cores, speed {self.speed}, part {self.part}")


@dataclass(frozen=True, slots=True)
class Fleet:
    """Nodes (`boxes`) and proxies. `hit_ms`: work of a request; `miss_ms`: additional work of a read that
    misses. The origin runs `origin_cores` fetches at a time, of `origin_ms` each on average. `keys_held`:
    cache size of a node in keys; `connections_per_core`: its connection limit."""

    boxes: int = 30
    proxies: int = 60
    kinds: tuple[Kind, ...] = (Kind("large", 4, 1.8, 0.5), Kind("small", 2, 0.9, 0.5))
    zones: tuple[str, ...] = ("a", "b")
    same_zone_ms: float = 0.3
    cross_zone_ms: float = 8.0
    hit_ms: float = 40.0
    miss_ms: float = 20.0
    origin_ms: float = 60.0
    origin_cores: int = 60
    keys_held: int = 4_000
    connections_per_core: int = 70
    handshake_ms: float = 1.4
    idle_ms: float = 10_000.0
    notice_ms: tuple[float, float] = (1_500.0, 4_500.0)  # until discovery notices that a node is silent
    told_ms: tuple[float, float] = (200.0, 900.0)  # until a proxy gets a change that a node announces

    def __post_init__(self) -> None:
        for name in ("boxes", "proxies", "origin_cores", "keys_held", "connections_per_core"):
            if getattr(self, name) < 1:
                raise ValueError(f"fleet.{name}: must be at least 1, is {getattr(self, name)}")
        if not self.kinds or not self.zones:
            raise ValueError("fleet: needs a kind and a zone")


@dataclass(frozen=True, slots=True)
class Load:
    """Client traffic. `load`: share of the capacity of all warm nodes if every read is a hit. `skew`: Zipf
    exponent; `hot`: share of the traffic for one hot key. `uneven`: sigma of the log-normal share of a
    proxy."""

    load: float = 0.6
    keys: int = 20_000
    skew: float = 0.9
    hot: float = 0.0
    uneven: float = 0.6
    writes: float = 0.1
    retries: int = 2
    backoff_ms: tuple[float, float] = (15.0, 120.0)
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)  # start, end, rate multiplier

    def __post_init__(self) -> None:
        if self.load <= 0 or self.keys < 1 or not 0 <= self.hot < 1 or not 0 <= self.writes <= 1:
            raise ValueError(f"load: {self}")


FaultKind = Literal["drain", "kill", "zone", "slow", "restart", "massacre"]


@dataclass(frozen=True, slots=True)
class Event:
    """A scheduled event. `share`: share of the nodes, or of the proxies, that it affects; `lasts`: its
    duration, or the time over which it is spread. drain: nodes are replaced in steps; kill: nodes fall silent
    and come back cold; zone: the same for all nodes of one zone; slow: nodes take `times` as long; restart:
    proxies are restarted in steps; massacre: proxies are restarted at once."""

    at: float
    what: FaultKind
    share: float = 1.0
    lasts: float = 0.0
    times: float = 4.0

    def __post_init__(self) -> None:
        if not 0 < self.share <= 1 or self.at < 0 or self.lasts < 0:
            raise ValueError(f"event {self.what}: share {self.share}, at {self.at}, lasts {self.lasts}")


CLASSES = {
    c.name: c
    for c in (
        RequestClass("read", 500.0, 1_200.0, worth=2.0),
        RequestClass("pay", 500.0, 1_200.0, worth=8.0, effect=Effect.UNSAFE),
    )
}
RULES = Rules(
    answer_slack_ms=20.0,
    drain_grace_ms=250.0,
    cold_share=0.15,
    cold_ms=20_000.0,
    overload_factor=4.0,
    fall_ms=1_000.0,
)
LIMITS = Limits(max_attempts=3, second_copies=True, cancel=True, connect_timeout_ms=150.0)


@dataclass(frozen=True, slots=True)
class Day:
    """One simulation run: deployment, traffic, events, length in milliseconds and seed."""

    fleet: Fleet = field(default_factory=Fleet)
    load: Load = field(default_factory=Load)
    events: tuple[Event, ...] = ()
    length: float = 15_000.0
    seed: int = 1
    rules: Rules = RULES
    limits: Limits = LIMITS

    def settings(self, zone: str) -> Settings:
        """Settings of a proxy in a zone."""
        return Settings(
            classes=tuple(CLASSES.values()),
            zone=zone,
            balancers=self.fleet.proxies,
            rules=self.rules,
            limits=self.limits,
        )
