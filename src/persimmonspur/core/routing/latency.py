"""Latency percentiles of sub-requests per service and priority class."""

from math import log2

from attrs import define, field

# Eight buckets per doubling limit the relative error of a percentile to 9%.
BUCKETS_PER_DOUBLING = 8
# Bucket 0 ends at 2 ** (-15 / 8) ms, about 0.27 ms; the last bucket starts at about 65 s.
BUCKET_OFFSET = 16
BUCKET_COUNT = 145
# Too few observations do not determine a 95th percentile.
MIN_OBSERVATIONS = 20
REFRESH_OBSERVATIONS = 32
# Counts are halved after this many observations or this time, so that the percentiles follow a
# service whose latency has changed.
HALVE_OBSERVATIONS = 2_048
HALVE_INTERVAL_MS = 10_000.0
MEAN_EWMA_WEIGHT = 0.05


class LatencyEstimator:
    """Estimates latency percentiles of one service and class in a decaying histogram.

    An update costs one logarithm. Percentiles are recomputed once per
    :data:`REFRESH_OBSERVATIONS` updates.
    """

    def __init__(self, typical_ms: float) -> None:
        """Derive the initial estimates from an assumed service time.

        :param typical_ms: expected service time in milliseconds.
        """
        self.p95_ms = 3 * typical_ms
        self.p99_ms = 5 * typical_ms
        self.mean_service_ms = typical_ms
        self._counts = [0] * BUCKET_COUNT
        self._total = 0
        self._new_observations = 0
        self._last_halved_ms = 0.0

    def observe(self, latency_ms: float, now_ms: float) -> None:
        """Record the time from sending a sub-request to its reply or cancellation."""
        index = (
            int(log2(latency_ms) * BUCKETS_PER_DOUBLING) + BUCKET_OFFSET if latency_ms > 0.25 else 0
        )
        self._counts[min(index, BUCKET_COUNT - 1)] += 1
        self._total += 1
        self._new_observations += 1
        if self._total >= HALVE_OBSERVATIONS or now_ms - self._last_halved_ms > HALVE_INTERVAL_MS:
            self._halve_counts(now_ms)
        if self._new_observations >= REFRESH_OBSERVATIONS:
            self._refresh_percentiles()

    def observe_service_time(self, service_ms: float) -> float:
        """Record the service time that an endpoint reported.

        :returns: the service time relative to the mean of all endpoints.
        """
        ratio = service_ms / max(0.01, self.mean_service_ms)
        self.mean_service_ms += MEAN_EWMA_WEIGHT * (service_ms - self.mean_service_ms)
        return ratio

    def _halve_counts(self, now_ms: float) -> None:
        # The first observation after the start or a pause only sets the timestamp.
        if self._total > MIN_OBSERVATIONS:
            self._counts = [count >> 1 for count in self._counts]
            self._total = sum(self._counts)
        self._last_halved_ms = now_ms

    def _refresh_percentiles(self) -> None:
        if self._total < MIN_OBSERVATIONS:
            return
        self._new_observations = 0
        self.p95_ms = self._compute_percentile(0.95)
        self.p99_ms = self._compute_percentile(0.99)

    def _compute_percentile(self, fraction: float) -> float:
        remaining = fraction * self._total
        for index, count in enumerate(self._counts):
            remaining -= count
            if remaining <= 0:
                return float(2 ** ((index - BUCKET_OFFSET + 1) / BUCKETS_PER_DOUBLING))
        return float(2 ** ((BUCKET_COUNT - BUCKET_OFFSET) / BUCKETS_PER_DOUBLING))


@define
class LatencyEstimators:
    """Latency estimators by service and priority class."""

    _estimators: dict[tuple[str, str], LatencyEstimator] = field(factory=dict)

    def get(self, service: str, priority_class: str, typical_ms: float) -> LatencyEstimator:
        """Return the estimator of a service and class, creating it on first use.

        :param typical_ms: expected service time in milliseconds, for a new estimator.
        """
        key = (service, priority_class)
        estimator = self._estimators.get(key)
        if estimator is None:
            estimator = self._estimators[key] = LatencyEstimator(typical_ms)
        return estimator
