"""The host: one proxy's life, its list, its replacement, and the budgets of its process."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Any

from notchflow.interface import ListKind, Member, Membership, SettingsChanged, State, Status
from notchflow.net.clock import Clock
from notchflow.net.config import Config
from notchflow.net.connection import IdleLimit
from notchflow.net.console import Console, callers_of
from notchflow.net.discovery import Discovery
from notchflow.net.dispatcher import Dispatcher
from notchflow.net.exchange import Gateway
from notchflow.net.frontend import Frontend
from notchflow.net.handover import FDS_MAX, Link, Succession
from notchflow.net.node_list import Address, NodeList, decode_node_list, encode_member
from notchflow.net.pool import Pool
from notchflow.operations.handover import Shares
from notchflow.operations.lifecycle import Lifecycle, Phase

log = logging.getLogger(__name__)

SWEEP_MS = 500.0
STALL_MS = 2_000.0
RESERVED_DESCRIPTORS = 24  # descriptors for the log, the loop, the listener and discovery
BASE_MB = 48.0
BESIDE_MB = 24.0  # where another process may come beside this one, what was held once is not given back
HELD_SHARE = 0.6  # of the rest may be bodies and answers held; the remainder is for buffers on their way
ACCEPT_ON_MS = 500.0
# No kill comes before the longest deadline and 0.7 s: by then the answers are out, and the process has ended.
ANSWER_BY_MS, STOP_BY_MS = 400.0, 550.0
DRAIN_STEP_MS, STANDBY_STEP_MS = 20.0, 50.0


class Host(Dispatcher):
    """One proxy."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        door: Gateway | None = None,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(config, loop, clock)
        self.idle_limit = IdleLimit(config.conn_idle_ms)
        callers = callers_of(config.sockets) if config.console is not None else 0
        self.descriptor_limit = self.total_descriptor_limit = max(
            config.sockets - RESERVED_DESCRIPTORS - callers, 8
        )
        base = BASE_MB + (BESIDE_MB if config.accept_fd is not None else 0.0)
        self.buffer_limit = self.total_buffer_limit = (
            max(config.memory_mb - base, 16.0) * HELD_SHARE * (1 << 20)
        )
        self.stop_by = float("inf")
        self.lifecycle = Lifecycle()
        self._apply_settings(config)
        self.console = Console(self, config.console, callers) if config.console is not None else None
        self.frontend = Frontend(self, config.listen, door)
        self.frontend.inherited = config.accept_fd
        self.frontends = [self.frontend, *(Frontend(self, address, door) for address in config.also_listen)]
        self.listed_nodes: dict[int, tuple[str, Address, Member]] = {}  # the list as it is now
        self.handover: Succession | None = None
        self.discovery = Discovery(self, config.discovery, config.known.revision, config.seed)

    # -- life
    def start(self) -> None:
        """Tells the module the list as it was last known, then listens."""
        state = self.handover.ask() if self.handover is not None else None
        if state is None or not self._inherit(state):
            self.apply(self.config.known, ListKind.CACHED)
        self.discovery.start()
        self.call_at(self.clock.now() + SWEEP_MS, self._sweep)
        self._beat()
        for frontend in self.frontends:
            frontend.listen()
        if self.console is not None:
            self.console.listen()
        if self.handover is not None:
            self.handover.begin()

    def reload(self, config: Config) -> None:
        """A new configuration: its settings hold from now on, and discovery may have moved."""
        if config.listen != self.config.listen or config.console != self.config.console:
            log.warning("a new address to listen on waits for the next start")
        self.metrics.cfg_accepted += 1
        changed = config.settings != self.settings
        self._apply_settings(config)
        if changed:
            self.dispatch(SettingsChanged(config.settings))
            self.discovery.settings_changed()
        self.config = config
        if config.discovery is not None:
            self.discovery.change_address(config.discovery)

    # -- replacement
    def state(self) -> dict[str, Any]:
        """What the process that takes over is told."""
        members = [encode_member(*entry) for entry in self.listed_nodes.values()]
        return {
            "listing": {"revision": self.discovery.revision or 0, "complete": True, "members": members},
            "standby": self.lifecycle.phase is Phase.STANDBY,
            "learned": self.balancer.export_state(self.clock.now()),
        }

    def share_list(self, listing: NodeList) -> None:
        """Tells other processes of this proxy what discovery told this one: the rules see one proxy."""
        if self.handover is None or not self.handover.links or not listing.members:
            return
        names, addresses = listing.names or {}, listing.addresses or {}
        members = [encode_member(names[m.node], addresses[m.node], m) for m in listing.members]
        changes = {"revision": listing.revision, "complete": False, "members": members}
        self.handover.tell({"listing": changes})

    def hear(self, news: dict[str, Any]) -> None:
        """What another process of this proxy was told. Its entries leave the own revision as it is."""
        if "listing" in news:
            self.apply(decode_node_list(news["listing"]), ListKind.DELTA)
        elif news["duty"] == Phase.STANDBY.value:
            self._stand_by()
        else:
            self.lifecycle.active(self.clock.now())

    def _inherit(self, state: dict[str, Any]) -> bool:
        """Begins with what the process before this one tells, unless the list that is known is newer."""
        try:
            listing = decode_node_list(state["listing"])
            if listing.revision < self.config.known.revision:
                listing = self.config.known
            self.apply(listing, ListKind.CACHED)
            self.discovery.revision = listing.revision
            if state.get("standby"):
                self._stand_by()
            self.balancer.restore_state(self.clock.now(), state["learned"])
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("what the process before this one told is malformed: %r", error)
            return bool(self.listed_nodes)
        log.info("taken over from the process before this one: %d boxes", len(self.listed_nodes))
        return True

    def divide(self, shares: Shares) -> None:
        """The limits hold for all processes of this proxy together."""
        self.descriptor_limit = max(shares.descriptors(self.total_descriptor_limit), 8)
        self.buffer_limit = shares.held(self.total_buffer_limit)

    def usage(self) -> tuple[int, int]:
        """Descriptors in use, and bytes held."""
        return self.descriptors_used, self.buffered_bytes

    def adopt_client_connection(self, sock: socket.socket) -> None:
        """Goes on with a client's connection that the process before this one had."""
        sock.setblocking(False)
        self.descriptors_used += 1
        self.frontend.adopt(sock, known=True)

    def adopt_node_connection(self, sock: socket.socket, node: int, address: str, idle_ms: float) -> None:
        """Keeps a connection to a box that another process had idle, if the box is still there."""
        pool = self.pools.get(node)
        if (
            pool is None
            or pool.retired
            or "{}:{}".format(*pool.address) != address
            or self.descriptors_used >= self.descriptor_limit
        ):
            sock.close()
            return
        self.descriptors_used += 1
        pool.adopt(sock, idle_ms)

    def _pass_boxes(self, heir: Link) -> None:
        """Passes idle connections to boxes on, so that the other process need not dial each time."""
        assert self.handover is not None
        for node, pool in self.pools.items():
            while not heir.over and (given := pool.export_idle(FDS_MAX)):
                address = "{}:{}".format(*pool.address)
                self.handover.pass_boxes(
                    heir,
                    [(node, address, idle_ms) for _, idle_ms in given],
                    [descriptor for descriptor, _ in given],
                )

    def _succeed(self, _: object = None) -> None:
        """Passes clients' connections on to the process that takes over, each between two requests, and ends
        with the last. Nothing new is taken: the listener is the other's as well."""
        assert self.handover is not None
        heir = self.handover.heir
        if heir is None:
            log.warning("the process that was to take over has ended")
            self.lifecycle.deserted()
            self._drain()
            return
        if heir.boxes:
            self._pass_boxes(heir)
        while not heir.over and (given := self.frontend.hand_over_idle(FDS_MAX)):
            self.handover.pass_clients(heir, given)
        now = self.clock.now()
        if now >= self.stop_by or not (
            self.frontend.clients or self.frontend.adopting or self.handover.passing
        ):
            self.loop.stop()
        else:
            self.call_at(now + DRAIN_STEP_MS, self._succeed)

    def _apply_settings(self, config: Config) -> None:
        self.settings = settings = config.settings
        self.classes = {c.name: c.deadline_ms for c in settings.classes}
        self.longest_deadline_ms = max(self.classes.values())
        self.max_attempts = settings.limits.max_attempts
        self.metrics.know(self.classes)
        self.idle_limit.configure(config.conn_idle_ms)
        for pool in self.pools.values():
            pool.connect_timeout_ms = settings.limits.connect_timeout_ms

    def stop(self) -> None:
        """The process is to end: what was taken is answered, and clients go elsewhere."""
        now = self.clock.now()
        heir = self.handover.heir if self.handover is not None else None
        if not self.lifecycle.leave(now, heir is not None):
            return
        log.info("draining")
        if self.handover is not None:
            self.handover.leave()
        self.answer_deadline = now + self.longest_deadline_ms + ANSWER_BY_MS
        self.stop_by = now + self.longest_deadline_ms + STOP_BY_MS
        if heir is not None:
            self.frontend.close_listener()
            self._succeed()
        else:
            self.call_at(now + ACCEPT_ON_MS, self._drain)

    def is_serving(self) -> bool:
        """Whether this process takes clients: from its start on until it is told to end."""
        return self.frontend.listener is not None and self.lifecycle.phase is not Phase.LEAVING

    def enter_standby(self) -> bool:
        """Sends clients away, until `active`; whether that is done now."""
        if self.handover is not None:
            self.handover.tell({"duty": Phase.STANDBY.value})
        return self._stand_by()

    def _stand_by(self) -> bool:
        begun, now = self.lifecycle.phase is Phase.ACTIVE, self.clock.now()
        done = self.lifecycle.standby(now)
        if begun:
            log.info("on standby")
            self.call_at(now + STANDBY_STEP_MS, self._send_away)
        return done

    def activate(self) -> bool:
        """Back to work; whether that is done now."""
        if self.handover is not None:
            self.handover.tell({"duty": Phase.ACTIVE.value})
        return self.lifecycle.active(self.clock.now())

    def _send_away(self, _: object = None) -> None:
        if self.lifecycle.phase is Phase.STANDBY:
            now = self.clock.now()
            self.call_at(now + STANDBY_STEP_MS, self._send_away)
            for frontend in self.frontends:
                frontend.close_still(now)

    def metrics_text(self) -> str:
        """The figures as they are now."""
        now = self.clock.now()
        age = self.discovery.age_ms(now)
        return self.metrics.text(
            {
                "registry_entries": len(self.listed_nodes),
                "registry_age_ms": -1 if age is None else round(age),
                "out_of_rotation": self.balancer.count_out_of_rotation(now),
            }
        )

    def _drain(self, _: object = None) -> None:
        now = self.clock.now()
        if all([frontend.close() for frontend in self.frontends]) or now >= self.stop_by:
            self.loop.stop()
        else:
            self.call_at(now + DRAIN_STEP_MS, self._drain)

    def _beat(self, _: object = None) -> None:
        self.call_at(self.stalls.mark_running(self.clock.now()), self._beat)

    def _sweep(self, _: object = None) -> None:
        now = self.clock.now()
        self.call_at(now + SWEEP_MS, self._sweep)
        self.idle_limit.decay(now)
        for node, pool in list(self.pools.items()):
            pool.close_expired(now)
            if pool.retired and not pool.dials:
                del self.pools[node]
        for item in list(self.active_requests.values()):
            attempt = item.streaming_attempt
            if attempt is None or attempt.connection is None or item.client_request.client.paused:
                continue
            if attempt.connection.last_read_at + STALL_MS < now:
                attempt.abandon(Status.RESET)
        for frontend in self.frontends:
            frontend.sweep(now)
        if self.console is not None:
            self.console.sweep(now)

    # -- the list
    def apply(self, listing: NodeList, kind: ListKind) -> None:
        """Takes over a list: where the nodes are for the pools, the rest for the module."""
        addresses = listing.addresses or {}
        retired: list[Pool] = []
        for member in listing.members:
            pool, address = self.pools.get(member.node), addresses[member.node]
            stays = member.state is State.READY and pool is not None and pool.address == address
            if pool is not None and not stays:
                retired.append(pool)
            if member.state is State.READY and (pool is None or not stays or pool.retired):
                limit = self.settings.limits.connect_timeout_ms
                self.pools[member.node] = Pool(self, address, limit, self.idle_limit)
        if kind is not ListKind.DELTA:
            retired.extend(self.pools[node] for node in self.pools.keys() - addresses.keys())
            self.listed_nodes.clear()
        self._list(listing)
        for pool in retired:
            pool.retire()
        self.dispatch(Membership(kind, listing.members, listing.revision))
        for pool in retired:  # now that the module knows better than to send there again
            pool.cancel_dials()
        # and what is still being written there, as it would count as new with its last byte
        flowing = (
            [item for item in self.active_requests.values() if item.client_request.streams_body]
            if retired
            else ()
        )
        for item in flowing:
            if any(attempt.is_writing_to(retired) for attempt in item.outstanding_attempts.values()):
                self._abandon_attempts(item)

    def removes_all_nodes(self, listing: NodeList) -> bool:
        """Whether a whole list would leave nothing of the one that is known."""
        return listing.complete and not listing.members and bool(self.listed_nodes)

    def list_is_current(self) -> bool:
        """Whether clients may come: the list is as new as may be expected of a new process."""
        return self.discovery.list_is_current

    def _list(self, listing: NodeList) -> None:
        names, addresses = listing.names or {}, listing.addresses or {}
        for member in listing.members:
            if member.state is State.GONE:
                self.listed_nodes.pop(member.node, None)
            elif member.node in names:
                self.listed_nodes[member.node] = names[member.node], addresses[member.node], member
