"""Ports for servers that come up later: nobody else gets one meanwhile."""

from __future__ import annotations

import subprocess
import sys

from standins.ports import KERNEL_RANGE, free_ports

OTHER_PROCESS = "from standins.ports import free_ports; print(*free_ports(2_000))"


def test_no_port_is_one_that_the_kernel_gives_to_whoever_asks_for_any() -> None:
    """Guards against a node of a test that listens where a process of the test is to come up."""
    first, last = map(int, KERNEL_RANGE.read_text().split())
    assert not [port for port in free_ports(2_000) if first <= port <= last]


def test_no_port_is_given_twice_in_one_process_or_in_another() -> None:
    """Guards against two processes that are to come up at the same place."""
    ports = [*free_ports(1_000), *free_ports(1_000)]
    done = subprocess.run([sys.executable, "-c", OTHER_PROCESS], capture_output=True, text=True, check=True)
    assert len({*ports, *map(int, done.stdout.split())}) == 4_000


def test_the_next_port_after_one_is_seldom_another_s() -> None:
    """Guards against a test that counts on from its port and meets the next server's."""
    neighbours = 0
    for _ in range(200):
        ports = free_ports(3)
        neighbours += any(port + 1 in ports for port in ports)
    assert neighbours <= 4  # one in 4,500 draws; five of 200 once in a billion runs
