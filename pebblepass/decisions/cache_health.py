"""Health of the cache servers, from the outcomes of attempts."""

from __future__ import annotations

import random

from pebblepass.decisions import interface as api
from pebblepass.decisions.context import EventContext
from pebblepass.decisions.health import (
    TIMEOUT_HOLD_NS,
    AttemptHistory,
    LatencyEstimate,
    Node,
    is_connection_failure,
)
from pebblepass.decisions.interface import Outcome
from pebblepass.decisions.requests import Request
from pebblepass.decisions.timeouts import TIMEOUT_DEVIATIONS, expected_latency


class CacheHealth:
    """Latency and recent attempts over all cache servers, and updates of each server's record.

    Inputs: an attempt's outcome and latency (nanoseconds), the class's latency target, and the deadline.
    """

    def __init__(self, latency: LatencyEstimate, context: EventContext, rng: random.Random) -> None:
        self.latency, self.history = latency, AttemptHistory()
        self._context, self._rng = context, rng

    def record_attempt(self, request: Request, node: Node, event: api.AttemptEnded) -> None:
        """Record the end of one attempt, unless it is no evidence about the server."""
        now, latency = self._context.now, event.latency
        late = latency > request.request_class.latency_target
        answered = event.outcome in (Outcome.OK, Outcome.MISS)
        if answered or (event.outcome is Outcome.TIMEOUT and not event.connection_failed):
            self.history.record(latency, answered)
            node.unanswered_at = -TIMEOUT_HOLD_NS if answered else now
        if event.connection_rejected:
            node.record_connect_rejection(now, self._rng)
        elif not is_connection_failure(event, late) and (
            late or not self._timed_out_early(request, node, event)
        ):
            node.record_outcome(event.outcome, late, now)
            if answered:
                node.latency.record(latency)
                self.latency.record(latency)

    def record_batch(self, node: Node, latency: int, target: int) -> None:
        """Record one sample for all keys of a batch that this server answered, in nanoseconds a key."""
        node.record_outcome(Outcome.OK, latency > target, self._context.now)
        node.unanswered_at = -TIMEOUT_HOLD_NS
        self.history.record(latency, answered=True)
        node.latency.record(latency)
        self.latency.record(latency)

    def _timed_out_early(self, request: Request, node: Node, event: api.AttemptEnded) -> bool:
        """Whether the client's deadline ended an attempt that was not yet slow for this server.

        Clients with short deadlines would otherwise make healthy servers look unresponsive.
        """
        if event.outcome is not Outcome.TIMEOUT or self._context.now < request.deadline:
            return False
        mean, deviation = expected_latency(self.latency, node)
        return event.latency < mean + deviation * TIMEOUT_DEVIATIONS / 2
