"""An instance of the service as a fleet member: connects the membership protocol to the service."""

from __future__ import annotations

import asyncio
import logging
import os
import secrets
import time
from collections.abc import Callable, Mapping
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from random import Random
from typing import Any, Final

from notchflow.cluster import identity
from notchflow.cluster.actions import MembershipEvent
from notchflow.cluster.contacts import NEVER
from notchflow.cluster.fleet_size import FleetSize
from notchflow.cluster.history import History
from notchflow.cluster.members import Members
from notchflow.cluster.model import Incarnation, Record, State
from notchflow.cluster.name_claim import ClaimState
from notchflow.cluster.transport import ClusterTransport
from notchflow.cluster.updates import STATE_NAMES
from notchflow.hosting.rules import FleetRules
from notchflow.hosting.schema import ClusterModel
from notchflow.hosting.shared_limits import TOKEN_TERMS, SharedLimits
from notchflow.net.exchange import LocalReply
from notchflow.operations.metrics import ClassCounts
from notchflow.state.database import Database
from notchflow.tenancy.problems import reply

log = logging.getLogger(__name__)
CLUSTER_FOLDER: Final = "cluster"  # below the state folder
SIZE_CHECK_S: Final = 0.25  # between two checks of the fleet's size
# Membership events that are logged; the others are only in the history. The log's rate filter treats each
# formatted text as a message of its own, so the values in it must be bounded.
EVENT_MESSAGES: Final[dict[str, tuple[int, str]]] = {
    "joined": (logging.INFO, "joined the fleet with {members} members"),
    "alive": (logging.INFO, "member {subject} is alive"),
    "dead": (logging.WARNING, "member {subject} is considered dead"),
    "left": (logging.INFO, "member {subject} has left"),
    "life": (logging.INFO, "member {subject} has started a new incarnation"),
    "standing": (logging.WARNING, "standing: {standing} (before: {before})"),
    "link": (logging.WARNING, "link to {subject}: {link} (before: {before})"),
    "refuted": (logging.WARNING, "others considered this instance {held}; refuted it"),
    "rose": (logging.WARNING, "an earlier incarnation of this name was known; starting a newer one"),
    "contested": (
        logging.ERROR,
        "a newer instance has this name; this one accepts no new requests: "
        "stop it, or give it a name of its own",
    ),
}
DISAGREEMENTS: Final = {
    "stranger": "{subject} is not on the roster here, and its messages are ignored; make the "
    "rosters equal",
    "denied": "{subject} rejects this instance: {reason}",
    "rosters": "{subject} has a different roster and counts majorities by it; make the rosters equal",
    "two-instances": "two running instances have the name {subject}; the newer one keeps it, the other "
    "accepts no requests",
    "two-names": "{subject} and {answers_as} lead to one instance; correct cluster.addresses or the names",
    "foreign": "{subject} sends messages that no instance of this fleet has written ({why}); check its "
    "secret and its program",
    "malformed": "{subject} sends malformed messages ({why})",
    "version": "{subject} {why}",
    "misled": "{subject}: {why}; correct its cluster.addresses",
}


def _version() -> str:
    try:
        return version("notchflow")
    except PackageNotFoundError:  # run from the sources without installation
        return ""


