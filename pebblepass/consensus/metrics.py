"""A router's part in its fleet in OpenMetrics, by prometheus_client; only who scrapes pays for it."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from msgspec import Struct
from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.openmetrics.exposition import CONTENT_TYPE_LATEST, generate_latest

CONTENT_TYPE = CONTENT_TYPE_LATEST


class Counted(Struct, frozen=True):
    """What is told, as it stands."""

    version: int
    in_force: bool
    alive: int
    """Other routers that are heard."""
    steps: Mapping[str, int]
    work: Mapping[str, int]
    """Messages, writes and failed writes."""
    links_closed: Mapping[str, int]


class _Collector:
    def __init__(self, told: Counted) -> None:
        self._told = told

    def collect(self) -> Iterator[Metric]:
        told = self._told
        for name, words, value in (
            ("version", "The policy's version that is decided here", told.version),
            ("in_force", "Whether this router holds a lease on it", int(told.in_force)),
            ("alive", "Other routers of the fleet that are heard", told.alive),
        ):
            yield GaugeMetricFamily(f"pebblepass_fleet_{name}", words, value=value)
        for name, label, words, counts in (
            ("steps", "event", "Steps of changes", told.steps),
            ("work", "kind", "Messages sent, writes, and writes that failed", told.work),
            ("links_closed", "cause", "Links closed and messages dropped", told.links_closed),
        ):
            family = CounterMetricFamily(f"pebblepass_fleet_{name}", words, labels=[label])
            for what, count in sorted(counts.items()):
                family.add_metric([what], count)
            yield family


def exposition(told: Counted) -> bytes:
    """The page."""
    registry = CollectorRegistry()
    registry.register(_Collector(told))
    page: bytes = generate_latest(registry)  # type: ignore[no-untyped-call]
    return page
