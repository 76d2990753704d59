"""Runs proxies, nodes and load generators in separate processes, so that none uses another's core."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from multiprocessing.connection import Connection
from pathlib import Path

import uvloop

from standins.discovery import StandInDiscovery, node_entry
from standins.load import OpenLoop, RequestSource, Tally, closed_loop
from standins.node import NodeProfile, StandInNode
from standins.ports import free_ports

ROOT = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 20.0
CLASSES = [
    {"Name": "read", "ObjectiveMs": 300, "DeadlineMs": 1000, "Effect": "repeatable"},
    {"Name": "pay", "ObjectiveMs": 300, "DeadlineMs": 1000, "Effect": "once", "Points": 8},
]


def _serve_nodes(pipe: Connection, first: int, count: int, work: NodeProfile) -> None:
    async def serve() -> None:
        nodes = [StandInNode(f"s-{i}", work) for i in range(first, first + count)]
        for node in nodes:
            await node.start()
        pipe.send([(node.name, node.address) for node in nodes])
        await asyncio.get_running_loop().run_in_executor(None, pipe.recv)

    uvloop.run(serve())


def _serve_registry(pipe: Connection, fleet: list[tuple[str, str]]) -> None:
    async def serve() -> None:
        registry = StandInDiscovery()
        await registry.start()
        for name, address in fleet:
            await registry.put(node_entry(name, address))
        pipe.send(registry.address)
        await asyncio.get_running_loop().run_in_executor(None, pipe.recv)

    uvloop.run(serve())


@contextmanager
def _run_child(target: Callable[..., None], *arguments: object) -> Iterator[Connection]:
    """Starts a process and yields the pipe to it; sends it "end" at the exit of the context."""
    parent_end, child_end = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=target, args=(child_end, *arguments))
    process.start()
    try:
        yield parent_end
    finally:
        parent_end.send("end")
        process.join(5)
        process.kill()


@contextmanager
def run_nodes(
    count: int, work: NodeProfile, processes: int = 1
) -> Iterator[tuple[str, list[tuple[str, str]]]]:
    """Runs nodes in processes of their own; yields the discovery address and each node's name and address."""
    with ExitStack() as stack:
        edges = [count * i // processes for i in range(processes + 1)]
        pipes = [
            stack.enter_context(_run_child(_serve_nodes, first, last - first, work))
            for first, last in zip(edges, edges[1:], strict=False)
        ]
        fleet = [node for pipe in pipes for node in pipe.recv()]
        discovery = stack.enter_context(_run_child(_serve_registry, fleet))
        yield discovery.recv(), fleet


def wait_ready(port: int, process: subprocess.Popen[bytes], expected: bytes = b" 200 ") -> None:
    """Waits until a proxy's readiness answer contains `expected`; RuntimeError if it exits or never does."""
    give_up_at = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < give_up_at:
        if process.poll() is not None:
            raise RuntimeError(f"the proxy ended with {process.returncode}")
        try:
            with socket.create_connection(("127.0.0.1", port), 1) as sock:
                sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: localhost\r\n\r\n")
                if expected in sock.recv(100):
                    return
        except OSError:
            pass
        time.sleep(0.02)
    raise RuntimeError("the proxy was never ready")


@contextmanager
def platform_proxy(
    discovery: str,
    fleet: list[tuple[str, str]],
    root: Path = ROOT,
    watch_stalls: bool = False,
    console: int = 0,
) -> Iterator[tuple[int, subprocess.Popen[bytes]]]:
    """Runs the platform's proxy of the checkout at `root`; yields its port and its process.

    `watch_stalls` lets `read_stalls` measure the event loop; `console` is the console's port, 0 for none.
    """
    (port,) = free_ports(1)
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        console_setting = {"console": f"127.0.0.1:{console}"} if console else {}
        json.dump(
            {
                **console_setting,
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": discovery,
                "seed": "1",
                "limits": {"memory_mb": 192, "sockets": 4096},
                "known": {"revision": 1, "complete": True, "members": [node_entry(n, a) for n, a in fleet]},
                "settings": {"Classes": CLASSES, "Limits": {"MaxAttempts": 3, "SecondCopies": True}},
            },
            file,
        )
        file.flush()
        yield from _run_proxy(port, "notchflow", [], watch_stalls, root, ROUTER_CONFIG=file.name)


@contextmanager
def forwarder(
    fleet: list[tuple[str, str]], watch_stalls: bool = False
) -> Iterator[tuple[int, subprocess.Popen[bytes]]]:
    """Runs a plain forwarder to a fleet; yields its port and its process."""
    (port,) = free_ports(1)
    # Nodes do not serve this path; any HTTP answer shows that the forwarder works.
    arguments = [str(port), *(address for _, address in fleet)]
    yield from _run_proxy(port, "standins.forwarder", arguments, watch_stalls, expected=b"HTTP/1.1 ")


def _run_proxy(
    port: int,
    module: str,
    arguments: list[str],
    watch_stalls: bool,
    root: Path = ROOT,
    expected: bytes = b" 200 ",
    **settings: str,
) -> Iterator[tuple[int, subprocess.Popen[bytes]]]:
    command = [*(["benchmarks.stall"] if watch_stalls else []), module, *arguments]
    process = subprocess.Popen(
        [sys.executable, "-m", *command],
        cwd=root,
        stdout=subprocess.PIPE,
        env=os.environ | settings | {"PYTHONPATH": str(root)},
        stderr=subprocess.DEVNULL,
    )
    try:
        wait_ready(port, process, expected)
        yield port, process
    finally:
        process.kill()
        process.wait()
        if process.stdout is not None:
            process.stdout.close()


def read_stalls(process: subprocess.Popen[bytes]) -> tuple[float, float]:
    """Returns the longest stalls of a process's event loop since the last call, in milliseconds.

    The first is in wall time, the second in the processor time of the process itself.
    """
    assert process.stdout is not None
    process.send_signal(signal.SIGUSR1)
    wall, cpu = process.stdout.readline().split()
    return float(wall), float(cpu)


def memory_mb(process: subprocess.Popen[bytes]) -> float:
    """Returns the resident memory of a process in MiB."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def cpu_s(process: subprocess.Popen[bytes]) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def run_closed_loop(port: int, connections: int, seconds: float, draw: RequestSource) -> Tally:
    """Runs a closed loop of clients in this process."""
    return uvloop.run(closed_loop([port], connections, seconds, draw))


def platform_draw(keys: int = 2000, seed: int = 1) -> Callable[[], tuple[bytes, str]]:
    """Returns a function that draws reads of uniformly distributed keys in the platform's format."""
    rng = random.Random(seed)
    requests = [
        b"GET /api/%016x HTTP/1.1\r\nHost: a\r\nX-Call-Id: %016x\r\nX-Call-Class: read\r\n"
        b"X-Budget: 1.0\r\n\r\n" % (i * 2654435761, i)
        for i in range(keys)
    ]
    return lambda: (requests[int(rng.random() * keys)], "read")


def _serve_loads(pipe: Connection, seed: int) -> None:
    """Runs the loads received from the pipe until "end" arrives."""
    draws: dict[int, RequestSource] = {}
    while (command := pipe.recv()) != "end":
        ports, connections, per_second, seconds, keys = command
        draw = draws.setdefault(keys, platform_draw(keys, seed))
        if per_second is None:
            pipe.send(uvloop.run(closed_loop(ports, connections, seconds, draw)))
        else:
            pipe.send(uvloop.run(OpenLoop(ports[0], per_second, draw).run(seconds)))


class LoadGenerators:
    """Load generators in several processes, as one would be slower than the proxy that it measures."""

    def __init__(self, processes: int) -> None:
        self.stack = ExitStack()
        self.pipes = [self.stack.enter_context(_run_child(_serve_loads, seed)) for seed in range(processes)]

    def __enter__(self) -> LoadGenerators:
        return self

    def __exit__(self, *error: object) -> None:
        self.stack.close()

    def run(self, ports: Sequence[int], connections: int, seconds: float, keys: int) -> Tally:
        """Runs a closed loop with `connections` divided among the processes and the ports."""
        used = self.pipes[:connections]
        for i, pipe in enumerate(used):
            share = connections * (i + 1) // len(used) - connections * i // len(used)
            pipe.send((list(ports), share, None, seconds, keys))
        return merge_tallies([pipe.recv() for pipe in used])

    def paced(self, ports: Sequence[int], per_second: float, seconds: float, keys: int) -> Tally:
        """Runs an open loop with the rate divided among all processes."""
        for pipe in self.pipes:
            pipe.send((list(ports), 0, per_second / len(self.pipes), seconds, keys))
        return merge_tallies([pipe.recv() for pipe in self.pipes])


def merge_tallies(tallies: Sequence[Tally]) -> Tally:
    """Merges tallies that were recorded at the same time."""
    total = Tally()
    for tally in tallies:
        for label, counts in tally.statuses.items():
            total.statuses.setdefault(label, Counter()).update(counts)
        for label, values in tally.latencies.items():
            total.latencies.setdefault(label, []).extend(values)
        total.retry_after.update(tally.retry_after)
        total.lost += tally.lost
        total.duration_s = max(total.duration_s, tally.duration_s)
    return total
