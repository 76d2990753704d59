"""Agreement in simulated time: the core that the service runs, over links that lose and disks that are lost.

Each instance has a clock of its own that may drift, a disk that takes time, and a state of versions that
changes build on. The world watches what is agreed, and judges by that alone: one order for all, nothing lost
that was told, what is told lies in the order of time, and rules that contradict each other are acted on for
no longer than the bound.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from notchflow.cluster.agreement.log import Log
from notchflow.cluster.agreement.raft import Raft
from notchflow.cluster.agreement.replica import Batch, HardState, RaftSettings, Snapshot
from notchflow.cluster.agreement.session import Session, SessionSettings
from notchflow.cluster.agreement.wire import (
    Entry,
    EntryKind,
    Propose,
    ProposeResponse,
    ReadIndex,
    ReadIndexResponse,
)
from notchflow.emulator.engine import Simulator
from notchflow.emulator.members import between

COMPACT_EVERY: Final = 8  # entries put in force between two snapshots
FAST: Final = RaftSettings(trailing_entries=4)


class Command(msgspec.Struct, frozen=True, array_like=True):
    """A change of the rules: it holds only where nothing has changed since the version that it builds on."""

    id: int
    base: int
    value: int


@dataclass(slots=True)
class Machine:
    """The rules: a version, and the changes that made it."""

    applied: int = 0
    version: int = 0  # index of the last change that held
    ids: list[int] = field(default_factory=list)

    def apply(self, index: int, entry: Entry) -> Command | None:
        """The change, if it holds."""
        self.applied = index
        if entry.kind is not EntryKind.COMMAND:
            return None
        command: Command = msgspec.msgpack.decode(entry.data, type=Command)
        if command.base != self.version:
            return None
        self.version = index
        self.ids.append(command.id)
        return command

    def dump(self) -> bytes:
        return msgspec.msgpack.encode((self.applied, self.version, self.ids))

    @classmethod
    def load(cls, data: bytes) -> Machine:
        return cls(*msgspec.msgpack.decode(data, type=tuple[int, int, list[int]]))


@dataclass(slots=True)
class Disk:
    """What outlives a crash."""

    hard: HardState = field(default_factory=HardState)
    base: Snapshot | None = None
    entries: dict[int, Entry] = field(default_factory=dict)

    def write(self, batch: Batch) -> None:
        if batch.hard_state is not None:
            self.hard = batch.hard_state
        if batch.snapshot is not None:
            self.base = batch.snapshot
            self.entries = {i: e for i, e in self.entries.items() if i > batch.snapshot.index}
        self.entries = {i: e for i, e in self.entries.items() if i < batch.first_index}
        for offset, entry in enumerate(batch.entries):
            self.entries[batch.first_index + offset] = entry

    def log(self) -> Log:
        base = self.base
        first = base.index if base is not None else 0
        entries = [self.entries[i] for i in sorted(self.entries) if i > first]
        return Log(first, base.term if base is not None else 0, entries)


@dataclass(slots=True)
class Operation:
    """A client's call at an instance, and what it was told."""

    id: int
    kind: str
    begun: float
    ended: float = math.inf
    version: int = -1  # that it made, or saw


