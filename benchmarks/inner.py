"""The proxy's own work for a request, without sockets: parse, decide, write, parse, record, write.

One request is in hand at a time; the sockets are replaced by objects that take what is written. What differs
from a run with sockets is the kernel's and the loop's share, and that no second copies are planned: here an
answer takes a fraction of a millisecond, and a copy would come due with every request.
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
from standins.discovery import member

ANSWER = b"HTTP/1.1 200 OK\r\nX-Hit: hit\r\nX-Box: s-1\r\nContent-Length: 512\r\n\r\n" + b"x" * 512
BATCH = 1_000
WARM = 3_000
SAMPLE_MS = 250.0


class Sink:
    """A transport that takes everything at once."""

    def __init__(self) -> None:
        self.written = 0

    def write(self, data: bytes) -> None:
        self.written += len(data)

    def writelines(self, parts: list[bytes]) -> None:
        self.written += sum(map(len, parts))

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return False

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def set_write_buffer_limits(self, high: int | None = None) -> None:
        pass


class Bench:
    """A proxy with one client and one idle connection to each box."""

    def __init__(self, boxes: int, keys: int) -> None:
        self.loop = uvloop.new_event_loop()
        known = decode_node_list(
            {
                "revision": 1,
                "complete": True,
                "members": [member(f"s-{i}", f"127.0.0.1:{10_000 + i}") for i in range(boxes)],
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
            connection.transport = cast(asyncio.Transport, Sink())
            connection.parser = HttpResponseParser(connection)
            connection.idle_since = self.host.clock.now()
            pool.idle.append(connection)
        self.client = ClientConnection(self.host.frontend)
        self.client.connection_made(cast(asyncio.Transport, Sink()))
        rng = random.Random(1)
        asked = [
            b"GET /api/%016x HTTP/1.1\r\nHost: a\r\nX-Call-Id: %016x\r\nX-Call-Class: read\r\n"
            b"X-Budget: 1.0\r\n\r\n" % (i * 2654435761, i)
            for i in range(keys)
        ]
        self.asked = [rng.choice(asked) for _ in range(WARM + 40 * BATCH)]
        self.at = 0
        self.sampled_at = self.host.clock.now()

    def one(self) -> None:
        """A request and its answer."""
        self.at = (self.at + 1) % len(self.asked)
        self.client.data_received(self.asked[self.at])
        item = next(iter(self.host.active_requests.values()))
        connection = next(iter(item.outstanding_attempts.values())).connection
        assert isinstance(connection, Connection)
        connection.data_received(ANSWER)

    def batch(self, count: int) -> float:
        """Microseconds a request, over so many. The module's own timer comes as often as with sockets."""
        begun = time.perf_counter()
        for i in range(count):
            self.one()
            if i % 50 == 0 and self.host.clock.now() > self.sampled_at + SAMPLE_MS:
                self.sampled_at = self.host.clock.now()
                self.host.dispatch(Timer("sample"))
            if i % 50 == 0:  # the loop's own timers too
                self.loop.call_soon(self.loop.stop)
                self.loop.run_forever()
        return (time.perf_counter() - begun) / count * 1e6


def cost_us(boxes: int, keys: int, batches: int) -> tuple[float, float]:
    """The best and the median batch, in microseconds a request."""
    bench = Bench(boxes, keys)
    bench.batch(WARM)
    gc.collect()
    costs = [bench.batch(BATCH) for _ in range(batches)]
    bench.loop.close()
    return min(costs), statistics.median(costs)
