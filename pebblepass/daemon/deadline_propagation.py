"""Deadline propagation: the timeout that an attempt advertises to its server. No I/O, no clock.

A client sends with `d` how many milliseconds it waits for the reply. Each attempt for it, at a cache server
or at the origin, advertises the time that is left of that when the attempt is written. The server can then
drop requests whose client no longer waits.
"""

from __future__ import annotations

NS_PER_MS = 1_000_000
SHORTEST_TIMEOUT_MS = 1
"""The shortest timeout that can be advertised: the protocol uses whole milliseconds."""


def latest_start(deadline_ns: int) -> int:
    """Return the time in nanoseconds from which no attempt may be written for a client with this deadline.

    With less time left than the shortest timeout, an attempt would advertise more than its client still
    waits.
    """
    return deadline_ns - SHORTEST_TIMEOUT_MS * NS_PER_MS


def remaining_ms(deadline_ns: int, now_ns: int, client_timeout_ms: int) -> int:
    """Return the whole milliseconds left until a deadline, as an attempt written now advertises them.

    `deadline_ns` and `now_ns` are nanoseconds of one clock. The result is at most the client's own timeout,
    and at least `SHORTEST_TIMEOUT_MS`.
    """
    left_ms = (deadline_ns - now_ns) // NS_PER_MS
    return max(min(left_ms, client_timeout_ms), SHORTEST_TIMEOUT_MS)
