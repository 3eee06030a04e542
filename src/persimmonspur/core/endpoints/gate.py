"""Admission control for one endpoint, run by the endpoint's owner."""

from collections import deque
from random import Random

from persimmonspur.core.endpoints.actions import (
    CancelAtEndpoint,
    Dispatch,
    GateAction,
    Probe,
    Reply,
)
from persimmonspur.core.endpoints.budget import ConnectionBudget
from persimmonspur.core.endpoints.drain import DrainState
from persimmonspur.core.endpoints.ejection import Ejection
from persimmonspur.core.endpoints.queue import EndpointQueue, QueueEntry
from persimmonspur.core.endpoints.slots import Slot, SlotTable
from persimmonspur.core.endpoints.warmup import COLD, WARM, WarmUp
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import DesiredState, Endpoint, EndpointLimits
from persimmonspur.model.messages import EndpointStatus, ReleasedBudget, SubReply, SubRequest
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport

DEADLINE_MARGIN_MS = 2.0
PROBE_INTERVAL_MS = 1_000.0
# A duplicated message must not execute a non-repeatable sub-request twice, nor execute one
# that was rejected, so their ids are kept for longer than any query may last.
REQUEST_ID_RETENTION_MS = 120_000.0
# Late reports of this many earlier incarnations are recognized and ignored.
MAX_FORMER_INCARNATIONS = 16
_FAILURE_KINDS = (ErrorKind.UNREACHABLE, ErrorKind.ENDPOINT_FAILED)


