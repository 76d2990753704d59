"""Settings of the cyclic garbage collector, whose collections stop the loop."""

from __future__ import annotations

import gc

# Requests leave no cycles (tests/test_collector.py): a collection finds only what rare errors left behind. So
# the young generation is collected after this many new objects, as after a burst of clients, and not whenever
# a few dozen requests are in progress.
YOUNG_GENERATION_THRESHOLD = 20_000


def freeze_startup_objects() -> None:
    """Excludes all present objects from later collections. To be called once, when the program has
    started."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_GENERATION_THRESHOLD, 10, 10)
