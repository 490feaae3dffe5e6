"""Deadline propagation: how much time an attempt advertises to its server. No I/O, no clock.

A client says with `d` how many milliseconds it waits for its answer. Every attempt made for it, at a cache
server or at the origin, passes on what is left of that at the moment its bytes are written. A server can then
drop work whose client has stopped waiting, and never works on behalf of one that has.
"""

from __future__ import annotations

NS_PER_MS = 1_000_000
SHORTEST_TIMEOUT_MS = 1
"""The shortest time that can be advertised: the protocol counts in whole milliseconds."""


def latest_start(deadline_ns: int) -> int:
    """Return the time in nanoseconds from which no attempt may be written for a client with this deadline.

    With less left than the shortest time that can be advertised, any attempt would promise its server more
    than its client still waits.
    """
    return deadline_ns - SHORTEST_TIMEOUT_MS * NS_PER_MS


def remaining_ms(deadline_ns: int, now_ns: int, client_timeout_ms: int) -> int:
    """Return the whole milliseconds left until a deadline, as an attempt written now advertises them.

    `deadline_ns` and `now_ns` are nanoseconds of one clock. The result is never more than the client itself
    asked for, and never less than `SHORTEST_TIMEOUT_MS`.
    """
    left_ms = (deadline_ns - now_ns) // NS_PER_MS
    return max(min(left_ms, client_timeout_ms), SHORTEST_TIMEOUT_MS)
