"""The ledger: moves that are legal, each illegal one as exactly one breach, and any interleaving of both."""

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

MS = 1_000_000
AIMS = {"fetch": 300 * MS, "publish": 500 * MS}


def ledger() -> tuple[Ledger, list[Breach]]:
    told: list[Breach] = []
    return Ledger(AIMS, ("public", "municipal"), told.append), told


def take(made: Ledger, request: str = "q", cls: str = "fetch", namespace: str | None = "public") -> None:
    made.open_request(request, cls, namespace, now=0, due=1000 * MS, size=100, path="RESP2 client")


def only(made: Ledger) -> dict[str, object]:
    (row,) = made.export_rows()
    return row


def test_a_request_moves_from_open_to_one_account() -> None:
    made, told = ledger()
    take(made)
    assert only(made)["open"] == 1
    made.record_served("q", 20 * MS, 2000)
    row = only(made)
    assert (row["taken"], row["served"], row["served_in_aim"], row["open"]) == (1, 1, 1, 0)
    assert (row["bytes_taken"], row["bytes_served"]) == (100, 2000)
    made.audit(0, 0, ())
    assert told == []


def test_each_way_to_end_is_its_own_account() -> None:
    made, told = ledger()
    for name in "abcdef":
        take(made, name)
    made.record_served("a", 300 * MS, 1)
    made.record_served("b", 301 * MS, 1)
    made.record_rejected("c", MS, "shed")
    made.record_rejected("d", MS, "limit")
    made.record_failed("e", MS, "attempts")
    made.record_disconnected("f", MS)
    row = only(made)
    assert (row["served_in_aim"], row["served_late"], row["gone"]) == (1, 1, 1)
    assert row["refused_by_reason"] == {"limit": 1, "shed": 1}
    assert row["failed_by_reason"] == {"attempts": 1}
    made.audit(0, 0, ())
    assert told == []


def test_a_second_final_answer_is_one_breach_with_the_place() -> None:
    made, told = ledger()
    take(made)
    made.record_rejected("q", MS, "shed")
    made.record_served("q", 2 * MS, 1)
    (breach,) = told
    assert breach.kind is BreachKind.TWICE_CLOSED
    assert breach.as_dict() == {
        "number": 1,
        "kind": "a second final answer",
        "at_ns": 2 * MS,
        "request": "q",
        "class": "fetch",
        "namespace": "public",
        "path": "RESP2 client: served",
    }
    assert only(made)["served"] == 0  # the entry moves once


def test_an_answer_for_nothing_is_one_breach() -> None:
    made, told = ledger()
    made.record_failed("never-asked", MS, "attempts")
    assert [breach.kind for breach in told] == [BreachKind.NEVER_TAKEN]


def test_a_request_taken_twice_is_one_breach() -> None:
    made, told = ledger()
    take(made)
    take(made)
    assert [breach.kind for breach in told] == [BreachKind.TWICE_TAKEN]
    assert only(made)["taken"] == 1


def test_an_entry_that_is_never_closed_is_one_breach_however_often_it_is_looked_at() -> None:
    made, told = ledger()
    take(made)
    made.audit(1050 * MS, 50 * MS, {"q"})
    assert told == []
    for _ in range(3):
        made.audit(1051 * MS, 50 * MS, {"q"})
    assert [(breach.kind, breach.path) for breach in told] == [
        (BreachKind.NEVER_CLOSED, "RESP2 client: overdue")
    ]


def test_a_request_that_its_owner_has_forgotten_shows_at_once() -> None:
    made, told = ledger()
    take(made)
    made.audit(MS, 50 * MS, ())
    assert [(breach.kind, breach.path) for breach in told] == [
        (BreachKind.NEVER_CLOSED, "RESP2 client: forgotten")
    ]


def test_a_request_that_is_open_without_an_entry_shows() -> None:
    made, told = ledger()
    made.audit(MS, 0, {"q"})
    made.audit(MS, 0, {"q"})
    assert [breach.kind for breach in told] == [BreachKind.NOT_OPEN]


def test_a_figure_that_was_changed_behind_the_ledgers_back_does_not_add_up() -> None:
    made, told = ledger()
    take(made)
    made.record_served("q", MS, 1)
    made.accounts["fetch", "public"].served_in_aim += 1
    made.audit(MS, 0, ())
    made.audit(MS, 0, ())
    assert [(b.kind, b.request_class, b.namespace) for b in told] == [
        (BreachKind.NO_BALANCE, "fetch", "public")
    ]


def test_namespaces_that_strangers_invent_go_to_one_account() -> None:
    made, _ = ledger()
    for number in range(1000):
        take(made, f"q{number}", namespace=f"invented-{number}")
    take(made, "none", namespace=None)
    row = only(made)
    assert (row["namespace"], row["taken"]) == (OTHER, 1001)
    assert len(made.accounts) == len(AIMS) * 3


