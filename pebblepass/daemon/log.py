"""The log on standard error, limited in lines per second: a repeating fault must not use up the CPU."""

from __future__ import annotations

import logging
from collections.abc import Callable

DEFAULT_LINES_PER_SECOND = 5


class LogRateLimit(logging.Filter):
    """Passes a few lines each second, drops the rest, and reports how many were dropped."""

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__()
        self._now = now
        self.lines_per_second = DEFAULT_LINES_PER_SECOND
        self._second, self._lines, self._dropped = 0, 0, 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line passes."""
        second = int(self._now())
        if second != self._second:
            if self._dropped:
                record.msg = f"({self._dropped} lines dropped) {record.msg}"
            self._second, self._lines, self._dropped = second, 0, 0
        self._lines += 1
        passes = self._lines <= self.lines_per_second
        self._dropped += not passes
        return passes


def make_logger(name: str, now: Callable[[], float]) -> LogRateLimit:
    """Set up the router's log; `now` returns the time in seconds, for the limit."""
    rate_limit = LogRateLimit(now)
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter(f"%(asctime)s {name} %(levelname)s %(message)s"))
    handler.addFilter(rate_limit)
    logger = logging.getLogger("pebblepass")
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    return rate_limit
