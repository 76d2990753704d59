"""Compares the proxy with a plain forwarder: `python -m benchmarks.hot_path [--quick] [--only PART...]`.

The platform's proxy, a plain forwarder that parses both sides and decides nothing (standins/forwarder.py),
and direct requests to the nodes take turns in one run, so that variations of the machine affect all of them;
ratios are of medians over the rounds. Clients and nodes run in three processes each, the proxy in one.

- grid: 1, 32 and 512 connections, answers of 0.5 and 32 KiB, with 10 nodes.
- failing: 30% of the attempts rejected by the nodes.
- boxes: 1,000 nodes compared with 10 (two proxies in turn, each with its fleet).
- keys: 1, 2,000 and 100,000 distinct keys (the proxy caches the node order of 20,000).
- steady: two minutes at 80% of the capacity: the longest stall of the event loop, and then the growth of the
  resident memory (ten minutes; --quick takes 10 and 20 seconds).
- inner: the proxy's own work for a request, without sockets (benchmarks/inner.py), by nodes and keys.
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
from standins.node import NodeProfile

MIN_RATIO = 0.40  # of the forwarder's throughput, at 32 connections and 0.5 KiB
MAX_P99_RATIO = 5.0  # times the forwarder's 99th percentile, same load
MAX_STALL_MS = 10.0
MIN_NODES_RATIO = 0.7  # of the throughput with 10 nodes
MAX_GROWTH_MB = 2.0
CAPACITY_SHARE = 0.8
SETTLE_S = 3.0
KEYS = 2_000

Row = tuple[str, float, str]


@dataclass(frozen=True, slots=True)
class Scale:
    """Durations and repetitions of the parts."""

    rounds: int
    round_s: float
    stall_s: float
    memory_s: float
    inner_batches: int


FULL = Scale(rounds=8, round_s=2.0, stall_s=120.0, memory_s=600.0, inner_batches=40)
QUICK = Scale(rounds=3, round_s=0.8, stall_s=10.0, memory_s=20.0, inner_batches=10)


@dataclass(slots=True)
class PeerRounds:
    """Measurements of one peer, an element per round."""

    requests_per_s: list[float]
    p50: list[float]
    p99: list[float]
    served: list[float]
    cpu_us: list[float]

    @classmethod
    def empty(cls) -> PeerRounds:
        """Returns an instance without rounds."""
        return cls([], [], [], [], [])

    def rows(self, name: str) -> list[Row]:
        """Returns the medians over the rounds."""
        return [
            (f"{name}_throughput", statistics.median(self.requests_per_s), "requests/s"),
            (f"{name}_p50", statistics.median(self.p50), "ms"),
            (f"{name}_p99", statistics.median(self.p99), "ms"),
        ]


@dataclass(frozen=True, slots=True)
class Peer:
    """A target of the load: its name, its ports, and its process if its processor time is counted."""

    name: str
    ports: Sequence[int]
    process: subprocess.Popen[bytes] | None = None


def measure_peers(
    loads: LoadGenerators, peers: Sequence[Peer], scale: Scale, connections: int, keys: int = KEYS
) -> dict[str, PeerRounds]:
    """Loads each peer once per round, in alternating order; returns the measurements by peer."""
    series = {peer.name: PeerRounds.empty() for peer in peers}
    for peer in peers:
        loads.run(peer.ports, connections, 0.5, keys)  # warm-up of connections and caches
    for order in itertools.islice(itertools.cycle([peers, peers[::-1]]), scale.rounds):
        for peer in order:
            before = cpu_s(peer.process) if peer.process is not None else 0.0
            tally = loads.run(peer.ports, connections, scale.round_s, keys)
            after = cpu_s(peer.process) if peer.process is not None else 0.0
            answered = sum(sum(c.values()) for c in tally.statuses.values())
            measured = series[peer.name]
            measured.requests_per_s.append(answered / tally.duration_s)
            measured.p50.append(tally.percentile(0.5))
            measured.p99.append(tally.percentile(0.99))
            measured.served.append(tally.served / max(answered, 1))
            measured.cpu_us.append((after - before) / max(answered, 1) * 1e6)
    return series


@contextmanager
def run_peers(count: int, work: NodeProfile) -> Iterator[list[Peer]]:
    """Runs `count` nodes, a proxy and a forwarder; yields the proxy, the forwarder and the nodes as peers."""
    with ExitStack() as stack:
        discovery, fleet = stack.enter_context(run_nodes(count, work, processes=3))
        port, process = stack.enter_context(platform_proxy(discovery, fleet))
        bare_port, bare = stack.enter_context(forwarder(fleet))
        direct = [int(address.rpartition(":")[2]) for _, address in fleet]
        yield [Peer("proxy", [port], process), Peer("forwarder", [bare_port], bare), Peer("direct", direct)]


def compare_peers(label: str, series: dict[str, PeerRounds]) -> list[Row]:
    """Returns the rows of all peers and the ratios of the proxy to the forwarder."""
    rows = [row for name, measured in series.items() for row in measured.rows(f"{label}_{name}")]
    proxy, bare = series["proxy"], series["forwarder"]
    rows.append(
        (
            f"{label}_ratio",
            statistics.median(proxy.requests_per_s) / statistics.median(bare.requests_per_s),
            "",
        )
    )
    rows.append((f"{label}_p99_ratio", statistics.median(proxy.p99) / statistics.median(bare.p99), ""))
    rows.append((f"{label}_proxy_cpu", min(proxy.cpu_us), "us/request"))
    rows.append((f"{label}_forwarder_cpu", min(bare.cpu_us), "us/request"))
    return rows


def measure_grid(loads: LoadGenerators, scale: Scale) -> list[Row]:
    """Measures all combinations of connections and answer sizes."""
    rows: list[Row] = []
    for body in (512, 32 << 10):
        with run_peers(10, NodeProfile(body_bytes=body)) as peers:
            for connections in (1, 32, 512):
                label = f"c{connections}_b{body}"
                rows += compare_peers(label, measure_peers(loads, peers, scale, connections))
    return rows


def measure_failing(loads: LoadGenerators, scale: Scale) -> list[Row]:
    """Measures all peers with nodes that reject 30% of the attempts."""
    with run_peers(10, NodeProfile(reject_fraction=0.3)) as peers:
        series = measure_peers(loads, peers, scale, 32)
    rows = compare_peers("failing30", series)
    rows += [
        (f"failing30_{name}_served", statistics.median(measured.served), "")
        for name, measured in series.items()
    ]
    return rows


def measure_many_nodes(loads: LoadGenerators, scale: Scale) -> list[Row]:
    """Compares a proxy with 1,000 nodes with one with 10 nodes."""
    with ExitStack() as stack:
        peers = []
        for count in (10, 1_000):
            discovery, fleet = stack.enter_context(run_nodes(count, NodeProfile(), processes=2))
            port, process = stack.enter_context(platform_proxy(discovery, fleet))
            peers.append(Peer(f"boxes{count}", [port], process))
        series = measure_peers(loads, peers, scale, 32)
    rows = [row for name, measured in series.items() for row in measured.rows(name)]
    rows += [(f"{name}_cpu", min(measured.cpu_us), "us/request") for name, measured in series.items()]
    few, many = series["boxes10"], series["boxes1000"]
    rows.append(
        (
            "boxes1000_to_10",
            statistics.median(many.requests_per_s) / statistics.median(few.requests_per_s),
            "",
        )
    )
    return rows


def measure_many_keys(loads: LoadGenerators, scale: Scale) -> list[Row]:
    """Measures a proxy by the number of distinct keys."""
    rows: list[Row] = []
    with ExitStack() as stack:
        discovery, fleet = stack.enter_context(run_nodes(10, NodeProfile(), processes=3))
        port, process = stack.enter_context(platform_proxy(discovery, fleet))
        for keys in (1, KEYS, 100_000):
            measured = measure_peers(loads, [Peer("proxy", [port], process)], scale, 32, keys)["proxy"]
            rows += measured.rows(f"keys{keys}")
            rows.append((f"keys{keys}_cpu", min(measured.cpu_us), "us/request"))
    return rows


def measure_steady(loads: LoadGenerators, scale: Scale) -> list[Row]:
    """Measures the proxy at 80% of its capacity, measured just before, and the forwarder at the same rate."""
    rows: list[Row] = []
    with ExitStack() as stack:
        discovery, fleet = stack.enter_context(run_nodes(10, NodeProfile(), processes=3))
        port, process = stack.enter_context(platform_proxy(discovery, fleet, watch_stalls=True))
        bare_port, bare = stack.enter_context(forwarder(fleet, watch_stalls=True))
        loads.run([port], 32, 1.0, KEYS)
        capacity = statistics.median(
            t.served / t.duration_s for t in (loads.run([port], 32, scale.round_s, KEYS) for _ in range(3))
        )
        rate = CAPACITY_SHARE * capacity
        rows.append(("steady_rate", rate, "requests/s"))
        for name, target_port, target in (("proxy", port, process), ("forwarder", bare_port, bare)):
            connecting: list[tuple[float, float]] = []
            # The stalls of the first seconds, while hundreds of clients connect, are reported separately.
            start = threading.Timer(
                SETTLE_S, lambda target=target, connecting=connecting: connecting.append(read_stalls(target))
            )
            start.start()
            tally = loads.paced([target_port], rate, SETTLE_S + scale.stall_s, KEYS)
            start.join()
            wall, cpu = read_stalls(target)
            rows.append((f"steady_{name}_stall_connecting", connecting[0][0], "ms"))
            rows += [
                (f"steady_{name}_stall", wall, "ms"),
                (f"steady_{name}_stall_cpu", cpu, "ms"),
                (f"steady_{name}_p50", tally.percentile(0.5), "ms"),
                (f"steady_{name}_p99", tally.percentile(0.99), "ms"),
                (f"steady_{name}_p999", tally.percentile(0.999), "ms"),
                (f"steady_{name}_lost", float(tally.lost), "requests"),
            ]
        rows += measure_memory(lambda: loads.paced([port], rate, scale.memory_s / 10, KEYS), process)
    return rows


def measure_memory(run_load: Callable[[], object], process: subprocess.Popen[bytes]) -> list[Row]:
    """Measures the resident memory after each of ten runs of the load.

    The growth counts from the second run on, as the first fills bounded memory (cached keys, buffers of the
    allocator).
    """
    resident_mb = []
    started_at = time.monotonic()
    for _ in range(10):
        run_load()
        resident_mb.append(memory_mb(process))
    span_s = time.monotonic() - started_at
    return [
        ("memory_span", span_s, "s"),
        ("memory_first", resident_mb[0], "MiB"),
        ("memory_last", resident_mb[-1], "MiB"),
        ("memory_growth", max(resident_mb[2:]) - resident_mb[1], "MiB"),
    ]


def measure_own_work(scale: Scale) -> list[Row]:
    """Measures the proxy's own work per request by nodes and keys."""
    rows: list[Row] = []
    for count, keys in ((10, 1), (10, 2_000), (10, 100_000), (1_000, 2_000), (1_000, 100_000)):
        best, median = inner.cost_us(count, keys, scale.inner_batches)
        rows += [
            (f"inner_boxes{count}_keys{keys}_best", best, "us/request"),
            (f"inner_boxes{count}_keys{keys}_median", median, "us/request"),
        ]
    return rows


