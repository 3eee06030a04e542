"""Controls all work that one endpoint gets, at the endpoint's owner."""

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
from persimmonspur.core.endpoints.drain import Drain
from persimmonspur.core.endpoints.ejection import Ejection
from persimmonspur.core.endpoints.queue import EndpointQueue, Entry
from persimmonspur.core.endpoints.slots import Slot, SlotTable
from persimmonspur.core.endpoints.warmup import COLD, WARM, WarmUp
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import Desired, Endpoint, Limits
from persimmonspur.model.messages import EndpointStatus, ReleasedBudget, SubReply, SubRequest
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport

MARGIN_MS = 2.0
PROBE_INTERVAL_MS = 1_000.0
# Ids of non-repeatable sub-requests are kept longer than any query may last.
# A repeated message must not run one twice, nor run one that was rejected.
REMEMBER_MS = 120_000.0
# Reports of earlier incarnations that arrive late are ignored.
FORMER_INCARNATIONS = 16
_FAILURES = (ErrorKind.UNREACHABLE, ErrorKind.ENDPOINT_FAILED)


class EndpointGate:
    """Queue, concurrency limit and state of one endpoint.

    Every event method returns the actions that the daemon must carry out.
    All times are the owner's monotonic milliseconds.
    """

    def __init__(
        self, endpoint: Endpoint, limits: Limits, typical_ms: float, seed: int = 0
    ) -> None:
        """Start cold and without the right to send.

        :param typical_ms: expected service time before any was observed, in milliseconds.
        :param seed: seed of the jitter of reconnections.
        """
        self.endpoint = endpoint
        self.limits = limits
        self._service_ms = typical_ms
        self._usable_until_ms = 0.0
        self._warmup = WarmUp(limits.slots)
        self._connections = ConnectionBudget(limits.connections, limits.connect_ms, Random(seed))
        self._queue = EndpointQueue(limits.queue)
        self._drain = Drain(endpoint.desired)
        self._ejection = Ejection()
        self._slots = SlotTable()
        self._offered: dict[str, float] = {}
        self._report: EndpointReport | None = None
        self._incarnation = ""
        self._former: deque[str] = deque(maxlen=FORMER_INCARNATIONS)
        self._suspect_since_ms: float | None = None
        self._next_probe_ms = 0.0
        self._probe_sent_ms = 0.0
        self._probing = False
        self._releasing = False
        self._used = False

    def set_usable_until(self, usable_until_ms: float, now_ms: float) -> list[GateAction]:
        """Set until when the owner may use the budget; 0 withdraws the right."""
        self._usable_until_ms = usable_until_ms
        return self._advance(now_ms)

    def configure(
        self, endpoint: Endpoint, limits: Limits, desired: Desired, now_ms: float
    ) -> list[GateAction]:
        """Take a changed declaration and desired state."""
        if endpoint.address != self.endpoint.address:
            self._warmup.cool()
            self._connections.drop_idle()
        self.endpoint = endpoint
        self.limits = limits
        self._warmup.resize(limits.slots)
        self._connections.connections = limits.connections
        self._connections.connect_ms = limits.connect_ms
        self._queue.capacity = limits.queue
        serving = self._drain.serving
        self._drain.desired = desired
        self._observe_return(serving)
        return self._advance(now_ms)

    def restore(self, level: int, incarnation: str) -> None:
        """Take the warm-up level that the former owner handed over.

        :param incarnation: the endpoint's; another one makes it cold again.
        """
        if self._incarnation not in ("", incarnation) or self._used:
            return
        self._incarnation = incarnation
        self._warmup.restore(level)

    def begin_release(self, now_ms: float) -> list[GateAction]:
        """Stop taking work: queued sub-requests are rejected, those that run are finished."""
        self._releasing = True
        return self._advance(now_ms)

    def resume(self, now_ms: float) -> list[GateAction]:
        """Take work again: the budget came back before it was released."""
        self._releasing = False
        return self._advance(now_ms)

    def build_released_budget(self) -> ReleasedBudget:
        """Return what the next owner needs to know."""
        return ReleasedBudget(self.endpoint.name, self._warmup.level, self._incarnation)

    def offer(self, request: SubRequest, now_ms: float) -> list[GateAction]:
        """Take a sub-request: it is sent, queued or rejected; a repeated one is ignored."""
        if request.id in self._slots or request.id in self._offered or request.id in self._queue:
            return []
        if not request.repeatable:
            self._offered[request.id] = now_ms + REMEMBER_MS
        kind = self._find_refusal(request)
        if kind is not None:
            return [self._reject(request, kind, now_ms)]
        entry = Entry(request, now_ms + request.timeout_ms)
        if self._is_hopeless(entry, now_ms):
            return [self._reject(request, ErrorKind.OVERLOADED, now_ms)]
        actions = self._advance(now_ms)
        excess = self._queue.add(entry)
        if excess is not None:
            actions.append(self._reject(excess.request, ErrorKind.OVERLOADED, now_ms))
        return actions + self._advance(now_ms)

    def complete(
        self, request_id: str, outcome: EndpointOutcome, now_ms: float
    ) -> list[GateAction]:
        """Take the outcome of a dispatched sub-request.

        The slot stays taken if the request may still run at the endpoint.
        """
        slot = self._slots.find(request_id)
        if slot is None:
            return []
        ended = outcome.ran is Ran.NO or outcome.error is None or outcome.report is not None
        if ended:
            self._slots.free(request_id)
        if slot.answered:
            return self._advance(now_ms)
        slot.answered = True
        if outcome.reset:
            slot.broken_incarnation = outcome.connection_incarnation
            slot.broken_ms = now_ms
        self._connections.give_back(new=slot.new_connection, lost=outcome.closed or outcome.reset)
        self._learn(slot, outcome, now_ms)
        reply = self._build_reply(slot.request, outcome, now_ms)
        return [Reply(reply), *self._advance(now_ms)]

    def cancel(self, request_id: str, now_ms: float) -> list[GateAction]:
        """Withdraw a sub-request, queued or running."""
        entry = self._queue.remove(request_id)
        if entry is not None:
            return [self._reject(entry.request, ErrorKind.CANCELLED, now_ms)]
        slot = self._slots.find(request_id)
        if slot is not None and not slot.answered:
            return [CancelAtEndpoint(request_id)]
        return []

    def observe_report(self, report: EndpointReport | None, now_ms: float) -> list[GateAction]:
        """Take the answer to a probe; ``None`` if the endpoint did not answer."""
        self._probing = False
        if report is not None:
            self._take_report(report, self._probe_sent_ms, now_ms)
        return self._advance(now_ms)

    def observe_idle_closed(self, now_ms: float) -> list[GateAction]:
        """Take the end of idle connections, a usual timeout or a silent restart.

        One request at a time is sent until a report shows which of the two it was.
        """
        self._connections.drop_idle()
        self._suspect_since_ms = now_ms
        self._next_probe_ms = 0.0
        return self._advance(now_ms)

    def tick(self, now_ms: float) -> list[GateAction]:
        """Do what is due; the daemon calls this at least every 50 ms while entries wait."""
        actions = self._advance(now_ms)
        for request_id in [key for key, until in self._offered.items() if now_ms > until]:
            del self._offered[request_id]
        due_ms = max(self._next_probe_ms, self._connections.retry_at_ms)
        if now_ms >= due_ms and not self._probing:
            self._probing = True
            self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
            self._probe_sent_ms = now_ms
            actions.append(Probe())
        return actions

    def get_status(self, now_ms: float) -> EndpointStatus:
        """Return what other instances need to know."""
        return EndpointStatus(
            self.endpoint.name,
            self.state,
            self._find_closure(now_ms) is None,
            list(self._report.snapshots) if self._report is not None else [],
            len(self._queue),
            len(self._slots),
            self.limit,
            self._service_ms,
        )

    def explain(self, now_ms: float) -> str:
        """Return in one line why the endpoint is in its state."""
        if self._drain.desired is not Desired.SERVING:
            return f"operators want it {self._drain.desired}"
        if not self._drain.serving:
            return "it said that it drains"
        if self._releasing:
            return "its budget moves to another instance"
        if now_ms >= self._usable_until_ms:
            return "no confirmed right to send"
        if self._slots.is_blocked(self.limit):
            return "requests without a reply may still run on all its slots"
        if self._ejection.ejected:
            return "its requests failed several times in a row"
        if self._suspect_since_ms is not None:
            return "it closed idle connections; its next report decides"
        if self._report is None:
            return "it has not reported yet"
        return f"proved {self.limit} of {self.limits.slots} concurrent requests"

    @property
    def state(self) -> str:
        """One of ``cold``, ``warming``, ``warm``, ``draining``, ``out`` and ``ejected``."""
        if not self._drain.serving:
            return self._drain.state
        return "ejected" if self._ejection.ejected else self._warmup.state

    @property
    def limit(self) -> int:
        """Concurrent requests that the endpoint may have now."""
        if self._ejection.ejected or self._suspect_since_ms is not None:
            return 1
        return min(self._warmup.limit, self._connections.limit)

    @property
    def busy(self) -> bool:
        """Whether sub-requests wait or run without an answer."""
        return bool(self._queue) or self._slots.unanswered

    @property
    def quiescent(self) -> bool:
        """Whether nothing waits and nothing can still run at the endpoint."""
        return not self._queue and not self._slots

    def _advance(self, now_ms: float) -> list[GateAction]:
        self._slots.free_expired(now_ms)
        if self._ejection.advance(now_ms):
            self._warmup.cool()
        actions: list[GateAction] = []
        if self._queue and (kind := self._find_closure(now_ms)) is not None:
            for entry in self._queue.remove_all():
                actions.append(self._reject(entry.request, kind, now_ms))
            return actions
        if self.state != WARM:
            for entry in self._queue.remove_hedges():
                kind = ErrorKind.ENDPOINT_UNAVAILABLE
                actions.append(self._reject(entry.request, kind, now_ms))
        for entry in self._queue.remove_late(now_ms + MARGIN_MS, self.limit, self._service_ms):
            actions.append(self._reject(entry.request, ErrorKind.DEADLINE_EXCEEDED, now_ms))
        while self._queue and len(self._slots) < self.limit:
            if not self._connections.may_take(now_ms, cold=self._warmup.state == COLD):
                break
            action = self._send_next(now_ms)
            if action is not None:
                actions.append(action)
        return actions

    def _send_next(self, now_ms: float) -> GateAction | None:
        entry = self._queue.pop()
        request = entry.request
        expires_ms = min(entry.deadline_ms, self._usable_until_ms) - MARGIN_MS
        if expires_ms <= now_ms:
            return self._reject(request, ErrorKind.DEADLINE_EXCEEDED, now_ms)
        self._used = True
        new_connection = self._connections.take()
        self._slots.take(Slot(request, now_ms, expires_ms, self._warmup.period, new_connection))
        return Dispatch(request, expires_ms - now_ms, expires_ms)

    def _find_closure(self, now_ms: float) -> ErrorKind | None:
        if not self._drain.serving:
            return ErrorKind.ENDPOINT_DRAINING
        if self._releasing or now_ms >= self._usable_until_ms:
            return ErrorKind.NOT_OWNER
        if self._slots.is_blocked(self.limit):
            return ErrorKind.ENDPOINT_UNAVAILABLE
        return None

    def _find_refusal(self, request: SubRequest) -> ErrorKind | None:
        if not self._drain.serving:
            return ErrorKind.ENDPOINT_DRAINING
        if self._releasing:
            return ErrorKind.NOT_OWNER
        if request.hedge and self.state != WARM:
            return ErrorKind.ENDPOINT_UNAVAILABLE
        return None

    def _is_hopeless(self, entry: Entry, now_ms: float) -> bool:
        ahead = self._queue.count_ahead(entry)
        if not ahead and not self._slots:
            return False
        wait_ms = self._estimate_wait(ahead, now_ms)
        return now_ms + wait_ms + self._service_ms + MARGIN_MS > entry.deadline_ms

    def _estimate_wait(self, ahead: int, now_ms: float) -> float:
        waiting = max(0, len(self._slots) + ahead + 1 - self.limit)
        wait_ms = waiting / self.limit * self._service_ms
        return max(wait_ms, self._connections.estimate_cost(now_ms))

    def _learn(self, slot: Slot, outcome: EndpointOutcome, now_ms: float) -> None:
        if outcome.reset:
            self._warmup.cool()
            self._connections.observe_loss(now_ms)
            self._next_probe_ms = now_ms
        if outcome.report is not None:
            self._connections.observe_answer()
            self._take_report(outcome.report, slot.sent_ms, now_ms)
        if outcome.error is None:
            self._service_ms += 0.1 * (outcome.duration_ms - self._service_ms)
            self._ejection.observe_success()
            self._warmup.observe_success(slot.period, slot.request.priority, outcome.duration_ms)
        elif outcome.error is ErrorKind.OVERLOADED:
            self._warmup.halve(slot.period)
        elif outcome.error is ErrorKind.ENDPOINT_DRAINING and not _says_cold(outcome.report):
            self._drain.flag(now_ms)
            self._next_probe_ms = min(self._next_probe_ms, now_ms + PROBE_INTERVAL_MS)
        elif self._is_failure(outcome):
            self._ejection.observe_failure(now_ms)

    def _is_failure(self, outcome: EndpointOutcome) -> bool:
        if outcome.error in _FAILURES:
            return True
        # A short deadline of the sender says nothing about the endpoint.
        slow = outcome.duration_ms > 3 * self._service_ms
        return outcome.error is ErrorKind.DEADLINE_EXCEEDED and outcome.report is None and slow

    def _take_report(self, report: EndpointReport, sent_ms: float, now_ms: float) -> None:
        if report.incarnation in self._former:
            return
        if self._incarnation and report.incarnation != self._incarnation:
            self._former.append(self._incarnation)
            self._warmup.cool()
        self._incarnation = report.incarnation
        self._report = report
        self._slots.free_ended(report.incarnation, sent_ms)
        if self._suspect_since_ms is not None and sent_ms >= self._suspect_since_ms:
            self._suspect_since_ms = None
        self._warmup.hold(cold=report.state == "cold")
        serving = self._drain.serving
        if report.state == "draining":
            self._drain.flag(now_ms)
        else:
            self._drain.clear(sent_ms)
        self._observe_return(serving)

    def _observe_return(self, was_serving: bool) -> None:
        if self._drain.serving and not was_serving:
            self._warmup.cool()

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
        if not self._drain.serving:
            return PROBE_INTERVAL_MS
        wait_ms = self._estimate_wait(len(self._queue), now_ms)
        if self._slots.is_blocked(self.limit):
            wait_ms = self._slots.find_next_expiry() - now_ms
        return max(1.0, wait_ms)


def _says_cold(report: EndpointReport | None) -> bool:
    return report is not None and report.state == "cold"
