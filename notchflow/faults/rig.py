"""Plays a fault schedule on real processes: instances, relays between them, nodes and clients; one history.

The rig, its nodes and its clients share one event loop in a process of their own. Every wait is bounded.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import resource
import shutil
import time
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from typing import Any, Final

from notchflow.cluster.histories import HistoryLine, merge
from notchflow.cluster.history import History
from notchflow.faults import checks, schedule, versions
from notchflow.faults.administration import Administration
from notchflow.faults.schedule import ALL, Schedule
from notchflow.hosting.fleet import Fleet, Instance, Ports
from notchflow.tenancy.model import Limits
from standins.connections import ConnectionRecord
from standins.discovery import StandInDiscovery, node_entry
from standins.load import OpenLoop, StallHook
from standins.node import Execution, NodeProfile, StandInNode
from standins.ports import free_ports
from standins.relay import HEALTHY, LinkBehavior, Mesh
from standins.stalls import no_stall

TENANT: Final = "alfa"
SUSPENDED_TENANT: Final = "beta"  # the tenant that is suspended and resumed, where rules are the fleet's
SUSPENDED_TENANT_RATE: Final = 10.0  # requests a second at each instance
RUN_ON_S: Final = 2.0
NODE_COUNT: Final = 2
JOIN_TIMEOUT_S: Final = 20.0
CONVERGENCE_TIMEOUT_S: Final = 20.0  # views that differ after this time count as never converged
CLIENT_DRAIN_S: Final = 3.0
LOG_TAIL_BYTES: Final = 4_000
CONNECTION_END_SLACK_MS: Final = 1_500.0  # between the end of a process and the ends of its connections


@dataclass(slots=True)
class Outcome:
    """The result of a play."""

    lines: list[HistoryLine]
    bounds: checks.Bounds
    convergence_ms: float | None
    request_count: int = 0
    violations: list[checks.Violation] = field(default_factory=list)
    logs: dict[str, str] = field(default_factory=dict)  # the last part of each instance's log


class Rig:
    """One play of one schedule."""

    def __init__(
        self,
        folder: Path,
        plan: Schedule,
        rate: float = 0.0,
        extra_settings: str = "",
        limits: Limits | None = None,
        stall: StallHook = no_stall,
    ) -> None:
        """`rate`: requests a second at each instance. `extra_settings`: TOML added to the settings. `limits`:
        of the tenant, checked if given. `stall` is called at steps of this process and may block it."""
        self.limits, self.stall = limits, stall
        self.folder, self.plan, self.rate, self.extra_settings = folder, plan, rate, extra_settings
        self.active_faults: dict[int, Any] = {}  # faults of links that are in effect
        self.inactive_flaps: set[int] = set()  # flaps that do not cut at present
        self.tasks: set[asyncio.Task[None]] = set()
        self.twins: list[Instance] = []
        self.request_numbers = itertools.count(1)
        self.open_loops: list[OpenLoop] = []
        self.shares_rules = 'rules = "fleet"' in extra_settings

    async def play(self) -> Outcome:
        """Starts the fleet, injects the faults, ends them all, and waits until all views agree again."""
        async with AsyncExitStack() as stack:
            self.notes = History(self.folder / "rig.jsonl", "rig")
            stack.callback(self.notes.close)
            registry = await self._start_nodes(stack)
            self.fleet = Fleet(
                self.folder,
                self.plan.instances,
                registry.address,
                [TENANT, SUSPENDED_TENANT],
                self.extra_settings,
                self.limits or AMPLE_LIMITS,
            )
            self.mesh = Mesh(self.fleet.endpoints(), self.plan.seed)
            stack.callback(self.mesh.stop)
            self.mesh.start()
            self.fleet.address_books = {name: self.mesh.address_book(name) for name in self.fleet.names}
            self.fleet.prepare()
            stack.push_async_callback(self.fleet.stop)
            stack.callback(self._kill_twins)
            for instance in self.fleet.instances.values():
                self._spawn(instance)
            await asyncio.gather(*(instance.wait_until_ready() for instance in self.fleet.instances.values()))
            first = await self.fleet.wait_until_agreed(JOIN_TIMEOUT_S, self.plan.instances)
            self._note("joined", ms=None if first is None else first * 1e3)
            bounds = await self._bounds()
            clients = [
                asyncio.create_task(self._run_clients(instance))
                for instance in self.fleet.instances.values()
                if self.rate
            ]
            if self.shares_rules:
                clients += [
                    asyncio.create_task(self._run_clients(instance, SUSPENDED_TENANT))
                    for instance in self.fleet.instances.values()
                ]
                operator = Administration(self.fleet, SUSPENDED_TENANT, self.plan.seed, self._note)
                clients.append(asyncio.create_task(operator.run()))
            await self._inject_faults()
            agreed = await self._heal(bounds)
            if self.shares_rules:
                await asyncio.sleep(RUN_ON_S)  # calls continue with all links restored
            await self._stop_clients(clients)
        lines = merge(
            [
                self.folder / "rig.jsonl",
                *(instance.history for instance in [*self.fleet.instances.values(), *self.twins]),
            ]
        )
        asked = sum(line["what"] == "answer" for line in lines)
        logs = {name: instance.log[-LOG_TAIL_BYTES:] for name, instance in self.fleet.instances.items()}
        return Outcome(lines, bounds, agreed, asked, self._check(lines, bounds), logs)

    def _check(self, lines: list[HistoryLine], bounds: checks.Bounds) -> list[checks.Violation]:
        """Checks the rules that hold for every schedule."""
        limit = (
            checks.check_rate_limit(lines, self.limits.rate_per_s, self.limits.burst, RATE_LIMIT_TOLERANCE)
            if self.limits is not None
            else []
        )
        agreed = (
            [
                *versions.check_linearizable(lines),
                *versions.check_suspensions(lines, bounds.rules_ms, SLACK_MS),
            ]
            if self.shares_rules
            else []
        )
        return [
            *limit,
            *agreed,
            *checks.check_incarnations(lines),
            *checks.check_convergence(lines, bounds, SLACK_MS),
            *checks.check_one_instance_per_name(lines, bounds, SLACK_MS),
            *checks.check_answered_once(lines, CONNECTION_END_SLACK_MS),
        ]

    def _note(self, what: str, **more: Any) -> None:
        self.notes.note("", what, **more)

    # -- discovery, nodes and clients
    async def _start_nodes(self, stack: AsyncExitStack) -> StandInDiscovery:
        registry = StandInDiscovery()
        await registry.start()
        stack.callback(registry.stop)
        for number in range(NODE_COUNT):
            node = StandInNode(f"box-{number + 1}", NodeProfile(0.002, 4, 128))
            node.on_execution, node.on_step = self._note_execution, self.stall
            await node.start()
            stack.callback(node.stop)
            await registry.put(node_entry(node.name, node.address))
        return registry

    def _note_execution(self, execution: Execution, headers: dict[bytes, bytes], body: bytes) -> None:
        if execution.key:
            self._note("ran", key=execution.key, unsafe=execution.path.endswith("/pay"))

    async def _run_clients(self, instance: Instance, tenant: str = TENANT) -> None:
        rng = random.Random(f"{self.plan.seed} {instance.name}")
        token = self.fleet.tokens[tenant]

        def draw() -> tuple[bytes, str]:
            number, day = next(self.request_numbers), rng.randrange(30)
            if tenant == SUSPENDED_TENANT:
                self._note("asking", id=str(number))
            head = f"Host: fleet\r\nAuthorization: Bearer {token}\r\n"
            if rng.random() < 0.1:
                return (
                    f"POST /orders/{day}/pay HTTP/1.1\r\n{head}Idempotency-Key: {instance.name}-{number}\r\n"
                    "Content-Length: 2\r\n\r\n{}"
                ).encode(), str(number)
            return f"GET /menus/{day} HTTP/1.1\r\n{head}\r\n".encode(), str(number)

        def observe(label: str, status: int, ms: float, node: str) -> None:
            self._note("answer", id=label, instance=instance.name, status=status, ms=round(ms, 1))

        def lost(label: str, record: ConnectionRecord) -> None:
            self._note("lost", id=label, instance=instance.name, **record.fields())

        rate = self.rate if tenant == TENANT else SUSPENDED_TENANT_RATE
        open_loop = OpenLoop(instance.ports.clients, rate, draw, 32, observe, lost, self.stall)
        self.open_loops.append(open_loop)
        await open_loop.run(3_600.0)

    async def _stop_clients(self, clients: Iterable[asyncio.Task[None]]) -> None:
        """Sends no more requests, and waits up to CLIENT_DRAIN_S for the answers to outstanding ones."""
        for task in clients:
            task.cancel()
        deadline = time.monotonic() + CLIENT_DRAIN_S
        while any(a.busy for p in self.open_loops for a in p.connections) and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        for open_loop in self.open_loops:
            for connection in open_loop.connections:
                if connection.busy:
                    self._note("answer", id=connection.label, instance="nobody", status=0, ms=-1)
                connection.busy = False
                connection.close()

    async def _bounds(self) -> checks.Bounds:
        views = await self.fleet.views()
        reported = next(iter(views.values()))["bounds"]
        return checks.Bounds(
            reported["detection_ms"],
            reported["heal_ms"],
            reported["one_name_ms"],
            reported.get("rules_ms", 0.0),
        )

    # -- faults
    async def _inject_faults(self) -> None:
        """Begins and ends the faults of the schedule at their times."""
        steps: list[tuple[float, int, Callable[[], None]]] = []
        for number, fault in enumerate(self.plan.faults):
            steps.append((fault.at_s, len(steps), partial(self._begin_fault, number, fault)))
            if fault.for_s:
                steps.append((fault.at_s + fault.for_s, len(steps), partial(self._end_fault, number, fault)))
        started_at = time.monotonic()
        for at, _, call in sorted(steps, key=lambda step: step[:2]):
            await asyncio.sleep(max(started_at + at - time.monotonic(), 0.0))
            call()
        await asyncio.sleep(max(started_at + self.plan.seconds - time.monotonic(), 0.0))

    def _begin_fault(self, number: int, fault: Any) -> None:
        self._note("fault", number=number, kind=fault.kind)
        match fault:
            case schedule.Kill():
                for name in fault.who:
                    self._kill(self.fleet.instances[name])
            case schedule.Pause():
                for name in fault.who:
                    instance = self.fleet.instances[name]
                    if instance.running and not instance.paused:
                        self._note("paused", subject=name)
                        instance.pause()
            case schedule.Restart():
                self._start_task(self._restart([self.fleet.instances[name] for name in fault.who]))
            case schedule.Twin():
                for name in fault.who:
                    self._start_twin(self.fleet.instances[name])
            case schedule.Disk():
                self._limit_file_sizes(fault.who, fault.room_kb << 10)
            case schedule.Flap():
                self.active_faults[number] = fault
                self._start_task(self._flap(number, fault))
                self._update_links()
            case _:
                self.active_faults[number] = fault
                self._update_links()

    def _end_fault(self, number: int, fault: Any) -> None:
        self._note("healed", number=number, kind=fault.kind)
        match fault:
            case schedule.Kill():
                for name in fault.who:
                    self._start_killed(self.fleet.instances[name], fault.folder)
            case schedule.Pause():
                for name in fault.who:
                    self._resume(self.fleet.instances[name])
            case schedule.Twin():
                self._kill_twins()
            case schedule.Disk():
                self._limit_file_sizes(fault.who, resource.RLIM_INFINITY)
            case _:
                self.active_faults.pop(number, None)
                self._update_links()

    async def _heal(self, bounds: checks.Bounds) -> float | None:
        """Ends all faults. Returns the milliseconds until all views agree, or None if they don't in time."""
        self.active_faults.clear()
        self._update_links()
        self._limit_file_sizes(self.fleet.names, resource.RLIM_INFINITY)
        for instance in self.fleet.instances.values():
            self._resume(instance)
        if self.tasks:
            await asyncio.wait(list(self.tasks), timeout=CONVERGENCE_TIMEOUT_S)
        for instance in self.fleet.instances.values():
            if instance.running and instance.name not in [twin.name for twin in self.twins]:
                await instance.wait_until_ready(joined=False)
        self._note("whole")
        running_count = sum(instance.running for instance in self.fleet.instances.values())
        agreed = await self.fleet.wait_until_agreed(CONVERGENCE_TIMEOUT_S, running_count)
        ms = None if agreed is None else agreed * 1e3
        if not any(twin.running for twin in self.twins):
            self._note("agreed", ms=ms)
        return ms

    def _start_task(self, work: Any) -> None:
        task: asyncio.Task[None] = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # -- links
    async def _flap(self, number: int, fault: schedule.Flap) -> None:
        while number in self.active_faults:
            await asyncio.sleep(fault.period_s / 2)
            self.inactive_flaps ^= {number}
            self._update_links()

    def _update_links(self) -> None:
        """Sets the behavior of each link from all faults that are in effect."""
        for (a, b), relay in self.mesh.relays.items():
            behavior = HEALTHY
            for number, fault in self.active_faults.items():
                if number not in self.inactive_flaps:
                    behavior = apply_fault(behavior, fault, a, b)
            relay.behavior = behavior

    # -- processes
    def _spawn(self, instance: Instance) -> None:
        self.stall("before a start")
        instance.spawn()
        self.stall("after a start")
        assert instance.process is not None
        self._note("started", subject=instance.name, pid=instance.process.pid)

    def _kill(self, instance: Instance) -> None:
        if instance.running:
            assert instance.process is not None
            self._note("killed", subject=instance.name, pid=instance.process.pid)
            instance.kill()

    def _start_killed(self, instance: Instance, folder: str) -> None:
        if instance.running:
            return
        if folder == "empty":
            self.fleet.reset_state(instance.name)
        elif folder == "copied":
            copy_folder(instance.folder / "state", instance.folder / "state.copy")
            shutil.rmtree(instance.folder / "state")
            (instance.folder / "state.copy").rename(instance.folder / "state")
        self._spawn(instance)

    def _resume(self, instance: Instance) -> None:
        if instance.paused and instance.running:
            instance.resume()
            self._note("resumed", subject=instance.name)

    def _limit_file_sizes(self, names: Iterable[str], room: int) -> None:
        """Limits the size, in bytes, of each file of running processes. Those started later have no limit."""
        for name in names:
            instance = self.fleet.instances[name]
            if instance.running:
                assert instance.process is not None
                _, hard = resource.prlimit(instance.process.pid, resource.RLIMIT_FSIZE)
                resource.prlimit(instance.process.pid, resource.RLIMIT_FSIZE, (room, hard))

    async def _restart(self, instances: list[Instance]) -> None:
        for instance in instances:
            if not instance.running or instance.paused:
                continue
            assert instance.process is not None
            self._note("terminated", subject=instance.name, pid=instance.process.pid)
            self.stall("before SIGTERM")
            instance.terminate()
            self.stall("after SIGTERM")
            await instance.wait_until_ended()
            self._note("ended", subject=instance.name, pid=instance.process.pid)
            self._spawn(instance)
            await instance.wait_until_ready(joined=False)

    def _start_twin(self, instance: Instance) -> None:
        folder = self.folder / f"{instance.name}-twin-{len(self.twins) + 1}"
        twin = Instance(instance.name, folder, Ports(*free_ports(3)), instance.token)
        folder.mkdir()
        copy_folder(instance.folder / "state", folder / "state")
        text = instance.file.read_text()
        for old, new in (
            (instance.ports.clients, twin.ports.clients),
            (instance.ports.admin, twin.ports.admin),
            (instance.ports.cluster, twin.ports.cluster),
        ):
            text = text.replace(f'address = "127.0.0.1:{old}"', f'address = "127.0.0.1:{new}"')
            text = text.replace(f'listen = "127.0.0.1:{old}"', f'listen = "127.0.0.1:{new}"')
        twin.file.write_text(text)
        self.twins.append(twin)
        self._spawn(twin)
        self.mesh.places[instance.name] = "127.0.0.1", twin.ports.cluster

    def _kill_twins(self) -> None:
        for twin in self.twins:
            self._kill(twin)
            self.mesh.places[twin.name] = "127.0.0.1", self.fleet.instances[twin.name].ports.cluster


