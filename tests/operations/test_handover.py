"""What passes from one process to the next, and that no client notices."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from notchflow.interface import Outcome, RequestClass, State, Status
from notchflow.net.handover import Link, Place, Succession
from notchflow.net.host import Host
from notchflow.net.node_list import node_id
from notchflow.operations.handover import FORMAT, HEAD, MAGIC, HandoverError, Reader, Shares, pack
from tests.helpers import make_balancer, make_request, make_settings, sends
from tests.rig import Rig, Seen, answer, run, serve_value, stopped, until

ANY = ("127.0.0.1", 0)


def test_frames_come_whole_in_pieces_of_any_size() -> None:
    frames = pack({"a": 1}) + pack({"b": "x" * 300})
    for size in (1, 7, len(frames)):
        reader, got = Reader(), []
        for at in range(0, len(frames), size):
            got += reader.feed(frames[at : at + size])
        assert got == [{"a": 1}, {"b": "x" * 300}]


@pytest.mark.parametrize(
    "data",
    [
        HEAD.pack(b"ELSE", FORMAT, 2) + b"{}",
        HEAD.pack(MAGIC, FORMAT + 1, 2) + b"{}",
        HEAD.pack(MAGIC, FORMAT, 1 << 30),
        HEAD.pack(MAGIC, FORMAT, 3) + b"{]x",
        HEAD.pack(MAGIC, FORMAT, 2) + b"[]",
    ],
)
def test_what_is_no_frame_of_this_format_is_told(data: bytes) -> None:
    with pytest.raises(HandoverError):
        Reader().feed(data)


def test_a_process_keeps_to_what_the_others_leave() -> None:
    shares = Shares()
    assert shares.descriptors(300) == 300
    shares.joined("b")
    assert shares.descriptors(300) == 150, "until it has told"
    shares.told("b", 40, 1e6)
    assert shares.descriptors(300) == 260 and shares.held(3e6) == 2e6
    shares.told("b", 299, 0)
    assert shares.descriptors(300) == 60, "something is left, whatever the other uses"
    shares.left("b")
    assert shares.descriptors(300) == 300


def learned() -> tuple[Any, dict[str, Any]]:
    balancer = make_balancer()
    for number in range(400):
        send = sends(
            balancer.handle(number * 5.0, make_request(number, number * 5.0, key=f"{number % 20:016x}"))
        )[0]
        balancer.handle(number * 5.0 + 4, Outcome(number, 0, send.node, Status.OK, 12.0, closed=True))
    for number in (900, 901):
        send = sends(balancer.handle(2_000, make_request(number, 2_000, key="00")))[0]
        balancer.handle(2_010, Outcome(number, 0, send.node, Status.CONNECT_FAILED, 10))
    return balancer, json.loads(json.dumps(balancer.export_state(2_020)))


def test_the_module_goes_on_with_what_another_has_learned() -> None:
    old, told = learned()
    new = make_balancer(now=50_000)
    new.restore_state(50_000, told)
    assert new.fleet.class_latency_ms == old.fleet.class_latency_ms
    assert (
        new.hot_keys.topk.counters == old.hot_keys.topk.counters
        and new.hot_keys.topk.fifo_counts == old.hot_keys.topk.fifo_counts
    )
    assert new.fleet.order("0a")[0].id == old.fleet.order("0a")[0].id
    out = {n.id: n.failures for n in old.fleet.nodes.values() if n.failures}
    assert out and {n.id: n.failures for n in new.fleet.nodes.values() if n.failures} == out
    assert sends(new.handle(50_001, make_request(1, 50_001)))


@pytest.mark.parametrize(
    "change",
    [
        {"kinds": {"m": float("nan")}},
        {"classes": {"read": -1}},
        {"slow": {"m": [1]}},
        {"load": ["x"]},
        {"rate": None},
        {"topk": {}},
        {"health": {"x": []}},
        {"spread": []},
    ],
)
def test_what_is_malformed_changes_nothing(change: dict[str, Any]) -> None:
    _, told = learned()
    new = make_balancer()
    before = new.export_state(0)
    with pytest.raises((KeyError, TypeError, ValueError, AttributeError)):
        new.restore_state(0, told | change)
    assert new.export_state(0) == before


async def successor(rig: Rig, folder: Path, listener: socket.socket) -> Host:
    """Another process of the same proxy, but for the process: it waits for the one that runs, which here runs
    on this very loop."""
    config = replace(
        rig.host.config,
        accept_fd=os.dup(listener.fileno()),
        known=replace(rig.host.config.known, revision=0, members=()),
    )
    host = Host(config, rig.host.loop)
    succession = host.handover = Succession(host, str(folder), "n0")
    state = await asyncio.get_running_loop().run_in_executor(None, succession.ask)
    succession.ask = lambda: state  # type: ignore[method-assign]
    host.start()
    return host


Test = Callable[[Rig, Path, socket.socket], Any]


def replaced(tmp_path: Path, test: Test) -> None:
    async def whole() -> None:
        listener = socket.create_server(ANY)
        async with Rig(serve_value, serve_value, limits={"accept_fd": os.dup(listener.fileno())}) as rig:
            rig.host.handover = Succession(rig.host, str(tmp_path), "n0")
            rig.host.handover.begin()
            await test(rig, tmp_path, listener)
            rig.host.handover.shut()
        listener.close()

    run(whole())


def close(host: Host) -> None:
    host.frontend.close_listener()
    host.timers.clear()
    for client in list(host.frontend.clients):
        if client.transport is not None:
            client.transport.abort()
    for call in list(host.discovery.calls.values()):
        call.drop()
    for pool in [*host.pools.values(), host.discovery.pool]:
        pool.retire()
    if host.handover is not None:
        host.handover.shut()


def test_clients_notice_nothing_of_a_replacement(tmp_path: Path) -> None:
    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        release = asyncio.Event()

        async def slow(seen: Seen, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(answer(b"slow"))

        idle, busy, half = [await rig.connect() for _ in range(3)]
        for client in (idle, busy, half):
            await client.ask()
        for node in rig.nodes:
            node.script = slow
        busy.send()
        half.writer.write(b"GET /api/00000000000000aa HTTP/1.1\r\nX-Call-Id: 1\r\n")
        await until(lambda: rig.host.metrics.open == 1 and any(c.arriving for c in rig.host.frontend.clients))
        new = await successor(rig, folder, listener)
        assert (
            len(new.listed_nodes) == 2 and new.discovery.revision == 41
        ), "the list came from the old process"
        ended = stopped(rig.host)
        rig.host.stop()
        await until(lambda: len(new.frontend.clients) == 1)  # the idle one
        assert not ended
        release.set()
        seen = await busy.receive()
        assert seen is not None and seen.body == b"slow" and "connection" not in seen.headers
        half.writer.write(b"X-Call-Class: read\r\nX-Budget: 5\r\n\r\n")
        seen = await half.receive()
        assert seen is not None and seen.status == 200
        await until(lambda: ended)
        for client in (idle, busy, half):
            assert (await client.ask()).status == 200, "on the very connection that it had"
        assert new.metrics.classes["read"].fulfilled == 3
        assert (await rig.ask()).status == 200, "new connections come to the new process alone"
        assert new.metrics.classes["read"].fulfilled == 4
        close(new)

    replaced(tmp_path, test)


def test_where_the_new_process_dies_the_old_goes_on(tmp_path: Path) -> None:
    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        whole = rig.host.descriptor_limit
        first = await successor(rig, folder, listener)
        await until(lambda: rig.host.handover and rig.host.handover.links)
        assert rig.host.descriptor_limit < whole
        close(first)
        await until(lambda: rig.host.handover and not rig.host.handover.links)
        assert rig.host.descriptor_limit == whole and (await rig.ask()).status == 200
        second = await successor(rig, folder, listener)
        assert len(second.listed_nodes) == 2, "the old process can be found again"
        close(second)

    replaced(tmp_path, test)


def test_where_the_new_process_dies_in_the_midst_clients_are_sent_elsewhere(tmp_path: Path) -> None:
    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        new = await successor(rig, folder, listener)
        held = await rig.connect()
        held.writer.write(b"GET /api/00000000000000aa HTTP/1.1\r\nX-Call-Id: 1\r\n")
        await until(lambda: any(c.arriving for h in (rig.host, new) for c in h.frontend.clients))
        ended = stopped(rig.host)
        rig.host.stop()
        close(new)
        await until(lambda: rig.host.lifecycle.draining or ended)
        held.writer.transport.abort()
        await until(lambda: ended)

    replaced(tmp_path, test)


def test_what_one_process_is_told_the_other_hears(tmp_path: Path) -> None:
    """The rules see one proxy: a box that drains, and operators who send clients away."""

    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        _, writer = await rig.calls.get()
        new = await successor(rig, folder, listener)
        await until(lambda: rig.host.handover and rig.host.handover.links)
        draining = node_id("s-0")
        writer.write(rig.listing(42, False, [rig.entry(0, phase="draining")]))
        await until(lambda: new.listed_nodes[draining][2].state is State.DRAINING)
        assert new.discovery.revision == 41, "its own watch goes on from where it was"
        assert new.enter_standby() and new.lifecycle.draining
        await until(lambda: rig.host.lifecycle.draining)
        third = await successor(rig, folder, listener)
        assert third.lifecycle.draining, "who starts beside one on standby is on standby"
        assert rig.host.activate()
        await until(lambda: not new.lifecycle.draining and not third.lifecycle.draining)
        close(third)
        close(new)

    replaced(tmp_path, test)


def test_new_settings_and_a_list_that_is_out_of_reach_in_the_midst(tmp_path: Path) -> None:
    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        client = await rig.connect()
        await client.ask()
        rig.discovery.stop()
        new = await successor(rig, folder, listener)
        settings = make_settings(classes=(RequestClass("fresh", 5_000, 5_000),))
        for host in (rig.host, new):
            host.reload(replace(host.config, settings=settings))
        ended = stopped(rig.host)
        rig.host.stop()
        await until(lambda: ended and new.frontend.clients)
        assert (await client.ask(x_call_class="fresh")).status == 200
        assert (await client.ask(x_call_class="read")).status == 503
        close(new)

    replaced(tmp_path, test)


def test_two_replacements_in_a_row(tmp_path: Path) -> None:
    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        client = await rig.connect()
        await client.ask()
        second = await successor(rig, folder, listener)
        ended = stopped(rig.host)
        rig.host.stop()
        await until(lambda: ended and second.frontend.clients)
        third = await successor(rig, folder, listener)
        ended = stopped(second)
        second.stop()
        await until(lambda: ended and third.frontend.clients)
        assert (await client.ask()).status == 200
        close(third)
        close(second)

    replaced(tmp_path, test)


def test_connections_to_boxes_pass_on_as_well(tmp_path: Path) -> None:
    """The new process need not dial for each request, just when it gets all clients."""

    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        clients = [await rig.connect() for _ in range(6)]
        for client in clients:
            client.send()
        for client in clients:
            assert (seen := await client.receive()) is not None and seen.status == 200
        dialled = sum(node.connections for node in rig.nodes)
        new = await successor(rig, folder, listener)
        link = await heir_of(rig.host)
        await until(lambda: link.boxes)
        ended = stopped(rig.host)
        rig.host.stop()
        await until(lambda: ended and len(new.frontend.clients) == 6)
        await until(lambda: sum(len(pool.idle) for pool in new.pools.values()) == dialled)
        for client in clients:
            assert (await client.ask()).status == 200
        assert sum(node.connections for node in rig.nodes) == dialled
        assert new.descriptors_used == 6 + dialled, "the one to discovery is kept apart"
        assert rig.host.descriptors_used == 0
        close(new)

    replaced(tmp_path, test)


def test_a_box_connection_that_came_too_late_is_closed(tmp_path: Path) -> None:
    """The list has changed, or there is no room: what came along is not kept."""

    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        pool = next(iter(rig.host.pools.values()))
        node, address = next(iter(rig.host.pools)), "{}:{}".format(*pool.address)
        used = rig.host.descriptors_used
        for wrong in ((node + 1, address), (node, "127.0.0.1:1")):
            here, there = socket.socketpair()
            rig.host.adopt_node_connection(here, *wrong, 5.0)
            assert there.recv(1) == b"" and rig.host.descriptors_used == used
            there.close()
        here, there = socket.socketpair()
        rig.host.descriptor_limit = used
        rig.host.adopt_node_connection(here, node, address, 5.0)
        assert there.recv(1) == b"" and rig.host.descriptors_used == used
        there.close()

    replaced(tmp_path, test)


def test_what_passes_is_counted_before_the_next_report() -> None:
    shares = Shares()
    shares.joined("old")
    shares.moved("old", -5)
    assert shares.descriptors(100) == 50, "it has not told yet"
    shares.told("old", 70, 0)
    shares.moved("old", -30)
    assert shares.descriptors(100) == 60
    shares.moved("old", 30)
    assert shares.descriptors(100) == 30
    shares.moved("old", -300)
    assert shares.descriptors(100) == 100


def test_what_comes_along_with_the_handover_is_heard(tmp_path: Path) -> None:
    """The first report lay behind the handover and was dropped: for 100 ms the new process took the old one
    to use half of all descriptors, and had no room for the clients that it was passed."""

    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        here, there = socket.socketpair(socket.AF_UNIX)
        there.sendall(pack(rig.host.state()) + pack({"used": 200, "held": 7}))
        host = Host(rig.host.config, rig.host.loop)
        succession = host.handover = Succession(host, str(folder), "n1")
        succession.place.dial = lambda: here  # type: ignore[method-assign]
        assert succession.ask() == json.loads(json.dumps(rig.host.state()))
        succession.begin()
        assert host.descriptor_limit == host.total_descriptor_limit - 200
        there.close()
        close(host)

    replaced(tmp_path, test)


async def heir_of(host: Host) -> Link:
    """The link to the process that takes over."""
    await until(lambda: host.handover and host.handover.heir)
    assert host.handover is not None and host.handover.heir is not None
    return host.handover.heir


def test_a_stale_file_and_one_that_tells_nonsense(tmp_path: Path) -> None:
    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        other = folder / "other"
        other.mkdir()
        stale = Place(str(other), "n0")
        stale.listen().close()
        host = await successor(rig, other, listener)
        assert not host.listed_nodes, "nobody is there: it begins with what is known, here nothing"
        close(host)
        liar = Place(str(other), "n0").listen()
        asking = asyncio.create_task(successor(rig, other, listener))
        await until(lambda: not _would_block(liar, b"nonsense of some length"))
        host = await asking
        assert not host.listed_nodes
        close(host)
        liar.close()

    replaced(tmp_path, test)


def _would_block(listener: socket.socket, data: bytes) -> bool:
    try:
        sock, _ = listener.accept()
    except BlockingIOError:
        return True
    sock.sendall(data)
    sock.close()
    return False
