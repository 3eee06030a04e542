"""Runs the queries that this instance coordinates."""

import gevent
from attrs import define, field
from gevent.event import Event

from persimmonspur.core.requests.actions import (
    CancelSubRequest,
    CoordinationAction,
    Finish,
    SendSubRequest,
    WakeAt,
)
from persimmonspur.core.requests.coordination import Coordination, CoordinationContext
from persimmonspur.daemon import events
from persimmonspur.daemon.controllers.registry import CONTROLLERS, Handler, PeerMessage
from persimmonspur.daemon.filters.chain import build_failure
from persimmonspur.daemon.instance import Instance
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.model.messages import (
    Cancel,
    EndpointStatuses,
    SubReplies,
    SubReply,
    SubRequest,
    SubRequests,
)
from persimmonspur.model.query import Query, QueryAnswer


@define
class _RunningQuery:
    coordination: Coordination
    wake_at_ms: float = float("inf")
    answer: QueryAnswer | None = None
    state_changed: Event = field(factory=Event)
    request_ids: list[str] = field(factory=list)


@CONTROLLERS.register("queries")
class QueryController:
    """Connects :class:`Coordination` to the owners of the endpoints.

    Messages to one instance that arise in the same iteration of the gevent hub are
    sent together.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._queries_by_request: dict[str, _RunningQuery] = {}
        self._pending_requests: dict[str, list[SubRequest]] = {}
        self._pending_replies: dict[str, list[SubReply]] = {}
        self._pending_cancels: dict[str, list[str]] = {}
        self._flush_scheduled = False
        self.running = 0

    def start(self) -> None:
        """Do nothing; all work is triggered by callers and peers."""

    def stop(self) -> None:
        """Do nothing; running queries are not interrupted."""

    def list_handlers(self) -> dict[type, Handler]:
        """Return the handlers of replies and endpoint statuses."""
        return {SubReplies: self._handle_replies, EndpointStatuses: self._handle_statuses}

    def run(self, query: Query, priority: int) -> QueryAnswer:
        """Run a query and return its answer.

        :param priority: priority of the query; 0 is the most urgent.
        """
        service = query.service
        if service not in self._instance.view.services:
            # The configuration may have changed while the query waited for admission.
            failure = Failure.of(ErrorKind.UNKNOWN_SERVICE, f"service: {service!r} is not declared")
            return build_failure(query, failure)
        clock = self._instance.clock
        context: CoordinationContext = self._instance.coordination_context
        coordination = Coordination(query, priority, context, clock.now_ms())
        running_query = _RunningQuery(coordination)
        self.running += 1
        try:
            self._execute(running_query, coordination.start(clock.now_ms()))
            while running_query.answer is None:
                running_query.state_changed.clear()
                wait_ms = running_query.wake_at_ms - clock.now_ms()
                if wait_ms > 0 and running_query.state_changed.wait(wait_ms / 1000):
                    continue
                running_query.wake_at_ms = float("inf")
                self._execute(running_query, coordination.wake(clock.now_ms()))
            self._record_metrics(coordination)
            return running_query.answer
        finally:
            self.running -= 1
            for request_id in running_query.request_ids:
                self._queries_by_request.pop(request_id, None)

    def deliver(self, receiver: str, reply: SubReply) -> None:
        """Send a reply to the instance that coordinates its query."""
        if receiver == self._instance.settings.instance:
            self._handle_reply(reply)
            return
        self._pending_replies.setdefault(receiver, []).append(reply)
        self._schedule_flush()

    def _record_metrics(self, coordination: Coordination) -> None:
        metrics = self._instance.metrics
        service = coordination.query.service
        if coordination.restarted:
            metrics.restarts.labels(service).inc()
        if coordination.pinned is not None:
            metrics.pinned_epoch.labels(service).set(coordination.pinned.snapshot.epoch)
            metrics.pinned_version.labels(service).set(coordination.pinned.snapshot.version)

    def _execute(self, running_query: _RunningQuery, actions: list[CoordinationAction]) -> None:
        for action in actions:
            match action:
                case SendSubRequest():
                    self._send(running_query, action)
                case CancelSubRequest():
                    self._pending_cancels.setdefault(action.owner, []).append(action.request_id)
                    self._schedule_flush()
                case WakeAt():
                    running_query.wake_at_ms = min(running_query.wake_at_ms, action.at_ms)
                    running_query.state_changed.set()
                case Finish():
                    running_query.answer = action.answer
                    running_query.state_changed.set()

    def _send(self, running_query: _RunningQuery, action: SendSubRequest) -> None:
        request = action.request
        self._queries_by_request[request.id] = running_query
        running_query.request_ids.append(request.id)
        kind = action.kind
        self._instance.metrics.sub_requests.labels(request.service, kind).inc()
        self._instance.timeline.record(
            events.SUB_REQUEST_SENT,
            request.query_id,
            sub_request=request.id,
            owner=action.owner,
            kind=kind,
        )
        self._pending_requests.setdefault(action.owner, []).append(request)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._flush_scheduled:
            return
        self._flush_scheduled = True
        gevent.get_hub().loop.run_callback(lambda: gevent.spawn(self._flush))

    def _flush(self) -> None:
        self._flush_scheduled = False
        requests, self._pending_requests = self._pending_requests, {}
        replies, self._pending_replies = self._pending_replies, {}
        cancels, self._pending_cancels = self._pending_cancels, {}
        own_name = self._instance.settings.instance
        for owner, items in requests.items():
            if owner == own_name:
                self._instance.endpoint_controller.offer(own_name, items, 0.0)
            else:
                self._instance.send(owner, SubRequests(items))
        for receiver, receiver_replies in replies.items():
            self._instance.send(receiver, SubReplies(receiver_replies))
        for owner, ids in cancels.items():
            if owner == own_name:
                self._instance.endpoint_controller.cancel(ids)
            else:
                self._instance.send(owner, Cancel(ids))

    def _handle_reply(self, reply: SubReply, sender: str | None = None) -> None:
        now_ms = self._instance.clock.now_ms()
        self._instance.view.observe_reply(reply, sender, now_ms)
        running_query = self._queries_by_request.get(reply.id)
        if running_query is not None:
            self._execute(
                running_query, running_query.coordination.handle_reply(reply, now_ms, sender)
            )

    def _handle_replies(self, message: PeerMessage) -> None:
        for reply in message.body.items:
            self._handle_reply(reply, message.sender)

    def _handle_statuses(self, message: PeerMessage) -> None:
        now_ms = self._instance.clock.now_ms()
        for status in message.body.items:
            self._instance.view.observe_status(status, message.sender, now_ms)
