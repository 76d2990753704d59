"""Members one step at a time: the views' order, suspicion, sleep, names, standing."""

from __future__ import annotations

import itertools
import random

import pytest

from notchflow.cluster.actions import Action, Datagram, Exchange, MembershipEvent, PersistIncarnation
from notchflow.cluster.contacts import Contacts, Link
from notchflow.cluster.fleet_size import FleetSize
from notchflow.cluster.local_state import Sender
from notchflow.cluster.members import Members
from notchflow.cluster.messages import Ack, Denial, Gossip, Message, Ping, Sync, Update
from notchflow.cluster.model import Incarnation, Record, Settings, Standing, State
from notchflow.cluster.name_claim import ClaimState
from notchflow.cluster.suspicion import Suspicion
from notchflow.cluster.view import View

ROSTER = ("p1", "p2", "p3", "p4")
SETTINGS = Settings()


def record(
    name: str, state: State = State.ALIVE, revision: int = 0, epoch: int = 10, nonce: int = 1
) -> Record:
    return Record(name, Incarnation(epoch, nonce), revision, state, f"{name}:1", "1")


class One:
    """p1, alone with what is said to it."""

    def __init__(self, roster: tuple[str, ...] = ROSTER, joined: bool = True) -> None:
        self.core = Members(record("p1"), roster, SETTINGS, random.Random(1), ["127.0.0.1:9"])
        self.now = 1_000.0
        self.told: list[MembershipEvent] = []
        self.sent: list[Datagram] = []
        self.kept: list[Incarnation] = []
        self.asked: list[Exchange] = []
        self.take(self.core.start(self.now))
        if joined:
            whole = Sync(tuple(record(name) for name in roster if name != "p1"), True)
            self.take(self.core.handle_sync_reply(self.now, self.sender("p2"), whole))

    def take(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case MembershipEvent():
                    self.told.append(action)
                case Datagram():
                    self.sent.append(action)
                case PersistIncarnation(life):
                    self.kept.append(life)
                case Exchange():
                    self.asked.append(action)

    @staticmethod
    def sender(name: str, epoch: int = 10, nonce: int = 1) -> Sender:
        return Sender(name, Incarnation(epoch, nonce))

    def hear(self, name: str, body: Message, epoch: int = 10, nonce: int = 1) -> None:
        self.take(self.core.handle_message(self.now, self.sender(name, epoch, nonce), body))

    def run(self, ms: float, answering: tuple[str, ...] = ()) -> None:
        """Time goes by; these answer their probes at once."""
        end = self.now + ms
        while self.core.next_due() <= end:
            self.now = max(self.core.next_due(), self.now)
            first = len(self.sent)
            self.take(self.core.tick(self.now))
            for sent in self.sent[first:]:
                if isinstance(sent.body, Ping) and sent.name in answering:
                    self.hear(
                        sent.name, Ack(sent.body.number, self.core.view.digest, self.core.roster_digest)
                    )
        self.now = end

    def until_suspect(self, name: str, answering: tuple[str, ...]) -> None:
        for _ in range(50):
            if self.state(name) is State.SUSPECT:
                return
            self.run(50.0, answering)
        raise AssertionError(f"{name} is never suspected")

    def state(self, name: str) -> State | None:
        return self.core.view.state(name)

    def kinds(self) -> list[str]:
        return [tell.details["kind"] for tell in self.told if tell.what == "disagree"]


def test_views_are_equal_whatever_the_order_in_which_news_come() -> None:
    """All orders of five records of one name, each doubled."""
    news = [
        record("p2"),
        record("p2", State.SUSPECT),
        record("p2", revision=1),
        record("p2", State.DEAD, 1),
        record("p2", epoch=11),
        record("p2", State.LEFT),
    ]
    ends = set()
    for order in itertools.permutations(news):
        view = View(ROSTER, "p1")
        for one in (*order, *order):
            view.merge(0.0, one)
        ends.add((view.digest, view.get("p2"), view.others_present))
    assert len(ends) == 1 and ends.pop()[1] == record("p2", epoch=11)


def test_a_name_that_is_not_on_the_roster_takes_no_memory_and_is_told_so_once() -> None:
    one = One()
    for _ in range(3):
        one.hear("stranger", Ping(1))
    assert one.core.view.get("stranger") is None and one.kinds() == ["stranger"]
    assert [sent.body for sent in one.sent if sent.name == "stranger"] == [Denial("not on the roster")] * 3


def test_a_suspicion_ends_sooner_with_each_other_accuser() -> None:
    suspicion = Suspicion(record("p2", State.SUSPECT), 0.0, 1_000.0, 3_000.0, 3)
    dues = []
    for accuser in ("p3", "p4", "p5", "p6"):
        assert suspicion.add_accuser(accuser) and not suspicion.add_accuser(accuser)
        dues.append(suspicion.expires_at())
    assert dues[0] == 3_000.0 and dues[-1] == 1_000.0 and dues == sorted(dues, reverse=True)
    assert not suspicion.add_accuser("p7"), "more of them say nothing new"


def test_who_does_not_answer_is_suspected_then_dead_and_the_others_are_not() -> None:
    one = One()
    one.until_suspect("p2", ("p3", "p4"))
    one.run(4_000.0, ("p3", "p4"))
    assert [one.state(name) for name in ROSTER[1:]] == [State.DEAD, State.ALIVE, State.ALIVE]


@pytest.mark.parametrize("state", [State.SUSPECT, State.DEAD])
def test_a_living_member_refutes_what_is_said_of_it(state: State) -> None:
    one = One()
    one.hear("p2", Gossip((Update(record("p1", state, 4), "p3"),)))
    assert one.core.record == record("p1", State.ALIVE, 5)
    one.run(30.0)
    told = [
        update.record for sent in one.sent if isinstance(sent.body, Gossip) for update in sent.body.updates
    ]
    assert record("p1", State.ALIVE, 5) in told


def test_a_refutation_that_meets_the_verdict_wins_in_either_order() -> None:
    verdict, refuted = Update(record("p2", State.DEAD, 0)), Update(record("p2", State.ALIVE, 1))
    for order in ((verdict, refuted), (refuted, verdict)):
        one = One()
        for update in order:
            one.hear("p3", Gossip((update,)))
        assert one.state("p2") is State.ALIVE


def test_who_slept_blames_nobody_for_it() -> None:
    """A suspicion that runs when this instance falls asleep has not run on when it wakes."""
    one = One()
    one.until_suspect("p2", ("p3", "p4"))
    assert one.state("p2") is State.SUSPECT
    one.now += 60_000.0
    one.take(one.core.tick(one.now))
    assert one.state("p2") is State.SUSPECT and one.core.local_health.multiplier == SETTINGS.local_health_max
    assert [tell.details["ms"] > 59_000 for tell in one.told if tell.what == "slept"] == [True]
    one.hear("p2", Gossip((Update(record("p2", State.ALIVE, 1)),)))
    assert one.state("p2") is State.ALIVE


def test_a_message_that_is_read_before_the_late_timer_finds_the_sleep_as_well() -> None:
    one = One()
    one.until_suspect("p2", ("p3", "p4"))
    one.now += 60_000.0
    one.hear("p3", Ping(5))
    assert one.state("p2") is State.SUSPECT and one.core.slept_ms > 59_000


def test_the_standing_comes_from_round_trips_alone() -> None:
    one = One()
    assert one.core.standing(one.now) is Standing.ALONE, "whoever is only heard has not answered"
    one.run(3_000.0, ("p2", "p3", "p4"))
    assert one.core.standing(one.now) is Standing.WHOLE
    one.run(3_000.0, ("p2", "p3"))
    assert one.core.standing(one.now) is Standing.MAJORITY
    one.run(3_000.0, ("p2",))
    assert one.core.standing(one.now) is Standing.MINORITY, "two of four are no majority"
    for _ in range(30):
        one.run(100.0)
        for name in ROSTER[1:]:
            one.hear(name, Gossip())
    assert one.core.standing(one.now) is Standing.ALONE


def test_a_round_trip_counts_from_when_it_was_asked() -> None:
    contacts = Contacts("p1", ROSTER, 2_000.0)
    contacts.record_ack("p2", 1_000.0)
    assert contacts.reached(3_000.0) == ["p2"] and contacts.reached(3_001.0) == []
    contacts.record_ack("p2", 500.0)
    assert contacts.by_name["p2"].round_trip_at == 1_000.0, "an older one takes nothing back"


def test_half_of_the_roster_is_no_majority_and_members_that_left_count_in_it() -> None:
    contacts = Contacts("p1", ("p1", "p2", "p3", "p4", "p5"), 2_000.0)
    contacts.record_ack("p2", 0.0)
    assert contacts.standing(0.0, frozenset({"p3", "p4", "p5"})) is Standing.MINORITY
    contacts.record_ack("p3", 0.0)
    assert contacts.standing(0.0, frozenset({"p4", "p5"})) is Standing.WHOLE
    assert contacts.standing(0.0, frozenset({"p4"})) is Standing.MAJORITY


def test_cuts_are_named_for_what_they_are() -> None:
    one = One()
    for _ in range(70):  # p2 is heard but does not answer; p3 is reached by others alone; p4 answers
        one.run(100.0, ("p4",))
        one.hear("p2", Gossip())
        number = next(n for n in (*one.core.probes.pending, 0))
        probe = one.core.probes.pending.get(number)
        if probe is not None and probe.target == "p3":
            one.hear("p4", Ack(number, target="p3"))
        if one.state("p3") is State.SUSPECT or one.state("p2") is State.SUSPECT:
            held = {n: one.core.view.get(n) for n in ("p2", "p3")}
            news = [Update(record(n, State.ALIVE, r.revision + 1)) for n, r in held.items() if r is not None]
            one.hear("p4", Gossip(tuple(news)))
    links = {tell.subject: tell.details["link"] for tell in one.told if tell.what == "link"}
    assert links["p2"] == Link.ONE_WAY.value and links["p3"] == Link.BRIDGE.value and "p4" not in links


def test_a_leave_is_told_to_all_at_once_and_nothing_follows_it() -> None:
    one = One()
    one.run(3_000.0, ROSTER)
    first = len(one.sent)
    one.take(one.core.leave(one.now))
    told = {sent.name: sent.body for sent in one.sent[first:]}
    assert told.keys() == {"p2", "p3", "p4"}
    assert set(told.values()) == {Gossip((Update(record("p1", State.LEFT)),))}
    one.run(5_000.0)
    one.hear("p2", Ping(1))
    assert len(one.sent) == first + 3 and one.core.next_due() == float("inf")


def test_a_newer_life_of_the_name_takes_it_and_gives_it_back_when_it_has_ended() -> None:
    one = One()
    assert one.core.accepts_requests()
    one.hear("p2", Gossip((Update(record("p1", epoch=20)),)))
    assert not one.core.accepts_requests() and one.core.name_claim.state is ClaimState.CONTESTED
    one.run(2_000.0)
    assert one.asked, "it asks what has become of that one"
    one.hear("p2", Gossip((Update(record("p1", State.DEAD, epoch=20)),)))
    assert (
        one.core.accepts_requests()
        and one.core.name_claim.incarnation.epoch == 21
        and one.kept == [one.core.name_claim.incarnation]
    )


def test_a_start_with_a_lost_folder_and_an_early_clock_rises_over_the_life_that_is_known() -> None:
    one = One(joined=False)
    assert not one.core.accepts_requests()
    known = Sync((record("p1", epoch=5_000), record("p2")), True)
    one.take(one.core.handle_sync_reply(one.now, one.sender("p2"), known))
    assert (
        one.core.accepts_requests()
        and one.core.name_claim.incarnation.epoch == 5_001
        and one.kept[0].epoch == 5_001
    )


def test_lives_of_one_epoch_are_told_apart_by_their_draws_and_equal_ones_are_drawn_anew() -> None:
    one = One()
    one.hear("p1", Ping(1), nonce=0)
    assert one.core.accepts_requests(), "the other one is older"
    one.hear("p1", Ping(1), nonce=2)
    assert not one.core.accepts_requests(), "the other one is newer"
    twin = One()
    twin.hear("p1", Ping(1))
    assert twin.core.accepts_requests() and twin.core.name_claim.incarnation > Incarnation(10, 1)


def test_a_former_life_is_told_so_and_nothing_of_it_is_taken() -> None:
    one = One()
    one.hear("p2", Ping(1), epoch=20)
    first = len(one.sent)
    one.hear("p2", Gossip((Update(record("p3", State.DEAD)),)), epoch=10)
    assert one.state("p3") is State.ALIVE and one.kinds() == ["two-instances"]
    answer = one.sent[first].body
    assert isinstance(answer, Gossip) and answer.updates[0].record.incarnation.epoch == 20
    number = next(iter(one.core.probes.pending), None)
    if number is not None:
        one.hear("p2", Ack(number), epoch=10)
    assert "p2" not in one.core.contacts.reached(one.now)


def test_two_names_that_lead_to_one_instance_are_told_once() -> None:
    one = One()
    one.run(700.0, ("p3", "p4"))
    number = (
        next(n for n, probe in one.core.probes.pending.items() if probe.target == "p2")
        if any(p.target == "p2" for p in one.core.probes.pending.values())
        else one.core.probes.begin("p2", Incarnation(10, 1), one.now, 200.0, one.now + 400.0)
    )
    for _ in range(2):
        one.hear("p3", Ack(number))
    assert one.kinds() == ["two-names"] and "p2" not in one.core.contacts.reached(one.now)


def test_another_roster_is_told_once_and_views_are_not_exchanged_without_end() -> None:
    one = One()
    one.run(1_000.0, ("p2", "p3", "p4"))
    one.asked.clear()
    for _ in range(50):
        one.run(100.0, ("p3", "p4"))
        one.hear("p2", Ping(1, view_digest=77, roster_digest=12_345))
    assert one.kinds() == ["rosters"] and len(one.asked) <= 2


def test_views_that_differ_while_all_is_quiet_are_exchanged_whole() -> None:
    one = One()
    one.run(1_000.0, ("p2", "p3", "p4"))
    one.asked.clear()
    one.hear("p2", Ping(1, view_digest=77, roster_digest=one.core.roster_digest))
    assert [asked.name for asked in one.asked] == ["p2"]


def test_an_instance_by_itself_holds_its_name_at_once() -> None:
    one = One(("p1",), joined=False)
    assert one.core.accepts_requests() and one.core.standing(one.now) is Standing.WHOLE and not one.asked


def test_nobody_to_be_found_is_waited_for_only_so_long() -> None:
    one = One(joined=False)
    one.run(SETTINGS.join_timeout_ms - 1)
    assert not one.core.accepts_requests()
    one.run(2)
    assert (
        one.core.accepts_requests() and one.core.standing(one.now) is Standing.ALONE and len(one.asked) >= 2
    )


def test_the_number_of_proxies_follows_slowly_down_soon_up_and_never_from_a_minority() -> None:
    count = FleetSize(4)
    at = 0.0

    def look(ms: float, living: int, standing: Standing = Standing.MAJORITY) -> int:
        nonlocal at
        for _ in range(int(ms / 250)):
            at += 250.0
            count.observe(at, living, standing)
        return count.value

    assert look(29_000, 3) == 4 and look(2_000, 3) == 3
    assert look(1_000, 5) == 3 and look(2_000, 5) == 5
    for _ in range(60):
        assert look(1_000, 4) == 5 and look(1_000, 5) == 5, "a flap changes nothing"
    assert look(120_000, 1, Standing.ALONE) == 5 and look(120_000, 2, Standing.MINORITY) == 5
