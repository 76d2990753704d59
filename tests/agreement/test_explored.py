"""The consensus core: all orders of events in small bounds, random faults by seed, and mutants."""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import pytest

from notchflow.cluster.agreement import leader, replica
from notchflow.cluster.agreement.leader import Leadership
from notchflow.cluster.agreement.log import Log
from notchflow.cluster.agreement.raft import Raft
from notchflow.cluster.agreement.replica import HardState, Replica
from notchflow.cluster.agreement.session import Lease
from notchflow.cluster.agreement.wire import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    RequestVote,
    RequestVoteResponse,
)
from notchflow.emulator.agreement import Disk, World
from notchflow.emulator.agreement_explorer import Scope, explore
from notchflow.emulator.agreement_faults import RandomFaults

LONG = bool(os.environ.get("NOTCHFLOW_LONG"))
SMALL = (Scope(timeouts=1, changes=1), Scope(timeouts=1, changes=1, losses=1))
LARGE = (
    Scope(timeouts=1, changes=2, crashes=1),
    Scope(timeouts=1, changes=2, losses=1),
    Scope(timeouts=1, changes=1, losses=1, duplicates=1),
    Scope(timeouts=2, changes=0),
    Scope(timeouts=2, changes=1, disk_losses=1),
)
MAX_STATES = 600_000  # per scope in LARGE; exploring one completely would take an hour


def explore_bounded(scope: Scope) -> tuple[int, list[str], bool]:
    return explore(scope, MAX_STATES)


@pytest.mark.parametrize("scope", SMALL, ids=str)
def test_all_orders_of_events_within_small_bounds(scope: Scope) -> None:
    count, problems, complete = explore(scope)
    assert (problems, complete) == ([], True)
    assert count == {SMALL[0]: 2_917, SMALL[1]: 21_391}[scope]


@pytest.mark.skipif(not LONG, reason="minutes: NOTCHFLOW_LONG=1")
def test_orders_of_events_within_larger_bounds_up_to_a_number_of_states() -> None:
    with ProcessPoolExecutor() as pool:
        for scope, (count, problems, complete) in zip(LARGE, pool.map(explore_bounded, LARGE), strict=True):
            print(f"{scope}: {count} states, all of them: {complete}")
            assert problems == []


def run_with_faults(seed: int, seconds: float = 30.0, **options: Any) -> list[str]:
    names = ["p1", "p2", "p3"] if seed % 2 else ["p1", "p2", "p3", "p4", "p5"]
    world = World(names, seed, **options)
    try:
        RandomFaults(world, seed).run(seconds)
    except AssertionError as error:
        return [str(error)]
    return world.violations()


def test_random_faults_break_no_rule() -> None:
    """Crashes, lost disks, pauses, partitions, loss, duplicates, late messages, and clocks that drift."""
    seeds = range(20_000 if LONG else 150)
    with ProcessPoolExecutor() as pool:
        results = list(pool.map(run_with_faults, seeds, chunksize=5))
    assert [(seed, problems) for seed, problems in zip(seeds, results, strict=True) if problems] == []


def test_changes_are_answered_and_a_partitioned_instance_acts_only_until_its_lease_ends() -> None:
    """Random faults alone would not show that changes succeed and leases are granted at all."""
    world = World(["p1", "p2", "p3"], 7)
    assert world.run_until(
        lambda: all(n.session.lease.is_valid(n.clock()) for n in world.nodes.values()), 5_000.0
    )
    first = world.start_operation("p1", "change")
    world.run(200.0)
    assert first is not None and first.version > 0
    world.islands(["p1"], ["p2", "p3"])
    world.run(200.0)
    in_minority = world.start_operation("p1", "change")
    world.run(2_000.0)
    in_majority = world.start_operation("p2", "change")
    world.run(500.0)
    assert in_majority is not None and in_minority is not None
    assert in_majority.version > first.version and in_minority.version == -1
    partitioned = world.nodes["p1"]
    assert partitioned.session.lease.is_valid(partitioned.clock()), "it acts on the rules it knows until then"
    world.run(2_000.0)
    assert not partitioned.session.lease.is_valid(partitioned.clock())
    assert (
        1_000.0 < world.longest_divergence_ms <= world.terms.divergence_bound_ms and world.violations() == []
    )


