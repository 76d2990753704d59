"""Invariants that a merged history must satisfy. They depend on the history's lines and the bounds alone.

Lines of instances: `start`, `takes`, `alive`, `suspect`, `dead`, `left`, `life`, `standing`. Lines of the
rig (`who` is `rig`): `killed`, `started`, `paused`, `resumed`, `terminated`, `fault`, `healed`, `agreed`; for
clients `answer` with the instance and the status (0: the connection ended); for nodes `ran` with the key.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from notchflow.cluster.histories import HistoryLine

NS_PER_MS: Final = 1_000_000
RATE_LIMIT_SLACK: Final = 1.05  # factor on a rate limit
MEMBER_STATES: Final = frozenset({"alive", "suspect", "dead", "left"})


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule: its name, the time (ns) and a description."""

    rule: str
    t: int
    description: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.description}"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time bounds in milliseconds, as the instances report them."""

    detection_ms: float
    heal_ms: float
    one_name_ms: float
    rules_ms: float = 0.0


def incarnation_key(incarnation: str) -> tuple[int, int]:
    """Sort key of an incarnation: its epoch, then its nonce."""
    number, _, nonce = incarnation.partition(".")
    return int(number), int(nonce or "0", 16)


def check_incarnations(lines: Iterable[HistoryLine]) -> list[Violation]:
    """An observer that has seen a newer incarnation of a member, or its leave, reports no older one alive."""
    newest: dict[tuple[str, str, str], tuple[int, int]] = {}
    departed: set[tuple[str, str, str, str]] = set()
    violations = []
    for line in lines:
        if line["what"] not in MEMBER_STATES or "life" not in line:
            continue
        observer = (line["who"], _observer_incarnation(line), line["subject"])
        incarnation = incarnation_key(line["life"])
        if incarnation < newest.get(observer, (0, 0)):
            violations.append(
                Violation(
                    "no-life-returns",
                    line["t"],
                    f"{line['who']} holds {line['subject']} {line['what']} in life "
                    f"{line['life']}, after a later one",
                )
            )
        if line["what"] == "alive" and (*observer, line["life"]) in departed:
            violations.append(
                Violation(
                    "no-life-returns",
                    line["t"],
                    f"{line['who']} holds {line['subject']} alive in a life that has left",
                )
            )
        newest[observer] = max(incarnation, newest.get(observer, (0, 0)))
        if line["what"] == "left":
            departed.add((*observer, line["life"]))
    return violations


def _observer_incarnation(line: HistoryLine) -> str:
    """The observer's own incarnation: after a restart it counts as another observer."""
    return str(line.get("incarnation", ""))


def check_detection(lines: Sequence[HistoryLine], bounds: Bounds, slack_ms: float) -> list[Violation]:
    """Every survivor declares a killed member dead within the bound, unless the member is started again. For
    schedules without other faults at that time."""
    violations = []
    for delays, kill in detection_delays(lines):
        late = {who: ms for who, ms in delays.items() if ms is None or ms > bounds.detection_ms + slack_ms}
        violations += [
            Violation(
                "detected",
                kill["t"],
                f"{who} held {kill['subject']} dead after " f"{'ever' if ms is None else f'{ms:.0f} ms'}",
            )
            for who, ms in late.items()
        ]
    return violations


def detection_delays(lines: Sequence[HistoryLine]) -> list[tuple[dict[str, float | None], HistoryLine]]:
    """For each kill: milliseconds until each survivor declared it dead (None: never), and its line."""
    found = []
    for index, line in enumerate(lines):
        if line["what"] != "killed":
            continue
        stopped = _stopped_members(lines[: index + 1])
        started = {one["who"] for one in lines[:index] if one["what"] == "start"}
        delays: dict[str, float | None] = {who: None for who in started - stopped if who != line["subject"]}
        for later in lines[index + 1 :]:
            if later.get("subject") != line["subject"]:
                continue
            if later["what"] in ("started", "killed", "terminated"):
                break
            if later["what"] == "dead" and delays.get(later["who"], 0.0) is None:
                delays[later["who"]] = (later["t"] - line["t"]) / NS_PER_MS
        found.append((delays, line))
    return found


def _stopped_members(lines: Iterable[HistoryLine]) -> set[str]:
    stopped: set[str] = set()
    for line in lines:
        if line["what"] in ("killed", "terminated"):
            stopped.add(line["subject"])
        elif line["what"] == "started":
            stopped.discard(line["subject"])
    return stopped


def check_no_false_deaths(lines: Iterable[HistoryLine]) -> list[Violation]:
    """No running member is declared dead. For schedules whose faults are too short to justify that."""
    stopped: set[str] = set()
    violations = []
    for line in lines:
        if line["what"] in ("killed", "terminated"):
            stopped.add(line["subject"])
        elif line["what"] == "started":
            stopped.discard(line["subject"])
        elif line["what"] == "dead" and line["subject"] not in stopped:
            violations.append(
                Violation(
                    "nobody-buried-alive",
                    line["t"],
                    f"{line['who']} holds {line['subject']} dead, which runs",
                )
            )
    return violations


