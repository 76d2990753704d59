"""What the proxy costs over a bare forwarder: `python -m benchmarks.hot_path [--quick] [--only PART...]`.

The platform's proxy, a bare forwarder that parses both sides and decides nothing (standins/forwarder.py), and
the boxes asked directly take turns in one run, so that they share the machine's good and bad moments; ratios
are of medians over the rounds. Clients and boxes are three processes each, the proxy one.

- grid: 1, 32 and 512 connections, answers of 0.5 and 32 KiB, with 10 boxes.
- failing: 30% of the attempts turned away by the boxes.
- boxes: 1,000 boxes against 10 (two proxies in turn, each on its fleet).
- keys: 1, 2,000 and 100,000 distinct keys (the proxy remembers the order of 20,000).
- steady: two minutes at 80% of the capacity: the loop's longest stall, and the resident memory as it goes on
  (ten minutes; --quick takes 10 and 20 seconds).
- inner: the proxy's own work for a request, without sockets (benchmarks/inner.py), by boxes and keys.
"""

from __future__ import annotations

import argparse
import itertools
import statistics
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

from benchmarks import inner
from benchmarks.rig import LoadGenerators, cpu_s, forwarder, memory_mb, platform_proxy, read_stalls, run_nodes
from standins.box import Work

RATIO_MIN = 0.40  # of the forwarder's throughput, at 32 connections and 0.5 KiB
P99_MAX = 5.0  # times the forwarder's 99th percentile there
STALL_MAX_MS = 10.0
BOXES_MIN = 0.7  # of the throughput with 10 boxes
GROWTH_MAX_MB = 2.0
CAPACITY_SHARE = 0.8
SETTLE_S = 3.0
KEYS = 2_000

Row = tuple[str, float, str]


@dataclass(frozen=True, slots=True)
class Scale:
    """How long each part takes."""

    rounds: int
    round_s: float
    stall_s: float
    memory_s: float
    inner_batches: int


FULL = Scale(rounds=8, round_s=2.0, stall_s=120.0, memory_s=600.0, inner_batches=40)
QUICK = Scale(rounds=3, round_s=0.8, stall_s=10.0, memory_s=20.0, inner_batches=10)


@dataclass(slots=True)
class Series:
    """One peer's rounds."""

    speed: list[float]
    p50: list[float]
    p99: list[float]
    served: list[float]
    cpu_us: list[float]

    @classmethod
    def empty(cls) -> Series:
        return cls([], [], [], [], [])

    def rows(self, name: str) -> list[Row]:
        return [
            (f"{name}_throughput", statistics.median(self.speed), "requests/s"),
            (f"{name}_p50", statistics.median(self.p50), "ms"),
            (f"{name}_p99", statistics.median(self.p99), "ms"),
        ]


@dataclass(frozen=True, slots=True)
class Peer:
    """What is asked in a round: its name, its ports, and its process where its cost is counted."""

    name: str
    ports: Sequence[int]
    process: subprocess.Popen[bytes] | None = None


def take_turns(
    loads: LoadGenerators, peers: Sequence[Peer], scale: Scale, connections: int, keys: int = KEYS
) -> dict[str, Series]:
    """Each peer once a round, the order turned round every time."""
    series = {peer.name: Series.empty() for peer in peers}
    for peer in peers:
        loads.run(peer.ports, connections, 0.5, keys)  # warm: connections, memo
    for order in itertools.islice(itertools.cycle([peers, peers[::-1]]), scale.rounds):
        for peer in order:
            before = cpu_s(peer.process) if peer.process is not None else 0.0
            tally = loads.run(peer.ports, connections, scale.round_s, keys)
            after = cpu_s(peer.process) if peer.process is not None else 0.0
            answered = sum(sum(c.values()) for c in tally.statuses.values())
            one = series[peer.name]
            one.speed.append(answered / tally.span_s)
            one.p50.append(tally.percentile(0.5))
            one.p99.append(tally.percentile(0.99))
            one.served.append(tally.served / max(answered, 1))
            one.cpu_us.append((after - before) / max(answered, 1) * 1e6)
    return series


