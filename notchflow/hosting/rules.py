"""Rules that the fleet agrees on: the state behind the log, administration at any instance, leave to act.

A call is worked out on the state that is in force here, once this is certain to be the newest, and taken back
again; what it would write goes into the log with the version that it builds on, and holds only where nothing
has changed since. Where somebody else was first it is worked out once more. So a call is one wherever it is
made, and however often its proposal comes.
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

from notchflow.admin.operations import ApiProblem, Change, Done
from notchflow.cluster.agreement.driver import RaftDriver
from notchflow.cluster.agreement.raft import Raft
from notchflow.cluster.agreement.replica import HardState, RaftSettings, Role, Snapshot
from notchflow.cluster.agreement.session import SessionSettings
from notchflow.cluster.agreement.storage import LogStore, load_state
from notchflow.cluster.transport import ClusterTransport
from notchflow.net.exchange import LocalReply
from notchflow.state.database import Database
from notchflow.state.replicated import Applied, Command, Replicated, encode
from notchflow.store.commit import Committer
from notchflow.store.engine import Engine, Options
from notchflow.store.files import RealFiles
from notchflow.store.tools import store_clock
from notchflow.tenancy.model import TenantState
from notchflow.tenancy.problems import reply

log = logging.getLogger(__name__)
T = TypeVar("T")
FOLDER: Final = "agreement"  # below the folder of the member
TRIES: Final = 8  # of a call, where others are first
PATIENCE_S: Final = 4.0  # then it is not known whether a change holds
SEGMENT: Final = 4 << 20


@dataclass(slots=True)
class Waiting:
    """A call that has proposed a change."""

    base: int
    number: int
    done: concurrent.futures.Future[bool]


class FleetRules:
    """The state that the log builds, at one instance."""

    def __init__(
        self,
        name: str,
        roster: Sequence[str],
        edge: ClusterTransport,
        folder: Path,
        db: Database,
        trusted: bool,
        note: Callable[..., None],
    ) -> None:
        """`trusted`: whether the folder is this instance's own, as it left it. StoreError, ManifestError,
        Locked, OSError."""
        self.loop, self.edge, self.db, self.note = edge.loop, edge, db, note
        self.state = Replicated(db)
        self.thread = ThreadPoolExecutor(1, "state")
        self.on_applied: Callable[[Applied, list[Change]], None] = lambda applied, changes: None
        engine = Engine(RealFiles(folder / FOLDER), store_clock(), Options(SEGMENT))
        self.committer = Committer(engine, self.loop.call_soon_threadsafe)
        self.committer.start()
        found = load_state(engine, tuple(sorted(roster)), self.state.applied, self.state.term)
        hard = (
            found.hard_state
            if trusted
            else HardState(found.hard_state.term, found.hard_state.voted_for, False)
        )
        raft = Raft(
            name,
            found.base.roster,
            RaftSettings(),
            Random(secrets.randbits(64)),
            edge.now(),
            hard,
            found.log,
            self.state.weight() if not self.state.sealed else 0,
        )
        self.place = self.state.applied  # up to here entries are in force
        self.settings = SessionSettings()
        self.agreement = RaftDriver(edge, raft, self.settings, LogStore(self.committer, found), self)
        self.asked: dict[int, concurrent.futures.Future[int]] = {}
        self.due: list[tuple[int, concurrent.futures.Future[int]]] = []  # certain from an index on
        self.waiting: dict[str, Waiting] = {}
        self.seeding = False
        self.doubted = reply(
            503,
            "refused",
            "This instance does not know whether its rules still hold; "
            "nothing was done, trying again is harmless.",
            1.0,
        )
        self.figures = {"refused": 0, "changes": 0, "again": 0, "unknown": 0}
        self.closed = False

    # -- life
    def start(self) -> None:
        self.agreement.start()

    def stop(self) -> None:
        """Takes no part any more: nothing is agreed by way of this instance."""
        self.agreement.stop()

    def close(self) -> None:
        self.closed = True
        self.agreement.stop()
        self.thread.shutdown()
        self.committer.stop()

    # -- the door
    def rejection(self) -> LocalReply | None:
        """What a request is told while this instance may not act on its rules."""
        if self.agreement.holds_lease(self.edge.now()) and self.state.sealed:
            return None
        self.figures["refused"] += 1
        return self.doubted

    def may_act(self) -> bool:
        return self.state.sealed and self.agreement.holds_lease(self.edge.now())

    # -- the log asks (on the loop)
    def applied_index(self) -> int:
        return self.place

    def _on_thread(self, call: Callable[[], T], done: Callable[[T | None], None]) -> None:
        """Runs on the state's thread, and tells the loop; None where it failed."""

        def run() -> None:
            try:
                found: T | None = call()
            except Exception:
                log.exception("the state could not be changed")
                found = None
            if not self.closed:
                self.loop.call_soon_threadsafe(done, found)

        try:
            self.thread.submit(run)
        except RuntimeError:  # the service ends
            pass

    def apply(self, entries: Sequence[tuple[int, int, bytes | None]], done: Callable[[bool], None]) -> None:
        last = entries[-1][0]
        self._on_thread(partial(self._apply, entries), partial(self._put, last, done))

    def _apply(self, entries: Sequence[tuple[int, int, bytes | None]]) -> tuple[Applied, list[Change]]:
        applied = self.state.apply(entries)
        return applied, self._whole() if applied.whole else list(applied.changes)

    def _whole(self) -> list[Change]:
        tenants = [t for t in self.db.tenants() if t.state is not TenantState.GONE]
        return [*tenants, *self.db.live_keys()]

    def _put(
        self, last: int, done: Callable[[bool], None], found: tuple[Applied, list[Change]] | None
    ) -> None:
        if found is not None:
            self._in_force(last, *found)
        done(found is not None)
        if found is not None:
            self._answer()
            for command, base, held in found[0].fates:
                self._fate(command, base, held)

    def _in_force(self, last: int, applied: Applied, changes: list[Change]) -> None:
        self.on_applied(applied, changes)
        self.place = last
        self.note("rules", applied=last, version=self.state.version, digest=self.state.digest)
        if applied.whole:
            log.info(
                "rules: the fleet's state is in force here, version %d, %d changes",
                self.state.version,
                len(changes),
            )
        if applied.displaced:
            log.warning("rules: what was here before was another state; it lies in service.db.before")

    def load_snapshot(self, snapshot: Snapshot, done: Callable[[bool], None]) -> None:
        def run() -> tuple[Applied, list[Change]]:
            return self.state.load(snapshot.data), self._whole()

        def ended(found: tuple[Applied, list[Change]] | None) -> None:
            if found is not None:
                self._in_force(snapshot.index, *found)
            done(found is not None)
            if found is not None:
                self._answer()
                self._jumped()

        self._on_thread(run, ended)

    def dump_snapshot(self, done: Callable[[int, int, bytes], None]) -> None:
        def run() -> tuple[int, int, bytes]:
            return self.state.applied, self.state.term, self.state.dump()

        def ended(found: tuple[int, int, bytes] | None) -> None:
            if found is not None:
                done(*found)

        self._on_thread(run, ended)

    def leader_changed(self, leader: str, term: int) -> None:
        self.note("led", leader=leader, term=term)
        if leader:
            log.info("rules: %s leads", leader)
        else:
            log.info("rules: no leader is known")
        self._seed()

    # -- whose state begins the log
    def _seed(self) -> None:
        """The first leader hands its state to all, part by part."""
        if not self.agreement.is_leader or self.state.sealed or self.seeding or self.closed:
            return
        self.seeding = True
        asyncio.ensure_future(self._hand_over(), loop=self.loop)

    async def _hand_over(self) -> None:
        """Until it is done, or another leads. A part that is lost is not waited for without an end."""
        try:
            stages = await self.loop.run_in_executor(self.thread, self.state.stages)
            for stage in stages:
                base = self.state.version
                command = Command(secrets.token_hex(8), base, (), stage)
                held = asyncio.wrap_future(self._propose(command), loop=self.loop)
                if not await asyncio.wait_for(held, 10 * PATIENCE_S):
                    return
        except (TimeoutError, asyncio.CancelledError, RuntimeError):
            log.warning("rules: the state was not handed over; it is tried again")
        finally:
            self.seeding = False
            if not self.closed and not self.state.sealed:
                self.loop.call_later(1.0, self._seed)

    # -- certainty and proposals (on the loop)
    def read_completed(self, number: int, index: int | None) -> None:
        future = self.asked.pop(number, None)
        if future is None or future.done():
            return
        if index is None:
            future.set_exception(no_majority())
        else:
            self.due.append((index, future))
            self._answer()

    def _answer(self) -> None:
        ready = [future for index, future in self.due if index <= self.place]
        self.due = [one for one in self.due if one[0] > self.place]
        for future in ready:
            if not future.done():
                future.set_result(self.place)

    def _ask(self, future: concurrent.futures.Future[int]) -> None:
        if not self.state.sealed:
            future.set_exception(
                no_majority(
                    "The fleet has not agreed on its first state yet: all of the "
                    "roster must be there once."
                )
            )
            return
        self.asked[self.agreement.read_index()] = future

    def _propose(self, command: Command) -> concurrent.futures.Future[bool]:
        future: concurrent.futures.Future[bool] = concurrent.futures.Future()
        waiting = self.waiting[command.id] = Waiting(command.base, 0, future)
        waiting.number = self.agreement.propose(encode(command))
        return future

    def _fate(self, command: str, base: int, held: bool) -> None:
        """A try has come up in the log. An earlier one of the same call says nothing of the last."""
        waiting = self.waiting.get(command)
        if waiting is not None and waiting.base == base:
            self._over(command, held)

    def _over(self, command: str, held: bool) -> None:
        waiting = self.waiting.pop(command)
        self.agreement.finish_proposal(waiting.number)
        if not waiting.done.done():
            waiting.done.set_result(held)

    def _jumped(self) -> None:
        """The state came whole, without the entries that led to it."""
        for command, waiting in list(self.waiting.items()):
            if self.state.known(command):
                self._over(command, True)
            elif waiting.base != self.state.version:
                self._over(command, False)

    def give_up(self, command: str) -> None:
        waiting = self.waiting.pop(command, None)
        if waiting is not None:
            self.agreement.finish_proposal(waiting.number)

    # -- the administration (on its own thread's loop)
    async def newest(self) -> None:
        """Returns once all that was agreed when it was called is in force here. ApiProblem."""
        future: concurrent.futures.Future[int] = concurrent.futures.Future()
        self.loop.call_soon_threadsafe(self._ask, future)
        try:
            await asyncio.wait_for(asyncio.wrap_future(future), PATIENCE_S)
        except TimeoutError:
            raise no_majority() from None

    async def change(self, call: Callable[..., Done[T]], *args: Any) -> T:
        """A call that changes something: agreed by a majority, durable there, and in force here."""
        command = secrets.token_hex(8)
        for _ in range(TRIES):
            await self.newest()
            done, base, writes = await asyncio.get_running_loop().run_in_executor(
                self.thread, self._try, call, args
            )
            if not writes:
                return done.result
            if await self._agreed(Command(command, base, writes)):
                self.figures["changes"] += 1
                return done.result
            self.figures["again"] += 1
        raise ApiProblem(
            503,
            "refused",
            "Others change the rules at the same time; nothing was done.",
            {"Retry-After": "1"},
        )

    def _try(self, call: Callable[..., Done[T]], args: Sequence[Any]) -> tuple[Done[T], int, Any]:
        with self.db.trial() as writes:
            done = call(*args)
        return done, self.state.version, tuple(writes)

    async def _agreed(self, command: Command) -> bool:
        asked: concurrent.futures.Future[concurrent.futures.Future[bool]] = concurrent.futures.Future()
        self.loop.call_soon_threadsafe(lambda: asked.set_result(self._propose(command)))
        outcome = await asyncio.wrap_future(asked)
        try:
            return await asyncio.wait_for(asyncio.wrap_future(outcome), PATIENCE_S)
        except TimeoutError:
            self.loop.call_soon_threadsafe(self.give_up, command.id)
            self.figures["unknown"] += 1
            raise ApiProblem(
                503,
                "unknown",
                "A majority did not answer in time: the change may come to hold "
                "still. Look before you repeat it; with the same Idempotency-Key or If-Match it "
                "is harmless.",
                {"Retry-After": "2"},
            ) from None

    # -- what is shown
    def status(self) -> dict[str, Any]:
        raft, now = self.agreement.raft, self.edge.now()
        left = self.agreement.session.lease.expires_at - now
        return {
            "version": self.state.version,
            "digest": self.state.digest,
            "applied": self.place,
            "agreed": raft.commit_index,
            "term": raft.term,
            "leader": raft.leader or None,
            "role": "silent" if raft.halted else raft.role.value,
            "joined": raft.joined,
            "sealed": self.state.sealed,
            "acts": self.may_act(),
            "lease_ms": round(max(left, 0.0), 1),
            "peers": {name: peer.match_index for name, peer in raft.peers.items()}
            if raft.role is Role.LEADER
            else {},
        }

    def metrics_lines(self) -> list[str]:
        raft = self.agreement.raft
        found = [
            f"cluster_rules_version {self.state.version}",
            f"cluster_rules_acts {int(self.may_act())}",
            f"cluster_rules_leads {int(self.agreement.is_leader)}",
            f"cluster_rules_term {raft.term}",
        ]
        return found + [f"cluster_rules_{name} {count}" for name, count in self.figures.items()]


def no_majority(why: str = "") -> ApiProblem:
    return ApiProblem(
        503, "no-majority", why or "No majority of the fleet answers: nothing was done.", {"Retry-After": "1"}
    )
