"""The state machines of the two roles in an upgrade. No I/O, no clock.

The predecessor is the process that already runs, the successor the one that starts beside it. An event
without an entry for the current state is ignored. docs/design/operations.md explains the tables.
"""

from __future__ import annotations

from enum import Enum


class HandoverAction(Enum):
    """An action for the process to perform."""

    SEND_SNAPSHOT = "send the router's state to the successor"
    REJECT = "reject a second successor"
    HALVE_LIMITS = "use half of a router's descriptors and memory"
    STOP_ACCEPTING = "accept no further clients"
    HAND_OVER_CONNECTIONS = "hand over every connection without an open request"
    RESUME_ACCEPTING = "accept clients again"
    USE_FULL_LIMITS = "use all of a router's descriptors and memory"
    CLOSE_IDLE = "close connections without an open request"
    RETRY_CONNECT = "connect to the predecessor again, later"
    IMPORT_SNAPSHOT = "import the predecessor's state"
    BEGIN_SERVING = "accept clients, and announce that to the predecessor"
    OPEN_LISTENER = "wait for a successor"
    CLOSE_LISTENER = "stop waiting for a successor"


class PredecessorState(Enum):
    """The states of the predecessor."""

    ALONE = "alone"
    PAIRED = "paired"
    HANDING_OVER = "handing over"
    SHUTTING_DOWN = "shutting down"


class PredecessorEvent(Enum):
    """The events of the predecessor."""

    SUCCESSOR_CONNECTED = "a successor has connected"
    SUCCESSOR_READY = "the successor serves clients"
    SUCCESSOR_LOST = "the channel to the successor has closed"
    TERMINATE = "SIGTERM"


class SuccessorState(Enum):
    """The states of the successor."""

    CONNECTING = "connecting"
    STARTING = "starting"
    TAKING_OVER = "taking over"
    ALONE = "alone"


class SuccessorEvent(Enum):
    """The events of the successor."""

    NO_PREDECESSOR = "no other process listens"
    REJECTED = "the predecessor has another successor"
    SNAPSHOT_RECEIVED = "the predecessor's state is complete"
    TIMED_OUT = "no complete state came in time"
    SERVERS_KNOWN = "the servers are known"
    PREDECESSOR_LOST = "the channel to the predecessor has closed"


_GO_ON_ALONE = (HandoverAction.USE_FULL_LIMITS, HandoverAction.OPEN_LISTENER)
_HAND_OVER = (HandoverAction.STOP_ACCEPTING, HandoverAction.HAND_OVER_CONNECTIONS)

_PREDECESSOR: dict[
    tuple[PredecessorState, PredecessorEvent], tuple[PredecessorState, tuple[HandoverAction, ...]]
] = {
    (PredecessorState.ALONE, PredecessorEvent.SUCCESSOR_CONNECTED): (
        PredecessorState.PAIRED,
        (HandoverAction.HALVE_LIMITS, HandoverAction.SEND_SNAPSHOT),
    ),
    (PredecessorState.ALONE, PredecessorEvent.TERMINATE): (
        PredecessorState.SHUTTING_DOWN,
        (HandoverAction.CLOSE_LISTENER,),
    ),
    (PredecessorState.PAIRED, PredecessorEvent.SUCCESSOR_CONNECTED): (
        PredecessorState.PAIRED,
        (HandoverAction.REJECT,),
    ),
    (PredecessorState.PAIRED, PredecessorEvent.SUCCESSOR_READY): (PredecessorState.HANDING_OVER, _HAND_OVER),
    (PredecessorState.PAIRED, PredecessorEvent.SUCCESSOR_LOST): (
        PredecessorState.ALONE,
        (HandoverAction.USE_FULL_LIMITS,),
    ),
    (PredecessorState.PAIRED, PredecessorEvent.TERMINATE): (
        PredecessorState.SHUTTING_DOWN,
        (HandoverAction.CLOSE_LISTENER, *_HAND_OVER),
    ),
    (PredecessorState.HANDING_OVER, PredecessorEvent.SUCCESSOR_CONNECTED): (
        PredecessorState.HANDING_OVER,
        (HandoverAction.REJECT,),
    ),
    (PredecessorState.HANDING_OVER, PredecessorEvent.SUCCESSOR_LOST): (
        PredecessorState.ALONE,
        (HandoverAction.USE_FULL_LIMITS, HandoverAction.RESUME_ACCEPTING),
    ),
    (PredecessorState.HANDING_OVER, PredecessorEvent.TERMINATE): (
        PredecessorState.SHUTTING_DOWN,
        (HandoverAction.CLOSE_LISTENER,),
    ),
    (PredecessorState.SHUTTING_DOWN, PredecessorEvent.SUCCESSOR_CONNECTED): (
        PredecessorState.SHUTTING_DOWN,
        (HandoverAction.REJECT,),
    ),
    (PredecessorState.SHUTTING_DOWN, PredecessorEvent.SUCCESSOR_LOST): (
        PredecessorState.SHUTTING_DOWN,
        (HandoverAction.CLOSE_IDLE,),
    ),
}

_SUCCESSOR: dict[tuple[SuccessorState, SuccessorEvent], tuple[SuccessorState, tuple[HandoverAction, ...]]] = {
    (SuccessorState.CONNECTING, SuccessorEvent.NO_PREDECESSOR): (SuccessorState.ALONE, _GO_ON_ALONE),
    (SuccessorState.CONNECTING, SuccessorEvent.REJECTED): (
        SuccessorState.CONNECTING,
        (HandoverAction.RETRY_CONNECT,),
    ),
    (SuccessorState.CONNECTING, SuccessorEvent.SNAPSHOT_RECEIVED): (
        SuccessorState.STARTING,
        (HandoverAction.IMPORT_SNAPSHOT,),
    ),
    (SuccessorState.CONNECTING, SuccessorEvent.TIMED_OUT): (SuccessorState.STARTING, ()),
    (SuccessorState.CONNECTING, SuccessorEvent.PREDECESSOR_LOST): (SuccessorState.ALONE, _GO_ON_ALONE),
    (SuccessorState.STARTING, SuccessorEvent.SERVERS_KNOWN): (
        SuccessorState.TAKING_OVER,
        (HandoverAction.BEGIN_SERVING,),
    ),
    (SuccessorState.STARTING, SuccessorEvent.PREDECESSOR_LOST): (SuccessorState.ALONE, _GO_ON_ALONE),
    (SuccessorState.TAKING_OVER, SuccessorEvent.PREDECESSOR_LOST): (SuccessorState.ALONE, _GO_ON_ALONE),
    # Without a predecessor it serves as soon as the servers are known.
    (SuccessorState.ALONE, SuccessorEvent.SERVERS_KNOWN): (
        SuccessorState.ALONE,
        (HandoverAction.BEGIN_SERVING,),
    ),
}


class PredecessorMachine:
    """The state machine of the predecessor."""

    def __init__(self) -> None:
        self.state = PredecessorState.ALONE

    def handle(self, event: PredecessorEvent) -> tuple[HandoverAction, ...]:
        """Change the state by an event; return the actions, in order."""
        self.state, actions = _PREDECESSOR.get((self.state, event), (self.state, ()))
        return actions


class SuccessorMachine:
    """The state machine of the successor."""

    def __init__(self) -> None:
        self.state = SuccessorState.CONNECTING

    def handle(self, event: SuccessorEvent) -> tuple[HandoverAction, ...]:
        """Change the state by an event; return the actions, in order."""
        self.state, actions = _SUCCESSOR.get((self.state, event), (self.state, ()))
        return actions
