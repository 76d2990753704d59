"""A budget of the whole fleet, in parts that instances own and lend by the token. Pure.

A budget of `rate` and `burst` is cut into equal parts; each part has one owner, by rendezvous over the
roster, and is a token bucket of its own. An owner admits from its bucket whatever it hears, and lends whole
tokens of it to others that ask. A lent token is good until `loan_ms` after it was *asked* for, on the
borrower's clock; the owner counts it as still there until `loan_ms` and the clock_drift allowed after it
*answered*, unless the borrower says that it is spent. In an owner's bucket what is there and what is out
never exceed its part.

So the sum of all tokens that may be used is at most `burst` at any time and grows by at most `rate`: over any
window no more than burst + rate x window is admitted, whatever is lost, doubled, late, cut off, paused or
started again (docs/design/budgets.md has the proof). Times are milliseconds on the caller's clock.
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

TENANTS_A_MESSAGE: Final = 10
SPENT_A_MESSAGE: Final = 8  # lots of one budget
OWNERS_MAX: Final = 8  # parts of a budget: in smaller ones more lies unused
NUMBERS: Final = (1 << 31) - 1
KEPT_PROMISES: Final = 0.6  # of the pace: those who come back fall unevenly on instances
OWNERS_A_TICK: Final = 4  # that are asked; of a large fleet others are next time
MESSAGES_A_TICK: Final = 12  # in all
WHOLE: Final = 1.0 - 1e-9


@dataclass(frozen=True, slots=True)
class TokenTerms:
    """What all instances of a fleet must be set to alike."""

    loan_ms: float = 500.0  # of a lent token, from when it was asked for
    clock_drift: float = 1 / 200  # by which two clocks may differ
    tick_ms: float = 50.0  # between two rounds of asking
    ahead_ms: float = 250.0  # tokens are asked for as many as this long needs
    smooth_ms: float = 300.0  # over which demand is taken
    idle_ms: float = 2_000.0  # after so long without a request nothing is kept for a tenant

    @property
    def outstanding_ms(self) -> float:
        """For how long an owner counts what it lent as there."""
        return self.loan_ms * (1 + self.clock_drift)


@dataclass(frozen=True, slots=True)
class Part:
    """An owner's part of a budget: requests a second, and how many at once."""

    rate: float
    burst: float


def owners(key: str, roster: Sequence[str], burst: float) -> list[str]:
    """Who has a part of a budget, by rendezvous: all, or in a large fleet some, each of a token or more."""
    count = max(min(int(burst), len(roster), OWNERS_MAX), 1)
    if count == len(roster):
        return list(roster)
    return sorted(roster, key=lambda name: hashlib.blake2b(f"{key} {name}".encode(), digest_size=8).digest())[
        :count
    ]


@dataclass(slots=True)
class Loan:
    """What one life of a borrower has of one part: lots by the number of what asked for them, in the order in
    which they end."""

    lots: dict[int, tuple[float, int]] = field(default_factory=dict)  # ends at, tokens

    def out(self, now: float) -> int:
        """Tokens that may still be used, at the most."""
        for number, (ends_at, _) in list(self.lots.items()):
            if ends_at > now:
                break
            del self.lots[number]
        return sum(tokens for _, tokens in self.lots.values())

    def release(self, spent: Iterable[int]) -> None:
        """The borrower says that these lots are used up. By number, since a sum would come off other lots
        where it comes after the end of its own."""
        for number in spent:
            self.lots.pop(number, None)


def out_of(loans: dict[tuple[str, Incarnation], Loan], now: float) -> int:
    """What may still be used of all loans; those of which nothing may are forgotten."""
    total = 0
    for borrower, loan in list(loans.items()):
        out = loan.out(now)
        total += out
        if not out:
            del loans[borrower]
    return total


@dataclass(slots=True)
class Lot:
    """Tokens of one grant."""

    ends_at: float
    tokens: int
    number: int


