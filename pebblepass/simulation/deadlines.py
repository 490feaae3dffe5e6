"""Timeouts that attempts advertise, compared with the time that their clients have left; no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from pebblepass.emulators.advertised import AdvertisedTimeout

US_PER_S, US_PER_MS = 1_000_000, 1000


@dataclass(slots=True)
class DeadlineCount:
    """Counts of attempts, and of those that advertised more time than their client had left."""

    attempts: int = 0
    further: int = 0
    """Attempts that were not the first for their request."""
    above: int = 0
    """Attempts that advertised more than was left, by more than the slack of the clock."""
    unreadable: int = 0
    """Attempts without a readable timeout."""
    largest_excess_us: int = 0
    """The largest excess of an advertised timeout over the time left, within the slack or beyond it."""

    def add_attempt(self, excess_us: int | None, is_further: bool, is_above: bool) -> None:
        """Count an attempt; `excess_us`: None where its timeout can't be read."""
        self.attempts += 1
        self.unreadable += excess_us is None
        self.further += is_further
        self.above += is_above
        self.largest_excess_us = max(self.largest_excess_us, excess_us or 0)

    def report(self) -> dict[str, Any]:
        """Return the counts under the keys of the report."""
        return {
            "attempts": self.attempts,
            "further_attempts": self.further,
            "above_what_was_left": self.above,
            "unreadable": self.unreadable,
            "largest_excess_ms": self.largest_excess_us / US_PER_MS,
        }


def excess_us(advertised: AdvertisedTimeout, client_deadline: float) -> int | None:
    """Return the advertised timeout minus the time left at the attempt's first byte, in microseconds.

    Negative where less was advertised than was left; None where no timeout can be read. Rounded to
    microseconds, because both ends round their times to nanoseconds.
    """
    if advertised.timeout_ms is None:
        return None
    left_us = round((client_deadline - advertised.first_byte_at) * US_PER_S)
    return advertised.timeout_ms * US_PER_MS - left_us
