"""Continuous replacement of servers, also during requests: no state of removed servers is left."""

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

SERVERS, REQUESTS_PER_S = 30, 60
ANSWER_GRACE = 500 * MS


class Churn:
    """One router with servers that are replaced under new ids, and with new keys, clients and tenants."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        config = settings(cold_capacity=0.3, warm_up_time=9 * S)
        self.listed = [Server(f"server-{i}", kind="std") for i in range(SERVERS)]
        self.removed_at: dict[str, int] = {}
        """Clock time at which the router was notified, by server."""
        self.router: Router = started(config, tuple(self.listed), seed=seed)
        self.timeline = Timeline[Event]()
        self.server_count = SERVERS
        self.open: dict[str, int] = {}
        self.answered = 0

    def run(self, start_s: int, seconds: int, replacements_per_s: float) -> None:
        """Run for `seconds`; `replacements_per_s`: servers replaced a second."""
        interval, replaced_count = S // REQUESTS_PER_S, 0
        for i in range(seconds * REQUESTS_PER_S):
            now = start_s * S + i * interval
            self._run_until(now)
            while replaced_count < replacements_per_s * i / REQUESTS_PER_S:
                replaced_count += 1
                self._replace(now)
            name = f"r{now}"
            self.open[name] = now + S
            key = f"k{self.rng.randrange(40)}" if i % 2 else f"once{now}"
            self._handle(request(name, now, key=key, tenant=f"t{now}" if i % 5 == 0 else "a"), now)
            if i % 17 == 0 and name in self.open:
                del self.open[name]
                self._handle(ClientDisconnected(name), now)
        self._run_until((start_s + seconds) * S)

    def _replace(self, now: int) -> None:
        old = self.listed.pop(self.rng.randrange(SERVERS))
        new = Server(f"server-{self.server_count}", kind="std", started=now + self.rng.choice((-S, 3 * S)))
        self.server_count += 1
        self.listed.append(new)
        self.removed_at[old.id] = now
        self._handle(ServersChanged(ListKind.DELTA, (replace(old, state=ServerState.REMOVED), new)), now)

    def _run_until(self, now: int) -> None:
        for due_at, event in self.timeline.pop_until(now):
            self._handle(event, due_at)

    def _handle(self, event: Event, now: int) -> None:
        if isinstance(event, AttemptEnded):
            if event.outcome is Outcome.OK and event.request in self.open:  # the final answer to the client
                del self.open[event.request]
                self.answered += 1
            event = replace(event, answered=event.request not in self.open)
        actions = self.router.handle(event, now)
        for final in finals(actions):
            assert now <= self.open.pop(final.request) + ANSWER_GRACE
            self.answered += 1
        for action in actions:
            self._carry_out(action, now)

    def _carry_out(self, action: Action, now: int) -> None:
        if isinstance(action, SetTimer):
            self.timeline.add(now + action.delay, TimerFired(action.token))
        elif isinstance(action, Send):
            assert now <= self.removed_at.get(action.server, now)  # nothing for a removed server
            assert action.request in self.open  # nothing after the final answer
            self._attempt(action, now)

    def _attempt(self, send: Send, now: int) -> None:
        outcome, latency = Outcome.OK, self.rng.randrange(20, 80) * MS
        if send.server != ORIGIN.id:
            draw = self.rng.random()
            outcome = Outcome.MISS if draw < 0.4 else Outcome.RESET if draw < 0.43 else Outcome.OK
        self.timeline.add(now + latency, result_of(send, outcome, latency=latency))


def test_churn_leaves_no_state_of_removed_servers() -> None:
    churn = Churn(3)
    churn.run(10, 20, 2)
    before = len(pickle.dumps(churn.router))
    churn.run(30, 60, 2)
    churn._run_until(200 * S)
    assert churn.open == {}
    assert churn.answered > 4000
    pickled = pickle.dumps(churn.router)
    assert len(pickled) < before * 1.1
    names = {word.decode() for word in re.findall(rb"server-\d+|once\d{9,}|r\d{9,}", pickled)}
    assert names == {server.id for server in churn.listed}


@pytest.mark.parametrize("seed", range(6))
def test_requests_end_once_while_most_servers_are_replaced(seed: int) -> None:
    """Some new servers' start times lie in the future of this router's clock."""
    churn = Churn(seed)
    churn.run(10, 5, 0)
    churn.run(15, 7, SERVERS * 0.6 / 7)
    churn.run(22, 5, 0)
    churn._run_until(100 * S)
    assert len(churn.removed_at) >= SERVERS * 0.6 - 2
    assert churn.open == {}
    assert churn.router.open_requests.by_id == {}
    assert {server.id for server in churn.router.ready_servers()} == {
        server.id for server in churn.listed
    } | {ORIGIN.id}


def test_replaced_servers_get_nothing_while_reads_are_queued() -> None:
    churn = Churn(9)
    churn.router.origin_limits.fetch_window = 1.0  # reads are always queued for the origin
    churn.run(10, 20, 5)
    churn._run_until(100 * S)
    assert churn.open == {}
    assert churn.router.open_requests.by_id == {}
    assert churn.router.fetch_queue.request_ids() == []
    assert len(churn.router.flights) == 0
