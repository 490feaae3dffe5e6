"""The policy that all routers of a fleet agree on."""

from __future__ import annotations

from msgspec import Struct


class NamespaceLimits(Struct, frozen=True):
    """A policy's limits for one namespace (tenant); None: as in the settings."""

    name: str
    weight: float | None
    """Fraction of the service, 0 to 1."""
    quota_per_s: float | None
    """Fetches a second over all routers together."""


class FleetPolicy(Struct, frozen=True):
    """One version of the policy; None: as in the settings."""

    version: int
    namespaces: tuple[NamespaceLimits, ...]
    rate_per_s: float | None
    """Fetches a second of all routers together, divided among the namespaces by weight."""
    hard_factor: float
    """The hard limit as a multiple of the soft one."""
    window_s: float | None
    """Seconds over which calls are counted."""
    cordoned: tuple[str, ...]
    """Ids of servers that get no new requests."""
    floor_fraction: float
    """Fraction of the settings' quota, 0 to 1: the floor, which is safe whichever version is in force."""
    uses_leases: bool = False
    """Whether quotas are divided by quota leases: each router may use the floor plus its lease."""
