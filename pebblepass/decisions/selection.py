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
MIN_ANSWER_PROBABILITY = 0.5  # within the time left: below it no attempt is made


class ServerSelection:
    """The ready cache servers for a read in order of preference, and whether each may get it.

    Inputs: the slot's ranking and popularity, each server's health, load and warm-up, and the time left.
    Reason: a key belongs on one server, so that it is cached once; a hot slot belongs on several, and a
    server that has just started must not get a full load.
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
        """Draw whether a server gets the request, by its send probability.

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

        Such a request is rejected: it would cost the server as much as any, and the client time for a retry.
        A few are sent all the same, to detect that caches are fast again where all deadlines are short.
        """
        left = request.deadline - self._context.now
        if left >= request.request_class.latency_target or request.attempts or request.is_write:
            return False
        unlikely = node.unanswered_at > self._context.now - TIMEOUT_HOLD_NS
        unlikely = unlikely or self._health.history.answer_probability(left) < MIN_ANSWER_PROBABILITY
        return unlikely and self._rng.random() >= MIN_PROBABILITY

    def _skips_cold(self, node: Node) -> bool:
        """Whether to skip a cold server: its slot may be hot, and too few requests were seen to know that.

        All routers place a slot on the same server, and those that have just started know no hot slots.
        Beyond its normal load a cold server has room for `overload_multiple` - 1 times that. With the
        probability used here all such routers together send it 1/e of that room for one slot, however many
        they are.
        """
        warm_up = self._caches.warm_up_fraction(node, self._context.now)
        servers = len(self._caches.nodes)
        if warm_up >= 1.0:
            return False
        seen = self.slot_popularity.total * (self._overload_multiple - 1) * warm_up
        return seen < servers and self._rng.random() * servers >= seen

    def _expected_wait(self, node: Node) -> float:
        """Estimate the time in nanoseconds of one more request there, with jitter.

        Latency stands for the server's speed and other routers' load; this router's attempts show neither.
        """
        weight = node.weight * self._caches.warm_up_fraction(node, self._context.now)
        expected = node.latency.expected(self._health.latency.mean)
        return (node.attempts_in_flight + 1) * expected / weight * self._rng.uniform(1 - OWNER_JITTER, 1.0)