class Membership:
    """The fleet membership of one service process."""

    def __init__(
        self,
        model: ClusterModel,
        state: Path,
        secret: bytes,
        loop: asyncio.AbstractEventLoop,
        on_fleet_size: Callable[[int], None],
        longest_deadline_ms: float,
        db: Database,
        classes: Mapping[str, ClassCounts],
        history: Path | None = None,
    ) -> None:
        """`on_fleet_size` is called with each new number of instances; `longest_deadline_ms`: the longest of
        all request classes; `classes`: this instance's request counters by class.

        IdentityError, OSError: the folder cannot be used. With shared rules also StoreError, ManifestError
        and StoreLockedError, of their log.
        """
        self.model, self.loop, self.on_fleet_size = model, loop, on_fleet_size
        self.folder = state / CLUSTER_FOLDER
        claim = identity.begin_incarnation(self.folder, model.name, int(time.time() * 1e3))
        self.history = History(history, model.name)
        incarnation = Incarnation(claim.epoch, secrets.randbits(62))
        me = Record(model.name, incarnation, 0, State.ALIVE, model.listen, _version())
        self.members = Members(me, model.roster, model.to_domain(), Random(secrets.randbits(64)), model.seeds)
        self.transport = ClusterTransport(
            loop, self.members, secret, model.listen, model.addresses, self._save_epoch, self._on_event
        )
        self.limits = (
            SharedLimits(loop, self.transport, Random(secrets.randbits(64)), longest_deadline_ms, classes)
            if model.limits == "fleet"
            else None
        )
        self.rules = (
            FleetRules(
                model.name, model.roster, self.transport, self.folder, db, not claim.anomaly, self._note
            )
            if model.rules == "fleet"
            else None
        )
        self.fleet_size = FleetSize()
        self.size_timer: asyncio.TimerHandle | None = None
        # Called when this instance starts or stops accepting requests.
        self.on_accepting_changed: list[Callable[[], None]] = []
        self.accepting = False
        if claim.anomaly:
            self._report_folder("folder", claim.anomaly)

    def _note(self, what: str, **more: Any) -> None:
        self.history.note(str(self.members.name_claim.incarnation), what, **more)

    def _report_folder(self, kind: str, why: str) -> None:
        self.history.note(str(self.members.name_claim.incarnation), "disagree", kind=kind, why=why)
        (log.info if why == "new" else log.warning)(f"the folder of this member: {why}")

    # -- lifecycle
    def bind(self) -> None:
        """Binds its sockets, before the listeners for clients. OSError: an address is in use."""
        self.transport.bind()

    def start(self) -> None:
        """Starts joining the fleet."""
        self.transport.start()
        if self.limits is not None:
            self.limits.start()
        if self.rules is not None:
            self.rules.start()
        self._check_fleet_size()

    def leave(self) -> None:
        """Announces to the others that this instance leaves, so that they stop sending requests to it."""
        if self.size_timer is not None:
            self.size_timer.cancel()
        if self.rules is not None:
            self.rules.stop()
        self.transport.leave()

    def close(self) -> None:
        """Stops all timers and closes the sockets, the log of rules and the history."""
        if self.size_timer is not None:
            self.size_timer.cancel()
        if self.limits is not None:
            self.limits.stop()
        if self.rules is not None:
            self.rules.close()
        self.transport.close()
        self.history.close()

    def _check_fleet_size(self) -> None:
        self.size_timer = self.loop.call_later(SIZE_CHECK_S, self._check_fleet_size)
        now = self.transport.now()
        if self.fleet_size.observe(now, self.members.present_count(), self.members.standing(now)):
            log.info(f"the fleet now has {self.fleet_size.value} instances")
            self.history.note(
                str(self.members.name_claim.incarnation), "balancers", count=self.fleet_size.value
            )
            self.on_fleet_size(self.fleet_size.value)

    # -- callbacks of the membership protocol
    def _save_epoch(self, incarnation: Incarnation) -> None:
        try:
            identity.save_epoch(self.folder, self.model.name, incarnation.epoch)
        except OSError as error:  # the other members correct the epoch at the next start
            log.error("cannot save the epoch of this incarnation: %s", error)

    def _on_event(self, event: MembershipEvent) -> None:
        self.history.note(
            str(self.members.name_claim.incarnation),
            event.what,
            **({"subject": event.subject} if event.subject else {}),
            **event.details,
        )
        accepting = self.members.accepts_requests()
        if accepting is not self.accepting:
            self.accepting = accepting
            self.history.note(
                str(self.members.name_claim.incarnation), "takes", takes=accepting, pid=os.getpid()
            )
            for call in self.on_accepting_changed:
                call()
        values = {"subject": event.subject, "reason": "", "why": "", "answers_as": ""} | event.details
        if event.what == "disagree":
            log.warning("cluster: " + DISAGREEMENTS[event.details["kind"]].format(**values))
        elif event.what == "slept":
            log.warning(
                "cluster: the process was suspended for %s ms; no member is suspected for it",
                event.details["ms"],
            )
        elif event.what in EVENT_MESSAGES:
            level, text = EVENT_MESSAGES[event.what]
            log.log(level, "cluster: " + text.format(**values))

    # -- for clients and operators
    def ready(self, draining: bool) -> LocalReply:
        """The reply to a readiness check, with the standing. Ready means: it may accept requests, its share
        of the tenants' limits is open, and it does not drain."""
        standing = self.members.standing(self.transport.now()).value
        fields = (b"X-Standing: %b\r\n" % standing.encode(), b"X-Instance: %b\r\n" % self.model.name.encode())
        shares_open = (self.limits is None or self.limits.is_open()) and (
            self.rules is None or self.rules.may_act()
        )
        return LocalReply(
            200 if shares_open and self.members.accepts_requests() and not draining else 503, fields, b""
        )

    def unavailable_reply(self) -> LocalReply | None:
        """The reply to every request while this instance may accept none under its name, else None."""
        # An instance that leaves still serves the requests that reach it.
        if self.members.accepts_requests() or self.members.name_claim.state is ClaimState.LEFT:
            return None
        if self.members.name_claim.state is ClaimState.CONTESTED:
            why = "Another instance has this one's name; nothing was done, trying again is harmless."
        else:
            why = "This instance is not a member of its fleet yet, or no more; nothing was done."
        return reply(503, "refused", why, 1.0)

    def metrics_lines(self) -> list[str]:
        """The membership's metrics, in the text format."""
        now, core = self.transport.now(), self.members
        standing = core.standing(now)
        states = {word: 0 for word in STATE_NAMES.values()}
        for record in core.view:
            states[STATE_NAMES[record.state]] += 1
        lines = [
            f'cluster_standing{{standing="{standing.value}"}} 1',
            f"cluster_takes {int(core.accepts_requests())}",
            f"cluster_balancers {self.fleet_size.value}",
            f"cluster_awareness {core.local_health.score}",
            f"cluster_slept_ms {core.slept_ms:.0f}",
        ]
        lines += [f'cluster_members{{state="{word}"}} {count}' for word, count in states.items()]
        lines += self.limits.metrics_lines() if self.limits is not None else []
        lines += self.rules.metrics_lines() if self.rules is not None else []
        return lines + [f"cluster_{name} {count}" for name, count in sorted(self.transport.metrics.items())]

    def time_bounds_ms(self) -> dict[str, float]:
        """Time bounds that follow from the settings by the formulas of docs/operators/cluster.md, in ms."""
        settings, size = self.members.settings, self.members.roster_size
        return {
            "contact_ms": settings.contact_bound_ms(size),
            "detection_ms": settings.detection_bound_ms(size),
            "heal_ms": settings.heal_bound_ms(size),
            "one_name_ms": settings.one_name_bound_ms(size),
            "lent_ms": TOKEN_TERMS.outstanding_ms,
        } | ({"rules_ms": self.rules.settings.divergence_bound_ms} if self.rules is not None else {})

    def status(self) -> dict[str, Any]:
        """The body of `GET /v1/cluster`."""
        now, core = self.transport.now(), self.members
        return {
            "name": core.name,
            "incarnation": str(core.name_claim.incarnation),
            "standing": core.standing(now).value,
            "takes": core.accepts_requests(),
            "hold": core.name_claim.state.value,
            "balancers": self.fleet_size.value,
            "members": [self._member_status(name, now) for name in core.view.roster],
            "bounds": {name: round(value, 1) for name, value in self.time_bounds_ms().items()},
            "disagreements": sorted(core.disagreements),
            "view": f"{core.view.digest:016x}",
            "rules": self.rules.status() if self.rules is not None else None,
            "figures": self.limits.class_metrics() if self.limits is not None else None,
        }

    def _member_status(self, name: str, now: float) -> dict[str, Any]:
        core = self.members
        record = core.view.get(name)
        heard = now if name == core.name else core.contacts.by_name[name].heard_at
        link = (
            "self"
            if name == core.name
            else core.contacts.link(name, now, record is not None and record.state is State.ALIVE).value
        )
        return {
            "name": name,
            "incarnation": str(record.incarnation) if record is not None else None,
            "state": STATE_NAMES[record.state] if record is not None else "unknown",
            "heard_ms": None if heard == NEVER else round(now - heard, 1),
            "version": record.version or None if record is not None else None,
            "address": record.address or None if record is not None else None,
            "link": link,
        }
