"""How soon the console answers, whatever the load: `python -m benchmarks.console [--quick]`.

The loop is kept at 100% by a closed loop of 256 connections, while 200 callers stay on the console and say
nothing or half a call, coming back as they are dropped. Its peers in the same run are the console of a proxy
that has nothing else to do, and the readiness on the clients' listener under the same load. Exits with 1
where the slowest answer of the console under load took 500 ms or more, or one was missing or wrong.
"""

from __future__ import annotations

import argparse
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from benchmarks.rig import LoadGenerators, cpu_s, platform_proxy, run_nodes
from standins.box import Work
from standins.ports import free_ports

SLOWEST_MAX_MS = 500.0
SILENT = 200
CONNECTIONS = 256
EVERY_S = 0.05


def ask(port: int, path: str) -> tuple[float, bool]:
    """Milliseconds until the whole answer, and whether it is yes."""
    begun = time.monotonic()
    try:
        with socket.create_connection(("127.0.0.1", port), 5) as sock:
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode())
            data = b""
            while piece := sock.recv(1 << 16):
                data += piece
        return (time.monotonic() - begun) * 1e3, b" 200 " in data[:20]
    except OSError:
        return (time.monotonic() - begun) * 1e3, False


@contextmanager
def silent(port: int) -> Iterator[None]:
    """So many callers that say nothing or half a call, for as long as it lasts."""
    over = threading.Event()

    def stay() -> None:
        held: list[socket.socket] = []
        while not over.is_set():
            while len(held) < SILENT and not over.is_set():
                try:
                    sock = socket.create_connection(("127.0.0.1", port), 1)
                    if len(held) % 2:
                        sock.sendall(b"GET /sta")
                    held.append(sock)
                except OSError:
                    break
            over.wait(0.2)
            held = [s for s in held if not _ended(s)]
        for sock in held:
            sock.close()

    thread = threading.Thread(target=stay)
    thread.start()
    try:
        yield
    finally:
        over.set()
        thread.join()


def _ended(sock: socket.socket) -> bool:
    sock.setblocking(False)
    try:
        ended = True
        sock.recv(1024)
    except BlockingIOError:
        ended = False
    except OSError:
        pass
    if ended:
        sock.close()
    return ended


def series(seconds: float, one: Callable[[], tuple[float, bool]]) -> tuple[list[float], int]:
    """One call after the other: their times in order, and how many were not yes."""
    until, times, wrong = time.monotonic() + seconds, [], 0
    while time.monotonic() < until:
        took, yes = one()
        times.append(took)
        wrong += not yes
        time.sleep(EVERY_S)
    return sorted(times), wrong


def main() -> int:
    """Plays the three and holds the console under load to its bar."""
    parser = argparse.ArgumentParser(description="how soon the console answers, whatever the load")
    parser.add_argument("--quick", action="store_true", help="5 seconds each instead of 30")
    seconds = 5.0 if parser.parse_args().quick else 30.0
    (console,) = free_ports(1)
    figures: dict[str, tuple[list[float], int]] = {}
    with (
        run_nodes(6, Work(), processes=2) as (discovery, fleet),
        platform_proxy(discovery, fleet, console=console) as (port, process),
        LoadGenerators(3) as loads,
    ):
        figures["idle"] = series(seconds / 2, lambda: ask(console, "/status"))
        load = threading.Thread(target=loads.run, args=([port], CONNECTIONS, 3 * seconds, 2_000))
        load.start()
        with silent(console):
            time.sleep(1)
            busy, begun = cpu_s(process), time.monotonic()
            figures["loaded"] = series(seconds, lambda: ask(console, "/status"))
            figures["metrics"] = series(seconds / 2, lambda: ask(console, "/status/metrics"))
            share = (cpu_s(process) - busy) / (time.monotonic() - begun)
            figures["readiness"] = series(seconds / 2, lambda: ask(port, "/health/ready"))
        load.join()
    print(f"loop_busy = {share:.2f} of a core")
    for name, (times, wrong) in figures.items():
        print(f"{name}_median = {times[len(times) // 2]:.2f} ms")
        print(f"{name}_slowest = {times[-1]:.2f} ms")
        print(f"{name}_wrong = {wrong} calls")
    missed = [
        f"{name}: slowest {times[-1]:.0f} ms, {wrong} wrong"
        for name, (times, wrong) in figures.items()
        if name in ("loaded", "metrics") and (times[-1] >= SLOWEST_MAX_MS or wrong)
    ]
    for line in missed:
        print(f"missed: {line}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
