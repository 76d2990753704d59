"""The commands `notchflow store check`, `dump`, `compact` and `repair`."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from notchflow.cli import main
from notchflow.effects.record import Effect, Fate
from notchflow.store import manifest, tools
from notchflow.store.engine import Change, Engine
from notchflow.store.files import RealFiles
from notchflow.store.frames import RecordKind
from tests.store.model import SMALL, contents


def make_store(folder: Path, count: int = 60) -> Engine:
    """A store of several segments that is still open, as before a crash."""
    engine = Engine(RealFiles(folder), lambda: 1000, SMALL)
    engine.open()
    for n in range(count):
        engine.append([Change(RecordKind.PUT, b"key-%d" % n, b"v" * 200, 0)])
    return engine


def abandon(engine: Engine) -> None:
    """Closes the files and releases the lock without a clean shutdown."""
    engine._close_files()
    engine.files.unlock()


def make_damaged_store(folder: Path) -> tuple[str, int]:
    """Flips a bit in the middle of the second batch of the first segment, and drops the hints."""
    engine = make_store(folder)
    entry = engine.index.get(b"key-1")
    assert entry is not None and entry.segment == 1
    abandon(engine)
    path = folder / manifest.log_name(1)
    data = bytearray(path.read_bytes())
    data[entry.offset + 50] ^= 4
    path.write_bytes(data)
    for hint in folder.glob("*.hint"):
        hint.unlink()
    return path.name, entry.offset


def test_check_reports_a_sound_store(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    abandon(make_store(tmp_path))
    assert main(["store", "check", str(tmp_path)]) == 0
    printed = capsys.readouterr().out.splitlines()
    assert printed[-1] == "sound" and len(printed) > 3
    assert printed[0].startswith("0000000000000001.log: ") and "numbers 1 to" in printed[0]


def test_check_reports_a_torn_write_but_not_as_damage(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    engine = make_store(tmp_path, 3)
    end = engine.active.end
    abandon(engine)
    with (tmp_path / manifest.log_name(1)).open("ab") as file:
        file.write(b"torn")
    assert main(["store", "check", str(tmp_path)]) == 0
    assert f"torn write at offset {end}, 4 bytes lost" in capsys.readouterr().out


def test_check_reports_damage_and_repair_sets_it_aside(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    name, offset = make_damaged_store(tmp_path)
    before = {p.name: p.read_bytes() for p in tmp_path.iterdir()}
    assert main(["store", "check", str(tmp_path)]) == 1
    printed = capsys.readouterr().out
    report = tools.check(RealFiles(tmp_path))
    (damage,) = report.damages
    assert damage.name == name and damage.offset < offset < damage.end and not damage.torn
    assert f"{name}: DAMAGE at offset {damage.offset}, {damage.end - damage.offset} bytes lost" in printed
    assert {p.name: p.read_bytes() for p in tmp_path.iterdir()} == before, "a check changes nothing"
    assert main(["store", "compact", str(tmp_path)]) == 2
    assert "store repair" in capsys.readouterr().err
    assert main(["store", "repair", str(tmp_path)]) == 0
    assert "1 places set aside" in capsys.readouterr().out
    assert (tmp_path / f"damaged-{name}").read_bytes() == before[name]
    assert main(["store", "check", str(tmp_path)]) == 0
    engine = Engine(RealFiles(tmp_path), lambda: 1000, SMALL)
    engine.open()
    assert set(contents(engine)) == {b"key-%d" % n for n in range(60)} - {b"key-1"}
    engine.close()
    assert main(["store", "repair", str(tmp_path)]) == 0
    assert "nothing to repair" in capsys.readouterr().out


def test_repair_keeps_the_other_segments_if_one_is_missing(tmp_path: Path) -> None:
    abandon(make_store(tmp_path))
    (tmp_path / manifest.log_name(2)).unlink()
    assert [d.reason for d in tools.check(RealFiles(tmp_path)).damages] == ["the file is not there"]
    tools.repair(RealFiles(tmp_path))
    engine = Engine(RealFiles(tmp_path), lambda: 1000, SMALL)
    engine.open()
    assert 20 < len(contents(engine)) < 60
    engine.close()


def test_a_dump_shows_keys_and_fates(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    engine = Engine(RealFiles(tmp_path), lambda: 1000, SMALL)
    engine.open()
    effect = Effect(Fate.SERVED, b"f" * 16, 7, 900, 200)
    engine.append(
        [Change(RecordKind.PUT, b"alfa/order-1", effect.encode()), Change(RecordKind.PUT, b"\xff", b"\1\2")]
    )
    engine.append([Change(RecordKind.PUT, b"gone", b""), Change(RecordKind.DELETE, b"gone")])
    engine.close()
    assert main(["store", "dump", str(tmp_path)]) == 0
    lines = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert [line["key"] for line in lines] == ["alfa/order-1", "\\xff"]
    assert lines[0]["fate"] == "served" and lines[0]["status"] == 200 and lines[1]["value"] == "0102"
    assert main(["store", "dump", "--all", str(tmp_path)]) == 0
    assert [json.loads(line)["kind"] for line in capsys.readouterr().out.splitlines()] == [
        "put",
        "put",
        "put",
        "delete",
    ]


def test_the_compact_command_frees_disk_space(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    engine = make_store(tmp_path, 100)
    for n in range(90):
        engine.append([Change(RecordKind.DELETE, b"key-%d" % n)])
    abandon(engine)
    assert main(["store", "compact", str(tmp_path)]) == 0
    before, after = (int(word) for word in capsys.readouterr().out.split() if word.isdigit())
    assert after < before
    assert main(["store", "check", str(tmp_path)]) == 0


def test_unusable_stores_are_reported(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["store", "check", str(tmp_path / "none")]) == 2
    assert "no such folder" in capsys.readouterr().err
    assert main(["store", "check", str(tmp_path)]) == 2
    assert "no store" in capsys.readouterr().err
    engine = make_store(tmp_path, 1)
    assert main(["store", "compact", str(tmp_path)]) == 2
    assert "another process" in capsys.readouterr().err
    engine.close()
    (tmp_path / manifest.NAME).write_bytes(b"{}")
    assert main(["store", "dump", str(tmp_path)]) == 2
    assert "checksum" in capsys.readouterr().err
