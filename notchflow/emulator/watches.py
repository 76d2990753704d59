"""Simulation of a fleet that follows one node list: real watches, and the real policy that decides when to
call, against a discovery service with a queue or an agent beside each proxy. A checker holds them to the
operators' rules.

The checker implements the rules on when a change counts as announced, and knows nothing of the watch's
implementation. Times are milliseconds.
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

ONE_WAY_MS: Final = 0.3
QUEUE_MS: Final = 2_000.0  # calls that would wait longer are rejected
WORK_MAX_MS: Final = 1_000.0  # of one call: in a small fleet no call would be accepted otherwise
OLD_CLOSES_MS: Final = 1_500.0  # after a move, the former address closes its connections
SILENCE_MS: Final = 6_000.0  # what a silent watch misses counts as announced so long after the silence,
FAILED_MS: Final = 6_000.0  # and any change so long after a call that failed, was rejected or was cancelled
WAIT_OVER_MS: Final = 2_000.0  # or so long after the end of the watch's wait, if that is later
HANGUP_MS: Final = 4_000.0  # pending changes count as announced so long after SIGHUP
SLACK_MS: Final = 50.0  # allowance for sockets, in addition to the grace
ONE_MEMBER: Final = (Member(1),)

WatchFactory = Callable[[int, bool, int, Rules], ListWatch]


@dataclass(frozen=True, slots=True)
class Day:
    """Events of a day. Each tuple holds times, or times with a proxy's number."""

    proxies: int = 6
    asked: bool = True
    all_call_ms: float = 8_000.0  # time in which discovery can accept one call from every proxy
    ask_within_ms: float = 10_000.0
    grace_ms: float = 250.0
    changes: tuple[float, ...] = ()  # a node begins to drain
    silences: tuple[float, ...] = ()  # calls open then are never answered
    resets: tuple[float, ...] = ()
    cuts: tuple[tuple[float, int], ...] = ()  # the next answer to this proxy is cut off
    older: tuple[tuple[float, int], ...] = ()  # the next answer to this proxy carries an older list
    downs: tuple[tuple[float, float], ...] = ()  # start and end of an outage of discovery
    moves: tuple[float, ...] = ()  # SIGHUP at all proxies: discovery has another address
    restarts: tuple[tuple[float, int], ...] = ()  # a process restarts with the first list
    length_ms: float = 90_000.0
    seed: int = 1


@dataclass(eq=False, slots=True)
class Call:
    """A call as discovery sees it. `watching`: accepted, and waits for a change."""

    proxy: WatchingProxy
    request: StartCall
    begun_at: float
    address: int  # number of discovery's address that it goes to
    open: bool = True
    watching: bool = False
    silent_at: float | None = None


@dataclass(slots=True)
class DayResult:
    """Result of a day: violations and metrics."""

    broken: list[str] = field(default_factory=list)
    slack_ms: float = float("inf")  # least time left before the limit, without counting answers of watches
    age_ms: float = 0.0  # longest time that a proxy ran without a change
    calls: int = 0
    refused: int = 0
    by_second: dict[int, int] = field(default_factory=dict)  # calls received that do not follow an answer

    @property
    def busiest(self) -> int:
        """Calls in the busiest second, without the first ten, in which all proxies start."""
        return max((n for second, n in self.by_second.items() if second >= 10), default=0)


