"""Consensus metrics of a router in the OpenMetrics format. They are collected only when scraped."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from msgspec import Struct
from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.openmetrics.exposition import CONTENT_TYPE_LATEST, generate_latest

CONTENT_TYPE = CONTENT_TYPE_LATEST


class FleetMetrics(Struct, frozen=True):
    """The current values of the metrics."""

    version: int
    in_force: bool
    alive: int
    """Other routers that are alive."""
    steps: Mapping[str, int]
    work: Mapping[str, int]
    """Counts of messages, writes and failed writes."""
    links_closed: Mapping[str, int]
    """Links closed and messages dropped, by cause."""


class _Collector:
    def __init__(self, metrics: FleetMetrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        metrics = self._metrics
        for name, text, value in (
            ("version", "The policy's version that is decided here", metrics.version),
            ("in_force", "Whether this router holds a lease on it", int(metrics.in_force)),
            ("alive", "Other routers of the fleet that are heard", metrics.alive),
        ):
            yield GaugeMetricFamily(f"pebblepass_fleet_{name}", text, value=value)
        for name, label, text, counts in (
            ("steps", "event", "Steps of changes", metrics.steps),
            ("work", "kind", "Messages sent, writes, and writes that failed", metrics.work),
            ("links_closed", "cause", "Links closed and messages dropped", metrics.links_closed),
        ):
            family = CounterMetricFamily(f"pebblepass_fleet_{name}", text, labels=[label])
            for label_value, count in sorted(counts.items()):
                family.add_metric([label_value], count)
            yield family


def exposition(metrics: FleetMetrics) -> bytes:
    """Return the response to a scrape."""
    registry = CollectorRegistry()
    registry.register(_Collector(metrics))
    page: bytes = generate_latest(registry)  # type: ignore[no-untyped-call]
    return page
