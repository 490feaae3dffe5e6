"""When a router does what after SIGTERM, before the platform's earliest SIGKILL. No I/O, no clock."""

from __future__ import annotations

from msgspec import Struct

MAX_COUNTED_DEADLINE_S = 3.0
"""The platform waits for the longest deadline of the classes, but for no more than this."""
KILL_DELAY_S = 0.7
"""SIGKILL comes no sooner than this after the deadline that counts."""

# From SIGTERM.
ACCEPT_S = 0.5
PARTIAL_COMMANDS_S = 0.65

# From the deadline that counts.
ANSWER_SLACK_S = 0.55
KILL_SLACK_S = 0.6  # a process needs some hundredths of a second for its exit

SERVED_FRACTION = 0.5
"""Fraction of the deadline that counts for which new commands are still served."""


class ShutdownPlan(Struct, frozen=True):
    """The steps of a shutdown, in seconds from SIGTERM."""

    accept_until: float
    """Connections are accepted as before; from then on idle ones are closed."""
    close_partial_commands_at: float
    """No connection is accepted any more, and those with a partially received command are closed too."""
    serve_until: float
    """New commands are served; from then on they are rejected, and never forwarded."""
    fail_open_at: float
    """Every request that is still open fails."""
    end_at: float
    """The shutdown ends."""
    earliest_kill: float
    """The platform sends SIGKILL no sooner."""


def plan_shutdown(longest_deadline: float) -> ShutdownPlan:
    """Return the plan for the longest deadline of the classes, in seconds."""
    counted = min(longest_deadline, MAX_COUNTED_DEADLINE_S)
    return ShutdownPlan(
        accept_until=ACCEPT_S,
        close_partial_commands_at=PARTIAL_COMMANDS_S,
        serve_until=PARTIAL_COMMANDS_S + counted * SERVED_FRACTION,
        fail_open_at=counted + ANSWER_SLACK_S,
        end_at=counted + KILL_SLACK_S,
        earliest_kill=counted + KILL_DELAY_S,
    )
