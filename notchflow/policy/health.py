"""Which servers are well: no sign of life ejects one; a class that one fails leaves it alone."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from notchflow.interface import Outcome, RequestClass
from notchflow.policy.nodes import CANCELLED, ERROR, MISS, OK, RESET, TIMEOUT, Mute, Node

SUSPECT_AFTER: Final = 2
EJECT_MAX_MS: Final = 8_000.0
TRIAL_SHARE: Final = 0.4  # of the time left for an attempt at a server under suspicion
QUIET_SHARE: Final = 0.34  # of the fleet that time-outs alone may eject: more is trouble elsewhere
MUTE_AFTER: Final = 5  # more failures than answers of one class at a server that serves the others
MUTE_SHARE: Final = 0.6  # of the fleet that may be mute for a class: more is trouble behind the fleet
SECOND_AFTER: Final = 3.0  # usual latencies without an answer: a second copy may go out


def healthy(node: Node, now: float, cls: str = "") -> bool:
    """Not ejected, not mute for this class, and no trial of one that was is out."""
    if node.ejected_until > now or (node.trial and node.in_flight > 0):
        return False
    return cls not in node.mutes or not node.mutes[cls].bars(now)


def listen(
    now: float, node: Node, outcome: Outcome, of: RequestClass, usual: float, ready: Sequence[Node]
) -> None:
    """A server may hang or err on one class alone, or on most of it; the answers it gives to others, and
    the few to this one, must not hide that. In a queue nothing sent half the wait later is served. `usual`:
    what an answer of this class takes, infinite where none is known."""
    cls, status, took = of.name, outcome.status, outcome.latency_ms
    mute = node.mutes.get(cls)
    if mute is not None:
        mute.out = max(0, mute.out - 1)
        if status in (OK, MISS):
            mute.failures, mute.until = mute.failures - 1, 0.0
            if mute.failures <= 0:
                del node.mutes[cls]
    if status in (TIMEOUT, CANCELLED):
        trial = mute is not None and mute.until > 0
        long = took > min(SECOND_AFTER * usual, of.aim_ms)
        if node.newest <= now - took / 2 or not (long or trial):
            return  # a queue, or too little time to tell
    elif status not in (ERROR, RESET):
        return
    mute = node.mutes.setdefault(cls, Mute())
    mute.failures = min(mute.failures + 1, MUTE_AFTER)
    if mute.failures < MUTE_AFTER or mute.until > now:
        return
    silent = sum(1 for n in ready if cls in n.mutes and n.mutes[cls].until > now)
    if silent < MUTE_SHARE * len(ready):
        mute.until = now + mute.pause
        mute.pause = min(mute.pause * 2, EJECT_MAX_MS)


def failed(now: float, node: Node, refused: bool, ready: Sequence[Node]) -> None:
    """No sign of life. Servers that are merely slow look like this too, then many at once do: time-outs
    alone eject only a part of the fleet; a connection that cannot be opened is proof enough."""
    node.failures += 1
    if node.failures < SUSPECT_AFTER or node.ejected_until > now:
        return
    if refused or sum(n.ejected_until > now for n in ready) < QUIET_SHARE * len(ready):
        node.ejected_until = now + node.pause
        node.pause = min(node.pause * 2, EJECT_MAX_MS)
        node.trial = True
