"""A simulated tier for tests of the direct path: time, timers and endpoints without sockets."""

import heapq
import itertools
import random
from collections import Counter

from attrs import define, field

from persimmonspur.clock import ManualClock
from persimmonspur.core.fleet.budget import ColdStartLimit, RetryBudget
from persimmonspur.core.fleet.endpoints import Endpoint, EndpointDirectory
from persimmonspur.core.fleet.exchange import Exchange, Tier
from persimmonspur.core.fleet.latency import RouteLatencies
from persimmonspur.core.fleet.messages import ClientRequest, EndpointReply, SendFailure
from persimmonspur.core.fleet.routes import (
    ClientLimits,
    Gather,
    RequestKind,
    Route,
    RouteTable,
    ServiceLimits,
    WeightedService,
)
from persimmonspur.core.fleet.selection import ReplicaSelector
from persimmonspur.errors import Ran

_numbers = itertools.count()


class SimTimer:
    def __init__(self, function):
        self.function = function

    def cancel(self):
        self.function = None


class SimTimers:
    def __init__(self, clock):
        self.clock = clock
        self._heap = []

    def call_later(self, delay_ms, function):
        timer = SimTimer(function)
        heapq.heappush(self._heap, (self.clock.now_ms() + delay_ms, next(_numbers), timer))
        return timer

    def advance(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, timer = heapq.heappop(self._heap)
            self.clock.advance(max(0.0, due_ms - self.clock.now_ms()))
            function = timer.function
            timer.function = None
            if function is not None:
                function()
        self.clock.advance(end_ms - self.clock.now_ms())


@define(eq=False)
class SimSend:
    endpoint: Endpoint
    request: ClientRequest
    timeout_ms: float
    on_result: object
    sent_ms: float
    abandoned: bool = False
    ended: bool = False

    def abandon(self):
        self.abandoned = True
        self.ended = True

    def reply(self, status=200, body=b"", ran=Ran.YES, **fields):
        if self.ended:
            return
        self.ended = True
        stamp = f"{self.endpoint.identity}.{self.request.request_id}" if ran is Ran.YES else ""
        self.on_result(EndpointReply(status, [], body, stamp, ran, **fields))

    def fail(self, ran=Ran.UNKNOWN, reason="reset"):
        if self.ended:
            return
        self.ended = True
        self.on_result(SendFailure(ran, reason))


@define
class SimSender:
    """Records sends; answers them by itself when ``latency_ms`` is set.

    ``resets`` says which sends end with a reset connection instead of an answer.
    """

    clock: ManualClock
    timers: SimTimers
    sends: list = field(factory=list)
    latency_ms: object = None
    full: set = field(factory=set)
    resets: object = None

    def send(self, endpoint, request, timeout_ms, on_result):
        if endpoint.identity in self.full:
            return None
        send = SimSend(endpoint, request, timeout_ms, on_result, self.clock.now_ms())
        self.sends.append(send)
        if self.latency_ms is not None:
            reset = self.resets is not None and self.resets(send)
            end = send.fail if reset else send.reply
            self.timers.call_later(self.latency_ms(send), end)
        return send

    def to(self, service):
        return [send for send in self.sends if send.endpoint.service == service]


class SimAnswers:
    def format_reply(self, reply):
        return [(b"Stamp", reply.stamp.encode())]

    def format_parts(self, parts, missing):
        stamps = ",".join(part.stamp for part in parts)
        return [(b"Parts", stamps.encode()), (b"Missing", str(missing).encode())]

    def format_refusal(self, retry_after_ms):
        return [(b"Retry-After", str(retry_after_ms).encode())]

    def format_failure(self):
        return []


def make_route(**fields):
    values = {
        "name": "route",
        "host": "host.example",
        "path_prefix": "/a/",
        "kind": RequestKind.IDEMPOTENT,
        "timeout_ms": 1000.0,
        "objective_ms": 100.0,
        "max_attempts": 2,
        "priority": 1,
        "targets": (WeightedService("single", 1.0),),
        "gather": None,
    }
    return Route(**(values | fields))


def make_gather_route(shards=10, min_share=0.89, top_records=5, **fields):
    services = tuple(f"shard-{index}" for index in range(shards))
    gather = Gather(services, top_records, min_share)
    return make_route(targets=(), gather=gather, **fields)


class SimTier:
    """One instance with endpoints whose answers a test controls."""

    def __init__(self, seed=1, ratio=0.2, slack=100.0):
        self.clock = ManualClock(1_000.0)
        self.timers = SimTimers(self.clock)
        self.sender = SimSender(self.clock, self.timers)
        self.endpoints = EndpointDirectory()
        self.selector = ReplicaSelector("domain-0", random.Random(seed))
        self.budget = RetryBudget(ratio, slack, 10_000.0)
        self.decisions = []
        self.counts = Counter()
        self.tier = Tier(
            self.clock,
            self.timers,
            self.sender,
            self.endpoints,
            self.selector,
            RouteLatencies(),
            self.budget,
            ColdStartLimit("instance-0"),
            SimAnswers(),
            lambda name, **fields: self.decisions.append((name, fields)),
            self._count,
        )
        self.services = {}

    def _count(self, name):
        self.counts[name] += 1

    def add_service(self, service, replicas=3, cold_per_s=0.0, **fields):
        self.services[service] = ServiceLimits(service, "/health", 76, 3_000.0, cold_per_s)
        for index in range(replicas):
            self.endpoints.put(
                Endpoint(
                    f"{service}-{index}",
                    service,
                    f"10.0.0.{index}:80",
                    f"domain-{index}",
                    4,
                    **fields,
                )
            )

    def add_route_services(self, route, replicas=3):
        for service in self.services_of(route):
            self.add_service(service, replicas)

    @staticmethod
    def services_of(route):
        if route.gather is not None:
            return route.gather.shards
        return (route.targets[0].service,)

    def start(self, route, deadline_ms=1_000.0, method="GET"):
        table = RouteTable(1, (route,), self.services, ClientLimits())
        request = ClientRequest(
            f"request-{next(_numbers)}",
            method,
            route.host,
            b"/a/b",
            [],
            b"",
            deadline_ms,
            self.clock.now_ms(),
        )
        answers = []
        exchange = Exchange(
            self.tier, table, route, self.services_of(route), request, answers.append
        )
        exchange.answers = answers
        exchange.start()
        return exchange, answers