def find_missed_bounds(results: dict[str, float]) -> list[str]:
    """Returns the missed bounds among the rows that were measured."""
    bounds: list[tuple[str, Callable[[float], bool], str]] = [
        ("c32_b512_ratio", lambda v: v >= MIN_RATIO, f"at least {MIN_RATIO} of the forwarder's throughput"),
        (
            "c32_b512_p99_ratio",
            lambda v: v <= MAX_P99_RATIO,
            f"at most {MAX_P99_RATIO} times the forwarder's",
        ),
        ("steady_proxy_stall", lambda v: v < MAX_STALL_MS, f"under {MAX_STALL_MS} ms"),
        ("steady_proxy_lost", lambda v: v == 0, "no request lost"),
        ("memory_growth", lambda v: v <= MAX_GROWTH_MB, f"at most {MAX_GROWTH_MB} MiB"),
        ("boxes1000_to_10", lambda v: v >= MIN_NODES_RATIO, f"at least {MIN_NODES_RATIO}"),
    ]
    return [
        f"{name} is {results[name]:.3f}; wanted: {wanted}"
        for name, is_met, wanted in bounds
        if name in results and not is_met(results[name])
    ]


def main() -> int:
    """Runs the chosen parts and prints the missed bounds; returns the exit code."""
    parts: dict[str, Callable[[LoadGenerators, Scale], list[Row]]] = {
        "inner": lambda _, scale: measure_own_work(scale),
        "grid": measure_grid,
        "failing": measure_failing,
        "boxes": measure_many_nodes,
        "keys": measure_many_keys,
        "steady": measure_steady,
    }
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--quick", action="store_true", help="three minutes instead of twenty")
    options.add_argument("--only", nargs="+", choices=parts, default=list(parts), help="run only these parts")
    arguments = options.parse_args()
    scale = QUICK if arguments.quick else FULL
    results: dict[str, float] = {}
    with LoadGenerators(3) as loads:
        for name in arguments.only:
            for row, value, unit in parts[name](loads, scale):
                results[row] = value
                print(f"{row} = {value:.3f} {unit}".rstrip(), flush=True)
    missed = find_missed_bounds(results)
    for what in missed:
        print(f"missed: {what}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
