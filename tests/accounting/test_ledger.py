"""The ledger: valid operations, one breach for each invalid one, and any interleaving of both."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from pebblepass.accounting.ledger import (
    CLOSED_HISTORY,
    MAX_PENDING_BREACHES,
    OTHER,
    Breach,
    BreachKind,
    Ledger,
    bucket,
    bucket_bounds,
)

NS_PER_MS = 1_000_000
LATENCY_TARGETS = {"fetch": 300 * NS_PER_MS, "publish": 500 * NS_PER_MS}


def make_ledger() -> tuple[Ledger, list[Breach]]:
    reported: list[Breach] = []
    return Ledger(LATENCY_TARGETS, ("public", "municipal"), reported.append), reported


def take(ledger: Ledger, request: str = "q", cls: str = "fetch", namespace: str | None = "public") -> None:
    ledger.open_request(
        request, cls, namespace, now=0, deadline=1000 * NS_PER_MS, size=100, path="RESP2 client"
    )


def only_row(ledger: Ledger) -> dict[str, object]:
    (row,) = ledger.export_rows()
    return row


def test_served_request_moves_from_open_to_served() -> None:
    ledger, reported = make_ledger()
    take(ledger)
    assert only_row(ledger)["open"] == 1
    ledger.record_served("q", 20 * NS_PER_MS, 2000)
    row = only_row(ledger)
    assert (row["taken"], row["served"], row["served_in_aim"], row["open"]) == (1, 1, 1, 0)
    assert (row["bytes_taken"], row["bytes_served"]) == (100, 2000)
    ledger.audit(0, 0, ())
    assert reported == []


def test_each_final_result_has_its_own_count() -> None:
    ledger, reported = make_ledger()
    for name in "abcdef":
        take(ledger, name)
    ledger.record_served("a", 300 * NS_PER_MS, 1)
    ledger.record_served("b", 301 * NS_PER_MS, 1)
    ledger.record_rejected("c", NS_PER_MS, "shed")
    ledger.record_rejected("d", NS_PER_MS, "limit")
    ledger.record_failed("e", NS_PER_MS, "attempts")
    ledger.record_disconnected("f", NS_PER_MS)
    row = only_row(ledger)
    assert (row["served_in_aim"], row["served_late"], row["gone"]) == (1, 1, 1)
    assert row["refused_by_reason"] == {"limit": 1, "shed": 1}
    assert row["failed_by_reason"] == {"attempts": 1}
    ledger.audit(0, 0, ())
    assert reported == []


def test_second_final_answer_is_one_breach_that_names_the_path() -> None:
    ledger, reported = make_ledger()
    take(ledger)
    ledger.record_rejected("q", NS_PER_MS, "shed")
    ledger.record_served("q", 2 * NS_PER_MS, 1)
    (breach,) = reported
    assert breach.kind is BreachKind.CLOSED_TWICE
    assert breach.as_dict() == {
        "number": 1,
        "kind": "a second final answer",
        "at_ns": 2 * NS_PER_MS,
        "request": "q",
        "class": "fetch",
        "namespace": "public",
        "path": "RESP2 client: served",
    }
    assert only_row(ledger)["served"] == 0  # the second answer is not counted


def test_answer_to_unknown_request_is_one_breach() -> None:
    ledger, reported = make_ledger()
    ledger.record_failed("unknown", NS_PER_MS, "attempts")
    assert [breach.kind for breach in reported] == [BreachKind.NEVER_OPENED]


def test_request_opened_twice_is_one_breach() -> None:
    ledger, reported = make_ledger()
    take(ledger)
    take(ledger)
    assert [breach.kind for breach in reported] == [BreachKind.OPENED_TWICE]
    assert only_row(ledger)["taken"] == 1


def test_overdue_entry_is_one_breach_over_repeated_audits() -> None:
    ledger, reported = make_ledger()
    take(ledger)
    ledger.audit(1050 * NS_PER_MS, 50 * NS_PER_MS, {"q"})
    assert reported == []
    for _ in range(3):
        ledger.audit(1051 * NS_PER_MS, 50 * NS_PER_MS, {"q"})
    assert [(breach.kind, breach.path) for breach in reported] == [
        (BreachKind.NEVER_CLOSED, "RESP2 client: overdue")
    ]


def test_entry_forgotten_by_the_router_is_a_breach_at_the_next_audit() -> None:
    ledger, reported = make_ledger()
    take(ledger)
    ledger.audit(NS_PER_MS, 50 * NS_PER_MS, ())
    assert [(breach.kind, breach.path) for breach in reported] == [
        (BreachKind.NEVER_CLOSED, "RESP2 client: forgotten")
    ]


def test_open_request_without_entry_is_one_breach() -> None:
    ledger, reported = make_ledger()
    ledger.audit(NS_PER_MS, 0, {"q"})
    ledger.audit(NS_PER_MS, 0, {"q"})
    assert [breach.kind for breach in reported] == [BreachKind.OPEN_WITHOUT_ENTRY]


def test_count_changed_outside_the_ledger_is_one_breach() -> None:
    ledger, reported = make_ledger()
    take(ledger)
    ledger.record_served("q", NS_PER_MS, 1)
    ledger.accounts["fetch", "public"].served_in_aim += 1
    ledger.audit(NS_PER_MS, 0, ())
    ledger.audit(NS_PER_MS, 0, ())
    assert [(breach.kind, breach.request_class, breach.namespace) for breach in reported] == [
        (BreachKind.UNBALANCED, "fetch", "public")
    ]


def test_unconfigured_namespaces_share_one_account() -> None:
    ledger, _ = make_ledger()
    for number in range(1000):
        take(ledger, f"q{number}", namespace=f"unconfigured-{number}")
    take(ledger, "none", namespace=None)
    row = only_row(ledger)
    assert (row["namespace"], row["taken"]) == (OTHER, 1001)
    assert len(ledger.accounts) == len(LATENCY_TARGETS) * 3


def test_request_rejected_before_opening_is_counted_as_taken_and_closed() -> None:
    ledger, reported = make_ledger()
    ledger.record_unopened("fetch", "public", NS_PER_MS, 10, "RESP2 client", refused="connections")
    ledger.record_unopened("fetch", "public", NS_PER_MS, 10, "RESP2 client", failed="duplicate id")
    row = only_row(ledger)
    assert (row["taken"], row["refused"], row["failed"], row["open"]) == (2, 1, 1, 0)
    ledger.audit(NS_PER_MS, 0, ())
    assert reported == []


def test_attempt_that_ends_after_its_request_is_counted() -> None:
    ledger, _ = make_ledger()
    take(ledger)
    ledger.record_disconnected("q", NS_PER_MS)
    ledger.record_attempt("fetch", "public", "ok", to_origin=True)
    ledger.record_attempt("fetch", "unconfigured", "ok", to_origin=True)
    row = only_row(ledger)
    assert (row["attempts"], row["origin_fetches"]) == ({"ok": 1}, 1)


def test_record_served_counts_the_successful_attempt() -> None:
    ledger, reported = make_ledger()
    for name, to_origin in (("a", None), ("b", False), ("c", True)):
        take(ledger, name)
        ledger.record_served(name, NS_PER_MS, 1, to_origin)
    row = only_row(ledger)
    assert (row["served"], row["attempts"], row["origin_fetches"], reported) == (3, {"ok": 2}, 1, [])


def test_pending_breaches_are_bounded_and_kept_until_acknowledged() -> None:
    ledger, reported = make_ledger()
    for number in range(MAX_PENDING_BREACHES + 10):
        ledger.record_disconnected(f"unknown-{number}", 0)
    assert len(ledger.breaches) == MAX_PENDING_BREACHES
    assert ledger.breach_count == len(reported) == MAX_PENDING_BREACHES + 10
    assert ledger.acknowledge(10) == 10
    assert ledger.breaches[0].number == 11
    assert ledger.acknowledge(ledger.breach_count) == MAX_PENDING_BREACHES - 10
    assert ledger.breaches == []


def test_closed_requests_are_remembered_for_a_bounded_time() -> None:
    ledger, reported = make_ledger()
    for number in range(2 * CLOSED_HISTORY):
        take(ledger, f"q{number}")
        ledger.record_disconnected(f"q{number}", 0)
    ledger.record_disconnected("q0", 0)
    ledger.record_disconnected(f"q{CLOSED_HISTORY}", 0)
    assert [breach.kind for breach in reported] == [BreachKind.NEVER_OPENED, BreachKind.CLOSED_TWICE]


@pytest.mark.parametrize("latency_us", [0, 1, 15, 16, 17, 31, 32, 33, 100, 999, 12_345, 1_200_000, 10**9])
def test_latency_lies_within_its_bucket_of_bounded_width(latency_us: int) -> None:
    lower_us, upper_us = bucket_bounds(bucket(latency_us * 1000))
    assert lower_us <= latency_us < upper_us
    assert upper_us - lower_us <= max(1, lower_us / 16)


def test_buckets_are_contiguous() -> None:
    bounds = [bucket_bounds(number) for number in range(400)]
    assert all(lower[1] == upper[0] for lower, upper in pairwise(bounds))
    assert all(bucket(lower_us * 1000) == number for number, (lower_us, _) in enumerate(bounds))


class LedgerStateMachine(RuleBasedStateMachine):
    """Valid and invalid operations in any order, compared with a model that counts them."""

    @initialize()
    def begin(self) -> None:
        self.reported: list[Breach] = []
        self.ledger = Ledger(LATENCY_TARGETS, ("public",), self.reported.append)
        self.now = 0
        self.open: dict[str, tuple[str, str]] = {}
        self.opened_ever: set[str] = set()
        self.model: Counter[tuple[tuple[str, str], str]] = Counter()
        self.breaches = 0

    names = strategies.sampled_from([f"q{number}" for number in range(6)])

    @rule(
        name=names,
        cls=strategies.sampled_from(list(LATENCY_TARGETS)),
        ns=strategies.sampled_from(["public", "x"]),
    )
    def take(self, name: str, cls: str, ns: str) -> None:
        self.now += NS_PER_MS
        self.ledger.open_request(name, cls, ns, self.now, self.now + 1000 * NS_PER_MS, 1, "test")
        if name in self.open:
            self.breaches += 1
            return
        self.open[name] = (cls, "public" if ns == "public" else OTHER)
        self.opened_ever.add(name)
        self.model[self.open[name], "taken"] += 1

    @rule(name=names, result=strategies.sampled_from(["served", "refused", "failed", "gone"]))
    def close(self, name: str, result: str) -> None:
        self.now += NS_PER_MS
        match result:
            case "served":
                self.ledger.record_served(name, self.now, 1)
            case "refused":
                self.ledger.record_rejected(name, self.now, "shed")
            case "failed":
                self.ledger.record_failed(name, self.now, "attempts")
            case _:
                self.ledger.record_disconnected(name, self.now)
        key = self.open.pop(name, None)
        if key is None:
            self.breaches += 1
        else:
            self.model[key, result] += 1

    @rule(name=names)
    def attempt(self, name: str) -> None:
        self.ledger.record_attempt("fetch", name, "ok", to_origin=False)

    @invariant()
    def ledger_matches_model(self) -> None:
        if not hasattr(self, "ledger"):
            return
        self.ledger.audit(self.now, 10**12, self.open)
        assert len(self.reported) == self.breaches
        for row in self.ledger.export_rows():
            key = (str(row["class"]), str(row["namespace"]))
            for result in ("taken", "served", "refused", "failed", "gone"):
                assert row[result] == self.model[key, result]
            assert row["open"] == sum(account == key for account in self.open.values())
            assert row["taken"] == sum(
                row[result] for result in ("served", "refused", "failed", "gone", "open")
            )


TestLedgerStateMachine = LedgerStateMachine.TestCase
TestLedgerStateMachine.settings = settings(max_examples=80, deadline=None, derandomize=True)
