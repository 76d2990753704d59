"""Whose an instance's name is: the newest of its lives takes requests, any other steps back. Pure."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from notchflow.cluster.model import Incarnation, Record


class ClaimState(Enum):
    """What an instance has of its name."""

    JOINING = "joining"  # nobody was heard yet: a newer life of this name may be known
    HOLDING = "holding"
    CONTESTED = "contested"  # a newer life of this name is there: nothing new is taken
    LEFT = "left"


class NameClaim:
    """The own life. `draw` gives a fresh number for a life."""

    def __init__(self, life: Incarnation, draw: Callable[[], int]) -> None:
        self.incarnation, self.draw = life, draw
        self.state = ClaimState.JOINING
        self.rival: Incarnation | None = None

    @property
    def accepts_requests(self) -> bool:
        """Whether requests may be taken."""
        return self.state is ClaimState.HOLDING

    def joined(self) -> bool:
        """Somebody was heard, or nobody is to be waited for; whether that is new."""
        if self.state is not ClaimState.JOINING:
            return False
        self.state = ClaimState.HOLDING
        return True

    def rise(self, above: Incarnation) -> None:
        """Begins a life that is newer than one that is known."""
        self.incarnation = Incarnation(max(above.epoch, self.incarnation.epoch) + 1, self.draw())
        self.rival = None
        if self.state is ClaimState.CONTESTED:
            self.state = ClaimState.HOLDING

    def hear(self, record: Record) -> bool:
        """A record of the own name with a newer life. True: this instance has risen over it, as it has not
        begun to serve yet or as that one is gone. False: that one has the name."""
        if self.state is ClaimState.LEFT:
            return False
        if self.state is ClaimState.JOINING or not record.present:
            self.rise(record.incarnation)
            return True
        self.state, self.rival = ClaimState.CONTESTED, record.incarnation
        return False
