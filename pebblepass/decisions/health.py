"""Health of servers as observed by this router: latency, timeouts, and a send probability.

All times are whole nanoseconds on the caller's clock.
"""

from __future__ import annotations

import random
from collections import deque
from hashlib import blake2b

from pebblepass.decisions import interface as api
from pebblepass.decisions.interface import NS_PER_S, Outcome

# A server's send probability: how an attempt's outcome changes it, and how long it takes to recover.
LATE_DECREASE = 0.25  # factor for a late answer
SUCCESS_INCREASE = 0.2  # added by an answer in time
MIN_PROBABILITY = 0.05  # of a server that can be reached
UNREACHABLE_PROBABILITY = -0.02  # below 0: no request is sent at the beginning of the recovery
# Times from probability 0 to 1. Recovery depends on time and not on answers to this router: a router that
# rarely sends to a server would otherwise avoid it long after it has recovered.
LATE_RECOVERY_NS = 2 * NS_PER_S  # a queue that made an answer late drains fast
OVERLOAD_RECOVERY_NS = 8 * NS_PER_S  # a server that declines or does not answer recovers more slowly
UNREACHABLE_RECOVERY_NS = 60 * NS_PER_S  # time for discovery to remove it
TIMEOUT_HOLD_NS = 4 * NS_PER_S  # before recovery begins, as further requests would go unanswered too
CONNECT_BACKOFF_NS = NS_PER_S  # first pause after a rejected connection
MAX_CONNECT_DOUBLINGS = 4  # of that pause
HISTORY_SIZE = 32  # attempts in an AttemptHistory
SMOOTHING = 16  # samples over which latencies are averaged


class LatencyEstimate:
    """Exponentially weighted moving average of latencies in nanoseconds, and of their absolute deviation."""

    def __init__(self, initial: float = 0.0) -> None:
        self.mean = self.deviation = initial
        self.sample_weight = 0.0
        """Fraction of the mean that is due to samples, 0 to 1; the rest is due to the initial value."""

    def record(self, latency: int) -> None:
        """Add one sample."""
        difference = latency - self.mean
        self.mean += difference / SMOOTHING
        self.deviation += (abs(difference) - self.deviation) / SMOOTHING
        self.sample_weight += (1 - self.sample_weight) / SMOOTHING

    def import_estimate(self, mean: float, deviation: float, weight: float) -> None:
        """Move towards another router's mean and deviation (nanoseconds) by `weight` (0 to 1)."""
        self.mean += (mean - self.mean) * weight
        self.deviation += (deviation - self.deviation) * weight

    def expected(self, prior: float) -> float:
        """Return the expected latency of an estimate that began at 0; `prior` replaces missing samples.

        Without the prior, a server that has just joined would look faster than any other.
        """
        return self.mean + (1 - self.sample_weight) * prior


class AttemptHistory:
    """Recent attempts at all servers, to estimate the probability of an answer within a given time."""

    def __init__(self) -> None:
        self._attempts: deque[tuple[int, bool]] = deque(maxlen=HISTORY_SIZE)

    def record(self, duration: int, answered: bool) -> None:
        """Add one attempt and its duration (nanoseconds), whether or not it was answered."""
        self._attempts.append((duration, answered))

    def answer_probability(self, time: int) -> float:
        """Estimate the probability of an answer within `time` (nanoseconds); 1 without evidence.

        An attempt that was abandoned earlier than `time` is inconclusive, and is ignored.
        """
        in_time = sum(1 for duration, answered in self._attempts if answered and duration <= time)
        conclusive = sum(1 for duration, answered in self._attempts if answered or duration >= time)
        return (in_time + 1) / (conclusive + 1)


