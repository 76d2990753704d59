"""What must hold of administration in a merged history. Knows calls, answers and the bound, nothing of the
code.

`calling` {id, instance, kind, state?} and `called` {id, status, version?, state?, name?} of an operator;
`asking` and `answer` {id, instance, status} of the tenant's clients.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

from notchflow.cluster.histories import HistoryLine
from notchflow.faults.checks import MS, Broken

NEVER: Final = 1 << 62


@dataclass(frozen=True, slots=True)
class Call:
    """One call of the administration. `ended` of one that was not answered is never: it may come to hold."""

    id: int
    kind: str
    wanted: str
    begun: int
    ended: int
    status: int
    version: int
    state: str
    name: str


def calls(lines: Sequence[HistoryLine]) -> list[Call]:
    ends = {line["id"]: line for line in lines if line["what"] == "called"}
    found = []
    for line in lines:
        if line["what"] == "calling":
            end: dict[str, Any] = ends.get(line["id"], {})
            done = end.get("status") == 200
            found.append(
                Call(
                    line["id"],
                    line["kind"],
                    line.get("state", ""),
                    line["t"],
                    end["t"] if done else NEVER,
                    end.get("status", 0),
                    end.get("version", -1),
                    end.get("state", ""),
                    end.get("name", ""),
                )
            )
    return found


def linearizable(lines: Sequence[HistoryLine]) -> list[Broken]:
    """A tenant's versions are the order of all calls: what began after another had ended saw its version, or
    made a later one; no version is two calls', and what is read under one is what its call wrote."""
    done = [call for call in calls(lines) if call.status == 200]
    broken = []
    made: dict[int, Call] = {}
    for call in done:
        if call.kind == "change":
            if call.version in made:
                broken.append(
                    Broken(
                        "linearizable",
                        call.ended,
                        f"calls {made[call.version].id} and " f"{call.id} both made version {call.version}",
                    )
                )
            made[call.version] = call
    ended = sorted(done, key=lambda one: one.ended)
    newest, place = 0, 0
    for call in sorted(done, key=lambda one: one.begun):
        while place < len(ended) and ended[place].ended < call.begun:
            newest = max(newest, ended[place].version)
            place += 1
        if call.version < newest or call.kind == "change" and call.version <= newest:
            broken.append(
                Broken(
                    "linearizable",
                    call.ended,
                    f"{call.kind} {call.id} was told version " f"{call.version}, after {newest} had been",
                )
            )
        maker = made.get(call.version)
        if maker is not None and (call.name, call.state) != (maker.name, maker.state):
            broken.append(
                Broken(
                    "linearizable",
                    call.ended,
                    f"{call.kind} {call.id} saw {call.name!r} as "
                    f"version {call.version}, which call {maker.id} wrote as {maker.name!r}",
                )
            )
    return broken


def contradictions(lines: Sequence[HistoryLine]) -> list[tuple[int, float, str]]:
    """For each answer of 200 that was asked for while the tenant was suspended for certain: when, how long
    (ms) after the suspension was known to hold, and by whom. Certain is from when a call for it had ended up
    to when the next call that could end it began."""
    known = sorted(calls(lines), key=lambda one: one.begun)
    spans: list[tuple[int, int]] = []
    for call in known:
        if call.status == 200 and call.state == "suspended":
            after = [
                c.begun
                for c in known
                if c.kind == "change" and c.id != call.id and c.wanted == "active" and c.ended > call.begun
            ]
            spans.append((call.ended, min(after, default=NEVER)))
    asked = {line["id"]: line["t"] for line in lines if line["what"] == "asking"}
    found = []
    for line in lines:
        if line["what"] == "answer" and line["status"] == 200 and line["id"] in asked:
            at = asked[line["id"]]
            late = [(at - begun) / MS for begun, end in spans if begun <= at < end]
            if late:
                found.append((at, max(late), line["instance"]))
    return found


def suspended_in_time(lines: Sequence[HistoryLine], bound_ms: float, slack_ms: float) -> list[Broken]:
    """Nobody serves a tenant for longer than the bound after it was told that it is suspended."""
    return [
        Broken("suspended-in-time", at, f"{who} served a tenant {ms:.0f} ms after it was suspended")
        for at, ms, who in contradictions(lines)
        if ms > bound_ms + slack_ms
    ]
