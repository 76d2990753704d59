"""The hosted service: the proxy on its loop, the administration on its own thread, the state on a third."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import secrets
import signal
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Final, TypeVar

import uvloop

from notchflow.admin.api import Backend, create
from notchflow.admin.operations import ApiProblem, Change, Operations
from notchflow.admin.server import AdminServer
from notchflow.cluster.identity import IdentityError
from notchflow.effects.keeper import Keeper
from notchflow.hosting.bridge import Bridge, apply
from notchflow.hosting.derived import bounds, defaults, face, rules
from notchflow.hosting.file import FileFaults, OperatorFile, load
from notchflow.hosting.membership import Membership
from notchflow.hosting.proxy import HostedHost
from notchflow.hosting.rules import FleetRules
from notchflow.interface import ListKind
from notchflow.net.collector import freeze_startup_objects
from notchflow.net.node_list import parse_address
from notchflow.state.database import Database, StateError
from notchflow.state.replicated import Applied
from notchflow.store.commit import Committer
from notchflow.store.engine import Engine, Options, StoreError
from notchflow.store.files import Locked, RealFiles
from notchflow.store.manifest import ManifestError
from notchflow.store.tools import store_clock
from notchflow.tenancy.directory import Directory
from notchflow.tenancy.door import TenantDoor
from notchflow.tenancy.model import Tenant, TenantState

log = logging.getLogger(__name__)
T = TypeVar("T")

TOKEN_FILE: Final = "operator.token"
# The interpreter lets the other thread go after this long (its default is 5 ms): the most that a busy
# administration call holds up the proxy's loop at a time.
SWITCH_S: Final = 0.0005
USED_EVERY_S: Final = 10.0  # keys' last use goes to disk this often, all at once
RETIRE_S: Final = 2.0


class Service:
    """One hosted proxy, from its file to its end."""

    def __init__(self, file: OperatorFile, loop: asyncio.AbstractEventLoop) -> None:
        self.file, self.loop = file, loop
        self.db = Database(file.state)
        self.committer: Committer | None = None
        self.membership: Membership | None = None
        try:
            self.operations = Operations(self.db, defaults(file))
            self.directory = Directory(
                file.tenants.limits.core(),
                [r.core() for r in file.tenants.routes],
                file.service.in_hand,
                self._drained,
            )
            self.door = TenantDoor(self.directory, face(file), self._pressure, secrets.token_hex(4).encode())
            self.host = HostedHost(file.config(secrets.randbits(64)), loop, self.door)
            self.door.host = self.host
            self._join()
            self._remember()
            self.bridge = Bridge(loop, self.directory, self.host)
            self.backend = Backend(self.operations, self.bridge, self._rules())
            self.admin = AdminServer(
                create(self.backend), parse_address(file.admin.address), bounds(file.admin)
            )
        except BaseException:
            self.db.close()
            if self.committer is not None:
                self.committer.stop()
            if self.membership is not None:
                self.membership.close()
            raise
        self.flushing: asyncio.TimerHandle | None = None

    def _join(self) -> None:
        """Becomes a member, if the file says so. IdentityError, OSError."""
        model = self.file.cluster
        if model is None:
            return
        history = self.file.path.parent / model.history if model.history else None
        member = Membership(
            model,
            self.file.state,
            self.file.secret,
            self.loop,
            self.host.rebalance,
            self.host.longest_deadline_ms,
            self.db,
            self.host.metrics.classes,
            history,
        )
        self.membership = self.host.membership = member
        member.changed.append(self._taking)
        self.directory.shared = member.limits
        self.door.readiness_reply = lambda: member.ready(self.host.lifecycle.draining)
        if member.rules is not None:
            member.rules.on_applied = self._agreed
            self.door.check_rules = member.rules.rejection
        self._taking()

    def _rules(self) -> FleetRules | None:
        return self.membership.rules if self.membership is not None else None

    def _agreed(self, applied: Applied, changes: list[Change]) -> None:
        """Rules that come into force here."""
        if applied.whole:
            self.directory.replace(
                [c for c in changes if isinstance(c, Tenant)],
                [c for c in changes if not isinstance(c, Tenant)],
                time.monotonic(),
            )
            self.admin.spawn(self._token_or_none)
        else:
            apply(self.directory, changes)

    async def _token_or_none(self) -> None:
        """The first token that was drawn here is void where another instance's state began the log."""
        path = self.file.state / TOKEN_FILE
        if path.exists():
            try:
                await self.backend.read(self.operations.actor, path.read_text().strip())
            except ApiProblem:
                path.unlink(missing_ok=True)
                log.warning(
                    "the operator's token in %s is void: another instance's state began the fleet's; "
                    "use its token",
                    path,
                )

    def _taking(self) -> None:
        assert self.membership is not None
        self.door.unavailable_reply = self.membership.turned_away()

    def _remember(self) -> None:
        """The memory of effects, recovered. StoreError, ManifestError, Locked, OSError."""
        file = self.file
        if file.effects is None or file.effects_folder is None:
            return
        options = Options(int(file.effects.segment_mb * (1 << 20)))
        engine = Engine(RealFiles(file.effects_folder), store_clock(), options)
        committer = Committer(engine, self.loop.call_soon_threadsafe, int(file.effects.queue_mb * (1 << 20)))
        recovered = committer.start()
        self.committer = committer
        log.info(
            "effects: %d keys recovered, %d bytes read, %d segments by hints, %d torn bytes cut off",
            recovered.records,
            recovered.scanned,
            recovered.hinted,
            recovered.torn,
        )
        keeper = Keeper(committer, self.host, self.host.timers.cancel)
        keeper.rules = rules(file)
        self.door.memory = self.host.keeper = keeper

    def _pressure(self) -> float:
        return self.host.balancer.throttle.pressure()

    def start(self) -> None:
        """Takes over the state, then opens both listeners. OSError: an address is taken."""
        if self.membership is not None:
            self.membership.bind()
        agreed = self._rules()
        token = self.operations.first_token() if agreed is None or not agreed.state.sealed else None
        if token is not None:
            _write_secret(self.file.state / TOKEN_FILE, token)
            log.info("an operator's token is in %s", self.file.state / TOKEN_FILE)
        for tenant in self.db.tenants(state=TenantState.RETIRING.value) if agreed is None else []:
            self.operations.finish_retirement(tenant.id)  # nothing is in hand at a start
        apply(self.directory, [t for t in self.db.tenants() if t.state is not TenantState.GONE])
        apply(self.directory, self.db.live_keys())
        self.host.start()
        self.admin.start()
        if self.membership is not None:
            self.membership.start()
        freeze_startup_objects()  # ten thousand tenants stay
        self.flushing = self.loop.call_later(USED_EVERY_S, self._flush)
        log.info(
            "serving %d tenants on %s, administration on %s",
            len(self.directory.entries),
            ", ".join(entry.address for entry in self.file.listeners),
            self.file.admin.address,
        )

    def _drained(self, tenant: str) -> None:
        """Told on the proxy's loop, so the state is changed elsewhere. In a fleet the first instance to have
        nothing in hand of a tenant ends it; a little later, as the others are told of the retirement now."""
        if self._rules() is None:
            self.admin.spawn(lambda: self.backend.change(self.operations.finish_retirement, tenant))
        else:
            self.loop.call_later(
                RETIRE_S,
                lambda: self.admin.spawn(
                    lambda: self.backend.change(self.operations.finish_retirement, tenant)
                ),
            )

    def _flush(self) -> None:
        self.flushing = self.loop.call_later(USED_EVERY_S, self._flush)
        used = self.directory.take_key_uses()
        if used:
            self.admin.spawn(lambda: self.backend.read(self.db.note_used, used))

    def reload(self) -> list[str]:
        """Takes over the file as it is now; what it says of things that only a start can change is told."""
        try:
            file = load(self.file.path)
        except FileFaults as error:
            log.error("the operator file stays as it was: %s", error)
            self.host.metrics.cfg_invalid += 1
            return []
        fixed = [
            name
            for name, old, new in (
                ("service.name", self.file.service.name, file.service.name),
                ("service.state", self.file.state, file.state),
                ("service.memory_mb", self.file.service.memory_mb, file.service.memory_mb),
                ("service.sockets", self.file.service.sockets, file.service.sockets),
                ("service.console", self.file.service.console, file.service.console),
                ("listeners", self.file.listeners, file.listeners),
                ("admin.address", self.file.admin.address, file.admin.address),
                ("admin.head_max", self.file.admin.head_max, file.admin.head_max),
                ("admin.timeout_s", self.file.admin.timeout_s, file.admin.timeout_s),
                ("admin.connections", self.file.admin.connections, file.admin.connections),
                ("effects", self.file.effects, file.effects),
                ("cluster", (self.file.cluster, self.file.secret), (file.cluster, file.secret)),
                ("fleet", listed(self.file), listed(file)),
            )
            if old != new
        ]
        if fixed:
            log.warning("these wait for the next start: %s", ", ".join(fixed))
        old, fresh = self.host.config, file.config(self.host.config.seed)
        fresh = replace(fresh, settings=replace(fresh.settings, balancers=old.settings.balancers))
        # A class must be known to the module before a route leads to it; requests in hand keep theirs.
        self.host.reload(
            replace(
                fresh,
                name=old.name,
                listen=old.listen,
                also_listen=old.also_listen,
                console=old.console,
                memory_mb=old.memory_mb,
                sockets=old.sockets,
                discovery=old.discovery if "fleet" in fixed else fresh.discovery,
            )
        )
        if self.membership is not None and self.membership.limits is not None:
            self.membership.limits.longest(self.host.longest_deadline_ms)
        self.directory.set_defaults(
            file.tenants.limits.core(), [r.core() for r in file.tenants.routes], file.service.in_hand
        )
        self.operations.defaults = defaults(file)
        self.door.face = face(file)
        if self.host.keeper is not None:
            self.host.keeper.rules = rules(replace(file, effects=self.file.effects))
        self.admin.bounded.bounds = replace(
            self.admin.bounded.bounds,
            body_max=file.admin.body_max,
            rate_per_s=file.admin.rate_per_s,
            burst=file.admin.burst,
        )
        self._move(file)
        self.file = self._in_force(file)
        log.info("the operator file was taken over")
        return fixed

    def _in_force(self, file: OperatorFile) -> OperatorFile:
        """What holds now: of the new file only what was taken over."""
        old = self.file
        kept = {"boxes": old.fleet.boxes, "discovery": old.fleet.discovery}
        return replace(
            old,
            tenants=file.tenants,
            classes=file.classes,
            service=old.service.model_copy(
                update={"in_hand": file.service.in_hand, "body_max": file.service.body_max}
            ),
            admin=old.admin.model_copy(
                update={
                    "body_max": file.admin.body_max,
                    "burst": file.admin.burst,
                    "rate_per_s": file.admin.rate_per_s,
                }
            ),
            fleet=file.fleet if listed(old) == listed(file) else file.fleet.model_copy(update=kept),
        )

    def _move(self, file: OperatorFile) -> None:
        if listed(file) and listed(self.file) and file.fleet.boxes != self.file.fleet.boxes:
            self.host.apply(file.listing(), ListKind.FULL)

    def stop(self) -> None:
        if self.membership is not None:
            self.membership.leave()
        self.host.stop()

    def end(self) -> None:
        """After the loop has ended: the administration, then the state."""
        if self.flushing is not None:
            self.flushing.cancel()
        self.admin.stop()
        self.backend.thread.shutdown()
        used = self.directory.take_key_uses()
        if used:
            self.db.note_used(used)
        if self.committer is not None:
            self.committer.stop()
        if self.membership is not None:
            self.membership.close()
        self.db.close()


