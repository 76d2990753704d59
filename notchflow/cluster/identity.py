"""What an instance keeps of itself: its name, and the epoch of its last life, in a folder of its own."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Final

FILE: Final = "identity.json"


class IdentityError(Exception):
    """The folder is another instance's, or cannot be used; the text says what to do."""


@dataclass(frozen=True, slots=True)
class Taken:
    """What a start found: the epoch of its life, and what was odd of the folder (empty: nothing)."""

    epoch: int
    anomaly: str


def begin_incarnation(folder: Path, name: str, wall_ms: int) -> Taken:
    """Begins a life: its epoch is above the last one's and, where the folder was lost, above any earlier
    one's as far as the wall clock goes; if that was set back the fleet corrects it. IdentityError, OSError.
    """
    path = folder / FILE
    try:
        text: str | None = path.read_text(encoding="utf-8")
        found = os.stat(path)
    except FileNotFoundError:
        text = None
    last, anomaly = 0, ""
    if text is None:
        anomaly = "new"
    else:
        try:
            data = json.loads(text)
            owner, last = str(data["name"]), int(data["epoch"])
            where = int(data["device"]), int(data["inode"])
        except (ValueError, KeyError, TypeError) as error:
            anomaly = f"{path} is damaged ({error!r}) and is written anew"
        else:
            if owner != name:
                raise IdentityError(
                    f"{path}: the folder is {owner!r}'s, and cluster.name is {name!r}; give "
                    "each name a state folder of its own, or remove this file to pass it on"
                )
            if where != (found.st_dev, found.st_ino):
                anomaly = f"{path} was copied or restored; if its origin still runs, the newer has the name"
    epoch = max(last + 1, wall_ms)
    save_epoch(folder, name, epoch)
    return Taken(epoch, anomaly)


def save_epoch(folder: Path, name: str, epoch: int) -> None:
    """Makes the epoch durable; what was there stays whole until then. OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    path, fresh = folder / FILE, folder / (FILE + ".new")
    handle = os.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        own = os.fstat(handle)
        data = {"name": name, "epoch": epoch, "device": own.st_dev, "inode": own.st_ino}
        os.write(handle, json.dumps(data).encode())
        os.fsync(handle)
    finally:
        os.close(handle)
    os.rename(fresh, path)
    above = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(above)
    finally:
        os.close(above)


def read_secret(path: Path, least: int) -> bytes:
    """The fleet's secret. IdentityError where it is missing, short, or not its owner's alone."""
    try:
        mode = path.stat().st_mode
        secret = path.read_bytes()
    except OSError as error:
        raise IdentityError(
            f"is {str(path)!r}, which cannot be read: {error.strerror}; make one: "
            f"head -c 32 /dev/urandom > {path.name} && chmod 600 {path.name}"
        ) from None
    if mode & 0o077:
        raise IdentityError(f"is {str(path)!r}, which others may use (mode {mode & 0o777:o}); chmod 600")
    if len(secret) < least:
        raise IdentityError(f"is {str(path)!r} with {len(secret)} bytes; at least {least}")
    return secret
