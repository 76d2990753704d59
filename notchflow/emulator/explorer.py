"""Bounded model checking of membership: all fault schedules within a scope, run on the real core.

A case has at most one lost datagram, one member that is paused or cut off, and one restart, kill or duplicate
of another; all cases of the scope are run, optionally in parallel. Left out by symmetry: which member is
restarted (members differ only in their random draws). Not explored: two losses, and orders of arrival that
the delay model does not draw.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Final

from notchflow.cluster.members import Members
from notchflow.cluster.model import Settings, Standing, State
from notchflow.emulator.members import EPOCH, Fleet, HistoryEvent, LinkModel, Node

NAMES: Final = ("p1", "p2", "p3")
HEAD_MS, TAIL_MS, STEP_MS = 1_500.0, 600.0, 50.0
SHORT_MS, LONG_MS = 300.0, 3_000.0  # a pause that must kill nobody, and one longer than any suspicion timeout
LATEST_FAULT_MS: Final = 900.0  # start of the last fault
SETTINGS: Final = Settings()


@dataclass(frozen=True, slots=True)
class Interruption:
    """A member that is paused, or cut off in both directions ("cut") or for what it sends only ("mute")."""

    who: str
    at: float
    kind: str  # pause, cut, mute
    ms: float


@dataclass(frozen=True, slots=True)
class LifecycleEvent:
    """What happens to p1: kept (restart with its state folder), lost (restart with an empty folder and a
    clock one hour back), twin (a second process of the same name), tie (a twin whose incarnation has the same
    epoch), leave or kill."""

    at: float
    kind: str


@dataclass(frozen=True, slots=True)
class Case:
    """One fault schedule."""

    loss: int | None
    interruption: Interruption | None
    lifecycle_event: LifecycleEvent | None


@dataclass(frozen=True, slots=True)
class Scope:
    """Bounds of the exploration: lost messages, fault times and kinds."""

    losses: int = 24
    times: tuple[float, ...] = (0.0, 300.0, 600.0, LATEST_FAULT_MS)
    interruptions: tuple[tuple[str, float], ...] = (
        ("pause", SHORT_MS),
        ("pause", LONG_MS),
        ("cut", SHORT_MS),
        ("cut", LONG_MS),
        ("mute", LONG_MS),
    )
    lifecycle_events: tuple[str, ...] = ("kept", "lost", "twin", "tie", "leave", "kill")

    def cases(self) -> Iterator[Case]:
        """Enumerates all schedules."""
        losses = [None, *range(self.losses)]
        interruptions = [
            None,
            *(
                Interruption(who, at, *kind)
                for who, at, kind in itertools.product(NAMES, self.times, self.interruptions)
            ),
        ]
        lifecycle_events = [
            None,
            *(LifecycleEvent(at, kind) for at in self.times for kind in self.lifecycle_events),
        ]
        for loss, interruption, lifecycle_event in itertools.product(losses, interruptions, lifecycle_events):
            yield Case(loss, interruption, lifecycle_event)


class CaseRunner:
    """Runs one case on its own fleet."""

    def __init__(self, case: Case, settings: Settings = SETTINGS) -> None:
        self.case = case
        self.fleet = Fleet(NAMES, settings, 7, LinkModel(0, 0, 0.5, 0.5))
        self.nodes: list[Node] = []
        self.broken: list[str] = []
        self.messages_sent = 0
        self.two_active_ms = 0.0  # how long two processes of one name have accepted requests

    def run(self) -> list[str]:
        """Runs the case and returns the violated invariants."""
        fleet, case = self.fleet, self.case
        for name in NAMES:
            self.nodes.append(fleet.start(name))
        if fleet.run_until(fleet.equal, HEAD_MS) is None:
            return ["views do not converge without a fault"]
        fleet.run(HEAD_MS)
        fleet.net.drop_filter = lambda sender, to, body: self._drop()
        started_at = fleet.sim.now
        if case.interruption is not None:
            fleet.sim.at(started_at + case.interruption.at, self._start_interruption, case.interruption)
        if case.lifecycle_event is not None:
            fleet.sim.at(
                started_at + case.lifecycle_event.at, self._apply_lifecycle_event, case.lifecycle_event.kind
            )
        self._run_until(started_at + self._last_fault_end_ms())
        self._run_until(fleet.sim.now + self._recovery_ms())
        self._check()
        return self.broken

    def _last_fault_end_ms(self) -> float:
        interruption, lifecycle_event = self.case.interruption, self.case.lifecycle_event
        return max(
            interruption.at + interruption.ms if interruption is not None else 0.0,
            lifecycle_event.at if lifecycle_event is not None else 0.0,
        )

    def _recovery_ms(self) -> float:
        """Time allowed for recovery: healing of partitions and detection of a dead member."""
        settings, size = self.fleet.settings, len(NAMES)
        return (
            settings.heal_bound_ms(size)
            + settings.detection_bound_ms(size)
            + settings.contact_bound_ms(size)
            + settings.one_name_bound_ms(size)
            + TAIL_MS
        )

    def _drop(self) -> bool:
        self.messages_sent += 1
        return self.messages_sent - 1 == self.case.loss

    def _start_interruption(self, interruption: Interruption) -> None:
        fleet = self.fleet
        if interruption.kind == "pause":
            fleet.pause(interruption.who, interruption.ms)
            return
        if interruption.kind == "cut":
            fleet.net.cut = lambda sender, to: interruption.who in (sender, to)
        else:
            fleet.net.cut = lambda sender, to: sender == interruption.who
        fleet.sim.after(interruption.ms, fleet.net.islands)

    def _apply_lifecycle_event(self, kind: str) -> None:
        fleet = self.fleet
        node = fleet.nodes["p1"]
        if kind == "kill" or kind in ("kept", "lost"):
            fleet.kill("p1")
        if kind == "leave":
            assert isinstance(node.core, Members)
            fleet._perform(node, node.core.leave(fleet.sim.now))
            node.alive = False
        elif kind == "lost":
            self.nodes.append(fleet.start("p1", EPOCH - 3_600_000))
        elif kind == "tie":
            self.nodes.append(fleet.start("p1", node.incarnation.epoch, place=2))
        elif kind in ("kept", "twin"):
            self.nodes.append(fleet.start("p1", place=2 if kind == "twin" else 1))

    # -- invariants
    def _run_until(self, until: float) -> None:
        fleet = self.fleet
        bound = fleet.settings.one_name_bound_ms(len(NAMES)) + STEP_MS
        while fleet.sim.now < until:
            fleet.run(STEP_MS)
            active = [
                n
                for n in self.nodes
                if n.name == "p1" and n.alive and isinstance(n.core, Members) and n.core.accepts_requests()
            ]
            connected = (
                fleet.sim.now >= max((n.paused_until for n in active), default=0.0)
                and not fleet.net.cut("p1", "p2")
                and not fleet.net.cut("p2", "p1")
            )
            self.two_active_ms = self.two_active_ms + STEP_MS if len(active) > 1 and connected else 0.0
            if self.two_active_ms > bound:
                self._report("two processes named p1 accept requests for longer than the bound")

    def _report(self, what: str) -> None:
        if what not in self.broken:
            self.broken.append(what)

    def _check(self) -> None:
        fleet = self.fleet
        self._check_final_state()
        self._check_incarnations(fleet.history)
        case = self.case
        short = case.interruption is None or case.interruption.ms <= SHORT_MS
        deaths = [t for t in fleet.history if t.what == "dead" and t.subject != "p1"]
        if short and case.lifecycle_event is None:
            deaths = [t for t in fleet.history if t.what == "dead"]
        if short and deaths:
            self._report(f"{deaths[0].subject} runs but was declared dead")
        if (
            case.interruption is not None
            and case.interruption.kind in ("cut", "mute")
            and case.interruption.ms == LONG_MS
        ):
            self._check_standing(case.interruption.who)

    def _check_standing(self, who: str) -> None:
        """A member without an answer for longer than the contact bound must have reported standing alone."""
        if who == "p1" and self.case.lifecycle_event is not None:
            return
        standings = {t.more["standing"] for t in self.fleet.history if t.who == who and t.what == "standing"}
        if Standing.ALONE.value not in standings:
            self._report(f"{who} got no answer and did not report standing alone")

    def _check_final_state(self) -> None:
        """After the faults have ended, all running members must have the same, correct view."""
        fleet = self.fleet
        members = [
            n.core
            for n in self.nodes
            if n.alive and isinstance(n.core, Members) and n.core.accepts_requests()
        ]
        running = {m.name for m in members}
        if running != {n.name for n in self.nodes if n.alive}:
            self._report("no process of a running name accepts requests")
        if len({m.view.digest for m in members}) != 1:
            self._report("views differ after the end of the faults")
        for member in members:
            for name in NAMES:
                alive = member.view.state(name) is State.ALIVE
                if alive != (name in running):
                    self._report(f"{member.name} wrongly holds {name} for {'alive' if alive else 'gone'}")
        lifecycle_event = self.case.lifecycle_event
        if lifecycle_event is not None and lifecycle_event.kind == "leave":
            unaware = [m.name for m in members if m.view.state("p1") is not State.LEFT]
            if unaware and self.case.interruption is None and self.case.loss is None:
                self._report(f"{unaware[0]} does not know that p1 has left")
        for member in members:
            complete = running | {n for n in NAMES if member.view.state(n) is State.LEFT} == set(NAMES)
            standing = member.standing(fleet.sim.now)
            if complete != (standing is Standing.WHOLE):
                self._report(f"{member.name} has standing {standing.value} at the end")

    def _check_incarnations(self, history: list[HistoryEvent]) -> None:
        """No member may accept an incarnation after a later one, or hold one for alive after it has left."""
        newest: dict[tuple[str, object, str], object] = {}
        left: set[tuple[str, object, str, object]] = set()
        for event in history:
            if event.what not in ("alive", "suspect", "dead", "left"):
                continue
            epoch, _, nonce = str(event.more["life"]).partition(".")
            life = int(epoch), int(nonce, 16)
            key = (event.who, event.incarnation, event.subject)
            if life < newest.get(key, (0, 0)):  # type: ignore[operator]
                self._report(
                    f"{event.who} holds an incarnation of {event.subject} {event.what} after a later one"
                )
            if event.what == "alive" and (*key, life) in left:
                self._report(f"{event.who} holds an incarnation of {event.subject} alive that has left")
            newest[key] = life
            if event.what == "left":
                left.add((*key, life))


def run_case(case: Case) -> tuple[Case, list[str]]:
    """Runs one case; returns it with the violated invariants."""
    return case, CaseRunner(case).run()


def explore(scope: Scope, processes: int = 1) -> tuple[int, list[tuple[Case, list[str]]]]:
    """Runs all cases; returns their number and those with violations."""
    cases = list(scope.cases())
    if processes <= 1:
        found = [run_case(case) for case in cases]
    else:
        with ProcessPoolExecutor(processes) as pool:
            found = list(pool.map(run_case, cases, chunksize=64))
    return len(cases), [(case, broken) for case, broken in found if broken]
