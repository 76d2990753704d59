"""Cluster transport over real sockets, the identity folder, the secret, and the history."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from notchflow.cluster import identity
from notchflow.cluster.actions import MembershipEvent
from notchflow.cluster.addresses import AddressBook
from notchflow.cluster.histories import format_lines, merge
from notchflow.cluster.history import History
from notchflow.cluster.identity import IdentityError
from notchflow.cluster.members import Members
from notchflow.cluster.messages import DATAGRAM_BYTES_MAX, Envelope, Gossip, Ping, Update, encode_message
from notchflow.cluster.model import Incarnation, Record, Settings, Standing, State
from notchflow.cluster.transport import INCOMING_EXCHANGES_MAX, LENGTH_PREFIX, ClusterTransport
from standins.ports import free_ports

SECRET = b"s" * 32
WAIT_S = 10.0


class Pair:
    """Two instances on one event loop."""

    def __init__(
        self, secrets: tuple[bytes, bytes] = (SECRET, SECRET), settings: Settings | None = None
    ) -> None:
        self.ports = free_ports(2)
        self.events: list[MembershipEvent] = []
        self.transports = [
            self.make_transport(number, secrets[number], settings or Settings()) for number in (0, 1)
        ]

    def at(self, number: int) -> str:
        return f"127.0.0.1:{self.ports[number]}"

    def make_transport(self, number: int, secret: bytes, settings: Settings) -> ClusterTransport:
        me = Record(f"p{number}", Incarnation(10, number), 0, State.ALIVE, self.at(number), "1")
        seeds = [self.at(0), self.at(1)]  # its own address among them
        core = Members(me, ("p0", "p1"), settings, random.Random(number), seeds)
        loop = asyncio.get_running_loop()
        return ClusterTransport(
            loop, core, secret, self.at(number), {}, lambda incarnation: None, self.events.append
        )

    async def __aenter__(self) -> Pair:
        for transport in self.transports:
            transport.bind()
            transport.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for transport in self.transports:
            transport.close()
        await asyncio.gather(
            *(task for transport in self.transports for task in transport.tasks), return_exceptions=True
        )

    async def wait_until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not holds():
                await asyncio.sleep(0.01)

    def all_whole(self) -> bool:
        return all(
            transport.core.standing(transport.now()) is Standing.WHOLE for transport in self.transports
        )

    def disagreements(self) -> set[str]:
        return {event.details["kind"] for event in self.events if event.what == "disagree"}

    def send_datagram(self, data: bytes) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.sendto(data, ("127.0.0.1", self.ports[0]))
        return sock


def test_two_instances_join_though_each_is_among_its_own_seeds() -> None:
    async def test() -> None:
        async with Pair() as pair:
            await pair.wait_until(pair.all_whole)
            assert [transport.core.present_count() for transport in pair.transports] == [2, 2]
            assert not pair.disagreements()
            pair.transports[1].leave()
            await pair.wait_until(lambda: pair.transports[0].core.view.state("p1") is State.LEFT)

    asyncio.run(test())


def test_the_address_book_follows_a_member_that_moves() -> None:
    """p0 has a configured address for p1, where an older instance of p1 still runs. The newer instance runs
    at another address: it must be reached at the address that it advertises, and never be declared dead."""

    async def test() -> None:
        async with Pair() as pair:
            pair.transports[0].address_book = AddressBook({"p1": pair.at(1)})
            await pair.wait_until(pair.all_whole)
            old, new_port = pair.transports[1], free_ports(1)[0]
            me = Record("p1", Incarnation(11, 1), 0, State.ALIVE, f"127.0.0.1:{new_port}", "1")
            core = Members(me, ("p0", "p1"), Settings(), random.Random(3), [pair.at(0)])
            new = ClusterTransport(
                old.loop,
                core,
                SECRET,
                me.address,
                {"p0": pair.at(0)},
                lambda incarnation: None,
                pair.events.append,
            )
            pair.transports.append(new)
            new.bind()
            new.start()
            known = pair.transports[0].core.view
            await pair.wait_until(
                lambda: (held := known.get("p1")) is not None and held.incarnation == me.incarnation
            )
            states, end = set(), pair.transports[0].now() + 6_000.0  # longer than any suspicion
            while pair.transports[0].now() < end:
                states.add(known.state("p1"))
                await asyncio.sleep(0.01)
            assert states == {State.ALIVE} and new.core.accepts_requests() and not old.core.accepts_requests()
            assert new.core.name_claim.incarnation == Incarnation(
                11, 1
            ), "the new instance never had to begin another incarnation"
            assert pair.transports[0].address_book.endpoint_for("p1", me.address) == ("127.0.0.1", new_port)

    asyncio.run(test())


def test_a_configured_address_applies_until_the_member_moves_and_sends_directly() -> None:
    book = AddressBook({"a": "127.0.0.1:1", "b": "nowhere:2"})
    assert book.endpoint_for("a", "127.0.0.1:5") == (
        "127.0.0.1",
        1,
    ), "the advertised address may not be reachable"
    book.record_source("a", "127.0.0.1:5", ("127.0.0.1", 5))
    assert book.endpoint_for("a", "127.0.0.1:5") == ("127.0.0.1", 1), "a relay may serve only one direction"
    book.record_source("a", "127.0.0.1:6", ("127.0.0.1", 900))
    assert book.endpoint_for("a", "127.0.0.1:6") == (
        "127.0.0.1",
        1,
    ), "it moved, but its messages come through a relay"
    book.record_source("a", "127.0.0.1:6", ("127.0.0.1", 6))
    assert book.endpoint_for("a", "127.0.0.1:6") == ("127.0.0.1", 6)
    assert book.endpoint_for("a", "127.0.0.1:8") == (
        "127.0.0.1",
        1,
    ), "it moved again, and has sent nothing from there yet"
    book.record_source("a", "127.0.0.1:5", ("127.0.0.1", 5))
    assert book.endpoint_for("a", "127.0.0.1:5") == ("127.0.0.1", 1), "it is back at its first address"
    book.record_source("c", "127.0.0.1:7", ("127.0.0.1", 7))
    assert book.endpoint_for("c", "") is None and book.direct.keys() == {
        "a"
    }, "nothing is kept for members without a configured address"
    assert book.endpoint_for("b", "127.0.0.1:3") == ("127.0.0.1", 3) and book.endpoint_for("b", "x") is None


def test_instances_with_different_secrets_report_and_ignore_each_other() -> None:
    async def test() -> None:
        async with Pair((SECRET, b"o" * 32)) as pair:
            await pair.wait_until(
                lambda: pair.disagreements() == {"foreign"}
                and all(transport.core.accepts_requests() for transport in pair.transports)
            )
            assert [transport.core.present_count() for transport in pair.transports] == [1, 1]

    asyncio.run(test())


@pytest.mark.parametrize("secret", [SECRET, b"o" * 32])
def test_fleets_that_share_an_address_by_mistake_stay_separate(secret: bytes) -> None:
    """The second fleet's seeds and address book lead into the first fleet: each fleet keeps its own members,
    and the mistake is reported."""

    async def test() -> None:
        async with Pair() as pair:
            ports = free_ports(2)
            for number, port in enumerate(ports):
                me = Record(f"q{number}", Incarnation(10, number), 0, State.ALIVE, f"127.0.0.1:{port}", "1")
                seeds = [pair.at(0), f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}"]
                core = Members(me, ("q0", "q1", "q2"), Settings(), random.Random(9 + number), seeds)
                pair.transports.append(
                    ClusterTransport(
                        pair.transports[0].loop,
                        core,
                        secret,
                        me.address,
                        {"q2": pair.at(1)},
                        lambda incarnation: None,
                        pair.events.append,
                    )
                )
                pair.transports[-1].bind()
                pair.transports[-1].start()
            own, others = pair.transports[:2], pair.transports[2:]
            expected = {Standing.WHOLE: own, Standing.MAJORITY: others}

            def apart() -> bool:
                return all(
                    transport.core.standing(transport.now()) is standing
                    for standing, of in expected.items()
                    for transport in of
                )

            await pair.wait_until(lambda: apart() and bool(pair.disagreements() & {"stranger", "foreign"}))
            end = own[0].now() + 1_500.0
            while own[0].now() < end:
                await asyncio.sleep(0.01)
                assert apart()
            assert [sorted(transport.core.view.present()) for transport in own] == [["p1"], ["p0"]]
            assert [sorted(transport.core.view.present()) for transport in others] == [["q1"], ["q0"]]

    asyncio.run(test())


def test_a_step_of_the_wall_clock_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with Pair() as pair:
            await pair.wait_until(pair.all_whole)
            incarnations = [transport.core.name_claim.incarnation for transport in pair.transports]
            wall = time.time
            for step in (3_600.0, -3_600.0, 0.0):
                monkeypatch.setattr(time, "time", lambda by=step: wall() + by)
                end = pair.transports[0].now() + 700.0
                while pair.transports[0].now() < end:
                    await asyncio.sleep(0.01)
                    assert pair.all_whole()
            assert [transport.core.name_claim.incarnation for transport in pair.transports] == incarnations
            assert [transport.core.present_count() for transport in pair.transports] == [2, 2]

    asyncio.run(test())


def test_forged_replayed_oversized_and_unknown_messages_change_nothing() -> None:
    async def test() -> None:
        async with Pair() as pair:
            await pair.wait_until(pair.all_whole)
            transport = pair.transports[0]
            dead = Gossip((Update(Record("p1", Incarnation(10, 1), 0, State.DEAD, pair.at(1), "1")),))
            once = encode_message(SECRET, Envelope("p1", Incarnation(10, 1), 1 << 40, "p0", Ping(1)))
            for data in (
                b"",
                b"\x01" * 300,
                os.urandom(DATAGRAM_BYTES_MAX + 400),
                b"\x07" + once[1:],
                encode_message(b"x" * 32, Envelope("p1", Incarnation(10, 1), 1 << 41, "p0", dead)),
                encode_message(SECRET, Envelope("p1", Incarnation(10, 1), 1 << 41, "p9", dead)),
                once,
                once,
                once,
            ):
                pair.send_datagram(data).close()
            await pair.wait_until(lambda: transport.metrics["replayed"] >= 2)
            assert transport.metrics["foreign"] >= 3 and transport.metrics["misled"] == 1
            assert {"foreign", "version", "misled"} <= pair.disagreements()
            assert transport.core.view.state("p1") is State.ALIVE and transport.core.record.revision == 0

    asyncio.run(test())


def test_an_own_message_that_returns_is_no_second_instance_of_the_name() -> None:
    async def test() -> None:
        async with Pair() as pair:
            await pair.wait_until(pair.all_whole)
            transport = pair.transports[0]
            incarnation = transport.core.name_claim.incarnation
            pair.send_datagram(
                encode_message(SECRET, Envelope("p0", incarnation, transport.counter, "p0", Ping(1)))
            ).close()
            await pair.wait_until(lambda: transport.metrics["own"] > 0)
            assert transport.core.name_claim.incarnation == incarnation
            pair.send_datagram(
                encode_message(SECRET, Envelope("p0", incarnation, transport.counter + 1_000, "p0", Ping(1)))
            ).close()
            await pair.wait_until(lambda: transport.core.name_claim.incarnation > incarnation)
            assert transport.core.accepts_requests()

    asyncio.run(test())


def test_silent_connections_and_oversized_frames_block_nobody() -> None:
    async def test() -> None:
        async with Pair() as pair:
            await pair.wait_until(pair.all_whole)
            transport = pair.transports[0]
            silent = [
                socket.create_connection(("127.0.0.1", pair.ports[0]))
                for _ in range(INCOMING_EXCHANGES_MAX + 4)
            ]
            silent[0].sendall(LENGTH_PREFIX.pack(1 << 30))
            await pair.wait_until(lambda: transport.metrics["exchanges_refused"] >= 3)
            await pair.wait_until(lambda: transport.incoming_exchanges == 0)
            assert (
                transport.metrics["exchanges_failed"] >= INCOMING_EXCHANGES_MAX - 1
                and transport.metrics["foreign"] == 1
            )
            assert pair.all_whole()
            for sock in silent:
                sock.close()

    asyncio.run(test())


def test_bind_fails_if_the_address_is_in_use() -> None:
    async def test() -> None:
        pair = Pair()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.1", pair.ports[0]))
            with pytest.raises(OSError):
                pair.transports[0].bind()
        pair.transports[0].bind()
        pair.transports[0].close()

    asyncio.run(test())


def test_an_instance_whose_loop_hangs_is_declared_dead_until_it_continues() -> None:
    """The transport runs on the event loop that serves clients, so a loop that hangs answers no probes."""

    async def test() -> None:
        quick = Settings(
            contact_ms=400.0, probe_timeout_ms=40.0, suspicion_ms=100.0, probe_interval_min_ms=20.0
        )
        async with Pair(settings=quick) as pair:
            await pair.wait_until(pair.all_whole)
            stalled = pair.transports[1]
            assert stalled.udp is not None
            stalled.loop.remove_reader(stalled.udp)  # for p0 this looks like a loop that hangs
            await pair.wait_until(lambda: pair.transports[0].core.view.state("p1") is State.DEAD)
            stalled.loop.add_reader(stalled.udp, stalled._on_readable)
            await pair.wait_until(lambda: pair.transports[0].core.view.state("p1") is State.ALIVE)

    asyncio.run(test())


# -- identity folder
def test_each_start_has_a_greater_epoch_for_any_wall_clock(tmp_path: Path) -> None:
    epochs = [identity.begin_incarnation(tmp_path, "p1", wall).epoch for wall in (5_000, 1_000, 9_000, 0)]
    assert epochs == [5_000, 5_001, 9_000, 9_001]


def test_a_copied_folder_is_reported_and_one_of_another_name_rejected(tmp_path: Path) -> None:
    assert identity.begin_incarnation(tmp_path / "a", "p1", 1).anomaly == "new"
    assert identity.begin_incarnation(tmp_path / "a", "p1", 1).anomaly == ""
    shutil.copytree(tmp_path / "a", tmp_path / "b")
    assert "copied" in identity.begin_incarnation(tmp_path / "b", "p1", 1).anomaly
    with pytest.raises(IdentityError, match="cluster.name is 'p2'; give each name a state folder"):
        identity.begin_incarnation(tmp_path / "a", "p2", 1)


@pytest.mark.parametrize("text", ["", "{", '{"name": "p1"}', "[]"])
def test_a_damaged_identity_file_is_reported_and_rewritten(tmp_path: Path, text: str) -> None:
    (tmp_path / identity.IDENTITY_FILE).write_text(text)
    started = identity.begin_incarnation(tmp_path, "p1", 77)
    assert "damaged" in started.anomaly and started.epoch == 77
    assert identity.begin_incarnation(tmp_path, "p1", 0).epoch == 78


def test_the_secret_must_be_private_and_long_enough(tmp_path: Path) -> None:
    path = tmp_path / "secret"
    with pytest.raises(IdentityError, match="cannot be read"):
        identity.read_secret(path, 32)
    path.write_bytes(SECRET[:31])
    path.chmod(0o600)
    with pytest.raises(IdentityError, match="31 bytes; at least 32"):
        identity.read_secret(path, 32)
    path.write_bytes(SECRET)
    path.chmod(0o640)
    with pytest.raises(IdentityError, match="mode 640.*chmod 600"):
        identity.read_secret(path, 32)
    path.chmod(0o600)
    assert identity.read_secret(path, 32) == SECRET


# -- histories
def test_histories_merge_by_time_and_a_truncated_last_line_is_skipped(tmp_path: Path) -> None:
    one, two = History(tmp_path / "one", "p1"), History(tmp_path / "two", "p2")
    for number in range(3):
        one.note("1.a", "first", number=number)
        two.note("2.b", "second", number=number)
    with (tmp_path / "two").open("a") as file:
        file.write('{"t": 99999999999999999999, "who"')
    lines = merge([tmp_path / "one", tmp_path / "two"])
    assert [(line["who"], line["number"]) for line in lines] == [
        (who, n) for n in range(3) for who in ("p1", "p2")
    ]
    assert len(format_lines(lines, 2)) == 2 and "second" in format_lines(lines, 2)[-1]
    one.close()
    two.close()


def test_a_history_is_bounded_and_a_failing_disk_only_loses_lines(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("notchflow.cluster.history.FILE_BYTES_MAX", 2_000)
    history = History(tmp_path / "h", "p1")
    for number in range(60):
        history.note("1.a", "line", number=number)
    sizes = [path.stat().st_size for path in sorted(tmp_path.iterdir())]
    assert len(sizes) == 2 and max(sizes) <= 2_000
    assert merge([tmp_path / "h"])[-1]["number"] == 59
    os.close(history.fd)
    history.note("1.a", "line", number=60)
    assert history.lost_lines == 1
