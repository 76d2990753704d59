"""Rules that the fleet replicates: the state machine behind the log, changes at any instance, and the lease.

A change is computed in a trial transaction on the state applied here, after a confirmed read has shown that
state to be current, and rolled back. Its writes are proposed with the version that they were computed on, and
take effect only if that is still the version; otherwise the change is computed again. A change therefore
takes effect once, at whichever instance it is made and however often its proposal is appended.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import logging
import secrets
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, Final, TypeVar

from notchflow.admin.operations import ApiProblem, Change, ChangeResult
from notchflow.cluster.agreement.driver import RaftDriver
from notchflow.cluster.agreement.raft import Raft
from notchflow.cluster.agreement.replica import HardState, RaftSettings, Role, Snapshot
from notchflow.cluster.agreement.session import SessionSettings
from notchflow.cluster.agreement.storage import LogStore, load_state
from notchflow.cluster.transport import ClusterTransport
from notchflow.net.exchange import LocalReply
from notchflow.state.database import Database
from notchflow.state.replicated import ApplyResult, Command, ReplicatedState, encode
from notchflow.store.commit import Committer
from notchflow.store.engine import Engine, EngineOptions
from notchflow.store.files import RealFiles
from notchflow.store.tools import store_clock
from notchflow.tenancy.model import TenantState
from notchflow.tenancy.problems import reply

log = logging.getLogger(__name__)
T = TypeVar("T")
FOLDER: Final = "agreement"  # in the member's folder
MAX_CHANGE_ATTEMPTS: Final = 8  # at one change, if changes made elsewhere keep coming first
COMMIT_TIMEOUT_S: Final = 4.0  # after which the outcome of a change is unknown
SEGMENT_BYTES: Final = 4 << 20


@dataclass(slots=True)
class PendingCommand:
    """A proposed command whose outcome is awaited."""

    base: int
    request_id: int
    done: concurrent.futures.Future[bool]


class FleetRules:
    """One instance's copy of the replicated rules, and its access to the log that changes them."""

    def __init__(
        self,
        name: str,
        roster: Sequence[str],
        transport: ClusterTransport,
        folder: Path,
        db: Database,
        trusted: bool,
        note: Callable[..., None],
    ) -> None:
        """`trusted`: whether the folder is this instance's own and as it left it; if not, the instance does
        not vote until it has caught up. Raises StoreError, ManifestError, StoreLockedError or OSError."""
        self.loop, self.transport, self.db, self.note = transport.loop, transport, db, note
        self.state = ReplicatedState(db)
        self.executor = ThreadPoolExecutor(1, "state")
        self.on_applied: Callable[[ApplyResult, list[Change]], None] = lambda applied, changes: None
        engine = Engine(RealFiles(folder / FOLDER), store_clock(), EngineOptions(SEGMENT_BYTES))
        self.committer = Committer(engine, self.loop.call_soon_threadsafe)
        self.committer.start()
        stored = load_state(engine, tuple(sorted(roster)), self.state.applied, self.state.term)
        hard_state = (
            stored.hard_state
            if trusted
            else HardState(stored.hard_state.term, stored.hard_state.voted_for, False)
        )
        raft = Raft(
            name,
            stored.base.roster,
            RaftSettings(),
            Random(secrets.randbits(64)),
            transport.now(),
            hard_state,
            stored.log,
            self.state.weight() if not self.state.initialized else 0,
        )
        self.last_applied = self.state.applied  # as the loop knows it; the state's thread may be ahead
        self.settings = SessionSettings()
        self.driver = RaftDriver(transport, raft, self.settings, LogStore(self.committer, stored), self)
        self.pending_reads: dict[int, concurrent.futures.Future[int]] = {}
        # Confirmed reads by the index that must be applied before they are answered.
        self.confirmed_reads: list[tuple[int, concurrent.futures.Future[int]]] = []
        self.pending_commands: dict[str, PendingCommand] = {}
        self.bootstrapping = False
        self.no_lease_reply = reply(
            503,
            "refused",
            "This instance does not know whether its rules still hold; "
            "nothing was done, trying again is harmless.",
            1.0,
        )
        self.counters = {"refused": 0, "changes": 0, "again": 0, "unknown": 0}
        self.closed = False

    # -- lifecycle
    def start(self) -> None:
        """Begins to take part in the consensus."""
        self.driver.start()

    def stop(self) -> None:
        """Takes no further part; nothing is committed through this instance any more."""
        self.driver.stop()

    def close(self) -> None:
        """Stops, and waits for the state's thread and the store."""
        self.closed = True
        self.driver.stop()
        self.executor.shutdown()
        self.committer.stop()

    # -- requests of clients
    def rejection(self) -> LocalReply | None:
        """The reply to a request while this instance may not act on its rules; None if it may."""
        if self.driver.holds_lease(self.transport.now()) and self.state.initialized:
            return None
        self.counters["refused"] += 1
        return self.no_lease_reply

    def may_act(self) -> bool:
        """Whether the fleet has a common state and this instance's lease is valid."""
        return self.state.initialized and self.driver.holds_lease(self.transport.now())

    # -- the state machine behind the log (called on the loop)
    def applied_index(self) -> int:
        """The index of the last entry that is applied."""
        return self.last_applied

    def _run_on_state_thread(self, call: Callable[[], T], done: Callable[[T | None], None]) -> None:
        """Runs a call on the state's thread, and `done` on the loop with its result, or None if it failed."""

        def run() -> None:
            try:
                result: T | None = call()
            except Exception:
                log.exception("rules: the replicated state could not be read or changed")
                result = None
            if not self.closed:
                self.loop.call_soon_threadsafe(done, result)

        try:
            self.executor.submit(run)
        except RuntimeError:  # the thread has been shut down: the service is stopping
            pass

    def apply(self, entries: Sequence[tuple[int, int, bytes | None]], done: Callable[[bool], None]) -> None:
        """Applies log entries: index, term, and the command or None."""
        last_index = entries[-1][0]
        self._run_on_state_thread(
            partial(self._apply, entries), partial(self._finish_apply, last_index, done)
        )

    def _apply(self, entries: Sequence[tuple[int, int, bytes | None]]) -> tuple[ApplyResult, list[Change]]:
        applied = self.state.apply(entries)
        return applied, self._full_state() if applied.state_replaced else list(applied.changes)

    def _full_state(self) -> list[Change]:
        tenants = [t for t in self.db.tenants() if t.state is not TenantState.GONE]
        return [*tenants, *self.db.live_keys()]

    def _finish_apply(
        self, last_index: int, done: Callable[[bool], None], result: tuple[ApplyResult, list[Change]] | None
    ) -> None:
        if result is not None:
            self._publish(last_index, *result)
        done(result is not None)
        if result is not None:
            self._answer_reads()
            for command, base, held in result[0].command_results:
                self._on_command_applied(command, base, held)

    def _publish(self, last_index: int, applied: ApplyResult, changes: list[Change]) -> None:
        """Passes applied changes on to the running proxy."""
        self.on_applied(applied, changes)
        self.last_applied = last_index
        self.note("rules", applied=last_index, version=self.state.version, digest=self.state.digest)
        if applied.state_replaced:
            log.info(
                "rules: the fleet's state has been loaded, version %d, %d tenants and keys",
                self.state.version,
                len(changes),
            )
        if applied.other_state_replaced:
            log.warning(
                "rules: the local state differed from the fleet's and has been replaced; "
                "a copy is in service.db.before"
            )

    def load_snapshot(self, snapshot: Snapshot, done: Callable[[bool], None]) -> None:
        """Replaces the state by a snapshot from the leader."""

        def run() -> tuple[ApplyResult, list[Change]]:
            return self.state.load(snapshot.data), self._full_state()

        def finish(result: tuple[ApplyResult, list[Change]] | None) -> None:
            if result is not None:
                self._publish(snapshot.index, *result)
            done(result is not None)
            if result is not None:
                self._answer_reads()
                self._resolve_commands_after_snapshot()

        self._run_on_state_thread(run, finish)

    def dump_snapshot(self, done: Callable[[int, int, bytes], None]) -> None:
        """Calls `done` with the applied index, its term and the state as bytes."""

        def run() -> tuple[int, int, bytes]:
            return self.state.applied, self.state.term, self.state.dump()

        def finish(result: tuple[int, int, bytes] | None) -> None:
            if result is not None:
                done(*result)

        self._run_on_state_thread(run, finish)

    def leader_changed(self, leader: str, term: int) -> None:
        """Reports the known leader, empty if there is none, and the term."""
        self.note("led", leader=leader, term=term)
        if leader:
            log.info("rules: %s is the leader", leader)
        else:
            log.info("rules: no leader is known")
        self._start_bootstrap()

    # -- the fleet's first state
    def _start_bootstrap(self) -> None:
        """On the first leader: proposes its own state, in stages, as the state of the fleet."""
        if not self.driver.is_leader or self.state.initialized or self.bootstrapping or self.closed:
            return
        self.bootstrapping = True
        asyncio.ensure_future(self._bootstrap(), loop=self.loop)

    async def _bootstrap(self) -> None:
        """Proposes one stage after the other. A stage may be lost with the leadership, so that each wait
        ends; the whole is retried as long as this instance leads and no state is complete."""
        try:
            stages = await self.loop.run_in_executor(self.executor, self.state.export_stages)
            for stage in stages:
                base = self.state.version
                command = Command(secrets.token_hex(8), base, (), stage)
                held = asyncio.wrap_future(self._propose(command), loop=self.loop)
                if not await asyncio.wait_for(held, 10 * COMMIT_TIMEOUT_S):
                    return
        except (TimeoutError, asyncio.CancelledError, RuntimeError):
            log.warning("rules: proposing the fleet's first state failed; trying again")
        finally:
            self.bootstrapping = False
            if not self.closed and not self.state.initialized:
                self.loop.call_later(1.0, self._start_bootstrap)

    # -- confirmed reads and proposals (on the loop)
    def read_completed(self, request_id: int, index: int | None) -> None:
        """Takes the result of a ReadIndex request: a commit index, or None on timeout."""
        future = self.pending_reads.pop(request_id, None)
        if future is None or future.done():
            return
        if index is None:
            future.set_exception(no_majority())
        else:
            self.confirmed_reads.append((index, future))
            self._answer_reads()

    def _answer_reads(self) -> None:
        ready = [future for index, future in self.confirmed_reads if index <= self.last_applied]
        self.confirmed_reads = [item for item in self.confirmed_reads if item[0] > self.last_applied]
        for future in ready:
            if not future.done():
                future.set_result(self.last_applied)

    def _start_read(self, future: concurrent.futures.Future[int]) -> None:
        if not self.state.initialized:
            future.set_exception(
                no_majority(
                    "The fleet has not agreed on its first state yet: all of the "
                    "roster must be there once."
                )
            )
            return
        self.pending_reads[self.driver.read_index()] = future

    def _propose(self, command: Command) -> concurrent.futures.Future[bool]:
        future: concurrent.futures.Future[bool] = concurrent.futures.Future()
        pending = self.pending_commands[command.id] = PendingCommand(command.base, 0, future)
        pending.request_id = self.driver.propose(encode(command))
        return future

    def _on_command_applied(self, command: str, base: int, held: bool) -> None:
        """Resolves a command when it has been applied. An earlier attempt of the same change, on another
        base, says nothing about the current one."""
        pending = self.pending_commands.get(command)
        if pending is not None and pending.base == base:
            self._resolve_command(command, held)

    def _resolve_command(self, command: str, held: bool) -> None:
        pending = self.pending_commands.pop(command)
        self.driver.finish_proposal(pending.request_id)
        if not pending.done.done():
            pending.done.set_result(held)

    def _resolve_commands_after_snapshot(self) -> None:
        """A snapshot replaces the entries that would have told the outcome of pending commands."""
        for command, pending in list(self.pending_commands.items()):
            if self.state.has_command(command):
                self._resolve_command(command, True)
            elif pending.base != self.state.version:
                self._resolve_command(command, False)

    def _abandon_command(self, command: str) -> None:
        pending = self.pending_commands.pop(command, None)
        if pending is not None:
            self.driver.finish_proposal(pending.request_id)

    # -- the administration (on the loop of its own thread)
    async def wait_until_current(self) -> None:
        """Returns once everything committed before the call is applied here. Raises ApiProblem."""
        future: concurrent.futures.Future[int] = concurrent.futures.Future()
        self.loop.call_soon_threadsafe(self._start_read, future)
        try:
            await asyncio.wait_for(asyncio.wrap_future(future), COMMIT_TIMEOUT_S)
        except TimeoutError:
            raise no_majority() from None

    async def change(self, call: Callable[..., ChangeResult[T]], *args: Any) -> T:
        """Makes a change. Returns once a majority has stored it and it is applied here. Raises ApiProblem."""
        command = secrets.token_hex(8)
        for _ in range(MAX_CHANGE_ATTEMPTS):
            await self.wait_until_current()
            done, base, writes = await asyncio.get_running_loop().run_in_executor(
                self.executor, self._run_trial, call, args
            )
            if not writes:
                return done.result
            if await self._commit(Command(command, base, writes)):
                self.counters["changes"] += 1
                return done.result
            self.counters["again"] += 1
        raise ApiProblem(
            503,
            "refused",
            "Others change the rules at the same time; nothing was done.",
            {"Retry-After": "1"},
        )

    def _run_trial(
        self, call: Callable[..., ChangeResult[T]], args: Sequence[Any]
    ) -> tuple[ChangeResult[T], int, Any]:
        """Computes a change without keeping it. Returns its result, the version it builds on, its writes."""
        with self.db.dry_run() as writes:
            done = call(*args)
        return done, self.state.version, tuple(writes)

    async def _commit(self, command: Command) -> bool:
        """Proposes a command and waits for its outcome: whether it took effect."""
        proposed: concurrent.futures.Future[concurrent.futures.Future[bool]] = concurrent.futures.Future()
        self.loop.call_soon_threadsafe(lambda: proposed.set_result(self._propose(command)))
        outcome = await asyncio.wrap_future(proposed)
        try:
            return await asyncio.wait_for(asyncio.wrap_future(outcome), COMMIT_TIMEOUT_S)
        except TimeoutError:
            self.loop.call_soon_threadsafe(self._abandon_command, command.id)
            self.counters["unknown"] += 1
            raise ApiProblem(
                503,
                "unknown",
                "A majority did not answer in time: the change may come to hold "
                "still. Look before you repeat it; with the same Idempotency-Key or If-Match it "
                "is harmless.",
                {"Retry-After": "2"},
            ) from None

    # -- status and metrics
    def status(self) -> dict[str, Any]:
        """The `rules` object of `GET /v1/cluster`."""
        raft, now = self.driver.raft, self.transport.now()
        left = self.driver.session.lease.expires_at - now
        return {
            "version": self.state.version,
            "digest": self.state.digest,
            "applied": self.last_applied,
            "agreed": raft.commit_index,
            "term": raft.term,
            "leader": raft.leader or None,
            "role": "silent" if raft.halted else raft.role.value,
            "joined": raft.joined,
            "sealed": self.state.initialized,
            "acts": self.may_act(),
            "lease_ms": round(max(left, 0.0), 1),
            "peers": {name: peer.match_index for name, peer in raft.peers.items()}
            if raft.role is Role.LEADER
            else {},
        }

    def metrics_lines(self) -> list[str]:
        """The metrics `cluster_rules_...`, one a line."""
        raft = self.driver.raft
        lines = [
            f"cluster_rules_version {self.state.version}",
            f"cluster_rules_acts {int(self.may_act())}",
            f"cluster_rules_leads {int(self.driver.is_leader)}",
            f"cluster_rules_term {raft.term}",
        ]
        return lines + [f"cluster_rules_{name} {count}" for name, count in self.counters.items()]


def no_majority(why: str = "") -> ApiProblem:
    """The problem that is returned when no majority of the fleet answers."""
    return ApiProblem(
        503, "no-majority", why or "No majority of the fleet answers: nothing was done.", {"Retry-After": "1"}
    )
