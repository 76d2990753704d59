"""Discovery: the list of cache nodes, read whole and followed with a long-poll watch."""

from __future__ import annotations

import json
import logging
import random

from notchflow.interface import ListKind, Membership
from notchflow.net.exchange import Answer, Teller
from notchflow.net.listing import Address, Listing, decode_listing, node_id, parse_address
from notchflow.net.upstream import Connection, IdleLimit, Pool

__all__ = ["Address", "Call", "Discovery", "Listing", "decode_listing", "node_id", "parse_address"]

log = logging.getLogger(__name__)

WAIT_MS = 60_000  # the longest that discovery allows
ANSWER_MARGIN_MS = 1_000.0
# A watch that has fallen silent looks like one with nothing to tell. So each is opened anew in time, at a moment
# of its own: a discovery that is asked takes calls in turn, and watches mostly fall silent together. What a silent
# one misses counts as told 2 s after its wait: half of the wait is left for calls that fail.
RENEW_MS = (10_000.0, 30_000.0)
SPACING_MS = 100.0  # between two calls, for a discovery that answers at once; a watch goes on for 200
LIST_MAX = 4 << 20  # bytes of one answer: some ten thousand nodes; more is a fault, and memory is scarce
OLDER_MS = 60_000.0
CONNECT_MS = 1_000.0
AGAIN_MS = 500.0  # after a failure of the agent on this machine, which costs nothing to ask
IDLE_MS = 1_000.0  # the next call leaves at once, or it is a new beginning

class Discovery:
    """One call at a time, answers applied in order. After a failure the module says when to ask again."""

    def __init__(self, host: Teller, address: Address | None, revision: int, seed: int) -> None:
        self.host = host
        self.fixed = address is None  # nobody to ask: the list that is known is all there ever is
        self.pool = Pool(host, address or ("", 0), CONNECT_MS, IdleLimit(IDLE_MS))
        self.revision: int | None = revision
        self.older_since: float | None = None
        self.call: Call | None = None
        self.called_at = 0.0
        self.wanted = False
        self.rng = random.Random(seed)

    def watch(self, on: bool) -> None:
        """Begins the watch, or ends it after the answer that is out."""
        self.wanted = on and not self.fixed
        if self.wanted and self.call is None:
            self._call()

    def move(self, address: Address) -> None:
        """Goes on at another address, from the revision that is known. The old one tells nothing any more:
        the watch that is out there must not be waited for."""
        if address == self.pool.address:
            return
        log.info("discovery moves to %s:%d", *address)
        self.fixed = False
        call, self.call = self.call, None
        if call is not None:
            call.drop()
        self.pool.retire()
        self.pool = Pool(self.host, address, CONNECT_MS, IdleLimit(IDLE_MS))
        self.watch(True)

    def _again(self, _: object = None) -> None:
        self.watch(True)

    def _call(self, _: object = None) -> None:
        if self.call is not None or not self.wanted:
            return
        self.called_at = self.host.clock.now()
        query = b"" if self.revision is None else b"?index=%d&wait=%d" % (self.revision, WAIT_MS)
        self.call = call = Call(
            self, b"GET /registry/instances%b HTTP/1.1\r\nHost: discovery\r\n\r\n" % query)
        self.host.at(self.called_at + WAIT_MS + ANSWER_MARGIN_MS, call.expire)
        self.host.at(self.called_at + self.rng.uniform(*RENEW_MS), self._renew, call)
        self.pool.send(call, self.called_at)

    def _renew(self, call: Call) -> None:
        """Opens the watch anew, unless it has told something: it may have fallen silent."""
        if self.call is call:
            self.call = None
            call.drop()
            self._call()

    def ended(self, listing: Listing | None, problem: str) -> None:
        """The call that was out has ended, with a list or without."""
        self.call = None
        if listing is not None:
            problem = self._out_of_order(listing)
        if listing is None or problem:
            log.warning("discovery: %s", problem)
            self.wanted = False
            self.host.tell(Membership(ListKind.FAILED))
            if not self.host.settings.list_on_request:  # the module does not ask where lists are pushed
                self.host.at(self.host.clock.now() + AGAIN_MS, self._again)
            return
        self.revision = listing.revision
        self.host.apply(listing, ListKind.FULL if listing.complete else ListKind.DELTA)
        self.host.pass_on(listing)
        wait = self.called_at + SPACING_MS - self.host.clock.now()
        if wait > 0:
            self.host.at(self.called_at + SPACING_MS, self._call)
        else:
            self._call()

    def _out_of_order(self, listing: Listing) -> str:
        """Why a list must not be applied: an older one would bring back nodes that drain or are gone."""
        if self.revision is None or listing.revision >= self.revision:
            self.older_since = None
            if self.revision is None and not listing.complete:
                return "changes to a list that was never given"
            return ""
        now = self.host.clock.now()
        self.older_since = self.older_since or now
        if now < self.older_since + OLDER_MS:
            return f"revision {listing.revision} is older than {self.revision}"
        self.older_since = None
        if listing.complete:
            return ""
        self.revision = None  # the whole list, next time
        return "revisions began anew"


class Call:
    """One call to discovery, as an exchange on a connection."""

    hold_max = LIST_MAX
    unfinished = False

    def __init__(self, discovery: Discovery, data: bytes) -> None:
        self.discovery, self.pool = discovery, discovery.pool
        self.data = data
        self.connection: Connection | None = None
        self.over = False

    def chunks(self, now: float) -> list[bytes]:
        """What is written."""
        return [self.data]

    def expire(self, _: object = None) -> None:
        if not self.over:
            self._end(None, "no answer")

    def stream(self, answer: Answer) -> bool:
        self._end(None, f"an answer of over {LIST_MAX} bytes")
        return False

    def streamed(self, data: bytes) -> None:
        """Never called: nothing of discovery's is streamed."""

    def answered(self, answer: Answer, sent: bool) -> None:
        if answer.code != 200:
            self._end(None, f"status {answer.code}")
            return
        try:
            listing = decode_listing(json.loads(b"".join(answer.body)))
        except (ValueError, RecursionError) as error:
            self._end(None, str(error)[:200])
            return
        self._end(listing, "")

    def failed(self, sent: bool) -> None:
        self._end(None, "connection lost" if sent else "could not connect")

    def starved(self, _: object = None) -> None:
        self._end(None, "no descriptor left")

    def written(self) -> None:
        """Calls are not counted."""

    def blocked(self, on: bool) -> None:
        """Never called: a call is written whole."""

    def _end(self, listing: Listing | None, problem: str) -> None:
        if not self.over:
            self.drop()
            self.discovery.ended(listing, problem)

    def drop(self) -> None:
        """Waits no longer: neither for an answer nor for a connection that is still being made."""
        self.over = True
        if self.connection is not None:
            self.connection.abandon()
            self.connection = None
        else:
            self.pool.give_up(self)