def listed(file: OperatorFile) -> bool:
    """Whether the fleet is a fixed list; from that to discovery, or back, needs a start."""
    return file.fleet.discovery is None


def _write_secret(path: Path, text: str) -> None:
    """A file that only its owner reads, whatever was there."""
    with contextlib.suppress(FileNotFoundError):
        path.unlink()
    handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    try:
        os.write(handle, text.encode() + b"\n")
        os.fsync(handle)
    finally:
        os.close(handle)


def serve(path: Path) -> int:
    """Runs the hosted service by a file, until SIGTERM or SIGINT. 2: the file; 1: the state or an address."""
    try:
        file = load(path)
    except FileFaults as error:
        print(error, file=sys.stderr)
        return 2
    sys.setswitchinterval(SWITCH_S)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        service = Service(file, loop)
    except (StateError, StoreError, ManifestError, Locked, IdentityError, OSError) as error:
        print(f"notchflow: {error}", file=sys.stderr)
        return 1
    try:
        service.start()
    except OSError as error:
        print(f"notchflow: cannot listen: {error}", file=sys.stderr)
        service.end()
        return 1
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    loop.add_signal_handler(signal.SIGTERM, service.stop)
    loop.add_signal_handler(signal.SIGINT, service.stop)
    try:
        loop.run_forever()
    finally:
        service.end()
    return 0
