"""Concurrency limits of the whole fleet, split into shares of slots that instances own and lend. No I/O.

As a token budget (`budgets.py`), but a slot is returned when its request ends, not by time. An owner lends at
most half of its share, so that it can use the other half regardless of messages. A lent slot may be taken
until `loan_ms` after it was requested, on the borrower's clock, and is held for at most `hold_ms`, the
longest time that a request may be open. The owner counts it as outstanding until both times and the allowed
clock drift have passed after it answered, or until the borrower reports, by the number of the grant, that it
is free again.

Slots are interchangeable: a request that ends frees the borrowed slot that the owner takes back first. Every
request that was open when a lot could last be taken from has ended `hold_ms` later, so the lot is free by
then. (An instance that is paused keeps its slots until it continues; it serves no requests with them.)
"""

from __future__ import annotations

import math
import random
from bisect import insort
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from notchflow.cluster.budgets import (
    OWNERS_PER_TICK,
    REQUEST_NUMBER_MAX,
    SPENT_LOTS_PER_ITEM,
    Loan,
    owners,
    total_outstanding,
)
from notchflow.cluster.messages import LentTokens, LoanGrant, LoanItem, LoanRequest
from notchflow.cluster.model import Incarnation

GROWTH_THRESHOLD: Final = 0.75  # share of slots in use above which more are requested
GROWTH_SHARE: Final = 0.5  # number of slots to request, relative to those in use
IDLE_MS: Final = 2_000.0  # without a request for this long a limit is idle


@dataclass(frozen=True, slots=True)
class SlotTerms:
    """Settings of slot loans; all instances of a fleet must have the same."""

    hold_ms: float  # the longest time that a request holds a slot
    loan_ms: float = 500.0  # how long a lent slot may be taken, from its request
    clock_drift: float = 1 / 200  # relative rate by which two clocks may differ

    @property
    def outstanding_ms(self) -> float:
        """How long an owner counts lent slots as outstanding."""
        return (self.loan_ms + self.hold_ms) * (1 + self.clock_drift)


@dataclass(slots=True)
class Lot:
    """Slots borrowed with one grant; free ones may be taken until `ends_at`."""

    ends_at: float
    number: int
    free: int
    taken: int = 0


@dataclass(slots=True)
class Account:
    """One concurrency limit at one instance."""

    limit: int = -1
    share: int = 0
    owners: list[str] = field(default_factory=list)
    own_taken: int = 0  # slots of its own share in use here
    loans: dict[tuple[str, Incarnation], Loan] = field(default_factory=dict)
    lots: dict[str, list[Lot]] = field(default_factory=dict)  # by owner, in the order of their ends
    freed: dict[str, dict[int, float]] = field(
        default_factory=dict
    )  # by owner: numbers of lots to return, with the time until which
    shed: int = 0
    requested_at: float = -math.inf

    def set_limit(self, key: str, name: str, roster: Sequence[str], limit: int) -> None:
        """Sets the limit. The remainder of its division goes to the first owners."""
        self.limit = limit
        self.owners = owners(key, roster, float(limit))
        count = len(self.owners)
        index = self.owners.index(name) if name in self.owners else -1
        self.share = limit // count + (index < limit % count) if index >= 0 else 0

    def outstanding(self, now: float) -> int:
        """Lent slots that may still be in use."""
        return total_outstanding(self.loans, now)

    @property
    def taken(self) -> int:
        """Slots in use here, own and borrowed."""
        return self.own_taken + sum(lot.taken for lots in self.lots.values() for lot in lots)


