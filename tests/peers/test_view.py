"""Who is alive: one missed beat says nothing, a cut one way is told from a death."""

from __future__ import annotations

from pebblepass.peers.view import Liveness, View

BEAT = 100


def test_one_missed_beat_is_no_suspicion_and_silence_is_asked_about_once_in_a_while() -> None:
    view = View(BEAT, 0)
    view.heard("r1", 0)
    assert view.state("r1", 2 * BEAT) is Liveness.ALIVE
    assert view.suspects(["r1"], 3 * BEAT) == []
    assert view.suspects(["r1"], 3 * BEAT + 1) == ["r1"]
    assert view.state("r1", 3 * BEAT + 1) is Liveness.SUSPECTED
    assert view.suspects(["r1"], 4 * BEAT) == []
    assert view.state("r1", 6 * BEAT) is Liveness.DOWN
    view.heard("r1", 6 * BEAT)
    assert view.state("r1", 6 * BEAT) is Liveness.ALIVE
    assert view.suspects(["r1"], 10 * BEAT) == ["r1"]


def test_a_router_that_another_hears_is_not_down() -> None:
    view = View(BEAT, 0)
    view.heard("r1", 0)
    assert view.suspects(["r1"], 5 * BEAT) == ["r1"]
    view.told("r1", 50, 6 * BEAT)
    assert view.state("r1", 6 * BEAT) is Liveness.UNHEARD
    view.told("r1", -1, 9 * BEAT)  # another never heard it: that takes nothing back
    assert view.state("r1", 9 * BEAT) is Liveness.UNHEARD
    assert view.state("r1", 12 * BEAT) is Liveness.DOWN


def test_one_that_never_came_is_down_in_the_end_and_has_no_age() -> None:
    view = View(BEAT, 0)
    assert view.suspects(["r9"], BEAT) == []
    assert view.state("r9", BEAT) is Liveness.SUSPECTED
    assert view.suspects(["r9"], 4 * BEAT) == ["r9"]
    assert view.state("r9", 20 * BEAT) is Liveness.DOWN
    assert view.age("r9", 20 * BEAT) == -1
