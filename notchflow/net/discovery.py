"""Discovery: the list of cache nodes, followed by calls as `watch` says."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from notchflow.interface import ListKind, Membership
from notchflow.net.clock import Clock
from notchflow.net.connection import Connection, IdleLimit
from notchflow.net.exchange import DiscoveryHost, UpstreamResponse
from notchflow.net.node_list import Address, NodeList, decode_node_list, node_id, parse_address
from notchflow.net.pool import Pool
from notchflow.net.timers import TimerId, TimerWheel
from notchflow.net.watch import ApplyList, CancelCall, ListWatch, ReportFailure, StartCall, WatchAction

__all__ = ["Address", "Call", "Discovery", "NodeList", "decode_node_list", "node_id", "parse_address"]

log = logging.getLogger(__name__)

REQUEST = b"GET /registry/instances%b HTTP/1.1\r\nHost: discovery\r\n\r\n"
LIST_MAX = 4 << 20  # bytes of one answer: some ten thousand nodes; more is a fault, and memory is scarce
CONNECT_MS = 1_000.0
IDLE_MS = 1_000.0  # the next call leaves at once, or it is a new beginning
PATIENCE_MS = 500.0  # a new process waits so long to hear what the agent has, before it says that it is ready


class Reserve:
    """The host as discovery's connections see it: their descriptors are kept apart, for a proxy that has used
    up its own must hear of the list all the same. `host.RESERVED_DESCRIPTORS` counts the two that
    may be open."""

    def __init__(self, host: DiscoveryHost) -> None:
        self.loop: asyncio.AbstractEventLoop = host.loop
        self.clock: Clock = host.clock
        self.timers: TimerWheel = host.timers
        self.call_at: Callable[..., TimerId] = host.call_at
        self.call_soon = host.call_soon

    def acquire_descriptor(self) -> bool:
        return True

    def release_descriptor(self) -> None:
        """Nothing was counted."""

    def has_waiting_dials(self) -> bool:
        """These descriptors are nobody else's."""
        return False


class Discovery:
    """Carries out what the watch decides: calls on sockets, lists to the host, failures to the module."""

    def __init__(self, host: DiscoveryHost, address: Address | None, revision: int, seed: int) -> None:
        self.host = host
        self.fixed = address is None  # nobody to ask: the list that is known is all there ever is
        self.reserve = Reserve(host)
        self.pool = self._pool(address or ("", 0))
        settings = host.settings
        self.list_watch = ListWatch(revision, settings.list_on_request, seed, settings.rules)
        self.calls: dict[int, Call] = {}
        self.timer: TimerId | None = None
        self.timer_at = float("inf")
        self.patient_until = float("inf")

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
        """Whether the list is as new as may be expected of a new process."""
        watch = self.list_watch
        return (
            watch.heard_at is not None
            or watch.on_request
            or self.fixed
            or self.host.clock.now() >= self.patient_until
        )

    def age_ms(self, now: float) -> float | None:
        """For how long nothing was heard; none where nothing was heard yet."""
        heard = self.list_watch.heard_at
        return None if heard is None else now - heard

    def start(self) -> None:
        """The process starts. Where lists are asked for the module says when to call first."""
        self.patient_until = self.host.clock.now() + PATIENCE_MS
        if not self.host.settings.list_on_request:
            self.watch(True)

    def watch(self, on: bool) -> None:
        """Begins the watch, or ends it after the answer that is out."""
        if not self.fixed:
            self._do(self.list_watch.set_wanted(self.host.clock.now(), on))

    def settings_changed(self) -> None:
        """The settings are others."""
        if not self.fixed:
            settings = self.host.settings
            self._do(self.list_watch.mode(self.host.clock.now(), settings.list_on_request, settings.rules))

    def change_address(self, address: Address) -> None:
        """Goes on at another address, from the revision that is known."""
        if address == self.pool.address:
            return
        log.info("discovery moves to %s:%d", *address)
        self.fixed = False
        self.pool.retire()
        self.pool = self._pool(address)
        self._do(self.list_watch.restart(self.host.clock.now()))

    def _pool(self, address: Address) -> Pool:
        return Pool(self.reserve, address, CONNECT_MS, IdleLimit(IDLE_MS))

    def ended(self, number: int, listing: NodeList | None, problem: str) -> None:
        """A call has ended, with a list or without."""
        del self.calls[number]
        now = self.host.clock.now()
        if listing is None:
            self._do(self.list_watch.failed(now, number, problem))
        else:
            self._do(self.list_watch.answered(now, number, listing, self.host.removes_all_nodes(listing)))

    def _wake(self, _: object = None) -> None:
        self.timer = None
        self._do(self.list_watch.wake(self.host.clock.now()))

    def _do(self, actions: list[WatchAction]) -> None:
        for action in actions:
            match action:
                case StartCall(number, revision, wait_ms):
                    query = b"" if revision is None else b"?index=%d&wait=%d" % (revision, wait_ms)
                    self.calls[number] = call = Call(self, number, REQUEST % query)
                    self.pool.send(call, self.host.clock.now())
                case CancelCall(number):
                    self.calls.pop(number).drop()
                case ApplyList(listing, kind):
                    self.host.apply(listing, kind)
                    self.host.share_list(listing)
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


class Call:
    """One call to discovery, as an exchange on a connection."""

    hold_max = LIST_MAX
    unfinished = False

    def __init__(self, discovery: Discovery, number: int, data: bytes) -> None:
        self.discovery, self.pool = discovery, discovery.pool
        self.number, self.data = number, data
        self.connection: Connection | None = None
        self.over = False

    def chunks(self, now: float) -> list[bytes]:
        """What is written."""
        return [self.data]

    def stream(self, answer: UpstreamResponse) -> bool:
        """An answer too long to be a list ends the call."""
        self._end(None, f"an answer of over {LIST_MAX} bytes")
        return False

    def streamed(self, data: bytes) -> None:
        """Never called: nothing of discovery's is streamed."""

    def answered(self, answer: UpstreamResponse, sent: bool) -> None:
        """A whole answer: a list, or what is wrong with it."""
        if answer.code != 200:
            self._end(None, f"status {answer.code}")
            return
        try:
            listing = decode_node_list(json.loads(b"".join(answer.body)))
        except (ValueError, RecursionError) as error:
            self._end(None, str(error)[:200])
            return
        self._end(listing, "")

    def failed(self, sent: bool) -> None:
        """The connection broke or did not come up."""
        self._end(None, "connection lost" if sent else "could not connect")

    def wanted(self, now: float) -> bool:
        """Whether the call is still to be made."""
        return not self.over

    def no_descriptor(self) -> None:
        """Cannot be: its descriptors are kept apart."""
        self.unsent()

    def unsent(self, _: object = None) -> None:
        """The call was not made."""
        self._end(None, "not sent")

    def written(self) -> None:
        """Calls are not counted."""

    def blocked(self, on: bool) -> None:
        """Never called: a call is written whole."""

    def _end(self, listing: NodeList | None, problem: str) -> None:
        if not self.over:
            self.drop()
            self.discovery.ended(self.number, listing, problem)

    def drop(self) -> None:
        """Waits no longer: neither for an answer nor for a connection that is still being made."""
        self.over = True
        if self.connection is not None:
            self.connection.abandon()
            self.connection = None
        else:
            self.pool.give_up(self)