AMPLE_LIMITS: Final = Limits(
    rate_per_s=10_000.0, burst=10_000.0, in_hand=10_000
)  # where no limits are checked
RATE_LIMIT_TOLERANCE: Final = 5.0  # answers that a busy machine may deliver at the same time
SLACK_MS: Final = 1_500.0  # for ten processes and the rig on one machine, and the rig's polling


def copy_folder(source: Path, target: Path) -> None:
    """Copies a folder as if to another machine: new files of the same content. The source may be in use."""
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(source, target)


def apply_fault(behavior: LinkBehavior, fault: Any, a: str, b: str) -> LinkBehavior:
    """The behavior of the link from `a` to `b` with one more fault."""
    if isinstance(fault, schedule.Islands):
        return replace(behavior, cut=behavior.cut or _are_separated(fault.groups, a, b))
    if isinstance(fault, schedule.Bridge):
        linked = a in fault.middle or b in fault.middle or not _are_separated(fault.sides, a, b)
        return replace(behavior, cut=behavior.cut or not linked)
    if not isinstance(fault, schedule.OnLinks) or not (
        _includes(fault.senders, a) and _includes(fault.to, b)
    ):
        return behavior
    match fault:
        case schedule.Loss():
            return replace(behavior, loss=1 - (1 - behavior.loss) * (1 - fault.part))
        case schedule.Double():
            return replace(behavior, duplicated=max(behavior.duplicated, fault.part))
        case schedule.Reorder():
            return replace(behavior, reordered=max(behavior.reordered, fault.part), held_ms=fault.held_ms)
        case schedule.Delay():
            return replace(
                behavior, delay_ms=behavior.delay_ms + fault.median_ms, sigma=max(behavior.sigma, fault.sigma)
            )
        case schedule.Trickle():
            bound = fault.bytes_per_s
            return replace(behavior, bytes_per_s=min(behavior.bytes_per_s or bound, bound))
        case schedule.Hush():
            return replace(behavior, silent=True)
        case _:
            return replace(behavior, cut=True)


def _includes(names: list[str], name: str) -> bool:
    return ALL in names or name in names


def _are_separated(groups: list[list[str]], a: str, b: str) -> bool:
    return not any(a in group and b in group for group in groups)
