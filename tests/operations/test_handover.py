"""The state that passes from one process to the next, without an effect on clients."""

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
from notchflow.net.handover import Handover, HandoverLink, HandoverSocket
from notchflow.net.host import Host
from notchflow.net.node_list import node_id
from notchflow.operations.handover import (
    FORMAT_VERSION,
    HEADER,
    MAGIC,
    FrameReader,
    HandoverError,
    LimitShares,
    encode_frame,
)
from tests.helpers import make_balancer, make_request, make_settings, sends
from tests.rig import HttpMessage, Rig, answer, intercept_stop, run, serve_value, wait_until

ANY = ("127.0.0.1", 0)


def test_frames_are_reassembled_from_pieces_of_any_size() -> None:
    frames = encode_frame({"a": 1}) + encode_frame({"b": "x" * 300})
    for size in (1, 7, len(frames)):
        reader, got = FrameReader(), []
        for at in range(0, len(frames), size):
            got += reader.feed(frames[at : at + size])
        assert got == [{"a": 1}, {"b": "x" * 300}]


@pytest.mark.parametrize(
    "data",
    [
        HEADER.pack(b"ELSE", FORMAT_VERSION, 2) + b"{}",
        HEADER.pack(MAGIC, FORMAT_VERSION + 1, 2) + b"{}",
        HEADER.pack(MAGIC, FORMAT_VERSION, 1 << 30),
        HEADER.pack(MAGIC, FORMAT_VERSION, 3) + b"{]x",
        HEADER.pack(MAGIC, FORMAT_VERSION, 2) + b"[]",
    ],
)
def test_input_that_is_not_a_frame_of_this_format_is_an_error(data: bytes) -> None:
    with pytest.raises(HandoverError):
        FrameReader().feed(data)


def test_a_process_is_limited_to_what_the_others_leave() -> None:
    shares = LimitShares()
    assert shares.descriptor_limit(300) == 300
    shares.add_process("b")
    assert shares.descriptor_limit(300) == 150, "until its first report"
    shares.record_usage("b", 40, 1e6)
    assert shares.descriptor_limit(300) == 260 and shares.buffer_limit(3e6) == 2e6
    shares.record_usage("b", 299, 0)
    assert shares.descriptor_limit(300) == 60, "a minimum is left, whatever the other uses"
    shares.remove_process("b")
    assert shares.descriptor_limit(300) == 300


def learned() -> tuple[Any, dict[str, Any]]:
    """Returns a balancer that has learned from outcomes, and the state that it exports."""
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


def test_the_policy_starts_from_the_state_of_another() -> None:
    old, exported = learned()
    new = make_balancer(now=50_000)
    new.restore_state(50_000, exported)
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
def test_a_malformed_state_changes_nothing(change: dict[str, Any]) -> None:
    _, exported = learned()
    new = make_balancer()
    before = new.export_state(0)
    with pytest.raises((KeyError, TypeError, ValueError, AttributeError)):
        new.restore_state(0, exported | change)
    assert new.export_state(0) == before


async def start_successor(rig: Rig, folder: Path, listener: socket.socket) -> Host:
    """Starts a second host as another process of the same proxy would. It waits for the state of the first
    host, which here runs on the same loop."""
    config = replace(
        rig.host.config,
        accept_fd=os.dup(listener.fileno()),
        known=replace(rig.host.config.known, revision=0, members=()),
    )
    host = Host(config, rig.host.loop)
    handover = host.handover = Handover(host, str(folder), "n0")
    state = await asyncio.get_running_loop().run_in_executor(None, handover.request_state)
    handover.request_state = lambda: state  # type: ignore[method-assign]
    host.start()
    return host


Test = Callable[[Rig, Path, socket.socket], Any]


def run_with_predecessor(tmp_path: Path, test: Test) -> None:
    async def play() -> None:
        listener = socket.create_server(ANY)
        async with Rig(
            serve_value, serve_value, config_options={"accept_fd": os.dup(listener.fileno())}
        ) as rig:
            rig.host.handover = Handover(rig.host, str(tmp_path), "n0")
            rig.host.handover.start()
            await test(rig, tmp_path, listener)
            rig.host.handover.close()
        listener.close()

    run(play())


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
        host.handover.close()


