"""Minimizes a failing schedule: delta debugging over its faults (ddmin; Zeller and Hildebrandt,
IEEE TSE 2002), then over their durations."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from notchflow.faults.schedule import Schedule

Fails = Callable[[Schedule], Awaitable[bool]]


async def shrink(schedule: Schedule, fails: Fails, max_plays: int = 60) -> tuple[Schedule, int]:
    """Returns a schedule with as few and as short faults as still fail, and the number of plays. A schedule
    that fails only at times may come out longer than necessary, but never as one that did not fail."""
    plays = 0

    async def still_fails(faults: Sequence[Any]) -> bool:
        nonlocal plays
        if plays >= max_plays:
            return False
        plays += 1
        return await fails(schedule.with_faults(faults))

    faults = await _minimize_faults(list(schedule.faults), still_fails)
    faults = await _minimize_durations(faults, still_fails)
    return schedule.with_faults(faults), plays


async def _minimize_faults(
    faults: list[Any], still_fails: Callable[[Sequence[Any]], Awaitable[bool]]
) -> list[Any]:
    """Removes ever smaller parts of the list while the rest still fails (ddmin)."""
    parts = 2
    while len(faults) >= 2:
        chunk_size = -(-len(faults) // parts)
        for start in range(0, len(faults), chunk_size):
            remaining = faults[:start] + faults[start + chunk_size :]
            if await still_fails(remaining):
                faults, parts = remaining, max(parts - 1, 2)
                break
        else:
            if parts >= len(faults):
                break
            parts = min(parts * 2, len(faults))
    if len(faults) == 1 and await still_fails([]):
        return []
    return faults


async def _minimize_durations(
    faults: list[Any], still_fails: Callable[[Sequence[Any]], Awaitable[bool]]
) -> list[Any]:
    """Halves each duration while the schedule still fails."""
    for index, fault in enumerate(faults):
        while fault.for_s > 0.1:
            shorter = fault.model_copy(update={"for_s": round(fault.for_s / 2, 3)})
            if not await still_fails([*faults[:index], shorter, *faults[index + 1 :]]):
                break
            fault = shorter
            faults = [*faults[:index], shorter, *faults[index + 1 :]]
    return faults
