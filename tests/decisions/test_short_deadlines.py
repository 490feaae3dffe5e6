"""Reads whose deadlines are shorter than the caches' latency."""

from __future__ import annotations

from collections import defaultdict

import pytest

from pebblepass.decisions import AttemptEnded, Outcome, Reason, Reject, Router
from pebblepass.decisions.health import AttemptHistory
from tests.decisions.builders import (
    MS,
    S,
    Timeline,
    finals,
    fleet,
    only_send,
    request,
    result_of,
    sends,
    settings,
    started,
)


def after_answers(latency: int, answers: int = 100) -> Router:
    """Return a router after this many answers with this latency."""
    router = started(settings(), fleet(5))
    for i in range(answers):
        send = only_send(router.handle(request(f"w{i}", i * MS, key=f"w{i}"), i * MS))
        router.handle(result_of(send, Outcome.OK, latency=latency), i * MS)
    return router


def count_sent(router: Router, reads: int, time_left: int, now: int = S, latency: int = 20 * MS) -> int:
    """Return how many of `reads` reads with `time_left` are sent; the others are rejected at once.

    `latency`: of the answers to the reads that are sent.
    """
    sent = 0
    for i in range(reads):
        name = f"h{now}-{i}"
        actions = router.handle(request(name, now, key=name, deadline=now + time_left), now)
        if sends(actions):
            sent += 1
            router.handle(result_of(only_send(actions), Outcome.OK, latency=latency), now)
        else:
            (rejection,) = actions
            assert isinstance(rejection, Reject)
            assert (rejection.request, rejection.reason) == (name, Reason.DEADLINE)
    return sent


def test_reads_with_too_little_time_are_rejected_except_for_a_few() -> None:
    assert 0 < count_sent(after_answers(70 * MS), 200, 54 * MS, latency=70 * MS) < 30


@pytest.mark.parametrize(("latency", "time_left"), [(70 * MS, 80 * MS), (30 * MS, 54 * MS)])
def test_reads_with_enough_time_are_sent(latency: int, time_left: int) -> None:
    assert count_sent(after_answers(latency), 50, time_left) == 50


def test_router_without_evidence_sends_every_read() -> None:
    assert count_sent(started(settings(), fleet(5)), 1, 5 * MS) == 1


def test_writes_are_sent_whatever_their_deadline() -> None:
    router = after_answers(70 * MS)
    for cls in ("edit", "order"):
        assert sends(router.handle(request(cls, S, cls=cls, deadline=S + 20 * MS), S))


def test_a_few_short_attempts_detect_that_caches_are_fast_again() -> None:
    router = after_answers(200 * MS)
    assert count_sent(router, 100, 54 * MS) < 20
    for second in range(2, 30):
        count_sent(router, 100, 54 * MS, second * S)
    assert count_sent(router, 100, 54 * MS, 31 * S) == 100


class MixedDeadlines:
    """Servers that process one read at a time, and clients with one long deadline or six short ones."""

    SERVICE_TIME = 50 * MS
    LONG_DEADLINE, SHORT_DEADLINE = 700 * MS, 40 * MS
    LATENCY_TARGET = 300 * MS

    def __init__(self) -> None:
        self.router = after_answers(60 * MS, 40)
        self.idle_at: dict[str, int] = defaultdict(int)
        self.timeline = Timeline[tuple[str, int, AttemptEnded | None]]()
        self.started_at: dict[str, int] = {}
        self.served: dict[str, int] = {}

    def run(self, duration: int, interval: int, short_deadlines: int) -> float:
        """Return the fraction served in time; one client in `short_deadlines` has short deadlines."""
        for i, at in enumerate(range(S, S + duration, interval)):
            self._schedule(at, f"c{i}", 5 if i % short_deadlines == 0 else 0)
            self.started_at[f"c{i}"] = at
        for now, (client, attempts_left, event) in self.timeline.pop_until(S + 2 * duration):
            if event is None:
                self._attempt(client, attempts_left, now)
            elif event.outcome is Outcome.OK:
                self.router.handle(event, now)
                self.served[client] = now - self.started_at[client]
            elif finals(self.router.handle(event, now)) and attempts_left:
                self._schedule(now + MS, client, attempts_left - 1)
        return sum(latency <= self.LATENCY_TARGET for latency in self.served.values()) / len(self.started_at)

    def _attempt(self, client: str, attempts_left: int, now: int) -> None:
        deadline = self.SHORT_DEADLINE if attempts_left else self.LONG_DEADLINE
        actions = self.router.handle(
            request(f"{client}.{attempts_left}", now, key=client, deadline=now + deadline), now
        )
        for send in sends(actions):
            self.idle_at[send.server] = max(self.idle_at[send.server], now) + self.SERVICE_TIME
            latency = self.idle_at[send.server] - now  # the server works on after the client's deadline
            outcome = Outcome.OK if latency <= deadline else Outcome.TIMEOUT
            latency = min(latency, deadline)
            self._schedule(now + latency, client, attempts_left, result_of(send, outcome, latency=latency))
        if finals(actions) and attempts_left:
            self._schedule(now + MS, client, attempts_left - 1)

    def _schedule(
        self, when: int, client: str, attempts_left: int, event: AttemptEnded | None = None
    ) -> None:
        self.timeline.add(when, (client, attempts_left, event))


