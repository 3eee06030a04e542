"""Metrics of the entry daemon in the Prometheus text format.

Requests only increment plain numbers. The metrics library is imported at the first scrape
because importing it at startup would delay every start.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, field

DURATION_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0)
CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

Labels = tuple[str, ...]


@define
class DurationCounts:
    """Counts of one histogram of durations."""

    buckets: list[int] = field(factory=lambda: [0] * (len(DURATION_BUCKETS_S) + 1))
    sum_s: float = 0.0

    def observe(self, duration_s: float) -> None:
        """Count one duration."""
        self.buckets[bisect_left(DURATION_BUCKETS_S, duration_s)] += 1
        self.sum_s += duration_s

    def get_cumulative_counts(self) -> list[tuple[str, float]]:
        """Return the cumulative counts by upper bound."""
        total = 0
        counts: list[tuple[str, float]] = []
        for bound, count in zip((*DURATION_BUCKETS_S, "+Inf"), self.buckets, strict=True):
            total += count
            counts.append((str(bound), float(total)))
        return counts


@define(eq=False)
class EntryMetrics:
    """All metrics of one instance.

    Labels have low cardinality: routes, endpoints and clients are not used as labels.

    :param requests: number of requests by shape (``gather`` or ``single``), priority and
        outcome.
    :param durations: durations of finished requests by shape.
    :param sends: number of sends to endpoints by kind, and of sends denied by the budget.
    :param store_calls: number of store calls by feed and result.
    :param refusals: number of refused requests and connections by kind of address and reason.
    :param gauges: name, help text, label and function that reads the current values.
    """

    requests: dict[Labels, int] = field(factory=dict)
    durations: dict[str, DurationCounts] = field(factory=dict)
    sends: dict[str, int] = field(factory=dict)
    store_calls: dict[Labels, int] = field(factory=dict)
    refusals: dict[Labels, int] = field(factory=dict)
    gauges: list[tuple[str, str, str, Callable[[], dict[str, float]]]] = field(factory=list)

    def count_request(self, shape: str, priority: int, outcome: str, duration_s: float) -> None:
        """Count one request that finished."""
        key = (shape, str(priority), outcome)
        self.requests[key] = self.requests.get(key, 0) + 1
        durations = self.durations.get(shape)
        if durations is None:
            durations = self.durations[shape] = DurationCounts()
        durations.observe(duration_s)

    def count_send(self, kind: str) -> None:
        """Count one send to an endpoint, or one that the budget denied."""
        self.sends[kind] = self.sends.get(kind, 0) + 1

    def count_store_call(self, feed: str, result: str) -> None:
        """Count one store call."""
        key = (feed, result)
        self.store_calls[key] = self.store_calls.get(key, 0) + 1

    def count_refusal(self, address: str, reason: str) -> None:
        """Count a refused request or connection."""
        key = (address, reason)
        self.refusals[key] = self.refusals.get(key, 0) + 1

    def add_gauge(
        self, name: str, help_text: str, label: str, read_values: Callable[[], dict[str, float]]
    ) -> None:
        """Add a gauge that is read at each scrape.

        :param label: name of the gauge's label.
        :param read_values: returns the current values by label value.
        """
        self.gauges.append((name, help_text, label, read_values))

    def collect(self) -> Iterable[Any]:
        """Return all metrics (called by the metrics library)."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        requests = CounterMetricFamily(
            "persimmonspur_requests",
            "Client requests that ended",
            labels=["shape", "priority", "outcome"],
        )
        for labels, count in self.requests.items():
            requests.add_metric(labels, count)
        yield requests
        durations = HistogramMetricFamily(
            "persimmonspur_request_duration_seconds",
            "Time from a complete request to its answer",
            labels=["shape"],
        )
        for shape, counts in self.durations.items():
            durations.add_metric([shape], counts.get_cumulative_counts(), counts.sum_s)
        yield durations
        sends = CounterMetricFamily(
            "persimmonspur_endpoint_sends",
            "Sends to endpoints by kind, and those that the retry budget denied",
            labels=["kind"],
        )
        for kind, count in self.sends.items():
            sends.add_metric([kind], count)
        yield sends
        calls = CounterMetricFamily(
            "persimmonspur_store_calls", "Calls of the store", labels=["feed", "result"]
        )
        for labels, count in self.store_calls.items():
            calls.add_metric(labels, count)
        yield calls
        refusals = CounterMetricFamily(
            "persimmonspur_refusals",
            "Requests and connections that were refused before they were handled",
            labels=["address", "reason"],
        )
        for labels, count in self.refusals.items():
            refusals.add_metric(labels, count)
        yield refusals
        for name, help_text, label, read_values in self.gauges:
            gauge = GaugeMetricFamily(name, help_text, labels=[label])
            for label_value, value in read_values().items():
                gauge.add_metric([label_value], value)
            yield gauge


def format_metrics(metrics: EntryMetrics) -> bytes:
    """Return the metrics in the Prometheus text format."""
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(metrics)  # type: ignore[arg-type]
    return generate_latest(registry)
