"""Each check of a soak's history finds its broken variant, and only that."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.soak.history import Attempt, History, Request, broken_rules


def sound() -> History:
    requests = [
        Request("served", "get", 1.5, b"v", 1.2),
        Request("rejected", "get", 1.5, b"-BUSY 10", 1.1),
        Request("left", "get", 1.5, client_left=True),
        Request("unread", "get", 1.5),
        Request("written", "once", 1.5, b"v", 1.9),
    ]
    history = History({request.id: request for request in requests})
    history.attempts = [Attempt("served", 1.1), Attempt("left", 1.1), Attempt("written", 1.1)]
    history.executed_writes["written"] = 1
    history.exit_code, history.descriptor_limit, history.max_descriptors = 0, 256, 256
    history.memory_limit_kb = history.peak_memory_kb = 80 << 10
    history.figures = [{"taken": 4, "served": 2, "refused": 1, "failed": 0, "gone": 1, "open": 0}]
    return history


def answer_late(history: History) -> None:
    history.requests["served"].answered_at = 2.1


def lose(history: History) -> None:
    history.requests["served"].answer = None


def answer_twice(history: History) -> None:
    history.unexpected_replies.append(b"v")


def attempt_after_answer(history: History) -> None:
    history.attempts.append(Attempt("served", 1.4))


def send_to_drained(history: History) -> None:
    history.drain_known_by = 0.7
    history.attempts[0].server = "drains"


def execute_twice(history: History) -> None:
    history.executed_writes["written"] += 1


def be_killed_on_an_idle_machine(history: History) -> None:
    history.exit_code, history.was_killed, history.observer_delay_s = -9, True, 0.01


def crash(history: History) -> None:
    history.exit_code = -11


def log_exception(history: History) -> None:
    history.log = "Traceback (most recent call last):"


def leak_descriptors(history: History) -> None:
    history.max_descriptors = 257


def use_more_memory(history: History) -> None:
    history.peak_memory_kb += 1


def leave_open(history: History) -> None:
    history.figures[0]["open"] = 1


def miscount(history: History) -> None:
    history.figures[0]["taken"] += 1


def count_too_few(history: History) -> None:
    history.figures[0].update(taken=3, served=1)


def count_too_many(history: History) -> None:
    history.figures[0].update(taken=6, served=4)


BROKEN = [
    (answer_late, "late answer: served"),
    (lose, "lost: served was forwarded and not answered"),
    (answer_twice, "answer without a request: b'v'"),
    (attempt_after_answer, "attempt after the answer: served"),
    (send_to_drained, "drain: 1 attempts at drains too late, the last by 0.40 s"),
    (execute_twice, "effect twice: written"),
    (crash, "exit code -11"),
    (be_killed_on_an_idle_machine, "exit code -9"),
    (log_exception, "an exception in the log"),
    (leak_descriptors, "257 of 256 descriptors"),
    (use_more_memory, "81921 of 81920 KB of memory"),
    (leave_open, "figures do not add up"),
    (miscount, "figures do not add up"),
    (count_too_few, "figures have fewer than the 2 requests that were served"),
    (count_too_many, "figures have more than the 5 requests that were sent"),
]


def test_sound_history_breaks_no_rule() -> None:
    assert broken_rules(sound()) == []


@pytest.mark.parametrize(("change", "line"), BROKEN)
def test_each_check_finds_its_broken_variant(change: Callable[[History], None], line: str) -> None:
    history = sound()
    change(history)
    (found,) = broken_rules(history)
    assert found.startswith(line)


def test_a_late_observer_excuses_what_it_may_have_seen_late() -> None:
    history = sound()
    answer_late(history)
    history.observer_delay_s = 0.2
    assert broken_rules(history) == []
