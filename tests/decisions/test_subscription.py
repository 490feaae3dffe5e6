"""The subscription to the server list: its timer and its backoff."""

from __future__ import annotations

import random

import pytest

from pebblepass.decisions import ListKind, SetTimer, Subscribe
from pebblepass.decisions.context import EventContext
from pebblepass.decisions.subscription import SUBSCRIBE_BACKOFF_NS, SUBSCRIBE_TIMER, Subscription
from tests.decisions.builders import MS, S, settings


def subscription(**changes: object) -> tuple[Subscription, EventContext]:
    context = EventContext()
    return Subscription(settings(**{"must_subscribe": True, **changes}), context, random.Random(3)), context


def delay_after(subscriber: Subscription, context: EventContext, kind: ListKind) -> int:
    """Return the delay of the timer that a list sets, and fire that timer."""
    context.actions = []
    subscriber.list_received(kind)
    (timer,) = context.actions
    assert isinstance(timer, SetTimer)
    assert timer.token == SUBSCRIBE_TIMER
    subscriber.timer_fired()
    assert context.actions == [timer, Subscribe()]
    return timer.delay


def test_backoff_grows_with_failures_and_is_reset_by_a_list() -> None:
    subscriber, context = subscription()
    kinds = [ListKind.CACHED, *[ListKind.FAILED] * 4]
    for kind, (shortest, longest) in zip(
        kinds, (*SUBSCRIBE_BACKOFF_NS, SUBSCRIBE_BACKOFF_NS[-1]), strict=True
    ):
        assert shortest <= delay_after(subscriber, context, kind) <= longest
    subscriber.list_received(ListKind.FULL)
    shortest, longest = SUBSCRIBE_BACKOFF_NS[1]
    assert shortest <= delay_after(subscriber, context, ListKind.FAILED) <= longest


def test_one_timer_is_set_at_a_time() -> None:
    subscriber, context = subscription()
    subscriber.list_received(ListKind.CACHED)
    subscriber.list_received(ListKind.FAILED)
    assert len(context.actions) == 1


def test_delay_is_at_most_half_of_the_time_to_subscribe() -> None:
    subscriber, context = subscription(subscribe_within=20 * MS)
    assert all(delay_after(subscriber, context, ListKind.FAILED) <= 10 * MS for _ in range(9))


@pytest.mark.parametrize("kind", list(ListKind))
def test_lists_without_subscription_set_no_timer(kind: ListKind) -> None:
    subscriber, context = subscription(must_subscribe=False, subscribe_within=10 * S)
    subscriber.list_received(kind)
    assert context.actions == []
