"""The four rules as properties over random sequences of events."""

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
FAILURES = [o for o in Outcome if o not in (Outcome.OK, Outcome.CANCELLED)]


@dataclass
class Open:
    """What the outside world knows of a request."""

    event: RequestArrived
    sends: list[tuple[int, str]] = field(default_factory=list)
    out: bool = False
    may_have_run: list[tuple[int, str]] = field(default_factory=list)
    closed_at: int | None = None


class Environment:
    """Plays clients, caches, an origin and a server list, and checks every action against the rules."""

    def __init__(self, config: Settings, seed: int) -> None:
        self.config, self.rng = config, random.Random(seed)
        self.router = Router(config, seed)
        self.queue: list[tuple[int, int, Event]] = []
        self.order = 0
        self.open: dict[str, Open] = {}
        self.servers = {f"s{i}": Server(f"s{i}", zone=f"z{i % 2}", cell=i % 3) for i in range(5)}
        if config.origin_kind is not None:
            self.servers[ORIGIN.id] = ORIGIN
        self.log: list[Action] = []

    def later(self, at: int, event: Event) -> None:
        self.order += 1
        heapq.heappush(self.queue, (at, self.order, event))

    def run(self, requests: int) -> None:
        self.later(0, ServersChanged(ListKind.CACHED, tuple(self.servers.values())))
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
            self.later(at, arrived)
            if self.rng.random() < 0.1:
                self.later(at + self.rng.randrange(300) * MS, ClientDisconnected(f"r{i}"))
        for _ in range(6):
            self.later(self.rng.randrange(3 * S), ServersChanged(ListKind.DELTA, ()))
        while self.queue:
            now, _, event = heapq.heappop(self.queue)
            self.deliver(event, now)
        unanswered = [name for name, known in self.open.items() if known.closed_at is None]
        assert not unanswered
        assert not self.router.open_requests.by_id
        assert not self.router.flights

    def deliver(self, event: Event, now: int) -> None:
        if isinstance(event, RequestArrived):
            self.open[event.request] = Open(event)
        elif isinstance(event, ClientDisconnected):
            known = self.open[event.request]
            known.closed_at = now if known.closed_at is None else known.closed_at
        elif isinstance(event, AttemptEnded):
            known = self.open[event.request]
            known.out = False
            if event.outcome is Outcome.OK and known.closed_at is None:
                known.closed_at = now
            event = AttemptEnded(
                event.request,
                event.attempt,
                event.server,
                event.outcome,
                known.closed_at is not None,
                event.latency,
            )
            if not event.outcome.never_ran:
                known.may_have_run.append(known.sends[event.attempt])
        elif isinstance(event, ServersChanged) and event.kind is ListKind.DELTA:
            victim = self.rng.choice(list(self.servers))
            old = self.servers[victim]
            state = self.rng.choice(list(ServerState))
            self.servers[victim] = Server(victim, old.kind, state, 1.0, now, old.zone, old.cell)
            event = ServersChanged(ListKind.DELTA, (self.servers[victim],))
        for action in self.router.handle(event, now):
            self.log.append(action)
            self.check(action, now)

    def check(self, action: Action, now: int) -> None:
        if isinstance(action, SetTimer):
            self.later(now + max(action.delay, 0) + 1, TimerFired(action.token))
        elif isinstance(action, Reject | Fail):
            known = self.open[action.request]
            assert known.closed_at is None, "a second final answer"
            assert now <= max(known.event.deadline, known.sends[0][0] if known.sends else now) + 20 * MS
            known.closed_at = now
            cls = CLASSES[known.event.request_class]
            if isinstance(action, Reject) and known.may_have_run and cls.effect is not Effect.IDEMPOTENT:
                assert cls.effect is Effect.IDEMPOTENCY_KEY
                assert cls.dedup_scope is DedupScope.ALL
        elif isinstance(action, Send):
            self.check_send(action, now)

    def check_send(self, action: Send, now: int) -> None:
        known = self.open[action.request]
        cls = CLASSES[known.event.request_class]
        assert known.closed_at is None, "an attempt after the final answer"
        assert not known.out, "two attempts at once"
        assert len(known.sends) < self.config.max_attempts
        assert self.servers[action.server].state is ServerState.READY, "a drain broken"
        if known.may_have_run and cls.effect is not Effect.IDEMPOTENT:
            first_at, first_server = known.may_have_run[0]
            assert cls.effect is Effect.IDEMPOTENCY_KEY
            assert now - first_at < cls.dedup_window
            if cls.dedup_scope is DedupScope.ZONE:
                assert self.servers[first_server].zone == self.servers[action.server].zone
        known.out = True
        attempt = len(known.sends)
        known.sends.append((now, action.server))
        left = known.event.deadline - now
        time_left = min(action.timeout or left, left)
        latency = int(self.rng.expovariate(1.0) * 150) * MS
        outcome = Outcome.OK if self.rng.random() < 0.5 else self.rng.choice(FAILURES)
        if latency >= time_left:
            latency, outcome = max(time_left, 0), Outcome.TIMEOUT
        done = AttemptEnded(action.request, attempt, action.server, outcome, False, latency)
        self.later(now + latency, done)


@given(
    seed=strategies.integers(0, 2**32),
    aside=strategies.booleans(),
    attempts=strategies.integers(1, 5),
    tenants=strategies.booleans(),
)
@profile(derandomize=True, max_examples=60, deadline=None)
def test_rules_hold_and_equal_events_give_equal_actions(
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
    assert first.log == second.log
    assert any(isinstance(action, Send) for action in first.log)


@given(seed=strategies.integers(0, 2**32), share=strategies.floats(0.1, 0.5))
@profile(derandomize=True, max_examples=20, deadline=None)
def test_a_cold_server_gets_its_fraction_of_keys_and_no_surge_on_failover(seed: int, share: float) -> None:
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
            if i % 2:  # every second request fails there and goes to the next in rank
                failed = AttemptEnded(f"r{i}", 0, action.server, Outcome.ERROR, False, MS)
                retried = [a.server for a in router.handle(failed, S) if isinstance(a, Send)]
                sent += retried.count("cold")
    assert sent < 1500 * share / 9 * 1.6 + 10  # its ramped share of first tries and retries, with slack
