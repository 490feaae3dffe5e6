"""Leases on a version: those that a voter grants, and those that a router holds. No I/O, no clock.

A router admits requests under a version only while a quorum of the voters leases the version to it. A voter
grants leases on one version at a time, and on the next version only after the current one is closed: a quorum
of its voters grants no more leases on it, and all leases that they granted have expired or were released. So
no two routers hold leases on different versions at the same time, even if routers are down, paused or
partitioned.

The router's lease runs from when the request was sent and is shortened by the clock drift. The voter's lease
runs from when it is granted and is extended by the drift. If the clocks diverge by no more than `drift`, the
router's lease always expires first.

| lease of one run of a router, at the voter | event | guard | next |
| --- | --- | --- | --- |
| any | request on version v | its sequence is not newer | unchanged |
| granted on u | request on version v | v > u | released; waiting on v |
| any | request on version v | - | waiting on v |
| waiting on v | grant(v) | - | granted on v until now + `granter_duration` |
| granted | expiry | - | expired |
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

RENEWALS_PER_LEASE = 3  # a lease survives the loss of two consecutive requests
REMEMBERED_REQUESTS = 8  # sent requests for which a grant is still accepted
FORGET_SLACK = 64  # runs remembered in addition to four times the number of runs with leases


class LeaseTerms(Struct, frozen=True):
    """The lease parameters of a fleet. They must be equal at all of its routers."""

    duration: int
    """Nanoseconds."""
    drift: float
    """The fraction by which a clock may run fast or slow."""

    @property
    def holder_duration(self) -> int:
        """How long a router holds a lease after sending the request, in nanoseconds."""
        return int(self.duration * (1 - self.drift))

    @property
    def granter_duration(self) -> int:
        """How long a voter treats a lease as valid after granting it, in nanoseconds."""
        return int(self.duration * (1 + self.drift))

    @property
    def renewal_interval(self) -> int:
        """The time between two requests, in nanoseconds."""
        return self.duration // RENEWALS_PER_LEASE


class ProcessId(Struct, frozen=True):
    """One run of a router's process."""

    name: str
    boot_id: str


class LeaseReply(Struct, frozen=True):
    """A granted lease: the process that requested it and the sequence of its request."""

    process: ProcessId
    sequence: int


class _Granted(Struct, frozen=True):
    version: int
    expires_at: int


class _Request(Struct, frozen=True):
    sequence: int
    version: int


class LeaseGranter:
    """The leases that a voter has granted."""

    def __init__(self, terms: LeaseTerms, now: int, restarted: bool) -> None:
        """`restarted`: an earlier process on this disk may have granted leases that are not known here."""
        self._terms = terms
        self._granted: dict[ProcessId, _Granted] = {}
        self._sequences: dict[ProcessId, int] = {}
        self._waiting: dict[ProcessId, _Request] = {}
        self.earlier_leases_expire_at = now + terms.granter_duration if restarted else now
        """When every lease that an earlier process may have granted has expired."""

    def request(self, process: ProcessId, sequence: int, version: int, now: int) -> bool:
        """Record a request, which releases the lease on an older version; return False if it is outdated."""
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
        """Grant leases to all processes that wait for this version."""
        replies = []
        for process, request in list(self._waiting.items()):
            if request.version == version:
                del self._waiting[process]
                self._granted[process] = _Granted(version, now + self._terms.granter_duration)
                replies.append(LeaseReply(process, request.sequence))
        return replies

    def is_released(self, version: int, now: int) -> bool:
        """Whether no lease granted here on this version or an older one can be valid any more."""
        return now >= self.earlier_leases_expire_at and all(
            granted.version > version or granted.expires_at <= now for granted in self._granted.values()
        )

    def last_expiry(self, version: int, now: int) -> int | None:
        """Return when the last lease on this version or an older one expires; None: none is valid."""
        ends = [
            granted.expires_at
            for granted in self._granted.values()
            if granted.version <= version and granted.expires_at > now
        ]
        if now < self.earlier_leases_expire_at:
            ends.append(self.earlier_leases_expire_at)
        return max(ends, default=None)

    def _forget_expired(self, now: int) -> None:
        """Forget processes without a valid lease or a waiting request, which bounds the memory."""
        if len(self._sequences) > 4 * len(self._granted) + FORGET_SLACK:
            self._granted = {
                process: granted for process, granted in self._granted.items() if granted.expires_at > now
            }
            known = {*self._granted, *self._waiting}
            self._sequences = {process: seq for process, seq in self._sequences.items() if process in known}


class LeaseHolder:
    """A router's lease on one version, which several voters grant."""

    def __init__(self, terms: LeaseTerms) -> None:
        self._terms = terms
        self.version = 0
        self._sequence = 0
        self._requested_at: dict[int, int] = {}  # send time by request sequence
        self._granted: dict[str, int] = {}  # by voter: send time of the latest request that it granted

    def begin(self, version: int) -> None:
        """Begin another version, and release all grants on the previous one."""
        self.version = version
        self._granted.clear()
        self._requested_at.clear()

    def request(self, now: int) -> int:
        """Record that a request is sent now; return its sequence."""
        self._sequence += 1
        self._requested_at[self._sequence] = now
        self._requested_at.pop(self._sequence - REMEMBERED_REQUESTS, None)
        return self._sequence

    def requested_at(self, sequence: int) -> int | None:
        """Return when a request was sent; None: too long ago, or for another version."""
        return self._requested_at.get(sequence)

    def granted(self, voter: str, sequence: int, version: int) -> None:
        """Record a voter's grant."""
        requested_at = self._requested_at.get(sequence)
        if version == self.version and requested_at is not None:
            self._granted[voter] = max(self._granted.get(voter, 0), requested_at)

    def until(self, voters: Iterable[str], needed: int) -> int:
        """Return until when grants of at least `needed` of these voters are valid; 0: there are fewer."""
        sent = sorted((self._granted[name] for name in voters if name in self._granted), reverse=True)
        return sent[needed - 1] + self._terms.holder_duration if len(sent) >= needed > 0 else 0
