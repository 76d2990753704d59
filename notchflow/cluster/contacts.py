"""Reachability of the other members, and the standing, from this instance's own round trips. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from notchflow.cluster.model import Standing

NEVER = float("-inf")


class Link(Enum):
    """State of the link to another member."""

    WHOLE = "whole"  # round trips succeed
    ONE_WAY = "one-way"  # its messages arrive, but it does not answer: ours do not reach it
    BRIDGE = "bridge"  # other members reach it, this instance does not
    SILENT = "silent"  # no member is known to reach it


@dataclass(slots=True)
class Contact:
    """Times of the last contacts with another member (ms)."""

    round_trip_at: float = NEVER  # when the last probe that it acked was sent
    heard_at: float = NEVER  # any message
    reached_indirectly_at: float = NEVER  # ack through another member
    unanswered_since: float = NEVER  # first message after its last ack


class Contacts:
    """Contacts with all other members of the roster, by name."""

    def __init__(self, own_name: str, roster: Iterable[str], bound_ms: float) -> None:
        self.bound_ms = bound_ms
        self.by_name = {name: Contact() for name in roster if name != own_name}

    def record_heard(self, name: str, now: float) -> None:
        """Records any message from a member."""
        contact = self.by_name.get(name)
        if contact is not None:
            contact.heard_at = now
            if contact.unanswered_since == NEVER:
                contact.unanswered_since = now

    def record_ack(self, name: str, sent_at: float) -> None:
        """Records a round trip as of when the probe was sent: the ack may have been delayed."""
        contact = self.by_name.get(name)
        if contact is not None and sent_at > contact.round_trip_at:
            contact.round_trip_at, contact.unanswered_since = sent_at, NEVER

    def record_indirect_ack(self, name: str, now: float) -> None:
        """Records that another member got an ack from this one."""
        if name in self.by_name:
            self.by_name[name].reached_indirectly_at = now

    def reached(self, now: float) -> list[str]:
        """Names of members with a round trip within the contact bound."""
        return [
            name for name, contact in self.by_name.items() if now - contact.round_trip_at <= self.bound_ms
        ]

    def standing(self, now: float, left: frozenset[str]) -> Standing:
        """The standing. Members that `left` are not expected to answer, but count for the majority."""
        if not self.by_name:
            return Standing.WHOLE
        reached = self.reached(now)
        if all(name in left for name in self.by_name.keys() - set(reached)):
            majority = 2 * (len(reached) + 1) > len(self.by_name) + 1
            return Standing.WHOLE if majority else Standing.MINORITY if reached else Standing.ALONE
        if not reached:
            return Standing.ALONE
        return Standing.MAJORITY if 2 * (len(reached) + 1) > len(self.by_name) + 1 else Standing.MINORITY

    def link(self, name: str, now: float, present: bool) -> Link:
        """State of the link to a member; `present`: it is held alive. Meaningful only once a contact bound
        has passed since the start."""
        contact = self.by_name[name]
        if now - contact.round_trip_at <= self.bound_ms:
            return Link.WHOLE
        heard_for_ms = (
            contact.heard_at - contact.unanswered_since if contact.unanswered_since != NEVER else 0.0
        )
        if now - contact.heard_at <= self.bound_ms and heard_for_ms > self.bound_ms / 2:
            return Link.ONE_WAY
        if present and now - contact.reached_indirectly_at <= self.bound_ms:
            return Link.BRIDGE
        return Link.SILENT
