"""The link between a process and the one that takes its place: a Unix socket in the folder both share."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import re
import socket
from typing import Any, Final, Protocol, cast

from notchflow.operations.handover import HandoverError, Reader, Shares, pack

log = logging.getLogger(__name__)

PATIENCE_S: Final = 1.0  # the old process may be in the midst of a long turn; clients are served meanwhile
PIECE: Final = 64 << 10


class Predecessor(Protocol):
    """What a link needs of the process at its end."""

    loop: asyncio.AbstractEventLoop

    def state(self) -> dict[str, Any]:
        """What the process that takes over is told."""

    def divide(self, shares: Shares) -> None:
        """Keeps to its part of the limits from now on."""


class Place:
    """Where the processes of one proxy meet. The path goes by way of the folder's descriptor, since the path
    of a Unix socket may have 107 bytes at most."""

    def __init__(self, folder: str, name: str) -> None:
        self.folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self.name = f"notchflow-{re.sub('[^A-Za-z0-9_-]', '_', name)[:40]}.sock"

    def path(self, name: str | None = None) -> str:
        return f"/proc/self/fd/{self.folder}/{name or self.name}"

    def dial(self) -> socket.socket | None:
        """A connection to the process that runs, if one does. A file that nobody listens at is stale."""
        sock = socket.socket(socket.AF_UNIX)
        sock.settimeout(PATIENCE_S)
        try:
            sock.connect(self.path())
        except OSError:
            sock.close()
            return None
        return sock

    def listen(self) -> socket.socket:
        """Takes the place: the name leads here from one moment to the next."""
        own = f"{self.name}.{os.getpid()}"
        with contextlib.suppress(FileNotFoundError):
            os.unlink(own, dir_fd=self.folder)
        sock = socket.socket(socket.AF_UNIX)
        sock.setblocking(False)
        sock.bind(self.path(own))
        sock.listen(8)
        os.rename(own, self.name, src_dir_fd=self.folder, dst_dir_fd=self.folder)
        return sock


class Link(asyncio.Protocol):
    """A connection to another process of this proxy: its end is that process's end."""

    def __init__(self, succession: Succession, heir: bool) -> None:
        self.succession, self.heir = succession, heir
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.succession.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.succession.ended(self)


class Succession:
    """The place, the processes beside this one, and what was taken over at the start."""

    def __init__(self, owner: Predecessor, folder: str, name: str) -> None:
        self.owner = owner
        self.place = Place(folder, name)
        self.shares = Shares()
        self.links: set[Link] = set()
        self.listener: socket.socket | None = None
        self.inherited: socket.socket | None = None
        self.tasks: set[asyncio.Task[Any]] = set()
        self.leaving = False

    def ask(self) -> dict[str, Any] | None:
        """What the process that runs tells, if there is one; waits for it, as this one serves nobody yet."""
        sock = self.place.dial()
        if sock is None:
            return None
        reader = Reader()
        try:
            while data := sock.recv(PIECE):
                state = reader.feed(data)
                if state is not None:
                    sock.setblocking(False)
                    self.inherited = sock
                    return state
            log.warning("the process before this one ended in the midst of its handover")
        except (OSError, HandoverError) as error:
            log.warning("nothing is taken over from the process before this one: %s", error)
        sock.close()
        return None

    def begin(self) -> None:
        """This process serves: the next one finds it here, and the one before knows that it runs."""
        if self.inherited is not None:
            self._adopt(self.inherited, False)
            self.inherited = None
        self._listen()

    def _listen(self) -> None:
        self._unlisten()
        try:
            self.listener = self.place.listen()
        except OSError as error:
            log.warning("the process after this one will begin from nothing: %s", error)
            return
        self.owner.loop.add_reader(self.listener, self._accept)

    def _unlisten(self) -> None:
        if self.listener is not None:
            self.owner.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def _accept(self) -> None:
        assert self.listener is not None
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        self._adopt(sock, True)

    def _adopt(self, sock: socket.socket, heir: bool) -> None:
        task = self.owner.loop.create_task(self._connect(sock, heir))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _connect(self, sock: socket.socket, heir: bool) -> None:
        try:
            await self.owner.loop.create_connection(lambda: Link(self, heir), sock=sock)
        except OSError:
            sock.close()

    def joined(self, link: Link) -> None:
        """Another process runs; the one that is to take over is told what it needs."""
        self.links.add(link)
        self.shares.joined()
        self.owner.divide(self.shares)
        if link.heir and link.transport is not None:
            link.transport.write(pack(self.owner.state()))

    def ended(self, link: Link) -> None:
        """That process has ended. Where it was to take over, this one goes on and can be found again."""
        self.links.discard(link)
        self.shares.left()
        self.owner.divide(self.shares)
        if link.heir and not self.leaving:
            self._listen()

    def leave(self) -> None:
        """This process is to end; the links stay until it does, as it still uses its part of the limits."""
        self.leaving = True
        self._unlisten()

    def shut(self) -> None:
        """Ends all links."""
        self.leave()
        for link in list(self.links):
            if link.transport is not None:
                link.transport.abort()
        os.close(self.place.folder)
