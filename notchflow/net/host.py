"""The host of one proxy: starts it, hands over to its successor, stops it, and keeps its list of nodes and
its limits."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Any

from notchflow.interface import Effect, ListKind, Member, Membership, SettingsChanged, State, Status
from notchflow.net.bounded_reads import max_read_bytes
from notchflow.net.clock import Clock
from notchflow.net.config import Config
from notchflow.net.console import Console, connection_limit
from notchflow.net.discovery import Discovery
from notchflow.net.dispatcher import Dispatcher
from notchflow.net.exchange import Gateway
from notchflow.net.frontend import Frontend
from notchflow.net.handover import MAX_DESCRIPTORS_PER_FRAME, Handover, HandoverLink
from notchflow.net.idle_limit import IdleLimit
from notchflow.net.node_list import Address, NodeList, decode_node_list, encode_member
from notchflow.net.polling import resident_memory_mb
from notchflow.net.pool import Pool
from notchflow.net.request_ids import IdClaim
from notchflow.net.reuse import ReuseDelay
from notchflow.operations.handover import LimitShares
from notchflow.operations.lifecycle import Lifecycle, Phase

log = logging.getLogger(__name__)

SWEEP_INTERVAL_MS = 500.0
RESERVED_DESCRIPTORS = 24  # for the log, the loop, the listener and discovery
MIN_HANDOVER_BATCH = 4  # connections handed over at once where all descriptors are used; from the reserve
PROCESS_BASE_MB = 48.0
# Memory that is freed is not returned to the system, so where another process may run beside this one, room
# for it is kept.
HANDOVER_RESERVE_MB = 24.0
# of the rest, for bodies and responses held in memory; what remains is for buffers in transit
BUFFER_SHARE = 0.6
ACCEPT_AFTER_STOP_MS = 500.0
# The platform kills no process before the longest deadline (3 s at most) and 0.7 s have passed: by then the
# responses are sent and the process has ended.
ANSWER_MARGIN_MS, STOP_MARGIN_MS = 400.0, 550.0
DRAIN_INTERVAL_MS, STANDBY_INTERVAL_MS = 20.0, 50.0
# Below this much memory over the process's base the limit follows what the process uses as it starts.
SMALL_SPARE_MB, MIN_BUFFERS_MB = 16.0, 1.0
CONNECTION_MB = 0.004  # for each descriptor: the connection and its parser


def _buffer_limit_bytes(config: Config) -> float:
    """Returns how many bytes may be held in memory for clients and nodes."""
    base = PROCESS_BASE_MB + (HANDOVER_RESERVE_MB if config.accept_fd is not None else 0.0)
    spare = config.memory_mb - base
    if spare < SMALL_SPARE_MB:
        unused = config.memory_mb - resident_memory_mb() - config.sockets * CONNECTION_MB
        spare = min(max(unused, MIN_BUFFERS_MB), SMALL_SPARE_MB)
    return spare * BUFFER_SHARE * (1 << 20)


class Host(Dispatcher):
    """Runs one proxy: listeners, list of nodes, handover to a new process, and limits on memory and
    descriptors."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        door: Gateway | None = None,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(config, loop, clock)
        self.idle_limit = IdleLimit(config.conn_idle_ms)
        self.reuse_delay = ReuseDelay()
        console_connections = connection_limit(config.sockets) if config.console is not None else 0
        self.descriptor_limit = self.total_descriptor_limit = max(
            config.sockets - RESERVED_DESCRIPTORS - console_connections, 8
        )
        self.buffer_limit = self.total_buffer_limit = _buffer_limit_bytes(config)
        self.max_read_bytes = max_read_bytes(self.buffer_limit, config.sockets)
        self.stop_deadline = float("inf")
        self.longest_known_deadline_ms = 0.0  # of all settings so far: requests keep their class
        self.lifecycle = Lifecycle()
        self._apply_settings(config)
        self.console = (
            Console(self, config.console, console_connections) if config.console is not None else None
        )
        self.frontend = Frontend(self, config.listen, door)
        self.frontend.inherited_fd = config.accept_fd
        self.frontends = [self.frontend, *(Frontend(self, address, door) for address in config.also_listen)]
        # by node: name, address and entry of the current list
        self.listed_nodes: dict[int, tuple[str, Address, Member]] = {}
        self.handover: Handover | None = None
        self.discovery = Discovery(self, config.discovery, config.known.revision, config.seed)

    # -- start and configuration
    def start(self) -> None:
        """Applies the last known list of nodes, or the predecessor's state, then starts to listen. An OSError
        says that an address cannot be bound."""
        state = self.handover.request_state() if self.handover is not None else None
        if state is None or not self._restore_state(state):
            self.apply(self.config.known, ListKind.CACHED)
        self.discovery.start()
        self.call_at(self.clock.now() + SWEEP_INTERVAL_MS, self._sweep)
        self._check_for_stall()
        for frontend in self.frontends:
            frontend.listen()
        if self.console is not None:
            self.console.listen()
        if self.handover is not None:
            self.handover.start()

    def reload(self, config: Config) -> None:
        """Applies a new configuration: its settings take effect at once, and discovery may have another
        address."""
        if config.listen != self.config.listen or config.console != self.config.console:
            log.warning("a changed listen or console address takes effect at the next start")
        self.metrics.cfg_accepted += 1
        changed = config.settings != self.settings
        self._apply_settings(config)
        if changed:
            self.dispatch(SettingsChanged(config.settings))
            self.discovery.settings_changed()
        self.config = config
        if config.discovery is not None:
            self.discovery.change_address(config.discovery)

    # -- handover between processes
    def export_state(self) -> dict[str, Any]:
        """Returns the state that a new process of this proxy starts from."""
        members = [encode_member(*entry) for entry in self.listed_nodes.values()]
        return {
            "listing": {"revision": self.discovery.revision or 0, "complete": True, "members": members},
            "standby": self.lifecycle.phase is Phase.STANDBY,
            "learned": self.balancer.export_state(self.clock.now()),
            "request_ids": self.request_ids.export(self.clock.now()),
        }

    def apply_discovered(self, listing: NodeList, kind: ListKind) -> None:
        """Applies what discovery reported, and sends it to the other processes of this proxy, which the rules
        count as one proxy. They take it as changes, so the nodes that a complete list lacks are named."""
        removed = self._unlisted_members(listing) if listing.complete else []
        self.apply(listing, kind)
        if self.handover is None or not self.handover.links or not (listing.members or removed):
            return
        names, addresses = listing.names or {}, listing.addresses or {}
        members = [encode_member(names[m.node], addresses[m.node], m) for m in listing.members]
        changes = {"revision": listing.revision, "complete": False, "members": members + removed}
        self.handover.send_update({"listing": changes})

    def _unlisted_members(self, listing: NodeList) -> list[dict[str, object]]:
        """The known nodes that a list lacks, as removed."""
        listed = {member.node for member in listing.members}
        return [
            encode_member(name, address, member.with_state(State.GONE))
            for node, (name, address, member) in self.listed_nodes.items()
            if node not in listed
        ]

    def apply_update(self, update: dict[str, Any]) -> None:
        """Applies an update from another process of this proxy. Its changes to the list leave the own
        revision as it is."""
        if "listing" in update:
            self.apply(decode_node_list(update["listing"]), ListKind.DELTA)
        elif update["duty"] == Phase.STANDBY.value:
            self._enter_standby()
        else:
            self.lifecycle.activate(self.clock.now())

    def id_claimed(self, claim: IdClaim) -> None:
        """Tells the other processes of this proxy not to pass on a request with this id."""
        if self.handover is not None and self.handover.links:
            self.handover.send_request_ids([claim.request_id.decode("latin-1")], [])

    def id_unused(self, claim: IdClaim) -> None:
        """Tells the other processes of this proxy that a request with this id has not run."""
        if self.handover is not None and self.handover.links:
            self.handover.send_request_ids([], [claim.request_id.decode("latin-1")])

    def apply_request_ids(self, claimed: list[str], released: list[str]) -> None:
        """Applies what another process of this proxy tells of the ids that it passes on."""
        self.request_ids.apply_update(self.clock.now(), claimed, released)

    def _restore_state(self, state: dict[str, Any]) -> bool:
        """Restores the state that the predecessor exported, but keeps the known list if that is newer.
        Returns whether there is a list to start with."""
        try:
            listing = decode_node_list(state["listing"])
            if listing.revision < self.config.known.revision:
                listing = self.config.known
            self.apply(listing, ListKind.CACHED)
            self.discovery.revision = listing.revision
            if state.get("standby"):
                self._enter_standby()
            self.request_ids.restore(self.clock.now(), state.get("request_ids", {}))
            self.balancer.restore_state(self.clock.now(), state["learned"])
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("malformed state from the process before this one: %r", error)
            return bool(self.listed_nodes)
        log.info("taken over from the process before this one: %d boxes", len(self.listed_nodes))
        return True

    def apply_limit_shares(self, shares: LimitShares) -> None:
        """Applies this process's part of the limits, which hold for all processes of this proxy together."""
        self.descriptor_limit = max(shares.descriptor_limit(self.total_descriptor_limit), 8)
        self.buffer_limit = shares.buffer_limit(self.total_buffer_limit)

    def usage(self) -> tuple[int, int]:
        """Returns the number of descriptors in use and the number of buffered bytes."""
        return self.descriptors_used, self.buffered_bytes

    def adopt_client_connection(self, sock: socket.socket) -> None:
        """Serves a client connection that the predecessor handed over."""
        sock.setblocking(False)
        self.descriptors_used += 1
        self.frontend.adopt(sock, handed_over=True)

    def adopt_node_connection(self, sock: socket.socket, node: int, address: str, idle_ms: float) -> None:
        """Adds an idle connection to a node that another process handed over to the pool, or closes it if the
        node has gone or moved, or no descriptor is free."""
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

    def _handover_batch_size(self) -> int:
        """Returns how many connections may be handed over in this turn of the loop: each holds a second
        descriptor until the duplicate has been sent and the loop has closed the original."""
        assert self.handover is not None
        if self.handover.is_sending:
            return 0
        unused = self.descriptor_limit - self.descriptors_used
        return min(max(unused, MIN_HANDOVER_BATCH), MAX_DESCRIPTORS_PER_FRAME)

    def _hand_over_connections(self, successor: HandoverLink) -> int:
        """Hands over as many idle connections as there are descriptors for; returns how many. Up to half are
        connections to nodes, so that the successor need not open new ones."""
        assert self.handover is not None
        batch_size = self._handover_batch_size()
        handed_over = 0
        if successor.takes_node_connections:
            handed_over = self._hand_over_node_connections(successor, batch_size // 2)
        clients = self.frontend.hand_over_idle(batch_size - handed_over) if not successor.closed else []
        if clients:
            self.handover.send_client_connections(successor, clients)
        return handed_over + len(clients)

    def _hand_over_node_connections(self, successor: HandoverLink, batch_size: int) -> int:
        """Hands over up to `batch_size` idle connections to nodes; returns how many."""
        assert self.handover is not None
        count = 0
        for node, pool in self.pools.items():
            if successor.closed or count >= batch_size:
                break
            exported = pool.export_idle(batch_size - count)
            if not exported:
                continue
            count += len(exported)
            address = "{}:{}".format(*pool.address)
            self.handover.send_node_connections(
                successor,
                [(node, address, idle_ms) for _, idle_ms in exported],
                [descriptor for descriptor, _ in exported],
            )
        return count

    def _hand_over_clients(self, _: object = None) -> None:
        """Hands over client connections, each of them between two requests, and stops the loop once none is
        left. The successor shares the listening socket, so nothing new is accepted here."""
        assert self.handover is not None
        successor = self.handover.successor
        if successor is None:
            log.warning("the process that was to take over has ended")
            self.lifecycle.successor_lost()
            self._drain()
            return
        handed_over = self._hand_over_connections(successor)
        now = self.clock.now()
        is_needed = self.frontend.clients or self.frontend.adopt_tasks or self.handover.is_sending
        if self._must_stop(now) or not (handed_over or is_needed):
            self.loop.stop()
        elif handed_over:
            self.call_after_poll(self._hand_over_clients, None)  # by then the originals are closed
        else:
            self.call_at(now + DRAIN_INTERVAL_MS, self._hand_over_clients)

    def _apply_settings(self, config: Config) -> None:
        self.settings = settings = config.settings
        self.classes = {c.name: c.deadline_ms for c in settings.classes}
        self.effect_classes = frozenset(c.name for c in settings.classes if c.effect is not Effect.SAFE)
        self.longest_deadline_ms = max(self.classes.values())
        self.longest_known_deadline_ms = max(self.longest_known_deadline_ms, self.longest_deadline_ms)
        self.max_attempts = settings.limits.max_attempts
        self.metrics.add_classes(self.classes)
        self.idle_limit.configure(config.conn_idle_ms)
        for pool in self.pools.values():
            pool.connect_timeout_ms = settings.limits.connect_timeout_ms

    def stop(self) -> None:
        """Starts the shutdown: accepted requests are answered, and clients are handed over or told to go
        elsewhere."""
        now = self.clock.now()
        successor = self.handover.successor if self.handover is not None else None
        if not self.lifecycle.begin_shutdown(now, successor is not None):
            return
        log.info("draining")
        if self.handover is not None:
            self.handover.begin_shutdown()
        remaining_ms = self._longest_remaining_ms(now)
        self.answer_deadline = now + remaining_ms + ANSWER_MARGIN_MS
        self.stop_deadline = now + remaining_ms + STOP_MARGIN_MS
        for active in self.active_requests.values():
            if active.deadline > self.answer_deadline:
                self.set_deadline(active, self.answer_deadline)
        if successor is not None:
            self.frontend.close_listener()
            self._hand_over_clients()
        else:
            self.call_at(now + ACCEPT_AFTER_STOP_MS, self._drain)

    def _longest_remaining_ms(self, now: float) -> float:
        """How long requests may take from now on: the longest deadline of the classes, or what is left to a
        request of a class that the settings have dropped, but no longer than the process may stay."""
        last = max((active.deadline for active in self.active_requests.values()), default=now)
        remaining_ms = max(self.longest_deadline_ms, min(last - now, self.longest_known_deadline_ms))
        return min(remaining_ms, self.config.max_stop_ms)

    def is_serving(self) -> bool:
        """Returns whether this process serves clients: from its start until it is told to stop."""
        return self.frontend.listener is not None and self.lifecycle.phase is not Phase.LEAVING

    def enter_standby(self) -> bool:
        """Puts all processes of this proxy on standby. Returns whether this one is on standby now."""
        if self.handover is not None:
            self.handover.send_update({"duty": Phase.STANDBY.value})
        return self._enter_standby()

    def _enter_standby(self) -> bool:
        was_active, now = self.lifecycle.phase is Phase.ACTIVE, self.clock.now()
        done = self.lifecycle.enter_standby(now)
        if was_active:
            log.info("on standby")
            self.call_at(now + STANDBY_INTERVAL_MS, self._close_idle_clients)
        return done

    def activate(self) -> bool:
        """Ends standby in all processes of this proxy. Returns whether this one is active now."""
        if self.handover is not None:
            self.handover.send_update({"duty": Phase.ACTIVE.value})
        return self.lifecycle.activate(self.clock.now())

    def _close_idle_clients(self, _: object = None) -> None:
        if self.lifecycle.phase is Phase.STANDBY:
            now = self.clock.now()
            self.call_at(now + STANDBY_INTERVAL_MS, self._close_idle_clients)
            for frontend in self.frontends:
                frontend.close_idle_on_standby(now)

    def metrics_text(self) -> str:
        """Returns the current metrics in the Prometheus text format."""
        now = self.clock.now()
        age = self.discovery.age_ms(now)
        return self.metrics.render(
            {
                "registry_entries": len(self.listed_nodes),
                "registry_age_ms": -1 if age is None else round(age),
                "out_of_rotation": self.balancer.count_out_of_rotation(now),
            }
        )

    def _drain(self, _: object = None) -> None:
        now = self.clock.now()
        if all([frontend.drain() for frontend in self.frontends]) or self._must_stop(now):
            self.loop.stop()
        else:
            self.call_at(now + DRAIN_INTERVAL_MS, self._drain)

    def _must_stop(self, now: float) -> bool:
        """Whether the time to stop is over, and no client is still taking a response."""
        return now >= self.stop_deadline and not any(f.is_delivering(now) for f in self.frontends)

    def _check_for_stall(self, _: object = None) -> None:
        self.call_at(self.stalls.mark_running(self.clock.now()), self._check_for_stall)

    def _sweep(self, _: object = None) -> None:
        now = self.clock.now()
        self.call_at(now + SWEEP_INTERVAL_MS, self._sweep)
        self.idle_limit.decay(now)
        for node, pool in list(self.pools.items()):
            pool.close_expired(now)
            if pool.retired and not pool.dials:
                del self.pools[node]
        for active in list(self.active_requests.values()):
            attempt = active.streaming_attempt
            if attempt is None or active.client_request.client.paused:
                continue
            if attempt.stream_has_stalled(now):
                attempt.abandon(Status.RESET)
        for frontend in self.frontends:
            frontend.sweep(now)
        if self.console is not None:
            self.console.close_expired(now)

    # -- list of nodes
    def apply(self, listing: NodeList, kind: ListKind) -> None:
        """Applies a list of nodes, or changes to it: addresses go to the pools, everything else to the
        policy."""
        addresses = listing.addresses or {}
        retired: list[Pool] = []
        for member in listing.members:
            pool, address = self.pools.get(member.node), addresses[member.node]
            unchanged = member.state is State.READY and pool is not None and pool.address == address
            if pool is not None and not unchanged:
                retired.append(pool)
            if member.state is State.READY and (pool is None or not unchanged or pool.retired):
                self.pools[member.node] = self._make_pool(address, pool)
        if kind is not ListKind.DELTA:
            retired.extend(self.pools[node] for node in self.pools.keys() - addresses.keys())
            self.listed_nodes.clear()
        self._update_listed_nodes(listing)
        for pool in retired:
            pool.retire()
        self.dispatch(Membership(kind, listing.members, listing.revision))
        for pool in retired:  # only now, as the policy no longer sends requests to these nodes
            pool.cancel_dials()
        # Requests still being written there are abandoned too: with their last byte they would count as begun
        # on a removed node.
        streaming = (
            [active for active in self.active_requests.values() if active.client_request.streams_body]
            if retired
            else ()
        )
        for active in streaming:
            if any(attempt.is_writing_to(retired) for attempt in active.outstanding_attempts.values()):
                self._abandon_attempts(active)

    def _make_pool(self, address: Address, earlier: Pool | None) -> Pool:
        """A pool for a node. What is known of its second responses outlives the node's absence."""
        limit_ms = self.settings.limits.connect_timeout_ms
        pool = Pool(self, address, limit_ms, self.idle_limit, self.reuse_delay)
        if earlier is not None and earlier.address == address:
            pool.single_use_until = earlier.single_use_until
        return pool

    def removes_all_nodes(self, listing: NodeList) -> bool:
        """Returns whether a complete list is empty although nodes are known."""
        return listing.complete and not listing.members and bool(self.listed_nodes)

    def list_is_current(self) -> bool:
        """Returns whether clients may be served: the list is as current as a new process can expect."""
        return self.discovery.list_is_current

    def _update_listed_nodes(self, listing: NodeList) -> None:
        names, addresses = listing.names or {}, listing.addresses or {}
        for member in listing.members:
            if member.state is State.GONE:
                self.listed_nodes.pop(member.node, None)
            elif member.node in names:
                self.listed_nodes[member.node] = names[member.node], addresses[member.node], member
