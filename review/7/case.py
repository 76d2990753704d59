"""Case 7: a keyed write is resent, and is whole at a cache node that has forgotten the first one."""

from __future__ import annotations

import asyncio
import socket
import time

from review.support2 import (
    TROUBLE,
    CannotRunError,
    Stage,
    deploy_command,
    local_address,
    main,
    parse_fields,
    proxy_environment,
    read_answer,
    request_head,
    until_ready,
)
from standins.discovery import StandInDiscovery, node_entry

WINDOW_S = 0.75  # for so long all cache nodes drop a repeat
DEADLINE_MS, BUDGET_S = 4_000.0, 3.2
BODY_BYTES = 16 << 20
SLOW_READ_S = 1.8  # in which the node that gets the second attempt reads the body, in pieces
SETTINGS = {
    "Classes": [
        {
            "Name": "slot-set",
            "ObjectiveMs": 3_000.0,
            "DeadlineMs": DEADLINE_MS,
            "Effect": "by_key",
            "Group": "all",
            "WindowMs": WINDOW_S * 1e3,
            "Points": 2.0,
        }
    ],
    "Limits": {
        "Cancel": True,
        "SecondCopies": True,
        "MaxAttempts": 3,
        "DialTimeoutMs": 150.0,
        "ConnIdleMs": 10_000.0,
    },
    "Rules": {"AskWithinMs": 10_000.0, "DrainGraceMs": 250.0},
    "MembershipMode": "pushed",
    "PeersTotal": 2,
}


class Memory:
    """What all cache nodes know of keys: a repeat is dropped for WINDOW_S after the write ran."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.ran_at: dict[str, list[float]] = {}

    def receive(self, node: str, key: str) -> None:
        """A write is whole at a node: it runs, unless it is a repeat that is still known."""
        now, earlier = time.monotonic(), self.ran_at.setdefault(key, [])
        if earlier and now - earlier[-1] < WINDOW_S:
            self.stage.note("dropped", node, key, f"{now - earlier[-1]:.3f} s after it ran")
            return
        earlier.append(now)
        self.stage.note("RAN", node, key, f"run {len(earlier)}")


class CacheNode:
    """A cache node of the protocol page. The first one to get the write resets the connection once it ran."""

    def __init__(self, stage: Stage, name: str, memory: Memory) -> None:
        self.stage, self.name, self.memory = stage, name, memory

    async def start(self) -> str:
        """Listens, with little room for what it has not read yet; returns its address."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        sock.bind(("127.0.0.1", 0))
        await asyncio.start_server(self._serve, sock=sock, limit=64 << 10)
        return f"127.0.0.1:{sock.getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await self._one(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        fields = parse_fields(await reader.readuntil(b"\r\n\r\n"))
        key, left = fields["idempotency-key"], int(fields["content-length"])
        again = bool(self.memory.ran_at.get(key))
        self.stage.note("attempt", self.name, key, f"{left} bytes, X-Budget {fields['x-budget']}")
        while left:
            data = await reader.read(min(left, 64 << 10))
            if not data:
                self.stage.note("given up", self.name, key, f"{left} bytes were missing")
                raise ConnectionError
            left -= len(data)
            if again:
                await asyncio.sleep(SLOW_READ_S * len(data) / BODY_BYTES)
        self.memory.receive(self.name, key)
        if TROUBLE and not again:
            self.stage.note("reset", self.name, "the request has run, its answer is lost")
            writer.transport.abort()
            raise ConnectionError
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


async def case(stage: Stage) -> bool:
    """Whether the write ran once, or again within the window only."""
    memory, registry = Memory(stage), StandInDiscovery()
    await registry.start()
    for name in ("box-1", "box-2"):
        await registry.put(node_entry(name, await CacheNode(stage, name, memory).start()))
    listen = local_address()
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}
    environment = proxy_environment(stage, listen, registry.address, {"limits": limits, "settings": SETTINGS})
    stage.spawn("proxy", deploy_command("run"), environment)
    await until_ready(listen)
    await asyncio.sleep(0.5)
    reader, writer = await asyncio.open_connection(*listen.split(":"))
    head = request_head("PUT", "c1-2026-12-05", "a1", "slot-set", BUDGET_S, BODY_BYTES, "slot-1")
    writer.write(head)
    writer.write(b"v" * BODY_BYTES)
    stage.note("client", "PUT with Idempotency-Key slot-1", f"{BODY_BYTES} bytes, X-Budget {BUDGET_S}")
    try:
        status, _ = await read_answer(reader)
        stage.note("client", "answer", status)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        stage.note("client", "no answer", repr(error))
    await asyncio.sleep(SLOW_READ_S)
    if "slot-1" not in memory.ran_at:
        raise CannotRunError("the write did not run at all")
    return len(memory.ran_at["slot-1"]) == 1


if __name__ == "__main__":
    main(__file__, case)
