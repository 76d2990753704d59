"""Simulation of agreement (Raft): the real core over links that lose messages, with disks that may be lost.

Each instance has its own clock, which may drift, a disk with latency, and a state machine whose changes are
conditional on a version. The world observes committed entries and checks invariants on them alone: one order
of entries for all, no acknowledged change is lost, calls are linearizable, and instances act on conflicting
rules for no longer than the bound.
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
from notchflow.emulator.members import partition_filter

COMPACT_EVERY: Final = 8  # entries applied between two snapshots
FREQUENT_SNAPSHOTS: Final = RaftSettings(trailing_entries=4)


class Command(msgspec.Struct, frozen=True, array_like=True):
    """A conditional change of the rules: it applies only if `base` is still the current version."""

    id: int
    base: int
    value: int


@dataclass(slots=True)
class Machine:
    """The replicated state machine: a version, and the ids of the changes that led to it."""

    applied: int = 0
    version: int = 0  # index of the last change that was applied
    ids: list[int] = field(default_factory=list)

    def apply(self, index: int, entry: Entry) -> Command | None:
        """Applies an entry; returns the change if its condition held."""
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
        """Encodes the state for a snapshot."""
        return msgspec.msgpack.encode((self.applied, self.version, self.ids))

    @classmethod
    def load(cls, data: bytes) -> Machine:
        """Decodes a snapshot's state."""
        return cls(*msgspec.msgpack.decode(data, type=tuple[int, int, list[int]]))


@dataclass(slots=True)
class Disk:
    """Durable state of an instance; survives a crash."""

    hard: HardState = field(default_factory=HardState)
    base: Snapshot | None = None
    entries: dict[int, Entry] = field(default_factory=dict)

    def write(self, batch: Batch) -> None:
        """Writes a batch; entries from its first index on are replaced."""
        if batch.hard_state is not None:
            self.hard = batch.hard_state
        if batch.snapshot is not None:
            self.base = batch.snapshot
            self.entries = {i: e for i, e in self.entries.items() if i > batch.snapshot.index}
        self.entries = {i: e for i, e in self.entries.items() if i < batch.first_index}
        for offset, entry in enumerate(batch.entries):
            self.entries[batch.first_index + offset] = entry

    def log(self) -> Log:
        """Rebuilds the log from the snapshot and the entries after it."""
        base = self.base
        first = base.index if base is not None else 0
        entries = [self.entries[i] for i in sorted(self.entries) if i > first]
        return Log(first, base.term if base is not None else 0, entries)


@dataclass(slots=True)
class Operation:
    """A client's call at an instance, and its result."""

    id: int
    kind: str
    started_at: float
    ended: float = math.inf
    version: int = -1  # version that a change made or a read saw


