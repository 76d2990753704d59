"""Measures the proxy's own work for a request, without sockets: parse, decide, write, parse, record, write.

One request is active at a time; the sockets are replaced by objects that discard what is written. In contrast
to a run with sockets, the work of the kernel and most of that of the event loop are missing, and no hedges
are planned: an answer takes a fraction of a millisecond here, so a hedge would become due with every request.
"""

from __future__ import annotations

import asyncio
import gc
import random
import statistics
import time
from typing import cast

import uvloop
from httptools import HttpResponseParser

from notchflow.interface import Limits, ListKind, RequestClass, Settings, Timer
from notchflow.net.client import ClientConnection
from notchflow.net.config import Config
from notchflow.net.connection import Connection
from notchflow.net.discovery import decode_node_list
from notchflow.net.host import Host
from standins.discovery import node_entry

ANSWER = b"HTTP/1.1 200 OK\r\nX-Hit: hit\r\nX-Box: s-1\r\nContent-Length: 512\r\n\r\n" + b"x" * 512
BATCH_SIZE = 1_000
WARM_UP_REQUESTS = 3_000
SAMPLE_INTERVAL_MS = 250.0


class DiscardingTransport:
    """A transport that discards and counts what is written."""

    def __init__(self) -> None:
        self.written = 0

    def write(self, data: bytes) -> None:
        """Counts the bytes."""
        self.written += len(data)

    def writelines(self, parts: list[bytes]) -> None:
        """Counts the bytes of all parts."""
        self.written += sum(map(len, parts))

    def get_write_buffer_size(self) -> int:
        """Returns 0, as nothing is buffered."""
        return 0

    def is_closing(self) -> bool:
        """Returns False, as it is never closed."""
        return False

    def pause_reading(self) -> None:
        """Does nothing."""
        pass

    def resume_reading(self) -> None:
        """Does nothing."""
        pass

    def set_write_buffer_limits(self, high: int | None = None) -> None:
        """Does nothing."""
        pass


class ProxyBench:
    """A proxy with one client and one idle connection to each node."""

    def __init__(self, nodes: int, keys: int) -> None:
        self.loop = uvloop.new_event_loop()
        known = decode_node_list(
            {
                "revision": 1,
                "complete": True,
                "members": [node_entry(f"s-{i}", f"127.0.0.1:{10_000 + i}") for i in range(nodes)],
            }
        )
        settings = Settings(classes=(RequestClass("read", 300, 1000),), limits=Limits(max_attempts=3))
        self.host = Host(
            Config(
                name="n0",
                listen=("127.0.0.1", 0),
                discovery=("127.0.0.1", 1),
                seed=7,
                settings=settings,
                known=known,
                conn_idle_ms=1e9,
            ),
            self.loop,
        )
        self.host.apply(known, ListKind.CACHED)
        for pool in self.host.pools.values():
            connection = Connection(pool)
            connection.transport = cast(asyncio.Transport, DiscardingTransport())
            connection.parser = HttpResponseParser(connection)
            connection.idle_since = self.host.clock.now()
            pool.idle.append(connection)
        self.client = ClientConnection(self.host.frontend)
        self.client.connection_made(cast(asyncio.Transport, DiscardingTransport()))
        rng = random.Random(1)
        requests = [
            b"GET /api/%016x HTTP/1.1\r\nHost: a\r\nX-Call-Id: %016x\r\nX-Call-Class: read\r\n"
            b"X-Budget: 1.0\r\n\r\n" % (i * 2654435761, i)
            for i in range(keys)
        ]
        self.requests = [rng.choice(requests) for _ in range(WARM_UP_REQUESTS + 40 * BATCH_SIZE)]
        self.position = 0
        self.sampled_at = self.host.clock.now()

    def handle_request(self) -> None:
        """Handles a request and its answer."""
        self.position = (self.position + 1) % len(self.requests)
        self.client.data_received(self.requests[self.position])
        request = next(iter(self.host.active_requests.values()))
        connection = next(iter(request.outstanding_attempts.values())).connection
        assert isinstance(connection, Connection)
        connection.data_received(ANSWER)

    def run_batch(self, count: int) -> float:
        """Returns the microseconds per request of a batch; the policy's timer fires as with sockets."""
        started_at = time.perf_counter()
        for i in range(count):
            self.handle_request()
            if i % 50 == 0 and self.host.clock.now() > self.sampled_at + SAMPLE_INTERVAL_MS:
                self.sampled_at = self.host.clock.now()
                self.host.dispatch(Timer("sample"))
            if i % 50 == 0:  # runs the timers of the loop as well
                self.loop.call_soon(self.loop.stop)
                self.loop.run_forever()
        return (time.perf_counter() - started_at) / count * 1e6


def cost_us(nodes: int, keys: int, batches: int) -> tuple[float, float]:
    """Returns the best and the median batch in microseconds per request."""
    bench = ProxyBench(nodes, keys)
    bench.run_batch(WARM_UP_REQUESTS)
    gc.collect()
    costs = [bench.run_batch(BATCH_SIZE) for _ in range(batches)]
    bench.loop.close()
    return min(costs), statistics.median(costs)
