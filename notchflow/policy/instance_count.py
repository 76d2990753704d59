"""How decisions depend on the number of proxy instances.

All instances run the same policy without exchanging messages: an effect that is harmless in one instance is
multiplied by their number, and the more instances there are, the longer each takes to learn from its own
traffic (docs/design/fleet.md). Pure.
"""

from __future__ import annotations

from typing import Final

FEW_INSTANCES_MAX: Final = 3  # up to this number, an instance can judge the load of a node by its own traffic


def has_many_instances(balancers: int) -> bool:
    """Whether one instance's requests in flight are only a small part of those of all instances."""
    return balancers > FEW_INSTANCES_MAX
