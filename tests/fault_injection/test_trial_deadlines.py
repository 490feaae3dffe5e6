"""The check of deadline propagation in trials with requests, and the defect that it detects."""

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
    """An attempt that is written with 500 ms left."""
    return Event(7, "r0", "advertised", detail="q", amount=timeout_ms, until=7 + LEFT_NS)


@pytest.mark.parametrize("timeout_ms", [0, 1, 499, 500])
def test_timeout_up_to_remaining_time_passes(timeout_ms: int) -> None:
    assert check_all([advertised(timeout_ms)]) == []


def test_timeout_above_remaining_time_or_missing_is_a_violation() -> None:
    (more,) = check_all([advertised(500), advertised(501)])
    assert more.check == "within the client's time"
    assert more.message == "r0: q advertised 501 ms with 500.000 ms left"
    (none,) = check_all([advertised(-1)])
    assert none.message == "r0: q advertised no timeout with 500.000 ms left"


def test_fleet_of_processes_advertises_remaining_time(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:  # its history is checked at the end
        end = time.monotonic() + LIMIT_S
        while sum(event.kind == "advertised" for event in site.history()) < 100:
            assert time.monotonic() < end


def test_processes_advertising_original_client_timeout_are_detected(tmp_path: Path) -> None:
    with fleet(tmp_path, variant="clients-timeout-advertised") as site:
        end = time.monotonic() + LIMIT_S
        while not check_all(site.history()):
            assert time.monotonic() < end
    assert [found.check for found in check_all(site.history())] == ["within the client's time"]
