"""How a router's state ages on its way to a successor. No I/O, no clock.

All times are nanoseconds of one clock.
"""

from __future__ import annotations

from msgspec.structs import replace

from pebblepass.decisions.interface import NS_PER_S, RouterState, ServerHealth

STATE_LIFETIME_NS = 10 * NS_PER_S
"""State loses its weight linearly over this time."""


def age_weight(age: int) -> float:
    """Return the weight, from 0 to 1, of state that is so old (nanoseconds)."""
    return min(max(1 - age / STATE_LIFETIME_NS, 0.0), 1.0)


def age_state(state: RouterState, exported_at: int, now: int) -> RouterState:
    """Return what of a router's state still counts; `exported_at`: when that router exported it.

    A router without a recent outcome has no state worth importing: its limits and loads are out of date.
    """
    servers = tuple(
        replace(server, weight=age_weight(now - server.last_outcome_at))
        for server in state.servers
        if _counts(server, now)
    )
    limits = tuple(limit for limit in state.limits if limit.calls)
    is_recent = bool(limits) or bool(servers)
    weight = age_weight(now - exported_at) if is_recent else 0.0
    return replace(state, servers=servers, limits=limits, weight=weight)


def _counts(server: ServerHealth, now: int) -> bool:
    # An unreachable server gets an attempt only once in a long while: its state expires by time alone.
    is_recovering = server.unreachable and now - server.recovers_from < server.recovery_time
    return is_recovering or age_weight(now - server.last_outcome_at) > 0
