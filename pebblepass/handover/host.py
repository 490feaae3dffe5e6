"""What the handover needs of the router in whose process it runs."""

from __future__ import annotations

import socket
from typing import Protocol

from pebblepass.handover.descriptor_split import ConnectionLimits
from pebblepass.handover.messages import ConnectionCounts, ConnectionState


class HandoverHost(Protocol):
    """A router that can export and import its state and its clients' connections."""

    def export_snapshot(self) -> bytes:
        """Return the encoded state for a successor."""

    def import_snapshot(self, data: bytes) -> None:
        """Import a predecessor's state; raises HandoverError, and then no part of it is used."""

    def begin_serving(self) -> None:
        """Accept clients, for the first time or again."""

    def stop_accepting(self) -> None:
        """Accept no further clients."""

    def hand_over_connections(self) -> None:
        """Give every connection without an open request to `Handover.send_connections`, now or once idle."""

    def close_idle_connections(self) -> None:
        """Close every connection without an open request, now or once idle."""

    def connection_counts(self) -> ConnectionCounts:
        """Return how many connections there are."""

    def limit_connections(self, limits: ConnectionLimits, alone: bool) -> None:
        """Apply limits for connections; `alone`: and use all of a router's memory."""

    def adopt_connection(self, sock: socket.socket, state: ConnectionState) -> None:
        """Serve a client's connection that was handed over."""
