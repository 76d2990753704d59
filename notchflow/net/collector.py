"""When the cyclic collector may stop the loop."""

from __future__ import annotations

import gc

# Requests leave no cycles (tests/test_collector.py): a collection finds what rare errors left. So the young
# are looked at once this many more objects are there than at the last time, as after a burst of clients, and
# not each time that a few dozen requests are in hand.
YOUNG = 20_000


def freeze_startup_objects() -> None:
    """To be called once the program has started: it stays, and collections need not walk it again."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG, 10, 10)
