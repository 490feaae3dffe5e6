"""How long a client's bytes may have stood in the kernel before they were read. No I/O, no clock.

A client's deadline counts from when its request came, not from when this process got round to reading it.
That moment is not recorded anywhere, but a bound is known: the last time at which nothing stood unread.
"""

from __future__ import annotations

RECENT_S = 0.05
"""Bytes that can't be older than this count as read at once: the loop looks at its sockets more often."""
SHORT_READ = 4096
"""A read of fewer bytes has emptied the socket: loops read much more at a time."""


class UnreadAge:
    """Bounds the age of what is read from one connection; times are seconds of one clock."""

    __slots__ = ("_empty_at",)

    def __init__(self, empty_at: float) -> None:
        """`empty_at`: a time at which nothing stood unread; minus infinity where none is known."""
        self._empty_at = empty_at

    def emptied(self, at: float) -> None:
        """Take note that nothing stood unread at this time."""
        self._empty_at = max(self._empty_at, at)

    def read(self, now: float, size: int) -> float:
        """Take note of a read of so many bytes; returns the seconds for which they may have stood unread.

        Returns 0 where they are recent, and where nothing is known of the time before.
        """
        age = now - self._empty_at
        if size < SHORT_READ:
            self._empty_at = now
        return age if RECENT_S < age < float("inf") else 0.0


class BacklogAge:
    """Bounds how long connections may have waited to be accepted; times are seconds of one clock.

    Loops accept one connection an iteration. While more of them wait, a look at the sockets tells nothing of
    how long one has.
    """

    def __init__(self) -> None:
        self._empty_at = float("-inf")
        self._was_empty = True

    def accepted(self, now: float, polled_at: float, more_wait: bool) -> float:
        """Take note of a connection that is accepted now; returns a time at which it had not come yet.

        `polled_at`: every socket that was readable then has been read from since. `more_wait`: whether there
        are others behind it. Returns minus infinity where nothing is known.
        """
        if self._was_empty:
            self._empty_at = max(self._empty_at, polled_at)
        bound = self._empty_at
        self._was_empty = not more_wait
        if not more_wait:
            self._empty_at = now
        return bound
