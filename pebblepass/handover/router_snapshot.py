"""The snapshot of a router's state that its successor receives, and its encoding. No I/O, no clock.

Times are encoded as ages in nanoseconds, because the monotonic clocks of two processes may differ. Only the
start time of a server is in Unix milliseconds, as in the endpoint list.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from pebblepass.decisions.interface import LimitState, OriginHealth, RouterState, ServerHealth
from pebblepass.handover.errors import HandoverError
from pebblepass.handover.messages import VERSION, Count

MAX_SNAPSHOT_BYTES = 4 << 20
MAX_CONNECT_REJECTIONS = 8  # a larger count is imported as this

NonNegative = Annotated[float, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]


class RouterSnapshot(Struct, frozen=True):
    """The state that a router passes to its successor."""

    endpoint_list: dict[str, Any]
    """The endpoint list, in the discovery service's form."""
    state: RouterState
    exported_at: int
    """When the state was exported, in nanoseconds of this process's clock."""


class _ServerRow(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    server: str
    started_unix_ms: Count
    last_outcome_age: Count
    send_probability: Annotated[float, Meta(ge=-1, le=1)]
    recovery_age: int | float
    recovery_time: Annotated[int, Meta(ge=1)]
    unreachable: bool
    consecutive_unanswered: Count
    connect_rejections: Count
    next_connect_in: int | float
    mean_latency: NonNegative
    latency_deviation: NonNegative
    sample_weight: Fraction


class _CallsRow(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    age: int | float
    sent: Count
    declined: Count


class _LimitRow(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    tenant: str
    limit: NonNegative
    calls: tuple[_CallsRow, ...]


class _OriginRow(Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    fetch_window: float | None
    """None: unlimited."""
    write_limit: float | None
    bad_fraction: float
    fetch_latency_mean: float
    fetch_latency_deviation: float
    cache_latency_mean: float
    cache_latency_deviation: float


class _SnapshotForm(Struct, frozen=True):
    version: int
    endpoint_list: dict[str, Any] = field(name="listing")
    servers: tuple[_ServerRow, ...] = field(name="nodes")
    limits: tuple[_LimitRow, ...]
    origin: _OriginRow = field(name="store")
    slot_counts: tuple[tuple[Count, float], ...] = field(name="heat")
    tenant_counts: tuple[tuple[str, float], ...] = field(name="usage")


class _VersionForm(Struct, frozen=True):
    version: object


_VERSION = msgspec.json.Decoder(_VersionForm)
_SNAPSHOT = msgspec.json.Decoder(_SnapshotForm)


def encode_snapshot(snapshot: RouterSnapshot, unix_ms: Callable[[int], int]) -> bytes:
    """Encode a snapshot; `unix_ms` converts the start time of a server to Unix milliseconds."""
    state, now = snapshot.state, snapshot.exported_at
    form = _SnapshotForm(
        version=VERSION,
        endpoint_list=snapshot.endpoint_list,
        servers=tuple(_server_row(server, now, unix_ms) for server in state.servers),
        limits=tuple(_limit_row(limit, now) for limit in state.limits),
        origin=_origin_row(state.origin),
        slot_counts=state.slot_counts,
        tenant_counts=state.tenant_counts,
    )
    return msgspec.json.encode(form)


def decode_snapshot(data: bytes, now: int, monotonic: Callable[[int], int]) -> RouterSnapshot:
    """Decode a snapshot; `monotonic` converts Unix milliseconds back. Raises HandoverError if it is invalid.

    The result has times of this process's clock, on which the export counts as `now` (nanoseconds).
    """
    try:
        version = _VERSION.decode(data).version
        if version != VERSION:
            raise HandoverError(f"the snapshot has an unsupported version: {version}")
        form = _SNAPSHOT.decode(data)
    except (ValueError, RecursionError) as error:
        raise HandoverError(f"can't decode the snapshot: {error}") from None
    state = RouterState(
        servers=tuple(_server_health(row, now, monotonic) for row in form.servers),
        limits=tuple(_limit_state(row, now) for row in form.limits),
        origin=_origin_health(form.origin),
        slot_counts=form.slot_counts,
        tenant_counts=form.tenant_counts,
    )
    return RouterSnapshot(form.endpoint_list, state, now)


def _server_row(health: ServerHealth, now: int, unix_ms: Callable[[int], int]) -> _ServerRow:
    return _ServerRow(
        server=health.server,
        started_unix_ms=unix_ms(health.started),
        last_outcome_age=now - health.last_outcome_at,
        send_probability=health.send_probability,
        recovery_age=now - health.recovers_from,
        recovery_time=health.recovery_time,
        unreachable=health.unreachable,
        consecutive_unanswered=health.consecutive_unanswered,
        connect_rejections=health.connect_rejections,
        next_connect_in=health.next_connect_at - now,
        mean_latency=health.mean_latency,
        latency_deviation=health.latency_deviation,
        sample_weight=health.sample_weight,
    )


def _server_health(row: _ServerRow, now: int, monotonic: Callable[[int], int]) -> ServerHealth:
    return ServerHealth(
        server=row.server,
        started=monotonic(row.started_unix_ms),
        last_outcome_at=now - row.last_outcome_age,
        weight=1.0,
        send_probability=row.send_probability,
        recovers_from=now - int(row.recovery_age),
        recovery_time=row.recovery_time,
        unreachable=row.unreachable,
        consecutive_unanswered=row.consecutive_unanswered,
        connect_rejections=min(row.connect_rejections, MAX_CONNECT_REJECTIONS),
        next_connect_at=now + int(row.next_connect_in),
        mean_latency=row.mean_latency,
        latency_deviation=row.latency_deviation,
        sample_weight=row.sample_weight,
    )


def _limit_row(limit: LimitState, now: int) -> _LimitRow:
    calls = tuple(_CallsRow(now - at, sent, declined) for at, sent, declined in limit.calls)
    return _LimitRow(limit.tenant, limit.limit, calls)


def _limit_state(row: _LimitRow, now: int) -> LimitState:
    calls = tuple((now - int(entry.age), entry.sent, entry.declined) for entry in row.calls)
    return LimitState(row.tenant, row.limit, calls)


def _origin_row(origin: OriginHealth) -> _OriginRow:
    return _OriginRow(
        fetch_window=_none_if_infinite(origin.fetch_window),
        write_limit=_none_if_infinite(origin.write_limit),
        bad_fraction=origin.bad_fraction,
        fetch_latency_mean=origin.fetch_latency_mean,
        fetch_latency_deviation=origin.fetch_latency_deviation,
        cache_latency_mean=origin.cache_latency_mean,
        cache_latency_deviation=origin.cache_latency_deviation,
    )


def _origin_health(row: _OriginRow) -> OriginHealth:
    return OriginHealth(
        fetch_window=_infinite_if_none(row.fetch_window),
        write_limit=_infinite_if_none(row.write_limit),
        bad_fraction=row.bad_fraction,
        fetch_latency_mean=row.fetch_latency_mean,
        fetch_latency_deviation=row.fetch_latency_deviation,
        cache_latency_mean=row.cache_latency_mean,
        cache_latency_deviation=row.cache_latency_deviation,
    )


def _none_if_infinite(value: float) -> float | None:
    return None if math.isinf(value) else value


def _infinite_if_none(value: float | None) -> float:
    return math.inf if value is None else value