class Node:
    """One process: the core, its clock, and the state machine."""

    def __init__(
        self, world: World, name: str, disk: Disk, incarnation: int, rate: float, offset: float
    ) -> None:
        self.world, self.name, self.disk, self.incarnation = world, name, disk, incarnation
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
        self.queue: list[Batch] = []  # batches to write, in order
        self.latest_incarnations: dict[str, int] = {}  # by sender
        # Reads, and changes before their proposal, that wait for a read index.
        self.pending_reads: dict[int, Operation] = {}
        # By operation: the base version of its last proposal, and the number of that proposal.
        self.proposals: dict[int, tuple[Operation, int, int]] = {}
        # Operations that wait until an index is applied.
        self.waiting_for_index: list[tuple[int, Operation]] = []
        self.timer_at = math.inf

    def clock(self) -> float:
        """Reads the process's clock, milliseconds."""
        return self.world.sim.now * self.rate + self.offset

    # -- simulated I/O
    def step(self) -> None:
        """After any event: writes, sends messages, applies entries and answers clients."""
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
        self._serve_reads()
        self._set_timer()

    def _write(self) -> None:
        """Writes batches one after the other; the messages of a batch wait for its write."""
        while self.queue and not self.queue[0].needs_write:
            self._send_messages(self.queue.pop(0))
        if self.queue and not self.broken:
            self.world.sim.after(self.world.disk_ms(), self._on_written, self.incarnation)

    def _on_written(self, incarnation: int) -> None:
        if not self.alive or self.world.nodes[self.name] is not self:
            return
        if self.world.sim.now < self.paused_until:
            self.waiting.append((self._on_written, (incarnation,)))
            return
        batch = self.queue.pop(0)
        self.disk.write(batch)
        if batch.snapshot is not None:
            self.machine = Machine.load(batch.snapshot.data)
            self.session.mark_applied(self.machine.applied)
            self._on_snapshot()
        self._send_messages(batch)
        self.raft.mark_durable(batch.last_index, batch.last_term)
        self._write()
        self.step()

    def _send_messages(self, batch: Batch) -> None:
        for to, body in batch.messages:
            self.world.send(self, to, body)

    def _apply(self) -> None:
        machine = self.machine
        while machine.applied < self.raft.applicable_index:
            index = machine.applied + 1
            if index <= self.raft.log.base_index:
                break  # a snapshot is being written
            entry = self.raft.log.entry_at(index)
            command = machine.apply(index, entry)
            self.world.record_applied(self.name, index, entry)
            if entry.kind is EntryKind.COMMAND:
                self._resolve_proposal(msgspec.msgpack.decode(entry.data, type=Command), command is not None)
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
        """Stores a snapshot and drops the log before it. The simulated write takes no time."""
        snapshot = self._snapshot()
        self.disk.base = snapshot
        self.raft.compact(snapshot.index)

    # -- clients
    def call(self, operation: Operation) -> None:
        """Starts a client's operation with a linearizable read."""
        self.pending_reads[self.session.read_index(self.clock())] = operation
        self.step()

    def _serve_reads(self) -> None:
        for number, index in self.session.read_results:
            operation = self.pending_reads.pop(number, None)
            if operation is not None and index is not None:
                self.waiting_for_index.append((index, operation))
        self.session.read_results.clear()
        ready = [operation for index, operation in self.waiting_for_index if index <= self.machine.applied]
        self.waiting_for_index = [
            waiting for waiting in self.waiting_for_index if waiting[0] > self.machine.applied
        ]
        for operation in ready:
            if operation.kind == "read":
                self.world.finish(operation, self.machine.version)
            else:
                self._propose(operation)

    def _propose(self, operation: Operation) -> None:
        command = Command(operation.id, self.machine.version, 0)
        number = self.session.propose(self.clock(), msgspec.msgpack.encode(command))
        self.proposals[operation.id] = operation, command.base, number

    def _resolve_proposal(self, command: Command, accepted: bool) -> None:
        """Handles an applied proposal. An earlier proposal of the same operation does not decide the last."""
        proposal = self.proposals.get(command.id)
        if proposal is not None and proposal[1] == command.base:
            self._finish_proposal(proposal[0], proposal[2], accepted)

    def _finish_proposal(self, operation: Operation, number: int, accepted: bool) -> None:
        del self.proposals[operation.id]
        self.session.finish_proposal(number)
        if accepted:
            self.world.finish(operation, self.machine.version)
        else:  # a concurrent change was first: retry
            self.pending_reads[self.session.read_index(self.clock())] = operation

    def _on_snapshot(self) -> None:
        """A snapshot replaced the state, without the entries that led to it."""
        for operation, base, number in list(self.proposals.values()):
            if operation.id in self.machine.ids:
                del self.proposals[operation.id]  # its version is unknown: the client gets no answer
                self.session.finish_proposal(number)
            elif base != self.machine.version:
                self._finish_proposal(operation, number, False)

    # -- time
    def _set_timer(self) -> None:
        due = self.session.next_timer_at
        if due < math.inf and due != self.timer_at:
            self.timer_at = due
            self.world.sim.at(max((due - self.offset) / self.rate, self.world.sim.now), self.fire_timer, due)

    def fire_timer(self, due: float) -> None:
        """Runs the timer, or defers it while the process is paused."""
        if not self.alive or self.world.nodes[self.name] is not self or due != self.timer_at:
            return
        if self.world.sim.now < self.paused_until:
            self.waiting.append((self.fire_timer, (due,)))
            return
        self.timer_at = math.inf
        self.session.tick(max(self.clock(), due))  # float rounding may put the clock just before `due`
        self.step()

    def receive(self, sender: str, incarnation: int, body: Any) -> None:
        """Handles a message; those of an earlier incarnation of the sender are dropped."""
        if incarnation < self.latest_incarnations.get(sender, 0):
            return
        self.latest_incarnations[sender] = incarnation
        if isinstance(body, ReadIndex | ReadIndexResponse | Propose | ProposeResponse):
            self.session.handle_message(self.clock(), sender, body)
        else:
            self.raft.handle_message(self.clock(), sender, body)
        self.step()


