"""The host: owns the Balancer, hands it what happens and carries out what it decides.

Here a request gets its one final answer, and deadlines are kept whatever the module does.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

from notchflow.interface import (
    Action,
    Arrived,
    Cancel,
    ClientGone,
    Event,
    Fail,
    ListKind,
    Member,
    Membership,
    Outcome,
    Probe,
    Probed,
    Refuse,
    Request,
    Retune,
    Send,
    SetTimer,
    Spent,
    State,
    Status,
    StreamStarted,
    Timer,
    Watch,
)
from notchflow.net.clock import Clock
from notchflow.net.config import Config
from notchflow.net.console import Console, callers_of
from notchflow.net.discovery import Discovery
from notchflow.net.downstream import Front
from notchflow.net.exchange import Answer, Call, Door, Open
from notchflow.net.listing import Address, Listing, decode_listing, encode_member
from notchflow.net.succession import FDS_MAX, Link, Succession
from notchflow.net.timers import Calendar, Handle
from notchflow.net.upstream import Attempt, IdleLimit, Pool, load_report
from notchflow.operations.duty import Duty, Phase
from notchflow.operations.figures import Figures
from notchflow.operations.handover import Shares
from notchflow.policy.balancer import Balancer

log = logging.getLogger(__name__)

OK = Status.OK  # looked up for every request
LATE_MS = 2.0
SWEEP_MS = 500.0
STALL_MS = 2_000.0
RESERVED = 24  # descriptors for the log, the loop, the listener and discovery
BASE_MB = 48.0
BESIDE_MB = 24.0  # where another process may come beside this one, what was held once is not given back
HELD_SHARE = 0.6  # of the rest may be bodies and answers held; the remainder is for buffers on their way
ACCEPT_ON_MS = 500.0
# No kill comes before the longest deadline and 0.7 s: by then the answers are out, and the process has ended.
ANSWER_BY_MS, STOP_BY_MS = 400.0, 550.0
DRAIN_STEP_MS, STANDBY_STEP_MS = 20.0, 50.0


class Host:
    """One proxy."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop, door: Door | None = None,
                 clock: Clock | None = None) -> None:
        self.config, self.loop = config, loop
        self.clock = clock or Clock(loop)
        self.balancer = Balancer(config.settings, config.seed, self.clock.now())
        self.idle_limit = IdleLimit(config.conn_idle_ms)
        self.open: dict[int, Open] = {}
        self.numbers = 0
        self.pools: dict[int, Pool] = {}
        self.inbox: deque[Event] = deque()
        self.telling = False
        self.now = 0.0  # when the module was last asked: what it decided begins then
        self.timers = Calendar()
        self.armed: asyncio.TimerHandle | None = None
        self.armed_for = float("inf")
        callers = callers_of(config.sockets) if config.console is not None else 0
        self.descriptors = self.descriptors_whole = max(config.sockets - RESERVED - callers, 8)
        self.used = 0
        base = BASE_MB + (BESIDE_MB if config.accept_fd is not None else 0.0)
        self.held_max = self.held_whole = max(config.memory_mb - base, 16.0) * HELD_SHARE * (1 << 20)
        self.held = 0
        self.answer_by = float("inf")  # no request is held longer than this, once the process is to end
        self.stop_by = float("inf")
        self.duty = Duty()
        self.figures = Figures()
        self._take_over(config)
        self.console = Console(self, config.console, callers) if config.console is not None else None
        self.front = Front(self, config.listen, door)
        self.front.inherited = config.accept_fd
        self.fronts = [self.front, *(Front(self, address, door) for address in config.also_listen)]
        self.listed: dict[int, tuple[str, Address, Member]] = {}  # the list as it is now
        self.succession: Succession | None = None
        self.discovery = Discovery(self, config.discovery, config.known.revision, config.seed)

    # -- life
    def start(self) -> None:
        """Tells the module the list as it was last known, then listens."""
        state = self.succession.ask() if self.succession is not None else None
        if state is None or not self._inherit(state):
            self.apply(self.config.known, ListKind.CACHED)
        self.discovery.begin()
        self.at(self.clock.now() + SWEEP_MS, self._sweep)
        for front in self.fronts:
            front.listen()
        if self.console is not None:
            self.console.listen()
        if self.succession is not None:
            self.succession.begin()

    def reload(self, config: Config) -> None:
        """A new configuration: its settings hold from now on, and discovery may have moved."""
        if config.listen != self.config.listen or config.console != self.config.console:
            log.warning("a new address to listen on waits for the next start")
        self.figures.cfg_accepted += 1
        changed = config.settings != self.settings
        self._take_over(config)
        if changed:
            self.tell(Retune(config.settings))
            self.discovery.retuned()
        self.config = config
        if config.discovery is not None:
            self.discovery.move(config.discovery)

    # -- replacement
    def state(self) -> dict[str, Any]:
        """What the process that takes over is told."""
        members = [encode_member(*entry) for entry in self.listed.values()]
        return {"listing": {"revision": self.discovery.revision or 0, "complete": True, "members": members},
                "standby": self.duty.phase is Phase.STANDBY,
                "learned": self.balancer.learned(self.clock.now())}

    def pass_on(self, listing: Listing) -> None:
        """Tells other processes of this proxy what discovery told this one: the rules see one proxy."""
        if self.succession is None or not self.succession.links or not listing.members:
            return
        names, addresses = listing.names or {}, listing.addresses or {}
        members = [encode_member(names[m.node], addresses[m.node], m) for m in listing.members]
        changes = {"revision": listing.revision, "complete": False, "members": members}
        self.succession.tell({"listing": changes})

    def hear(self, news: dict[str, Any]) -> None:
        """What another process of this proxy was told. Its entries leave the own revision as it is."""
        if "listing" in news:
            self.apply(decode_listing(news["listing"]), ListKind.DELTA)
        elif news["duty"] == Phase.STANDBY.value:
            self._stand_by()
        else:
            self.duty.active(self.clock.now())

    def _inherit(self, state: dict[str, Any]) -> bool:
        """Begins with what the process before this one tells, unless the list that is known is newer."""
        try:
            listing = decode_listing(state["listing"])
            if listing.revision < self.config.known.revision:
                listing = self.config.known
            self.apply(listing, ListKind.CACHED)
            self.discovery.revision = listing.revision
            if state.get("standby"):
                self._stand_by()
            self.balancer.learn(self.clock.now(), state["learned"])
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("what the process before this one told is malformed: %r", error)
            return bool(self.listed)
        log.info("taken over from the process before this one: %d boxes", len(self.listed))
        return True

    def divide(self, shares: Shares) -> None:
        """The limits hold for all processes of this proxy together."""
        self.descriptors = max(shares.descriptors(self.descriptors_whole), 8)
        self.held_max = shares.held(self.held_whole)

    def usage(self) -> tuple[int, int]:
        """Descriptors in use, and bytes held."""
        return self.used, self.held

    def welcome(self, sock: socket.socket) -> None:
        """Goes on with a client's connection that the process before this one had."""
        sock.setblocking(False)
        self.used += 1
        self.front.adopt(sock, known=True)

    def take_on(self, sock: socket.socket, node: int, address: str, idle_ms: float) -> None:
        """Keeps a connection to a box that another process had idle, if the box is still there."""
        pool = self.pools.get(node)
        if (pool is None or pool.retired or "{}:{}".format(*pool.address) != address
                or self.used >= self.descriptors):
            sock.close()
            return
        self.used += 1
        pool.adopt(sock, idle_ms)

    def _pass_boxes(self, heir: Link) -> None:
        """Passes idle connections to boxes on, so that the other process need not dial each time."""
        assert self.succession is not None
        for node, pool in self.pools.items():
            while not heir.over and (given := pool.pass_on(FDS_MAX)):
                address = "{}:{}".format(*pool.address)
                self.succession.pass_boxes(heir, [(node, address, idle_ms) for _, idle_ms in given],
                                           [descriptor for descriptor, _ in given])

    def _succeed(self, _: object = None) -> None:
        """Passes clients' connections on to the process that takes over, each between two requests, and ends
        with the last. Nothing new is taken: the listener is the other's as well."""
        assert self.succession is not None
        heir = self.succession.heir
        if heir is None:
            log.warning("the process that was to take over has ended")
            self.duty.deserted()
            self._drain()
            return
        if heir.boxes:
            self._pass_boxes(heir)
        while not heir.over and (given := self.front.pass_on(FDS_MAX)):
            self.succession.pass_clients(heir, given)
        now = self.clock.now()
        if now >= self.stop_by or not (self.front.clients or self.front.adopting or self.succession.passing):
            self.loop.stop()
        else:
            self.at(now + DRAIN_STEP_MS, self._succeed)

    def _take_over(self, config: Config) -> None:
        self.settings = settings = config.settings
        self.classes = {c.name: c.deadline_ms for c in settings.classes}
        self.longest_ms = max(self.classes.values())
        self.max_attempts = settings.limits.max_attempts
        self.figures.know(self.classes)
        self.idle_limit.state(config.conn_idle_ms)
        for pool in self.pools.values():
            pool.connect_ms = settings.limits.connect_timeout_ms

    def stop(self) -> None:
        now = self.clock.now()
        heir = self.succession.heir if self.succession is not None else None
        if not self.duty.leave(now, heir is not None):
            return
        log.info("draining")
        if self.succession is not None:
            self.succession.leave()
        self.answer_by = now + self.longest_ms + ANSWER_BY_MS
        self.stop_by = now + self.longest_ms + STOP_BY_MS
        if heir is not None:
            self.front.shut()
            self._succeed()
        else:
            self.at(now + ACCEPT_ON_MS, self._drain)

    def serving(self) -> bool:
        """Whether this process takes clients: from its start on until it is told to end."""
        return self.front.listener is not None and self.duty.phase is not Phase.LEAVING

    def standby(self) -> bool:
        """Sends clients away, until `active`; whether that is done now."""
        if self.succession is not None:
            self.succession.tell({"duty": Phase.STANDBY.value})
        return self._stand_by()

    def _stand_by(self) -> bool:
        begun, now = self.duty.phase is Phase.ACTIVE, self.clock.now()
        done = self.duty.standby(now)
        if begun:
            log.info("on standby")
            self.at(now + STANDBY_STEP_MS, self._send_away)
        return done

    def active(self) -> bool:
        """Back to work; whether that is done now."""
        if self.succession is not None:
            self.succession.tell({"duty": Phase.ACTIVE.value})
        return self.duty.active(self.clock.now())

    def _send_away(self, _: object = None) -> None:
        if self.duty.phase is Phase.STANDBY:
            now = self.clock.now()
            self.at(now + STANDBY_STEP_MS, self._send_away)
            for front in self.fronts:
                front.close_still(now)

    def report(self) -> str:
        """The figures as they are now."""
        now = self.clock.now()
        age = self.discovery.age_ms(now)
        return self.figures.text({"registry_entries": len(self.listed),
                                  "registry_age_ms": -1 if age is None else round(age),
                                  "out_of_rotation": self.balancer.avoided(now)})

    def _drain(self, _: object = None) -> None:
        now = self.clock.now()
        if all([front.close() for front in self.fronts]) or now >= self.stop_by:
            self.loop.stop()
        else:
            self.at(now + DRAIN_STEP_MS, self._drain)

    def _sweep(self, _: object = None) -> None:
        now = self.clock.now()
        self.at(now + SWEEP_MS, self._sweep)
        self.idle_limit.fade(now)
        for node, pool in list(self.pools.items()):
            pool.sweep(now)
            if pool.retired and not pool.dials:
                del self.pools[node]
        for item in list(self.open.values()):
            attempt = item.streaming
            if attempt is None or attempt.connection is None or item.call.client.paused:
                continue
            if attempt.connection.heard_at + STALL_MS < now:
                attempt.abandon(Status.RESET)
        for front in self.fronts:
            front.sweep(now)
        if self.console is not None:
            self.console.sweep(now)

    # -- time
    def at(self, due: float, call: Callable[..., None], argument: Any = None) -> Handle:
        """Calls back at a time, never before, unless `timers.cancel` is given the handle."""
        handle = self.timers.set(due, call, argument)
        if due < self.armed_for:
            self._arm(due)
        return handle

    def soon(self, call: Callable[..., None], argument: Any) -> None:
        self.loop.call_soon(call, argument)

    def _arm(self, due: float) -> None:
        if self.armed is not None:
            self.armed.cancel()
        self.armed_for = due
        self.armed = self.loop.call_later(max(due - self.clock.now(), 0.0) / 1e3, self._run_timers, due)

    def _run_timers(self, due: float, again: bool = False) -> None:
        now = self.clock.now()
        if not again and now > due + LATE_MS:
            # The loop was busy: answers may be waiting in the kernel, and nodes must not be blamed for that.
            self.armed = self.loop.call_later(0.001, self._run_timers, due, True)
            return
        for call, argument in self.timers.due(now):
            try:
                call(argument)
            except Exception:
                log.exception("a timer failed")
        self.armed, self.armed_for = None, float("inf")
        following = self.timers.next_due()
        if following < self.armed_for:
            self._arm(following)

    # -- budgets
    def descriptor(self) -> bool:
        if self.used >= self.descriptors and not self._spare():
            return False
        self.used += 1
        return True

    def freed(self) -> None:
        self.used -= 1
        for front in self.fronts:
            front.resume()

    def _spare(self) -> bool:
        idle = [p for p in self.pools.values() if p.idle]
        if idle:
            pool = min(idle, key=lambda p: p.idle[0].idle_since)
            pool.idle.pop(0).close()
            return True
        return any(front.close_idle() for front in self.fronts)

    # -- the module
    def tell(self, event: Event) -> None:
        """Hands the module an event and carries out its answer; what follows from that comes after it."""
        if self.telling:
            self.inbox.append(event)
            return
        self.telling = True
        while True:
            try:
                self.now = now = self.clock.now()
                for action in self.balancer.handle(now, event):
                    if isinstance(action, Send):
                        self._send(action.id, action.node, action.timeout_ms)
                    else:
                        self._perform(action)
            except Exception:  # costs this one request at most, never the process
                log.exception("the module failed on %s", type(event).__name__)
                self._give_up(event)
            if not self.inbox:
                break
            event = self.inbox.popleft()
        self.telling = False

    def _give_up(self, event: Event) -> None:
        number = getattr(event, "id", None)
        item = self.open.get(number) if number is not None else None
        if item is not None and not item.done:
            self._fail(item)
            if not isinstance(event, ClientGone):
                self.inbox.append(ClientGone(item.id))

    def _perform(self, action: Action) -> None:
        match action:
            case Refuse(number, wait):
                item = self.open.get(number)
                if item is not None and not item.done:
                    self._end(item)
                    item.call.client.refuse(item.call, wait)
            case Fail(number):
                item = self.open.get(number)
                if item is not None:
                    self._fail(item)
            case Cancel(number, attempt):
                item = self.open.get(number)
                out = item.out.get(attempt) if item is not None else None
                if out is not None and self.settings.limits.cancel and not out.started:
                    out.abandon(Status.CANCELLED)
            case SetTimer(at, token):
                self.at(at, self._timer, token)
            case Watch(on):
                self.discovery.watch(on)
            case Probe(node):
                self.inbox.append(Probed(node, Status.MOOT))

    def _timer(self, token: str) -> None:
        self.tell(Timer(token))

    def _send(self, number: int, node: int, timeout: float | None) -> None:
        item = self.open.get(number)
        if item is None:
            log.error("the module sent a request that is over")
            return
        attempt_number, item.attempts = item.attempts, item.attempts + 1
        pool, now = self.pools.get(node), self.now
        if (pool is None or item.done or item.streaming is not None or now >= item.deadline
                or attempt_number >= self.max_attempts or item.call.spent
                or (item.out and not self.settings.limits.second_copies)):
            self.inbox.append(Outcome(number, attempt_number, node, Status.MOOT, closed=item.done))
            return
        expires = item.deadline if timeout is None else min(item.deadline, now + timeout)
        attempt = Attempt(self, item, attempt_number, node, pool, now, expires)
        item.out[attempt_number] = attempt
        if expires < item.deadline:
            attempt.timer = self.at(expires, self._expire, attempt)
        pool.send(attempt, now)

    def _expire(self, attempt: Attempt) -> None:
        if not attempt.over and not attempt.started:
            attempt.abandon(Status.TIMEOUT)

    def apply(self, listing: Listing, kind: ListKind) -> None:
        """Takes over a list: where the nodes are for the pools, the rest for the module."""
        addresses = listing.addresses or {}
        retired: list[Pool] = []
        for member in listing.members:
            pool, address = self.pools.get(member.node), addresses[member.node]
            stays = member.state is State.READY and pool is not None and pool.address == address
            if pool is not None and not stays:
                retired.append(pool)
            if member.state is State.READY and (pool is None or not stays or pool.retired):
                limit = self.settings.limits.connect_timeout_ms
                self.pools[member.node] = Pool(self, address, limit, self.idle_limit)
        if kind is not ListKind.DELTA:
            retired.extend(self.pools[node] for node in self.pools.keys() - addresses.keys())
            self.listed.clear()
        self._list(listing)
        for pool in retired:
            pool.retire()
        self.tell(Membership(kind, listing.members, listing.revision))
        for pool in retired:  # now that the module knows better than to send there again
            pool.undial()
        # and what is still being written there, as it would count as new with its last byte
        flowing = [item for item in self.open.values() if item.call.flowing] if retired else ()
        for item in flowing:
            if any(attempt.unwritten_to(retired) for attempt in item.out.values()):
                self._call_off(item)

    def emptied(self, listing: Listing) -> bool:
        """Whether a whole list would leave nothing of the one that is known."""
        return listing.complete and not listing.members and bool(self.listed)

    def informed(self) -> bool:
        """Whether clients may come: the list is as new as may be expected of a new process."""
        return self.discovery.informed

    def _list(self, listing: Listing) -> None:
        names, addresses = listing.names or {}, listing.addresses or {}
        for member in listing.members:
            if member.state is State.GONE:
                self.listed.pop(member.node, None)
            elif member.node in names:
                self.listed[member.node] = names[member.node], addresses[member.node], member

    # -- the life of a request
    def request(self, call: Call, cls: str, budget_ms: float | None, key: str | None = None,
                tenant: str | None = None, hint_ms: float | None = None, size: float | None = None,
                retry: bool = False, write: bool = False, earlier: float | None = None) -> None:
        """Takes a request in hand: from here on it is owed its one final answer. `earlier`: so many
        milliseconds ago a request with the same effect may first have run."""
        if budget_ms is None:
            budget_ms = self.classes.get(cls, self.longest_ms)
        self.numbers = number = self.numbers + 1
        arriving = call.flowing and not call.whole
        deadline = call.arrived_at + budget_ms
        if deadline > self.answer_by:
            deadline = self.answer_by
        call.counts = self.figures.take(cls)
        call.open = item = Open(number, call, deadline)
        if deadline <= self.clock.now():
            item.last = Status.TIMEOUT
            self._fail(item)
            return
        if arriving:
            item.budget_ms = budget_ms
        self.open[number] = item
        item.timer = self.at(deadline, self._deadline, number)
        self.tell(Request(number, cls, deadline, key, tenant, hint_ms, size, retry, write, arriving,
                          None if earlier is None else self.clock.now() - earlier))

    # -- bodies that flow
    def body_came(self, item: Open, pieces: Sequence[bytes]) -> None:
        """Pieces of a long body, for the attempts that are under way."""
        for attempt in list(item.out.values()):
            attempt.more(pieces)

    def body_whole(self, item: Open) -> None:
        """All of it has come: the client's time counts from now on."""
        if item.done:
            return
        item.deadline = min(self.clock.now() + item.budget_ms, self.answer_by)
        if item.timer is not None:
            self.timers.cancel(item.timer)
        item.timer = self.at(item.deadline, self._deadline, item.id)
        for attempt in list(item.out.values()):
            attempt.body_ended()
        self.tell(Arrived(item.id, item.deadline))

    def spend(self, item: Open) -> bool:
        """Whether the start of the body need not be held any more, as a box is getting it."""
        if item.done or len(item.out) != 1 or any(a.connection is None for a in item.out.values()):
            return False
        self.tell(Spent(item.id))
        return True

    def stuck(self, item: Open) -> None:
        """A box does not take the body any more: without its last byte it cannot have run."""
        self._call_off(item)

    def _call_off(self, item: Open) -> None:
        for attempt in list(item.out.values()):
            attempt.abandon(Status.CONNECT_FAILED)

    def _deadline(self, number: int) -> None:
        item = self.open.get(number)
        if item is None or item.streaming is not None:
            return
        for attempt in list(item.out.values()):
            attempt.abandon(Status.TIMEOUT)
        if not item.done:  # the module held it too long
            self._fail(item)
            self.tell(ClientGone(item.id))

    def client_gone(self, item: Open) -> None:
        if item.done:
            return
        self._end(item)
        if item.streaming is not None:
            item.streaming.abandon(Status.CANCELLED)
        if item.call.flowing and not item.call.whole:  # whatever may be cancelled: the rest never comes
            self._call_off(item)
        self.tell(ClientGone(item.id))

    def stream_started(self, attempt: Attempt, answer: Answer) -> bool:
        item = attempt.open
        if item.done or item.streaming is not None:
            return False
        item.streaming = attempt
        item.call.client.begin_stream(item.call, answer)
        self.tell(StreamStarted(item.id, attempt.number, attempt.node))
        return True

    def pause(self, item: Open, paused: bool) -> None:
        connection = item.streaming.connection if item.streaming else None
        if connection is not None:
            if not paused:
                connection.heard_at = self.clock.now()
            connection.hold(paused)

    def outcome(self, attempt: Attempt, status: Status, answer: Answer | None) -> None:
        """An attempt has ended. The first 200 and the end of a stream are the request's final answer."""
        item = attempt.open
        item.out.pop(attempt.number, None)
        item.last = status
        if item.call.ticket is not None and not status.never_ran:
            item.call.ran = True
        if not item.done:
            call = item.call
            if attempt.started:
                item.done = True
                call.client.end_stream(call, status is OK)
            elif answer is not None and status is OK:
                item.done = True
                call.client.serve(call, answer)
        if item.streaming is attempt:
            item.streaming = None  # else the two would keep one another until the collector comes
        hit = load = None
        if answer is not None:
            ended, hit = answer.begun_at, answer.fields.get(b"x-hit")
            if b"x-load-report" in answer.fields:
                load = load_report(answer, self.config.report_fields)
        else:
            ended = self.clock.turn()
        if attempt.timer is not None:
            self.timers.cancel(attempt.timer)
        if item.done and not item.out:
            self._forget(item)
        took = ended - attempt.begun_at
        self.tell(Outcome(item.id, attempt.number, attempt.node, status, took if took > 0.0 else 0.0,
                          item.done, None if hit is None else hit == b"hit", load))

    def _fail(self, item: Open) -> None:
        if not item.done:
            self._end(item)
            late = item.last is Status.TIMEOUT or self.clock.now() >= item.deadline
            item.call.client.fail(item.call, 504 if late else 502)

    def _end(self, item: Open) -> None:
        item.done = True
        if not item.out:
            self._forget(item)

    def _forget(self, item: Open) -> None:
        """Nothing is owed and nothing is out: its deadline matters no more."""
        self.open.pop(item.id, None)
        if item.timer is not None:
            self.timers.cancel(item.timer)
