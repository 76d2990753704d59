"""The discovery client: performs the calls that `watch` decides on, and applies the lists of nodes."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from math import inf

from notchflow.interface import ListKind, Membership
from notchflow.net.bounded_reads import MAX_READ_BYTES, READ_SHARE
from notchflow.net.clock import Clock
from notchflow.net.connection import Connection
from notchflow.net.exchange import DiscoveryHost, UpstreamResponse
from notchflow.net.idle_limit import IdleLimit
from notchflow.net.node_list import Address, NodeList, decode_node_list, node_id, parse_address
from notchflow.net.pool import Pool
from notchflow.net.reuse import ReuseDelay
from notchflow.net.timers import TimerId, TimerWheel
from notchflow.net.watch import ApplyList, CancelCall, ListWatch, ReportFailure, StartCall, WatchAction

__all__ = [
    "Address",
    "DiscoveryCall",
    "Discovery",
    "NodeList",
    "decode_node_list",
    "node_id",
    "parse_address",
]

log = logging.getLogger(__name__)

REQUEST = b"GET /registry/instances%b HTTP/1.1\r\nHost: discovery\r\n\r\n"
MAX_LIST_BYTES = 4 << 20  # of one response, some ten thousand nodes; memory is scarce
CONNECT_TIMEOUT_MS = 1_000.0
IDLE_TIMEOUT_MS = 1_000.0  # a following call leaves at once; after a longer pause a new connection is made
INITIAL_LIST_TIMEOUT_MS = 500.0  # a new process delays readiness this long for a first answer


class ReservedDescriptors:
    """The host, as connections to discovery use it. Their descriptors come from a reserve, so that a proxy
    that has used up all others still receives the list. `host.RESERVED_DESCRIPTORS` includes the two that may
    be open."""

    def __init__(self, host: DiscoveryHost) -> None:
        self.loop: asyncio.AbstractEventLoop = host.loop
        self.clock: Clock = host.clock
        self.timers: TimerWheel = host.timers
        self.call_at: Callable[..., TimerId] = host.call_at
        self.call_soon = host.call_soon
        self.buffered_bytes = 0  # lists have memory of their own: clients do not compete with them
        self.buffer_limit = float(READ_SHARE * MAX_LIST_BYTES)
        self.max_read_bytes = MAX_READ_BYTES

    def acquire_descriptor(self) -> bool:
        """Always succeeds: the descriptors are reserved."""
        return True

    def release_descriptor(self) -> None:
        """Does nothing: these descriptors are not counted."""

    def has_waiting_dials(self) -> bool:
        """Never: no dial to a node waits for these descriptors."""
        return False

    def count_unsolicited_response(self) -> None:
        """Does nothing: nodes' responses alone are counted."""


