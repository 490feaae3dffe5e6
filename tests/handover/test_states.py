"""Every edge of the two tables in docs/design/operations.md, and how descriptors are shared."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from pebblepass.handover.states import (
    New,
    NewEvent,
    NewProcess,
    Old,
    OldEvent,
    OldProcess,
    Shares,
    Step,
)

OLD_EDGES = {
    (Old.ALONE, OldEvent.HELLO): (Old.PAIRED, [Step.MAKE_ROOM, Step.TELL]),
    (Old.ALONE, OldEvent.READY): (Old.ALONE, []),
    (Old.ALONE, OldEvent.LOST): (Old.ALONE, []),
    (Old.ALONE, OldEvent.TERMINATE): (Old.LEAVING, [Step.CLOSE_DOOR]),
    (Old.PAIRED, OldEvent.HELLO): (Old.PAIRED, [Step.REFUSE]),
    (Old.PAIRED, OldEvent.READY): (Old.YIELDING, [Step.STOP_ACCEPTING, Step.HAND_ON]),
    (Old.PAIRED, OldEvent.LOST): (Old.ALONE, [Step.WHOLE_SHARE]),
    (Old.PAIRED, OldEvent.TERMINATE): (Old.LEAVING, [Step.CLOSE_DOOR, Step.STOP_ACCEPTING, Step.HAND_ON]),
    (Old.YIELDING, OldEvent.HELLO): (Old.YIELDING, [Step.REFUSE]),
    (Old.YIELDING, OldEvent.READY): (Old.YIELDING, []),
    (Old.YIELDING, OldEvent.LOST): (Old.ALONE, [Step.WHOLE_SHARE, Step.ACCEPT_AGAIN]),
    (Old.YIELDING, OldEvent.TERMINATE): (Old.LEAVING, [Step.CLOSE_DOOR]),
    (Old.LEAVING, OldEvent.HELLO): (Old.LEAVING, [Step.REFUSE]),
    (Old.LEAVING, OldEvent.READY): (Old.LEAVING, []),
    (Old.LEAVING, OldEvent.LOST): (Old.LEAVING, [Step.CLOSE_IDLE]),
    (Old.LEAVING, OldEvent.TERMINATE): (Old.LEAVING, []),
}
OPEN = [Step.WHOLE_SHARE, Step.OPEN_DOOR]
NEW_EDGES = {
    (New.SEEKING, NewEvent.NOBODY): (New.ALONE, OPEN),
    (New.SEEKING, NewEvent.REFUSED): (New.SEEKING, [Step.SEEK_AGAIN]),
    (New.SEEKING, NewEvent.TOLD): (New.BEGINNING, [Step.LEARN]),
    (New.SEEKING, NewEvent.TOO_LATE): (New.BEGINNING, []),
    (New.SEEKING, NewEvent.LOST): (New.ALONE, OPEN),
    (New.BEGINNING, NewEvent.READY): (New.SUCCEEDING, [Step.SERVE]),
    (New.BEGINNING, NewEvent.LOST): (New.ALONE, OPEN),
    (New.SUCCEEDING, NewEvent.LOST): (New.ALONE, OPEN),
    (New.ALONE, NewEvent.READY): (New.ALONE, [Step.SERVE]),
}


@pytest.mark.parametrize("state", Old)
@pytest.mark.parametrize("event", OldEvent)
def test_each_edge_of_the_old_process(state: Old, event: OldEvent) -> None:
    process = OldProcess()
    process.state = state
    steps = process.take(event)
    assert (process.state, list(steps)) == OLD_EDGES[state, event]


@pytest.mark.parametrize("state", New)
@pytest.mark.parametrize("event", NewEvent)
def test_each_edge_of_the_new_process(state: New, event: NewEvent) -> None:
    process = NewProcess()
    process.state = state
    steps = process.take(event)
    assert (process.state, list(steps)) == NEW_EDGES.get((state, event), (state, []))


@given(strategies.lists(strategies.sampled_from(OldEvent)))
def test_whoever_has_not_been_told_to_end_serves_when_nobody_is_left_beside_it(
    events: list[OldEvent],
) -> None:
    process, accepts = OldProcess(), True
    for event in events:
        for step in process.take(event):
            accepts = {Step.STOP_ACCEPTING: False, Step.ACCEPT_AGAIN: True}.get(step, accepts)
        if process.state is Old.ALONE:
            assert accepts
    if OldEvent.TERMINATE not in events:
        process.take(OldEvent.LOST)
        assert process.state is Old.ALONE


@given(
    strategies.integers(1, 1000),
    strategies.integers(1, 1000),
    strategies.integers(0, 64),
    strategies.integers(0, 1000),
    strategies.integers(0, 1000),
)
def test_two_processes_hold_no_more_than_one(
    clients: int, servers: int, own: int, held_clients: int, held_servers: int
) -> None:
    shares = Shares(clients, servers, own)
    held = min(held_clients, shares.pair[0]), min(held_servers, shares.pair[1])
    left = shares.left(*held)
    assert held[0] + left[0] == shares.pair[0] <= max(clients, 1)
    assert held[1] + left[1] == shares.pair[1] <= max(servers, 1)
    if clients > own and servers > own:
        assert sum(shares.pair) + own <= clients + servers + 1
