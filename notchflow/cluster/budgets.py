"""Token budgets of the whole fleet, split into shares that instances own and lend by the token. No I/O.

A budget of `rate` and `burst` is split into equal shares; each share has one owner, chosen by rendezvous
hashing over the roster, and is a token bucket of its own. An owner admits from its bucket regardless of
messages, and lends whole tokens to instances that request them. A lent token is usable until `loan_ms` after
it was *requested*, on the borrower's clock; the owner counts it as outstanding until `loan_ms` and the
allowed clock drift after it *answered*, unless the borrower reports it as spent. Available and outstanding
tokens of an owner never exceed its share.

So the sum of all usable tokens is at most `burst` at any time and grows by at most `rate`: over any window no
more than burst + rate x window is admitted, whatever is lost, duplicated, delayed, partitioned, paused or
restarted (proof: docs/design/budgets.md). Times are milliseconds on the caller's clock.
"""

from __future__ import annotations

import hashlib
import math
import random
from bisect import insort
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Final

from notchflow.cluster.messages import LentTokens, LoanGrant, LoanItem, LoanRequest
from notchflow.cluster.model import Incarnation

ITEMS_PER_MESSAGE: Final = 10  # budgets in one request
SPENT_LOTS_PER_ITEM: Final = 8  # spent lots reported for one budget
OWNERS_MAX: Final = 8  # shares of a budget: the smaller they are, the more tokens lie unused
REQUEST_NUMBER_MAX: Final = (1 << 31) - 1
PROMISED_RATE_SHARE: Final = 0.6  # of the admitted rate: retries are spread unevenly over instances
OWNERS_PER_TICK: Final = 4  # owners asked per tick; in a large fleet a random selection each time
MESSAGES_PER_TICK: Final = 12  # to all owners together
WHOLE_TOKEN: Final = 1.0 - 1e-9  # a token, less rounding errors


@dataclass(frozen=True, slots=True)
class TokenTerms:
    """Settings of token loans; all instances of a fleet must have the same."""

    loan_ms: float = 500.0  # lifetime of a lent token, from its request
    clock_drift: float = 1 / 200  # relative rate by which two clocks may differ
    tick_ms: float = 50.0  # between two rounds of requests
    lookahead_ms: float = 250.0  # demand that tokens are requested for in advance
    demand_window_ms: float = 300.0  # smoothing window of the demand
    idle_ms: float = 2_000.0  # without a request for this long a budget reserves nothing here

    @property
    def outstanding_ms(self) -> float:
        """How long an owner counts lent tokens as outstanding."""
        return self.loan_ms * (1 + self.clock_drift)


@dataclass(frozen=True, slots=True)
class Share:
    """An owner's share of a budget: requests per second, and burst."""

    rate: float
    burst: float


def owners(key: str, roster: Sequence[str], burst: float) -> list[str]:
    """Owners of the shares of a budget: the whole roster, or a selection by rendezvous hashing so that each
    share has at least one token."""
    count = max(min(int(burst), len(roster), OWNERS_MAX), 1)
    if count == len(roster):
        return list(roster)
    return sorted(roster, key=lambda name: hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest())[
        :count
    ]


@dataclass(slots=True)
class Loan:
    """What an owner has lent to one incarnation of a borrower: lots by request number, in the order in which
    they end."""

    lots: dict[int, tuple[float, int]] = field(default_factory=dict)  # end (ms), tokens

    def outstanding(self, now: float) -> int:
        """Upper bound of the tokens that the borrower may still use."""
        for number, (ends_at, _) in list(self.lots.items()):
            if ends_at > now:
                break
            del self.lots[number]
        return sum(tokens for _, tokens in self.lots.values())

    def release(self, spent: Iterable[int]) -> None:
        """Removes lots that the borrower reports as spent. They are reported by number: a sum that arrives
        after its lots ended would be taken off other lots."""
        for number in spent:
            self.lots.pop(number, None)


def total_outstanding(loans: dict[tuple[str, Incarnation], Loan], now: float) -> int:
    """Tokens that may still be used of all loans; loans that have ended are removed."""
    total = 0
    for borrower, loan in list(loans.items()):
        outstanding = loan.outstanding(now)
        total += outstanding
        if not outstanding:
            del loans[borrower]
    return total


@dataclass(slots=True)
class Lot:
    """Tokens borrowed with one grant; `number` is that of its request."""

    ends_at: float
    tokens: int
    number: int


