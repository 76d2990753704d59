"""Measures how soon the console answers under load: `python -m benchmarks.console [--quick]`.

256 connections in a closed loop keep the event loop at 100%, while 200 clients of the console send nothing or
half a request and reconnect when they are dropped. For comparison, the same run measures the console of an
idle proxy, and the readiness on the listener for clients under the same load. The exit code is 1 if the
slowest answer of the console under load took 500 ms or more, or an answer was missing or wrong.
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
from standins.node import NodeProfile
from standins.ports import free_ports

MAX_SLOWEST_MS = 500.0
SILENT_CLIENTS = 200
CONNECTIONS = 256
INTERVAL_S = 0.05


def request_console(port: int, path: str) -> tuple[float, bool]:
    """Sends a request; returns the milliseconds until the complete answer and whether its status is 200."""
    started_at = time.monotonic()
    try:
        with socket.create_connection(("127.0.0.1", port), 5) as sock:
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode())
            data = b""
            while chunk := sock.recv(1 << 16):
                data += chunk
        return (time.monotonic() - started_at) * 1e3, b" 200 " in data[:20]
    except OSError:
        return (time.monotonic() - started_at) * 1e3, False


@contextmanager
def run_silent_clients(port: int) -> Iterator[None]:
    """Keeps SILENT_CLIENTS connections open that send nothing or half a request."""
    stop = threading.Event()

    def hold_connections() -> None:
        sockets: list[socket.socket] = []
        while not stop.is_set():
            while len(sockets) < SILENT_CLIENTS and not stop.is_set():
                try:
                    sock = socket.create_connection(("127.0.0.1", port), 1)
                    if len(sockets) % 2:
                        sock.sendall(b"GET /sta")
                    sockets.append(sock)
                except OSError:
                    break
            stop.wait(0.2)
            sockets = [s for s in sockets if not _close_if_ended(s)]
        for sock in sockets:
            sock.close()

    thread = threading.Thread(target=hold_connections)
    thread.start()
    try:
        yield
    finally:
        stop.set()
        thread.join()


def _close_if_ended(sock: socket.socket) -> bool:
    """Returns whether the peer ended the connection; closes the socket if so."""
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


def repeat_requests(
    seconds: float, send_request: Callable[[], tuple[float, bool]]
) -> tuple[list[float], int]:
    """Repeats a request for some seconds; returns the sorted durations and how many requests failed."""
    end_at, durations_ms, failed = time.monotonic() + seconds, [], 0
    while time.monotonic() < end_at:
        duration_ms, succeeded = send_request()
        durations_ms.append(duration_ms)
        failed += not succeeded
        time.sleep(INTERVAL_S)
    return sorted(durations_ms), failed


def main() -> int:
    """Measures all series and checks the console under load; returns the exit code."""
    parser = argparse.ArgumentParser(description="measures how soon the console answers under load")
    parser.add_argument("--quick", action="store_true", help="5 seconds each instead of 30")
    seconds = 5.0 if parser.parse_args().quick else 30.0
    (console,) = free_ports(1)
    results: dict[str, tuple[list[float], int]] = {}
    with (
        run_nodes(6, NodeProfile(), processes=2) as (discovery, fleet),
        platform_proxy(discovery, fleet, console=console) as (port, process),
        LoadGenerators(3) as loads,
    ):
        results["idle"] = repeat_requests(seconds / 2, lambda: request_console(console, "/status"))
        load = threading.Thread(target=loads.run, args=([port], CONNECTIONS, 3 * seconds, 2_000))
        load.start()
        with run_silent_clients(console):
            time.sleep(1)
            cpu_before, started_at = cpu_s(process), time.monotonic()
            results["loaded"] = repeat_requests(seconds, lambda: request_console(console, "/status"))
            results["metrics"] = repeat_requests(
                seconds / 2, lambda: request_console(console, "/status/metrics")
            )
            share = (cpu_s(process) - cpu_before) / (time.monotonic() - started_at)
            results["readiness"] = repeat_requests(
                seconds / 2, lambda: request_console(port, "/health/ready")
            )
        load.join()
    print(f"loop_busy = {share:.2f} of a core")
    for name, (durations_ms, failed) in results.items():
        print(f"{name}_median = {durations_ms[len(durations_ms) // 2]:.2f} ms")
        print(f"{name}_slowest = {durations_ms[-1]:.2f} ms")
        print(f"{name}_wrong = {failed} calls")
    missed = [
        f"{name}: slowest {durations_ms[-1]:.0f} ms, {failed} wrong"
        for name, (durations_ms, failed) in results.items()
        if name in ("loaded", "metrics") and (durations_ms[-1] >= MAX_SLOWEST_MS or failed)
    ]
    for line in missed:
        print(f"missed: {line}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
