"""The disk as an interface, and the directory of a real one.

What has been written is durable once it is synced, a name once its directory is. Nothing else is promised: a
file that was not synced may come back in part, with whole sectors as zeros, and a name that was not synced
may come back as it was before.
"""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """Files in one directory, by name; each call raises OSError where the disk fails."""

    def read(self, name: str) -> bytes | None:
        """Return the content of a file; None: there is none."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created where there is none. Durable after `sync` only."""

    def truncate(self, name: str, size: int) -> None:
        """Keep the first `size` bytes; durable after `sync`."""

    def create(self, name: str, data: bytes) -> None:
        """Create or overwrite a file with these bytes; durable after `sync`."""

    def sync(self, name: str) -> None:
        """Return once all that was written to the file is durable."""

    def rename(self, name: str, target: str) -> None:
        """Rename a file target another, atomically; durable after `sync_directory`."""

    def sync_directory(self) -> None:
        """Return once all names are durable."""


class Directory:
    """A real directory."""

    def __init__(self, path: str | Path) -> None:
        self._path = Path(path)
        self._lock: int | None = None

    def lock(self) -> bool:
        """Lock the directory until `unlock` or the end of the process; False: another process holds it."""
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
            left = memoryview(data)
            while left:
                left = left[os.write(descriptor, left) :]
        finally:
            os.close(descriptor)

    def _sync(self, path: Path) -> None:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def replace_file(disk: Disk, name: str, data: bytes) -> None:
    """Replace a file atomically: a reader sees the old or the new one, and the new one is durable.

    Raises OSError; the old file is unchanged then.
    """
    temporary = name + ".new"
    disk.create(temporary, data)
    disk.sync(temporary)
    disk.rename(temporary, name)
    with suppress(OSError):  # the new one is in place; without the sync it may be lost, and not torn
        disk.sync_directory()