def test_an_instance_with_a_lost_disk_gets_a_snapshot_and_votes_again_afterwards() -> None:
    world = World(["p1", "p2", "p3"], 3)
    world.run(3_000.0)
    world.kill("p3")
    for _ in range(40):
        world.start_operation("p1", "change")
        world.run(100.0)
    assert world.run_until(lambda: len(world.by_version) == 40, 5_000.0) is not None
    assert world.nodes["p1"].raft.log.base_index > 8 or world.nodes["p2"].raft.log.base_index > 8
    world.restart("p3", empty=True)
    assert not world.nodes["p3"].raft.joined
    assert world.run_until(lambda: world.nodes["p3"].raft.joined, 10_000.0) is not None
    assert world.nodes["p3"].machine.ids == world.state.ids and world.violations() == []


def test_the_first_election_needs_the_whole_roster_and_the_largest_state_wins() -> None:
    def make_weighted(name: str, *rest: Any) -> Raft:
        roster, settings, rng, now, hard_state, log, _ = rest
        return Raft(name, roster, settings, rng, now, hard_state, log, {"p1": 0, "p2": 7, "p3": 3}[name])

    world = World(["p1", "p2", "p3"], 5, make=make_weighted)
    world.kill("p3")
    world.run(20_000.0)
    assert not any(node.raft.leader for node in world.nodes.values()), "two of three cannot begin a log"
    world.restart("p3", empty=True)
    world.run(5_000.0)
    assert {node.raft.leader for node in world.nodes.values()} == {"p2"}


def test_a_vote_is_refused_when_its_ticket_has_expired() -> None:
    rng = random.Random(1)
    voter = Raft("p2", ["p1", "p2", "p3"], replica.RaftSettings(), rng, 0.0, HardState(1, "", True))
    voter.start(0.0)
    voter.handle_message(2_000.0, "p1", RequestVote(2, 0, 0, 0, True))
    ((_, response),) = voter.take_batch().messages
    assert response.vote_granted and response.pre_vote  # type: ignore[union-attr]
    late = RequestVote(2, 0, 0, 0, False, response.ticket)  # type: ignore[union-attr]
    voter.handle_message(2_000.0 + replica.RaftSettings().ticket_ms + 1, "p1", late)
    ((_, response),) = voter.take_batch().messages
    assert not response.vote_granted and voter.voted_for == ""  # type: ignore[union-attr]


def test_the_roster_changes_by_one_name_at_a_time() -> None:
    world = World(["p1", "p2", "p3"], 9)
    world.run(3_000.0)
    leading_instance = next(n for n in world.nodes.values() if n.raft.role is replica.Role.LEADER)
    others = tuple(n for n in world.names if n != leading_instance.name)
    with pytest.raises(ValueError):
        leading_instance.raft.change_roster(leading_instance.clock(), others[:1])
    leading_instance.raft.change_roster(leading_instance.clock(), (leading_instance.name, others[0]))
    with pytest.raises(leader.ProposalRejected):
        leading_instance.raft.change_roster(leading_instance.clock(), (leading_instance.name, *others))
    leading_instance.step()
    world.run(500.0)
    assert world.nodes[others[0]].raft.roster == tuple(sorted((leading_instance.name, others[0])))
    world.kill(others[1])
    change = world.start_operation(leading_instance.name, "change")
    world.run(500.0)
    assert change is not None and change.version > 0 and world.violations() == []


def test_a_leader_counts_its_own_entries_once_they_are_durable() -> None:
    raft = Raft(
        "p1",
        ["p1"],
        replica.RaftSettings(),
        random.Random(1),
        0.0,
        HardState(1, "p1", True),
        Log(0, 0, [Entry(1, EntryKind.NOOP)]),
    )
    raft.start(0.0)
    raft.tick(raft.election_at)
    batch = raft.take_batch()
    assert raft.role is replica.Role.LEADER and raft.commit_index == 0
    raft.mark_durable(batch.last_index, batch.last_term)
    assert raft.commit_index == 2


def test_a_partitioned_leader_confirms_no_read() -> None:
    world = World(["p1", "p2", "p3"], 4)
    world.run(3_000.0)
    leading_instance = next(n for n in world.nodes.values() if n.raft.role is replica.Role.LEADER)
    world.islands([leading_instance.name], [n for n in world.names if n != leading_instance.name])
    read = world.start_operation(leading_instance.name, "read")
    world.run(5_000.0)
    assert read is not None and read.version == -1