def check_convergence(lines: Iterable[HistoryLine], bounds: Bounds, slack_ms: float) -> list[Violation]:
    """After the last fault all views converge within the bound."""
    violations = []
    for line in lines:
        if line["what"] == "agreed" and (line["ms"] is None or line["ms"] > bounds.heal_ms + slack_ms):
            took = "not at all" if line["ms"] is None else f"after {line['ms']:.0f} ms"
            violations.append(
                Violation(
                    "healed", line["t"], f"views are equal {took}; the bound is " f"{bounds.heal_ms:.0f} ms"
                )
            )
    return violations


def check_one_instance_per_name(
    lines: Iterable[HistoryLine], bounds: Bounds, slack_ms: float
) -> list[Violation]:
    """Two connected processes of one name do not both accept requests for longer than the bound. A process is
    identified by its `pid`, which the rig and the instance itself write when it starts."""
    accepting: dict[str, dict[str, int]] = defaultdict(dict)
    both_since: dict[str, int] = {}
    violations = []
    for line in lines:
        who = line["who"] if line["who"] != "rig" else line.get("subject", "")
        if line["what"] == "takes" and line.get("pid") is not None:
            if line["takes"]:
                accepting[who][str(line["pid"])] = line["t"]
            else:
                accepting[who].pop(str(line["pid"]), None)
        elif line["what"] in ("killed", "terminated", "ended"):
            accepting[who].pop(str(line.get("pid")), None)
        else:
            continue
        if len(accepting[who]) > 1:
            both_since.setdefault(who, line["t"])
        elif who in both_since:
            ms = (line["t"] - both_since.pop(who)) / NS_PER_MS
            if ms > bounds.one_name_ms + slack_ms:
                violations.append(
                    Violation(
                        "one-instance-a-name",
                        line["t"],
                        f"two of {who} took requests for {ms:.0f} ms; the bound is "
                        f"{bounds.one_name_ms:.0f}",
                    )
                )
    violations += [
        Violation("one-instance-a-name", t, f"two of {who} take requests to the end")
        for who, t in both_since.items()
    ]
    return violations


def check_rate_limit(
    lines: Iterable[HistoryLine], rate: float, burst: float, tolerance: float
) -> list[Violation]:
    """In every window all instances together admit at most rate x window x 1.05 + burst requests. Only the
    times of the answers are known, so `tolerance` requests may appear outside their window. A request counts
    as admitted unless it was rejected or got no answer."""
    return check_admission_times(
        [line["t"] for line in lines if line["what"] == "answer" and line["status"] not in (0, 429, 503)],
        rate,
        burst,
        tolerance,
    )


def check_admission_times(
    times: Iterable[int], rate: float, burst: float, tolerance: float
) -> list[Violation]:
    """The same check for a list of times (ns): a token bucket with the whole limit goes below zero exactly
    where a window exceeds it."""
    tokens, previous_t = burst + tolerance, 0
    for t in sorted(times):
        tokens = (
            min(tokens + (t - previous_t) / (1e3 * NS_PER_MS) * rate * RATE_LIMIT_SLACK, burst + tolerance)
            - 1.0
        )
        previous_t = t
        if tokens < 0:
            return [
                Violation(
                    "within-limit", t, f"more than {rate:g}/s x 1.05 and {burst:g} at once were admitted"
                )
            ]
    return []


def check_answered_once(lines: Sequence[HistoryLine], slack_ms: float) -> list[Violation]:
    """Each request gets exactly one answer, and each unsafe request runs once. A connection that ends without
    an answer is accepted only if the rig ended that instance's process at about the same time."""
    ends: dict[str, list[int]] = defaultdict(list)
    for line in lines:
        if line["what"] in ("killed", "terminated", "ended"):
            ends[line["subject"]].append(line["t"])
    answers: Counter[str] = Counter()
    violations = []
    for line in lines:
        if line["what"] != "answer":
            continue
        answers[line["id"]] += 1
        excused = any(abs(line["t"] - t) <= slack_ms * NS_PER_MS for t in ends[line["instance"]])
        if line["status"] == 0 and not excused:
            violations.append(
                Violation("answered-once", line["t"], f"{line['instance']} lost request {line['id']}")
            )
    violations += [
        Violation("answered-once", 0, f"request {number} was answered {count} times")
        for number, count in answers.items()
        if count > 1
    ]
    runs = Counter(line["key"] for line in lines if line["what"] == "ran" and line.get("unsafe"))
    violations += [
        Violation("ran-once", 0, f"payment {key} ran {count} times")
        for key, count in runs.items()
        if count > 1
    ]
    return violations
