"""Fault schedules as typed models, read from TOML or drawn from a seed. Validation lists all errors."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Annotated, Any, Final, Literal, TypeAlias

from pydantic import Field, ValidationError

from notchflow.hosting.file import InvalidFileError, format_message, format_place, read_toml
from notchflow.hosting.file import Issue as FileIssue
from notchflow.hosting.schema import MemberName, StrictModel

ALL: Final = "*"
Names = Annotated[list[MemberName | Literal["*"]], Field(min_length=1)]
Fraction = Annotated[float, Field(gt=0, le=1)]
Seconds = Annotated[float, Field(ge=0, le=3_600)]
PositiveSeconds = Annotated[float, Field(gt=0, le=3_600)]


class Timed(StrictModel):
    """A fault that begins at `at_s`; with `for_s` 0 it lasts until the end of the schedule."""

    at_s: Seconds
    for_s: Seconds = 0.0


class OnLinks(Timed):
    """A fault of links in one direction: from each of the senders to each of the receivers."""

    senders: Names = Field(default_factory=lambda: [ALL], alias="from")
    to: Names = Field(default_factory=lambda: [ALL])


class Loss(OnLinks):
    """Drops this fraction of the datagrams."""

    kind: Literal["loss"]
    part: Fraction


class Double(OnLinks):
    """Delivers this fraction of the datagrams twice."""

    kind: Literal["double"]
    part: Fraction


class Reorder(OnLinks):
    """Holds this fraction of the datagrams back for `held_ms`, so that later ones overtake them."""

    kind: Literal["reorder"]
    part: Fraction
    held_ms: Annotated[float, Field(gt=0, le=60_000)] = 50.0


class Delay(OnLinks):
    """A lognormal delay, by its median and the standard deviation of its logarithm (0: a constant delay)."""

    kind: Literal["delay"]
    median_ms: Annotated[float, Field(gt=0, le=60_000)]
    sigma: Annotated[float, Field(ge=0, le=3)] = 0.0


class Cut(OnLinks):
    """Nothing passes."""

    kind: Literal["cut"]


class Hush(OnLinks):
    """Connections are accepted, but no bytes pass."""

    kind: Literal["hush"]


class Trickle(OnLinks):
    """Limits the rate at which bytes pass."""

    kind: Literal["trickle"]
    bytes_per_s: Annotated[float, Field(ge=10)]


class Flap(OnLinks):
    """Cuts and restores the links in turn, each for half of the period."""

    kind: Literal["flap"]
    period_s: Annotated[float, Field(ge=0.02, le=600)]


class Islands(Timed):
    """A partition: nothing passes between two groups. A member in no group is isolated."""

    kind: Literal["islands"]
    groups: Annotated[list[Annotated[list[MemberName], Field(min_length=1)]], Field(min_length=1)]


class Bridge(Timed):
    """A partition whose sides reach only themselves and the members in the middle."""

    kind: Literal["bridge"]
    middle: Annotated[list[MemberName], Field(min_length=1)]
    sides: Annotated[list[Annotated[list[MemberName], Field(min_length=1)]], Field(min_length=2)]


class Kill(Timed):
    """SIGKILL, and a start after `for_s` (0: none) with the old state folder, an empty one or a copy."""

    kind: Literal["kill"]
    who: Annotated[list[MemberName], Field(min_length=1)]
    folder: Literal["old", "empty", "copied"] = "old"


class Pause(Timed):
    """SIGSTOP, then SIGCONT after `for_s`."""

    kind: Literal["pause"]
    who: Annotated[list[MemberName], Field(min_length=1)]
    for_s: PositiveSeconds


class Disk(Timed):
    """No file of the process can grow beyond `room_kb` (RLIMIT_FSIZE, set from outside): a write beyond it
    fails with EFBIG, and at 0 every write does. Open files stay open, and reads succeed."""

    kind: Literal["disk"]
    who: Annotated[list[MemberName], Field(min_length=1)]
    room_kb: Annotated[int, Field(ge=0, le=1 << 30)] = 0


class Twin(Timed):
    """Starts a second instance of a name on a copy of its folder, and points the name's address at it, while
    the first one keeps running. It is killed after `for_s`."""

    kind: Literal["twin"]
    who: Annotated[list[MemberName], Field(min_length=1)]


class Restart(Timed):
    """A rolling restart: SIGTERM, then a start once the process has ended, one member after another."""

    kind: Literal["restart"]
    who: Annotated[list[MemberName], Field(min_length=1)]


Fault: TypeAlias = Annotated[
    Loss
    | Double
    | Reorder
    | Delay
    | Cut
    | Hush
    | Trickle
    | Flap
    | Islands
    | Bridge
    | Kill
    | Pause
    | Restart
    | Twin
    | Disk,
    Field(discriminator="kind"),
]


class Schedule(StrictModel):
    """The faults of one run, at times in seconds from the moment when all members of the fleet agree."""

    instances: Annotated[int, Field(ge=1, le=16)]
    seconds: Annotated[float, Field(gt=0, le=3_600)]
    seed: Annotated[int, Field(ge=0)] = 0
    faults: list[Fault] = Field(default_factory=list)

    @property
    def names(self) -> list[str]:
        """Names of the members, p1 to pN."""
        return [f"p{number + 1}" for number in range(self.instances)]

    def with_faults(self, faults: Iterable[Any]) -> Schedule:
        """The same schedule with other faults."""
        return self.model_copy(update={"faults": list(faults)})

    def toml(self) -> str:
        """The schedule as the text of a TOML file."""
        lines = [f"instances = {self.instances}", f"seconds = {self.seconds}", f"seed = {self.seed}"]
        for fault in self.faults:
            lines.append("[[faults]]")
            lines += [
                f"{name} = {_format_toml(value)}"
                for name, value in fault.model_dump(by_alias=True, exclude_defaults=True).items()
            ]
        return "\n".join(lines) + "\n"


def _format_toml(value: Any) -> str:
    if isinstance(value, list):
        return "[" + ", ".join(_format_toml(item) for item in value) + "]"
    return f'"{value}"' if isinstance(value, str) else repr(value)


def load(path: Path) -> Schedule:
    """Reads a schedule from a file. InvalidFileError lists everything that is wrong with it."""
    return decode(read_toml(path), path)


def decode(data: dict[str, Any], path: Path) -> Schedule:
    """Validates a schedule; `path` names it in errors. InvalidFileError lists everything that is wrong."""
    try:
        schedule = Schedule.model_validate(data)
    except ValidationError as error:
        raise InvalidFileError(
            path,
            [
                FileIssue(format_place("", e["loc"]).lstrip("."), format_message(dict(e)))
                for e in error.errors(include_url=False)
            ],
        ) from None
    faults = list(_consistency_errors(schedule))
    if faults:
        raise InvalidFileError(path, faults)
    return schedule


def referenced_members(fault: Any) -> set[str]:
    """Members that a fault refers to."""
    lists = [getattr(fault, field, []) for field in ("senders", "to", "who", "middle")]
    lists += getattr(fault, "groups", []) + getattr(fault, "sides", [])
    return {name for names in lists for name in names} - {ALL}


def _consistency_errors(schedule: Schedule) -> Iterable[FileIssue]:
    """Errors that no single field shows: times beyond the end, unknown members, members in two groups."""
    for number, fault in enumerate(schedule.faults):
        place = f"faults[{number}]"
        if fault.at_s + fault.for_s > schedule.seconds:
            yield FileIssue(
                f"{place}.for_s",
                f"ends at {fault.at_s + fault.for_s:g} s; the schedule ends at " f"{schedule.seconds:g}",
            )
        unknown = sorted(referenced_members(fault) - set(schedule.names))
        if unknown:
            yield FileIssue(
                place,
                f"names {', '.join(unknown)}; there are {schedule.names[0]} to " f"{schedule.names[-1]}",
            )
        if isinstance(fault, Islands | Bridge):
            members = [
                n
                for group in (fault.groups if isinstance(fault, Islands) else [fault.middle, *fault.sides])
                for n in group
            ]
            duplicates = sorted({n for n in members if members.count(n) > 1})
            if duplicates:
                yield FileIssue(place, f"has {', '.join(duplicates)} in two groups; each is in one at most")


# -- drawn schedules
def draw(seed: int, instances: int, seconds: float, most: int = 6) -> Schedule:
    """A schedule drawn from a seed: 2 to `most` faults of any kind, which may overlap and end with it at the
    latest."""
    rng = random.Random(seed)
    names = [f"p{number + 1}" for number in range(instances)]
    faults: list[Any] = []
    for _ in range(rng.randint(2, most)):
        at_s = round(rng.uniform(0.2, seconds * 0.6), 2)
        for_s = round(rng.uniform(0.3, seconds - at_s), 2)
        faults.append(rng.choice(FAULT_GENERATORS)(rng, names) | {"at_s": at_s, "for_s": for_s})
    faults.sort(key=lambda fault: float(fault["at_s"]))
    return Schedule.model_validate(
        {"instances": instances, "seconds": seconds, "seed": seed, "faults": faults}
    )


def _sample_members(rng: random.Random, names: list[str], most: int) -> list[str]:
    return sorted(rng.sample(names, rng.randint(1, max(min(most, len(names) - 1), 1))))


def _random_groups(rng: random.Random, names: list[str], count: int) -> list[list[str]]:
    shuffled = rng.sample(names, len(names))
    cuts = sorted(rng.sample(range(1, len(shuffled)), min(count - 1, len(shuffled) - 1)))
    return [sorted(shuffled[a:b]) for a, b in zip([0, *cuts], [*cuts, len(shuffled)], strict=True)]


def _random_bridge(rng: random.Random, names: list[str]) -> dict[str, Any]:
    if len(names) < 3:
        return {"kind": "islands", "groups": [[name] for name in names]}
    middle, *sides = _random_groups(rng, names, 3)
    return {"kind": "bridge", "middle": middle, "sides": sides}


FAULT_GENERATORS: Final[tuple[Callable[[random.Random, list[str]], dict[str, Any]], ...]] = (
    lambda rng, names: {"kind": "loss", "part": round(rng.uniform(0.02, 0.3), 3)},
    lambda rng, names: {"kind": "double", "part": round(rng.uniform(0.05, 0.5), 3)},
    lambda rng, names: {"kind": "reorder", "part": round(rng.uniform(0.05, 0.5), 3), "held_ms": 40.0},
    lambda rng, names: {
        "kind": "delay",
        "median_ms": round(rng.uniform(1, 60), 1),
        "sigma": 0.5,
        "from": _sample_members(rng, names, 3),
    },
    lambda rng, names: {
        "kind": "cut",
        "from": _sample_members(rng, names, 2),
        "to": _sample_members(rng, names, 2),
    },
    lambda rng, names: {"kind": "hush", "from": _sample_members(rng, names, 2)},
    lambda rng, names: {"kind": "trickle", "bytes_per_s": 20_000.0, "from": _sample_members(rng, names, 1)},
    lambda rng, names: {
        "kind": "flap",
        "period_s": round(rng.uniform(0.1, 2.0), 2),
        "from": _sample_members(rng, names, 1),
        "to": _sample_members(rng, names, 2),
    },
    lambda rng, names: {"kind": "islands", "groups": _random_groups(rng, names, rng.randint(2, 3))},
    _random_bridge,
    lambda rng, names: {
        "kind": "kill",
        "who": _sample_members(rng, names, len(names) // 2),
        "folder": rng.choice(["old", "empty", "copied"]),
    },
    lambda rng, names: {"kind": "pause", "who": _sample_members(rng, names, max(len(names) // 3, 1))},
    lambda rng, names: {"kind": "restart", "who": _sample_members(rng, names, 1)},
    lambda rng, names: {
        "kind": "disk",
        "who": _sample_members(rng, names, len(names) // 2),
        "room_kb": rng.choice([0, 0, 64]),
    },
)
