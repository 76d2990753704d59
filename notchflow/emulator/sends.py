"""Simulation of whole proxies, from the list to the last byte: the real host, pools, discovery client,
watch and policy run on `simulated_loop`, against simulated nodes. `watches` simulates the day and knows
when a change counts as announced; here the first and last byte of each request is checked against it.
Times are milliseconds.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence
from typing import Any, Final

from httptools import HttpRequestParser

from notchflow.emulator.simulated_loop import Address, Loop, Pipe, SimulatedClock
from notchflow.emulator.watches import ONE_WAY_MS, Call, Day, WatchingProxy, World
from notchflow.interface import Effect, Limits, ListKind, RequestClass, Rules, Settings
from notchflow.net.config import Config
from notchflow.net.exchange import ClientRequest, LocalReply, UpstreamResponse
from notchflow.net.host import Host
from notchflow.net.node_list import NodeList, decode_node_list
from notchflow.net.watch import ListWatch, StartCall

# Changes of the three nodes, one entry per revision: node, its phase from then on, and its port.
Plan = tuple[tuple[str, str, int], ...]

FIRST_NODES: Final[Plan] = (("n1", "up", 1), ("n2", "up", 2), ("n3", "up", 3))
DIALS_MS: Final = {
    1: 0.3,
    2: 40.0,
    3: 200.0,
}  # so slow that a dial is often in progress when its node begins to drain
REQUEST_INTERVAL_MS, FIRST_REQUEST_MS = (
    250.0,
    230.0,
)  # so that requests fall just before the events of the days
REQUESTS_AT_ONCE: Final = 3  # more than a node has idle connections
SERVICE_MS: Final = 30.0
REJECT_EVERY, RESET_EVERY, CLOSE_EVERY = 7, 11, 5  # every so many requests to a node
CHUNK_INTERVAL_MS, CHUNKS = 60.0, 5  # of a slow body, which takes longer than a grace
CLASSES: Final = (
    RequestClass("read", 300.0, 1_000.0),
    RequestClass("write", 300.0, 1_000.0, effect=Effect.UNSAFE),
)


class Client:
    """A client that sends one request and counts its answers."""

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
            world.sim.after(CHUNK_INTERVAL_MS, self.send_chunk, CHUNKS)

    def send_chunk(self, left: int) -> None:
        """Sends the next chunk of the body, or its end."""
        active, host = self.call.active, self.proxy.host
        if active is None or not self.proxy.alive:
            return
        if left:
            host.body_received(active, [b"x" * 10])
            self.world.sim.after(CHUNK_INTERVAL_MS, self.send_chunk, left - 1)
        else:
            self.call.body_complete = True
            host.finish_body(active)

    def finish(self, status: int) -> None:
        """Counts a final answer."""
        self.answers += 1
        self.world.answers[status] = self.world.answers.get(status, 0) + 1
        if self.answers > 1:
            self.world.result.broken.append(f"{self.call.url!r} was answered twice")
        self.call.finish(status)

    def serve(self, call: ClientRequest, answer: UpstreamResponse) -> None:
        """Receives a node's answer."""
        self.finish(200)

    def refuse(self, call: ClientRequest, retry_after_ms: float) -> None:
        """Receives a rejection."""
        self.finish(503)

    def fail(self, call: ClientRequest, status: int) -> None:
        """Receives an error."""
        self.finish(status)

    def answer(self, call: ClientRequest, reply: LocalReply) -> None:
        """Receives an answer of the proxy itself."""
        self.finish(reply.status)

    def begin_stream(self, call: ClientRequest, answer: UpstreamResponse) -> None:
        """Unused: simulated nodes send short answers."""

    def stream(self, data: bytes) -> None:
        """As above."""

    def end_stream(self, call: ClientRequest, whole: bool) -> None:
        """As above."""

    def set_body_wanted(self, on: bool) -> None:
        """Ignored: the body is sent at a fixed rate."""

    def has_left(self, now: float) -> bool:
        """Returns False: simulated clients do not disconnect."""
        return False


