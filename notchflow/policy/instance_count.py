"""What changes for a balancer by the number of balancers that run.

All balancers run this, and none hears of the others: what is harmless in one is multiplied by their number,
and what one learns alone comes later the more there are (docs/design/fleet.md). Pure.
"""

from __future__ import annotations

from typing import Final

ALONE: Final = 3  # balancers up to which each sees by itself what the fleet does to a server


def many(balancers: int) -> bool:
    """Whether what one balancer has in flight is but a small part of what all have."""
    return balancers > ALONE