def test_an_entry_of_an_earlier_term_is_not_committed_by_a_majority_that_has_it() -> None:
    """Figure 8 of the paper: such an entry may still be replaced."""
    log = Log(0, 0, [Entry(1, EntryKind.NOOP), Entry(2, EntryKind.COMMAND, b"x")])
    raft = Raft(
        "p1",
        ["p1", "p2", "p3"],
        replica.RaftSettings(),
        random.Random(1),
        0.0,
        HardState(3, "", True),
        log,
    )
    raft.start(0.0)
    now = raft.election_at
    raft.tick(now)
    raft.handle_message(now, "p2", RequestVoteResponse(4, True, True, 1))
    raft.handle_message(now, "p2", RequestVoteResponse(4, True))
    batch = raft.take_batch()
    assert raft.role is replica.Role.LEADER and batch.last_index == 3
    raft.mark_durable(batch.last_index, batch.last_term)
    raft.handle_message(now, "p2", AppendEntriesResponse(4, True, 2, 1))
    assert raft.commit_index == 0
    raft.handle_message(now, "p2", AppendEntriesResponse(4, True, 3, 1))
    assert raft.commit_index == 3


# -- mutants: each breaks one rule of the protocol, and the tests must notice
Patch = Callable[[pytest.MonkeyPatch], None]


