"""What writes have done: repeats dropped as the nodes drop them, and effects that happened twice. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RepeatedEffect:
    """An effect that happened more than once for one request."""

    request: str
    request_class: str
    at: float


class EffectLog:
    """The memory that all nodes and the store share of the keyed writes that have run."""

    def __init__(self, windows: dict[str, float], doubled: Callable[[RepeatedEffect], None]) -> None:
        """`windows`: for how long repeats are dropped, by class, in seconds."""
        self._windows, self._doubled = windows, doubled
        self._ran_at: dict[tuple[str, str], float] = {}
        self._applied: dict[str, int] = {}
        self.applied = self.dropped = 0

    def run(self, request: str, request_class: str, key: str | None, now: float) -> bool:
        """Run a write; False: it was dropped as the repeat of one that ran within the class's window.

        `key` is the idempotency key; a write without one is never dropped.
        """
        window = self._windows.get(request_class, 0.0)
        mark = (request_class, key or "")
        if key is not None and window > 0:
            ran_at = self._ran_at.get(mark)
            if ran_at is not None and now - ran_at <= window:
                self.dropped += 1
                return False
            self._ran_at[mark] = now
        self.applied += 1
        count = self._applied[request] = self._applied.get(request, 0) + 1
        if count > 1:
            self._doubled(RepeatedEffect(request, request_class, now))
        return True
