"""Invariants of administrative calls in a merged history. They depend on calls, answers and the bound alone.

`calling` {id, instance, kind, state?} and `called` {id, status, version?, state?, name?} of an operator;
`asking` and `answer` {id, instance, status} of the tenant's clients.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

from notchflow.cluster.histories import HistoryLine
from notchflow.faults.checks import NS_PER_MS, Violation

NEVER: Final = 1 << 62


@dataclass(frozen=True, slots=True)
class Call:
    """One administrative call. Without an answer `ended` is NEVER: it may still take effect at any time."""

    id: int
    kind: str
    requested_state: str
    begun: int
    ended: int
    status: int
    version: int
    state: str
    name: str


def administrative_calls(lines: Sequence[HistoryLine]) -> list[Call]:
    """The administrative calls of a history, in the order in which they began."""
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


def check_linearizable(lines: Sequence[HistoryLine]) -> list[Violation]:
    """A tenant's versions order all calls: a call that began after another had ended saw that call's version
    or a newer one, a change made a newer one; no two calls made the same version; a read returns what the
    call that made its version wrote."""
    done = [call for call in administrative_calls(lines) if call.status == 200]
    violations = []
    created_by: dict[int, Call] = {}
    for call in done:
        if call.kind == "change":
            if call.version in created_by:
                violations.append(
                    Violation(
                        "linearizable",
                        call.ended,
                        f"calls {created_by[call.version].id} and "
                        f"{call.id} both made version {call.version}",
                    )
                )
            created_by[call.version] = call
    ended = sorted(done, key=lambda one: one.ended)
    newest, index = 0, 0
    for call in sorted(done, key=lambda one: one.begun):
        while index < len(ended) and ended[index].ended < call.begun:
            newest = max(newest, ended[index].version)
            index += 1
        if call.version < newest or call.kind == "change" and call.version <= newest:
            violations.append(
                Violation(
                    "linearizable",
                    call.ended,
                    f"{call.kind} {call.id} was told version " f"{call.version}, after {newest} had been",
                )
            )
        creator = created_by.get(call.version)
        if creator is not None and (call.name, call.state) != (creator.name, creator.state):
            violations.append(
                Violation(
                    "linearizable",
                    call.ended,
                    f"{call.kind} {call.id} saw {call.name!r} as "
                    f"version {call.version}, which call {creator.id} wrote as {creator.name!r}",
                )
            )
    return violations


def served_while_suspended(lines: Sequence[HistoryLine]) -> list[tuple[int, float, str]]:
    """Requests that were answered with 200 although they were sent while the tenant was certainly suspended:
    the time they were sent, how long (ms) the suspension had been in force, and the instance. A suspension is
    certain from the end of the call that made it to the start of the next call that could lift it."""
    known = sorted(administrative_calls(lines), key=lambda one: one.begun)
    suspensions: list[tuple[int, int]] = []
    for call in known:
        if call.status == 200 and call.state == "suspended":
            after = [
                c.begun
                for c in known
                if c.kind == "change"
                and c.id != call.id
                and c.requested_state == "active"
                and c.ended > call.begun
            ]
            suspensions.append((call.ended, min(after, default=NEVER)))
    asked = {line["id"]: line["t"] for line in lines if line["what"] == "asking"}
    found = []
    for line in lines:
        if line["what"] == "answer" and line["status"] == 200 and line["id"] in asked:
            at = asked[line["id"]]
            elapsed_ms = [(at - begun) / NS_PER_MS for begun, end in suspensions if begun <= at < end]
            if elapsed_ms:
                found.append((at, max(elapsed_ms), line["instance"]))
    return found


def check_suspensions(lines: Sequence[HistoryLine], bound_ms: float, slack_ms: float) -> list[Violation]:
    """No instance serves a tenant for longer than the bound after its suspension was acknowledged."""
    return [
        Violation("suspended-in-time", at, f"{instance} served a tenant {ms:.0f} ms after it was suspended")
        for at, ms, instance in served_while_suspended(lines)
        if ms > bound_ms + slack_ms
    ]
