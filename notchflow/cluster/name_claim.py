"""Ownership of an instance's name: only its newest incarnation accepts requests. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from notchflow.cluster.model import Incarnation, Record


class ClaimState(Enum):
    """State of an instance's claim on its name."""

    JOINING = "joining"  # no member answered yet; a newer incarnation may be known elsewhere
    HOLDING = "holding"
    CONTESTED = "contested"  # a newer incarnation is present; requests are rejected
    LEFT = "left"


class NameClaim:
    """This instance's incarnation and its claim. `draw_nonce` returns a random nonce for an incarnation."""

    def __init__(self, incarnation: Incarnation, draw_nonce: Callable[[], int]) -> None:
        self.incarnation, self.draw_nonce = incarnation, draw_nonce
        self.state = ClaimState.JOINING
        self.rival: Incarnation | None = None

    @property
    def accepts_requests(self) -> bool:
        """Whether requests may be accepted."""
        return self.state is ClaimState.HOLDING

    def complete_join(self) -> bool:
        """Ends joining: a member answered, or the wait is over. True if the claim was still joining."""
        if self.state is not ClaimState.JOINING:
            return False
        self.state = ClaimState.HOLDING
        return True

    def begin_newer_incarnation(self, known: Incarnation) -> None:
        """Begins an incarnation that is newer than a known one."""
        self.incarnation = Incarnation(max(known.epoch, self.incarnation.epoch) + 1, self.draw_nonce())
        self.rival = None
        if self.state is ClaimState.CONTESTED:
            self.state = ClaimState.HOLDING

    def handle_newer_record(self, record: Record) -> bool:
        """Handles a record of this name with a newer incarnation.

        True: this instance began a newer one, because it is still joining or the other is gone. False: the
        other instance holds the name.
        """
        if self.state is ClaimState.LEFT:
            return False
        if self.state is ClaimState.JOINING or not record.present:
            self.begin_newer_incarnation(record.incarnation)
            return True
        self.state, self.rival = ClaimState.CONTESTED, record.incarnation
        return False
