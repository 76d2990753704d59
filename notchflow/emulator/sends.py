"""Whole proxies in simulated time, from the list to the last byte: the real host, pools, discovery's edge,
watch and module of each run on `wires`, against nodes that count what is begun there. `watches` plays the day
and knows when a change counts as told; here each first and last byte is held to it. Times are milliseconds.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence
from typing import Any, Final

from httptools import HttpRequestParser

from notchflow.emulator.watches import TRIP_MS, Day, Follower, Line, World
from notchflow.emulator.wires import Address, Loop, Pipe, SimulatedClock
from notchflow.interface import Effect, Limits, ListKind, RequestClass, Rules, Settings
from notchflow.net.config import Config
from notchflow.net.exchange import ClientRequest, LocalReply, UpstreamResponse
from notchflow.net.host import Host
from notchflow.net.node_list import NodeList, decode_node_list
from notchflow.net.watch import ListWatch, StartCall

# What may happen to the three nodes, one entry a revision: which, its phase from then on, and its port.
Plan = tuple[tuple[str, str, int], ...]

FIRST: Final[Plan] = (("n1", "up", 1), ("n2", "up", 2), ("n3", "up", 3))
DIALS_MS: Final = {1: 0.3, 2: 40.0, 3: 200.0}  # a dial is often under way as its node begins to drain
EVERY_MS, FIRST_MS = 250.0, 230.0  # just before what the days' events fall on
AT_ONCE: Final = 3  # more than a node has idle connections for
SERVICE_MS: Final = 30.0
FULL_EACH, RESET_EACH, CLOSE_EACH = 7, 11, 5  # of the requests that a node gets
PIECE_MS, PIECES = 60.0, 5  # of a body that takes its time: longer than a grace
CLASSES: Final = (
    RequestClass("read", 300.0, 1_000.0),
    RequestClass("write", 300.0, 1_000.0, effect=Effect.UNSAFE),
)


class Client:
    """Asks for one thing, and counts the answers."""

    paused = False

    def __init__(self, world: Sends, proxy: Proxy, number: int) -> None:
        self.world, self.proxy = world, proxy
        self.answers = 0
        call = self.call = ClientRequest(self, proxy.host)
        call.method, call.url = b"GET", b"/%d" % number
        call.arrived_at = call.earliest_arrival_at = proxy.host.clock.now()
        if number % 4 == 3:
            call.streams_body = call.chunked = True
            call.forwarded_headers.append(b"Transfer-Encoding: chunked\r\n")
        name = "write" if number % 3 == 2 else "read"
        proxy.host.start_request(call, name, None, str(number % 16), write=name == "write")
        if call.streams_body:
            world.sim.after(PIECE_MS, self.more, PIECES)

    def more(self, left: int) -> None:
        """The next piece of the body, or its end."""
        item, host = self.call.active, self.proxy.host
        if item is None or not self.proxy.alive:
            return
        if left:
            host.body_received(item, [b"x" * 10])
            self.world.sim.after(PIECE_MS, self.more, left - 1)
        else:
            self.call.body_complete = True
            host.finish_body(item)

    def end(self, status: int) -> None:
        """A final answer."""
        self.answers += 1
        self.world.answers[status] = self.world.answers.get(status, 0) + 1
        if self.answers > 1:
            self.world.verdict.broken.append(f"{self.call.url!r} is answered twice")
        self.call.finish(status)

    def serve(self, call: ClientRequest, answer: UpstreamResponse) -> None:
        self.end(200)

    def refuse(self, call: ClientRequest, retry_after_ms: float) -> None:
        self.end(503)

    def fail(self, call: ClientRequest, status: int) -> None:
        self.end(status)

    def answer(self, call: ClientRequest, reply: LocalReply) -> None:
        self.end(reply.status)

    def begin_stream(self, call: ClientRequest, answer: UpstreamResponse) -> None:
        """Nodes' answers here are short."""

    def stream(self, data: bytes) -> None:
        """As above."""

    def end_stream(self, call: ClientRequest, whole: bool) -> None:
        """As above."""

    def set_body_wanted(self, on: bool) -> None:
        """The body comes as it comes."""

    def has_left(self, now: float) -> bool:
        """Nobody leaves here."""
        return False


