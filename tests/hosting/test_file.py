"""The operator file: the sample is valid, and all errors are reported at once, with place and remedy."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from notchflow.hosting.file import InvalidFileError, decode, load
from notchflow.interface import Effect

ROOT = Path(__file__).resolve().parent.parent.parent
SAMPLE = ROOT / "deploy/hosted.toml"


def load_sample() -> dict[str, Any]:
    return tomllib.loads(SAMPLE.read_text())


def errors_of(data: dict[str, Any]) -> dict[str, str]:
    with pytest.raises(InvalidFileError) as error:
        decode(data, Path("f.toml"))
    return {fault.place: fault.message for fault in error.value.issues}


def test_the_sample_is_valid_and_gives_its_settings() -> None:
    file = load(SAMPLE)
    settings = file.settings()
    assert {c.name: c.effect for c in settings.classes} == {
        "menu-read": Effect.SAFE,
        "order-status": Effect.SAFE,
        "slot-set": Effect.KEYED,
        "order-pay": Effect.UNSAFE,
    }
    assert file.state == SAMPLE.parent / "state"
    assert file.config(1).discovery is None and file.static_node_list().members


def test_all_errors_are_reported_at_once() -> None:
    data = load_sample()
    data["unknown"] = 1
    data["service"]["memory_mb"] = "much"
    data["listeners"].append({"address": data["listeners"][0]["address"]})
    data["listeners"].append({"adress": "x"})
    data["admin"]["address"] = "nowhere"
    data["fleet"]["discovery"] = "127.0.0.1:99999"
    data["fleet"]["max_attempts"] = 0
    data["classes"][0]["effect"] = "maybe"
    del data["classes"][1]["aim_ms"]
    data["tenants"]["limits"]["rate_per_s"] = -1
    found = errors_of(data)
    assert found["unknown"].startswith("unknown section; allowed: service")
    assert "'much'" in found["service.memory_mb"] and "number" in found["service.memory_mb"]
    assert found["listeners[2].adress"] == "unknown name"
    assert found["listeners[2].address"] == "is missing and has no default"
    assert "'nowhere'" in found["admin.address"]
    assert "greater than or equal to 1" in found["fleet.max_attempts"]
    assert "'safe', 'keyed' or 'unsafe'" in found["classes[0].effect"]
    assert found["classes[1].aim_ms"] == "is missing and has no default"
    assert "greater than 0" in found["tenants.limits.rate_per_s"]


def test_errors_between_sections_are_reported() -> None:
    data = load_sample()
    data["admin"]["address"] = data["listeners"][0]["address"]
    data["fleet"]["discovery"] = "127.0.0.1:99999"
    data["fleet"]["boxes"].append(dict(data["fleet"]["boxes"][0]))
    data["classes"].append(dict(data["classes"][0]))
    data["classes"][1]["aim_ms"] = 5_000.0
    data["classes"][2]["window_ms"] = 0.0
    data["tenants"]["routes"][0]["class"] = "unknown"
    data["tenants"]["routes"][1]["path"] = "/a/../b"
    found = errors_of(data)
    assert "listeners[0].address" in found["admin.address"]
    assert "not both" in found["fleet"]
    assert "127.0.0.1:99999" in found["fleet.discovery"]
    assert "another box" in found[f"fleet.boxes[{len(data['fleet']['boxes']) - 1}].id"]
    assert "another class" in found[f"classes[{len(data['classes']) - 1}].name"]
    assert "at most the deadline" in found["classes[1].aim_ms"]
    assert "how long boxes drop a repeat" in found["classes[2].window_ms"]
    assert "'unknown'; allowed" in found["tenants.routes[0].class"]
    assert "dot segment" in found["tenants.routes[1].path"]


@pytest.mark.parametrize("section", ["listeners", "admin", "fleet", "classes"])
def test_sections_without_default_are_required(section: str) -> None:
    data = load_sample()
    del data[section]
    assert errors_of(data)[section] == "is missing and has no default"


def test_empty_lists_are_errors() -> None:
    data = load_sample() | {"listeners": [], "classes": []}
    found = errors_of(data)
    assert "at least one" in found["listeners"] and "at least one" in found["classes"]


def command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "notchflow", *arguments], capture_output=True, text=True, cwd=ROOT, timeout=60
    )


def test_check_prints_errors_and_sets_the_exit_status(tmp_path: Path) -> None:
    done = command("check", str(SAMPLE))
    assert (done.returncode, done.stdout) == (0, f"{SAMPLE}: valid\n")
    bad = tmp_path / "bad.toml"
    bad.write_text(SAMPLE.read_text().replace('effect = "safe"', 'effect = "maybe"'))
    done = command("check", str(bad))
    assert done.returncode == 2 and done.stderr.count("\n") == 2, "one line per error"
    assert f"{bad}: classes[0].effect: is 'maybe'; input should be" in done.stderr
    bad.write_text("[service\n")
    done = command("check", str(bad))
    assert done.returncode == 2 and "line 1" in done.stderr
    assert command("check", str(tmp_path / "none.toml")).returncode == 2
    assert command("serve", str(bad)).returncode == 2


def test_the_platform_s_proxy_imports_nothing_of_the_hosted_service() -> None:
    code = (
        "import sys, notchflow.__main__, notchflow.net.process; "
        "print([m for m in sys.modules if m.split('.')[0] in ('pydantic', 'fastapi', 'sqlite3', 'standins') "
        "or m.startswith(('notchflow.tenancy', 'notchflow.hosting', 'notchflow.admin', 'notchflow.state'))])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, timeout=60)
    assert done.stdout == "[]\n", done.stderr


def test_without_arguments_the_platform_s_proxy_runs() -> None:
    done = command()
    assert done.returncode == 2 and "ROUTER_CONFIG is not set" in done.stderr
