"""Simulated routers: accounts against the simulator's counts, and hosts that miscount on purpose."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from pebblepass.accounting import service
from pebblepass.accounting.ledger import Breach, BreachKind, Ledger
from pebblepass.daemon.attempts import OpenRequest
from pebblepass.daemon.daemon import Daemon
from pebblepass.daemon.router import RouterHost
from pebblepass.simulation.plan import make_plan
from pebblepass.simulation.report import verdict
from pebblepass.simulation.runner import rehearse
from pebblepass.simulation.scenario import Disturbance, Fault, Fleet, Range, Scenario, Traffic

CLIENTS_LEAVING = Scenario(
    title="clients killed at random",
    length_s=5,
    fleet=Fleet(routers=2, nodes=6),
    traffic=Traffic(rate=80, swing=0, value_bytes=Range(500, 90_000)),
    disturbances=(
        Disturbance(kind="burst", at_s=1, for_s=3, share=Range(0.5, 0.5)),
        Disturbance(kind="one-time", at_s=2, for_s=2, share=Range(0.2, 0.2)),
    ),
    faults=(
        Fault(kind="clients-leave", at_s=0, for_s=5, share=0.6),
        Fault(kind="router-reload", at_s=1.5, place=0),
        Fault(kind="node-half", at_s=1, for_s=3, share=0.3, place=1),
        Fault(kind="node-reset", at_s=1, for_s=3, share=0.3, place=2),
        Fault(kind="router-term", at_s=3, place=1),
    ),
)


def check(seed: int) -> None:
    report = rehearse(make_plan(CLIENTS_LEAVING, seed))
    assert verdict(report) == []
    assert report["figures"] == {"compared": ["r0", "r1"], "differences": []}
    assert sum(tally["gone"] for tally in report["routers"].values()) > 30
    assert sum(tally["served"] for tally in report["routers"].values()) > 30


@pytest.mark.parametrize("seed", range(20))
def test_accounts_match_the_simulator_when_clients_leave_under_load(seed: int) -> None:
    check(seed)


@pytest.mark.long
@pytest.mark.parametrize("seed", range(20, 1020))
def test_accounts_match_the_simulator_for_a_thousand_more_seeds(seed: int) -> None:
    check(seed)


def test_accounts_of_a_killed_router_are_not_compared() -> None:
    scenario = msgspec.structs.replace(CLIENTS_LEAVING, faults=(Fault(kind="router-kill", at_s=2, place=0),))
    report = rehearse(make_plan(scenario, 1))
    assert verdict(report) == []
    assert report["figures"] == {"compared": ["r1"], "differences": []}


def test_differing_accounts_fail_the_rehearsal(monkeypatch: pytest.MonkeyPatch) -> None:
    record_rejected = Ledger.record_rejected

    def count_limit_as_failed(self: Ledger, request: str, now: int, reason: str) -> None:
        if reason == "limit":
            self.record_failed(request, now, reason)
        else:
            record_rejected(self, request, now, reason)

    monkeypatch.setattr(Ledger, "record_rejected", count_limit_as_failed)
    lines = verdict(rehearse(make_plan(CLIENTS_LEAVING, 1)))
    assert lines
    assert all(line.startswith("figures differ: r") for line in lines)
    assert any("refused" in line and "failed" in line for line in lines)


# Each host miscounts one request, which must be exactly one breach.


class RecordsRejectionTwice(RouterHost):
    """Records the first rejection twice."""

    has_failed = False

    def _answer(self, request_id: str, data: bytes, refused: str = "", failed: str = "") -> None:
        super()._answer(request_id, data, refused, failed)
        if not self.has_failed and self.ledger is not None:
            self.has_failed = True
            self.ledger.record_rejected(request_id, self.now(), refused)


class ForgetsRequest(RouterHost):
    """Drops the first request that it should reject, without an answer."""

    has_failed = False

    def _answer(self, request_id: str, data: bytes, refused: str = "", failed: str = "") -> None:
        if not self.has_failed:
            self.has_failed = True
            del self._requests[request_id]
            return
        super()._answer(request_id, data, refused, failed)


class RecordsWrongResult(RouterHost):
    """Records the first answered read as one whose client has disconnected."""

    has_failed = False

    def forget_if_settled(self, request: OpenRequest) -> None:
        if not self.has_failed and request.closed and self.ledger is not None and not request.accounted:
            self.has_failed = True
            self.ledger.record_disconnected(request.id, self.now())
        super().forget_if_settled(request)


class RecordsUnopenedRequest(RouterHost):
    """Records one served request that was never opened."""

    has_failed = False

    def client_disconnected(self, reply: Any) -> None:
        if not self.has_failed and self.ledger is not None:
            self.has_failed = True
            self.ledger.record_served("unopened", self.now(), 1)
        super().client_disconnected(reply)


@pytest.mark.parametrize(
    ("host", "kind"),
    [
        (RecordsRejectionTwice, BreachKind.CLOSED_TWICE),
        (ForgetsRequest, BreachKind.NEVER_CLOSED),
        (RecordsWrongResult, BreachKind.CLOSED_TWICE),
        (RecordsUnopenedRequest, BreachKind.NEVER_OPENED),
    ],
)
def test_one_miscounted_request_is_exactly_one_breach(
    monkeypatch: pytest.MonkeyPatch, host: type[RouterHost], kind: BreachKind
) -> None:
    ledgers: list[Ledger] = []
    make_ledger = service.make_ledger

    def make_kept_ledger(*arguments: Any) -> Ledger:
        ledgers.append(make_ledger(*arguments))
        return ledgers[-1]

    class FaultyDaemon(Daemon):
        host_class = host

    monkeypatch.setattr(service, "make_ledger", make_kept_ledger)
    scenario = msgspec.structs.replace(
        CLIENTS_LEAVING, fleet=Fleet(routers=1, nodes=6), faults=CLIENTS_LEAVING.faults[:1]
    )
    report = rehearse(make_plan(scenario, 3), make=FaultyDaemon)
    breaches: list[Breach] = [breach for ledger in ledgers for breach in ledger.breaches]
    assert [breach.kind for breach in breaches] == [kind]
    assert any(line.startswith("crashed: r0: breach") for line in verdict(report))


def test_ledger_records_attempts_with_outcome_and_destination() -> None:
    attempts: list[tuple[str, bool]] = []
    record_attempt = Ledger.record_attempt

    def recorded(self: Ledger, cls: str, namespace: str | None, outcome: str, to_origin: bool) -> None:
        attempts.append((outcome, to_origin))
        record_attempt(self, cls, namespace, outcome, to_origin)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Ledger, "record_attempt", recorded)
        report = rehearse(make_plan(CLIENTS_LEAVING, 3))
    assert verdict(report) == []
    assert ("miss", False) in attempts
    assert ("ok", True) in attempts
    assert (
        sum(outcome == "ok" and to_origin for outcome, to_origin in attempts) <= report["attempts"]["store"]
    )
