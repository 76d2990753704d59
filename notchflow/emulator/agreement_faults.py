"""Random fault schedules and client calls for the simulation of `agreement`: kills, pauses, partitions and
lost disks, by a seed."""

from __future__ import annotations

import random

from notchflow.emulator.agreement import World


class RandomFaults:
    """A random schedule of faults and calls, by a seed."""

    def __init__(self, world: World, seed: int, amnesia: bool = True) -> None:
        self.world, self.rng, self.amnesia = world, random.Random(seed), amnesia
        self.lost: str | None = None

    def run(self, seconds: float) -> None:
        """Injects faults for some simulated seconds, ends them, and checks that all instances converge within
        20 s and that a change is committed afterwards."""
        world, rng = self.world, self.rng
        if rng.random() < 0.8:  # else the log begins during the faults
            world.run_until(self._converged, 10_000.0)
        world.disk = rng.choice(((0.1, 3.0), (0.1, 3.0), (1.0, 150.0)))
        end = world.sim.now + seconds * 1e3
        while world.sim.now < end:
            for _ in range(rng.randint(0, 3)):
                world.start_operation(rng.choice(world.names), rng.choice(("change", "change", "read")))
            if rng.random() < 0.3:
                self._inject_fault()
            world.run(rng.uniform(20.0, 400.0))
        self._end_faults()
        if world.run_until(self._converged, 20_000.0) is None:
            world.broken.append("instances did not converge within 20 s without faults")
        changes_before = len(world.by_version)
        world.start_operation(world.names[0], "change")
        if world.run_until(lambda: len(world.by_version) > changes_before, 5_000.0) is None:
            world.broken.append("no change is committed without faults")

    def _converged(self) -> bool:
        nodes = list(self.world.nodes.values())
        return len({n.machine.applied for n in nodes}) == 1 and all(
            n.session.lease.is_valid(n.clock()) and n.raft.joined for n in nodes
        )

    def _inject_fault(self) -> None:
        world, rng = self.world, self.rng
        name = rng.choice(world.names)
        match rng.randrange(9):
            case 0:
                world.kill(name)
            case 1:
                self._restart(name, False)
            case 2:
                world.pause(name, rng.choice((150.0, 700.0, 3_000.0, 9_000.0)))
            case 3:
                shuffled = rng.sample(world.names, len(world.names))
                split = rng.randint(1, len(shuffled) - 1)
                world.islands(shuffled[:split], shuffled[split:])
            case 4:
                a, b = rng.sample(world.names, 2)
                world.cut = lambda x, y: (x, y) == (a, b)
            case 5:
                bridge, rest = name, [n for n in world.names if n != name]
                half = set(rest[: len(rest) // 2])
                world.cut = lambda x, y: x != bridge and y != bridge and (x in half) != (y in half)
            case 6:
                world.loss, world.duplicated, world.late = rng.choice(
                    ((0.0, 0.0, 0.0), (0.1, 0.1, 0.0), (0.3, 0.3, 0.05), (0.02, 0.5, 0.2))
                )
            case 7 if self.amnesia:
                self._lose_disk(name)
            case _:
                world.cut = lambda x, y: False

    def _restart(self, name: str, empty: bool) -> None:
        self.world.kill(name)
        drift = self.world.terms.clock_drift
        self.world.restart(name, empty, 1.0 + self.rng.uniform(-drift / 2, drift / 2))

    def _lose_disk(self, name: str) -> None:
        """Loses the disk of a voting instance, only while all others vote as well: entries lost on a majority
        of the disks before they are replicated again cannot be recovered."""
        if all(n.raft.joined and n.alive for n in self.world.nodes.values()) and (
            self.world.nodes[name].raft.log.last_index
        ):
            self._restart(name, True)

    def _end_faults(self) -> None:
        world = self.world
        world.cut = lambda x, y: False
        world.loss = world.duplicated = world.late = 0.0
        world.disk = (0.1, 3.0)
        for name in world.names:
            if not world.nodes[name].alive:
                self._restart(name, False)
            node = world.nodes[name]
            node.paused_until = min(node.paused_until, world.sim.now)
            world._resume(node)
