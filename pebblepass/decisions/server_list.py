"""The server list in force: ready caches and origins, without cordoned servers."""

from __future__ import annotations

from pebblepass.decisions import interface as api
from pebblepass.decisions.interface import ListKind, ServerState
from pebblepass.decisions.policy import PolicyInForce
from pebblepass.decisions.slot_table import SlotTable
from pebblepass.decisions.subscription import Subscription


class ServerList:
    """Applies lists to the tables of caches and origins, without the cordoned servers.

    Inputs: the lists received, and the ids that the policy cordons. The origin is never cordoned, as no miss
    or write could be served without it.
    """

    def __init__(
        self,
        settings: api.Settings,
        caches: SlotTable,
        origins: SlotTable,
        policy: PolicyInForce,
        subscription: Subscription,
    ) -> None:
        self._origin_kind = settings.origin_kind
        self._caches, self._origins, self._policy = caches, origins, policy
        self._subscription = subscription
        self._cordoned: dict[str, api.Server] = {}

    def servers_changed(self, event: api.ServersChanged) -> None:
        """Apply a list; after a failure the last one stays in force."""
        self._subscription.list_received(event.kind)
        if event.kind is ListKind.FAILED:
            return
        ready = [entry for entry in event.servers if entry.state is ServerState.READY]
        if self._policy.cordoned:
            ready = self._without_cordoned(ready, event)
        removed = [entry.id for entry in event.servers if entry.state is not ServerState.READY]
        for table, is_origin in ((self._caches, False), (self._origins, True)):
            entries = [entry for entry in ready if (entry.kind == self._origin_kind) == is_origin]
            unlisted = (
                table.nodes.keys() - {entry.id for entry in entries}
                if event.kind is not ListKind.DELTA
                else ()
            )
            table.update(entries, [*removed, *unlisted])

    def ready_servers(self) -> list[api.Server]:
        """Return the ready servers of the last list, the origin and cordoned ones included."""
        routed = [node.entry for table in (self._caches, self._origins) for node in table.nodes.values()]
        return [*routed, *self._cordoned.values()]

    def reapply_cordons(self) -> None:
        """Apply the last list again with the servers that the policy now cordons."""
        entries = self.ready_servers()
        self._cordoned.clear()
        self.servers_changed(api.ServersChanged(ListKind.FULL, tuple(entries)))

    def avoided(self, now: int) -> list[str]:
        """Return the ids of ready caches that get hardly any requests; one late answer is not enough."""
        nodes = self._caches.nodes.items()
        return [server_id for server_id, node in nodes if node.is_avoided(now) or not node.may_connect(now)]

    def _without_cordoned(self, ready: list[api.Server], event: api.ServersChanged) -> list[api.Server]:
        """Store the ready servers that are cordoned separately, and return the others."""
        cordoned_ids = self._policy.cordoned
        if event.kind is not ListKind.DELTA:
            self._cordoned.clear()
        for entry in event.servers:
            self._cordoned.pop(entry.id, None)
        self._cordoned |= {
            entry.id: entry for entry in ready if entry.id in cordoned_ids and entry.kind != self._origin_kind
        }
        return [entry for entry in ready if entry.id not in self._cordoned]
