"""Which request ids must not be passed on once more. Free of I/O and of a clock; times are milliseconds.

An id names one request. A client that sends the id of an open request is in error. One that left and sends
its request again, here or to another process of this proxy, has the effect twice if the first one ran.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any, Final

USED_ID_MEMORY_MS: Final = 60_000.0  # no client waits longer for an answer
MAX_USED_IDS: Final = 4_096


class IdClaim:
    """The id of a request that is open, until none of its attempts is outstanding any more."""

    __slots__ = ("request_id", "is_repeatable", "is_over")

    def __init__(self, request_id: bytes, is_repeatable: bool) -> None:
        self.request_id = request_id
        self.is_repeatable = is_repeatable  # the effect of its class permits to run it again
        self.is_over = False  # for its client: it is answered, or the client has left


class RequestIds:
    """The ids of open requests, and of requests that may have run and must not run again."""

    __slots__ = ("_open", "_used_until")

    def __init__(self) -> None:
        self._open: dict[bytes, IdClaim] = {}
        self._used_until: dict[bytes, float] = {}  # the earliest first

    def claim(self, now: float, request_id: bytes, is_repeatable: bool) -> IdClaim | None:
        """Claims an id for a request that begins, or returns None if it must not begin."""
        if now < self._used_until.get(request_id, 0.0):
            return None
        earlier = self._open.get(request_id)
        if earlier is not None and not (earlier.is_over and earlier.is_repeatable):
            return None
        claim = self._open[request_id] = IdClaim(request_id, is_repeatable)
        return claim

    def release(self, now: float, claim: IdClaim, may_have_run: bool) -> None:
        """Ends a claim: the request and all its attempts have ended."""
        if self._open.get(claim.request_id) is claim:
            del self._open[claim.request_id]
        if may_have_run and not claim.is_repeatable:
            self.add_used(now, claim.request_id)

    def add_used(self, now: float, request_id: bytes, memory_ms: float = USED_ID_MEMORY_MS) -> None:
        """Records an id whose request may have run, or is open in another process of this proxy."""
        used = self._used_until
        used.pop(request_id, None)
        used[request_id] = now + memory_ms
        while len(used) > MAX_USED_IDS or used[next(iter(used))] <= now:
            del used[next(iter(used))]

    def remove_used(self, request_id: bytes) -> None:
        """Forgets an id whose request did not run in the other process after all."""
        self._used_until.pop(request_id, None)

    # -- between the processes of one proxy
    def export(self, now: float) -> dict[str, float]:
        """Returns the ids that another process must not pass on, each with how long, in milliseconds."""
        used = {name.decode("latin-1"): until - now for name, until in self._used_until.items()}
        for name, claim in self._open.items():
            if not claim.is_repeatable:
                used[name.decode("latin-1")] = USED_ID_MEMORY_MS
        return used

    def restore(self, now: float, used: Mapping[str, Any]) -> None:
        """Adds the ids that another process exported. TypeError, ValueError, AttributeError: malformed."""
        remaining = {name.encode("latin-1"): float(left) for name, left in used.items()}
        for request_id, left_ms in sorted(remaining.items(), key=lambda item: item[1]):
            if 0.0 < left_ms <= USED_ID_MEMORY_MS:
                self.add_used(now, request_id, left_ms)

    def apply_update(self, now: float, claimed: Iterable[str], released: Iterable[str]) -> None:
        """Applies what another process has told: ids that it passes on, and ids of requests that did not
        run. AttributeError, ValueError: malformed."""
        for name in claimed:
            self.add_used(now, name.encode("latin-1"))
        for name in released:
            self.remove_used(name.encode("latin-1"))
