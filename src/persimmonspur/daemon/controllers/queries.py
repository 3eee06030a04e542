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
class _Run:
    coordination: Coordination
    wake_at_ms: float = float("inf")
    answer: QueryAnswer | None = None
    changed: Event = field(factory=Event)
    request_ids: list[str] = field(factory=list)


@CONTROLLERS.register("queries")
class QueryController:
    """Connects :class:`Coordination` with the owners of the endpoints.

    Messages for one owner that arise in one turn of the hub go out together.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance
        self._runs: dict[str, _Run] = {}
        self._requests: dict[str, list[SubRequest]] = {}
        self._replies: dict[str, list[SubReply]] = {}
        self._cancels: dict[str, list[str]] = {}
        self._flushing = False
        self.running = 0

    def start(self) -> None:
        """Do nothing: all work comes from callers and peers."""

    def stop(self) -> None:
        """Do nothing: queries that run are not cut."""

    def list_handlers(self) -> dict[type, Handler]:
        """Return the handlers of replies and statuses."""
        return {SubReplies: self._handle_replies, EndpointStatuses: self._handle_statuses}

    def run(self, query: Query, priority: int) -> QueryAnswer:
        """Run a query and wait for its answer.

        :param priority: 0 is the most urgent.
        """
        service = query.service
        if service not in self._instance.view.services:
            # The configuration may have changed while the query waited.
            failure = Failure.of(ErrorKind.UNKNOWN_SERVICE, f"service: {service!r} is not declared")
            return build_failure(query, failure)
        clock = self._instance.clock
        context: CoordinationContext = self._instance.coordination_context
        coordination = Coordination(query, priority, context, clock.now_ms())
        run = _Run(coordination)
        self.running += 1
        try:
            self._execute(run, coordination.start(clock.now_ms()))
            while run.answer is None:
                run.changed.clear()
                wait_ms = run.wake_at_ms - clock.now_ms()
                if wait_ms > 0 and run.changed.wait(wait_ms / 1000):
                    continue
                run.wake_at_ms = float("inf")
                self._execute(run, coordination.wake(clock.now_ms()))
            self._measure(coordination)
            return run.answer
        finally:
            self.running -= 1
            for request_id in run.request_ids:
                self._runs.pop(request_id, None)

    def deliver(self, receiver: str, reply: SubReply) -> None:
        """Return a reply to the coordinator of its query."""
        if receiver == self._instance.settings.instance:
            self._observe(reply)
            return
        self._replies.setdefault(receiver, []).append(reply)
        self._schedule_flush()

    def _measure(self, coordination: Coordination) -> None:
        metrics = self._instance.metrics
        service = coordination.query.service
        if coordination.restarted:
            metrics.restarts.labels(service).inc()
        if coordination.pinned is not None:
            metrics.pinned_epoch.labels(service).set(coordination.pinned.snapshot.epoch)
            metrics.pinned_version.labels(service).set(coordination.pinned.snapshot.version)

    def _execute(self, run: _Run, actions: list[CoordinationAction]) -> None:
        for action in actions:
            match action:
                case SendSubRequest():
                    self._send(run, action)
                case CancelSubRequest():
                    self._cancels.setdefault(action.owner, []).append(action.request_id)
                    self._schedule_flush()
                case WakeAt():
                    run.wake_at_ms = min(run.wake_at_ms, action.at_ms)
                    run.changed.set()
                case Finish():
                    run.answer = action.answer
                    run.changed.set()

    def _send(self, run: _Run, action: SendSubRequest) -> None:
        request = action.request
        self._runs[request.id] = run
        run.request_ids.append(request.id)
        kind = action.kind
        self._instance.metrics.sub_requests.labels(request.service, kind).inc()
        self._instance.timeline.record(
            events.SUB_REQUEST_SENT,
            request.query_id,
            sub_request=request.id,
            owner=action.owner,
            kind=kind,
        )
        self._requests.setdefault(action.owner, []).append(request)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if self._flushing:
            return
        self._flushing = True
        gevent.get_hub().loop.run_callback(lambda: gevent.spawn(self._flush))

    def _flush(self) -> None:
        self._flushing = False
        requests, self._requests = self._requests, {}
        replies, self._replies = self._replies, {}
        cancels, self._cancels = self._cancels, {}
        own = self._instance.settings.instance
        for owner, items in requests.items():
            if owner == own:
                self._instance.endpoint_controller.offer(own, items, 0.0)
            else:
                self._instance.send(owner, SubRequests(items))
        for receiver, answers in replies.items():
            self._instance.send(receiver, SubReplies(answers))
        for owner, ids in cancels.items():
            if owner == own:
                self._instance.endpoint_controller.cancel(ids)
            else:
                self._instance.send(owner, Cancel(ids))

    def _observe(self, reply: SubReply, sender: str | None = None) -> None:
        now_ms = self._instance.clock.now_ms()
        self._instance.view.observe_reply(reply, sender, now_ms)
        run = self._runs.get(reply.id)
        if run is not None:
            self._execute(run, run.coordination.handle_reply(reply, now_ms, sender))

    def _handle_replies(self, message: PeerMessage) -> None:
        for reply in message.body.items:
            self._observe(reply, message.sender)

    def _handle_statuses(self, message: PeerMessage) -> None:
        now_ms = self._instance.clock.now_ms()
        for status in message.body.items:
            self._instance.view.observe_status(status, message.sender, now_ms)
