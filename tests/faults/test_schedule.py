"""Schedules: validation, drawing from seeds, shrinking; link behavior; relays; the checks of histories."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pytest

from notchflow.cluster.histories import HistoryLine
from notchflow.faults import checks
from notchflow.faults.rig import apply_fault
from notchflow.faults.schedule import Schedule, decode, draw, load
from notchflow.faults.shrink import shrink
from notchflow.hosting.file import InvalidFileError
from standins.relay import HEALTHY, LinkBehavior, Mesh

NS_PER_MS = checks.NS_PER_MS
BOUNDS = checks.Bounds(2_000.0, 1_000.0, 500.0)


def plan(*faults: dict[str, Any]) -> Schedule:
    return decode({"instances": 3, "seconds": 10.0, "faults": list(faults)}, Path("plan.toml"))


# -- schedules
def test_all_errors_of_a_schedule_are_reported_at_once(tmp_path: Path) -> None:
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
    with pytest.raises(InvalidFileError) as error:
        load(path)
    text = str(error.value)
    assert "faults[0].loss.part: is 1.5" in text and "faults[1]" in text and "explode" in text
    with pytest.raises(InvalidFileError) as error:
        plan(
            {"kind": "kill", "who": ["p9"], "at_s": 1.0},
            {"kind": "cut", "at_s": 9.0, "for_s": 2.0},
            {"kind": "islands", "groups": [["p1"], ["p1", "p2"]], "at_s": 0.0},
        )
    assert [fault.place for fault in error.value.issues] == ["faults[0]", "faults[1].for_s", "faults[2]"]


def test_a_drawn_schedule_is_deterministic_and_survives_a_round_trip_through_toml(tmp_path: Path) -> None:
    path = tmp_path / "plan.toml"
    for seed in range(200):
        drawn = draw(seed, 5, 10.0)
        assert drawn == draw(seed, 5, 10.0) and 2 <= len(drawn.faults) <= 6
        path.write_text(drawn.toml())
        assert load(path) == drawn


def test_several_faults_combine_on_the_links_that_they_name() -> None:
    faults = plan(
        {"kind": "loss", "part": 0.5, "at_s": 0.0},
        {"kind": "loss", "part": 0.5, "at_s": 0.0, "from": ["p1"]},
        {"kind": "delay", "median_ms": 5.0, "at_s": 0.0, "to": ["p2"]},
        {"kind": "bridge", "middle": ["p2"], "sides": [["p1"], ["p3"]], "at_s": 0.0},
    ).faults

    def behavior(a: str, b: str) -> LinkBehavior:
        found = HEALTHY
        for fault in faults:
            found = apply_fault(found, fault, a, b)
        return found

    assert behavior("p1", "p2") == LinkBehavior(loss=0.75, delay_ms=5.0)
    assert behavior("p3", "p2") == LinkBehavior(loss=0.5, delay_ms=5.0)
    assert behavior("p1", "p3").cut and behavior("p3", "p1").cut and not behavior("p2", "p3").cut


def test_shrinking_finds_the_shortest_schedule_that_still_fails() -> None:
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
def test_relays_lose_duplicate_cut_and_silence_each_direction_separately() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        sinks: dict[str, socket.socket] = {}
        for name in ("a", "b"):
            sinks[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sinks[name].bind(("127.0.0.1", 0))
            sinks[name].setblocking(False)
        mesh = Mesh({name: sink.getsockname() for name, sink in sinks.items()}, 1)
        mesh.start()
        forward, reverse = mesh.relays["a", "b"], mesh.relays["b", "a"]
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

        async def passed(behavior: LinkBehavior, count: int) -> int:
            forward.behavior = behavior
            before, received_count = forward.counts["datagrams"], 0
            for number in range(count):
                sender.sendto(b"%d" % number, forward.udp.getsockname())
            async with asyncio.timeout(10):
                while forward.counts["datagrams"] < before + count or forward.delayed:
                    await asyncio.sleep(0.01)
            while True:
                try:
                    sinks["b"].recv(100)
                except BlockingIOError:
                    return received_count
                received_count += 1

        assert await passed(HEALTHY, 50) == 50
        assert await passed(LinkBehavior(cut=True), 50) == 0
        assert await passed(LinkBehavior(duplicated=1.0, delay_ms=2.0, sigma=0.5), 50) == 100
        assert 60 < await passed(LinkBehavior(loss=0.5), 200) < 140
        assert reverse.behavior == HEALTHY and reverse.counts["datagrams"] == 0
        forward.behavior = LinkBehavior(silent=True)
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            mesh.places["b"] = server.getsockname()
            reader, writer = await asyncio.open_connection(*forward.server.getsockname())
            writer.write(b"anybody?")
            accepted, _ = await loop.sock_accept(server)
            received = asyncio.ensure_future(loop.sock_recv(accepted, 100))
            await asyncio.wait([received], timeout=0.2)
            assert not received.done(), "bytes passed on a silent link"
            forward.behavior = HEALTHY
            assert await asyncio.wait_for(received, 5) == b"anybody?"
            await loop.sock_sendall(accepted, b"yes")
            assert await asyncio.wait_for(reader.read(3), 5) == b"yes"
            writer.close()
            accepted.close()
        mesh.stop()
        for sock in (*sinks.values(), sender):
            sock.close()

    asyncio.run(test())


# -- checks: each accepts a correct history, and finds the one event that violates its rule
def line(at: float, who: str, what: str, **more: Any) -> HistoryLine:
    return {"t": int(at * NS_PER_MS), "who": who, "incarnation": "1.a", "what": what, **more}


def violated_rules(found: Sequence[checks.Violation]) -> set[str]:
    return {one.rule for one in found}


def test_an_incarnation_that_returns_is_found() -> None:
    def of_p2(at: float, what: str, life: str) -> HistoryLine:
        return line(at, "p1", what, subject="p2", life=life)

    valid = [
        of_p2(1, "alive", "5.a"),
        of_p2(2, "alive", "6.0"),
        of_p2(3, "left", "6.0"),
        of_p2(4, "alive", "7.0"),
    ]
    assert checks.check_incarnations(valid) == []
    for late in (of_p2(5, "alive", "6.0"), of_p2(5, "dead", "5.f")):
        assert violated_rules(checks.check_incarnations([*valid, late])) == {"no-life-returns"}


def test_a_death_that_is_detected_late_or_never_is_found() -> None:
    begun = [line(0, name, "start", life="5.a") for name in ("p1", "p2", "p3")]
    kill = line(100, "rig", "killed", subject="p3", pid=1)
    valid = [*begun, kill, line(1_000, "p1", "dead", subject="p3"), line(2_000, "p2", "dead", subject="p3")]
    assert checks.check_detection(valid, BOUNDS, 100) == []
    assert len(checks.check_detection(valid[:-1], BOUNDS, 100)) == 1
    assert (
        len(checks.check_detection([*valid[:-1], line(2_300, "p2", "dead", subject="p3")], BOUNDS, 100)) == 1
    )


def test_a_running_member_that_is_declared_dead_is_found() -> None:
    valid = [line(0, "rig", "killed", subject="p3"), line(1, "p1", "dead", subject="p3")]
    assert checks.check_no_false_deaths(valid) == []
    assert violated_rules(checks.check_no_false_deaths([*valid, line(2, "p1", "dead", subject="p2")])) == {
        "nobody-buried-alive"
    }
    again = [*valid, line(2, "rig", "started", subject="p3"), line(3, "p1", "dead", subject="p3")]
    assert len(checks.check_no_false_deaths(again)) == 1


def test_views_that_converge_late_or_never_are_found() -> None:
    assert checks.check_convergence([line(0, "rig", "agreed", ms=900.0)], BOUNDS, 50) == []
    assert len(checks.check_convergence([line(0, "rig", "agreed", ms=1_100.0)], BOUNDS, 50)) == 1
    assert len(checks.check_convergence([line(0, "rig", "agreed", ms=None)], BOUNDS, 50)) == 1


def test_two_processes_of_one_name_that_accept_requests_are_found() -> None:
    valid = [
        line(0, "p1", "takes", takes=True, pid=1),
        line(100, "p1", "takes", takes=True, pid=2),
        line(600, "p1", "takes", takes=False, pid=1),
    ]
    assert checks.check_one_instance_per_name(valid, BOUNDS, 50) == []
    late = line(700, "p1", "takes", takes=False, pid=1)
    assert violated_rules(checks.check_one_instance_per_name([*valid[:-1], late], BOUNDS, 50)) == {
        "one-instance-a-name"
    }
    assert violated_rules(checks.check_one_instance_per_name(valid[:-1], BOUNDS, 50)) == {
        "one-instance-a-name"
    }
    killed = [*valid[:-1], line(300, "rig", "killed", subject="p1", pid=2)]
    assert checks.check_one_instance_per_name(killed, BOUNDS, 50) == []


def test_lost_requests_double_answers_and_payments_that_run_twice_are_found() -> None:
    valid = [
        line(1, "rig", "answer", id="1", instance="p1", status=200),
        line(2, "rig", "ran", key="k1", unsafe=True),
        line(50, "rig", "killed", subject="p2", pid=1),
        line(60, "rig", "answer", id="2", instance="p2", status=0),
    ]
    assert checks.check_answered_once(valid, 100) == []
    for event, rule in (
        (line(70, "rig", "answer", id="1", instance="p1", status=200), "answered-once"),
        (line(70, "rig", "answer", id="3", instance="p1", status=0), "answered-once"),
        (line(70, "rig", "ran", key="k1", unsafe=True), "ran-once"),
    ):
        assert violated_rules(checks.check_answered_once([*valid, event], 100)) == {rule}
