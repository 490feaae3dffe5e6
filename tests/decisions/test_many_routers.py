"""The total load of many independent routers on one virtual clock."""

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


class SlowOrigin:
    """Routers with empty caches, and one origin that serves fetches one after another."""

    def __init__(self, routers: int, reads_per_s: int, service_time: int) -> None:
        """`reads_per_s`: over all routers, each of a new key; `service_time`: of the origin, nanoseconds."""
        config = settings(routers=routers, tenants=(Tenant("a", 1.0, float(reads_per_s)),))
        self.routers = [started(config, fleet(20), seed=seed) for seed in range(routers)]
        self.interval, self.service_time = S // reads_per_s, service_time
        self.idle_at = 0
        self.timeline = Timeline[tuple[Router, Event]]()
        self.attempts: dict[str, int] = {}
        self.fetched: list[tuple[int, int, int]] = []
        """The router's number, the time of the fetch, and its duration."""

    def run(self, duration: int) -> None:
        """Run for `duration` nanoseconds."""
        rng = Random(5)
        for i, now in enumerate(range(0, duration, self.interval)):
            self._run_until(now)
            router = rng.choice(self.routers)
            self._carry_out(router, router.handle(request(f"r{i}", now, key=f"k{i}"), now), now)
        self._run_until(duration)

    def _run_until(self, now: int) -> None:
        for due_at, (router, event) in self.timeline.pop_until(now):
            self._carry_out(router, router.handle(event, due_at), due_at)

    def _carry_out(self, router: Router, actions: list[Action], now: int) -> None:
        for action in actions:
            if isinstance(action, SetTimer):
                self._schedule(now + action.delay, router, TimerFired(action.token))
            elif isinstance(action, Send):
                self._serve(router, action, now)

    def _serve(self, router: Router, send: Send, now: int) -> None:
        attempt = self.attempts[send.request] = self.attempts.get(send.request, -1) + 1
        if send.server != ORIGIN.id:
            self._schedule(now + 5 * MS, router, result_of(send, Outcome.MISS, attempt, latency=5 * MS))
            return
        self.idle_at = max(self.idle_at, now) + self.service_time  # also for fetches that have timed out
        latency = self.idle_at - now
        self.fetched.append((self.routers.index(router), now, latency))
        limit = min(send.timeout or S, S)
        outcome = Outcome.OK if latency <= limit else Outcome.TIMEOUT
        self._schedule(
            now + min(latency, limit), router, result_of(send, outcome, attempt, latency=min(latency, limit))
        )

    def _schedule(self, when: int, router: Router, event: Event) -> None:
        self.timeline.add(when, (router, event))


@pytest.mark.parametrize(("routers", "reads_per_s"), [(4, 120), (40, 1200)])
def test_new_routers_adapt_to_the_origin_and_none_starves(routers: int, reads_per_s: int) -> None:
    """The rate of reads is four times the origin's capacity, and the caches are empty."""
    slow_origin = SlowOrigin(routers, reads_per_s, service_time=S * 4 // reads_per_s)
    slow_origin.run(20 * S)
    for start, min_in_time in ((0, 0.3), (5, 0.9), (10, 0.9)):
        fetches = [f for f in slow_origin.fetched if start * S <= f[1] < (start + 5) * S]
        assert sum(latency <= LATENCY_TARGET for _, _, latency in fetches) / len(fetches) >= min_in_time
        # Close to the origin's capacity, despite the minimum and the unlimited start of each of 40 routers.
        assert 0.9 <= len(fetches) / 5 / (reads_per_s / 4) <= 1.1
    assert {router for router, when, _ in slow_origin.fetched if when >= 10 * S} == set(range(routers))


@pytest.mark.parametrize("routers", [4, 40])
def test_restarted_zone_gets_its_warm_up_fraction_from_all_routers(routers: int) -> None:
    cold_share, cold_time, restarted_at = 0.32, 9 * S, 100 * S
    servers = [Server(f"10.0.0.{i}:80", kind="std", zone="abc"[i % 3]) for i in range(24)]
    config = settings(routers=routers, cold_capacity=cold_share, warm_up_time=cold_time)
    removed = tuple(replace(server, state=ServerState.REMOVED) for server in servers if server.zone == "a")
    restarted = tuple(replace(server, started=restarted_at) for server in servers if server.zone == "a")
    all_routers = [started(config, tuple(servers), seed=seed) for seed in range(routers)]
    for router in all_routers:
        router.handle(ServersChanged(ListKind.DELTA, removed), restarted_at - 10 * S)
        router.handle(ServersChanged(ListKind.DELTA, restarted), restarted_at + S)
    reads_per_s, capacity = 1200, 1200 / len(servers)  # the load of a warm server
    sent: dict[str, list[int]] = {server.id: [] for server in servers}
    for i in range(reads_per_s * 10):
        now, router = restarted_at + S + i * S // reads_per_s, all_routers[i % routers]
        send = only_send(router.handle(request(f"r{i}", now, key=f"k{i}"), now))
        sent[send.server].append(now)
        router.handle(result_of(send, Outcome.OK), now)
    for server in restarted:
        for start in range(restarted_at + S, restarted_at + 9 * S, S):
            received = sum(start <= when < start + 2 * S for when in sent[server.id])
            capacity_fraction = cold_share + (1 - cold_share) * (start - restarted_at) / cold_time
            assert received <= 2 * capacity_fraction * capacity * 2  # half of the overload multiple, 4
        assert len(sent[server.id]) > capacity  # and it is used
