"""The life of the watch on discovery's list, without sockets and without a clock.

A watch is a call that discovery answers once there is something newer than the list that is known, or when
the wait that the call asks for is over. A watch that has fallen silent looks like one with nothing to tell.
So each is opened anew in time, and the old one is kept until the new one stands: `docs/design/discovery.md`
has the times.

Where lists are asked for, discovery is one service for all proxies that works calls through in turn, so that
each proxy asks at moments of its own; after a failure the module says when to ask again. Where they are
pushed, an agent on this machine answers at once and at no cost, and what it has counts as told.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Final, TypeAlias

from notchflow.interface import ListKind, Rules, State
from notchflow.net.node_list import NodeList
from notchflow.policy.balancer import watch_backoff_ms

# Where lists are asked for. A call that continues a watch asks for the longest wait that discovery allows, as
# what a silent one misses counts as told 2 s after its wait. Any other asks to be answered at once: that
# shows for certain that discovery hears it. The moments of all proxies lie over more than the 8 s that
# discovery may need for a call from each.
WAIT_MS: Final = 60_000
SOON_MS: Final = 1
CONTINUES_MS: Final = 150.0  # after an answer; the watch is over 200 ms after it
RENEWAL_RANGE_MS: Final = (10_000.0, 30_000.0)  # when a watch is opened anew, from its beginning
QUEUE_MS: Final = 2_000.0  # discovery turns away by then what it does not take
QUEUE_MARGIN_MS: Final = 500.0  # until a call that was to be answered at once is taken for silent
ANSWER_MARGIN_MS: Final = 1_000.0  # after the longest wait, until a call is taken for silent
# Where an agent pushes them. What a silent watch misses counts as told 6 s after it fell silent; what the
# agent has counts at once where no watch is open.
PUSH_WAIT_MS: Final = 2_000
PUSH_MARGIN_MS: Final = 500.0  # after the wait, until a call is taken for silent
AGAIN_MS: Final = 20.0  # after a failure; doubled with each, as far as a pause may last
# In both ways. What changes while no call is out may count as told, so that a pause lasts a part of a drain's
# grace, and never so long that the watch is over (200 ms after the answer).
PAUSE_SHARE: Final = 0.4
PAUSE_MAX_MS: Final = 100.0
OLDER_MS: Final = 60_000.0  # for so long a lower revision may be a list of long ago


class WatchError(Exception):
    """Something happened to a call that is not out."""


class Phase(Enum):
    """What the watch is doing."""

    IDLE = "idle"  # nothing is wanted, or the module says when to go on
    RESTING = "resting"  # the next call is due at a known time
    WATCHING = "watching"
    RENEWING = "renewing"  # two calls are out: the watch, and the one that is to take its place


@dataclass(frozen=True, slots=True)
class StartCall:
    """Make a call: the changes since a revision, or the whole list where that is none."""

    number: int
    revision: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Wait for this call no longer, and close its connection."""

    number: int


@dataclass(frozen=True, slots=True)
class ApplyList:
    """This list holds from now on."""

    listing: NodeList
    kind: ListKind


@dataclass(frozen=True, slots=True)
class ReportFailure:
    """A call failed. `watched`: another one is out, or is made at once: the module need not decide."""

    problem: str
    watched: bool


WatchAction: TypeAlias = StartCall | CancelCall | ApplyList | ReportFailure


@dataclass(slots=True)
class PendingCall:
    """A call that is out."""

    number: int
    begun_at: float
    wait_ms: int
    whole: bool  # it asks for the whole list: changes are no answer

    @property
    def soon(self) -> bool:
        """Whether it asks to be answered at once."""
        return self.wait_ms == SOON_MS


