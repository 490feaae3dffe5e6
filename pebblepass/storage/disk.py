"""The disk interface, and its implementation by a directory.

Written data is durable once the file is synced, and a file name once the directory is synced. After a power
loss, a file that was not synced may be incomplete or have sectors of zeros, and a renamed file may have its
old name.
"""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """The files of one directory, by name. Each call raises OSError if the disk fails."""

    def read(self, name: str) -> bytes | None:
        """Return the content of a file; None: the file does not exist."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if needed. The data is durable only after `sync`."""

    def truncate(self, name: str, size: int) -> None:
        """Keep the first `size` bytes of a file; durable after `sync`."""

    def create(self, name: str, data: bytes) -> None:
        """Create or overwrite a file with these bytes; durable after `sync`."""

    def sync(self, name: str) -> None:
        """Make all data written to the file durable."""

    def rename(self, name: str, target: str) -> None:
        """Rename a file atomically, replacing `target` if it exists; durable after `sync_directory`."""

    def sync_directory(self) -> None:
        """Make all file names durable."""


class Directory:
    """A directory of a file system; implements Disk."""

    def __init__(self, path: str | Path) -> None:
        self._path = Path(path)
        self._lock: int | None = None

    def lock(self) -> bool:
        """Lock the directory until `unlock` or the process ends; return False if another process has it."""
        if self._lock is not None:
            return True
        descriptor = os.open(self._path / "lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(descriptor)
            return False
        except OSError:
            os.close(descriptor)
            raise
        self._lock = descriptor
        return True

    def unlock(self) -> None:
        """Release the lock."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None

    def read(self, name: str) -> bytes | None:
        """See Disk."""
        try:
            return (self._path / name).read_bytes()
        except FileNotFoundError:
            return None

    def append(self, name: str, data: bytes) -> None:
        """See Disk."""
        self._write(name, os.O_APPEND, data)

    def create(self, name: str, data: bytes) -> None:
        """See Disk."""
        self._write(name, os.O_TRUNC, data)

    def truncate(self, name: str, size: int) -> None:
        """See Disk."""
        os.truncate(self._path / name, size)

    def sync(self, name: str) -> None:
        """See Disk."""
        self._sync(self._path / name)

    def rename(self, name: str, target: str) -> None:
        """See Disk."""
        (self._path / name).replace(self._path / target)

    def sync_directory(self) -> None:
        """See Disk."""
        self._sync(self._path)

    def _write(self, name: str, mode: int, data: bytes) -> None:
        descriptor = os.open(self._path / name, os.O_CREAT | os.O_WRONLY | os.O_CLOEXEC | mode, 0o600)
        try:
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[os.write(descriptor, remaining) :]
        finally:
            os.close(descriptor)

    def _sync(self, path: Path) -> None:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def replace_file(disk: Disk, name: str, data: bytes) -> None:
    """Replace a file atomically, so that a reader finds either the old or the new content.

    Raises OSError if that fails; the old file is then unchanged.
    """
    temporary = name + ".new"
    disk.create(temporary, data)
    disk.sync(temporary)
    disk.rename(temporary, name)
    with suppress(OSError):  # the new file is in place; a power loss may only bring back the old one
        disk.sync_directory()
