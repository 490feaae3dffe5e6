"""The other routers: their liveness and the state in their last message. No I/O, no clock."""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.peers.failure_detector import FailureDetector


class PeerTable:
    """The last reported states of the other routers by name, with the failure detector."""

    def __init__(self, heartbeat_interval: int, now: int) -> None:
        """`heartbeat_interval`: nanoseconds."""
        self.detector = FailureDetector(heartbeat_interval, now)
        self._states: dict[str, m.Sender] = {}

    def record(self, sender: m.Sender, now: int) -> None:
        """Record the state in a message, which also counts as a heartbeat."""
        self.detector.heartbeat(sender.name, now)
        self._states[sender.name] = sender

    def state(self, name: str) -> m.Sender | None:
        """Return the last state received from a router; None: nothing was received from it."""
        return self._states.get(name)

    def is_alive(self, name: str, now: int) -> bool:
        """Whether a heartbeat of the router has arrived recently."""
        return self.detector.is_alive(name, now)

    def alive(self, names: list[str], now: int) -> list[str]:
        """Return those of these routers that are alive."""
        return [name for name in names if self.detector.is_alive(name, now)]

    def leased_version(self, name: str) -> int:
        """Return the version that a router last reported a lease on; 0: none."""
        state = self._states.get(name)
        return state.leased_version if state is not None else 0

    def disk_id(self, name: str) -> str:
        """Return the id of the disk that a router last reported; empty: none."""
        state = self._states.get(name)
        return state.disk_id if state is not None else ""
