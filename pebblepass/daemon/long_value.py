"""A long value that is the answer to a client's command, while it is incomplete. No I/O, no clock."""

from __future__ import annotations

import asyncio


class LongValue:
    """The state of one value, from its first byte to its last."""

    __slots__ = ("_timer", "hold_s", "is_begun", "size")

    def __init__(self, size: int, hold_s: float) -> None:
        """`size`: of the complete reply, in bytes."""
        self.size, self.hold_s = size, hold_s
        self.is_begun = False
        """Whether a part of it is written to the client."""
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_held(self) -> bool:
        """Whether it is buffered until it is complete."""
        return self._timer is not None

    def hold(self, timer: asyncio.TimerHandle) -> None:
        """Hold it until the timer is due."""
        self._timer = timer

    def release(self) -> None:
        """Hold it no longer."""
        self.hold_s = 0.0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
