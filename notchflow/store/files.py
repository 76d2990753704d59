"""The file operations that the store needs, and their implementation on a real directory.

Crash semantics (POSIX): of bytes that were not synced, any part may be on disk; that a file was created,
renamed or removed is durable only once its directory is synced.
"""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol


class StoreLockedError(Exception):
    """Another process has the directory open."""


class File(Protocol):
    """An open file."""

    def append(self, data: bytes) -> None:
        """Writes at the end of the file. After an OSError any part of the data may have been written."""

    def read(self, offset: int, size: int) -> bytes:
        """Reads `size` bytes, fewer only at the end of the file."""

    def size(self) -> int:
        """The length in bytes."""
        ...

    def truncate(self, size: int) -> None:
        """Cuts the file to `size` bytes."""
        ...

    def sync(self) -> None:
        """Makes everything written durable. After an OSError it is unknown what is durable."""

    def close(self) -> None:
        """Closes the file."""
        ...


class Files(Protocol):
    """One directory."""

    def names(self) -> list[str]:
        """The names of its files, without the lock file."""
        ...

    def create(self, name: str) -> File:
        """Creates an empty file. Raises FileExistsError."""

    def open(self, name: str) -> File:
        """Opens an existing file. Raises FileNotFoundError."""

    def rename(self, old: str, new: str) -> None:
        """Renames a file and replaces `new` if it exists."""
        ...

    def remove(self, name: str) -> None:
        """Removes a file."""
        ...

    def sync_folder(self) -> None:
        """Makes created, renamed and removed names durable."""
        ...

    def lock(self) -> None:
        """Locks the directory until `unlock` or the end of the process. Raises StoreLockedError."""

    def unlock(self) -> None:
        """Releases the lock."""
        ...


def read_file(files: Files, name: str) -> bytes:
    """Reads a whole file. Raises FileNotFoundError."""
    file = files.open(name)
    try:
        return file.read(0, file.size())
    finally:
        file.close()


def file_size(files: Files, name: str) -> int:
    """The length of a file in bytes. Raises FileNotFoundError."""
    file = files.open(name)
    try:
        return file.size()
    finally:
        file.close()


def remove_if_exists(files: Files, name: str) -> None:
    """Removes a file if it exists."""
    if name in files.names():
        files.remove(name)


def write_file(files: Files, name: str, data: bytes, sync: bool) -> None:
    """Creates a file with these bytes, replacing any file of the same name."""
    remove_if_exists(files, name)
    file = files.create(name)
    try:
        file.append(data)
        if sync:
            file.sync()
    finally:
        file.close()


class RealFile:
    """A file, accessed through its descriptor."""

    def __init__(self, path: Path, flags: int) -> None:
        self.descriptor = os.open(path, flags | os.O_RDWR | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def append(self, data: bytes) -> None:
        """Writes at the end of the file."""
        view = memoryview(data)
        while view:
            view = view[os.write(self.descriptor, view) :]

    def read(self, offset: int, size: int) -> bytes:
        """Reads `size` bytes, fewer only at the end of the file."""
        pieces = []
        while size > 0:
            piece = os.pread(self.descriptor, size, offset)
            if not piece:
                break
            pieces.append(piece)
            offset, size = offset + len(piece), size - len(piece)
        return b"".join(pieces)

    def size(self) -> int:
        """The length in bytes."""
        return os.fstat(self.descriptor).st_size

    def truncate(self, size: int) -> None:
        """Cuts the file to `size` bytes."""
        os.ftruncate(self.descriptor, size)

    def sync(self) -> None:
        """Makes everything written durable (fdatasync)."""
        os.fdatasync(self.descriptor)

    def close(self) -> None:
        """Closes the descriptor."""
        os.close(self.descriptor)


class RealFiles:
    """A real directory, which is created if it does not exist."""

    LOCK = "lock"

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.lock_file: int | None = None

    def names(self) -> list[str]:
        """The names of its files, without the lock file."""
        return sorted(name for name in os.listdir(self.folder) if name != self.LOCK)

    def create(self, name: str) -> File:
        """Creates an empty file. Raises FileExistsError."""
        return RealFile(self.folder / name, os.O_CREAT | os.O_EXCL)

    def open(self, name: str) -> File:
        """Opens an existing file. Raises FileNotFoundError."""
        return RealFile(self.folder / name, 0)

    def rename(self, old: str, new: str) -> None:
        """Renames a file and replaces `new` if it exists."""
        os.replace(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Removes a file."""
        os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        """Makes created, renamed and removed names durable."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self) -> None:
        """Locks the directory until `unlock` or the end of the process. Raises StoreLockedError."""
        descriptor = os.open(self.folder / self.LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(descriptor)
            if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
                raise StoreLockedError(f"{self.folder}: another process has this store open") from None
            raise
        self.lock_file = descriptor

    def unlock(self) -> None:
        """Releases the lock."""
        if self.lock_file is not None:
            os.close(self.lock_file)
            self.lock_file = None
