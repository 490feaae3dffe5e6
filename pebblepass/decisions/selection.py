"""Selection of the cache server for a read."""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from pebblepass.decisions import interface as api
from pebblepass.decisions.cache_health import CacheHealth
from pebblepass.decisions.context import EventContext
from pebblepass.decisions.health import MIN_PROBABILITY, TIMEOUT_HOLD_NS, Node
from pebblepass.decisions.hot_keys import HOT_LOAD_FRACTION, Popularity
from pebblepass.decisions.requests import Request
from pebblepass.decisions.slot_table import DEPTH, SlotTable

OWNER_JITTER = 0.4  # of the estimated wait at a hot slot's owners, so that routers choose differently
MIN_ANSWER_PROBABILITY = 0.5  # of an answer within the time left; below it, no attempt is made


class ServerSelection:
    """The ready cache servers for a read in order of preference, and whether each may get it.

    Inputs: the slot's ranking and popularity, each server's health, load and warm-up, and the time left.
    Reason: a key should be cached on one server only, a hot slot on several, and a server that has just
    started must not get a full load.
    """

    def __init__(
        self,
        settings: api.Settings,
        caches: SlotTable,
        health: CacheHealth,
        context: EventContext,
        rng: random.Random,
    ) -> None:
        self.slot_popularity = Popularity()
        self._caches, self._health, self._context, self._rng = caches, health, context, rng
        self._overload_multiple = settings.overload_multiple

    def candidates(self, request: Request) -> Sequence[Node]:
        """Return the ready servers for a request's slot, the preferred one first."""
        caches, now = self._caches, self._context.now
        owners = math.ceil(request.popularity * len(caches.nodes) / HOT_LOAD_FRACTION)
        ranking = caches.rank(request.slot, now, max(owners, DEPTH))
        if owners > 1:
            return [*sorted(ranking[:owners], key=self._expected_wait), *ranking[owners:]]
        if now < caches.cold_until and ranking and self._skips_cold(ranking[0]):
            return sorted(ranking, key=lambda node: caches.warm_up_fraction(node, now) < 1.0)
        return ranking

    def may_connect(self, request: Request, node: Node) -> bool:
        """Whether this request may be sent to this server at all."""
        now = self._context.now
        return node not in request.excluded and node.may_connect(now) and request.may_send(node, now)

    def accepts(self, request: Request, node: Node) -> bool:
        """Decide at random, by its send probability, whether a server gets the request.

        Requests of tenants that overuse their weight are shed first.
        """
        probability = node.send_probability(self._context.now)
        if probability >= 1.0:
            return True
        return probability > 0 and self._rng.random() < probability**request.suppressor.overuse

    def accepts_hedge(self, request: Request, node: Node) -> bool:
        """Whether a server is healthy and warm enough for a hedged second attempt."""
        now = self._context.now
        return (
            node.send_probability(now) >= 1.0
            and self._caches.warm_up_fraction(node, now) >= 1.0
            and node.may_connect(now)
            and node is not request.node
            and node not in request.excluded
        )

    def unlikely_in_time(self, request: Request, node: Node) -> bool:
        """Whether a first attempt at this server would probably end after the client's deadline.

        Such a request is rejected: it would cost the server as much as any other, and the client the time for
        a retry. A few are still sent, to detect that caches are fast again when all deadlines are short.
        """
        time_left = request.deadline - self._context.now
        if time_left >= request.request_class.latency_target or request.attempts or request.is_write:
            return False
        is_unlikely = node.unanswered_at > self._context.now - TIMEOUT_HOLD_NS
        is_unlikely = (
            is_unlikely or self._health.history.answer_probability(time_left) < MIN_ANSWER_PROBABILITY
        )
        return is_unlikely and self._rng.random() >= MIN_PROBABILITY

    def _skips_cold(self, node: Node) -> bool:
        """Whether to skip a cold server: its slot may be hot, and too few requests were seen to know that.

        All routers place a slot on the same server, and those that have just started know no hot slots.
        Beyond its normal load a cold server can take `overload_multiple` - 1 times that load. With the
        probability used here, all such routers together send it 1/e of that for one slot, however many they
        are.
        """
        warm_up = self._caches.warm_up_fraction(node, self._context.now)
        servers = len(self._caches.nodes)
        if warm_up >= 1.0:
            return False
        requests_seen = self.slot_popularity.total * (self._overload_multiple - 1) * warm_up
        return requests_seen < servers and self._rng.random() * servers >= requests_seen

    def _expected_wait(self, node: Node) -> float:
        """Estimate the wait of one more request there in nanoseconds, with jitter.

        Latency reflects the server's speed and other routers' load; this router's attempts in flight do not.
        """
        weight = node.weight * self._caches.warm_up_fraction(node, self._context.now)
        expected = node.latency.expected(self._health.latency.mean)
        return (node.attempts_in_flight + 1) * expected / weight * self._rng.uniform(1 - OWNER_JITTER, 1.0)
