"""Soak test with faults drawn from a seed: `python -m benchmarks.soak SEED...`.

Three proxy instances run on loopback in front of the same four nodes. Clients reuse their connections until
the process exits or is killed, which happens no earlier than the documentation permits: 0.7 s plus the
longest deadline after SIGTERM. Meanwhile the instances receive signals, sometimes two at once, their
configuration files are rewritten or truncated, processes are paused for a moment, and nodes drain, hang,
reset their connections or join. In half of the pauses some clients leave during a request and the nodes reset
their connections. For every fourth seed, idle clients use up the descriptors of one instance. The exit code
is 1 if a rule is violated.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any, Final

from benchmarks.rig import ROOT
from benchmarks.soak_checks import Asked, Departure, Heard, Left, Record, Run, Stopped, Violation, check
from notchflow.net.stalls import STALL_CHECK_MS, StallDetector
from standins.discovery import StandInDiscovery, node_entry
from standins.node import Execution, NodeProfile, StandInNode
from standins.ports import free_ports

SPAN_S: Final = 10.0
INSTANCES: Final = 3
NODES: Final = 4
CLIENTS_PER_INSTANCE: Final = 8
IDLE_CLIENTS: Final = 60  # leaves few of the DESCRIPTOR_LIMIT descriptors for other clients
DESCRIPTOR_LIMIT: Final = 96
MEAN_PAUSE_S: Final = 0.03  # between two requests of a client
DEADLINE_S: Final = 1.0
DRAIN_GRACE_S: Final = 0.4
KILL_AFTER_S: Final = DEADLINE_S + 0.7  # after SIGTERM
FRONT_REMOVAL_S: Final = 0.2  # the front opens new connections until this long after SIGTERM
READY_TIMEOUT_S: Final = 20.0
MAX_PAUSE_S: Final = 0.15
LEAVING: Final = 0.5  # probability, for a client with a request in progress while its instance is paused
MAX_LEAVE_DELAY_S: Final = 0.03
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s
NORMAL_WORK: Final = NodeProfile(service_s=0.005, cores=8, body_bytes=200)
HANGING_WORK: Final = NodeProfile(service_s=30.0, cores=64)
LIMITS: Final = {"MaxAttempts": 3, "SecondCopies": True, "Cancel": True}
CLASSES: Final = [
    {"Name": "read", "ObjectiveMs": 200, "DeadlineMs": 1000, "Effect": "repeatable"},
    {"Name": "pay", "ObjectiveMs": 300, "DeadlineMs": 1000, "Effect": "once", "Points": 8},
]


class Instance:
    """One proxy instance and its current process."""

    def __init__(self, soak: Soak, number: int) -> None:
        self.soak, self.name = soak, f"n{number}"
        (self.port,) = free_ports(1)
        self.file = soak.folder / f"{self.name}.json"
        self.process: subprocess.Popen[bytes] | None = None
        self.clients: list[Client] = []
        self.terminated_at = float("inf")  # when SIGTERM was sent, in seconds of the loop

    def write(self, broken: bool = False) -> None:
        """Writes the configuration file; `broken` truncates it to half its length."""
        limits = LIMITS | {"MaxAttempts": self.soak.draw.choice((2, 3))}
        rules = {"DrainGraceMs": DRAIN_GRACE_S * 1e3, "AskWithinMs": 10_000}
        text = json.dumps(
            {
                "name": self.name,
                "listen": f"127.0.0.1:{self.port}",
                "discovery": self.soak.registry.address,
                "seed": str(self.soak.seed),
                "limits": {"memory_mb": 96, "sockets": DESCRIPTOR_LIMIT},
                "settings": {"Classes": CLASSES, "Limits": limits, "Rules": rules},
            }
        )
        self.file.write_text(text[: len(text) // 2] if broken else text)

    async def start(self) -> None:
        """Starts a process and waits until it is ready."""
        self.write()
        settings = {"ROUTER_CONFIG": str(self.file), "PYTHONPATH": str(ROOT)}
        with (self.soak.folder / f"{self.name}.log").open("a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "notchflow"], cwd=ROOT, env=os.environ | settings, stderr=log
            )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._ready():
                await asyncio.sleep(0.02)
        self.terminated_at = float("inf")

    async def _ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            head = await reader.read(100)
            writer.close()
        except OSError:
            return False
        return b" 200 " in head

    def signal(self, *numbers: int) -> None:
        """Sends all of the signals to the process without a pause, if it is running."""
        if self.process is None or self.process.poll() is not None:
            return
        for number in numbers:
            self.process.send_signal(number)
        if signal.SIGTERM in numbers:
            self.terminated_at = self.soak.now()

    async def wait(self) -> None:
        """Waits for the process to exit after SIGTERM, and kills it after KILL_AFTER_S."""
        assert self.process is not None
        terminated_at = self.terminated_at
        while self.process.poll() is None and self.soak.now() < terminated_at + KILL_AFTER_S:
            await asyncio.sleep(0.005)
        code = self.process.poll()
        if code is None:
            self.process.kill()
            self.process.wait()
        self.soak.record.stopped.append(Stopped(self.name, terminated_at, self.soak.now(), code))

    def accepts_connections(self) -> bool:
        """Whether the front opens new connections to this instance."""
        return self.process is not None and self.soak.now() < self.terminated_at + FRONT_REMOVAL_S


class Client:
    """A client of one instance that sends one request at a time on a persistent connection."""

    def __init__(self, soak: Soak, instance: Instance, number: int) -> None:
        self.soak, self.instance = soak, instance
        self.name = f"{instance.name}-{number}"
        self.draw = random.Random(f"{soak.seed} {self.name}")
        self.count = 0
        self.writer: asyncio.StreamWriter | None = None  # set while a request is in progress

    def leave(self, how: Departure) -> None:
        """Ends the connection during a request; does nothing if none is in progress."""
        writer = self.writer
        if writer is None or writer.is_closing():
            return
        self.writer = None
        if how is Departure.HALF_CLOSE:
            writer.write_eof()
        elif how is Departure.CLOSE:
            writer.close()
        else:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        self.soak.record.left.append(Left(f"{self.name}-{self.count}", how, self.soak.now()))

    async def run(self) -> None:
        """Sends requests, reconnecting as needed, until the run is over."""
        while not self.soak.over:
            if not self.instance.accepts_connections():
                await asyncio.sleep(0.01)
                continue
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.instance.port)
            except OSError:
                await asyncio.sleep(0.01)
                continue
            try:
                await self._send_requests(reader, writer)
            finally:
                writer.close()

    async def _send_requests(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first = True
        while not self.soak.over:
            await asyncio.sleep(self.draw.expovariate(1 / MEAN_PAUSE_S))
            if reader.at_eof() or writer.is_closing():
                return  # the end of the connection was seen before a request was sent
            if not await self._send_request(reader, writer, first):
                return
            first = False

    async def _send_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, first: bool
    ) -> bool:
        """Sends one request and records its outcome; returns whether the connection can be reused."""
        self.count += 1
        call_id, unsafe = f"{self.name}-{self.count}", self.draw.random() < 0.2
        budget_s = self.draw.choice((0.05, 0.3, DEADLINE_S))
        method, cls = ("PUT", "pay") if unsafe else ("GET", "read")
        sent_at = self.soak.now()
        writer.write(
            f"{method} /api/{self.draw.randrange(500):016x} HTTP/1.1\r\nHost: a\r\nX-Call-Id: {call_id}\r\n"
            f"X-Call-Class: {cls}\r\nX-Budget: {budget_s}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        status, closing = None, True
        self.writer = writer
        try:
            async with asyncio.timeout(budget_s + 2.0):
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
                await reader.readexactly(length)
            status, closing = int(head[9:12]), b"connection: close" in head
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        left, self.writer = self.writer is None, None
        ended_at = self.soak.now()
        self.soak.record.asked.append(Asked(call_id, unsafe, first, sent_at, budget_s, status, ended_at))
        return not (closing or left)


class Soak:
    """One run with one seed."""

    def __init__(self, seed: int, folder: Path, span_s: float = SPAN_S) -> None:
        self.seed, self.folder, self.span_s = seed, folder, span_s
        self.draw = random.Random(seed)
        self.record = Record(DRAIN_GRACE_S, crowd=seed % 4 == 0)
        self.registry = StandInDiscovery()
        self.nodes: dict[str, StandInNode] = {}
        self.draining: list[str] = []  # they keep serving: a run after the grace period is a violation
        self.over = False
        self.stalls = StallDetector(0.0)  # of this process, in which the nodes run
        self.idle_writers: list[asyncio.StreamWriter] = []

    def now(self) -> float:
        """The loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def run(self) -> list[Violation]:
        """Runs the scenario; returns the violations."""
        await self.registry.start()
        for number in range(NODES):
            await self._add_node(f"s-{number}")
        instances = [Instance(self, number) for number in range(INSTANCES)]
        clients: list[asyncio.Task[None]] = []
        try:
            await asyncio.gather(*(instance.start() for instance in instances))
            if self.record.crowd:
                await self._open_idle_connections(instances[0])
            for instance in instances:
                instance.clients = [Client(self, instance, number) for number in range(CLIENTS_PER_INSTANCE)]
            clients = [
                asyncio.create_task(client.run()) for instance in instances for client in instance.clients
            ]
            clients.append(asyncio.create_task(self._update_stall_detector()))
            async with asyncio.TaskGroup() as disturbances:
                disturbances.create_task(self._disturb_nodes())
                for instance in instances:
                    disturbances.create_task(
                        self._disturb_instance(instance, random.Random(f"{self.seed} {instance.name}"))
                    )
            for instance in instances:
                instance.signal(signal.SIGTERM)
            await asyncio.gather(*(instance.wait() for instance in instances))
            self.over = True
            await asyncio.gather(*clients)
        finally:
            self._stop_all(instances)
        self.record.told = {
            n: self.registry.written_at[n] for n in self.draining if n in self.registry.written_at
        }
        return check(self.record)

    def _stop_all(self, instances: list[Instance]) -> None:
        for instance in instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.kill()
                instance.process.wait()
        for writer in self.idle_writers:
            writer.close()
        for box in self.nodes.values():
            box.stop()
        self.registry.stop()

    async def _add_node(self, name: str, **entry: Any) -> None:
        box = self.nodes[name] = StandInNode(name, NORMAL_WORK)

        def record_run(run: Execution, fields: dict[bytes, bytes], body: bytes) -> None:
            self.record.runs.append(Run(run.id, name, self.now()))

        def record_arrival(number: str) -> None:
            self.record.heard.append(Heard(number, self.stalls.earliest_arrival(self.now() * 1e3) / 1e3))

        box.on_execution, box.on_request_received = record_run, record_arrival
        await box.start()
        await self.registry.put(node_entry(name, box.address, **entry))

    async def _update_stall_detector(self) -> None:
        while not self.over:
            self.stalls.mark_running(self.now() * 1e3)
            await asyncio.sleep(STALL_CHECK_MS / 1e3)

    async def _open_idle_connections(self, instance: Instance) -> None:
        for _ in range(IDLE_CLIENTS):
            _, writer = await asyncio.open_connection("127.0.0.1", instance.port)
            self.idle_writers.append(writer)

    # -- faults
    async def _disturb_instance(self, instance: Instance, draw: random.Random) -> None:
        """Injects faults into one instance for the span; a terminated process is replaced."""
        until = self.now() + self.span_s
        while self.now() < until:
            await asyncio.sleep(draw.uniform(0.1, 1.5))
            await draw.choice((self._reload, self._reload_broken_file, self._pause_process, self._replace))(
                instance, draw
            )

    async def _reload(self, instance: Instance, draw: random.Random) -> None:
        instance.write()
        for _ in range(draw.randint(1, 3)):
            instance.signal(signal.SIGHUP)
            await asyncio.sleep(draw.choice((0.0, 0.01, 0.1)))

    async def _reload_broken_file(self, instance: Instance, draw: random.Random) -> None:
        instance.write(broken=True)
        instance.signal(signal.SIGHUP)
        await asyncio.sleep(draw.uniform(0.05, 0.2))
        instance.write()

    async def _pause_process(self, instance: Instance, draw: random.Random) -> None:
        instance.signal(signal.SIGSTOP)
        if draw.random() < 0.5:
            await asyncio.sleep(draw.uniform(0.0, MAX_LEAVE_DELAY_S))
            for client in instance.clients:
                if draw.random() < LEAVING:
                    client.leave(draw.choice(list(Departure)))
            for box in self.nodes.values():
                box.reset()
        await asyncio.sleep(draw.uniform(0.05, MAX_PAUSE_S))
        instance.signal(signal.SIGCONT)

    async def _replace(self, instance: Instance, draw: random.Random) -> None:
        signal_sets = ((signal.SIGTERM,), (signal.SIGHUP, signal.SIGTERM), (signal.SIGTERM, signal.SIGHUP))
        instance.signal(*draw.choice(signal_sets))
        await instance.wait()
        await instance.start()

    async def _disturb_nodes(self) -> None:
        """Drains, adds, hangs and resets nodes; always leaves at least one node healthy."""
        until, number = self.now() + self.span_s, NODES
        while self.now() < until:
            await asyncio.sleep(self.draw.uniform(0.3, 1.2))
            healthy = [
                name
                for name, box in self.nodes.items()
                if name not in self.draining and box.profile is NORMAL_WORK
            ]
            if len(healthy) < 2:
                continue
            name, fault = healthy[0], self.draw.choice(("drain", "hang", "reset"))
            box = self.nodes[name]
            if fault == "drain":
                self.draining.append(name)
                await self.registry.set_phase(name, "draining")
                number += 1
                await self._add_node(f"s-{number}", up_since_ms=0)
            elif fault == "hang":
                box.profile = HANGING_WORK
                await asyncio.sleep(self.draw.uniform(0.5, 1.5))
                box.profile = NORMAL_WORK
            else:
                box.reset()


