"""Subscription to the server list, with backoff after failures."""

from __future__ import annotations

import random

from pebblepass.decisions import interface as api
from pebblepass.decisions.context import EventContext
from pebblepass.decisions.interface import NS_PER_S, ListKind

SUBSCRIBE_TIMER = "subscribe"  # token of the timer
# Bounds of the pause before a subscription: at the start, and after one, two and more consecutive failures.
# Two pauses and a failing call between them (2.5 s) fit into the 6 s after which discovery counts as overdue.
SUBSCRIBE_BACKOFF_NS = tuple(
    (shortest * NS_PER_S // 20, longest * NS_PER_S // 20)
    for shortest, longest in ((5, 20), (3, 12), (12, 38), (26, 38))
)


class Subscription:
    """Subscribes at the start and after every failure, with jitter and backoff.

    Inputs: the kind of each list received, and `subscribe_within` (nanoseconds). Reason: the jitter keeps the
    routers of a fleet from subscribing at the same time.
    """

    def __init__(self, settings: api.Settings, context: EventContext, rng: random.Random) -> None:
        self._must_subscribe, self._subscribe_within = settings.must_subscribe, settings.subscribe_within
        self._context, self._rng = context, rng
        self._timer_set, self._failures = False, 0

    def list_received(self, kind: ListKind) -> None:
        """Set a timer to subscribe after a cached list or a failure; any other list resets the backoff."""
        if not self._must_subscribe:
            return
        if kind not in (ListKind.CACHED, ListKind.FAILED):
            self._failures = 0
        elif not self._timer_set:
            self._timer_set = True
            self._failures += kind is ListKind.FAILED
            shortest, longest = SUBSCRIBE_BACKOFF_NS[min(self._failures, len(SUBSCRIBE_BACKOFF_NS) - 1)]
            longest = min(self._subscribe_within // 2, longest)
            delay = self._rng.randint(min(shortest, longest), longest)
            self._context.actions.append(api.SetTimer(delay, SUBSCRIBE_TIMER))

    def timer_fired(self) -> None:
        """Subscribe now that the timer has fired."""
        self._timer_set = False
        self._context.actions.append(api.Subscribe())