@contextmanager
def three(count: int, work: Work) -> Iterator[list[Peer]]:
    """The proxy, the forwarder and the boxes themselves."""
    with ExitStack() as stack:
        discovery, fleet = stack.enter_context(run_nodes(count, work, processes=3))
        port, process = stack.enter_context(platform_proxy(discovery, fleet))
        bare_port, bare = stack.enter_context(forwarder(fleet))
        direct = [int(address.rpartition(":")[2]) for _, address in fleet]
        yield [Peer("proxy", [port], process), Peer("forwarder", [bare_port], bare), Peer("direct", direct)]


def compared(label: str, series: dict[str, Series]) -> list[Row]:
    rows = [row for name, one in series.items() for row in one.rows(f"{label}_{name}")]
    proxy, bare = series["proxy"], series["forwarder"]
    rows.append((f"{label}_ratio", statistics.median(proxy.speed) / statistics.median(bare.speed), ""))
    rows.append((f"{label}_p99_ratio", statistics.median(proxy.p99) / statistics.median(bare.p99), ""))
    rows.append((f"{label}_proxy_cpu", min(proxy.cpu_us), "us/request"))
    rows.append((f"{label}_forwarder_cpu", min(bare.cpu_us), "us/request"))
    return rows


def grid(loads: LoadGenerators, scale: Scale) -> list[Row]:
    rows: list[Row] = []
    for body in (512, 32 << 10):
        with three(10, Work(body=body)) as peers:
            for connections in (1, 32, 512):
                label = f"c{connections}_b{body}"
                rows += compared(label, take_turns(loads, peers, scale, connections))
    return rows


def failing(loads: LoadGenerators, scale: Scale) -> list[Row]:
    with three(10, Work(failing=0.3)) as peers:
        series = take_turns(loads, peers, scale, 32)
    rows = compared("failing30", series)
    rows += [(f"failing30_{name}_served", statistics.median(one.served), "") for name, one in series.items()]
    return rows


def many_boxes(loads: LoadGenerators, scale: Scale) -> list[Row]:
    with ExitStack() as stack:
        peers = []
        for count in (10, 1_000):
            discovery, fleet = stack.enter_context(run_nodes(count, Work(), processes=2))
            port, process = stack.enter_context(platform_proxy(discovery, fleet))
            peers.append(Peer(f"boxes{count}", [port], process))
        series = take_turns(loads, peers, scale, 32)
    rows = [row for name, one in series.items() for row in one.rows(name)]
    rows += [(f"{name}_cpu", min(one.cpu_us), "us/request") for name, one in series.items()]
    few, many = series["boxes10"], series["boxes1000"]
    rows.append(("boxes1000_to_10", statistics.median(many.speed) / statistics.median(few.speed), ""))
    return rows


def many_keys(loads: LoadGenerators, scale: Scale) -> list[Row]:
    rows: list[Row] = []
    with ExitStack() as stack:
        discovery, fleet = stack.enter_context(run_nodes(10, Work(), processes=3))
        port, process = stack.enter_context(platform_proxy(discovery, fleet))
        for keys in (1, KEYS, 100_000):
            one = take_turns(loads, [Peer("proxy", [port], process)], scale, 32, keys)["proxy"]
            rows += one.rows(f"keys{keys}")
            rows.append((f"keys{keys}_cpu", min(one.cpu_us), "us/request"))
    return rows


