"""The ledger in OpenMetrics, by prometheus_client: https://prometheus.io/docs/specs/om/open_metrics_spec/."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Any

from prometheus_client import CollectorRegistry
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.openmetrics.exposition import CONTENT_TYPE_LATEST, generate_latest

from pebblepass.accounting.ledger import Cut

BOUNDS_US = (1_000, 2_500, 5_000, 10_000, 25_000, 50_000, 100_000, 250_000, 500_000, 1_000_000, 2_500_000)
CONTENT_TYPE = CONTENT_TYPE_LATEST
LABELS = ["class", "namespace"]

_COUNTS = (
    ("taken", "Requests taken"),
    ("gone", "Requests whose client left"),
    ("origin_fetches", "Attempts at the origin"),
    ("bytes_taken", "Bytes of requests"),
    ("bytes_served", "Bytes of values served"),
)
_SPLIT = (
    ("refused", "refused_by_reason", "reason", "Requests refused"),
    ("failed", "failed_by_reason", "reason", "Requests failed"),
    ("attempts", "attempts", "outcome", "Attempts at servers"),
)


class CutCollector:
    """Collects the metrics of one cut of the ledger."""

    def __init__(self, cut: Cut) -> None:
        self._cut = cut

    def collect(self) -> Iterator[Metric]:
        """Called by prometheus_client."""
        rows = self._cut.export_rows()
        for key, words in _COUNTS:
            family = CounterMetricFamily(f"pebblepass_{key}", words, labels=LABELS)
            for row in rows:
                family.add_metric([row["class"], row["namespace"]], row[key])
            yield family
        served = CounterMetricFamily("pebblepass_served", "Requests served", labels=[*LABELS, "when"])
        for row in rows:
            for when in ("in_aim", "late"):
                served.add_metric([row["class"], row["namespace"], when], row[f"served_{when}"])
        yield served
        for name, key, label, words in _SPLIT:
            family = CounterMetricFamily(f"pebblepass_{name}", words, labels=[*LABELS, label])
            for row in rows:
                for what, count in row[key].items():
                    family.add_metric([row["class"], row["namespace"], what], count)
            yield family
        opened = GaugeMetricFamily("pebblepass_open", "Requests open now", labels=LABELS)
        for row in rows:
            opened.add_metric([row["class"], row["namespace"]], row["open"])
        yield opened
        yield self._latency(rows)
        yield CounterMetricFamily(
            "pebblepass_breaches", "Moves that broke the ledger's rules", value=self._cut.breach_count
        )
        yield GaugeMetricFamily(
            "pebblepass_breaches_unacknowledged",
            "Breaches nobody has taken note of",
            value=len(self._cut.breaches),
        )

    @staticmethod
    def _latency(rows: list[dict[str, Any]]) -> Metric:
        family = HistogramMetricFamily("pebblepass_latency_seconds", "Time to a served answer", labels=LABELS)
        for row in rows:
            buckets, count, remaining = [], 0, deque(row["latency_us"])
            for bound in BOUNDS_US:
                while remaining and remaining[0][1] <= bound:
                    count += remaining.popleft()[2]
                buckets.append((str(bound / 1e6), count))
            count += sum(n for _, _, n in remaining)
            total = sum((least + above) / 2 * n for least, above, n in row["latency_us"]) / 1e6
            family.add_metric([row["class"], row["namespace"]], [*buckets, ("+Inf", count)], total)
        return family


def exposition(cut: Cut) -> bytes:
    """Return the text of a scrape."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(CutCollector(cut))
    text: bytes = generate_latest(registry)  # type: ignore[no-untyped-call]
    return text
