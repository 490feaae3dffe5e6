"""Transfer of a router's measured state to a router that starts."""

from __future__ import annotations

from pebblepass.decisions import interface as api
from pebblepass.decisions.health import LatencyEstimate
from pebblepass.decisions.hot_keys import Popularity
from pebblepass.decisions.origin_limits import OriginLimits
from pebblepass.decisions.slot_table import SlotTable
from pebblepass.decisions.tenants import Tenants


class StateTransfer:
    """Exports and imports the servers' health, the limits, and the popularity of slots and tenants."""

    def __init__(
        self,
        caches: SlotTable,
        tenants: Tenants,
        origin_limits: OriginLimits,
        cache_latency: LatencyEstimate,
        slot_popularity: Popularity,
    ) -> None:
        self._caches, self._tenants, self._origin_limits = caches, tenants, origin_limits
        self._cache_latency, self._slot_popularity = cache_latency, slot_popularity

    def export_state(self, now: int) -> api.RouterState:
        """Return what this router has measured until `now` (nanoseconds)."""
        nodes = self._caches.nodes.values()  # the origin has no health record
        suppressors = self._tenants.suppressors.items()
        slots, tenants = self._slot_popularity.hottest(), self._tenants.usage.hottest()
        return api.RouterState(
            tuple(node.export_state() for node in nodes if node.last_outcome_at),
            tuple(suppressor.export_state(name, now) for name, suppressor in suppressors),
            self._origin_health(),
            tuple((slot, count) for slot, count in slots if isinstance(slot, int)),
            tuple((name, count) for name, count in tenants if isinstance(name, str)),
        )

    def _origin_health(self) -> api.OriginHealth:
        limits, fetches, answers = self._origin_limits, self._origin_limits.fetch_latency, self._cache_latency
        return api.OriginHealth(
            fetch_window=limits.fetch_window,
            write_limit=limits.write_limit,
            bad_fraction=limits.bad_fetch_fraction,
            fetch_latency_mean=fetches.mean,
            fetch_latency_deviation=fetches.deviation,
            cache_latency_mean=answers.mean,
            cache_latency_deviation=answers.deviation,
        )

    def import_state(self, imported: api.RouterState) -> None:
        """Import another router's state by its weight; servers and tenants unknown here are ignored."""
        for node in imported.servers:
            if node.server in self._caches.nodes:
                self._caches.nodes[node.server].import_state(node)
        for limit in imported.limits:
            if limit.tenant in self._tenants.suppressors:
                self._tenants.suppressors[limit.tenant].import_state(limit, imported.weight)
        self._slot_popularity.import_counts(imported.slot_counts, imported.weight)
        self._tenants.usage.import_counts(imported.tenant_counts, imported.weight)
        origin, weight = imported.origin, imported.weight
        self._origin_limits.import_state(origin, weight)
        self._cache_latency.import_estimate(origin.cache_latency_mean, origin.cache_latency_deviation, weight)
