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
    """A router that has had so many answers that took so long."""
    router = started(settings(), fleet(5))
    for i in range(answers):
        send = only_send(router.handle(request(f"w{i}", i * MS, key=f"w{i}"), i * MS))
        router.handle(result_of(send, Outcome.OK, latency=latency), i * MS)
    return router


def sent_of(router: Router, tries: int, left: int, now: int = S, latency: int = 20 * MS) -> int:
    """How many of so many reads are sent that have so much time left; the others are refused at once.

    `latency`: of the answers to those that are sent.
    """
    sent = 0
    for i in range(tries):
        name = f"h{now}-{i}"
        actions = router.handle(request(name, now, key=name, deadline=now + left), now)
        if sends(actions):
            sent += 1
            router.handle(result_of(only_send(actions), Outcome.OK, latency=latency), now)
        else:
            (refused,) = actions
            assert isinstance(refused, Reject)
            assert (refused.request, refused.reason) == (name, Reason.DEADLINE)
    return sent


def test_less_time_than_answers_need_is_rejected_at_once_but_for_a_few() -> None:
    assert 0 < sent_of(after_answers(70 * MS), 200, 54 * MS, latency=70 * MS) < 30


@pytest.mark.parametrize(("latency", "left"), [(70 * MS, 80 * MS), (30 * MS, 54 * MS)])
def test_enough_time_is_sent(latency: int, left: int) -> None:
    assert sent_of(after_answers(latency), 50, left) == 50


def test_a_router_without_evidence_sends_every_request() -> None:
    assert sent_of(started(settings(), fleet(5)), 1, 5 * MS) == 1


def test_writes_are_sent_whatever_their_deadline() -> None:
    router = after_answers(70 * MS)
    for cls in ("edit", "order"):
        assert sends(router.handle(request(cls, S, cls=cls, deadline=S + 20 * MS), S))


def test_where_all_deadlines_are_short_a_few_attempts_detect_that_caches_are_fast_again() -> None:
    router = after_answers(200 * MS)
    assert sent_of(router, 100, 54 * MS) < 20
    for second in range(2, 30):
        sent_of(router, 100, 54 * MS, second * S)
    assert sent_of(router, 100, 54 * MS, 31 * S) == 100


class MixedDeadlines:
    """A server that processes one read at a time, and clients: some wait, others make six short attempts."""

    WORK = 50 * MS
    LONG_DEADLINE, SHORT_DEADLINE = 700 * MS, 40 * MS
    LATENCY_TARGET = 300 * MS

    def __init__(self) -> None:
        self.router = after_answers(60 * MS, 40)
        self.free_at: dict[str, int] = defaultdict(int)
        self.due = Timeline[tuple[str, int, AttemptEnded | None]]()
        self.started_at: dict[str, int] = {}
        self.served: dict[str, int] = {}

    def play(self, span: int, every: int, short_deadlines: int) -> float:
        """The fraction served within the latency target; one client in `short_deadlines` has short ones."""
        for i, at in enumerate(range(S, S + span, every)):
            self._later(at, f"c{i}", 5 if i % short_deadlines == 0 else 0)
            self.started_at[f"c{i}"] = at
        for now, (client, left, event) in self.due.until(S + 2 * span):
            if event is None:
                self._try(client, left, now)
            elif event.outcome is Outcome.OK:
                self.router.handle(event, now)
                self.served[client] = now - self.started_at[client]
            elif finals(self.router.handle(event, now)) and left:
                self._later(now + MS, client, left - 1)
        return sum(took <= self.LATENCY_TARGET for took in self.served.values()) / len(self.started_at)

    def _try(self, client: str, left: int, now: int) -> None:
        deadline = self.SHORT_DEADLINE if left else self.LONG_DEADLINE
        actions = self.router.handle(
            request(f"{client}.{left}", now, key=client, deadline=now + deadline), now
        )
        for send in sends(actions):
            self.free_at[send.server] = max(self.free_at[send.server], now) + self.WORK
            took = self.free_at[send.server] - now  # the work goes on when nobody waits
            end = Outcome.OK if took <= deadline else Outcome.TIMEOUT
            took = min(took, deadline)
            self._later(now + took, client, left, result_of(send, end, latency=took))
        if finals(actions) and left:
            self._later(now + MS, client, left - 1)

    def _later(self, when: int, client: str, left: int, event: AttemptEnded | None = None) -> None:
        self.due.add(when, (client, left, event))


def test_short_deadlines_do_not_use_up_the_capacity_of_longer_ones() -> None:
    """Five servers do 100 reads a second; of 60 that come a second half are tried five times in vain."""
    assert MixedDeadlines().play(10 * S, S // 60, 2) > 0.9


def test_timeouts_of_short_deadlines_do_not_lower_a_servers_health() -> None:
    for left, is_healthy in ((50 * MS, True), (900 * MS, False)):
        router = after_answers(40 * MS)
        for i in range(20):
            now = (2 + i) * S
            name = f"h{i}"
            actions = router.handle(request(name, now, key=name, deadline=now + left), now)
            for send in sends(actions):
                router.handle(result_of(send, Outcome.TIMEOUT, latency=left), now + left)
        assert (router.avoided(22 * S) == []) is is_healthy


def test_answer_probability_counts_attempts_that_lasted_as_long_and_no_others() -> None:
    odds = AttemptHistory()
    assert odds.answer_probability(50 * MS) == 1.0  # nothing tells
    for took, answered in ((30, True), (60, True), (40, False), (60, False)):
        odds.record(took * MS, answered)
    assert odds.answer_probability(50 * MS) == pytest.approx(
        2 / 4
    )  # not that of 40 ms: it might have come by 50
    assert odds.answer_probability(100 * MS) == pytest.approx(3 / 3)  # nobody has waited so long in vain
    assert odds.answer_probability(35 * MS) == pytest.approx(2 / 5)


def test_answer_probability_drops_old_attempts() -> None:
    odds = AttemptHistory()
    for _ in range(100):
        odds.record(200 * MS, answered=False)
    assert odds.answer_probability(100 * MS) < 0.1
    for _ in range(100):
        odds.record(20 * MS, answered=True)
    assert odds.answer_probability(100 * MS) == 1.0


def test_a_server_with_an_unanswered_attempt_gets_no_short_deadlines_for_a_while() -> None:
    router = after_answers(40 * MS)
    homes: dict[str, list[str]] = defaultdict(list)
    for i in range(400):
        send = only_send(router.handle(request(f"p{i}", S, key=f"p{i}"), S))
        router.handle(result_of(send, Outcome.OK, latency=40 * MS), S)
        homes[send.server].append(f"p{i}")
    silent, other, *_ = homes
    key, missed = homes[silent].pop(), 2 * S + 120 * MS
    send = only_send(router.handle(request("h", 2 * S, key=key, deadline=missed), 2 * S))
    assert send.server == silent
    router.handle(result_of(send, Outcome.TIMEOUT, latency=120 * MS), missed)

    def sent(home: str, now: int, left: int) -> int:
        keys = [homes[home].pop() for _ in range(15)]
        return sum(bool(sends(router.handle(request(k, now, key=k, deadline=now + left), now))) for k in keys)

    assert sent(silent, missed + S, 120 * MS) < 5
    assert sent(silent, missed + S, 900 * MS) == 15
    assert sent(other, missed + S, 120 * MS) == 15
    assert sent(silent, missed + 5 * S, 120 * MS) == 15
