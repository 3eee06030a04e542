"""Outstanding sub-requests of one query, and the statistics updated from their replies."""

from attrs import define, field

from persimmonspur.core.requests.actions import (
    CancelSubRequest,
    CoordinationAction,
    SendSubRequest,
    SubRequestKind,
)
from persimmonspur.core.requests.context import CoordinationContext
from persimmonspur.core.requests.limits import BULK_PRIORITY, MAX_OUTSTANDING_PER_QUERY, BulkLoad
from persimmonspur.core.requests.progress import Attempt, ExecutionTracker, ShardProgress
from persimmonspur.core.routing.hedging import RetryBudget
from persimmonspur.core.routing.latency import LatencyEstimator
from persimmonspur.core.routing.view import EndpointView
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import Service
from persimmonspur.model.messages import SubReply, SubRequest
from persimmonspur.model.query import Query, SnapshotId

# A reply is overdue after this multiple of the 95th latency percentile, or after the minimum
# if that is longer.
OVERDUE_P95_MULTIPLE = 3.0
MIN_OVERDUE_MS = 50.0
MIN_RETRY_AFTER_MS = 10.0
# Interval of asking again for a hedge, retry or slot that a budget or limit denied.
RECHECK_INTERVAL_MS = 10.0
# Bulk queries at the front of the queue ask more often, so that free slots do not stay idle.
FRONT_RECHECK_INTERVAL_MS = 2.0

_ENDPOINT_FAULTS = frozenset((ErrorKind.ENDPOINT_FAILED, ErrorKind.UNREACHABLE, ErrorKind.INTERNAL))
_UNAVAILABLE_ERRORS = frozenset(
    (ErrorKind.NOT_OWNER, ErrorKind.ENDPOINT_DRAINING, ErrorKind.ENDPOINT_UNAVAILABLE)
)
_OVERLOAD_ERRORS = frozenset((ErrorKind.OVERLOADED, ErrorKind.DEADLINE_EXCEEDED))


