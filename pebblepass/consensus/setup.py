"""The configuration of a replica."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from msgspec import Struct

from pebblepass.consensus import messages as m
from pebblepass.consensus.leases import LeaseTerms
from pebblepass.consensus.policy import Check, Policy
from pebblepass.consensus.quota_allocator import QuotaPool

QuotaPools = Callable[[Policy, int], Mapping[str, QuotaPool]]
"""Returns the quotas that leases split, by namespace, for a policy and the number of members."""


class RandomSource(Protocol):
    """The random number generator of a replica."""

    def uniform(self, a: float, b: float, /) -> float:
        """Return a random number from `a` to `b`."""

    def randrange(self, stop: int, /) -> int:
        """Return a random integer from 0 up to `stop`, exclusive."""


def no_quota_pools(_policy: Policy, _members: int) -> Mapping[str, QuotaPool]:
    """Return no quotas to split."""
    return {}


def no_demand() -> Mapping[str, int]:
    """Return no fetch counts."""
    return {}


def genesis(members: dict[str, str], voters: Iterable[str]) -> m.Value:
    """Return version 0, with which every router starts before the fleet has formed. It is never leased."""
    return m.Value(0, "", "none", Policy(), m.Fleet(dict(members), dict.fromkeys(voters, "")), {})


class ReplicaSetup(Struct, frozen=True):
    """The parameters with which a replica is created."""

    name: str
    boot_id: str
    """Identifies this run of the process."""
    terms: LeaseTerms
    genesis: m.Value
    check: Check
    new_disk_id: str
    """The id for a disk that has none yet; empty: the router keeps no disk and does not vote."""
    seed: int = 0
    quota_pools: QuotaPools = no_quota_pools
    demand_counts: Callable[[], Mapping[str, int]] = no_demand
    """Returns how many fetches each namespace has requested since the start of the process."""
