"""The state folder: an SQLite database (WAL, full sync) with a lock file that one process holds.

All calls block and are never made on the proxy's event loop. A change is durable when its call returns. A
database that is damaged, newer than this program or written by another program is rejected unchanged.
"""

from __future__ import annotations

import fcntl
import json
import os
import sqlite3
import struct
from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, Final

from notchflow.tenancy.model import ApiKey, Limits, Route, Tenant, TenantState

APPLICATION: Final = 0x6E6F7463  # "notc", at offset 68 of the file (SQLite's application_id)
FILE: Final = "service.db"
LOCK: Final = "lock"
HEADER: Final = b"SQLite format 3\0"
KEEP_ANSWERS_S: Final = 24 * 3600.0  # lifetime of the stored response to an Idempotency-Key

MIGRATIONS: Final = (
    """
    CREATE TABLE tenants (id TEXT PRIMARY KEY, name TEXT NOT NULL, state TEXT NOT NULL, limits TEXT,
        routes TEXT, version INTEGER NOT NULL, created_at REAL NOT NULL,
        changed_at REAL NOT NULL) WITHOUT ROWID;
    CREATE TABLE keys (id TEXT PRIMARY KEY, tenant TEXT NOT NULL REFERENCES tenants(id),
        digest BLOB NOT NULL, label TEXT NOT NULL, created_at REAL NOT NULL, expires_at REAL, revoked_at REAL,
        last_used_at REAL) WITHOUT ROWID;
    CREATE INDEX keys_of_tenant ON keys (tenant, id);
    CREATE TABLE tokens (id TEXT PRIMARY KEY, tenant TEXT REFERENCES tenants(id), digest BLOB NOT NULL,
        label TEXT NOT NULL, created_at REAL NOT NULL, expires_at REAL, revoked_at REAL) WITHOUT ROWID;
    CREATE TABLE events (seq INTEGER PRIMARY KEY AUTOINCREMENT, at REAL NOT NULL, actor TEXT NOT NULL,
        action TEXT NOT NULL, tenant TEXT, target TEXT NOT NULL, before TEXT, after TEXT);
    CREATE INDEX events_of_tenant ON events (tenant, seq);
    """,
    """
    CREATE TABLE answers (actor TEXT NOT NULL, key TEXT NOT NULL, fingerprint TEXT NOT NULL, at REAL NOT NULL,
        status INTEGER NOT NULL, body TEXT NOT NULL, PRIMARY KEY (actor, key)) WITHOUT ROWID;
    CREATE INDEX answers_by_age ON answers (at);
    """,
    """
    CREATE TABLE meta (name TEXT PRIMARY KEY, value BLOB NOT NULL) WITHOUT ROWID;
    CREATE TABLE commands (id TEXT PRIMARY KEY, at INTEGER NOT NULL) WITHOUT ROWID;
    CREATE INDEX commands_by_at ON commands (at);
    CREATE TABLE staged (number INTEGER PRIMARY KEY, rows BLOB NOT NULL);
    """,
)
WRITES: Final = {
    "tenant": "INSERT OR REPLACE INTO tenants VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
    "key": "INSERT INTO keys VALUES (?, ?, ?, ?, ?, ?, ?, NULL) ON CONFLICT (id) DO UPDATE SET label = "
    "excluded.label, expires_at = excluded.expires_at, revoked_at = excluded.revoked_at",
    "token": "INSERT OR REPLACE INTO tokens VALUES (?, ?, ?, ?, ?, ?, ?)",
    "event": "INSERT INTO events (at, actor, action, tenant, target, before, after) "
    "VALUES (?, ?, ?, ?, ?, ?, ?)",
    "old-answers": "DELETE FROM answers WHERE at <= ?",
    "answer": "INSERT OR REPLACE INTO answers VALUES (?, ?, ?, ?, ?, ?)",
}
Write = tuple[str, tuple[Any, ...]]  # a key of WRITES and the statement's values: text, numbers, bytes, None


class StateError(Exception):
    """The state folder cannot be used; the message says why and what to do. Nothing was changed."""


