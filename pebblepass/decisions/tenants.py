"""The tenants of one router: their rate limiters and their recent use."""

from __future__ import annotations

import random

from pebblepass.decisions import interface as api
from pebblepass.decisions.hot_keys import Popularity
from pebblepass.decisions.suppressor import Suppressor


class Tenants:
    """A Suppressor for each configured tenant; requests of any other share the one named ""."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        tenants = (*settings.tenants, api.Tenant("", 1.0))
        self.suppressors = {tenant.name: Suppressor(tenant, settings.routers, rng) for tenant in tenants}
        self.usage = Popularity()
        """Recent requests by tenant name, as stated by the clients."""

    def suppressor(self, tenant: str | None) -> Suppressor:
        """Return the rate limiter of a tenant."""
        return self.suppressors.get(tenant or "", self.suppressors[""])

    def limits(self) -> dict[str, float]:
        """Return each configured tenant's current limit in fetches a second."""
        return {name: suppressor.limit for name, suppressor in self.suppressors.items() if name}

    def demand(self) -> dict[str, int]:
        """Return each configured tenant's fetches and writes so far (see Suppressor.demand)."""
        return {name: suppressor.demand for name, suppressor in self.suppressors.items() if name}
