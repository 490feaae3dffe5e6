"""The platform's figures, counted from 0 by each process, and how they are written. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable

PREFIX = "svc"


class Counters:
    """Final answers by class, and attempts written whole to cache servers, since the start of this process.

    An answer is counted where it is given for good: a value that is passed on in parts, with its last part.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        names = tuple(classes)
        self.answered = dict.fromkeys(names, 0)
        """Requests served, by class."""
        self.deferred = dict.fromkeys(names, 0)
        """Requests refused, by class."""
        self.errored = dict.fromkeys(names, 0)
        """Requests failed, by class."""
        self.sends = 0
        """Attempts of which the last byte has been written; probes are none."""

    def lines(self, current: int, cluster_size: int, cluster_unhealthy: int) -> list[str]:
        """The figures in the StatsD form, a line each; the arguments are gauges as they stand now."""
        counts = [
            (f"{name}.{cls}", count)
            for name, of in (
                ("answered", self.answered),
                ("deferred", self.deferred),
                ("errored", self.errored),
            )
            for cls, count in of.items()
        ]
        counts.append(("sends", self.sends))
        gauges = (
            ("current", current),
            ("cluster_size", cluster_size),
            ("cluster_unhealthy", cluster_unhealthy),
        )
        return [
            *(f"{PREFIX}.{name}:{value}|c" for name, value in counts),
            *(f"{PREFIX}.{name}:{value}|g" for name, value in gauges),
        ]
