"""Discovery's list and watch, and the configuration, over loopback sockets."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from notchflow.interface import ListKind, Membership
from notchflow.net.config import load
from notchflow.net.discovery import node_id
from tests.rig import Rig, answer, run, until


def test_a_watch_goes_on_from_each_answer_and_deltas_are_applied() -> None:
    async def test() -> None:
        async with Rig() as rig:
            told = rig.told(Membership)
            rig.host.discovery.watch(True)
            seen, writer = await rig.calls.get()
            assert seen.line.startswith("GET /registry/instances?index=41&wait=")
            writer.write(rig.listing(43, False, [rig.entry(0, phase="draining")]))
            seen, writer = await rig.calls.get()
            assert "index=43" in seen.line, "the next call leaves at once"
            assert told[-1].kind is ListKind.DELTA
            assert (await rig.ask()).status == 503 and rig.sent == 0, "a draining node gets nothing new"
            writer.write(rig.listing(44))
            await rig.calls.get()
            assert (await rig.ask()).status == 200
    run(test())


@pytest.mark.parametrize("data", [
    answer(status="503 Service Unavailable"), answer(b"{"), answer(b"[]"), answer(b'{"revision":50}'),
    answer(b'{"revision":50,"complete":true,"members":[{"id":"s","phase":"odd","host_port":"127.0.0.1:1"}]}'),
    answer(b'{"revision":40,"complete":true,"members":[]}'),
    b"garbage\r\n\r\n", b"HTTP/1.1 200 OK\r\n\r\n" + b"[" * 5_000_000,
])
def test_a_bad_answer_is_one_failure_and_leaves_the_old_list(data: bytes) -> None:
    async def test() -> None:
        async with Rig() as rig:
            told = rig.told(Membership)
            rig.host.discovery.watch(True)
            _, writer = await rig.calls.get()
            writer.write(data)
            await until(lambda: told)
            assert [m.kind for m in told] == [ListKind.FAILED]
            assert rig.host.discovery.call is None, "the module decides when to ask again"
            assert (await rig.ask()).status == 200
    run(test())


def test_a_node_s_number_is_the_same_at_every_proxy() -> None:
    assert node_id("s-5be2a07c") == node_id("s-5be2a07c") != node_id("s-5be2a07d")
    assert node_id("s-5be2a07c") < 1 << 64


@pytest.mark.parametrize("text", [None, "{", "[]", "{}", json.dumps({"settings": {"Classes": []}})])
def test_a_bad_configuration_ends_with_one_plain_line(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    env = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")} | {"ROUTER_CONFIG": str(path)}
    done = subprocess.run([sys.executable, "-m", "notchflow"], env=env, capture_output=True, text=True,
                          timeout=30)
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1 and "Traceback" not in done.stderr


def test_the_limits_and_idle_time_that_the_platform_states_are_the_ones_kept(tmp_path: Path) -> None:
    """Guards against budgets for a larger machine: the platform kills over its memory, not over ours."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps({
        "name": "n3", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.5, "memory_mb": 64, "sockets": 256},
        "settings": {"Classes": [{"Name": "read", "ObjectiveMs": 300, "DeadlineMs": 500}],
                     "Limits": {"ConnIdleMs": 4_000}}}))
    config = load({"ROUTER_CONFIG": str(path)})
    assert (config.memory_mb, config.sockets, config.conn_idle_ms) == (64, 256, 4_000)
