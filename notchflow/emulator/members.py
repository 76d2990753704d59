"""Many members in simulated time: the very core that the service runs, over links that lose, delay and cut.

A `Net` says what becomes of each message; `Fleet` starts, kills, pauses and restarts members. Used by the
lab, the explorer (`explorer.py`) and `benchmarks/members.py`.
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
TRIP: Final = 3  # one-way times of a TCP exchange: handshake, question and answer
SECRET: Final = b"emulated" * 4


class Part(Protocol):
    """One instance's part, as the emulated edge drives it: Members, or what it is compared with."""

    next_timer_at: float

    def start(self, now: float) -> list[Action]: ...

    def tick(self, now: float) -> list[Action]: ...

    def handle_message(self, now: float, sender: Sender, body: Message) -> list[Action]: ...


@dataclass(frozen=True, slots=True)
class Law:
    """How links behave: part of datagrams lost, doubled, and the bounds of a uniform one-way delay (ms)."""

    loss: float = 0.0
    doubled: float = 0.0
    least_ms: float = 0.2
    most_ms: float = 1.0


@dataclass(frozen=True, slots=True)
class Told:
    """One line of the history."""

    at: float
    who: str
    life: Incarnation
    what: str
    subject: str
    more: dict[str, object]


def between(*groups: Iterable[str]) -> Callable[[str, str], bool]:
    """Whether a link leads from one of these groups to another; who is in none is in one with its like."""
    of = {name: number for number, group in enumerate(groups) for name in group}
    return lambda sender, to: of.get(sender, -1) != of.get(to, -1)


class Net:
    """The links: a law for all, cuts by direction, and a hook that may swallow a datagram."""

    def __init__(self, rng: random.Random, law: Law) -> None:
        self.rng, self.law = rng, law
        self.cut: Callable[[str, str], bool] = lambda sender, to: False
        self.swallow: Callable[[str, str, Message], bool] = lambda sender, to, body: False

    def islands(self, *groups: Iterable[str]) -> None:
        """Cuts the fleet into these; nothing passes between two of them. None: all links are whole."""
        self.cut = between(*groups)

    def delays(self, sender: str, to: str, body: Message) -> list[float]:
        """When its copies arrive, from now."""
        law, rng = self.law, self.rng
        if self.cut(sender, to) or self.swallow(sender, to, body) or (law.loss and rng.random() < law.loss):
            return []
        copies = 2 if law.doubled and rng.random() < law.doubled else 1
        return [law.least_ms + rng.random() * (law.most_ms - law.least_ms) for _ in range(copies)]


@dataclass(slots=True)
class Node:
    """One process: its part, and what the emulated machine does to it."""

    name: str
    part: Part
    life: Incarnation
    address: str
    paused_until: float = 0.0
    alive: bool = True
    armed: float = float("inf")
    waiting: list[tuple[str, Callable[..., list[Action]], tuple[object, ...]]] = field(default_factory=list)