def steady(loads: LoadGenerators, scale: Scale) -> list[Row]:
    """At 80% of what the proxy has just been able to do; the forwarder, at the same rate, is the peer."""
    rows: list[Row] = []
    with ExitStack() as stack:
        discovery, fleet = stack.enter_context(run_nodes(10, Work(), processes=3))
        port, process = stack.enter_context(platform_proxy(discovery, fleet, watch_stalls=True))
        bare_port, bare = stack.enter_context(forwarder(fleet, watch_stalls=True))
        loads.run([port], 32, 1.0, KEYS)
        capacity = statistics.median(
            t.served / t.span_s for t in (loads.run([port], 32, scale.round_s, KEYS) for _ in range(3))
        )
        rate = CAPACITY_SHARE * capacity
        rows.append(("steady_rate", rate, "requests/s"))
        for name, at, one in (("proxy", port, process), ("forwarder", bare_port, bare)):
            begun: list[tuple[float, float]] = []
            # The first seconds, in which hundreds of clients connect at once, are told apart.
            start = threading.Timer(SETTLE_S, lambda one=one, begun=begun: begun.append(read_stalls(one)))
            start.start()
            tally = loads.paced([at], rate, SETTLE_S + scale.stall_s, KEYS)
            start.join()
            wall, cpu = read_stalls(one)
            rows.append((f"steady_{name}_stall_connecting", begun[0][0], "ms"))
            rows += [
                (f"steady_{name}_stall", wall, "ms"),
                (f"steady_{name}_stall_cpu", cpu, "ms"),
                (f"steady_{name}_p50", tally.percentile(0.5), "ms"),
                (f"steady_{name}_p99", tally.percentile(0.99), "ms"),
                (f"steady_{name}_p999", tally.percentile(0.999), "ms"),
                (f"steady_{name}_lost", float(tally.lost), "requests"),
            ]
        rows += memory(lambda: loads.paced([port], rate, scale.memory_s / 10, KEYS), process)
    return rows


def memory(burst: Callable[[], object], process: subprocess.Popen[bytes]) -> list[Row]:
    """Resident memory after each tenth of the time; the growth from the second on, as the first fills what is
    bounded (remembered keys, buffers of the allocator)."""
    seen = []
    begun = time.monotonic()
    for _ in range(10):
        burst()
        seen.append(memory_mb(process))
    span = time.monotonic() - begun
    return [
        ("memory_span", span, "s"),
        ("memory_first", seen[0], "MiB"),
        ("memory_last", seen[-1], "MiB"),
        ("memory_growth", max(seen[2:]) - seen[1], "MiB"),
    ]


def own_work(scale: Scale) -> list[Row]:
    rows: list[Row] = []
    for count, keys in ((10, 1), (10, 2_000), (10, 100_000), (1_000, 2_000), (1_000, 100_000)):
        best, median = inner.cost_us(count, keys, scale.inner_batches)
        rows += [
            (f"inner_boxes{count}_keys{keys}_best", best, "us/request"),
            (f"inner_boxes{count}_keys{keys}_median", median, "us/request"),
        ]
    return rows


def missed(got: dict[str, float]) -> list[str]:
    """The bars that the figures miss, of those that were measured."""
    bars: list[tuple[str, Callable[[float], bool], str]] = [
        ("c32_b512_ratio", lambda v: v >= RATIO_MIN, f"at least {RATIO_MIN} of the forwarder's throughput"),
        ("c32_b512_p99_ratio", lambda v: v <= P99_MAX, f"at most {P99_MAX} times the forwarder's"),
        ("steady_proxy_stall", lambda v: v < STALL_MAX_MS, f"under {STALL_MAX_MS} ms"),
        ("steady_proxy_lost", lambda v: v == 0, "no request lost"),
        ("memory_growth", lambda v: v <= GROWTH_MAX_MB, f"at most {GROWTH_MAX_MB} MiB"),
        ("boxes1000_to_10", lambda v: v >= BOXES_MIN, f"at least {BOXES_MIN}"),
    ]
    return [
        f"{name} is {got[name]:.3f}; wanted: {want}"
        for name, holds, want in bars
        if name in got and not holds(got[name])
    ]


def main() -> int:
    parts: dict[str, Callable[[LoadGenerators, Scale], list[Row]]] = {
        "inner": lambda _, scale: own_work(scale),
        "grid": grid,
        "failing": failing,
        "boxes": many_boxes,
        "keys": many_keys,
        "steady": steady,
    }
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--quick", action="store_true", help="three minutes instead of twenty")
    options.add_argument("--only", nargs="+", choices=parts, default=list(parts), help="these parts alone")
    given = options.parse_args()
    scale = QUICK if given.quick else FULL
    got: dict[str, float] = {}
    with LoadGenerators(3) as loads:
        for name in given.only:
            for row, value, unit in parts[name](loads, scale):
                got[row] = value
                print(f"{row} = {value:.3f} {unit}".rstrip(), flush=True)
    short = missed(got)
    for what in short:
        print(f"missed: {what}")
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
