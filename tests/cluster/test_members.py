"""Membership protocol of one instance: merging of views, suspicion, stalls, name claims, standing."""

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


class Instance:
    """The protocol of p1, with the actions it returned."""

    def __init__(self, roster: tuple[str, ...] = ROSTER, joined: bool = True) -> None:
        self.core = Members(record("p1"), roster, SETTINGS, random.Random(1), ["127.0.0.1:9"])
        self.now = 1_000.0
        self.events: list[MembershipEvent] = []
        self.sent: list[Datagram] = []
        self.persisted: list[Incarnation] = []
        self.exchanges: list[Exchange] = []
        self.perform(self.core.start(self.now))
        if joined:
            full_view = Sync(tuple(record(name) for name in roster if name != "p1"), True)
            self.perform(self.core.handle_sync_reply(self.now, self.sender("p2"), full_view))

    def perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case MembershipEvent():
                    self.events.append(action)
                case Datagram():
                    self.sent.append(action)
                case PersistIncarnation(incarnation):
                    self.persisted.append(incarnation)
                case Exchange():
                    self.exchanges.append(action)

    @staticmethod
    def sender(name: str, epoch: int = 10, nonce: int = 1) -> Sender:
        return Sender(name, Incarnation(epoch, nonce))

    def receive(self, name: str, body: Message, epoch: int = 10, nonce: int = 1) -> None:
        self.perform(self.core.handle_message(self.now, self.sender(name, epoch, nonce), body))

    def run(self, ms: float, answering: tuple[str, ...] = ()) -> None:
        """Advances the time; `answering` members ack direct probes at once."""
        end = self.now + ms
        while self.core.next_due() <= end:
            self.now = max(self.core.next_due(), self.now)
            first = len(self.sent)
            self.perform(self.core.tick(self.now))
            for sent in self.sent[first:]:
                if isinstance(sent.body, Ping) and sent.name in answering:
                    self.receive(
                        sent.name, Ack(sent.body.number, self.core.view.digest, self.core.roster_digest)
                    )
        self.now = end

    def run_until_suspected(self, name: str, answering: tuple[str, ...]) -> None:
        for _ in range(50):
            if self.state(name) is State.SUSPECT:
                return
            self.run(50.0, answering)
        raise AssertionError(f"{name} was never suspected")

    def state(self, name: str) -> State | None:
        return self.core.view.state(name)

    def disagreements(self) -> list[str]:
        return [event.details["kind"] for event in self.events if event.what == "disagree"]


def test_views_converge_for_any_order_of_updates() -> None:
    """All orders of six records of one name, each delivered twice."""
    updates = [
        record("p2"),
        record("p2", State.SUSPECT),
        record("p2", revision=1),
        record("p2", State.DEAD, 1),
        record("p2", epoch=11),
        record("p2", State.LEFT),
    ]
    views = set()
    for order in itertools.permutations(updates):
        view = View(ROSTER, "p1")
        for update in (*order, *order):
            view.merge(0.0, update)
        views.add((view.digest, view.get("p2"), view.others_present))
    assert len(views) == 1 and views.pop()[1] == record("p2", epoch=11)


def test_a_sender_that_is_not_on_the_roster_is_denied_and_reported_once() -> None:
    instance = Instance()
    for _ in range(3):
        instance.receive("stranger", Ping(1))
    assert instance.core.view.get("stranger") is None and instance.disagreements() == ["stranger"]
    assert [sent.body for sent in instance.sent if sent.name == "stranger"] == [
        Denial("not on the roster")
    ] * 3


def test_each_further_accuser_shortens_a_suspicion() -> None:
    suspicion = Suspicion(record("p2", State.SUSPECT), 0.0, 1_000.0, 3_000.0, 3)
    dues = []
    for accuser in ("p3", "p4", "p5", "p6"):
        assert suspicion.add_accuser(accuser) and not suspicion.add_accuser(accuser)
        dues.append(suspicion.expires_at())
    assert dues[0] == 3_000.0 and dues[-1] == 1_000.0 and dues == sorted(dues, reverse=True)
    assert not suspicion.add_accuser("p7"), "the suspicion already has all confirmations"


