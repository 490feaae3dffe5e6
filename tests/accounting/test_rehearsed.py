"""The routers' own figures against the kit's count, and hosts that lose count on purpose."""

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

LEAVING = Scenario(
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
    report = rehearse(make_plan(LEAVING, seed))
    assert verdict(report) == []
    assert report["figures"] == {"compared": ["r0", "r1"], "differences": []}
    assert sum(tally["gone"] for tally in report["routers"].values()) > 30
    assert sum(tally["served"] for tally in report["routers"].values()) > 30


@pytest.mark.parametrize("seed", range(20))
def test_clients_killed_at_random_under_load_and_the_figures_are_the_kits(seed: int) -> None:
    check(seed)


@pytest.mark.long
@pytest.mark.parametrize("seed", range(20, 1020))
def test_a_thousand_more_seeds(seed: int) -> None:
    check(seed)


def test_a_killed_routers_figures_are_not_known_and_not_taken_for_zero() -> None:
    scenario = msgspec.structs.replace(LEAVING, faults=(Fault(kind="router-kill", at_s=2, place=0),))
    report = rehearse(make_plan(scenario, 1))
    assert verdict(report) == []
    assert report["figures"] == {"compared": ["r1"], "differences": []}


def test_figures_that_differ_fail_the_rehearsal(monkeypatch: pytest.MonkeyPatch) -> None:
    record_rejected = Ledger.record_rejected

    def mistaken(self: Ledger, request: str, now: int, reason: str) -> None:
        if reason == "limit":
            self.record_failed(request, now, reason)
        else:
            record_rejected(self, request, now, reason)

    monkeypatch.setattr(Ledger, "record_rejected", mistaken)
    lines = verdict(rehearse(make_plan(LEAVING, 1)))
    assert lines
    assert all(line.startswith("figures differ: r") for line in lines)
    assert any("refused" in line and "failed" in line for line in lines)


# Hosts that lose count, once each: exactly one breach.


class AnswersTwice(RouterHost):
    """Gives the first refusal twice."""

    done = False

    def _answer(self, request_id: str, data: bytes, refused: str = "", failed: str = "") -> None:
        super()._answer(request_id, data, refused, failed)
        if not self.done and self.ledger is not None:
            self.done = True
            self.ledger.record_rejected(request_id, self.now(), refused)


class Forgets(RouterHost):
    """Drops the first request that it should refuse, without an answer."""

    done = False

    def _answer(self, request_id: str, data: bytes, refused: str = "", failed: str = "") -> None:
        if not self.done:
            self.done = True
            del self._requests[request_id]
            return
        super()._answer(request_id, data, refused, failed)


class WrongAccount(RouterHost):
    """Books the first answered read as one whose client has left."""

    done = False

    def forget_if_settled(self, request: OpenRequest) -> None:
        if not self.done and request.closed and self.ledger is not None and not request.accounted:
            self.done = True
            self.ledger.record_disconnected(request.id, self.now())
        super().forget_if_settled(request)


class NeverTakes(RouterHost):
    """Serves one request that it has not entered."""

    done = False

    def client_disconnected(self, reply: Any) -> None:
        if not self.done and self.ledger is not None:
            self.done = True
            self.ledger.record_served("nothing", self.now(), 1)
        super().client_disconnected(reply)


@pytest.mark.parametrize(
    ("host", "kind"),
    [
        (AnswersTwice, BreachKind.TWICE_CLOSED),
        (Forgets, BreachKind.NEVER_CLOSED),
        (WrongAccount, BreachKind.TWICE_CLOSED),
        (NeverTakes, BreachKind.NEVER_TAKEN),
    ],
)
def test_a_host_that_loses_count_once_is_exactly_one_breach(
    monkeypatch: pytest.MonkeyPatch, host: type[RouterHost], kind: BreachKind
) -> None:
    made: list[Ledger] = []
    make_ledger = service.make_ledger

    def kept(*words: Any) -> Ledger:
        made.append(make_ledger(*words))
        return made[-1]

    class Broken(Daemon):
        host_class = host

    monkeypatch.setattr(service, "make_ledger", kept)
    scenario = msgspec.structs.replace(LEAVING, fleet=Fleet(routers=1, nodes=6), faults=LEAVING.faults[:1])
    report = rehearse(make_plan(scenario, 3), make=Broken)
    breaches: list[Breach] = [breach for ledger in made for breach in ledger.breaches]
    assert [breach.kind for breach in breaches] == [kind]
    assert any(line.startswith("crashed: r0: breach") for line in verdict(report))


def test_the_ledger_knows_attempts_and_where_they_went() -> None:
    held: list[tuple[str, bool]] = []
    attempt = Ledger.record_attempt

    def noted(self: Ledger, cls: str, namespace: str | None, outcome: str, to_origin: bool) -> None:
        held.append((outcome, to_origin))
        attempt(self, cls, namespace, outcome, to_origin)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(Ledger, "record_attempt", noted)
        report = rehearse(make_plan(LEAVING, 3))
    assert verdict(report) == []
    assert ("miss", False) in held
    assert ("ok", True) in held
    assert sum(outcome == "ok" and to_origin for outcome, to_origin in held) <= report["attempts"]["store"]