def test_what_is_turned_away_is_taken_and_closed_in_one_move() -> None:
    made, told = ledger()
    made.record_unopened("fetch", "public", MS, 10, "RESP2 client", refused="connections")
    made.record_unopened("fetch", "public", MS, 10, "RESP2 client", failed="duplicate id")
    row = only(made)
    assert (row["taken"], row["refused"], row["failed"], row["open"]) == (2, 1, 1, 0)
    made.audit(MS, 0, ())
    assert told == []


def test_an_attempt_that_ends_after_its_request_still_counts() -> None:
    made, _ = ledger()
    take(made)
    made.record_disconnected("q", MS)
    made.record_attempt("fetch", "public", "ok", to_origin=True)
    made.record_attempt("fetch", "unheard-of", "ok", to_origin=True)
    row = only(made)
    assert (row["attempts"], row["origin_fetches"]) == ({"ok": 1}, 1)


def test_the_attempt_that_brought_the_answer_counts_with_it() -> None:
    made, told = ledger()
    for name, to_origin in (("a", None), ("b", False), ("c", True)):
        take(made, name)
        made.record_served(name, MS, 1, to_origin)
    row = only(made)
    assert (row["served"], row["attempts"], row["origin_fetches"], told) == (3, {"ok": 2}, 1, [])


def test_breaches_are_kept_until_they_are_acknowledged_and_the_list_is_bounded() -> None:
    made, told = ledger()
    for number in range(MAX_PENDING_BREACHES + 10):
        made.record_disconnected(f"nobody-{number}", 0)
    assert len(made.breaches) == MAX_PENDING_BREACHES
    assert made.breach_count == len(told) == MAX_PENDING_BREACHES + 10
    assert made.acknowledge(10) == 10
    assert made.breaches[0].number == 11
    assert made.acknowledge(made.breach_count) == MAX_PENDING_BREACHES - 10
    assert made.breaches == []


def test_what_was_closed_is_remembered_only_so_long() -> None:
    made, told = ledger()
    for number in range(2 * CLOSED_HISTORY):
        take(made, f"q{number}")
        made.record_disconnected(f"q{number}", 0)
    made.record_disconnected("q0", 0)
    made.record_disconnected(f"q{CLOSED_HISTORY}", 0)
    assert [breach.kind for breach in told] == [BreachKind.NEVER_TAKEN, BreachKind.TWICE_CLOSED]


@pytest.mark.parametrize("micros", [0, 1, 15, 16, 17, 31, 32, 33, 100, 999, 12_345, 1_200_000, 10**9])
def test_a_latency_lies_within_its_bucket_which_is_a_sixteenth_wide_at_most(micros: int) -> None:
    least, most = bucket_bounds(bucket(micros * 1000))
    assert least <= micros < most
    assert most - least <= max(1, least / 16)


def test_buckets_follow_one_another_without_a_gap() -> None:
    bounds = [bucket_bounds(number) for number in range(400)]
    assert all(one[1] == two[0] for one, two in pairwise(bounds))
    assert all(bucket(least * 1000) == number for number, (least, _) in enumerate(bounds))


class AnyInterleaving(RuleBasedStateMachine):
    """Moves in any order, legal or not, against a model that keeps a list of what happened."""

    @initialize()
    def begin(self) -> None:
        self.told: list[Breach] = []
        self.ledger = Ledger(AIMS, ("public",), self.told.append)
        self.now = 0
        self.open: dict[str, tuple[str, str]] = {}
        self.ever: set[str] = set()
        self.model: Counter[tuple[tuple[str, str], str]] = Counter()
        self.breaches = 0

    names = strategies.sampled_from([f"q{number}" for number in range(6)])

    @rule(name=names, cls=strategies.sampled_from(list(AIMS)), ns=strategies.sampled_from(["public", "x"]))
    def take(self, name: str, cls: str, ns: str) -> None:
        self.now += MS
        self.ledger.open_request(name, cls, ns, self.now, self.now + 1000 * MS, 1, "test")
        if name in self.open:
            self.breaches += 1
            return
        self.open[name] = (cls, "public" if ns == "public" else OTHER)
        self.ever.add(name)
        self.model[self.open[name], "taken"] += 1

    @rule(name=names, how=strategies.sampled_from(["served", "refused", "failed", "gone"]))
    def close(self, name: str, how: str) -> None:
        self.now += MS
        match how:
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
            self.model[key, how] += 1

    @rule(name=names)
    def attempt(self, name: str) -> None:
        self.ledger.record_attempt("fetch", name, "ok", to_origin=False)

    @invariant()
    def agrees(self) -> None:
        if not hasattr(self, "ledger"):
            return
        self.ledger.audit(self.now, 10**12, self.open)
        assert len(self.told) == self.breaches
        for row in self.ledger.export_rows():
            key = (str(row["class"]), str(row["namespace"]))
            for how in ("taken", "served", "refused", "failed", "gone"):
                assert row[how] == self.model[key, how]
            assert row["open"] == sum(held == key for held in self.open.values())
            assert row["taken"] == sum(row[how] for how in ("served", "refused", "failed", "gone", "open"))


TestAnyInterleaving = AnyInterleaving.TestCase
TestAnyInterleaving.settings = settings(max_examples=80, deadline=None, derandomize=True)
