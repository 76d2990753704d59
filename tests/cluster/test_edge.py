"""The edge over real sockets: two instances and whatever else knocks; the folder, the secret, the history."""

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
    """Two instances on one loop."""

    def __init__(
        self, secrets: tuple[bytes, bytes] = (SECRET, SECRET), settings: Settings | None = None
    ) -> None:
        self.ports = free_ports(2)
        self.told: list[MembershipEvent] = []
        self.edges = [self.edge(number, secrets[number], settings or Settings()) for number in (0, 1)]

    def at(self, number: int) -> str:
        return f"127.0.0.1:{self.ports[number]}"

    def edge(self, number: int, secret: bytes, settings: Settings) -> ClusterTransport:
        me = Record(f"p{number}", Incarnation(10, number), 0, State.ALIVE, self.at(number), "1")
        seeds = [self.at(0), self.at(1)]  # itself among them
        core = Members(me, ("p0", "p1"), settings, random.Random(number), seeds)
        loop = asyncio.get_running_loop()
        return ClusterTransport(loop, core, secret, self.at(number), {}, lambda life: None, self.told.append)

    async def __aenter__(self) -> Pair:
        for edge in self.edges:
            edge.bind()
            edge.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        for edge in self.edges:
            edge.close()
        await asyncio.gather(*(t for e in self.edges for t in e.tasks), return_exceptions=True)

    async def until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_S):
            while not holds():
                await asyncio.sleep(0.01)

    def whole(self) -> bool:
        return all(edge.core.standing(edge.now()) is Standing.WHOLE for edge in self.edges)

    def kinds(self) -> set[str]:
        return {tell.details["kind"] for tell in self.told if tell.what == "disagree"}

    def knock(self, data: bytes) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.sendto(data, ("127.0.0.1", self.ports[0]))
        return sock


def test_two_instances_find_one_another_though_one_seed_is_themselves() -> None:
    async def test() -> None:
        async with Pair() as pair:
            await pair.until(pair.whole)
            assert [edge.core.present_count() for edge in pair.edges] == [2, 2]
            assert not pair.kinds()
            pair.edges[1].leave()
            await pair.until(lambda: pair.edges[0].core.view.state("p1") is State.LEFT)

    asyncio.run(test())


def test_the_book_follows_a_name_that_moves() -> None:
    """p0's book leads to p1's former place, where the older instance still runs: the newer one, elsewhere, is
    reached where it says that it is, and is never held dead."""

    async def test() -> None:
        async with Pair() as pair:
            pair.edges[0].address_book = AddressBook({"p1": pair.at(1)})
            await pair.until(pair.whole)
            old, new_port = pair.edges[1], free_ports(1)[0]
            me = Record("p1", Incarnation(11, 1), 0, State.ALIVE, f"127.0.0.1:{new_port}", "1")
            core = Members(me, ("p0", "p1"), Settings(), random.Random(3), [pair.at(0)])
            new = ClusterTransport(
                old.loop, core, SECRET, me.address, {"p0": pair.at(0)}, lambda life: None, pair.told.append
            )
            pair.edges.append(new)
            new.bind()
            new.start()
            known = pair.edges[0].core.view
            await pair.until(
                lambda: (held := known.get("p1")) is not None and held.incarnation == me.incarnation
            )
            states, until = set(), pair.edges[0].now() + 6_000.0  # past every time to suspect and to bury
            while pair.edges[0].now() < until:
                states.add(known.state("p1"))
                await asyncio.sleep(0.01)
            assert states == {State.ALIVE} and new.core.accepts_requests() and not old.core.accepts_requests()
            assert new.core.name_claim.incarnation == Incarnation(11, 1), "it never had to refute"
            assert pair.edges[0].address_book.endpoint_for("p1", me.address) == ("127.0.0.1", new_port)

    asyncio.run(test())


