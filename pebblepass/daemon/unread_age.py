"""How long a client's bytes may have been unread in the kernel. No I/O, no clock.

A client's deadline counts from the arrival of its request, not from the time at which this process reads it.
The time at which bytes arrive is not known, but it is after the last time at which nothing was unread.
"""

from __future__ import annotations

RECENT_S = 0.05
"""Younger bytes count as read at once: an event loop that runs on time polls its sockets more often."""
SHORT_READ = 4096
"""A read of fewer bytes has emptied the socket: event loops read more than this at a time."""


class UnreadAge:
    """An upper bound of the age of bytes read from one connection; times are seconds of one clock."""

    __slots__ = ("_empty_at",)

    def __init__(self, empty_at: float) -> None:
        """`empty_at`: a time at which nothing was unread; minus infinity if no such time is known."""
        self._empty_at = empty_at

    def emptied(self, at: float) -> None:
        """Record that nothing was unread at this time."""
        self._empty_at = max(self._empty_at, at)

    def read(self, now: float, size: int) -> float:
        """Record a read of `size` bytes; returns the seconds for which they may have been unread.

        Returns 0 if that is at most RECENT_S, or if no time at which nothing was unread is known.
        """
        age = now - self._empty_at
        if size < SHORT_READ:
            self._empty_at = now
        return age if RECENT_S < age < float("inf") else 0.0


class BacklogAge:
    """A bound of the time that connections have waited in the backlog; times are seconds of one clock.

    Event loops accept one connection per iteration. While several wait, a poll of the listener does not show
    when each of them was made.
    """

    def __init__(self) -> None:
        self._empty_at = float("-inf")
        self._was_empty = True

    def accepted(self, now: float, polled_at: float, more_wait: bool) -> float:
        """Record a connection accepted now; returns a time at which it had not been made yet.

        `polled_at`: every socket that was readable then has been read from since. `more_wait`: whether
        others are in the backlog. Returns minus infinity if no such time is known.
        """
        if self._was_empty:
            self._empty_at = max(self._empty_at, polled_at)
        bound = self._empty_at
        self._was_empty = not more_wait
        if not more_wait:
            self._empty_at = now
        return bound
