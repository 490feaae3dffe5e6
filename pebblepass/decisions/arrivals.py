"""Arrival of requests, one by one or as the batch of a multi-get command, and the end of a batch."""

from __future__ import annotations

import random
from zlib import crc32

from pebblepass.decisions import interface as api
from pebblepass.decisions.cache_health import CacheHealth
from pebblepass.decisions.context import EventContext
from pebblepass.decisions.health import Node
from pebblepass.decisions.hot_keys import HOT_LOAD_FRACTION
from pebblepass.decisions.open_requests import OpenRequests
from pebblepass.decisions.origin_requests import OriginRequests
from pebblepass.decisions.requests import Request
from pebblepass.decisions.routing import Routing
from pebblepass.decisions.selection import ServerSelection
from pebblepass.decisions.slot_table import SLOTS, SlotTable
from pebblepass.decisions.tenants import Tenants
from pebblepass.decisions.timeouts import AttemptTimeouts


class Arrivals:
    """Opens a request for each arrival: a write goes to the origin, a read is routed by its key's slot."""

    def __init__(
        self,
        settings: api.Settings,
        requests: OpenRequests,
        tenants: Tenants,
        selection: ServerSelection,
        origin_requests: OriginRequests,
        routing: Routing,
        rng: random.Random,
    ) -> None:
        self._classes = {cls.name: cls for cls in settings.classes}
        self._has_origin = settings.origin_kind is not None
        self._open_requests, self._tenants, self._popularity = (
            requests.by_id,
            tenants,
            selection.slot_popularity,
        )
        self._origin_requests, self._routing, self._rng = origin_requests, routing, rng

    def request_arrived(self, event: api.RequestArrived) -> None:
        """Open a request and choose its first step; a request without a key gets a random slot."""
        suppressor = self._tenants.suppressor(event.tenant)
        cls = self._classes[event.request_class]
        request = Request(event.request, event.key, event.deadline, event.write, cls, suppressor)
        request.slot = self._rng.randrange(SLOTS) if event.key is None else crc32(event.key.encode()) % SLOTS
        self._open_requests[request.id] = request
        if event.retry:
            request.is_retry = True
        if request.is_write and self._has_origin:
            self._origin_requests.submit(request)
        else:
            request.popularity = self._popularity.add(request.slot)
            suppressor.record_usage(self._tenants.usage.add(event.tenant or ""))
            self._routing.route(request)


class Batches:
    """Opens a request for each key of a multi-get command, and batches those for one server.

    Inputs: as for single requests. Reason: one action and one sample for many keys make a key cheap.
    """

    def __init__(
        self,
        settings: api.Settings,
        requests: OpenRequests,
        tenants: Tenants,
        selection: ServerSelection,
        caches: SlotTable,
        cache_health: CacheHealth,
        timeouts: AttemptTimeouts,
        routing: Routing,
        context: EventContext,
    ) -> None:
        self._classes = {cls.name: cls for cls in settings.classes}
        self._requests, self._tenants, self._selection, self._caches = requests, tenants, selection, caches
        self._cache_health, self._timeouts = cache_health, timeouts
        self._routing, self._context = routing, context

    def batch_arrived(self, event: api.BatchArrived) -> None:
        """Route each key as a separate request, but batch those for one server into one action."""
        suppressor = self._tenants.suppressor(event.tenant)
        cls, now = self._classes[event.request_class], self._context.now
        hot_fraction = HOT_LOAD_FRACTION / max(len(self._caches.nodes), 1)
        steady_rankings = self._caches.steady_rankings
        command = self._requests.open_command(event.command, len(event.requests))
        suppressor.record_usage(self._tenants.usage.add(event.tenant or "", len(event.requests)))
        has_short_deadline = event.deadline - now < cls.latency_target
        open_requests, add = self._requests.by_id, self._selection.slot_popularity.add
        sends: dict[Node, api.SendBatch] = {}
        for name, key in zip(event.requests, event.keys, strict=True):
            request = open_requests[name] = Request(name, key, event.deadline, False, cls, suppressor)
            slot = request.slot = crc32(key.encode()) % SLOTS
            request.command, request.popularity = command, add(slot)
            cached = steady_rankings.get(slot) if request.popularity <= hot_fraction else None
            ranking = cached or self._selection.candidates(request)
            # Fast path of Routing.route: the first choice is healthy, and there is time left.
            if not ranking or not ranking[0].is_healthy or has_short_deadline:
                self._routing.route(request)
                continue
            node = ranking[0]
            request.attempts, request.node, request.sent_at, request.in_flight = 1, node, now, True
            node.attempts_in_flight += 1
            send = sends.get(node)
            if send is None:
                send = sends[node] = self._start_batch(event.command, request, node)
            send.requests.append(name)

    def _start_batch(self, command: str, request: Request, node: Node) -> api.SendBatch:
        send = api.SendBatch([], node.entry.id, command, self._timeouts.timeout(request, node))
        self._context.actions.append(send)
        return send

    def batch_served(self, event: api.BatchServed) -> None:
        """Close the requests of a batch, and record one sample for all of its keys."""
        recorded_node: Node | None = None
        open_requests = self._requests.by_id
        for name in event.requests:
            request = open_requests.pop(name, None)
            if request is None or request.node is None or request.command is None:
                continue
            node = request.node
            node.attempts_in_flight -= 1
            request.in_flight, request.is_done = False, True
            self._requests.request_closed(request.command)
            if node is not recorded_node:
                recorded_node = node
                self._cache_health.record_batch(node, event.latency, request.request_class.latency_target)
