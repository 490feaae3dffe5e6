"""The policy that all routers of a fleet share: its schema, its checks, and the difference of two policies.

`rename` defines the keys of the policy file; error texts name these keys.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Annotated

import msgspec

from pebblepass.consensus.quota_allocator import QuotaPool
from pebblepass.decisions.interface import FleetPolicy, NamespaceLimits, Settings, Tenant

ROUNDING = 1e-9  # tolerance for rounding errors in a sum of weights


class PolicyError(ValueError):
    """A policy file is invalid. The text is one line that names the key."""


class NamespacePolicy(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    rename={"weight": "portion"},
):
    """`[namespaces.NAME]`: a key that is left out has the value of the platform's settings."""

    weight: Annotated[float, msgspec.Meta(ge=0, le=1, description="fraction of the service")] | None = None
    """Fraction of the service, 0 to 1."""
    quota_per_s: (
        Annotated[float, msgspec.Meta(gt=0, le=1e6, description="fetches a second of all routers together")]
        | None
    ) = None


class StorePolicy(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    rename={"uses_leases": "shares"},
):
    """`[store]`: the limits of the package store. The soft limit is the rate times the window."""

    rate_per_s: (
        Annotated[
            float,
            msgspec.Meta(gt=0, le=1e6, description="fetches a second of all routers, split by portion"),
        ]
        | None
    ) = None
    hard_factor: Annotated[
        float, msgspec.Meta(ge=1, le=10, description="the hard limit, as a multiple of the soft one")
    ] = 1.5
    window_s: (
        Annotated[float, msgspec.Meta(ge=1, le=60, description="seconds over which calls are counted")] | None
    ) = None
    uses_leases: Annotated[
        bool, msgspec.Meta(description="split each quota by the routers' demand, not evenly")
    ] = False


class Policy(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    rename={"cordoned": "held_out", "floor_fraction": "floor_share"},
):
    """A complete policy."""

    store: StorePolicy = StorePolicy()
    namespaces: dict[str, NamespacePolicy] = {}
    cordoned: tuple[str, ...] = ()
    """Servers to which no new requests are sent, by the operator's choice."""
    floor_fraction: Annotated[
        float,
        msgspec.Meta(
            gt=0, le=1, description="fraction of a quota in the settings that routers without a lease may use"
        ),
    ] = 0.25


class PolicyFile(
    Policy,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    rename={
        "cordoned": "held_out",
        "floor_fraction": "floor_share",
        "author": "who",
        "reason": "why",
        "added_members": "add",
        "removed_members": "retire",
    },
):
    """A policy file: a policy, its author and reason, and changes of the fleet."""

    author: str = ""
    reason: str = ""
    added_members: dict[str, str] = {}
    """Routers that join the fleet: by name, the address at which the others reach them."""
    removed_members: tuple[str, ...] = ()
    """Routers that leave the fleet permanently."""
    voters: tuple[str, ...] = ()
    """The voters on later versions; empty: unchanged."""

    def policy(self) -> Policy:
        """Return only the policy."""
        return Policy(self.store, self.namespaces, self.cordoned, self.floor_fraction)


