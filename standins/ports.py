"""Ports on loopback for servers whose port must be known before they listen."""

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
KERNEL_RANGE_USUAL: Final = (32_768, 60_999)  # where the system does not say
LOWEST, HIGHEST = 10_000, 65_535
DRAWS: Final = 16  # for each port, before all candidates are gone through
LOCKS: Final = Path(tempfile.gettempdir()) / "notchflow-ports.lock"

_given: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Ports for datagrams and connections that nobody else gets as long as this process lives.

    They lie outside the range from which the kernel gives ports to whoever asks for any, and each is locked
    against other processes that call this. OSError where there are too few.
    """
    candidates = _outside(*_kernel_range())
    found: list[int] = []
    for port in _drawn(candidates, DRAWS * count):
        if len(found) == count:
            break
        if _take(port):
            found.append(port)
    if len(found) < count:
        raise OSError(f"{len(found)} of {count} ports are free outside {KERNEL_RANGE}; narrow that range")
    return found


def _drawn(candidates: list[int], draws: int) -> Iterator[int]:
    """Here and there at first, so that the next port after one is seldom another's; then all in order."""
    draw = random.Random(os.urandom(8))
    for _ in range(draws if candidates else 0):
        yield draw.choice(candidates)
    yield from candidates


def _kernel_range() -> tuple[int, int]:
    try:
        first, last = KERNEL_RANGE.read_text().split()
        return int(first), int(last)
    except (OSError, ValueError):
        return KERNEL_RANGE_USUAL


def _outside(first: int, last: int) -> list[int]:
    return [*range(LOWEST, min(first, HIGHEST + 1)), *range(max(last + 1, LOWEST), HIGHEST + 1)]


def _take(port: int) -> bool:
    """Whether the port is this process's from now on."""
    if port in _given or not _lock(port):
        return False
    _given.add(port)
    return all(_unused(port, kind) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM))


@cache
def _lock_file() -> int:
    """A descriptor that stays open: its locks end with the process."""
    return os.open(LOCKS, os.O_RDWR | os.O_CREAT, 0o666)


def _lock(port: int) -> bool:
    try:
        fcntl.lockf(_lock_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except BlockingIOError:
        return False
    return True


def _unused(port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
