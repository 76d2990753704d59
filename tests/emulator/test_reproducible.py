"""A seed alone determines a day: processes with different hash seeds simulate exactly the same day."""

from __future__ import annotations

import logging
import os
import subprocess
import sys
from pathlib import Path

import pytest

from notchflow.emulator.deciders import DECIDERS
from notchflow.emulator.send_explorer import PLANS
from notchflow.emulator.sends import Sends
from notchflow.emulator.spec import Day, Event, Fleet, Load
from notchflow.emulator.watches import Day as WatchDay
from notchflow.emulator.world import World

ROOT = Path(__file__).resolve().parents[2]
HASH_SEEDS = ("1", "2", "3", "4")
PLAY_LIMIT_S = 120.0


def failed_nodes() -> str:
    """Cold nodes that fail with requests in progress: the baseline sends them their full share at once."""
    day = Day(Fleet(boxes=10, proxies=20), Load(load=1.2), (Event(300.0, "drain", 0.9, 300.0),), 4_500.0, 2)
    world = World(day, DECIDERS["rendezvous"])
    ledger = world.simulate()
    assert ledger.broken, "nodes must fail"
    return repr((world.simulator.count, ledger.seconds, ledger.broken, ledger.latencies))


def killed_processes() -> str:
    """Whole proxies that are killed and restarted with many open connections."""
    logging.disable()
    day = WatchDay(
        proxies=3,
        asked=False,
        all_call_ms=3_000.0,
        length_ms=20_000.0,
        changes=(6_000.0, 8_905.0),
        restarts=((7_003.0, 0), (9_001.0, 1)),
    )
    world = Sends(day, PLANS[1])
    return repr((world.run(), world.requests, world.answers, world.served, world.sim.count))


@pytest.mark.parametrize("name", ["failed_nodes", "killed_processes"])
def test_hash_seeds_do_not_change_a_day(name: str) -> None:
    """Guards against simulations that iterate over sets of objects, whose order differs between processes."""
    program = f"from {__name__} import {name}; print({name}())"
    players = [
        subprocess.Popen(
            [sys.executable, "-c", program],
            cwd=ROOT,
            text=True,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONHASHSEED": seed},
        )
        for seed in HASH_SEEDS
    ]
    outputs = [player.communicate(timeout=PLAY_LIMIT_S)[0] for player in players]
    assert [player.returncode for player in players] == [0] * len(HASH_SEEDS)
    assert len(outputs[0]) > 50
    assert outputs == [outputs[0]] * len(HASH_SEEDS)
