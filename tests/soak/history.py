"""What a soak has observed, and the checks of it. No I/O, no clock; times are seconds of one clock."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

ANSWER_SLACK_S = 0.5  # after its timeout in which an answer still counts as one
ATTEMPT_SLACK_S = 0.1  # after the final answer in which an attempt may still reach its server
DRAIN_SLACK_S = 0.35  # the shortest grace in the known settings, and 50 ms
EXIT_MARGIN_S = 0.05  # from the end of a router's shutdown to the platform's earliest SIGKILL


@dataclass
class Request:
    """One request of a client."""

    id: str
    request_class: str
    due_at: float
    """When its timeout ends, or that of an earlier request on its connection: answers keep their order."""
    answer: bytes | None = None
    answered_at: float = 0.0
    client_left: bool = False
    """Whether the client closed its connection before the answer."""
    is_broken_off: bool = False
    """Whether its server broke its long value off, so that it may end without a complete answer."""


@dataclass
class Attempt:
    """One arrival of a request at a server."""

    request_id: str
    arrived_at: float
    server: str = ""
    """Its name, if it is one that drains."""


@dataclass
class History:
    """Everything that was observed in one run."""

    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    executed_writes: Counter[str] = field(default_factory=Counter)
    """How often each write that must not be repeated was executed."""
    unexpected_replies: list[bytes] = field(default_factory=list)
    """Replies for which no request was outstanding."""
    exit_code: int | None = None
    drain_known_by: float = math.inf
    """When the router has to know that the servers which `attempts` name drain or were removed."""
    was_killed: bool = False
    """Whether the platform's SIGKILL came before the exit."""
    log: str = ""
    max_descriptors: int = 0
    descriptor_limit: int = 0
    peak_memory_kb: int = 0
    memory_limit_kb: int = 0
    has_bad_clients: bool = False
    """Whether there were clients whose requests are not recorded."""
    figures: list[dict[str, int]] = field(default_factory=list)
    """The rows of the router's closing snapshot."""
    observer_delay_s: float = 0.0
    """By how much the observing process was late at most."""


def broken_rules(history: History) -> list[str]:
    """Return one line for each observation that breaks a rule."""
    checks = (_answers, _attempts, _drains, _effects, _process, _figures)
    return [line for check in checks for line in check(history)]


def _answers(history: History) -> list[str]:
    broken = [f"answer without a request: {reply!r}" for reply in history.unexpected_replies]
    forwarded = {attempt.request_id for attempt in history.attempts}
    for request in history.requests.values():
        late_after = request.due_at + ANSWER_SLACK_S + history.observer_delay_s
        if request.answer is not None and request.answered_at > late_after:
            broken.append(f"late answer: {request.id}")
        is_excused = request.client_left or request.is_broken_off
        if request.answer is None and not is_excused and request.id in forwarded:
            broken.append(f"lost: {request.id} was forwarded and not answered")
    return broken


def _attempts(history: History) -> list[str]:
    broken = []
    for attempt in history.attempts:
        request = history.requests[attempt.request_id]
        late_after = request.answered_at + ATTEMPT_SLACK_S + history.observer_delay_s
        if request.answer is not None and attempt.arrived_at > late_after:
            broken.append(f"attempt after the answer: {request.id}")
    return broken


def _drains(history: History) -> list[str]:
    late_after = history.drain_known_by + DRAIN_SLACK_S + history.observer_delay_s
    late = [attempt for attempt in history.attempts if attempt.server and attempt.arrived_at > late_after]
    if not late:
        return []
    late_s = late[-1].arrived_at - history.drain_known_by
    return [f"drain: {len(late)} attempts at {late[-1].server} too late, the last by {late_s:.2f} s"]


def _effects(history: History) -> list[str]:
    return [f"effect twice: {name}" for name, count in history.executed_writes.items() if count > 1]


def _process(history: History) -> list[str]:
    broken = []
    is_excused = history.was_killed and history.observer_delay_s > EXIT_MARGIN_S  # the machine was busy
    if history.exit_code != 0 and not is_excused:
        broken.append(f"exit code {history.exit_code}")
    if "Traceback" in history.log:
        broken.append("an exception in the log")
    if history.max_descriptors > history.descriptor_limit:
        broken.append(f"{history.max_descriptors} of {history.descriptor_limit} descriptors")
    if history.peak_memory_kb > history.memory_limit_kb:
        broken.append(f"{history.peak_memory_kb} of {history.memory_limit_kb} KB of memory")
    return broken


def _figures(history: History) -> list[str]:
    if history.was_killed:
        return []  # the last snapshot may be old
    broken = []
    for row in history.figures:
        if row["open"] or row["taken"] != row["served"] + row["refused"] + row["failed"] + row["gone"]:
            broken.append(f"figures do not add up: {row}")
    answered = [request.answer for request in history.requests.values() if request.answer is not None]
    served = sum(not answer.startswith(b"-") for answer in answered)
    if sum(row["served"] for row in history.figures) < served:
        broken.append(f"figures have fewer than the {served} requests that were served")
    taken = sum(row["taken"] for row in history.figures)
    if taken > len(history.requests) and not history.has_bad_clients:
        broken.append(f"figures have more than the {len(history.requests)} requests that were sent")
    return broken
