"""Several proxy processes whose common discovery agent falls silent, resets connections, goes down and comes
back while nodes begin to drain. No node may get requests later than a grace period after its drain counts as
announced."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from notchflow.net.watch import RENEWAL_RANGE_MS
from standins.discovery import StandInDiscovery, node_entry
from standins.ports import free_ports
from tests.rig import Client, HttpMessage, Peer, answer, run, wait_until

PROXIES, NODES = 4, 7
GRACE_S = 0.25
BUSY_S = 1.0  # a busy machine may delay a process by this much
MISSED_AFTER_S = 6.0  # after discovery falls silent, missed changes count as announced after this time
DOWN_S = 3.0
PAUSE_S = 0.01


@dataclass
class Fleet:
    """The proxy processes, the nodes, and when each node got requests from which process."""

    folder: Path
    mode: str  # the setting MembershipMode
    registry: StandInDiscovery = field(default_factory=StandInDiscovery)
    sent: dict[str, list[tuple[float, str]]] = field(default_factory=dict)
    nodes: dict[str, Peer] = field(default_factory=dict)
    processes: dict[int, subprocess.Popen[bytes]] = field(default_factory=dict)
    starts: dict[int, int] = field(default_factory=dict)
    ports: list[int] = field(default_factory=lambda: free_ports(PROXIES))
    answers: dict[int, int] = field(default_factory=dict)

    async def start_all(self) -> None:
        await self.registry.start()
        for number in range(NODES):
            name = f"box-{number}"
            self.sent[name] = []

            async def serve(seen: HttpMessage, writer: asyncio.StreamWriter, name: str = name) -> None:
                self.sent[name].append((time.monotonic(), seen.headers["x-caller"]))
                writer.write(answer(b"value"))

            self.nodes[name] = node = Peer(serve)
            await node.start()
            await self.registry.put(node_entry(name, f"127.0.0.1:{node.port}"))
        self.known = self.registry.node_list(None)
        for number in range(PROXIES):
            self.start(number)
        for number in range(PROXIES):
            await self.ready(number)

    def start(self, number: int) -> None:
        """Starts a process with the list as it was when the fleet started, however old it is by now."""
        file = self.folder / f"n{number}.json"
        file.write_text(
            json.dumps(
                {
                    "name": f"n{number}",
                    "listen": f"127.0.0.1:{self.ports[number]}",
                    "discovery": self.registry.address,
                    "seed": str(number),
                    "known": self.known,
                    "settings": {
                        "MembershipMode": self.mode,
                        "PeersTotal": PROXIES,
                        "Classes": [{"Name": "read", "ObjectiveMs": 1_000, "DeadlineMs": 3_000}],
                        "Rules": {"DrainGraceMs": GRACE_S * 1e3},
                    },
                }
            )
        )
        self.starts[number] = self.starts.get(number, 0) + 1
        self.answers[number] = 0
        self.processes[number] = subprocess.Popen(
            [sys.executable, "-m", "notchflow"],
            env=os.environ | {"ROUTER_CONFIG": str(file)},
            stderr=subprocess.DEVNULL,
        )

    async def ready(self, number: int) -> None:
        while True:
            try:
                client = Client(*await asyncio.open_connection("127.0.0.1", self.ports[number]))
                if (await client.request(path="/health/ready")).status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.02)

    async def load(self, number: int) -> None:
        """Sends requests with changing keys to one proxy, on one connection, until its process ends."""
        process_name, asked = f"n{number}.{self.starts[number]}", 0
        client = Client(*await asyncio.open_connection("127.0.0.1", self.ports[number]))
        while True:
            asked += 1
            try:
                seen = await client.request(
                    path=f"/api/{asked * 2654435761 % 2**64:016x}", x_caller=process_name
                )
            except (AssertionError, ConnectionError):
                return
            self.answers[number] += seen.status == 200
            await asyncio.sleep(PAUSE_S)

    def last_request_at(self, node: str) -> float:
        return max((at for at, _ in self.sent[node]), default=0.0)

    def end(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.registry.stop()
        for node in self.nodes.values():
            node.stop()


@contextmanager
def fleet(folder: Path, mode: str) -> Iterator[Fleet]:
    proxies = Fleet(folder, mode)
    try:
        yield proxies
    finally:
        proxies.end()


async def check_silence(proxies: Fleet, node: str, announced_at: float) -> None:
    """Waits until well after a drain counts as announced, and checks when the node got its last request."""
    await asyncio.sleep(max(0.0, announced_at + GRACE_S + BUSY_S + 0.5 - time.monotonic()))
    assert (
        proxies.last_request_at(node) <= announced_at + GRACE_S + BUSY_S
    ), f"{node} got a request after its drain was announced"


def test_no_process_sends_to_a_draining_node_whatever_happens_to_its_agent(tmp_path: Path) -> None:
    async def test() -> None:
        with fleet(tmp_path, "pushed") as proxies:
            await proxies.start_all()
            loads = [asyncio.create_task(proxies.load(n)) for n in range(PROXIES)]
            await wait_until(lambda: all(proxies.sent[node] for node in proxies.nodes))

            assert proxies.registry.silence() >= PROXIES
            silent_since = time.monotonic()
            await proxies.registry.set_phase("box-0", "draining")
            await check_silence(proxies, "box-0", silent_since + MISSED_AFTER_S)

            proxies.registry.reset()
            await proxies.registry.set_phase("box-1", "draining")
            await check_silence(proxies, "box-1", time.monotonic())

            proxies.registry.available.clear()
            await proxies.registry.set_phase("box-2", "draining")
            await asyncio.sleep(DOWN_S)
            proxies.registry.available.set()
            await check_silence(proxies, "box-2", time.monotonic())

            proxies.processes[0].kill()
            await loads[0]
            proxies.start(0)
            await proxies.ready(0)
            loads[0] = asyncio.create_task(proxies.load(0))
            await wait_until(lambda: proxies.answers[0] >= 100)
            new = [node for node, sent in proxies.sent.items() if any(who == "n0.2" for _, who in sent)]
            assert new and not {"box-0", "box-1", "box-2"} & set(new), "its first list was outdated"
            assert all(proxies.answers[n] > 200 for n in range(1, PROXIES))
            for load in loads:
                load.cancel()
            await asyncio.gather(*loads, return_exceptions=True)

    run(test(), 60)


@pytest.mark.skipif(not os.environ.get("NOTCHFLOW_LONG"), reason="takes half a minute; NOTCHFLOW_LONG=1")
def test_on_request_proxies_learn_within_half_a_minute_what_silent_watches_missed(tmp_path: Path) -> None:
    async def test() -> None:
        with fleet(tmp_path, "on_request") as proxies:
            await proxies.start_all()
            loads = [asyncio.create_task(proxies.load(n)) for n in range(PROXIES)]
            await wait_until(lambda: len(proxies.registry.writers) == PROXIES)
            proxies.registry.silence()
            silent_since = time.monotonic()
            await proxies.registry.set_phase("box-0", "draining")
            await asyncio.sleep(RENEWAL_RANGE_MS[0] / 1e3 - 2.0)
            assert {who for at, who in proxies.sent["box-0"] if at > silent_since + GRACE_S + BUSY_S} == {
                f"n{n}.1" for n in range(PROXIES)
            }, "a proxy stopped before it could know of the drain"
            await check_silence(proxies, "box-0", silent_since + RENEWAL_RANGE_MS[1] / 1e3)
            for load in loads:
                load.cancel()
            await asyncio.gather(*loads, return_exceptions=True)

    run(test(), 60)
