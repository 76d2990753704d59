"""The state machine of the watch on discovery's list, free of I/O and of a clock.

A watch is a long poll: a call that discovery answers once there is something newer than the known list, or
when the wait that the call asks for is over. A watch that has become unresponsive looks like one without
news. So each watch is renewed after a while, and the old one is kept until the new one has been answered:
`docs/design/discovery.md` explains the timing.

With lists on request, discovery is one service for all proxies that works off calls in turn, so that each
proxy calls at random times; after a failure the policy decides when to call again. With pushed lists, an
agent on this machine answers at once and at no cost, and a change counts as announced as soon as the agent
has it.
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

# Lists on request. A call that continues a watch asks for the longest wait that discovery allows, as a change
# that an unresponsive watch misses counts as announced only 2 s after the end of its wait. Any other call
# asks for an immediate answer, which proves that discovery is reachable. Renewals are spread over more than
# the 8 s that discovery may need for one call from each proxy.
LONG_WAIT_MS: Final = 60_000
IMMEDIATE_WAIT_MS: Final = 1
CONTINUATION_WINDOW_MS: Final = 150.0  # after an answer; discovery ends the watch after 200 ms
RENEWAL_RANGE_MS: Final = (10_000.0, 30_000.0)  # age at which a watch is renewed
QUEUE_TIMEOUT_MS: Final = 2_000.0  # discovery rejects a call that it cannot accept within this time
QUEUE_MARGIN_MS: Final = 500.0  # on top, until a call for an immediate answer has failed
ANSWER_MARGIN_MS: Final = 1_000.0  # after the wait, until a call has failed
# Pushed lists. A change that an unresponsive watch misses counts as announced 6 s after the watch stopped
# responding; without an open watch, a change counts as soon as the agent has it.
PUSH_WAIT_MS: Final = 2_000
PUSH_MARGIN_MS: Final = 500.0  # after the wait, until a second call is made
MIN_RETRY_MS: Final = 20.0  # after a failure; doubled with each, up to the pause between calls
# In both modes. A change while no call is outstanding may count as announced, so that the pause is a share of
# the drain grace, and short enough for the next call to continue the watch (200 ms after the answer).
PAUSE_GRACE_SHARE: Final = 0.4
MAX_PAUSE_MS: Final = 100.0
REVISION_RESET_MS: Final = 60_000.0  # a lower revision is a stale list for this long, then a reset


class WatchError(Exception):
    """An event for a call that is not outstanding."""


class Phase(Enum):
    """The state of the watch."""

    IDLE = "idle"  # not wanted, or the policy decides when to go on
    RESTING = "resting"  # the next call is scheduled
    WATCHING = "watching"
    RENEWING = "renewing"  # two calls are outstanding: the watch and its replacement


@dataclass(frozen=True, slots=True)
class StartCall:
    """Call discovery for the changes since a revision, or for the complete list if that is none."""

    number: int
    revision: int | None
    wait_ms: int


@dataclass(frozen=True, slots=True)
class CancelCall:
    """Cancel this call and close its connection."""

    number: int


@dataclass(frozen=True, slots=True)
class ApplyList:
    """Apply this list, or these changes."""

    node_list: NodeList
    kind: ListKind


@dataclass(frozen=True, slots=True)
class ReportFailure:
    """A call failed. `watched`: another one is outstanding or is made at once, so that the policy need not
    act."""

    problem: str
    watched: bool


WatchAction: TypeAlias = StartCall | CancelCall | ApplyList | ReportFailure


@dataclass(slots=True)
class PendingCall:
    """An outstanding call."""

    number: int
    begun_at: float
    wait_ms: int
    full_list: bool  # it asks for the complete list: changes are rejected

    @property
    def immediate(self) -> bool:
        """Whether it asks for an immediate answer."""
        return self.wait_ms == IMMEDIATE_WAIT_MS


class ListWatch:
    """The watch of one proxy. Each method takes the time in milliseconds and returns the actions to perform;
    `wake` must be called at `wake_at`."""

    def __init__(self, revision: int | None, on_request: bool, seed: int, rules: Rules) -> None:
        self.revision = revision
        self.on_request = on_request  # lists on request; otherwise pushed by an agent
        self.rules = rules
        self.rng = random.Random(seed)
        self.wanted = False
        self.pending_calls: list[PendingCall] = []  # oldest first
        self.last_call_number = 0
        self.next_at = self.renew_at = inf
        self.retry_ms = MIN_RETRY_MS
        self.last_answer_at: float | None = None  # time of the last answer that was accepted
        self.older_revision_since: float | None = None
        self.needs_full_list = False  # the next call asks for the complete list

    @property
    def pause_ms(self) -> float:
        """The pause between two calls if discovery answers at once, milliseconds."""
        return min(max(PAUSE_GRACE_SHARE * self.rules.drain_grace_ms, MIN_RETRY_MS), MAX_PAUSE_MS)

    @property
    def phase(self) -> Phase:
        """The current state."""
        if self.pending_calls:
            return Phase.WATCHING if len(self.pending_calls) == 1 else Phase.RENEWING
        return Phase.RESTING if self.next_at < inf else Phase.IDLE

    @property
    def wake_at(self) -> float:
        """When `wake` must be called, in milliseconds; infinity if nothing is scheduled."""
        if not self.pending_calls:
            return self.next_at
        return min(self.renew_at, *(self._overdue_at(call) for call in self.pending_calls))

    # -- events
    def set_wanted(self, now: float, on: bool) -> list[WatchAction]:
        """Starts the watch, or ends it after the outstanding answer."""
        self.wanted = on
        return self._start_call(now) if on and self.phase is Phase.IDLE else []

    def configure(self, now: float, on_request: bool, rules: Rules) -> list[WatchAction]:
        """Applies new settings: the mode, and the rules on when a change counts as announced."""
        self.rules = rules
        if on_request == self.on_request:
            return []
        self.on_request = on_request
        if self.pending_calls:
            self.renew_at = self._renewal_at(now, self.pending_calls[-1])
        return [] if on_request else self.set_wanted(now, True)

    def restart(self, now: float) -> list[WatchAction]:
        """Discovery has a new address: cancels the outstanding calls, which the old one will not answer."""
        actions: list[WatchAction] = [CancelCall(call.number) for call in self.pending_calls]
        self.pending_calls.clear()
        self.next_at = inf
        return actions + self.set_wanted(now, True)

    def answered(self, now: float, number: int, node_list: NodeList, empty: bool) -> list[WatchAction]:
        """A call returned a list. `empty`: applying it would remove all known nodes."""
        call = self._remove_call(number)
        problem = "a whole list without members" if empty else self._rejection_reason(now, call, node_list)
        if problem:
            return self._removals_only(node_list) + self._after_failure(now, problem)
        self.revision, self.last_answer_at = node_list.revision, now
        self.needs_full_list = self.needs_full_list and not node_list.complete
        self.retry_ms = MIN_RETRY_MS
        actions: list[WatchAction] = [
            ApplyList(node_list, ListKind.FULL if node_list.complete else ListKind.DELTA)
        ]
        actions.extend(CancelCall(other.number) for other in self.pending_calls)
        self.pending_calls.clear()
        if not self.wanted:
            return actions
        self.next_at = max(now, call.begun_at + self.pause_ms)
        return actions + self.wake(now)

    def failed(self, now: float, number: int, problem: str) -> list[WatchAction]:
        """A call failed."""
        self._remove_call(number)
        return self._after_failure(now, problem)

    def wake(self, now: float) -> list[WatchAction]:
        """Performs what is due."""
        if not self.pending_calls:
            return self._start_call(now) if self.next_at <= now else []
        actions: list[WatchAction] = []
        for call in [c for c in self.pending_calls if self._overdue_at(c) <= now]:
            self._remove_call(call.number)
            actions += [CancelCall(call.number), ReportFailure("no answer", True)]
            if not self.pending_calls:  # discovery rejects what it does not accept, so the connection is dead
                actions.extend(self._start_call(now))
            elif not self.pending_calls[0].immediate:
                self.renew_at = now
        if self.pending_calls and self.renew_at <= now:
            actions.extend(self._renew(now))
        return actions

    # -- calls
    def _start_call(self, now: float) -> list[WatchAction]:
        self.next_at = inf
        if not self.wanted:
            return []
        self.last_call_number += 1
        full_list = self.needs_full_list or self.revision is None
        call = PendingCall(self.last_call_number, now, self._wait_ms(now), full_list)
        self.pending_calls.append(call)
        self.renew_at = self._renewal_at(now, call)
        return [StartCall(call.number, None if full_list else self.revision, call.wait_ms)]

    def _wait_ms(self, now: float) -> int:
        if self.last_answer_at is None:
            return IMMEDIATE_WAIT_MS  # a new process: what an agent has counts as announced at once
        if not self.on_request:
            return PUSH_WAIT_MS
        return (
            LONG_WAIT_MS
            if not self.needs_full_list and now <= self.last_answer_at + CONTINUATION_WINDOW_MS
            else IMMEDIATE_WAIT_MS
        )

    def _renewal_at(self, now: float, call: PendingCall) -> float:
        """When a second call is made beside this one, if it has not been answered by then."""
        if self.on_request:
            return inf if call.immediate else max(now, call.begun_at + self.rng.uniform(*RENEWAL_RANGE_MS))
        return max(now, call.begun_at + call.wait_ms + PUSH_MARGIN_MS)

    def _renew(self, now: float) -> list[WatchAction]:
        if len(self.pending_calls) == 1:
            return self._start_call(now)
        unanswered = self.pending_calls.pop()  # the first is kept: an agent that returns may answer it
        return [CancelCall(unanswered.number), *self._start_call(now)]

    def _overdue_at(self, call: PendingCall) -> float:
        """When a call counts as failed. Never for an agent: one that is cut off from discovery stays silent,
        and may answer later."""
        if not self.on_request:
            return inf
        return (
            call.begun_at
            + call.wait_ms
            + (QUEUE_TIMEOUT_MS + QUEUE_MARGIN_MS if call.immediate else ANSWER_MARGIN_MS)
        )

    def _remove_call(self, number: int) -> PendingCall:
        for call in self.pending_calls:
            if call.number == number:
                self.pending_calls.remove(call)
                return call
        raise WatchError(f"call {number} is not outstanding")

    def _after_failure(self, now: float, problem: str) -> list[WatchAction]:
        retry_ms, self.retry_ms = self.retry_ms, min(2 * self.retry_ms, self.pause_ms)
        if self.pending_calls:
            if not self.on_request:
                self.renew_at = now + retry_ms
            elif not self.pending_calls[0].immediate:
                self.renew_at = now + watch_backoff_ms(self.rng, self.rules)
            return [ReportFailure(problem, True)]
        if self.on_request:  # the policy decides when to call again
            self.wanted = False
        elif self.wanted:
            self.next_at = now + retry_ms
        return [ReportFailure(problem, False)]

    # -- acceptance of lists
    def _rejection_reason(self, now: float, call: PendingCall, node_list: NodeList) -> str:
        """Why a list must not be applied; empty if it may be. An older one would bring back nodes that drain
        or are gone."""
        if call.full_list and not node_list.complete:
            return "changes where the whole list was asked for"
        if self.revision is None or node_list.revision >= self.revision:
            self.older_revision_since = None
            return ""
        if self.older_revision_since is None:
            self.older_revision_since = now
        self.needs_full_list = True
        if node_list.complete and now >= self.older_revision_since + REVISION_RESET_MS:
            self.older_revision_since = None
            return ""  # discovery was reset and counts revisions anew
        return f"revision {node_list.revision} is older than {self.revision}"

    def _removals_only(self, node_list: NodeList) -> list[WatchAction]:
        """Applies only the drains and removals of a rejected list, as they count as announced whatever else
        is wrong with it. The complete list, which is requested next, restores nodes that were removed
        wrongly."""
        removed = tuple(m for m in node_list.members if m.state is not State.READY)
        if not removed:
            return []
        self.needs_full_list = True
        changes = NodeList(node_list.revision, False, removed, node_list.addresses, node_list.names)
        return [ApplyList(changes, ListKind.DELTA)]
