"""A bare forwarder: a lower bound for the cost of a proxy on the same event loop and parsers.

It parses both sides with httptools, to find where each message ends and whether the connection stays open,
and forwards the bytes unchanged: to the nodes in turn, one request at a time on each connection. It has no
policy, timeouts, retries or answers of its own: if a node's connection is lost, it closes the client's.
`python -m standins.forwarder PORT HOST:PORT...` runs one.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from typing import cast

import uvloop
from httptools import HttpRequestParser, HttpResponseParser

BACKLOG = 1_024


class _NodeConnection(asyncio.Protocol):
    """A connection to a node."""

    def __init__(self, pool: list[_NodeConnection]) -> None:
        self.pool = pool
        self.parser = HttpResponseParser(self)
        self.client: _ClientConnection | None = None
        self.transport: asyncio.Transport | None = None
        self.headers: dict[bytes, bytes] = {}
        self.complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self in self.pool:
            self.pool.remove(self)
        if self.client is not None and self.client.transport is not None:
            self.client.transport.close()

    def on_message_begin(self) -> None:
        self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name] = value

    def on_message_complete(self) -> None:
        self.complete = True

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)
        client = self.client
        if client is not None and client.transport is not None:
            client.transport.write(data)
        if self.complete:
            self.complete, self.client = False, None
            self.pool.append(self)


class _ClientConnection(asyncio.Protocol):
    """A client's connection."""

    def __init__(self, forwarder: Forwarder) -> None:
        self.forwarder = forwarder
        self.parser = HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.data: list[bytes] = []
        self.complete = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def on_message_begin(self) -> None:
        self.headers = {}

    def on_url(self, url: bytes) -> None:
        self.url = url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name] = value

    def on_message_complete(self) -> None:
        self.complete = True

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)
        self.data.append(data)
        if self.complete:
            self.complete, parts, self.data = False, self.data, []
            self.forwarder.forward(self, parts)


class Forwarder:
    """The nodes, each with its pool of idle connections."""

    def __init__(self, nodes: list[tuple[str, int]]) -> None:
        self.pools: list[tuple[tuple[str, int], list[_NodeConnection]]] = [(address, []) for address in nodes]
        self.next_pool = itertools.cycle(self.pools)
        self.dials: set[asyncio.Task[None]] = set()

    def forward(self, client: _ClientConnection, data: list[bytes]) -> None:
        """Sends a request to the next node, on an idle connection or a new one."""
        address, pool = next(self.next_pool)
        if pool:
            self._send(pool.pop(), client, data)
            return
        task = asyncio.get_running_loop().create_task(self._dial(address, pool, client, data))
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)

    async def _dial(
        self,
        address: tuple[str, int],
        pool: list[_NodeConnection],
        client: _ClientConnection,
        data: list[bytes],
    ) -> None:
        _, upstream = await asyncio.get_running_loop().create_connection(
            lambda: _NodeConnection(pool), *address
        )
        self._send(upstream, client, data)

    @staticmethod
    def _send(upstream: _NodeConnection, client: _ClientConnection, data: list[bytes]) -> None:
        upstream.client = client
        if upstream.transport is not None:
            upstream.transport.writelines(data)


async def serve(port: int, nodes: list[tuple[str, int]]) -> None:
    """Forwards requests that arrive at this port until it is cancelled."""
    forwarder = Forwarder(nodes)
    server = await asyncio.get_running_loop().create_server(
        lambda: _ClientConnection(forwarder), "127.0.0.1", port, backlog=BACKLOG
    )
    await server.serve_forever()


def main(arguments: list[str]) -> None:
    """Runs a forwarder: the port to listen on, then the nodes' addresses."""
    nodes = [(host, int(port)) for host, _, port in (a.rpartition(":") for a in arguments[1:])]
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(int(arguments[0]), nodes))


if __name__ == "__main__":
    main(sys.argv[1:])