class WatchedHost(Host):
    """The real host, which also reports each list from discovery to the checker."""

    proxy: Proxy

    def apply(self, listing: NodeList, kind: ListKind) -> None:
        """Applies a list and reports its revision."""
        super().apply(listing, kind)
        if kind is not ListKind.CACHED:
            self.proxy.mark_ready()
            self.proxy.world.checker.record_applied(self.proxy, listing.revision)


class Proxy(WatchingProxy):
    """One proxy process with the real host."""

    world: Sends

    def __init__(self, world: Sends, number: int) -> None:
        self.world, self.number, self.alive = world, number, True
        now = self.started_at = self.last_call_at = world.sim.now
        self.last_failed, self.failed_at, self.calls = False, None, {}
        self.answered_at = self.refused_at = -float("inf")
        self.ready_at = now if world.day.asked else float("inf")
        self.loop = Loop(world.sim, world)  # type: ignore[abstract]  # implements what the host uses
        world.owners[self.loop] = self
        seed, known = world.day.seed * 1_000 + number, decode_node_list(world.listing(0, None))
        config = Config(f"p{number}", ("proxy", 1), ("discovery", world.address), seed, world.settings, known)
        self.host: WatchedHost = world.make_host(config, self.loop, clock=SimulatedClock(self.loop))
        self.host.proxy = self
        self.host.frontends = []  # clients are simulated without sockets
        self.host.start()
        if not world.day.asked:
            world.sim.after(500.0, self.mark_ready)

    @property
    def watch(self) -> ListWatch:  # type: ignore[override]
        """The host's watch."""
        return self.host.discovery.list_watch

    def reload(self) -> None:
        """Handles SIGHUP: discovery has another address."""
        self.host.discovery.change_address(("discovery", self.world.address))

    def kill(self) -> None:
        """Kills the process and its event loop."""
        super().kill()
        self.loop.kill()

    def deliver(self, call: Call, listing: NodeList) -> None:
        """Sends the list over the call's connection."""
        since = None if listing.complete else call.request.revision
        self.world.registry_calls[call.request.number].respond(
            200, self.world.listing(listing.revision, since)
        )

    def refuse(self, call: Call, problem: str) -> None:
        """Sends a 503, or aborts the connection."""
        server = self.world.registry_calls[call.request.number]
        if problem == "status 503":
            server.respond(503, {})
        else:
            server.pipe.abort()


