"""The core of members over all schedules of a few faults, and mutants of it that these must find."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import pytest

from notchflow.cluster import members, model
from notchflow.cluster.contacts import Contacts
from notchflow.cluster.members import Members
from notchflow.cluster.model import Record, State
from notchflow.cluster.name_claim import NameClaim
from notchflow.cluster.probes import ProbeOrder
from notchflow.cluster.suspicion import Suspicion
from notchflow.emulator.explorer import Play, Scope, explore

LONG = bool(os.environ.get("NOTCHFLOW_LONG"))
SMALL = Scope(losses=1, times=(0.0, 600.0))
FEW = Scope(losses=0, times=(300.0,))


def test_every_schedule_in_the_bounds_holds() -> None:
    """4,575 cases in CI's bounds would take a minute; it plays 806. The long run plays 38,125."""
    count, broken = explore(Scope() if LONG else SMALL, os.cpu_count() or 1)
    assert count == (38_125 if LONG else 806)
    assert broken == []


def first_broken(scope: Scope) -> list[str]:
    """What the first case that breaks something breaks; nothing where all hold."""
    for case in scope.cases():
        found = Play(case).run()
        if found:
            return found
    return []


Patch = Callable[[pytest.MonkeyPatch], None]


def refutes_nothing(patch: pytest.MonkeyPatch) -> None:
    before = Members._apply_own_record

    def heard(self: Members, now: float, record: Record) -> None:
        if record.incarnation != self.name_claim.incarnation:
            before(self, now, record)

    patch.setattr(Members, "_apply_own_record", heard)


def refutes_in_the_same_revision(patch: pytest.MonkeyPatch) -> None:
    before = Members._set_own_record
    patch.setattr(Members, "_set_own_record", lambda self, now, revision: before(self, now, 0))


def a_later_life_covers_nothing(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        Record,
        "rank",
        lambda self: (
            model.NO_INCARNATION,
            self.state is State.LEFT,
            self.revision,
            self.state,
            self.address,
            str(self.incarnation),
        ),
    )


def leaving_is_not_the_last_word(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        Record,
        "rank",
        lambda self: (
            self.incarnation,
            False,
            self.revision,
            State.ALIVE if self.state is State.LEFT else self.state,
            self.address,
            self.version,
        ),
    )


def the_older_instance_keeps_the_name(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(NameClaim, "accepts_requests", property(lambda self: True))


def the_older_instance_takes_the_name_back(patch: pytest.MonkeyPatch) -> None:
    def hear(self: NameClaim, record: Record) -> bool:
        self.begin_newer_incarnation(record.incarnation)
        return True

    patch.setattr(NameClaim, "handle_newer_record", hear)


def a_lost_folder_is_not_made_up_for(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(NameClaim, "begin_newer_incarnation", lambda self, above: None)


def the_dead_and_cut_off_are_not_probed(patch: pytest.MonkeyPatch) -> None:
    before = Members._send_probe

    def probe(self: Members, now: float, target: str) -> None:
        held = self.view.get(target)
        if held is not None and held.present:
            before(self, now, target)

    patch.setattr(Members, "_send_probe", probe)
    patch.setattr(Members, "_contact_seeds", lambda self, now: setattr(self, "join_at", float("inf")))


def suspicion_has_no_end(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Suspicion, "expires_at", lambda self: float("inf"))


def a_suspicion_is_a_verdict(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Suspicion, "expires_at", lambda self: self.started_at)


def who_is_heard_is_held_reached(patch: pytest.MonkeyPatch) -> None:
    before = Contacts.record_heard

    def heard(self: Contacts, name: str, now: float) -> None:
        before(self, name, now)
        self.record_ack(name, now)

    patch.setattr(Contacts, "record_heard", heard)


def leaving_is_not_told(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(members, "LEAVE_NOTIFIED_MAX", 0)


def one_member_is_never_probed(patch: pytest.MonkeyPatch) -> None:
    before = ProbeOrder.next

    def step(self: ProbeOrder, left: frozenset[str]) -> Any:
        return before(self, left | {"p1"})

    patch.setattr(ProbeOrder, "next", step)


MUTANTS: tuple[Patch, ...] = (
    refutes_nothing,
    refutes_in_the_same_revision,
    a_later_life_covers_nothing,
    leaving_is_not_the_last_word,
    the_older_instance_keeps_the_name,
    the_older_instance_takes_the_name_back,
    a_lost_folder_is_not_made_up_for,
    the_dead_and_cut_off_are_not_probed,
    suspicion_has_no_end,
    a_suspicion_is_a_verdict,
    who_is_heard_is_held_reached,
    leaving_is_not_told,
    one_member_is_never_probed,
)


def test_the_few_cases_that_mutants_are_judged_by_hold() -> None:
    assert first_broken(FEW) == []


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_a_mutant_is_found(mutant: Patch, monkeypatch: pytest.MonkeyPatch) -> None:
    mutant(monkeypatch)
    assert first_broken(FEW)
