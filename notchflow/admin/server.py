"""The administration listener: a separate thread and event loop, and limits on what a client may use.

Nothing here runs on the event loop of the proxy. What is needed from the proxy is scheduled as one call on
the next iteration of that loop; writes to disk are made on the thread of the state.
"""

from __future__ import annotations

import asyncio
import json
import logging
import socket
import threading
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass
from typing import Any, Final

import h11
import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol

from notchflow.admin.operations import ApiProblem
from notchflow.tenancy.limits import TokenBucket
from notchflow.tenancy.problems import whole_seconds

log = logging.getLogger(__name__)
MAX_BUCKETS: Final = 1024  # addresses with a rate bucket; the least recently used one is dropped
KEEP_ALIVE_TIMEOUT_S: Final = 5
SHUTDOWN_TIMEOUT_S: Final = 3.0

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class AdminLimits:
    """What a client may use: bytes of a request head and of a body, seconds to receive each of them, requests
    per second (by address, before its token is checked), and connections of all clients together."""

    head_max: int = 16 << 10
    body_max: int = 64 << 10
    timeout_s: float = 10.0
    rate_per_s: float = 50.0
    burst: float = 100.0
    connections: int = 64


class RequestLimiter:
    """ASGI middleware that enforces the limits on each request before the application sees it."""

    def __init__(self, app: App, limits: AdminLimits, clock: Callable[[], float] = time.monotonic) -> None:
        self.app, self.limits, self.clock = app, limits, clock
        self.buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handles one ASGI connection scope; other types than `http` are ignored."""
        if scope["type"] != "http":
            return
        wait_s = self._retry_after_s((scope.get("client") or ("", 0))[0])
        if wait_s > 0:
            await _send_problem(
                send,
                ApiProblem(
                    429,
                    "too-many",
                    "Too many calls from this address.",
                    {"Retry-After": str(whole_seconds(wait_s))},
                ),
            )
            return
        response_started = False

        async def tracking_send(message: Message) -> None:
            nonlocal response_started
            response_started = True
            await send(message)

        try:
            async with asyncio.timeout(self.limits.timeout_s):
                body = await self._read_body(scope, receive)
            # No timeout from here on: a change that has begun runs to its end and is answered.
            await self.app(scope, _replay(body, receive), tracking_send)
        except TimeoutError:
            if not response_started:
                await _send_problem(
                    send,
                    ApiProblem(
                        408, "too-slow", f"A request has {self.limits.timeout_s:g} s to come.", CLOSE_HEADER
                    ),
                )
        except ApiProblem as error:
            await _send_problem(send, error)
        except ConnectionError:
            pass  # the client disconnected while it sent the body

    def _retry_after_s(self, address: str) -> float:
        now, limits = self.clock(), self.limits
        bucket = self.buckets.pop(address, None) or TokenBucket(limits.burst, now)
        self.buckets[address] = bucket
        if len(self.buckets) > MAX_BUCKETS:
            self.buckets.popitem(last=False)
        return bucket.take(now, limits.rate_per_s, limits.burst)

    async def _read_body(self, scope: Scope, receive: Receive) -> bytes:
        limit = self.limits.body_max
        content_length = next((v for k, v in scope["headers"] if k == b"content-length"), b"0")
        parts: list[bytes] = []
        size = int(content_length) if content_length.isdigit() and int(content_length) > limit else 0
        while size <= limit:
            message = await receive()
            if message["type"] != "http.request":
                raise ConnectionError
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if not message.get("more_body") and size <= limit:
                return b"".join(parts)
        raise ApiProblem(413, "too-large", f"A body has at most {limit} bytes.", CLOSE_HEADER)


CLOSE_HEADER: Final = {"Connection": "close"}


def _replay(body: bytes, receive: Receive) -> Receive:
    """A `receive` that first gives the body that was read already."""
    replayed = False

    async def replay() -> Message:
        nonlocal replayed
        if replayed:
            return await receive()
        replayed = True
        return {"type": "http.request", "body": body, "more_body": False}

    return replay


async def _send_problem(send: Send, error: ApiProblem) -> None:
    headers = [(b"content-type", b"application/problem+json")]
    headers += [(k.lower().encode(), v.encode()) for k, v in error.headers.items()]
    await send({"type": "http.response.start", "status": error.status, "headers": headers})
    await send({"type": "http.response.body", "body": json.dumps(error.body).encode()})


def protocol_class(limits: AdminLimits) -> type[H11Protocol]:
    """uvicorn's protocol with a timeout for the request head, which uvicorn lacks: a client that sends its
    head very slowly could hold a connection forever."""

    class HeadTimeoutProtocol(H11Protocol):
        head_timer: asyncio.TimerHandle | None = None

        def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
            super().connection_made(transport)
            if len(self.connections) > limits.connections:
                transport.close()  # closed without a response: uvicorn's own is not in the OpenAPI document
                return
            self._start_head_timer()

        def data_received(self, data: bytes) -> None:
            super().data_received(data)
            if self.conn.their_state is h11.IDLE:
                self._start_head_timer()
            elif self.head_timer is not None:
                self.head_timer.cancel()
                self.head_timer = None

        def _start_head_timer(self) -> None:
            if self.head_timer is None:
                self.head_timer = self.loop.call_later(limits.timeout_s, self._on_head_timeout)

        def _on_head_timeout(self) -> None:
            self.head_timer = None
            if self.conn.their_state is h11.IDLE and not self.transport.is_closing():
                self.transport.close()

        def connection_lost(self, exc: Exception | None) -> None:
            if self.head_timer is not None:
                self.head_timer.cancel()
                self.head_timer = None
            super().connection_lost(exc)

    return HeadTimeoutProtocol


class AdminServer:
    """The API on its listener. `start` returns once its loop runs, `stop` once its thread has ended or
    `SHUTDOWN_TIMEOUT_S` and 2 s have passed."""

    def __init__(self, app: App, address: tuple[str, int], limits: AdminLimits) -> None:
        self.limiter = RequestLimiter(app, limits)
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.socket(family)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.socket.bind(address)
        except OSError:
            self.socket.close()
            raise
        self.port = int(self.socket.getsockname()[1])
        config = uvicorn.Config(
            self.limiter,
            http=protocol_class(limits),
            ws="none",
            lifespan="off",
            loop="asyncio",
            access_log=False,
            log_config=None,
            server_header=False,
            proxy_headers=False,
            h11_max_incomplete_event_size=limits.head_max,
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
            timeout_graceful_shutdown=int(SHUTDOWN_TIMEOUT_S),
        )
        self.server = uvicorn.Server(config)
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self._run, name="admin", daemon=True)
        self.loop_running = threading.Event()
        self.tasks: set[asyncio.Task[Any]] = set()

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.call_soon(self.loop_running.set)
        try:
            self.loop.run_until_complete(self.server.serve(sockets=[self.socket]))
        except Exception:
            log.exception("the administration listener failed")
        finally:
            self.loop.close()

    def start(self) -> None:
        """Starts the thread and waits until its loop runs."""
        self.thread.start()
        self.loop_running.wait()

    def spawn(self, function: Callable[[], Awaitable[Any]]) -> None:
        """Runs a coroutine function on the loop of this listener, from any thread. A failure is logged."""

        async def run() -> None:
            try:
                await function()
            except Exception:
                log.exception("an administration task failed")

        def create_task() -> None:
            task = self.loop.create_task(run())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

        try:
            self.loop.call_soon_threadsafe(create_task)
        except RuntimeError:
            log.info("the administration listener has stopped; the task is left to the next start")

    def stop(self) -> None:
        """Stops the server, waits for the thread and closes the socket."""
        self.server.should_exit = True
        if self.thread.ident is not None:  # None if the start failed earlier
            self.thread.join(SHUTDOWN_TIMEOUT_S + 2.0)
        self.socket.close()
