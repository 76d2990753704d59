"""A bound on what the whole fleet has in hand, in parts that instances own and lend by the place. Pure.

As a budget (`budgets.py`), but a place comes back when what it was taken for is over, not by time. An owner
lends at most half of its part, so that an instance has the other half whatever it hears. A lent place may be
taken until `loan_ms` after it was asked for, by the borrower's clock, and is held for `hold_ms` at the
longest, which is how long a request may be in hand; the owner counts it as out until both have passed, and
the clock drift allowed, after it answered, or until the borrower says by the grant's number that it is
free again.

Places are alike: what ends frees the borrowed place that the owner takes back first. Of all that were in hand
when a lot could be taken from for the last time each has ended `hold_ms` later: by then the lot is free. (An
instance that is stopped holds what it had until it goes on: nobody is served of it.)
"""

from __future__ import annotations

import math
import random
from bisect import insort
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from notchflow.cluster.budgets import NUMBERS, OWNERS_A_TICK, SPENT_A_MESSAGE, Loan, out_of, owners
from notchflow.cluster.messages import LentTokens, LoanGrant, LoanItem, LoanRequest
from notchflow.cluster.model import Incarnation

FULL: Final = 0.75  # of the places there are: from here on more are asked for
MORE: Final = 0.5  # of those taken, so many more
IDLE_MS: Final = 2_000.0


@dataclass(frozen=True, slots=True)
class SlotTerms:
    """What all instances must be set to alike."""

    hold_ms: float
    loan_ms: float = 500.0
    clock_drift: float = 1 / 200

    @property
    def outstanding_ms(self) -> float:
        """For how long an owner counts what it lent as out."""
        return (self.loan_ms + self.hold_ms) * (1 + self.clock_drift)


@dataclass(slots=True)
class Lot:
    """Places of one grant: free ones until `until`, and those taken."""

    until: float
    number: int
    free: int
    taken: int = 0


@dataclass(slots=True)
class Account:
    """One bound at one instance."""

    limit: int = -1
    part: int = 0
    owners: list[str] = field(default_factory=list)
    own: int = 0  # of its part, taken here
    loans: dict[tuple[str, Incarnation], Loan] = field(default_factory=dict)
    lots: dict[str, list[Lot]] = field(default_factory=dict)  # by owner, by when they end
    done: dict[str, dict[int, float]] = field(default_factory=dict)  # by owner: numbers to tell, until when
    missed: int = 0
    asked_at: float = -math.inf

    def state(self, key: str, me: str, roster: Sequence[str], limit: int) -> None:
        """Whole places; of a limit that cannot be divided the first owners have one more."""
        self.limit = limit
        self.owners = owners(key, roster, float(limit))
        count = len(self.owners)
        mine = self.owners.index(me) if me in self.owners else -1
        self.part = limit // count + (mine < limit % count) if mine >= 0 else 0

    def out(self, now: float) -> int:
        return out_of(self.loans, now)

    @property
    def taken(self) -> int:
        return self.own + sum(lot.taken for lots in self.lots.values() for lot in lots)


