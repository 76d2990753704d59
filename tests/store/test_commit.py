"""Group commit: each submission gets one callback on the event loop, which never waits for the disk."""

from __future__ import annotations

import asyncio
import errno
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from notchflow.store.commit import Committer, QueueFullError
from notchflow.store.engine import Change, DiskFullError, Engine, StoreError, StoreFailedError, StoreState
from notchflow.store.files import RealFiles, StoreLockedError
from notchflow.store.frames import Record, RecordKind
from notchflow.store.tools import store_clock
from standins.faulty_files import FaultyFile, FaultyFiles
from tests.rig import run
from tests.store.model import SMALL


def put(number: int, size: int = 10) -> Change:
    return Change(RecordKind.PUT, b"k%d" % number, b"v" * size)


def make_committer(files: RealFiles | FaultyFiles, **more: int) -> Committer:
    engine = Engine(files, lambda: 1000, SMALL)
    return Committer(engine, asyncio.get_running_loop().call_soon_threadsafe, **more)


def submitted(store: Committer, *changes: Change) -> asyncio.Future[StoreError | None]:
    future: asyncio.Future[StoreError | None] = asyncio.get_running_loop().create_future()
    store.submit(changes, future.set_result)
    return future


async def read(store: Committer, key: bytes) -> Record | StoreError | None:
    future: asyncio.Future[Record | StoreError | None] = asyncio.get_running_loop().create_future()
    store.read(key, future.set_result)
    return await future


class BlockedSync:
    """Blocks every sync while `go` is not set."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.syncing, self.go = threading.Event(), threading.Event()
        real_sync: Callable[[FaultyFile], None] = FaultyFile.sync

        def sync(file: FaultyFile) -> None:
            self.syncing.set()
            assert self.go.wait(10)
            real_sync(file)

        self.go.set()
        monkeypatch.setattr(FaultyFile, "sync", sync)


def test_changes_submitted_during_a_sync_share_the_next_one(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        blocked, files = BlockedSync(monkeypatch), FaultyFiles()
        store = make_committer(files)
        store.start()
        blocked.syncing.clear()
        blocked.go.clear()
        first = submitted(store, put(0))
        assert await asyncio.to_thread(blocked.syncing.wait, 10)
        others = [submitted(store, put(n)) for n in range(1, 200)]
        await asyncio.sleep(0)
        assert not first.done() and not store.contains(b"k0")
        blocked.go.set()
        assert await asyncio.gather(first, *others) == [None] * 200
        assert store.metrics.commits == 2 and store.metrics.changes == 200 and store.metrics.queued_bytes == 0
        assert store.contains(b"k150") and not store.contains(b"k999")
        found = await read(store, b"k150")
        assert isinstance(found, Record) and found.value == b"v" * 10 and await read(store, b"k999") is None
        store.stop()
        assert store.state is StoreState.CLOSED

    run(test())


def test_a_full_queue_rejects_more_changes_and_loses_none_of_those_it_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        blocked, files = BlockedSync(monkeypatch), FaultyFiles()
        store = make_committer(files, queue_bytes=2000)
        store.start()
        blocked.go.clear()
        waiting = [submitted(store, put(n, 400)) for n in range(4)]
        with pytest.raises(QueueFullError, match="wait for the disk"):
            store.submit([put(9, 400)], lambda _: None)
        assert store.metrics.rejected == 1
        blocked.go.set()
        assert await asyncio.gather(*waiting) == [None] * 4
        assert await submitted(store, put(9, 400)) is None, "the queue has space again"
        store.stop()

    run(test())


@pytest.mark.parametrize(
    ("number", "kind", "state"),
    [(errno.ENOSPC, DiskFullError, StoreState.FULL), (errno.EIO, StoreFailedError, StoreState.BROKEN)],
)
def test_a_disk_error_is_reported_to_every_waiting_callback(
    number: int, kind: type[StoreError], state: StoreState
) -> None:
    async def test() -> None:
        files = FaultyFiles()
        store = make_committer(files)
        store.start()
        assert await submitted(store, put(0)) is None
        if state is StoreState.FULL:
            files.capacity = sum(len(i.visible) for i in files.files.values()) + 5
        else:
            files.errors = {files.operations + n: number for n in range(1, 20)}
        problems = await asyncio.gather(*[submitted(store, put(n)) for n in range(1, 5)])
        assert {type(p) for p in problems} == {kind} and store.state is state
        if state is StoreState.BROKEN:
            with pytest.raises(StoreFailedError):
                store.submit([put(9)], lambda _: None)
        else:
            files.capacity = None
            assert await submitted(store, put(9)) is None and store.state is StoreState.OPEN
        assert isinstance(await read(store, b"k0"), Record)
        store.stop()

    run(test())


def test_a_failing_callback_does_not_affect_the_others() -> None:
    async def test() -> None:
        store = make_committer(FaultyFiles())
        store.start()

        def failing(_: StoreError | None) -> None:
            raise RuntimeError("intended")

        store.submit([put(0)], failing)
        assert await submitted(store, put(1)) is None
        with pytest.raises(ValueError, match="key of 0"):
            store.submit([Change(RecordKind.PUT, b"")], failing)
        store.stop()

    run(test())


def test_stop_commits_everything_queued_and_a_second_process_is_locked_out(tmp_path: Path) -> None:
    async def test() -> None:
        store = make_committer(RealFiles(tmp_path / "s"))
        store.start()
        with pytest.raises(StoreLockedError, match="another process"):
            make_committer(RealFiles(tmp_path / "s")).start()
        waiting = [submitted(store, put(n, 300)) for n in range(50)]
        await asyncio.to_thread(store.stop)
        assert await asyncio.gather(*waiting) == [None] * 50
        again = make_committer(RealFiles(tmp_path / "s"))
        recovered = again.start()
        assert recovered.records == 50 and recovered.torn_bytes == 0
        again.stop()

    run(test())


def test_maintenance_runs_under_load_and_while_idle() -> None:
    async def test() -> None:
        store = make_committer(FaultyFiles())
        store.start()
        for n in range(400):
            assert await submitted(store, put(n % 10, 200)) is None
        while (
            len(store.engine.segments) > 4 or not store.engine.compactions
        ):  # about twenty segments without compaction
            await asyncio.sleep(0.01)
        store.stop()

    run(test())


def test_the_store_clock_starts_at_the_unix_time() -> None:
    clock = store_clock()
    first = clock()
    assert first > 1_700_000_000_000 and 0 <= clock() - first < 60_000
