"""Writes log lines and metrics for the activity of one instance."""

import traceback
from collections.abc import Iterable
from typing import Any

from attrs import frozen

from persimmonspur.core.fleet.accounts import choose_priority
from persimmonspur.core.fleet.messages import AttemptRecord, ClientRequest, ClientResponse
from persimmonspur.core.fleet.position import NO_POSITION, StorePosition
from persimmonspur.core.fleet.quarantine import CrashReport, Standing
from persimmonspur.core.fleet.routes import Route
from persimmonspur.entry import events
from persimmonspur.entry.eventlog import EventLog
from persimmonspur.entry.metrics import EntryMetrics
from persimmonspur.errors import Failure

# The end of a traceback is what names the cause.
MAX_TRACEBACK_CHARACTERS = 2_000
# Invalid entries that are remembered because they were logged.
MAX_REMEMBERED_ENTRIES = 1_000
# An entry of another writer may hold names of any length.
MAX_REJECTION_CHARACTERS = 500
# Refusals that a client can cause at any rate.
REFUSAL_STATUSES = frozenset((401, 429))


@frozen
class FinishedRequest:
    """A client request that finished.

    :param route: ``None`` if no route matched.
    :param version: version of the configuration that selected the route; 0 without one.
    """

    request: ClientRequest
    route: Route | None
    version: int
    response: ClientResponse
    duration_ms: float


class Observer:
    """Writes the log and the metrics of one instance."""

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.metrics = EntryMetrics()
        self._failure_counts: dict[str, int] = {}
        self._logged_entries: dict[tuple[str, str], None] = {}

    def record_decision(self, name: str, **fields: Any) -> None:
        """Log a decision about one request.

        :param name: name of the event.
        :param fields: fields of the log line.
        """
        self.log.record_request(events.DECISIONS[name], True, lambda: fields)

    def record_suspicion(self, endpoint: str, reason: str) -> None:
        """Log that an endpoint is now avoided, or no longer avoided if the reason is empty."""
        if reason:
            self.log.record(events.ENDPOINT_SUSPECTED, endpoint=endpoint, reason=reason)
        else:
            self.log.record(events.ENDPOINT_TRUSTED, endpoint=endpoint)

    def record_rate_limit(self, endpoint: str, rate_per_s: float | None) -> None:
        """Log that an endpoint names a limit, or no longer names one if it is ``None``."""
        if rate_per_s is not None:
            self.log.record(events.ENDPOINT_LIMITED, endpoint=endpoint, rate_per_s=rate_per_s)
        else:
            self.log.record(events.ENDPOINT_LIMIT_ENDED, endpoint=endpoint)

    def record_pushback(self, endpoint: str, period_ms: float) -> None:
        """Log that an endpoint wants no requests for some time."""
        self.log.record(events.ENDPOINT_PUSHED_BACK, endpoint=endpoint, period_ms=round(period_ms))

    def record_crash_report(self, report: CrashReport, standing: Standing) -> None:
        """Log what is known about a request that may crash endpoints."""
        fields = {
            "fingerprint": report.fingerprint,
            "standing": standing.value,
            "crashes": len(report.lifetimes),
            "failed_trials": report.failed_trials,
        }
        self.log.record_request(events.REQUEST_STANDING, True, lambda: fields)

    def record_quota_exceeded(self, account: str, rejected: int) -> None:
        """Log how many requests of an account were rejected since the last such line."""
        self.log.record(events.QUOTA_EXCEEDED, account=account, rejected=rejected)

    def record_quota_share(self, has_share: bool) -> None:
        """Log whether this instance accrues a share of the quotas from now on."""
        self.log.record(events.QUOTA_SHARE_CHANGED, has_share=has_share)

    def record_finished(self, finished: FinishedRequest) -> None:
        """Count a finished request and log it within the rate limit."""
        response = finished.response
        route = finished.route
        shape = "gather" if route is not None and route.gather is not None else "single"
        route_priority = route.priority if route is not None else 0
        priority = choose_priority(finished.request.account, route_priority)
        self.metrics.count_request(shape, priority, response.outcome, finished.duration_ms / 1000)
        late = route is not None and finished.duration_ms > route.objective_ms
        notable = response.status != 200 or response.covered < response.total or late
        self.log.record_request(
            events.REQUEST_ANSWERED,
            notable,
            lambda: _describe_finished(finished),
            refused=response.status in REFUSAL_STATUSES,
        )

    def record_rejected_entries(self, kind: str, rejected: Iterable[Failure]) -> None:
        """Log each invalid entry of the store once, however often it is read."""
        for failure in rejected:
            reason = failure.message[:MAX_REJECTION_CHARACTERS]
            key = (kind, reason)
            if key in self._logged_entries:
                continue
            if len(self._logged_entries) >= MAX_REMEMBERED_ENTRIES:
                del self._logged_entries[next(iter(self._logged_entries))]
            self._logged_entries[key] = None
            self.log.record(events.ENTRY_REJECTED, kind=kind, reason=reason)

    def record_feed_exception(self, feed: str, error: Exception) -> None:
        """Log an unexpected exception in a feed."""
        lines = "".join(traceback.format_exception(error))
        self.log.record(
            events.FEED_FAILED,
            feed=feed,
            reason=f"{type(error).__name__}: {error}",
            traceback=lines[-MAX_TRACEBACK_CHARACTERS:],
        )

    def record_store_call(
        self, feed: str, failure: Failure | None, position: StorePosition = NO_POSITION
    ) -> None:
        """Count a store call; logs only the first failure in a row and the recovery.

        :param position: position from which the feed continues.
        """
        self.metrics.count_store_call(feed, "ok" if failure is None else "failed")
        failures = self._failure_counts.get(feed, 0)
        if failure is not None:
            self._failure_counts[feed] = failures + 1
            if not failures:
                self.log.record(events.STORE_CALL_FAILED, feed=feed, reason=failure.message)
            return
        if failures:
            del self._failure_counts[feed]
            self.log.record(
                events.STORE_REGAINED,
                feed=feed,
                failed_calls=failures,
                revision=position.revision,
                era=position.era,
            )


def _describe_finished(finished: FinishedRequest) -> dict[str, Any]:
    response = finished.response
    route = finished.route
    account = finished.request.account
    return {
        "request_id": finished.request.request_id,
        "method": finished.request.method,
        "host": finished.request.host,
        "path": finished.request.path,
        "route": route.name if route is not None else "",
        "account": account.name if account is not None else "",
        "version": finished.version,
        "status": response.status,
        "outcome": response.outcome,
        "covered": response.covered,
        "total": response.total,
        "duration_ms": round(finished.duration_ms, 1),
        "deadline_ms": finished.request.timeout_ms,
        "reason": response.reason,
        "attempts": [
            _describe_attempt(attempt, finished.request.arrived_ms) for attempt in response.attempts
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
