"""The last replies of a process that ends: which connections still take theirs. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from msgspec import Struct

from pebblepass.daemon.close_reasons import CloseReason

STALL_TIMEOUT_S = 2.0
"""A client that takes no byte for so long does not hold the process."""


class EndingConnection(Protocol):
    """A client's connection, as the end of the process sees it."""

    closed: bool
    in_handover: bool

    @property
    def has_open_replies(self) -> bool:
        """Whether it has replies that are not written completely."""

    @property
    def has_waiting_commands(self) -> bool:
        """Whether commands that were read wait for their turn."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of replies that this machine's kernel has not accepted."""

    @property
    def descriptor(self) -> int:
        """The file descriptor of its socket."""

    @property
    def awaits_value(self) -> bool:
        """Whether its next reply is a long value that its server is still sending."""

    def stop_reading(self) -> None:
        """Leave unread what the client sends from now on."""

    def end(self) -> None:
        """Close it, or hand it over if another process takes connections over."""

    def abort(self, reason: CloseReason) -> None:
        """Abort it."""


class _Observation(Struct):
    untaken_bytes: int
    """Bytes of replies that the client's kernel has not taken."""
    changed_at: float
    has_value: bool = False
    """Whether a long value was seen."""


class LastReplies:
    """Observes clients from a shutdown's first steps on, and ends each connection after its last reply."""

    def __init__(self, untaken_bytes: Callable[[int], int]) -> None:
        """`untaken_bytes`: returns what this machine's kernel holds back for the peer of a descriptor."""
        self._untaken_bytes = untaken_bytes
        self._observations: dict[EndingConnection, _Observation] = {}

    def observe(self, connections: Iterable[EndingConnection], now: float) -> None:
        """Record what clients have taken; `now` is loop time in seconds."""
        before, self._observations = self._observations, {}
        for connection in connections:
            size = connection.unsent_bytes + self._untaken_bytes(connection.descriptor)
            known = before.get(connection)
            if known is None:
                known = _Observation(size, now)
            elif known.untaken_bytes != size:
                known.untaken_bytes, known.changed_at = size, now
            known.has_value = known.has_value or connection.awaits_value
            self._observations[connection] = known

    def stop_reading(self) -> None:
        """Accept no further command: what clients send from now on crosses the end unread."""
        for connection in self._observations:
            connection.stop_reading()

    def end_finished(self, now: float, drops_commands: bool, is_overtime: bool) -> bool:
        """End the connections whose replies are taken, and those that stall; returns whether some are left.

        `drops_commands`: commands that wait for their turn hold the process no longer; `is_overtime`: only
        long values, and what is behind them, still do. A server that stalls within a value ends it by itself,
        see `ValueStream`.
        """
        for connection, known in list(self._observations.items()):
            is_replying = connection.has_open_replies or known.untaken_bytes > 0
            if connection.closed:
                del self._observations[connection]
            elif connection.in_handover:
                if is_overtime and self._is_stalled(connection, known, now):
                    self._abort(connection, CloseReason.EXIT)
            elif is_replying and self._is_stalled(connection, known, now):
                self._abort(connection, CloseReason.STALLED)
            elif not is_replying and not connection.has_waiting_commands:
                # Warning: a connection that is closed with unread commands is reset, and what its client's
                # kernel has not taken is lost.
                connection.end()
            elif known.has_value and is_replying:
                continue
            elif is_overtime or (drops_commands and connection.has_waiting_commands):
                self._abort(connection, CloseReason.EXIT)
        return bool(self._observations)

    def _abort(self, connection: EndingConnection, reason: CloseReason) -> None:
        del self._observations[connection]
        connection.abort(reason)

    def _is_stalled(self, connection: EndingConnection, known: _Observation, now: float) -> bool:
        waits_for_server = connection.awaits_value and not known.untaken_bytes
        return not waits_for_server and now - known.changed_at >= STALL_TIMEOUT_S
