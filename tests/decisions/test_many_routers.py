"""Many independent routers on one virtual clock: the sum of what they send."""

from __future__ import annotations

from random import Random

import pytest
from msgspec.structs import replace

from pebblepass.decisions import (
    Action,
    Event,
    ListKind,
    Outcome,
    Router,
    Send,
    Server,
    ServersChanged,
    ServerState,
    SetTimer,
    Tenant,
    TimerFired,
)
from tests.decisions.builders import (
    MS,
    ORIGIN,
    S,
    Timeline,
    fleet,
    only_send,
    request,
    result_of,
    settings,
    started,
)

LATENCY_TARGET = 300 * MS


class OneStore:
    """Routers whose servers hold nothing, and one store that serves its fetches one after another."""

    def __init__(self, routers: int, a_second: int, work: int) -> None:
        """`a_second`: reads over all routers, each of another key; `work`: ns of the store for one."""
        config = settings(routers=routers, tenants=(Tenant("a", 1.0, float(a_second)),))
        self.routers = [started(config, fleet(20), seed=seed) for seed in range(routers)]
        self.interval, self.work = S // a_second, work
        self.free_at = 0
        self.due = Timeline[tuple[Router, Event]]()
        self.attempts: dict[str, int] = {}
        self.fetched: list[tuple[int, int, int]] = []
        """Which router, when it sent the fetch, how long it took."""

    def play(self, span: int) -> None:
        """Play so many ns."""
        rng = Random(5)
        for i, now in enumerate(range(0, span, self.interval)):
            self._until(now)
            router = rng.choice(self.routers)
            self._carry_out(router, router.handle(request(f"r{i}", now, key=f"k{i}"), now), now)
        self._until(span)

    def _until(self, now: int) -> None:
        for then, (router, event) in self.due.until(now):
            self._carry_out(router, router.handle(event, then), then)

    def _carry_out(self, router: Router, actions: list[Action], now: int) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self._later(now + action.delay, router, TimerFired(action.token))
            elif isinstance(action, Send):
                self._serve(router, action, now)

    def _serve(self, router: Router, send: Send, now: int) -> None:
        attempt = self.attempts[send.request] = self.attempts.get(send.request, -1) + 1
        if send.server != ORIGIN.id:
            self._later(now + 5 * MS, router, result_of(send, Outcome.MISS, attempt, latency=5 * MS))
            return
        self.free_at = max(self.free_at, now) + self.work  # also for what nobody waits for any longer
        took = self.free_at - now
        self.fetched.append((self.routers.index(router), now, took))
        limit = min(send.timeout or S, S)
        outcome = Outcome.OK if took <= limit else Outcome.TIMEOUT
        self._later(
            now + min(took, limit), router, result_of(send, outcome, attempt, latency=min(took, limit))
        )

    def _later(self, when: int, router: Router, event: Event) -> None:
        self.due.add(when, (router, event))


@pytest.mark.parametrize(("routers", "a_second"), [(4, 120), (40, 1200)])
def test_new_routers_at_one_origin_adapt_in_time_and_none_is_starved(routers: int, a_second: int) -> None:
    """Reads come at four times what the store can do; all copies are gone."""
    site = OneStore(routers, a_second, work=S * 4 // a_second)
    site.play(20 * S)
    for begins, in_time in ((0, 0.3), (5, 0.9), (10, 0.9)):
        started_fetches = [f for f in site.fetched if begins * S <= f[1] < (begins + 5) * S]
        assert sum(took <= LATENCY_TARGET for _, _, took in started_fetches) / len(started_fetches) >= in_time
        # Neither more than the store can do, nor much less: by forty floors or forty starts.
        assert 0.9 <= len(started_fetches) / 5 / (a_second / 4) <= 1.1
    assert {router for router, when, _ in site.fetched if when >= 10 * S} == set(range(routers))


@pytest.mark.parametrize("routers", [4, 40])
def test_a_zone_that_returns_cold_gets_its_fraction_from_all_routers_together(routers: int) -> None:
    cold_share, cold_time, back = 0.32, 9 * S, 100 * S
    zones = [Server(f"10.0.0.{i}:80", kind="std", zone="abc"[i % 3]) for i in range(24)]
    config = settings(routers=routers, cold_capacity=cold_share, warm_up_time=cold_time)
    lost = tuple(replace(server, state=ServerState.REMOVED) for server in zones if server.zone == "a")
    cold = tuple(replace(server, started=back) for server in zones if server.zone == "a")
    group = [started(config, tuple(zones), seed=seed) for seed in range(routers)]
    for router in group:
        router.handle(ServersChanged(ListKind.DELTA, lost), back - 10 * S)
        router.handle(ServersChanged(ListKind.DELTA, cold), back + S)
    a_second, capacity = 1200, 1200 / len(zones)  # what a warm server has to do
    sent: dict[str, list[int]] = {server.id: [] for server in zones}
    for i in range(a_second * 10):
        now, router = back + S + i * S // a_second, group[i % routers]
        send = only_send(router.handle(request(f"r{i}", now, key=f"k{i}"), now))
        sent[send.server].append(now)
        router.handle(result_of(send, Outcome.OK), now)
    for server in cold:
        for begins in range(back + S, back + 9 * S, S):
            received = sum(begins <= when < begins + 2 * S for when in sent[server.id])
            can = cold_share + (1 - cold_share) * (begins - back) / cold_time
            assert received <= 2 * can * capacity * 2  # half of the multiple of four that fells it
        assert len(sent[server.id]) > capacity  # and it is not left out