class ConcurrencyLimits:
    """All concurrency limits at one instance."""

    def __init__(
        self, name: str, roster: Iterable[str], terms: SlotTerms, rng: random.Random, started_at: float
    ) -> None:
        self.name, self.roster, self.terms, self.rng = name, tuple(sorted(set(roster))), terms, rng
        # Until then half of each share may still be lent by an earlier incarnation.
        self.opens_at = started_at + terms.outstanding_ms
        self.accounts: dict[str, Account] = {}
        self.limits: dict[str, int] = {}
        self.pending: dict[int, tuple[str, float]] = {}
        self.last_number = rng.randrange(REQUEST_NUMBER_MAX)
        self.active_keys: dict[str, None] = {}

    def set_limit(self, key: str, limit: int) -> None:
        """Sets a limit of the whole fleet."""
        self.limits[key] = limit
        if key in self.accounts:
            self.accounts[key].set_limit(key, self.name, self.roster, limit)

    def forget(self, key: str) -> None:
        """Removes a limit."""
        self.limits.pop(key, None)
        self.accounts.pop(key, None)
        self.active_keys.pop(key, None)

    def _account(self, key: str) -> Account | None:
        account = self.accounts.get(key)
        if account is None and key in self.limits:
            account = self.accounts[key] = Account()
            account.set_limit(key, self.name, self.roster, self.limits[key])
        return account

    # -- a request
    def free(self, key: str, now: float) -> int:
        """Slots that may be taken now."""
        account = self._account(key)
        if account is None:
            return 0
        account.requested_at = now
        self.active_keys[key] = None
        free = self._free(account, now)
        if free < 1:
            account.shed += 1
        return free

    def _free(self, account: Account, now: float) -> int:
        """Own and borrowed slots that are free."""
        borrowed = sum(lot.free for lots in account.lots.values() for lot in lots if lot.ends_at > now)
        return self._free_own(account, now) + borrowed

    def _free_own(self, account: Account, now: float) -> int:
        open_slots = account.share if now >= self.opens_at else account.share - account.share // 2
        return max(open_slots - account.own_taken - account.outstanding(now), 0)

    def take(self, key: str, now: float) -> bool:
        """Takes a slot, a borrowed one first since its time is short. False if none is free."""
        account = self._account(key)
        if account is None:
            return False
        for lots in account.lots.values():
            for lot in lots:
                if lot.ends_at > now and lot.free:
                    lot.free -= 1
                    lot.taken += 1
                    return True
        if self._free_own(account, now) < 1:
            return False
        account.own_taken += 1
        return True

    def release(self, key: str) -> None:
        """Frees a slot: of the borrowed ones that which ends first, else an own one."""
        account = self.accounts.get(key)
        if account is None:
            return
        taken = [lot for lots in account.lots.values() for lot in lots if lot.taken]
        if taken:
            min(taken, key=lambda lot: lot.ends_at).taken -= 1
        elif account.own_taken:
            account.own_taken -= 1

    # -- between instances
    def tick(self, now: float, present: Iterable[str]) -> list[tuple[str, LoanRequest]]:
        """Requests to send now, with their receivers; they also report slots that are free again."""
        present_names = sorted(set(present))
        items_by_owner: dict[str, list[LoanItem]] = {}
        for key in list(self.active_keys):
            account = self.accounts[key]
            self._return_lots(account, now)
            needed = self._slots_needed(account, now)
            idle = now - account.requested_at > IDLE_MS and not account.taken
            for owner, tokens in self._owners_to_ask(account, present_names, needed):
                spent = tuple(account.freed.get(owner, ()))[-SPENT_LOTS_PER_ITEM:]
                if tokens or spent:
                    items_by_owner.setdefault(owner, []).append(LoanItem(key, tokens, spent))
            if idle and not any(account.freed.values()):
                del self.active_keys[key]
        self.pending = {n: sent for n, sent in self.pending.items() if now - sent[1] <= self.terms.loan_ms}
        requests = []
        for owner, items in items_by_owner.items():
            self.last_number = self.last_number % REQUEST_NUMBER_MAX + 1
            self.pending[self.last_number] = owner, now
            requests.append((owner, LoanRequest(self.last_number, tuple(items[:10]))))
        return requests

    def _return_lots(self, account: Account, now: float) -> None:
        """Queues lots for return that have no slot in use and none left to take."""
        for owner, lots in account.lots.items():
            freed = account.freed.setdefault(owner, {})
            for lot in lots:
                if not lot.taken and (lot.ends_at <= now or not lot.free):
                    freed[lot.number] = lot.ends_at + self.terms.hold_ms
            lots[:] = [lot for lot in lots if lot.number not in freed]
            account.freed[owner] = {number: ends_at for number, ends_at in freed.items() if ends_at > now}

    def _slots_needed(self, account: Account, now: float) -> int:
        """How many more slots to request: some if most are in use or requests were rejected."""
        shed, account.shed = account.shed, 0
        taken = account.taken
        free = self._free(account, now)
        if not shed and taken < GROWTH_THRESHOLD * (taken + free):
            return 0
        return max(math.ceil(GROWTH_SHARE * taken) + shed - free, 0)

    def _owners_to_ask(
        self, account: Account, present_names: list[str], needed: int
    ) -> list[tuple[str, int]]:
        """Present owners with the number of slots to request of each; 0 for those that only get reports."""
        others = [name for name in account.owners if name != self.name and name in present_names]
        selected = self.rng.sample(others, min(OWNERS_PER_TICK, len(others), max(needed, 0)))
        each = math.ceil(needed / len(selected)) if selected else 0
        return [(name, each if name in selected else 0) for name in others]

    def handle_loan_request(
        self, now: float, borrower: str, incarnation: Incarnation, request: LoanRequest
    ) -> LoanGrant:
        """Handles a request: lends free slots, and takes back those reported as free."""
        lent = []
        for item in request.items:
            account = self._account(item.key)
            if account is None or not account.share:
                continue
            loan = account.loans.get((borrower, incarnation))
            if loan is not None:
                loan.release(item.spent)
                if request.number in loan.lots:  # a duplicate of this request
                    lent.append(LentTokens(item.key, loan.lots[request.number][1]))
                    continue
            outstanding = account.outstanding(now)
            slots = min(
                item.tokens, account.share // 2 - outstanding, account.share - account.own_taken - outstanding
            )
            if now >= self.opens_at and slots > 0:
                account.loans.setdefault((borrower, incarnation), Loan()).lots[request.number] = (
                    now + self.terms.outstanding_ms,
                    slots,
                )
                lent.append(LentTokens(item.key, slots))
        return LoanGrant(request.number, tuple(lent))

    def handle_loan_grant(self, now: float, owner: str, grant: LoanGrant) -> None:
        """Handles a grant. It counts once, only from the owner that was asked, and until its end."""
        asked_owner, requested_at = self.pending.pop(grant.number, ("", 0.0))
        ends_at = requested_at + self.terms.loan_ms
        if asked_owner != owner or now >= ends_at:
            return
        for item in grant.lent:
            account = self._account(item.key)
            if account is not None:
                insort(
                    account.lots.setdefault(owner, []),
                    Lot(ends_at, grant.number, item.tokens),
                    key=lambda lot: lot.ends_at,
                )

    def usable_slots(self, key: str, now: float) -> int:
        """Slots in use here or free to be taken; for checks of the invariant."""
        account = self._account(key)
        if account is None:
            return 0
        return account.taken + self._free(account, now)
