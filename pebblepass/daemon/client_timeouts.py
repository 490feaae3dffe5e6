"""The timeouts of clients: for sending a command, for reading replies, and for using a connection."""

from __future__ import annotations

import logging

from pebblepass.daemon.client_connection import ClientConnection
from pebblepass.daemon.close_reasons import CloseReason

IDLE_TIMEOUT_S = 2.0  # after which a connection without an open request is closed, even if it never had one
COMMAND_TIMEOUT_S = 2.0  # for receiving one command; the platform allows 3 s, and a sweep may come 0.5 s late
WRITE_STALL_TIMEOUT_S = 10.0  # within which a client has to read some of its buffered replies

log = logging.getLogger("pebblepass")


def enforce_timeouts(connection: ClientConnection, now: float) -> None:
    """Close the connection if its client has exceeded a timeout; `now` is loop time in seconds."""
    if connection.in_handover:
        return
    if connection.blocked:
        _check_write_stall(connection, now)
    elif connection.idle:
        _check_idle(connection, now)
    # This applies to a client that waits for memory too.
    elif (
        connection.reader.needed_bytes
        and not connection.replies
        and now - connection.command_started_at > COMMAND_TIMEOUT_S
    ):
        log.warning(
            "client did not complete its command within %.1f s (%d of at least %d bytes received):"
            " command rejected, closing the connection",
            COMMAND_TIMEOUT_S,
            connection.reader.buffered_bytes,
            connection.reader.needed_bytes,
        )
        connection.reject_unfinished()


def _check_write_stall(connection: ClientConnection, now: float) -> None:
    assert connection.transport is not None
    size = connection.transport.get_write_buffer_size()
    if size != connection.unsent_at_last_sweep:
        connection.unsent_at_last_sweep, connection.last_used_at = size, now
    if now - connection.last_used_at > WRITE_STALL_TIMEOUT_S:
        log.warning(
            "client read none of its %d buffered reply bytes for %.0f s: connection aborted",
            size,
            WRITE_STALL_TIMEOUT_S,
        )
        connection.abort(CloseReason.STALLED)


def _check_idle(connection: ClientConnection, now: float) -> None:
    # Limits connections and memory used by clients that connect without sending a request, or keep their
    # connection open after one.
    if now - connection.last_used_at <= IDLE_TIMEOUT_S or connection.transport is None:
        return
    if not connection.has_unread():
        connection.close(CloseReason.IDLE)
