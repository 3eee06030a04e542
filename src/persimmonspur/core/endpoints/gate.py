"""Controls all work that one endpoint gets, at the endpoint's owner."""

from attrs import define

from persimmonspur.core.endpoints.actions import (
    CancelAtEndpoint,
    Dispatch,
    GateAction,
    Probe,
    Reply,
)
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import Desired, Endpoint, Limits
from persimmonspur.model.messages import EndpointStatus, SubReply, SubRequest
from persimmonspur.model.outcome import EndpointOutcome, EndpointReport
from persimmonspur.model.query import SnapshotId

MARGIN_MS = 2.0
PROBE_INTERVAL_MS = 1_000.0


@define
class _Entry:
    request: SubRequest
    deadline_ms: float


class EndpointGate:
    """Queue, concurrency limit and state of one endpoint.

    Every event method returns the actions that the daemon must carry out.
    All times are the owner's monotonic milliseconds.
    """

    def __init__(self, endpoint: Endpoint, limits: Limits, typical_ms: float) -> None:
        """Start without the right to send.

        :param typical_ms: expected service time before any was observed, in milliseconds.
        """
        self.endpoint = endpoint
        self.limits = limits
        self._service_ms = typical_ms
        self._usable_until_ms = 0.0
        self._queue: list[_Entry] = []
        self._running: dict[str, SubRequest] = {}
        self._report: EndpointReport | None = None
        self._desired = endpoint.desired
        self._next_probe_ms = 0.0

    def extend(self, usable_until_ms: float, now_ms: float) -> list[GateAction]:
        """Set until when the owner may use the budget; 0 withdraws the right."""
        self._usable_until_ms = usable_until_ms
        return self._advance(now_ms)

    def configure(
        self, endpoint: Endpoint, limits: Limits, desired: Desired, now_ms: float
    ) -> list[GateAction]:
        """Take a changed declaration and desired state."""
        self.endpoint = endpoint
        self.limits = limits
        self._desired = desired
        return self._advance(now_ms)

    def offer(self, request: SubRequest, now_ms: float) -> list[GateAction]:
        """Take a sub-request: it is sent, queued or rejected."""
        if self._desired is not Desired.SERVING:
            return [self._reject(request, ErrorKind.ENDPOINT_DRAINING)]
        if len(self._queue) >= self.limits.queue:
            return [self._reject(request, ErrorKind.OVERLOADED)]
        self._queue.append(_Entry(request, now_ms + request.timeout_ms))
        self._queue.sort(key=lambda entry: (entry.request.priority, entry.deadline_ms))
        return self._advance(now_ms)

    def complete(
        self, request_id: str, outcome: EndpointOutcome, now_ms: float
    ) -> list[GateAction]:
        """Take the outcome of a dispatched sub-request."""
        request = self._running.pop(request_id, None)
        if request is None:
            return []
        if outcome.report is not None:
            self._report = outcome.report
        if outcome.error is None:
            self._service_ms += 0.1 * (outcome.duration_ms - self._service_ms)
        reply = SubReply(
            request.id,
            self.endpoint.name,
            outcome.snapshot,
            outcome.records,
            outcome.error,
            outcome.message,
            outcome.ran,
            outcome.duration_ms,
            len(self._queue),
            len(self._running),
            self.limits.slots,
            0.0,
        )
        return [Reply(reply), *self._advance(now_ms)]

    def cancel(self, request_id: str, now_ms: float) -> list[GateAction]:
        """Withdraw a sub-request, queued or running."""
        for entry in self._queue:
            if entry.request.id != request_id:
                continue
            self._queue.remove(entry)
            return [self._reject(entry.request, ErrorKind.CANCELLED)]
        if request_id in self._running:
            return [CancelAtEndpoint(request_id)]
        return []

    def observe_report(self, report: EndpointReport | None, now_ms: float) -> list[GateAction]:
        """Take the answer to a probe; ``None`` if the endpoint did not answer."""
        if report is not None:
            self._report = report
        return self._advance(now_ms)

    def tick(self, now_ms: float) -> list[GateAction]:
        """Do what is due; the daemon calls this at least every 50 ms while entries wait."""
        actions = self._advance(now_ms)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
            actions.append(Probe())
        return actions

    def get_status(self, now_ms: float) -> EndpointStatus:
        """Return what other instances need to know."""
        snapshots: list[SnapshotId] = []
        if self._report is not None:
            snapshots = list(self._report.snapshots)
        return EndpointStatus(
            self.endpoint.name,
            "warm",
            self._desired is Desired.SERVING and now_ms < self._usable_until_ms,
            snapshots,
            len(self._queue),
            len(self._running),
            self.limits.slots,
            self._service_ms,
        )

    @property
    def busy(self) -> bool:
        """Whether sub-requests wait or run."""
        return bool(self._queue or self._running)

    def _advance(self, now_ms: float) -> list[GateAction]:
        actions: list[GateAction] = []
        while self._queue and len(self._running) < self.limits.slots:
            entry = self._queue.pop(0)
            limit_ms = min(entry.deadline_ms, self._usable_until_ms) - now_ms - MARGIN_MS
            if now_ms >= self._usable_until_ms:
                actions.append(self._reject(entry.request, ErrorKind.NOT_OWNER))
                continue
            if limit_ms <= 0:
                actions.append(self._reject(entry.request, ErrorKind.DEADLINE_EXCEEDED))
                continue
            self._running[entry.request.id] = entry.request
            actions.append(Dispatch(entry.request, limit_ms))
        return actions

    def _reject(self, request: SubRequest, kind: ErrorKind) -> Reply:
        return Reply(
            SubReply(
                request.id,
                self.endpoint.name,
                None,
                None,
                kind,
                f"endpoint {self.endpoint.name}: {kind}",
                Ran.NO,
                0.0,
                len(self._queue),
                len(self._running),
                self.limits.slots,
                self._service_ms,
            )
        )
