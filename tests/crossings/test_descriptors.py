"""Idle clients have taken all descriptors while discovery is down, and then a node begins to drain: the call,
the dial and the answer each still find one."""

from __future__ import annotations

import asyncio
import socket

import pytest

from notchflow.net import dispatcher
from notchflow.net.frontend import MIN_IDLE_MS
from tests.crossings.forced import all_over
from tests.crossings.test_client_gone import Gate
from tests.rig import Client, Rig, Seen, run, serve_value, until

SOCKETS = 64  # 40 for clients and nodes


def test_a_drain_at_discovery_s_return_is_heard_and_served_around_where_idle_clients_fill_all() -> None:
    async def test() -> None:
        async with Rig(serve_value, serve_value, limits={"sockets": SOCKETS}) as rig:
            frontend, port = rig.host.frontend, rig.discovery.port
            _, writer = await rig.calls.get()
            writer.transport.abort()
            rig.discovery.stop()
            crowd = [socket.create_connection(("127.0.0.1", rig.port)) for _ in range(2 * SOCKETS)]
            await until(
                lambda: not frontend.accepting and len(frontend.clients) >= 0.7 * rig.host.descriptor_limit
            )
            await rig.discovery.start(port)
            _, writer = await rig.calls.get()
            while writer.transport.is_closing():
                _, writer = await rig.calls.get()
            writer.write(rig.listing(43, False, [rig.entry(0, phase="draining")]))
            await until(lambda: rig.host.discovery.revision == 43)
            answers = await asyncio.gather(*(rig.ask(path=f"/api/{n:016x}") for n in range(8)))
            assert [a.status for a in answers] == [200] * 8
            assert [len(n.seen) for n in rig.nodes] == [0, 8]
            assert rig.host.descriptors_used <= rig.host.descriptor_limit
            for sock in crowd:
                sock.close()
            await all_over(rig)

    run(test())


async def short_of_descriptors(rig: Rig) -> list[Client]:
    """Three clients that have been still for long; the first asks again on the only connection to the node,
    and no descriptor is left for a second one."""
    clients = [await rig.connect() for _ in range(3)]
    for client in clients:
        assert (await client.ask(path="/api/00aa")).status == 200
    for known in rig.host.frontend.clients:
        known.active_at -= MIN_IDLE_MS
    clients[0].send(path="/api/00aa?held")
    await until(lambda: rig.sent == 4)
    rig.host.descriptor_limit = rig.host.descriptors_used
    return clients


def held_by(gate: Gate) -> Rig:
    async def script(seen: Seen, writer: asyncio.StreamWriter) -> None:
        await (gate if "held" in seen.line else serve_value)(seen, writer)

    return Rig(script)


def test_a_dial_waits_for_a_descriptor_and_takes_none_of_a_client_s(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests lost as their idle connection was closed for a dial."""
    monkeypatch.setattr(dispatcher, "DESCRIPTOR_WAIT_MS", 60_000.0)

    async def test() -> None:
        gate = Gate(serve_value)
        async with held_by(gate) as rig:
            clients = await short_of_descriptors(rig)
            clients[1].send(path="/api/00aa")
            await until(rig.host.has_waiting_dials)
            gate.open.set()
            answers = [await client.receive() for client in clients[:2]]
            assert [seen and seen.status for seen in answers] == [200, 200]
            assert (
                len(rig.host.frontend.clients) == 3 and rig.host.descriptors_used <= rig.host.descriptor_limit
            )
            await all_over(rig)

    run(test())


def test_a_dial_that_is_given_up_waits_for_no_descriptor_any_more(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against connections closed for the sake of a request that is over."""
    monkeypatch.setattr(dispatcher, "DESCRIPTOR_WAIT_MS", 60_000.0)

    async def test() -> None:
        gate = Gate(serve_value)
        async with held_by(gate) as rig:
            clients = await short_of_descriptors(rig)
            clients[1].send(path="/api/00aa", X_Budget="0.05")
            await until(rig.host.has_waiting_dials)
            assert await clients[1].receive() is not None
            assert not rig.host.has_waiting_dials()
            gate.open.set()
            await all_over(rig)

    run(test())


def test_an_idle_client_gives_way_where_no_descriptor_comes_free(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against dials that wait for good beside clients that ask for nothing."""
    monkeypatch.setattr(dispatcher, "DESCRIPTOR_WAIT_MS", 0.0)

    async def test() -> None:
        gate = Gate(serve_value)
        async with held_by(gate) as rig:
            clients = await short_of_descriptors(rig)
            clients[1].send(path="/api/00aa")
            seen = await clients[1].receive()
            assert seen is not None and seen.status == 200
            assert len(rig.host.frontend.clients) == 2
            gate.open.set()
            await all_over(rig)

    run(test())


def test_a_new_client_takes_the_descriptor_of_an_idle_connection_to_a_node() -> None:
    """Guards against requests lost as their idle connection was closed for another client's."""

    async def test() -> None:
        async with Rig() as rig:
            client = await rig.connect()
            assert (await client.ask()).status == 200
            for known in rig.host.frontend.clients:
                known.active_at -= MIN_IDLE_MS
            rig.host.descriptor_limit = rig.host.descriptors_used
            assert (await rig.ask(path="/health/ready")).status == 200
            assert (await client.ask()).status == 200, "it is still there"
            await all_over(rig)

    run(test())