class World:
    """Instances, network, clients and invariant checks."""

    def __init__(
        self,
        names: Iterable[str],
        seed: int,
        settings: RaftSettings = FREQUENT_SNAPSHOTS,
        terms: SessionSettings | None = None,
        make: Callable[..., Raft] = Raft,
        make_session: Callable[..., Session] = Session,
    ) -> None:
        self.names, self.settings, self.terms = list(names), settings, terms or SessionSettings()
        self.make, self.make_session = make, make_session
        self.sim, self.rng = Simulator(), random.Random(seed)
        self.loss = self.duplicated = 0.0
        self.delay_ms, self.disk = (0.2, 2.0), (0.1, 3.0)
        self.late = 0.0  # share of messages with up to 1 s of additional delay
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.log: dict[int, Entry] = {}  # committed entries by index
        self.by_version: dict[int, int] = {}  # version -> id of the change that made it
        self.state = Machine()
        self.broken: list[str] = []
        self.operations: list[Operation] = []
        self.nodes: dict[str, Node] = {}
        self.first_acted_at: dict[int, float] = {}  # by version: when an instance first acted on it
        self.longest_divergence_ms = 0.0  # longest time, ms, that two instances acted on conflicting rules
        self.messages = 0
        self.leaders: dict[int, str] = {}
        for name in self.names:
            self.start(name, Disk())
        self.sim.after(10.0, self._observe_leases)

    def disk_ms(self) -> float:
        """Draws the latency of a disk write."""
        return self.rng.uniform(*self.disk)

    # -- processes
    def start(self, name: str, disk: Disk, rate: float = 1.0) -> None:
        """Starts a process with a disk and a clock rate."""
        node = Node(self, name, disk, int(self.sim.now * 1e3) + 1, rate, self.rng.uniform(0, 1e6))
        self.nodes[name] = node
        node.step()

    def kill(self, name: str) -> None:
        """Kills a process; its disk stays."""
        self.nodes[name].alive = False

    def restart(self, name: str, empty: bool = False, rate: float = 1.0) -> None:
        """Starts a process again, with its disk or with an empty one."""
        self.start(name, Disk() if empty else self.nodes[name].disk, rate)

    def pause(self, name: str, ms: float) -> None:
        """Pauses a process; messages and timers wait meanwhile."""
        node = self.nodes[name]
        node.paused_until = max(node.paused_until, self.sim.now + ms)
        self.sim.at(node.paused_until, self._resume, node)

    def _resume(self, node: Node) -> None:
        if not node.alive or self.sim.now < node.paused_until:
            return
        waiting, node.waiting = node.waiting, []
        for call, arguments in waiting:
            call(*arguments)

    def islands(self, *groups: Iterable[str]) -> None:
        """Partitions the network into these groups."""
        self.cut = partition_filter(*groups)

    # -- messages
    def send(self, node: Node, to: str, body: Any) -> None:
        """Sends a message over a link that may lose, duplicate or delay it."""
        self.messages += 1
        if self.cut(node.name, to) or (self.loss and self.rng.random() < self.loss):
            return
        copies = 2 if self.duplicated and self.rng.random() < self.duplicated else 1
        for _ in range(copies):
            delay = self.rng.uniform(*self.delay_ms)
            if self.late and self.rng.random() < self.late:
                delay += self.rng.uniform(0, 1_000.0)
            self.sim.after(delay, self._arrive, node.name, node.incarnation, to, body)

    def _arrive(self, sender: str, incarnation: int, to: str, body: Any) -> None:
        node = self.nodes[to]
        if not node.alive:
            return
        if self.sim.now < node.paused_until:
            node.waiting.append((self._arrive, (sender, incarnation, to, body)))
            return
        node.receive(sender, incarnation, body)

    # -- clients
    def start_operation(self, name: str, kind: str) -> Operation | None:
        """Starts a client's "read" or "change" at an instance; None where it does not run."""
        node = self.nodes[name]
        if not node.alive or self.sim.now < node.paused_until:
            return None
        operation = Operation(len(self.operations) + 1, kind, self.sim.now)
        self.operations.append(operation)
        node.call(operation)
        return operation

    def finish(self, operation: Operation, version: int) -> None:
        """Acknowledges an operation to its client."""
        if operation.ended < math.inf:
            self.broken.append(f"operation {operation.id} was acknowledged twice")
        operation.ended, operation.version = self.sim.now, version

    def run(self, ms: float) -> None:
        """Advances the simulation."""
        self.sim.run(self.sim.now + ms)

    def run_until(self, holds: Callable[[], bool], most_ms: float, step_ms: float = 10.0) -> float | None:
        """Runs until a condition holds; returns the time taken in ms, or None after `most_ms`."""
        started_at = self.sim.now
        while not holds():
            if self.sim.now - started_at >= most_ms:
                return None
            self.run(step_ms)
        return self.sim.now - started_at

    # -- invariants
    def record_applied(self, name: str, index: int, entry: Entry) -> None:
        """Checks an entry that an instance applies against the committed log."""
        known = self.log.get(index)
        if known is None:
            self.log[index] = entry
            if index != self.state.applied + 1:
                self.broken.append(f"{name} applies {index} after {self.state.applied}")
            if self.state.apply(index, entry) is not None:
                self.by_version[index] = self.state.ids[-1]
        elif known != entry:
            self.broken.append(f"{name} applies an entry at {index} that differs from the committed one")

    def _observe_leases(self) -> None:
        """Observes periodically which versions instances with a valid lease act on."""
        self.sim.after(10.0, self._observe_leases)
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
                self.first_acted_at.setdefault(version, now)
        if oldest < newest:  # since when the first change that the oldest lacks has been acted on
            since = min(at for version, at in self.first_acted_at.items() if version > oldest)
            self.longest_divergence_ms = max(self.longest_divergence_ms, now - since)

    def violations(self) -> list[str]:
        """Returns all violations of the invariants."""
        found = list(self.broken)
        finished = [o for o in self.operations if o.ended < math.inf]
        for operation in finished:
            if operation.kind == "change" and self.by_version.get(operation.version) != operation.id:
                found.append(
                    f"change {operation.id} is acknowledged as {operation.version}, not its own version"
                )
        if len(set(self.by_version.values())) != len(self.by_version):
            found.append("a change was applied twice")
        found += self._check_linearizable(finished)
        if self.longest_divergence_ms > self.terms.lease_ms * (1 + self.terms.clock_drift) + 20.0:
            found.append(f"instances acted on conflicting rules for {self.longest_divergence_ms:.0f} ms")
        return found

    def _check_linearizable(self, finished: list[Operation]) -> list[str]:
        """Checks linearizability with the versions as the witness order: an operation that started after
        another one was acknowledged must see its version, and a change must make a later one."""
        found = []
        ended = sorted(finished, key=lambda operation: operation.ended)
        newest, position = 0, 0
        for operation in sorted(finished, key=lambda operation: operation.started_at):
            while position < len(ended) and ended[position].ended < operation.started_at:
                newest = max(newest, ended[position].version)
                position += 1
            if operation.version < newest or operation.kind == "change" and operation.version <= newest:
                found.append(
                    f"{operation.kind} {operation.id} has {operation.version}, {newest} was acknowledged"
                )
        return found
