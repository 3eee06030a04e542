"""Discrete-event simulation of coordinators, owners and endpoints, without sockets."""

import heapq
import itertools
from random import Random

from attrs import define, field

from persimmonspur.core.requests.actions import CancelSubRequest, Finish, SendSubRequest, WakeAt
from persimmonspur.core.requests.coordination import Coordination, CoordinationContext
from persimmonspur.core.routing.view import RoutingView
from persimmonspur.errors import ErrorKind, Ran
from persimmonspur.model.configuration import (
    KEY_SPACE_UNITS,
    Configuration,
    Endpoint,
    EndpointLimits,
    FailureDomain,
    PriorityClass,
    Service,
    Shard,
    ShardMap,
)
from persimmonspur.model.messages import EndpointStatus, SubReply
from persimmonspur.model.query import Query, SnapshotId

CLASSES = (
    PriorityClass("counter", 0, 0.5),
    PriorityClass("interactive", 1, 0.3),
    PriorityClass("batch", 2, 0.2),
)
DOMAINS = ("a", "b", "c")
SNAPSHOT = SnapshotId(1, 1)
HOP_MS = 0.5


def build_service(shards=4, replicas=3, slots=2, epoch=1, prefix="s", **options):
    """Build a service whose endpoint ``s0-r1`` is replica 1 of shard ``s0``.

    The replicas of a shard are in different failure domains.
    """
    bounds = [KEY_SPACE_UNITS * index // shards for index in range(shards + 1)]
    shards_of_map = tuple(
        Shard(f"{prefix}{index}", bounds[index], bounds[index + 1]) for index in range(shards)
    )
    endpoints = tuple(
        Endpoint(
            f"{shard.name}-r{replica}", "desk", "127.0.0.1:1", DOMAINS[replica % 3], (shard.name,)
        )
        for shard in shards_of_map
        for replica in range(replicas)
    )
    shard_maps = (ShardMap(epoch, shards_of_map),)
    return Service(
        "desk", EndpointLimits(slots, 8, 1.0), shard_maps, endpoints, typical_ms=4.0, **options
    )


def build_configuration(service):
    domains = tuple(FailureDomain(name) for name in DOMAINS)
    return Configuration("test", domains, CLASSES, (service,))


def build_context(service, owners=None, seed=1, now_ms=0.0, **options):
    """Build a context in which every endpoint is warm.

    Without ``owners`` an endpoint belongs to the owner with its replica number.
    """
    view = RoutingView()
    view.configure(build_configuration(service))
    context = CoordinationContext(view, "a", Random(seed), **options)
    context.outstanding_limits.configure(CLASSES)
    for name, endpoint in view.endpoints.items():
        endpoint.owner = owners[name] if owners else f"o{name[-1]}"
        report(view, name, now_ms)
    return context


def report(view, name, now_ms=0.0, state="warm", usable=True, snapshots=(SNAPSHOT,), **figures):
    """Deliver a status of an endpoint from its current owner."""
    limit = figures.get("limit", 2)
    status = EndpointStatus(
        name,
        state,
        usable,
        list(snapshots),
        figures.get("queue", 0),
        figures.get("running", 0),
        limit,
        figures.get("service_ms", 4.0),
    )
    view.observe_status(status, view.endpoints[name].owner, now_ms)


def build_reply(request, records=(), error=None, ran=Ran.YES, snapshot=None, **figures):
    return SubReply(
        request.id,
        request.endpoint,
        (snapshot or request.snapshot) if error is None else None,
        list(records) if error is None else None,
        error,
        "",
        ran,
        figures.get("service_ms", 4.0),
        figures.get("queue", 0),
        figures.get("running", 0),
        figures.get("limit", 2),
        figures.get("retry_after_ms", 0.0),
    )


@define(eq=False)
class SimulatedEndpoint:
    """An endpoint with a fixed number of slots and a queue ordered by priority and deadline.

    :param slowdown: factor applied to every service time.
    """

    slots: int
    slowdown: float = 1.0
    service_ms: float = 4.0
    queue: list = field(factory=list)
    running: dict = field(factory=dict)


@define
class Result:
    latencies: list = field(factory=list)
    complete: int = 0
    failures: dict = field(factory=dict)
    kinds: dict = field(factory=dict)
    wrong_ran: int = 0
    runs: int = 0

    def get_p99(self):
        ranked = sorted(self.latencies)
        return ranked[int(0.99 * (len(ranked) - 1))]


class Simulation:
    """Simulates coordinators with separate routing views and endpoints whose owners never fail."""

    def __init__(self, service, policy, coordinators=4, seed=1, naive=False):
        self.service = service
        self.rng = Random(seed)
        self.now_ms = 1_000.0
        self.results = {declared_class.name: Result() for declared_class in CLASSES}
        self.endpoints = {}
        self._events = []
        self._order = itertools.count()
        self._contexts = [
            build_context(
                service,
                seed=seed * 100 + index,
                now_ms=self.now_ms,
                policy=policy,
                extra_attempts=not naive,
                early_rejection=not naive,
                limit_bulk_queries=not naive,
                origin=f"c{index}",
            )
            for index in range(coordinators)
        ]
        for context in self._contexts:
            # As in a cell, every coordinator also owns endpoints.
            for index, view in enumerate(context.view.endpoints.values()):
                view.owner = f"o{(index + index // 3) % coordinators}"
        for endpoint in service.endpoints:
            self.endpoints[endpoint.name] = SimulatedEndpoint(service.limits.slots)
        self._publish()

    def offer(self, priority_class, rate, seconds, work_ms=4.0, timeout_ms=100.0, start_ms=0.0):
        """Schedule queries of a class as a Poisson process."""
        priority = [declared_class.name for declared_class in CLASSES].index(priority_class)
        at_ms = self.now_ms + start_ms
        end_ms = at_ms + seconds * 1000
        while True:
            at_ms += self.rng.expovariate(rate) * 1000
            if at_ms > end_ms:
                return
            query = Query(
                "desk",
                priority_class,
                timeout_ms,
                f"q{next(self._order)}",
                body=work_ms,
            )
            self._schedule(at_ms, self._start, query, priority)

    def run(self, warm_up_ms=500.0):
        self._counted_from_ms = self.now_ms + warm_up_ms
        while self._events:
            self.now_ms, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        return self.results

    def _schedule(self, at_ms, callback, *arguments):
        heapq.heappush(self._events, (at_ms, next(self._order), callback, arguments))

    def _start(self, query, priority):
        context = self.rng.choice(self._contexts)
        coordination = Coordination(query, priority, context, self.now_ms)
        running_query = (self.now_ms, context, coordination)
        self._execute(running_query, coordination.start(self.now_ms))

    def _execute(self, running_query, actions):
        for action in actions:
            match action:
                case SendSubRequest():
                    kinds = self.results[running_query[2].query.priority_class].kinds
                    kinds[action.kind] = kinds.get(action.kind, 0) + 1
                    self._schedule(self.now_ms + HOP_MS, self._offer, running_query, action.request)
                case CancelSubRequest():
                    self._schedule(self.now_ms + HOP_MS, self._cancel, action.request_id)
                case WakeAt():
                    self._schedule(action.at_ms, self._wake, running_query)
                case Finish():
                    self._finish(running_query, action.answer)

    def _wake(self, running_query):
        self._execute(running_query, running_query[2].wake(self.now_ms))

    def _finish(self, running_query, answer):
        if running_query[0] < self._counted_from_ms:
            return
        result = self.results[running_query[2].query.priority_class]
        if answer.failure is not None:
            kind = answer.failure.kind
            result.failures[kind] = result.failures.get(kind, 0) + 1
            return
        result.latencies.append(self.now_ms - running_query[0])
        result.complete += 1

    def _offer(self, running_query, request):
        endpoint = self.endpoints[request.endpoint]
        deadline_ms = self.now_ms + request.timeout_ms
        entry = (request.priority, deadline_ms, next(self._order), request, running_query)
        heapq.heappush(endpoint.queue, entry)
        self._dispatch(endpoint)

    def _dispatch(self, endpoint):
        while endpoint.queue and len(endpoint.running) < endpoint.slots:
            _, deadline_ms, _, request, running_query = heapq.heappop(endpoint.queue)
            if deadline_ms - self.now_ms < 2.0:
                reply = self._reply(endpoint, request, ErrorKind.DEADLINE_EXCEEDED, Ran.NO, 0.0)
                self._schedule(self.now_ms + HOP_MS, self._deliver, running_query, reply)
                continue
            work_ms = request.body * self.rng.lognormvariate(-0.045, 0.3) * endpoint.slowdown
            endpoint.running[request.id] = request
            completion = (endpoint, request, running_query, work_ms)
            self._schedule(self.now_ms + work_ms, self._complete, *completion)

    def _complete(self, endpoint, request, running_query, work_ms):
        if endpoint.running.pop(request.id, None) is None:
            return
        endpoint.service_ms += 0.1 * (work_ms - endpoint.service_ms)
        reply = self._reply(endpoint, request, None, Ran.YES, work_ms)
        self._schedule(self.now_ms + HOP_MS, self._deliver, running_query, reply)
        self._dispatch(endpoint)

    def _reply(self, endpoint, request, error, ran, work_ms):
        figures = {"queue": len(endpoint.queue), "running": len(endpoint.running)}
        return build_reply(
            request, (), error, ran, service_ms=work_ms, limit=endpoint.slots, **figures
        )

    def _deliver(self, running_query, reply):
        running_query[1].view.observe_reply(reply, None, self.now_ms)
        self._execute(running_query, running_query[2].handle_reply(reply, self.now_ms))

    def _cancel(self, request_id):
        for endpoint in self.endpoints.values():
            if endpoint.running.pop(request_id, None) is not None:
                self._dispatch(endpoint)
            for entry in endpoint.queue:
                if entry[3].id == request_id:
                    endpoint.queue.remove(entry)
                    heapq.heapify(endpoint.queue)
                    break

    def _publish(self):
        for context in self._contexts:
            for name, endpoint in self.endpoints.items():
                report(
                    context.view,
                    name,
                    self.now_ms,
                    queue=len(endpoint.queue),
                    running=len(endpoint.running),
                    limit=endpoint.slots,
                    service_ms=endpoint.service_ms,
                )
        if self._events or self.now_ms == 1_000.0:
            self._schedule(self.now_ms + 1_000.0, self._publish)