@dataclass(slots=True)
class Borrowed:
    """Tokens borrowed from one owner: usable lots by their end, and lots that are spent."""

    lots: list[Lot] = field(default_factory=list)
    spent: dict[int, float] = field(default_factory=dict)  # by request number: when the lot would have ended

    def available(self, now: float) -> int:
        """Usable tokens; lots that have ended are removed."""
        while self.lots and self.lots[0].ends_at <= now:
            self.lots.pop(0)
        return sum(lot.tokens for lot in self.lots)

    def add(self, lot: Lot) -> None:
        """Adds a lot in the order of the ends: grants may arrive out of order."""
        insort(self.lots, lot, key=lambda lot: lot.ends_at)

    def spend(self) -> None:
        """Uses one token of the lot that ends first."""
        lot = self.lots[0]
        lot.tokens -= 1
        if not lot.tokens:
            self.lots.pop(0)
            self.spent[lot.number] = lot.ends_at

    def spent_lots(self, now: float) -> tuple[int, ...]:
        """Request numbers of spent lots that the owner still counts as outstanding."""
        self.spent = {number: ends_at for number, ends_at in self.spent.items() if ends_at > now}
        return tuple(self.spent)[-SPENT_LOTS_PER_ITEM:]


class Account:
    """One budget at one instance: its own share if it has one, its loans, and the demand."""

    __slots__ = (
        "key",
        "owners",
        "rate",
        "burst",
        "share",
        "level",
        "filled_at",
        "loans",
        "borrowed_by_owner",
        "demand",
        "requests",
        "requested_at",
        "shed",
        "promised_until",
        "admitted_rate",
        "active_since",
    )

    def __init__(self, key: str, now: float) -> None:
        self.key = key
        self.owners: list[str] = []
        self.rate = self.burst = -1.0
        self.share: Share | None = None
        self.level = 0.0
        self.filled_at = now
        self.loans: dict[tuple[str, Incarnation], Loan] = {}
        self.borrowed_by_owner: dict[str, Borrowed] = {}
        self.demand = 0.0  # requests per second, smoothed
        self.requests = 0  # since the last tick
        self.active_since = now  # first request after it was idle
        self.requested_at = -math.inf
        self.shed = 0  # of these, rejected
        self.promised_until = 0.0
        self.admitted_rate = 0.0  # requests admitted per second, smoothed

    def set_limit(self, name: str, roster: Sequence[str], rate: float, burst: float) -> None:
        """Sets the budget. Tokens above a lowered share are lost at the next `fill`."""
        self.rate, self.burst = rate, burst
        self.owners = owners(self.key, roster, burst)
        count = len(self.owners)
        self.share = Share(rate / count, burst / count) if name in self.owners else None

    def outstanding(self, now: float) -> int:
        """Lent tokens that may still be used."""
        return total_outstanding(self.loans, now)

    def fill(self, now: float, opens_at: float) -> None:
        """Refills the bucket. Available and outstanding tokens together stay within the share."""
        since, self.filled_at = max(self.filled_at, opens_at), max(now, self.filled_at)
        if self.share is None:
            self.level = 0.0
            return
        if now > since:
            self.level += (now - since) / 1e3 * self.share.rate
        self.level = min(self.level, max(self.share.burst - self.outstanding(now), 0.0))

    def borrowed(self, now: float) -> int:
        """Usable borrowed tokens."""
        return sum(borrowed.available(now) for borrowed in self.borrowed_by_owner.values())


