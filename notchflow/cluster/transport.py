"""The edge of membership: UDP and TCP sockets and one timer, on the loop that also serves clients.

A thread of its own would answer probes while that loop hangs: the fleet would hold for alive an instance that
serves nobody. On the loop, what is probed is what serves. All is bounded: datagrams a turn, exchanges at a
time, bytes and time of each.
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

READS: Final = 64  # datagrams of one turn of the loop
RECEIVE_BUFFER: Final = 1 << 20  # bytes that the kernel keeps while the loop is busy
SERVED_MAX, ASKED_MAX = 16, 8  # exchanges at a time, of others and of our own
FRAMES_MAX: Final = 32  # long messages on their way at a time
EXCHANGE_S: Final = 1.0
LATE_MS: Final = 2.0
SOURCES_MAX: Final = 64  # places that are told of for what they send; more are counted alone
LENGTH: Final = struct.Struct("!I")


class ClusterTransport:
    """The sockets of one instance, and the core behind them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        core: Members,
        secret: bytes,
        listen: str,
        book: Mapping[str, str],
        keep: Callable[[Incarnation], None],
        tell: Callable[[MembershipEvent], None],
    ) -> None:
        self.loop, self.core, self.secret = loop, core, secret
        self.listen = parse_address(listen)
        self.book = AddressBook(book)
        self.keep, self.tell = keep, tell
        self.counter = 0
        self.windows: dict[str, tuple[Incarnation, ReplayWindow]] = {}
        self.metrics: Counter[str] = Counter()
        self.sources: dict[str, str] = {}
        self.udp: socket.socket | None = None
        self.tcp: socket.socket | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.armed = float("inf")
        self.tasks: set[asyncio.Task[None]] = set()
        self.serving = self.asking = self.framing = 0
        self.closed = False
        # What else is said between members: by the kind of message, who takes it and what it answers.
        self.handlers: dict[type, Callable[[float, Sender, Message], Message | None]] = {}

    # -- life
    def bind(self) -> None:
        """Takes both sockets, before anything else listens. OSError: the address is taken."""
        kind = address_family(self.listen[0])
        self.tcp = socket.create_server(self.listen, family=kind, backlog=64)
        try:
            self.udp = socket.socket(kind, socket.SOCK_DGRAM)
            self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            self.udp.bind(self.listen)
        except OSError:
            self.close()
            raise
        self.tcp.setblocking(False)
        self.udp.setblocking(False)

    def start(self) -> None:
        assert self.udp is not None and self.tcp is not None
        self.loop.add_reader(self.udp, self._readable)
        self.loop.add_reader(self.tcp, self._accept)
        self._do(self.core.start(self.now()))

    def leave(self) -> None:
        """Tells the others that this instance goes."""
        if not self.closed:
            self._do(self.core.leave(self.now()))

    def close(self) -> None:
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
        return time.monotonic() * 1e3

    # -- the core
    def _do(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Datagram(name, address, body, _):
                    at = self.book.at(name, address)
                    if at is not None:
                        self._send(at, name, body)
                case Exchange(name, address, body):
                    self._open(name, address, body)
                case PersistIncarnation(life):
                    self.keep(life)
                case MembershipEvent():
                    self.tell(action)
        self._arm()

    def _answer(self, actions: Sequence[Action], source: Endpoint) -> None:
        """As `_do`, where a datagram from a place led to it: what answers it goes back there, unless the book
        says where its sender is reached."""
        for action in actions:
            if isinstance(action, Datagram) and action.reply_to_source and action.name not in self.book.given:
                self._send(source, action.name, action.body)
            else:
                self._do((action,))
        self._arm()

    def _arm(self) -> None:
        due = self.core.next_timer_at
        if due == self.armed or self.closed:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.armed, self.timer = due, None
        if due < float("inf"):
            self.timer = self.loop.call_later(max(due - self.now(), 0.0) / 1e3, self._fire, due, False)

    def _fire(self, due: float, again: bool) -> None:
        if self.closed:
            return
        now = self.now()
        if not again and now > due + LATE_MS:
            # The loop was busy: answers may be waiting in the kernel, and are read before anybody is judged.
            self.timer = self.loop.call_later(0.0005, self._fire, due, True)
            return
        self.armed, self.timer = float("inf"), None
        self._do(self.core.tick(now))

    # -- what goes out
    def _said(self, name: str) -> str:
        """Where a member says that it is, if anything is known of it."""
        record = self.core.view.get(name)
        return record.address if record is not None else ""

    def _sealed(self, to: str, body: Message) -> bytes:
        self.counter += 1
        life = self.core.name_claim.incarnation
        return encode_message(self.secret, Envelope(self.core.name, life, self.counter, to, body))

    def _send(self, at: Endpoint, to: str, body: Message) -> None:
        data = self._sealed(to, body)
        if len(data) > DATAGRAM_BYTES_MAX:
            self._frame(at, data)
            return
        self.metrics["datagrams_out"] += 1
        self.metrics["bytes_out"] += len(data)
        try:
            if self.udp is not None:
                self.udp.sendto(data, at)
        except OSError as error:  # the kernel's queue is full, or nobody is there: as if it was lost
            self.metrics["unsent"] += 1
            if error.errno not in (errno.EAGAIN, errno.ECONNREFUSED, errno.ENOBUFS):
                log.debug("not sent: %s", error)

    def _frame(self, at: Endpoint, data: bytes) -> None:
        """What is too long for a datagram goes by a connection of its own; it may be lost as well."""
        if self.framing >= FRAMES_MAX or len(data) > FRAME_BYTES_MAX:
            self.metrics["too_long"] += 1
            return
        self.framing += 1
        self._spawn(self._send_frame(at, data))

    async def _send_frame(self, at: Endpoint, data: bytes) -> None:
        sock = socket.socket(address_family(at[0]), socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(EXCHANGE_S):
                await self.loop.sock_connect(sock, at)
                await self._write(sock, data)
                self.metrics["frames_out"] += 1
        except (OSError, TimeoutError):
            self.metrics["frames_failed"] += 1
        finally:
            self.framing -= 1
            sock.close()

    # -- what comes in
    def _readable(self) -> None:
        for _ in range(READS):
            if self.udp is None:
                return
            try:
                data, source = self.udp.recvfrom(DATAGRAM_BYTES_MAX + 1)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram of ours met nobody
                continue
            self.metrics["datagrams_in"] += 1
            self.metrics["bytes_in"] += len(data)
            self._take((source[0], source[1]), data)

    def _take(self, source: Endpoint, data: bytes) -> None:
        try:
            envelope = decode_message(self.secret, data)
        except UnknownVersionError as error:
            if self._odd(source, "version", f"speaks version {error}, and this one up to {VERSION}"):
                self._send(source, "", Denial(f"newest version known: {VERSION}"))
            return
        except (ForeignMessageError, MalformedMessageError) as error:
            self._odd(
                source, "foreign" if isinstance(error, ForeignMessageError) else "malformed", str(error)
            )
            return
        if self._fresh(envelope, source):
            sender = Sender(envelope.name, envelope.incarnation)
            handler = self.handlers.get(type(envelope.body))
            if handler is not None:
                self._handle(handler, sender, envelope.body, source)
                return
            actions = self.core.handle_message(self.now(), sender, envelope.body)
            record = self.core.view.get(sender.name)
            if record is not None and record.incarnation == sender.incarnation:
                self.book.heard(sender.name, record.address, source)
            self._answer(actions, source)

    def _handle(
        self,
        handler: Callable[[float, Sender, Message], Message | None],
        sender: Sender,
        body: Message,
        source: Endpoint | None,
    ) -> None:
        """`source`: where a datagram came from; what came over a connection is answered where its sender is
        known to be."""
        if not self.core.accepts_from(sender):
            return
        answer = handler(self.now(), sender, body)
        if answer is None:
            return
        if source is None or sender.name in self.book.given:
            self.send(sender.name, answer)
        else:
            self._send(source, sender.name, answer)

    def send(self, name: str, body: Message) -> None:
        """Says something to a member, if it is known where it is."""
        at = self.book.at(name, self._said(name))
        if at is not None:
            self._send(at, name, body)

    def _fresh(self, envelope: Envelope, source: Endpoint) -> bool:
        """Whether a message comes for the first time, and was meant for this instance."""
        if envelope.to not in ("", self.core.name):
            if self._odd(source, "misled", f"{envelope.name} takes this address for {envelope.to}'s"):
                self._send(source, "", Denial(f"this is {self.core.name}, not {envelope.to}"[:64]))
            return False
        if (envelope.name, envelope.incarnation) == (
            self.core.name,
            self.core.name_claim.incarnation,
        ) and envelope.counter <= self.counter:
            self.metrics["own"] += 1  # sent by this very instance: an address of its own among the seeds
            return False
        held = self.windows.get(envelope.name)
        if held is None or held[0] < envelope.incarnation:
            if held is None and envelope.name not in self.core.view.names:
                return True  # answered with a denial; nothing is kept of it
            held = self.windows[envelope.name] = envelope.incarnation, ReplayWindow()
        elif held[0] > envelope.incarnation:
            return True  # a former life: the core tells it so, and takes nothing of it
        if held[1].accept(envelope.counter):
            return True
        self.metrics["replayed"] += 1
        return False

    def _odd(self, source: Endpoint, kind: str, why: str) -> bool:
        """Counts what cannot be used, and tells of each place once; whether this was the first time."""
        self.metrics[kind] += 1
        where = "{}:{}".format(*source)
        if self.sources.get(where) == kind or len(self.sources) >= SOURCES_MAX:
            return False
        self.sources[where] = kind
        self.tell(MembershipEvent("disagree", where, {"kind": kind, "why": why}))
        return True

    # -- whole views
    def _accept(self) -> None:
        for _ in range(SERVED_MAX):
            if self.tcp is None:
                return
            try:
                sock, source = self.tcp.accept()
            except OSError:
                return
            sock.setblocking(False)
            if self.serving >= SERVED_MAX:
                self.metrics["exchanges_refused"] += 1
                sock.close()
                continue
            self.serving += 1
            self._spawn(self._serve(sock, (source[0], source[1])))

    def _spawn(self, work: Any) -> None:
        task: asyncio.Task[None] = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, sock: socket.socket, source: Endpoint) -> None:
        try:
            async with asyncio.timeout(EXCHANGE_S):
                envelope = decode_message(self.secret, await self._read(sock))
                if not self._fresh(envelope, source):
                    return
                if not isinstance(envelope.body, Sync):  # what was too long for a datagram
                    handler = self.handlers.get(type(envelope.body))
                    if handler is not None:
                        self._handle(
                            handler, Sender(envelope.name, envelope.incarnation), envelope.body, None
                        )
                    return
                sender = Sender(envelope.name, envelope.incarnation)
                answer, actions = self.core.handle_sync(self.now(), sender, envelope.body)
                self._do(actions)
                if answer is not None:
                    await self._write(sock, self._sealed(envelope.name, answer))
                    self.metrics["exchanges_served"] += 1
        except (ForeignMessageError, MalformedMessageError, UnknownVersionError) as error:
            self._odd(source, "foreign", str(error))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.metrics["exchanges_failed"] += 1
        finally:
            self.serving -= 1
            sock.close()

    def _open(self, name: str, address: str, body: Message) -> None:
        at = self.book.at(name, address) if name else parse_numeric_address(address)
        if at is None or self.asking >= ASKED_MAX:
            return
        self.asking += 1
        self._spawn(self._ask(at, name, body))

    async def _ask(self, at: Endpoint, name: str, body: Message) -> None:
        sock = socket.socket(address_family(at[0]), socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            async with asyncio.timeout(EXCHANGE_S):
                await self.loop.sock_connect(sock, at)
                await self._write(sock, self._sealed(name, body))
                envelope = decode_message(self.secret, await self._read(sock))
            if self._fresh(envelope, at):
                self.metrics["exchanges_asked"] += 1
                sender = Sender(envelope.name, envelope.incarnation)
                self._do(self.core.handle_sync_reply(self.now(), sender, envelope.body))
        except (ForeignMessageError, MalformedMessageError, UnknownVersionError) as error:
            self._odd(at, "foreign", str(error))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.metrics["exchanges_failed"] += 1
        finally:
            self.asking -= 1
            sock.close()

    async def _write(self, sock: socket.socket, data: bytes) -> None:
        self.metrics["bytes_out"] += len(data)
        await self.loop.sock_sendall(sock, LENGTH.pack(len(data)) + data)

    async def _read(self, sock: socket.socket) -> bytes:
        (size,) = LENGTH.unpack(await self._exactly(sock, LENGTH.size))
        if size > FRAME_BYTES_MAX:
            raise ForeignMessageError(f"a frame of {size} bytes")
        return await self._exactly(sock, size)

    async def _exactly(self, sock: socket.socket, size: int) -> bytes:
        data = bytearray()
        while len(data) < size:
            part = await self.loop.sock_recv(sock, min(size - len(data), 65_536))
            if not part:
                raise asyncio.IncompleteReadError(bytes(data), size)
            data += part
        return bytes(data)
