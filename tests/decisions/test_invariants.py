"""Invariants of the decisions over random sequences of events."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from hypothesis import given, strategies
from hypothesis import settings as profile

from pebblepass.decisions import (
    Action,
    AttemptEnded,
    ClientDisconnected,
    DedupScope,
    Effect,
    Event,
    Fail,
    ListKind,
    Outcome,
    Reject,
    RequestArrived,
    Router,
    Send,
    Server,
    ServersChanged,
    ServerState,
    SetTimer,
    Settings,
    TimerFired,
)
from tests.decisions.builders import MS, ORIGIN, S, settings

CLASSES = {cls.name: cls for cls in settings().classes}
FAILURES = [outcome for outcome in Outcome if outcome not in (Outcome.OK, Outcome.CANCELLED)]


@dataclass
class ObservedRequest:
    """A request as observed from outside the router."""

    event: RequestArrived
    sends: list[tuple[int, str]] = field(default_factory=list)
    in_flight: bool = False
    may_have_run: list[tuple[int, str]] = field(default_factory=list)
    closed_at: int | None = None


class Environment:
    """Simulates clients, caches, an origin and discovery, and checks every action against the invariants."""

    def __init__(self, config: Settings, seed: int) -> None:
        self.config, self.rng = config, random.Random(seed)
        self.router = Router(config, seed)
        self.events: list[tuple[int, int, Event]] = []
        self.event_count = 0
        self.requests_by_id: dict[str, ObservedRequest] = {}
        self.servers = {f"s{i}": Server(f"s{i}", zone=f"z{i % 2}", cell=i % 3) for i in range(5)}
        if config.origin_kind is not None:
            self.servers[ORIGIN.id] = ORIGIN
        self.actions: list[Action] = []

    def schedule(self, at: int, event: Event) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (at, self.event_count, event))

    def run(self, requests: int) -> None:
        self.schedule(0, ServersChanged(ListKind.CACHED, tuple(self.servers.values())))
        for i in range(requests):
            at = self.rng.randrange(3 * S)
            cls = self.rng.choice(list(CLASSES))
            arrived = RequestArrived(
                request=f"r{i}",
                request_class=cls,
                deadline=at + self.rng.randrange(-10, 900) * MS,
                tenant=self.rng.choice(["a", "b", None]),
                key=self.rng.choice(["k1", "k2", "k3", None]),
                write=cls != "read",
            )
            self.schedule(at, arrived)
            if self.rng.random() < 0.1:
                self.schedule(at + self.rng.randrange(300) * MS, ClientDisconnected(f"r{i}"))
        for _ in range(6):
            self.schedule(self.rng.randrange(3 * S), ServersChanged(ListKind.DELTA, ()))
        while self.events:
            now, _, event = heapq.heappop(self.events)
            self.process(event, now)
        unanswered = [name for name, observed in self.requests_by_id.items() if observed.closed_at is None]
        assert not unanswered
        assert not self.router.open_requests.by_id
        assert not self.router.flights

    def process(self, event: Event, now: int) -> None:
        if isinstance(event, RequestArrived):
            self.requests_by_id[event.request] = ObservedRequest(event)
        elif isinstance(event, ClientDisconnected):
            observed = self.requests_by_id[event.request]
            observed.closed_at = now if observed.closed_at is None else observed.closed_at
        elif isinstance(event, AttemptEnded):
            observed = self.requests_by_id[event.request]
            observed.in_flight = False
            if event.outcome is Outcome.OK and observed.closed_at is None:
                observed.closed_at = now
            event = AttemptEnded(
                event.request,
                event.attempt,
                event.server,
                event.outcome,
                observed.closed_at is not None,
                event.latency,
            )
            if not event.outcome.never_ran:
                observed.may_have_run.append(observed.sends[event.attempt])
        elif isinstance(event, ServersChanged) and event.kind is ListKind.DELTA:
            server_id = self.rng.choice(list(self.servers))
            old_entry = self.servers[server_id]
            state = self.rng.choice(list(ServerState))
            self.servers[server_id] = Server(
                server_id, old_entry.kind, state, 1.0, now, old_entry.zone, old_entry.cell
            )
            event = ServersChanged(ListKind.DELTA, (self.servers[server_id],))
        for action in self.router.handle(event, now):
            self.actions.append(action)
            self.check(action, now)

    def check(self, action: Action, now: int) -> None:
        if isinstance(action, SetTimer):
            self.schedule(now + max(action.delay, 0) + 1, TimerFired(action.token))
        elif isinstance(action, Reject | Fail):
            observed = self.requests_by_id[action.request]
            assert observed.closed_at is None, "a second final answer"
            assert (
                now <= max(observed.event.deadline, observed.sends[0][0] if observed.sends else now) + 20 * MS
            )
            observed.closed_at = now
            cls = CLASSES[observed.event.request_class]
            if isinstance(action, Reject) and observed.may_have_run and cls.effect is not Effect.IDEMPOTENT:
                assert cls.effect is Effect.IDEMPOTENCY_KEY
                assert cls.dedup_scope is DedupScope.ALL
        elif isinstance(action, Send):
            self.check_send(action, now)

    def check_send(self, action: Send, now: int) -> None:
        observed = self.requests_by_id[action.request]
        cls = CLASSES[observed.event.request_class]
        assert observed.closed_at is None, "an attempt after the final answer"
        assert not observed.in_flight, "two attempts at once"
        assert len(observed.sends) < self.config.max_attempts
        assert self.servers[action.server].state is ServerState.READY, (
            "an attempt at a server that is not ready"
        )
        if observed.may_have_run and cls.effect is not Effect.IDEMPOTENT:
            first_at, first_server = observed.may_have_run[0]
            assert cls.effect is Effect.IDEMPOTENCY_KEY
            assert now - first_at < cls.dedup_window
            if cls.dedup_scope is DedupScope.ZONE:
                assert self.servers[first_server].zone == self.servers[action.server].zone
        observed.in_flight = True
        attempt = len(observed.sends)
        observed.sends.append((now, action.server))
        time_left = observed.event.deadline - now
        attempt_time = min(action.timeout or time_left, time_left)
        latency = int(self.rng.expovariate(1.0) * 150) * MS
        outcome = Outcome.OK if self.rng.random() < 0.5 else self.rng.choice(FAILURES)
        if latency >= attempt_time:
            latency, outcome = max(attempt_time, 0), Outcome.TIMEOUT
        result = AttemptEnded(action.request, attempt, action.server, outcome, False, latency)
        self.schedule(now + latency, result)


@given(
    seed=strategies.integers(0, 2**32),
    aside=strategies.booleans(),
    attempts=strategies.integers(1, 5),
    tenants=strategies.booleans(),
)
@profile(derandomize=True, max_examples=60, deadline=None)
def test_invariants_hold_and_equal_events_give_equal_actions(
    seed: int, aside: bool, attempts: int, tenants: bool
) -> None:
    config = settings(
        origin_kind="origin" if aside else None,
        max_attempts=attempts,
        tenants=settings().tenants if tenants else (),
        cold_capacity=0.2,
        warm_up_time=S,
    )
    first, second = Environment(config, seed), Environment(config, seed)
    first.run(60)
    second.run(60)
    assert first.actions == second.actions
    assert any(isinstance(action, Send) for action in first.actions)


@given(seed=strategies.integers(0, 2**32), share=strategies.floats(0.1, 0.5))
@profile(derandomize=True, max_examples=20, deadline=None)
def test_cold_server_gets_its_fraction_of_attempts_and_retries(seed: int, share: float) -> None:
    config = settings(cold_capacity=share, warm_up_time=10 * S, max_attempts=2)
    cold = Server("cold", started=S)
    warm = tuple(Server(f"s{i}") for i in range(9))
    router = Router(config, seed)
    router.handle(ServersChanged(ListKind.CACHED, (*warm, cold, ORIGIN)), S)
    sent = 0
    for i in range(1000):
        event = RequestArrived(f"r{i}", "read", 9 * S, key=f"k{seed}.{i}")
        for action in router.handle(event, S):
            assert isinstance(action, Send)
            sent += action.server == "cold"
            if i % 2:  # every second request fails there and goes to the next server of the ranking
                failed = AttemptEnded(f"r{i}", 0, action.server, Outcome.ERROR, False, MS)
                retried = [a.server for a in router.handle(failed, S) if isinstance(a, Send)]
                sent += retried.count("cold")
    assert sent < 1500 * share / 9 * 1.6 + 10  # its warm-up fraction of all attempts, with a margin
