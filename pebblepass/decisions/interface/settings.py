"""The settings of a router: request classes, tenants, and what the environment allows."""

from __future__ import annotations

from enum import Enum
from math import inf

from msgspec import Struct

NS_PER_S = 1_000_000_000


class Effect(Enum):
    """The effect of running a request twice."""

    IDEMPOTENT = "safe"
    """None."""
    IDEMPOTENCY_KEY = "keyed"
    """None at servers that drop the duplicate (see DedupScope), within the dedup window."""
    NOT_IDEMPOTENT = "unsafe"
    """Harmful."""


class DedupScope(Enum):
    """The servers that drop duplicates of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    """Those in the zone of the server that may have run the request."""
    CELL = "cell"
    """Those in the zone and cell of that server."""


def _require(ok: bool, key: str, rule: str) -> None:
    if not ok:
        raise ValueError(f"settings: {key} {rule}")


class RequestClass(Struct, frozen=True):
    """A class of requests. Raises ValueError where a value is out of its range."""

    name: str
    latency_target: int
    """Nanoseconds; a later answer counts as late."""
    deadline: int
    """Nanoseconds after which the client gives up."""
    effect: Effect = Effect.IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: int = 0
    """Nanoseconds for which servers remember an idempotency key."""
    streamed: bool = False
    """Whether answers are streamed to the client."""

    def __post_init__(self) -> None:
        _require(bool(self.name), "classes.name", "must not be empty")
        _require(self.latency_target > 0, "classes.aim", "must be above 0")
        _require(self.deadline > 0, "classes.deadline", "must be above 0")
        _require(self.dedup_window >= 0, "classes.dedup_window", "must not be negative")


class Tenant(Struct, frozen=True):
    """A tenant. Raises ValueError where a value is out of its range."""

    name: str
    weight: float
    """Its fraction of the service, 0 to 1."""
    quota_per_s: float = 0.0
    """Fetches a second over all routers together; 0: no quota."""

    def __post_init__(self) -> None:
        _require(0 <= self.weight <= 1, "tenants.portion", "must lie between 0 and 1")
        _require(self.quota_per_s >= 0, "tenants.quota_per_s", "must not be negative")


class Settings(Struct, frozen=True):
    """A router's configuration, fixed at its start. Raises ValueError where a value is out of its range."""

    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = ()
    routers: int = 1
    """Routers that share the quotas."""
    origin_kind: str | None = None
    """The machine kind of the origin's list entries; None: cache servers fetch missing keys themselves."""
    weighted: bool = False
    """Whether the weights of the server list are the servers' sizes."""
    must_subscribe: bool = False
    """Whether discovery sends the server list only to subscribers."""
    subscribe_within: int = 10 * NS_PER_S
    """Nanoseconds within which the router has to subscribe."""
    cold_capacity: float = 1.0
    """Fraction of its full capacity that a server has right after its start, above 0 to 1."""
    warm_up_time: int = 0
    """Nanoseconds from a server's start to its full capacity."""
    overload_multiple: float = inf
    """A server that is warming up fails under a load above this multiple of its present capacity."""
    max_attempts: int = 4
    """Attempts for one request, hedges and fetches included."""
    retry_after: bool = False
    """Whether a rejection states a Retry-After."""
    max_retry_after: int = NS_PER_S
    """Nanoseconds."""
    may_health_check: bool = False
    load_fields: tuple[str, ...] = ()
    """The names of the values in a load report, in order."""
    may_hedge: bool = False
    """Whether a hedged second attempt may run in parallel with the first one."""
    requests_per_connection: int = 1
    """Requests that one connection to a cache server may carry at a time."""

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
