"""The order of evictions: idle connections first, a slow sender late, one that awaits a reply never."""

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
    ("connections", "evicted"),
    [
        ([("idle", IDLE, IDLE_GRACE_S), ("stopped", PARTIAL_COMMAND, 2.0)], "idle"),
        ([("idle", IDLE, 1.0), ("idle for longer", IDLE, 2.0)], "idle for longer"),
        ([("just served", IDLE, 0.01), ("stopped", PARTIAL_COMMAND, PARTIAL_COMMAND_GRACE_S)], "stopped"),
        (
            [("just served", IDLE, 0.01), ("sending", PARTIAL_COMMAND, PARTIAL_COMMAND_GRACE_S / 2)],
            "just served",
        ),
        ([("just served", IDLE, 0.0), ("new and silent", NEW, 1.0)], "just served"),
        (
            [("sending", PARTIAL_COMMAND, 0.1), ("new and silent", NEW, NEW_CONNECTION_GRACE_S)],
            "new and silent",
        ),
        ([("sending", PARTIAL_COMMAND, 0.1), ("just accepted", NEW, NEW_CONNECTION_GRACE_S / 2)], None),
        ([("awaits reply", REPLY_PENDING, 9.0)], None),
        ([], None),
    ],
)
def test_evicted_connection_by_activity_and_inactivity(
    connections: list[tuple[str, Activity, float]], evicted: str | None
) -> None:
    assert choose_eviction(connections) == evicted
    assert choose_eviction(reversed(connections)) == evicted


@given(strategies.lists(strategies.tuples(strategies.sampled_from(Activity), strategies.floats(0, 5))))
def test_connections_that_await_a_reply_or_were_just_active_are_not_evicted(
    connections: list[tuple[Activity, float]],
) -> None:
    evicted = choose_eviction((number, *connection) for number, connection in enumerate(connections))
    if evicted is None:
        assert not any(
            activity is IDLE
            or (activity is PARTIAL_COMMAND and inactive_s >= PARTIAL_COMMAND_GRACE_S)
            or (activity is NEW and inactive_s >= NEW_CONNECTION_GRACE_S)
            for activity, inactive_s in connections
        )
        return
    activity, inactive_s = connections[evicted]
    assert activity is not REPLY_PENDING
    assert inactive_s == max(other_s for other_activity, other_s in connections if other_activity is activity)
    assert inactive_s >= {PARTIAL_COMMAND: PARTIAL_COMMAND_GRACE_S, NEW: NEW_CONNECTION_GRACE_S}.get(
        activity, 0.0
    )
