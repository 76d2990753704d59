"""The links between the processes of one proxy: a Unix socket in their shared folder carries state and
descriptors."""

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
from notchflow.operations.handover import FrameReader, HandoverError, LimitShares, encode_frame

log = logging.getLogger(__name__)

# The old process may be in a long turn of its loop; it serves the clients meanwhile.
PEER_TIMEOUT_S: Final = 1.0
READ_SIZE: Final = 64 << 10
MAX_DESCRIPTORS_PER_FRAME: Final = 64
USAGE_REPORT_INTERVAL_MS: Final = 100.0
MALFORMED_FRAME_ERRORS: Final = (
    OSError,
    HandoverError,
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
)


class HandoverHost(Protocol):
    """What the links need of the process at this end."""

    loop: asyncio.AbstractEventLoop
    clock: Clock

    def call_at(self, due: float, call: Callable[..., None], argument: Any = None) -> TimerId:
        """Calls back at a time in milliseconds on the clock."""

    def usage(self) -> tuple[int, int]:
        """Returns the number of descriptors in use and the number of buffered bytes."""

    def adopt_client_connection(self, sock: socket.socket) -> None:
        """Serves a client connection that another process handed over."""

    def adopt_node_connection(self, sock: socket.socket, node: int, address: str, idle_ms: float) -> None:
        """Keeps a connection to a node that another process handed over after `idle_ms` of idle time, or
        closes it."""

    def export_state(self) -> dict[str, Any]:
        """Returns the state that a new process starts from."""

    def apply_update(self, update: dict[str, Any]) -> None:
        """Applies an update from another process: changes to the list, or the start or end of standby. A
        ValueError, TypeError or KeyError says that it is malformed."""

    def apply_request_ids(self, claimed: list[str], released: list[str]) -> None:
        """Applies which request ids another process passes on, and which of them did not run."""

    def apply_limit_shares(self, shares: LimitShares) -> None:
        """Applies this process's part of the limits from now on."""


class HandoverSocket:
    """The Unix socket at which the processes of one proxy find each other. Its path goes through the
    descriptor of the folder, as the path of a Unix socket is limited to 107 bytes."""

    def __init__(self, folder: str, name: str) -> None:
        self.folder_fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        self.name = f"notchflow-{re.sub('[^A-Za-z0-9_-]', '_', name)[:40]}.sock"

    def path(self, name: str | None = None) -> str:
        """Returns a path to a socket in the folder, however long the folder's own path is."""
        return f"/proc/self/fd/{self.folder_fd}/{name or self.name}"

    def connect(self) -> socket.socket | None:
        """Returns a connection to the running process, or None if there is none: a socket file without a
        listener is stale."""
        sock = socket.socket(socket.AF_UNIX)
        sock.settimeout(PEER_TIMEOUT_S)
        try:
            sock.connect(self.path())
        except OSError:
            sock.close()
            return None
        return sock

    def listen(self) -> socket.socket:
        """Opens the listening socket and renames it into place, so that the name switches to this process
        atomically."""
        own = f"{self.name}.{os.getpid()}"
        with contextlib.suppress(FileNotFoundError):
            os.unlink(own, dir_fd=self.folder_fd)
        sock = socket.socket(socket.AF_UNIX)
        sock.setblocking(False)
        sock.bind(self.path(own))
        sock.listen(8)
        os.rename(own, self.name, src_dir_fd=self.folder_fd, dst_dir_fd=self.folder_fd)
        return sock