@dataclass(frozen=True, slots=True)
class Token:
    """A token for the administration API: a tenant's if `tenant` is set, else an operator's. Times are Unix
    times in seconds."""

    id: str
    tenant: str | None
    digest: bytes = field(repr=False)
    label: str = ""
    created_at: float = 0.0
    expires_at: float | None = None
    revoked_at: float | None = None

    def usable(self, now: float) -> bool:
        """Whether the token is neither revoked nor expired."""
        return self.revoked_at is None and (self.expires_at is None or now < self.expires_at)


@dataclass(frozen=True, slots=True)
class AuditEvent:
    """One entry of the audit log. `before` and `after` contain no secrets."""

    seq: int
    at: float
    actor: str
    action: str
    tenant: str | None
    target: str
    before: Mapping[str, Any] | None
    after: Mapping[str, Any] | None


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The response to a POST, replayed to a repeat with the same Idempotency-Key."""

    fingerprint: str
    status: int
    body: str


class Database:
    """The persistent state of the service. Not thread-safe: use from one thread at a time."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.recorded_writes: list[Write] | None = None  # the writes of the running dry_run
        try:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self.lock = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise StateError(f"{folder}: {error.strerror}; the folder must be writable") from None
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise StateError(f"{folder}: another process serves from this folder; stop it first") from None
        try:
            _check_file(folder / FILE)
            self.db = self._open(folder / FILE)
        except BaseException:
            os.close(self.lock)
            raise

    def _open(self, path: Path) -> sqlite3.Connection:
        is_new = not path.exists()
        db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, cached_statements=64)
        try:
            db.execute("PRAGMA journal_mode = WAL")
            db.execute("PRAGMA synchronous = FULL")
            db.execute("PRAGMA foreign_keys = ON")
            if is_new:
                db.execute(f"PRAGMA application_id = {APPLICATION}")
                os.chmod(path, 0o600)
            _migrate(db)
            _sync_folder(path.parent)
        except sqlite3.Error as error:
            db.close()
            raise StateError(f"{path}: {error}; restore a copy, or move the file away") from None
        return db

    def close(self) -> None:
        """Closes the database and releases the lock."""
        self.db.close()
        os.close(self.lock)

    @contextmanager
    def dry_run(self) -> Iterator[list[Write]]:
        """A dry run: changes made inside are visible inside and rolled back at the end. Yields the list of
        their writes."""
        writes: list[Write] = []
        self.recorded_writes = writes
        self.db.execute("BEGIN IMMEDIATE")
        try:
            yield writes
        finally:
            self.recorded_writes = None
            self.db.execute("ROLLBACK")

    def write(self, kind: str, values: tuple[Any, ...]) -> None:
        """Executes a statement of WRITES."""
        if self.recorded_writes is not None:
            self.recorded_writes.append((kind, values))
        self.db.execute(WRITES[kind], values)

    @contextmanager
    def change(self) -> Iterator[None]:
        """One transaction: durable at its end, or rolled back. Inside a dry_run it is part of the dry_run."""
        if self.recorded_writes is not None:
            yield
            return
        self.db.execute("BEGIN IMMEDIATE")
        try:
            yield
        except BaseException:
            self.db.execute("ROLLBACK")
            raise
        self.db.execute("COMMIT")

    # -- tenants
    def tenant(self, tenant: str) -> Tenant | None:
        """The tenant with this id."""
        row = self.db.execute(f"SELECT {TENANT_COLUMNS} FROM tenants WHERE id = ?", (tenant,)).fetchone()
        return _tenant_from_row(row) if row is not None else None

    def tenants(self, after: str = "", most: int = -1, state: str | None = None) -> list[Tenant]:
        """Up to `most` tenants in order of id, from the first id after `after`; all if `most` is -1."""
        where, values = ("AND state = ?", (after, state, most)) if state else ("", (after, most))
        rows = self.db.execute(
            f"SELECT {TENANT_COLUMNS} FROM tenants WHERE id > ? {where} " "ORDER BY id LIMIT ?", values
        )
        return [_tenant_from_row(row) for row in rows]

    def put_tenant(self, tenant: Tenant) -> None:
        """Inserts or replaces a tenant."""
        limits = json.dumps(asdict(tenant.limits)) if tenant.limits is not None else None
        routes = json.dumps([asdict(r) for r in tenant.routes]) if tenant.routes is not None else None
        self.write(
            "tenant",
            (
                tenant.id,
                tenant.name,
                tenant.state.value,
                limits,
                routes,
                tenant.version,
                tenant.created_at,
                tenant.changed_at,
            ),
        )

    # -- keys
    def key(self, key: str) -> ApiKey | None:
        """The API key with this id."""
        row = self.db.execute(f"SELECT {KEY_COLUMNS} FROM keys WHERE id = ?", (key,)).fetchone()
        return ApiKey(*row) if row is not None else None

    def keys(self, tenant: str, after: str = "", most: int = -1) -> list[tuple[ApiKey, float | None]]:
        """A tenant's API keys in order of id, from the first id after `after`, each with when it was last
        used."""
        rows = self.db.execute(
            f"SELECT last_used_at, {KEY_COLUMNS} FROM keys WHERE tenant = ? AND id > ? "
            "ORDER BY id LIMIT ?",
            (tenant, after, most),
        )
        return [(ApiKey(*row[1:]), row[0]) for row in rows]

    def live_keys(self) -> list[ApiKey]:
        """All API keys that are not revoked."""
        rows = self.db.execute(f"SELECT {KEY_COLUMNS} FROM keys WHERE revoked_at IS NULL")
        return [ApiKey(*row) for row in rows]

    def put_key(self, key: ApiKey) -> None:
        """Inserts an API key or updates its label and times."""
        self.write(
            "key", (key.id, key.tenant, key.digest, key.label, key.created_at, key.expires_at, key.revoked_at)
        )

    def record_key_use(self, used: Mapping[str, float]) -> None:
        """Stores when keys were last used, in batches, as one write per request would be too many.

        A single statement updates all keys: each statement releases and reacquires the interpreter's lock,
        and ten thousand of them would compete with the proxy's event loop for it.
        """
        with self.change():
            self.db.execute(
                "UPDATE keys SET last_used_at = max(ifnull(last_used_at, 0), used.value) "
                "FROM json_each(?) AS used WHERE keys.id = used.key",
                (json.dumps(dict(used)),),
            )

    # -- tokens
    def token(self, token: str) -> Token | None:
        """The token with this id."""
        row = self.db.execute(f"SELECT {TOKEN_COLUMNS} FROM tokens WHERE id = ?", (token,)).fetchone()
        return Token(*row) if row is not None else None

    def tokens(self, after: str = "", most: int = -1) -> list[Token]:
        """Up to `most` tokens in order of id, from the first id after `after`; all if `most` is -1."""
        rows = self.db.execute(
            f"SELECT {TOKEN_COLUMNS} FROM tokens WHERE id > ? ORDER BY id LIMIT ?", (after, most)
        )
        return [Token(*row) for row in rows]

    def put_token(self, token: Token) -> None:
        """Inserts or replaces a token."""
        self.write(
            "token",
            (
                token.id,
                token.tenant,
                token.digest,
                token.label,
                token.created_at,
                token.expires_at,
                token.revoked_at,
            ),
        )

    # -- audit log
    def add_event(
        self,
        at: float,
        actor: str,
        action: str,
        tenant: str | None,
        target: str,
        before: Mapping[str, Any] | None,
        after: Mapping[str, Any] | None,
    ) -> None:
        """Appends an entry to the audit log."""
        self.write("event", (at, actor, action, tenant, target, _to_json(before), _to_json(after)))

    def events(self, after: int = 0, most: int = -1, tenant: str | None = None) -> list[AuditEvent]:
        """Up to `most` audit events in order, from the first sequence number after `after`; all if `most` is
        -1."""
        where, values = ("AND tenant = ?", (after, tenant, most)) if tenant else ("", (after, most))
        rows: Iterable[tuple[Any, ...]] = self.db.execute(
            "SELECT seq, at, actor, action, tenant, target, before, after FROM events "
            f"WHERE seq > ? {where} ORDER BY seq LIMIT ?",
            values,
        )
        return [
            AuditEvent(seq, at, actor, action, of, target, _from_json(before), _from_json(after_))
            for seq, at, actor, action, of, target, before, after_ in rows
        ]

    # -- stored responses
    def answer(self, actor: str, key: str, now: float) -> StoredAnswer | None:
        """The stored response to an earlier POST of this actor with this Idempotency-Key."""
        row = self.db.execute(
            "SELECT fingerprint, status, body FROM answers WHERE actor = ? AND key = ? " "AND at > ?",
            (actor, key, now - KEEP_ANSWERS_S),
        ).fetchone()
        return StoredAnswer(*row) if row is not None else None

    def put_answer(self, actor: str, key: str, now: float, answer: StoredAnswer) -> None:
        """Stores a response and deletes expired ones."""
        self.write("old-answers", (now - KEEP_ANSWERS_S,))
        self.write("answer", (actor, key, answer.fingerprint, now, answer.status, answer.body))


