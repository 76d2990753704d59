"""Simulated proxies from the list to the last byte, checked against when a change counts as announced."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import pytest

from notchflow.emulator.engine import Simulator
from notchflow.emulator.fixed_waits import FixedWaits
from notchflow.emulator.send_explorer import PLANS, explore, run_case, schedules
from notchflow.emulator.sends import Sends, WatchedHost
from notchflow.emulator.simulated_loop import Loop, Pipe
from notchflow.emulator.watches import Day
from notchflow.interface import Event, ListKind, Membership, State
from notchflow.net.node_list import NodeList
from notchflow.net.pool import Pool

LONG = bool(os.environ.get("NOTCHFLOW_LONG"))
MOMENTS = {True: (6_000.0, 31_000.0, 12_000.0), False: (1_500.0, 6_000.0, 12_000.0)}


@pytest.fixture(autouse=True)
def disable_logging() -> Iterator[None]:
    logging.disable()
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("asked", [True, False])
def test_no_byte_goes_to_a_removed_node_after_the_announcement_and_the_grace(asked: bool) -> None:
    """All placements on three times in the long run; otherwise every ninth placement on two times."""
    days = list(schedules(asked, MOMENTS[asked] if LONG else MOMENTS[asked][:2]))[:: 1 if LONG else 9]
    requests, broken = explore(days)
    assert len(days) == (7_680 if LONG else 108) and requests > 800 * len(days)
    assert broken == []


LAST = (12_000.0, 12_250.0, 12_500.0, 12_750.0)  # times of the last change: a dial is not always in progress


def day(asked: bool, last: float = LAST[0], **faults: Any) -> Day:
    """A day with silent watches where lists are requested, or with a reset watch where they are pushed."""
    troubles = {"silences": (5_990.0,)} if asked else {"resets": (8_900.0,)}
    return Day(
        proxies=2,
        asked=asked,
        all_call_ms=3_000.0,
        length_ms=50_000.0 if asked else 20_000.0,
        **{"changes": (6_000.0, 8_905.0, last)} | troubles | faults,
    )


def test_a_day_is_reproducible() -> None:
    worlds = [Sends(day(False), PLANS[1]) for _ in range(2)]
    assert [w.run() for w in worlds] == [[], []]
    first, second = ((w.requests, w.answers, w.served, w.sim.count) for w in worlds)
    assert first == second and first[0] > 400 and first[1][200] > 300


class FixedWaitsHost(WatchedHost):
    """Follows the list without renewing watches."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.discovery.list_watch = FixedWaits(
            self.config.known.revision, self.settings.list_on_request, self.config.seed, self.settings.rules
        )


class DrainTakenForReady(WatchedHost):
    def apply(self, listing: NodeList, kind: ListKind) -> None:
        members = tuple(
            replace(m, state=State.READY) if m.state is State.DRAINING else m for m in listing.members
        )
        super().apply(replace(listing, members=members), kind)


class PolicyUnaware(WatchedHost):
    """The pools are notified of changes, the policy is not."""

    def dispatch(self, event: Event) -> None:
        if not isinstance(event, Membership) or event.kind is not ListKind.DELTA:
            super().dispatch(event)


class KeepsOldAddress(WatchedHost):
    def apply(self, listing: NodeList, kind: ListKind) -> None:
        addresses = dict(listing.addresses or {})
        for node, pool in self.pools.items():
            if node in addresses:
                addresses[node] = pool.address
        super().apply(replace(listing, addresses=addresses), kind)


def unchecked(method: Callable[..., None]) -> Callable[..., None]:
    """Returns the pool's method without its check for a retired pool."""

    def changed(pool: Pool, *args: Any) -> None:
        retired, pool.retired = pool.retired, False
        method(pool, *args)
        pool.retired = retired

    return changed


def do_nothing(*_: object) -> None: ...


UNCHECKED = {name: unchecked(getattr(Pool, name)) for name in ("send", "opened", "release")}

MUTANTS: dict[str, tuple[type[WatchedHost], dict[str, Callable[..., Any]], dict[str, Any]]] = {
    "watches are not renewed": (FixedWaitsHost, {}, {}),
    "a draining node counts as ready": (DrainTakenForReady, {}, {}),
    "the policy is not notified, and retired pools send": (
        PolicyUnaware,
        {"send": UNCHECKED["send"], "opened": UNCHECKED["opened"]},
        {},
    ),
    "dials are not cancelled, and new connections send": (
        WatchedHost,
        {"cancel_dials": do_nothing, "opened": UNCHECKED["opened"]},
        {"grace_ms": 100.0, "silences": ()},
    ),
    "idle connections stay, and policy and pool are not notified": (
        PolicyUnaware,
        {"send": UNCHECKED["send"], "retire": do_nothing, "release": UNCHECKED["release"]},
        {},
    ),
    "a node that moves keeps its old address": (KeepsOldAddress, {}, {}),
}


@pytest.mark.parametrize("asked", [True, False])
@pytest.mark.parametrize("name", MUTANTS)
def test_checker_reports_faults_between_the_list_and_the_first_byte(
    name: str, asked: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    host, patches, faults = MUTANTS[name]
    for method, patch in patches.items():
        monkeypatch.setattr(Pool, method, patch)
    for last in LAST:
        found = [text for plan in PLANS for text in run_case((day(asked, last, **faults), plan), host)[1]]
        if any("a request" in text for text in found):
            return
    pytest.fail("the checker reported no violation")


@pytest.mark.parametrize("asked", [True, False])
def test_the_same_days_pass_without_a_fault(asked: bool) -> None:
    troubles: tuple[dict[str, Any], ...] = ({}, {"grace_ms": 100.0, "silences": ()})
    for faults in troubles:
        assert [run_case((day(asked, **faults), plan))[1] for plan in PLANS] == [[]] * len(PLANS)


class ServerProtocol(asyncio.Protocol):
    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.lost = False

    def data_received(self, data: bytes) -> None:
        self.received.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True


class FakeNetwork:
    def __init__(self) -> None:
        self.servers: list[ServerProtocol] = []

    def dial_ms(self, loop: Loop, address: tuple[str, int]) -> float | None:
        return None if address[1] == 9 else 5.0

    def create_server(self, loop: Loop, address: tuple[str, int]) -> asyncio.Protocol:
        self.servers.append(ServerProtocol())
        return self.servers[-1]


def test_simulated_loop_dials_refuses_delivers_in_order_and_is_killed() -> None:
    sim, net = Simulator(), FakeNetwork()
    loop = Loop(sim, net)  # type: ignore[abstract]
    events: list[str] = []

    async def dial(port: int) -> None:
        try:
            pipe, near = await loop.create_connection(ServerProtocol, "node", port)
            assert isinstance(pipe, Pipe)
            pipe.write(b"one")
            pipe.writelines([b"two", b"three"])
            events.append(f"up at {loop.time() * 1e3:.0f}")
        except ConnectionRefusedError:
            events.append("refused")

    loop.create_task(dial(1))
    loop.create_task(dial(9))
    loop.call_later(0.003, events.append, "later")
    loop.call_later(0.004, events.append, "never").cancel()
    given_up = loop.create_task(dial(2))
    loop.call_later(0.002, given_up.cancel)
    sim.run(50.0)
    assert events == ["refused", "later", "up at 5"]
    assert [server.received for server in net.servers] == [[b"one", b"twothree"]] and not net.servers[0].lost
    loop.call_later(0.001, events.append, "after the end")
    loop.kill()
    sim.run(100.0)
    assert net.servers[0].lost and events[-1] == "up at 5" and not loop.pipes
