"""An asyncio event loop in simulated time and an in-memory network, on which the proxy's real I/O code runs.

Only the part that this code uses is implemented. Callbacks due at the same time run in the order in which
they were scheduled, so that a run is deterministic. Times are milliseconds on the simulator's clock.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine
from contextvars import Context
from typing import Any, Final, Protocol, cast

from notchflow.emulator.engine import Simulator
from notchflow.net.clock import Clock

Address = tuple[str, int]

EPOCH_MS: Final = 0.0  # wall-clock time at the start of a simulation


class Network(Protocol):
    """Connects addresses to servers."""

    def dial_ms(self, loop: Loop, address: Address) -> float | None:
        """Returns how long a dial takes, or None where the connection is refused."""

    def create_server(self, loop: Loop, address: Address) -> asyncio.Protocol:
        """Creates the protocol that serves a new connection."""


class Loop(asyncio.AbstractEventLoop):
    """The event loop of one process. A killed one runs no more callbacks."""

    def __init__(self, sim: Simulator, network: Network) -> None:
        self.sim, self.network = sim, network
        self.alive = True
        self.pipes: dict[Pipe, None] = {}  # in the order in which they were connected
        self.exceptions: list[str] = []

    def kill(self) -> None:
        """Kills the process; its connections are closed, as by the kernel."""
        self.alive = False
        for pipe in list(self.pipes):
            pipe.abort()

    # -- the interface of asyncio's loop
    def get_debug(self) -> bool:
        """Returns False."""
        return False

    def time(self) -> float:
        """Returns the simulated time in seconds."""
        return self.sim.now / 1e3

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.Handle:
        """Schedules a callback at the current time."""
        handle = asyncio.Handle(callback, args, self, context)
        self.sim.after(0.0, self._run, handle, callback, args, context)
        return handle

    def call_later(  # type: ignore[override]
        self,
        delay: float,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedules a callback after a delay in seconds."""
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedules a callback at a time in seconds."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        due = (
            math.ceil(when * 1e6) / 1e3
        )  # rounded up: a timer that fires early finds nothing due and is set again
        self.sim.at(due, self._run, handle, callback, args, context)
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Does nothing: a cancelled handle is skipped when it comes due."""

    def _run(
        self,
        handle: asyncio.Handle,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: Context | None,
    ) -> None:
        if self.alive and not handle.cancelled():
            if context is None:
                callback(*args)
            else:
                context.run(callback, *args)

    def create_future(self) -> asyncio.Future[Any]:
        """Creates a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Coroutine[Any, Any, Any], **_: Any) -> asyncio.Task[Any]:  # type: ignore[override]
        """Creates a task of this loop."""
        return asyncio.Task(coro, loop=self)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Records an unhandled exception."""
        self.exceptions.append(str(context.get("exception") or context.get("message")))

    async def create_connection(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **_: Any
    ) -> tuple[asyncio.Transport, Any]:
        """Dials an address in the simulated network."""
        waiter = self.create_future()
        address = cast(Address, (host, port))
        dial_ms = self.network.dial_ms(self, address)
        if dial_ms is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        self.sim.after(dial_ms, self._connected, waiter, address, protocol_factory)
        return cast("tuple[asyncio.Transport, Any]", await waiter)

    def _connected(self, waiter: asyncio.Future[Any], address: Address, factory: Callable[[], Any]) -> None:
        if waiter.done() or not self.alive:
            return
        near, far = Pipe(self, True), Pipe(self, False)
        near.peer, far.peer = far, near
        near.protocol, far.protocol = factory(), self.network.create_server(self, address)
        self.pipes[near] = None
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        waiter.set_result((near, near.protocol))


class Pipe(asyncio.Transport):
    """One end of a connection. Data arrives without delay and in order; there is no flow control on
    writes."""

    def __init__(self, loop: Loop, is_local: bool) -> None:
        super().__init__()
        self.loop, self.is_local = loop, is_local  # the end of the loop's process, or the remote end
        self.peer: Pipe | None = None
        self.protocol: Any = None
        self.closing = self.paused = False
        self.unread: list[bytes] = []

    def write(self, data: Any) -> None:
        """Sends data to the peer."""
        if not self.closing and self.peer is not None:
            self.loop.sim.after(0.0, self.peer._receive, bytes(data))

    def writelines(self, list_of_data: Any) -> None:
        """Sends pieces of data to the peer as one."""
        self.write(b"".join(list_of_data))

    def _receive(self, data: bytes) -> None:
        if self.closing:
            return
        if self.paused:
            self.unread.append(data)
        else:
            self.protocol.data_received(data)

    def close(self) -> None:
        """Closes both ends."""
        if not self.closing:
            self.closing = True
            self.loop.pipes.pop(self, None)
            self.loop.sim.after(0.0, self._connection_lost)
            if self.peer is not None:
                self.loop.sim.after(0.0, self.peer.close)  # after all data written before

    abort = close

    def _connection_lost(self) -> None:
        if self.loop.alive or not self.is_local:
            self.protocol.connection_lost(None)

    def is_closing(self) -> bool:
        """Whether this end is closed."""
        return self.closing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignored: writes are never buffered."""

    def get_write_buffer_size(self) -> int:
        """Returns 0."""
        return 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns the default."""
        return default

    def pause_reading(self) -> None:
        """Holds back incoming data."""
        self.paused = True

    def resume_reading(self) -> None:
        """Delivers the data that was held back."""
        self.paused = False
        pending, self.unread = self.unread, []
        for data in pending:
            self.loop.sim.after(0.0, self._receive, data)


class SimulatedClock(Clock):
    """The proxy's clock on a simulated loop."""

    __slots__ = ()

    def __init__(self, loop: Loop) -> None:
        self.loop, self.offset_ms = loop, EPOCH_MS

    def now(self) -> float:
        """Returns the simulated wall-clock time in milliseconds."""
        return self.offset_ms + self.loop.time() * 1e3
