"""What is handed on, and how it ages: of what is some seconds old little counts. No I/O, no clock.

All times here are nanoseconds of one clock; on the wire stand ages, as no two processes need share a clock.
"""

from __future__ import annotations

from msgspec.structs import replace

from pebblepass.decisions.interface import NS_PER_S, RouterState, ServerHealth

KNOWN_NS = 10 * NS_PER_S
"""Of what is so old nothing counts, of what is half as old a half."""


def weight(age: int) -> float:
    """How much counts of what was learned so long ago."""
    return min(max(1 - age / KNOWN_NS, 0.0), 1.0)


def aged(known: RouterState, told_at: int, now: int) -> RouterState:
    """What of a router's knowledge counts now; `told_at`: when that router put it together.

    A donor that has heard nothing for long has nothing to hand on: its limits and loads are those of a time
    that is over.
    """
    nodes = tuple(
        replace(node, weight=weight(now - node.last_outcome_at))
        for node in known.servers
        if _counts(node, now)
    )
    limits = tuple(limit for limit in known.limits if limit.calls)
    fresh = bool(limits) or bool(nodes)
    return replace(known, servers=nodes, limits=limits, weight=weight(now - told_at) if fresh else 0.0)


def _counts(node: ServerHealth, now: int) -> bool:
    # One that is down is asked once in a long while: what is held against it passes by the clock alone.
    held = node.unreachable and now - node.recovers_from < node.recovery_time
    return held or weight(now - node.last_outcome_at) > 0
