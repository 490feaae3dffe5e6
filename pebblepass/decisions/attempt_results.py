"""The next step after an attempt has ended: the final answer, a fetch, or a retry."""

from __future__ import annotations

from pebblepass.decisions import interface as api
from pebblepass.decisions.cache_health import CacheHealth
from pebblepass.decisions.completion import Completion
from pebblepass.decisions.health import Node
from pebblepass.decisions.hedging import Hedging
from pebblepass.decisions.interface import Outcome
from pebblepass.decisions.open_requests import OpenRequests
from pebblepass.decisions.origin_requests import OriginRequests
from pebblepass.decisions.requests import Request
from pebblepass.decisions.routing import Routing


class AttemptResults:
    """Processes the ends of attempts at cache servers and at the origin."""

    def __init__(
        self,
        requests: OpenRequests,
        cache_health: CacheHealth,
        origin_requests: OriginRequests,
        hedging: Hedging,
        routing: Routing,
        completion: Completion,
        has_origin: bool,
    ) -> None:
        self._open_requests, self._cache_health, self._origin_requests = (
            requests.by_id,
            cache_health,
            origin_requests,
        )
        self._hedging, self._routing, self._completion = hedging, routing, completion
        self._has_origin = has_origin

    def process(self, event: api.AttemptEnded) -> None:
        """Record the end of an attempt and choose the next step; unknown requests are ignored."""
        request = self._open_requests.get(event.request)
        if request is None or request.node is None:
            return
        if request.hedge_node is not None and event.server == request.hedge_node.entry.id:
            self._hedging.process_result(request, request.hedge_node, event)
            return
        freed_command = request.free_command_slot() if request.is_fetching else None
        self._process_first(request, request.node, event)
        if freed_command is not None:
            self._completion.resume_command(freed_command)

    def _process_first(self, request: Request, node: Node, event: api.AttemptEnded) -> None:
        """Process the end of any attempt but a hedge."""
        was_fetch, outcome = request.is_fetching, event.outcome
        request.in_flight = request.is_fetching = False
        node.attempts_in_flight -= 1
        if was_fetch:
            self._origin_requests.record_attempt(request, node, event)
        else:
            self._cache_health.record_attempt(request, node, event)
        if not outcome.never_ran and request.may_have_run is None:
            request.may_have_run = node, request.sent_at
        if event.answered or request.is_done:
            self._completion.finish(request, stored=was_fetch and outcome is Outcome.OK)
        elif outcome is Outcome.MISS and was_fetch:
            self._completion.key_missing(request)
        elif outcome is Outcome.MISS and self._has_origin:
            self._origin_requests.fetch_or_wait(request)
        elif was_fetch:
            self._origin_requests.fetch_failed(request, event)
        else:
            self._retry(request, node, event)

    def _retry(self, request: Request, node: Node, event: api.AttemptEnded) -> None:
        """Retry at another cache server, or at the same one after a single lost attempt that was not late."""
        late = event.latency > request.request_class.latency_target
        lost = event.outcome in (Outcome.TIMEOUT, Outcome.RESET)
        if not lost or late or node.consecutive_unanswered > 1:
            request.excluded.append(node)
        if request.hedge_node is None:  # else the hedge decides
            self._routing.route(request)
