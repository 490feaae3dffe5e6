"""The disk as everything durable sees it, and the folder of a real one.

What has been written lasts once it is synced, a name once its folder is. Nothing else is promised: a file
that was not synced may come back in part, with whole sectors as zeros, and a name that was not synced may
come back as it was before.
"""

from __future__ import annotations

import fcntl
import os
from contextlib import suppress
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """Files in one folder, by name; each call raises OSError where the disk will not."""

    def read(self, name: str) -> bytes | None:
        """The whole file; None: there is none."""

    def append(self, name: str, data: bytes) -> None:
        """Write behind what is there; the file is made where there is none. It lasts after `sync` only."""

    def cut(self, name: str, size: int) -> None:
        """Keep the first bytes only; lasts after `sync`."""

    def create(self, name: str, data: bytes) -> None:
        """Make the file anew with these bytes; lasts after `sync`."""

    def sync(self, name: str) -> None:
        """Return once all that was written to the file lasts."""

    def rename(self, name: str, onto: str) -> None:
        """Give the file another's name, in one step; lasts after `sync_names`."""

    def sync_names(self) -> None:
        """Return once all names last."""


class Folder:
    """A real folder."""

    def __init__(self, path: str | Path) -> None:
        self._path = Path(path)
        self._lock: int | None = None

    def lock(self) -> bool:
        """Hold the folder alone, until `unlock` or the end of the process; False: another process has it."""
        if self._lock is not None:
            return True
        held = os.open(self._path / "lock", os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(held)
            return False
        except OSError:
            os.close(held)
            raise
        self._lock = held
        return True

    def unlock(self) -> None:
        """Let another process have it."""
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

    def cut(self, name: str, size: int) -> None:
        """See Disk."""
        os.truncate(self._path / name, size)

    def sync(self, name: str) -> None:
        """See Disk."""
        self._sync(self._path / name)

    def rename(self, name: str, onto: str) -> None:
        """See Disk."""
        os.replace(self._path / name, self._path / onto)

    def sync_names(self) -> None:
        """See Disk."""
        self._sync(self._path)

    def _write(self, name: str, how: int, data: bytes) -> None:
        held = os.open(self._path / name, os.O_CREAT | os.O_WRONLY | os.O_CLOEXEC | how, 0o600)
        try:
            left = memoryview(data)
            while left:
                left = left[os.write(held, left) :]
        finally:
            os.close(held)

    def _sync(self, path: Path) -> None:
        held = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        try:
            os.fsync(held)
        finally:
            os.close(held)


def replace_whole(disk: Disk, name: str, data: bytes) -> None:
    """Write a file so that a reader sees the old or the new one, never a part, and the new one lasts.

    Raises OSError; the old one stands then.
    """
    fresh = name + ".new"
    disk.create(fresh, data)
    disk.sync(fresh)
    disk.rename(fresh, name)
    with suppress(OSError):  # the new one is in place; a folder that can't be synced may lose it, not tear it
        disk.sync_names()
