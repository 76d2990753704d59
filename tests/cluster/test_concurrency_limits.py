"""Concurrency limits of the fleet: never exceeded, whatever happens to messages and instances."""

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
    """Instances that take slots for up to HOLD_MS; messages are lost, duplicated and delayed, instances
    restarted."""

    def __init__(self, seed: int, fault_probability: float) -> None:
        self.sim, self.rng, self.fault_probability = Simulator(), random.Random(seed), fault_probability
        self.nodes: dict[str, ConcurrencyLimits] = {}
        self.incarnations: dict[str, Incarnation] = {}
        self.most_usable = self.most_taken = self.served = self.refused = 0
        for name in NAMES:
            self.start(name)
            self.sim.at(self.rng.uniform(0, TICK_MS), self.tick, name)

    def start(self, name: str) -> None:
        self.incarnations[name] = Incarnation(int(self.sim.now) + 1, self.rng.getrandbits(40))
        core = self.nodes[name] = ConcurrencyLimits(
            name, NAMES, TERMS, random.Random(self.rng.random()), self.sim.now
        )
        core.set_limit("t", LIMIT)

    def tick(self, name: str) -> None:
        self.sim.after(TICK_MS, self.tick, name)
        for to, request in self.nodes[name].tick(self.sim.now, [n for n in NAMES if n != name]):
            self.send(name, to, request)

    def send(self, sender: str, to: str, body: LoanRequest | LoanGrant) -> None:
        if self.rng.random() < self.fault_probability:
            return
        for _ in range(2 if self.rng.random() < self.fault_probability else 1):
            late = 400.0 if self.rng.random() < self.fault_probability else 1.0
            self.sim.after(late, self.arrive, sender, self.incarnations[sender], to, body)

    def arrive(self, sender: str, incarnation: Incarnation, to: str, body: LoanRequest | LoanGrant) -> None:
        if isinstance(body, LoanGrant):
            self.nodes[to].handle_loan_grant(self.sim.now, sender, body)
        else:
            self.send(to, sender, self.nodes[to].handle_loan_request(self.sim.now, sender, incarnation, body))

    def send_request(self, name: str) -> None:
        node = self.nodes[name]
        if node.free("t", self.sim.now) and node.take("t", self.sim.now):
            self.served += 1
            self.sim.after(self.rng.uniform(50.0, HOLD_MS - 1.0), self.end_request, node)
        else:
            self.refused += 1
        self.most_usable = max(
            self.most_usable, sum(one.usable_slots("t", self.sim.now) for one in self.nodes.values())
        )
        self.most_taken = max(self.most_taken, self.taken())

    def end_request(self, node: ConcurrencyLimits) -> None:
        node.release("t")

    def taken(self) -> int:
        return sum(node.accounts["t"].taken for node in self.nodes.values() if "t" in node.accounts)


def run_world(
    seed: int, fault_probability: float, seconds: int, shares: tuple[float, ...] = (5, 1, 1, 0.2)
) -> World:
    world = World(seed, fault_probability)
    for step in range(seconds * 100):
        name = world.rng.choices(NAMES, shares)[0]
        world.send_request(name)
        if fault_probability and step % 150 == 149:
            restarted = world.rng.choice(NAMES)
            world.start(restarted)  # its open requests ended with the process
        world.sim.run(world.sim.now + 10.0)
    return world


@pytest.mark.parametrize("seed", range(6))
def test_the_limit_holds_under_random_faults(seed: int) -> None:
    world = run_world(seed, 0.2, 40)
    assert world.most_usable <= LIMIT and world.served > 500


def test_slots_are_lent_on_demand_and_half_stay_with_their_owners() -> None:
    world = run_world(1, 0.0, 20, (1, 0, 0, 0))
    assert LIMIT * 0.45 <= world.most_taken <= LIMIT, "its own 5 and half of the shares of the three others"
    world = run_world(1, 0.0, 20, (1, 1, 1, 1))
    assert world.most_taken >= LIMIT - 2


def open_limits() -> ConcurrencyLimits:
    core = ConcurrencyLimits("p1", ("p1", "p2"), TERMS, random.Random(1), 0.0)
    core.set_limit("t", 8)
    return core


def lend(
    core: ConcurrencyLimits, now: float, slots: int, spent: tuple[int, ...] = (), number: int = 1
) -> int:
    grant = core.handle_loan_request(
        now, "p2", Incarnation(1, 1), LoanRequest(number, (LoanItem("t", slots, spent),))
    )
    return sum(one.tokens for one in grant.lent)


