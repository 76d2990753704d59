"""Loopback ports for servers whose port must be known before they listen."""

from __future__ import annotations

import fcntl
import os
import random
import socket
import tempfile
from collections.abc import Iterator
from functools import cache
from pathlib import Path
from typing import Final

KERNEL_RANGE: Final = Path("/proc/sys/net/ipv4/ip_local_port_range")
KERNEL_RANGE_DEFAULT: Final = (32_768, 60_999)  # Linux's default, if the file cannot be read
LOWEST, HIGHEST = 10_000, 65_535
RANDOM_TRIES: Final = 16  # random tries for each port, before all candidates are tried in order
LOCK_FILE: Final = Path(tempfile.gettempdir()) / "notchflow-ports.lock"

_reserved: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Ports for datagrams and connections that are reserved for as long as this process lives.

    They lie outside the range from which the kernel assigns ephemeral ports, and each is locked against other
    processes that call this function. OSError if there are too few.
    """
    candidates = _ports_outside(*_kernel_range())
    found: list[int] = []
    for port in _candidate_order(candidates, RANDOM_TRIES * count):
        if len(found) == count:
            break
        if _reserve(port):
            found.append(port)
    if len(found) < count:
        raise OSError(f"{len(found)} of {count} ports are free outside {KERNEL_RANGE}; narrow that range")
    return found


def _candidate_order(candidates: list[int], tries: int) -> Iterator[int]:
    """Random candidates at first, so that neighbouring ports are seldom given out; then all in order."""
    rng = random.Random(os.urandom(8))
    for _ in range(tries if candidates else 0):
        yield rng.choice(candidates)
    yield from candidates


def _kernel_range() -> tuple[int, int]:
    try:
        first, last = KERNEL_RANGE.read_text().split()
        return int(first), int(last)
    except (OSError, ValueError):
        return KERNEL_RANGE_DEFAULT


def _ports_outside(first: int, last: int) -> list[int]:
    return [*range(LOWEST, min(first, HIGHEST + 1)), *range(max(last + 1, LOWEST), HIGHEST + 1)]


def _reserve(port: int) -> bool:
    """Reserves the port for this process, if it is free."""
    if port in _reserved or not _lock(port):
        return False
    _reserved.add(port)
    return all(_is_unused(port, kind) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM))


@cache
def _lock_file() -> int:
    """A descriptor that is never closed, so that its locks last until the process ends."""
    return os.open(LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o666)


def _lock(port: int) -> bool:
    try:
        fcntl.lockf(_lock_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except BlockingIOError:
        return False
    return True


def _is_unused(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
