"""Long bodies, which go on to a box as they come: memory, slow boxes, repeats, drains, clients that stop."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from notchflow.interface import BodyArrived, BodyDiscarded, Outcome, Request, Send, Status, Timer
from notchflow.net import client as downstream
from notchflow.net import connection
from notchflow.net.client import STALL_TIMEOUT_MS
from notchflow.net.exchange import ClientRequest
from tests.helpers import make_balancer, sends
from tests.rig import Client, Peer, Rig, answer, run, until

MB = 1 << 20
PUT: dict[str, Any] = {"method": "PUT", "x_call_class": "keyed", "idempotency_key": "k1"}
Script = Callable[["Box", str, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Box(Peer):
    """A node whose script reads the request itself, from the end of its head on."""

    def __init__(self, script: Script) -> None:
        super().__init__()
        self.raw = script
        self.got = hashlib.sha256()
        self.size = self.begun = self.ended = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                self.begun += 1
                await self.raw(self, head, reader, writer)
                self.ended += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    def take(self, data: bytes) -> None:
        """Counts a part of the body."""
        self.got.update(data)
        self.size += len(data)


async def whole(box: Box, head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Reads all and answers."""
    if "transfer-encoding: chunked" in head:
        assert "content-length" not in head
        while size := int(await reader.readuntil(b"\r\n"), 16):
            box.take(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        left = int(head.partition("content-length: ")[2].partition("\r")[0] or 0)
        while left:
            data = await reader.read(min(left, MB))
            if not data:
                raise ConnectionError("cut off")
            left -= len(data)
            box.take(data)
    writer.write(answer(b"taken"))


async def turned_away(box: Box, _: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Has no room, and says so before the body has come."""
    await reader.readexactly(1)
    writer.write(answer(b"", "503 Service Unavailable", X_Rejected="1"))
    await reader.read()


class BodyRig(Rig):
    """The proxy between boxes that read as they like; two requests in a hundred seconds are no load."""

    def __init__(self, *scripts: Script, memory_mb: float = 64, **more: Any) -> None:
        super().__init__(limits={"memory_mb": memory_mb}, **more)
        self.boxes = [Box(script) for script in scripts]
        self.nodes = list(self.boxes)

    @property
    def size(self) -> int:
        """Bytes of bodies that have reached boxes."""
        return sum(box.size for box in self.boxes)

    @property
    def call(self) -> ClientRequest:
        """The one request that is arriving."""
        (call,) = [c.arriving for c in self.host.frontend.clients if c.arriving is not None]
        return call


def body_of(size: int) -> bytes:
    return b"".join(hashlib.sha256(b"%d" % n).digest() for n in range(64)) * (size // 2048)


async def push(client: Client, data: bytes) -> None:
    """Writes as fast as the proxy reads."""
    for at in range(0, len(data), MB):
        client.writer.write(data[at : at + MB])
        await client.writer.drain()


def test_a_body_larger_than_memory_passes_through() -> None:
    async def test() -> None:
        async with BodyRig(whole, whole) as rig:
            body, most = body_of(32 * MB), 0
            assert len(body) > 3 * rig.host.buffer_limit
            client = await rig.connect()
            client.send(**PUT, content_length=str(len(body)))
            for at in range(0, len(body), MB):
                await push(client, body[at : at + MB])
                most = max(most, rig.host.buffered_bytes)
            seen = await client.receive()
            assert seen is not None and seen.status == 200
            assert most < rig.host.buffer_limit + MB and rig.host.buffered_bytes == 0
            (box,) = [box for box in rig.boxes if box.size]
            assert box.got.digest() == hashlib.sha256(body).digest()
            assert rig.host.metrics.classes["keyed"].relayed == 1
            assert (await client.ask()).status == 200, "the connection is good for more"

    run(test(), 30)


def test_chunks_come_as_chunks_and_trailers_end_here() -> None:
    async def test() -> None:
        async with BodyRig(whole) as rig:
            body = body_of(MB)
            client = await rig.connect()
            client.send(**PUT, transfer_encoding="chunked")
            for at in range(0, MB, 100_000):
                piece = body[at : at + 100_000]
                client.writer.write(b"%x;name=value\r\n%b\r\n" % (len(piece), piece))
            client.writer.write(b"0\r\nX-After: 1\r\n\r\n")
            seen = await client.receive()
            assert seen is not None and seen.status == 200
            assert rig.boxes[0].got.digest() == hashlib.sha256(body).digest()

    run(test())


@pytest.mark.parametrize("memory_mb", [64, 512])
def test_a_box_that_stops_reading_holds_the_client_and_costs_it_no_time(memory_mb: float) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def waits(box: Box, head: str, *streams: Any) -> None:
            await release.wait()
            await whole(box, head, *streams)

        async with BodyRig(waits, memory_mb=memory_mb) as rig:
            body = body_of(32 * MB)
            client = await rig.connect()
            client.send(**PUT, content_length=str(len(body)))
            pushing = asyncio.create_task(push(client, body))
            clients = rig.host.frontend.clients
            await until(lambda: any(c.body_paused_at is not None for c in clients) and rig.boxes[0].begun)
            (kept,) = clients
            assert rig.host.buffered_bytes < rig.host.buffer_limit + MB and rig.call.body_size < len(body)
            kept.close_if_timed_out(rig.host.clock.now() + 5_000)
            assert not kept.closing, "it is not the client that is slow"
            release.set()
            await pushing
            seen = await client.receive()
            assert seen is not None and seen.status == 200
            assert rig.boxes[0].got.digest() == hashlib.sha256(body).digest()

    run(test(), 30)


def test_a_box_that_reads_no_more_is_given_up_and_another_gets_all_of_it() -> None:
    async def test() -> None:
        over = asyncio.Event()

        async def deaf(box: Box, *_: Any) -> None:
            await over.wait()

        async with BodyRig(deaf, deaf, memory_mb=512) as rig:
            body = body_of(16 * MB)
            client = await rig.connect()
            client.send(**PUT, content_length=str(len(body)))
            pushing = asyncio.create_task(push(client, body))
            clients = rig.host.frontend.clients
            await until(
                lambda: any(c.body_paused_at is not None for c in clients)
                and any(box.begun for box in rig.boxes)
            )
            first = next(box for box in rig.boxes if box.begun)
            for box in rig.boxes:
                box.raw = whole
            (kept,) = clients
            kept.close_if_timed_out(rig.host.clock.now() + STALL_TIMEOUT_MS + 1)
            await pushing
            seen = await client.receive()
            assert seen is not None and seen.status == 200
            (second,) = [box for box in rig.boxes if box is not first]
            assert second.got.digest() == hashlib.sha256(body).digest()
            over.set()

    run(test(), 30)


def test_who_is_turned_away_is_sent_elsewhere_with_all_that_has_come() -> None:
    first: list[Box] = []

    async def script(box: Box, head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        first.append(box)
        await (turned_away if len(first) == 1 else whole)(box, head, reader, writer)

    async def test() -> None:
        async with BodyRig(script, script) as rig:
            body = body_of(4 * MB)
            client = await rig.connect()
            client.send(**PUT, content_length=str(len(body)))
            await push(client, body[: 2 * MB])
            await until(lambda: len(first) == 2 and first[1].size)
            await push(client, body[2 * MB :])
            seen = await client.receive()
            assert seen is not None and seen.status == 200
            assert first[1] is not first[0] and len(first) == 2
            assert first[1].got.digest() == hashlib.sha256(body).digest()

    run(test())


def test_once_the_start_is_not_held_no_other_box_is_tried_and_the_client_may() -> None:
    """It never ran, as its last byte was not written: that is promised to the client."""

    async def test() -> None:
        gone = asyncio.Event()

        async def breaks(
            box: Box, _: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while not gone.is_set():
                box.take(await reader.read(MB))
            writer.transport.abort()

        async with BodyRig(breaks, breaks, memory_mb=64) as rig:
            told = rig.told(BodyDiscarded)
            body = body_of(16 * MB)
            client = await rig.connect()
            client.send(**PUT, content_length=str(len(body)))
            await push(client, body[: 12 * MB])
            await until(lambda: told)
            assert rig.call.body_start_dropped
            gone.set()
            client.writer.write(body[12 * MB : 13 * MB])
            seen = await client.receive()
            assert seen is not None and seen.status == 503
            assert sum(box.begun for box in rig.boxes) == 1 and rig.host.buffered_bytes == 0
            assert not rig.host.active_requests and not rig.host.balancer.pending

    run(test())


def test_a_box_that_begins_to_drain_gets_no_last_byte() -> None:
    """With its last byte a request counts as new there."""

    async def test() -> None:
        async with BodyRig(whole, whole) as rig:
            _, watch = await rig.calls.get()
            body = body_of(4 * MB)
            client = await rig.connect()
            client.send(**PUT, content_length=str(len(body)))
            await push(client, body[: 2 * MB])
            await until(lambda: rig.size)
            (first,) = [n for n, box in enumerate(rig.boxes) if box.begun]
            watch.write(rig.listing(42, False, [rig.entry(first, phase="draining")]))
            await until(lambda: rig.boxes[1 - first].begun)
            await push(client, body[2 * MB :])
            seen = await client.receive()
            assert seen is not None and seen.status == 200
            assert rig.boxes[first].ended == 0 or rig.boxes[first].size < len(body)
            assert rig.boxes[1 - first].got.digest() == hashlib.sha256(body).digest()

    run(test())


@pytest.mark.parametrize("way", ["reset", "end", "chunk", "silence"])
def test_a_client_that_stops_in_the_midst_leaves_nothing_behind(way: str) -> None:
    async def test() -> None:
        async with BodyRig(whole) as rig:
            client = await rig.connect()
            framing: dict[str, Any] = {"content_length": str(4 * MB)}
            if way == "chunk":
                framing = {"transfer_encoding": "chunked"}
            client.send(**PUT, **framing)
            if way == "chunk":
                client.writer.write(b"%x\r\n" % (4 * MB))
            await push(client, body_of(MB))
            await until(lambda: rig.size == MB)
            (kept,) = rig.host.frontend.clients
            if way == "reset":
                client.reset()
            elif way == "end":
                client.writer.write_eof()
            elif way == "chunk":
                client.writer.write(body_of(3 * MB) + b"nonsense")
            else:
                kept.close_if_timed_out(rig.host.clock.now() + 60_000)
            if way in ("chunk", "silence"):
                seen = await client.receive()
                assert seen is not None and seen.status == {"chunk": 400, "silence": 408}[way]
                assert rig.host.metrics.classes["keyed"].faulted == 1
            await until(lambda: not rig.host.active_requests and not rig.boxes[0].open)
            assert rig.host.buffered_bytes == 0 and not rig.host.balancer.pending and rig.boxes[0].ended == 0
            assert rig.host.metrics.open == 0

    run(test())


@pytest.mark.parametrize("path, status", [("/elsewhere/00aa", 404), ("/api/00aa", 503)])
def test_a_long_body_that_nobody_wants_is_answered_before_it_has_come(path: str, status: int) -> None:
    async def test() -> None:
        async with BodyRig(whole, members=[]) as rig:
            client = await rig.connect()
            client.send("PUT", path, x_call_class="keyed", content_length=str(4 * MB))
            await push(client, body_of(MB))
            seen = await client.receive()
            assert seen is not None and seen.status == status
            assert rig.host.metrics.open == 0 and rig.size == 0
            await push(client, body_of(3 * MB))  # read and dropped: a reset would cost it the answer
            assert (await client.ask(path="/health/ready")).status == 200, "the connection is good for more"
            await until(lambda: rig.host.frontend.idle)
            client.send("PUT", path, x_call_class="keyed", connection="close", content_length=str(4 * MB))
            await push(client, body_of(MB))
            seen = await client.receive()
            assert seen is not None and seen.status == status and seen.headers["connection"] == "close"
            await push(client, body_of(3 * MB))
            assert await client.receive() is None and client.reader.at_eof()

    run(test())


def test_the_time_of_a_body_is_neither_the_clients_nor_the_boxs() -> None:
    async def test() -> None:
        async with BodyRig(whole) as rig:
            outcomes = rig.told(Outcome)
            client = await rig.connect()
            client.send(**PUT, x_budget="0.3", content_length=str(MB))
            await push(client, body_of(MB // 2))
            await until(lambda: rig.size == MB // 2)
            await asyncio.sleep(0.5)
            assert rig.call.active is not None and rig.call.active.deadline > rig.host.clock.now() + 5_000
            await push(client, body_of(MB // 2))
            seen = await client.receive()
            assert seen is not None and seen.status == 200, "0.3 s from the last byte on"
            assert outcomes[0].latency_ms < 300

    run(test())


def test_no_second_copy_goes_out_of_a_body_that_is_still_coming() -> None:
    balancer = make_balancer()
    for number in range(40):  # learns what is usual
        (sent,) = sends(balancer.handle(number, Request(number, "keyed", 5_000, "k", write=True)))
        balancer.handle(number + 1, Outcome(number, 0, sent.node, Status.OK, 1.0, True))
    (sent,) = sends(
        balancer.handle(100, Request(100, "keyed", 90_000, "k", write=True, body_incomplete=True))
    )
    node = balancer.pending[100].outstanding[0][0]
    node.newest = 1e9  # what was sent there later has been served
    late = [a for a in balancer.handle(5_000, Timer("second")) if isinstance(a, Send)]
    assert not late
    balancer.handle(5_001, BodyArrived(100, 6_000))
    assert balancer.pending[100].deadline == 6_000
    balancer.handle(5_002, BodyDiscarded(100))
    assert not sends(balancer.handle(5_003, Outcome(100, 0, sent.node, Status.FULL))), "no attempt anew"


def test_small_pieces_go_on_as_they_come_too() -> None:
    """Guards against pieces that pile up, uncounted, until the body's end."""

    async def test() -> None:
        async with BodyRig(whole) as rig:
            client = await rig.connect()
            client.send(**PUT, content_length=str(MB))
            await push(client, body_of(MB // 2))
            await until(lambda: rig.size == MB // 2)
            (kept,) = rig.host.frontend.clients
            for count in range(1, 9):
                client.writer.write(bytes(1_000))
                await until(lambda count=count: rig.size == MB // 2 + count * 1_000)  # type: ignore[misc]
                assert not kept.unsent_pieces

    run(test())


def test_neither_a_long_body_nor_a_long_answer_takes_more_than_one_read_of_a_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against 8 MiB read at once, while all other clients wait (100 ms beside a body of 32 MB)."""
    reads: dict[type, list[bool]] = {downstream.ClientConnection: [], connection.Connection: []}
    for kind, seen in reads.items():
        received = kind.data_received  # type: ignore[attr-defined]

        def counted(self: Any, data: bytes, seen: list[bool] = seen, received: Any = received) -> None:
            seen.append(self.read_limit_reached)
            received(self, data)

        monkeypatch.setattr(kind, "data_received", counted)

    async def long(box: Box, head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if head.startswith("get"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (16 * MB) + body_of(16 * MB))
        else:
            await whole(box, head, reader, writer)

    async def test() -> None:
        async with BodyRig(long) as rig:
            client = await rig.connect()
            client.send(**PUT, content_length=str(16 * MB))
            await push(client, body_of(16 * MB))
            assert (seen := await client.receive()) is not None and seen.body == b"taken"
            assert len((await client.ask()).body) == 16 * MB
        for kind, over in reads.items():
            assert len(over) > 10 and not any(over), kind

    run(test(), 30)


def test_a_connection_whose_answer_ended_while_its_client_was_slow_is_read_again() -> None:
    async def test() -> None:
        size = 300_000  # over what is held, and over what the client's kernel takes in one go

        async def long(box: Box, head: str, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + bytes(size))

        async with BodyRig(long) as rig:
            first = await rig.connect()
            first.send()
            await until(lambda: any(pool.idle for pool in rig.host.pools.values()))
            (connection,) = [c for pool in rig.host.pools.values() for c in pool.idle]
            connection.hold(True)  # as it is where the last bytes came with those that filled the buffer
            assert (seen := await rig.ask()).status == 200 and len(seen.body) == size
            assert len(rig.boxes[0].open) == 1, "on that very connection"

    run(test())