def test_the_book_goes_first_but_for_who_has_moved_and_is_heard_straight_from_there() -> None:
    book = AddressBook({"a": "127.0.0.1:1", "b": "nowhere:2"})
    assert book.endpoint_for("a", "127.0.0.1:5") == (
        "127.0.0.1",
        1,
    ), "what it says of itself may not be reachable"
    book.record_source("a", "127.0.0.1:5", ("127.0.0.1", 5))
    assert book.endpoint_for("a", "127.0.0.1:5") == ("127.0.0.1", 1), "a relay may stand one way alone"
    book.record_source("a", "127.0.0.1:6", ("127.0.0.1", 900))
    assert book.endpoint_for("a", "127.0.0.1:6") == ("127.0.0.1", 1), "it has moved, and is heard by a relay"
    book.record_source("a", "127.0.0.1:6", ("127.0.0.1", 6))
    assert book.endpoint_for("a", "127.0.0.1:6") == ("127.0.0.1", 6)
    assert book.endpoint_for("a", "127.0.0.1:8") == ("127.0.0.1", 1), "it moves on, and is not heard yet"
    book.record_source("a", "127.0.0.1:5", ("127.0.0.1", 5))
    assert book.endpoint_for("a", "127.0.0.1:5") == ("127.0.0.1", 1), "it is back where the book knows of it"
    book.record_source("c", "127.0.0.1:7", ("127.0.0.1", 7))
    assert book.endpoint_for("c", "") is None and book.direct.keys() == {"a"}, "of others nothing is kept"
    assert book.endpoint_for("b", "127.0.0.1:3") == ("127.0.0.1", 3) and book.endpoint_for("b", "x") is None


def test_another_secret_is_told_and_neither_takes_the_other_for_a_member() -> None:
    async def test() -> None:
        async with Pair((SECRET, b"o" * 32)) as pair:
            await pair.until(
                lambda: pair.kinds() == {"foreign"}
                and all(edge.core.accepts_requests() for edge in pair.edges)
            )
            assert [edge.core.present_count() for edge in pair.edges] == [1, 1]

    asyncio.run(test())


@pytest.mark.parametrize("secret", [SECRET, b"o" * 32])
def test_two_fleets_that_have_one_address_by_mistake_stay_two(secret: bytes) -> None:
    """The second fleet's seeds and book lead into the first one; each is whole, and the mistake is told."""

    async def test() -> None:
        async with Pair() as pair:
            ports = free_ports(2)
            for number, port in enumerate(ports):
                me = Record(f"q{number}", Incarnation(10, number), 0, State.ALIVE, f"127.0.0.1:{port}", "1")
                seeds = [pair.at(0), f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}"]
                core = Members(me, ("q0", "q1", "q2"), Settings(), random.Random(9 + number), seeds)
                pair.edges.append(
                    ClusterTransport(
                        pair.edges[0].loop,
                        core,
                        secret,
                        me.address,
                        {"q2": pair.at(1)},
                        lambda life: None,
                        pair.told.append,
                    )
                )
                pair.edges[-1].bind()
                pair.edges[-1].start()
            own, others = pair.edges[:2], pair.edges[2:]
            two = {Standing.WHOLE: own, Standing.MAJORITY: others}

            def apart() -> bool:
                return all(e.core.standing(e.now()) is standing for standing, of in two.items() for e in of)

            await pair.until(lambda: apart() and bool(pair.kinds() & {"stranger", "foreign"}))
            end = own[0].now() + 1_500.0
            while own[0].now() < end:
                await asyncio.sleep(0.01)
                assert apart()
            assert [sorted(e.core.view.present()) for e in own] == [["p1"], ["p0"]]
            assert [sorted(e.core.view.present()) for e in others] == [["q1"], ["q0"]]

    asyncio.run(test())


def test_a_wall_clock_that_steps_an_hour_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        async with Pair() as pair:
            await pair.until(pair.whole)
            lives = [edge.core.name_claim.incarnation for edge in pair.edges]
            wall = time.time
            for step in (3_600.0, -3_600.0, 0.0):
                monkeypatch.setattr(time, "time", lambda by=step: wall() + by)
                end = pair.edges[0].now() + 700.0
                while pair.edges[0].now() < end:
                    await asyncio.sleep(0.01)
                    assert pair.whole()
            assert [edge.core.name_claim.incarnation for edge in pair.edges] == lives
            assert [edge.core.present_count() for edge in pair.edges] == [2, 2]

    asyncio.run(test())


def test_what_is_forged_replayed_too_long_or_of_another_version_changes_nothing() -> None:
    async def test() -> None:
        async with Pair() as pair:
            await pair.until(pair.whole)
            edge = pair.edges[0]
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
                pair.knock(data).close()
            await pair.until(lambda: edge.metrics["replayed"] >= 2)
            assert edge.metrics["foreign"] >= 3 and edge.metrics["misled"] == 1
            assert {"foreign", "version", "misled"} <= pair.kinds()
            assert edge.core.view.state("p1") is State.ALIVE and edge.core.record.revision == 0

    asyncio.run(test())


