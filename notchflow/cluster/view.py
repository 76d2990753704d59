"""What one instance holds of the members: the newest record of each name. Pure.

Records are joined by their rank, a total order, so that the view is a join semilattice: whatever the order in
which news come, doubled or late, those who have seen the same hold the same.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from notchflow.cluster.messages import digest
from notchflow.cluster.model import Record, State


def mark(record: Record) -> int:
    """What a record adds to a view's digest."""
    life = record.incarnation
    return digest(
        f"{record.name} {life.epoch} {life.nonce} {record.revision} {record.state:d} " f"{record.address}"
    )


class View:
    """Records by name, of names on the roster alone: what others say takes no more memory than that."""

    def __init__(self, roster: Iterable[str], me: str) -> None:
        self.me = me
        self.roster = tuple(sorted(set(roster)))
        self.names = frozenset(self.roster)
        self.records: dict[str, Record] = {}
        self.digest = 0
        self.changed_at = 0.0
        self.count = 0  # others that may be there
        self._present: list[str] | None = None

    def __iter__(self) -> Iterator[Record]:
        return iter(self.records.values())

    def get(self, name: str) -> Record | None:
        return self.records.get(name)

    def join(self, now: float, record: Record) -> Record | None:
        """Takes over a record if it is newer; the one that it replaced, or itself where there was none. None
        where it says nothing new, or of a name that is not on the roster."""
        if record.name not in self.names:
            return None
        known = self.records.get(record.name)
        if known is not None and record.rank() <= known.rank():
            return None
        self.put(now, record)
        return known or record

    def put(self, now: float, record: Record) -> None:
        """Holds a record, whatever was held."""
        known = self.records.get(record.name)
        if known is not None:
            self.digest ^= mark(known)
        self.digest ^= mark(record)
        if record.name != self.me:
            self.count += record.present - (known is not None and known.present)
            self._present = None
        self.records[record.name] = record
        self.changed_at = now

    def present(self) -> list[str]:
        """Names of the others that may be there, in the roster's order."""
        if self._present is None:
            records = self.records
            self._present = [
                name for name in self.roster if name != self.me and name in records and records[name].present
            ]
        return self._present

    def state(self, name: str) -> State | None:
        record = self.records.get(name)
        return record.state if record is not None else None
