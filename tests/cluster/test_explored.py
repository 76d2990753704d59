"""Membership protocol under all schedules of a few faults, and mutants of it that these schedules must
detect."""

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
from notchflow.emulator.explorer import CaseRunner, Scope, explore

LONG = bool(os.environ.get("NOTCHFLOW_LONG"))
SMALL = Scope(losses=1, times=(0.0, 600.0))
FEW = Scope(losses=0, times=(300.0,))


def test_every_schedule_within_the_bounds_holds() -> None:
    """806 cases in CI (4,575 would take a minute), 38,125 in the long run."""
    count, violations = explore(Scope() if LONG else SMALL, os.cpu_count() or 1)
    assert count == (38_125 if LONG else 806)
    assert violations == []


def first_violation(scope: Scope) -> list[str]:
    """Violations of the first case that has any; empty if all hold."""
    for case in scope.cases():
        found = CaseRunner(case).run()
        if found:
            return found
    return []


Patch = Callable[[pytest.MonkeyPatch], None]


def never_refutes(patch: pytest.MonkeyPatch) -> None:
    original = Members._apply_own_record

    def apply_own_record(self: Members, now: float, record: Record) -> None:
        if record.incarnation != self.name_claim.incarnation:
            original(self, now, record)

    patch.setattr(Members, "_apply_own_record", apply_own_record)


def refutes_with_the_same_revision(patch: pytest.MonkeyPatch) -> None:
    original = Members._set_own_record
    patch.setattr(Members, "_set_own_record", lambda self, now, revision: original(self, now, 0))


def newer_incarnation_does_not_override(patch: pytest.MonkeyPatch) -> None:
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


def leave_is_not_final(patch: pytest.MonkeyPatch) -> None:
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


def older_instance_keeps_the_name(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(NameClaim, "accepts_requests", property(lambda self: True))


def older_instance_reclaims_the_name(patch: pytest.MonkeyPatch) -> None:
    def handle_newer_record(self: NameClaim, record: Record) -> bool:
        self.begin_newer_incarnation(record.incarnation)
        return True

    patch.setattr(NameClaim, "handle_newer_record", handle_newer_record)


def lost_folder_is_not_compensated(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(NameClaim, "begin_newer_incarnation", lambda self, known: None)


def dead_members_are_not_probed(patch: pytest.MonkeyPatch) -> None:
    original = Members._send_probe

    def send_probe(self: Members, now: float, target: str) -> None:
        known = self.view.get(target)
        if known is not None and known.present:
            original(self, now, target)

    patch.setattr(Members, "_send_probe", send_probe)
    patch.setattr(Members, "_contact_seeds", lambda self, now: setattr(self, "join_at", float("inf")))


def suspicion_never_expires(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Suspicion, "expires_at", lambda self: float("inf"))


def suspicion_expires_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Suspicion, "expires_at", lambda self: self.started_at)


def any_message_counts_as_ack(patch: pytest.MonkeyPatch) -> None:
    original = Contacts.record_heard

    def record_heard(self: Contacts, name: str, now: float) -> None:
        original(self, name, now)
        self.record_ack(name, now)

    patch.setattr(Contacts, "record_heard", record_heard)


def leave_is_not_announced(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(members, "LEAVE_NOTIFIED_MAX", 0)


def one_member_is_never_probed(patch: pytest.MonkeyPatch) -> None:
    original = ProbeOrder.next

    def next_member(self: ProbeOrder, left: frozenset[str]) -> Any:
        return original(self, left | {"p1"})

    patch.setattr(ProbeOrder, "next", next_member)


MUTANTS: tuple[Patch, ...] = (
    never_refutes,
    refutes_with_the_same_revision,
    newer_incarnation_does_not_override,
    leave_is_not_final,
    older_instance_keeps_the_name,
    older_instance_reclaims_the_name,
    lost_folder_is_not_compensated,
    dead_members_are_not_probed,
    suspicion_never_expires,
    suspicion_expires_at_once,
    any_message_counts_as_ack,
    leave_is_not_announced,
    one_member_is_never_probed,
)


def test_cases_for_mutants_hold_without_a_mutant() -> None:
    assert first_violation(FEW) == []


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_mutant_violates_an_invariant(mutant: Patch, monkeypatch: pytest.MonkeyPatch) -> None:
    mutant(monkeypatch)
    assert first_violation(FEW)