class ConcurrencyLimits:
    """All bounds at one instance."""

    def __init__(
        self, me: str, roster: Iterable[str], terms: SlotTerms, rng: random.Random, started_at: float
    ) -> None:
        self.me, self.roster, self.terms, self.rng = me, tuple(sorted(set(roster))), terms, rng
        self.opens_at = (
            started_at + terms.outstanding_ms
        )  # till then half of each part may be out of a former life
        self.accounts: dict[str, Account] = {}
        self.known: dict[str, int] = {}
        self.asking: dict[int, tuple[str, float]] = {}
        self.number = rng.randrange(NUMBERS)
        self.active_keys: dict[str, None] = {}

    def set_limit(self, key: str, limit: int) -> None:
        self.known[key] = limit
        if key in self.accounts:
            self.accounts[key].state(key, self.me, self.roster, limit)

    def forget(self, key: str) -> None:
        self.known.pop(key, None)
        self.accounts.pop(key, None)
        self.active_keys.pop(key, None)

    def _account(self, key: str) -> Account | None:
        account = self.accounts.get(key)
        if account is None and key in self.known:
            account = self.accounts[key] = Account()
            account.state(key, self.me, self.roster, self.known[key])
        return account

    # -- a request
    def free(self, key: str, now: float) -> int:
        """Places that may be taken now."""
        account = self._account(key)
        if account is None:
            return 0
        account.asked_at = now
        self.active_keys[key] = None
        there = self._free(account, now)
        if there < 1:
            account.missed += 1
        return there

    def _free(self, account: Account, now: float) -> int:
        """Own and borrowed places that are free."""
        borrowed = sum(lot.free for lots in account.lots.values() for lot in lots if lot.until > now)
        return self._own_free(account, now) + borrowed

    def _own_free(self, account: Account, now: float) -> int:
        whole = account.part if now >= self.opens_at else account.part - account.part // 2
        return max(whole - account.own - account.out(now), 0)

    def take(self, key: str, now: float) -> bool:
        """Takes a place: a borrowed one first, as it may be taken for a short time alone."""
        account = self._account(key)
        if account is None:
            return False
        for lots in account.lots.values():
            for lot in lots:
                if lot.until > now and lot.free:
                    lot.free -= 1
                    lot.taken += 1
                    return True
        if self._own_free(account, now) < 1:
            return False
        account.own += 1
        return True

    def release(self, key: str) -> None:
        """What a place was taken for is over. It is the borrowed place that ends first which is free then."""
        account = self.accounts.get(key)
        if account is None:
            return
        taken = [lot for lots in account.lots.values() for lot in lots if lot.taken]
        if taken:
            min(taken, key=lambda lot: lot.until).taken -= 1
        elif account.own:
            account.own -= 1

    # -- between instances
    def tick(self, now: float, present: Iterable[str]) -> list[tuple[str, LoanRequest]]:
        """What to ask of whom; and who is told that places are free again."""
        there = sorted(set(present))
        wanted: dict[str, list[LoanItem]] = {}
        for key in list(self.active_keys):
            account = self.accounts[key]
            self._clear(account, now)
            need = self._need(account, now)
            idle = now - account.asked_at > IDLE_MS and not account.taken
            for owner, tokens in self._askable(account, there, need):
                spent = tuple(account.done.get(owner, ()))[-SPENT_A_MESSAGE:]
                if tokens or spent:
                    wanted.setdefault(owner, []).append(LoanItem(key, tokens, spent))
            if idle and not any(account.done.values()):
                del self.active_keys[key]
        self.asking = {n: asked for n, asked in self.asking.items() if now - asked[1] <= self.terms.loan_ms}
        found = []
        for owner, many in wanted.items():
            self.number = self.number % NUMBERS + 1
            self.asking[self.number] = owner, now
            found.append((owner, LoanRequest(self.number, tuple(many[:10]))))
        return found

    def _clear(self, account: Account, now: float) -> None:
        """Lots that nothing is held of, and that can be taken from no more, go back to their owners."""
        for owner, lots in account.lots.items():
            done = account.done.setdefault(owner, {})
            for lot in lots:
                if not lot.taken and (lot.until <= now or not lot.free):
                    done[lot.number] = lot.until + self.terms.hold_ms
            lots[:] = [lot for lot in lots if lot.number not in done]
            account.done[owner] = {number: until for number, until in done.items() if until > now}

    def _need(self, account: Account, now: float) -> int:
        """How many more places are asked for: where most of those that there are have been taken."""
        missed, account.missed = account.missed, 0
        taken = account.taken
        free = self._free(account, now)
        if not missed and taken < FULL * (taken + free):
            return 0
        return max(math.ceil(MORE * taken) + missed - free, 0)

    def _askable(self, account: Account, there: list[str], need: int) -> list[tuple[str, int]]:
        """Whom to ask for how many; those that have something to be told are asked in any case."""
        others = [name for name in account.owners if name != self.me and name in there]
        drawn = self.rng.sample(others, min(OWNERS_A_TICK, len(others), max(need, 0)))
        each = math.ceil(need / len(drawn)) if drawn else 0
        return [(name, each if name in drawn else 0) for name in others]

    def handle_loan_request(
        self, now: float, borrower: str, life: Incarnation, want: LoanRequest
    ) -> LoanGrant:
        """What is lent of what is asked for; what is said to be free again comes back."""
        lent = []
        for one in want.items:
            account = self._account(one.key)
            if account is None or not account.part:
                continue
            loan = account.loans.get((borrower, life))
            if loan is not None:
                loan.release(one.spent)
                if want.number in loan.lots:  # asked twice
                    lent.append(LentTokens(one.key, loan.lots[want.number][1]))
                    continue
            out = account.out(now)
            places = min(one.tokens, account.part // 2 - out, account.part - account.own - out)
            if now >= self.opens_at and places > 0:
                account.loans.setdefault((borrower, life), Loan()).lots[want.number] = (
                    now + self.terms.outstanding_ms,
                    places,
                )
                lent.append(LentTokens(one.key, places))
        return LoanGrant(want.number, tuple(lent))

    def handle_loan_grant(self, now: float, owner: str, grant: LoanGrant) -> None:
        of, asked_at = self.asking.pop(grant.number, ("", 0.0))
        until = asked_at + self.terms.loan_ms
        if of != owner or now >= until:
            return
        for one in grant.lent:
            account = self._account(one.key)
            if account is not None:
                insort(
                    account.lots.setdefault(owner, []),
                    Lot(until, grant.number, one.tokens),
                    key=lambda lot: lot.until,
                )

    def usable_slots(self, key: str, now: float) -> int:
        """Places taken here, or that could be, for those who check the sum."""
        account = self._account(key)
        if account is None:
            return 0
        return account.taken + self._free(account, now)
