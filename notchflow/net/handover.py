"""The link between a process and the one that takes its place: a Unix socket in the folder both share."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import re
import socket
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Final, Protocol

from notchflow.net.clock import Clock
from notchflow.net.timers import TimerId
from notchflow.operations.handover import HandoverError, Reader, Shares, pack

log = logging.getLogger(__name__)

PATIENCE_S: Final = 1.0  # the old process may be in the midst of a long turn; clients are served meanwhile
PIECE: Final = 64 << 10
FDS_MAX: Final = 64  # connections passed on with one frame
REPORT_MS: Final = 100.0
MALFORMED: Final = (OSError, HandoverError, ValueError, TypeError, KeyError)


class Predecessor(Protocol):
    """What a link needs of the process at its end."""

    loop: asyncio.AbstractEventLoop
    clock: Clock

    def call_at(self, due: float, call: Callable[..., None], argument: Any = None) -> TimerId:
        """Calls back at a time, in milliseconds on the clock."""

    def usage(self) -> tuple[int, int]:
        """Descriptors in use, and bytes held."""

    def adopt_client_connection(self, sock: socket.socket) -> None:
        """Goes on with a client's connection that another process had."""

    def adopt_node_connection(self, sock: socket.socket, node: int, address: str, idle_ms: float) -> None:
        """Keeps a connection to a box that another process had, idle for so long; or closes it."""

    def state(self) -> dict[str, Any]:
        """What the process that takes over is told."""

    def hear(self, news: dict[str, Any]) -> None:
        """What another process passes on: entries of the list, or that clients are sent away or wanted again.
        A ValueError, TypeError or KeyError says that it is malformed."""

    def divide(self, shares: Shares) -> None:
        """Keeps to its part of the limits from now on."""


class Place:
    """Where the processes of one proxy meet. The path goes by way of the folder's descriptor, since the path
    of a Unix socket may have 107 bytes at most."""

    def __init__(self, folder: str, name: str) -> None:
        self.folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self.name = f"notchflow-{re.sub('[^A-Za-z0-9_-]', '_', name)[:40]}.sock"

    def path(self, name: str | None = None) -> str:
        """Where a socket of this folder is reached, however long the folder's own path is."""
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


class Link:
    """A connection to another process of this proxy: its end is that process's end. Open connections of
    clients go along with a frame, as the kernel passes descriptors on."""

    def __init__(self, succession: Succession, sock: socket.socket, heir: bool, reader: Reader) -> None:
        self.succession, self.sock, self.heir, self.reader = succession, sock, heir, reader
        self.loop = succession.owner.loop
        sock.setblocking(False)
        self.descriptors: deque[int] = deque()  # that came, until the frame that tells of them is whole
        self.queue: deque[tuple[bytes, list[int]]] = deque()
        self.over = False
        self.boxes = False  # whether the other process takes connections to boxes: an older program does not
        self.loop.add_reader(sock, self._read)

    def send(self, state: dict[str, Any], descriptors: Sequence[int] = ()) -> None:
        """Writes a frame; the descriptors are closed here once they are on their way."""
        self.queue.append((pack(state), list(descriptors)))
        if len(self.queue) == 1:
            self._write()

    def _write(self) -> None:
        try:
            while self.queue:
                data, descriptors = self.queue[0]
                sent = socket.send_fds(self.sock, [data], descriptors)
                _close_all(descriptors)
                if sent < len(data):
                    self.queue[0] = data[sent:], []
                else:
                    self.queue.popleft()
            self.loop.remove_writer(self.sock)
        except BlockingIOError:
            self.loop.add_writer(self.sock, self._write)
        except OSError as error:
            self.close(str(error))

    def _read(self) -> None:
        try:
            data, descriptors, _, _ = socket.recv_fds(self.sock, PIECE, FDS_MAX)
            self.descriptors.extend(descriptors)
            if not data:
                self.close("it has ended")
                return
            self.take(self.reader.feed(data))
        except BlockingIOError:
            return
        except (OSError, HandoverError) as error:
            self.close(str(error))

    def take(self, states: Iterable[dict[str, Any]]) -> None:
        """Acts on what frames tell; a process that cannot be understood is not listened to any more."""
        try:
            for state in states:
                self._heard(state)
        except MALFORMED as error:
            self.close(str(error))

    def _heard(self, state: dict[str, Any]) -> None:
        if "used" in state:
            self.succession.told(self, float(state["used"]), float(state["held"]))
        if "news" in state:
            self.succession.owner.hear(state["news"])
            self.succession.tell(state["news"], self)  # processes link in a row, so that none hears twice
        boxes = state.get("boxes", ())
        if len(boxes) > len(self.descriptors):
            raise HandoverError("more connections to boxes are told of than came")
        clients = min(int(state.get("clients", 0)), len(self.descriptors) - len(boxes))
        if boxes or clients:
            self.succession.moved(self, -len(boxes) - clients)
        for node, address, idle_ms in boxes:
            sock = socket.socket(fileno=self.descriptors.popleft())
            self.succession.owner.adopt_node_connection(sock, int(node), str(address), float(idle_ms))
        for _ in range(clients):
            self.succession.owner.adopt_client_connection(socket.socket(fileno=self.descriptors.popleft()))
        self.boxes = bool(state.get("takes_boxes", self.boxes))

    def close(self, why: str) -> None:
        """The other process is gone, or cannot be understood."""
        if self.over:
            return
        self.over = True
        log.info("the link to another process ends: %s", why)
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        _close_all(self.descriptors)
        for _, descriptors in self.queue:
            _close_all(descriptors)
        self.queue.clear()
        self.succession.ended(self)