class Node:
    """One process."""

    def __init__(self, world: World, name: str, disk: Disk, life: int, rate: float, offset: float) -> None:
        self.world, self.name, self.disk, self.life = world, name, disk, life
        self.rate, self.offset = rate, offset
        self.alive, self.broken = True, False
        self.paused_until = 0.0
        self.waiting: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        now = self.clock()
        base = disk.base
        roster = base.roster if base is not None else tuple(world.names)
        self.raft = world.make(
            name,
            roster,
            world.settings,
            random.Random(world.rng.getrandbits(64)),
            now,
            disk.hard,
            disk.log(),
            0,
        )
        self.raft.start(now)
        self.session = world.make_session(self.raft, world.terms, now)
        self.machine = Machine.load(base.data) if base is not None else Machine()
        self.session.mark_applied(self.machine.applied)
        self.queue: list[Batch] = []  # being written, in order
        self.seen: dict[str, int] = {}  # newest lives
        self.calls: dict[int, Operation] = {}  # reads and changes that wait to be certain
        # By call: the version that its last try builds on, and the number of that proposal.
        self.proposed: dict[int, tuple[Operation, int, int]] = {}
        self.later: list[tuple[int, Operation]] = []  # certain from an index on
        self.armed = math.inf

    def clock(self) -> float:
        return self.world.sim.now * self.rate + self.offset

    # -- what the edge does
    def step(self) -> None:
        """After any event: writes, sends, applies, answers."""
        now = self.clock()
        self.session.collect_reads(now)
        while True:
            batch = self.raft.take_batch()
            if not batch.needs_write and not batch.messages:
                break
            self.queue.append(batch)
            if len(self.queue) == 1:
                self._write()
        for to, body in self.session.outbox:
            self.world.send(self, to, body)
        self.session.outbox.clear()
        self._apply()
        self._answer()
        self._arm()

    def _write(self) -> None:
        """Batches go to the disk one after the other; what is sent waits for it."""
        while self.queue and not self.queue[0].needs_write:
            self._sent(self.queue.pop(0))
        if self.queue and not self.broken:
            self.world.sim.after(self.world.disk_ms(), self._written, self.life)

    def _written(self, life: int) -> None:
        if not self.alive or self.world.nodes[self.name] is not self:
            return
        if self.world.sim.now < self.paused_until:
            self.waiting.append((self._written, (life,)))
            return
        batch = self.queue.pop(0)
        self.disk.write(batch)
        if batch.snapshot is not None:
            self.machine = Machine.load(batch.snapshot.data)
            self.session.mark_applied(self.machine.applied)
            self._jumped()
        self._sent(batch)
        self.raft.mark_durable(batch.last_index, batch.last_term)
        self._write()
        self.step()

    def _sent(self, batch: Batch) -> None:
        for to, body in batch.messages:
            self.world.send(self, to, body)

    def _apply(self) -> None:
        machine = self.machine
        while machine.applied < self.raft.applicable_index:
            index = machine.applied + 1
            if index <= self.raft.log.base_index:
                break  # a snapshot is on its way to the disk
            entry = self.raft.log.entry_at(index)
            command = machine.apply(index, entry)
            self.world.agreed(self.name, index, entry)
            if entry.kind is EntryKind.COMMAND:
                self._settle(msgspec.msgpack.decode(entry.data, type=Command), command is not None)
        self.session.mark_applied(machine.applied)
        if (
            self.raft.applicable_index - self.raft.log.base_index
            >= COMPACT_EVERY + self.world.settings.trailing_entries
            and machine.applied > self.raft.log.base_index
        ):
            self._compact()
        if self.raft.needs_snapshot and machine.applied >= self.raft.log.base_index:
            self.raft.provide_snapshot(self.clock(), self._snapshot())

    def _snapshot(self) -> Snapshot:
        index = self.machine.applied
        term = self.raft.log.term_at(index)
        assert term is not None
        roster = Log(
            0,
            0,
            [e for i in range(self.raft.log.base_index + 1, index + 1) for e in [self.raft.log.entry_at(i)]],
        ).latest_roster(self.raft.base_roster)
        return Snapshot(index, term, roster, self.machine.dump())

    def _compact(self) -> None:
        """The state is on the disk by itself; here it goes with the log's beginning."""
        snapshot = self._snapshot()
        self.disk.base = snapshot
        self.raft.compact(snapshot.index)

    # -- clients
    def call(self, operation: Operation) -> None:
        self.calls[self.session.read_index(self.clock())] = operation
        self.step()

    def _answer(self) -> None:
        for number, index in self.session.read_results:
            operation = self.calls.pop(number, None)
            if operation is not None and index is not None:
                self.later.append((index, operation))
        self.session.read_results.clear()
        ready = [one for index, one in self.later if index <= self.machine.applied]
        self.later = [one for one in self.later if one[0] > self.machine.applied]
        for operation in ready:
            if operation.kind == "read":
                self.world.told(operation, self.machine.version)
            else:
                self._propose(operation)

    def _propose(self, operation: Operation) -> None:
        command = Command(operation.id, self.machine.version, 0)
        number = self.session.propose(self.clock(), msgspec.msgpack.encode(command))
        self.proposed[operation.id] = operation, command.base, number

    def _settle(self, command: Command, held: bool) -> None:
        """A try has come up in the log. An earlier one of the same call says nothing of the last."""
        found = self.proposed.get(command.id)
        if found is not None and found[1] == command.base:
            self._over(found[0], found[2], held)

    def _over(self, operation: Operation, number: int, held: bool) -> None:
        del self.proposed[operation.id]
        self.session.finish_proposal(number)
        if held:
            self.world.told(operation, self.machine.version)
        else:  # somebody else was first: once more
            self.calls[self.session.read_index(self.clock())] = operation

    def _jumped(self) -> None:
        """The state came whole, without the entries that led to it."""
        for operation, base, number in list(self.proposed.values()):
            if operation.id in self.machine.ids:
                del self.proposed[operation.id]  # its version is not known: the client learns nothing
                self.session.finish_proposal(number)
            elif base != self.machine.version:
                self._over(operation, number, False)

    # -- time
    def _arm(self) -> None:
        due = self.session.next_timer_at
        if due < math.inf and due != self.armed:
            self.armed = due
            self.world.sim.at(max((due - self.offset) / self.rate, self.world.sim.now), self.fire, due)

    def fire(self, due: float) -> None:
        if not self.alive or self.world.nodes[self.name] is not self or due != self.armed:
            return
        if self.world.sim.now < self.paused_until:
            self.waiting.append((self.fire, (due,)))
            return
        self.armed = math.inf
        self.session.tick(max(self.clock(), due))  # a clock is a product of floats
        self.step()

    def arrive(self, sender: str, life: int, body: Any) -> None:
        if life < self.seen.get(sender, 0):
            return  # of a former life
        self.seen[sender] = life
        if isinstance(body, ReadIndex | ReadIndexResponse | Propose | ProposeResponse):
            self.session.handle_message(self.clock(), sender, body)
        else:
            self.raft.handle_message(self.clock(), sender, body)
        self.step()


