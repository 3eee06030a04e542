"""Manages the gates of the endpoints that this instance owns."""

import gevent
from attrs import frozen
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
from persimmonspur.core.rendezvous import hash_key
from persimmonspur.daemon import events
from persimmonspur.daemon.controllers.interfaces import EndpointDescription
from persimmonspur.daemon.controllers.registry import CONTROLLERS, Handler, PeerMessage
from persimmonspur.daemon.controllers.statuses import StatusPublisher
from persimmonspur.daemon.instance import Instance
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import Endpoint, Service
from persimmonspur.model.messages import (
    Cancel,
    Release,
    ReleasedBudget,
    SubReply,
    SubRequest,
    SubRequests,
)
from persimmonspur.model.outcome import EndpointOutcome

TICK_INTERVAL_MS = 20.0
# Gates without work are ticked less often; 50 ticks per second of 26 such gates
# take 1.5% of a core.
TICKS_PER_IDLE_GATE_TICK = 5
TICKS_PER_STATUS = 10
ENDPOINT_STATES = ("cold", "warming", "warm", "draining", "out", "ejected")
PROBE_TIMEOUT_MS = 1_000.0
# Longer than any query lasts; after this time no duplicate of a message is in transit.
REQUEST_ID_RETENTION_MS = 120_000.0
# The level of a released budget that no table change used within this time is out of date.
RELEASED_BUDGET_RETENTION_MS = 60_000.0


@frozen
class _RequestOrigin:
    """The sender and the endpoint of a sub-request."""

    sender: str
    endpoint: str


