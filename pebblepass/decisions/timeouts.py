"""Attempt timeouts: how long an attempt may take before it counts as lost."""

from __future__ import annotations

from pebblepass.decisions.health import LatencyEstimate, Node
from pebblepass.decisions.requests import Request

TIMEOUT_DEVIATIONS = 6  # deviations above the mean latency
MIN_TIMEOUT_FRACTION, MAX_TIMEOUT_FRACTION = 0.125, 0.95  # of the latency target
SLOW_SERVER_FRACTION = 0.8  # of the latency target; slower servers get no timeout but the client's deadline


def expected_latency(overall: LatencyEstimate, node: Node) -> tuple[float, float]:
    """Return mean and deviation (nanoseconds): the greater of the server's own and those of all servers."""
    own = node.latency
    mean = own.mean if own.mean > overall.mean else overall.mean
    return mean, own.deviation if own.deviation > overall.deviation else overall.deviation


class AttemptTimeouts:
    """Timeouts, in nanoseconds, of first attempts that may be repeated without harm.

    Inputs: the latencies of the server and of all servers, the class's latency target, and the event loop's
    lag. Reason: a lost attempt is repeated early enough for the answer to be within the target.
    """

    def __init__(self, cache_latency: LatencyEstimate, fetch_latency: LatencyEstimate) -> None:
        self._cache_latency, self._fetch_latency = cache_latency, fetch_latency
        self.loop_lag = 0
        """Nanoseconds that this router's event loop runs late: an answer may wait unread for that long."""

    def timeout(self, request: Request, node: Node) -> int:
        """Return the timeout of an attempt that starts now; 0: only the client's deadline ends it."""
        target = request.request_class.latency_target
        mean, deviation = expected_latency(
            self._fetch_latency if request.is_fetching else self._cache_latency, node
        )
        is_slow = mean + deviation * TIMEOUT_DEVIATIONS / 2 > target * SLOW_SERVER_FRACTION
        is_first = not request.is_refetch if request.is_fetching else request.attempts == 1
        if is_slow or not is_first or not request.may_repeat():
            return 0
        # The minimum protects fast servers, whose deviations are smaller than a pause of this router.
        timeout = max(mean + deviation * TIMEOUT_DEVIATIONS, target * MIN_TIMEOUT_FRACTION) + self.loop_lag
        return int(min(timeout, target * MAX_TIMEOUT_FRACTION))
