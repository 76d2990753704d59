"""Random workloads on a store with fault injection, and a model of what the store must hold."""

from __future__ import annotations

import random

from notchflow.store.engine import Change, DiskFullError, Engine, EngineOptions, StoreFailedError
from notchflow.store.frames import RecordKind, later_expiry
from standins.faulty_files import FaultyFiles

SMALL = EngineOptions(segment_max=4096)
Model = dict[bytes, tuple[bytes, int]]


def open_engine(files: FaultyFiles, now: int = 1000) -> Engine:
    engine = Engine(files, lambda: now, SMALL)
    engine.open()
    return engine


def contents(engine: Engine) -> dict[bytes, bytes]:
    """All live records by `records`, each compared with `read`."""
    found = {record.key: record.value for record in engine.records()}
    for key, value in found.items():
        record = engine.read(key)
        assert record is not None and record.value == value
    assert len(found) <= len(engine.index)
    return found


def apply_changes(model: Model, changes: list[Change], now: int) -> Model:
    after = {key: stored for key, stored in model.items() if not 0 < stored[1] <= now}
    for change in changes:
        if change.kind is RecordKind.PUT:
            old = after.get(change.key)
            after[change.key] = change.value, later_expiry(change.expires, old[1]) if old else change.expires
        else:
            after.pop(change.key, None)
    return after


def live_records(model: Model, now: int) -> dict[bytes, bytes]:
    return {key: value for key, (value, expires) in model.items() if not 0 < expires <= now}


class History:
    """A seeded workload of changes, compactions and restarts, with a model of the acknowledged state and of
    the states that an unacknowledged change may leave."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 1000
        self.model: Model = {}
        self.possible: list[Model] = []  # after changes that were started but not acknowledged
        self.numbers = 0

    def changes(self) -> list[Change]:
        rng, found = self.rng, []
        for _ in range(rng.randrange(1, 6)):
            key = b"key-%d" % rng.randrange(40)
            self.numbers += 1
            expires = 0 if rng.random() < 0.5 else self.now + rng.randrange(1, 4000)
            if rng.random() < 0.2:
                found.append(Change(RecordKind.DELETE, key))
            else:
                value = b"%d:" % self.numbers + b"x" * rng.choice([0, 10, 200, 700])
                found.append(Change(RecordKind.PUT, key, value, expires))
        return found

    def step(self, engine: Engine) -> None:
        """One append or one maintenance step."""
        self.now += self.rng.choice([0, 1, 100])
        if self.rng.random() < 0.35:
            engine.run_maintenance()
            return
        changes = self.changes()
        after = apply_changes(self.model, changes, self.now)
        self.possible.append(after)
        try:
            engine.append(changes)
        except DiskFullError:
            return
        self.model, self.possible = after, []

    def run(self, files: FaultyFiles, steps: int) -> None:
        """Runs the workload until it is complete or the disk fails. Raises PowerCut at a power cut."""
        engine = Engine(files, lambda: self.now, SMALL)
        try:
            engine.open()
            for _ in range(steps):
                self.step(engine)
            if self.rng.random() < 0.3:
                engine.close()
        except (StoreFailedError, OSError):
            return

    def check(self, files: FaultyFiles) -> None:
        """After a restart the store has the acknowledged state, or that plus one complete pending append."""
        engine = Engine(files, lambda: self.now, SMALL)
        engine.open()
        found = contents(engine)
        states = [self.model, *self.possible]
        assert found in [
            live_records(state, self.now) for state in states
        ], f"{len(found)} keys match no possible state"
        self.model = next(s for s in states if live_records(s, self.now) == found)
        self.possible = []
        engine.close()
