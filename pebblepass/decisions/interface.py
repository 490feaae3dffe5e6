"""The public interface of the decisions: settings, events and actions. No decisions are made here.

All times are whole nanoseconds on the caller's own monotonic clock.
"""

from __future__ import annotations

from enum import Enum
from math import inf

from msgspec import Struct

NS_PER_S = 1_000_000_000


class Effect(Enum):
    """What repeating a request does: nothing, dropped as a duplicate for a while, or harm."""

    IDEMPOTENT = "safe"
    IDEMPOTENCY_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class DedupScope(Enum):
    """The servers that drop repeats of a keyed request, seen from the one that may have run it."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    MISS = "miss"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    SUPERSEDED = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the attempt never ran."""
        return self in (Outcome.MISS, Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED)


class ListKind(Enum):
    """What a membership event holds."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class ServerState(Enum):
    """The state of a listed server."""

    REMOVED = "gone"
    READY = "ready"
    DRAINING = "draining"


class CacheNote(Enum):
    """A cache's remark on an outcome; FETCH_OUT: a miss whose fetch another request was told to do."""

    HIT = 1
    MISS = 2
    FETCH_SHARED = 3


def _require(ok: bool, key: str, rule: str) -> None:
    if not ok:
        raise ValueError(f"settings: {key} {rule}")


class RequestClass(Struct, frozen=True):
    """A class of requests; an answer within `latency_target` is worth the most."""

    name: str
    latency_target: int
    deadline: int
    effect: Effect = Effect.IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: int = 0
    streamed: bool = False

    def __post_init__(self) -> None:
        _require(bool(self.name), "classes.name", "must not be empty")
        _require(self.latency_target > 0, "classes.aim", "must be above 0")
        _require(self.deadline > 0, "classes.deadline", "must be above 0")
        _require(self.dedup_window >= 0, "classes.dedup_window", "must not be negative")


class Tenant(Struct, frozen=True):
    """A tenant, its portion of the service, and its requests a second over all routers together."""

    name: str
    weight: float
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _require(0 <= self.weight <= 1, "tenants.portion", "must lie between 0 and 1")
        _require(self.quota_per_s >= 0, "tenants.quota_per_s", "must not be negative")


