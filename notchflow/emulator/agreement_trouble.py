"""Drawn faults and calls for the world of `agreement`: kills, pauses, partitions, lost disks, by a seed."""

from __future__ import annotations

import random

from notchflow.emulator.agreement import World


class Trouble:
    """Drawn faults and calls, by a seed."""

    def __init__(self, world: World, seed: int, amnesia: bool = True) -> None:
        self.world, self.rng, self.amnesia = world, random.Random(seed), amnesia
        self.lost: str | None = None  # one at a time loses its disk

    def run(self, seconds: float) -> None:
        """Trouble for so long, then quiet until all agree again, or 20 s have passed."""
        world, rng = self.world, self.rng
        if rng.random() < 0.8:  # else the log begins in the midst of it
            world.until(self._equal, 10_000.0)
        world.disk = rng.choice(((0.1, 3.0), (0.1, 3.0), (1.0, 150.0)))
        end = world.sim.now + seconds * 1e3
        while world.sim.now < end:
            for _ in range(rng.randint(0, 3)):
                world.operate(rng.choice(world.names), rng.choice(("change", "change", "read")))
            if rng.random() < 0.3:
                self._break()
            world.run(rng.uniform(20.0, 400.0))
        self._heal()
        if world.until(self._equal, 20_000.0) is None:
            world.broken.append("instances do not agree, with all links whole for 20 s")
        before = len(world.by_version)
        world.operate(world.names[0], "change")
        if world.until(lambda: len(world.by_version) > before, 5_000.0) is None:
            world.broken.append("nothing can be changed, with all links whole")

    def _equal(self) -> bool:
        nodes = list(self.world.nodes.values())
        return len({n.machine.applied for n in nodes}) == 1 and all(
            n.session.lease.is_valid(n.clock()) and n.raft.joined for n in nodes
        )

    def _break(self) -> None:
        world, rng = self.world, self.rng
        name = rng.choice(world.names)
        match rng.randrange(9):
            case 0:
                world.kill(name)
            case 1:
                self._again(name, False)
            case 2:
                world.pause(name, rng.choice((150.0, 700.0, 3_000.0, 9_000.0)))
            case 3:
                mixed = rng.sample(world.names, len(world.names))
                at = rng.randint(1, len(mixed) - 1)
                world.islands(mixed[:at], mixed[at:])
            case 4:
                a, b = rng.sample(world.names, 2)
                world.cut = lambda x, y: (x, y) == (a, b)
            case 5:
                middle, rest = name, [n for n in world.names if n != name]
                half = set(rest[: len(rest) // 2])
                world.cut = lambda x, y: x != middle and y != middle and (x in half) != (y in half)
            case 6:
                world.loss, world.doubled, world.late = rng.choice(
                    ((0.0, 0.0, 0.0), (0.1, 0.1, 0.0), (0.3, 0.3, 0.05), (0.02, 0.5, 0.2))
                )
            case 7 if self.amnesia:
                self._forget(name)
            case _:
                world.cut = lambda x, y: False

    def _again(self, name: str, empty: bool) -> None:
        self.world.kill(name)
        drift = self.world.terms.clock_drift
        self.world.restart(name, empty, 1.0 + self.rng.uniform(-drift / 2, drift / 2))

    def _forget(self, name: str) -> None:
        """A disk is lost, of one that counts and while all others do: what is lost before it has come back
        twice over a majority nothing can bring back."""
        if all(n.raft.joined and n.alive for n in self.world.nodes.values()) and (
            self.world.nodes[name].raft.log.last_index
        ):
            self._again(name, True)

    def _heal(self) -> None:
        world = self.world
        world.cut = lambda x, y: False
        world.loss = world.doubled = world.late = 0.0
        world.disk = (0.1, 3.0)
        for name in world.names:
            if not world.nodes[name].alive:
                self._again(name, False)
            node = world.nodes[name]
            node.paused_until = min(node.paused_until, world.sim.now)
            world._wake(node)
