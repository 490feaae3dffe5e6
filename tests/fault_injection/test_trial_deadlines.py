"""Deadline propagation in trials that play requests: the check of their histories, and that it catches."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from pebblepass.fault_injection.checkers import check_all
from pebblepass.fault_injection.history import Event
from tests.fault_injection.site import fleet

LIMIT_S = 20
LEFT_NS = 500_000_000


def advertised(timeout_ms: float) -> Event:
    """An attempt that was written with 500 ms left."""
    return Event(7, "r0", "advertised", told="q", amount=timeout_ms, until=7 + LEFT_NS)


@pytest.mark.parametrize("timeout_ms", [0, 1, 499, 500])
def test_what_is_left_may_be_advertised(timeout_ms: int) -> None:
    assert check_all([advertised(timeout_ms)]) == []


def test_more_than_is_left_and_no_timeout_at_all_are_caught() -> None:
    (more,) = check_all([advertised(500), advertised(501)])
    assert more.check == "within the client's time"
    assert more.line == "r0: q advertised 501 ms with 500.000 ms left"
    (none,) = check_all([advertised(-1)])
    assert none.line == "r0: q advertised no timeout with 500.000 ms left"


def test_a_fleet_of_processes_advertises_what_its_clients_have_left(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:  # its history is checked at the end
        end = time.monotonic() + LIMIT_S
        while sum(event.what == "advertised" for event in site.history()) < 100:
            assert time.monotonic() < end


def test_processes_that_advertise_their_clients_timeout_are_caught_by_their_history(tmp_path: Path) -> None:
    with fleet(tmp_path, variant="clients-timeout-advertised") as site:
        end = time.monotonic() + LIMIT_S
        while not check_all(site.history()):
            assert time.monotonic() < end
    assert [found.check for found in check_all(site.history())] == ["within the client's time"]
