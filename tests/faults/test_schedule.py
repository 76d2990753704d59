"""Schedules: read whole, drawn by seed, shortened; links' laws; relays; checks that one event breaks."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pytest

from notchflow.cluster.histories import HistoryLine
from notchflow.faults import checks
from notchflow.faults.rig import broken
from notchflow.faults.schedule import Schedule, decode, draw, load
from notchflow.faults.shrink import shrink
from notchflow.hosting.file import FileFaults
from standins.relay import WHOLE, Law, Mesh

MS = checks.MS
BOUNDS = checks.Bounds(2_000.0, 1_000.0, 500.0)


def plan(*faults: dict[str, Any]) -> Schedule:
    return decode({"instances": 3, "seconds": 10.0, "faults": list(faults)}, Path("plan.toml"))


# -- schedules
def test_all_that_is_wrong_with_a_schedule_is_told_at_once(tmp_path: Path) -> None:
    path = tmp_path / "plan.toml"
    path.write_text("""
instances = 3
seconds = 5.0
[[faults]]
kind = "loss"
at_s = 1.0
part = 1.5
[[faults]]
kind = "explode"
at_s = 1.0
""")
    with pytest.raises(FileFaults) as told:
        load(path)
    text = str(told.value)
    assert "faults[0].loss.part: is 1.5" in text and "faults[1]" in text and "explode" in text
    with pytest.raises(FileFaults) as told:
        plan(
            {"kind": "kill", "who": ["p9"], "at_s": 1.0},
            {"kind": "cut", "at_s": 9.0, "for_s": 2.0},
            {"kind": "islands", "groups": [["p1"], ["p1", "p2"]], "at_s": 0.0},
        )
    assert [fault.place for fault in told.value.faults] == ["faults[0]", "faults[1].for_s", "faults[2]"]


def test_a_drawn_schedule_is_the_same_each_time_and_reads_back_from_its_file(tmp_path: Path) -> None:
    path = tmp_path / "plan.toml"
    for seed in range(200):
        drawn = draw(seed, 5, 10.0)
        assert drawn == draw(seed, 5, 10.0) and 2 <= len(drawn.faults) <= 6
        path.write_text(drawn.toml())
        assert load(path) == drawn


def test_laws_of_several_faults_add_up_on_the_links_that_they_name() -> None:
    faults = plan(
        {"kind": "loss", "part": 0.5, "at_s": 0.0},
        {"kind": "loss", "part": 0.5, "at_s": 0.0, "from": ["p1"]},
        {"kind": "delay", "median_ms": 5.0, "at_s": 0.0, "to": ["p2"]},
        {"kind": "bridge", "middle": ["p2"], "sides": [["p1"], ["p3"]], "at_s": 0.0},
    ).faults

    def law(a: str, b: str) -> Law:
        found = WHOLE
        for fault in faults:
            found = broken(found, fault, a, b)
        return found

    assert law("p1", "p2") == Law(loss=0.75, delay_ms=5.0)
    assert law("p3", "p2") == Law(loss=0.5, delay_ms=5.0)
    assert law("p1", "p3").cut and law("p3", "p1").cut and not law("p2", "p3").cut


def test_the_shortest_part_that_still_fails_is_found() -> None:
    drawn = draw(5, 5, 10.0, most=6)
    faults = [f for seed in range(20) for f in draw(seed, 5, 10.0).faults][:12]
    wanted = (faults[3], faults[8])

    async def fails(shorter: Schedule) -> bool:
        kinds = [(f.kind, f.at_s) for f in shorter.faults]
        long = [f for f in shorter.faults if f.at_s != wanted[0].at_s or f.for_s >= 0.2]
        return all((w.kind, w.at_s) in kinds for w in wanted) and len(long) == len(shorter.faults)

    shortest, played = asyncio.run(shrink(drawn.with_faults(faults), fails, 200))
    assert [(f.kind, f.at_s) for f in shortest.faults] == [(w.kind, w.at_s) for w in wanted]
    assert 0.2 <= shortest.faults[0].for_s < 0.4 and shortest.faults[1].for_s <= 0.1 and played < 120


# -- relays
def test_relays_lose_double_cut_and_hush_what_passes_each_way_by_itself() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        sinks: dict[str, socket.socket] = {}
        for name in ("a", "b"):
            sinks[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sinks[name].bind(("127.0.0.1", 0))
            sinks[name].setblocking(False)
        mesh = Mesh({name: sink.getsockname() for name, sink in sinks.items()}, 1)
        mesh.start()
        there, back = mesh.relays["a", "b"], mesh.relays["b", "a"]
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

        async def passed(law: Law, count: int) -> int:
            there.law = law
            before, came = there.counts["datagrams"], 0
            for number in range(count):
                sender.sendto(b"%d" % number, there.udp.getsockname())
            async with asyncio.timeout(10):
                while there.counts["datagrams"] < before + count or there.waiting:
                    await asyncio.sleep(0.01)
            while True:
                try:
                    sinks["b"].recv(100)
                except BlockingIOError:
                    return came
                came += 1

        assert await passed(WHOLE, 50) == 50
        assert await passed(Law(cut=True), 50) == 0
        assert await passed(Law(doubled=1.0, delay_ms=2.0, sigma=0.5), 50) == 100
        assert 60 < await passed(Law(loss=0.5), 200) < 140
        assert back.law == WHOLE and back.counts["datagrams"] == 0
        there.law = Law(hushed=True)
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            mesh.places["b"] = server.getsockname()
            reader, writer = await asyncio.open_connection(*there.server.getsockname())
            writer.write(b"anybody?")
            far, _ = await loop.sock_accept(server)
            heard = asyncio.ensure_future(loop.sock_recv(far, 100))
            await asyncio.wait([heard], timeout=0.2)
            assert not heard.done(), "the connection is open and says nothing"
            there.law = WHOLE
            assert await asyncio.wait_for(heard, 5) == b"anybody?"
            await loop.sock_sendall(far, b"yes")
            assert await asyncio.wait_for(reader.read(3), 5) == b"yes"
            writer.close()
            far.close()
        mesh.stop()
        for sock in (*sinks.values(), sender):
            sock.close()

    asyncio.run(test())


# -- checks, each by a history that holds and one event that breaks it
def line(at: float, who: str, what: str, **more: Any) -> HistoryLine:
    return {"t": int(at * MS), "who": who, "incarnation": "1.a", "what": what, **more}


def rules(found: Sequence[checks.Broken]) -> set[str]:
    return {one.rule for one in found}


def test_a_life_that_returns_is_found() -> None:
    def of_p2(at: float, what: str, life: str) -> HistoryLine:
        return line(at, "p1", what, subject="p2", life=life)

    held = [
        of_p2(1, "alive", "5.a"),
        of_p2(2, "alive", "6.0"),
        of_p2(3, "left", "6.0"),
        of_p2(4, "alive", "7.0"),
    ]
    assert checks.no_life_returns(held) == []
    for late in (of_p2(5, "alive", "6.0"), of_p2(5, "dead", "5.f")):
        assert rules(checks.no_life_returns([*held, late])) == {"no-life-returns"}


def test_a_death_that_is_learned_late_or_never_is_found() -> None:
    begun = [line(0, name, "start", life="5.a") for name in ("p1", "p2", "p3")]
    kill = line(100, "rig", "killed", subject="p3", pid=1)
    held = [*begun, kill, line(1_000, "p1", "dead", subject="p3"), line(2_000, "p2", "dead", subject="p3")]
    assert checks.detected(held, BOUNDS, 100) == []
    assert len(checks.detected(held[:-1], BOUNDS, 100)) == 1
    assert len(checks.detected([*held[:-1], line(2_300, "p2", "dead", subject="p3")], BOUNDS, 100)) == 1


def test_one_who_is_buried_alive_is_found() -> None:
    held = [line(0, "rig", "killed", subject="p3"), line(1, "p1", "dead", subject="p3")]
    assert checks.nobody_buried_alive(held) == []
    assert rules(checks.nobody_buried_alive([*held, line(2, "p1", "dead", subject="p2")])) == {
        "nobody-buried-alive"
    }
    again = [*held, line(2, "rig", "started", subject="p3"), line(3, "p1", "dead", subject="p3")]
    assert len(checks.nobody_buried_alive(again)) == 1


def test_views_that_become_equal_late_or_never_are_found() -> None:
    assert checks.healed([line(0, "rig", "agreed", ms=900.0)], BOUNDS, 50) == []
    assert len(checks.healed([line(0, "rig", "agreed", ms=1_100.0)], BOUNDS, 50)) == 1
    assert len(checks.healed([line(0, "rig", "agreed", ms=None)], BOUNDS, 50)) == 1


def test_two_of_one_name_are_found() -> None:
    held = [
        line(0, "p1", "takes", takes=True, pid=1),
        line(100, "p1", "takes", takes=True, pid=2),
        line(600, "p1", "takes", takes=False, pid=1),
    ]
    assert checks.one_instance_a_name(held, BOUNDS, 50) == []
    late = line(700, "p1", "takes", takes=False, pid=1)
    assert rules(checks.one_instance_a_name([*held[:-1], late], BOUNDS, 50)) == {"one-instance-a-name"}
    assert rules(checks.one_instance_a_name(held[:-1], BOUNDS, 50)) == {"one-instance-a-name"}
    killed = [*held[:-1], line(300, "rig", "killed", subject="p1", pid=2)]
    assert checks.one_instance_a_name(killed, BOUNDS, 50) == []


def test_a_request_that_is_lost_or_answered_twice_and_a_payment_that_runs_twice_are_found() -> None:
    held = [
        line(1, "rig", "answer", id="1", instance="p1", status=200),
        line(2, "rig", "ran", key="k1", unsafe=True),
        line(50, "rig", "killed", subject="p2", pid=1),
        line(60, "rig", "answer", id="2", instance="p2", status=0),
    ]
    assert checks.answered_once(held, 100) == []
    for event, rule in (
        (line(70, "rig", "answer", id="1", instance="p1", status=200), "answered-once"),
        (line(70, "rig", "answer", id="3", instance="p1", status=0), "answered-once"),
        (line(70, "rig", "ran", key="k1", unsafe=True), "ran-once"),
    ):
        assert rules(checks.answered_once([*held, event], 100)) == {rule}
