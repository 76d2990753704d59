"""Discovery: the list of cache nodes, read whole and followed with a long-poll watch."""

from __future__ import annotations

import hashlib
import json
import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from notchflow.interface import ListKind, Member, Membership, State
from notchflow.net.upstream import Answer, IdleLimit, Pool

if TYPE_CHECKING:
    from notchflow.net.host import Host
    from notchflow.net.upstream import Connection

log = logging.getLogger(__name__)

Address = tuple[str, int]

WAIT_MS = 20_000
ANSWER_MARGIN_MS = 1_000.0
SPACING_MS = 100.0  # between two calls, for a discovery that answers at once; a watch goes on for 200
LIST_MAX = 4 << 20  # bytes of one answer: some ten thousand nodes; more is a fault, and memory is scarce
OLDER_MS = 60_000.0
CONNECT_MS = 1_000.0
AGAIN_MS = 500.0  # after a failure of the agent on this machine, which costs nothing to ask
IDLE_MS = 1_000.0  # the next call leaves at once, or it is a new beginning

PHASES = {"up": State.READY, "draining": State.DRAINING, "removed": State.GONE}


@dataclass(frozen=True, slots=True)
class Listing:
    """One answer of discovery: the whole list or the entries that changed."""

    revision: int
    complete: bool
    members: tuple[Member, ...] = ()
    addresses: Mapping[int, Address] | None = None


def node_id(name: str) -> int:
    """A node's number, the same at every proxy and after each restart: the homes of keys hang on it."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def parse_address(text: object) -> Address:
    if not isinstance(text, str):
        raise ValueError(f"expected host:port, got {text!r}")
    host, mark, port = text.rpartition(":")
    if not mark or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"expected host:port, got {text[:60]!r}")
    return host.strip("[]"), int(port)


def decode_listing(data: object) -> Listing:
    """A list in discovery's form; a ValueError says what is wrong with it."""
    if not isinstance(data, dict):
        raise ValueError("expected an object with revision, complete and members")
    revision, complete, entries = data.get("revision"), data.get("complete"), data.get("members")
    if not isinstance(revision, int) or not isinstance(complete, bool) or not isinstance(entries, list):
        raise ValueError("expected a whole number in revision, a bool in complete and a list in members")
    members, addresses = [], {}
    for entry in entries:
        try:
            node = node_id(entry["id"])
            members.append(Member(
                node=node, state=PHASES[entry["phase"]], kind=str(entry.get("flavor", "")),
                zone=str(entry.get("locality", "")), cell=int(entry.get("cell", 0)),
                size=float(entry.get("size", 1.0)), ready_at_ms=float(entry.get("up_since_ms", 0))))
            addresses[node] = parse_address(entry["host_port"])
        except (TypeError, KeyError, AttributeError, ValueError, OverflowError) as error:
            raise ValueError(f"expected a member as discovery describes it ({error!r})") from None
    return Listing(revision, complete, tuple(members), addresses)


class Discovery:
    """One call at a time, answers applied in order. After a failure the module says when to ask again."""

    def __init__(self, host: Host, address: Address, revision: int) -> None:
        self.host = host
        self.pool = Pool(host, address, CONNECT_MS, IdleLimit(IDLE_MS))
        self.revision: int | None = revision
        self.older_since: float | None = None
        self.call: Call | None = None
        self.called_at = 0.0
        self.wanted = False

    def watch(self, on: bool) -> None:
        """Begins the watch, or ends it after the answer that is out."""
        self.wanted = on
        if on and self.call is None:
            self._call()

    def move(self, address: Address) -> None:
        """Goes on at another address, from the revision that is known. The old one tells nothing any more:
        the watch that is out there must not be waited for."""
        if address == self.pool.address:
            return
        log.info("discovery moves to %s:%d", *address)
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
        self.pool.send(call)

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

    def __init__(self, discovery: Discovery, data: bytes) -> None:
        self.discovery, self.pool = discovery, discovery.pool
        self.data = data
        self.connection: Connection | None = None
        self.over = False

    def chunks(self) -> list[bytes]:
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
