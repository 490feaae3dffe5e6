"""A router's quota leases, granted by several voters. No I/O, no clock.

What a router holds of a voter:

| held | event | guard | next |
| --- | --- | --- | --- |
| any | grant k | on its version, k is later than what it has applied | lease k for `holder_duration` |
| any | another grant | - | as before |
| lease k | clock | it has expired | nothing |
| lease k | another version is decided | - | nothing |

The router compares its clock before each event (`PolicyChanged.leases_until`), and counts from when it sent
the request, less the drift; the voter from when it grants it, plus the drift: so the router's lease always
expires first.
"""

from __future__ import annotations

from msgspec import Struct

from pebblepass.consensus.leases import LeaseTerms
from pebblepass.consensus.quota_allocator import Rates

SIGNIFICANT_LOSS = 1 / 16  # fraction of a quota lease; a router that loses more reports the new one at once
EXPIRY_MARGIN = 1 / 8  # fraction of a lease; one that expires so soon is dropped before the others are


class _Lease(Struct, frozen=True):
    sequence: int
    expires_at: int
    rates: Rates


class Quota(Struct, frozen=True):
    """What a router may fetch beyond its floors, and until when."""

    rates: Rates = ()
    until: int = 0
    """Nanoseconds of the router's clock."""


NO_QUOTA = Quota()


class QuotaLeaseHolder:
    """A router's quota leases on one version."""

    def __init__(self, terms: LeaseTerms) -> None:
        self._terms = terms
        self._leases: dict[str, _Lease] = {}  # by voter

    def begin(self) -> None:
        """Begin another version, and release all that was granted on the one before."""
        self._leases.clear()

    def granted(self, voter: str, sequence: int, requested_at: int, rates: Rates) -> bool:
        """Take a voter's grant on this version; return whether that took a significant part away.

        Danger: an older grant that arrives late may be one that its voter counts as over.
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
        """Return the request whose grant of this voter was applied last; 0: none."""
        return self._leases[voter].sequence if voter in self._leases else 0

    def total(self, now: int) -> Quota:
        """Sum up the leases; those that expire soon are left out."""
        earliest = now + int(self._terms.holder_duration * EXPIRY_MARGIN)
        valid = [lease for lease in self._leases.values() if lease.expires_at > earliest]
        total: dict[str, float] = {}
        for lease in valid:
            for name, amount in lease.rates:
                total[name] = total.get(name, 0.0) + amount
        return Quota(tuple(sorted(total.items())), min((lease.expires_at for lease in valid), default=0))

    def due(self, now: int) -> int | None:
        """When the next lease is left out; None: there is none."""
        margin = int(self._terms.holder_duration * EXPIRY_MARGIN)
        times = (lease.expires_at - margin for lease in self._leases.values())
        return min((time for time in times if time > now), default=None)

    def granting_voters(self, now: int) -> set[str]:
        """Return the voters of which it holds a lease."""
        return {voter for voter, lease in self._leases.items() if lease.expires_at > now and lease.rates}

    def report(self, now: int) -> dict[str, object]:
        """Report what it holds of each voter, and for how long, to operators."""
        return {
            voter: {
                "grant": lease.sequence,
                "lease_ms": max(round((lease.expires_at - now) / 1e6), 0),
                "per_s": dict(lease.rates),
            }
            for voter, lease in sorted(self._leases.items())
        }
