"""What an instance knows of its links from its own round trips, and its standing from these alone. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from notchflow.cluster.model import Standing

NEVER = float("-inf")


class Link(Enum):
    """How one other instance is heard."""

    WHOLE = "whole"  # round trips
    DEAF = "one-way"  # it is heard, but does not answer what it is asked: that does not reach it
    CUT = "bridge"  # others reach it, this one does not
    SILENT = "silent"  # nobody is known to reach it


@dataclass(slots=True)
class Contact:
    """When one other was last reached, heard at all, and reached by others in this one's place."""

    acked: float = NEVER  # when what it answered was asked
    heard_at: float = NEVER
    through: float = NEVER
    unanswered: float = NEVER  # when it was first heard after it last answered


class Contacts:
    """Contacts by name over the roster, this instance left out."""

    def __init__(self, me: str, roster: Iterable[str], bound: float) -> None:
        self.bound = bound
        self.by_name = {name: Contact() for name in roster if name != me}

    def heard(self, name: str, now: float) -> None:
        contact = self.by_name.get(name)
        if contact is not None:
            contact.heard_at = now
            if contact.unanswered == NEVER:
                contact.unanswered = now

    def acked(self, name: str, asked_at: float) -> None:
        """A round trip, good from when it was asked for: the answer may have been long on its way."""
        contact = self.by_name.get(name)
        if contact is not None and asked_at > contact.acked:
            contact.acked, contact.unanswered = asked_at, NEVER

    def through(self, name: str, now: float) -> None:
        if name in self.by_name:
            self.by_name[name].through = now

    def reached(self, now: float) -> list[str]:
        return [name for name, contact in self.by_name.items() if now - contact.acked <= self.bound]

    def standing(self, now: float, left: frozenset[str]) -> Standing:
        """`left` are those that said so: of them nothing is expected, but they count in the majority."""
        if not self.by_name:
            return Standing.WHOLE
        reached = self.reached(now)
        if all(name in left for name in self.by_name.keys() - set(reached)):
            more = 2 * (len(reached) + 1) > len(self.by_name) + 1
            return Standing.WHOLE if more else Standing.MINORITY if reached else Standing.ALONE
        if not reached:
            return Standing.ALONE
        return Standing.MAJORITY if 2 * (len(reached) + 1) > len(self.by_name) + 1 else Standing.MINORITY

    def link(self, name: str, now: float, present: bool) -> Link:
        """`present`: others hold it for alive. Before the first bound has passed nothing is known."""
        contact = self.by_name[name]
        if now - contact.acked <= self.bound:
            return Link.WHOLE
        heard_for = contact.heard_at - contact.unanswered if contact.unanswered != NEVER else 0.0
        if now - contact.heard_at <= self.bound and heard_for > self.bound / 2:
            return Link.DEAF
        if present and now - contact.through <= self.bound:
            return Link.CUT
        return Link.SILENT
