"""The measured state that one router exports and another imports."""

from __future__ import annotations

from msgspec import Struct


class ServerHealth(Struct, frozen=True):
    """One server's health; times are clock times of the router that reads it, in nanoseconds."""

    server: str
    started: int
    """The server's start, as listed; the record no longer applies after a restart."""
    last_outcome_at: int
    """When an attempt at it last gave evidence of its health."""
    weight: float
    """How much the latencies count, 0 to 1; it decreases with the age of the record."""
    send_probability: float
    """0 to 1 at `recovers_from`; below 0: no request is sent until the recovery has raised it above 0."""
    recovers_from: int
    """When the probability begins to recover."""
    recovery_time: int
    """Nanoseconds in which the probability rises by 1."""
    unreachable: bool
    consecutive_unanswered: int
    """Consecutive attempts that timed out or were reset."""
    connect_rejections: int
    """Doublings of the backoff after rejected connections."""
    next_connect_at: int
    """The end of that backoff."""
    mean_latency: float
    """Smoothed latency of its answers in nanoseconds; 0: unknown."""
    latency_deviation: float
    """Smoothed absolute deviation of it, in nanoseconds."""
    sample_weight: float
    """Fraction of the mean that comes from samples, 0 to 1; the rest from the initial 0."""


class LimitState(Struct, frozen=True):
    """One tenant's limit, and the calls in its window."""

    tenant: str
    limit: float
    """Calls a second of the exporting router."""
    calls: tuple[tuple[int, int, int], ...]
    """Clock time in nanoseconds, calls admitted then, calls declined then; the oldest first."""


class OriginHealth(Struct, frozen=True):
    """The limits on the traffic to the origin, and the latencies of fetches and of cache servers."""

    fetch_window: float
    """Fetches in flight at most; infinite until one was slow."""
    write_limit: float
    """Writes in flight at most; infinite until fetches failed."""
    bad_fraction: float
    """Smoothed fraction of bad fetches, 0 to 1."""
    fetch_latency_mean: float
    """Nanoseconds, as are the three below."""
    fetch_latency_deviation: float
    cache_latency_mean: float
    cache_latency_deviation: float


class RouterState(Struct, frozen=True):
    """The measured state of a router, for a router that starts."""

    servers: tuple[ServerHealth, ...]
    limits: tuple[LimitState, ...]
    origin: OriginHealth
    slot_counts: tuple[tuple[int, float], ...]
    """The slots with the most recent requests, and their decayed counts."""
    tenant_counts: tuple[tuple[str, float], ...]
    """The tenants with the most recent requests, and their decayed counts."""
    weight: float = 1.0
    """How much everything but `servers` counts, 0 to 1."""
