"""Transport of the cluster protocols: UDP and TCP sockets and one timer.

All run on the event loop that serves clients. A separate thread would answer probes while that loop hangs, so
that the fleet would hold an instance alive that serves nobody. Datagrams per loop turn, concurrent exchanges,
and the size and duration of each are bounded.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import struct
import time
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

from notchflow.cluster.actions import Action, Datagram, Exchange, MembershipEvent, PersistIncarnation
from notchflow.cluster.addresses import AddressBook, Endpoint, address_family, parse_numeric_address
from notchflow.cluster.local_state import Sender
from notchflow.cluster.members import Members
from notchflow.cluster.messages import (
    DATAGRAM_BYTES_MAX,
    FRAME_BYTES_MAX,
    VERSION,
    Denial,
    Envelope,
    ForeignMessageError,
    MalformedMessageError,
    Message,
    ReplayWindow,
    Sync,
    UnknownVersionError,
    decode_message,
    encode_message,
)
from notchflow.cluster.model import Incarnation
from notchflow.net.node_list import parse_address

log = logging.getLogger(__name__)

DATAGRAMS_PER_TURN: Final = 64  # read in one turn of the event loop
RECEIVE_BUFFER_BYTES: Final = 1 << 20  # kernel buffer for datagrams while the loop is busy
INCOMING_EXCHANGES_MAX, OUTGOING_EXCHANGES_MAX = 16, 8  # concurrent exchanges, by initiator
OUTGOING_FRAMES_MAX: Final = 32  # concurrent messages too large for a datagram
EXCHANGE_TIMEOUT_S: Final = 1.0
LATE_TIMER_MS: Final = 2.0  # a timer later than this means that the loop was busy
REPORTED_SOURCES_MAX: Final = 64  # endpoints reported for unusable messages; further ones are only counted
LENGTH_PREFIX: Final = struct.Struct("!I")


class ClusterTransport:
    """The cluster sockets of one instance; drives the membership protocol."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        core: Members,
        secret: bytes,
        listen: str,
        book: Mapping[str, str],
        persist: Callable[[Incarnation], None],
        on_event: Callable[[MembershipEvent], None],
    ) -> None:
        self.loop, self.core, self.secret = loop, core, secret
        self.listen = parse_address(listen)
        self.address_book = AddressBook(book)
        self.persist, self.on_event = persist, on_event
        self.counter = 0
        self.replay_windows: dict[str, tuple[Incarnation, ReplayWindow]] = {}
        self.metrics: Counter[str] = Counter()
        self.reported_sources: dict[str, str] = {}
        self.udp: socket.socket | None = None
        self.tcp: socket.socket | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = float("inf")
        self.tasks: set[asyncio.Task[None]] = set()
        self.incoming_exchanges = self.outgoing_exchanges = self.outgoing_frames = 0
        self.closed = False
        # Handlers of messages beside membership, by message type; each returns the answer, if any.
        self.handlers: dict[type, Callable[[float, Sender, Message], Message | None]] = {}

    # -- lifecycle
    def bind(self) -> None:
        """Opens both sockets; OSError if the address is in use."""
        kind = address_family(self.listen[0])
        self.tcp = socket.create_server(self.listen, family=kind, backlog=64)
        try:
            self.udp = socket.socket(kind, socket.SOCK_DGRAM)
            self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self.udp.bind(self.listen)
        except OSError:
            self.close()
            raise
        self.tcp.setblocking(False)
        self.udp.setblocking(False)

    def start(self) -> None:
        """Starts to receive, and starts the membership protocol."""
        assert self.udp is not None and self.tcp is not None
        self.loop.add_reader(self.udp, self._on_readable)
        self.loop.add_reader(self.tcp, self._on_connection)
        self._perform(self.core.start(self.now()))

    def leave(self) -> None:
        """Announces to the other members that this instance leaves."""
        if not self.closed:
            self._perform(self.core.leave(self.now()))

    def close(self) -> None:
        """Closes the sockets and cancels the timer and all exchanges."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        for task in self.tasks:
            task.cancel()
        for sock in (self.udp, self.tcp):
            if sock is not None:
                self.loop.remove_reader(sock)
                sock.close()
        self.udp = self.tcp = None

    @staticmethod
    def now() -> float:
        """Monotonic time in milliseconds."""
        return time.monotonic() * 1e3

    # -- actions and timer
    def _perform(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Datagram(name, address, body, _):
                    endpoint = self.address_book.endpoint_for(name, address)
                    if endpoint is not None:
                        self._send(endpoint, name, body)
                case Exchange(name, address, body):
                    self._start_exchange(name, address, body)
                case PersistIncarnation(incarnation):
                    self.persist(incarnation)
                case MembershipEvent():
                    self.on_event(action)
        self._schedule_timer()

    def _perform_for_source(self, actions: Sequence[Action], source: Endpoint) -> None:
        """Performs the actions that follow from a datagram; replies go to its source, unless the receiver has
        a configured address."""
        for action in actions:
            if (
                isinstance(action, Datagram)
                and action.reply_to_source
                and action.name not in self.address_book.configured
            ):
                self._send(source, action.name, action.body)
            else:
                self._perform((action,))
        self._schedule_timer()

    def _schedule_timer(self) -> None:
        due = self.core.next_timer_at
        if due == self.timer_at or self.closed:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at, self.timer = due, None
        if due < float("inf"):
            self.timer = self.loop.call_later(max(due - self.now(), 0.0) / 1e3, self._on_timer, due, False)

    def _on_timer(self, due: float, deferred: bool) -> None:
        if self.closed:
            return
        now = self.now()
        if not deferred and now > due + LATE_TIMER_MS:
            # The loop was busy: read acks that wait in the kernel before timeouts are evaluated.
            self.timer = self.loop.call_later(0.0005, self._on_timer, due, True)
            return
        self.timer_at, self.timer = float("inf"), None
        self._perform(self.core.tick(now))

    # -- sending
    def _advertised_address(self, name: str) -> str:
        """Address that a member advertises; empty if unknown."""
        record = self.core.view.get(name)
        return record.address if record is not None else ""

    def _encode(self, to: str, body: Message) -> bytes:
        self.counter += 1
        incarnation = self.core.name_claim.incarnation
        return encode_message(self.secret, Envelope(self.core.name, incarnation, self.counter, to, body))

    def _send(self, endpoint: Endpoint, to: str, body: Message) -> None:
        data = self._encode(to, body)
        if len(data) > DATAGRAM_BYTES_MAX:
            self._send_large(endpoint, data)
            return
        self.metrics["datagrams_out"] += 1
        self.metrics["bytes_out"] += len(data)
        try:
            if self.udp is not None:
                self.udp.sendto(data, endpoint)
        except OSError as error:  # the send buffer is full or nobody listens: treated as packet loss
            self.metrics["unsent"] += 1
            if error.errno not in (errno.EAGAIN, errno.ECONNREFUSED, errno.ENOBUFS):
                log.debug("datagram not sent: %s", error)

    def _send_large(self, endpoint: Endpoint, data: bytes) -> None:
        """Sends a message that is too large for a datagram over a TCP connection; it may be lost as well."""
        if self.outgoing_frames >= OUTGOING_FRAMES_MAX or len(data) > FRAME_BYTES_MAX:
            self.metrics["too_long"] += 1
            return
        self.outgoing_frames += 1
        self._spawn(self._send_frame(endpoint, data))

    async def _send_frame(self, endpoint: Endpoint, data: bytes) -> None:
        sock = socket.socket(address_family(endpoint[0]), socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                await self.loop.sock_connect(sock, endpoint)
                await self._write_frame(sock, data)
                self.metrics["frames_out"] += 1
        except (OSError, TimeoutError):
            self.metrics["frames_failed"] += 1
        finally:
            self.outgoing_frames -= 1
            sock.close()

    # -- receiving
    def _on_readable(self) -> None:
        for _ in range(DATAGRAMS_PER_TURN):
            if self.udp is None:
                return
            try:
                data, source = self.udp.recvfrom(DATAGRAM_BYTES_MAX + 1)
            except BlockingIOError:
                return
            except OSError:  # ICMP error for a datagram sent earlier
                continue
            self.metrics["datagrams_in"] += 1
            self.metrics["bytes_in"] += len(data)
            self._on_datagram((source[0], source[1]), data)

    def _on_datagram(self, source: Endpoint, data: bytes) -> None:
        try:
            envelope = decode_message(self.secret, data)
        except UnknownVersionError as error:
            if self._report_unusable(
                source, "version", f"uses protocol version {error}; this one supports up to {VERSION}"
            ):
                self._send(source, "", Denial(f"newest version known: {VERSION}"))
            return
        except (ForeignMessageError, MalformedMessageError) as error:
            self._report_unusable(
                source, "foreign" if isinstance(error, ForeignMessageError) else "malformed", str(error)
            )
            return
        if self._is_acceptable(envelope, source):
            sender = Sender(envelope.name, envelope.incarnation)
            handler = self.handlers.get(type(envelope.body))
            if handler is not None:
                self._call_handler(handler, sender, envelope.body, source)
                return
            actions = self.core.handle_message(self.now(), sender, envelope.body)
            record = self.core.view.get(sender.name)
            if record is not None and record.incarnation == sender.incarnation:
                self.address_book.record_source(sender.name, record.address, source)
            self._perform_for_source(actions, source)

    def _call_handler(
        self,
        handler: Callable[[float, Sender, Message], Message | None],
        sender: Sender,
        body: Message,
        source: Endpoint | None,
    ) -> None:
        """Calls a handler and sends its answer. `source` is the endpoint of a datagram; a message that came
        over a connection is answered at the sender's known address."""
        if not self.core.accepts_from(sender):
            return
        answer = handler(self.now(), sender, body)
        if answer is None:
            return
        if source is None or sender.name in self.address_book.configured:
            self.send(sender.name, answer)
        else:
            self._send(source, sender.name, answer)

    def send(self, name: str, body: Message) -> None:
        """Sends a message to a member; dropped if its address is unknown."""
        endpoint = self.address_book.endpoint_for(name, self._advertised_address(name))
        if endpoint is not None:
            self._send(endpoint, name, body)

    def _is_acceptable(self, envelope: Envelope, source: Endpoint) -> bool:
        """Whether a message is addressed to this instance and is neither its own nor a replay."""
        if envelope.to not in ("", self.core.name):
            if self._report_unusable(
                source, "misled", f"{envelope.name} takes this address for {envelope.to}'s"
            ):
                self._send(source, "", Denial(f"this is {self.core.name}, not {envelope.to}"[:64]))
            return False
        if (envelope.name, envelope.incarnation) == (
            self.core.name,
            self.core.name_claim.incarnation,
        ) and envelope.counter <= self.counter:
            self.metrics["own"] += 1  # sent by this process: its own address is among the seeds
            return False
        window = self.replay_windows.get(envelope.name)
        if window is None or window[0] < envelope.incarnation:
            if window is None and envelope.name not in self.core.view.names:
                return True  # answered with a denial; no state is kept for it
            window = self.replay_windows[envelope.name] = envelope.incarnation, ReplayWindow()
        elif window[0] > envelope.incarnation:
            return True  # an older incarnation: `core` rejects it with an answer
        if window[1].accept(envelope.counter):
            return True
        self.metrics["replayed"] += 1
        return False

    def _report_unusable(self, source: Endpoint, kind: str, why: str) -> bool:
        """Counts an unusable message and reports each endpoint once per kind; True if it was reported now."""
        self.metrics[kind] += 1
        address = "{}:{}".format(*source)
        if self.reported_sources.get(address) == kind or len(self.reported_sources) >= REPORTED_SOURCES_MAX:
            return False
        self.reported_sources[address] = kind
        self.on_event(MembershipEvent("disagree", address, {"kind": kind, "why": why}))
        return True

    # -- exchange of full views
    def _on_connection(self) -> None:
        for _ in range(INCOMING_EXCHANGES_MAX):
            if self.tcp is None:
                return
            try:
                sock, source = self.tcp.accept()
            except OSError:
                return
            sock.setblocking(False)
            if self.incoming_exchanges >= INCOMING_EXCHANGES_MAX:
                self.metrics["exchanges_refused"] += 1
                sock.close()
                continue
            self.incoming_exchanges += 1
            self._spawn(self._serve_exchange(sock, (source[0], source[1])))

    def _spawn(self, work: Any) -> None:
        task: asyncio.Task[None] = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve_exchange(self, sock: socket.socket, source: Endpoint) -> None:
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                envelope = decode_message(self.secret, await self._read_frame(sock))
                if not self._is_acceptable(envelope, source):
                    return
                if not isinstance(envelope.body, Sync):  # a message too large for a datagram
                    handler = self.handlers.get(type(envelope.body))
                    if handler is not None:
                        self._call_handler(
                            handler, Sender(envelope.name, envelope.incarnation), envelope.body, None
                        )
                    return
                sender = Sender(envelope.name, envelope.incarnation)
                answer, actions = self.core.handle_sync(self.now(), sender, envelope.body)
                self._perform(actions)
                if answer is not None:
                    await self._write_frame(sock, self._encode(envelope.name, answer))
                    self.metrics["exchanges_served"] += 1
        except (ForeignMessageError, MalformedMessageError, UnknownVersionError) as error:
            self._report_unusable(source, "foreign", str(error))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.metrics["exchanges_failed"] += 1
        finally:
            self.incoming_exchanges -= 1
            sock.close()

    def _start_exchange(self, name: str, address: str, body: Message) -> None:
        endpoint = self.address_book.endpoint_for(name, address) if name else parse_numeric_address(address)
        if endpoint is None or self.outgoing_exchanges >= OUTGOING_EXCHANGES_MAX:
            return
        self.outgoing_exchanges += 1
        self._spawn(self._run_exchange(endpoint, name, body))

    async def _run_exchange(self, endpoint: Endpoint, name: str, body: Message) -> None:
        sock = socket.socket(address_family(endpoint[0]), socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                await self.loop.sock_connect(sock, endpoint)
                await self._write_frame(sock, self._encode(name, body))
                envelope = decode_message(self.secret, await self._read_frame(sock))
            if self._is_acceptable(envelope, endpoint):
                self.metrics["exchanges_asked"] += 1
                sender = Sender(envelope.name, envelope.incarnation)
                self._perform(self.core.handle_sync_reply(self.now(), sender, envelope.body))
        except (ForeignMessageError, MalformedMessageError, UnknownVersionError) as error:
            self._report_unusable(endpoint, "foreign", str(error))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.metrics["exchanges_failed"] += 1
        finally:
            self.outgoing_exchanges -= 1
            sock.close()

    async def _write_frame(self, sock: socket.socket, data: bytes) -> None:
        self.metrics["bytes_out"] += len(data)
        await self.loop.sock_sendall(sock, LENGTH_PREFIX.pack(len(data)) + data)

    async def _read_frame(self, sock: socket.socket) -> bytes:
        (size,) = LENGTH_PREFIX.unpack(await self._read_exactly(sock, LENGTH_PREFIX.size))
        if size > FRAME_BYTES_MAX:
            raise ForeignMessageError(f"frame of {size} bytes is too long")
        return await self._read_exactly(sock, size)

    async def _read_exactly(self, sock: socket.socket, size: int) -> bytes:
        data = bytearray()
        while len(data) < size:
            part = await self.loop.sock_recv(sock, min(size - len(data), 65_536))
            if not part:
                raise asyncio.IncompleteReadError(bytes(data), size)
            data += part
        return bytes(data)
