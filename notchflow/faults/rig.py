"""Plays a schedule on real processes: instances, relays between them, boxes that count, clients; one history.

Runs on one loop, in one process beside the instances. All that is waited for is bounded.
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
from standins.box import Box, Execution, Work
from standins.connections import ConnectionRecord
from standins.discovery import Registry, member
from standins.holds import no_hold
from standins.load import Hold, Paced
from standins.ports import free_ports
from standins.relay import WHOLE, Law, Mesh

TENANT: Final = "alfa"
CHANGED: Final = "beta"  # the tenant that is suspended and resumed, where rules are the fleet's
CHANGED_RATE: Final = 10.0  # requests a second at each instance
AFTER_S: Final = 2.0
BOXES: Final = 2
JOIN_S: Final = 20.0
SETTLE_S: Final = 20.0  # views that are not equal by then are said not to become so
CLIENTS_END_S: Final = 3.0
LOG_SHOWN: Final = 4_000  # bytes
AT_THE_END_MS: Final = 1_500.0  # what a connection's end may lie off from its process's


@dataclass(slots=True)
class Outcome:
    """What a play gave."""

    lines: list[HistoryLine]
    bounds: checks.Bounds
    agreed_ms: float | None
    asked: int = 0
    broken: list[checks.Broken] = field(default_factory=list)
    logs: dict[str, str] = field(default_factory=dict)  # the end of each instance's own log


class Rig:
    """One play of one schedule."""

    def __init__(
        self,
        folder: Path,
        plan: Schedule,
        rate: float = 0.0,
        more: str = "",
        limits: Limits | None = None,
        hold: Hold = no_hold,
    ) -> None:
        """`rate`: requests a second at each instance. `limits`: of the one tenant, which are judged. `hold`:
        holds this process, with its clients and nodes, up at some of their steps."""
        self.limits, self.hold = limits, hold
        self.folder, self.plan, self.rate, self.more = folder, plan, rate, more
        self.active: dict[int, Any] = {}  # faults of links that hold now
        self.off: set[int] = set()  # flaps in their whole half
        self.tasks: set[asyncio.Task[None]] = set()
        self.twins: list[Instance] = []
        self.numbers = itertools.count(1)
        self.paced: list[Paced] = []
        self.agrees = 'rules = "fleet"' in more

    async def play(self) -> Outcome:
        """Starts the fleet, breaks it as planned, heals all, and waits until it agrees again."""
        async with AsyncExitStack() as stack:
            self.notes = History(self.folder / "rig.jsonl", "rig")
            stack.callback(self.notes.close)
            registry = await self._boxes(stack)
            self.fleet = Fleet(
                self.folder,
                self.plan.instances,
                registry.address,
                [TENANT, CHANGED],
                self.more,
                self.limits or AMPLE,
            )
            self.mesh = Mesh(self.fleet.places(), self.plan.seed)
            stack.callback(self.mesh.stop)
            self.mesh.start()
            self.fleet.books = {name: self.mesh.book(name) for name in self.fleet.names}
            self.fleet.prepare()
            stack.push_async_callback(self.fleet.stop)
            stack.callback(self._end_twins)
            for one in self.fleet.instances.values():
                self._spawn(one)
            await asyncio.gather(*(one.ready() for one in self.fleet.instances.values()))
            first = await self.fleet.agreed(JOIN_S, self.plan.instances)
            self._note("joined", ms=None if first is None else first * 1e3)
            bounds = await self._bounds()
            clients = [
                asyncio.create_task(self._clients(one)) for one in self.fleet.instances.values() if self.rate
            ]
            if self.agrees:
                clients += [
                    asyncio.create_task(self._clients(one, CHANGED)) for one in self.fleet.instances.values()
                ]
                operator = Administration(self.fleet, CHANGED, self.plan.seed, self._note)
                clients.append(asyncio.create_task(operator.run()))
            await self._break()
            agreed = await self._heal(bounds)
            if self.agrees:
                await asyncio.sleep(AFTER_S)  # calls go on, all links whole
            await self._end_clients(clients)
        lines = merge(
            [
                self.folder / "rig.jsonl",
                *(one.history for one in [*self.fleet.instances.values(), *self.twins]),
            ]
        )
        asked = sum(line["what"] == "answer" for line in lines)
        logs = {name: one.log[-LOG_SHOWN:] for name, one in self.fleet.instances.items()}
        return Outcome(lines, bounds, agreed, asked, self._judge(lines, bounds), logs)

    def _judge(self, lines: list[HistoryLine], bounds: checks.Bounds) -> list[checks.Broken]:
        """The rules that hold whatever the schedule was."""
        limit = (
            checks.within_limit(lines, self.limits.rate_per_s, self.limits.burst, SPARE)
            if self.limits is not None
            else []
        )
        agreed = (
            [*versions.linearizable(lines), *versions.suspended_in_time(lines, bounds.rules_ms, SLACK_MS)]
            if self.agrees
            else []
        )
        return [
            *limit,
            *agreed,
            *checks.no_life_returns(lines),
            *checks.healed(lines, bounds, SLACK_MS),
            *checks.one_instance_a_name(lines, bounds, SLACK_MS),
            *checks.answered_once(lines, AT_THE_END_MS),
        ]

    def _note(self, what: str, **more: Any) -> None:
        self.notes.note("", what, **more)

    # -- what stands around the fleet
    async def _boxes(self, stack: AsyncExitStack) -> Registry:
        registry = Registry()
        await registry.start()
        stack.callback(registry.stop)
        for number in range(BOXES):
            box = Box(f"box-{number + 1}", Work(0.002, 4, 128))
            box.watch, box.hold = self._ran, self.hold
            await box.start()
            stack.callback(box.stop)
            await registry.put(member(box.name, box.address))
        return registry

    def _ran(self, execution: Execution, fields: dict[bytes, bytes], body: bytes) -> None:
        if execution.key:
            self._note("ran", key=execution.key, unsafe=execution.path.endswith("/pay"))

    async def _clients(self, one: Instance, tenant: str = TENANT) -> None:
        rng = random.Random(f"{self.plan.seed} {one.name}")
        token = self.fleet.tokens[tenant]

        def draw() -> tuple[bytes, str]:
            number, day = next(self.numbers), rng.randrange(30)
            if tenant == CHANGED:
                self._note("asking", id=str(number))
            head = f"Host: fleet\r\nAuthorization: Bearer {token}\r\n"
            if rng.random() < 0.1:
                return (
                    f"POST /orders/{day}/pay HTTP/1.1\r\n{head}Idempotency-Key: {one.name}-{number}\r\n"
                    "Content-Length: 2\r\n\r\n{}"
                ).encode(), str(number)
            return f"GET /menus/{day} HTTP/1.1\r\n{head}\r\n".encode(), str(number)

        def observe(label: str, status: int, ms: float, box: str) -> None:
            self._note("answer", id=label, instance=one.name, status=status, ms=round(ms, 1))

        def lost(label: str, record: ConnectionRecord) -> None:
            self._note("lost", id=label, instance=one.name, **record.fields())

        rate = self.rate if tenant == TENANT else CHANGED_RATE
        paced = Paced(one.ports.clients, rate, draw, 32, observe, lost, self.hold)
        self.paced.append(paced)
        await paced.run(3_600.0)

    async def _end_clients(self, clients: Iterable[asyncio.Task[None]]) -> None:
        """No more requests; those that are out have their answers within a bound."""
        for task in clients:
            task.cancel()
        until = time.monotonic() + CLIENTS_END_S
        while any(a.busy for p in self.paced for a in p.all) and time.monotonic() < until:
            await asyncio.sleep(0.01)
        for paced in self.paced:
            for asker in paced.all:
                if asker.busy:
                    self._note("answer", id=asker.label, instance="nobody", status=0, ms=-1)
                asker.busy = False
                asker.close()

    async def _bounds(self) -> checks.Bounds:
        views = await self.fleet.views()
        told = next(iter(views.values()))["bounds"]
        return checks.Bounds(
            told["detection_ms"], told["heal_ms"], told["one_name_ms"], told.get("rules_ms", 0.0)
        )

    # -- breaking
    async def _break(self) -> None:
        """Goes through the plan by the clock."""
        steps: list[tuple[float, int, Callable[[], None]]] = []
        for number, fault in enumerate(self.plan.faults):
            steps.append((fault.at_s, len(steps), partial(self._begin, number, fault)))
            if fault.for_s:
                steps.append((fault.at_s + fault.for_s, len(steps), partial(self._end, number, fault)))
        begun = time.monotonic()
        for at, _, call in sorted(steps, key=lambda step: step[:2]):
            await asyncio.sleep(max(begun + at - time.monotonic(), 0.0))
            call()
        await asyncio.sleep(max(begun + self.plan.seconds - time.monotonic(), 0.0))

    def _begin(self, number: int, fault: Any) -> None:
        self._note("fault", number=number, kind=fault.kind)
        match fault:
            case schedule.Kill():
                for name in fault.who:
                    self._kill(self.fleet.instances[name])
            case schedule.Pause():
                for name in fault.who:
                    one = self.fleet.instances[name]
                    if one.running and not one.paused:
                        self._note("paused", subject=name)
                        one.pause()
            case schedule.Restart():
                self._task(self._restart([self.fleet.instances[name] for name in fault.who]))
            case schedule.Twin():
                for name in fault.who:
                    self._twin(self.fleet.instances[name])
            case schedule.Disk():
                self._files(fault.who, fault.room_kb << 10)
            case schedule.Flap():
                self.active[number] = fault
                self._task(self._flap(number, fault))
                self._links()
            case _:
                self.active[number] = fault
                self._links()

    def _end(self, number: int, fault: Any) -> None:
        self._note("healed", number=number, kind=fault.kind)
        match fault:
            case schedule.Kill():
                for name in fault.who:
                    self._start_again(self.fleet.instances[name], fault.folder)
            case schedule.Pause():
                for name in fault.who:
                    self._resume(self.fleet.instances[name])
            case schedule.Twin():
                self._end_twins()
            case schedule.Disk():
                self._files(fault.who, resource.RLIM_INFINITY)
            case _:
                self.active.pop(number, None)
                self._links()

    async def _heal(self, bounds: checks.Bounds) -> float | None:
        """All links whole, nobody paused; how long until all views are equal, in milliseconds."""
        self.active.clear()
        self._links()
        self._files(self.fleet.names, resource.RLIM_INFINITY)
        for one in self.fleet.instances.values():
            self._resume(one)
        if self.tasks:
            await asyncio.wait(list(self.tasks), timeout=SETTLE_S)
        for one in self.fleet.instances.values():
            if one.running and one.name not in [twin.name for twin in self.twins]:
                await one.ready(joined=False)
        self._note("whole")
        living = sum(one.running for one in self.fleet.instances.values())
        agreed = await self.fleet.agreed(SETTLE_S, living)
        ms = None if agreed is None else agreed * 1e3
        if not any(twin.running for twin in self.twins):
            self._note("agreed", ms=ms)
        return ms

    def _task(self, work: Any) -> None:
        task: asyncio.Task[None] = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # -- links
    async def _flap(self, number: int, fault: schedule.Flap) -> None:
        while number in self.active:
            await asyncio.sleep(fault.period_s / 2)
            self.off ^= {number}
            self._links()

    def _links(self) -> None:
        """The law of each link, from all the faults that hold now."""
        for (a, b), relay in self.mesh.relays.items():
            law = WHOLE
            for number, fault in self.active.items():
                if number not in self.off:
                    law = broken(law, fault, a, b)
            relay.law = law

    # -- processes
    def _spawn(self, one: Instance) -> None:
        self.hold("before a start")
        one.spawn()
        self.hold("after a start")
        assert one.process is not None
        self._note("started", subject=one.name, pid=one.process.pid)

    def _kill(self, one: Instance) -> None:
        if one.running:
            assert one.process is not None
            self._note("killed", subject=one.name, pid=one.process.pid)
            one.kill()

    def _start_again(self, one: Instance, folder: str) -> None:
        if one.running:
            return
        if folder == "empty":
            self.fleet.lose_state(one.name)
        elif folder == "copied":
            copy_folder(one.folder / "state", one.folder / "state.copy")
            shutil.rmtree(one.folder / "state")
            (one.folder / "state.copy").rename(one.folder / "state")
        self._spawn(one)

    def _resume(self, one: Instance) -> None:
        if one.paused and one.running:
            one.resume()
            self._note("resumed", subject=one.name)

    def _files(self, names: Iterable[str], room: int) -> None:
        """So many bytes may each file of these processes have; a process that starts has all."""
        for name in names:
            one = self.fleet.instances[name]
            if one.running:
                assert one.process is not None
                _, hard = resource.prlimit(one.process.pid, resource.RLIMIT_FSIZE)
                resource.prlimit(one.process.pid, resource.RLIMIT_FSIZE, (room, hard))

    async def _restart(self, them: list[Instance]) -> None:
        for one in them:
            if not one.running or one.paused:
                continue
            assert one.process is not None
            self._note("terminated", subject=one.name, pid=one.process.pid)
            self.hold("before SIGTERM")
            one.terminate()
            self.hold("after SIGTERM")
            await one.ended()
            self._note("ended", subject=one.name, pid=one.process.pid)
            self._spawn(one)
            await one.ready(joined=False)

    def _twin(self, one: Instance) -> None:
        folder = self.folder / f"{one.name}-twin-{len(self.twins) + 1}"
        twin = Instance(one.name, folder, Ports(*free_ports(3)), one.token)
        folder.mkdir()
        copy_folder(one.folder / "state", folder / "state")
        text = one.file.read_text()
        for old, new in (
            (one.ports.clients, twin.ports.clients),
            (one.ports.admin, twin.ports.admin),
            (one.ports.cluster, twin.ports.cluster),
        ):
            text = text.replace(f'address = "127.0.0.1:{old}"', f'address = "127.0.0.1:{new}"')
            text = text.replace(f'listen = "127.0.0.1:{old}"', f'listen = "127.0.0.1:{new}"')
        twin.file.write_text(text)
        self.twins.append(twin)
        self._spawn(twin)
        self.mesh.places[one.name] = "127.0.0.1", twin.ports.cluster

    def _end_twins(self) -> None:
        for twin in self.twins:
            self._kill(twin)
            self.mesh.places[twin.name] = "127.0.0.1", self.fleet.instances[twin.name].ports.cluster


AMPLE: Final = Limits(rate_per_s=10_000.0, burst=10_000.0, in_hand=10_000)  # where no limits are judged
SPARE: Final = 5.0  # answers that a busy machine lets come together
SLACK_MS: Final = 1_500.0  # a machine shared by ten processes and the rig, and the rig's own asking


def copy_folder(source: Path, target: Path) -> None:
    """As a copy to another machine would be, taken while the first may run: new files of the same content."""
    shutil.rmtree(target, ignore_errors=True)
    shutil.copytree(source, target)


def broken(law: Law, fault: Any, a: str, b: str) -> Law:
    """A link's law with one more fault."""
    if isinstance(fault, schedule.Islands):
        return replace(law, cut=law.cut or _apart(fault.groups, a, b))
    if isinstance(fault, schedule.Bridge):
        linked = a in fault.middle or b in fault.middle or not _apart(fault.sides, a, b)
        return replace(law, cut=law.cut or not linked)
    if not isinstance(fault, schedule.OnLinks) or not (_in(fault.senders, a) and _in(fault.to, b)):
        return law
    match fault:
        case schedule.Loss():
            return replace(law, loss=1 - (1 - law.loss) * (1 - fault.part))
        case schedule.Double():
            return replace(law, doubled=max(law.doubled, fault.part))
        case schedule.Reorder():
            return replace(law, reordered=max(law.reordered, fault.part), held_ms=fault.held_ms)
        case schedule.Delay():
            return replace(law, delay_ms=law.delay_ms + fault.median_ms, sigma=max(law.sigma, fault.sigma))
        case schedule.Trickle():
            bound = fault.bytes_per_s
            return replace(law, bytes_per_s=min(law.bytes_per_s or bound, bound))
        case schedule.Hush():
            return replace(law, hushed=True)
        case _:
            return replace(law, cut=True)


def _in(names: list[str], name: str) -> bool:
    return ALL in names or name in names


def _apart(groups: list[list[str]], a: str, b: str) -> bool:
    return not any(a in group and b in group for group in groups)
