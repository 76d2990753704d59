"""One instance's view of the members: the newest record of each name. No I/O.

Records are merged by their rank, a total order, so the view is a join semilattice: instances that have seen
the same updates hold the same view, whatever their order, duplication or delay.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from notchflow.cluster.messages import digest
from notchflow.cluster.model import Record, State


def record_digest(record: Record) -> int:
    """Contribution of a record to the digest of a view."""
    incarnation = record.incarnation
    return digest(
        f"{record.name} {incarnation.epoch} {incarnation.nonce} {record.revision} {record.state:d} "
        f"{record.address}"
    )


class View:
    """Records by name. Names that are not on the roster are ignored, which bounds the memory."""

    def __init__(self, roster: Iterable[str], own_name: str) -> None:
        self.own_name = own_name
        self.roster = tuple(sorted(set(roster)))
        self.names = frozenset(self.roster)
        self.records: dict[str, Record] = {}
        self.digest = 0
        self.changed_at = 0.0
        self.others_present = 0  # other members that are alive or suspect
        self._present: list[str] | None = None

    def __iter__(self) -> Iterator[Record]:
        return iter(self.records.values())

    def get(self, name: str) -> Record | None:
        """The record of a member, if there is one."""
        return self.records.get(name)

    def merge(self, now: float, record: Record) -> Record | None:
        """Merges a record. Returns the record that it replaced, or itself if there was none; None if it is
        not newer or its name is not on the roster."""
        if record.name not in self.names:
            return None
        known = self.records.get(record.name)
        if known is not None and record.rank() <= known.rank():
            return None
        self.put(now, record)
        return known or record

    def put(self, now: float, record: Record) -> None:
        """Stores a record unconditionally."""
        known = self.records.get(record.name)
        if known is not None:
            self.digest ^= record_digest(known)
        self.digest ^= record_digest(record)
        if record.name != self.own_name:
            self.others_present += record.present - (known is not None and known.present)
            self._present = None
        self.records[record.name] = record
        self.changed_at = now

    def present(self) -> list[str]:
        """Names of the other members that are alive or suspect, in roster order."""
        if self._present is None:
            records = self.records
            self._present = [
                name
                for name in self.roster
                if name != self.own_name and name in records and records[name].present
            ]
        return self._present

    def state(self, name: str) -> State | None:
        """The state of a member, if it is known."""
        record = self.records.get(name)
        return record.state if record is not None else None