def test_only_a_member_that_does_not_answer_is_suspected_and_declared_dead() -> None:
    instance = Instance()
    instance.run_until_suspected("p2", ("p3", "p4"))
    instance.run(4_000.0, ("p3", "p4"))
    assert [instance.state(name) for name in ROSTER[1:]] == [State.DEAD, State.ALIVE, State.ALIVE]


@pytest.mark.parametrize("state", [State.SUSPECT, State.DEAD])
def test_a_living_member_refutes_suspicion_and_death(state: State) -> None:
    instance = Instance()
    instance.receive("p2", Gossip((Update(record("p1", state, 4), "p3"),)))
    assert instance.core.record == record("p1", State.ALIVE, 5)
    instance.run(30.0)
    events = [
        update.record
        for sent in instance.sent
        if isinstance(sent.body, Gossip)
        for update in sent.body.updates
    ]
    assert record("p1", State.ALIVE, 5) in events


def test_a_refutation_overrides_a_death_record_in_either_order() -> None:
    death, refuted = Update(record("p2", State.DEAD, 0)), Update(record("p2", State.ALIVE, 1))
    for order in ((death, refuted), (refuted, death)):
        instance = Instance()
        for update in order:
            instance.receive("p3", Gossip((update,)))
        assert instance.state("p2") is State.ALIVE


def test_a_stall_does_not_count_against_a_suspect() -> None:
    """A suspicion that was running before a stall is extended by the duration of the stall."""
    instance = Instance()
    instance.run_until_suspected("p2", ("p3", "p4"))
    assert instance.state("p2") is State.SUSPECT
    instance.now += 60_000.0
    instance.perform(instance.core.tick(instance.now))
    assert (
        instance.state("p2") is State.SUSPECT
        and instance.core.local_health.multiplier == SETTINGS.local_health_max
    )
    assert [event.details["ms"] > 59_000 for event in instance.events if event.what == "slept"] == [True]
    instance.receive("p2", Gossip((Update(record("p2", State.ALIVE, 1)),)))
    assert instance.state("p2") is State.ALIVE


def test_a_message_read_before_the_overdue_timer_detects_the_stall() -> None:
    instance = Instance()
    instance.run_until_suspected("p2", ("p3", "p4"))
    instance.now += 60_000.0
    instance.receive("p3", Ping(5))
    assert instance.state("p2") is State.SUSPECT and instance.core.slept_ms > 59_000


def test_the_standing_depends_on_round_trips_only() -> None:
    instance = Instance()
    assert instance.core.standing(instance.now) is Standing.ALONE, "a message that is no ack is no round trip"
    instance.run(3_000.0, ("p2", "p3", "p4"))
    assert instance.core.standing(instance.now) is Standing.WHOLE
    instance.run(3_000.0, ("p2", "p3"))
    assert instance.core.standing(instance.now) is Standing.MAJORITY
    instance.run(3_000.0, ("p2",))
    assert instance.core.standing(instance.now) is Standing.MINORITY, "two of four are no majority"
    for _ in range(30):
        instance.run(100.0)
        for name in ROSTER[1:]:
            instance.receive(name, Gossip())
    assert instance.core.standing(instance.now) is Standing.ALONE


def test_a_round_trip_counts_from_when_its_probe_was_sent() -> None:
    contacts = Contacts("p1", ROSTER, 2_000.0)
    contacts.record_ack("p2", 1_000.0)
    assert contacts.reached(3_000.0) == ["p2"] and contacts.reached(3_001.0) == []
    contacts.record_ack("p2", 500.0)
    assert contacts.by_name["p2"].round_trip_at == 1_000.0, "an older round trip does not replace a newer one"


