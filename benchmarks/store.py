"""Compares the store with SQLite and LMDB at equal durability: an acknowledged append is on the disk.

Waiters are coroutines that each append, wait for the acknowledgement, and append again. SQLite (WAL,
synchronous FULL) and LMDB receive their appends through a thread like the store, and commit all waiting
appends in one transaction as it does (grouped); `single` has one transaction per append, the usual way to use
them. All write the same records of 100 bytes to the same disk in the same run.
"""

from __future__ import annotations

import argparse
import asyncio
import gc
import os
import resource
import shutil
import sqlite3
import sys
import tempfile
import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Protocol

import lmdb
import uvloop

from notchflow.store.commit import Committer
from notchflow.store.engine import Change, Engine, EngineOptions
from notchflow.store.files import RealFiles
from notchflow.store.frames import RecordKind
from notchflow.store.index import Entry, Index
from notchflow.store.tools import store_clock

VALUE = b"v" * 64
MAX_RECOVERY_S = 5.0
WAITERS = (1, 16, 256)


def percentile(ordered: Sequence[float], share: float) -> float:
    """Returns the value below which this share of sorted values lies."""
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


class Appender(Protocol):
    """A store under test."""

    def submit(self, key: bytes, done: Callable[[], None]) -> None:
        """Appends a record under the key; `done` is called on the loop once it is durable."""
        ...

    def stop(self) -> None:
        """Commits what was submitted and closes the store."""
        ...


class NotchflowStore:
    """The store of notchflow."""

    def __init__(self, folder: Path, loop: asyncio.AbstractEventLoop) -> None:
        self.store = Committer(Engine(RealFiles(folder), store_clock()), loop.call_soon_threadsafe)
        self.store.start()

    def submit(self, key: bytes, done: Callable[[], None]) -> None:
        """Appends a record under the key; calls `done` on the loop once it is durable."""
        self.store.submit([Change(RecordKind.PUT, key, VALUE)], lambda _: done())

    def stop(self) -> None:
        """Commits what was submitted and closes the store."""
        self.store.stop()


def call_all(calls: Sequence[Callable[[], None]]) -> None:
    """Calls each function in order."""
    for call in calls:
        call()


class ThreadedDatabase:
    """A database written by a thread, in one transaction for all waiting appends or one each (`single`)."""

    def __init__(
        self,
        write: Callable[[Sequence[bytes]], None],
        close: Callable[[], None],
        loop: asyncio.AbstractEventLoop,
        single: bool,
    ) -> None:
        self.write, self.close, self.loop, self.single = write, close, loop, single
        self.queue: deque[tuple[bytes, Callable[[], None]]] = deque()
        self.wake = threading.Condition()
        self.stopping = False
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def submit(self, key: bytes, done: Callable[[], None]) -> None:
        """Queues a record under the key; `done` is called on the loop once it is durable."""
        with self.wake:
            self.queue.append((key, done))
            self.wake.notify()

    def _run(self) -> None:
        while True:
            with self.wake:
                while not self.queue and not self.stopping:
                    self.wake.wait()
                if not self.queue:
                    break
                group = [self.queue.popleft()] if self.single else list(self.queue)
                if not self.single:
                    self.queue.clear()
            self.write([key for key, _ in group])
            self.loop.call_soon_threadsafe(partial(call_all, [done for _, done in group]))

    def stop(self) -> None:
        """Commits what was submitted and closes the database."""
        with self.wake:
            self.stopping = True
            self.wake.notify()
        self.thread.join()
        self.close()


def open_sqlite(folder: Path, loop: asyncio.AbstractEventLoop, single: bool) -> Appender:
    """Opens SQLite with write-ahead log and full synchronization."""
    folder.mkdir()
    connection = sqlite3.connect(folder / "db", check_same_thread=False, isolation_level=None)
    connection.execute("PRAGMA journal_mode = WAL")
    connection.execute("PRAGMA synchronous = FULL")
    connection.execute("CREATE TABLE kept (key BLOB PRIMARY KEY, value BLOB) WITHOUT ROWID")

    def write(keys: Sequence[bytes]) -> None:
        connection.execute("BEGIN IMMEDIATE")
        connection.executemany("INSERT OR REPLACE INTO kept VALUES (?, ?)", [(key, VALUE) for key in keys])
        connection.execute("COMMIT")

    return ThreadedDatabase(write, connection.close, loop, single)