def test_clients_notice_nothing_of_a_replacement(tmp_path: Path) -> None:
    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        release = asyncio.Event()

        async def slow(seen: HttpMessage, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(answer(b"slow"))

        idle, busy, half = [await rig.connect() for _ in range(3)]
        for client in (idle, busy, half):
            await client.request()
        for node in rig.nodes:
            node.script = slow
        busy.send()
        half.writer.write(b"GET /api/00000000000000aa HTTP/1.1\r\nX-Call-Id: 1\r\n")
        await wait_until(
            lambda: rig.host.metrics.open == 1 and any(c.arriving for c in rig.host.frontend.clients)
        )
        new = await start_successor(rig, folder, listener)
        assert (
            len(new.listed_nodes) == 2 and new.discovery.revision == 41
        ), "the list came from the old process"
        ended = intercept_stop(rig.host)
        rig.host.stop()
        await wait_until(lambda: len(new.frontend.clients) == 1)  # the idle connection
        assert not ended
        release.set()
        seen = await busy.receive()
        assert seen is not None and seen.body == b"slow" and "connection" not in seen.headers
        half.writer.write(b"X-Call-Class: read\r\nX-Budget: 5\r\n\r\n")
        seen = await half.receive()
        assert seen is not None and seen.status == 200
        await wait_until(lambda: ended)
        for client in (idle, busy, half):
            assert (await client.request()).status == 200, "on the same connection as before"
        assert new.metrics.classes["read"].fulfilled == 3
        assert (await rig.request()).status == 200, "new connections reach only the new process"
        assert new.metrics.classes["read"].fulfilled == 4
        close(new)

    run_with_predecessor(tmp_path, test)


def test_the_old_process_goes_on_if_the_new_one_dies(tmp_path: Path) -> None:
    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        total = rig.host.descriptor_limit
        first = await start_successor(rig, folder, listener)
        await wait_until(lambda: rig.host.handover and rig.host.handover.links)
        assert rig.host.descriptor_limit < total
        close(first)
        await wait_until(lambda: rig.host.handover and not rig.host.handover.links)
        assert rig.host.descriptor_limit == total and (await rig.request()).status == 200
        second = await start_successor(rig, folder, listener)
        assert len(second.listed_nodes) == 2, "the old process listens again"
        close(second)

    run_with_predecessor(tmp_path, test)


def test_clients_are_sent_elsewhere_if_the_new_process_dies_during_the_handover(tmp_path: Path) -> None:
    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        new = await start_successor(rig, folder, listener)
        held = await rig.connect()
        held.writer.write(b"GET /api/00000000000000aa HTTP/1.1\r\nX-Call-Id: 1\r\n")
        await wait_until(lambda: any(c.arriving for h in (rig.host, new) for c in h.frontend.clients))
        ended = intercept_stop(rig.host)
        rig.host.stop()
        close(new)
        await wait_until(lambda: rig.host.lifecycle.draining or ended)
        held.writer.transport.abort()
        await wait_until(lambda: ended)

    run_with_predecessor(tmp_path, test)


def test_updates_reach_the_other_processes(tmp_path: Path) -> None:
    """The rules see one proxy: a node that drains, and standby, apply to all its processes."""

    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        _, writer = await rig.discovery_calls.get()
        new = await start_successor(rig, folder, listener)
        await wait_until(lambda: rig.host.handover and rig.host.handover.links)
        draining = node_id("s-0")
        writer.write(rig.list_answer(42, False, [rig.entry(0, phase="draining")]))
        await wait_until(lambda: new.listed_nodes[draining][2].state is State.DRAINING)
        assert new.discovery.revision == 41, "its own watch keeps its revision"
        assert new.enter_standby() and new.lifecycle.draining
        await wait_until(lambda: rig.host.lifecycle.draining)
        third = await start_successor(rig, folder, listener)
        assert third.lifecycle.draining, "a process that starts beside one on standby is on standby"
        assert rig.host.activate()
        await wait_until(lambda: not new.lifecycle.draining and not third.lifecycle.draining)
        close(third)
        close(new)

    run_with_predecessor(tmp_path, test)


def test_settings_change_during_a_handover_while_discovery_is_unreachable(tmp_path: Path) -> None:
    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        client = await rig.connect()
        await client.request()
        rig.discovery.stop()
        new = await start_successor(rig, folder, listener)
        settings = make_settings(classes=(RequestClass("fresh", 5_000, 5_000),))
        for host in (rig.host, new):
            host.reload(replace(host.config, settings=settings))
        ended = intercept_stop(rig.host)
        rig.host.stop()
        await wait_until(lambda: ended and new.frontend.clients)
        assert (await client.request(x_call_class="fresh")).status == 200
        assert (await client.request(x_call_class="read")).status == 503
        close(new)

    run_with_predecessor(tmp_path, test)


def test_two_replacements_in_a_row(tmp_path: Path) -> None:
    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        client = await rig.connect()
        await client.request()
        second = await start_successor(rig, folder, listener)
        ended = intercept_stop(rig.host)
        rig.host.stop()
        await wait_until(lambda: ended and second.frontend.clients)
        third = await start_successor(rig, folder, listener)
        ended = intercept_stop(second)
        second.stop()
        await wait_until(lambda: ended and third.frontend.clients)
        assert (await client.request()).status == 200
        close(third)
        close(second)

    run_with_predecessor(tmp_path, test)


def test_nodes_that_a_whole_list_lacks_are_removed_in_all_processes_of_a_proxy(tmp_path: Path) -> None:
    """Guards against a process that sends to a node whose removal another one of this proxy was told."""

    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        new = await start_successor(rig, folder, listener)
        await link_to_successor(rig.host)
        await wait_until(lambda: rig.host.discovery.calls)
        _, writer = await rig.discovery_calls.get()
        writer.write(rig.list_answer(43, True, [rig.entry(0)]))
        await wait_until(lambda: [len(host.listed_nodes) for host in (rig.host, new)] == [1, 1])
        assert [len(host.balancer.fleet.ready) for host in (rig.host, new)] == [1, 1]
        close(new)

    run_with_predecessor(tmp_path, test)


def test_connections_to_nodes_are_handed_over(tmp_path: Path) -> None:
    """Guards against a new process that opens a connection per request just as it takes over all clients."""

    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        clients = [await rig.connect() for _ in range(6)]
        for client in clients:
            client.send()
        for client in clients:
            assert (seen := await client.receive()) is not None and seen.status == 200
        dialled = sum(node.connections for node in rig.nodes)
        new = await start_successor(rig, folder, listener)
        link = await link_to_successor(rig.host)
        await wait_until(lambda: link.takes_node_connections)
        ended = intercept_stop(rig.host)
        rig.host.stop()
        await wait_until(lambda: ended and len(new.frontend.clients) == 6)
        await wait_until(lambda: sum(len(pool.idle) for pool in new.pools.values()) == dialled)
        for client in clients:
            await rig.wait_for_reuse(new)
            assert (await client.request()).status == 200
        assert sum(node.connections for node in rig.nodes) == dialled
        assert new.descriptors_used == 6 + dialled, "the connection to discovery is not counted"
        assert rig.host.descriptors_used == 0
        close(new)

    run_with_predecessor(tmp_path, test)


def test_a_node_connection_that_cannot_be_used_is_closed(tmp_path: Path) -> None:
    """If the list has changed or no descriptor is free, a connection handed over is closed."""

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

    run_with_predecessor(tmp_path, test)


def test_transfers_are_counted_before_the_next_usage_report() -> None:
    shares = LimitShares()
    shares.add_process("old")
    shares.record_transfer("old", -5)
    assert shares.descriptor_limit(100) == 50, "it has not reported yet"
    shares.record_usage("old", 70, 0)
    shares.record_transfer("old", -30)
    assert shares.descriptor_limit(100) == 60
    shares.record_transfer("old", 30)
    assert shares.descriptor_limit(100) == 30
    shares.record_transfer("old", -300)
    assert shares.descriptor_limit(100) == 100


def test_frames_that_arrive_with_the_state_are_handled(tmp_path: Path) -> None:
    """Guards against dropping the first usage report, which follows the state in the same read: for 100 ms
    the new process assumed that the old one used half of all descriptors, and had none for the clients handed
    over."""

    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        here, there = socket.socketpair(socket.AF_UNIX)
        there.sendall(encode_frame(rig.host.export_state()) + encode_frame({"used": 200, "held": 7}))
        host = Host(rig.host.config, rig.host.loop)
        handover = host.handover = Handover(host, str(folder), "n1")
        handover.handover_socket.connect = lambda: here  # type: ignore[method-assign]
        assert handover.request_state() == json.loads(json.dumps(rig.host.export_state()))
        handover.start()
        assert host.descriptor_limit == host.total_descriptor_limit - 200
        there.close()
        close(host)

    run_with_predecessor(tmp_path, test)


async def link_to_successor(host: Host) -> HandoverLink:
    """Returns the link to the process that takes over."""
    await wait_until(lambda: host.handover and host.handover.successor)
    assert host.handover is not None and host.handover.successor is not None
    return host.handover.successor


def test_a_stale_socket_file_and_a_peer_that_sends_garbage(tmp_path: Path) -> None:
    async def test(rig: Rig, folder: Path, listener: socket.socket) -> None:
        other = folder / "other"
        other.mkdir()
        stale = HandoverSocket(str(other), "n0")
        stale.listen().close()
        host = await start_successor(rig, other, listener)
        assert not host.listed_nodes, "no process runs: it starts with the known list, which is empty here"
        close(host)
        malformed_peer = HandoverSocket(str(other), "n0").listen()
        starting = asyncio.create_task(start_successor(rig, other, listener))
        await wait_until(lambda: not _would_block(malformed_peer, b"nonsense of some length"))
        host = await starting
        assert not host.listed_nodes
        close(host)
        malformed_peer.close()

    run_with_predecessor(tmp_path, test)


def _would_block(listener: socket.socket, data: bytes) -> bool:
    try:
        sock, _ = listener.accept()
    except BlockingIOError:
        return True
    sock.sendall(data)
    sock.close()
    return False
