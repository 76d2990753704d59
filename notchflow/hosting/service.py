"""The hosted service: the proxy on its event loop, the administration API and the database on threads."""

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

from notchflow.admin.api import Backend, create_app
from notchflow.admin.operations import ApiProblem, Change, Operations
from notchflow.admin.server import AdminServer
from notchflow.cluster.identity import IdentityError
from notchflow.effects.service import IdempotencyService
from notchflow.hosting.bridge import LoopBridge, apply
from notchflow.hosting.derived import admin_bounds, admission_settings, api_defaults, effect_rules
from notchflow.hosting.file import InvalidFileError, OperatorFile, load
from notchflow.hosting.membership import Membership
from notchflow.hosting.proxy import HostedHost
from notchflow.hosting.rules import FleetRules
from notchflow.interface import ListKind
from notchflow.net.collector import freeze_startup_objects
from notchflow.net.node_list import parse_address
from notchflow.state.database import Database, StateError
from notchflow.state.replicated import ApplyResult
from notchflow.store.commit import Committer
from notchflow.store.engine import Engine, EngineOptions, StoreError
from notchflow.store.files import RealFiles, StoreLockedError
from notchflow.store.manifest import ManifestError
from notchflow.store.tools import store_clock
from notchflow.tenancy.admission import TenantAdmission
from notchflow.tenancy.directory import Directory
from notchflow.tenancy.model import Tenant, TenantState

log = logging.getLogger(__name__)
T = TypeVar("T")

TOKEN_FILE: Final = "operator.token"
# The interpreter's thread switch interval (its default is 5 ms): the longest that a busy administration call
# delays the proxy's loop at a time.
SWITCH_INTERVAL_S: Final = 0.0005
KEY_USE_FLUSH_S: Final = 10.0  # between two batched writes of the keys' last use
RETIREMENT_DELAY_S: Final = 2.0