class HandoverLink:
    """A connection to another process of this proxy; it closes when that process ends. Descriptors of open
    connections are passed along with a frame, as SCM_RIGHTS messages."""

    def __init__(
        self, handover: Handover, sock: socket.socket, is_successor: bool, reader: FrameReader
    ) -> None:
        self.handover, self.sock, self.is_successor, self.frame_reader = handover, sock, is_successor, reader
        self.loop = handover.host.loop
        sock.setblocking(False)
        self.received_descriptors: deque[int] = deque()  # kept until their frame is complete
        self.send_queue: deque[tuple[bytes, list[int]]] = deque()
        self.closed = False
        # whether the other process accepts connections to nodes: an older program does not
        self.takes_node_connections = False
        self.loop.add_reader(sock, self._read)

    def send(self, frame: dict[str, Any], descriptors: Sequence[int] = ()) -> None:
        """Sends a frame. The descriptors are closed here once they have been sent."""
        self.send_queue.append((encode_frame(frame), list(descriptors)))
        if len(self.send_queue) == 1:
            self._write()

    def _write(self) -> None:
        try:
            while self.send_queue:
                data, descriptors = self.send_queue[0]
                sent = socket.send_fds(self.sock, [data], descriptors)
                _close_all(descriptors)
                if sent < len(data):
                    self.send_queue[0] = data[sent:], []
                else:
                    self.send_queue.popleft()
            self.loop.remove_writer(self.sock)
        except BlockingIOError:
            self.loop.add_writer(self.sock, self._write)
        except OSError as error:
            self.close(str(error))

    def _read(self) -> None:
        try:
            data, descriptors, _, _ = socket.recv_fds(self.sock, READ_SIZE, MAX_DESCRIPTORS_PER_FRAME)
            self.received_descriptors.extend(descriptors)
            if not data:
                self.close("the process has ended")
                return
            self.handle_frames(self.frame_reader.feed(data))
        except BlockingIOError:
            return
        except (OSError, HandoverError) as error:
            self.close(str(error))

    def handle_frames(self, frames: Iterable[dict[str, Any]]) -> None:
        """Handles received frames. The link to a process that sends malformed frames is closed."""
        try:
            for frame in frames:
                self._handle_frame(frame)
        except MALFORMED_FRAME_ERRORS as error:
            self.close(str(error))

    def _handle_frame(self, frame: dict[str, Any]) -> None:
        if "used" in frame:
            self.handover.record_usage(self, float(frame["used"]), float(frame["held"]))
        if "news" in frame:
            self.handover.host.apply_update(frame["news"])
            # processes link in a chain, so none receives an update twice
            self.handover.send_update(frame["news"], self)
        if "request_ids" in frame:
            claimed, released = frame["request_ids"]["claimed"], frame["request_ids"]["released"]
            self.handover.host.apply_request_ids(claimed, released)
            self.handover.send_request_ids(claimed, released, self)
        node_connections = frame.get("boxes", ())
        if len(node_connections) > len(self.received_descriptors):
            raise HandoverError("more node connections announced than descriptors received")
        clients = min(int(frame.get("clients", 0)), len(self.received_descriptors) - len(node_connections))
        if node_connections or clients:
            self.handover.record_transfer(self, -len(node_connections) - clients)
        for node, address, idle_ms in node_connections:
            sock = socket.socket(fileno=self.received_descriptors.popleft())
            self.handover.host.adopt_node_connection(sock, int(node), str(address), float(idle_ms))
        for _ in range(clients):
            self.handover.host.adopt_client_connection(
                socket.socket(fileno=self.received_descriptors.popleft())
            )
        self.takes_node_connections = bool(frame.get("takes_boxes", self.takes_node_connections))

    def close(self, reason: str) -> None:
        """Closes the link: the other process has ended, or its frames are malformed."""
        if self.closed:
            return
        self.closed = True
        log.info("link to another process closed: %s", reason)
        self.loop.remove_reader(self.sock)
        self.loop.remove_writer(self.sock)
        self.sock.close()
        _close_all(self.received_descriptors)
        for _, descriptors in self.send_queue:
            _close_all(descriptors)
        self.send_queue.clear()
        self.handover.link_closed(self)


def _close_all(descriptors: Iterable[int]) -> None:
    for descriptor in descriptors:
        os.close(descriptor)