class Settings(Struct, frozen=True):
    """What a router is told at its start."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    routers: int = 1
    origin_kind: str | None = None
    """The machine kind of the origin's list entries; None: the caches fetch for themselves."""
    weighted: bool = False
    """Whether list weights state the servers' sizes."""
    must_subscribe: bool = False
    """Whether the server list has to be asked for."""
    subscribe_within: int = 10 * NS_PER_S
    cold_capacity: float = 1.0
    warm_up_time: int = 0
    overload_multiple: float = inf
    """Sent more than so many times what it can do, a cold server falls over."""
    max_attempts: int = 4
    retry_after: bool = False
    max_retry_after: int = NS_PER_S
    may_health_check: bool = False
    load_fields: tuple[str, ...] = ()
    """The names of the values in a load report, in order."""
    may_hedge: bool = False
    """Whether a second copy of a request may be sent while the first one runs."""
    requests_per_connection: int = 1
    """How many requests one connection to a cache server may carry at a time."""

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", "must name at least one class")
        _require(self.routers >= 1, "routers", "must be at least 1")
        _require(self.subscribe_within > 0, "ask_within", "must be above 0")
        _require(0 < self.cold_capacity <= 1, "cold_share", "must lie above 0 and not over 1")
        _require(self.warm_up_time >= 0, "cold_time", "must not be negative")
        _require(self.overload_multiple > 0, "fall_multiple", "must be above 0")
        _require(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        _require(self.max_retry_after >= 0, "max_retry_after", "must not be negative")
        _require(self.requests_per_connection >= 1, "per_connection", "must be at least 1")


class Server(Struct, frozen=True):
    """One entry of the server list; `started` 0: long ago."""

    id: str
    kind: str = ""
    state: ServerState = ServerState.READY
    weight: float = 1.0
    started: int = 0
    zone: str = ""
    cell: int = 0


class ServersChanged(Struct, frozen=True):
    """News of the server list. FAILED has no entries, and the list held stays valid."""

    kind: ListKind
    servers: tuple[Server, ...] = ()


class RequestArrived(Struct, frozen=True):
    """A client's request; one final answer is owed by `deadline` (clock time)."""

    request: str
    request_class: str
    deadline: int
    tenant: str | None = None
    key: str | None = None
    write: bool = False
    retry: bool = False


class BatchArrived(Struct, frozen=True):
    """Reads of one command that are asked at once, each of them a request of its own like any other."""

    requests: list[str]
    keys: list[str]
    """One for each request, in the same order."""
    request_class: str
    deadline: int
    tenant: str | None
    command: str


class BatchServed(Struct, frozen=True):
    """Attempts of one SendBatch that ended well, each with its request's final answer.

    They stand for one event at their server: `latency` is one key's share of the time that all took.
    Nothing else may have been sent for them, and nothing else told of them.
    """

    requests: list[str]
    server: str
    latency: int


class HedgeDue(Struct, frozen=True):
    """A read's attempt takes long, and its client can pay for a second copy."""

    request: str


class StreamStarted(Struct, frozen=True):
    """A streamed answer has begun: the attempt belongs to the client from here on."""

    request: str
    attempt: int


class AttemptEnded(Struct, frozen=True):
    """The end of one attempt. `closed`: the request has its final answer already."""

    request: str
    attempt: int
    server: str
    outcome: Outcome
    answered: bool
    latency: int
    note: CacheNote | None = None
    load_report: tuple[float, ...] | None = None
    connection_failed: bool = False
    """This tells of the connection and not of the server: a kept one broke without a byte of an answer, a
    further one had no place, or one did not come up, for the first time since the server was heard."""
    connection_rejected: bool = False
    """Turned away because the server takes no more connections, and this router has none to it."""


class ClientDisconnected(Struct, frozen=True):
    """The client has left; nothing is owed any more."""

    request: str


class TimerFired(Struct, frozen=True):
    """A timer that the router set is due."""

    token: str


class HealthCheckEnded(Struct, frozen=True):
    """The result of a probe."""

    server: str
    outcome: Outcome
    latency: int
    load_report: tuple[float, ...] | None = None


class EventLoopLagged(Struct, frozen=True):
    """How late the router's own loop has run lately, at most: its news may have stood unread so long."""

    lag: int


class ServerHealth(Struct, frozen=True):
    """What a router holds of one server, a cache or the origin; all times are its own clock's."""

    server: str
    started: int
    """The server's start, as listed: one that has started since is another one."""
    last_outcome_at: int
    """When an attempt at it last told something."""
    weight: float
    """How much of it counts, from 0 to 1: whoever hands it on lets it age."""
    send_probability: float
    recovers_from: int
    recovery_time: int
    unreachable: bool
    consecutive_unanswered: int
    connect_rejections: int
    next_connect_at: int
    mean_latency: float
    """The smoothed time of its answers, in nanoseconds; 0: not known."""
    latency_deviation: float
    sample_weight: float
    """How much of that comes from answers, from 0 to 1; the rest from 0, where it began."""


class LimitState(Struct, frozen=True):
    """One tenant's limit, and the calls of its window."""

    tenant: str
    limit: float
    calls: tuple[tuple[int, int, int], ...]
    """Time, calls that went to the origin then, calls declined; the oldest first."""


class OriginHealth(Struct, frozen=True):
    """How the origin does."""

    fetch_window: float
    """Reads that may be out; infinite until one was slow."""
    write_limit: float
    """Writes that may be out; infinite until fetches went wrong."""
    bad_fraction: float
    """The smoothed share of bad fetches."""
    fetch_latency_mean: float
    fetch_latency_deviation: float
    cache_latency_mean: float
    cache_latency_deviation: float
    """Of fetches and of the caches' answers: their smoothed time, and its deviation, in nanoseconds."""


class RouterState(Struct, frozen=True):
    """What a router has learned, for one that begins beside it."""

    servers: tuple[ServerHealth, ...]
    limits: tuple[LimitState, ...]
    origin: OriginHealth
    slot_counts: tuple[tuple[int, float], ...]
    """Slots that many ask for lately, and how often."""
    tenant_counts: tuple[tuple[str, float], ...]
    """Tenants, and how many requests of theirs came lately."""
    weight: float = 1.0
    """How much counts of all that is not a node's, from 0 to 1."""


class StateImported(Struct, frozen=True):
    """Another router's knowledge, taken over at the start; servers that are not listed are left out."""

    state: RouterState


class NamespaceLimits(Struct, frozen=True):
    """What a policy says of one namespace; None: as in the settings."""

    name: str
    weight: float | None
    quota_per_s: float | None


class FleetPolicy(Struct, frozen=True):
    """A version of the policy that all routers of a fleet hold alike; None: as in the settings."""

    version: int
    namespaces: tuple[NamespaceLimits, ...]
    rate_per_s: float | None
    """Fetches a second of all routers, shared by portion."""
    hard_factor: float
    """The hard limit, as a multiple of the soft one."""
    window_s: float | None
    cordoned: tuple[str, ...]
    """Servers that get nothing new."""
    floor_fraction: float
    """Of a quota in the settings: what a router holds that can't tell which version is in force."""
    uses_leases: bool = False
    """Whether a stated quota is split by shares: a router has its floor, and what it is granted beside it."""


class PolicyChanged(Struct, frozen=True):
    """The version decided, and until when (clock time) this router may admit under it.

    From then on, and from the start where `until` is past, it admits what the floor lets through. Where the
    policy has shares, it admits what the floor and these let through until `shares_until`.
    """

    policy: FleetPolicy
    expires_at: int
    leases: tuple[tuple[str, float], ...] = ()
    """Namespaces, and fetches a second beyond the floor."""
    leases_until: int = 0


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


class Send(Struct, frozen=True):
    """Start an attempt at a server; `timeout` 0: until the client gives up."""

    request: str
    server: str
    timeout: int = 0
    send_before: int = 0
    """Clock time after which it must not be sent any more, where it has to wait for a connection; 0: none."""


class SendBatch(Struct, frozen=True):
    """Start an attempt, the first, at this server for each of a command's reads; they may travel together."""

    requests: list[str]
    server: str
    command: str
    timeout: int = 0
    """For each, as Send's."""


class Reason(Enum):
    """Why a request was given up; for the account of it only."""

    SHED = "shed"
    RATE_LIMITED = "limit"
    NO_SERVER = "no server"
    DEADLINE = "time"
    ATTEMPTS = "attempts"
    ORIGIN_FAILED = "store"
    NOT_FOUND = "missing"
    """The origin says that nobody has the key: known, and no fault of anybody's."""


class Reject(Struct, frozen=True):
    """Final answer: not done, and trying again does no harm."""

    request: str
    retry_after: int = 0
    reason: Reason = Reason.ATTEMPTS


class Fail(Struct, frozen=True):
    """Final answer: failed. It promises nothing about the effect."""

    request: str
    reason: Reason = Reason.ATTEMPTS


class SetTimer(Struct, frozen=True):
    """Ask for a TimerFired after `delay`."""

    delay: int
    token: str


class Subscribe(Struct, frozen=True):
    """Ask for the changes of the server list from now on."""


class HealthCheck(Struct, frozen=True):
    """Examine a server."""

    server: str


Action = Send | SendBatch | Reject | Fail | SetTimer | Subscribe | HealthCheck
