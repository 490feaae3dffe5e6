"""The fetch queue and single flight, without a router."""

from __future__ import annotations

import random

import pytest

from pebblepass.decisions.fetch_queue import QUEUED_PER_FETCH, FetchQueue
from pebblepass.decisions.interface import RequestClass, Tenant
from pebblepass.decisions.requests import Request
from pebblepass.decisions.single_flight import SingleFlight
from pebblepass.decisions.suppressor import Suppressor
from tests.decisions.builders import MS, S

READ = RequestClass("read", latency_target=300 * MS, deadline=S)


def read(name: str, key: str | None, is_write: bool = False) -> Request:
    return Request(name, key, S, is_write, READ, Suppressor(Tenant("a", 1.0), 1, random.Random(1)))


def test_flight_has_one_leader_and_returns_waiters_oldest_first() -> None:
    flights = SingleFlight()
    leader, waiters = read("r0", "k"), [read(f"r{number}", "k") for number in (1, 2, 3)]
    assert not flights.join(leader)
    flights.lead(leader, "k")
    assert [flights.join(waiter) for waiter in waiters] == [True] * 3
    assert flights.waiter_count(leader) == 3
    assert list(flights.end(leader)) == waiters
    assert (len(flights), leader.leads_flight) == (0, False)
    assert not flights.join(waiters[0])


def test_writes_and_reads_of_no_or_another_key_join_no_flight() -> None:
    flights = SingleFlight()
    flights.lead(read("r0", "k"), "k")
    assert not flights.join(read("w", "k", is_write=True))
    assert not flights.join(read("none", None))
    assert not flights.join(read("other", "l"))


def test_leading_a_flight_again_keeps_its_waiters() -> None:
    flights = SingleFlight()
    leader, waiter = read("r0", "k"), read("r1", "k")
    flights.lead(leader, "k")
    flights.join(waiter)
    flights.lead(leader, "k")
    assert list(flights.waiters(leader)) == [waiter]


def test_queue_orders_by_waiters_and_then_by_age() -> None:
    flights = SingleFlight()
    queue = FetchQueue(flights)
    queued = [read(name, name) for name in ("a", "b", "c", "d")]
    for request in queued:
        flights.lead(request, request.id)
        queue.add(request)
    for key in ("b", "c"):
        flights.join(read(f"waits for {key}", key))
    assert queue.with_most_waiters() is queued[1]
    assert queue.with_fewest_waiters() is queued[0]
    queue.remove(queued[1])
    assert queue.with_most_waiters() is queued[2]
    assert queue.request_ids() == ["a", "c", "d"]
    assert [request.in_origin_queue for request in queued] == [True, False, True, True]


@pytest.mark.parametrize("window", [1.0, 2.5])
def test_queue_capacity_follows_the_window(window: float) -> None:
    queue = FetchQueue(SingleFlight())
    while not queue.is_full(window):
        queue.add(read(f"r{len(queue)}", None))
    assert window * QUEUED_PER_FETCH <= len(queue) < window * QUEUED_PER_FETCH + 1
    assert not queue.is_full(float("inf"))
