"""What must hold of a merged history. Knows the history's lines and the bounds, and nothing of the code.

Lines of instances: `start`, `takes`, `alive`, `suspect`, `dead`, `left`, `life`, `standing`. Lines of the
rig (`who` is `rig`): `killed`, `started`, `paused`, `resumed`, `terminated`, `fault`, `healed`, `agreed`; for
clients `answer` with the instance and the status (0: the connection ended); for boxes `ran` with the key.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from notchflow.cluster.histories import HistoryLine

MS: Final = 1_000_000
SLACK: Final = 1.05  # of a limit
VERDICTS: Final = frozenset({"alive", "suspect", "dead", "left"})


@dataclass(frozen=True, slots=True)
class Broken:
    """A rule that a history breaks: which, when (ns), and how it shows."""

    rule: str
    t: int
    what: str

    def __str__(self) -> str:
        return f"{self.rule}: {self.what}"


@dataclass(frozen=True, slots=True)
class Bounds:
    """Milliseconds, as the instances state them."""

    detection_ms: float
    heal_ms: float
    one_name_ms: float
    rules_ms: float = 0.0


def epoch(incarnation: str) -> tuple[int, int]:
    """The order of lives."""
    number, _, nonce = incarnation.partition(".")
    return int(number), int(nonce or "0", 16)


def no_life_returns(lines: Iterable[HistoryLine]) -> list[Broken]:
    """Once an observer has seen a life of a member end (a later one, or a leave), it never again holds an
    earlier one for alive."""
    newest: dict[tuple[str, str, str], tuple[int, int]] = {}
    gone: set[tuple[str, str, str, str]] = set()
    broken = []
    for line in lines:
        if line["what"] not in VERDICTS or "life" not in line:
            continue
        observer = (line["who"], _process(line), line["subject"])
        life = epoch(line["life"])
        if life < newest.get(observer, (0, 0)):
            broken.append(
                Broken(
                    "no-life-returns",
                    line["t"],
                    f"{line['who']} holds {line['subject']} {line['what']} in life "
                    f"{line['life']}, after a later one",
                )
            )
        if line["what"] == "alive" and (*observer, line["life"]) in gone:
            broken.append(
                Broken(
                    "no-life-returns",
                    line["t"],
                    f"{line['who']} holds {line['subject']} alive in a life that has left",
                )
            )
        newest[observer] = max(life, newest.get(observer, (0, 0)))
        if line["what"] == "left":
            gone.add((*observer, line["life"]))
    return broken


def _process(line: HistoryLine) -> str:
    """An observer's own life, so that a restart is an observer of its own."""
    return str(line.get("incarnation", ""))


def detected(lines: Sequence[HistoryLine], bounds: Bounds, slack_ms: float) -> list[Broken]:
    """Whoever is killed, and does not come back, is held dead by all that run on, within the bound. For
    schedules that break nothing else meanwhile."""
    broken = []
    for told, kill in deaths(lines):
        late = {who: ms for who, ms in told.items() if ms is None or ms > bounds.detection_ms + slack_ms}
        broken += [
            Broken(
                "detected",
                kill["t"],
                f"{who} held {kill['subject']} dead after " f"{'ever' if ms is None else f'{ms:.0f} ms'}",
            )
            for who, ms in late.items()
        ]
    return broken


def deaths(lines: Sequence[HistoryLine]) -> list[tuple[dict[str, float | None], HistoryLine]]:
    """For each kill: how long each survivor took to hold the killed one dead (None: never)."""
    found = []
    for place, line in enumerate(lines):
        if line["what"] != "killed":
            continue
        down = _down_at(lines[: place + 1])
        started = {one["who"] for one in lines[:place] if one["what"] == "start"}
        told: dict[str, float | None] = {who: None for who in started - down if who != line["subject"]}
        for later in lines[place + 1 :]:
            if later.get("subject") != line["subject"]:
                continue
            if later["what"] in ("started", "killed", "terminated"):
                break
            if later["what"] == "dead" and told.get(later["who"], 0.0) is None:
                told[later["who"]] = (later["t"] - line["t"]) / MS
        found.append((told, line))
    return found


def _down_at(lines: Iterable[HistoryLine]) -> set[str]:
    down: set[str] = set()
    for line in lines:
        if line["what"] in ("killed", "terminated"):
            down.add(line["subject"])
        elif line["what"] == "started":
            down.discard(line["subject"])
    return down


