"""State shared by the queries of one instance."""

from random import Random

from attrs import Factory, define, field

from persimmonspur.core.requests.limits import OutstandingLimits
from persimmonspur.core.requests.snapshots import SnapshotPinCache
from persimmonspur.core.routing.choice import ChoiceContext
from persimmonspur.core.routing.hedging import RetryBudgets
from persimmonspur.core.routing.latency import LatencyEstimators
from persimmonspur.core.routing.outliers import OutlierDetector
from persimmonspur.core.routing.view import RoutingView

ENDPOINT_FAILURE_THRESHOLD = 3
# One unanswered sub-request suffices, because its owner sent no other reply in the meantime.
OWNER_FAILURE_THRESHOLD = 1


@define
class CoordinationContext:
    """State and settings shared by the queries of one instance.

    :param failure_domain: failure domain of the coordinator.
    :param policy: name of the choice policy.
    :param extra_attempts: whether hedges and retries are enabled.
    :param early_rejection: whether queries that cannot finish in time are rejected immediately.
    :param limit_bulk_queries: whether the outstanding sub-requests of bulk queries are limited.
    :param origin: unique identifier of this process. It is part of every sub-request id, since
        two coordinators may run the same request concurrently.
    """

    view: RoutingView
    failure_domain: str
    rng: Random
    policy: str = "expected_wait"
    extra_attempts: bool = True
    early_rejection: bool = True
    limit_bulk_queries: bool = True
    origin: str = "c"
    latency_estimators: LatencyEstimators = field(factory=LatencyEstimators)
    retry_budgets: RetryBudgets = field(factory=RetryBudgets)
    outstanding_limits: OutstandingLimits = field(factory=OutstandingLimits)
    pin_cache: SnapshotPinCache = field(factory=SnapshotPinCache)
    choice_context: ChoiceContext = Factory(
        lambda self: ChoiceContext(self.view, self.failure_domain, self.rng), takes_self=True
    )
    endpoint_outliers: OutlierDetector = Factory(
        lambda self: OutlierDetector(self.rng, ENDPOINT_FAILURE_THRESHOLD), takes_self=True
    )
    owner_outliers: OutlierDetector = Factory(
        lambda self: OutlierDetector(self.rng, OWNER_FAILURE_THRESHOLD), takes_self=True
    )
    _started_queries: int = 0

    def begin_query(self, now_ms: float) -> str:
        """Refresh the routing view for a new query.

        :returns: a prefix for the query's sub-request ids, unique during the lifetime
            of this process.
        """
        self.view.refresh(now_ms)
        self._started_queries += 1
        return f"{self.origin}-{self._started_queries}"
