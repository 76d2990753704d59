"""Gossip queue: each update is sent a number of times that grows with the logarithm of the fleet. No I/O.

As in SWIM (Das, Gupta and Motivala, DSN 2002) updates are piggybacked on probes and acks, least-sent first; a
newer update about a member replaces older ones.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from notchflow.cluster.messages import Update, encoded_size

UPDATES_BYTES_MAX = 900  # of a datagram; the rest is for the envelope


@dataclass(slots=True)
class QueuedUpdate:
    """An update, its encoded size in bytes, and how often it was sent."""

    update: Update
    size: int
    sent: int


class GossipQueue:
    """Updates by member, and for a suspicion also by accuser.

    They are grouped by how often they were sent, so that a datagram is filled without scanning all of them:
    there are hundreds when half of a large fleet dies.
    """

    def __init__(self, retransmit_factor: int) -> None:
        self.retransmit_factor = retransmit_factor
        self.by_times_sent: list[dict[tuple[str, str], QueuedUpdate]] = [{}]  # oldest first in each
        self.by_member: dict[str, dict[tuple[str, str], QueuedUpdate]] = {}

    def __len__(self) -> int:
        return len(self.by_member)

    def put(self, update: Update) -> None:
        """Queues an update and drops those that it supersedes."""
        name, rank = update.record.name, update.record.rank()
        for key, item in list(self.by_member.get(name, {}).items()):
            if item.update.record.rank() < rank or key[1] == update.accuser:
                self._drop(key, item)
        key = name, update.accuser
        item = self.by_times_sent[0][key] = QueuedUpdate(update, encoded_size(update), 0)
        self.by_member.setdefault(name, {})[key] = item

    def _drop(self, key: tuple[str, str], item: QueuedUpdate) -> None:
        del self.by_times_sent[item.sent][key]
        updates = self.by_member[key[0]]
        del updates[key]
        if not updates:
            del self.by_member[key[0]]

    def retransmit_limit(self, members: int) -> int:
        """How often an update is sent in a fleet of this size."""
        return self.retransmit_factor * max(math.ceil(math.log10(members + 1)), 1)

    def take(
        self, members: int, first: Update | None = None, bytes_left: int = UPDATES_BYTES_MAX
    ) -> tuple[Update, ...]:
        """Updates for the next datagram, in order; `first` goes before all others and does not count as
        sent."""
        chosen: list[Update] = []
        if first is not None:
            chosen.append(first)
            bytes_left -= encoded_size(first)
        sent: list[tuple[tuple[str, str], QueuedUpdate]] = []
        for updates in self.by_times_sent if self.by_member else ():
            for key in reversed(updates):
                item = updates[key]
                if item.size > bytes_left:
                    bytes_left = 0
                    break
                bytes_left -= item.size
                chosen.append(item.update)
                sent.append((key, item))
            if not bytes_left:
                break
        times_max = self.retransmit_limit(members) if sent else 0
        for key, item in reversed(sent):
            self._mark_sent(key, item, times_max)
        return tuple(chosen)

    def _mark_sent(self, key: tuple[str, str], item: QueuedUpdate, times_max: int) -> None:
        if item.sent + 1 >= times_max:
            self._drop(key, item)
            return
        del self.by_times_sent[item.sent][key]
        item.sent += 1
        if item.sent == len(self.by_times_sent):
            self.by_times_sent.append({})
        self.by_times_sent[item.sent][key] = item
