"""The keeper between door and store: full and slow disks, clients that leave, records that cannot be read."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import Any, cast

import pytest

from notchflow.effects.keeper import Guard, Keeper, this_boot
from notchflow.effects.memory import Rule
from notchflow.effects.record import Effect, Fate
from notchflow.interface import Effect as Kind
from notchflow.net.exchange import ClientRequest, Downstream, LocalReply
from notchflow.store.commit import Committer
from notchflow.store.engine import Engine
from standins.faulty_files import FaultyFiles
from tests.rig import run, until
from tests.store.test_commit import Slow
from tests.store.world import SMALL

BUSY = LocalReply(503)
RULES = {"pay": Rule(Kind.UNSAFE, 60_000), "slot": Rule(Kind.KEYED, 60_000, 750.0)}


class Client:
    """Takes answers that come later."""

    buffered_bytes = 0

    def __init__(self) -> None:
        self.told: list[LocalReply] = []

    def answer(self, call: ClientRequest, reply: LocalReply) -> None:
        self.told.append(reply)


class Bench:
    """A keeper on a store in a folder that fails, with timers that the test fires."""

    classes = {"pay": 1_000.0, "slot": 1_000.0}

    def __init__(self, files: FaultyFiles, queue_bytes: int = 1 << 20) -> None:
        self.files = files
        engine = Engine(files, lambda: 1000, SMALL)
        self.store = Committer(engine, asyncio.get_running_loop().call_soon_threadsafe, queue_bytes)
        self.store.start()
        self.timers: dict[int, tuple[Callable[..., None], Any]] = {}
        self.now = 5_000
        self.keeper = Keeper(self.store, cast(Any, self), self._cancel, boot=7, clock=lambda: self.now)
        self.keeper.rules = RULES
        self.sent: list[bytes] = []

    def call_at(self, due: float, call: Callable[..., None], argument: Any = None) -> Any:
        number = len(self.timers)
        self.timers[number] = call, argument
        return number

    def _cancel(self, handle: Any) -> None:
        del self.timers[handle]

    def fire(self) -> None:
        """Every deadline that is set passes."""
        timers, self.timers = self.timers, {}
        for call, argument in timers.values():
            call(argument)

    def ask(self, key: bytes, cls: str = "pay", body: bytes = b"") -> tuple[Guard, Client, LocalReply | None]:
        client = Client()
        call = ClientRequest(cast(Downstream, client), client)
        call.method, call.url, call.body = b"POST", b"/pay", [body]
        guard = self.keeper.guard(call, cls, key, BUSY, lambda earlier: self.sent.append(key))
        assert guard is not None
        return guard, client, guard.begin(call, cls)


def test_a_full_disk_in_a_crush_refuses_payments_unsent_and_takes_them_once_there_is_room() -> None:
    async def test() -> None:
        bench = Bench(FaultyFiles())
        bench.files.capacity = sum(len(i.seen) for i in bench.files.files.values()) + 10
        asked = [bench.ask(b"o-%d" % n) for n in range(200)]
        await until(lambda: all(client.told or reply for _, client, reply in asked))
        assert {reply or client.told[0] for _, client, reply in asked} == {BUSY}
        assert bench.sent == [] and bench.keeper.memory.hand == {} and bench.timers == {}
        assert bench.keeper.refused == 200 and bench.keeper.figures()["store"] == "full"
        bench.files.capacity = None
        for n in range(200):
            assert bench.ask(b"o-%d" % n)[2] is None
        await until(lambda: len(bench.sent) == 200)
        assert bench.keeper.figures()["store"] == "open"
        bench.store.stop()

    run(test())


def test_a_disk_that_failed_refuses_what_must_be_remembered_until_a_restart() -> None:
    async def test() -> None:
        bench = Bench(FaultyFiles())
        bench.files.errors = {bench.files.operations + 2: errno.EIO}
        _, client, reply = bench.ask(b"o-1")
        await until(lambda: client.told)
        assert reply is None and client.told == [BUSY]
        for cls in ("pay", "slot"):
            assert bench.ask(b"o-2", cls)[2] is BUSY
        assert bench.sent == [] and bench.keeper.memory.hand == {}
        bench.store.stop()

    run(test())


def test_a_slow_disk_refuses_at_the_deadline_and_what_was_refused_is_never_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        slow = Slow(monkeypatch)
        bench = Bench(FaultyFiles())
        slow.go.clear()
        guard, client, reply = bench.ask(b"o-1")
        assert reply is None and len(bench.timers) == 1
        bench.fire()
        assert client.told == [BUSY]
        guard.ended(503, False)
        assert bench.ask(b"o-1")[2] is not BUSY, "it is in hand until the disk has spoken"
        slow.go.set()
        await until(lambda: not bench.keeper.memory.hand)
        assert bench.sent == []
        assert bench.ask(b"o-1")[2] is None
        await until(lambda: bench.sent == [b"o-1"])
        bench.store.stop()

    run(test())


def test_a_client_that_leaves_while_its_intent_is_written_frees_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        slow = Slow(monkeypatch)
        bench = Bench(FaultyFiles())
        slow.go.clear()
        guard, _, _ = bench.ask(b"o-1")
        guard.ended(0, False)
        slow.go.set()
        await until(lambda: not bench.keeper.memory.hand)
        assert bench.sent == [] and bench.timers == {}
        await until(lambda: not bench.store.known(b"o-1"))
        bench.store.stop()

    run(test())


def test_the_end_of_another_request_under_the_key_changes_nothing_of_the_first() -> None:
    """Guards against a repeat's answer being taken for the end of the one that is out."""

    async def test() -> None:
        bench = Bench(FaultyFiles())
        first, _, _ = bench.ask(b"o-1")
        await until(lambda: bench.sent)
        second, _, reply = bench.ask(b"o-1")
        assert reply is not None and reply.status == 409
        second.ended(409, False)
        assert bench.ask(b"o-1")[2] is not None, "the first is out still"
        first.ended(200, True)
        await until(lambda: not bench.keeper.memory.hand)
        _, client, reply = bench.ask(b"o-1")
        await until(lambda: client.told)
        assert reply is None and client.told[0].status == 200 and b"served" in client.told[0].body
        bench.store.stop()

    run(test())


