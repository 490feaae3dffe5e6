"""When a client was last known to be connected, and how long its bytes were unread. Times are in seconds."""

from __future__ import annotations

import select
from collections.abc import Callable

from pebblepass.daemon.client_state import ClientState
from pebblepass.daemon.request_hosts import PollTimes
from pebblepass.daemon.socket_polling import READ_EVENTS, peer_has_closed
from pebblepass.daemon.unread_age import UnreadAge


class ClientLiveness:
    """Derives both from the reads and polls of one connection."""

    __slots__ = (
        "_confirmed_alive_at",
        "_lag",
        "_last_read_at",
        "_poll_socket",
        "_reading_since",
        "_unread_age",
        "descriptor",
        "is_reading",
    )

    def __init__(
        self, lag: PollTimes, poll_socket: Callable[[int, int], int], now: float, empty_at: float
    ) -> None:
        """`empty_at`: a loop time at which no bytes were unread; minus infinity if no such time is known."""
        self._lag, self._poll_socket = lag, poll_socket
        self.descriptor = -1
        """The file descriptor of the connection's socket, once it is connected."""
        self.is_reading = True
        """Whether the event loop reads from the connection."""
        # Warning: unknown before the first read, as the connection may have waited for a long time to be
        # accepted.
        self._confirmed_alive_at = float("-inf")
        self._last_read_at = float("inf")
        self._reading_since = now
        self._unread_age = UnreadAge(empty_at)

    def begin(self, now: float) -> None:
        """Record that the event loop reads from the connection: it may have been accepted well before."""
        self._reading_since = now

    def record_read(self, now: float, size: int) -> int:
        """Record a read of `size` bytes; returns the nanoseconds for which they may have been unread."""
        # Not `now`: an end of file after these bytes would be read in the next iteration only.
        self._confirmed_alive_at = self.last_alive_at()
        polled_at = self._lag.sockets_polled_at
        if self.is_reading and self._reading_since < polled_at:
            self._unread_age.emptied(polled_at)
        self._last_read_at = now
        return int(self._unread_age.read(now, size) * 1e9)

    def resume(self, now: float) -> None:
        """Record that the event loop reads from the connection again."""
        self.is_reading = True
        self._last_read_at = self._reading_since = now

    def exclude_wait(self, now: float) -> None:
        """Do not count the time until now for which bytes were unread."""
        self._unread_age.emptied(now)

    def last_alive_at(self) -> float:
        """Return the latest loop time at which the client is known to have been connected."""
        polled_at = self._lag.sockets_polled_at
        if self.is_reading and self._last_read_at < polled_at:
            return max(polled_at, self._confirmed_alive_at)
        return self._confirmed_alive_at

    def poll_state(self, clock: Callable[[], float]) -> ClientState:
        """Poll whether the client is connected; unknown if bytes are unread.

        An end of file is not seen until the bytes before it are in the kernel, which takes so many only.
        """
        events = self._poll_socket(self.descriptor, READ_EVENTS)
        if peer_has_closed(events):
            return ClientState.DISCONNECTED
        if events & select.POLLIN:
            return ClientState.UNKNOWN
        self._confirmed_alive_at = clock()
        self._unread_age.emptied(self._confirmed_alive_at)
        return ClientState.CONNECTED

    def has_unread(self) -> bool:
        """Whether a connected client has sent bytes that the event loop has not read."""
        events = self._poll_socket(self.descriptor, READ_EVENTS)
        return bool(events & select.POLLIN) and not peer_has_closed(events)

    def without_unread_age(self, now: float) -> UnreadAge:
        """Replace and return the age of unread bytes, before bytes that do not come from the socket."""
        replaced, self._unread_age = self._unread_age, UnreadAge(now)
        return replaced

    def restore_unread_age(self, unread_age: UnreadAge) -> None:
        """Undo `without_unread_age`."""
        self._unread_age = unread_age
