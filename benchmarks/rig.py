"""Processes for benchmarks: proxies, boxes and loads each on their own, so that none takes another's core."""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from multiprocessing.connection import Connection
from pathlib import Path

import uvloop

from standins.box import Box, Work
from standins.discovery import Registry, member
from standins.load import Draw, Tally, closed_loop
from standins.ports import free_ports

ROOT = Path(__file__).resolve().parent.parent
READY_S = 20.0
CLASSES = [{"Name": "read", "ObjectiveMs": 300, "DeadlineMs": 1000, "Effect": "repeatable"},
           {"Name": "pay", "ObjectiveMs": 300, "DeadlineMs": 1000, "Effect": "once", "Points": 8}]


def _boxes(pipe: Connection, count: int, work: Work) -> None:
    async def serve() -> None:
        boxes = [Box(f"s-{i}", work) for i in range(count)]
        registry = Registry()
        await registry.start()
        for box in boxes:
            await box.start()
            await registry.put(member(box.name, box.address))
        pipe.send((registry.address, [(b.name, b.address) for b in boxes]))
        await asyncio.get_running_loop().run_in_executor(None, pipe.recv)

    uvloop.run(serve())


@contextmanager
def boxes(count: int, work: Work) -> Iterator[tuple[str, list[tuple[str, str]]]]:
    """A fleet in a process of its own: the address of its discovery, and each box's name and address."""
    here, there = multiprocessing.Pipe()
    process = multiprocessing.get_context("spawn").Process(target=_boxes, args=(there, count, work))
    process.start()
    try:
        yield here.recv()
    finally:
        here.send("end")
        process.join(5)
        process.kill()


def wait_ready(port: int, process: subprocess.Popen[bytes]) -> None:
    until = time.monotonic() + READY_S
    while time.monotonic() < until:
        if process.poll() is not None:
            raise RuntimeError(f"the proxy ended with {process.returncode}")
        try:
            with socket.create_connection(("127.0.0.1", port), 1) as sock:
                sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: localhost\r\n\r\n")
                if b" 200 " in sock.recv(100):
                    return
        except OSError:
            pass
        time.sleep(0.02)
    raise RuntimeError("the proxy was never ready")


@contextmanager
def platform_proxy(discovery: str, fleet: list[tuple[str, str]],
                   root: Path = ROOT) -> Iterator[tuple[int, subprocess.Popen[bytes]]]:
    """The platform's proxy of a checkout: its port and its process."""
    port, = free_ports(1)
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump({"name": "n0", "listen": f"127.0.0.1:{port}", "discovery": discovery, "seed": "1",
                   "limits": {"memory_mb": 192, "sockets": 4096},
                   "known": {"revision": 1, "complete": True, "members": [member(n, a) for n, a in fleet]},
                   "settings": {"Classes": CLASSES,
                                "Limits": {"MaxAttempts": 3, "SecondCopies": True}}}, file)
        file.flush()
        process = subprocess.Popen([sys.executable, "-m", "notchflow"], cwd=root,
                                   env=os.environ | {"ROUTER_CONFIG": file.name, "PYTHONPATH": str(root)},
                                   stderr=subprocess.DEVNULL)
        try:
            wait_ready(port, process)
            yield port, process
        finally:
            process.kill()
            process.wait()


def memory_mb(process: subprocess.Popen[bytes]) -> float:
    """Resident memory of a process, MiB."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def cpu_s(process: subprocess.Popen[bytes]) -> float:
    """Processor time of a process so far, seconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def load(port: int, connections: int, seconds: float, draw: Draw) -> Tally:
    """A closed loop from this process."""
    return uvloop.run(closed_loop(port, connections, seconds, draw))


def platform_draw(keys: int = 2000, seed: int = 1) -> Callable[[], tuple[bytes, str]]:
    """Reads with keys drawn evenly, as the platform's clients send them."""
    rng = random.Random(seed)
    requests = [b"GET /api/%016x HTTP/1.1\r\nHost: a\r\nX-Call-Id: %016x\r\nX-Call-Class: read\r\n"
                b"X-Budget: 1.0\r\n\r\n" % (i * 2654435761, i) for i in range(keys)]
    return lambda: (rng.choice(requests), "read")
