"""The interface of the router that takes part in a handover."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from pebblepass.handover.descriptor_split import ConnectionLimits
from pebblepass.handover.messages import ConnectionCounts, ConnectionState


class HandoverHost(Protocol):
    """A router that can export and import its state and its client connections."""

    def export_snapshot(self) -> bytes:
        """Return the encoded state for a successor."""

    def import_snapshot(self, data: bytes) -> None:
        """Import a predecessor's state; raises HandoverError, and then uses no part of it."""

    def begin_serving(self) -> None:
        """Begin or resume accepting clients."""

    def stop_accepting(self) -> None:
        """Stop accepting clients."""

    def hand_over_connections(self) -> None:
        """Pass every client connection to `Handover.send_connections` once it has no open request."""

    def close_idle_connections(self) -> None:
        """Close every client connection once it has no open request."""

    def connection_counts(self) -> ConnectionCounts:
        """Return the numbers of open connections."""

    def limit_connections(self, limits: ConnectionLimits, alone: bool) -> None:
        """Apply connection limits; `alone`: whether this process may use all of the router's memory."""

    def announce_writes(self, announce: Callable[[list[str]], None]) -> None:
        """Pass on the ids of the writes that must not be sent again: those known now, then each new one."""

    def import_writes(self, request_ids: tuple[str, ...]) -> None:
        """Refuse writes with these ids for a while: the predecessor may have sent them."""

    def adopt_connection(self, sock: socket.socket, state: ConnectionState) -> None:
        """Serve a client connection that was handed over."""
