"""A log of few lines on standard error: a fault that repeats must not cost the CPU that it lacks."""

from __future__ import annotations

import logging
from collections.abc import Callable

LINES_A_SECOND = 5


class Limit(logging.Filter):
    """Lets a few lines through each second and counts the rest."""

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__()
        self._now = now
        self.lines_a_second = LINES_A_SECOND
        self._second, self._lines, self._dropped = 0, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line is written."""
        second = int(self._now())
        if second != self._second:
            if self._dropped:
                record.msg = f"({self._dropped} lines left out) {record.msg}"
            self._second, self._lines, self._dropped = second, 0, 0
        self._lines += 1
        kept = self._lines <= self.lines_a_second
        self._dropped += not kept
        return kept


def make_logger(name: str, now: Callable[[], float]) -> Limit:
    """Set the router's log up; `now` gives the time in seconds by which its lines are limited."""
    limit = Limit(now)
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    handler.addFilter(limit)
    logger = logging.getLogger("pebblepass")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return limit
