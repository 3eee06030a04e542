"""Runs the gates of the endpoints that this instance owns."""

import gevent
from gevent.pool import Pool

from persimmonspur.core.endpoints.actions import (
    CancelAtEndpoint,
    Dispatch,
    GateAction,
    Probe,
    Reply,
)
from persimmonspur.core.endpoints.gate import EndpointGate
from persimmonspur.core.ownership.actions import ReleaseBudgets
from persimmonspur.daemon import events
from persimmonspur.daemon.controllers.registry import CONTROLLERS, Handler, PeerMessage
from persimmonspur.daemon.instance import Instance
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.messages import (
    Cancel,
    EndpointStatus,
    EndpointStatuses,
    ReleasedBudget,
    SubReply,
    SubRequest,
    SubRequests,
)
from persimmonspur.model.outcome import EndpointOutcome

TICK_MS = 20.0
STATUS_TICKS = 10
# All statuses are sent again this often, since a status message can be lost.
REFRESH_TICKS = 50
PROBE_TIMEOUT_MS = 1_000.0


@CONTROLLERS.register("endpoints")
class EndpointController:
    """Connects :class:`EndpointGate` with the endpoint calls and the peers."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._gates: dict[str, EndpointGate] = {}
        self._origins: dict[str, str] = {}
        self._published: dict[str, EndpointStatus] = {}
        self._probing: set[str] = set()
        self._calls = Pool()
        self._loop: gevent.Greenlet[[], None] | None = None

    def start(self) -> None:
        """Start to tick."""
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop to tick; calls that run are not cut."""
        if self._loop is not None:
            self._loop.kill()

    def list_handlers(self) -> dict[type, Handler]:
        """Return the handlers of sub-request messages."""
        return {SubRequests: self._handle_requests, Cancel: self._handle_cancel}

    @property
    def busy(self) -> bool:
        """Whether sub-requests wait or run."""
        return any(gate.busy for gate in self._gates.values())

    def refresh(self) -> None:
        """Create and drop gates after a new table or configuration."""
        configuration = self._instance.holder.configuration
        if configuration is None:
            return
        now_ms = self._instance.clock.now_ms()
        owned = set()
        for service in configuration.services:
            for endpoint in service.endpoints:
                owner = self._instance.cell.find_owner(endpoint.name)
                if owner is None or owner.name != self._instance.settings.instance:
                    continue
                owned.add(endpoint.name)
                gate = self._gates.get(endpoint.name)
                if gate is None:
                    gate = EndpointGate(endpoint, service.limits, service.typical_ms)
                    self._gates[endpoint.name] = gate
                desired = configuration.find_endpoint_desired(endpoint)
                self._execute(gate, gate.configure(endpoint, service.limits, desired, now_ms))
        for name in set(self._gates) - owned:
            gate = self._gates[name]
            self._execute(gate, gate.extend(0.0, now_ms))
            if not gate.busy:
                del self._gates[name]
                self._published.pop(name, None)
        self._tick_all()

    def release(self, action: ReleaseBudgets) -> None:
        """Give up budgets and tell their new owner."""

    def take_over(self, budgets: list[ReleasedBudget]) -> None:
        """Take the state of budgets that their former owner gave up."""

    def offer(self, sender: str, requests: list[SubRequest], age_ms: float) -> None:
        """Take sub-requests of a coordinator.

        :param age_ms: time that the message was on the way, in milliseconds.
        """
        now_ms = self._instance.clock.now_ms()
        for request in requests:
            request.timeout_ms -= age_ms
            self._origins[request.id] = sender
            gate = self._gates.get(request.endpoint)
            if gate is None:
                self._reply(_build_not_owner(request))
                continue
            self._execute(gate, gate.offer(request, now_ms))

    def cancel(self, request_ids: list[str]) -> None:
        """Withdraw sub-requests."""
        now_ms = self._instance.clock.now_ms()
        for request_id in request_ids:
            if request_id not in self._origins:
                continue
            for gate in self._gates.values():
                self._execute(gate, gate.cancel(request_id, now_ms))

    def _run(self) -> None:
        ticks = 0
        while True:
            gevent.sleep(TICK_MS / 1000)
            ticks += 1
            self._tick_all()
            if ticks % STATUS_TICKS == 0:
                self._publish(everything=ticks % REFRESH_TICKS == 0)

    def _tick_all(self) -> None:
        now_ms = self._instance.clock.now_ms()
        for name, gate in list(self._gates.items()):
            usable_until_ms = self._instance.cell.usable_until(name, now_ms)
            self._execute(gate, gate.extend(usable_until_ms, now_ms))
            self._execute(gate, gate.tick(now_ms))

    def _publish(self, *, everything: bool) -> None:
        now_ms = self._instance.clock.now_ms()
        changed = []
        for name, gate in self._gates.items():
            status = gate.get_status(now_ms)
            self._instance.view.observe_status(status)
            published = self._published.get(name)
            if not everything and published is not None and not _differs(published, status):
                continue
            self._published[name] = status
            changed.append(status)
        if changed:
            self._instance.broadcast(EndpointStatuses(changed))

    def _execute(self, gate: EndpointGate, actions: list[GateAction]) -> None:
        for action in actions:
            match action:
                case Dispatch():
                    self._calls.spawn(self._dispatch, gate, action)
                case Reply():
                    self._reply(action.reply)
                case CancelAtEndpoint():
                    endpoint_calls = self._instance.endpoint_calls
                    gevent.spawn(endpoint_calls.cancel, gate.endpoint, action.request_id)
                case Probe():
                    if gate.endpoint.name not in self._probing:
                        self._probing.add(gate.endpoint.name)
                        gevent.spawn(self._probe, gate)

    def _dispatch(self, gate: EndpointGate, action: Dispatch) -> None:
        request = action.request
        now_ms = self._instance.clock.now_ms()
        # The greenlet may have waited, or the whole process may have been
        # paused, since the gate decided to send.
        usable_ms = self._instance.cell.usable_until(gate.endpoint.name, now_ms) - now_ms
        if usable_ms <= 0:
            self._instance.timeline.record(
                events.DISPATCH_REFUSED, request.query_id, endpoint=gate.endpoint.name
            )
            outcome = EndpointOutcome(
                ErrorKind.NOT_OWNER, "validity expired", Ran.NO, None, None, None, 0.0
            )
        else:
            self._instance.timeline.record(
                events.DISPATCHED,
                request.query_id,
                sub_request=request.id,
                endpoint=gate.endpoint.name,
            )
            outcome = self._instance.endpoint_calls.search(
                gate.endpoint, request, min(action.timeout_ms, usable_ms)
            )
        now_ms = self._instance.clock.now_ms()
        self._execute(gate, gate.complete(request.id, outcome, now_ms))

    def _probe(self, gate: EndpointGate) -> None:
        try:
            report = self._instance.endpoint_calls.fetch_report(gate.endpoint, PROBE_TIMEOUT_MS)
        finally:
            self._probing.discard(gate.endpoint.name)
        self._execute(gate, gate.observe_report(report, self._instance.clock.now_ms()))

    def _reply(self, reply: SubReply) -> None:
        sender = self._origins.pop(reply.id, None)
        if sender is not None:
            self._instance.queries.deliver(sender, reply)

    def _handle_requests(self, message: PeerMessage) -> None:
        self.offer(message.sender, message.body.items, message.age_ms)

    def _handle_cancel(self, message: PeerMessage) -> None:
        self.cancel(message.body.ids)


def _differs(published: EndpointStatus, status: EndpointStatus) -> bool:
    return (
        published.state != status.state
        or published.usable != status.usable
        or published.snapshots != status.snapshots
        or published.limit != status.limit
    )


def _build_not_owner(request: SubRequest) -> SubReply:
    return SubReply(
        request.id,
        request.endpoint,
        None,
        None,
        ErrorKind.NOT_OWNER,
        f"this instance does not own endpoint {request.endpoint}",
        Ran.NO,
        0.0,
        0,
        0,
        0,
        0.0,
    )
