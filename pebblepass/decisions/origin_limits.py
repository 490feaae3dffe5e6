"""Limits on the traffic to the origin, tuned by the outcomes of fetches and writes.

Three limits adapt by AIMD (additive increase, multiplicative decrease): the fetches in flight, the writes in
flight, and each tenant's rate (its Suppressor). All latencies are nanoseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from pebblepass.decisions import interface as api
from pebblepass.decisions.context import EventContext
from pebblepass.decisions.health import LatencyEstimate, Node, is_connection_failure
from pebblepass.decisions.interface import Outcome
from pebblepass.decisions.outage import OriginState, Outage
from pebblepass.decisions.requests import Request
from pebblepass.decisions.suppressor import LIMIT_DECREASE, Suppressor

BAD_FETCH_SMOOTHING = 8  # fetches over which the fraction of bad ones is averaged
MAX_BAD_FRACTION = 0.2  # of recent fetches; above it the limits decrease
QUICK_FETCH_FRACTION = 0.4  # of the latency target: faster fetches widen the window
SLOW_FETCH_FRACTION = 0.55  # of the latency target: slower ones narrow it
WINDOW_DECREASE = 0.8  # factor on the fetches in flight
MAX_DECLINED_FRACTION = 0.05  # of a tenant's admitted calls, for the origin to have headroom


class OriginLimits:
    """A fetch window, a write limit and the tenants' rates, tuned to what the origin can answer in time.

    Inputs: outcome and latency of each fetch and write, the class's latency target, and the attempts in
    flight at the origin. Reason: the origin's capacity is not announced. Slow fetches narrow the window,
    since fewer in flight are answered faster; bad ones decrease the write limit and the rates. Limits
    decreased by an outage are restored after it.
    """

    def __init__(
        self, fetch_latency: LatencyEstimate, suppressors: Mapping[str, Suppressor], context: EventContext
    ) -> None:
        self.fetch_latency = fetch_latency
        self.fetch_window = math.inf
        """Fetches in flight at most; infinite until one was slow."""
        self.write_limit = math.inf
        """Writes in flight at most; infinite until fetches failed."""
        self.bad_fetch_fraction = 0.0
        """Smoothed fraction of bad fetches, 0 to 1."""
        self.outage = Outage()
        self._suppressors, self._context = suppressors, context
        self._window_decreased_at = self._limits_decreased_at = 0

    def has_headroom(self, request: Request, queued: int) -> bool:
        """Whether fetches are fast, none is queued, and hardly any call of this tenant was declined."""
        suppressor = request.suppressor
        return (
            suppressor.declined <= MAX_DECLINED_FRACTION * suppressor.accepted(self._context.now)
            and self.fetch_latency.mean < request.request_class.latency_target * QUICK_FETCH_FRACTION
            and not queued
        )

    def record_fetch(self, node: Node, event: api.AttemptEnded, late: bool, target: int) -> None:
        """Tune the limits by the end of a fetch or write; `late`: after the latency target (nanoseconds)."""
        self._detect_outage(event, late, target)
        outcome, connection_only = event.outcome, is_connection_failure(event, late)
        if event.latency > target * SLOW_FETCH_FRACTION and not connection_only:
            # A late but good answer is not counted as bad while the window can still shrink.
            late = late and (outcome is not Outcome.OK or self.fetch_window <= 1.0)
            self._narrow_window(node)
        elif event.latency <= target * QUICK_FETCH_FRACTION and outcome is Outcome.OK:
            self.fetch_window += 1 / self.fetch_window
        if outcome is Outcome.TIMEOUT:
            self.fetch_latency.record(event.latency)
        if outcome in (Outcome.OK, Outcome.MISS) and not late:
            self._record_good(event.latency)
        elif not connection_only and (
            late or outcome not in (Outcome.SUPERSEDED, Outcome.CANCELLED, Outcome.TIMEOUT)
        ):
            # A timeout that is not late had too little time left, which is not the origin's fault.
            self._record_bad(node)

    def _narrow_window(self, node: Node) -> None:
        """Decrease the window, starting from the fetches in flight, at most once in a round trip."""
        if self._context.now - self._window_decreased_at >= self.fetch_latency.mean:
            self._window_decreased_at = self._context.now
            self.fetch_window = max(
                1.0, min(self.fetch_window, node.attempts_in_flight + 1) * WINDOW_DECREASE
            )

    def _record_good(self, latency: int) -> None:
        self.bad_fetch_fraction -= self.bad_fetch_fraction / BAD_FETCH_SMOOTHING
        self.fetch_latency.record(latency)
        self.write_limit += 1 / self.write_limit
        for suppressor in self._suppressors.values():
            suppressor.increase_limit(self._context.now)

    def _record_bad(self, node: Node) -> None:
        """Count a bad fetch, and decrease the limits if too many are bad.

        A single bad fetch may be chance, and all those of one round trip count as one failure.
        """
        now = self._context.now
        self.bad_fetch_fraction += (1 - self.bad_fetch_fraction) / BAD_FETCH_SMOOTHING
        if (
            self.bad_fetch_fraction < MAX_BAD_FRACTION
            or now - self._limits_decreased_at < self.fetch_latency.mean
        ):
            return
        self._limits_decreased_at = now
        self.write_limit = max(1.0, min(self.write_limit, node.attempts_in_flight + 1) * LIMIT_DECREASE)
        for suppressor in self._suppressors.values():  # the origin is shared by all tenants
            suppressor.decrease_limit(now)

    def _detect_outage(self, event: api.AttemptEnded, late: bool, target: int) -> None:
        """Count fetches without an answer; after an outage restore the limits from before it."""
        if event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT):
            # A timeout that is not late had too little time left, and is no evidence.
            if not event.connection_failed and (late or event.outcome is not Outcome.TIMEOUT):
                self.outage.record_unanswered(self._state())
        elif event.outcome in (Outcome.OK, Outcome.MISS, Outcome.ERROR, Outcome.OVERLOADED):
            good = event.outcome in (Outcome.OK, Outcome.MISS)
            state_before = self.outage.record_answer(good and event.latency <= target * QUICK_FETCH_FRACTION)
            if state_before is not None:
                self._restore(state_before)

    def _state(self) -> OriginState:
        return OriginState(
            self.write_limit,
            self.fetch_window,
            self.bad_fetch_fraction,
            self.fetch_latency.mean,
            self.fetch_latency.deviation,
            {name: suppressor.limit for name, suppressor in self._suppressors.items()},
        )

    def _restore(self, state_before: OriginState) -> None:
        self.write_limit, self.fetch_window = state_before.write_limit, state_before.fetch_window
        self.bad_fetch_fraction = state_before.bad_fraction
        self.fetch_latency.mean, self.fetch_latency.deviation = state_before.mean, state_before.deviation
        for name, suppressor in self._suppressors.items():
            suppressor.limit = max(suppressor.limit, state_before.limits[name])

    def import_state(self, imported: api.OriginHealth, weight: float) -> None:
        """Move towards another router's limits and fetch latency by `weight` (0 to 1)."""
        self.bad_fetch_fraction += (imported.bad_fraction - self.bad_fetch_fraction) * weight
        self.fetch_latency.import_estimate(
            imported.fetch_latency_mean, imported.fetch_latency_deviation, weight
        )
        if weight > 0:  # infinite means unknown here, and cannot be averaged
            self.fetch_window = min(self.fetch_window, max(imported.fetch_window, 1.0) / weight)
            self.write_limit = min(self.write_limit, max(imported.write_limit, 1.0) / weight)
