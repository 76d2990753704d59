"""An instance of the service as a member of its fleet: what it takes from the core, and what it shows."""

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
from notchflow.hosting.shared_limits import TERMS, SharedLimits
from notchflow.net.exchange import LocalReply
from notchflow.operations.metrics import ClassCounts
from notchflow.state.database import Database
from notchflow.tenancy.problems import reply

log = logging.getLogger(__name__)
FOLDER: Final = "cluster"  # below the state folder
LOOK_S: Final = 0.25  # how often the number of proxies is looked at
# What the log says of what the core tells; the rest is in the history alone. Each text is a message of its
# own to the log's filter: what varies in it must be bounded.
SAYINGS: Final[dict[str, tuple[int, str]]] = {
    "joined": (logging.INFO, "joined the fleet: {members} members are there"),
    "alive": (logging.INFO, "member {subject} is there"),
    "dead": (logging.WARNING, "member {subject} is held dead"),
    "left": (logging.INFO, "member {subject} has left"),
    "life": (logging.INFO, "member {subject} has begun a new life"),
    "standing": (logging.WARNING, "standing: {standing} (before: {before})"),
    "link": (logging.WARNING, "the link to {subject}: {link} (before: {before})"),
    "refuted": (logging.WARNING, "was held {held} by others, and told them otherwise"),
    "rose": (logging.WARNING, "an earlier life of this name was known: begins a newer one"),
    "contested": (
        logging.ERROR,
        "another instance has this name now, and is newer: nothing new is taken "
        "here; end this one, or give it a name of its own",
    ),
}
DISAGREEMENTS: Final = {
    "stranger": "{subject} is not on the roster here, and nothing that it says is taken; make the "
    "rosters equal",
    "denied": "{subject} turns this instance away: {reason}",
    "rosters": "{subject} has another roster, and counts majorities by it; make the rosters equal",
    "two-instances": "two living instances have the name {subject}; the newer one keeps it, the other takes "
    "nothing",
    "two-names": "{subject} and {answers_as} lead to one instance; mend cluster.addresses or the names",
    "foreign": "{subject} sends what no instance of this fleet has written ({why}); another secret, or "
    "another program",
    "malformed": "{subject} sends what cannot be read ({why})",
    "version": "{subject} {why}",
    "misled": "{subject}: {why}; mend its cluster.addresses",
}


def _version() -> str:
    try:
        return version("notchflow")
    except PackageNotFoundError:  # run from its sources
        return ""


