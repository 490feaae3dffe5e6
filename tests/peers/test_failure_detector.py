"""Who is alive: one missed beat says nothing, a cut one way is told from a death."""

from __future__ import annotations

from pebblepass.peers.failure_detector import FailureDetector, Liveness

BEAT = 100


def test_one_missed_beat_is_no_suspicion_and_silence_is_asked_about_once_in_a_while() -> None:
    detector = FailureDetector(BEAT, 0)
    detector.heartbeat("r1", 0)
    assert detector.state("r1", 2 * BEAT) is Liveness.ALIVE
    assert detector.to_query(["r1"], 3 * BEAT) == []
    assert detector.to_query(["r1"], 3 * BEAT + 1) == ["r1"]
    assert detector.state("r1", 3 * BEAT + 1) is Liveness.SUSPECTED
    assert detector.to_query(["r1"], 4 * BEAT) == []
    assert detector.state("r1", 6 * BEAT) is Liveness.DOWN
    detector.heartbeat("r1", 6 * BEAT)
    assert detector.state("r1", 6 * BEAT) is Liveness.ALIVE
    assert detector.to_query(["r1"], 10 * BEAT) == ["r1"]


def test_a_router_that_another_hears_is_not_down() -> None:
    detector = FailureDetector(BEAT, 0)
    detector.heartbeat("r1", 0)
    assert detector.to_query(["r1"], 5 * BEAT) == ["r1"]
    detector.reported("r1", 50, 6 * BEAT)
    assert detector.state("r1", 6 * BEAT) is Liveness.UNHEARD
    detector.reported("r1", -1, 9 * BEAT)  # another never heard it: that takes nothing back
    assert detector.state("r1", 9 * BEAT) is Liveness.UNHEARD
    assert detector.state("r1", 12 * BEAT) is Liveness.DOWN


def test_one_that_never_came_is_down_in_the_end_and_has_no_age() -> None:
    detector = FailureDetector(BEAT, 0)
    assert detector.to_query(["r9"], BEAT) == []
    assert detector.state("r9", BEAT) is Liveness.SUSPECTED
    assert detector.to_query(["r9"], 4 * BEAT) == ["r9"]
    assert detector.state("r9", 20 * BEAT) is Liveness.DOWN
    assert detector.age("r9", 20 * BEAT) == -1