class WatchedHost(Host):
    """The host; what discovery tells it is told to the judge as well."""

    proxy: Proxy

    def apply(self, listing: NodeList, kind: ListKind) -> None:
        super().apply(listing, kind)
        if kind is not ListKind.CACHED:
            self.proxy.be_ready()
            self.proxy.world.judge.has(self.proxy, listing.revision)


class Proxy(Follower):
    """One process of the program."""

    world: Sends

    def __init__(self, world: Sends, number: int) -> None:
        self.world, self.number, self.alive = world, number, True
        now = self.started_at = self.last_call_at = world.sim.now
        self.last_failed, self.failed_at, self.lines = False, None, {}
        self.answered_at = self.refused_at = -float("inf")
        self.ready_at = now if world.day.asked else float("inf")
        self.loop = Loop(world.sim, world)  # type: ignore[abstract]  # what the edges use is there
        world.owners[self.loop] = self
        seed, known = world.day.seed * 1_000 + number, decode_node_list(world.listing(0, None))
        config = Config(f"p{number}", ("proxy", 1), ("discovery", world.place), seed, world.settings, known)
        self.host: WatchedHost = world.make_host(config, self.loop, clock=SimulatedClock(self.loop))
        self.host.proxy = self
        self.host.frontends = []  # clients are called by the day itself
        self.host.start()
        if not world.day.asked:
            world.sim.after(500.0, self.be_ready)

    @property
    def watch(self) -> ListWatch:  # type: ignore[override]
        return self.host.discovery.list_watch

    def move(self) -> None:
        self.host.discovery.change_address(("discovery", self.world.place))

    def end(self) -> None:
        super().end()
        self.loop.kill()

    def deliver(self, line: Line, listing: NodeList) -> None:
        since = None if listing.complete else line.ask.revision
        self.world.calls[line.ask.number].tell(200, self.world.listing(listing.revision, since))

    def refuse(self, line: Line, problem: str) -> None:
        call = self.world.calls[line.ask.number]
        if problem == "status 503":
            call.tell(503, {})
        else:
            call.pipe.abort()


class Served(asyncio.Protocol):
    """The far end of a connection: reads requests."""

    def __init__(self, world: Sends, proxy: Proxy) -> None:
        self.world, self.proxy = world, proxy
        self.parser = HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, Pipe)
        self.pipe = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)


