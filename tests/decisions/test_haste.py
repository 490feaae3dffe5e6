"""Reads whose clients give up sooner than the caches usually answer."""

from __future__ import annotations

from collections import defaultdict

import pytest

from pebblepass.decisions import AttemptEnded, Outcome, Reason, Reject, Router
from pebblepass.decisions.health import AttemptHistory
from tests.decisions.cases import (
    MS,
    S,
    Timeline,
    ended,
    finals,
    fleet,
    only_send,
    request,
    sends,
    settings,
    started,
)


def after_answers(latency: int, answers: int = 100) -> Router:
    """A router that has had so many answers that took so long."""
    router = started(settings(), fleet(5))
    for i in range(answers):
        send = only_send(router.handle(request(f"w{i}", i * MS, key=f"w{i}"), i * MS))
        router.handle(ended(send, Outcome.OK, latency=latency), i * MS)
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
            router.handle(ended(only_send(actions), Outcome.OK, latency=latency), now)
        else:
            (refused,) = actions
            assert isinstance(refused, Reject)
            assert (refused.request, refused.reason) == (name, Reason.DEADLINE)
    return sent


def test_less_time_than_answers_take_is_refused_at_once_but_for_a_few() -> None:
    assert 0 < sent_of(after_answers(70 * MS), 200, 54 * MS, latency=70 * MS) < 30


@pytest.mark.parametrize(("latency", "left"), [(70 * MS, 80 * MS), (30 * MS, 54 * MS)])
def test_enough_time_is_sent(latency: int, left: int) -> None:
    assert sent_of(after_answers(latency), 50, left) == 50


def test_a_router_that_has_heard_nothing_sends_whatever_comes() -> None:
    assert sent_of(started(settings(), fleet(5)), 1, 5 * MS) == 1


def test_writes_are_sent_whatever_their_time() -> None:
    router = after_answers(70 * MS)
    for cls in ("edit", "order"):
        assert sends(router.handle(request(cls, S, cls=cls, deadline=S + 20 * MS), S))


def test_where_all_are_in_haste_the_few_tell_that_caches_are_quick_again() -> None:
    router = after_answers(200 * MS)
    assert sent_of(router, 100, 54 * MS) < 20
    for second in range(2, 30):
        sent_of(router, 100, 54 * MS, second * S)
    assert sent_of(router, 100, 54 * MS, 31 * S) == 100


class HastyMorning:
    """A server that does one read after another, and clients: some wait, others try six times in a row."""

    WORK = 50 * MS
    PATIENT, HASTY = 700 * MS, 40 * MS
    AIM = 300 * MS

    def __init__(self) -> None:
        self.router = after_answers(60 * MS, 40)
        self.free_at: dict[str, int] = defaultdict(int)
        self.due = Timeline[tuple[str, int, AttemptEnded | None]]()
        self.begun: dict[str, int] = {}
        self.served: dict[str, int] = {}

    def play(self, span: int, every: int, hasty: int) -> float:
        """The share that is served within the aim; each `hasty`th client is in haste."""
        for i, at in enumerate(range(S, S + span, every)):
            self._later(at, f"c{i}", 5 if i % hasty == 0 else 0)
            self.begun[f"c{i}"] = at
        for now, (client, left, event) in self.due.until(S + 2 * span):
            if event is None:
                self._try(client, left, now)
            elif event.outcome is Outcome.OK:
                self.router.handle(event, now)
                self.served[client] = now - self.begun[client]
            elif finals(self.router.handle(event, now)) and left:
                self._later(now + MS, client, left - 1)
        return sum(took <= self.AIM for took in self.served.values()) / len(self.begun)

    def _try(self, client: str, left: int, now: int) -> None:
        patience = self.HASTY if left else self.PATIENT
        actions = self.router.handle(
            request(f"{client}.{left}", now, key=client, deadline=now + patience), now
        )
        for send in sends(actions):
            self.free_at[send.server] = max(self.free_at[send.server], now) + self.WORK
            took = self.free_at[send.server] - now  # the work goes on when nobody waits
            end = Outcome.OK if took <= patience else Outcome.TIMEOUT
            took = min(took, patience)
            self._later(now + took, client, left, ended(send, end, latency=took))
        if finals(actions) and left:
            self._later(now + MS, client, left - 1)

    def _later(self, when: int, client: str, left: int, event: AttemptEnded | None = None) -> None:
        self.due.add(when, (client, left, event))


def test_clients_in_haste_do_not_take_the_time_of_those_that_wait() -> None:
    """Five servers do 100 reads a second; of 60 that come a second half are tried five times in vain."""
    assert HastyMorning().play(10 * S, S // 60, 2) > 0.9


def test_time_outs_of_clients_in_haste_are_not_held_against_servers() -> None:
    for left, sound in ((50 * MS, True), (900 * MS, False)):
        router = after_answers(40 * MS)
        for i in range(20):
            now = (2 + i) * S
            name = f"h{i}"
            actions = router.handle(request(name, now, key=name, deadline=now + left), now)
            for send in sends(actions):
                router.handle(ended(send, Outcome.TIMEOUT, latency=left), now + left)
        assert (router.avoided(22 * S) == []) is sound


def test_odds_count_what_was_waited_for_as_long_and_leave_the_rest_out() -> None:
    odds = AttemptHistory()
    assert odds.answer_probability(50 * MS) == 1.0  # nothing tells
    for took, answered in ((30, True), (60, True), (40, False), (60, False)):
        odds.record(took * MS, answered)
    assert odds.answer_probability(50 * MS) == pytest.approx(
        2 / 4
    )  # not that of 40 ms: it might have come by 50
    assert odds.answer_probability(100 * MS) == pytest.approx(3 / 3)  # nobody has waited so long in vain
    assert odds.answer_probability(35 * MS) == pytest.approx(2 / 5)


def test_odds_forget() -> None:
    odds = AttemptHistory()
    for _ in range(100):
        odds.record(200 * MS, answered=False)
    assert odds.answer_probability(100 * MS) < 0.1
    for _ in range(100):
        odds.record(20 * MS, answered=True)
    assert odds.answer_probability(100 * MS) == 1.0


def test_a_server_that_left_one_unanswered_gets_none_in_haste_for_a_while() -> None:
    router = after_answers(40 * MS)
    homes: dict[str, list[str]] = defaultdict(list)
    for i in range(400):
        send = only_send(router.handle(request(f"p{i}", S, key=f"p{i}"), S))
        router.handle(ended(send, Outcome.OK, latency=40 * MS), S)
        homes[send.server].append(f"p{i}")
    silent, other, *_ = homes
    key, missed = homes[silent].pop(), 2 * S + 120 * MS
    send = only_send(router.handle(request("h", 2 * S, key=key, deadline=missed), 2 * S))
    assert send.server == silent
    router.handle(ended(send, Outcome.TIMEOUT, latency=120 * MS), missed)

    def sent(home: str, now: int, left: int) -> int:
        keys = [homes[home].pop() for _ in range(15)]
        return sum(bool(sends(router.handle(request(k, now, key=k, deadline=now + left), now))) for k in keys)

    assert sent(silent, missed + S, 120 * MS) < 5
    assert sent(silent, missed + S, 900 * MS) == 15
    assert sent(other, missed + S, 120 * MS) == 15
    assert sent(silent, missed + 5 * S, 120 * MS) == 15