def accept_a_minority(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Replica, "majority", property(lambda self: max(len(self.roster) // 2, 1)))


def vote_twice(patch: pytest.MonkeyPatch) -> None:
    def handle_request_vote(self: Raft, now: float, sender: str, body: RequestVote) -> None:
        self.voted_for = ""
        original(self, now, sender, body)

    original = Raft._handle_request_vote
    patch.setattr(Raft, "_handle_request_vote", handle_request_vote)


def lose_the_stored_vote(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        Disk,
        "write",
        _write_then(
            lambda disk, batch: setattr(disk, "hard", HardState(batch.hard_state.term - 1, "", True))
            if batch.hard_state is not None
            else None
        ),
    )


def lose_stored_entries(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        Disk,
        "write",
        _write_then(lambda disk, batch: disk.entries.pop(max(disk.entries), None) if disk.entries else None),
    )


def _write_then(damage: Callable[[Disk, Any], object]) -> Callable[[Disk, Any], None]:
    original = Disk.write

    def write(self: Disk, batch: Any) -> None:
        original(self, batch)
        damage(self, batch)

    return write


def elect_an_older_log(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Raft, "_is_up_to_date", lambda self, body: True)


def confirm_reads_before_the_term_has_a_committed_entry(patch: pytest.MonkeyPatch) -> None:
    """Before a leader has committed an entry of its own term it does not know what is (figure 8 of the
    paper)."""

    def confirm_reads(self: Leadership) -> None:
        self.term_start_index, term_start_index = 0, self.term_start_index
        original(self)
        self.term_start_index = term_start_index

    original = Leadership._confirm_reads
    patch.setattr(Leadership, "_confirm_reads", confirm_reads)


def count_entries_that_are_not_durable(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        Replica,
        "durable_index",
        property(lambda self: self.log.last_index, lambda self, value: None),
        raising=False,
    )


def append_across_a_gap(patch: pytest.MonkeyPatch) -> None:
    def handle_append_entries(self: Raft, sender: str, body: AppendEntries) -> None:
        prev_log_index = min(body.prev_log_index, self.log.last_index)
        term = self.log.term_at(prev_log_index)
        original(
            self,
            sender,
            AppendEntries(body.term, prev_log_index, term or 0, body.leader_commit, body.round, body.entries),
        )

    original = Raft._handle_append_entries
    patch.setattr(Raft, "_handle_append_entries", handle_append_entries)


def keep_conflicting_entries(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Raft, "_truncate_from", lambda self, index: None)


def commit_beyond_the_entries_received(patch: pytest.MonkeyPatch) -> None:
    def handle_append_entries(self: Raft, sender: str, body: AppendEntries) -> None:
        original(self, sender, body)
        self.commit_index = max(self.commit_index, min(body.leader_commit, self.log.last_index))

    original = Raft._handle_append_entries
    patch.setattr(Raft, "_handle_append_entries", handle_append_entries)


def confirm_reads_without_a_round(patch: pytest.MonkeyPatch) -> None:
    def read_index(self: Leadership, now: float, requester: str, request_id: int) -> None:
        original(self, now, requester, request_id)
        for read in self.pending_reads:
            read.round = 0
        self._confirm_reads()

    original = Leadership.read_index
    patch.setattr(Leadership, "read_index", read_index)


def confirm_reads_by_an_earlier_round(patch: pytest.MonkeyPatch) -> None:
    def read_index(self: Leadership, now: float, requester: str, request_id: int) -> None:
        original(self, now, requester, request_id)
        if self.pending_reads:
            self.pending_reads[-1].round = self.round - 40
        self._confirm_reads()

    original = Leadership.read_index
    patch.setattr(Leadership, "read_index", read_index)


def vote_after_losing_the_state(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Raft, "_may_vote_for", lambda self, now, body: self._is_up_to_date(body))


def count_an_instance_that_lost_its_state(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Raft, "joined", property(lambda self: True, lambda self, value: None), raising=False)


def begin_a_log_with_a_majority(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Raft, "_tally_votes", lambda self, now: _tally_votes(self, now))


def _tally_votes(self: Raft, now: float) -> None:
    if len(self.votes) >= self.majority:
        if self.role is replica.Role.PRE_CANDIDATE:
            self._start_election(now)
        elif self.role is replica.Role.CANDIDATE:
            self._become_leader(now)


def count_the_lease_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    def extend(self: Lease, requested_at: float, index: int, applied: int) -> None:
        original(self, requested_at + 1_500.0, index, applied)

    original = Lease.extend
    patch.setattr(Lease, "extend", extend)


def begin_the_lease_before_the_index_is_applied(patch: pytest.MonkeyPatch) -> None:
    original = Lease.extend
    patch.setattr(
        Lease, "extend", lambda self, requested_at, index, applied: original(self, requested_at, 0, applied)
    )


def never_end_the_lease(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Lease, "is_valid", lambda self, now: self.expires_at > 0)


def commit_entries_of_earlier_terms(patch: pytest.MonkeyPatch) -> None:
    """An entry of an earlier term that a majority has may still be replaced (figure 8 of the paper)."""

    def advance_commit(self: Leadership) -> None:
        replicated = sorted(
            (self._peer_value(name, self.durable_index, "match_index") for name in self.roster), reverse=True
        )
        self.commit_index = max(self.commit_index, replicated[self.majority - 1])

    patch.setattr(Leadership, "_advance_commit", advance_commit)


def skip_an_entry_after_a_snapshot(patch: pytest.MonkeyPatch) -> None:
    def install_snapshot(self: Raft, snapshot: Any) -> None:
        original(self, replica.Snapshot(snapshot.index + 1, snapshot.term, snapshot.roster, snapshot.data))

    original = Raft._install_snapshot
    patch.setattr(Raft, "_install_snapshot", install_snapshot)


# Each mutant with the seed of a run with random faults that exposes it.
MUTANTS_BY_SEED: tuple[tuple[Patch, int], ...] = (
    (accept_a_minority, 1),
    (vote_twice, 2),
    (lose_the_stored_vote, 2),
    (lose_stored_entries, 2),
    (elect_an_older_log, 3),
    (append_across_a_gap, 0),
    (keep_conflicting_entries, 2),
    (commit_beyond_the_entries_received, 55),
    (confirm_reads_by_an_earlier_round, 76),
    (vote_after_losing_the_state, 17),
    (count_an_instance_that_lost_its_state, 9),
    (count_the_lease_from_the_answer, 6),
    (begin_the_lease_before_the_index_is_applied, 3),
    (never_end_the_lease, 6),
    (skip_an_entry_after_a_snapshot, 0),
    (confirm_reads_before_the_term_has_a_committed_entry, 3),
)
# Mutants that random faults expose too rarely, each with a test above that must fail on it.
MUTANTS_BY_TEST: tuple[tuple[Patch, Callable[[], None]], ...] = (
    (count_entries_that_are_not_durable, test_a_leader_counts_its_own_entries_once_they_are_durable),
    (begin_a_log_with_a_majority, test_the_first_election_needs_the_whole_roster_and_the_largest_state_wins),
    (confirm_reads_without_a_round, test_a_partitioned_leader_confirms_no_read),
    (
        commit_entries_of_earlier_terms,
        test_an_entry_of_an_earlier_term_is_not_committed_by_a_majority_that_has_it,
    ),
)


def breaks_a_rule(seed: int) -> bool:
    try:
        return bool(run_with_faults(seed, 20.0))
    except Exception:  # a mutant may also crash the core
        return True


@pytest.mark.parametrize(("mutant", "seed"), MUTANTS_BY_SEED, ids=lambda one: getattr(one, "__name__", ""))
def test_random_faults_expose_each_mutant(mutant: Patch, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    assert not breaks_a_rule(seed)
    mutant(monkeypatch)
    assert breaks_a_rule(seed)


@pytest.mark.parametrize(("mutant", "test"), MUTANTS_BY_TEST, ids=lambda one: one.__name__)
def test_a_mutant_fails_the_test_of_its_rule(
    mutant: Patch, test: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutant(monkeypatch)
    with pytest.raises(AssertionError):
        test()


def test_the_explorer_exposes_an_instance_that_votes_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    vote_twice(monkeypatch)
    _, problems, _ = explore(Scope(timeouts=2, changes=0), 5_000)
    assert problems[0] == "two lead in term 2"
