"""The replicated state machine: applies committed commands to the database, and makes and loads snapshots.

A command takes effect only if the state is still at the version that it is based on (optimistic concurrency):
a duplicate or outdated command changes nothing, on every instance alike. Data that each instance keeps for
itself (a key's last use) is not replicated. All calls block, as the database's do.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

from notchflow.state.database import Database, Write
from notchflow.tenancy.model import ApiKey, Tenant

COMMANDS_KEPT: Final = 10_000  # log indexes for which command ids are kept to detect duplicates
STAGE_BYTES: Final = 64 << 10  # of rows in one command that transfers the full state
# The replicated tables; the last use of a key is local to each instance and left out.
TABLES: Final[dict[str, str]] = {
    "tenants": "SELECT * FROM tenants ORDER BY id",
    "keys": "SELECT id, tenant, digest, label, created_at, expires_at, revoked_at, NULL FROM keys "
    "ORDER BY id",
    "tokens": "SELECT * FROM tokens ORDER BY id",
    "events": "SELECT * FROM events ORDER BY seq",
    "answers": "SELECT * FROM answers ORDER BY actor, key",
}
COLUMNS: Final = {"tenants": 8, "keys": 8, "tokens": 7, "events": 8, "answers": 6}


class Stage(msgspec.Struct, frozen=True, array_like=True):
    """One part of a full state, which replaces the present state once its last part has arrived."""

    first: bool
    last: bool
    rows: bytes


class Command(msgspec.Struct, frozen=True, array_like=True):
    """A change of the rules, with the version that it is based on."""

    id: str
    base: int
    writes: tuple[Write, ...] = ()
    stage: Stage | None = None


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The full state at a log index."""

    applied: int
    term: int
    version: int
    initialized: bool
    digest: str
    commands: tuple[tuple[str, int], ...]
    rows: bytes


Row = tuple[str, tuple[Any, ...]]


@dataclass(slots=True)
class ApplyResult:
    """The effects of applying log entries."""

    command_results: list[tuple[str, int, bool]] = field(
        default_factory=list
    )  # command, its base, if it took effect
    changes: list[Tenant | ApiKey] = field(default_factory=list)
    state_replaced: bool = False  # the full state was replaced
    other_state_replaced: bool = False  # the replaced state was a different one


def encode(command: Command) -> bytes:
    """Encodes a command for the log."""
    return msgspec.msgpack.encode(command)


def decode(data: bytes) -> Command:
    """Decodes a command. Raises msgspec.DecodeError if `data` is not one."""
    return msgspec.msgpack.decode(data, type=Command)


def _decode_rows(data: bytes) -> list[Row]:
    rows: list[Row] = msgspec.msgpack.decode(data, type=list[Row])
    return rows