class Discovery:
    """Executes the actions of the watch: makes calls, applies lists, reports failures to the policy."""

    def __init__(self, host: DiscoveryHost, address: Address | None, revision: int, seed: int) -> None:
        self.host = host
        self.is_static = address is None  # no discovery service: the configured list never changes
        self.connection_host = ReservedDescriptors(host)
        self.pool = self._pool(address or ("", 0))
        settings = host.settings
        self.list_watch = ListWatch(revision, settings.list_on_request, seed, settings.rules)
        self.calls: dict[int, DiscoveryCall] = {}
        self.timer: TimerId | None = None
        self.timer_at = float("inf")
        self.ready_at = float("inf")

    @property
    def revision(self) -> int | None:
        """The revision of the list that is known; none before the first."""
        return self.list_watch.revision

    @revision.setter
    def revision(self, revision: int) -> None:
        """The revision of the list that is known; none before the first."""
        self.list_watch.revision = revision

    @property
    def list_is_current(self) -> bool:
        """Whether the list is recent enough for a new process to report readiness."""
        watch = self.list_watch
        return (
            watch.last_answer_at is not None
            or watch.on_request
            or self.is_static
            or self.host.clock.now() >= self.ready_at
        )

    def age_ms(self, now: float) -> float | None:
        """Milliseconds since the last answer; none before the first."""
        last_answer_at = self.list_watch.last_answer_at
        return None if last_answer_at is None else now - last_answer_at

    def start(self) -> None:
        """Starts the watch. With lists on request, the policy decides when to make the first call."""
        self.ready_at = self.host.clock.now() + INITIAL_LIST_TIMEOUT_MS
        if not self.host.settings.list_on_request:
            self.watch(True)

    def watch(self, on: bool) -> None:
        """Starts the watch, or ends it after the outstanding call."""
        if not self.is_static:
            self._execute(self.list_watch.set_wanted(self.host.clock.now(), on))

    def settings_changed(self) -> None:
        """Applies the new settings of the host."""
        if not self.is_static:
            settings = self.host.settings
            self._execute(
                self.list_watch.configure(self.host.clock.now(), settings.list_on_request, settings.rules)
            )

    def change_address(self, address: Address) -> None:
        """Continues at another address, from the known revision."""
        if address == self.pool.address:
            return
        log.info("discovery address changed to %s:%d", *address)
        self.is_static = False
        self.pool.retire()
        self.pool = self._pool(address)
        self._execute(self.list_watch.restart(self.host.clock.now()))

    def _pool(self, address: Address) -> Pool:
        return Pool(
            self.connection_host,
            address,
            CONNECT_TIMEOUT_MS,
            IdleLimit(IDLE_TIMEOUT_MS),
            ReuseDelay(),
            dial_price_ms=inf,  # a watch goes on over one connection
        )

    def call_ended(self, number: int, node_list: NodeList | None, problem: str) -> None:
        """A call has ended, with a list or with a problem."""
        del self.calls[number]
        now = self.host.clock.now()
        if node_list is None:
            self._execute(self.list_watch.failed(now, number, problem))
        else:
            self._execute(
                self.list_watch.answered(now, number, node_list, self.host.removes_all_nodes(node_list))
            )

    def _wake(self, _: object = None) -> None:
        self.timer = None
        self._execute(self.list_watch.wake(self.host.clock.now()))

    def _execute(self, actions: list[WatchAction]) -> None:
        for action in actions:
            match action:
                case StartCall(number, revision, wait_ms):
                    query = b"" if revision is None else b"?index=%d&wait=%d" % (revision, wait_ms)
                    self.calls[number] = call = DiscoveryCall(self, number, REQUEST % query)
                    self.pool.send(call, self.host.clock.now())
                case CancelCall(number):
                    self.calls.pop(number).drop()
                case ApplyList(node_list, kind):
                    self.host.apply_discovered(node_list, kind)
                case ReportFailure(problem, watched):
                    self.host.metrics.registry_failures += 1
                    log.warning("discovery: %s", problem)
                    if not watched:
                        self.host.dispatch(Membership(ListKind.FAILED))
        self._arm()

    def _arm(self) -> None:
        due = self.list_watch.wake_at
        if self.timer is not None:
            if due == self.timer_at:
                return
            self.host.timers.cancel(self.timer)
            self.timer = None
        if due < float("inf"):
            self.timer, self.timer_at = self.host.call_at(due, self._wake), due


class DiscoveryCall:
    """A call to discovery, as an exchange on a connection."""

    max_buffered = MAX_LIST_BYTES
    is_held = True  # the request is short
    request_incomplete = False

    def __init__(self, discovery: Discovery, number: int, data: bytes) -> None:
        self.discovery, self.pool = discovery, discovery.pool
        self.number, self.data = number, data
        self.connection: Connection | None = None
        self.ended = False

    def request_data(self, now: float) -> list[bytes]:
        """The bytes to send."""
        return [self.data]

    def begin_stream(self, response: UpstreamResponse) -> bool:
        """Fails the call: the response is too long to be a list."""
        self._end(None, f"an answer of over {MAX_LIST_BYTES} bytes")
        return False

    def stream_data(self, data: bytes) -> None:
        """Never called: responses of discovery are not streamed."""

    def response_received(self, response: UpstreamResponse, sent: bool) -> None:
        """Decodes a complete response; the call fails if it holds no valid list."""
        if response.code != 200:
            self._end(None, f"status {response.code}")
            return
        try:
            node_list = decode_node_list(json.loads(b"".join(response.body)))
        except (ValueError, RecursionError) as error:
            self._end(None, str(error)[:200])
            return
        self._end(node_list, "")

    def connection_failed(self, sent: bool) -> None:
        """The connection failed or could not be established."""
        self._end(None, "connection lost" if sent else "could not connect")

    def may_start(self, now: float) -> bool:
        """Whether the call has not been cancelled."""
        return not self.ended

    def await_descriptor(self) -> None:
        """Never called: the descriptors are reserved."""
        self.not_sent()

    def not_sent(self, _: object = None) -> None:
        """The call was not sent."""
        self._end(None, "not sent")

    def request_written(self) -> None:
        """Does nothing: calls are not counted."""

    def set_write_blocked(self, on: bool) -> None:
        """Never called: a call is written at once."""

    def _end(self, node_list: NodeList | None, problem: str) -> None:
        if not self.ended:
            self.drop()
            self.discovery.call_ended(self.number, node_list, problem)

    def drop(self) -> None:
        """Cancels the call and its connection or dial."""
        self.ended = True
        if self.connection is not None:
            self.connection.abandon()
            self.connection = None
        else:
            self.pool.cancel_dial(self)