TENANT_COLUMNS: Final = "id, name, state, limits, routes, version, created_at, changed_at"
KEY_COLUMNS: Final = "id, tenant, digest, label, created_at, expires_at, revoked_at"
TOKEN_COLUMNS: Final = "id, tenant, digest, label, created_at, expires_at, revoked_at"


def _tenant_from_row(row: tuple[Any, ...]) -> Tenant:
    identity, name, state, limits, routes, version, created, changed = row
    return Tenant(
        identity,
        name,
        TenantState(state),
        Limits(**json.loads(limits)) if limits else None,
        tuple(
            Route(r["method"], r["path"], r["cls"], tuple(r["key"]), r.get("key_required", False))
            for r in json.loads(routes)
        )
        if routes is not None
        else None,
        version,
        created,
        changed,
    )


def _to_json(value: Mapping[str, Any] | None) -> str | None:
    return json.dumps(value, sort_keys=True) if value is not None else None


def _from_json(text: str | None) -> Mapping[str, Any] | None:
    loaded: Mapping[str, Any] | None = json.loads(text) if text is not None else None
    return loaded


def _check_file(path: Path) -> None:
    """Rejects a file that this program must not open. Only reads it, as opening a database may change it."""
    try:
        with path.open("rb") as file:
            head = file.read(100)
    except FileNotFoundError:
        return
    except OSError as error:
        raise StateError(f"{path}: {error.strerror}") from None
    if not head:
        return
    if len(head) < 100 or not head.startswith(HEADER):
        raise StateError(f"{path}: not a database (damaged?); restore a copy, or move the file away")
    version, application = struct.unpack(">I", head[60:64])[0], struct.unpack(">I", head[68:72])[0]
    if application != APPLICATION:
        raise StateError(f"{path}: the database of another program (application id {application:#x})")
    if version > len(MIGRATIONS):
        raise StateError(
            f"{path}: version {version} is newer than this program's {len(MIGRATIONS)}; "
            "run the program that wrote it"
        )
    db = sqlite3.connect(f"{path.resolve().as_uri()}?mode=ro", uri=True)
    try:
        problems = [str(row[0]) for row in db.execute("PRAGMA quick_check(5)")]
    except sqlite3.Error as error:
        problems = [str(error)]
    finally:
        db.close()
    if problems != ["ok"]:
        raise StateError(
            f"{path}: damaged ({'; '.join(problems)[:200]}); " "restore a copy, or move the file away"
        )


def _migrate(db: sqlite3.Connection) -> None:
    """Migrates the database to this program's version, each step in its own transaction."""
    version = int(db.execute("PRAGMA user_version").fetchone()[0])
    for number in range(version, len(MIGRATIONS)):
        db.execute("BEGIN IMMEDIATE")
        for statement in MIGRATIONS[number].split(";"):
            if statement.strip():
                db.execute(statement)
        db.execute(f"PRAGMA user_version = {number + 1}")
        db.execute("COMMIT")
    # The version is read from the file header before the database is opened, so it must not stay in the WAL.
    db.execute("PRAGMA wal_checkpoint(TRUNCATE)")


def _sync_folder(folder: Path) -> None:
    """Makes the name of a new file durable by syncing its folder."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
