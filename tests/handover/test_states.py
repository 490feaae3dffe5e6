"""Every edge of the two tables in docs/design/operations.md, and how descriptors are split."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from pebblepass.handover.descriptor_split import DescriptorSplit
from pebblepass.handover.states import (
    HandoverAction,
    PredecessorEvent,
    PredecessorMachine,
    PredecessorState,
    SuccessorEvent,
    SuccessorMachine,
    SuccessorState,
)

PREDECESSOR_EDGES = {
    (PredecessorState.ALONE, PredecessorEvent.SUCCESSOR_CONNECTED): (
        PredecessorState.PAIRED,
        [HandoverAction.HALVE_LIMITS, HandoverAction.SEND_SNAPSHOT],
    ),
    (PredecessorState.ALONE, PredecessorEvent.SUCCESSOR_READY): (PredecessorState.ALONE, []),
    (PredecessorState.ALONE, PredecessorEvent.SUCCESSOR_LOST): (PredecessorState.ALONE, []),
    (PredecessorState.ALONE, PredecessorEvent.TERMINATE): (
        PredecessorState.SHUTTING_DOWN,
        [HandoverAction.CLOSE_LISTENER],
    ),
    (PredecessorState.PAIRED, PredecessorEvent.SUCCESSOR_CONNECTED): (
        PredecessorState.PAIRED,
        [HandoverAction.REJECT],
    ),
    (PredecessorState.PAIRED, PredecessorEvent.SUCCESSOR_READY): (
        PredecessorState.HANDING_OVER,
        [HandoverAction.STOP_ACCEPTING, HandoverAction.HAND_OVER_CONNECTIONS],
    ),
    (PredecessorState.PAIRED, PredecessorEvent.SUCCESSOR_LOST): (
        PredecessorState.ALONE,
        [HandoverAction.USE_FULL_LIMITS],
    ),
    (PredecessorState.PAIRED, PredecessorEvent.TERMINATE): (
        PredecessorState.SHUTTING_DOWN,
        [HandoverAction.CLOSE_LISTENER, HandoverAction.STOP_ACCEPTING, HandoverAction.HAND_OVER_CONNECTIONS],
    ),
    (PredecessorState.HANDING_OVER, PredecessorEvent.SUCCESSOR_CONNECTED): (
        PredecessorState.HANDING_OVER,
        [HandoverAction.REJECT],
    ),
    (PredecessorState.HANDING_OVER, PredecessorEvent.SUCCESSOR_READY): (PredecessorState.HANDING_OVER, []),
    (PredecessorState.HANDING_OVER, PredecessorEvent.SUCCESSOR_LOST): (
        PredecessorState.ALONE,
        [HandoverAction.USE_FULL_LIMITS, HandoverAction.RESUME_ACCEPTING],
    ),
    (PredecessorState.HANDING_OVER, PredecessorEvent.TERMINATE): (
        PredecessorState.SHUTTING_DOWN,
        [HandoverAction.CLOSE_LISTENER],
    ),
    (PredecessorState.SHUTTING_DOWN, PredecessorEvent.SUCCESSOR_CONNECTED): (
        PredecessorState.SHUTTING_DOWN,
        [HandoverAction.REJECT],
    ),
    (PredecessorState.SHUTTING_DOWN, PredecessorEvent.SUCCESSOR_READY): (PredecessorState.SHUTTING_DOWN, []),
    (PredecessorState.SHUTTING_DOWN, PredecessorEvent.SUCCESSOR_LOST): (
        PredecessorState.SHUTTING_DOWN,
        [HandoverAction.CLOSE_IDLE],
    ),
    (PredecessorState.SHUTTING_DOWN, PredecessorEvent.TERMINATE): (PredecessorState.SHUTTING_DOWN, []),
}
GO_ON_ALONE = [HandoverAction.USE_FULL_LIMITS, HandoverAction.OPEN_LISTENER]
SUCCESSOR_EDGES = {
    (SuccessorState.CONNECTING, SuccessorEvent.NO_PREDECESSOR): (SuccessorState.ALONE, GO_ON_ALONE),
    (SuccessorState.CONNECTING, SuccessorEvent.REJECTED): (
        SuccessorState.CONNECTING,
        [HandoverAction.RETRY_CONNECT],
    ),
    (SuccessorState.CONNECTING, SuccessorEvent.SNAPSHOT_RECEIVED): (
        SuccessorState.STARTING,
        [HandoverAction.IMPORT_SNAPSHOT],
    ),
    (SuccessorState.CONNECTING, SuccessorEvent.TIMED_OUT): (SuccessorState.STARTING, []),
    (SuccessorState.CONNECTING, SuccessorEvent.PREDECESSOR_LOST): (SuccessorState.ALONE, GO_ON_ALONE),
    (SuccessorState.STARTING, SuccessorEvent.SERVERS_KNOWN): (
        SuccessorState.TAKING_OVER,
        [HandoverAction.BEGIN_SERVING],
    ),
    (SuccessorState.STARTING, SuccessorEvent.PREDECESSOR_LOST): (SuccessorState.ALONE, GO_ON_ALONE),
    (SuccessorState.TAKING_OVER, SuccessorEvent.PREDECESSOR_LOST): (SuccessorState.ALONE, GO_ON_ALONE),
    (SuccessorState.ALONE, SuccessorEvent.SERVERS_KNOWN): (
        SuccessorState.ALONE,
        [HandoverAction.BEGIN_SERVING],
    ),
}


@pytest.mark.parametrize("state", PredecessorState)
@pytest.mark.parametrize("event", PredecessorEvent)
def test_each_edge_of_the_predecessor(state: PredecessorState, event: PredecessorEvent) -> None:
    process = PredecessorMachine()
    process.state = state
    actions = process.handle(event)
    assert (process.state, list(actions)) == PREDECESSOR_EDGES[state, event]


@pytest.mark.parametrize("state", SuccessorState)
@pytest.mark.parametrize("event", SuccessorEvent)
def test_each_edge_of_the_successor(state: SuccessorState, event: SuccessorEvent) -> None:
    process = SuccessorMachine()
    process.state = state
    actions = process.handle(event)
    assert (process.state, list(actions)) == SUCCESSOR_EDGES.get((state, event), (state, []))


@given(strategies.lists(strategies.sampled_from(PredecessorEvent)))
def test_whoever_has_not_been_told_to_end_serves_when_nobody_is_left_beside_it(
    events: list[PredecessorEvent],
) -> None:
    process, accepts = PredecessorMachine(), True
    for event in events:
        for action in process.handle(event):
            accepts = {HandoverAction.STOP_ACCEPTING: False, HandoverAction.RESUME_ACCEPTING: True}.get(
                action, accepts
            )
        if process.state is PredecessorState.ALONE:
            assert accepts
    if PredecessorEvent.TERMINATE not in events:
        process.handle(PredecessorEvent.SUCCESSOR_LOST)
        assert process.state is PredecessorState.ALONE


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
    split = DescriptorSplit(clients, servers, own)
    held = min(held_clients, split.shared[0]), min(held_servers, split.shared[1])
    left = split.remaining(*held)
    assert held[0] + left[0] == split.shared[0] <= max(clients, 1)
    assert held[1] + left[1] == split.shared[1] <= max(servers, 1)
    if clients > own and servers > own:
        assert sum(split.shared) + own <= clients + servers + 1