@CONTROLLERS.register("endpoints")
class EndpointController:
    """Connects :class:`EndpointGate` to the endpoint client and the peers."""

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._gates: dict[str, EndpointGate] = {}
        self._retired_gates: set[str] = set()
        self._pending_releases: dict[str, ReleaseBudgets] = {}
        self._released_budgets: dict[str, tuple[float, ReleasedBudget]] = {}
        self._origins: dict[str, _RequestOrigin] = {}
        self._non_repeatable_received_ms: dict[str, float] = {}
        self._status_publisher = StatusPublisher(instance)
        self._call_pool = Pool()
        self._tick_loop: gevent.Greenlet[[], None] | None = None

    def start(self) -> None:
        """Start the periodic ticks."""
        self._instance.endpoint_client.set_idle_close_listener(self._observe_idle_closed)
        self._tick_loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the ticks; calls in progress are not interrupted."""
        if self._tick_loop is not None:
            self._tick_loop.kill()

    def list_handlers(self) -> dict[type, Handler]:
        """Return the handlers of sub-requests and their cancellations."""
        return {SubRequests: self._handle_requests, Cancel: self._handle_cancel}

    @property
    def busy(self) -> bool:
        """Whether sub-requests are queued or running, or releases of budgets are pending."""
        if self._pending_releases:
            return True
        return any(gate.busy for gate in self._gates.values())

    def refresh(self) -> None:
        """Create and retire gates after a change of the table or the configuration."""
        configuration = self._instance.configuration_holder.configuration
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
                    gate = self._create_gate(endpoint, service, now_ms)
                desired = configuration.resolve_desired_state(endpoint)
                self._execute(gate, gate.configure(endpoint, service.limits, desired, now_ms))
        for name in self._retired_gates & owned:
            self._pending_releases.pop(name, None)
            self._execute(self._gates[name], self._gates[name].resume(now_ms))
        self._retired_gates = set(self._gates) - owned
        for name in self._retired_gates:
            self._execute(self._gates[name], self._gates[name].begin_release(now_ms))
        self._tick_gates()

    def release(self, action: ReleaseBudgets) -> None:
        """Release budgets to their new owner as soon as nothing runs at their endpoints."""
        now_ms = self._instance.clock.now_ms()
        for name in action.endpoints:
            gate = self._gates.get(name)
            self._pending_releases[name] = action
            if gate is not None:
                self._execute(gate, gate.begin_release(now_ms))
        self._complete_releases()

    def accept_budgets(self, budgets: list[ReleasedBudget]) -> None:
        """Restore the state of budgets that their previous owner released."""
        now_ms = self._instance.clock.now_ms()
        for budget in budgets:
            gate = self._gates.get(budget.endpoint)
            if gate is not None:
                gate.restore(budget.level, budget.incarnation)
            else:
                self._released_budgets[budget.endpoint] = (now_ms, budget)

    def offer(self, sender: str, requests: list[SubRequest], age_ms: float) -> None:
        """Accept sub-requests from a coordinator.

        :param age_ms: estimated transit time of the message in milliseconds.
        """
        now_ms = self._instance.clock.now_ms()
        for request in requests:
            request.timeout_ms -= age_ms
            # A duplicate must neither run again nor be answered in place of the original.
            if request.id in self._origins or request.id in self._non_repeatable_received_ms:
                continue
            self._origins[request.id] = _RequestOrigin(sender, request.endpoint)
            if not request.repeatable:
                self._non_repeatable_received_ms[request.id] = now_ms
            gate = self._gates.get(request.endpoint)
            if gate is None:
                self._reply(_build_not_owner_reply(request))
                continue
            self._execute(gate, gate.offer(request, now_ms))

    def cancel(self, request_ids: list[str]) -> None:
        """Cancel sub-requests."""
        now_ms = self._instance.clock.now_ms()
        for request_id in request_ids:
            origin = self._origins.get(request_id)
            gate = self._gates.get(origin.endpoint) if origin is not None else None
            if gate is not None:
                self._execute(gate, gate.cancel(request_id, now_ms))

    def describe(self) -> list[EndpointDescription]:
        """Return a description of every owned endpoint, sorted by name."""
        now_ms = self._instance.clock.now_ms()
        descriptions = []
        for name, gate in sorted(self._gates.items()):
            status = gate.get_status(now_ms)
            descriptions.append(EndpointDescription(name, status, gate.explain(now_ms)))
        return descriptions

    def observe_member(self, name: str, incarnation: int, configuration_version: int) -> None:
        """Publish all statuses to a member that is new or has just received a configuration."""
        self._status_publisher.publish_to_member(
            name, incarnation, configured=configuration_version > 0
        )

    def _create_gate(self, endpoint: Endpoint, service: Service, now_ms: float) -> EndpointGate:
        seed = hash_key(self._instance.settings.instance, endpoint.name)
        gate = EndpointGate(endpoint, service.limits, service.typical_ms, seed)
        received_ms, budget = self._released_budgets.pop(endpoint.name, (0.0, None))
        if budget is not None and now_ms - received_ms < RELEASED_BUDGET_RETENTION_MS:
            gate.restore(budget.level, budget.incarnation)
        self._gates[endpoint.name] = gate
        return gate

    def _run(self) -> None:
        ticks = 0
        while True:
            gevent.sleep(TICK_INTERVAL_MS / 1000)
            ticks += 1
            self._tick_gates(include_idle=ticks % TICKS_PER_IDLE_GATE_TICK == 0)
            if ticks % TICKS_PER_STATUS == 0:
                self._publish_statuses()

    def _tick_gates(self, *, include_idle: bool = True) -> None:
        """Update the validity of the gates and execute their due actions.

        :param include_idle: whether to include gates without work.
        """
        now_ms = self._instance.clock.now_ms()
        for name, gate in list(self._gates.items()):
            if not include_idle and not gate.busy:
                continue
            usable_until_ms = self._instance.cell.usable_until(name, now_ms)
            self._execute(gate, gate.set_usable_until(usable_until_ms, now_ms))
            self._execute(gate, gate.tick(now_ms))
        self._complete_releases()

    def _complete_releases(self) -> None:
        """Send releases of budgets that are no longer in use and remove retired gates."""
        for name, action in list(self._pending_releases.items()):
            gate = self._gates.get(name)
            if gate is not None and not gate.quiescent:
                continue
            del self._pending_releases[name]
            # Closes the connections first, so that the previous and the new owner together
            # stay within the connection limit of the endpoint.
            self._instance.endpoint_client.disconnect(name)
            budget = (
                gate.build_released_budget() if gate is not None else ReleasedBudget(name, 0, "")
            )
            self._instance.send(action.receiver, Release(action.version, [budget]))
        for name in list(self._retired_gates):
            gate = self._gates[name]
            if gate.quiescent and name not in self._pending_releases:
                self._retired_gates.discard(name)
                del self._gates[name]
                self._status_publisher.remove_endpoint(name)
                self._instance.endpoint_client.disconnect(name)

    def _publish_statuses(self) -> None:
        now_ms = self._instance.clock.now_ms()
        owned = [gate for name, gate in self._gates.items() if name not in self._retired_gates]
        self._status_publisher.publish([gate.get_status(now_ms) for gate in owned], now_ms)
        states = [gate.state for gate in owned]
        for state in ENDPOINT_STATES:
            self._instance.metrics.owned_endpoints.labels(state).set(states.count(state))
        for request_id, received_ms in list(self._non_repeatable_received_ms.items()):
            if now_ms - received_ms < REQUEST_ID_RETENTION_MS:
                break
            del self._non_repeatable_received_ms[request_id]

    def _observe_idle_closed(self, name: str) -> None:
        gate = self._gates.get(name)
        if gate is not None:
            self._execute(gate, gate.observe_idle_closed(self._instance.clock.now_ms()))

    def _execute(self, gate: EndpointGate, actions: list[GateAction]) -> None:
        for action in actions:
            match action:
                case Dispatch():
                    self._call_pool.spawn(self._dispatch, gate, action)
                case Reply():
                    self._reply(action.reply)
                case CancelAtEndpoint():
                    endpoint_client = self._instance.endpoint_client
                    gevent.spawn(endpoint_client.cancel, gate.endpoint, action.request_id)
                case Probe():
                    gevent.spawn(self._probe, gate)

    def _dispatch(self, gate: EndpointGate, action: Dispatch) -> None:
        request = action.request
        outcome = self._send(gate, action)
        self._execute(gate, gate.complete(request.id, outcome, self._instance.clock.now_ms()))

    def _send(self, gate: EndpointGate, action: Dispatch) -> EndpointOutcome:
        request = action.request
        name = gate.endpoint.name
        # Read before the validity check, so that a pause after the check cannot
        # postpone the expiry.
        wall_ms = self._instance.clock.wall_ms()
        now_ms = self._instance.clock.now_ms()
        # Checked again, because the greenlet may have waited or the process may have
        # been paused since the gate decided to send.
        usable_ms = self._instance.cell.usable_until(name, now_ms) - now_ms
        if usable_ms <= 0:
            self._instance.timeline.record(events.DISPATCH_REFUSED, request.query_id, endpoint=name)
            return _build_unsent_outcome(ErrorKind.NOT_OWNER, "validity expired")
        timeout_ms = min(action.expires_ms - now_ms, usable_ms)
        if timeout_ms <= 0:
            return _build_unsent_outcome(ErrorKind.DEADLINE_EXCEEDED, "no time left to send")
        self._instance.timeline.record(
            events.DISPATCHED, request.query_id, sub_request=request.id, endpoint=name
        )
        return self._instance.endpoint_client.search(
            gate.endpoint, request, timeout_ms, wall_ms + timeout_ms
        )

    def _probe(self, gate: EndpointGate) -> None:
        report = self._instance.endpoint_client.fetch_report(gate.endpoint, PROBE_TIMEOUT_MS)
        self._execute(gate, gate.observe_report(report, self._instance.clock.now_ms()))

    def _reply(self, reply: SubReply) -> None:
        origin = self._origins.pop(reply.id, None)
        if origin is not None:
            self._instance.query_controller.deliver(origin.sender, reply)

    def _handle_requests(self, message: PeerMessage) -> None:
        self.offer(message.sender, message.body.items, message.age_ms)

    def _handle_cancel(self, message: PeerMessage) -> None:
        self.cancel(message.body.ids)


def _build_unsent_outcome(kind: ErrorKind, message: str) -> EndpointOutcome:
    return EndpointOutcome(kind, message, Ran.NO, None, None, None, 0.0, closed=True)


def _build_not_owner_reply(request: SubRequest) -> SubReply:
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
