"""Weighted rendezvous hashing: the order of the nodes for each key, with a cache."""

from __future__ import annotations

import math
from typing import Final

from notchflow.policy.nodes import Node, hash64

HEAD_PLACES: Final = 6  # nodes of a key's order that are cached for every key
LANE_BYTES: Final = 16  # wide enough for the product of two 64-bit numbers
# Expected number of nodes scored for a key in a large fleet. With 24, fewer than HEAD_PLACES of them remain
# for one key in 100,000, and all nodes are scored for that key.
SCORED_TARGET: Final = 24
CACHED_HEADS_MAX: Final = 20_000  # keys whose first places are cached
CACHED_FULL_ORDERS_MAX: Final = 64  # keys whose full order is cached
MASK64: Final = (1 << 64) - 1


class RendezvousOrder:
    """The ready nodes and their weights, packed into long integers that hash a key for all nodes at once."""

    def __init__(self) -> None:
        self.ready: list[Node] = []
        self.total_weight = 0.0
        self.salts = self.ones = self.lows = self.halves = 0  # one lane per ready node
        self.hash_cutoffs: list[int] = []
        self.score_cutoff = 0.0
        self.heads: dict[str, list[Node]] = {}
        self.full_orders: dict[str, list[Node]] = {}  # of hot keys

    def rebuild(self, ready: list[Node]) -> None:
        """Packs the nodes with their current weights and clears the caches."""
        self.ready = ready
        self.total_weight = sum(n.weight for n in ready)
        self.heads.clear()
        self.full_orders.clear()
        count = len(ready)
        self.salts = int.from_bytes(
            b"".join(n.salt.to_bytes(LANE_BYTES, "little") for n in self.ready), "little"
        )
        self.ones = int.from_bytes((1).to_bytes(LANE_BYTES, "little") * count, "little")
        self.lows, self.halves = self.ones * MASK64, self.ones * (MASK64 >> 32)
        self.hash_cutoffs = []
        if count > 2 * SCORED_TARGET:
            # About SCORED_TARGET nodes score below this, whatever the weights.
            cutoff = SCORED_TARGET / self.total_weight
            self.hash_cutoffs = [int(math.exp(-n.weight * cutoff) * 2.0**64) for n in self.ready]
            self.score_cutoff = cutoff * (1 - 1e-6)  # excluded nodes score no less, apart from rounding

    def rank(self, key: str, places: int) -> list[Node]:
        """Returns the first places of a key's weighted rendezvous order.

        All nodes are hashed at once as lanes of one long integer; only those that can be among the requested
        places are scored.
        """
        key_hash = hash64(int(key, 16) & MASK64 if _is_hex(key) else hash64(key))
        lanes = ((self.salts ^ (self.ones * key_hash)) * 0x9E3779B97F4A7C15) & self.lows
        lanes = ((lanes ^ ((lanes >> 32) & self.halves)) * 0xD6E8FEB86659FD93) & self.lows
        hashes = memoryview(lanes.to_bytes(LANE_BYTES * len(self.ready), "little")).cast("Q").tolist()[::2]
        few, hashed = (
            bool(self.hash_cutoffs) and places <= HEAD_PLACES,
            list(zip(hashes, self.ready, strict=True)),
        )
        if few:
            hashed = [
                pair for pair, cutoff in zip(hashed, self.hash_cutoffs, strict=True) if pair[0] >= cutoff
            ]
        scored = sorted(
            [
                (-math.log(((node_hash >> 11) + 1) * 1.1102230246251565e-16) / node.weight, node.id, node)
                for node_hash, node in hashed
            ]
        )
        if few and (len(scored) < places or scored[places - 1][0] >= self.score_cutoff):
            return self.rank(key, len(self.ready))[:places]
        return [node for _, _, node in scored[:places]]

    def head(self, key: str) -> list[Node]:
        """Returns the first places of a key's order from the cache."""
        places = self.heads.get(key)
        return places if places is not None else self._cache(self.heads, CACHED_HEADS_MAX, key, HEAD_PLACES)

    def full_order(self, key: str) -> list[Node]:
        """Returns a key's full order from the cache; meant for hot keys, which are few."""
        places = self.full_orders.get(key)
        return (
            places
            if places is not None
            else self._cache(self.full_orders, CACHED_FULL_ORDERS_MAX, key, len(self.ready))
        )

    def _cache(self, cache: dict[str, list[Node]], size_max: int, key: str, places: int) -> list[Node]:
        if len(cache) >= size_max:
            cache.clear()
        cache[key] = order = self.rank(key, places)
        return order


def _is_hex(key: str) -> bool:
    return len(key) <= 16 and all(c in "0123456789abcdef" for c in key)
