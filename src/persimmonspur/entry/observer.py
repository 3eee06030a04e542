"""Turns what happens in an instance into log lines and metrics."""

from typing import Any

from attrs import frozen

from persimmonspur.core.fleet.messages import AttemptRecord, ClientRequest, ClientResponse
from persimmonspur.core.fleet.routes import Route
from persimmonspur.entry import events
from persimmonspur.entry.eventlog import EventLog
from persimmonspur.entry.metrics import EntryMetrics
from persimmonspur.errors import Failure


@frozen
class FinishedRequest:
    """A request that ended.

    :param route: ``None`` if none matched.
    :param version: of the configuration that selected the route; 0 without one.
    """

    request: ClientRequest
    route: Route | None
    version: int
    answer: ClientResponse
    duration_ms: float


class Observer:
    """Writes the log and counts for one instance."""

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.metrics = EntryMetrics()
        self._failing_feeds: dict[str, int] = {}

    def record_decision(self, name: str, **fields: Any) -> None:
        """Take a decision about one request."""
        self.log.record_request(events.DECISIONS[name], True, lambda: fields)

    def record_suspicion(self, endpoint: str, reason: str) -> None:
        """Take that an endpoint is avoided from now on, or trusted again without a reason."""
        if reason:
            self.log.record(events.ENDPOINT_SUSPECTED, endpoint=endpoint, reason=reason)
        else:
            self.log.record(events.ENDPOINT_TRUSTED, endpoint=endpoint)

    def record_finished(self, finished: FinishedRequest) -> None:
        """Take the end of a request."""
        answer = finished.answer
        route = finished.route
        shape = "gather" if route is not None and route.gather is not None else "single"
        priority = route.priority if route is not None else 0
        self.metrics.count_request(shape, priority, answer.outcome, finished.duration_ms / 1000)
        late = route is not None and finished.duration_ms > route.objective_ms
        unusual = answer.status != 200 or answer.covered < answer.total or late
        self.log.record_request(
            events.REQUEST_ANSWERED, unusual, lambda: _describe_finished(finished)
        )

    def record_store_call(self, feed: str, failure: Failure | None) -> None:
        """Take the result of a call of the store; repeated failures are written once."""
        self.metrics.count_store_call(feed, "ok" if failure is None else "failed")
        failures = self._failing_feeds.get(feed, 0)
        if failure is not None:
            self._failing_feeds[feed] = failures + 1
            if not failures:
                self.log.record(events.STORE_CALL_FAILED, feed=feed, reason=failure.message)
            return
        if failures:
            del self._failing_feeds[feed]
            self.log.record(events.STORE_REGAINED, feed=feed, failed_calls=failures)


def _describe_finished(finished: FinishedRequest) -> dict[str, Any]:
    answer = finished.answer
    route = finished.route
    return {
        "request_id": finished.request.request_id,
        "method": finished.request.method,
        "host": finished.request.host,
        "path": finished.request.path,
        "route": route.name if route is not None else "",
        "version": finished.version,
        "status": answer.status,
        "outcome": answer.outcome,
        "covered": answer.covered,
        "total": answer.total,
        "duration_ms": round(finished.duration_ms, 1),
        "deadline_ms": finished.request.deadline_ms,
        "reason": answer.reason,
        "attempts": [
            _describe_attempt(attempt, finished.request.arrived_ms) for attempt in answer.attempts
        ],
    }


def _describe_attempt(attempt: AttemptRecord, arrived_ms: float) -> dict[str, Any]:
    return {
        "endpoint": attempt.endpoint,
        "service": attempt.service,
        "kind": attempt.kind.value,
        "at_ms": round(attempt.sent_ms - arrived_ms, 1),
        "took_ms": round(attempt.took_ms, 1),
        "result": attempt.result or "none yet",
        "factor": round(attempt.factor, 2),
        "factor_age_ms": round(attempt.factor_age_ms),
        "outstanding": attempt.outstanding,
    }