class Registry(Served):
    """Discovery's end of a call."""

    number = 0

    def __init__(self, world: Sends, proxy: Proxy, place: int) -> None:
        super().__init__(world, proxy)
        self.place = place

    def on_url(self, url: bytes) -> None:
        given = dict(pair.split(b"=") for pair in url.partition(b"?")[2].split(b"&") if pair)
        revision = int(given[b"index"]) if b"index" in given else None
        self.number = self.world.count = self.world.count + 1
        self.world.calls[self.number] = self
        now = self.world.sim.now
        line = Line(self.proxy, StartCall(self.number, revision, int(given.get(b"wait", 0))), now, self.place)
        self.proxy.lines[self.number] = line
        self.proxy.last_call_at, self.proxy.last_failed = now, False
        self.world.sim.after(TRIP_MS, self.world.called, line)

    def tell(self, status: int, data: dict[str, Any]) -> None:
        """The answer."""
        body = json.dumps(data).encode()
        self.pipe.write(b"HTTP/1.1 %d Whatever\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))

    def connection_lost(self, exc: Exception | None) -> None:
        line = self.proxy.lines.get(self.number)
        if line is not None:
            self.proxy.give_up(line)


class Node(Served):
    """A node's end of a connection."""

    def __init__(self, world: Sends, proxy: Proxy, port: int) -> None:
        super().__init__(world, proxy)
        self.port = port

    def on_message_begin(self) -> None:
        self.world.reached(self.proxy, self.port, "begins")

    def on_message_complete(self) -> None:
        self.world.reached(self.proxy, self.port, "is whole")
        count = self.world.served[self.port] = self.world.served.get(self.port, 0) + 1
        self.world.sim.after(SERVICE_MS, self.end, count)

    def end(self, count: int) -> None:
        """The answer, such as it is."""
        if count % RESET_EACH == 0:
            self.pipe.abort()
        elif count % FULL_EACH == 0:
            self.pipe.write(b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
        else:
            close = b"Connection: close\r\n" if count % CLOSE_EACH == 0 else b""
            self.pipe.write(b"HTTP/1.1 200 OK\r\n%bContent-Length: 1\r\n\r\nv" % close)


class Sends(World):
    """A day of `watches` with real proxies, three nodes and requests all the time."""

    def __init__(self, day: Day, plan: Plan, host: Callable[..., WatchedHost] = WatchedHost) -> None:
        self.plan, self.make_host = plan, host
        self.owners: dict[Loop, Proxy] = {}
        self.calls: dict[int, Registry] = {}
        self.count = self.requests = 0
        self.served: dict[int, int] = {}
        self.answers: dict[int, int] = {}
        self.clients: list[Client] = []
        super().__init__(day)
        self.sim.after(FIRST_MS, self.ask)

    def begin(self, number: int) -> Follower:
        return Proxy(self, number)

    def deployment(self, rules: Rules) -> Settings:
        limits = Limits(
            max_attempts=3,
            cancel=True,
            retry_after=True,
            max_retry_after_ms=1_000.0,
            connect_timeout_ms=250.0,
        )
        return Settings(
            classes=CLASSES,
            zone="a",
            balancers=self.day.proxies,
            list_on_request=self.day.asked,
            rules=rules,
            limits=limits,
        )

    # -- requests
    def ask(self) -> None:
        """Every proxy that takes clients gets a few at once."""
        self.sim.after(EVERY_MS, self.ask)
        for proxy in self.followers:
            assert isinstance(proxy, Proxy)
            for _ in range(AT_ONCE if proxy.host.list_is_current() else 0):
                self.requests += 1
                self.clients.append(Client(self, proxy, self.requests))

    def reached(self, proxy: Proxy, port: int, what: str) -> None:
        """The first or last byte of a request has gone to a node: was it up by a list since the one told?"""
        now = self.sim.now
        told = max((r for r in self.judge.made_at if self.judge.limit(proxy, r) < now), default=0)
        if not any(port in self.ports(r) for r in range(told, self.revision + 1)):
            self.verdict.broken.append(
                f"a request {what} at :{port} at {now:.1f}, proxy {proxy.number} was told revision {told}"
            )

    # -- the list
    def entries(self, revision: int) -> dict[str, tuple[str, int]]:
        """Phase and port of each node."""
        return {name: (phase, port) for name, phase, port in (*FIRST, *self.plan[:revision])}

    def ports(self, revision: int) -> set[int]:
        """Where something new may go."""
        return {port for phase, port in self.entries(revision).values() if phase == "up"}

    def listing(self, revision: int, since: int | None) -> dict[str, Any]:
        """In discovery's form: whole, or what has changed since a revision."""
        entries = self.entries(revision)
        if since is None:
            names: Sequence[str] = [name for name, (phase, _) in entries.items() if phase != "removed"]
        else:
            names = sorted({name for name, _, _ in self.plan[since:revision]})
        return {
            "revision": revision,
            "complete": since is None,
            "members": [
                {
                    "id": name,
                    "host_port": f"node:{entries[name][1]}",
                    "locality": "a",
                    "flavor": "box",
                    "cell": 0,
                    "phase": entries[name][0],
                    "size": 1.0,
                    "up_since_ms": 0.0,
                }
                for name in names
            ],
        }

    # -- the network
    def dial_ms(self, loop: Loop, address: Address) -> float | None:
        return DIALS_MS.get(address[1], 0.3) if address[0] == "node" else 0.1

    def served_by(self, loop: Loop, address: Address) -> asyncio.Protocol:
        proxy = self.owners[loop]
        return Node(self, proxy, address[1]) if address[0] == "node" else Registry(self, proxy, address[1])

    def judged(self) -> list[str]:
        """Plays the day. What is broken, in order."""
        self.play()
        for client in self.clients:
            if client.proxy.alive and not client.answers and client.call.arrived_at < self.sim.now - 5_000.0:
                self.verdict.broken.append(f"{client.call.url!r} is never answered")
        self.verdict.broken += [f"in a loop: {text}" for loop in self.owners for text in loop.problems]
        return self.verdict.broken
