"""Ports for servers that start later: no other process gets one meanwhile."""

from __future__ import annotations

import subprocess
import sys

from standins.ports import KERNEL_RANGE, free_ports

OTHER_PROCESS = "from standins.ports import free_ports; print(*free_ports(2_000))"


def test_no_port_is_in_the_kernel_s_ephemeral_range() -> None:
    """Guards against a stand-in that gets, as an ephemeral port, the port of a process that starts later."""
    first, last = map(int, KERNEL_RANGE.read_text().split())
    assert not [port for port in free_ports(2_000) if first <= port <= last]


def test_no_port_is_given_twice_within_or_across_processes() -> None:
    """Guards against two processes that are to listen on the same port."""
    ports = [*free_ports(1_000), *free_ports(1_000)]
    done = subprocess.run([sys.executable, "-c", OTHER_PROCESS], capture_output=True, text=True, check=True)
    assert len({*ports, *map(int, done.stdout.split())}) == 4_000


def test_neighbouring_ports_are_seldom_given_out() -> None:
    """Guards against a test that uses the port after its own and meets another server there."""
    neighbours = 0
    for _ in range(200):
        ports = free_ports(3)
        neighbours += any(port + 1 in ports for port in ports)
    assert neighbours <= 4  # expected once in 4,500 draws; five in 200 draws occur once in a billion runs
