"""The weight of a router's state by its age, when a successor imports it. No I/O, no clock.

All times are nanoseconds of one clock.
"""

from __future__ import annotations

from msgspec.structs import replace

from pebblepass.decisions.interface import NS_PER_S, RouterState, ServerHealth

STATE_LIFETIME_NS = 10 * NS_PER_S
"""The age at which state has lost all of its weight, linearly from 1 to 0."""


def age_weight(age: int) -> float:
    """Return the weight, from 0 to 1, of state with this age in nanoseconds."""
    return min(max(1 - age / STATE_LIFETIME_NS, 0.0), 1.0)


def age_state(state: RouterState, exported_at: int, now: int) -> RouterState:
    """Return a router's state with weights by age; `exported_at`: when that router exported it.

    Without a recent outcome, the limits and loads are out of date as well and get no weight.
    """
    servers = tuple(
        replace(server, weight=age_weight(now - server.last_outcome_at))
        for server in state.servers
        if _has_weight(server, now)
    )
    limits = tuple(limit for limit in state.limits if limit.calls)
    is_recent = bool(limits) or bool(servers)
    weight = age_weight(now - exported_at) if is_recent else 0.0
    return replace(state, servers=servers, limits=limits, weight=weight)


def _has_weight(server: ServerHealth, now: int) -> bool:
    # An unreachable server rarely gets an attempt, so its state is kept for its whole recovery time.
    is_recovering = server.unreachable and now - server.recovers_from < server.recovery_time
    return is_recovering or age_weight(now - server.last_outcome_at) > 0
