"""A stand-in discovery service: the list of nodes, in full or as a watch (the platform's protocol)."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qs, urlsplit


def node_entry(name: str, host_port: str, **changes: Any) -> dict[str, Any]:
    """A node's entry in the list; `changes` override its fields."""
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


class StandInDiscovery:
    """Answers `GET /registry/instances` with the list, and a watch as soon as there is a newer revision."""

    def __init__(self) -> None:
        self.revision = 1
        self.members: dict[str, tuple[int, dict[str, Any]]] = {}
        self.written_at: dict[str, float] = {}  # loop time at which a node's last entry was written
        self.changed = asyncio.Condition()
        self.port = 0
        self.request_count = 0
        self.bytes_written = 0  # bytes of answers
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()  # connections that get no more answers
        self.available = asyncio.Event()
        self.available.set()

    @property
    def address(self) -> str:
        """Its host and port."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Closes the listener and resets all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()

    def silence(self) -> int:
        """Never answers again on the connections that are open now. Returns their number."""
        self.silent |= self.writers
        return len(self.writers)

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in self.writers:
            writer.transport.abort()

    async def put(self, entry: Mapping[str, Any]) -> None:
        """Adds or replaces a node's entry, and wakes the watches."""
        async with self.changed:
            self.revision += 1
            self.members[entry["id"]] = self.revision, dict(entry)
            self.changed.notify_all()

    async def set_phase(self, name: str, phase: str) -> None:
        """Changes the phase of a node: up, draining or removed."""
        await self.put(self.members[name][1] | {"phase": phase})

    def node_list(self, index: int | None) -> dict[str, Any]:
        """The full list, or the entries that are newer than a revision."""
        complete = index is None or index > self.revision
        after_revision = 0 if index is None or complete else index
        entries = [
            e
            for revision, e in self.members.values()
            if revision > after_revision and not (complete and e["phase"] == "removed")
        ]
        return {"revision": self.revision, "complete": complete, "members": entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.server is None:  # accepted just before stop(), which did not see it
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while request_line := (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n", 1)[0]:
                self.request_count += 1
                query = parse_qs(urlsplit(request_line.split()[1].decode()).query)
                index = int(query["index"][0]) if "index" in query else None
                if index is not None:
                    await self._wait(index, int(query.get("wait", ["0"])[0]) / 1e3)
                await self.available.wait()
                if writer.is_closing():
                    return  # the client has left meanwhile
                if writer in self.silent:
                    await reader.read()  # until the client gives up
                    return
                listing = self.node_list(index)
                body = json.dumps(listing).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                self.bytes_written += len(body)
                now = asyncio.get_running_loop().time()
                self.written_at.update({e["id"]: now for e in listing["members"]})
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the proxy has left, or the stand-in stops
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
