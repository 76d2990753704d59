"""A simulated cache node: cores, a queue, an LRU cache, a connection limit and a reduced capacity while cold.

Assumptions: a request takes its work divided by the speed of one core; work is exponentially distributed. A
read of a key that is not cached fetches it from the origin, and holds no core meanwhile. A cold node has the
share `cold_share` of a warm node's capacity, which rises linearly until `cold_ms` (both from the rules). It
fails for good once the work sent to it within `fall_ms` exceeds N + 2 x sqrt(N) + 2 requests of mean work,
where N is `overload_factor` times its capacity in that time. No proxy may let that happen.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from enum import Enum

from notchflow.emulator.engine import Draws, Simulator
from notchflow.emulator.spec import Fleet, Kind
from notchflow.interface import Rules, Status


class NodeStatus(Enum):
    """Whether and how a node answers."""

    SERVING = "serving"
    DRAINING = "draining"
    GONE = "gone"  # refuses connections
    SILENT = "silent"  # accepts nothing and answers nothing


JobCallback = Callable[[Status, bool | None], None]


class Origin:
    """The origin: runs `origin_cores` fetches at a time and queues the others."""

    def __init__(self, simulator: Simulator, fleet: Fleet, work: Draws) -> None:
        self.simulator, self.fleet, self.work = simulator, fleet, work
        self.busy = 0
        self.waiting: deque[Callable[[], None]] = deque()
        self.fetches = 0

    def fetch(self, done: Callable[[], None]) -> None:
        """Starts or queues a fetch; `done` is called at its end."""
        self.fetches += 1
        if self.busy < self.fleet.origin_cores:
            self._begin(done)
        else:
            self.waiting.append(done)

    def _begin(self, done: Callable[[], None]) -> None:
        self.busy += 1
        self.simulator.after(self.fleet.origin_ms * self.work(), self._end, done)

    def _end(self, done: Callable[[], None]) -> None:
        self.busy -= 1
        if self.waiting:
            self._begin(self.waiting.popleft())
        done()


class Job:
    """One request at a node. `work` is in milliseconds of a core of speed 1."""

    __slots__ = ("key", "write", "work", "done", "ended")

    def __init__(self, key: str, write: bool, work: float, done: JobCallback) -> None:
        self.key, self.write, self.work, self.done = key, write, work, done
        self.ended = False


class CacheNode:
    """One node, from its start to its end."""

    def __init__(
        self,
        number: int,
        kind: Kind,
        zone: str,
        fleet: Fleet,
        rules: Rules,
        simulator: Simulator,
        origin: Origin,
        work: Draws,
        started_at: float,
    ) -> None:
        self.number, self.kind, self.zone = number, kind, zone
        self.fleet, self.rules, self.simulator, self.origin, self.work = fleet, rules, simulator, origin, work
        self.started_at = started_at  # 0: before the day, so that it is warm
        self.state = NodeStatus.SERVING
        self.slowdown = 1.0
        self.busy = 0
        self.queue: deque[Job] = deque()
        self.cached_keys: OrderedDict[str, None] = OrderedDict()
        self.fetching: dict[str, list[Job]] = {}
        self.jobs: dict[Job, None] = {}  # in order of arrival; the order of a set differs between processes
        self.connections = 0
        self.recent_work: deque[tuple[float, float]] = deque()  # time and work received within the window
        self.pushed = 0.0
        self.peak_overload = 0.0  # maximum of work received while cold over the limit; above 1 the node fails
        self.overloaded_at: float | None = None
        self.arrivals = self.rejected = self.hits = self.misses = 0

    @property
    def answers(self) -> bool:
        """Whether the node answers requests."""
        return self.state is NodeStatus.SERVING or self.state is NodeStatus.DRAINING

    def warmth(self, now: float) -> float:
        """Share of the warm capacity that is available now."""
        age = now - self.started_at
        if self.started_at <= 0 or age >= self.rules.cold_ms:
            return 1.0
        return self.rules.cold_share + (1 - self.rules.cold_share) * age / self.rules.cold_ms

    def capacity(self, now: float) -> float:
        """Milliseconds of work done in a millisecond."""
        return self.kind.cores * self.kind.speed * self.warmth(now) / self.slowdown

    def accept_connection(self) -> bool:
        """Accepts a new connection, whose handshake costs work; False at the connection limit."""
        if self.connections >= self.fleet.connections_per_core * self.kind.cores:
            return False
        self.connections += 1
        self._track_work(self.fleet.handshake_ms)
        return True

    def submit(self, key: str, write: bool, done: JobCallback) -> Job:
        """Accepts or rejects a request; `done` gets its status and whether the key was cached."""
        job = Job(key, write, self.fleet.hit_ms * self.work(), done)
        self.arrivals += 1
        self._track_work(job.work)
        full = len(self.queue) >= self.kind.queue_per_core * self.kind.cores
        if full or not self.answers:
            self.rejected += 1
            job.ended = True
            done(Status.FULL if self.answers else Status.RESET, None)
            return job
        self.jobs[job] = None
        if write or key in self.cached_keys:
            self.hits += not write
            if not write:
                self.cached_keys.move_to_end(key)
            self._enqueue(job)
        else:
            self.misses += 1
            waiting = self.fetching.get(key)
            if waiting is not None:
                waiting.append(job)
            else:
                self.fetching[key] = [job]
                self.origin.fetch(lambda: self._on_fetched(key))
        return job

    def _on_fetched(self, key: str) -> None:
        self.cached_keys[key] = None
        if len(self.cached_keys) > self.fleet.keys_held:
            self.cached_keys.popitem(last=False)
        for job in self.fetching.pop(key, ()):
            job.work += self.fleet.miss_ms
            self._enqueue(job)

    def _enqueue(self, job: Job) -> None:
        if job.ended:
            return
        if self.busy < self.kind.cores:
            self._begin(job)
        else:
            self.queue.append(job)

    def _begin(self, job: Job) -> None:
        self.busy += 1
        now = self.simulator.now
        self.simulator.after(job.work / (self.kind.speed * self.warmth(now)) * self.slowdown, self._end, job)

    def _end(self, job: Job) -> None:
        self.busy -= 1
        while self.queue and self.busy < self.kind.cores:
            next_job = self.queue.popleft()
            if not next_job.ended:
                self._begin(next_job)
        if job.ended:
            return
        job.ended = True
        self.jobs.pop(job, None)
        if self.answers:
            job.done(Status.OK, None if job.write else True)

    def abandon(self, job: Job) -> None:
        """Drops a request whose proxy no longer waits. Work that has begun still occupies its core."""
        job.ended = True
        self.jobs.pop(job, None)

    def stop(self, state: NodeStatus) -> None:
        """Ends the node: requests in progress are reset (GONE) or never answered (SILENT)."""
        self.state = state
        jobs, self.jobs = self.jobs, {}
        self.queue.clear()
        for job in jobs:
            job.ended = True
            if state is NodeStatus.GONE:
                job.done(Status.RESET, None)

    def _track_work(self, work: float) -> None:
        """Adds to the work of the fail-back window and fails the node once the limit is exceeded."""
        now = self.simulator.now
        if (
            self.started_at <= 0
            or now - self.started_at >= self.rules.cold_ms
            or self.overloaded_at is not None
        ):
            return
        window_ms, recent = self.rules.fall_ms, self.recent_work
        recent.append((now, work))
        self.pushed += work
        while recent[0][0] <= now - window_ms:
            self.pushed -= recent.popleft()[1]
        mean_ms = self.fleet.hit_ms
        limit = self.rules.overload_factor * self.capacity(now) * window_ms / mean_ms
        self.peak_overload = max(
            self.peak_overload, self.pushed / mean_ms / (limit + 2 * math.sqrt(limit) + 2)
        )
        if self.peak_overload > 1:
            self.overloaded_at = now
            self.stop(NodeStatus.GONE)