class WatchingProxy:
    """One proxy's process: its watch, and the policy that decides when to call."""

    def __init__(self, world: World, number: int, revision: int) -> None:
        self.world, self.number = world, number
        self.started_at = world.sim.now
        self.alive = True
        day = world.day
        self.watch = world.make(revision, day.asked, day.seed * 1_000 + number, world.settings.rules)
        self.policy = Balancer(world.settings, day.seed * 1_000 + number, world.sim.now)
        self.calls: dict[int, Call] = {}
        self.last_call_at, self.last_failed = world.sim.now, False
        self.failed_at: float | None = None  # first failed call since discovery last accepted one
        self.answered_at = self.refused_at = -float("inf")
        self.ready_at = world.sim.now if day.asked else float("inf")
        self.timer_at = float("inf")
        self.notify_policy(Membership(ListKind.CACHED, (), revision))
        if not day.asked:
            world.sim.after(500.0, self.mark_ready)  # with or without an answer of the agent
            self.perform(self.watch.set_wanted(world.sim.now, True))

    def mark_ready(self) -> None:
        """Marks the proxy as ready for clients."""
        self.ready_at = min(self.ready_at, self.world.sim.now)

    def notify_policy(self, event: Membership) -> None:
        """Passes a list event to the policy and sets the timer that it asks for."""
        for action in self.policy.handle(self.world.sim.now, event):
            if isinstance(action, SetTimer) and action.token == "watch":
                self.world.sim.at(action.at, self.timer)

    def reload(self) -> None:
        """Handles SIGHUP: discovery has another address."""
        self.perform(self.watch.restart(self.world.sim.now))

    def kill(self) -> None:
        """Kills the process; its calls end."""
        self.alive = False
        for call in list(self.calls.values()):
            self.close(call)

    def timer(self) -> None:
        """Handles the policy's timer: a list is wanted."""
        if self.alive:
            self.perform(self.watch.set_wanted(self.world.sim.now, True))

    def wake(self, due: float) -> None:
        """Runs the watch's timer, unless another one has replaced it."""
        if self.alive and due == self.timer_at:
            self.timer_at = float("inf")
            self.perform(self.watch.wake(self.world.sim.now))

    def answered(self, call: Call, listing: NodeList) -> None:
        """Records the answer of a call and delivers it."""
        if call.open and self.alive:
            self.close(call)
            self.failed_at, self.answered_at = None, self.world.sim.now
            self.world.checker.record_answer(self, listing.revision)
            self.deliver(call, listing)

    def failed(self, call: Call, problem: str) -> None:
        """Records the failure of a call and delivers it."""
        if call.open and self.alive:
            self.close(call)
            self.last_failed = True
            self.failed_at = self.world.sim.now if self.failed_at is None else self.failed_at
            if problem == "status 503":
                self.refused_at = self.world.sim.now
            self.refuse(call, problem)

    def deliver(self, call: Call, listing: NodeList) -> None:
        """Passes an answer to the watch."""
        self.perform(self.watch.answered(self.world.sim.now, call.request.number, listing, False))

    def refuse(self, call: Call, problem: str) -> None:
        """Passes the failure of a call to the watch."""
        self.perform(self.watch.failed(self.world.sim.now, call.request.number, problem))

    def close(self, call: Call) -> None:
        """Ends a call."""
        call.open = False
        self.calls.pop(call.request.number, None)

    def give_up(self, call: Call) -> None:
        """Cancels a call. It counts as failed unless discovery has accepted or answered a later one."""
        self.close(call)
        accepted = any(c.watching or c.silent_at is not None for c in self.calls.values())
        answered = self.answered_at >= call.begun_at  # a later call was answered and replaces this one
        if not accepted and not answered and self.failed_at is None:
            self.failed_at = self.world.sim.now

    def perform(self, actions: list[WatchAction]) -> None:
        """Performs the watch's actions and sets its timer."""
        world = self.world
        for action in actions:
            match action:
                case StartCall(number):
                    call = self.calls[number] = Call(self, action, world.sim.now, world.address)
                    self.last_call_at, self.last_failed = world.sim.now, False
                    world.sim.after(ONE_WAY_MS, world.receive_call, call)
                case CancelCall(number):
                    self.give_up(self.calls[number])
                case ApplyList(listing, kind):
                    self.mark_ready()
                    world.checker.record_applied(self, listing.revision)
                    self.notify_policy(Membership(kind, (), listing.revision))
                case ReportFailure(_, watched) if not watched:
                    self.notify_policy(Membership(ListKind.FAILED))
        due = self.watch.wake_at
        if due < float("inf") and due != self.timer_at:
            self.timer_at = due
            world.sim.at(due, self.wake, due)