async def play(seed: int, span_s: float = SPAN_S) -> tuple[Record, list[Violation]]:
    """Runs one seed; returns the record and the violations."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, Path(folder), span_s)
        return soak.record, await soak.run()


def main() -> int:
    """Runs the seeds one after the other; returns the exit code."""
    parser = argparse.ArgumentParser(description="soak test of proxy instances with faults drawn from a seed")
    parser.add_argument("seeds", nargs="+", type=int)
    parser.add_argument(
        "--seconds",
        type=float,
        default=SPAN_S,
        help="duration of the faults of each seed (default: %(default)s)",
    )
    options = parser.parse_args()
    failed_seeds = 0
    for seed in options.seeds:
        record, violations = asyncio.run(play(seed, options.seconds))
        statuses = [request.status for request in record.asked]
        slowest = max((process.ended_at - process.told_at for process in record.stopped), default=0.0)
        print(
            f"seed {seed}: {len(statuses)} requests, {statuses.count(200)} served, "
            f"{statuses.count(None)} without an answer, {len(record.left)} left, {len(record.stopped)} ends, "
            f"slowest {slowest:.2f} s, {len(violations)} broken",
            flush=True,
        )
        for violation in violations:
            print(f"  {violation.rule}: {violation.what}")
        failed_seeds += bool(violations)
    return int(failed_seeds > 0)


if __name__ == "__main__":
    sys.exit(main())