def open_lmdb(folder: Path, loop: asyncio.AbstractEventLoop, single: bool) -> Appender:
    """Opens LMDB with synchronous commits."""
    environment = lmdb.open(str(folder), map_size=1 << 32, sync=True)

    def write(keys: Sequence[bytes]) -> None:
        with environment.begin(write=True) as transaction:
            for key in keys:
                transaction.put(key, VALUE)

    return ThreadedDatabase(write, environment.close, loop, single)


async def append_concurrently(store: Appender, waiters: int, seconds: float) -> list[float]:
    """Appends from concurrent waiters; returns the duration of each append in milliseconds."""
    loop, until = asyncio.get_running_loop(), time.monotonic() + seconds
    durations_ms: list[float] = []

    async def waiter(number: int) -> None:
        count = 0
        while (started_at := time.monotonic()) < until:
            count += 1
            acknowledged: asyncio.Future[None] = loop.create_future()
            key = b"tenant-%d/order-%d-%d" % (number % 7, number, count)
            store.submit(key, partial(acknowledged.set_result, None))
            await acknowledged
            durations_ms.append((time.monotonic() - started_at) * 1e3)

    await asyncio.gather(*[waiter(n) for n in range(waiters)])
    return durations_ms


def measure_appends(
    open_store: Callable[[Path, asyncio.AbstractEventLoop], Appender], waiters: int, seconds: float
) -> tuple[float, list[float]]:
    """Returns the durable appends per second and the duration of each in milliseconds."""
    folder = Path(tempfile.mkdtemp(dir=os.environ.get("NOTCHFLOW_BENCH_DIR", ".")))
    loop = uvloop.new_event_loop()
    try:
        store = open_store(folder / "s", loop)
        started_at = time.monotonic()
        durations_ms = loop.run_until_complete(append_concurrently(store, waiters, seconds))
        rate = len(durations_ms) / (time.monotonic() - started_at)
        store.stop()
        return rate, durations_ms
    finally:
        loop.close()
        shutil.rmtree(folder)