def test_the_own_words_that_come_back_are_no_second_instance_of_the_name() -> None:
    async def test() -> None:
        async with Pair() as pair:
            await pair.until(pair.whole)
            edge = pair.edges[0]
            life = edge.core.name_claim.incarnation
            pair.knock(encode_message(SECRET, Envelope("p0", life, edge.counter, "p0", Ping(1)))).close()
            await pair.until(lambda: edge.metrics["own"] > 0)
            assert edge.core.name_claim.incarnation == life
            pair.knock(
                encode_message(SECRET, Envelope("p0", life, edge.counter + 1_000, "p0", Ping(1)))
            ).close()
            await pair.until(lambda: edge.core.name_claim.incarnation > life)
            assert edge.core.accepts_requests()

    asyncio.run(test())


def test_connections_that_say_nothing_or_too_much_hold_up_nobody() -> None:
    async def test() -> None:
        async with Pair() as pair:
            await pair.until(pair.whole)
            edge = pair.edges[0]
            mute = [
                socket.create_connection(("127.0.0.1", pair.ports[0]))
                for _ in range(INCOMING_EXCHANGES_MAX + 4)
            ]
            mute[0].sendall(LENGTH_PREFIX.pack(1 << 30))
            await pair.until(lambda: edge.metrics["exchanges_refused"] >= 3)
            await pair.until(lambda: edge.incoming_exchanges == 0)
            assert (
                edge.metrics["exchanges_failed"] >= INCOMING_EXCHANGES_MAX - 1
                and edge.metrics["foreign"] == 1
            )
            assert pair.whole()
            for sock in mute:
                sock.close()

    asyncio.run(test())


def test_an_address_in_use_is_told_before_anything_listens() -> None:
    async def test() -> None:
        pair = Pair()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.1", pair.ports[0]))
            with pytest.raises(OSError):
                pair.edges[0].bind()
        pair.edges[0].bind()
        pair.edges[0].close()

    asyncio.run(test())


def test_a_loop_that_hangs_is_not_held_alive_and_blames_nobody_when_it_goes_on() -> None:
    """The edge is on the loop that serves: what hangs there answers no probes."""

    async def test() -> None:
        quick = Settings(
            contact_ms=400.0, probe_timeout_ms=40.0, suspicion_ms=100.0, probe_interval_min_ms=20.0
        )
        async with Pair(settings=quick) as pair:
            await pair.until(pair.whole)
            lonely = pair.edges[1]
            assert lonely.udp is not None
            lonely.loop.remove_reader(lonely.udp)  # as far as p0 can tell, its loop hangs
            await pair.until(lambda: pair.edges[0].core.view.state("p1") is State.DEAD)
            lonely.loop.add_reader(lonely.udp, lonely._on_readable)
            await pair.until(lambda: pair.edges[0].core.view.state("p1") is State.ALIVE)

    asyncio.run(test())


# -- the folder
def test_each_start_has_a_later_epoch_whatever_the_clock_says(tmp_path: Path) -> None:
    epochs = [identity.begin_incarnation(tmp_path, "p1", wall).epoch for wall in (5_000, 1_000, 9_000, 0)]
    assert epochs == [5_000, 5_001, 9_000, 9_001]


def test_a_copied_folder_is_told_and_another_names_is_turned_down(tmp_path: Path) -> None:
    assert identity.begin_incarnation(tmp_path / "a", "p1", 1).anomaly == "new"
    assert identity.begin_incarnation(tmp_path / "a", "p1", 1).anomaly == ""
    shutil.copytree(tmp_path / "a", tmp_path / "b")
    assert "copied" in identity.begin_incarnation(tmp_path / "b", "p1", 1).anomaly
    with pytest.raises(IdentityError, match="cluster.name is 'p2'; give each name a state folder"):
        identity.begin_incarnation(tmp_path / "a", "p2", 1)


@pytest.mark.parametrize("text", ["", "{", '{"name": "p1"}', "[]"])
def test_a_damaged_file_is_told_and_written_anew(tmp_path: Path, text: str) -> None:
    (tmp_path / identity.IDENTITY_FILE).write_text(text)
    taken = identity.begin_incarnation(tmp_path, "p1", 77)
    assert "damaged" in taken.anomaly and taken.epoch == 77
    assert identity.begin_incarnation(tmp_path, "p1", 0).epoch == 78


def test_a_secret_is_its_owners_alone_and_long_enough(tmp_path: Path) -> None:
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
def test_histories_merge_by_time_and_a_torn_last_line_is_left_out(tmp_path: Path) -> None:
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


def test_a_history_is_bounded_and_a_disk_that_fails_costs_no_more_than_lines(
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