def nobody_buried_alive(lines: Iterable[HistoryLine]) -> list[Broken]:
    """Nobody who runs is held dead: for schedules whose faults are too small for that."""
    down: set[str] = set()
    broken = []
    for line in lines:
        if line["what"] in ("killed", "terminated"):
            down.add(line["subject"])
        elif line["what"] == "started":
            down.discard(line["subject"])
        elif line["what"] == "dead" and line["subject"] not in down:
            broken.append(
                Broken(
                    "nobody-buried-alive",
                    line["t"],
                    f"{line['who']} holds {line['subject']} dead, which runs",
                )
            )
    return broken


def healed(lines: Iterable[HistoryLine], bounds: Bounds, slack_ms: float) -> list[Broken]:
    """After the last fault all views become equal within the bound."""
    broken = []
    for line in lines:
        if line["what"] == "agreed" and (line["ms"] is None or line["ms"] > bounds.heal_ms + slack_ms):
            took = "not at all" if line["ms"] is None else f"after {line['ms']:.0f} ms"
            broken.append(
                Broken(
                    "healed", line["t"], f"views are equal {took}; the bound is " f"{bounds.heal_ms:.0f} ms"
                )
            )
    return broken


def one_instance_a_name(lines: Iterable[HistoryLine], bounds: Bounds, slack_ms: float) -> list[Broken]:
    """Two processes of one name do not both take requests for longer than the bound, while linked. A life's
    process is known by the `pid` that the rig names at its start and the instance with `start`."""
    taking: dict[str, dict[str, int]] = defaultdict(dict)
    both_since: dict[str, int] = {}
    broken = []
    for line in lines:
        who = line["who"] if line["who"] != "rig" else line.get("subject", "")
        if line["what"] == "takes" and line.get("pid") is not None:
            if line["takes"]:
                taking[who][str(line["pid"])] = line["t"]
            else:
                taking[who].pop(str(line["pid"]), None)
        elif line["what"] in ("killed", "terminated", "ended"):
            taking[who].pop(str(line.get("pid")), None)
        else:
            continue
        if len(taking[who]) > 1:
            both_since.setdefault(who, line["t"])
        elif who in both_since:
            ms = (line["t"] - both_since.pop(who)) / MS
            if ms > bounds.one_name_ms + slack_ms:
                broken.append(
                    Broken(
                        "one-instance-a-name",
                        line["t"],
                        f"two of {who} took requests for {ms:.0f} ms; the bound is "
                        f"{bounds.one_name_ms:.0f}",
                    )
                )
    broken += [
        Broken("one-instance-a-name", t, f"two of {who} take requests to the end")
        for who, t in both_since.items()
    ]
    return broken


def within_limit(lines: Iterable[HistoryLine], rate: float, burst: float, spare: float) -> list[Broken]:
    """Over every window no more requests were admitted, at all instances together, than rate x window x 1.05
    + burst; `spare` requests may be seen out of their time, as what is seen is when they were answered. A
    request counts as admitted unless it was turned away, or its client never heard."""
    return over_limit(
        [line["t"] for line in lines if line["what"] == "answer" and line["status"] not in (0, 429, 503)],
        rate,
        burst,
        spare,
    )


def over_limit(times: Iterable[int], rate: float, burst: float, spare: float) -> list[Broken]:
    """The same of times (ns): a bucket of the whole limit runs dry where a window is over, and only there."""
    level, before = burst + spare, 0
    for t in sorted(times):
        level = min(level + (t - before) / (1e3 * MS) * rate * SLACK, burst + spare) - 1.0
        before = t
        if level < 0:
            return [
                Broken("within-limit", t, f"more than {rate:g}/s x 1.05 and {burst:g} at once were admitted")
            ]
    return []


def answered_once(lines: Sequence[HistoryLine], slack_ms: float) -> list[Broken]:
    """Each request that was sent has one answer, or its instance was ended by the rig: a connection that ends
    without one is excused by the end of the process at that time alone. Unsafe requests run once."""
    ends: dict[str, list[int]] = defaultdict(list)
    for line in lines:
        if line["what"] in ("killed", "terminated", "ended"):
            ends[line["subject"]].append(line["t"])
    answers: Counter[str] = Counter()
    broken = []
    for line in lines:
        if line["what"] != "answer":
            continue
        answers[line["id"]] += 1
        excused = any(abs(line["t"] - t) <= slack_ms * MS for t in ends[line["instance"]])
        if line["status"] == 0 and not excused:
            broken.append(Broken("answered-once", line["t"], f"{line['instance']} lost request {line['id']}"))
    broken += [
        Broken("answered-once", 0, f"request {number} was answered {count} times")
        for number, count in answers.items()
        if count > 1
    ]
    runs = Counter(line["key"] for line in lines if line["what"] == "ran" and line.get("unsafe"))
    broken += [
        Broken("ran-once", 0, f"payment {key} ran {count} times") for key, count in runs.items() if count > 1
    ]
    return broken
