"""A fleet that follows one list, in simulated time: real watches and the real module's word on when to call,
against a discovery with a queue or an agent at each proxy, and a judge that holds them to the operators'
terms.

The judge knows the page on when a change counts as told, and nothing of the watch. Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from notchflow.emulator.engine import Simulator
from notchflow.interface import Limits, ListKind, Member, Membership, RequestClass, Rules, SetTimer, Settings
from notchflow.net.node_list import NodeList
from notchflow.net.watch import ApplyList, CancelCall, ListWatch, ReportFailure, StartCall, WatchAction
from notchflow.policy.balancer import Balancer

TRIP_MS: Final = 0.3
QUEUE_MS: Final = 2_000.0  # what would take longer is turned away
WORK_MAX_MS: Final = 1_000.0  # of one call: in a small fleet no call would be taken otherwise
OLD_CLOSES_MS: Final = 1_500.0  # after a move
SILENCE_MS: Final = 6_000.0  # after it fell silent, what a watch misses counts as told,
FAILED_MS: Final = 6_000.0  # and any change after a call that failed, was refused or was given up
WAIT_OVER_MS: Final = 2_000.0  # or so long after its wait is over, if that is later
HANGUP_MS: Final = 4_000.0  # and what there is to tell, after SIGHUP
SLACK_MS: Final = 50.0  # on sockets, beside the grace
SOMEBODY: Final = (Member(1),)

Maker = Callable[[int, bool, int, Rules], ListWatch]


@dataclass(frozen=True, slots=True)
class Day:
    """What happens, and when. Each of the tuples holds times."""

    proxies: int = 6
    asked: bool = True
    all_call_ms: float = 8_000.0  # in which discovery can take a call from each proxy
    ask_within_ms: float = 10_000.0
    grace_ms: float = 250.0
    changes: tuple[float, ...] = ()  # a node begins to drain
    silences: tuple[float, ...] = ()  # all that is open then is never answered
    resets: tuple[float, ...] = ()
    cuts: tuple[tuple[float, int], ...] = ()  # the next answer to this proxy ends in the middle
    older: tuple[tuple[float, int], ...] = ()  # the next answer to this proxy is an older list
    downs: tuple[tuple[float, float], ...] = ()  # from, to
    moves: tuple[float, ...] = ()  # SIGHUP at all proxies: discovery is elsewhere
    restarts: tuple[tuple[float, int], ...] = ()  # a process starts anew with the first list
    length_ms: float = 90_000.0
    seed: int = 1


@dataclass(eq=False, slots=True)
class Line:
    """A call as discovery sees it."""

    follower: Follower
    ask: StartCall
    begun_at: float
    place: int  # which of discovery's addresses it goes to
    open: bool = True
    watching: bool = False
    silent_at: float | None = None


@dataclass(slots=True)
class Verdict:
    """What became of a day."""

    broken: list[str] = field(default_factory=list)
    slack_ms: float = float("inf")  # the least that was left of the time allowed where no watch told
    age_ms: float = 0.0  # the longest that a proxy went on without a change
    calls: int = 0
    refused: int = 0
    by_second: dict[int, int] = field(default_factory=dict)  # calls that came in, but for those that go on

    @property
    def busiest(self) -> int:
        """Calls in the fullest second after the first ten, in which all start."""
        return max((n for second, n in self.by_second.items() if second >= 10), default=0)


class Follower:
    """One proxy's process: its watch, and the module where that decides."""

    def __init__(self, world: World, number: int, revision: int) -> None:
        self.world, self.number = world, number
        self.started_at = world.sim.now
        self.alive = True
        day = world.day
        self.watch = world.make(revision, day.asked, day.seed * 1_000 + number, world.settings.rules)
        self.module = Balancer(world.settings, day.seed * 1_000 + number, world.sim.now)
        self.lines: dict[int, Line] = {}
        self.last_call_at, self.last_failed = world.sim.now, False
        self.failed_at: float | None = None  # the first call to come to nothing since discovery took one
        self.answered_at = self.refused_at = -float("inf")
        self.ready_at = world.sim.now if day.asked else float("inf")
        self.wake_for = float("inf")
        self.tell(Membership(ListKind.CACHED, (), revision))
        if not day.asked:
            world.sim.after(500.0, self.be_ready)  # whether the agent was heard or not
            self.do(self.watch.set_wanted(world.sim.now, True))

    def be_ready(self) -> None:
        self.ready_at = min(self.ready_at, self.world.sim.now)

    def tell(self, event: Membership) -> None:
        for action in self.module.handle(self.world.sim.now, event):
            if isinstance(action, SetTimer) and action.token == "watch":
                self.world.sim.at(action.at, self.timer)

    def move(self) -> None:
        """SIGHUP: discovery is elsewhere."""
        self.do(self.watch.restart(self.world.sim.now))

    def end(self) -> None:
        """The process is killed."""
        self.alive = False
        for line in list(self.lines.values()):
            self.close(line)

    def timer(self) -> None:
        if self.alive:
            self.do(self.watch.set_wanted(self.world.sim.now, True))

    def wake(self, due: float) -> None:
        if self.alive and due == self.wake_for:
            self.wake_for = float("inf")
            self.do(self.watch.wake(self.world.sim.now))

    def answered(self, line: Line, listing: NodeList) -> None:
        if line.open and self.alive:
            self.close(line)
            self.failed_at, self.answered_at = None, self.world.sim.now
            self.world.judge.wrote(self, listing.revision)
            self.deliver(line, listing)

    def failed(self, line: Line, problem: str) -> None:
        if line.open and self.alive:
            self.close(line)
            self.last_failed = True
            self.failed_at = self.world.sim.now if self.failed_at is None else self.failed_at
            if problem == "status 503":
                self.refused_at = self.world.sim.now
            self.refuse(line, problem)

    def deliver(self, line: Line, listing: NodeList) -> None:
        """The answer has arrived."""
        self.do(self.watch.answered(self.world.sim.now, line.ask.number, listing, False))

    def refuse(self, line: Line, problem: str) -> None:
        """The call has come to nothing."""
        self.do(self.watch.failed(self.world.sim.now, line.ask.number, problem))

    def close(self, line: Line) -> None:
        line.open = False
        self.lines.pop(line.ask.number, None)

    def give_up(self, line: Line) -> None:
        """A call is waited for no longer. Where discovery has taken another, that one is the watch."""
        self.close(line)
        taken = any(li.watching or li.silent_at is not None for li in self.lines.values())
        answered = self.answered_at >= line.begun_at  # a later one was: this one has been replaced
        if not taken and not answered and self.failed_at is None:
            self.failed_at = self.world.sim.now

    def do(self, actions: list[WatchAction]) -> None:
        world = self.world
        for action in actions:
            match action:
                case StartCall(number):
                    line = self.lines[number] = Line(self, action, world.sim.now, world.place)
                    self.last_call_at, self.last_failed = world.sim.now, False
                    world.sim.after(TRIP_MS, world.called, line)
                case CancelCall(number):
                    self.give_up(self.lines[number])
                case ApplyList(listing, kind):
                    self.be_ready()
                    world.judge.has(self, listing.revision)
                    self.tell(Membership(kind, (), listing.revision))
                case ReportFailure(_, watched) if not watched:
                    self.tell(Membership(ListKind.FAILED))
        due = self.watch.wake_at
        if due < float("inf") and due != self.wake_for:
            self.wake_for = due
            world.sim.at(due, self.wake, due)


