"""The platform's counters, which start at 0 in each process, and their StatsD form. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable

PREFIX = "svc"


class Counters:
    """Counts of final responses by request class, and of attempts sent, since the start of this process.

    A streamed value is counted when its last part is sent.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        names = tuple(classes)
        self.answered = dict.fromkeys(names, 0)
        """Requests served, by class."""
        self.deferred = dict.fromkeys(names, 0)
        """Requests rejected, by class."""
        self.errored = dict.fromkeys(names, 0)
        """Requests failed, by class."""
        self.sends = 0
        """Attempts to cache servers and the origin, counted when their last byte is written.

        Health checks and the batches of multi-get commands are not counted.
        """

    def lines(self, current: int, cluster_size: int, cluster_unhealthy: int) -> list[str]:
        """Return the counters and gauges as StatsD lines; the arguments are the values of the gauges."""
        by_class = {"answered": self.answered, "deferred": self.deferred, "errored": self.errored}
        counters = {
            f"{name}.{request_class}": count
            for name, counts in by_class.items()
            for request_class, count in counts.items()
        }
        counters["sends"] = self.sends
        gauges = {
            "current": current,
            "cluster_size": cluster_size,
            "cluster_unhealthy": cluster_unhealthy,
        }
        return [
            *(f"{PREFIX}.{name}:{value}|c" for name, value in counters.items()),
            *(f"{PREFIX}.{name}:{value}|g" for name, value in gauges.items()),
        ]
