"""Covers every transition of the two tables in docs/design/operations.md, and the split of descriptors."""

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

PREDECESSOR_TRANSITIONS = {
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
RUN_ALONE = [HandoverAction.USE_FULL_LIMITS, HandoverAction.OPEN_LISTENER]
SUCCESSOR_TRANSITIONS = {
    (SuccessorState.CONNECTING, SuccessorEvent.NO_PREDECESSOR): (SuccessorState.ALONE, RUN_ALONE),
    (SuccessorState.CONNECTING, SuccessorEvent.REJECTED): (
        SuccessorState.CONNECTING,
        [HandoverAction.RETRY_CONNECT],
    ),
    (SuccessorState.CONNECTING, SuccessorEvent.SNAPSHOT_RECEIVED): (
        SuccessorState.STARTING,
        [HandoverAction.IMPORT_SNAPSHOT],
    ),
    (SuccessorState.CONNECTING, SuccessorEvent.TIMED_OUT): (SuccessorState.STARTING, []),
    (SuccessorState.CONNECTING, SuccessorEvent.PREDECESSOR_LOST): (SuccessorState.ALONE, RUN_ALONE),
    (SuccessorState.STARTING, SuccessorEvent.SERVERS_KNOWN): (
        SuccessorState.TAKING_OVER,
        [HandoverAction.BEGIN_SERVING],
    ),
    (SuccessorState.STARTING, SuccessorEvent.PREDECESSOR_LOST): (SuccessorState.ALONE, RUN_ALONE),
    (SuccessorState.TAKING_OVER, SuccessorEvent.PREDECESSOR_LOST): (SuccessorState.ALONE, RUN_ALONE),
    (SuccessorState.ALONE, SuccessorEvent.SERVERS_KNOWN): (
        SuccessorState.ALONE,
        [HandoverAction.BEGIN_SERVING],
    ),
}


@pytest.mark.parametrize("state", PredecessorState)
@pytest.mark.parametrize("event", PredecessorEvent)
def test_every_transition_of_the_predecessor(state: PredecessorState, event: PredecessorEvent) -> None:
    machine = PredecessorMachine()
    machine.state = state
    actions = machine.handle(event)
    assert (machine.state, list(actions)) == PREDECESSOR_TRANSITIONS[state, event]


@pytest.mark.parametrize("state", SuccessorState)
@pytest.mark.parametrize("event", SuccessorEvent)
def test_every_transition_of_the_successor(state: SuccessorState, event: SuccessorEvent) -> None:
    machine = SuccessorMachine()
    machine.state = state
    actions = machine.handle(event)
    assert (machine.state, list(actions)) == SUCCESSOR_TRANSITIONS.get((state, event), (state, []))


@given(strategies.lists(strategies.sampled_from(PredecessorEvent)))
def test_predecessor_without_successor_accepts_clients(
    events: list[PredecessorEvent],
) -> None:
    machine, is_accepting = PredecessorMachine(), True
    for event in events:
        for action in machine.handle(event):
            is_accepting = {HandoverAction.STOP_ACCEPTING: False, HandoverAction.RESUME_ACCEPTING: True}.get(
                action, is_accepting
            )
        if machine.state is PredecessorState.ALONE:
            assert is_accepting
    if PredecessorEvent.TERMINATE not in events:
        machine.handle(PredecessorEvent.SUCCESSOR_LOST)
        assert machine.state is PredecessorState.ALONE


@given(
    strategies.integers(1, 1000),
    strategies.integers(1, 1000),
    strategies.integers(0, 64),
    strategies.integers(0, 1000),
    strategies.integers(0, 1000),
)
def test_two_processes_use_no_more_descriptors_than_one(
    clients: int, servers: int, overhead: int, client_count: int, server_count: int
) -> None:
    split = DescriptorSplit(clients, servers, overhead)
    used = min(client_count, split.shared[0]), min(server_count, split.shared[1])
    remaining = split.remaining(*used)
    assert used[0] + remaining[0] == split.shared[0] <= max(clients, 1)
    assert used[1] + remaining[1] == split.shared[1] <= max(servers, 1)
    if clients > overhead and servers > overhead:
        assert sum(split.shared) + overhead <= clients + servers + 1