def test_short_deadlines_leave_capacity_for_longer_ones() -> None:
    """Five servers can serve 100 reads a second; half of 60 clients a second first fail five times."""
    assert MixedDeadlines().run(10 * S, S // 60, 2) > 0.9


def test_timeouts_of_short_deadlines_do_not_lower_health() -> None:
    for time_left, is_healthy in ((50 * MS, True), (900 * MS, False)):
        router = after_answers(40 * MS)
        for i in range(20):
            now = (2 + i) * S
            name = f"h{i}"
            actions = router.handle(request(name, now, key=name, deadline=now + time_left), now)
            for send in sends(actions):
                router.handle(result_of(send, Outcome.TIMEOUT, latency=time_left), now + time_left)
        assert (router.avoided(22 * S) == []) is is_healthy


def test_answer_probability_ignores_inconclusive_attempts() -> None:
    history = AttemptHistory()
    assert history.answer_probability(50 * MS) == 1.0  # no evidence
    for latency, answered in ((30, True), (60, True), (40, False), (60, False)):
        history.record(latency * MS, answered)
    # 40 ms is inconclusive: an answer could have come by 50 ms.
    assert history.answer_probability(50 * MS) == pytest.approx(2 / 4)
    # No attempt lasted 100 ms without an answer.
    assert history.answer_probability(100 * MS) == pytest.approx(3 / 3)
    assert history.answer_probability(35 * MS) == pytest.approx(2 / 5)


def test_answer_probability_drops_old_attempts() -> None:
    history = AttemptHistory()
    for _ in range(100):
        history.record(200 * MS, answered=False)
    assert history.answer_probability(100 * MS) < 0.1
    for _ in range(100):
        history.record(20 * MS, answered=True)
    assert history.answer_probability(100 * MS) == 1.0


def test_unresponsive_server_gets_no_short_deadlines_for_a_while() -> None:
    router = after_answers(40 * MS)
    keys_by_owner: dict[str, list[str]] = defaultdict(list)
    for i in range(400):
        send = only_send(router.handle(request(f"p{i}", S, key=f"p{i}"), S))
        router.handle(result_of(send, Outcome.OK, latency=40 * MS), S)
        keys_by_owner[send.server].append(f"p{i}")
    unresponsive, other, *_ = keys_by_owner
    key, timed_out_at = keys_by_owner[unresponsive].pop(), 2 * S + 120 * MS
    send = only_send(router.handle(request("h", 2 * S, key=key, deadline=timed_out_at), 2 * S))
    assert send.server == unresponsive
    router.handle(result_of(send, Outcome.TIMEOUT, latency=120 * MS), timed_out_at)

    def sent(owner: str, now: int, time_left: int) -> int:
        keys = [keys_by_owner[owner].pop() for _ in range(15)]
        return sum(
            bool(sends(router.handle(request(k, now, key=k, deadline=now + time_left), now))) for k in keys
        )

    assert sent(unresponsive, timed_out_at + S, 120 * MS) < 5
    assert sent(unresponsive, timed_out_at + S, 900 * MS) == 15
    assert sent(other, timed_out_at + S, 120 * MS) == 15
    assert sent(unresponsive, timed_out_at + 5 * S, 120 * MS) == 15
