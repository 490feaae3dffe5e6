"""Parses servers' load reports, and caches the recent results."""

from __future__ import annotations

from pebblepass.wire import resp

MAX_CACHED_REPORTS = 256


class LoadReportParser:
    """Parses load reports; a server repeats a report until its load changes, so results are cached."""

    __slots__ = ("_cache", "_fields")

    def __init__(self, fields: tuple[str, ...]) -> None:
        """`fields`: names of the values, in the order of the result."""
        self._fields = fields
        self._cache: dict[bytes, tuple[float, ...] | None] = {}

    def parse(self, report: bytes | None) -> tuple[float, ...] | None:
        """Return the values of a load report; None if there is no report, or it is invalid."""
        if not report:
            return None
        if report in self._cache:
            return self._cache[report]
        if len(self._cache) >= MAX_CACHED_REPORTS:
            self._cache.clear()
        parsed = self._cache[report] = resp.parse_load(report, self._fields)
        return parsed
