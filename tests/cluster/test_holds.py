"""Places in hand over the fleet: never more than there are, whatever becomes of messages and instances."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import pytest

from notchflow.cluster.budgets import Loan
from notchflow.cluster.concurrency_limits import Account, ConcurrencyLimits, Lot, SlotTerms
from notchflow.cluster.messages import LentTokens, LoanGrant, LoanItem, LoanRequest
from notchflow.cluster.model import Incarnation
from notchflow.emulator.engine import Simulator

NAMES = ("p1", "p2", "p3", "p4")
HOLD_MS = 800.0
TERMS = SlotTerms(HOLD_MS)
TICK_MS = 50.0
LIMIT = 18


class World:
    """Instances that take places for up to HOLD_MS; messages lost, doubled, late; kills and new starts."""

    def __init__(self, seed: int, trouble: float) -> None:
        self.sim, self.rng, self.trouble = Simulator(), random.Random(seed), trouble
        self.nodes: dict[str, ConcurrencyLimits] = {}
        self.lives: dict[str, Incarnation] = {}
        self.worst = self.most_taken = self.served = self.refused = 0
        for name in NAMES:
            self.start(name)
            self.sim.at(self.rng.uniform(0, TICK_MS), self.tick, name)

    def start(self, name: str) -> None:
        self.lives[name] = Incarnation(int(self.sim.now) + 1, self.rng.getrandbits(40))
        made = self.nodes[name] = ConcurrencyLimits(
            name, NAMES, TERMS, random.Random(self.rng.random()), self.sim.now
        )
        made.set_limit("t", LIMIT)

    def tick(self, name: str) -> None:
        self.sim.after(TICK_MS, self.tick, name)
        for to, want in self.nodes[name].tick(self.sim.now, [n for n in NAMES if n != name]):
            self.send(name, to, want)

    def send(self, sender: str, to: str, body: LoanRequest | LoanGrant) -> None:
        if self.rng.random() < self.trouble:
            return
        for _ in range(2 if self.rng.random() < self.trouble else 1):
            late = 400.0 if self.rng.random() < self.trouble else 1.0
            self.sim.after(late, self.arrive, sender, self.lives[sender], to, body)

    def arrive(self, sender: str, life: Incarnation, to: str, body: LoanRequest | LoanGrant) -> None:
        if isinstance(body, LoanGrant):
            self.nodes[to].handle_loan_grant(self.sim.now, sender, body)
        else:
            self.send(to, sender, self.nodes[to].handle_loan_request(self.sim.now, sender, life, body))

    def ask(self, name: str) -> None:
        node = self.nodes[name]
        if node.free("t", self.sim.now) and node.take("t", self.sim.now):
            self.served += 1
            self.sim.after(self.rng.uniform(50.0, HOLD_MS - 1.0), self.over, node)
        else:
            self.refused += 1
        self.worst = max(self.worst, sum(one.usable_slots("t", self.sim.now) for one in self.nodes.values()))
        self.most_taken = max(self.most_taken, self.taken())

    def over(self, node: ConcurrencyLimits) -> None:
        node.release("t")

    def taken(self) -> int:
        return sum(node.accounts["t"].taken for node in self.nodes.values() if "t" in node.accounts)


def crowded(seed: int, trouble: float, seconds: int, shares: tuple[float, ...] = (5, 1, 1, 0.2)) -> World:
    world = World(seed, trouble)
    for step in range(seconds * 100):
        name = world.rng.choices(NAMES, shares)[0]
        world.ask(name)
        if trouble and step % 150 == 149:
            again = world.rng.choice(NAMES)
            world.start(again)  # what it had in hand ended with the process
        world.sim.run(world.sim.now + 10.0)
    return world


@pytest.mark.parametrize("seed", range(6))
def test_no_more_is_in_hand_than_the_limit_whatever_happens(seed: int) -> None:
    world = crowded(seed, 0.2, 40)
    assert world.worst <= LIMIT and world.served > 500


def test_places_are_lent_where_they_are_needed_and_half_stay_with_their_owners() -> None:
    world = crowded(1, 0.0, 20, (1, 0, 0, 0))
    assert LIMIT * 0.45 <= world.most_taken <= LIMIT, "its own 5, and half of what the three others have"
    world = crowded(1, 0.0, 20, (1, 1, 1, 1))
    assert world.most_taken >= LIMIT - 2


def opened() -> ConcurrencyLimits:
    made = ConcurrencyLimits("p1", ("p1", "p2"), TERMS, random.Random(1), 0.0)
    made.set_limit("t", 8)
    return made


def lent(
    core: ConcurrencyLimits, now: float, places: int, spent: tuple[int, ...] = (), number: int = 1
) -> int:
    grant = core.handle_loan_request(
        now, "p2", Incarnation(1, 1), LoanRequest(number, (LoanItem("t", places, spent),))
    )
    return sum(one.tokens for one in grant.lent)


def test_an_owner_lends_half_and_has_it_back_when_it_is_free_or_its_time_is_over() -> None:
    core, now = opened(), 10_000.0
    assert lent(core, now, 100) == 2 and lent(core, now, 100) == 2, "the same question, the same answer"
    assert lent(core, now, 100, number=2) == 0 and core.free("t", now) == 2
    assert lent(core, now + 1.0, 0, spent=(1,), number=3) == 0 and core.free("t", now + 1.0) == 4
    assert lent(core, now + 2.0, 2, number=4) == 2
    assert (
        core.free("t", now + TERMS.outstanding_ms) == 2
        and core.free("t", now + TERMS.outstanding_ms + 3.0) == 4
    )


def test_an_instance_that_starts_has_the_half_that_is_never_lent() -> None:
    core = opened()
    assert core.free("t", 1.0) == 2 and lent(core, 1.0, 100) == 0
    assert core.free("t", TERMS.outstanding_ms + 1.0) == 4


def test_limits_that_cannot_be_divided_and_small_ones_are_whole() -> None:
    for limit in (1, 3, 7, 8, 250):
        parts = []
        for name in NAMES:
            core = ConcurrencyLimits(name, NAMES, TERMS, random.Random(1), 0.0)
            core.set_limit("t", limit)
            core.free("t", 0.0)
            parts.append(core.accounts["t"].share)
        assert sum(parts) == limit


def test_a_lowered_limit_lets_what_is_in_hand_end_and_takes_nothing_new() -> None:
    core = opened()
    now = 10_000.0
    assert all(core.take("t", now) for _ in range(4)) and not core.take("t", now)
    core.set_limit("t", 4)
    core.release("t")
    core.release("t")
    assert not core.take("t", now)
    core.release("t")
    assert core.take("t", now)


Patch = Callable[[pytest.MonkeyPatch], None]


def an_owner_forgets_what_it_lent(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Account, "outstanding", lambda self, now: 0)


def an_owner_does_not_wait_for_requests_to_end(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SlotTerms, "outstanding_ms", property(lambda self: self.loan_ms))


def all_is_there_at_once_after_a_start(patch: pytest.MonkeyPatch) -> None:
    before = ConcurrencyLimits.__init__

    def begin(self: ConcurrencyLimits, *rest: Any) -> None:
        before(self, *rest)
        self.opens_at = rest[-1]

    patch.setattr(ConcurrencyLimits, "__init__", begin)


def the_own_place_is_freed_first(patch: pytest.MonkeyPatch) -> None:
    def release(self: ConcurrencyLimits, key: str) -> None:
        account = self.accounts[key]
        if account.own_taken:
            account.own_taken -= 1
        else:
            lots = [lot for many in account.lots.values() for lot in many if lot.taken]
            if lots:
                lots[0].taken -= 1

    patch.setattr(ConcurrencyLimits, "release", release)


def a_doubled_question_is_answered_anew(patch: pytest.MonkeyPatch) -> None:
    before = Loan.release

    def release(self: Loan, spent: tuple[int, ...]) -> None:
        before(self, spent)
        self.lots.clear()

    patch.setattr(Loan, "release", release)


MUTANTS: tuple[Patch, ...] = (
    an_owner_forgets_what_it_lent,
    an_owner_does_not_wait_for_requests_to_end,
    all_is_there_at_once_after_a_start,
    the_own_place_is_freed_first,
    a_doubled_question_is_answered_anew,
)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_a_mutant_is_found(mutant: Patch, monkeypatch: pytest.MonkeyPatch) -> None:
    mutant(monkeypatch)
    assert any(crowded(seed, 0.2, 30).worst > LIMIT for seed in range(8))


def test_a_grant_of_another_or_after_its_time_is_none() -> None:
    core = ConcurrencyLimits("p2", ("p1", "p2"), TERMS, random.Random(1), 0.0)
    core.set_limit("t", 8)
    for _ in range(5):
        core.take("t", 10_000.0)
    core.free("t", 10_000.0)
    ((owner, want),) = core.tick(10_000.0, ["p1"])
    grant = LoanGrant(want.number, (LentTokens("t", 2),))
    core.handle_loan_grant(10_001.0, "p9", grant)
    ((owner, want),) = core.tick(10_050.0, ["p1"])
    core.handle_loan_grant(10_050.0 + TERMS.loan_ms, owner, LoanGrant(want.number, (LentTokens("t", 2),)))
    assert not core.accounts["t"].lots
    ((owner, want),) = core.tick(10_600.0, ["p1"])
    core.handle_loan_grant(
        10_600.0 + TERMS.loan_ms - 1.0, owner, LoanGrant(want.number, (LentTokens("t", 2),))
    )
    assert core.accounts["t"].lots["p1"] == [Lot(10_600.0 + TERMS.loan_ms, want.number, 2)]
