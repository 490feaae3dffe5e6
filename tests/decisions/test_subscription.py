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


def delay_after(made: Subscription, context: EventContext, kind: ListKind) -> int:
    """The delay of the timer that a list sets, which fires at once."""
    context.actions = []
    made.list_received(kind)
    (timer,) = context.actions
    assert isinstance(timer, SetTimer)
    assert timer.token == SUBSCRIBE_TIMER
    made.timer_fired()
    assert context.actions == [timer, Subscribe()]
    return timer.delay


def test_the_backoff_grows_with_consecutive_failures_and_starts_anew_after_a_list() -> None:
    made, context = subscription()
    kinds = [ListKind.CACHED, *[ListKind.FAILED] * 4]
    for kind, (least, most) in zip(kinds, (*SUBSCRIBE_BACKOFF_NS, SUBSCRIBE_BACKOFF_NS[-1]), strict=True):
        assert least <= delay_after(made, context, kind) <= most
    made.list_received(ListKind.FULL)
    least, most = SUBSCRIBE_BACKOFF_NS[1]
    assert least <= delay_after(made, context, ListKind.FAILED) <= most


def test_one_timer_is_set_at_a_time() -> None:
    made, context = subscription()
    made.list_received(ListKind.CACHED)
    made.list_received(ListKind.FAILED)
    assert len(context.actions) == 1


def test_the_delay_stays_below_half_of_the_time_to_subscribe() -> None:
    made, context = subscription(subscribe_within=20 * MS)
    assert all(delay_after(made, context, ListKind.FAILED) <= 10 * MS for _ in range(9))


@pytest.mark.parametrize("kind", list(ListKind))
def test_lists_that_are_pushed_set_no_timer(kind: ListKind) -> None:
    made, context = subscription(must_subscribe=False, subscribe_within=10 * S)
    made.list_received(kind)
    assert context.actions == []