class Node:
    """A ready server: this router's attempts in flight there, and its health.

    Inputs: outcomes of attempts, whether they were late, and the clock (nanoseconds). Reason: a failing
    server gets fewer requests, by its send probability; the few that it soon gets again show whether it has
    recovered.
    """

    def __init__(self, entry: api.Server, weighted: bool) -> None:
        self.entry, self.attempts_in_flight = entry, 0
        self.weight = entry.weight if weighted else 1.0
        self.hash_seed = int.from_bytes(blake2b(entry.id.encode(), digest_size=8).digest(), "big")
        self.is_unreachable = False
        self.consecutive_unanswered = self.last_outcome_at = 0
        self.latency = LatencyEstimate()
        self._probability, self._recovers_from, self._recovery_time = 1.0, 0, LATE_RECOVERY_NS
        self._connect_rejections, self._next_connect_at = 0, 0
        self.unanswered_at = -TIMEOUT_HOLD_NS
        """When its last attempt ended without an answer, however short its timeout; an answer resets it."""

    def send_probability(self, now: int) -> float:
        """Return the probability with which a request is sent here; it recovers linearly with time.

        Time counts from the last outcome, as the clock's zero is arbitrary.
        """
        if self._probability >= 1.0:
            return 1.0
        return min(1.0, self._probability + max(now - self._recovers_from, 0) / self._recovery_time)

    @property
    def is_healthy(self) -> bool:
        """Whether no failure is on record: full send probability, and no rejected connection."""
        return self._probability >= 1.0 and not self._connect_rejections

    def is_avoided(self, now: int) -> bool:
        """Whether it is unreachable, or its send probability is at its minimum."""
        probability = self.send_probability(now)
        return (self.is_unreachable and probability < 1.0) or probability <= MIN_PROBABILITY

    def may_connect(self, now: int) -> bool:
        """Whether the backoff after a rejected connection is over."""
        return now >= self._next_connect_at

    def record_connect_rejection(self, now: int, rng: random.Random) -> None:
        """Back off exponentially from a server that accepts no more connections.

        Jitter keeps the routers of a fleet from reconnecting at the same time.
        """
        self._next_connect_at = now + int(
            rng.uniform(0.5, 1.0) * (CONNECT_BACKOFF_NS << self._connect_rejections)
        )
        self._connect_rejections = min(self._connect_rejections + 1, MAX_CONNECT_DOUBLINGS)

    def record_outcome(self, outcome: Outcome, late: bool, now: int) -> None:
        """Update the health by an attempt's outcome; `late`: after the latency target.

        A loss is a timeout or a reset. The first row that matches applies:

        | outcome | send probability | full again after |
        | --- | --- | --- |
        | connect failed; reset, if the second loss in a row | UNREACHABLE_PROBABILITY, unreachable | 60 s |
        | timeout, if late or the second loss in a row | MIN_PROBABILITY, held for 4 s | 8 s |
        | answer or miss, late | times LATE_DECREASE | 2 s |
        | any other that is late, overloaded, or the second loss in a row | times LATE_DECREASE | 8 s |
        | answer or miss in time | plus SUCCESS_INCREASE; reachable | as before |
        | any other: error in time, first loss that is not late | unchanged | as before |

        A late answer does not make a server reachable again; only an answer in time does.
        """
        probability, hold = self.send_probability(now), 0
        answered = outcome in (Outcome.OK, Outcome.MISS)
        lost = outcome in (Outcome.TIMEOUT, Outcome.RESET)
        self.last_outcome_at = now
        self.consecutive_unanswered = self.consecutive_unanswered + 1 if lost else 0
        repeated = self.consecutive_unanswered > 1
        if outcome is Outcome.CONNECT_FAILED or (outcome is Outcome.RESET and repeated):
            probability, self.is_unreachable = UNREACHABLE_PROBABILITY, True
            self._recovery_time = UNREACHABLE_RECOVERY_NS
        elif late or outcome is Outcome.OVERLOADED or repeated:
            timed_out = outcome is Outcome.TIMEOUT
            probability = MIN_PROBABILITY if timed_out else max(probability * LATE_DECREASE, MIN_PROBABILITY)
            self._recovery_time = LATE_RECOVERY_NS if answered else OVERLOAD_RECOVERY_NS
            hold = TIMEOUT_HOLD_NS if timed_out else 0
        elif answered:
            probability, self.is_unreachable = min(1.0, probability + SUCCESS_INCREASE), False
            self._connect_rejections = self._next_connect_at = 0
        self._probability, self._recovers_from = probability, now + hold

    def export_state(self) -> api.ServerHealth:
        """Return the health on record, for another router."""
        return api.ServerHealth(
            self.entry.id,
            self.entry.started,
            self.last_outcome_at,
            1.0,
            self._probability,
            self._recovers_from,
            self._recovery_time,
            self.is_unreachable,
            self.consecutive_unanswered,
            self._connect_rejections,
            self._next_connect_at,
            self.latency.mean,
            self.latency.deviation,
            self.latency.sample_weight,
        )

    def import_state(self, imported: api.ServerHealth) -> None:
        """Replace the record by another router's newer one; latencies are multiplied by its weight."""
        # After a restart the server's queue and cache are empty, and its earlier faults no longer count.
        if imported.started != self.entry.started or imported.last_outcome_at <= self.last_outcome_at:
            return
        self.last_outcome_at, self.is_unreachable = imported.last_outcome_at, imported.unreachable
        self.consecutive_unanswered = imported.consecutive_unanswered
        self._probability, self._recovers_from = imported.send_probability, imported.recovers_from
        self._recovery_time = imported.recovery_time
        self._connect_rejections, self._next_connect_at = (
            imported.connect_rejections,
            imported.next_connect_at,
        )
        self.latency.mean = imported.mean_latency * imported.weight
        self.latency.deviation = imported.latency_deviation * imported.weight
        self.latency.sample_weight = imported.sample_weight * imported.weight


def is_connection_failure(event: api.AttemptEnded, late: bool) -> bool:
    """Whether an outcome concerns its connection alone, and not the server.

    This holds for a connection that failed to open, however long that took, and for a broken one if it was
    not late.
    """
    return event.connection_failed and (event.outcome is Outcome.CONNECT_FAILED or not late)