def peak_memory_mb() -> float:
    """Returns the peak resident memory of this process in MiB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024


def measure_recovery(keys: int) -> dict[str, float]:
    """Measures the seconds that a store with so many live keys takes to open, with hint files and without."""
    folder = Path(tempfile.mkdtemp(dir=os.environ.get("NOTCHFLOW_BENCH_DIR", ".")))
    try:
        engine = Engine(RealFiles(folder / "s"), store_clock(), EngineOptions(64 << 20))
        engine.open()
        for start in range(0, keys, 5_000):
            engine.append(
                [
                    Change(RecordKind.PUT, b"tenant-%d/order-%d" % (n % 7, n), VALUE, 1 << 42)
                    for n in range(start, min(start + 5_000, keys))
                ]
            )
        engine.close()
        results: dict[str, float] = {}
        for name in ("hinted", "scanned"):
            gc.collect()
            started_at = time.monotonic()
            engine = Engine(RealFiles(folder / "s"), store_clock(), EngineOptions(64 << 20))
            recovered = engine.open()
            results[name] = time.monotonic() - started_at
            assert recovered.records == keys and (recovered.scanned_bytes == 0) is (name == "hinted")
            results["index_bytes_a_key"] = engine.index.memory_bytes() / keys
            engine.close()
            for hint in (folder / "s").glob("*.hint"):
                hint.unlink()
        return results
    finally:
        shutil.rmtree(folder)


def measure_amplification(seconds: float) -> dict[str, float]:
    """Overwrites the same keys repeatedly and measures the cost of compaction.

    Returns the bytes copied by compactions per byte written, the disk space per live byte, and the number of
    compactions.
    """
    folder = Path(tempfile.mkdtemp(dir=os.environ.get("NOTCHFLOW_BENCH_DIR", ".")))
    try:
        engine = Engine(RealFiles(folder / "s"), store_clock(), EngineOptions(1 << 20))
        engine.open()
        until, count = time.monotonic() + seconds, 0
        while time.monotonic() < until:
            engine.append(
                [
                    Change(RecordKind.PUT, b"key-%d" % (n * 7919 % 20_000), VALUE)
                    for n in range(count, count + 200)
                ]
            )
            count += 200
            engine.run_maintenance()
        engine.compact()
        disk = sum(p.stat().st_size for p in (folder / "s").iterdir())
        live = sum(engine.index.live_bytes.values())
        results = {
            "copied_a_byte": engine.copied_bytes / engine.written_bytes,
            "disk_a_live_byte": disk / live,
            "compactions": float(engine.compactions),
        }
        engine.close()
        return results
    finally:
        shutil.rmtree(folder)


def compare_index_with_dict(keys: int) -> dict[str, float]:
    """Returns microseconds per look-up and write, and bytes per key, of the index and of a dictionary."""
    names = [b"tenant-%d/order-%d" % (n % 7, n) for n in range(keys)]
    index = Index()
    started_at = time.perf_counter()
    for n, name in enumerate(names):
        index.put(name, Entry(n + 1, 1, n, 100, 0))
    put_s = time.perf_counter() - started_at
    started_at = time.perf_counter()
    for name in names:
        index.get(name)
    get_s = time.perf_counter() - started_at
    plain: dict[bytes, Entry] = {}
    started_at = time.perf_counter()
    for n, name in enumerate(names):
        plain[name] = Entry(n + 1, 1, n, 100, 0)
    plain_put_s = time.perf_counter() - started_at
    started_at = time.perf_counter()
    for name in names:
        plain.get(name)
    plain_get_s = time.perf_counter() - started_at
    size = (
        sys.getsizeof(plain)
        + sum(
            sys.getsizeof(k) + sys.getsizeof(v) + sum(map(sys.getsizeof, v))
            for k, v in list(plain.items())[:1000]
        )
        * keys
        / 1000
    )
    return {
        "index_put": put_s / keys * 1e6,
        "index_get": get_s / keys * 1e6,
        "index_bytes": index.memory_bytes() / keys,
        "dict_put": plain_put_s / keys * 1e6,
        "dict_get": plain_get_s / keys * 1e6,
        "dict_bytes": size / keys,
    }


def main() -> int:
    """Runs all comparisons and prints the missed bounds; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true", help="half a minute instead of two minutes")
    quick = parser.parse_args().quick
    seconds, rounds, keys = (0.6, 2, 200_000) if quick else (2.0, 3, 1_000_000)
    stores: dict[str, Callable[[Path, asyncio.AbstractEventLoop], Appender]] = {
        "ours": NotchflowStore,
        "sqlite_grouped": lambda f, loop: open_sqlite(f, loop, False),
        "lmdb_grouped": lambda f, loop: open_lmdb(f, loop, False),
        "sqlite_single": lambda f, loop: open_sqlite(f, loop, True),
        "lmdb_single": lambda f, loop: open_lmdb(f, loop, True),
    }
    failures: list[str] = []
    for waiters in WAITERS:
        best: dict[str, tuple[float, list[float]]] = {}
        for _ in range(rounds):  # in turn, so that a slow period of the disk affects all of them
            for name, open_store in stores.items():
                rate, durations_ms = measure_appends(open_store, waiters, seconds)
                if name not in best or rate > best[name][0]:
                    best[name] = rate, durations_ms
        for name, (rate, durations_ms) in best.items():
            print(f"{name}_{waiters}_appends = {rate:.0f} /s")
            print(f"{name}_{waiters}_median = {percentile(sorted(durations_ms), 0.5):.3f} ms")
            print(f"{name}_{waiters}_p99 = {percentile(sorted(durations_ms), 0.99):.3f} ms")
        if waiters >= 16 and any(best["ours"][0] < best[name][0] for name in best if name != "ours"):
            failures.append(f"{waiters} waiters")
    results = measure_recovery(keys)
    print(f"recovery_hinted = {results['hinted']:.2f} s for {keys} keys")
    print(f"recovery_scanned = {results['scanned']:.2f} s for {keys} keys")
    print(f"index_recovered = {results['index_bytes_a_key']:.0f} bytes a key")
    if results["hinted"] > MAX_RECOVERY_S * keys / 1_000_000:
        failures.append("recovery")
    for label, value in measure_amplification(2.0 if quick else 8.0).items():
        print(f"compaction_{label} = {value:.2f}")
    for label, value in compare_index_with_dict(keys).items():
        print(f"{label} = {value:.2f} {'bytes a key' if label.endswith('bytes') else 'us'}")
    print(f"peak_memory = {peak_memory_mb():.0f} MiB")
    for what in failures:
        print(f"missed: {what}", file=sys.stderr)
    return int(bool(failures))


if __name__ == "__main__":
    sys.exit(main())
