"""The resources a proxy needs with sixteen times the nodes stay within the operators' bounds."""

from __future__ import annotations

import asyncio
import os
from dataclasses import replace

import pytest

from benchmarks.nodes import QUICK_S, SEEDS, SIZES, SPAN_S, Needs, measure, over

LONG = bool(os.environ.get("NOTCHFLOW_LONG"))
FEW_NODES = Needs(200, cpu_s=1.0, memory_mb=30.0, descriptors=100, connections=120, list_kb=10.0, served=1.0)
AT_ALL_BOUNDS = Needs(
    3_200, cpu_s=1.8, memory_mb=65.7, descriptors=240, connections=340, list_kb=1_684.0, served=0.85
)


@pytest.mark.parametrize(
    ("few", "many", "seed"), [(*pair, seed) for pair in SIZES for seed in SEEDS] if LONG else [(25, 400, 1)]
)
def test_sixteen_times_the_nodes_need_no_more_than_the_bounds_allow(few: int, many: int, seed: int) -> None:
    """Guards against resources that grow with the number of nodes instead of the traffic."""

    async def measure_both() -> list[Needs]:
        span_s = SPAN_S if LONG else QUICK_S
        return list(await asyncio.gather(*(measure(nodes, seed, span_s) for nodes in (few, many))))

    assert over(*asyncio.run(measure_both())) == []


@pytest.mark.parametrize(
    ("what", "used"),
    [
        ("cpu_s", 1.9),
        ("memory_mb", 66.0),
        ("descriptors", 241),
        ("connections", 341),
        ("list_kb", 1_690.0),
        ("served", 0.84),
    ],
)
def test_each_exceeded_bound_is_reported_alone(what: str, used: float) -> None:
    assert over(FEW_NODES, AT_ALL_BOUNDS) == []
    assert [one.what for one in over(FEW_NODES, replace(AT_ALL_BOUNDS, **{what: used}))] == [what]  # type: ignore[arg-type]