def _close_all(descriptors: Iterable[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)


class Succession:
    """The place, the processes beside this one, and what was taken over at the start."""

    def __init__(self, owner: Predecessor, folder: str, name: str) -> None:
        self.owner = owner
        self.place = Place(folder, name)
        self.shares = Shares()
        self.links: list[Link] = []
        self.listener: socket.socket | None = None
        self.inherited: tuple[socket.socket, Reader, list[dict[str, Any]]] | None = None
        self.leaving = False
        self.reporting = False  # the timer of the next report is set

    def ask(self) -> dict[str, Any] | None:
        """What the process that runs tells, if there is one; waits for it, as this one serves nobody yet."""
        sock = self.place.dial()
        if sock is None:
            return None
        reader = Reader()
        try:
            while data := sock.recv(PIECE):
                states = reader.feed(data)
                if states:
                    self.inherited = sock, reader, states[1:]
                    return states[0]
            log.warning("the process before this one ended in the midst of its handover")
        except (OSError, HandoverError) as error:
            log.warning("nothing is taken over from the process before this one: %s", error)
        sock.close()
        return None

    def begin(self) -> None:
        """This process serves: the next one finds it here, and the one before knows that it runs."""
        if self.inherited is not None:
            (sock, reader, more), self.inherited = self.inherited, None
            link = Link(self, sock, False, reader)
            self._joined(link)
            link.take(more)  # came along with the first, and tells how much the other process uses
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
        link = Link(self, sock, True, Reader())
        link.send(self.owner.state())
        self._joined(link)

    def _joined(self, link: Link) -> None:
        self.links.append(link)
        self.shares.joined(link)
        self.owner.divide(self.shares)
        if not self.reporting:
            self._report()

    def _report(self, _: object = None) -> None:
        """Tells the others what this process uses, as long as there are any."""
        self.reporting = bool(self.links)
        if self.reporting:
            used, held = self.owner.usage()
            self._send({"used": used, "held": held, "takes_boxes": True})
            self.owner.call_at(self.owner.clock.now() + REPORT_MS, self._report)

    def tell(self, news: dict[str, Any], source: Link | None = None) -> None:
        """Passes on to the other processes what was told to this one."""
        self._send({"news": news}, source)

    def _send(self, state: dict[str, Any], but: Link | None = None) -> None:
        for link in list(self.links):  # one that has ended leaves the list as it is written to
            if link is not but:
                link.send(state)

    def moved(self, link: Link, descriptors: int) -> None:
        """Connections have passed to that process, or, where negative, have come from it."""
        self.shares.moved(link, descriptors)
        self.owner.divide(self.shares)

    def pass_clients(self, link: Link, descriptors: list[int]) -> None:
        """Passes clients' connections on."""
        self.moved(link, len(descriptors))
        link.send({"clients": len(descriptors)}, descriptors)

    def pass_boxes(self, link: Link, boxes: list[tuple[int, str, float]], descriptors: list[int]) -> None:
        """Passes connections to boxes on: which box, its address, and for how long each has been idle, in
        milliseconds."""
        self.moved(link, len(descriptors))
        link.send({"boxes": boxes}, descriptors)

    def told(self, link: Link, used: float, held: float) -> None:
        """What another process uses."""
        self.shares.told(link, used, held)
        self.owner.divide(self.shares)

    def ended(self, link: Link) -> None:
        """That process has ended. Where it was to take over, this one goes on and can be found again."""
        if link in self.links:
            self.links.remove(link)
        self.shares.left(link)
        self.owner.divide(self.shares)
        if link.heir and not self.leaving:
            self._listen()

    @property
    def heir(self) -> Link | None:
        """The process that takes over, if one is there."""
        return next((link for link in reversed(self.links) if link.heir), None)

    @property
    def passing(self) -> bool:
        """Whether something is still on its way to the process that takes over."""
        return any(link.queue for link in self.links)

    def leave(self) -> None:
        """This process is to end; the links stay until it does, as it still uses its part of the limits."""
        self.leaving = True
        self._unlisten()

    def shut(self) -> None:
        """Ends all links."""
        self.leave()
        for link in list(self.links):
            link.close("this process ends")
        os.close(self.place.folder)