def read_policy(name: str, data: bytes) -> PolicyFile:
    """Parse a policy file in TOML; raises PolicyError."""
    try:
        return msgspec.toml.decode(data, type=PolicyFile)
    except msgspec.ValidationError as error:
        problem, _, path = str(error).partition(" - at `$.")
        key = f"{path.rstrip('`')}: " if path else ""
        raise PolicyError(f"{name}: {key}{problem[0].lower()}{problem[1:]}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PolicyError(f"{name}: not TOML: {' '.join(str(error).split())}") from None


Check = Callable[[Policy, Policy], str]
"""Checks whether a router can replace the first policy by the second: empty, or why not in one line."""


class PolicyChecker:
    """Checks policies against the platform's settings and the previous policy."""

    def __init__(self, settings: Settings) -> None:
        self._tenants = {tenant.name: tenant for tenant in settings.tenants}
        self._routers = settings.routers

    def check(self, before: Policy, after: Policy) -> str:
        """Return why a router can't replace `before` by `after`, in one line; empty: it can."""
        return next(self._problems(before, after), "")

    def _problems(self, before: Policy, after: Policy) -> Iterator[str]:
        if after.floor_fraction < before.floor_fraction:
            # Warning: a partitioned router uses the floor of its version, and would admit more than the rest.
            floors = f"{after.floor_fraction:g} is under {before.floor_fraction:g}"
            yield f"floor_share: {floors}; it can only rise"
        yield from self._namespace_problems(after)
        yield from self._store_problems(after)
        if sum(self._weight(after, name) for name in self._tenants) > 1 + ROUNDING:
            yield "namespaces: the portions add up to more than 1"
        if after.store.uses_leases and not any(pool.shared > 0 for pool in self.pools(after, 0).values()):
            yield "store.shares: no namespace has a quota beyond its floors"

    def _namespace_problems(self, after: Policy) -> Iterator[str]:
        for name, namespace in after.namespaces.items():
            if name not in self._tenants:
                yield f"namespaces.{name}: no such namespace"
                continue
            floor, quota = self._tenants[name].quota_per_s * after.floor_fraction, namespace.quota_per_s
            if quota is not None and quota < floor:
                yield f"namespaces.{name}.quota_per_s: {quota:g} is under its floor, {floor:g}"

    def _store_problems(self, after: Policy) -> Iterator[str]:
        rate = after.store.rate_per_s
        weights = {
            name: self._weight(after, name) for name in self._tenants if self._tenants[name].quota_per_s
        }
        for name, weight in weights.items():
            floor = self._tenants[name].quota_per_s * after.floor_fraction
            if rate is not None and rate * weight < floor:
                least = floor / weight if weight else float("inf")
                yield f"store.rate_per_s: {rate:g} leaves {name} under its floor; {least:g} would do"

    def pools(self, policy: Policy, members: int) -> dict[str, QuotaPool]:
        """Return the quota that leases split and each router's floor, by namespace.

        `members`: the number of routers in the fleet. Floors are reserved for all of them, including routers
        that are down or partitioned.
        """
        if not policy.store.uses_leases:
            return {}
        return {
            name: self._pool(policy, tenant, members)
            for name, tenant in self._tenants.items()
            if tenant.quota_per_s
        }

    def _pool(self, policy: Policy, tenant: Tenant, members: int) -> QuotaPool:
        namespace, quota = policy.namespaces.get(tenant.name), tenant.quota_per_s
        if namespace is not None and namespace.quota_per_s is not None:
            quota = namespace.quota_per_s
        if policy.store.rate_per_s is not None:
            quota = min(quota, policy.store.rate_per_s * self._weight(policy, tenant.name))
        floor = tenant.quota_per_s * policy.floor_fraction / self._routers
        return QuotaPool(max(quota - floor * max(members, self._routers), 0.0), floor)

    def _weight(self, policy: Policy, name: str) -> float:
        namespace = policy.namespaces.get(name)
        if namespace is None or namespace.weight is None:
            return self._tenants[name].weight
        return namespace.weight


def fleet_policy(version: int, policy: Policy) -> FleetPolicy:
    """Convert a policy to the type that the decision module uses."""
    namespaces = tuple(
        NamespaceLimits(name, namespace.weight, namespace.quota_per_s)
        for name, namespace in sorted(policy.namespaces.items())
    )
    store = policy.store
    return FleetPolicy(
        version,
        namespaces,
        store.rate_per_s,
        store.hard_factor,
        store.window_s,
        policy.cordoned,
        policy.floor_fraction,
        store.uses_leases,
    )


def difference(before: Policy, after: Policy) -> list[str]:
    """Return a line for each key in which two policies differ."""
    old, new = dict(_flatten(msgspec.to_builtins(before))), dict(_flatten(msgspec.to_builtins(after)))
    names = dict.fromkeys([*old, *new])
    return [
        f"{name}: {old.get(name, 'as before')} -> {new.get(name, 'as in the settings')}"
        for name in names
        if old.get(name) != new.get(name)
    ]


def _flatten(value: object, prefix: str = "") -> Iterator[tuple[str, object]]:
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _flatten(inner, f"{prefix}.{key}" if prefix else str(key))
    else:
        yield prefix, ", ".join(map(str, value)) if isinstance(value, list | tuple) else value