class Service:
    """One hosted proxy with its administration, state and fleet membership, made from an operator file."""

    def __init__(self, file: OperatorFile, loop: asyncio.AbstractEventLoop) -> None:
        self.file, self.loop = file, loop
        self.db = Database(file.state)
        self.committer: Committer | None = None
        self.membership: Membership | None = None
        try:
            self.operations = Operations(self.db, api_defaults(file))
            self.directory = Directory(
                file.tenants.limits.to_domain(),
                [r.to_domain() for r in file.tenants.routes],
                file.service.in_hand,
                self._finish_retirement,
            )
            self.admission = TenantAdmission(
                self.directory, admission_settings(file), self._pressure, secrets.token_hex(4).encode()
            )
            self.host = HostedHost(file.config(secrets.randbits(64)), loop, self.admission)
            self.admission.host = self.host
            self._join_fleet()
            self._open_effect_store()
            self.bridge = LoopBridge(loop, self.directory, self.host)
            self.backend = Backend(self.operations, self.bridge, self._fleet_rules())
            self.admin = AdminServer(
                create_app(self.backend), parse_address(file.admin.address), admin_bounds(file.admin)
            )
        except BaseException:
            self.db.close()
            if self.committer is not None:
                self.committer.stop()
            if self.membership is not None:
                self.membership.close()
            raise
        self.flush_timer: asyncio.TimerHandle | None = None

    def _join_fleet(self) -> None:
        """Creates the fleet membership, if the file has one. IdentityError, OSError."""
        model = self.file.cluster
        if model is None:
            return
        history = self.file.path.parent / model.history if model.history else None
        membership = Membership(
            model,
            self.file.state,
            self.file.secret,
            self.loop,
            self.host.set_instance_count,
            self.host.longest_deadline_ms,
            self.db,
            self.host.metrics.classes,
            history,
        )
        self.membership = self.host.membership = membership
        membership.on_accepting_changed.append(self._update_availability)
        self.directory.shared = membership.limits
        self.admission.readiness_reply = lambda: membership.ready(self.host.lifecycle.draining)
        if membership.rules is not None:
            membership.rules.on_applied = self._apply_agreed
            self.admission.check_rules = membership.rules.rejection
        self._update_availability()

    def _fleet_rules(self) -> FleetRules | None:
        return self.membership.rules if self.membership is not None else None

    def _apply_agreed(self, applied: ApplyResult, changes: list[Change]) -> None:
        """Applies changes that the fleet committed to the directory."""
        if applied.state_replaced:
            self.directory.replace(
                [c for c in changes if isinstance(c, Tenant)],
                [c for c in changes if not isinstance(c, Tenant)],
                time.monotonic(),
            )
            self.admin.spawn(self._delete_void_token)
        else:
            apply(self.directory, changes)

    async def _delete_void_token(self) -> None:
        """Deletes the token file if its token is void: another instance's state began the fleet's log."""
        path = self.file.state / TOKEN_FILE
        if path.exists():
            try:
                await self.backend.read(self.operations.authenticate, path.read_text().strip())
            except ApiProblem:
                path.unlink(missing_ok=True)
                log.warning(
                    "the operator's token in %s is void: another instance's state began the fleet's; "
                    "use its token",
                    path,
                )

    def _update_availability(self) -> None:
        assert self.membership is not None
        self.admission.unavailable_reply = self.membership.unavailable_reply()

    def _open_effect_store(self) -> None:
        """Opens and recovers the effect store. StoreError, ManifestError, StoreLockedError, OSError."""
        file = self.file
        if file.effects is None or file.effects_folder is None:
            return
        options = EngineOptions(int(file.effects.segment_mb * (1 << 20)))
        engine = Engine(RealFiles(file.effects_folder), store_clock(), options)
        committer = Committer(engine, self.loop.call_soon_threadsafe, int(file.effects.queue_mb * (1 << 20)))
        recovered = committer.start()
        self.committer = committer
        log.info(
            "effects: recovered %d keys; read %d bytes, loaded %d segments from hints, cut off %d torn bytes",
            recovered.records,
            recovered.scanned_bytes,
            recovered.hinted_segments,
            recovered.torn_bytes,
        )
        keeper = IdempotencyService(committer, self.host, self.host.timers.cancel)
        keeper.rules = effect_rules(file)
        self.admission.memory = self.host.keeper = keeper

    def _pressure(self) -> float:
        return self.host.balancer.throttle.pressure()

    def start(self) -> None:
        """Loads the tenants, then opens both listeners. OSError: an address is in use."""
        if self.membership is not None:
            self.membership.bind()
        fleet_rules = self._fleet_rules()
        token = (
            self.operations.ensure_operator_token()
            if fleet_rules is None or not fleet_rules.state.initialized
            else None
        )
        if token is not None:
            _write_secret(self.file.state / TOKEN_FILE, token)
            log.info("wrote an operator token to %s", self.file.state / TOKEN_FILE)
        for tenant in self.db.tenants(state=TenantState.RETIRING.value) if fleet_rules is None else []:
            self.operations.finish_retirement(tenant.id)  # no request is in hand at a start
        apply(self.directory, [t for t in self.db.tenants() if t.state is not TenantState.GONE])
        apply(self.directory, self.db.live_keys())
        self.host.start()
        self.admin.start()
        if self.membership is not None:
            self.membership.start()
        freeze_startup_objects()  # tenants, of which there may be ten thousand, live as long as the process
        self.flush_timer = self.loop.call_later(KEY_USE_FLUSH_S, self._flush_key_uses)
        log.info(
            "serving %d tenants on %s, administration on %s",
            len(self.directory.entries),
            ", ".join(entry.address for entry in self.file.listeners),
            self.file.admin.address,
        )

    def _finish_retirement(self, tenant: str) -> None:
        """Finishes a tenant's retirement on the administration's thread; called on the proxy's loop.

        In a fleet the first instance without requests of the tenant in hand finishes it, after a delay in
        which the other instances learn of the retirement.
        """
        if self._fleet_rules() is None:
            self.admin.spawn(lambda: self.backend.change(self.operations.finish_retirement, tenant))
        else:
            self.loop.call_later(
                RETIREMENT_DELAY_S,
                lambda: self.admin.spawn(
                    lambda: self.backend.change(self.operations.finish_retirement, tenant)
                ),
            )

    def _flush_key_uses(self) -> None:
        self.flush_timer = self.loop.call_later(KEY_USE_FLUSH_S, self._flush_key_uses)
        used = self.directory.take_key_uses()
        if used:
            self.admin.spawn(lambda: self.backend.read(self.db.record_key_use, used))

    def reload(self) -> list[str]:
        """Reloads the operator file; returns, and logs, the changed settings that need a restart."""
        try:
            file = load(self.file.path)
            # Classes change now, the section `effects` with the next start: together they must be valid too.
            rules = effect_rules(replace(file, effects=self.file.effects))
        except (InvalidFileError, ValueError) as error:
            log.error("the operator file stays as it was: %s", error)
            self.host.metrics.cfg_invalid += 1
            return []
        needs_restart = [
            name
            for name, current, new in (
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
                ("fleet", has_fixed_nodes(self.file), has_fixed_nodes(file)),
            )
            if current != new
        ]
        if needs_restart:
            log.warning("changed settings that wait for the next start: %s", ", ".join(needs_restart))
        current, config = self.host.config, file.config(self.host.config.seed)
        config = replace(config, settings=replace(config.settings, balancers=current.settings.balancers))
        # The policy must know a class before a route maps to it; requests in hand keep their class.
        self.host.reload(
            replace(
                config,
                name=current.name,
                listen=current.listen,
                also_listen=current.also_listen,
                console=current.console,
                memory_mb=current.memory_mb,
                sockets=current.sockets,
                discovery=current.discovery if "fleet" in needs_restart else config.discovery,
            )
        )
        if self.membership is not None and self.membership.limits is not None:
            self.membership.limits.set_max_in_hand(self.host.longest_deadline_ms)
        self.directory.set_defaults(
            file.tenants.limits.to_domain(),
            [r.to_domain() for r in file.tenants.routes],
            file.service.in_hand,
        )
        self.operations.defaults = api_defaults(file)
        self.admission.settings = admission_settings(file)
        if self.host.keeper is not None:
            self.host.keeper.rules = rules
        self.admin.limiter.limits = replace(
            self.admin.limiter.limits,
            body_max=file.admin.body_max,
            rate_per_s=file.admin.rate_per_s,
            burst=file.admin.burst,
        )
        self._apply_fixed_nodes(file)
        self.file = self._settings_in_force(file)
        log.info("the operator file was taken over")
        return needs_restart

    def _settings_in_force(self, file: OperatorFile) -> OperatorFile:
        """The settings in force: those in use, with the reloadable ones of the new file."""
        current = self.file
        unchanged = {"boxes": current.fleet.boxes, "discovery": current.fleet.discovery}
        return replace(
            current,
            tenants=file.tenants,
            classes=file.classes,
            service=current.service.model_copy(
                update={"in_hand": file.service.in_hand, "body_max": file.service.body_max}
            ),
            admin=current.admin.model_copy(
                update={
                    "body_max": file.admin.body_max,
                    "burst": file.admin.burst,
                    "rate_per_s": file.admin.rate_per_s,
                }
            ),
            fleet=file.fleet
            if has_fixed_nodes(current) == has_fixed_nodes(file)
            else file.fleet.model_copy(update=unchanged),
        )

    def _apply_fixed_nodes(self, file: OperatorFile) -> None:
        if has_fixed_nodes(file) and has_fixed_nodes(self.file) and file.fleet.boxes != self.file.fleet.boxes:
            self.host.apply(file.static_node_list(), ListKind.FULL)

    def stop(self) -> None:
        """Leaves the fleet and drains; the loop ends once no request is in hand."""
        if self.membership is not None:
            self.membership.leave()
        self.host.stop()

    def close(self) -> None:
        """Stops the administration and closes the state, after the loop has ended."""
        if self.flush_timer is not None:
            self.flush_timer.cancel()
        self.admin.stop()
        self.backend.executor.shutdown()
        used = self.directory.take_key_uses()
        if used:
            self.db.record_key_use(used)
        if self.committer is not None:
            self.committer.stop()
        if self.membership is not None:
            self.membership.close()
        self.db.close()


