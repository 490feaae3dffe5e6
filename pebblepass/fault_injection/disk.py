"""A disk that can lose power: what was not synced goes, in part or whole, and names come undone."""

from __future__ import annotations

import errno
import random
from collections.abc import Callable
from dataclasses import dataclass

from pebblepass.storage.frames import SECTOR_BYTES


@dataclass(slots=True, eq=False)
class _File:
    """One file's bytes, whatever its names."""

    data: bytes = b""
    synced: bytes = b""


class PowerDisk:
    """A `storage.disk.Disk` in memory."""

    def __init__(self, before: Callable[[str], None] = lambda _: None) -> None:
        """`before` is called with each step's name before it; it may raise OSError, or cut the power."""
        self.before = before
        self.lies = False
        """Whether a sync returns without having done anything."""
        self.steps = 0
        self._names: dict[str, _File] = {}
        self._lasting: dict[str, _File] = {}
        """The names as a power loss would leave them, where it undoes what was not synced."""

    def _step(self, name: str) -> None:
        self.steps += 1
        self.before(name)

    def copy(self) -> PowerDisk:
        """A disk with the same content, as an image of it put back later."""
        other = PowerDisk()
        twins = {held: _File(held.data, held.synced) for held in self._names.values()}
        other._names = {name: twins[held] for name, held in self._names.items()}
        other._lasting = dict(other._names)
        return other

    def read(self, name: str) -> bytes | None:
        """See Disk."""
        held = self._names.get(name)
        return None if held is None else held.data

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
        self._held(name).data = self._held(name).data[:size]

    def sync(self, name: str) -> None:
        """See Disk."""
        self._step("sync")
        held = self._held(name)
        if not self.lies:
            held.synced = held.data

    def rename(self, name: str, onto: str) -> None:
        """See Disk."""
        self._step("rename")
        self._names[onto] = self._names.pop(name)

    def sync_directory(self) -> None:
        """See Disk."""
        self._step("sync_directory")
        if not self.lies:
            self._lasting = dict(self._names)

    def _held(self, name: str) -> _File:
        if name not in self._names:
            raise OSError(errno.ENOENT, "no such file")
        return self._names[name]

    def lose_power(self, rng: random.Random) -> None:
        """Go back to what lasts, with a draw of what was on its way to the disk."""
        names = self._names if rng.random() < 0.5 else self._lasting
        for held in dict.fromkeys(names.values()):
            if held.data != held.synced:
                kept = len(held.synced) if held.data.startswith(held.synced) else 0
                # Written anew and not synced: the old bytes or some of the new ones.
                held.data = held.synced if not kept and rng.random() < 0.5 else _torn(held.data, kept, rng)
            held.synced = held.data
        self._names = dict(names)
        self._lasting = dict(names)


def _torn(data: bytes, synced: int, rng: random.Random) -> bytes:
    """What is found of a file of which so many bytes were synced: sectors as zeros, or a shorter file."""
    kept = bytearray(data[: rng.randint(synced, len(data))] if rng.random() < 0.5 else data)
    at = synced
    while at < len(kept):
        after = min((at // SECTOR_BYTES + 1) * SECTOR_BYTES, len(kept))
        if rng.random() < 0.3:
            kept[at:after] = bytes(after - at)
        at = after
    return bytes(kept)
