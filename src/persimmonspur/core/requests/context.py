"""What the queries of one instance share."""

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
# A sub-request that stays without a reply while its owner replies to nothing else is proof enough.
OWNER_FAILURE_THRESHOLD = 1


@define
class CoordinationContext:
    """What the queries of one instance share.

    :param failure_domain: the coordinator's own.
    :param policy: name of the choice policy.
    :param extra_attempts: whether hedges and retries are sent at all.
    :param early_rejection: whether queries that cannot finish in time are rejected at once.
    :param limit_bulk_queries: whether the outstanding sub-requests of bulk queries are bounded.
    :param origin: unique to this process; part of every sub-request id, since two
        coordinators may run the same request at once.
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
    choice: ChoiceContext = Factory(
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
        """Bring the view up to date for a query.

        :returns: a prefix for the query's sub-request ids, unique in this process's life.
        """
        self.view.refresh(now_ms)
        self._started_queries += 1
        return f"{self.origin}-{self._started_queries}"
