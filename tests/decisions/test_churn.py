"""A minute of churn, and servers replaced during requests: no state of removed servers is left."""

from __future__ import annotations

import pickle
import re
from random import Random

import pytest
from msgspec.structs import replace

from pebblepass.decisions import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    Event,
    ListKind,
    Outcome,
    Router,
    Send,
    Server,
    ServersChanged,
    ServerState,
    SetTimer,
    TimerFired,
)
from tests.decisions.builders import MS, ORIGIN, S, Timeline, finals, request, result_of, settings, started

SERVERS, A_SECOND = 30, 60
GRACE = 500 * MS


class Churn:
    """One router; servers come and go under ids that are ever new, and so do keys, clients and tenants."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        config = settings(cold_capacity=0.3, warm_up_time=9 * S)
        self.up = [Server(f"server-{i}", kind="std") for i in range(SERVERS)]
        self.removed_at: dict[str, int] = {}
        """Clock time at which the router was notified, by server."""
        self.router: Router = started(config, tuple(self.up), seed=seed)
        self.due = Timeline[Event]()
        self.server_count = SERVERS
        self.open: dict[str, int] = {}
        self.answered = 0

    def play(self, begins: int, seconds: int, a_second: float) -> None:
        """So many servers are replaced a second."""
        every, replaced = S // A_SECOND, 0
        for i in range(seconds * A_SECOND):
            now = begins * S + i * every
            self._until(now)
            while replaced < a_second * i / A_SECOND:
                replaced += 1
                self._replace(now)
            name = f"r{now}"
            self.open[name] = now + S
            key = f"k{self.rng.randrange(40)}" if i % 2 else f"once{now}"
            self._handle(request(name, now, key=key, tenant=f"t{now}" if i % 5 == 0 else "a"), now)
            if i % 17 == 0 and name in self.open:
                del self.open[name]
                self._handle(ClientDisconnected(name), now)
        self._until((begins + seconds) * S)

    def _replace(self, now: int) -> None:
        old = self.up.pop(self.rng.randrange(SERVERS))
        new = Server(f"server-{self.server_count}", kind="std", started=now + self.rng.choice((-S, 3 * S)))
        self.server_count += 1
        self.up.append(new)
        self.removed_at[old.id] = now
        self._handle(ServersChanged(ListKind.DELTA, (replace(old, state=ServerState.REMOVED), new)), now)

    def _until(self, now: int) -> None:
        for then, event in self.due.until(now):
            self._handle(event, then)

    def _handle(self, event: Event, now: int) -> None:
        if isinstance(event, AttemptEnded):
            if event.outcome is Outcome.OK and event.request in self.open:  # its client's answer
                del self.open[event.request]
                self.answered += 1
            event = replace(event, answered=event.request not in self.open)
        actions = self.router.handle(event, now)
        for final in finals(actions):
            assert now <= self.open.pop(final.request) + GRACE
            self.answered += 1
        for action in actions:
            self._carry_out(action, now)

    def _carry_out(self, action: Action, now: int) -> None:
        if isinstance(action, SetTimer):
            self.due.add(now + action.delay, TimerFired(action.token))
        elif isinstance(action, Send):
            assert now <= self.removed_at.get(action.server, now)  # nothing for a removed server
            assert action.request in self.open  # nothing after the final answer
            self._attempt(action, now)

    def _attempt(self, send: Send, now: int) -> None:
        outcome, took = Outcome.OK, self.rng.randrange(20, 80) * MS
        if send.server != ORIGIN.id:
            roll = self.rng.random()
            outcome = Outcome.MISS if roll < 0.4 else Outcome.RESET if roll < 0.43 else Outcome.OK
        self.due.add(now + took, result_of(send, outcome, latency=took))


def test_a_minute_of_churn_leaves_no_state_of_removed_servers() -> None:
    site = Churn(3)
    site.play(10, 20, 2)
    before = len(pickle.dumps(site.router))
    site.play(30, 60, 2)
    site._until(200 * S)
    assert site.open == {}
    assert site.answered > 4000
    pickled = pickle.dumps(site.router)
    assert len(pickled) < before * 1.1
    names = {word.decode() for word in re.findall(rb"server-\d+|once\d{9,}|r\d{9,}", pickled)}
    assert names == {server.id for server in site.up}


@pytest.mark.parametrize("seed", range(6))
def test_six_in_ten_replaced_within_seven_seconds_and_every_request_ends_once(seed: int) -> None:
    """Some of the newcomers' starts lie ahead of this router's clock."""
    site = Churn(seed)
    site.play(10, 5, 0)
    site.play(15, 7, SERVERS * 0.6 / 7)
    site.play(22, 5, 0)
    site._until(100 * S)
    assert len(site.removed_at) >= SERVERS * 0.6 - 2
    assert site.open == {}
    assert site.router.open_requests.by_id == {}
    assert {server.id for server in site.router.ready_servers()} == {server.id for server in site.up} | {
        ORIGIN.id
    }


def test_a_server_replaced_during_connects_queues_and_fetches_gets_nothing_more() -> None:
    site = Churn(9)
    site.router.origin_limits.fetch_window = 1.0  # reads stand in line for the store all the time
    site.play(10, 20, 5)
    site._until(100 * S)
    assert site.open == {}
    assert site.router.open_requests.by_id == {}
    assert site.router.fetch_queue.request_ids() == []
    assert len(site.router.flights) == 0
