"""Who makes room: those that only stay first, a slow writer last, one that is owed an answer never."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from pebblepass.connection_limits.eviction import (
    IDLE_GRACE_S,
    NEW_CONNECTION_GRACE_S,
    PARTIAL_COMMAND_GRACE_S,
    Activity,
    choose_eviction,
)

IDLE, PARTIAL_COMMAND, NEW, REPLY_PENDING = (
    Activity.IDLE,
    Activity.PARTIAL_COMMAND,
    Activity.NEW,
    Activity.REPLY_PENDING,
)


@pytest.mark.parametrize(
    ("held", "goes"),
    [
        ([("stays", IDLE, IDLE_GRACE_S), ("stopped", PARTIAL_COMMAND, 2.0)], "stays"),
        ([("stays", IDLE, 1.0), ("longer", IDLE, 2.0)], "longer"),
        ([("just served", IDLE, 0.01), ("stopped", PARTIAL_COMMAND, PARTIAL_COMMAND_GRACE_S)], "stopped"),
        (
            [("just served", IDLE, 0.01), ("writes", PARTIAL_COMMAND, PARTIAL_COMMAND_GRACE_S / 2)],
            "just served",
        ),
        ([("just served", IDLE, 0.0), ("says nothing", NEW, 1.0)], "just served"),
        ([("writes", PARTIAL_COMMAND, 0.1), ("says nothing", NEW, NEW_CONNECTION_GRACE_S)], "says nothing"),
        ([("writes", PARTIAL_COMMAND, 0.1), ("has just come", NEW, NEW_CONNECTION_GRACE_S / 2)], None),
        ([("asks", REPLY_PENDING, 9.0)], None),
        ([], None),
    ],
)
def test_who_goes(held: list[tuple[str, Activity, float]], goes: str | None) -> None:
    assert choose_eviction(held) == goes
    assert choose_eviction(reversed(held)) == goes


@given(strategies.lists(strategies.tuples(strategies.sampled_from(Activity), strategies.floats(0, 5))))
def test_nobody_that_is_owed_an_answer_or_is_about_to_ask_ever_goes(
    held: list[tuple[Activity, float]],
) -> None:
    gone = choose_eviction((number, *each) for number, each in enumerate(held))
    if gone is None:
        assert not any(
            activity is IDLE
            or (activity is PARTIAL_COMMAND and seconds >= PARTIAL_COMMAND_GRACE_S)
            or (activity is NEW and seconds >= NEW_CONNECTION_GRACE_S)
            for activity, seconds in held
        )
        return
    activity, seconds = held[gone]
    assert activity is not REPLY_PENDING
    assert seconds == max(other for kind, other in held if kind is activity)
    assert seconds >= {PARTIAL_COMMAND: PARTIAL_COMMAND_GRACE_S, NEW: NEW_CONNECTION_GRACE_S}.get(
        activity, 0.0
    )
