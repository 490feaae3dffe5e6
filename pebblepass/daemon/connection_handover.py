"""The handover of one client's connection to another process."""

from __future__ import annotations

from pebblepass.daemon.client_connection import ClientConnection
from pebblepass.daemon.close_reasons import CloseReason
from pebblepass.handover.messages import MAX_PARTIAL_COMMAND, ConnectionState


class ConnectionHandover:
    """The handover of one connection: `begin` comes first, then either `cancel` or `complete`."""

    __slots__ = ("connection",)

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection

    def begin(self) -> bool:
        """Stop reading if the connection can be handed over; returns whether it can.

        It can if it is idle, or has received little of a command.
        """
        connection, transport = self.connection, self.connection.transport
        if transport is None or not connection.is_transferable:
            return False
        if connection.reader.buffered_bytes > MAX_PARTIAL_COMMAND:
            return False
        # Warning: replies that the kernel has not accepted would be lost with this process.
        if transport.get_write_buffer_size():
            return False
        if connection.liveness.is_reading:
            transport.pause_reading()
            connection.liveness.is_reading = False
        connection.in_handover = True
        return True

    def state(self) -> ConnectionState:
        """Return the state that the other process needs to continue serving this connection."""
        connection = self.connection
        age_s = connection.server.loop.time() - connection.command_started_at
        session = connection.session
        handshake = (session.protocol, session.name, session.number) if session is not None else (0, b"", 0)
        return ConnectionState(
            connection.reader.buffered, max(int(age_s * 1000), 0), connection.has_sent_command, *handshake
        )

    def cancel(self) -> None:
        """Serve the connection again: the other process could not accept it."""
        self.connection.in_handover = False
        self.connection.update_reading()

    def complete(self) -> None:
        """Release the descriptor: the other process serves the connection now."""
        connection = self.connection
        connection.closed = True
        connection.server.closes.record(CloseReason.HANDED_OVER)
        connection.server.unregister(connection)
        if connection.transport is not None:
            connection.transport.abort()
