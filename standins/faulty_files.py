"""An in-memory folder that fails like a disk: a power cut tears, reorders or loses what was not synced.

Stands in for `notchflow.store.files.Files`, and does not depend on the store. A power cut may leave:

- of bytes written since a file's last sync, any set of 512-byte sectors; the others hold zeros or their old
content;
- of names created, renamed and removed since the folder's last sync, any subset of these changes;
- after a failed sync, nothing of what it should have made durable, even if later syncs succeed (the kernel
has marked the pages clean).
"""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass, field

from notchflow.store.files import File, StoreLockedError

SECTOR = 512


class PowerCut(BaseException):
    """The power fails in the middle of an operation."""


@dataclass(slots=True)
class Inode:
    """A file's bytes as readers see them and as they are on the disk, and the writes in between."""

    visible: bytearray = field(default_factory=bytearray)
    durable: bytes = b""
    writes: list[tuple[int, bytes]] = field(default_factory=list)  # a truncation has its offset and no bytes
    sync_failed: bool = False  # a sync has failed

    def after_cut(self, rng: random.Random) -> bytes:
        """The content after a power cut."""
        data = bytearray(self.durable)
        torn = rng.random() < 0.5
        for offset, written in self.writes:
            if not written:
                if rng.random() < 0.5:
                    del data[offset:]
                continue
            stop = rng.randrange(len(written) + 1) if torn else len(written)
            for start in range(0, stop, SECTOR):
                if torn or rng.random() < 0.5:
                    piece = written[start : min(start + SECTOR, stop)]
                    if len(data) < offset + start:
                        data.extend(bytes(offset + start - len(data)))
                    data[offset + start : offset + start + len(piece)] = piece
        return bytes(data)


class FaultyFile:
    """An open file."""

    def __init__(self, folder: FaultyFiles, inode: Inode) -> None:
        self.folder, self.inode = folder, inode

    def append(self, data: bytes) -> None:
        """Appends bytes; where there is no room for all, as many as fit, and ENOSPC."""
        room = self.folder.operation("append", len(data))
        written, inode = data[:room], self.inode
        if written:
            inode.writes.append((len(inode.visible), bytes(written)))
            inode.visible += written
        if room < len(data):
            raise OSError(errno.ENOSPC, "no space left")

    def read(self, offset: int, size: int) -> bytes:
        """At most `size` bytes from `offset` on."""
        return bytes(self.inode.visible[offset : offset + size])

    def size(self) -> int:
        """The file's size in bytes."""
        return len(self.inode.visible)

    def truncate(self, size: int) -> None:
        """Cuts the file to this size."""
        self.folder.operation("truncate")
        self.inode.writes.append((size, b""))
        del self.inode.visible[size:]

    def sync(self) -> None:
        """Makes the file's bytes durable, unless a sync has failed before."""
        inode = self.inode
        try:
            self.folder.operation("sync")
        except OSError:
            inode.sync_failed = True
            raise
        if not inode.sync_failed:
            inode.durable = bytes(inode.visible)
            inode.writes.clear()

    def close(self) -> None:
        """Does nothing."""
        pass


class FaultyFiles:
    """The folder. `cut_at`: number of the operation, counted from 1, in which the power fails. `errors`:
    errno by operation number. `capacity`: total bytes of all files."""

    def __init__(
        self,
        cut_at: int | None = None,
        errors: dict[int, int] | None = None,
        capacity: int | None = None,
        seed: int = 0,
    ) -> None:
        self.cut_at, self.errors, self.capacity = cut_at, errors or {}, capacity
        self.rng = random.Random(seed)
        self.operations = 0
        self.kinds: list[str] = []  # kind of each operation, for tests that choose one
        self.files: dict[str, Inode] = {}
        self.durable: dict[str, Inode] = {}
        self.changes: list[tuple[str, str, Inode | None]] = []
        self.locked = False

    def operation(self, kind: str, size: int = 0) -> int:
        """Counts an operation that changes something. Returns how many of its `size` bytes fit."""
        self.operations += 1
        self.kinds.append(kind)
        if self.operations == self.cut_at:
            raise PowerCut(f"in operation {self.operations}, {kind}")
        if self.operations in self.errors:
            raise OSError(self.errors[self.operations], "injected error")
        if self.capacity is None:
            return size
        return max(min(size, self.capacity - sum(len(i.visible) for i in self.files.values())), 0)

    def names(self) -> list[str]:
        """The names of all files, sorted."""
        return sorted(self.files)

    def create(self, name: str) -> File:
        """A new, empty file."""
        if name in self.files:
            raise FileExistsError(errno.EEXIST, name)
        self.operation("create")
        self.files[name] = Inode()
        self.changes.append(("link", name, self.files[name]))
        return FaultyFile(self, self.files[name])

    def open(self, name: str) -> File:
        """An existing file."""
        if name not in self.files:
            raise FileNotFoundError(errno.ENOENT, name)
        return FaultyFile(self, self.files[name])

    def rename(self, old: str, new: str) -> None:
        """Renames a file, and replaces one of the new name."""
        self.operation("rename")
        self.files[new] = inode = self.files.pop(old)
        self.changes.append(("rename", f"{old}/{new}", inode))

    def remove(self, name: str) -> None:
        """Removes a file."""
        self.operation("remove")
        del self.files[name]
        self.changes.append(("unlink", name, None))

    def sync_folder(self) -> None:
        """Makes created, renamed and removed names durable."""
        self.operation("sync_folder")
        self.durable = dict(self.files)
        self.changes.clear()

    def lock(self) -> None:
        """Locks the folder; StoreLockedError if it is locked already."""
        if self.locked:
            raise StoreLockedError("another process has this store open")
        self.locked = True

    def unlock(self) -> None:
        """Releases the lock."""
        self.locked = False

    def after_cut(self, seed: int) -> FaultyFiles:
        """The folder as found after a power cut."""
        rng = random.Random(seed)
        names = dict(self.durable)
        probability = rng.choice([0.0, 0.5, 1.0])
        for what, name, inode in self.changes:
            if rng.random() >= probability:
                continue
            if what == "link" and inode is not None:
                names[name] = inode
            elif what == "unlink":
                names.pop(name, None)
            elif inode is not None:
                old, new = name.split("/")
                if names.get(old) is inode:
                    del names[old]
                    names[new] = inode
        found = FaultyFiles(seed=seed)
        kept: dict[int, Inode] = {}
        for name, inode in names.items():
            if id(inode) not in kept:
                data = inode.after_cut(rng)
                kept[id(inode)] = Inode(bytearray(data), data)
            found.files[name] = kept[id(inode)]
        found.durable = dict(found.files)
        return found

    def copy(self) -> FaultyFiles:
        """A copy without faults whose bytes are all durable."""
        found = FaultyFiles()
        found.files = {n: Inode(bytearray(i.visible), bytes(i.visible)) for n, i in self.files.items()}
        found.durable = dict(found.files)
        return found
