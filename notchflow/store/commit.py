"""Group commit: a thread that owns the engine, so that the event loop never waits for the disk.

Changes submitted during a sync share the next one. There is no delay to collect a group: at low load each
change costs one sync, at high load many share it. Results are delivered on the event loop's thread. Of the
thread's data the event loop reads only the index, in `contains`, under the index's own locks.
"""

from __future__ import annotations

import logging
import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Final

from notchflow.store.engine import (
    Change,
    DiskFullError,
    Engine,
    RecoveryReport,
    StoreError,
    StoreFailedError,
    StoreState,
)
from notchflow.store.frames import Record, check_sizes, record_length

log = logging.getLogger(__name__)

GROUP_BYTES: Final = 1 << 20  # of changes that share a sync
QUEUE_BYTES: Final = 8 << 20  # of queued changes, beyond which more are rejected
IDLE_MAINTENANCE_S: Final = 0.25  # between maintenance steps while idle
BUSY_MAINTENANCE_S: Final = 0.02  # between maintenance steps under load
DoneCallback = Callable[[StoreError | None], None]
ReadCallback = Callable[[Record | StoreError | None], None]


class QueueFullError(StoreError):
    """The queue is full: nothing was accepted, and a later attempt may succeed."""


@dataclass(slots=True)
class CommitMetrics:
    """Metrics since the store was opened."""

    commits: int = 0
    changes: int = 0
    rejected: int = 0
    slowest_commit_s: float = 0.0
    queued_bytes: int = 0


@dataclass(frozen=True, slots=True)
class _Write:
    """Changes to make durable together; `size` is in bytes."""

    changes: Sequence[Change]
    size: int
    done: DoneCallback


@dataclass(frozen=True, slots=True)
class _Read:
    """A key to read."""

    key: bytes
    done: ReadCallback
    size: int = 0


class Committer:
    """The asynchronous interface of the store. `deliver` schedules a callback on the event loop's thread
    (`loop.call_soon_threadsafe`)."""

    def __init__(
        self, engine: Engine, deliver: Callable[[Callable[[], None]], object], queue_bytes: int = QUEUE_BYTES
    ) -> None:
        self.engine, self.deliver, self.queue_bytes = engine, deliver, queue_bytes
        self.metrics = CommitMetrics()
        self.queue: deque[_Write | _Read] = deque()
        self.condition = threading.Condition()
        self.stopping = False
        self.thread = threading.Thread(target=self._run, name="store", daemon=True)

    def start(self) -> RecoveryReport:
        """Recovers the store on the calling thread and starts the commit thread. Raises StoreLockedError,
        CorruptionError, ManifestError, OSError."""
        recovered = self.engine.open()
        self.thread.start()
        return recovered

    @property
    def state(self) -> StoreState:
        """The state of the store."""
        return self.engine.state

    def now(self) -> int:
        """The store's clock, in milliseconds."""
        return self.engine.now()

    def contains(self, key: bytes) -> bool:
        """Whether the index has a durable record of a key. It may have expired. Does not access the disk."""
        return self.engine.index.get(key) is not None

    def submit(self, changes: Sequence[Change], done: DoneCallback) -> None:
        """Makes changes durable together, then calls `done` with None or the error. Raises QueueFullError,
        StoreFailedError, or ValueError if a key or value is too long."""
        size = 0
        for change in changes:
            check_sizes(change.key, change.value)
            size += record_length(len(change.key), len(change.value))
        if self.engine.state in (StoreState.BROKEN, StoreState.CLOSED) or self.stopping:
            raise StoreFailedError(f"the store is {self.engine.state.value}")
        if self.metrics.queued_bytes + size > self.queue_bytes:
            self.metrics.rejected += 1
            raise QueueFullError(f"{self.metrics.queued_bytes} bytes wait for the disk")
        self._enqueue(_Write(changes, size, done))

    def read(self, key: bytes, done: ReadCallback) -> None:
        """Reads the newest durable record of a key; callbacks `found` with the record, None or an error."""
        self._enqueue(_Read(key, done))

    def stop(self) -> None:
        """Commits everything that is queued and closes the store."""
        with self.condition:
            self.stopping = True
            self.condition.notify()
        if self.thread.ident is not None:
            self.thread.join()

    # -- commit thread
    def _enqueue(self, item: _Write | _Read) -> None:
        with self.condition:
            self.queue.append(item)
            self.metrics.queued_bytes += item.size
            self.condition.notify()

    def _run(self) -> None:
        maintained_at, more_work = time.monotonic(), True
        while True:
            with self.condition:
                if not self.queue and not self.stopping:
                    self.condition.wait(0.0 if more_work else IDLE_MAINTENANCE_S)
                group = self._next_group()
                finished = self.stopping and not group
            if finished:
                break
            if group:
                self._commit([item for item in group if isinstance(item, _Write)])
                self._read_group([item for item in group if isinstance(item, _Read)])
            now = time.monotonic()
            if not group or now >= maintained_at + BUSY_MAINTENANCE_S:
                more_work, maintained_at = self._maintain(), now
        try:
            self.engine.close()
        except OSError as error:
            log.error("the store was not shut down cleanly: %s", error)

    def _next_group(self) -> list[_Write | _Read]:
        group: list[_Write | _Read] = []
        size = 0
        while self.queue and size <= GROUP_BYTES:
            item = self.queue.popleft()
            size += item.size
            group.append(item)
        return group

    def _commit(self, group: list[_Write]) -> None:
        if not group:
            return
        started_at = time.monotonic()
        problem: StoreError | None = None
        changes = [change for item in group for change in item.changes]
        try:
            self.engine.append(changes)
        except (DiskFullError, StoreFailedError) as error:
            problem = error
        except Exception as error:  # a bug must not leave requests waiting
            log.exception("a commit failed")
            problem = StoreFailedError(f"a commit failed: {error!r}")
        metrics = self.metrics
        with self.condition:
            metrics.queued_bytes -= sum(item.size for item in group)
        metrics.commits += 1
        metrics.changes += len(changes)
        metrics.slowest_commit_s = max(metrics.slowest_commit_s, time.monotonic() - started_at)
        self._deliver_all([partial(item.done, problem) for item in group])

    def _read_group(self, group: list[_Read]) -> None:
        callbacks: list[Callable[[], None]] = []
        for item in group:
            result: Record | StoreError | None
            try:
                result = self.engine.read(item.key)
            except StoreError as error:
                result = error
            except OSError as error:
                result = StoreError(f"the store cannot be read: {error}")
            callbacks.append(partial(item.done, result))
        self._deliver_all(callbacks)

    def _deliver_all(self, callbacks: list[Callable[[], None]]) -> None:
        """Runs all callbacks in one iteration of the event loop; a failing one does not affect the others."""
        if not callbacks:
            return
        try:
            self.deliver(partial(_run_all, callbacks))
        except RuntimeError:
            log.warning("the event loop was closed before the store")

    def _maintain(self) -> bool:
        try:
            return self.engine.run_maintenance()
        except StoreError as error:
            log.error("%s", error)
        except Exception:
            log.exception("store maintenance failed")
        return False


def _run_all(callbacks: Sequence[Callable[[], None]]) -> None:
    for callback in callbacks:
        try:
            callback()
        except Exception:
            log.exception("a callback of the store failed")
