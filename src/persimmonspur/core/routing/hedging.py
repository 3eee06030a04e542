"""Token buckets that limit hedges and retries, one budget per service."""

from attrs import define, field

from persimmonspur.core.routing.latency import LatencyEstimator

# An extra attempt is a hedge or a retry. The design (section 1.7) limits extra load to 3%
# in normal operation and to 5% during faults.
HEDGE_RATIO = 0.02
EXTRA_ATTEMPT_RATIO = 0.05
# Small initial values prevent a burst of hedges from a restarted instance.
INITIAL_HEDGE_TOKENS = 1.0
INITIAL_EXTRA_TOKENS = 2.0
# Bucket capacities: the tokens earned by 1,000 first attempts.
MAX_HEDGE_TOKENS = 20.0
MAX_EXTRA_TOKENS = 50.0
# A hedge sent earlier cannot overtake the reply that is already on its way.
MIN_HEDGE_DELAY_MS = 5.0
SATURATION_EWMA_WEIGHT = 0.02
SATURATION_THRESHOLD = 0.5
# Slightly less than one token, to tolerate rounding errors of accumulated ratios.
_ONE_TOKEN = 1.0 - 1e-9


class RetryBudget:
    """Limits the hedges and retries of one service with two token buckets.

    Hedges and retries both consume extra tokens; a hedge also consumes a hedge token.
    """

    def __init__(self) -> None:
        self._hedge_tokens = INITIAL_HEDGE_TOKENS
        self._extra_tokens = INITIAL_EXTRA_TOKENS
        self._full_queue_ratio = 0.0

    @property
    def saturated(self) -> bool:
        """Whether most replies come from endpoints with as many requests queued as running."""
        return self._full_queue_ratio > SATURATION_THRESHOLD

    def record_first_attempts(self, count: int) -> None:
        """Add the tokens that first attempts earn."""
        self._hedge_tokens = min(MAX_HEDGE_TOKENS, self._hedge_tokens + HEDGE_RATIO * count)
        self._extra_tokens = min(MAX_EXTRA_TOKENS, self._extra_tokens + EXTRA_ATTEMPT_RATIO * count)

    def observe_queue(self, queue: int, limit: int) -> None:
        """Update the share of full queues from a reply."""
        full = 1.0 if queue >= max(1, limit) else 0.0
        self._full_queue_ratio += SATURATION_EWMA_WEIGHT * (full - self._full_queue_ratio)

    def try_acquire_hedge(self) -> bool:
        """Consume the tokens of a hedge.

        :returns: ``False`` if there are too few tokens or the service is saturated.
        """
        if self.saturated or self._hedge_tokens < _ONE_TOKEN or self._extra_tokens < _ONE_TOKEN:
            return False
        self._hedge_tokens -= 1
        self._extra_tokens -= 1
        return True

    def try_acquire_retry(self) -> bool:
        """Consume the token of a retry.

        :returns: ``False`` if there are too few tokens.
        """
        if self._extra_tokens < _ONE_TOKEN:
            return False
        self._extra_tokens -= 1
        return True

    def compute_hedge_delay_ms(self, latency: LatencyEstimator) -> float:
        """Return how long to wait for a reply before sending a hedge, in milliseconds.

        One sub-request in twenty exceeds the 95th percentile, but the budget
        allows a hedge for one in fifty. The delay therefore moves from the 95th
        to the 99th percentile as the bucket empties, which reserves hedges for
        the slowest sub-requests.
        """
        fill_ratio = min(1.0, self._hedge_tokens / MAX_HEDGE_TOKENS)
        p95_ms = latency.p95_ms
        return max(
            MIN_HEDGE_DELAY_MS, p95_ms + (1 - fill_ratio) * max(0.0, latency.p99_ms - p95_ms)
        )


@define
class RetryBudgets:
    """Retry budgets by service."""

    _budgets: dict[str, RetryBudget] = field(factory=dict)

    def get(self, service: str) -> RetryBudget:
        """Return the budget of a service, creating it on first use."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget()
        return budget