class World:
    """Discovery, as one service or as an agent beside each proxy, and the day's faults."""

    def __init__(self, day: Day, make: Maker = ListWatch) -> None:
        self.day, self.make = day, make
        self.sim = Simulator()
        self.settings = self.deployment(Rules(ask_within_ms=day.ask_within_ms, drain_grace_ms=day.grace_ms))
        self.revision = 0
        self.place = 0
        self.down = False
        self.back_at = 0.0
        self.busy_until = 0.0
        self.cut: set[int] = set()
        self.stale: set[int] = set()
        self.answered_at: dict[int, float] = {}
        self.verdict = Verdict()
        self.judge = Judge(self)
        self.followers = [self.begin(number) for number in range(day.proxies)]

    def deployment(self, rules: Rules) -> Settings:
        """What every proxy is told at its start."""
        return Settings(
            classes=(RequestClass("read", 300, 1_000),),
            zone="a",
            balancers=self.day.proxies,
            limits=Limits(),
            list_on_request=self.day.asked,
            rules=rules,
        )

    def begin(self, number: int) -> Follower:
        """A proxy's process starts, with the first list."""
        return Follower(self, number, 0)

    def play(self) -> Verdict:
        """Goes through the day."""
        day, sim = self.day, self.sim
        for at in day.changes:
            sim.at(at, self.change)
        for at in day.silences:
            sim.at(at, self.silence)
        for at in day.resets:
            sim.at(at, self.reset)
        for at, number in day.cuts:
            sim.at(at, self.cut.add, number)
        for at, number in day.older:
            sim.at(at, self.stale.add, number)
        for start, end in day.downs:
            sim.at(start, self.go_down)
            sim.at(end, self.come_back)
        for at in day.moves:
            sim.at(at, self.move)
        for at, number in day.restarts:
            sim.at(at, self.restart, number)
        sim.run(day.length_ms)
        return self.verdict

    def open_lines(self) -> list[Line]:
        """All calls that are out now."""
        return [line for follower in self.followers for line in follower.lines.values()]

    # -- faults
    def change(self) -> None:
        self.revision += 1
        self.judge.changed(self.revision)
        if not self.down:
            self.tell_all()

    def tell_all(self) -> None:
        for line in self.open_lines():
            if line.watching:
                self.answer(line)

    def silence(self) -> None:
        for follower in self.followers:
            for line in follower.lines.values():
                line.silent_at = self.sim.now if line.silent_at is None else line.silent_at
                line.watching = False
            self.judge.silenced(follower)

    def reset(self) -> None:
        for line in self.open_lines():
            line.follower.failed(line, "connection lost")

    def go_down(self) -> None:
        self.down = True
        if self.day.asked:
            for line in [li for li in self.open_lines() if li.watching]:
                self.refuse(line)

    def come_back(self) -> None:
        self.down, self.back_at = False, self.sim.now
        self.tell_all()

    def move(self) -> None:
        self.place += 1
        old = self.open_lines()
        for follower in self.followers:
            follower.move()
        for line in old:
            self.sim.after(OLD_CLOSES_MS, line.follower.failed, line, "connection lost")

    def restart(self, number: int) -> None:
        self.followers[number].end()
        self.followers[number] = self.begin(number)
        self.judge.restarted(self.followers[number])

    # -- calls
    def called(self, line: Line) -> None:
        if not line.open:
            return
        number = line.follower.number
        follows = self.sim.now <= self.answered_at.get(number, -1e9) + 200.0
        self.verdict.calls += 1
        if line.place != self.place:
            self.refuse(line)
        elif not self.day.asked or follows:
            self.worked(line)
        elif self.down:
            self.sim.after(QUEUE_MS, self.refuse, line)
        else:
            second = int(self.sim.now // 1_000)
            self.verdict.by_second[second] = self.verdict.by_second.get(second, 0) + 1
            work = min(self.day.all_call_ms / self.day.proxies, WORK_MAX_MS)
            done = max(self.busy_until, self.sim.now) + work
            if done - self.sim.now > QUEUE_MS:
                self.refuse(line)
            else:
                self.busy_until = done
                self.sim.at(done, self.worked, line)

    def worked(self, line: Line) -> None:
        if not line.open or line.silent_at is not None:
            return
        if self.down and self.day.asked:
            self.refuse(line)
            return
        line.watching = True
        line.follower.failed_at = None
        if not self.down and (line.ask.revision is None or line.ask.revision < self.revision):
            self.answer(line)
        else:
            self.sim.at(line.begun_at + line.ask.wait_ms, self.wait_over, line)

    def wait_over(self, line: Line) -> None:
        if line.open and line.watching and not self.down:
            self.answer(line)

    def answer(self, line: Line) -> None:
        line.watching = False
        follower = line.follower
        if follower.number in self.cut:
            self.cut.discard(follower.number)
            self.sim.after(TRIP_MS, follower.failed, line, "connection lost")
            return
        self.answered_at[follower.number] = self.sim.now
        revision, whole = self.revision, line.ask.revision is None
        if follower.number in self.stale and revision > 0:
            self.stale.discard(follower.number)
            revision = max(revision - 2, 0)
        listing = NodeList(revision, whole, SOMEBODY if whole else ())
        self.sim.after(TRIP_MS, follower.answered, line, listing)

    def refuse(self, line: Line) -> None:
        self.verdict.refused += 1
        self.sim.after(TRIP_MS, line.follower.failed, line, "status 503")


class Judge:
    """When each change counts as told to each proxy, by the operators' page, and when that has it."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.made_at: dict[int, float] = {}
        self.written: dict[tuple[int, int], float] = {}  # proxy, revision: since when it counts for certain
        self.known: dict[int, int] = {}
        self.missed: dict[tuple[int, int], float] = {}  # and when, where a silent watch was all that it had

    def changed(self, revision: int) -> None:
        self.made_at[revision] = self.world.sim.now
        for follower in self.world.followers:
            self.silenced(follower)
            self.world.sim.after(0.0, self.check, follower, revision)

    def silenced(self, follower: Follower) -> None:
        """What is not known yet is missed where nothing but silent watches is open."""
        told = [
            max(li.silent_at + SILENCE_MS, li.begun_at + li.ask.wait_ms + WAIT_OVER_MS)
            for li in follower.lines.values()
            if li.silent_at is not None
        ]
        if told and len(told) == len(follower.lines):
            for revision, made in self.made_at.items():
                if revision > (follower.watch.revision or 0):
                    self.missed.setdefault((follower.number, revision), max(made, min(told)))

    def restarted(self, follower: Follower) -> None:
        self.known.pop(follower.number, None)
        for revision in self.made_at:
            self.written.pop((follower.number, revision), None)
            self.missed.pop((follower.number, revision), None)
            self.check(follower, revision)

    def wrote(self, follower: Follower, revision: int) -> None:
        """An answer has arrived: it counts from when it was written. What is reset on its way is lost."""
        for known in self.made_at:
            if known <= revision:
                self.written.setdefault((follower.number, known), self.world.sim.now - TRIP_MS)

    def due(self, follower: Follower, revision: int, written: bool = True) -> float:
        """When the change counts as told, as far as is known now. `written`: or has been written."""
        world, made = self.world, self.made_at[revision]
        day, now = world.day, world.sim.now
        best = self.written.get((follower.number, revision), float("inf")) if written else float("inf")
        missed = self.missed.get((follower.number, revision))
        reached = self._reached(follower)
        if missed is not None:
            best = min(best, max(missed, reached))
        elif any(li.watching for li in follower.lines.values()):
            pass  # that one tells
        elif not day.asked:
            # An agent that is silent cannot be asked: whoever began since then is told at its return.
            unheard = world.down and max(made, follower.started_at) > self._down_since()
            best = min(best, float("inf") if unheard else max(made, world.back_at))
        else:
            held = day.ask_within_ms * (4 if follower.last_failed else 1)
            best = min(
                best,
                max(
                    made + day.ask_within_ms,
                    follower.last_call_at + held,
                    world.back_at + day.ask_within_ms if world.back_at else 0.0,
                    float("inf") if world.down else 0.0,
                ),
            )
        if follower.failed_at is not None and not any(li.watching for li in follower.lines.values()):
            best = min(best, max(made + FAILED_MS, follower.failed_at + FAILED_MS, reached))
        moved = max((at for at in day.moves if at <= now), default=-1e9)
        return max(best, moved + HANGUP_MS, follower.ready_at)

    def _reached(self, follower: Follower) -> float:
        """When so much time has passed since discovery could be reached that all must be known. Where it is
        asked, who is turned away could not reach it."""
        world = self.world
        if not world.day.asked:
            return 0.0
        return float("inf") if world.down else max(world.back_at, follower.refused_at) + FAILED_MS

    def _down_since(self) -> float:
        return max((start for start, _ in self.world.day.downs if start <= self.world.sim.now), default=1e18)

    def limit(self, follower: Follower, revision: int, written: bool = True) -> float:
        """By when it must be acted on."""
        return self.due(follower, revision, written) + self.world.day.grace_ms + SLACK_MS

    def check(self, follower: Follower, revision: int) -> None:
        """Looks again when the time allowed may be over."""
        known = follower.watch.revision
        if not follower.alive or (known is not None and known >= revision):
            return
        limit, now = self.limit(follower, revision), self.world.sim.now
        if limit <= now:
            self.world.verdict.slack_ms = min(self.world.verdict.slack_ms, limit - now)
            made = self.made_at[revision]
            self.world.verdict.broken.append(
                f"proxy {follower.number} lacks revision {revision}, made at {made:.0f}, at {now:.0f}"
            )
        else:
            self.world.sim.at(min(limit, now + 100.0), self.check, follower, revision)

    def has(self, follower: Follower, revision: int) -> None:
        """A proxy has taken a list over."""
        now, verdict = self.world.sim.now, self.world.verdict
        if revision < self.known.get(follower.number, 0):
            verdict.broken.append(f"proxy {follower.number} went back to revision {revision} at {now:.0f}")
        self.known[follower.number] = revision
        for known, made in self.made_at.items():
            key = follower.number, known
            if known > revision or self.written.get(key) == float("-inf"):
                continue
            verdict.slack_ms = min(verdict.slack_ms, self.limit(follower, known, False) - now)
            verdict.age_ms = max(verdict.age_ms, now - max(made, follower.started_at))
            self.written[key] = float("-inf")
