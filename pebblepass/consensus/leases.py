"""Leases on a version: what a voter grants, and what a router holds. No I/O, no clock.

A router admits under a version only while a quorum of the voters has granted it a lease on it. A voter grants
leases on one version at a time, and on the next one only when it knows that the one before is closed: that a
quorum of the voters of that version grants nothing more on it and has no valid lease of its own. So no two
routers ever hold leases on two versions at once, whoever is down, paused or partitioned.

The router counts from when it sent the request, less the drift; the voter from when it grants it, plus the
drift: with clocks that diverge by up to `drift` the router's lease always expires first.

| lease of one run, as its voter sees it | event | guard | next |
| --- | --- | --- | --- |
| any | request on version v | its sequence is not newer | as before |
| granted on u | request on version v | v > u | released; waiting on v |
| any | request on version v | - | waiting on v |
| waiting on v | grant(v) | - | granted on v until now + `granter_duration` |
| granted | clock | its end has come | expired |
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

RENEWALS_PER_LEASE = 3  # two requests in a row may be lost
REMEMBERED_REQUESTS = 8  # requests whose grants may still arrive
FORGET_SLACK = 64  # runs of processes that are remembered beyond four times those with leases


class LeaseTerms(Struct, frozen=True):
    """The durations of a fleet, equal at all its routers."""

    duration: int
    """Nanoseconds."""
    drift: float
    """The fraction by which a clock may run fast or slow."""

    @property
    def holder_duration(self) -> int:
        """For how many nanoseconds a router holds a lease, from when it sent the request."""
        return int(self.duration * (1 - self.drift))

    @property
    def granter_duration(self) -> int:
        """For how many nanoseconds a voter keeps to a lease, from when it grants it."""
        return int(self.duration * (1 + self.drift))

    @property
    def renewal_interval(self) -> int:
        """Nanoseconds from one request to the next."""
        return self.duration // RENEWALS_PER_LEASE


class ProcessId(Struct, frozen=True):
    """One run of a router's process."""

    name: str
    boot_id: str


class LeaseReply(Struct, frozen=True):
    """A lease that is granted: to whom, and in answer to which request."""

    process: ProcessId
    sequence: int


class _Granted(Struct, frozen=True):
    version: int
    expires_at: int


class _Request(Struct, frozen=True):
    sequence: int
    version: int


class LeaseGranter:
    """A voter's leases."""

    def __init__(self, terms: LeaseTerms, now: int, restarted: bool) -> None:
        """`restarted`: an earlier process on this disk may have granted leases that are not known here."""
        self._terms = terms
        self._granted: dict[ProcessId, _Granted] = {}
        self._sequences: dict[ProcessId, int] = {}
        self._waiting: dict[ProcessId, _Request] = {}
        self.earlier_leases_expire_at = now + terms.granter_duration if restarted else now
        """From then on no lease that an earlier process granted is valid."""

    def request(self, process: ProcessId, sequence: int, version: int, now: int) -> bool:
        """Take a request, which releases all leases on older versions; return False for an old request."""
        if sequence <= self._sequences.get(process, 0):
            return False
        self._sequences[process] = sequence
        granted = self._granted.get(process)
        if granted is not None and granted.version < version:
            del self._granted[process]
        self._waiting[process] = _Request(sequence, version)
        self._forget_expired(now)
        return True

    def grant(self, version: int, now: int) -> list[LeaseReply]:
        """Grant this version to all that wait for it."""
        replies = []
        for process, request in list(self._waiting.items()):
            if request.version == version:
                del self._waiting[process]
                self._granted[process] = _Granted(version, now + self._terms.granter_duration)
                replies.append(LeaseReply(process, request.sequence))
        return replies

    def is_released(self, version: int, now: int) -> bool:
        """Whether no lease on this version or an older one that was granted here can be valid any more."""
        return now >= self.earlier_leases_expire_at and all(
            granted.version > version or granted.expires_at <= now for granted in self._granted.values()
        )

    def last_expiry(self, version: int, now: int) -> int | None:
        """When the last lease on this version or an older one expires; None: none is valid."""
        ends = [
            granted.expires_at
            for granted in self._granted.values()
            if granted.version <= version and granted.expires_at > now
        ]
        if now < self.earlier_leases_expire_at:
            ends.append(self.earlier_leases_expire_at)
        return max(ends, default=None)

    def _forget_expired(self, now: int) -> None:
        """Bound the memory: nothing is kept of processes that have ended."""
        if len(self._sequences) > 4 * len(self._granted) + FORGET_SLACK:
            self._granted = {
                process: granted for process, granted in self._granted.items() if granted.expires_at > now
            }
            known = {*self._granted, *self._waiting}
            self._sequences = {process: seq for process, seq in self._sequences.items() if process in known}


class LeaseHolder:
    """A router's lease on one version, granted by several voters."""

    def __init__(self, terms: LeaseTerms) -> None:
        self._terms = terms
        self.version = 0
        self._sequence = 0
        self._requested_at: dict[int, int] = {}  # by sequence
        self._granted: dict[str, int] = {}  # by voter: when the request that it granted was sent

    def begin(self, version: int) -> None:
        """Begin another version, and release all that was granted on the one before."""
        self.version = version
        self._granted.clear()
        self._requested_at.clear()

    def request(self, now: int) -> int:
        """Return the sequence of the next request, which is sent now."""
        self._sequence += 1
        self._requested_at[self._sequence] = now
        self._requested_at.pop(self._sequence - REMEMBERED_REQUESTS, None)
        return self._sequence

    def requested_at(self, sequence: int) -> int | None:
        """When a request was sent; None: too long ago, or on another version."""
        return self._requested_at.get(sequence)

    def granted(self, voter: str, sequence: int, version: int) -> None:
        """Take a voter's grant."""
        requested_at = self._requested_at.get(sequence)
        if version == self.version and requested_at is not None:
            self._granted[voter] = max(self._granted.get(voter, 0), requested_at)

    def until(self, voters: Iterable[str], needed: int) -> int:
        """Until when the grants of `needed` of these voters are valid; 0: there are not so many."""
        sent = sorted((self._granted[name] for name in voters if name in self._granted), reverse=True)
        return sent[needed - 1] + self._terms.holder_duration if len(sent) >= needed > 0 else 0
