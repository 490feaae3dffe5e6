"""The outbox collects the actions of one event, and the messages that wait for a sync. No I/O, no clock.

| state of a message | event | guard | next |
| --- | --- | --- | --- |
| new | send | addressed to this router | looped back, and handled before the event ends |
| new | send | the record of this start is synced | sent |
| new | send | the record of this start is not synced yet | dropped; important messages are repeated |
| new | send after a write | - | waiting |
| waiting | written | its record is synced | sent |
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

from pebblepass.consensus import messages as m
from pebblepass.consensus.actions import Action, ChangeStep, Send, Write
from pebblepass.consensus.records import Record


class Outbox:
    """Collects actions. `now` is the time of the event, in nanoseconds of the router's clock."""

    def __init__(self, name: str, sender: Callable[[], m.Sender], now: int) -> None:
        """`sender` returns the current state, which every message carries."""
        self.name, self.now = name, now
        self._sender = sender
        self._actions: list[Action] = []
        self._loopback: deque[m.Message] = deque()
        self._last_token = self._synced_token = self._start_token = 0
        self._waiting: deque[tuple[int, str, m.Body]] = deque()

    def begin(self, now: int) -> None:
        """Begin an event."""
        self.now, self._actions = now, []

    def finish(self) -> list[Action]:
        """Return the event's actions."""
        return self._actions

    def next_loopback(self) -> m.Message | None:
        """Remove and return the next message to this router itself; None: there is none."""
        return self._loopback.popleft() if self._loopback else None

    def emit(self, action: Action) -> None:
        """Add an action."""
        self._actions.append(action)

    def log_step(self, event: str, version: int, peer: str = "", cause: str = "") -> None:
        """Add a step of a change, to be logged and counted."""
        self._actions.append(ChangeStep(event, version, peer, cause))

    def send(self, to: str, body: m.Body, boot_id: str = "") -> None:
        """Send a message, to one run of the receiver's process where `boot_id` names it."""
        message = m.Message(self._sender(), body)
        if to == self.name:
            self._loopback.append(message)
        elif self._synced_token >= self._start_token:
            # Warning: if a start is announced before its record is synced, the start after a power loss has
            # the same number, and other voters would take its disk for an older copy.
            self._actions.append(Send(to, message, boot_id))

    def send_all(self, names: Iterable[str], body: m.Body) -> None:
        """Send a message to several routers."""
        for name in names:
            self.send(name, body)

    def write(self, record: Record) -> int:
        """Write a record; return the token that `mark_synced` receives once it is synced."""
        self._last_token += 1
        self._actions.append(Write(self._last_token, (record,)))
        return self._last_token

    def write_start(self, record: Record) -> None:
        """Write the record of this start. Nothing is sent to other routers until it is synced."""
        self._start_token = self.write(record)

    def send_after_write(self, record: Record, to: str, body: m.Body) -> None:
        """Write a record, and send the message once the record is synced.

        Warning: a promise that is sent before its record is synced is forgotten after a power loss.
        """
        self._waiting.append((self.write(record), to, body))

    def mark_synced(self, token: int) -> bool:
        """Record that all writes up to this token are synced; return whether this start's has just been."""
        start_synced = self._synced_token < self._start_token <= token
        self._synced_token = max(self._synced_token, token)
        return start_synced

    def is_synced(self, token: int) -> bool:
        """Whether the write with this token is synced."""
        return token <= self._synced_token

    def send_waiting(self) -> None:
        """Send the messages whose records are synced."""
        while self._waiting and self.is_synced(self._waiting[0][0]):
            _, to, body = self._waiting.popleft()
            self.send(to, body)
