"""The weighted rendezvous order of the servers for each key, remembered."""

from __future__ import annotations

import math
from typing import Final

from notchflow.policy.nodes import Node, mixed

PLACES: Final = 6
LANE: Final = 16  # bytes: a 64-bit product of two 64-bit numbers stays in its lane
SCORED: Final = 24  # servers scored for a key, of very many: fewer than PLACES once in 100,000 keys
MEMO_MAX: Final = 20_000  # remembered keys
WHOLE_MAX: Final = 64  # and those whose whole order is remembered
MASK: Final = (1 << 64) - 1


class Order:
    """The servers that are ready, with their weights, laid out so that a key's order is reckoned at once."""

    def __init__(self) -> None:
        self.ready: list[Node] = []
        self.total_weight = 0.0
        self.salts = self.ones = self.lows = self.halves = 0  # a lane for each that is ready
        self.cuts: list[int] = []
        self.sure = 0.0
        self.memo: dict[str, list[Node]] = {}
        self.whole: dict[str, list[Node]] = {}  # the same of hot keys, with all places

    def lay_out(self, ready: list[Node]) -> None:
        """Takes over the servers and their weights as they are now."""
        self.ready = ready
        self.total_weight = sum(n.weight for n in ready)
        self.memo.clear()
        self.whole.clear()
        count = len(ready)
        self.salts = int.from_bytes(b"".join(n.salt.to_bytes(LANE, "little") for n in self.ready), "little")
        self.ones = int.from_bytes((1).to_bytes(LANE, "little") * count, "little")
        self.lows, self.halves = self.ones * MASK, self.ones * (MASK >> 32)
        self.cuts = []
        if count > 2 * SCORED:  # of that many servers about SCORED score under this, whatever the weights
            under = SCORED / self.total_weight
            self.cuts = [int(math.exp(-n.weight * under) * 2.0**64) for n in self.ready]
            self.sure = under * (1 - 1e-6)  # who is cut off scores no less, but for the rounding

    def ranked(self, key: str, places: int) -> list[Node]:
        """The first places of the weighted rendezvous order of a key. All servers are hashed at once, as
        lanes of one long integer, and only those are scored that can be among so few places."""
        point = mixed(int(key, 16) & MASK if _hex(key) else mixed(key))
        lanes = ((self.salts ^ (self.ones * point)) * 0x9E3779B97F4A7C15) & self.lows
        lanes = ((lanes ^ ((lanes >> 32) & self.halves)) * 0xD6E8FEB86659FD93) & self.lows
        hashes = memoryview(lanes.to_bytes(LANE * len(self.ready), "little")).cast("Q").tolist()[::2]
        few, drawn = bool(self.cuts) and places <= PLACES, list(zip(hashes, self.ready, strict=True))
        if few:
            drawn = [pair for pair, cut in zip(drawn, self.cuts, strict=True) if pair[0] >= cut]
        scored = sorted(
            [
                (-math.log(((x >> 11) + 1) * 1.1102230246251565e-16) / node.weight, node.id, node)
                for x, node in drawn
            ]
        )
        if few and (len(scored) < places or scored[places - 1][0] >= self.sure):
            return self.ranked(key, len(self.ready))[:places]
        return [node for _, _, node in scored[:places]]

    def head(self, key: str) -> list[Node]:
        """The remembered head of a key's order."""
        places = self.memo.get(key)
        return places if places is not None else self._remember(self.memo, MEMO_MAX, key, PLACES)

    def all_places(self, key: str) -> list[Node]:
        """The whole order of a key, remembered: for hot keys, which are few."""
        places = self.whole.get(key)
        return places if places is not None else self._remember(self.whole, WHOLE_MAX, key, len(self.ready))

    def _remember(self, memo: dict[str, list[Node]], most: int, key: str, places: int) -> list[Node]:
        if len(memo) >= most:
            memo.clear()
        memo[key] = order = self.ranked(key, places)
        return order


def _hex(key: str) -> bool:
    return len(key) <= 16 and all(c in "0123456789abcdef" for c in key)
