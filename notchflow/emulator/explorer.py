"""All schedules of a few faults within stated bounds, played on the real core, and what must hold of each.

A case has at most one lost datagram, one member that is paused or cut off, and one start, kill or twin of
another; all cases of the bounds are played, in parallel where asked. What is left out by symmetry: which of
the members is started again (they differ in their draws alone). What is not explored: two losses, orders of
arrival that the delay law does not draw.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Final

from notchflow.cluster.members import Members
from notchflow.cluster.model import Settings, Standing, State
from notchflow.emulator.members import EPOCH, Fleet, Law, Node, Told

NAMES: Final = ("p1", "p2", "p3")
HEAD_MS, TAIL_MS, STEP_MS = 1_500.0, 600.0, 50.0
SHORT_MS, LONG_MS = 300.0, 3_000.0  # a pause that nobody may die of, and one that outlasts any suspicion
LATEST: Final = 900.0  # when the last fault begins, from the first
SETTINGS: Final = Settings()


@dataclass(frozen=True, slots=True)
class Still:
    """A member that is paused, or cut off (both ways, or only what it sends)."""

    who: str
    at: float
    kind: str  # pause, cut, mute
    ms: float


@dataclass(frozen=True, slots=True)
class Turn:
    """What becomes of p1: kept, lost (an empty folder, and a clock an hour back), twin, tie (a twin whose
    life has the same epoch), leave or kill."""

    at: float
    kind: str


@dataclass(frozen=True, slots=True)
class Case:
    """One schedule."""

    loss: int | None
    still: Still | None
    turn: Turn | None


@dataclass(frozen=True, slots=True)
class Scope:
    """The bounds: which losses, times and kinds are tried."""

    losses: int = 24
    times: tuple[float, ...] = (0.0, 300.0, 600.0, LATEST)
    stills: tuple[tuple[str, float], ...] = (
        ("pause", SHORT_MS),
        ("pause", LONG_MS),
        ("cut", SHORT_MS),
        ("cut", LONG_MS),
        ("mute", LONG_MS),
    )
    turns: tuple[str, ...] = ("kept", "lost", "twin", "tie", "leave", "kill")

    def cases(self) -> Iterator[Case]:
        losses = [None, *range(self.losses)]
        stills = [
            None,
            *(Still(who, at, *kind) for who, at, kind in itertools.product(NAMES, self.times, self.stills)),
        ]
        turns = [None, *(Turn(at, kind) for at in self.times for kind in self.turns)]
        for loss, still, turn in itertools.product(losses, stills, turns):
            yield Case(loss, still, turn)


class Play:
    """One case on a fleet of its own."""

    def __init__(self, case: Case, settings: Settings = SETTINGS) -> None:
        self.case = case
        self.fleet = Fleet(NAMES, settings, 7, Law(0, 0, 0.5, 0.5))
        self.nodes: list[Node] = []
        self.broken: list[str] = []
        self.sent = 0
        self.both = 0.0  # for how long two of one name have taken requests

    def run(self) -> list[str]:
        """What it breaks."""
        fleet, case = self.fleet, self.case
        for name in NAMES:
            self.nodes.append(fleet.start(name))
        if fleet.until(fleet.equal, HEAD_MS) is None:
            return ["views do not become equal without any fault"]
        fleet.run(HEAD_MS)
        fleet.net.swallow = lambda sender, to, body: self._swallow()
        begun = fleet.sim.now
        if case.still is not None:
            fleet.sim.at(begun + case.still.at, self._still, case.still)
        if case.turn is not None:
            fleet.sim.at(begun + case.turn.at, self._turn, case.turn.kind)
        self._watch(begun + self._faults_end())
        self._watch(fleet.sim.now + self._settle())
        self._judge()
        return self.broken

    def _faults_end(self) -> float:
        still, turn = self.case.still, self.case.turn
        return max(still.at + still.ms if still is not None else 0.0, turn.at if turn is not None else 0.0)

    def _settle(self) -> float:
        """By when all must be well again: heal, and if one has died the detection of it as well."""
        settings, size = self.fleet.settings, len(NAMES)
        return (
            settings.heal_bound_ms(size)
            + settings.detection_bound_ms(size)
            + settings.contact_bound_ms(size)
            + settings.one_name_bound_ms(size)
            + TAIL_MS
        )

    def _swallow(self) -> bool:
        self.sent += 1
        return self.sent - 1 == self.case.loss

    def _still(self, still: Still) -> None:
        fleet = self.fleet
        if still.kind == "pause":
            fleet.pause(still.who, still.ms)
            return
        if still.kind == "cut":
            fleet.net.cut = lambda sender, to: still.who in (sender, to)
        else:
            fleet.net.cut = lambda sender, to: sender == still.who
        fleet.sim.after(still.ms, fleet.net.islands)

    def _turn(self, kind: str) -> None:
        fleet = self.fleet
        node = fleet.nodes["p1"]
        if kind == "kill" or kind in ("kept", "lost"):
            fleet.kill("p1")
        if kind == "leave":
            assert isinstance(node.part, Members)
            fleet._do(node, node.part.leave(fleet.sim.now))
            node.alive = False
        elif kind == "lost":
            self.nodes.append(fleet.start("p1", EPOCH - 3_600_000))
        elif kind == "tie":
            self.nodes.append(fleet.start("p1", node.life.epoch, place=2))
        elif kind in ("kept", "twin"):
            self.nodes.append(fleet.start("p1", place=2 if kind == "twin" else 1))

    # -- what must hold
    def _watch(self, until: float) -> None:
        fleet = self.fleet
        bound = fleet.settings.one_name_bound_ms(len(NAMES)) + STEP_MS
        while fleet.sim.now < until:
            fleet.run(STEP_MS)
            taking = [
                n
                for n in self.nodes
                if n.name == "p1" and n.alive and isinstance(n.part, Members) and n.part.accepts_requests()
            ]
            linked = (
                fleet.sim.now >= max((n.paused_until for n in taking), default=0.0)
                and not fleet.net.cut("p1", "p2")
                and not fleet.net.cut("p2", "p1")
            )
            self.both = self.both + STEP_MS if len(taking) > 1 and linked else 0.0
            if self.both > bound:
                self._breaks("two of p1 take requests for longer than the bound")

    def _breaks(self, what: str) -> None:
        if what not in self.broken:
            self.broken.append(what)

    def _judge(self) -> None:
        fleet = self.fleet
        self._ends()
        self._lives(fleet.history)
        case = self.case
        short = case.still is None or case.still.ms <= SHORT_MS
        deaths = [t for t in fleet.history if t.what == "dead" and t.subject != "p1"]
        if short and case.turn is None:
            deaths = [t for t in fleet.history if t.what == "dead"]
        if short and deaths:
            self._breaks(f"{deaths[0].subject} lives and is held dead")
        if case.still is not None and case.still.kind in ("cut", "mute") and case.still.ms == LONG_MS:
            self._stood(case.still.who)

    def _stood(self, who: str) -> None:
        """Whoever got no answer for longer than the contact bound has told that it is alone."""
        if who == "p1" and self.case.turn is not None:
            return
        stood = {t.more["standing"] for t in self.fleet.history if t.who == who and t.what == "standing"}
        if Standing.ALONE.value not in stood:
            self._breaks(f"{who} was answered by nobody, and does not say so")

    def _ends(self) -> None:
        """Once faults have ended, all that run hold the same, and it is true."""
        fleet = self.fleet
        members = [
            n.part
            for n in self.nodes
            if n.alive and isinstance(n.part, Members) and n.part.accepts_requests()
        ]
        running = {m.name for m in members}
        if running != {n.name for n in self.nodes if n.alive}:
            self._breaks("a name has nobody that takes requests")
        if len({m.view.digest for m in members}) != 1:
            self._breaks("views differ after the faults have ended")
        for member in members:
            for name in NAMES:
                there = member.view.state(name) is State.ALIVE
                if there != (name in running):
                    self._breaks(f"{member.name} holds {name} {'alive' if there else 'gone'}, wrongly")
        turn = self.case.turn
        if turn is not None and turn.kind == "leave":
            wrong = [m.name for m in members if m.view.state("p1") is not State.LEFT]
            if wrong and self.case.still is None and self.case.loss is None:
                self._breaks(f"{wrong[0]} does not know that p1 has left")
        for member in members:
            whole = running | {n for n in NAMES if member.view.state(n) is State.LEFT} == set(NAMES)
            standing = member.standing(fleet.sim.now)
            if whole != (standing is Standing.WHOLE):
                self._breaks(f"{member.name} stands {standing.value} at the end")

    def _lives(self, history: list[Told]) -> None:
        """Nobody holds an earlier life for alive once it has held a later one, or that it has left."""
        newest: dict[tuple[str, object, str], object] = {}
        left: set[tuple[str, object, str, object]] = set()
        for told in history:
            if told.what not in ("alive", "suspect", "dead", "left"):
                continue
            epoch, _, nonce = str(told.more["life"]).partition(".")
            life = int(epoch), int(nonce, 16)
            key = (told.who, told.life, told.subject)
            if life < newest.get(key, (0, 0)):  # type: ignore[operator]
                self._breaks(f"{told.who} holds a life of {told.subject} {told.what} after a later one")
            if told.what == "alive" and (*key, life) in left:
                self._breaks(f"{told.who} holds a life of {told.subject} alive that has left")
            newest[key] = life
            if told.what == "left":
                left.add((*key, life))


def play(case: Case) -> tuple[Case, list[str]]:
    return case, Play(case).run()


def explore(scope: Scope, processes: int = 1) -> tuple[int, list[tuple[Case, list[str]]]]:
    """How many cases were played, and those that break something."""
    cases = list(scope.cases())
    if processes <= 1:
        found = [play(case) for case in cases]
    else:
        with ProcessPoolExecutor(processes) as pool:
            found = list(pool.map(play, cases, chunksize=64))
    return len(cases), [(case, broken) for case, broken in found if broken]