class EndpointGate:
    """Decides which sub-requests are sent to an endpoint, queued or rejected.

    It combines the endpoint's queue, concurrency limit, connections, drain state and
    ejection. Methods that handle an event return the actions that the caller must execute.
    All times are the owner's monotonic milliseconds.
    """

    def __init__(
        self, endpoint: Endpoint, limits: EndpointLimits, typical_ms: float, seed: int = 0
    ) -> None:
        """Create a gate for a cold endpoint that the owner may not use yet.

        :param typical_ms: initial estimate of the service time, in milliseconds.
        :param seed: seed of the reconnection jitter.
        """
        self.endpoint = endpoint
        self.limits = limits
        self._service_ms = typical_ms
        self._usable_until_ms = 0.0
        self._warmup = WarmUp(limits.slots)
        self._connections = ConnectionBudget(limits.connections, limits.connect_ms, Random(seed))
        self._queue = EndpointQueue(limits.queue)
        self._drain_state = DrainState(endpoint.desired)
        self._ejection = Ejection()
        self._slots = SlotTable()
        self._seen_until_ms: dict[str, float] = {}
        self._last_report: EndpointReport | None = None
        self._incarnation = ""
        self._former_incarnations: deque[str] = deque(maxlen=MAX_FORMER_INCARNATIONS)
        self._restart_suspected_ms: float | None = None
        self._next_probe_ms = 0.0
        self._probe_sent_ms = 0.0
        self._probe_pending = False
        self._releasing = False
        self._has_dispatched = False

    def set_usable_until(self, usable_until_ms: float, now_ms: float) -> list[GateAction]:
        """Set the time until which the owner may send to the endpoint; 0 stops it at once."""
        self._usable_until_ms = usable_until_ms
        return self._process_queue(now_ms)

    def configure(
        self, endpoint: Endpoint, limits: EndpointLimits, desired: DesiredState, now_ms: float
    ) -> list[GateAction]:
        """Apply a changed configuration and desired state of the endpoint."""
        if endpoint.address != self.endpoint.address:
            self._warmup.reset_to_cold()
            self._connections.discard_idle()
        self.endpoint = endpoint
        self.limits = limits
        self._warmup.resize(limits.slots)
        self._connections.connections = limits.connections
        self._connections.connect_ms = limits.connect_ms
        self._queue.capacity = limits.queue
        serving = self._drain_state.serving
        self._drain_state.desired = desired
        self._restart_warmup_on_return(serving)
        return self._process_queue(now_ms)

    def restore(self, level: int, incarnation: str) -> None:
        """Start from the warm-up level that the previous owner released.

        The level is ignored if another incarnation has reported or a request was dispatched.

        :param incarnation: incarnation that reached the level; another one starts cold.
        """
        if self._incarnation not in ("", incarnation) or self._has_dispatched:
            return
        self._incarnation = incarnation
        self._warmup.restore(level)

    def begin_release(self, now_ms: float) -> list[GateAction]:
        """Reject queued and new sub-requests; those already running are completed."""
        self._releasing = True
        return self._process_queue(now_ms)

    def resume(self, now_ms: float) -> list[GateAction]:
        """Accept sub-requests again, because this owner regained the budget before its release."""
        self._releasing = False
        return self._process_queue(now_ms)

    def build_released_budget(self) -> ReleasedBudget:
        """Return the endpoint's state for its next owner."""
        return ReleasedBudget(self.endpoint.name, self._warmup.level, self._incarnation)

    def offer(self, request: SubRequest, now_ms: float) -> list[GateAction]:
        """Dispatch, queue or reject a sub-request; duplicates are ignored."""
        if (
            request.id in self._slots
            or request.id in self._seen_until_ms
            or request.id in self._queue
        ):
            return []
        if not request.repeatable:
            self._seen_until_ms[request.id] = now_ms + REQUEST_ID_RETENTION_MS
        kind = self._find_rejection(request)
        if kind is not None:
            return [self._reject(request, kind, now_ms)]
        entry = QueueEntry(request, now_ms + request.timeout_ms)
        if self._would_miss_deadline(entry, now_ms):
            return [self._reject(request, ErrorKind.OVERLOADED, now_ms)]
        actions = self._process_queue(now_ms)
        evicted = self._queue.add(entry)
        if evicted is not None:
            actions.append(self._reject(evicted.request, ErrorKind.OVERLOADED, now_ms))
        return actions + self._process_queue(now_ms)

    def complete(
        self, request_id: str, outcome: EndpointOutcome, now_ms: float
    ) -> list[GateAction]:
        """Handle the outcome of a dispatched sub-request.

        The slot stays in use if the endpoint may still execute the request.
        """
        slot = self._slots.find(request_id)
        if slot is None:
            return []
        has_ended = outcome.ran is Ran.NO or outcome.error is None or outcome.report is not None
        if has_ended:
            self._slots.release(request_id)
        if slot.answered:
            return self._process_queue(now_ms)
        slot.answered = True
        if outcome.reset:
            slot.reset_incarnation = outcome.connection_incarnation
            slot.reset_ms = now_ms
        self._connections.release(new=slot.new_connection, lost=outcome.closed or outcome.reset)
        self._record_outcome(slot, outcome, now_ms)
        reply = self._build_reply(slot.request, outcome, now_ms)
        return [Reply(reply), *self._process_queue(now_ms)]

    def cancel(self, request_id: str, now_ms: float) -> list[GateAction]:
        """Cancel a queued or running sub-request."""
        entry = self._queue.remove(request_id)
        if entry is not None:
            return [self._reject(entry.request, ErrorKind.CANCELLED, now_ms)]
        slot = self._slots.find(request_id)
        if slot is not None and not slot.answered:
            return [CancelAtEndpoint(request_id)]
        return []

    def observe_report(self, report: EndpointReport | None, now_ms: float) -> list[GateAction]:
        """Handle the result of a probe; ``None`` if the endpoint did not answer."""
        self._probe_pending = False
        if report is not None:
            self._apply_report(report, self._probe_sent_ms, now_ms)
        return self._process_queue(now_ms)

    def observe_idle_closed(self, now_ms: float) -> list[GateAction]:
        """Handle idle connections that the endpoint closed, by a timeout or an unnoticed restart.

        Until a report shows which of the two it was, one request is sent at a time.
        """
        self._connections.discard_idle()
        self._restart_suspected_ms = now_ms
        self._next_probe_ms = 0.0
        return self._process_queue(now_ms)

    def tick(self, now_ms: float) -> list[GateAction]:
        """Handle timeouts and due probes; called at least every 50 ms while requests are queued."""
        actions = self._process_queue(now_ms)
        for request_id in [key for key, until in self._seen_until_ms.items() if now_ms > until]:
            del self._seen_until_ms[request_id]
        due_ms = max(self._next_probe_ms, self._connections.retry_at_ms)
        if now_ms >= due_ms and not self._probe_pending:
            self._probe_pending = True
            self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
            self._probe_sent_ms = now_ms
            actions.append(Probe())
        return actions

    def get_status(self, now_ms: float) -> EndpointStatus:
        """Return the endpoint's status for other instances."""
        return EndpointStatus(
            self.endpoint.name,
            self.state,
            self._find_unavailability(now_ms) is None,
            list(self._last_report.snapshots) if self._last_report is not None else [],
            len(self._queue),
            len(self._slots),
            self.limit,
            self._service_ms,
        )

    def explain(self, now_ms: float) -> str:
        """Return a one-line explanation of the endpoint's state, shown to operators."""
        if self._drain_state.desired is not DesiredState.SERVING:
            return f"operators want it {self._drain_state.desired}"
        if not self._drain_state.serving:
            return "it said that it drains"
        if self._releasing:
            return "its budget moves to another instance"
        if now_ms >= self._usable_until_ms:
            return "no confirmed right to send"
        if self._slots.is_blocked(self.limit):
            return "requests without a reply may still run on all its slots"
        if self._ejection.ejected:
            return "its requests failed several times in a row"
        if self._restart_suspected_ms is not None:
            return "it closed idle connections; its next report decides"
        if self._last_report is None:
            return "it has not reported yet"
        return f"proved {self.limit} of {self.limits.slots} concurrent requests"

    @property
    def state(self) -> str:
        """One of ``cold``, ``warming``, ``warm``, ``draining``, ``out`` and ``ejected``."""
        if not self._drain_state.serving:
            return self._drain_state.state
        return "ejected" if self._ejection.ejected else self._warmup.state

    @property
    def limit(self) -> int:
        """Current maximum number of concurrent requests."""
        if self._ejection.ejected or self._restart_suspected_ms is not None:
            return 1
        return min(self._warmup.limit, self._connections.limit)

    @property
    def busy(self) -> bool:
        """Whether sub-requests are queued or have not been answered yet."""
        return bool(self._queue) or self._slots.has_unanswered

    @property
    def quiescent(self) -> bool:
        """Whether nothing is queued and the endpoint cannot still be executing a request."""
        return not self._queue and not self._slots

    def _process_queue(self, now_ms: float) -> list[GateAction]:
        self._slots.release_expired(now_ms)
        if self._ejection.end_if_due(now_ms):
            self._warmup.reset_to_cold()
        actions: list[GateAction] = []
        if self._queue and (kind := self._find_unavailability(now_ms)) is not None:
            for entry in self._queue.remove_all():
                actions.append(self._reject(entry.request, kind, now_ms))
            return actions
        if self.state != WARM:
            for entry in self._queue.remove_hedges():
                kind = ErrorKind.ENDPOINT_UNAVAILABLE
                actions.append(self._reject(entry.request, kind, now_ms))
        for entry in self._queue.remove_infeasible(
            now_ms + DEADLINE_MARGIN_MS, self.limit, self._service_ms
        ):
            actions.append(self._reject(entry.request, ErrorKind.DEADLINE_EXCEEDED, now_ms))
        while self._queue and len(self._slots) < self.limit:
            if not self._connections.can_acquire(now_ms, cold=self._warmup.state == COLD):
                break
            action = self._dispatch_next(now_ms)
            if action is not None:
                actions.append(action)
        return actions

    def _dispatch_next(self, now_ms: float) -> GateAction | None:
        entry = self._queue.pop()
        request = entry.request
        expires_ms = min(entry.deadline_ms, self._usable_until_ms) - DEADLINE_MARGIN_MS
        if expires_ms <= now_ms:
            return self._reject(request, ErrorKind.DEADLINE_EXCEEDED, now_ms)
        self._has_dispatched = True
        new_connection = self._connections.acquire()
        self._slots.acquire(Slot(request, now_ms, expires_ms, self._warmup.period, new_connection))
        return Dispatch(request, expires_ms - now_ms, expires_ms)

    def _find_unavailability(self, now_ms: float) -> ErrorKind | None:
        if not self._drain_state.serving:
            return ErrorKind.ENDPOINT_DRAINING
        if self._releasing or now_ms >= self._usable_until_ms:
            return ErrorKind.NOT_OWNER
        if self._slots.is_blocked(self.limit):
            return ErrorKind.ENDPOINT_UNAVAILABLE
        return None

    def _find_rejection(self, request: SubRequest) -> ErrorKind | None:
        if not self._drain_state.serving:
            return ErrorKind.ENDPOINT_DRAINING
        if self._releasing:
            return ErrorKind.NOT_OWNER
        if request.hedge and self.state != WARM:
            return ErrorKind.ENDPOINT_UNAVAILABLE
        return None

    def _would_miss_deadline(self, entry: QueueEntry, now_ms: float) -> bool:
        ahead = self._queue.count_ahead(entry)
        if not ahead and not self._slots:
            return False
        wait_ms = self._estimate_wait(ahead, now_ms)
        return now_ms + wait_ms + self._service_ms + DEADLINE_MARGIN_MS > entry.deadline_ms

    def _estimate_wait(self, ahead: int, now_ms: float) -> float:
        waiting = max(0, len(self._slots) + ahead + 1 - self.limit)
        wait_ms = waiting / self.limit * self._service_ms
        return max(wait_ms, self._connections.estimate_connect_delay(now_ms))

    def _record_outcome(self, slot: Slot, outcome: EndpointOutcome, now_ms: float) -> None:
        if outcome.reset:
            self._warmup.reset_to_cold()
            self._connections.back_off(now_ms)
            self._next_probe_ms = now_ms
        if outcome.report is not None:
            self._connections.reset_backoff()
            self._apply_report(outcome.report, slot.sent_ms, now_ms)
        if outcome.error is None:
            self._service_ms += 0.1 * (outcome.duration_ms - self._service_ms)
            self._ejection.observe_success()
            self._warmup.observe_success(
                slot.warmup_period, slot.request.priority, outcome.duration_ms
            )
        elif outcome.error is ErrorKind.OVERLOADED:
            self._warmup.halve(slot.warmup_period)
        elif outcome.error is ErrorKind.ENDPOINT_DRAINING and not _reports_cold(outcome.report):
            self._drain_state.mark_draining(now_ms)
            self._next_probe_ms = min(self._next_probe_ms, now_ms + PROBE_INTERVAL_MS)
        elif self._is_failure(outcome):
            self._ejection.observe_failure(now_ms)

    def _is_failure(self, outcome: EndpointOutcome) -> bool:
        if outcome.error in _FAILURE_KINDS:
            return True
        # A timeout only counts if the endpoint was slow: the sender's deadline may be short.
        slow = outcome.duration_ms > 3 * self._service_ms
        return outcome.error is ErrorKind.DEADLINE_EXCEEDED and outcome.report is None and slow

    def _apply_report(self, report: EndpointReport, sent_ms: float, now_ms: float) -> None:
        if report.incarnation in self._former_incarnations:
            return
        if self._incarnation and report.incarnation != self._incarnation:
            self._former_incarnations.append(self._incarnation)
            self._warmup.reset_to_cold()
        self._incarnation = report.incarnation
        self._last_report = report
        self._slots.release_ended(report.incarnation, sent_ms)
        if self._restart_suspected_ms is not None and sent_ms >= self._restart_suspected_ms:
            self._restart_suspected_ms = None
        self._warmup.set_reported_cold(cold=report.state == "cold")
        serving = self._drain_state.serving
        if report.state == "draining":
            self._drain_state.mark_draining(now_ms)
        else:
            self._drain_state.clear_draining(sent_ms)
        self._restart_warmup_on_return(serving)

    def _restart_warmup_on_return(self, was_serving: bool) -> None:
        if self._drain_state.serving and not was_serving:
            self._warmup.reset_to_cold()

    def _build_reply(
        self, request: SubRequest, outcome: EndpointOutcome, now_ms: float
    ) -> SubReply:
        retry_after_ms = 0.0
        if outcome.error is not None:
            retry_after_ms = self._estimate_retry(now_ms)
        return SubReply(
            request.id,
            self.endpoint.name,
            outcome.snapshot,
            outcome.records,
            outcome.error,
            outcome.message,
            outcome.ran,
            outcome.duration_ms,
            len(self._queue),
            len(self._slots),
            self.limit,
            retry_after_ms,
        )

    def _reject(self, request: SubRequest, kind: ErrorKind, now_ms: float) -> Reply:
        outcome = EndpointOutcome(
            kind, f"endpoint {self.endpoint.name}: {kind}", Ran.NO, None, None, None, 0.0
        )
        return Reply(self._build_reply(request, outcome, now_ms))

    def _estimate_retry(self, now_ms: float) -> float:
        if not self._drain_state.serving:
            return PROBE_INTERVAL_MS
        wait_ms = self._estimate_wait(len(self._queue), now_ms)
        if self._slots.is_blocked(self.limit):
            wait_ms = self._slots.get_next_expiry() - now_ms
        return max(1.0, wait_ms)


def _reports_cold(report: EndpointReport | None) -> bool:
    return report is not None and report.state == "cold"
