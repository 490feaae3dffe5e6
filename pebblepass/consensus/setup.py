"""What a replica is given at its start."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from msgspec import Struct

from pebblepass.consensus import messages as m
from pebblepass.consensus.leases import LeaseTerms
from pebblepass.consensus.policy import Check, Policy
from pebblepass.consensus.quota_allocator import QuotaPool

QuotaPools = Callable[[Policy, int], Mapping[str, QuotaPool]]
"""The quotas that a policy splits by leases among so many members, by namespace."""


class RandomSource(Protocol):
    """The random draws that a replica makes."""

    def uniform(self, a: float, b: float, /) -> float:
        """Draw from a range."""

    def randrange(self, stop: int, /) -> int:
        """Draw an integer from 0 up to `stop`, exclusive."""


def no_quota_pools(_policy: Policy, _members: int) -> Mapping[str, QuotaPool]:
    """Split no quota."""
    return {}


def no_demand() -> Mapping[str, int]:
    """Count no fetches."""
    return {}


def genesis(members: dict[str, str], voters: Iterable[str]) -> m.Value:
    """Return version 0, with which every router starts before the fleet has formed; nobody leases it."""
    return m.Value(0, "", "none", Policy(), m.Fleet(dict(members), dict.fromkeys(voters, "")), {})


class ReplicaSetup(Struct, frozen=True):
    """The configuration of a replica."""

    name: str
    boot_id: str
    """Identifies this run of the process."""
    terms: LeaseTerms
    genesis: m.Value
    check: Check
    new_disk_id: str
    """The id of its disk, where that is empty; empty: it keeps no disk, and does not vote."""
    seed: int = 0
    quota_pools: QuotaPools = no_quota_pools
    demand_counts: Callable[[], Mapping[str, int]] = no_demand
    """How many fetches each namespace has requested so far."""