def has_fixed_nodes(file: OperatorFile) -> bool:
    """Whether the nodes are a static list; a change between that and discovery needs a restart."""
    return file.fleet.discovery is None


def _write_secret(path: Path, text: str) -> None:
    """Writes a file that only its owner can read, replacing any file of that name."""
    with contextlib.suppress(FileNotFoundError):
        path.unlink()
    handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    try:
        os.write(handle, text.encode() + b"\n")
        os.fsync(handle)
    finally:
        os.close(handle)


def serve(path: Path) -> int:
    """Runs the hosted service until SIGTERM or SIGINT; returns the exit status.

    2: invalid operator file; 1: the state cannot be opened or an address is in use.
    """
    try:
        file = load(path)
    except InvalidFileError as error:
        print(error, file=sys.stderr)
        return 2
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    loop = uvloop.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        service = Service(file, loop)
    except (StateError, StoreError, ManifestError, StoreLockedError, IdentityError, OSError) as error:
        print(f"notchflow: {error}", file=sys.stderr)
        return 1
    try:
        service.start()
    except OSError as error:
        print(f"notchflow: cannot listen: {error}", file=sys.stderr)
        service.close()
        return 1
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    loop.add_signal_handler(signal.SIGTERM, service.stop)
    loop.add_signal_handler(signal.SIGINT, service.stop)
    try:
        loop.run_forever()
    finally:
        service.close()
    return 0
