"""A stand-in discovery: the list of boxes, whole or as a watch on changes (the platform's protocol)."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qs, urlsplit


def member(name: str, host_port: str, **changes: Any) -> dict[str, Any]:
    """A box as discovery lists it."""
    return {
        "id": name,
        "host_port": host_port,
        "locality": "a",
        "flavor": "m",
        "cell": 0,
        "phase": "up",
        "size": 1.0,
        "up_since_ms": 0,
    } | changes


class Registry:
    """Answers `GET /registry/instances` with the list, and its watch once something newer is there."""

    def __init__(self) -> None:
        self.revision = 1
        self.members: dict[str, tuple[int, dict[str, Any]]] = {}
        self.told: dict[str, float] = {}  # loop time at which a box's last phase was written to a watcher
        self.changed = asyncio.Condition()
        self.port = 0
        self.calls = 0
        self.written = 0  # bytes of answers
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()  # on these nothing is said any more
        self.up = asyncio.Event()
        self.up.set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()

    def silence(self) -> int:
        """All that is open now is never answered; how many connections that is."""
        self.silent |= self.writers
        return len(self.writers)

    def reset(self) -> None:
        """Breaks all that is open."""
        for writer in self.writers:
            writer.transport.abort()

    async def put(self, entry: Mapping[str, Any]) -> None:
        """Adds or changes a box; watchers are told."""
        async with self.changed:
            self.revision += 1
            self.members[entry["id"]] = self.revision, dict(entry)
            self.changed.notify_all()

    async def phase(self, name: str, phase: str) -> None:
        """Changes the phase of a box: up, draining or removed."""
        await self.put(self.members[name][1] | {"phase": phase})

    def listing(self, index: int | None) -> dict[str, Any]:
        """The whole list, or what is newer than a revision."""
        whole = index is None or index > self.revision
        since = 0 if index is None or whole else index
        entries = [
            e
            for revision, e in self.members.values()
            if revision > since and not (whole and e["phase"] == "removed")
        ]
        return {"revision": self.revision, "complete": whole, "members": entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.server is None:  # accepted just before the stop, which did not see it
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while line := (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n", 1)[0]:
                self.calls += 1
                query = parse_qs(urlsplit(line.split()[1].decode()).query)
                index = int(query["index"][0]) if "index" in query else None
                if index is not None:
                    await self._wait(index, int(query.get("wait", ["0"])[0]) / 1e3)
                await self.up.wait()
                if writer.is_closing():
                    return  # who asked has gone meanwhile
                if writer in self.silent:
                    await reader.read()  # until who asked has given it up
                    return
                listing = self.listing(index)
                body = json.dumps(listing).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                self.written += len(body)
                now = asyncio.get_running_loop().time()
                self.told.update({e["id"]: now for e in listing["members"]})
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the proxy left, or the stand-in ends
        finally:
            self.writers.discard(writer)
            self.silent.discard(writer)
            writer.close()

    async def _wait(self, index: int, seconds: float) -> None:
        async with self.changed:
            try:
                async with asyncio.timeout(seconds):
                    await self.changed.wait_for(lambda: self.revision > index)
            except TimeoutError:
                pass
