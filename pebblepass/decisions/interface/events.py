"""The events that a router's host passes to the decisions. All times are nanoseconds."""

from __future__ import annotations

from enum import Enum

from msgspec import Struct

from pebblepass.decisions.interface.policy import FleetPolicy
from pebblepass.decisions.interface.servers import ListKind, Server
from pebblepass.decisions.interface.state import RouterState


class Outcome(Enum):
    """The outcome of an attempt or a health check."""

    OK = "ok"
    MISS = "miss"
    """The cache server does not have the key, or the origin has no such key."""
    ERROR = "error"
    OVERLOADED = "full"
    """Declined for lack of capacity."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    """The connection broke."""
    CANCELLED = "cancelled"
    SUPERSEDED = "moot"
    """It was never sent: it had become unnecessary or could not be sent."""

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the attempt never ran."""
        return self in (Outcome.MISS, Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED)


class CacheNote(Enum):
    """What a cache server states about its answer."""

    HIT = 1
    MISS = 2
    FETCH_SHARED = 3
    """A miss of a key that another request is to fetch."""


class ServersChanged(Struct, frozen=True):
    """A server list, changes to it, or a failure to get one; after a failure the last list stays in force."""

    kind: ListKind
    servers: tuple[Server, ...] = ()


class StateImported(Struct, frozen=True):
    """Another router's state arrived; servers missing from the present list are ignored."""

    state: RouterState


class PolicyChanged(Struct, frozen=True):
    """A version of the policy was decided, or its expiry or the leases were renewed.

    From `expires_at` on (at once if that time is past) the router admits only what the floor allows.
    """

    policy: FleetPolicy
    expires_at: int
    """Clock time."""
    leases: tuple[tuple[str, float], ...] = ()
    """Namespaces, and the fetches a second that this router may admit beyond the floor."""
    leases_until: int = 0
    """Clock time at which the leases expire."""


class RequestArrived(Struct, frozen=True):
    """A client's request arrived; it needs one final answer by `deadline`."""

    request: str
    request_class: str
    deadline: int
    """Clock time."""
    tenant: str | None = None
    key: str | None = None
    write: bool = False
    retry: bool = False
    """Whether the client states that this request repeats an earlier one."""


class BatchArrived(Struct, frozen=True):
    """Reads of one multi-get command arrived; each is a separate request."""

    requests: list[str]
    keys: list[str]
    """One for each request, in the same order."""
    request_class: str
    deadline: int
    """Clock time."""
    tenant: str | None
    command: str


class BatchServed(Struct, frozen=True):
    """First attempts of one SendBatch succeeded, each with its request's final answer.

    They count as one sample of their server. Requests that had another attempt are reported one by one, by
    AttemptEnded.
    """

    requests: list[str]
    server: str
    latency: int
    """The time taken for all keys, divided among them."""


class HedgeDue(Struct, frozen=True):
    """A read's attempt has run for the hedge delay, and the client's budget allows a hedge."""

    request: str


class StreamStarted(Struct, frozen=True):
    """A streamed answer has begun: the client gets this attempt's answer. Needs no decision."""

    request: str
    attempt: int


class AttemptEnded(Struct, frozen=True):
    """One attempt ended."""

    request: str
    attempt: int
    """Its number within the request, from 0."""
    server: str
    outcome: Outcome
    answered: bool
    """Whether the request has its final answer, from this attempt or otherwise."""
    latency: int
    note: CacheNote | None = None
    load_report: tuple[float, ...] | None = None
    connection_failed: bool = False
    """Whether the outcome concerns the connection and not the server: an idle connection broke before the
    first byte of an answer, there was no capacity for another connection, or a connection failed to open for
    the first time since the server was last known to respond."""
    connection_rejected: bool = False
    """Whether the server accepts no more connections, and this router has none to it."""


class ClientDisconnected(Struct, frozen=True):
    """The client disconnected; its request needs no answer."""

    request: str


class TimerFired(Struct, frozen=True):
    """A timer that the router set is due."""

    token: str


class HealthCheckEnded(Struct, frozen=True):
    """A health check ended. Needs no decision, as the decisions request no health checks."""

    server: str
    outcome: Outcome
    latency: int
    load_report: tuple[float, ...] | None = None


class EventLoopLagged(Struct, frozen=True):
    """The router's event loop ran late: an answer may have waited unread for up to `lag`."""

    lag: int


Event = (
    ServersChanged
    | StateImported
    | PolicyChanged
    | RequestArrived
    | BatchArrived
    | BatchServed
    | HedgeDue
    | StreamStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | EventLoopLagged
)