class World:
    """Instances, links, clients, and the judge."""

    def __init__(
        self,
        names: Iterable[str],
        seed: int,
        settings: RaftSettings = FAST,
        terms: SessionSettings | None = None,
        make: Callable[..., Raft] = Raft,
        make_session: Callable[..., Session] = Session,
    ) -> None:
        self.names, self.settings, self.terms = list(names), settings, terms or SessionSettings()
        self.make, self.make_session = make, make_session
        self.sim, self.rng = Simulator(), random.Random(seed)
        self.loss = self.doubled = 0.0
        self.delay_ms, self.disk = (0.2, 2.0), (0.1, 3.0)
        self.late = 0.0  # part of messages that are late by up to a second
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.log: dict[int, Entry] = {}  # what is agreed
        self.by_version: dict[int, int] = {}  # change -> its id
        self.state = Machine()
        self.broken: list[str] = []
        self.operations: list[Operation] = []
        self.nodes: dict[str, Node] = {}
        self.first_acted: dict[int, float] = {}  # version -> when the first instance acted on it
        self.longest = 0.0  # two instances acting on rules that contradict each other
        self.messages = 0
        self.leaders: dict[int, str] = {}
        for name in self.names:
            self.start(name, Disk())
        self.sim.after(10.0, self._look)

    def disk_ms(self) -> float:
        return self.rng.uniform(*self.disk)

    # -- processes
    def start(self, name: str, disk: Disk, rate: float = 1.0) -> None:
        node = Node(self, name, disk, int(self.sim.now * 1e3) + 1, rate, self.rng.uniform(0, 1e6))
        self.nodes[name] = node
        node.step()

    def kill(self, name: str) -> None:
        self.nodes[name].alive = False

    def restart(self, name: str, empty: bool = False, rate: float = 1.0) -> None:
        self.start(name, Disk() if empty else self.nodes[name].disk, rate)

    def pause(self, name: str, ms: float) -> None:
        node = self.nodes[name]
        node.paused_until = max(node.paused_until, self.sim.now + ms)
        self.sim.at(node.paused_until, self._wake, node)

    def _wake(self, node: Node) -> None:
        if not node.alive or self.sim.now < node.paused_until:
            return
        waiting, node.waiting = node.waiting, []
        for call, arguments in waiting:
            call(*arguments)

    def islands(self, *groups: Iterable[str]) -> None:
        self.cut = between(*groups)

    # -- messages
    def send(self, node: Node, to: str, body: Any) -> None:
        self.messages += 1
        if self.cut(node.name, to) or (self.loss and self.rng.random() < self.loss):
            return
        copies = 2 if self.doubled and self.rng.random() < self.doubled else 1
        for _ in range(copies):
            delay = self.rng.uniform(*self.delay_ms)
            if self.late and self.rng.random() < self.late:
                delay += self.rng.uniform(0, 1_000.0)
            self.sim.after(delay, self._arrive, node.name, node.life, to, body)

    def _arrive(self, sender: str, life: int, to: str, body: Any) -> None:
        node = self.nodes[to]
        if not node.alive:
            return
        if self.sim.now < node.paused_until:
            node.waiting.append((self._arrive, (sender, life, to, body)))
            return
        node.arrive(sender, life, body)

    # -- clients
    def operate(self, name: str, kind: str) -> Operation | None:
        node = self.nodes[name]
        if not node.alive or self.sim.now < node.paused_until:
            return None
        operation = Operation(len(self.operations) + 1, kind, self.sim.now)
        self.operations.append(operation)
        node.call(operation)
        return operation

    def told(self, operation: Operation, version: int) -> None:
        if operation.ended < math.inf:
            self.broken.append(f"operation {operation.id} was told twice")
        operation.ended, operation.version = self.sim.now, version

    def run(self, ms: float) -> None:
        self.sim.run(self.sim.now + ms)

    def until(self, holds: Callable[[], bool], most_ms: float, step_ms: float = 10.0) -> float | None:
        begun = self.sim.now
        while not holds():
            if self.sim.now - begun >= most_ms:
                return None
            self.run(step_ms)
        return self.sim.now - begun

    # -- the judge
    def agreed(self, name: str, index: int, entry: Entry) -> None:
        """An instance puts an entry in force."""
        known = self.log.get(index)
        if known is None:
            self.log[index] = entry
            if index != self.state.applied + 1:
                self.broken.append(f"{name} puts {index} in force, behind {self.state.applied}")
            if self.state.apply(index, entry) is not None:
                self.by_version[index] = self.state.ids[-1]
        elif known != entry:
            self.broken.append(f"{name} has another entry at {index} than was agreed")

    def _look(self) -> None:
        """Who acts on what now."""
        self.sim.after(10.0, self._look)
        now = self.sim.now
        acting = [
            n.machine.version
            for n in self.nodes.values()
            if n.alive and now >= n.paused_until and n.session.lease.is_valid(n.clock())
        ]
        if not acting:
            return
        newest, oldest = max(acting), min(acting)
        for version in self.by_version:
            if version <= newest:
                self.first_acted.setdefault(version, now)
        if oldest < newest:  # how long the first change that the oldest lacks has been acted on
            since = min(at for version, at in self.first_acted.items() if version > oldest)
            self.longest = max(self.longest, now - since)

    def judge(self) -> list[str]:
        """All that is wrong."""
        found = list(self.broken)
        done = [o for o in self.operations if o.ended < math.inf]
        for one in done:
            if one.kind == "change" and self.by_version.get(one.version) != one.id:
                found.append(f"change {one.id} was told of as {one.version}, which is another or none")
        if len(set(self.by_version.values())) != len(self.by_version):
            found.append("a change holds twice")
        found += self._in_order(done)
        if self.longest > self.terms.lease_ms * (1 + self.terms.clock_drift) + 20.0:
            found.append(f"rules that contradict each other were acted on for {self.longest:.0f} ms")
        return found

    def _in_order(self, done: list[Operation]) -> list[str]:
        """The versions are an order of all calls; it must agree with time: what began after another was told
        saw it, and a change made a later version (linearizable, with the order as its witness)."""
        found = []
        ended = sorted(done, key=lambda one: one.ended)
        newest, place = 0, 0
        for one in sorted(done, key=lambda one: one.begun):
            while place < len(ended) and ended[place].ended < one.begun:
                newest = max(newest, ended[place].version)
                place += 1
            if one.version < newest or one.kind == "change" and one.version <= newest:
                found.append(f"{one.kind} {one.id} has version {one.version}, after {newest} was told")
        return found
