"""The failure detector: a missed heartbeat is ignored, and a broken link is told from a dead router."""

from __future__ import annotations

from pebblepass.peers.failure_detector import FailureDetector, Liveness

INTERVAL = 100


def test_router_is_suspected_only_after_three_missed_heartbeats() -> None:
    detector = FailureDetector(INTERVAL, 0)
    detector.heartbeat("r1", 0)
    assert detector.state("r1", 2 * INTERVAL) is Liveness.ALIVE
    assert detector.to_query(["r1"], 3 * INTERVAL) == []
    assert detector.to_query(["r1"], 3 * INTERVAL + 1) == ["r1"]
    assert detector.state("r1", 3 * INTERVAL + 1) is Liveness.SUSPECTED
    assert detector.to_query(["r1"], 4 * INTERVAL) == []
    assert detector.state("r1", 6 * INTERVAL) is Liveness.DOWN
    detector.heartbeat("r1", 6 * INTERVAL)
    assert detector.state("r1", 6 * INTERVAL) is Liveness.ALIVE
    assert detector.to_query(["r1"], 10 * INTERVAL) == ["r1"]


def test_router_with_heartbeat_elsewhere_is_unheard_not_down() -> None:
    detector = FailureDetector(INTERVAL, 0)
    detector.heartbeat("r1", 0)
    assert detector.to_query(["r1"], 5 * INTERVAL) == ["r1"]
    detector.reported("r1", 50, 6 * INTERVAL)
    assert detector.state("r1", 6 * INTERVAL) is Liveness.UNHEARD
    detector.reported("r1", -1, 9 * INTERVAL)  # a report of no heartbeat does not cancel an earlier report
    assert detector.state("r1", 9 * INTERVAL) is Liveness.UNHEARD
    assert detector.state("r1", 12 * INTERVAL) is Liveness.DOWN


def test_router_never_seen_becomes_down_and_has_no_age() -> None:
    detector = FailureDetector(INTERVAL, 0)
    assert detector.to_query(["r9"], INTERVAL) == []
    assert detector.state("r9", INTERVAL) is Liveness.SUSPECTED
    assert detector.to_query(["r9"], 4 * INTERVAL) == ["r9"]
    assert detector.state("r9", 20 * INTERVAL) is Liveness.DOWN
    assert detector.age("r9", 20 * INTERVAL) == -1
