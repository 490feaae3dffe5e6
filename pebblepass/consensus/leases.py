"""Leases on a version: what a voter grants, and what a router holds. No I/O, no clock.

A router admits under a version only while a quorum of the voters has granted it a lease on it. A voter grants
leases on one version at a time, and on the next one only when it knows that the one before is closed: that a
quorum of the voters of then grants nothing more on it and has no lease of its own out. So no two routers ever
hold leases on two versions at once, whoever is down, paused or cut off.

The router counts from when it asked, and less; the voter from when it was asked, and more: with clocks that
run apart by up to `drift` the router's end always comes first.
"""

from __future__ import annotations

from msgspec import Struct


class Terms(Struct, frozen=True):
    """The times of a fleet, in nanoseconds; alike at all its routers."""

    lease: int
    drift: float
    """By which part a clock may run fast or slow."""

    @property
    def kept(self) -> int:
        """For how long a router holds what it is granted, from when it asked."""
        return int(self.lease * (1 - self.drift))

    @property
    def granted(self) -> int:
        """For how long a voter keeps to what it has granted, from when it was asked."""
        return int(self.lease * (1 + self.drift))

    @property
    def renewal(self) -> int:
        """From one question to the next: two may be lost."""
        return self.lease // 3


class Granter:
    """A voter's part."""

    def __init__(self, terms: Terms, now: int, restarted: bool) -> None:
        """`restarted`: an earlier process on this disk may have granted what this one doesn't know of."""
        self._terms = terms
        self._out: dict[tuple[str, str], tuple[int, int]] = {}  # (name, boot): version, end
        self._seq: dict[tuple[str, str], int] = {}
        self._waiting: dict[tuple[str, str], tuple[int, int]] = {}  # (name, boot): seq, version
        self.quiet_from = now + terms.granted if restarted else now
        """From then on nothing that an earlier process granted holds any more."""

    def asked(self, name: str, boot: str, seq: int, version: int, now: int) -> bool:
        """A router asks for a lease, and lets go of all on older versions; False: an old question."""
        who = (name, boot)
        if seq <= self._seq.get(who, 0):
            return False
        self._seq[who] = seq
        held = self._out.get(who)
        if held is not None and held[0] < version:
            del self._out[who]
        self._waiting[who] = (seq, version)
        self._forget(now)
        return True

    def grant(self, version: int, now: int) -> list[tuple[str, str, int]]:
        """Grant this version to all that wait for it: their names, boots and questions."""
        granted = []
        for who, (seq, wanted) in list(self._waiting.items()):
            if wanted == version:
                del self._waiting[who]
                self._out[who] = (version, now + self._terms.granted)
                granted.append((*who, seq))
        return granted

    def clear_of(self, version: int, now: int) -> bool:
        """Whether no lease on this version or an older one can hold any more, of those granted here."""
        return now >= self.quiet_from and all(
            held > version or end <= now for held, end in self._out.values()
        )

    def next_end(self, version: int, now: int) -> int | None:
        """When the last of them ends."""
        ends = [end for held, end in self._out.values() if held <= version and end > now]
        if now < self.quiet_from:
            ends.append(self.quiet_from)
        return max(ends, default=None)

    def _forget(self, now: int) -> None:
        """Guards the memory: of processes that are over nothing is kept."""
        if len(self._seq) > 4 * len(self._out) + 64:
            self._out = {who: held for who, held in self._out.items() if held[1] > now}
            kept = {*self._out, *self._waiting}
            self._seq = {who: seq for who, seq in self._seq.items() if who in kept}


class Holder:
    """A router's part."""

    def __init__(self, terms: Terms) -> None:
        self._terms = terms
        self.version = 0
        self._seq = 0
        self._asked: dict[int, int] = {}  # question: when it was sent
        self._granted: dict[str, int] = {}  # voter: when the question that it granted was sent

    def begin(self, version: int) -> None:
        """From now on it is this version; all that was granted on the one before is let go of."""
        self.version = version
        self._granted.clear()
        self._asked.clear()

    def ask(self, now: int) -> int:
        """The next question's number; it leaves now."""
        self._seq += 1
        self._asked[self._seq] = now
        self._asked.pop(self._seq - 8, None)
        return self._seq

    def asked_at(self, seq: int) -> int | None:
        """When a question was sent; None: too long ago, or on another version."""
        return self._asked.get(seq)

    def granted(self, voter: str, seq: int, version: int) -> None:
        """A voter has granted it."""
        asked_at = self._asked.get(seq)
        if version == self.version and asked_at is not None:
            self._granted[voter] = max(self._granted.get(voter, 0), asked_at)

    def until(self, voters: dict[str, str], needed: int) -> int:
        """Until when a quorum's grants hold; 0: there is none."""
        asked = sorted((self._granted[name] for name in voters if name in self._granted), reverse=True)
        return asked[needed - 1] + self._terms.kept if len(asked) >= needed > 0 else 0