class ReplicatedState:
    """The database as the log's state machine. Its table `meta` records the last applied entry."""

    def __init__(self, db: Database) -> None:
        self.db = db
        self.applied, self.term = self._meta_int("applied"), self._meta_int("term")
        self.version = self._meta_int("version")  # log index of the last command that took effect
        self.initialized = bool(self._meta_int("sealed"))  # whether a replicated state exists
        self.digest = bytes(self._meta("digest") or b"").decode()
        self.staging = False

    def _meta(self, name: str) -> Any:
        row = self.db.db.execute("SELECT value FROM meta WHERE name = ?", (name,)).fetchone()
        return row[0] if row is not None else None

    def _meta_int(self, name: str) -> int:
        return int(self._meta(name) or 0)

    def _save_meta(self) -> None:
        values = {
            "applied": self.applied,
            "term": self.term,
            "version": self.version,
            "sealed": int(self.initialized),
            "digest": self.digest.encode(),
        }
        self.db.db.executemany("INSERT OR REPLACE INTO meta VALUES (?, ?)", list(values.items()))

    def weight(self) -> int:
        """The amount of data here, which decides which instance's state the log starts with."""
        return int(
            self.db.db.execute(
                "SELECT (SELECT count(*) FROM events) + (SELECT count(*) FROM tenants)"
            ).fetchone()[0]
        )

    # -- entries
    def apply(self, entries: Sequence[tuple[int, int, bytes | None]]) -> ApplyResult:
        """Applies entries: index, term, and the encoded command or None. Durable when it returns."""
        result = ApplyResult()
        previous = self.applied, self.term, self.version, self.initialized, self.digest
        commands = [
            (index, term, decode(data) if data is not None else None) for index, term, data in entries
        ]
        last = any(c is not None and c.stage is not None and c.stage.last for _, _, c in commands)
        before = self._content_digest() if last else ""
        if last and not self.initialized and self.weight():
            self._back_up()
        try:
            with self.db.change():
                for index, term, command in commands:
                    if index != self.applied + 1:
                        raise AssertionError(f"{index} after {self.applied}")
                    self.applied, self.term = index, term
                    if command is not None:
                        self._apply_command(index, command, result)
                self._save_meta()
        except BaseException:
            self.applied, self.term, self.version, self.initialized, self.digest = previous
            raise
        result.other_state_replaced = result.state_replaced and before != self._content_digest()
        return result

    def _apply_command(self, index: int, command: Command, result: ApplyResult) -> None:
        known = self.db.db.execute("SELECT 1 FROM commands WHERE id = ?", (command.id,)).fetchone()
        took_effect = command.base == self.version and known is None
        result.command_results.append((command.id, command.base, took_effect))
        if not took_effect:
            return
        self.version = index
        self.digest = hashlib.blake2b(self.digest.encode() + encode(command), digest_size=8).hexdigest()
        self.db.db.execute("INSERT INTO commands VALUES (?, ?)", (command.id, index))
        self.db.db.execute("DELETE FROM commands WHERE at <= ?", (index - COMMANDS_KEPT,))
        if command.stage is not None:
            self._apply_stage(index, command.stage, result)
            return
        for kind, values in command.writes:
            self.db.write(kind, values)
        result.changes += self._changed_objects(command.writes)

    def _changed_objects(self, writes: Iterable[Write]) -> list[Tenant | ApiKey]:
        changes: list[Tenant | ApiKey] = []
        for kind, values in writes:
            value = (
                self.db.tenant(str(values[0]))
                if kind == "tenant"
                else self.db.key(str(values[0]))
                if kind == "key"
                else None
            )
            if value is not None:
                changes.append(value)
        return changes

    # -- full state
    def export_stages(self) -> list[Stage]:
        """The state of this instance, in parts that fit into one command each."""
        rows: list[list[Row]] = [[]]
        size = 0
        for row in self._rows():
            row_size = len(msgspec.msgpack.encode(row))
            if rows[-1] and size + row_size > STAGE_BYTES:
                rows.append([])
                size = 0
            rows[-1].append(row)
            size += row_size
        return [
            Stage(number == 0, number == len(rows) - 1, msgspec.msgpack.encode(part))
            for number, part in enumerate(rows)
        ]

    def _apply_stage(self, index: int, stage: Stage, result: ApplyResult) -> None:
        if stage.first:
            self.db.db.execute("DELETE FROM staged")
        self.db.db.execute("INSERT INTO staged VALUES (?, ?)", (index, stage.rows))
        if not stage.last:
            return
        parts = [bytes(row[0]) for row in self.db.db.execute("SELECT rows FROM staged ORDER BY number")]
        self._replace_rows(row for part in parts for row in _decode_rows(part))
        self.db.db.execute("DELETE FROM staged")
        self.initialized = result.state_replaced = True

    def _rows(self) -> Iterable[Row]:
        for table, query in TABLES.items():
            for row in self.db.db.execute(query):
                yield table, tuple(row)

    def _replace_rows(self, rows: Iterable[Row]) -> None:
        db = self.db.db
        last_used = dict(
            db.execute("SELECT id, last_used_at FROM keys WHERE last_used_at IS NOT NULL").fetchall()
        )
        for table in reversed(TABLES):
            db.execute(f"DELETE FROM {table}")
        for table, values in rows:
            placeholders = ", ".join("?" * COLUMNS[table])
            db.execute(f"INSERT INTO {table} VALUES ({placeholders})", values)
        db.executemany(
            "UPDATE keys SET last_used_at = ? WHERE id = ?", [(at, key) for key, at in last_used.items()]
        )

    def _content_digest(self) -> str:
        """A digest of the tenants, keys and tokens."""
        hasher = hashlib.blake2b(digest_size=16)
        for table in ("tenants", "keys", "tokens"):
            for row in self.db.db.execute(TABLES[table]):
                hasher.update(msgspec.msgpack.encode(tuple(row)))
        return hasher.hexdigest()

    def _back_up(self) -> None:
        """Copies the database to a file beside it before its state is replaced."""
        target = self.db.folder / "service.db.before"
        target.unlink(missing_ok=True)
        self.db.db.execute("VACUUM INTO ?", (str(target),))
        target.chmod(0o600)

    # -- snapshots
    def dump(self) -> bytes:
        """A snapshot of the applied state."""
        commands = tuple((str(i), int(at)) for i, at in self.db.db.execute("SELECT id, at FROM commands"))
        rows = zlib.compress(msgspec.msgpack.encode(list(self._rows())), 1)
        return msgspec.msgpack.encode(
            Snapshot(self.applied, self.term, self.version, self.initialized, self.digest, commands, rows)
        )

    def load(self, data: bytes) -> ApplyResult:
        """Replaces the state by a snapshot. Raises msgspec.DecodeError or zlib.error if it is damaged, before
        anything is changed."""
        snapshot: Snapshot = msgspec.msgpack.decode(data, type=Snapshot)
        rows = _decode_rows(zlib.decompress(snapshot.rows))
        displaced = not self.initialized and self.weight() > 0
        if displaced:
            self._back_up()
        with self.db.change():
            self._replace_rows(rows)
            self.db.db.execute("DELETE FROM staged")
            self.db.db.execute("DELETE FROM commands")
            self.db.db.executemany("INSERT INTO commands VALUES (?, ?)", snapshot.commands)
            self.applied, self.term, self.version = snapshot.applied, snapshot.term, snapshot.version
            self.initialized, self.digest = snapshot.initialized, snapshot.digest
            self._save_meta()
        return ApplyResult(state_replaced=True, other_state_replaced=displaced)

    def has_command(self, command: str) -> bool:
        """Whether a command took effect, within the last COMMANDS_KEPT log indexes."""
        return self.db.db.execute("SELECT 1 FROM commands WHERE id = ?", (command,)).fetchone() is not None
