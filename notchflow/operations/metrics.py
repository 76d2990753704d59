"""The metrics that the proxy reports: counted as events happen, rendered as text on demand.

Each accepted request ends in exactly one of four ways, so at any moment the requests accepted are those
fulfilled, throttled, faulted and departed, and those still open.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

NAMESPACE: Final = "svc"
# the label of all classes that are not configured, so that the number of labels is bounded
UNKNOWN_CLASS: Final = "unknown"
SHED_STATUSES: Final = (429, 503)


class ClassCounts:
    """Counts the requests of one class since the process began, by their result."""

    __slots__ = ("open", "fulfilled", "throttled", "faulted", "departed", "relayed")

    def __init__(self) -> None:
        self.open = 0
        self.fulfilled = self.throttled = self.faulted = self.departed = 0
        self.relayed = 0  # attempts whose last byte was written to a node

    @property
    def total(self) -> int:
        """All requests of this class so far."""
        return self.open + self.fulfilled + self.throttled + self.faulted + self.departed

    def end_request(self, status: int) -> None:
        """Counts the end of a request: `status` is the status of its response, or 0 if its client left."""
        self.open -= 1
        if status == 200:
            self.fulfilled += 1
        elif status in SHED_STATUSES:
            self.throttled += 1
        elif status:
            self.faulted += 1
        else:
            self.departed += 1


class ProxyMetrics:
    """The counts of all classes. A class that is removed from the settings keeps its counts."""

    def __init__(self, classes: Iterable[str] = ()) -> None:
        self.classes: dict[str, ClassCounts] = {}
        self.cfg_accepted = self.cfg_invalid = 0
        self.registry_failures = 0  # calls to discovery that returned no usable list
        self.unsolicited_responses = 0  # from nodes, on idle connections
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Adds classes that requests may name from now on; each is reported from the start, with zeros."""
        for name in classes:
            self.classes.setdefault(name, ClassCounts())

    def begin_request(self, name: str) -> ClassCounts:
        """Counts the start of a request of this class. Its end is reported to the counts that this
        returns."""
        counts = self.classes.get(name)
        if counts is None:
            counts = self.classes.setdefault(UNKNOWN_CLASS, ClassCounts())
        counts.open += 1
        return counts

    @property
    def open(self) -> int:
        """The number of requests that have begun and not ended."""
        return sum(c.open for c in self.classes.values())

    def render(self, gauges: Mapping[str, int]) -> str:
        """Returns all metrics in the Prometheus text format, with `gauges` that the caller has read just
        now."""
        lines = [f"# TYPE {NAMESPACE}_operations counter"]
        for name, counts in self.classes.items():
            label = name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
            lines += [
                f'{NAMESPACE}_operations{{priority="{label}",status="{outcome}"}} {getattr(counts, outcome)}'
                for outcome in ("fulfilled", "throttled", "faulted", "relayed")
            ]
        departed = sum(c.departed for c in self.classes.values())
        for name, value in {
            "departed": departed,
            "cfg_accepted": self.cfg_accepted,
            "cfg_invalid": self.cfg_invalid,
            "registry_failures": self.registry_failures,
            "unsolicited_responses": self.unsolicited_responses,
        }.items():
            lines += [f"# TYPE {NAMESPACE}_{name} counter", f"{NAMESPACE}_{name} {value}"]
        for name, value in {"open_requests": self.open, **gauges}.items():
            lines += [f"# TYPE {NAMESPACE}_{name} gauge", f"{NAMESPACE}_{name} {value}"]
        return "\n".join(lines) + "\n"