@dataclass(slots=True)
class Held:
    """What this instance has of an owner's part: lots by when they end, and those that it has used up."""

    lots: list[Lot] = field(default_factory=list)
    spent: dict[int, float] = field(default_factory=dict)  # number -> when the lot would have ended

    def there(self, now: float) -> int:
        while self.lots and self.lots[0].ends_at <= now:
            self.lots.pop(0)
        return sum(lot.tokens for lot in self.lots)

    def add(self, lot: Lot) -> None:
        """Kept in the order of their ends: answers may come out of turn."""
        insort(self.lots, lot, key=lambda one: one.ends_at)

    def spend(self) -> None:
        """Uses one token, of the lot that ends first."""
        first = self.lots[0]
        first.tokens -= 1
        if not first.tokens:
            self.lots.pop(0)
            self.spent[first.number] = first.ends_at

    def report(self, now: float) -> tuple[int, ...]:
        """Lots that are used up and that the owner still counts as out."""
        self.spent = {number: ends_at for number, ends_at in self.spent.items() if ends_at > now}
        return tuple(self.spent)[-SPENT_A_MESSAGE:]


class Account:
    """One budget at one instance: its own part if it has one, what it lent and borrowed, and the demand."""

    __slots__ = (
        "key",
        "owners",
        "rate",
        "burst",
        "part",
        "level",
        "at",
        "loans",
        "held",
        "demand",
        "asked",
        "asked_at",
        "missed",
        "promised",
        "gained",
        "since",
    )

    def __init__(self, key: str, now: float) -> None:
        self.key = key
        self.owners: list[str] = []
        self.rate = self.burst = -1.0
        self.part: Part | None = None
        self.level = 0.0
        self.at = now
        self.loans: dict[tuple[str, Incarnation], Loan] = {}
        self.held: dict[str, Held] = {}
        self.demand = 0.0  # requests a second, of late
        self.asked = 0  # since the last tick
        self.since = now  # when it was asked for first after it was idle
        self.asked_at = -math.inf
        self.missed = 0  # of these, turned away
        self.promised = 0.0
        self.gained = 0.0  # tokens a second that come in, of late

    def state(self, me: str, roster: Sequence[str], rate: float, burst: float) -> None:
        """The budget is this from now on. What is over a lowered part is gone at once."""
        self.rate, self.burst = rate, burst
        self.owners = owners(self.key, roster, burst)
        count = len(self.owners)
        self.part = Part(rate / count, burst / count) if me in self.owners else None

    def out(self, now: float) -> int:
        """LentTokens tokens that may still be used."""
        return out_of(self.loans, now)

    def fill(self, now: float, opens_at: float) -> None:
        """Adds what time has brought. What is there and what is out stay within the part."""
        since, self.at = max(self.at, opens_at), max(now, self.at)
        if self.part is None:
            self.level = 0.0
            return
        if now > since:
            self.level += (now - since) / 1e3 * self.part.rate
        self.level = min(self.level, max(self.part.burst - self.out(now), 0.0))

    def borrowed(self, now: float) -> int:
        return sum(held.there(now) for held in self.held.values())


