"""What is known of a client's end of its connection."""

from __future__ import annotations

import enum


class ClientState(enum.Enum):
    """Whether a client is connected."""

    CONNECTED = "connected, as of at most LIVENESS_TTL_S ago"
    DISCONNECTED = "it has closed or reset the connection"
    UNKNOWN = "it has sent more than there is memory for, behind which its end may be"