class ListWatch:
    """One proxy's watch. Each method is told the time, in milliseconds, and answers what to do; `wake` is to
    be called at `wake_at`."""

    def __init__(self, revision: int | None, asked: bool, seed: int, rules: Rules) -> None:
        self.revision = revision
        self.on_request = asked  # lists are asked for; else an agent pushes them
        self.rules = rules
        self.rng = random.Random(seed)
        self.wanted = False
        self.pending_calls: list[PendingCall] = []  # the older first
        self.last_call_number = 0
        self.next_at = self.renew_at = inf
        self.again_ms = AGAIN_MS
        self.heard_at: float | None = None  # when an answer was last taken
        self.older_since: float | None = None
        self.whole = False  # the whole list is wanted next

    @property
    def pause_ms(self) -> float:
        """Between two calls, for a discovery that answers at once."""
        return min(max(PAUSE_SHARE * self.rules.drain_grace_ms, AGAIN_MS), PAUSE_MAX_MS)

    @property
    def phase(self) -> Phase:
        """What the watch does now."""
        if self.pending_calls:
            return Phase.WATCHING if len(self.pending_calls) == 1 else Phase.RENEWING
        return Phase.RESTING if self.next_at < inf else Phase.IDLE

    @property
    def wake_at(self) -> float:
        """When it has to be woken, in milliseconds; infinity where nothing is due."""
        if not self.pending_calls:
            return self.next_at
        return min(self.renew_at, *(self._overdue_at(out) for out in self.pending_calls))

    # -- what happens
    def set_wanted(self, now: float, on: bool) -> list[WatchAction]:
        """The list is to be followed from now on, or not after the answer that is out."""
        self.wanted = on
        return self._call(now) if on and self.phase is Phase.IDLE else []

    def mode(self, now: float, asked: bool, rules: Rules) -> list[WatchAction]:
        """The settings are others: how lists come, and when they count as told."""
        self.rules = rules
        if asked == self.on_request:
            return []
        self.on_request = asked
        if self.pending_calls:
            self.renew_at = self._renewal_at(now, self.pending_calls[-1])
        return [] if asked else self.set_wanted(now, True)

    def restart(self, now: float) -> list[WatchAction]:
        """Discovery is elsewhere: the old one tells nothing any more, and must not be waited for."""
        actions: list[WatchAction] = [CancelCall(out.number) for out in self.pending_calls]
        self.pending_calls.clear()
        self.next_at = inf
        return actions + self.set_wanted(now, True)

    def answered(self, now: float, number: int, listing: NodeList, empty: bool) -> list[WatchAction]:
        """A call brought a list. `empty`: nothing would be left of the list that is known."""
        out = self._ended(number)
        problem = "a whole list without members" if empty else self._rejection_reason(now, out, listing)
        if problem:
            return self._withdrawn(listing) + self._after_failure(now, problem)
        self.revision, self.heard_at = listing.revision, now
        self.whole = self.whole and not listing.complete
        self.again_ms = AGAIN_MS
        actions: list[WatchAction] = [
            ApplyList(listing, ListKind.FULL if listing.complete else ListKind.DELTA)
        ]
        actions.extend(CancelCall(other.number) for other in self.pending_calls)
        self.pending_calls.clear()
        if not self.wanted:
            return actions
        self.next_at = max(now, out.begun_at + self.pause_ms)
        return actions + self.wake(now)

    def failed(self, now: float, number: int, problem: str) -> list[WatchAction]:
        """A call ended without a list."""
        self._ended(number)
        return self._after_failure(now, problem)

    def wake(self, now: float) -> list[WatchAction]:
        """Whatever is due by now."""
        if not self.pending_calls:
            return self._call(now) if self.next_at <= now else []
        actions: list[WatchAction] = []
        for out in [o for o in self.pending_calls if self._overdue_at(o) <= now]:
            self._ended(out.number)
            actions += [CancelCall(out.number), ReportFailure("no answer", True)]
            if (
                not self.pending_calls
            ):  # what discovery does not take it turns away: here a connection broke unseen
                actions.extend(self._call(now))
            elif not self.pending_calls[0].soon:
                self.renew_at = now
        if self.pending_calls and self.renew_at <= now:
            actions.extend(self._renew(now))
        return actions

    # -- what follows
    def _call(self, now: float) -> list[WatchAction]:
        self.next_at = inf
        if not self.wanted:
            return []
        self.last_call_number += 1
        whole = self.whole or self.revision is None
        out = PendingCall(self.last_call_number, now, self._wait_ms(now), whole)
        self.pending_calls.append(out)
        self.renew_at = self._renewal_at(now, out)
        return [StartCall(out.number, None if whole else self.revision, out.wait_ms)]

    def _wait_ms(self, now: float) -> int:
        if self.heard_at is None:
            return SOON_MS  # of a new process, to which what an agent has counts from the first moment
        if not self.on_request:
            return PUSH_WAIT_MS
        return WAIT_MS if not self.whole and now <= self.heard_at + CONTINUES_MS else SOON_MS

    def _renewal_at(self, now: float, out: PendingCall) -> float:
        """When the call is to be followed by one more, if it has told nothing by then."""
        if self.on_request:
            return inf if out.soon else max(now, out.begun_at + self.rng.uniform(*RENEWAL_RANGE_MS))
        return max(now, out.begun_at + out.wait_ms + PUSH_MARGIN_MS)

    def _renew(self, now: float) -> list[WatchAction]:
        if len(self.pending_calls) == 1:
            return self._call(now)
        silent = (
            self.pending_calls.pop()
        )  # as silent as the first, which an agent that is back may still answer
        return [CancelCall(silent.number), *self._call(now)]

    def _overdue_at(self, out: PendingCall) -> float:
        """When a call counts as failed. An agent that hears nothing is silent, and may answer later."""
        if not self.on_request:
            return inf
        return out.begun_at + out.wait_ms + (QUEUE_MS + QUEUE_MARGIN_MS if out.soon else ANSWER_MARGIN_MS)

    def _ended(self, number: int) -> PendingCall:
        for out in self.pending_calls:
            if out.number == number:
                self.pending_calls.remove(out)
                return out
        raise WatchError(f"call {number} is not out")

    def _after_failure(self, now: float, problem: str) -> list[WatchAction]:
        again, self.again_ms = self.again_ms, min(2 * self.again_ms, self.pause_ms)
        if self.pending_calls:
            if not self.on_request:
                self.renew_at = now + again
            elif not self.pending_calls[0].soon:
                self.renew_at = now + watch_backoff_ms(self.rng, self.rules)
            return [ReportFailure(problem, True)]
        if self.on_request:  # the module says when
            self.wanted = False
        elif self.wanted:
            self.next_at = now + again
        return [ReportFailure(problem, False)]

    # -- which lists are accepted
    def _rejection_reason(self, now: float, out: PendingCall, listing: NodeList) -> str:
        """Why a list must not be applied: an older one would bring back nodes that drain or are gone."""
        if out.whole and not listing.complete:
            return "changes where the whole list was asked for"
        if self.revision is None or listing.revision >= self.revision:
            self.older_since = None
            return ""
        if self.older_since is None:
            self.older_since = now
        self.whole = True
        if listing.complete and now >= self.older_since + OLDER_MS:
            self.older_since = None
            return ""  # revisions began anew
        return f"revision {listing.revision} is older than {self.revision}"

    def _withdrawn(self, listing: NodeList) -> list[WatchAction]:
        """What a list that is not accepted takes away: it was told, whatever else is wrong with it. The whole
        list, which is asked for next, brings back what was taken away wrongly."""
        away = tuple(m for m in listing.members if m.state is not State.READY)
        if not away:
            return []
        self.whole = True
        changes = NodeList(listing.revision, False, away, listing.addresses, listing.names)
        return [ApplyList(changes, ListKind.DELTA)]