def test_an_owner_lends_half_and_gets_it_back_when_freed_or_ended() -> None:
    core, now = open_limits(), 10_000.0
    assert lend(core, now, 100) == 2 and lend(core, now, 100) == 2, "a duplicate request gets the same answer"
    assert lend(core, now, 100, number=2) == 0 and core.free("t", now) == 2
    assert lend(core, now + 1.0, 0, spent=(1,), number=3) == 0 and core.free("t", now + 1.0) == 4
    assert lend(core, now + 2.0, 2, number=4) == 2
    assert (
        core.free("t", now + TERMS.outstanding_ms) == 2
        and core.free("t", now + TERMS.outstanding_ms + 3.0) == 4
    )


def test_a_started_instance_has_only_the_half_that_is_never_lent() -> None:
    core = open_limits()
    assert core.free("t", 1.0) == 2 and lend(core, 1.0, 100) == 0
    assert core.free("t", TERMS.outstanding_ms + 1.0) == 4


def test_shares_add_up_to_the_limit() -> None:
    for limit in (1, 3, 7, 8, 250):
        parts = []
        for name in NAMES:
            core = ConcurrencyLimits(name, NAMES, TERMS, random.Random(1), 0.0)
            core.set_limit("t", limit)
            core.free("t", 0.0)
            parts.append(core.accounts["t"].share)
        assert sum(parts) == limit


def test_a_lowered_limit_keeps_open_requests_and_admits_no_new_ones() -> None:
    core = open_limits()
    now = 10_000.0
    assert all(core.take("t", now) for _ in range(4)) and not core.take("t", now)
    core.set_limit("t", 4)
    core.release("t")
    core.release("t")
    assert not core.take("t", now)
    core.release("t")
    assert core.take("t", now)


Patch = Callable[[pytest.MonkeyPatch], None]


def owner_forgets_loans(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Account, "outstanding", lambda self, now: 0)


def owner_does_not_wait_for_requests_to_end(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SlotTerms, "outstanding_ms", property(lambda self: self.loan_ms))


def share_opens_at_once_after_a_start(patch: pytest.MonkeyPatch) -> None:
    original = ConcurrencyLimits.__init__

    def begin(self: ConcurrencyLimits, *rest: Any) -> None:
        original(self, *rest)
        self.opens_at = rest[-1]

    patch.setattr(ConcurrencyLimits, "__init__", begin)


def own_slot_is_freed_first(patch: pytest.MonkeyPatch) -> None:
    def release(self: ConcurrencyLimits, key: str) -> None:
        account = self.accounts[key]
        if account.own_taken:
            account.own_taken -= 1
        else:
            lots = [lot for many in account.lots.values() for lot in many if lot.taken]
            if lots:
                lots[0].taken -= 1

    patch.setattr(ConcurrencyLimits, "release", release)


def duplicate_request_is_lent_again(patch: pytest.MonkeyPatch) -> None:
    original = Loan.release

    def release(self: Loan, spent: tuple[int, ...]) -> None:
        original(self, spent)
        self.lots.clear()

    patch.setattr(Loan, "release", release)


MUTANTS: tuple[Patch, ...] = (
    owner_forgets_loans,
    owner_does_not_wait_for_requests_to_end,
    share_opens_at_once_after_a_start,
    own_slot_is_freed_first,
    duplicate_request_is_lent_again,
)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_mutant_exceeds_the_limit(mutant: Patch, monkeypatch: pytest.MonkeyPatch) -> None:
    mutant(monkeypatch)
    assert any(run_world(seed, 0.2, 30).most_usable > LIMIT for seed in range(8))


def test_a_grant_from_another_owner_or_after_its_end_is_ignored() -> None:
    core = ConcurrencyLimits("p2", ("p1", "p2"), TERMS, random.Random(1), 0.0)
    core.set_limit("t", 8)
    for _ in range(5):
        core.take("t", 10_000.0)
    core.free("t", 10_000.0)
    ((owner, request),) = core.tick(10_000.0, ["p1"])
    grant = LoanGrant(request.number, (LentTokens("t", 2),))
    core.handle_loan_grant(10_001.0, "p9", grant)
    ((owner, request),) = core.tick(10_050.0, ["p1"])
    core.handle_loan_grant(10_050.0 + TERMS.loan_ms, owner, LoanGrant(request.number, (LentTokens("t", 2),)))
    assert not core.accounts["t"].lots
    ((owner, request),) = core.tick(10_600.0, ["p1"])
    core.handle_loan_grant(
        10_600.0 + TERMS.loan_ms - 1.0, owner, LoanGrant(request.number, (LentTokens("t", 2),))
    )
    assert core.accounts["t"].lots["p1"] == [Lot(10_600.0 + TERMS.loan_ms, request.number, 2)]