def test_members_that_left_count_for_the_majority() -> None:
    contacts = Contacts("p1", ("p1", "p2", "p3", "p4", "p5"), 2_000.0)
    contacts.record_ack("p2", 0.0)
    assert contacts.standing(0.0, frozenset({"p3", "p4", "p5"})) is Standing.MINORITY
    contacts.record_ack("p3", 0.0)
    assert contacts.standing(0.0, frozenset({"p4", "p5"})) is Standing.WHOLE
    assert contacts.standing(0.0, frozenset({"p4"})) is Standing.MAJORITY


def test_link_states_distinguish_one_way_and_bridged_links() -> None:
    instance = Instance()
    for _ in range(70):  # p2 sends but does not ack; p3 acks only other members; p4 acks
        instance.run(100.0, ("p4",))
        instance.receive("p2", Gossip())
        number = next(n for n in (*instance.core.probes.pending, 0))
        probe = instance.core.probes.pending.get(number)
        if probe is not None and probe.target == "p3":
            instance.receive("p4", Ack(number, target="p3"))
        if instance.state("p3") is State.SUSPECT or instance.state("p2") is State.SUSPECT:
            known = {n: instance.core.view.get(n) for n in ("p2", "p3")}
            updates = [
                Update(record(n, State.ALIVE, r.revision + 1)) for n, r in known.items() if r is not None
            ]
            instance.receive("p4", Gossip(tuple(updates)))
    links = {event.subject: event.details["link"] for event in instance.events if event.what == "link"}
    assert links["p2"] == Link.ONE_WAY.value and links["p3"] == Link.BRIDGE.value and "p4" not in links


def test_a_leave_is_announced_to_all_members_and_nothing_is_sent_afterwards() -> None:
    instance = Instance()
    instance.run(3_000.0, ROSTER)
    first = len(instance.sent)
    instance.perform(instance.core.leave(instance.now))
    events = {sent.name: sent.body for sent in instance.sent[first:]}
    assert events.keys() == {"p2", "p3", "p4"}
    assert set(events.values()) == {Gossip((Update(record("p1", State.LEFT)),))}
    instance.run(5_000.0)
    instance.receive("p2", Ping(1))
    assert len(instance.sent) == first + 3 and instance.core.next_due() == float("inf")


def test_a_newer_incarnation_holds_the_name_until_it_is_dead() -> None:
    instance = Instance()
    assert instance.core.accepts_requests()
    instance.receive("p2", Gossip((Update(record("p1", epoch=20)),)))
    assert not instance.core.accepts_requests() and instance.core.name_claim.state is ClaimState.CONTESTED
    instance.run(2_000.0)
    assert instance.exchanges, "the older incarnation contacts the seeds"
    instance.receive("p2", Gossip((Update(record("p1", State.DEAD, epoch=20)),)))
    assert (
        instance.core.accepts_requests()
        and instance.core.name_claim.incarnation.epoch == 21
        and instance.persisted == [instance.core.name_claim.incarnation]
    )


def test_a_start_with_a_lost_folder_and_an_early_clock_begins_above_the_known_epoch() -> None:
    instance = Instance(joined=False)
    assert not instance.core.accepts_requests()
    known = Sync((record("p1", epoch=5_000), record("p2")), True)
    instance.perform(instance.core.handle_sync_reply(instance.now, instance.sender("p2"), known))
    assert (
        instance.core.accepts_requests()
        and instance.core.name_claim.incarnation.epoch == 5_001
        and instance.persisted[0].epoch == 5_001
    )


def test_incarnations_of_one_epoch_are_ordered_by_nonce_and_equal_ones_are_replaced() -> None:
    instance = Instance()
    instance.receive("p1", Ping(1), nonce=0)
    assert instance.core.accepts_requests(), "the other incarnation is older"
    instance.receive("p1", Ping(1), nonce=2)
    assert not instance.core.accepts_requests(), "the other incarnation is newer"
    duplicate = Instance()
    duplicate.receive("p1", Ping(1))
    assert duplicate.core.accepts_requests() and duplicate.core.name_claim.incarnation > Incarnation(10, 1)


