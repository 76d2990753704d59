"""The commands `notchflow store check|dump|compact|repair DIR`, for a store that no process has open."""

from __future__ import annotations

import argparse
import json
import sys

from notchflow.effects.record import decode
from notchflow.store import tools
from notchflow.store.engine import StoreError
from notchflow.store.files import RealFiles, StoreLockedError
from notchflow.store.frames import Record
from notchflow.store.manifest import ManifestError

SOUND, DAMAGED, UNUSABLE = 0, 1, 2


def run(options: argparse.Namespace) -> int:
    """Runs the command and returns its exit status: 0 if the store is sound or the work is done, 1 if it is
    damaged, 2 if it cannot be used or another process has it open."""
    if not options.folder.is_dir():
        print(f"{options.folder}: there is no such folder", file=sys.stderr)
        return UNUSABLE
    files = RealFiles(options.folder)
    try:
        return {"check": _check, "dump": _dump, "compact": _compact, "repair": _repair}[options.action](
            files, options
        )
    except (StoreLockedError, ManifestError, StoreError, OSError) as error:
        print(f"notchflow: {error}", file=sys.stderr)
        return UNUSABLE


def _check(files: RealFiles, _: argparse.Namespace) -> int:
    report = tools.check(files)
    for segment in report.segments:
        print(
            f"{segment.name}: {segment.length} bytes, {segment.batches} batches, {segment.records} records, "
            f"numbers {segment.first_number} to {segment.last_number}"
        )
    for damage in report.damages:
        print(damage)
    print("sound" if report.sound else "damaged: 'notchflow store repair' sets aside what cannot be read")
    return SOUND if report.sound else DAMAGED


def _dump(files: RealFiles, options: argparse.Namespace) -> int:
    for record in tools.records(files, tools.store_clock(), options.all):
        print(json.dumps(printable_record(record)))
    return SOUND


def printable_record(record: Record) -> dict[str, object]:
    """A record as printed by `dump`: the key as text, and the decoded value of an idempotency record."""
    fields: dict[str, object] = {
        "number": record.number,
        "kind": record.kind.name.lower(),
        "key": record.key.decode("utf-8", "backslashreplace"),
        "expires_ms": record.expires,
    }
    try:
        effect = decode(record.value)
    except ValueError:
        return fields | {"value": record.value.hex()}
    return fields | {
        "fate": effect.fate.name.lower(),
        "status": effect.status,
        "fingerprint": effect.fingerprint.hex(),
        "boot": f"{effect.boot:016x}",
        "first_ms": effect.first_ms,
    }


def _compact(files: RealFiles, _: argparse.Namespace) -> int:
    before, after = tools.compact(files, tools.store_clock())
    print(f"{before} bytes before, {after} after")
    return SOUND


def _repair(files: RealFiles, _: argparse.Namespace) -> int:
    damages = tools.repair(files)
    for damage in damages:
        print(damage)
    print(f"{len(damages)} places set aside" if damages else "there is nothing to repair")
    return SOUND
