"""When a second copy of a slow key is worth its price."""

from __future__ import annotations

BURST = 8.0  # copies saved up at most


class HedgeBudget:
    """A stated share of all attempts may be second copies (Dean and Barroso, The Tail at Scale, 2013)."""

    def __init__(self, share: float) -> None:
        """`share`: of all attempts, from 0 (never) to 1."""
        self._share = share
        self._saved = 0.0
        self.spent = 0

    def attempted(self, count: int) -> None:
        """So many attempts have been made."""
        self._saved = min(self._saved + count * self._share, BURST)

    def spend(self) -> bool:
        """Whether one more copy may be sent; it is counted."""
        if self._saved < 1:
            return False
        self._saved -= 1
        self.spent += 1
        return True
