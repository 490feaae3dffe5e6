"""The fleet's policy in force on this router, and its quota leases."""

from __future__ import annotations

from collections.abc import Mapping
from math import inf

from pebblepass.decisions import interface as api
from pebblepass.decisions.suppressor import Suppressor


class PolicyInForce:
    """Applies a policy to the tenants' limits, and the floor when it expires.

    Inputs: the policy decided by the fleet, its expiry and the leases' (clock time, nanoseconds). Reason: a
    router that can't tell which version is in force admits only what is safe under any. Expiry is checked at
    each event and not by a timer: the process may have been stopped.
    """

    def __init__(self, routers: int, suppressors: Mapping[str, Suppressor]) -> None:
        self._routers, self._suppressors = routers, suppressors
        self._policy: api.FleetPolicy | None = None
        self._expires_at = inf  # from then on the floor applies
        self._leases: dict[str, float] = {}  # calls a second, by tenant
        self._leases_until = inf
        self.next_expiry = inf
        """When the policy or the leases expire, whichever is first; infinite: neither."""

    @property
    def cordoned(self) -> tuple[str, ...]:
        """The servers that get no new requests; an expired policy's stay cordoned."""
        return self._policy.cordoned if self._policy is not None else ()

    def version(self) -> int:
        """Return the version of the policy in force; 0: none, or the floor applies."""
        at_floor = self._policy is None or self._expires_at == inf
        return 0 if at_floor or self._policy is None else self._policy.version

    def change(self, event: api.PolicyChanged, now: int) -> None:
        """Put a version in force until its expiry, or apply the floor if that is past."""
        same = self._policy == event.policy and self._expires_at != inf
        leases = dict(event.leases) if now < event.leases_until else {}
        same = same and leases == self._leases
        self._leases, self._leases_until = leases, event.leases_until if leases else inf
        self._policy = event.policy
        if now >= event.expires_at:
            self._apply(now, floor=True)
        else:
            self._expires_at = event.expires_at
            if not same:
                self._apply(now, floor=False)
        self.next_expiry = min(self._expires_at, self._leases_until)

    def expire(self, now: int) -> None:
        """Drop the leases, and apply the floor if the policy itself has expired."""
        floor = now >= self._expires_at
        self._leases, self._leases_until = {}, inf
        self._apply(now, floor)
        self.next_expiry = self._expires_at

    def _apply(self, now: int, floor: bool) -> None:
        if floor:
            self._expires_at, self._leases, self._leases_until = inf, {}, inf
        if self._policy is None:
            return
        namespaces = {each.name: each for each in self._policy.namespaces}
        for name, suppressor in self._suppressors.items():
            lease = None if floor else self._leases.get(name, 0.0)
            suppressor.apply_policy(self._policy, namespaces.get(name), self._routers, lease, now)
