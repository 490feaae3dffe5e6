"""The effects of writes: deduplication as nodes do it, and detection of repeated effects. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RepeatedEffect:
    """A write that took effect more than once for one request."""

    request: str
    request_class: str
    at: float


class EffectLog:
    """The writes applied so far, shared by all nodes and the store."""

    def __init__(self, windows: dict[str, float], on_repeat: Callable[[RepeatedEffect], None]) -> None:
        """`windows`: the deduplication window of each class, in seconds."""
        self._windows, self._on_repeat = windows, on_repeat
        self._applied_at: dict[tuple[str, str], float] = {}
        self._applied_counts: dict[str, int] = {}
        self.applied = self.dropped = 0

    def apply(self, request: str, request_class: str, key: str | None, now: float) -> bool:
        """Apply a write; False if it repeats one that was applied within the class's window.

        `key` is the idempotency key; a write without one is never dropped.
        """
        window = self._windows.get(request_class, 0.0)
        dedup_key = (request_class, key or "")
        if key is not None and window > 0:
            applied_at = self._applied_at.get(dedup_key)
            if applied_at is not None and now - applied_at <= window:
                self.dropped += 1
                return False
            self._applied_at[dedup_key] = now
        self.applied += 1
        count = self._applied_counts[request] = self._applied_counts.get(request, 0) + 1
        if count > 1:
            self._on_repeat(RepeatedEffect(request, request_class, now))
        return True
