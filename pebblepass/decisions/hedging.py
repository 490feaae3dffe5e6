"""Hedged requests: a second attempt at another server while the first one runs."""

from __future__ import annotations

from pebblepass.decisions import interface as api
from pebblepass.decisions.attempts import Attempts
from pebblepass.decisions.cache_health import CacheHealth
from pebblepass.decisions.completion import Completion
from pebblepass.decisions.health import Node
from pebblepass.decisions.interface import Effect, Outcome
from pebblepass.decisions.origin_requests import OriginRequests
from pebblepass.decisions.requests import Request
from pebblepass.decisions.routing import Routing
from pebblepass.decisions.selection import ServerSelection


class Hedging:
    """Sends hedges and processes their results; the first good answer counts.

    Inputs: the first attempt's state, the class's effect, and the health and warm-up of the slot's next
    servers. Reason: a hedge spares a client the wait for one slow server; only idempotent requests may run
    twice.
    """

    def __init__(
        self,
        settings: api.Settings,
        selection: ServerSelection,
        attempts: Attempts,
        cache_health: CacheHealth,
        origin_requests: OriginRequests,
        routing: Routing,
        completion: Completion,
    ) -> None:
        self._may_hedge, self._has_origin = settings.may_hedge, settings.origin_kind is not None
        self._selection, self._attempts, self._cache_health = selection, attempts, cache_health
        self._origin_requests, self._routing, self._completion = origin_requests, routing, completion

    def hedge(self, request: Request) -> None:
        """Send a hedged second attempt to the slot's next suitable server, if there is one."""
        is_running = (
            request.hedge_node is None and request.in_flight and not (request.is_fetching or request.is_done)
        )
        if not is_running or not self._may_hedge or request.request_class.effect is not Effect.IDEMPOTENT:
            return
        for node in self._selection.candidates(request):
            if self._selection.accepts_hedge(request, node) and self._attempts.may_attempt(request):
                self._attempts.send_hedge(request, node)
                return

    def process_result(self, request: Request, node: Node, event: api.AttemptEnded) -> None:
        """Process a hedge's result; while the first attempt is in flight, that one decides the next step."""
        request.hedge_node = None
        node.attempts_in_flight -= 1
        self._cache_health.record_attempt(request, node, event)
        request.excluded.append(node)
        if event.answered or request.is_done:
            self._completion.finish(request)
        elif request.in_flight or request.is_waiting:
            return
        elif event.outcome is Outcome.MISS and self._has_origin:
            self._origin_requests.fetch_or_wait(request)
        else:
            self._routing.route(request)