class World:
    """Discovery, as one service or as an agent beside each proxy, and the faults of the day."""

    def __init__(self, day: Day, make: WatchFactory = ListWatch) -> None:
        self.day, self.make = day, make
        self.sim = Simulator()
        self.settings = self.proxy_settings(
            Rules(ask_within_ms=day.ask_within_ms, drain_grace_ms=day.grace_ms)
        )
        self.revision = 0
        self.address = 0
        self.down = False
        self.back_at = 0.0
        self.busy_until = 0.0
        self.cut_next_answer: set[int] = set()
        self.serve_older_list: set[int] = set()
        self.answered_at: dict[int, float] = {}
        self.result = DayResult()
        self.checker = ComplianceChecker(self)
        self.proxies = [self.start_proxy(number) for number in range(day.proxies)]

    def proxy_settings(self, rules: Rules) -> Settings:
        """Returns the settings of every proxy."""
        return Settings(
            classes=(RequestClass("read", 300, 1_000),),
            zone="a",
            balancers=self.day.proxies,
            limits=Limits(),
            list_on_request=self.day.asked,
            rules=rules,
        )

    def start_proxy(self, number: int) -> WatchingProxy:
        """Starts a proxy's process with the first list."""
        return WatchingProxy(self, number, 0)

    def simulate(self) -> DayResult:
        """Simulates the day and returns its result."""
        day, sim = self.day, self.sim
        for at in day.changes:
            sim.at(at, self.change)
        for at in day.silences:
            sim.at(at, self.silence)
        for at in day.resets:
            sim.at(at, self.reset)
        for at, number in day.cuts:
            sim.at(at, self.cut_next_answer.add, number)
        for at, number in day.older:
            sim.at(at, self.serve_older_list.add, number)
        for start, end in day.downs:
            sim.at(start, self.go_down)
            sim.at(end, self.come_back)
        for at in day.moves:
            sim.at(at, self.move)
        for at, number in day.restarts:
            sim.at(at, self.restart, number)
        sim.run(day.length_ms)
        return self.result

    def open_calls(self) -> list[Call]:
        """Returns all open calls."""
        return [call for proxy in self.proxies for call in proxy.calls.values()]

    # -- faults
    def change(self) -> None:
        """Creates a new revision of the list."""
        self.revision += 1
        self.checker.record_change(self.revision)
        if not self.down:
            self.notify_watches()

    def notify_watches(self) -> None:
        """Answers all watches."""
        for call in self.open_calls():
            if call.watching:
                self.answer(call)

    def silence(self) -> None:
        """Makes all open calls silent: they are never answered."""
        for proxy in self.proxies:
            for call in proxy.calls.values():
                call.silent_at = self.sim.now if call.silent_at is None else call.silent_at
                call.watching = False
            self.checker.record_silence(proxy)

    def reset(self) -> None:
        """Resets the connections of all calls."""
        for call in self.open_calls():
            call.proxy.failed(call, "connection lost")

    def go_down(self) -> None:
        """Begins an outage of discovery."""
        self.down = True
        if self.day.asked:
            for call in [c for c in self.open_calls() if c.watching]:
                self.refuse(call)

    def come_back(self) -> None:
        """Ends an outage and answers all watches."""
        self.down, self.back_at = False, self.sim.now
        self.notify_watches()

    def move(self) -> None:
        """Moves discovery to another address and sends SIGHUP to all proxies."""
        self.address += 1
        old = self.open_calls()
        for proxy in self.proxies:
            proxy.reload()
        for call in old:
            self.sim.after(OLD_CLOSES_MS, call.proxy.failed, call, "connection lost")

    def restart(self, number: int) -> None:
        """Kills a proxy's process and starts another one."""
        self.proxies[number].kill()
        self.proxies[number] = self.start_proxy(number)
        self.checker.forget(self.proxies[number])

    # -- calls
    def receive_call(self, call: Call) -> None:
        """Receives a call: rejects it, queues it or accepts it."""
        if not call.open:
            return
        number = call.proxy.number
        follows = self.sim.now <= self.answered_at.get(number, -1e9) + 200.0
        self.result.calls += 1
        if call.address != self.address:
            self.refuse(call)
        elif not self.day.asked or follows:
            self.accept_call(call)
        elif self.down:
            self.sim.after(QUEUE_MS, self.refuse, call)
        else:
            second = int(self.sim.now // 1_000)
            self.result.by_second[second] = self.result.by_second.get(second, 0) + 1
            work = min(self.day.all_call_ms / self.day.proxies, WORK_MAX_MS)
            done = max(self.busy_until, self.sim.now) + work
            if done - self.sim.now > QUEUE_MS:
                self.refuse(call)
            else:
                self.busy_until = done
                self.sim.at(done, self.accept_call, call)

    def accept_call(self, call: Call) -> None:
        """Accepts a call: answers it at once, or watches until a change or the end of the wait."""
        if not call.open or call.silent_at is not None:
            return
        if self.down and self.day.asked:
            self.refuse(call)
            return
        call.watching = True
        call.proxy.failed_at = None
        if not self.down and (call.request.revision is None or call.request.revision < self.revision):
            self.answer(call)
        else:
            self.sim.at(call.begun_at + call.request.wait_ms, self.wait_over, call)

    def wait_over(self, call: Call) -> None:
        """Answers a watch at the end of its wait."""
        if call.open and call.watching and not self.down:
            self.answer(call)

    def answer(self, call: Call) -> None:
        """Sends the answer of a call, with the day's faults."""
        call.watching = False
        proxy = call.proxy
        if proxy.number in self.cut_next_answer:
            self.cut_next_answer.discard(proxy.number)
            self.sim.after(ONE_WAY_MS, proxy.failed, call, "connection lost")
            return
        self.answered_at[proxy.number] = self.sim.now
        revision, complete = self.revision, call.request.revision is None
        if proxy.number in self.serve_older_list and revision > 0:
            self.serve_older_list.discard(proxy.number)
            revision = max(revision - 2, 0)
        listing = NodeList(revision, complete, ONE_MEMBER if complete else ())
        self.sim.after(ONE_WAY_MS, proxy.answered, call, listing)

    def refuse(self, call: Call) -> None:
        """Rejects a call with 503."""
        self.result.refused += 1
        self.sim.after(ONE_WAY_MS, call.proxy.failed, call, "status 503")


class ComplianceChecker:
    """Checks that each proxy applies each change in time: when a change counts as announced to a proxy by the
    operators' rules, and when the proxy has applied it."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.made_at: dict[int, float] = {}
        self.announced_at: dict[
            tuple[int, int], float
        ] = {}  # by proxy and revision: when it was certainly announced
        self.known_revisions: dict[int, int] = {}
        self.missed_at: dict[tuple[int, int], float] = {}  # the same where only silent watches were open

    def record_change(self, revision: int) -> None:
        """Records a new revision."""
        self.made_at[revision] = self.world.sim.now
        for proxy in self.world.proxies:
            self.record_silence(proxy)
            self.world.sim.after(0.0, self.check, proxy, revision)

    def record_silence(self, proxy: WatchingProxy) -> None:
        """Records the pending changes as missed where only silent watches are open."""
        silent_until = [
            max(c.silent_at + SILENCE_MS, c.begun_at + c.request.wait_ms + WAIT_OVER_MS)
            for c in proxy.calls.values()
            if c.silent_at is not None
        ]
        if silent_until and len(silent_until) == len(proxy.calls):
            for revision, made_at in self.made_at.items():
                if revision > (proxy.watch.revision or 0):
                    self.missed_at.setdefault((proxy.number, revision), max(made_at, min(silent_until)))

    def forget(self, proxy: WatchingProxy) -> None:
        """Forgets what a restarted proxy knew."""
        self.known_revisions.pop(proxy.number, None)
        for revision in self.made_at:
            self.announced_at.pop((proxy.number, revision), None)
            self.missed_at.pop((proxy.number, revision), None)
            self.check(proxy, revision)

    def record_answer(self, proxy: WatchingProxy, revision: int) -> None:
        """Records an answer that has arrived; it counts from the time at which it was sent. Answers reset on
        the way do not count."""
        for known in self.made_at:
            if known <= revision:
                self.announced_at.setdefault((proxy.number, known), self.world.sim.now - ONE_WAY_MS)

    def announced_by(self, proxy: WatchingProxy, revision: int, announced: bool = True) -> float:
        """Returns when a change counts as announced, as known now. `announced`: also by an answer that was
        sent."""
        world, made_at = self.world, self.made_at[revision]
        day, now = world.day, world.sim.now
        best = self.announced_at.get((proxy.number, revision), float("inf")) if announced else float("inf")
        missed_at = self.missed_at.get((proxy.number, revision))
        reached = self._reachable_by(proxy)
        if missed_at is not None:
            best = min(best, max(missed_at, reached))
        elif any(c.watching for c in proxy.calls.values()):
            pass  # the watch announces it
        elif not day.asked:
            # An agent that is down cannot be called: a proxy started since gets the change at its return.
            unreachable = world.down and max(made_at, proxy.started_at) > self._down_since()
            best = min(best, float("inf") if unreachable else max(made_at, world.back_at))
        else:
            held = day.ask_within_ms * (4 if proxy.last_failed else 1)
            best = min(
                best,
                max(
                    made_at + day.ask_within_ms,
                    proxy.last_call_at + held,
                    world.back_at + day.ask_within_ms if world.back_at else 0.0,
                    float("inf") if world.down else 0.0,
                ),
            )
        if proxy.failed_at is not None and not any(c.watching for c in proxy.calls.values()):
            best = min(best, max(made_at + FAILED_MS, proxy.failed_at + FAILED_MS, reached))
        moved = max((at for at in day.moves if at <= now), default=-1e9)
        return max(best, moved + HANGUP_MS, proxy.ready_at)

    def _reachable_by(self, proxy: WatchingProxy) -> float:
        """Returns when discovery has been reachable for so long that all changes must be known. A proxy whose
        call was rejected could not reach it (in the mode in which lists are requested)."""
        world = self.world
        if not world.day.asked:
            return 0.0
        return float("inf") if world.down else max(world.back_at, proxy.refused_at) + FAILED_MS

    def _down_since(self) -> float:
        return max((start for start, _ in self.world.day.downs if start <= self.world.sim.now), default=1e18)

    def limit(self, proxy: WatchingProxy, revision: int, announced: bool = True) -> float:
        """Returns by when a proxy must have applied a change."""
        return self.announced_by(proxy, revision, announced) + self.world.day.grace_ms + SLACK_MS

    def check(self, proxy: WatchingProxy, revision: int) -> None:
        """Reports a change that was not applied in time, or checks again when the time may be over."""
        known = proxy.watch.revision
        if not proxy.alive or (known is not None and known >= revision):
            return
        limit, now = self.limit(proxy, revision), self.world.sim.now
        if limit <= now:
            self.world.result.slack_ms = min(self.world.result.slack_ms, limit - now)
            made_at = self.made_at[revision]
            self.world.result.broken.append(
                f"proxy {proxy.number} lacks revision {revision}, made at {made_at:.0f}, at {now:.0f}"
            )
        else:
            self.world.sim.at(min(limit, now + 100.0), self.check, proxy, revision)

    def record_applied(self, proxy: WatchingProxy, revision: int) -> None:
        """Records that a proxy has applied a list."""
        now, result = self.world.sim.now, self.world.result
        if revision < self.known_revisions.get(proxy.number, 0):
            result.broken.append(f"proxy {proxy.number} went back to revision {revision} at {now:.0f}")
        self.known_revisions[proxy.number] = revision
        for known, made_at in self.made_at.items():
            key = proxy.number, known
            if known > revision or self.announced_at.get(key) == float("-inf"):
                continue
            result.slack_ms = min(result.slack_ms, self.limit(proxy, known, False) - now)
            result.age_ms = max(result.age_ms, now - max(made_at, proxy.started_at))
            self.announced_at[key] = float("-inf")