def test_messages_of_an_older_incarnation_are_rejected_with_the_newer_record() -> None:
    instance = Instance()
    instance.receive("p2", Ping(1), epoch=20)
    first = len(instance.sent)
    instance.receive("p2", Gossip((Update(record("p3", State.DEAD)),)), epoch=10)
    assert instance.state("p3") is State.ALIVE and instance.disagreements() == ["two-instances"]
    answer = instance.sent[first].body
    assert isinstance(answer, Gossip) and answer.updates[0].record.incarnation.epoch == 20
    number = next(iter(instance.core.probes.pending), None)
    if number is not None:
        instance.receive("p2", Ack(number), epoch=10)
    assert "p2" not in instance.core.contacts.reached(instance.now)


def test_two_names_that_lead_to_one_instance_are_reported_once() -> None:
    instance = Instance()
    instance.run(700.0, ("p3", "p4"))
    number = (
        next(n for n, probe in instance.core.probes.pending.items() if probe.target == "p2")
        if any(p.target == "p2" for p in instance.core.probes.pending.values())
        else instance.core.probes.begin("p2", Incarnation(10, 1), instance.now, 200.0, instance.now + 400.0)
    )
    for _ in range(2):
        instance.receive("p3", Ack(number))
    assert instance.disagreements() == ["two-names"] and "p2" not in instance.core.contacts.reached(
        instance.now
    )


def test_a_different_roster_is_reported_once_and_limits_view_exchanges() -> None:
    instance = Instance()
    instance.run(1_000.0, ("p2", "p3", "p4"))
    instance.exchanges.clear()
    for _ in range(50):
        instance.run(100.0, ("p3", "p4"))
        instance.receive("p2", Ping(1, view_digest=77, roster_digest=12_345))
    assert instance.disagreements() == ["rosters"] and len(instance.exchanges) <= 2


def test_views_that_differ_without_recent_changes_are_exchanged_in_full() -> None:
    instance = Instance()
    instance.run(1_000.0, ("p2", "p3", "p4"))
    instance.exchanges.clear()
    instance.receive("p2", Ping(1, view_digest=77, roster_digest=instance.core.roster_digest))
    assert [exchanges.name for exchanges in instance.exchanges] == ["p2"]


def test_the_only_instance_of_a_roster_holds_its_name_at_once() -> None:
    instance = Instance(("p1",), joined=False)
    assert (
        instance.core.accepts_requests()
        and instance.core.standing(instance.now) is Standing.WHOLE
        and not instance.exchanges
    )


def test_joining_ends_after_the_timeout_if_no_member_answers() -> None:
    instance = Instance(joined=False)
    instance.run(SETTINGS.join_timeout_ms - 1)
    assert not instance.core.accepts_requests()
    instance.run(2)
    assert (
        instance.core.accepts_requests()
        and instance.core.standing(instance.now) is Standing.ALONE
        and len(instance.exchanges) >= 2
    )


def test_the_fleet_size_rises_soon_falls_slowly_and_is_kept_in_a_minority() -> None:
    count = FleetSize(4)
    at = 0.0

    def observe(ms: float, present: int, standing: Standing = Standing.MAJORITY) -> int:
        nonlocal at
        for _ in range(int(ms / 250)):
            at += 250.0
            count.observe(at, present, standing)
        return count.value

    assert observe(29_000, 3) == 4 and observe(2_000, 3) == 3
    assert observe(1_000, 5) == 3 and observe(2_000, 5) == 5
    for _ in range(60):
        assert (
            observe(1_000, 4) == 5 and observe(1_000, 5) == 5
        ), "a flapping member does not change the number"
    assert observe(120_000, 1, Standing.ALONE) == 5 and observe(120_000, 2, Standing.MINORITY) == 5
