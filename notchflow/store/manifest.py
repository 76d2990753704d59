"""The manifest: a small file that lists the segments of the store and is replaced atomically.

A file that it does not list is not part of the store, so a compaction takes effect at the moment its manifest
does.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from typing import Final

from notchflow.store.files import Files, read_file, write_file
from notchflow.store.frames import crc

NAME: Final = "manifest"
DRAFT: Final = "manifest.new"
SEGMENT_NAME: Final = re.compile(r"([0-9a-f]{16})\.(log|hint|draft)")


class ManifestError(Exception):
    """The manifest is missing or invalid."""


@dataclass(frozen=True, slots=True)
class Manifest:
    """The segments, oldest first; the last one is the active one. `sealed` holds the lengths of the others.
    `clock` is the latest known time of the store's clock, in milliseconds. `next_segment` is the lowest
    number that was never used."""

    segments: tuple[int, ...] = ()
    sealed: dict[int, int] = field(default_factory=dict)
    next_segment: int = 1
    clock: int = 0
    clean: bool = False  # clean shutdown: `sealed` holds the last segment's length as well

    def encode(self) -> bytes:
        """The file's content: a checksum and JSON."""
        body = json.dumps(
            {
                "segments": self.segments,
                "sealed": {str(k): v for k, v in self.sealed.items()},
                "next_segment": self.next_segment,
                "clock": self.clock,
                "clean": self.clean,
            },
            separators=(",", ":"),
        ).encode()
        return b"%08x %b\n" % (crc(body), body)


def decode(data: bytes) -> Manifest:
    """Decodes a manifest file. Raises ManifestError with the reason."""
    stored_crc, _, body = data.rstrip(b"\n").partition(b" ")
    if stored_crc != b"%08x" % crc(body):
        raise ManifestError(f"{NAME}: its checksum differs")
    try:
        fields = json.loads(body)
        return Manifest(
            tuple(int(n) for n in fields["segments"]),
            {int(k): int(v) for k, v in fields["sealed"].items()},
            int(fields["next_segment"]),
            int(fields["clock"]),
            bool(fields["clean"]),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ManifestError(f"{NAME}: {error!r}") from None


def load(files: Files) -> Manifest | None:
    """Loads the manifest; None if there is no store yet. Raises ManifestError, OSError."""
    if NAME not in files.names():
        return None
    return decode(read_file(files, NAME))


def draft(files: Files, manifest: Manifest) -> None:
    """Writes a draft beside the current manifest, which stays valid after an OSError."""
    write_file(files, DRAFT, manifest.encode(), sync=True)


def publish(files: Files) -> None:
    """Makes the draft the current manifest. After an OSError a crash may leave either of the two."""
    files.rename(DRAFT, NAME)
    files.sync_folder()


def replace(files: Files, manifest: Manifest) -> None:
    """Replaces the manifest; the new one is durable when this returns."""
    draft(files, manifest)
    publish(files)


def log_name(segment: int) -> str:
    """The name of a segment file."""
    return f"{segment:016x}.log"


def hint_name(segment: int) -> str:
    """The name of a segment's hint file."""
    return f"{segment:016x}.hint"


def segment_of(name: str) -> int | None:
    """The segment that a file belongs to; None if the store has no such files."""
    match = SEGMENT_NAME.fullmatch(name)
    return int(match[1], 16) if match else None
