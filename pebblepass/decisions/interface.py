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

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The servers that drop repeats of a keyed request, seen from the one that may have run it."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    OK = "ok"
    MISS = "miss"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"

    @property
    def never_ran(self) -> bool:
        """Whether the outcome proves that the attempt never ran."""
        return self in (Outcome.MISS, Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class ListKind(Enum):
    """What a membership event holds."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class ServerState(Enum):
    """The state of a listed server."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class CacheNote(Enum):
    """A cache's remark on an outcome; FETCH_OUT: a miss whose fetch another request was told to do."""

    HIT = 1
    MISS = 2
    FETCH_OUT = 3


def _require(ok: bool, key: str, rule: str) -> None:
    if not ok:
        raise ValueError(f"settings: {key} {rule}")


class RequestClass(Struct, frozen=True):
    """A class of requests; an answer within `aim` is worth the most."""

    name: str
    aim: int
    deadline: int
    effect: Effect = Effect.SAFE
    group: Group = Group.ALL
    dedup_window: int = 0
    streamed: bool = False

    def __post_init__(self) -> None:
        _require(bool(self.name), "classes.name", "must not be empty")
        _require(self.aim > 0, "classes.aim", "must be above 0")
        _require(self.deadline > 0, "classes.deadline", "must be above 0")
        _require(self.dedup_window >= 0, "classes.dedup_window", "must not be negative")


class Tenant(Struct, frozen=True):
    """A tenant, its portion of the service, and its requests a second over all routers together."""

    name: str
    portion: float
    quota_per_s: float = 0.0

    def __post_init__(self) -> None:
        _require(0 <= self.portion <= 1, "tenants.portion", "must lie between 0 and 1")
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
    ask_within: int = 10 * NS_PER_S
    cold_share: float = 1.0
    cold_time: int = 0
    fall_multiple: float = inf
    """Sent more than so many times what it can do, a cold server falls over."""
    max_attempts: int = 4
    retry_after: bool = False
    max_retry_after: int = NS_PER_S
    may_probe: bool = False
    load_fields: tuple[str, ...] = ()
    """The names of the values in a load report, in order."""
    second_copies: bool = False
    """Whether a second copy of a request may be sent while the first one runs."""
    per_connection: int = 1
    """How many requests one connection to a cache server may carry at a time."""

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", "must name at least one class")
        _require(self.routers >= 1, "routers", "must be at least 1")
        _require(self.ask_within > 0, "ask_within", "must be above 0")
        _require(0 < self.cold_share <= 1, "cold_share", "must lie above 0 and not over 1")
        _require(self.cold_time >= 0, "cold_time", "must not be negative")
        _require(self.fall_multiple > 0, "fall_multiple", "must be above 0")
        _require(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        _require(self.max_retry_after >= 0, "max_retry_after", "must not be negative")
        _require(self.per_connection >= 1, "per_connection", "must be at least 1")


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


class KeysArrived(Struct, frozen=True):
    """Reads of one command that are asked at once, each of them a request of its own like any other."""

    requests: list[str]
    keys: list[str]
    """One for each request, in the same order."""
    request_class: str
    deadline: int
    tenant: str | None
    command: str


class KeysServed(Struct, frozen=True):
    """Attempts of one SendKeys that ended well, each with its request's final answer.

    They stand for one event at their server: `latency` is one key's share of the time that all took.
    Nothing else may have been sent for them, and nothing else told of them.
    """

    requests: list[str]
    server: str
    latency: int


class AttemptSlow(Struct, frozen=True):
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
    closed: bool
    latency: int
    note: CacheNote | None = None
    load: tuple[float, ...] | None = None
    stale: bool = False
    """This tells of the connection and not of the server: a kept one broke without a byte of an answer, a
    further one had no place, or one did not come up, for the first time since the server was heard."""
    crowded: bool = False
    """Turned away because the server takes no more connections, and this router has none to it."""


class ClientGone(Struct, frozen=True):
    """The client has left; nothing is owed any more."""

    request: str


class TimerFired(Struct, frozen=True):
    """A timer that the router set is due."""

    token: str


class ProbeEnded(Struct, frozen=True):
    """The result of a probe."""

    server: str
    outcome: Outcome
    latency: int
    load: tuple[float, ...] | None = None


class RouterLate(Struct, frozen=True):
    """How late the router's own loop has run lately, at most: its news may have stood unread so long."""

    lag: int


class NodeKnown(Struct, frozen=True):
    """What a router holds of one server, a cache or the origin; all times are its own clock's."""

    server: str
    started: int
    """The server's start, as listed: one that has started since is another one."""
    heard_at: int
    """When an attempt at it last told something."""
    weight: float
    """How much of it counts, from 0 to 1: whoever hands it on lets it age."""
    chance: float
    judged_at: int
    regain: int
    down: bool
    unheard: int
    crowded: int
    room_at: int
    usual: float
    """The smoothed time of its answers, in nanoseconds; 0: not known."""
    spread: float
    sampled: float
    """How much of that comes from answers, from 0 to 1; the rest from 0, where it began."""


class LimitKnown(Struct, frozen=True):
    """One tenant's limit, and the calls of its window."""

    tenant: str
    limit: float
    calls: tuple[tuple[int, int, int], ...]
    """Time, calls that went to the origin then, calls declined; the oldest first."""


class StoreKnown(Struct, frozen=True):
    """How the origin does."""

    window: float
    """Reads that may be out; infinite until one was slow."""
    width: float
    """Writes that may be out; infinite until fetches went wrong."""
    bad: float
    """The smoothed share of bad fetches."""
    fetch_usual: float
    fetch_spread: float
    answer_usual: float
    answer_spread: float
    """Of fetches and of the caches' answers: their smoothed time, and its deviation, in nanoseconds."""


class Knowledge(Struct, frozen=True):
    """What a router has learned, for one that begins beside it."""

    nodes: tuple[NodeKnown, ...]
    limits: tuple[LimitKnown, ...]
    store: StoreKnown
    heat: tuple[tuple[int, float], ...]
    """Slots that many ask for lately, and how often."""
    usage: tuple[tuple[str, float], ...]
    """Tenants, and how many requests of theirs came lately."""
    weight: float = 1.0
    """How much counts of all that is not a node's, from 0 to 1."""


class KnowledgeGained(Struct, frozen=True):
    """Another router's knowledge, taken over at the start; servers that are not listed are left out."""

    knowledge: Knowledge


class NamespaceHeld(Struct, frozen=True):
    """What a policy says of one namespace; None: as in the settings."""

    name: str
    portion: float | None
    quota_per_s: float | None


class PolicyHeld(Struct, frozen=True):
    """A version of the policy that all routers of a fleet hold alike; None: as in the settings."""

    version: int
    namespaces: tuple[NamespaceHeld, ...]
    rate_per_s: float | None
    """Fetches a second of all routers, shared by portion."""
    hard_factor: float
    """The hard limit, as a multiple of the soft one."""
    window_s: float | None
    held_out: tuple[str, ...]
    """Servers that get nothing new."""
    floor_share: float
    """Of a quota in the settings: what a router holds that can't tell which version is in force."""
    shares: bool = False
    """Whether a stated quota is split by shares: a router has its floor, and what it is granted beside it."""


class PolicyChanged(Struct, frozen=True):
    """The version decided, and until when (clock time) this router may admit under it.

    From then on, and from the start where `until` is past, it admits what the floor lets through. Where the
    policy has shares, it admits what the floor and these let through until `shares_until`.
    """

    policy: PolicyHeld
    until: int
    shares: tuple[tuple[str, float], ...] = ()
    """Namespaces, and fetches a second beyond the floor."""
    shares_until: int = 0


Event = (
    ServersChanged
    | KnowledgeGained
    | PolicyChanged
    | RequestArrived
    | KeysArrived
    | KeysServed
    | AttemptSlow
    | StreamStarted
    | AttemptEnded
    | ClientGone
    | TimerFired
    | ProbeEnded
    | RouterLate
)


class Send(Struct, frozen=True):
    """Start an attempt at a server; `timeout` 0: until the client gives up."""

    request: str
    server: str
    timeout: int = 0
    until: int = 0
    """Clock time after which it must not be sent any more, where it has to wait for a connection; 0: none."""


class SendKeys(Struct, frozen=True):
    """Start an attempt, the first, at this server for each of a command's reads; they may travel together."""

    requests: list[str]
    server: str
    command: str
    timeout: int = 0
    """For each, as Send's."""


class Reason(Enum):
    """Why a request was given up; for the account of it only."""

    SHED = "shed"
    LIMIT = "limit"
    NO_SERVER = "no server"
    TIME = "time"
    ATTEMPTS = "attempts"
    STORE = "store"
    MISSING = "missing"
    """The origin says that nobody has the key: known, and no fault of anybody's."""


class Refuse(Struct, frozen=True):
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


class Probe(Struct, frozen=True):
    """Examine a server."""

    server: str


Action = Send | SendKeys | Refuse | Fail | SetTimer | Subscribe | Probe