class ServerEnd(asyncio.Protocol):
    """The remote end of a connection: parses requests."""

    def __init__(self, world: Sends, proxy: Proxy) -> None:
        self.world, self.proxy = world, proxy
        self.parser = HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the connection."""
        assert isinstance(transport, Pipe)
        self.pipe = transport

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        self.parser.feed_data(data)


class DiscoveryServer(ServerEnd):
    """Discovery's end of a connection."""

    number = 0

    def __init__(self, world: Sends, proxy: Proxy, address: int) -> None:
        super().__init__(world, proxy)
        self.address = address

    def on_url(self, url: bytes) -> None:
        """Registers a call for the list with the simulation."""
        given = dict(pair.split(b"=") for pair in url.partition(b"?")[2].split(b"&") if pair)
        revision = int(given[b"index"]) if b"index" in given else None
        self.number = self.world.count = self.world.count + 1
        self.world.registry_calls[self.number] = self
        now = self.world.sim.now
        call = Call(
            self.proxy, StartCall(self.number, revision, int(given.get(b"wait", 0))), now, self.address
        )
        self.proxy.calls[self.number] = call
        self.proxy.last_call_at, self.proxy.last_failed = now, False
        self.world.sim.after(ONE_WAY_MS, self.world.receive_call, call)

    def respond(self, status: int, data: dict[str, Any]) -> None:
        """Sends the answer."""
        body = json.dumps(data).encode()
        self.pipe.write(b"HTTP/1.1 %d Whatever\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels a call that is still open."""
        call = self.proxy.calls.get(self.number)
        if call is not None:
            self.proxy.give_up(call)


class NodeServer(ServerEnd):
    """The node's end of a connection."""

    def __init__(self, world: Sends, proxy: Proxy, port: int) -> None:
        super().__init__(world, proxy)
        self.port = port

    def on_message_begin(self) -> None:
        """Checks the first byte of a request."""
        self.world.check_send(self.proxy, self.port, "begins")

    def on_message_complete(self) -> None:
        """Checks the last byte of a request and schedules the answer."""
        self.world.check_send(self.proxy, self.port, "is whole")
        count = self.world.served[self.port] = self.world.served.get(self.port, 0) + 1
        self.world.sim.after(SERVICE_MS, self.finish, count)

    def finish(self, count: int) -> None:
        """Sends the answer: a reset, a rejection or a success."""
        if count % RESET_EVERY == 0:
            self.pipe.abort()
        elif count % REJECT_EVERY == 0:
            self.pipe.write(b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
        else:
            close = b"Connection: close\r\n" if count % CLOSE_EVERY == 0 else b""
            self.pipe.write(b"HTTP/1.1 200 OK\r\n%bContent-Length: 1\r\n\r\nv" % close)


class Sends(World):
    """A day of `watches` with real proxies, three nodes and continuous requests."""

    def __init__(self, day: Day, plan: Plan, host: Callable[..., WatchedHost] = WatchedHost) -> None:
        self.plan, self.make_host = plan, host
        self.owners: dict[Loop, Proxy] = {}
        self.registry_calls: dict[int, DiscoveryServer] = {}
        self.count = self.requests = 0
        self.served: dict[int, int] = {}
        self.answers: dict[int, int] = {}
        self.clients: list[Client] = []
        super().__init__(day)
        self.sim.after(FIRST_REQUEST_MS, self.send_requests)

    def start_proxy(self, number: int) -> WatchingProxy:
        """Starts a proxy process."""
        return Proxy(self, number)

    def proxy_settings(self, rules: Rules) -> Settings:
        """Returns the settings of every proxy."""
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
    def send_requests(self) -> None:
        """Sends a few concurrent requests to every proxy that is ready."""
        self.sim.after(REQUEST_INTERVAL_MS, self.send_requests)
        for proxy in self.proxies:
            assert isinstance(proxy, Proxy)
            for _ in range(REQUESTS_AT_ONCE if proxy.host.list_is_current() else 0):
                self.requests += 1
                self.clients.append(Client(self, proxy, self.requests))

    def check_send(self, proxy: Proxy, port: int, what: str) -> None:
        """Checks the first or last byte of a request to a node: the address must be up by the list announced
        last or a later one."""
        now = self.sim.now
        announced = max((r for r in self.checker.made_at if self.checker.limit(proxy, r) < now), default=0)
        if not any(port in self.ports(r) for r in range(announced, self.revision + 1)):
            self.result.broken.append(
                f"a request {what} at :{port} at {now:.1f}, proxy {proxy.number}, announced: {announced}"
            )

    # -- the list
    def entries(self, revision: int) -> dict[str, tuple[str, int]]:
        """Returns phase and port of each node at a revision."""
        return {name: (phase, port) for name, phase, port in (*FIRST_NODES, *self.plan[:revision])}

    def ports(self, revision: int) -> set[int]:
        """Returns the ports that may get new requests."""
        return {port for phase, port in self.entries(revision).values() if phase == "up"}

    def listing(self, revision: int, since: int | None) -> dict[str, Any]:
        """Returns the list in discovery's format: complete, or the changes since a revision."""
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
        """Returns how long a dial takes."""
        return DIALS_MS.get(address[1], 0.3) if address[0] == "node" else 0.1

    def create_server(self, loop: Loop, address: Address) -> asyncio.Protocol:
        """Creates the server's end of a connection."""
        proxy = self.owners[loop]
        return (
            NodeServer(self, proxy, address[1])
            if address[0] == "node"
            else DiscoveryServer(self, proxy, address[1])
        )

    def run(self) -> list[str]:
        """Simulates the day; returns the violations in order."""
        self.simulate()
        for client in self.clients:
            if client.proxy.alive and not client.answers and client.call.arrived_at < self.sim.now - 5_000.0:
                self.result.broken.append(f"{client.call.url!r} was not answered")
        self.result.broken += [
            f"exception in an event loop: {text}" for loop in self.owners for text in loop.exceptions
        ]
        return self.result.broken
