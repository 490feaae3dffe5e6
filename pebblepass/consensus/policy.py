"""What all routers of a fleet must hold alike: its schema, what is checked of it, and how two differ."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Annotated

import msgspec

from pebblepass.consensus.shares import Pool
from pebblepass.decisions.interface import FleetPolicy, NamespaceLimits, Settings

ROUNDING = 1e-9  # sums of portions


class PolicyError(ValueError):
    """A policy can't be used; the text is one plain line that names the place."""


class NamespacePolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """`[namespaces.NAME]`: what is left out is as in the platform's settings."""

    portion: Annotated[float, msgspec.Meta(ge=0, le=1, description="its part of the service")] | None = None
    quota_per_s: (
        Annotated[float, msgspec.Meta(gt=0, le=1e6, description="fetches a second of all routers together")]
        | None
    ) = None


class StorePolicy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """`[store]`: the limits of the package store; the soft limit is the rate times the window."""

    rate_per_s: (
        Annotated[
            float,
            msgspec.Meta(gt=0, le=1e6, description="fetches a second of all routers, shared by portion"),
        ]
        | None
    ) = None
    hard_factor: Annotated[
        float, msgspec.Meta(ge=1, le=10, description="the hard limit, as a multiple of the soft one")
    ] = 1.5
    window_s: (
        Annotated[float, msgspec.Meta(ge=1, le=60, description="seconds over which calls are counted")] | None
    ) = None
    shares: Annotated[
        bool, msgspec.Meta(description="split each quota by what routers fetch, and not evenly")
    ] = False


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A whole policy."""

    store: StorePolicy = StorePolicy()
    namespaces: dict[str, NamespacePolicy] = {}
    held_out: tuple[str, ...] = ()
    """Servers that get nothing new, by hand."""
    floor_share: Annotated[
        float,
        msgspec.Meta(
            gt=0, le=1, description="of a quota in the settings: what a router without a lease holds"
        ),
    ] = 0.25


class PolicyFile(Policy, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A file to propose: a policy, who wants it and why, and changes of the fleet."""

    who: str = ""
    why: str = ""
    add: dict[str, str] = {}
    """Routers to take into the fleet: their names, and the addresses where others reach them."""
    retire: tuple[str, ...] = ()
    """Routers that leave the fleet for good."""
    voters: tuple[str, ...] = ()
    """The routers that decide from then on; empty: as before."""

    def policy(self) -> Policy:
        """The policy alone."""
        return Policy(self.store, self.namespaces, self.held_out, self.floor_share)


def read_policy(name: str, data: bytes) -> PolicyFile:
    """Read a policy file in TOML, whole or not at all; raises PolicyError."""
    try:
        return msgspec.toml.decode(data, type=PolicyFile)
    except msgspec.ValidationError as error:
        what, _, place = str(error).partition(" - at `$.")
        where = f"{place.rstrip('`')}: " if place else ""
        raise PolicyError(f"{name}: {where}{what[0].lower()}{what[1:]}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PolicyError(f"{name}: not TOML: {' '.join(str(error).split())}") from None


Check = Callable[[Policy, Policy], str]
"""Whether a router can use a policy, after the one before: empty, or why not in one plain line."""


class Ground:
    """What a router knows that a policy has to fit: the platform's settings."""

    def __init__(self, settings: Settings) -> None:
        self._tenants = {tenant.name: tenant for tenant in settings.tenants}
        self._routers = settings.routers

    def check(self, before: Policy, after: Policy) -> str:
        """See Check."""
        return next(self._problems(before, after), "")

    def _problems(self, before: Policy, after: Policy) -> Iterator[str]:
        if after.floor_share < before.floor_share:
            # Danger: a router that is cut off holds the floor it knows, and would admit more than the rest.
            yield f"floor_share: {after.floor_share:g} is under {before.floor_share:g}; it can only rise"
        for name, wanted in after.namespaces.items():
            if name not in self._tenants:
                yield f"namespaces.{name}: no such namespace"
                continue
            floor = self._tenants[name].quota_per_s * after.floor_share
            if wanted.quota_per_s is not None and wanted.quota_per_s < floor:
                yield f"namespaces.{name}.quota_per_s: {wanted.quota_per_s:g} is under its floor, {floor:g}"
        portions = {
            name: self._portion(after, name) for name in self._tenants if self._tenants[name].quota_per_s
        }
        for name, portion in portions.items():
            floor = self._tenants[name].quota_per_s * after.floor_share
            if after.store.rate_per_s is not None and after.store.rate_per_s * portion < floor:
                least = floor / portion if portion else float("inf")
                rate = after.store.rate_per_s
                yield f"store.rate_per_s: {rate:g} leaves {name} under its floor; {least:g} would do"
        if sum(self._portion(after, name) for name in self._tenants) > 1 + ROUNDING:
            yield "namespaces: the portions add up to more than 1"
        if after.store.shares and not any(pool.shared > 0 for pool in self.pools(after, 0).values()):
            yield "store.shares: no namespace has a quota beyond its floors"

    def pools(self, policy: Policy, members: int) -> dict[str, Pool]:
        """What there is to share of each stated quota, and each router's floor; `members`: of the fleet.

        The floors are set aside for every router, those that are down or cut off among them.
        """
        if not policy.store.shares:
            return {}
        found = {}
        for name, tenant in self._tenants.items():
            if tenant.quota_per_s:
                told = policy.namespaces.get(name)
                quota = tenant.quota_per_s if told is None or told.quota_per_s is None else told.quota_per_s
                if policy.store.rate_per_s is not None:
                    quota = min(quota, policy.store.rate_per_s * self._portion(policy, name))
                floor = tenant.quota_per_s * policy.floor_share / self._routers
                shared = max(quota - floor * max(members, self._routers), 0.0)
                found[name] = Pool(shared, floor)
        return found

    def _portion(self, policy: Policy, name: str) -> float:
        told = policy.namespaces.get(name)
        return self._tenants[name].weight if told is None or told.portion is None else told.portion


def held(version: int, policy: Policy) -> FleetPolicy:
    """What the decision module is told of a policy."""
    rows = tuple(
        NamespaceLimits(name, told.portion, told.quota_per_s)
        for name, told in sorted(policy.namespaces.items())
    )
    store = policy.store
    return FleetPolicy(
        version,
        rows,
        store.rate_per_s,
        store.hard_factor,
        store.window_s,
        policy.held_out,
        policy.floor_share,
        store.shares,
    )


def difference(before: Policy, after: Policy) -> list[str]:
    """Each key in which two policies differ, in one line."""
    old, new = dict(_flat(msgspec.to_builtins(before))), dict(_flat(msgspec.to_builtins(after)))
    names = dict.fromkeys([*old, *new])
    return [
        f"{name}: {old.get(name, 'as before')} -> {new.get(name, 'as in the settings')}"
        for name in names
        if old.get(name) != new.get(name)
    ]


def _flat(value: object, prefix: str = "") -> Iterator[tuple[str, object]]:
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from _flat(inner, f"{prefix}.{key}" if prefix else str(key))
    else:
        yield prefix, ", ".join(map(str, value)) if isinstance(value, list | tuple) else value
