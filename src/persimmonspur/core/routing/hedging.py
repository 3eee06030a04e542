"""Budgets of hedges and retries, one per service."""

from attrs import define, field

from persimmonspur.core.routing.latency import LatencyEstimator

# Section 1.7 of the design bounds extra load to 3% normally and 5% during faults.
HEDGE_RATIO = 0.02
EXTRA_ATTEMPT_RATIO = 0.05
# The buckets start small, so that a restarted instance cannot send a burst of hedges.
INITIAL_HEDGE_TOKENS = 1.0
INITIAL_EXTRA_TOKENS = 2.0
# The most that can be saved: what 1,000 first sub-requests earn.
MAX_HEDGE_TOKENS = 20.0
MAX_EXTRA_TOKENS = 50.0
# Below this delay a hedge cannot overtake the reply that is already on its way.
MIN_HEDGE_DELAY_MS = 5.0
SATURATION_EWMA_WEIGHT = 0.02
SATURATION_THRESHOLD = 0.5
# Absorbs rounding of sums of shares.
_ONE_TOKEN = 1.0 - 1e-9


class RetryBudget:
    """Token buckets for the hedges and retries of one service."""

    def __init__(self) -> None:
        self._hedge_tokens = INITIAL_HEDGE_TOKENS
        self._extra_tokens = INITIAL_EXTRA_TOKENS
        self._full_queue_ratio = 0.0

    @property
    def saturated(self) -> bool:
        """Whether most replies come from endpoints with as many entries waiting as running."""
        return self._full_queue_ratio > SATURATION_THRESHOLD

    def record_first_attempts(self, count: int) -> None:
        """Earn the shares of first sub-requests that were sent."""
        self._hedge_tokens = min(MAX_HEDGE_TOKENS, self._hedge_tokens + HEDGE_RATIO * count)
        self._extra_tokens = min(MAX_EXTRA_TOKENS, self._extra_tokens + EXTRA_ATTEMPT_RATIO * count)

    def observe_queue(self, queue: int, limit: int) -> None:
        """Take the queue figures of a reply."""
        full = 1.0 if queue >= max(1, limit) else 0.0
        self._full_queue_ratio += SATURATION_EWMA_WEIGHT * (full - self._full_queue_ratio)

    def try_acquire_hedge(self) -> bool:
        """Pay for a hedge.

        :returns: ``False`` if the budget is spent or the service is saturated.
        """
        if self.saturated or self._hedge_tokens < _ONE_TOKEN or self._extra_tokens < _ONE_TOKEN:
            return False
        self._hedge_tokens -= 1
        self._extra_tokens -= 1
        return True

    def try_acquire_retry(self) -> bool:
        """Pay for a retry.

        :returns: ``False`` if the budget is spent.
        """
        if self._extra_tokens < _ONE_TOKEN:
            return False
        self._extra_tokens -= 1
        return True

    def compute_hedge_delay_ms(self, estimate: LatencyEstimator) -> float:
        """Return how long to wait for a reply before a hedge, in milliseconds.

        One sub-request in twenty exceeds the 95th percentile, but the budget
        pays for one in fifty. The delay therefore moves towards the 99th
        percentile while the bucket is empty, so that hedges are left for the
        slowest.
        """
        fill_ratio = min(1.0, self._hedge_tokens / MAX_HEDGE_TOKENS)
        p95_ms = estimate.p95_ms
        return max(
            MIN_HEDGE_DELAY_MS, p95_ms + (1 - fill_ratio) * max(0.0, estimate.p99_ms - p95_ms)
        )


@define
class RetryBudgets:
    """The budgets of all services."""

    _budgets: dict[str, RetryBudget] = field(factory=dict)

    def get(self, service: str) -> RetryBudget:
        """Return the budget of a service, a new one if there is none."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget()
        return budget
