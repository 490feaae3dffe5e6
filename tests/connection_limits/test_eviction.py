"""The order of evictions: silent and idle connections first, a client that goes on or waits never."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from pebblepass.connection_limits.eviction import (
    IDLE_GRACE_S,
    NEW_CONNECTION_GRACE_S,
    PARTIAL_COMMAND_GRACE_S,
    SILENT_CONNECTION_S,
    Activity,
    choose_eviction,
)

IDLE, RECURRING, PARTIAL_COMMAND, NEW, REPLY_PENDING = (
    Activity.IDLE,
    Activity.RECURRING,
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
        ([("just served", IDLE, 0.0), ("new and silent", NEW, 1.0)], "new and silent"),
        ([("just served", IDLE, 0.0), ("new", NEW, NEW_CONNECTION_GRACE_S)], "new"),
        ([("just served", IDLE, 0.0), ("just accepted", NEW, NEW_CONNECTION_GRACE_S / 2)], "just served"),
        ([("idle", IDLE, 2.0), ("new and silent", NEW, SILENT_CONNECTION_S)], "new and silent"),
        ([("idle", IDLE, IDLE_GRACE_S), ("new", NEW, SILENT_CONNECTION_S / 2)], "idle"),
        ([("goes on", RECURRING, IDLE_GRACE_S / 2), ("just accepted", NEW, 0.0)], None),
        ([("goes on", RECURRING, IDLE_GRACE_S / 2), ("just served", IDLE, 0.0)], "just served"),
        ([("rests", RECURRING, IDLE_GRACE_S), ("idle", IDLE, IDLE_GRACE_S)], "idle"),
        ([("rests", RECURRING, IDLE_GRACE_S), ("stopped", PARTIAL_COMMAND, 2.0)], "rests"),
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
            or (activity is RECURRING and inactive_s >= IDLE_GRACE_S)
            or (activity is PARTIAL_COMMAND and inactive_s >= PARTIAL_COMMAND_GRACE_S)
            or (activity is NEW and inactive_s >= NEW_CONNECTION_GRACE_S)
            for activity, inactive_s in connections
        )
        return
    activity, inactive_s = connections[evicted]
    assert activity is not REPLY_PENDING
    assert inactive_s == max(other_s for other_activity, other_s in connections if other_activity is activity)
    grace_s = {
        RECURRING: IDLE_GRACE_S,
        PARTIAL_COMMAND: PARTIAL_COMMAND_GRACE_S,
        NEW: NEW_CONNECTION_GRACE_S,
    }
    assert inactive_s >= grace_s.get(activity, 0.0)
