"""Who makes room: those that only stay first, a slow writer last, one that is owed an answer never."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from pebblepass.connection_limits.places import KEPT_S, MIDWAY_S, NEW_S, Standing, choose_eviction

BETWEEN, MIDWAY, NEW, BUSY = Standing.BETWEEN, Standing.MIDWAY, Standing.NEW, Standing.BUSY


@pytest.mark.parametrize(
    ("held", "goes"),
    [
        ([("stays", BETWEEN, KEPT_S), ("stopped", MIDWAY, 2.0)], "stays"),
        ([("stays", BETWEEN, 1.0), ("longer", BETWEEN, 2.0)], "longer"),
        ([("just served", BETWEEN, 0.01), ("stopped", MIDWAY, MIDWAY_S)], "stopped"),
        ([("just served", BETWEEN, 0.01), ("writes", MIDWAY, MIDWAY_S / 2)], "just served"),
        ([("just served", BETWEEN, 0.0), ("says nothing", NEW, 1.0)], "just served"),
        ([("writes", MIDWAY, 0.1), ("says nothing", NEW, NEW_S)], "says nothing"),
        ([("writes", MIDWAY, 0.1), ("has just come", NEW, NEW_S / 2)], None),
        ([("asks", BUSY, 9.0)], None),
        ([], None),
    ],
)
def test_who_goes(held: list[tuple[str, Standing, float]], goes: str | None) -> None:
    assert choose_eviction(held) == goes
    assert choose_eviction(reversed(held)) == goes


@given(strategies.lists(strategies.tuples(strategies.sampled_from(Standing), strategies.floats(0, 5))))
def test_nobody_that_is_owed_an_answer_or_is_about_to_ask_ever_goes(
    held: list[tuple[Standing, float]],
) -> None:
    gone = choose_eviction((number, *each) for number, each in enumerate(held))
    if gone is None:
        assert not any(
            standing is BETWEEN
            or (standing is MIDWAY and seconds >= MIDWAY_S)
            or (standing is NEW and seconds >= NEW_S)
            for standing, seconds in held
        )
        return
    standing, seconds = held[gone]
    assert standing is not BUSY
    assert seconds == max(other for kind, other in held if kind is standing)
    assert seconds >= {MIDWAY: MIDWAY_S, NEW: NEW_S}.get(standing, 0.0)
