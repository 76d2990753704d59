"""An asyncio loop in simulated time, and a network in memory: the proxy's own edges run on them unchanged.

Only what those edges use is there. Callbacks due at one moment run in the order in which they were asked for,
so that a day is the same each time it is played. Times are milliseconds on the simulator's clock.
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

EPOCH_MS: Final = 0.0  # the simulated proxies' wall clock begins here


class Network(Protocol):
    """What answers at addresses."""

    def dial_ms(self, loop: Loop, address: Address) -> float | None:
        """How long a connection takes to come up; none where it is refused."""

    def served_by(self, loop: Loop, address: Address) -> asyncio.Protocol:
        """Who serves a connection that has come up."""


class Loop(asyncio.AbstractEventLoop):
    """The loop of one process. One that was killed runs nothing more."""

    def __init__(self, sim: Simulator, network: Network) -> None:
        self.sim, self.network = sim, network
        self.alive = True
        self.pipes: dict[Pipe, None] = {}  # in the order in which they came up
        self.problems: list[str] = []

    def kill(self) -> None:
        """The process is gone, and the kernel ends its connections."""
        self.alive = False
        for pipe in list(self.pipes):
            pipe.abort()

    # -- what asyncio asks of a loop
    def get_debug(self) -> bool:
        return False

    def time(self) -> float:
        return self.sim.now / 1e3

    def call_soon(  # type: ignore[override]
        self,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.Handle:
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
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        due = math.ceil(when * 1e6) / 1e3  # never early: who finds nothing due would set it again
        self.sim.at(due, self._run, handle, callback, args, context)
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """It is passed over when it comes due."""

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
        return asyncio.Future(loop=self)

    def create_task(self, coro: Coroutine[Any, Any, Any], **_: Any) -> asyncio.Task[Any]:  # type: ignore[override]
        return asyncio.Task(coro, loop=self)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        self.problems.append(str(context.get("exception") or context.get("message")))

    async def create_connection(
        self, protocol_factory: Callable[[], Any], host: Any = None, port: Any = None, **_: Any
    ) -> tuple[asyncio.Transport, Any]:
        waiter = self.create_future()
        address = cast(Address, (host, port))
        wait = self.network.dial_ms(self, address)
        if wait is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        self.sim.after(wait, self._up, waiter, address, protocol_factory)
        return cast("tuple[asyncio.Transport, Any]", await waiter)

    def _up(self, waiter: asyncio.Future[Any], address: Address, factory: Callable[[], Any]) -> None:
        if waiter.done() or not self.alive:
            return
        near, far = Pipe(self, True), Pipe(self, False)
        near.other, far.other = far, near
        near.protocol, far.protocol = factory(), self.network.served_by(self, address)
        self.pipes[near] = None
        far.protocol.connection_made(far)
        near.protocol.connection_made(near)
        waiter.set_result((near, near.protocol))


class Pipe(asyncio.Transport):
    """One end of a connection. What is written arrives in the same moment, in order, never held back."""

    def __init__(self, loop: Loop, own: bool) -> None:
        super().__init__()
        self.loop, self.own = loop, own  # the end of the loop's process, or the one far away
        self.other: Pipe | None = None
        self.protocol: Any = None
        self.closing = self.paused = False
        self.unread: list[bytes] = []

    def write(self, data: Any) -> None:
        if not self.closing and self.other is not None:
            self.loop.sim.after(0.0, self.other._arrived, bytes(data))

    def writelines(self, list_of_data: Any) -> None:
        self.write(b"".join(list_of_data))

    def _arrived(self, data: bytes) -> None:
        if self.closing:
            return
        if self.paused:
            self.unread.append(data)
        else:
            self.protocol.data_received(data)

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.loop.pipes.pop(self, None)
            self.loop.sim.after(0.0, self._lost)
            if self.other is not None:
                self.loop.sim.after(0.0, self.other.close)  # after all that was written

    abort = close

    def _lost(self) -> None:
        if self.loop.alive or not self.own:
            self.protocol.connection_lost(None)

    def is_closing(self) -> bool:
        return self.closing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Nothing is ever held back."""

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False
        held, self.unread = self.unread, []
        for data in held:
            self.loop.sim.after(0.0, self._arrived, data)


class SimulatedClock(Clock):
    """The proxy's time where the loop is simulated."""

    __slots__ = ()

    def __init__(self, loop: Loop) -> None:
        self.loop, self.offset_ms = loop, EPOCH_MS

    def now(self) -> float:
        return self.offset_ms + self.loop.time() * 1e3
