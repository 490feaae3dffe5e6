"""The decisions of one router, without I/O: events and the time in, actions out (see interface/).

Usual path: key -> slot -> the ready cache server with the highest weighted hash of (slot, server id);
a read that misses there -> the origin, if its tenant's Suppressor admits the fetch; a write -> the origin.
docs/design/decisions.md gives the source of every departure from this path, and its condition.

Where each rule is implemented:

| rule | module |
| --- | --- |
| a request's first step; batches of a multi-get command | arrivals |
| placement and warm-up of servers | slot_table |
| choice of the cache server, hot slots, cold servers, short deadlines | selection |
| cache server, origin or rejection | routing |
| popularity of slots and tenants | hot_keys |
| number, timeout and start of attempts | attempts, timeouts |
| what may be repeated, and where | requests |
| retry, fetch or answer after an attempt | attempt_results |
| hedges | hedging |
| a server's health: send probability, recovery, backoff | health, cache_health |
| admission of fetches and writes to the origin | origin_requests, fetch_queue, single_flight |
| limits on the origin's traffic, outages | origin_limits, outage |
| a tenant's rate limit | suppressor, tenants |
| final answers, and resuming the requests that waited | completion, open_requests |
| policy, quota leases, floor | policy |
| server list, cordons, subscription | server_list, subscription |
| state for a router that starts | state_transfer |
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from pebblepass.decisions import interface as api
from pebblepass.decisions.arrivals import Arrivals, Batches
from pebblepass.decisions.attempt_results import AttemptResults
from pebblepass.decisions.attempts import Attempts
from pebblepass.decisions.cache_health import CacheHealth
from pebblepass.decisions.completion import Completion
from pebblepass.decisions.context import EventContext
from pebblepass.decisions.fetch_queue import FetchQueue
from pebblepass.decisions.health import LatencyEstimate
from pebblepass.decisions.hedging import Hedging
from pebblepass.decisions.open_requests import OpenRequests
from pebblepass.decisions.origin_limits import OriginLimits
from pebblepass.decisions.origin_requests import OriginRequests
from pebblepass.decisions.policy import PolicyInForce
from pebblepass.decisions.routing import Routing
from pebblepass.decisions.selection import ServerSelection
from pebblepass.decisions.server_list import ServerList
from pebblepass.decisions.single_flight import SingleFlight
from pebblepass.decisions.slot_table import SlotTable
from pebblepass.decisions.state_transfer import StateTransfer
from pebblepass.decisions.subscription import SUBSCRIBE_TIMER, Subscription
from pebblepass.decisions.tenants import Tenants
from pebblepass.decisions.timeouts import AttemptTimeouts

Handler = Callable[[Any], None]


class Router:
    """One router's decisions: pass each event with the time, and carry out the actions returned.

    It builds the parts and passes each event to the part concerned. The parts share the context (the time and
    the actions of the current event) and one random generator.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._context, self._rng = EventContext(), random.Random(seed)
        context, rng = self._context, self._rng
        target = min(cls.latency_target for cls in settings.classes)
        self.tenants = Tenants(settings, rng)
        self.caches, self.origins = SlotTable(settings), SlotTable(settings)
        self.open_requests, self.flights = OpenRequests(), SingleFlight()
        self.fetch_queue = FetchQueue(self.flights)
        self.cache_health = CacheHealth(LatencyEstimate(target), context, rng)
        fetch_latency = LatencyEstimate(target / 2)
        self.origin_limits = OriginLimits(fetch_latency, self.tenants.suppressors, context)
        self.policy = PolicyInForce(settings.routers, self.tenants.suppressors)
        self.selection = ServerSelection(settings, self.caches, self.cache_health, context, rng)
        self._timeouts = AttemptTimeouts(self.cache_health.latency, fetch_latency)
        self._subscription = Subscription(settings, context, rng)
        self._server_list = ServerList(settings, self.caches, self.origins, self.policy, self._subscription)
        self._state_transfer = StateTransfer(
            self.caches,
            self.tenants,
            self.origin_limits,
            self.cache_health.latency,
            self.selection.slot_popularity,
        )
        self._build_request_path(settings)
        self._handlers = self._event_table()

    def _build_request_path(self, settings: api.Settings) -> None:
        """Build the parts that a request passes through, from its arrival to its final answer."""
        context, rng, selection, health = self._context, self._rng, self.selection, self.cache_health
        requests, tenants = self.open_requests, self.tenants
        limits, queue = self.origin_limits, self.fetch_queue
        attempts = Attempts(settings.max_attempts, context, self._timeouts)
        completion = Completion(settings, requests, self.flights, queue, context, rng)
        origin = OriginRequests(self.origins, limits, self.flights, queue, attempts, completion, context, rng)
        routing = Routing(selection, attempts, origin, limits, self.origins, queue, completion, context)
        completion.resume_with(routing.route, origin.fetch_or_wait)
        hedging = Hedging(settings, selection, attempts, health, origin, routing, completion)
        self._completion, self._origin_requests, self._hedging = completion, origin, hedging
        self._arrivals = Arrivals(settings, requests, tenants, selection, origin, routing, rng)
        self._batches = Batches(
            settings, requests, tenants, selection, self.caches, health, self._timeouts, routing, context
        )
        has_origin = settings.origin_kind is not None
        self._attempt_results = AttemptResults(
            requests, health, origin, hedging, routing, completion, has_origin
        )

    def _event_table(self) -> dict[type, Handler]:
        """Return the handler of each kind of event; kinds without a handler need no decision."""
        return {
            api.RequestArrived: self._arrivals.request_arrived,
            api.BatchArrived: self._batches.batch_arrived,
            api.AttemptEnded: self._attempt_results.process,
            api.BatchServed: self._batches.batch_served,
            api.HedgeDue: self._hedge_due,
            api.ClientDisconnected: self._client_disconnected,
            api.TimerFired: self._timer_fired,
            api.ServersChanged: self._server_list.servers_changed,
            api.PolicyChanged: self._policy_changed,
            api.StateImported: self._state_imported,
            api.EventLoopLagged: self._event_loop_lagged,
        }

    def handle(self, event: api.Event, now: int) -> list[api.Action]:
        """Process one event at clock time `now` (nanoseconds); return the actions to carry out, in order."""
        context = self._context
        context.now, context.actions = now, []
        if now >= self.policy.next_expiry:  # not by a timer, as the process may have been stopped
            self.policy.expire(now)
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        return context.actions

    def limits(self) -> dict[str, float]:
        """Return each tenant's present limit in fetches a second, for accounting."""
        return self.tenants.limits()

    def demand(self) -> dict[str, int]:
        """Return each tenant's fetches and writes so far, declined ones included (see Suppressor.demand)."""
        return self.tenants.demand()

    def ready_servers(self) -> list[api.Server]:
        """Return the ready servers of the last list, the origin and cordoned ones included."""
        return self._server_list.ready_servers()

    def avoided(self, now: int) -> list[str]:
        """Return the ids of ready caches that get hardly any requests; one late answer is not enough."""
        return self._server_list.avoided(now)

    def policy_version(self) -> int:
        """Return the version of the policy in force; 0: none, or the floor applies."""
        return self.policy.version()

    def export_state(self, now: int) -> api.RouterState:
        """Return what this router has measured, for a router that starts."""
        return self._state_transfer.export_state(now)

    def _hedge_due(self, event: api.HedgeDue) -> None:
        request = self.open_requests.by_id.get(event.request)
        if request is not None:
            self._hedging.hedge(request)

    def _client_disconnected(self, event: api.ClientDisconnected) -> None:
        request = self.open_requests.by_id.get(event.request)
        if request is not None:
            self._completion.finish(request)

    def _timer_fired(self, event: api.TimerFired) -> None:
        if event.token == SUBSCRIBE_TIMER:
            self._subscription.timer_fired()
            # No return: clients choose the request ids, so a request with this id may have a timer too.
        request = self.open_requests.by_id.get(event.token)
        if request is not None:
            self._origin_requests.timer_fired(request)

    def _policy_changed(self, event: api.PolicyChanged) -> None:
        cordoned_before = self.policy.cordoned
        self.policy.change(event, self._context.now)
        if cordoned_before != event.policy.cordoned:
            self._server_list.reapply_cordons()

    def _state_imported(self, event: api.StateImported) -> None:
        self._state_transfer.import_state(event.state)

    def _event_loop_lagged(self, event: api.EventLoopLagged) -> None:
        self._timeouts.loop_lag = event.lag