def test_a_record_that_is_not_ours_or_cannot_be_read_is_refused_and_not_sent() -> None:
    async def test() -> None:
        bench = Bench(FaultyFiles())
        from notchflow.store.engine import Change
        from notchflow.store.frames import Kind as Record

        done: list[object] = []
        effect = Effect(Fate.SERVED, b"f" * 16, 7, 1, 200).encode()
        changes = [Change(Record.PUT, b"odd", b"?"), Change(Record.PUT, b"bent", effect)]
        bench.store.submit(changes, done.append)
        await until(lambda: done)
        entry = bench.store.engine.index.get(b"bent")
        assert entry is not None
        name = next(n for n in bench.files.files if n.endswith(".log"))
        bench.files.files[name].seen[entry.offset + entry.length - 1] ^= 1
        for key in (b"odd", b"bent"):
            _, client, reply = bench.ask(key)
            await until(lambda c=client: c.told)  # type: ignore[misc]
            assert reply is None and client.told == [BUSY]
        assert bench.sent == [] and bench.keeper.memory.hand == {}
        bench.store.stop()

    run(test())


def test_a_keyed_write_is_sent_at_once_and_known_to_have_been() -> None:
    async def test() -> None:
        bench = Bench(FaultyFiles())
        guard, _, reply = bench.ask(b"s-1", "slot")
        assert reply is None and bench.sent == [b"s-1"], "it does not wait for the disk"
        guard.ended(502, True)
        await until(lambda: not bench.keeper.memory.hand)
        bench.now += 400
        _, client, _ = bench.ask(b"s-1", "slot")
        await until(lambda: len(bench.sent) == 2)
        bench.keeper.memory.hand.clear()
        bench.now += 400
        _, client, _ = bench.ask(b"s-1", "slot")
        await until(lambda: client.told)
        assert client.told[0].status == 409 and len(bench.sent) == 2, "the window is over"
        bench.store.stop()

    run(test())


def test_a_boot_has_one_name() -> None:
    assert this_boot() == this_boot() != 0