class Membership:
    """The member of one service process."""

    def __init__(
        self,
        model: ClusterModel,
        state: Path,
        secret: bytes,
        loop: asyncio.AbstractEventLoop,
        balancers: Callable[[int], None],
        longest_ms: float,
        db: Database,
        classes: Mapping[str, ClassCounts],
        history: Path | None = None,
    ) -> None:
        """`classes`: what became of requests here. IdentityError, OSError: the folder. Of its log also
        StoreError, ManifestError, Locked."""
        self.model, self.loop, self.balancers = model, loop, balancers
        self.folder = state / FOLDER
        taken = identity.begin_incarnation(self.folder, model.name, int(time.time() * 1e3))
        self.history = History(history, model.name)
        life = Incarnation(taken.epoch, secrets.randbits(62))
        me = Record(model.name, life, 0, State.ALIVE, model.listen, _version())
        self.core = Members(me, model.roster, model.core(), Random(secrets.randbits(64)), model.seeds)
        self.edge = ClusterTransport(
            loop, self.core, secret, model.listen, model.addresses, self._keep, self._told
        )
        self.limits = (
            SharedLimits(loop, self.edge, Random(secrets.randbits(64)), longest_ms, classes)
            if model.limits == "fleet"
            else None
        )
        self.rules = (
            FleetRules(model.name, model.roster, self.edge, self.folder, db, not taken.anomaly, self._note)
            if model.rules == "fleet"
            else None
        )
        self.count = FleetSize()
        self.looking: asyncio.TimerHandle | None = None
        self.changed: list[Callable[[], None]] = []  # called where requests may be taken from now on, or not
        self.took = False
        if taken.anomaly:
            self._disagreement("folder", taken.anomaly)

    def _note(self, what: str, **more: Any) -> None:
        self.history.note(str(self.core.name_claim.incarnation), what, **more)

    def _disagreement(self, kind: str, why: str) -> None:
        self.history.note(str(self.core.name_claim.incarnation), "disagree", kind=kind, why=why)
        (log.info if why == "new" else log.warning)(f"the folder of this member: {why}")

    # -- life
    def bind(self) -> None:
        """Takes its sockets, before clients are listened for. OSError: an address is taken."""
        self.edge.bind()

    def start(self) -> None:
        self.edge.start()
        if self.limits is not None:
            self.limits.start()
        if self.rules is not None:
            self.rules.start()
        self._look()

    def leave(self) -> None:
        """SIGTERM: the others know at once, and ask nothing of this one any more."""
        if self.looking is not None:
            self.looking.cancel()
        if self.rules is not None:
            self.rules.stop()
        self.edge.leave()

    def close(self) -> None:
        if self.looking is not None:
            self.looking.cancel()
        if self.limits is not None:
            self.limits.stop()
        if self.rules is not None:
            self.rules.close()
        self.edge.close()
        self.history.close()

    def _look(self) -> None:
        self.looking = self.loop.call_later(LOOK_S, self._look)
        now = self.edge.now()
        if self.count.observe(now, self.core.present_count(), self.core.standing(now)):
            log.info(f"the number of proxies is {self.count.value} from now on")
            self.history.note(str(self.core.name_claim.incarnation), "balancers", count=self.count.value)
            self.balancers(self.count.value)

    # -- what the core has to say
    def _keep(self, life: Incarnation) -> None:
        try:
            identity.save_epoch(self.folder, self.model.name, life.epoch)
        except OSError as error:  # the fleet corrects the next start
            log.error("the epoch of this life could not be kept: %s", error)

    def _told(self, told: MembershipEvent) -> None:
        self.history.note(
            str(self.core.name_claim.incarnation),
            told.what,
            **({"subject": told.subject} if told.subject else {}),
            **told.details,
        )
        takes = self.core.accepts_requests()
        if takes is not self.took:
            self.took = takes
            self.history.note(str(self.core.name_claim.incarnation), "takes", takes=takes, pid=os.getpid())
            for call in self.changed:
                call()
        values = {"subject": told.subject, "reason": "", "why": "", "answers_as": ""} | told.details
        if told.what == "disagree":
            log.warning("cluster: " + DISAGREEMENTS[told.details["kind"]].format(**values))
        elif told.what == "slept":
            log.warning("cluster: slept for %s ms; nobody is blamed for it", told.details["ms"])
        elif told.what in SAYINGS:
            level, text = SAYINGS[told.what]
            log.log(level, "cluster: " + text.format(**values))

    # -- what clients and operators see
    def ready(self, away: bool) -> LocalReply:
        """The answer to a readiness check, with the standing. Ready is who may take requests and has its part
        of the tenants' limits."""
        standing = self.core.standing(self.edge.now()).value
        fields = (b"X-Standing: %b\r\n" % standing.encode(), b"X-Instance: %b\r\n" % self.model.name.encode())
        opened = (self.limits is None or self.limits.opened()) and (
            self.rules is None or self.rules.may_act()
        )
        return LocalReply(200 if opened and self.core.accepts_requests() and not away else 503, fields, b"")

    def turned_away(self) -> LocalReply | None:
        """What a request is told while this instance may take none under its name."""
        if (
            self.core.accepts_requests() or self.core.name_claim.state is ClaimState.LEFT
        ):  # who leaves serves what still comes
            return None
        if self.core.name_claim.state is ClaimState.CONTESTED:
            why = "Another instance has this one's name; nothing was done, trying again is harmless."
        else:
            why = "This instance is not a member of its fleet yet, or no more; nothing was done."
        return reply(503, "refused", why, 1.0)

    def lines(self) -> list[str]:
        """For the console."""
        now, core = self.edge.now(), self.core
        standing = core.standing(now)
        states = {word: 0 for word in STATE_NAMES.values()}
        for record in core.view:
            states[STATE_NAMES[record.state]] += 1
        found = [
            f'cluster_standing{{standing="{standing.value}"}} 1',
            f"cluster_takes {int(core.accepts_requests())}",
            f"cluster_balancers {self.count.value}",
            f"cluster_awareness {core.local_health.score}",
            f"cluster_slept_ms {core.slept_ms:.0f}",
        ]
        found += [f'cluster_members{{state="{word}"}} {count}' for word, count in states.items()]
        found += self.limits.lines() if self.limits is not None else []
        found += self.rules.metrics_lines() if self.rules is not None else []
        return found + [f"cluster_{name} {count}" for name, count in sorted(self.edge.metrics.items())]

    def bounds(self) -> dict[str, float]:
        """What follows from the settings, by the formulas of docs/operators/cluster.md; milliseconds."""
        settings, size = self.core.settings, self.core.roster_size
        return {
            "contact_ms": settings.contact_bound_ms(size),
            "detection_ms": settings.detection_bound_ms(size),
            "heal_ms": settings.heal_bound_ms(size),
            "one_name_ms": settings.one_name_bound_ms(size),
            "lent_ms": TERMS.outstanding_ms,
        } | ({"rules_ms": self.rules.settings.divergence_bound_ms} if self.rules is not None else {})

    def show(self) -> dict[str, Any]:
        """`GET /v1/cluster`."""
        now, core = self.edge.now(), self.core
        return {
            "name": core.name,
            "incarnation": str(core.name_claim.incarnation),
            "standing": core.standing(now).value,
            "takes": core.accepts_requests(),
            "hold": core.name_claim.state.value,
            "balancers": self.count.value,
            "members": [self._member(name, now) for name in core.view.roster],
            "bounds": {name: round(value, 1) for name, value in self.bounds().items()},
            "disagreements": sorted(core.disagreements),
            "view": f"{core.view.digest:016x}",
            "rules": self.rules.status() if self.rules is not None else None,
            "figures": self.limits.by_class() if self.limits is not None else None,
        }

    def _member(self, name: str, now: float) -> dict[str, Any]:
        core = self.core
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
