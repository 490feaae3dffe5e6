"""The public interface of the decisions: settings, events, actions and state. Nothing is decided here.

All times are whole nanoseconds on the caller's own monotonic clock.
"""

from __future__ import annotations

from pebblepass.decisions.interface.actions import (
    Action,
    Fail,
    HealthCheck,
    Reason,
    Reject,
    Send,
    SendBatch,
    SetTimer,
    Subscribe,
)
from pebblepass.decisions.interface.events import (
    AttemptEnded,
    BatchArrived,
    BatchServed,
    CacheNote,
    ClientDisconnected,
    Event,
    EventLoopLagged,
    HealthCheckEnded,
    HedgeDue,
    Outcome,
    PolicyChanged,
    RequestArrived,
    ServersChanged,
    StateImported,
    StreamStarted,
    TimerFired,
)
from pebblepass.decisions.interface.policy import FleetPolicy, NamespaceLimits
from pebblepass.decisions.interface.servers import ListKind, Server, ServerState
from pebblepass.decisions.interface.settings import (
    NS_PER_S,
    DedupScope,
    Effect,
    RequestClass,
    Settings,
    Tenant,
)
from pebblepass.decisions.interface.state import LimitState, OriginHealth, RouterState, ServerHealth

__all__ = [
    "NS_PER_S",
    "Action",
    "AttemptEnded",
    "BatchArrived",
    "BatchServed",
    "CacheNote",
    "ClientDisconnected",
    "DedupScope",
    "Effect",
    "Event",
    "EventLoopLagged",
    "Fail",
    "FleetPolicy",
    "HealthCheck",
    "HealthCheckEnded",
    "HedgeDue",
    "LimitState",
    "ListKind",
    "NamespaceLimits",
    "OriginHealth",
    "Outcome",
    "PolicyChanged",
    "Reason",
    "Reject",
    "RequestArrived",
    "RequestClass",
    "RouterState",
    "Send",
    "SendBatch",
    "Server",
    "ServerHealth",
    "ServerState",
    "ServersChanged",
    "SetTimer",
    "Settings",
    "StateImported",
    "StreamStarted",
    "Subscribe",
    "Tenant",
    "TimerFired",
]