class Budgets:
    """All budgets at one instance. `started_at`: its own part is counted from when the loans of a former life
    of this name, which this one knows nothing of, have ended."""

    def __init__(
        self, me: str, roster: Iterable[str], terms: TokenTerms, rng: random.Random, started_at: float
    ) -> None:
        self.me, self.roster, self.terms, self.rng = me, tuple(sorted(set(roster))), terms, rng
        self.opens_at = started_at + terms.outstanding_ms
        self.accounts: dict[str, Account] = {}
        self.known: dict[str, tuple[float, float, float]] = {}  # rate, burst, since when
        self.asking: dict[int, tuple[str, float]] = {}  # numbers of what was asked: of whom, and when
        self.number = rng.randrange(NUMBERS)
        self.active_keys: dict[str, None] = {}  # budgets that were asked for since they were last idle
        self.ticked_at = started_at
        self.metrics = {"asked": 0, "lent": 0, "borrowed": 0, "late": 0}

    # -- a request
    def take(self, key: str, now: float, rate: float, burst: float) -> float:
        """Takes one token; else the seconds after which it is worth coming back, at any instance."""
        account = self._account(key, now, rate, burst)
        account.asked += 1
        account.asked_at = now
        if key not in self.active_keys:
            self.active_keys[key] = None
            account.since = now
        if account.level < WHOLE:  # else it was counted before, and nothing takes from it but this
            account.fill(now, self.opens_at)
        if account.level >= WHOLE:
            account.level -= 1.0
            return 0.0
        for held in account.held.values():
            if held.there(now):
                held.spend()
                return 0.0
        account.missed += 1
        return self._promise(account, now)

    def _promise(self, account: Account, now: float) -> float:
        """Those who are turned away get times one after the other, as fast as tokens come here of late, and
        not more in a second than there may be at once: they come in whole seconds, at any instance."""
        own = account.part.rate if account.part is not None else 0.0
        pace = max(own, account.gained, account.rate / len(self.roster), 1e-6)
        pace *= min(1.0, account.burst / account.rate) * KEPT_PROMISES
        account.promised = min(max(now, account.promised) + 1e3 / pace, now + 30_000.0)
        return (account.promised - now) / 1e3

    def _account(self, key: str, now: float, rate: float, burst: float) -> Account:
        account = self.accounts.get(key)
        if account is None:  # what it has not been asked for since it was known has filled its part
            known_rate, known_burst, since = self.known.get(key, (rate, burst, now))
            account = self.accounts[key] = Account(key, since)
            account.state(self.me, self.roster, known_rate, known_burst)
        if account.rate != rate or account.burst != burst:
            account.fill(now, self.opens_at)
            account.state(self.me, self.roster, rate, burst)
            account.fill(now, self.opens_at)
        return account

    def set_limit(self, key: str, now: float, rate: float, burst: float) -> None:
        """A budget as it is set; others may ask for its tokens before anybody asks here. Until somebody does
        it costs a tuple."""
        if key in self.accounts:
            self._account(key, now, rate, burst)
        if self.known.get(key, ())[:2] != (rate, burst):
            self.known[key] = rate, burst, now

    def _known(self, key: str, now: float) -> Account | None:
        """A budget that others ask for; None where it is not known here."""
        account, known = self.accounts.get(key), self.known.get(key)
        if account is None and known is not None:
            account = self._account(key, now, *known[:2])
        return account

    def forget(self, key: str) -> None:
        self.accounts.pop(key, None)
        self.known.pop(key, None)
        self.active_keys.pop(key, None)

    # -- between instances
    def tick(self, now: float, present: Iterable[str]) -> list[tuple[str, LoanRequest]]:
        """What to ask of whom, of those that may be there."""
        before, self.ticked_at = self.ticked_at, now
        there = set(present)
        drawn = set(self.rng.sample(sorted(there), OWNERS_A_TICK)) if len(there) > OWNERS_A_TICK else there
        wanted: dict[str, list[LoanItem]] = {}
        for key in list(self.active_keys):
            account = self.accounts[key]
            self._measure(account, max(now - max(before, account.since), 1.0))
            if now - account.asked_at > self.terms.idle_ms:
                del self.active_keys[key]
                account.demand = account.gained = 0.0
                continue
            for owner, one in self._wants(account, now, there, drawn):
                wanted.setdefault(owner, []).append(one)
        for number in [n for n, (_, at) in self.asking.items() if now - at > self.terms.loan_ms]:
            del self.asking[number]
        messages = [
            (owner, tuple(many[n : n + TENANTS_A_MESSAGE]))
            for owner, many in wanted.items()
            for n in range(0, len(many), TENANTS_A_MESSAGE)
        ]
        if len(messages) > MESSAGES_A_TICK:  # a drawn part now, others next time
            messages = self.rng.sample(messages, MESSAGES_A_TICK)
        return [(owner, self._ask(owner, many, now)) for owner, many in messages]

    def _ask(self, owner: str, many: tuple[LoanItem, ...], now: float) -> LoanRequest:
        self.number = self.number % NUMBERS + 1
        self.asking[self.number] = owner, now
        self.metrics["asked"] += 1
        return LoanRequest(self.number, many)

    def _measure(self, account: Account, span: float) -> None:
        weight = min(span / self.terms.smooth_ms, 1.0)
        account.demand += weight * (account.asked * 1e3 / span - account.demand)
        account.gained += weight * ((account.asked - account.missed) * 1e3 / span - account.gained)
        account.asked = account.missed = 0

    def _wants(
        self, account: Account, now: float, there: set[str], drawn: set[str]
    ) -> list[tuple[str, LoanItem]]:
        """Asks some of the owners that are there for their part of what is lacking; tells each what is used
        up."""
        account.fill(now, self.opens_at)
        own = account.part.rate if account.part is not None else 0.0
        ahead = self.terms.ahead_ms / 1e3
        lacking = account.demand * ahead - account.level - account.borrowed(now) - own * ahead / 2
        others = [name for name in account.owners if name != self.me and name in there]
        if not others:
            return []
        if len(others) > OWNERS_A_TICK:
            others = [name for name in others if name in drawn] or [self.rng.choice(others)]
        if 0 < lacking < len(others):  # no more owners than tokens, and one in case that one has none
            others = self.rng.sample(others, min(math.ceil(lacking) + (lacking > 1), len(others)))
        each = math.ceil(lacking / len(others)) if lacking > 0 else 0
        found = []
        for name in others:
            held = account.held.get(name)
            if each > 0:
                found.append(
                    (name, LoanItem(account.key, each, held.report(now) if held is not None else ()))
                )
        return found

    def handle_loan_request(
        self, now: float, borrower: str, life: Incarnation, want: LoanRequest
    ) -> LoanGrant:
        """What is lent of what is asked for."""
        lent = []
        for one in want.items:
            account = self._known(one.key, now)
            if account is not None and account.part is not None:
                tokens = self._lend(account, now, (borrower, life), want.number, one)
                if tokens:
                    lent.append(LentTokens(one.key, tokens))
        return LoanGrant(want.number, tuple(lent))

    def _lend(
        self, account: Account, now: float, borrower: tuple[str, Incarnation], number: int, one: LoanItem
    ) -> int:
        loan = account.loans.get(borrower)
        if loan is not None:
            loan.release(one.spent)
            if number in loan.lots:  # asked twice
                return loan.lots[number][1]
        account.fill(now, self.opens_at)
        tokens = min(one.tokens, int(account.level - self._kept(account, now) + 1e-9))
        if tokens < 1:
            return 0
        account.level -= tokens
        account.loans.setdefault(borrower, Loan()).lots[number] = now + self.terms.outstanding_ms, tokens
        self.metrics["lent"] += tokens
        return tokens

    def _kept(self, account: Account, now: float) -> float:
        """What an owner keeps for those who ask it: their need ahead, within what its part brings; one token
        for the first to come, where the part has room for more."""
        assert account.part is not None
        first = 1.0 if account.part.burst >= 2.0 else 0.0
        if now - account.asked_at > self.terms.idle_ms:
            return first
        ahead = min(account.demand, account.part.rate) * self.terms.ahead_ms / 1e3
        return max(first, min(ahead, account.part.burst))

    def handle_loan_grant(self, now: float, owner: str, grant: LoanGrant) -> None:
        """What was lent comes; once, of the one that was asked, and for what is left of its time."""
        of, asked_at = self.asking.pop(grant.number, ("", 0.0))
        ends_at = asked_at + self.terms.loan_ms
        if of != owner or now >= ends_at:
            self.metrics["late"] += 1
            return
        for one in grant.lent:
            account = self.accounts.get(one.key)
            if account is None:
                continue
            account.held.setdefault(owner, Held()).add(Lot(ends_at, one.tokens, grant.number))
            self.metrics["borrowed"] += one.tokens

    def usable_tokens(self, key: str, now: float) -> float:
        """Tokens that this instance could use at this moment, for those who check the sum."""
        account = self._known(key, now)
        if account is None:
            return 0.0
        account.fill(now, self.opens_at)
        return account.level + account.borrowed(now)
