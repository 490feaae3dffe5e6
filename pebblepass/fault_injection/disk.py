"""An in-memory disk with power loss: unsynced data and names are lost in part or in full."""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass

from pebblepass.storage.frames import SECTOR_BYTES


@dataclass(slots=True, eq=False)
class _File:
    """One file's content, independent of its names."""

    data: bytes = b""
    synced: bytes = b""


class PowerLossDisk:
    """An in-memory `storage.disk.Disk` that can lose power."""

    def __init__(self, before: Callable[[str], None] = lambda _: None) -> None:
        """`before` is called with each step's name before the step; it may raise OSError or cut the power."""
        self.before = before
        self.ignores_sync = False
        """Whether a sync returns without doing anything."""
        self.steps = 0
        self._names: dict[str, _File] = {}
        self._synced_names: dict[str, _File] = {}
        """The synced names, which a power loss may go back to."""

    def _step(self, name: str) -> None:
        self.steps += 1
        self.before(name)

    def copy(self) -> PowerLossDisk:
        """Return an image of the disk, whose present names count as synced, to be put back later."""
        other = PowerLossDisk()
        copies = {file: _File(file.data, file.synced) for file in self._names.values()}
        other._names = {name: copies[file] for name, file in self._names.items()}
        other._synced_names = dict(other._names)
        return other

    def read(self, name: str) -> bytes | None:
        """See Disk."""
        file = self._names.get(name)
        return None if file is None else file.data

    def append(self, name: str, data: bytes) -> None:
        """See Disk."""
        self._step("append")
        self._names.setdefault(name, _File()).data += data

    def create(self, name: str, data: bytes) -> None:
        """See Disk."""
        self._step("create")
        self._names.setdefault(name, _File()).data = data

    def truncate(self, name: str, size: int) -> None:
        """See Disk."""
        self._step("truncate")
        self._file(name).data = self._file(name).data[:size]

    def sync(self, name: str) -> None:
        """See Disk."""
        self._step("sync")
        file = self._file(name)
        if not self.ignores_sync:
            file.synced = file.data

    def rename(self, name: str, onto: str) -> None:
        """See Disk."""
        self._step("rename")
        self._names[onto] = self._names.pop(name)

    def sync_directory(self) -> None:
        """See Disk."""
        self._step("sync_directory")
        if not self.ignores_sync:
            self._synced_names = dict(self._names)

    def _file(self, name: str) -> _File:
        if name not in self._names:
            raise OSError(errno.ENOENT, "no such file")
        return self._names[name]

    def lose_power(self, rng: random.Random) -> None:
        """Go back to the synced state, with a random part of the unsynced data."""
        names = self._names if rng.random() < 0.5 else self._synced_names
        for file in dict.fromkeys(names.values()):
            if file.data != file.synced:
                synced_length = len(file.synced) if file.data.startswith(file.synced) else 0
                # Overwritten and not synced: either the old bytes or a part of the new ones survive.
                file.data = (
                    file.synced
                    if not synced_length and rng.random() < 0.5
                    else _torn(file.data, synced_length, rng)
                )
            file.synced = file.data
        self._names = dict(names)
        self._synced_names = dict(names)


def _torn(data: bytes, synced: int, rng: random.Random) -> bytes:
    """Return what a power loss leaves: synced bytes, then a truncated rest or one with zeroed sectors."""
    content = bytearray(data[: rng.randint(synced, len(data))] if rng.random() < 0.5 else data)
    at = synced
    while at < len(content):
        after = min((at // SECTOR_BYTES + 1) * SECTOR_BYTES, len(content))
        if rng.random() < 0.3:
            content[at:after] = bytes(after - at)
        at = after
    return bytes(content)
