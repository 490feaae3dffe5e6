"""The ledger's metrics in OpenMetrics text (https://prometheus.io/docs/specs/om/open_metrics_spec/)."""

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

BUCKET_BOUNDS_US = (
    1_000,
    2_500,
    5_000,
    10_000,
    25_000,
    50_000,
    100_000,
    250_000,
    500_000,
    1_000_000,
    2_500_000,
)
CONTENT_TYPE = CONTENT_TYPE_LATEST
LABELS = ["class", "namespace"]

_COUNTERS = (
    ("taken", "Requests taken"),
    ("gone", "Requests whose client left"),
    ("origin_fetches", "Attempts at the origin"),
    ("bytes_taken", "Bytes of requests"),
    ("bytes_served", "Bytes of values served"),
)
_LABELLED_COUNTERS = (
    ("refused", "refused_by_reason", "reason", "Requests refused"),
    ("failed", "failed_by_reason", "reason", "Requests failed"),
    ("attempts", "attempts", "outcome", "Attempts at servers"),
)


class CutCollector:
    """A prometheus_client collector for one cut of the ledger."""

    def __init__(self, cut: Cut) -> None:
        self._cut = cut

    def collect(self) -> Iterator[Metric]:
        """Yield the metric families; prometheus_client calls this."""
        rows = self._cut.export_rows()
        for key, help_text in _COUNTERS:
            family = CounterMetricFamily(f"pebblepass_{key}", help_text, labels=LABELS)
            for row in rows:
                family.add_metric([row["class"], row["namespace"]], row[key])
            yield family
        served = CounterMetricFamily("pebblepass_served", "Requests served", labels=[*LABELS, "when"])
        for row in rows:
            for when in ("in_aim", "late"):
                served.add_metric([row["class"], row["namespace"], when], row[f"served_{when}"])
        yield served
        for name, key, label, help_text in _LABELLED_COUNTERS:
            family = CounterMetricFamily(f"pebblepass_{name}", help_text, labels=[*LABELS, label])
            for row in rows:
                for label_value, count in row[key].items():
                    family.add_metric([row["class"], row["namespace"], label_value], count)
            yield family
        opened = GaugeMetricFamily("pebblepass_open", "Requests open now", labels=LABELS)
        for row in rows:
            opened.add_metric([row["class"], row["namespace"]], row["open"])
        yield opened
        yield self._latency_histogram(rows)
        yield CounterMetricFamily(
            "pebblepass_breaches", "Moves that broke the ledger's rules", value=self._cut.breach_count
        )
        yield GaugeMetricFamily(
            "pebblepass_breaches_unacknowledged",
            "Breaches nobody has taken note of",
            value=len(self._cut.breaches),
        )

    @staticmethod
    def _latency_histogram(rows: list[dict[str, Any]]) -> Metric:
        family = HistogramMetricFamily("pebblepass_latency_seconds", "Time to a served answer", labels=LABELS)
        for row in rows:
            buckets, count, remaining = [], 0, deque(row["latency_us"])
            for bound in BUCKET_BOUNDS_US:
                while remaining and remaining[0][1] <= bound:
                    count += remaining.popleft()[2]
                buckets.append((str(bound / 1e6), count))
            count += sum(n for _, _, n in remaining)
            total = sum((lower + upper) / 2 * n for lower, upper, n in row["latency_us"]) / 1e6
            family.add_metric([row["class"], row["namespace"]], [*buckets, ("+Inf", count)], total)
        return family


def exposition(cut: Cut) -> bytes:
    """Return the metrics as the text of a scrape response."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(CutCollector(cut))
    text: bytes = generate_latest(registry)  # type: ignore[no-untyped-call]
    return text
