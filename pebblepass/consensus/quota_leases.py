"""A router's quota leases, which several voters grant. No I/O, no clock.

The lease that a router holds from one voter:

| state | event | guard | next |
| --- | --- | --- | --- |
| any | grant k | for the decided version, and newer than the last applied grant | lease k |
| any | another grant | - | unchanged |
| lease k | expiry, `holder_duration` after the request was sent | - | none |
| lease k | another version is decided | - | none |

The router checks its clock before each event (`PolicyChanged.leases_until`). Its lease runs from when the
request was sent and is shortened by the clock drift; the voter's runs from when it is granted and is extended
by the drift. So the router's lease always expires first.
"""

from __future__ import annotations

from msgspec import Struct

from pebblepass.consensus.leases import LeaseTerms
from pebblepass.consensus.quota_allocator import Rates

SIGNIFICANT_LOSS = 1 / 16  # fraction of a quota lease; a larger reduction is reported to the voter at once
EXPIRY_MARGIN = 1 / 8  # fraction of a lease; with less time left, a lease no longer counts


class _Lease(Struct, frozen=True):
    sequence: int
    expires_at: int
    rates: Rates


class Quota(Struct, frozen=True):
    """The fetches a second that a router may make in addition to its floors, and until when."""

    rates: Rates = ()
    until: int = 0
    """Nanoseconds of the router's clock."""


NO_QUOTA = Quota()


class QuotaLeaseHolder:
    """The quota leases that a router holds on one version."""

    def __init__(self, terms: LeaseTerms) -> None:
        self._terms = terms
        self._leases: dict[str, _Lease] = {}  # by voter

    def begin(self) -> None:
        """Begin another version, and release all leases on the previous one."""
        self._leases.clear()

    def granted(self, voter: str, sequence: int, requested_at: int, rates: Rates) -> bool:
        """Record a voter's grant on this version; return whether it reduces the lease significantly.

        Warning: grants that arrive out of order are ignored, as the voter may count them as replaced.
        """
        before = self._leases.get(voter)
        if before is not None and sequence <= before.sequence:
            return False
        self._leases[voter] = _Lease(sequence, requested_at + self._terms.holder_duration, rates)
        previous, current = dict(before.rates) if before is not None else {}, dict(rates)
        return any(
            current.get(name, 0.0) < amount * (1 - SIGNIFICANT_LOSS) for name, amount in previous.items()
        )

    def applied_sequence(self, voter: str) -> int:
        """Return the sequence of this voter's grant that was applied last; 0: none."""
        return self._leases[voter].sequence if voter in self._leases else 0

    def total(self, now: int) -> Quota:
        """Return the sum of the leases, without those that expire soon."""
        earliest = now + int(self._terms.holder_duration * EXPIRY_MARGIN)
        valid = [lease for lease in self._leases.values() if lease.expires_at > earliest]
        total: dict[str, float] = {}
        for lease in valid:
            for name, amount in lease.rates:
                total[name] = total.get(name, 0.0) + amount
        return Quota(tuple(sorted(total.items())), min((lease.expires_at for lease in valid), default=0))

    def due(self, now: int) -> int | None:
        """Return when the next lease stops counting; None: there is none."""
        margin = int(self._terms.holder_duration * EXPIRY_MARGIN)
        times = (lease.expires_at - margin for lease in self._leases.values())
        return min((time for time in times if time > now), default=None)

    def granting_voters(self, now: int) -> set[str]:
        """Return the voters from which the router holds a lease."""
        return {voter for voter, lease in self._leases.items() if lease.expires_at > now and lease.rates}

    def report(self, now: int) -> dict[str, object]:
        """Return the report to operators: the lease from each voter, and for how long it is valid."""
        return {
            voter: {
                "grant": lease.sequence,
                "lease_ms": max(round((lease.expires_at - now) / 1e6), 0),
                "per_s": dict(lease.rates),
            }
            for voter, lease in sorted(self._leases.items())
        }