@define(eq=False)
class Attempts:
    """Sends, completes and abandons the attempts of one query.

    :param id_prefix: makes the ids of sub-requests unique.
    :param answer_by_ms: latest time at which the query is answered.
    :param bulk_load: load of the query's class, ``None`` if the query is not a bulk query.
    :param guaranteed_outstanding: outstanding sub-requests that the class is guaranteed.
    :param sent: number of sub-requests sent.
    :param deferred: number of first sub-requests that are not sent yet.
    :param next_check_ms: time of the next check for late replies.
    :param overload_retry_after_ms: time after which the caller may retry, set if the latest
        rejection was due to overload.
    :param outstanding: attempts without a reply, by sub-request id.
    """

    query: Query
    priority: int
    context: CoordinationContext
    service: Service
    id_prefix: str
    answer_by_ms: float
    latency_estimator: LatencyEstimator
    retry_budget: RetryBudget
    bulk_load: BulkLoad | None
    guaranteed_outstanding: int
    sent: int = 0
    deferred: int = 0
    next_check_ms: float = float("inf")
    hedge_delay_ms: float = 0.0
    overload_retry_after_ms: float | None = None
    execution: ExecutionTracker = field(factory=ExecutionTracker)
    outstanding: dict[str, Attempt] = field(factory=dict)

    @classmethod
    def prepare(
        cls,
        query: Query,
        priority: int,
        context: CoordinationContext,
        answer_by_ms: float,
        now_ms: float,
    ) -> "Attempts":
        """Look up the state that the query shares with others of its service and class."""
        id_prefix = context.begin_query(now_ms)
        service = context.view.services[query.service]
        name = query.priority_class
        bulk = priority >= BULK_PRIORITY and context.limit_bulk_queries
        return cls(
            query,
            priority,
            context,
            service,
            id_prefix,
            answer_by_ms,
            context.latency_estimators.get(service.name, name, service.typical_ms),
            context.retry_budgets.get(service.name),
            context.outstanding_limits.get(service.name, name) if bulk else None,
            context.outstanding_limits.compute_guaranteed_outstanding(
                service, name, context.view.coordinator_count
            ),
        )

    @property
    def overdue_after_ms(self) -> float:
        """Time after which a reply is overdue."""
        return max(MIN_OVERDUE_MS, OVERDUE_P95_MULTIPLE * self.latency_estimator.p95_ms)

    def may_send(self, view: EndpointView) -> bool:
        """Return whether a first sub-request may be sent to an endpoint now.

        Sub-requests of bulk queries take long, and endpoints do not preempt
        them. A bulk query therefore uses only free slots, and beyond its class's
        guarantee it leaves half of an endpoint's slots to more urgent queries.
        It may wait in an endpoint's queue only while its class has no
        outstanding sub-requests.
        """
        load = self.bulk_load
        if load is None:
            return True
        if load.is_behind_older_query(self):
            return False
        if load.outstanding == 0:
            return True
        if len(self.outstanding) >= MAX_OUTSTANDING_PER_QUERY or view.status is None:
            return False
        free_slots = view.count_free_slots()
        reserved_slots = (
            0 if load.outstanding < self.guaranteed_outstanding else view.status.limit // 2
        )
        return free_slots > reserved_slots

    def defer(self, progress: ShardProgress) -> None:
        """Defer the first sub-request of a shard until it may be sent."""
        assert self.bulk_load is not None
        progress.deferred = True
        self.deferred += 1
        self.bulk_load.defer(self)

    def release(self, progress: ShardProgress) -> None:
        """Remove the deferred first sub-request of a shard."""
        assert self.bulk_load is not None
        progress.deferred = False
        self.deferred -= 1
        self.bulk_load.release(self, last=self.deferred == 0)

    def get_recheck_interval_ms(self) -> float:
        """Return how long to wait before asking again for a denied hedge, retry or slot."""
        if self.bulk_load is not None and self.bulk_load.is_near_front(self):
            return FRONT_RECHECK_INTERVAL_MS
        return RECHECK_INTERVAL_MS

    def send(
        self,
        progress: ShardProgress,
        view: EndpointView,
        snapshot: SnapshotId,
        kind: SubRequestKind,
        now_ms: float,
        actions: list[CoordinationAction],
    ) -> None:
        """Create an attempt and add the action that sends it."""
        query = self.query
        self.sent += 1
        first = kind is SubRequestKind.FIRST
        request = SubRequest(
            f"{query.request_id}/{progress.name}/{self.id_prefix}-{self.sent}",
            query.request_id,
            query.service,
            progress.name,
            view.endpoint.name,
            snapshot,
            self.answer_by_ms - now_ms,
            self.priority,
            query.repeatable,
            kind is SubRequestKind.HEDGE,
            query.body,
        )
        next_check_ms = now_ms + (self.hedge_delay_ms if first else self.overdue_after_ms)
        owner = view.owner_view
        attempt = Attempt(request, progress, view, owner, kind, now_ms, next_check_ms, first)
        progress.tried.add(view.endpoint.name)
        progress.attempts.append(attempt)
        self.outstanding[request.id] = attempt
        view.outstanding += 1
        view.sent_since_report += 1
        if next_check_ms < self.next_check_ms:
            self.next_check_ms = next_check_ms
        if self.bulk_load is not None:
            self.bulk_load.outstanding += 1
        actions.append(SendSubRequest(owner.name, request, kind))

    def complete(self, attempt: Attempt, reply: SubReply, now_ms: float) -> None:
        """Remove an attempt and update the statistics from its reply."""
        self._remove(attempt)
        self.execution.record_reply(reply)
        context = self.context
        view = attempt.view
        context.owner_outliers.observe_success(attempt.owner.name, now_ms)
        if reply.limit > 0:
            self.retry_budget.observe_queue(reply.queue, reply.limit)
        if reply.error is None:
            self.latency_estimator.observe(now_ms - attempt.sent_ms, now_ms)
            view.observe_slowness(self.latency_estimator.observe_service_time(reply.service_ms))
            view.observe_outcome(failed=False)
            context.endpoint_outliers.observe_success(view.endpoint.name, now_ms)
            return
        self._record_error(attempt, reply, now_ms)

    def abandon(self, attempt: Attempt, now_ms: float, actions: list[CoordinationAction]) -> None:
        """Cancel an attempt whose reply is no longer needed."""
        self._remove(attempt)
        self.execution.record_abandoned()
        elapsed_ms = now_ms - attempt.sent_ms
        # The elapsed time is a lower bound of the latency. Without it the estimate
        # would be based only on the attempts that were fast enough.
        self.latency_estimator.observe(elapsed_ms, now_ms)
        ratio = elapsed_ms / max(0.01, self.latency_estimator.mean_service_ms)
        if attempt.kind is SubRequestKind.FIRST and ratio > attempt.view.slowness:
            attempt.view.observe_slowness(ratio)
        actions.append(CancelSubRequest(attempt.owner.name, attempt.request.id))

    def abandon_all(self, now_ms: float, actions: list[CoordinationAction]) -> None:
        """Cancel all attempts; overdue ones whose owner is alive count as failed."""
        for attempt in list(self.outstanding.values()):
            if attempt.overdue and attempt.owner.last_reply_ms >= attempt.sent_ms:
                self._record_failure(attempt, now_ms)
            self.abandon(attempt, now_ms, actions)

    def suspect_owner(self, attempt: Attempt, now_ms: float) -> None:
        """Suspect an owner that has not sent any reply since the attempt was sent."""
        name = attempt.owner.name
        attempt.owner.suspect(self.context.owner_outliers.observe_failure(name, now_ms))

    def update_next_check(self) -> None:
        """Recompute the time of the next check for late replies."""
        next_check_ms = float("inf")
        for attempt in self.outstanding.values():
            next_check_ms = min(next_check_ms, attempt.next_check_ms)
        self.next_check_ms = next_check_ms

    def _remove(self, attempt: Attempt) -> None:
        del self.outstanding[attempt.request.id]
        attempt.progress.attempts.remove(attempt)
        attempt.view.outstanding -= 1
        if self.bulk_load is not None:
            self.bulk_load.record_completion()

    def _record_error(self, attempt: Attempt, reply: SubReply, now_ms: float) -> None:
        view = attempt.view
        error = reply.error
        if error in _UNAVAILABLE_ERRORS:
            view.observe_outcome(failed=True)
        elif error is ErrorKind.SNAPSHOT_NOT_HELD:
            self.context.view.remove_snapshot(view, attempt.request.snapshot)
        elif error in _ENDPOINT_FAULTS or reply.ran is Ran.UNKNOWN:
            # A deadline too short for any endpoint does not indicate a fault of this one.
            in_expected_time = now_ms - attempt.sent_ms < self.overdue_after_ms
            if not (error is ErrorKind.DEADLINE_EXCEEDED and in_expected_time):
                self._record_failure(attempt, now_ms)
        if error in _OVERLOAD_ERRORS:
            wait_ms = max(reply.retry_after_ms, view.queue_wait_ms, MIN_RETRY_AFTER_MS)
            self.overload_retry_after_ms = wait_ms

    def _record_failure(self, attempt: Attempt, now_ms: float) -> None:
        view = attempt.view
        view.observe_outcome(failed=True)
        until_ms = self.context.endpoint_outliers.observe_failure(view.endpoint.name, now_ms)
        view.ejected_until_ms = max(view.ejected_until_ms, until_ms)
