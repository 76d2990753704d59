"""The figures that the proxy reports: counted where a thing happens, made into text when somebody asks.

Each request that is taken ends in exactly one of four ways, so that at any moment the requests taken are
those fulfilled, throttled, faulted and departed, and those still open.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

PREFIX: Final = "svc"
STRANGE: Final = "unknown"  # all that ask for a class that there is not: labels are bounded
REFUSALS: Final = (429, 503)


class ClassCounts:
    """What became of one class's requests since the process began."""

    __slots__ = ("open", "fulfilled", "throttled", "faulted", "departed", "relayed")

    def __init__(self) -> None:
        self.open = 0
        self.fulfilled = self.throttled = self.faulted = self.departed = 0
        self.relayed = 0  # attempts whose last byte was written to a cache node

    @property
    def taken(self) -> int:
        """All requests of this class so far."""
        return self.open + self.fulfilled + self.throttled + self.faulted + self.departed

    def end_request(self, status: int) -> None:
        """One is over: answered with this status, or 0 where its client left."""
        self.open -= 1
        if status == 200:
            self.fulfilled += 1
        elif status in REFUSALS:
            self.throttled += 1
        elif status:
            self.faulted += 1
        else:
            self.departed += 1


class ProxyMetrics:
    """The counts of all classes. A class that has vanished from the settings keeps its counts."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self.classes: dict[str, ClassCounts] = {}
        self.cfg_accepted = self.cfg_invalid = 0
        self.registry_failures = 0  # calls to discovery that brought no list which could be taken
        self.know(classes)

    def know(self, classes: Iterable[str]) -> None:
        """Classes that requests may name from now on; each is reported from the start, with zeros."""
        for name in classes:
            self.classes.setdefault(name, ClassCounts())

    def begin_request(self, name: str) -> ClassCounts:
        """A request of this class is taken; its end is told to what this returns."""
        counts = self.classes.get(name)
        if counts is None:
            counts = self.classes.setdefault(STRANGE, ClassCounts())
        counts.open += 1
        return counts

    @property
    def open(self) -> int:
        """Requests taken and not ended."""
        return sum(c.open for c in self.classes.values())

    def text(self, gauges: Mapping[str, int]) -> str:
        """All figures in the text format that Prometheus reads, with some that only hold for the moment."""
        lines = [f"# TYPE {PREFIX}_operations counter"]
        for name, counts in self.classes.items():
            label = name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
            lines += [
                f'{PREFIX}_operations{{priority="{label}",status="{word}"}} {getattr(counts, word)}'
                for word in ("fulfilled", "throttled", "faulted", "relayed")
            ]
        departed = sum(c.departed for c in self.classes.values())
        for name, value in {
            "departed": departed,
            "cfg_accepted": self.cfg_accepted,
            "cfg_invalid": self.cfg_invalid,
            "registry_failures": self.registry_failures,
        }.items():
            lines += [f"# TYPE {PREFIX}_{name} counter", f"{PREFIX}_{name} {value}"]
        for name, value in {"open_requests": self.open, **gauges}.items():
            lines += [f"# TYPE {PREFIX}_{name} gauge", f"{PREFIX}_{name} {value}"]
        return "\n".join(lines) + "\n"