class Fleet:
    """Members by name. `make` builds a part; what it is told of is what a real process is told."""

    def __init__(
        self,
        names: Iterable[str],
        settings: Settings,
        seed: int,
        law: Law | None = None,
        make: Callable[[str, Incarnation, str, random.Random], Part] | None = None,
    ) -> None:
        self.names, self.settings = list(names), settings
        self.sim = Simulator()
        self.rng = random.Random(seed)
        self.net = Net(random.Random(seed + 1), law or Law())
        self.make = make or self._member  # from a name, a life, an address and its own draws
        self.nodes: dict[str, Node] = {}  # by name: the last that was started
        self.places: dict[str, Node] = {}  # by address
        self.kept: dict[str, int] = {}  # epochs on the members' disks
        self.history: list[Told] = []
        self.datagrams: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.exchanges = 0
        self.starts = 0
        self.weigh = False  # whether messages are encoded to count their bytes

    def _member(self, name: str, life: Incarnation, address: str, rng: random.Random) -> Part:
        me = Record(name, life, 0, State.ALIVE, address, "1")
        return Members(me, self.names, self.settings, rng, [f"{n}:1" for n in self.names[:3]])

    # -- processes
    def start(self, name: str, epoch: int | None = None, place: int = 1) -> Node:
        """Starts a member with its folder, or with this epoch in place of what the folder would give; at its
        usual place, or at another where one of its name runs still."""
        self.starts += 1
        if epoch is None:
            epoch = max(self.kept.get(name, 0) + 1, EPOCH + int(self.sim.now))
        life = Incarnation(epoch, self.rng.getrandbits(32))
        self.kept[name] = epoch
        address = f"{name}:{place}"
        part = self.make(name, life, address, random.Random(self.rng.getrandbits(64)))
        node = self.nodes[name] = self.places[address] = Node(name, part, life, address)
        self._do(node, part.start(self.sim.now))
        return node

    def kill(self, name: str) -> None:
        self.nodes[name].alive = False
        self.nodes[name].waiting.clear()

    def pause(self, name: str, ms: float) -> None:
        """As SIGSTOP and SIGCONT: what comes meanwhile waits in the kernel."""
        node = self.nodes[name]
        node.paused_until = max(node.paused_until, self.sim.now + ms)
        self.sim.at(node.paused_until, self._wake, node)

    def _wake(self, node: Node) -> None:
        if not node.alive or self.sim.now < node.paused_until:
            return
        waiting, node.waiting = node.waiting, []
        for source, call, arguments in waiting:
            self._do(node, call(self.sim.now, *arguments), source)
        self._fire(node, node.armed)

    def run(self, ms: float) -> None:
        self.sim.run(self.sim.now + ms)

    # -- what is seen
    def members(self) -> list[Members]:
        """The cores of living processes that are members."""
        return [node.part for node in self.nodes.values() if node.alive and isinstance(node.part, Members)]

    def equal(self) -> bool:
        """Whether all views are equal, and every living one is alive in them."""
        members = self.members()
        alive = {m.name for m in members}
        return len({m.view.digest for m in members}) == 1 and all(
            m.view.state(n) is State.ALIVE for m in members for n in alive
        )

    def until(self, holds: Callable[[], bool], most_ms: float, step_ms: float = 20.0) -> float | None:
        """Runs until something holds; how long that took, or None where it did not come."""
        begun = self.sim.now
        while not holds():
            if self.sim.now - begun >= most_ms:
                return None
            self.run(step_ms)
        return self.sim.now - begun

    # -- the edge
    def _do(self, node: Node, actions: list[Action], source: str = "") -> None:
        """`source`: where what led to this came from, for what goes back there."""
        for action in actions:
            match action:
                case Datagram(to, address, body, back):
                    self._datagram(node, source if back and source else address or f"{to}:1", body)
                case Exchange(to, address, body):
                    self._exchange(node, address or f"{to}:1", body)
                case PersistIncarnation(life):
                    node.life = life
                    self.kept[node.name] = life.epoch
                case MembershipEvent(what, subject, more):
                    self.history.append(Told(self.sim.now, node.name, node.life, what, subject, more))
        due = node.part.next_timer_at
        if due < node.armed or node.armed <= self.sim.now:
            node.armed = due
            if due < float("inf"):
                self.sim.at(due, self._fire, node, due)

    def _fire(self, node: Node, due: float) -> None:
        if not node.alive or node.armed != due or self.sim.now < node.paused_until:
            return
        node.armed = float("inf")
        self._do(node, node.part.tick(self.sim.now))

    def _count(self, node: Node, body: Message) -> None:
        self.datagrams[node.name] += 1
        self._weigh(node, body)

    def _weigh(self, node: Node, body: Message) -> None:
        if self.weigh:
            self.bytes[node.name] += len(
                encode_message(SECRET, Envelope(node.name, node.life, 1, "p0000", body))
            )

    def _datagram(self, node: Node, to: str, body: Message) -> None:
        self._count(node, body)
        for delay in self.net.delays(node.name, to.partition(":")[0], body):
            self.sim.after(delay, self._arrive, Sender(node.name, node.life), node.address, to, body)

    def _arrive(self, sender: Sender, source: str, to: str, body: Message) -> None:
        node = self.places.get(to)
        if node is not None and node.alive:
            self._call(node, source, node.part.handle_message, sender, body)

    def _call(self, node: Node, source: str, call: Callable[..., list[Action]], *arguments: object) -> None:
        if self.sim.now < node.paused_until:
            node.waiting.append((source, call, arguments))
        else:
            self._do(node, call(self.sim.now, *arguments), source)

    def _exchange(self, node: Node, to: str, body: Message) -> None:
        """TCP: no loss, but what is cut or paused gives nothing."""
        self.exchanges += 1
        self._weigh(node, body)
        wait = TRIP * self.net.law.most_ms
        self.sim.after(wait, self._asked, Sender(node.name, node.life), node, to, body)

    def _asked(self, sender: Sender, asker: Node, to: str, body: Message) -> None:
        node = self.places.get(to)
        if (
            node is None
            or node is asker
            or not node.alive
            or self.sim.now < node.paused_until
            or self.net.cut(sender.name, node.name)
            or self.net.cut(node.name, sender.name)
        ):
            return
        assert isinstance(body, Sync) and isinstance(node.part, Members)
        answer, actions = node.part.handle_sync(self.sim.now, sender, body)
        self._do(node, actions)
        if answer is not None and asker.alive and isinstance(asker.part, Members):
            self._weigh(node, answer)
            self._call(asker, "", asker.part.handle_sync_reply, Sender(node.name, node.life), answer)