class Budgets:
    """All budgets at one instance.

    Its own shares open `outstanding_ms` after `started_at`: by then loans of an earlier incarnation, which
    this one does not know, have ended.
    """

    def __init__(
        self, name: str, roster: Iterable[str], terms: TokenTerms, rng: random.Random, started_at: float
    ) -> None:
        self.name, self.roster, self.terms, self.rng = name, tuple(sorted(set(roster))), terms, rng
        self.opens_at = started_at + terms.outstanding_ms
        self.accounts: dict[str, Account] = {}
        self.limits: dict[str, tuple[float, float, float]] = {}  # rate, burst, set at
        self.pending: dict[int, tuple[str, float]] = {}  # by request number: owner, sent at
        self.last_number = rng.randrange(REQUEST_NUMBER_MAX)
        self.active_keys: dict[str, None] = {}  # budgets in use, in the order of first use
        self.ticked_at = started_at
        self.metrics = {"asked": 0, "lent": 0, "borrowed": 0, "late": 0}

    # -- a request
    def take(self, key: str, now: float, rate: float, burst: float) -> float:
        """Takes one token: 0, or the seconds after which to retry at any instance."""
        account = self._account(key, now, rate, burst)
        account.requests += 1
        account.requested_at = now
        if key not in self.active_keys:
            self.active_keys[key] = None
            account.active_since = now
        if account.level < WHOLE_TOKEN:  # otherwise no refill is needed for this token
            account.fill(now, self.opens_at)
        if account.level >= WHOLE_TOKEN:
            account.level -= 1.0
            return 0.0
        for borrowed in account.borrowed_by_owner.values():
            if borrowed.available(now):
                borrowed.spend()
                return 0.0
        account.shed += 1
        return self._promise_retry_s(account, now)

    def _promise_retry_s(self, account: Account, now: float) -> float:
        """Seconds until a rejected request may retry. Retry times are spaced by the rate at which requests
        are admitted here, with at most `burst` per second, because clients retry on whole seconds and at any
        instance."""
        own_rate = account.share.rate if account.share is not None else 0.0
        rate_per_s = max(own_rate, account.admitted_rate, account.rate / len(self.roster), 1e-6)
        rate_per_s *= min(1.0, account.burst / account.rate) * PROMISED_RATE_SHARE
        account.promised_until = min(max(now, account.promised_until) + 1e3 / rate_per_s, now + 30_000.0)
        return (account.promised_until - now) / 1e3

    def _account(self, key: str, now: float, rate: float, burst: float) -> Account:
        account = self.accounts.get(key)
        if account is None:  # unused since its limit was set: its share has filled up
            known_rate, known_burst, since = self.limits.get(key, (rate, burst, now))
            account = self.accounts[key] = Account(key, since)
            account.set_limit(self.name, self.roster, known_rate, known_burst)
        if account.rate != rate or account.burst != burst:
            account.fill(now, self.opens_at)
            account.set_limit(self.name, self.roster, rate, burst)
            account.fill(now, self.opens_at)
        return account

    def set_limit(self, key: str, now: float, rate: float, burst: float) -> None:
        """Sets the limit of a budget. Other instances may request its tokens before it is used here; until it
        is used it takes only a tuple."""
        if key in self.accounts:
            self._account(key, now, rate, burst)
        if self.limits.get(key, ())[:2] != (rate, burst):
            self.limits[key] = rate, burst, now

    def _known_account(self, key: str, now: float) -> Account | None:
        """The account of a budget that another instance requests, or None if its limit is unknown here."""
        account, known = self.accounts.get(key), self.limits.get(key)
        if account is None and known is not None:
            account = self._account(key, now, *known[:2])
        return account

    def forget(self, key: str) -> None:
        """Removes a budget."""
        self.accounts.pop(key, None)
        self.limits.pop(key, None)
        self.active_keys.pop(key, None)

    # -- between instances
    def tick(self, now: float, present: Iterable[str]) -> list[tuple[str, LoanRequest]]:
        """Requests to send now, with their receivers, which are among the `present` members."""
        before, self.ticked_at = self.ticked_at, now
        present_names = set(present)
        selected = (
            set(self.rng.sample(sorted(present_names), OWNERS_PER_TICK))
            if len(present_names) > OWNERS_PER_TICK
            else present_names
        )
        items_by_owner: dict[str, list[LoanItem]] = {}
        for key in list(self.active_keys):
            account = self.accounts[key]
            self._update_demand(account, max(now - max(before, account.active_since), 1.0))
            if now - account.requested_at > self.terms.idle_ms:
                del self.active_keys[key]
                account.demand = account.admitted_rate = 0.0
                continue
            for owner, item in self._items_to_request(account, now, present_names, selected):
                items_by_owner.setdefault(owner, []).append(item)
        for number in [n for n, (_, at) in self.pending.items() if now - at > self.terms.loan_ms]:
            del self.pending[number]
        messages = [
            (owner, tuple(items[n : n + ITEMS_PER_MESSAGE]))
            for owner, items in items_by_owner.items()
            for n in range(0, len(items), ITEMS_PER_MESSAGE)
        ]
        if len(messages) > MESSAGES_PER_TICK:  # a random selection; the rest may follow in later ticks
            messages = self.rng.sample(messages, MESSAGES_PER_TICK)
        return [(owner, self._request_loan(owner, items, now)) for owner, items in messages]

    def _request_loan(self, owner: str, items: tuple[LoanItem, ...], now: float) -> LoanRequest:
        self.last_number = self.last_number % REQUEST_NUMBER_MAX + 1
        self.pending[self.last_number] = owner, now
        self.metrics["asked"] += 1
        return LoanRequest(self.last_number, items)

    def _update_demand(self, account: Account, span_ms: float) -> None:
        weight = min(span_ms / self.terms.demand_window_ms, 1.0)
        account.demand += weight * (account.requests * 1e3 / span_ms - account.demand)
        account.admitted_rate += weight * (
            (account.requests - account.shed) * 1e3 / span_ms - account.admitted_rate
        )
        account.requests = account.shed = 0

    def _items_to_request(
        self, account: Account, now: float, present_names: set[str], selected: set[str]
    ) -> list[tuple[str, LoanItem]]:
        """Items to request of present owners: each its part of the missing tokens, with its spent lots."""
        account.fill(now, self.opens_at)
        own_rate = account.share.rate if account.share is not None else 0.0
        lookahead_s = self.terms.lookahead_ms / 1e3
        missing = (
            account.demand * lookahead_s - account.level - account.borrowed(now) - own_rate * lookahead_s / 2
        )
        others = [name for name in account.owners if name != self.name and name in present_names]
        if not others:
            return []
        if len(others) > OWNERS_PER_TICK:
            others = [name for name in others if name in selected] or [self.rng.choice(others)]
        if 0 < missing < len(others):  # no more owners than tokens, and one extra in case one has none
            others = self.rng.sample(others, min(math.ceil(missing) + (missing > 1), len(others)))
        each = math.ceil(missing / len(others)) if missing > 0 else 0
        items = []
        for name in others:
            borrowed = account.borrowed_by_owner.get(name)
            if each > 0:
                items.append(
                    (
                        name,
                        LoanItem(account.key, each, borrowed.spent_lots(now) if borrowed is not None else ()),
                    )
                )
        return items

    def handle_loan_request(
        self, now: float, borrower: str, incarnation: Incarnation, request: LoanRequest
    ) -> LoanGrant:
        """Handles a request: lends what is available."""
        lent = []
        for item in request.items:
            account = self._known_account(item.key, now)
            if account is not None and account.share is not None:
                tokens = self._lend(account, now, (borrower, incarnation), request.number, item)
                if tokens:
                    lent.append(LentTokens(item.key, tokens))
        return LoanGrant(request.number, tuple(lent))

    def _lend(
        self, account: Account, now: float, borrower: tuple[str, Incarnation], number: int, item: LoanItem
    ) -> int:
        loan = account.loans.get(borrower)
        if loan is not None:
            loan.release(item.spent)
            if number in loan.lots:  # a duplicate of this request
                return loan.lots[number][1]
        account.fill(now, self.opens_at)
        tokens = min(item.tokens, int(account.level - self._reserved(account, now) + 1e-9))
        if tokens < 1:
            return 0
        account.level -= tokens
        account.loans.setdefault(borrower, Loan()).lots[number] = now + self.terms.outstanding_ms, tokens
        self.metrics["lent"] += tokens
        return tokens

    def _reserved(self, account: Account, now: float) -> float:
        """Tokens that an owner does not lend: its own demand for the lookahead, as far as its share refills;
        at least one for the next request if the share holds two or more."""
        assert account.share is not None
        least = 1.0 if account.share.burst >= 2.0 else 0.0
        if now - account.requested_at > self.terms.idle_ms:
            return least
        lookahead_s = min(account.demand, account.share.rate) * self.terms.lookahead_ms / 1e3
        return max(least, min(lookahead_s, account.share.burst))

    def handle_loan_grant(self, now: float, owner: str, grant: LoanGrant) -> None:
        """Handles a grant. It counts once, only from the owner that was asked, and until its end."""
        asked_owner, requested_at = self.pending.pop(grant.number, ("", 0.0))
        ends_at = requested_at + self.terms.loan_ms
        if asked_owner != owner or now >= ends_at:
            self.metrics["late"] += 1
            return
        for item in grant.lent:
            account = self.accounts.get(item.key)
            if account is None:
                continue
            account.borrowed_by_owner.setdefault(owner, Borrowed()).add(
                Lot(ends_at, item.tokens, grant.number)
            )
            self.metrics["borrowed"] += item.tokens

    def usable_tokens(self, key: str, now: float) -> float:
        """Tokens that this instance could use now; for checks of the invariant."""
        account = self._known_account(key, now)
        if account is None:
            return 0.0
        account.fill(now, self.opens_at)
        return account.level + account.borrowed(now)
