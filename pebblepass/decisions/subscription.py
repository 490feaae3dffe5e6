"""Subscription to the server list, with backoff after failures."""

from __future__ import annotations

import random

from pebblepass.decisions import interface as api
from pebblepass.decisions.context import EventContext
from pebblepass.decisions.interface import NS_PER_S, ListKind

SUBSCRIBE_TIMER = "subscribe"  # token of the timer
# Least and most pause before a subscription: at the start, and after one, two and more consecutive failures.
# Two pauses and a failing call between them (2.5 s) fit into the 6 s after which discovery counts as overdue.
SUBSCRIBE_BACKOFF_NS = tuple(
    (least * NS_PER_S // 20, most * NS_PER_S // 20) for least, most in ((5, 20), (3, 12), (12, 38), (26, 38))
)


class Subscription:
    """Subscribes at the start and after every failure, with jitter and backoff.

    Inputs: the kind of each list received, and `subscribe_within` (nanoseconds). Reason: the jitter keeps the
    routers of a fleet from calling in step.
    """

    def __init__(self, settings: api.Settings, context: EventContext, rng: random.Random) -> None:
        self._required, self._within = settings.must_subscribe, settings.subscribe_within
        self._context, self._rng = context, rng
        self._timer_set, self._failures = False, 0

    def list_received(self, kind: ListKind) -> None:
        """Set a timer to subscribe after a cached list or a failure; any other list ends the backoff."""
        if not self._required:
            return
        if kind not in (ListKind.CACHED, ListKind.FAILED):
            self._failures = 0
        elif not self._timer_set:
            self._timer_set = True
            self._failures += kind is ListKind.FAILED
            least, most = SUBSCRIBE_BACKOFF_NS[min(self._failures, len(SUBSCRIBE_BACKOFF_NS) - 1)]
            most = min(self._within // 2, most)
            delay = self._rng.randint(min(least, most), most)
            self._context.actions.append(api.SetTimer(delay, SUBSCRIBE_TIMER))

    def timer_fired(self) -> None:
        """Subscribe."""
        self._timer_set = False
        self._context.actions.append(api.Subscribe())
