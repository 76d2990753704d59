"""Simulation of membership: the real protocol core over links that lose, duplicate, delay and cut messages.

`Net` decides the fate of each message; `Fleet` starts, kills, pauses and restarts members. Used by the
explorer (`explorer.py`) and `benchmarks/members.py`.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final, Protocol

from notchflow.cluster.actions import Action, Datagram, Exchange, MembershipEvent, PersistIncarnation
from notchflow.cluster.local_state import Sender
from notchflow.cluster.members import Members
from notchflow.cluster.messages import Envelope, Message, Sync, encode_message
from notchflow.cluster.model import Incarnation, Record, Settings, State
from notchflow.emulator.engine import Simulator

EPOCH: Final = 1_000_000
EXCHANGE_DELAYS: Final = 3  # one-way delays of a TCP exchange: handshake, request and response
SECRET: Final = b"emulated" * 4


class MemberCore(Protocol):
    """The core of one instance as the simulated I/O drives it: `Members` or a baseline."""

    next_timer_at: float

    def start(self, now: float) -> list[Action]:
        """Starts the core."""
        ...

    def tick(self, now: float) -> list[Action]:
        """Handles the timer."""
        ...

    def handle_message(self, now: float, sender: Sender, body: Message) -> list[Action]:
        """Handles a message."""
        ...


@dataclass(frozen=True, slots=True)
class LinkModel:
    """Link model: share of datagrams lost and duplicated, bounds of the uniform one-way delay (ms)."""

    loss: float = 0.0
    duplicated: float = 0.0
    least_ms: float = 0.2
    most_ms: float = 1.0


@dataclass(frozen=True, slots=True)
class HistoryEvent:
    """One event of the membership history: who observed what of which member."""

    at: float
    who: str
    incarnation: Incarnation
    what: str
    subject: str
    more: dict[str, object]


def partition_filter(*groups: Iterable[str]) -> Callable[[str, str], bool]:
    """Returns a predicate: whether a link crosses from one group to another. Members in no group form one."""
    of = {name: number for number, group in enumerate(groups) for name in group}
    return lambda sender, to: of.get(sender, -1) != of.get(to, -1)


class Net:
    """The network: one link model for all links, directed cuts, and a hook that may drop a datagram."""

    def __init__(self, rng: random.Random, link_model: LinkModel) -> None:
        self.rng, self.link_model = rng, link_model
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        self.drop_filter: Callable[[str, str, Message], bool] = lambda sender, to, body: False

    def islands(self, *groups: Iterable[str]) -> None:
        """Partitions the fleet into these groups. Without groups, all links work."""
        self.cut = partition_filter(*groups)

    def delays(self, sender: str, to: str, body: Message) -> list[float]:
        """Draws the delays after which the copies of a message arrive; empty where it is lost."""
        link_model, rng = self.link_model, self.rng
        if (
            self.cut(sender, to)
            or self.drop_filter(sender, to, body)
            or (link_model.loss and rng.random() < link_model.loss)
        ):
            return []
        copies = 2 if link_model.duplicated and rng.random() < link_model.duplicated else 1
        return [
            link_model.least_ms + rng.random() * (link_model.most_ms - link_model.least_ms)
            for _ in range(copies)
        ]


@dataclass(slots=True)
class Node:
    """One process: its core, and its state on the simulated machine."""

    name: str
    core: MemberCore
    incarnation: Incarnation
    address: str
    paused_until: float = 0.0
    alive: bool = True
    timer_at: float = float("inf")
    waiting: list[tuple[str, Callable[..., list[Action]], tuple[object, ...]]] = field(default_factory=list)


class Fleet:
    """A fleet of members by name. `make` creates a core from what a real process has at its start."""

    def __init__(
        self,
        names: Iterable[str],
        settings: Settings,
        seed: int,
        link_model: LinkModel | None = None,
        make: Callable[[str, Incarnation, str, random.Random], MemberCore] | None = None,
    ) -> None:
        self.names, self.settings = list(names), settings
        self.sim = Simulator()
        self.rng = random.Random(seed)
        self.net = Net(random.Random(seed + 1), link_model or LinkModel())
        self.make = make or self._member  # from a name, an incarnation, an address and a random generator
        self.nodes: dict[str, Node] = {}  # by name: the process started last
        self.nodes_by_address: dict[str, Node] = {}  # by address
        self.persisted_epochs: dict[str, int] = {}  # epochs in the members' state folders
        self.history: list[HistoryEvent] = []
        self.datagrams: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.exchanges = 0
        self.starts = 0
        self.count_bytes = False  # encode messages to count their bytes

    def _member(self, name: str, incarnation: Incarnation, address: str, rng: random.Random) -> MemberCore:
        own_record = Record(name, incarnation, 0, State.ALIVE, address, "1")
        return Members(own_record, self.names, self.settings, rng, [f"{n}:1" for n in self.names[:3]])

    # -- processes
    def start(self, name: str, epoch: int | None = None, place: int = 1) -> Node:
        """Starts a member with the epoch of its state folder, or with this epoch instead; at its usual
        address (`place` 1), or at another one where a process of the same name still runs."""
        self.starts += 1
        if epoch is None:
            epoch = max(self.persisted_epochs.get(name, 0) + 1, EPOCH + int(self.sim.now))
        incarnation = Incarnation(epoch, self.rng.getrandbits(32))
        self.persisted_epochs[name] = epoch
        address = f"{name}:{place}"
        core = self.make(name, incarnation, address, random.Random(self.rng.getrandbits(64)))
        node = self.nodes[name] = self.nodes_by_address[address] = Node(name, core, incarnation, address)
        self._perform(node, core.start(self.sim.now))
        return node

    def kill(self, name: str) -> None:
        """Kills a process; messages that wait for it are lost."""
        self.nodes[name].alive = False
        self.nodes[name].waiting.clear()

    def pause(self, name: str, ms: float) -> None:
        """Stops a process for a time, like SIGSTOP and SIGCONT; messages queue up in the kernel meanwhile."""
        node = self.nodes[name]
        node.paused_until = max(node.paused_until, self.sim.now + ms)
        self.sim.at(node.paused_until, self._resume, node)

    def _resume(self, node: Node) -> None:
        if not node.alive or self.sim.now < node.paused_until:
            return
        waiting, node.waiting = node.waiting, []
        for source, call, arguments in waiting:
            self._perform(node, call(self.sim.now, *arguments), source)
        self._fire(node, node.timer_at)

    def run(self, ms: float) -> None:
        """Advances the simulation."""
        self.sim.run(self.sim.now + ms)

    # -- observations
    def members(self) -> list[Members]:
        """Returns the membership cores of all running processes."""
        return [node.core for node in self.nodes.values() if node.alive and isinstance(node.core, Members)]

    def equal(self) -> bool:
        """Whether all views are equal and hold every running member for alive."""
        members = self.members()
        alive = {m.name for m in members}
        return len({m.view.digest for m in members}) == 1 and all(
            m.view.state(n) is State.ALIVE for m in members for n in alive
        )

    def run_until(self, holds: Callable[[], bool], most_ms: float, step_ms: float = 20.0) -> float | None:
        """Runs until a condition holds; returns the time taken in ms, or None after `most_ms`."""
        started_at = self.sim.now
        while not holds():
            if self.sim.now - started_at >= most_ms:
                return None
            self.run(step_ms)
        return self.sim.now - started_at

    # -- simulated I/O
    def _perform(self, node: Node, actions: list[Action], source: str = "") -> None:
        """Performs actions. `source`: address that replies to the cause go back to."""
        for action in actions:
            match action:
                case Datagram(to, address, body, back):
                    self._datagram(node, source if back and source else address or f"{to}:1", body)
                case Exchange(to, address, body):
                    self._exchange(node, address or f"{to}:1", body)
                case PersistIncarnation(incarnation):
                    node.incarnation = incarnation
                    self.persisted_epochs[node.name] = incarnation.epoch
                case MembershipEvent(what, subject, more):
                    self.history.append(
                        HistoryEvent(self.sim.now, node.name, node.incarnation, what, subject, more)
                    )
        due = node.core.next_timer_at
        if due < node.timer_at or node.timer_at <= self.sim.now:
            node.timer_at = due
            if due < float("inf"):
                self.sim.at(due, self._fire, node, due)

    def _fire(self, node: Node, due: float) -> None:
        if not node.alive or node.timer_at != due or self.sim.now < node.paused_until:
            return
        node.timer_at = float("inf")
        self._perform(node, node.core.tick(self.sim.now))

    def _count_datagram(self, node: Node, body: Message) -> None:
        self.datagrams[node.name] += 1
        self._count_bytes(node, body)

    def _count_bytes(self, node: Node, body: Message) -> None:
        if self.count_bytes:
            self.bytes[node.name] += len(
                encode_message(SECRET, Envelope(node.name, node.incarnation, 1, "p0000", body))
            )

    def _datagram(self, node: Node, to: str, body: Message) -> None:
        self._count_datagram(node, body)
        for delay in self.net.delays(node.name, to.partition(":")[0], body):
            self.sim.after(delay, self._arrive, Sender(node.name, node.incarnation), node.address, to, body)

    def _arrive(self, sender: Sender, source: str, to: str, body: Message) -> None:
        node = self.nodes_by_address.get(to)
        if node is not None and node.alive:
            self._call_or_queue(node, source, node.core.handle_message, sender, body)

    def _call_or_queue(
        self, node: Node, source: str, call: Callable[..., list[Action]], *arguments: object
    ) -> None:
        if self.sim.now < node.paused_until:
            node.waiting.append((source, call, arguments))
        else:
            self._perform(node, call(self.sim.now, *arguments), source)

    def _exchange(self, node: Node, to: str, body: Message) -> None:
        """Exchanges state over TCP: no loss, but no answer over a cut or from a paused process."""
        self.exchanges += 1
        self._count_bytes(node, body)
        wait = EXCHANGE_DELAYS * self.net.link_model.most_ms
        self.sim.after(wait, self._handle_exchange, Sender(node.name, node.incarnation), node, to, body)

    def _handle_exchange(self, sender: Sender, initiator: Node, to: str, body: Message) -> None:
        node = self.nodes_by_address.get(to)
        if (
            node is None
            or node is initiator
            or not node.alive
            or self.sim.now < node.paused_until
            or self.net.cut(sender.name, node.name)
            or self.net.cut(node.name, sender.name)
        ):
            return
        assert isinstance(body, Sync) and isinstance(node.core, Members)
        answer, actions = node.core.handle_sync(self.sim.now, sender, body)
        self._perform(node, actions)
        if answer is not None and initiator.alive and isinstance(initiator.core, Members):
            self._count_bytes(node, answer)
            self._call_or_queue(
                initiator, "", initiator.core.handle_sync_reply, Sender(node.name, node.incarnation), answer
            )
