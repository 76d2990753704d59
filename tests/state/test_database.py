"""The state folder: data persists; damaged, newer and foreign databases are rejected unchanged."""

from __future__ import annotations

import random
import sqlite3
import struct
from pathlib import Path

import pytest

from notchflow.state.database import APPLICATION, FILE, MIGRATIONS, Database, StateError, StoredAnswer, Token
from notchflow.tenancy.model import ApiKey, Limits, Route, Tenant, TenantState

ALFA = Tenant(
    "alfa",
    "Comedor Alfa",
    limits=Limits(rate_per_s=7),
    routes=(Route("GET", "/a/{x}", "read", ("x",)),),
    version=3,
    created_at=1.5,
    changed_at=2.5,
)


def fill_database(folder: Path) -> None:
    db = Database(folder)
    with db.change():
        db.put_tenant(ALFA)
        db.put_key(ApiKey("k1", "alfa", b"d" * 32, "till", 1.0, 99.0))
        db.put_token(Token("t1", None, b"e" * 32, "first", 1.0))
        db.add_event(3.0, "operator:t1", "tenant.create", "alfa", "alfa", None, {"id": "alfa"})
        db.put_answer("t1", "once", 10.0, StoredAnswer("f", 201, "{}"))
    db.close()


def test_data_survives_reopening(tmp_path: Path) -> None:
    fill_database(tmp_path)
    db = Database(tmp_path)
    assert db.tenant("alfa") == ALFA and db.tenant("beta") is None
    assert db.tenants() == [ALFA] and db.tenants("alfa") == [] and db.tenants(state="gone") == []
    assert db.live_keys() == [ApiKey("k1", "alfa", b"d" * 32, "till", 1.0, 99.0)]
    db.record_key_use({"k1": 50.0, "unknown": 1.0})
    db.record_key_use({"k1": 40.0})
    assert db.keys("alfa")[0][1] == 50.0
    token = db.token("t1")
    assert token is not None and token.usable(5.0)
    assert [(e.seq, e.action, e.after) for e in db.events()] == [(1, "tenant.create", {"id": "alfa"})]
    assert db.events(tenant="beta") == [] and db.events(after=1) == []
    assert db.answer("t1", "once", 20.0) == StoredAnswer("f", 201, "{}")
    assert db.answer("t2", "once", 20.0) is None and db.answer("t1", "once", 10.0 + 25 * 3600) is None
    db.close()


def test_a_failed_change_is_rolled_back(tmp_path: Path) -> None:
    fill_database(tmp_path)
    db = Database(tmp_path)
    with pytest.raises(RuntimeError), db.change():
        db.put_tenant(Tenant("beta"))
        raise RuntimeError
    assert db.tenant("beta") is None
    db.close()


def test_tenants_are_paged_in_order(tmp_path: Path) -> None:
    db = Database(tmp_path)
    names = [f"tenant-{i:03}" for i in range(25)]
    with db.change():
        for name in names:
            db.put_tenant(
                Tenant(name, state=TenantState.SUSPENDED if name.endswith("1") else TenantState.ACTIVE)
            )
    got, after = [], ""
    while page := db.tenants(after, 10):
        got += [t.id for t in page]
        after = got[-1]
    assert got == names
    assert [t.id for t in db.tenants(state="suspended")] == ["tenant-001", "tenant-011", "tenant-021"]
    db.close()


def test_a_folder_is_locked_by_one_process(tmp_path: Path) -> None:
    db = Database(tmp_path)
    with pytest.raises(StateError, match="another process"):
        Database(tmp_path)
    db.close()
    Database(tmp_path).close()


def test_the_database_file_is_private(tmp_path: Path) -> None:
    fill_database(tmp_path)
    assert (tmp_path / FILE).stat().st_mode & 0o077 == 0
    assert tmp_path.stat().st_mode & 0o077 in (0, 0o055), "an existing folder keeps its mode"


def assert_rejected_unchanged(folder: Path, why: str) -> None:
    before = {p.name: p.read_bytes() for p in folder.iterdir()}
    with pytest.raises(StateError, match=why):
        Database(folder)
    assert {p.name: p.read_bytes() for p in folder.iterdir() if p.name in before} == before
    assert (folder / FILE).exists()


def test_a_newer_database_is_rejected_unchanged(tmp_path: Path) -> None:
    fill_database(tmp_path)
    with sqlite3.connect(tmp_path / FILE) as db:
        db.execute(f"PRAGMA user_version = {len(MIGRATIONS) + 1}")
        db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    db.close()
    assert_rejected_unchanged(tmp_path, "newer than this program")


def test_the_database_of_another_program_is_rejected_unchanged(tmp_path: Path) -> None:
    with sqlite3.connect(tmp_path / FILE) as db:
        db.execute("CREATE TABLE t (x)")
    db.close()
    assert_rejected_unchanged(tmp_path, "another program")


@pytest.mark.parametrize("data", [b"not a database at all" * 50, b"SQLite format 3\0", b"\0" * 8192])
def test_a_file_that_is_not_a_database_is_rejected_unchanged(tmp_path: Path, data: bytes) -> None:
    (tmp_path / FILE).write_bytes(data)
    assert_rejected_unchanged(tmp_path, "not a database")


def test_a_damaged_page_is_detected_and_the_database_rejected_unchanged(tmp_path: Path) -> None:
    fill_database(tmp_path)
    path = tmp_path / FILE
    data = bytearray(path.read_bytes())
    size = struct.unpack(">H", data[16:18])[0]
    rng = random.Random(1)
    for page in range(1, len(data) // size):
        data[page * size : page * size + 64] = rng.randbytes(64)
    path.write_bytes(bytes(data))
    assert_rejected_unchanged(tmp_path, "damaged")


def test_an_older_database_is_migrated(tmp_path: Path) -> None:
    db = sqlite3.connect(tmp_path / FILE, isolation_level=None)
    db.execute(f"PRAGMA application_id = {APPLICATION}")
    for statement in MIGRATIONS[0].split(";"):
        db.execute(statement)
    db.execute("PRAGMA user_version = 1")
    db.execute("INSERT INTO tenants VALUES ('old', '', 'active', NULL, NULL, 1, 0, 0)")
    db.close()
    opened = Database(tmp_path)
    assert opened.tenant("old") == Tenant("old")
    assert opened.answer("a", "b", 0.0) is None, "the table of the second migration exists"
    opened.close()


def test_an_unusable_folder_is_reported(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("x")
    with pytest.raises(StateError, match="must be writable"):
        Database(tmp_path / "file")
