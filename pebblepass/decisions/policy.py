"""The fleet's policy in force on this router, and its quota leases."""

from __future__ import annotations

from collections.abc import Mapping
from math import inf

from pebblepass.decisions import interface as api
from pebblepass.decisions.suppressor import Suppressor


class PolicyInForce:
    """Applies a policy to the tenants' limits, and the floor when it expires.

    Inputs: the policy decided by the fleet, its expiry and the leases' (clock time, nanoseconds). Reason: a
    router that does not know which version is in force admits only what is safe under any version. Expiry is
    checked at each event and not by a timer, as the process may have been stopped.
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
        """The servers that get no new requests; those of an expired policy stay cordoned."""
        return self._policy.cordoned if self._policy is not None else ()

    def version(self) -> int:
        """Return the version of the policy in force; 0: none, or the floor applies."""
        at_floor = self._policy is None or self._expires_at == inf
        return 0 if at_floor or self._policy is None else self._policy.version

    def change(self, event: api.PolicyChanged, now: int) -> None:
        """Put a version in force until its expiry, or apply the floor if it has expired already."""
        is_unchanged = self._policy == event.policy and self._expires_at != inf
        leases = dict(event.leases) if now < event.leases_until else {}
        is_unchanged = is_unchanged and leases == self._leases
        self._leases, self._leases_until = leases, event.leases_until if leases else inf
        self._policy = event.policy
        if now >= event.expires_at:
            self._apply(now, at_floor=True)
        else:
            self._expires_at = event.expires_at
            if not is_unchanged:
                self._apply(now, at_floor=False)
        self.next_expiry = min(self._expires_at, self._leases_until)

    def expire(self, now: int) -> None:
        """Drop the leases, and apply the floor if the policy itself has expired."""
        at_floor = now >= self._expires_at
        self._leases, self._leases_until = {}, inf
        self._apply(now, at_floor)
        self.next_expiry = self._expires_at

    def _apply(self, now: int, at_floor: bool) -> None:
        if at_floor:
            self._expires_at, self._leases, self._leases_until = inf, {}, inf
        if self._policy is None:
            return
        namespaces = {limits.name: limits for limits in self._policy.namespaces}
        for name, suppressor in self._suppressors.items():
            lease = None if at_floor else self._leases.get(name, 0.0)
            suppressor.apply_policy(self._policy, namespaces.get(name), self._routers, lease, now)
