"""Persistent identity of an instance: its name and the epoch of its last incarnation."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Final

IDENTITY_FILE: Final = "identity.json"


class IdentityError(Exception):
    """The state folder or the secret cannot be used; the message names the remedy."""


@dataclass(frozen=True, slots=True)
class StartedIncarnation:
    """Result of a start: the epoch of the new incarnation, and an anomaly of the folder (empty if none)."""

    epoch: int
    anomaly: str


def begin_incarnation(folder: Path, name: str, wall_ms: int) -> StartedIncarnation:
    """Begins an incarnation and stores its epoch. IdentityError, OSError.

    The epoch is greater than the last one. If the folder was lost it is greater than earlier epochs as far as
    the wall clock (`wall_ms`) goes; if that was set back, the fleet corrects the epoch.
    """
    path = folder / IDENTITY_FILE
    try:
        text: str | None = path.read_text(encoding="utf-8")
        stat = os.stat(path)
    except FileNotFoundError:
        text = None
    last, anomaly = 0, ""
    if text is None:
        anomaly = "new"
    else:
        try:
            data = json.loads(text)
            owner, last = str(data["name"]), int(data["epoch"])
            location = int(data["device"]), int(data["inode"])
        except (ValueError, KeyError, TypeError) as error:
            anomaly = f"{path} is damaged ({error!r}) and is rewritten"
        else:
            if owner != name:
                raise IdentityError(
                    f"{path}: the folder is {owner!r}'s, and cluster.name is {name!r}; give "
                    "each name a state folder of its own, or remove this file to pass it on"
                )
            if location != (stat.st_dev, stat.st_ino):
                anomaly = f"{path} was copied or restored; if the original runs, the newer one has the name"
    epoch = max(last + 1, wall_ms)
    save_epoch(folder, name, epoch)
    return StartedIncarnation(epoch, anomaly)


def save_epoch(folder: Path, name: str, epoch: int) -> None:
    """Stores the epoch durably, by replacing the file atomically. OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    path, draft = folder / IDENTITY_FILE, folder / (IDENTITY_FILE + ".new")
    fd = os.open(draft, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        stat = os.fstat(fd)
        data = {"name": name, "epoch": epoch, "device": stat.st_dev, "inode": stat.st_ino}
        os.write(fd, json.dumps(data).encode())
        os.fsync(fd)
    finally:
        os.close(fd)
    os.rename(draft, path)
    folder_fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(folder_fd)
    finally:
        os.close(folder_fd)


def read_secret(path: Path, bytes_min: int) -> bytes:
    """Reads the fleet's secret. IdentityError if it is missing, too short, or accessible by others."""
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
    if len(secret) < bytes_min:
        raise IdentityError(f"is {str(path)!r} with {len(secret)} bytes; at least {bytes_min}")
    return secret