class Handover:
    """The handover between processes of one proxy: the listening socket, the links, and the state received at
    the start."""

    def __init__(self, host: HandoverHost, folder: str, name: str) -> None:
        self.host = host
        self.handover_socket = HandoverSocket(folder, name)
        self.limit_shares = LimitShares()
        self.links: list[HandoverLink] = []
        self.listener: socket.socket | None = None
        self.predecessor: tuple[socket.socket, FrameReader, list[dict[str, Any]]] | None = None
        self.leaving = False
        self.report_scheduled = False  # the timer of the next usage report is set

    def request_state(self) -> dict[str, Any] | None:
        """Returns the state of the running process, or None if there is none. Blocks, as this process serves
        no clients yet."""
        sock = self.handover_socket.connect()
        if sock is None:
            return None
        reader = FrameReader()
        try:
            while data := sock.recv(READ_SIZE):
                frames = reader.feed(data)
                if frames:
                    self.predecessor = sock, reader, frames[1:]
                    return frames[0]
            log.warning("the process before this one ended during the handover")
        except (OSError, HandoverError) as error:
            log.warning("nothing is taken over from the process before this one: %s", error)
        sock.close()
        return None

    def start(self) -> None:
        """Starts to serve: keeps the link to the predecessor, and listens for a successor."""
        if self.predecessor is not None:
            (sock, reader, more), self.predecessor = self.predecessor, None
            link = HandoverLink(self, sock, False, reader)
            self._add_link(link)
            # Received along with the state; they report the usage of the other process.
            link.handle_frames(more)
        self._listen()

    def _listen(self) -> None:
        self._close_listener()
        try:
            self.listener = self.handover_socket.listen()
        except OSError as error:
            log.warning("the process after this one will begin from nothing: %s", error)
            return
        self.host.loop.add_reader(self.listener, self._accept)

    def _close_listener(self) -> None:
        if self.listener is not None:
            self.host.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def _accept(self) -> None:
        assert self.listener is not None
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        link = HandoverLink(self, sock, True, FrameReader())
        link.send(self.host.export_state())
        self._add_link(link)

    def _add_link(self, link: HandoverLink) -> None:
        self.links.append(link)
        self.limit_shares.add_process(link)
        self.host.apply_limit_shares(self.limit_shares)
        if not self.report_scheduled:
            self._report_usage()

    def _report_usage(self, _: object = None) -> None:
        """Reports the usage of this process to the others, as long as there are any."""
        self.report_scheduled = bool(self.links)
        if self.report_scheduled:
            used, held = self.host.usage()
            self._broadcast({"used": used, "held": held, "takes_boxes": True})
            self.host.call_at(self.host.clock.now() + USAGE_REPORT_INTERVAL_MS, self._report_usage)

    def send_update(self, update: dict[str, Any], source: HandoverLink | None = None) -> None:
        """Sends an update to the other processes, except the one that it came from."""
        self._broadcast({"news": update}, source)

    def send_request_ids(
        self, claimed: list[str], released: list[str], source: HandoverLink | None = None
    ) -> None:
        """Tells the other processes, except the source, which request ids are passed on, and which of them
        did not run."""
        self._broadcast({"request_ids": {"claimed": claimed, "released": released}}, source)

    def _broadcast(self, frame: dict[str, Any], exclude: HandoverLink | None = None) -> None:
        for link in list(self.links):  # a link that fails is removed from the list while it is written to
            if link is not exclude:
                link.send(frame)

    def record_transfer(self, link: HandoverLink, descriptors: int) -> None:
        """Counts descriptors handed over to that process or, if negative, received from it."""
        self.limit_shares.record_transfer(link, descriptors)
        self.host.apply_limit_shares(self.limit_shares)

    def send_client_connections(self, link: HandoverLink, descriptors: list[int]) -> None:
        """Hands over client connections."""
        self.record_transfer(link, len(descriptors))
        link.send({"clients": len(descriptors)}, descriptors)

    def send_node_connections(
        self, link: HandoverLink, node_connections: list[tuple[int, str, float]], descriptors: list[int]
    ) -> None:
        """Hands over connections to nodes: node, address and idle time in milliseconds of each."""
        self.record_transfer(link, len(descriptors))
        link.send({"boxes": node_connections}, descriptors)

    def record_usage(self, link: HandoverLink, used: float, held: float) -> None:
        """Stores the usage that another process reported."""
        self.limit_shares.record_usage(link, used, held)
        self.host.apply_limit_shares(self.limit_shares)

    def link_closed(self, link: HandoverLink) -> None:
        """Removes a closed link. If it led to a successor, this process goes on and listens for another
        one."""
        if link in self.links:
            self.links.remove(link)
        self.limit_shares.remove_process(link)
        self.host.apply_limit_shares(self.limit_shares)
        if link.is_successor and not self.leaving:
            self._listen()

    @property
    def successor(self) -> HandoverLink | None:
        """The link to the process that takes over, if there is one."""
        return next((link for link in reversed(self.links) if link.is_successor), None)

    @property
    def is_sending(self) -> bool:
        """Whether frames to other processes are still being sent."""
        return any(link.send_queue for link in self.links)

    def begin_shutdown(self) -> None:
        """Stops listening for a successor. The links stay until the process ends, as it still uses its part
        of the limits."""
        self.leaving = True
        self._close_listener()

    def close(self) -> None:
        """Closes all links."""
        self.begin_shutdown()
        for link in list(self.links):
            link.close("this process is stopping")
        os.close(self.handover_socket.folder_fd)
