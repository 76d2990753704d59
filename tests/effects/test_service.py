"""The idempotency service on a store: full, failed and slow disks, clients that leave, unreadable records."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import Any, cast

import pytest

from notchflow.effects.record import Effect, Fate
from notchflow.effects.service import Guard, IdempotencyService, boot_id
from notchflow.effects.tracker import IdempotencyRule
from notchflow.interface import Effect as Kind
from notchflow.net.exchange import ClientRequest, Downstream, LocalReply
from notchflow.store.commit import Committer
from notchflow.store.engine import Engine
from standins.faulty_files import FaultyFiles
from tests.rig import run, wait_until
from tests.store.model import SMALL
from tests.store.test_commit import BlockedSync

BUSY = LocalReply(503)
RULES = {"pay": IdempotencyRule(Kind.UNSAFE, 60_000), "slot": IdempotencyRule(Kind.KEYED, 60_000, 750.0)}


class Client:
    """Collects the replies that come later."""

    buffered_bytes = 0

    def __init__(self) -> None:
        self.replies: list[LocalReply] = []

    def answer(self, call: ClientRequest, reply: LocalReply) -> None:
        self.replies.append(reply)


class Harness:
    """A `IdempotencyService` on a store with fault injection, with timers that the test fires."""

    classes = {"pay": 1_000.0, "slot": 1_000.0}

    def __init__(self, files: FaultyFiles, queue_bytes: int = 1 << 20) -> None:
        self.files = files
        engine = Engine(files, lambda: 1000, SMALL)
        self.store = Committer(engine, asyncio.get_running_loop().call_soon_threadsafe, queue_bytes)
        self.store.start()
        self.timers: dict[int, tuple[Callable[..., None], Any]] = {}
        self.now = 5_000
        self.service = IdempotencyService(
            self.store, cast(Any, self), self._cancel, boot=7, clock=lambda: self.now
        )
        self.service.rules = RULES
        self.sent: list[bytes] = []

    def call_at(self, due: float, call: Callable[..., None], argument: Any = None) -> Any:
        number = len(self.timers)
        self.timers[number] = call, argument
        return number

    def _cancel(self, handle: Any) -> None:
        del self.timers[handle]

    def fire(self) -> None:
        """Fires every timer that is set."""
        timers, self.timers = self.timers, {}
        for call, argument in timers.values():
            call(argument)

    def ask(self, key: bytes, cls: str = "pay", body: bytes = b"") -> tuple[Guard, Client, LocalReply | None]:
        client = Client()
        call = ClientRequest(cast(Downstream, client), client)
        call.method, call.url, call.body = b"POST", b"/pay", [body]
        guard = self.service.guard(call, cls, key, BUSY, lambda earlier: self.sent.append(key))
        assert guard is not None
        return guard, client, guard.begin(call, cls)


def test_a_full_disk_sheds_payments_unsent_and_accepts_them_once_there_is_space() -> None:
    async def test() -> None:
        harness = Harness(FaultyFiles())
        harness.files.capacity = sum(len(i.visible) for i in harness.files.files.values()) + 10
        asked = [harness.ask(b"o-%d" % n) for n in range(200)]
        await wait_until(lambda: all(client.replies or reply for _, client, reply in asked))
        assert {reply or client.replies[0] for _, client, reply in asked} == {BUSY}
        assert harness.sent == [] and harness.service.tracker.active == {} and harness.timers == {}
        assert harness.service.refused == 200 and harness.service.metrics()["store"] == "full"
        harness.files.capacity = None
        for n in range(200):
            assert harness.ask(b"o-%d" % n)[2] is None
        await wait_until(lambda: len(harness.sent) == 200)
        assert harness.service.metrics()["store"] == "open"
        harness.store.stop()

    run(test())


def test_a_failed_disk_sheds_requests_that_need_a_record_until_a_restart() -> None:
    async def test() -> None:
        harness = Harness(FaultyFiles())
        harness.files.errors = {harness.files.operations + 2: errno.EIO}
        _, client, reply = harness.ask(b"o-1")
        await wait_until(lambda: client.replies)
        assert reply is None and client.replies == [BUSY]
        for cls in ("pay", "slot"):
            assert harness.ask(b"o-2", cls)[2] is BUSY
        assert harness.sent == [] and harness.service.tracker.active == {}
        harness.store.stop()

    run(test())


def test_a_slow_disk_sheds_a_request_at_its_deadline_and_never_sends_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        blocked = BlockedSync(monkeypatch)
        harness = Harness(FaultyFiles())
        blocked.go.clear()
        guard, client, reply = harness.ask(b"o-1")
        assert reply is None and len(harness.timers) == 1
        harness.fire()
        assert client.replies == [BUSY]
        guard.ended(503, False)
        assert harness.ask(b"o-1")[2] is not BUSY, "the key is active until the write has ended"
        blocked.go.set()
        await wait_until(lambda: not harness.service.tracker.active)
        assert harness.sent == []
        assert harness.ask(b"o-1")[2] is None
        await wait_until(lambda: harness.sent == [b"o-1"])
        harness.store.stop()

    run(test())


def test_a_client_that_leaves_while_its_intent_is_written_frees_its_key(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        blocked = BlockedSync(monkeypatch)
        harness = Harness(FaultyFiles())
        blocked.go.clear()
        guard, _, _ = harness.ask(b"o-1")
        guard.ended(0, False)
        blocked.go.set()
        await wait_until(lambda: not harness.service.tracker.active)
        assert harness.sent == [] and harness.timers == {}
        await wait_until(lambda: not harness.store.contains(b"o-1"))
        harness.store.stop()

    run(test())


def test_the_end_of_a_rejected_repeat_does_not_end_the_first_request() -> None:
    """Guards against recording the reply to a repeat as the outcome of the request that is still running."""

    async def test() -> None:
        harness = Harness(FaultyFiles())
        first, _, _ = harness.ask(b"o-1")
        await wait_until(lambda: harness.sent)
        second, _, reply = harness.ask(b"o-1")
        assert reply is not None and reply.status == 409
        second.ended(409, False)
        assert harness.ask(b"o-1")[2] is not None, "the first is still running"
        first.ended(200, True)
        await wait_until(lambda: not harness.service.tracker.active)
        _, client, reply = harness.ask(b"o-1")
        await wait_until(lambda: client.replies)
        assert reply is None and client.replies[0].status == 200 and b"served" in client.replies[0].body
        harness.store.stop()

    run(test())


def test_a_foreign_or_unreadable_record_sheds_the_request_unsent() -> None:
    async def test() -> None:
        harness = Harness(FaultyFiles())
        from notchflow.store.engine import Change
        from notchflow.store.frames import RecordKind as Record

        done: list[object] = []
        effect = Effect(Fate.SERVED, b"f" * 16, 7, 1, 200).encode()
        changes = [Change(Record.PUT, b"odd", b"?"), Change(Record.PUT, b"bent", effect)]
        harness.store.submit(changes, done.append)
        await wait_until(lambda: done)
        entry = harness.store.engine.index.get(b"bent")
        assert entry is not None
        name = next(n for n in harness.files.files if n.endswith(".log"))
        harness.files.files[name].visible[entry.offset + entry.length - 1] ^= 1
        for key in (b"odd", b"bent"):
            _, client, reply = harness.ask(key)
            await wait_until(lambda c=client: c.replies)  # type: ignore[misc]
            assert reply is None and client.replies == [BUSY]
        assert harness.sent == [] and harness.service.tracker.active == {}
        harness.store.stop()

    run(test())


def test_a_keyed_request_is_sent_at_once_and_its_record_rejects_a_late_repeat() -> None:
    async def test() -> None:
        harness = Harness(FaultyFiles())
        guard, _, reply = harness.ask(b"s-1", "slot")
        assert reply is None and harness.sent == [b"s-1"], "the disk is not waited for"
        guard.ended(502, True)
        await wait_until(lambda: not harness.service.tracker.active)
        harness.now += 400
        _, client, _ = harness.ask(b"s-1", "slot")
        await wait_until(lambda: len(harness.sent) == 2)
        harness.service.tracker.active.clear()
        harness.now += 400
        _, client, _ = harness.ask(b"s-1", "slot")
        await wait_until(lambda: client.replies)
        assert (
            client.replies[0].status == 409 and len(harness.sent) == 2
        ), "the deduplication window has closed"
        harness.store.stop()

    run(test())


def test_the_boot_id_is_stable() -> None:
    assert boot_id() == boot_id() != 0
