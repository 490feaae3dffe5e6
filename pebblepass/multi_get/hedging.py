"""The budget for hedged requests."""

from __future__ import annotations

MAX_SAVED_HEDGES = 8.0  # unspent hedged requests that may accumulate for a burst


class HedgeBudget:
    """Limits hedged requests to a fraction of all attempts (Dean and Barroso, The Tail at Scale, 2013)."""

    def __init__(self, fraction: float) -> None:
        """`fraction`: of all attempts, from 0 (no hedged requests) to 1."""
        self._fraction = fraction
        self._saved = 0.0
        self.spent = 0
        """The number of hedged requests so far."""

    def record_attempts(self, count: int) -> None:
        """Record that `count` attempts were made."""
        self._saved = min(self._saved + count * self._fraction, MAX_SAVED_HEDGES)

    def spend(self) -> bool:
        """Return whether one more hedged request may be sent, and count it if so."""
        if self._saved < 1:
            return False
        self._saved -= 1
        self.spent += 1
        return True
