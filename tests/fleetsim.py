"""Simulated instances for tests of the direct path: time, timers and endpoints without sockets."""

import heapq
import itertools
import random
from collections import Counter

from attrs import define, evolve, field

from persimmonspur.clock import ManualClock
from persimmonspur.core.fleet.budget import ColdStartLimit, RetryBudget
from persimmonspur.core.fleet.context import ExchangeContext
from persimmonspur.core.fleet.endpoints import Endpoint, EndpointDirectory
from persimmonspur.core.fleet.exchange import Exchange
from persimmonspur.core.fleet.latency import RouteLatencyEstimators
from persimmonspur.core.fleet.messages import ClientRequest, EndpointResponse, SendFailure
from persimmonspur.core.fleet.pushback import EndpointPushback
from persimmonspur.core.fleet.quarantine import Quarantine
from persimmonspur.core.fleet.ratelimit import EndpointRateLimit
from persimmonspur.core.fleet.roles import Member
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
    cancelled: bool = False
    ended: bool = False

    def cancel(self):
        self.cancelled = True
        self.ended = True

    def reply(self, status=200, body=b"", ran=Ran.YES, stamped=True, **fields):
        if self.ended:
            return
        self.ended = True
        stamp = (
            f"{self.endpoint.identity}.{self.request.request_id}"
            if stamped and ran is Ran.YES
            else ""
        )
        self.on_result(EndpointResponse(status, [], body, stamp, ran, **fields))

    def fail(self, ran=Ran.UNKNOWN, reason="reset"):
        if self.ended:
            return
        self.ended = True
        self.on_result(SendFailure(ran, reason))

    def lose_connection(self):
        if self.ended:
            return
        self.ended = True
        self.on_result(SendFailure(Ran.UNKNOWN, "the peer closed the connection", True))


@define
class SimSender:
    """Records sends, and responds to them on its own if ``latency_ms`` is set.

    :param latency_ms: returns the latency of a send.
    :param exhausted: identities of endpoints to which no more connections may be opened.
    :param is_reset: returns whether a send ends with a reset connection instead of a response.
    :param models: models of endpoints that handle their own sends, by identity.
    :param pauses_ms: how long the sender's machine stands still after each of the next sends.
    """

    clock: ManualClock
    timers: SimTimers
    sends: list = field(factory=list)
    latency_ms: object = None
    exhausted: set = field(factory=set)
    is_reset: object = None
    models: dict = field(factory=dict)
    pauses_ms: list = field(factory=list)

    def send(self, endpoint, request, timeout_ms, on_result):
        try:
            return self._send(endpoint, request, timeout_ms, on_result)
        finally:
            if self.pauses_ms:
                self.clock.advance(self.pauses_ms.pop(0))

    def _send(self, endpoint, request, timeout_ms, on_result):
        if endpoint.identity in self.exhausted:
            return None
        send = SimSend(endpoint, request, timeout_ms, on_result, self.clock.now_ms())
        model = self.models.get(endpoint.identity)
        if model is not None:
            model.receive(send)
            return send
        self.sends.append(send)
        if self.latency_ms is not None:
            reset = self.is_reset is not None and self.is_reset(send)
            finish = send.fail if reset else send.reply
            self.timers.call_later(self.latency_ms(send), finish)
        return send

    def to(self, service):
        return [send for send in self.sends if send.endpoint.service == service]


class SimResponseFormat:
    def format_endpoint_response(self, response):
        return [(b"Stamp", response.stamp.encode())]

    def format_merged_response(self, results, missing):
        stamps = ",".join(result.stamp for result in results)
        return [(b"Parts", stamps.encode()), (b"Missing", str(missing).encode())]

    def format_rejection(self, retry_after_ms):
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
    """One simulated instance of the query tier, with endpoints whose responses a test controls."""

    def __init__(self, seed=1, ratio=0.2, slack=100.0):
        self.clock = ManualClock(1_000.0)
        self.timers = SimTimers(self.clock)
        self.sender = SimSender(self.clock, self.timers)
        self.endpoints = EndpointDirectory()
        self.selector = ReplicaSelector("domain-0", random.Random(seed))
        self.retry_budget = RetryBudget(ratio, slack, 10_000.0)
        self.rate_limit = EndpointRateLimit()
        self.pushback = EndpointPushback()
        self.quarantine = Quarantine(self.clock)
        self.decisions = []
        self.counts = Counter()
        self.context = ExchangeContext(
            self.clock,
            self.timers,
            self.sender,
            self.endpoints,
            self.selector,
            RouteLatencyEstimators(),
            self.retry_budget,
            ColdStartLimit("instance-0"),
            self.rate_limit,
            self.pushback,
            self.quarantine,
            SimResponseFormat(),
            lambda name, **fields: self.decisions.append((name, fields)),
            self._count,
            random.Random(seed),
        )
        self.services = {}

    def share_time(self, other):
        """Use the clock and timers of another simulated instance."""
        self.clock, self.timers = other.clock, other.timers
        self.sender.clock, self.sender.timers = other.clock, other.timers
        self.context = evolve(self.context, clock=other.clock, timers=other.timers)

    def _count(self, name):
        self.counts[name] += 1

    def add_service(self, service, replicas=3, cold_per_s=0.0, **fields):
        self.services[service] = ServiceLimits(service, 76, cold_per_s)
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

    def get_lifetime(self, identity):
        return self.endpoints.get(identity).lifetime

    def add_route_services(self, route, replicas=3):
        for service in self.services_of(route):
            self.add_service(service, replicas)

    @staticmethod
    def services_of(route):
        if route.gather is not None:
            return route.gather.shards
        return (route.targets[0].service,)

    def start(self, route, timeout_ms=1_000.0, method="GET", target=b"/a/b"):
        table = RouteTable(1, (route,), self.services, ClientLimits())
        request = ClientRequest(
            f"request-{next(_numbers)}",
            method,
            route.host,
            target,
            [],
            b"",
            timeout_ms,
            self.clock.now_ms(),
        )
        responses = []
        exchange = Exchange(
            self.context, table, route, self.services_of(route), request, responses.append
        )
        exchange.responses = responses
        exchange.start()
        return exchange, responses


class EndpointModel:
    """An endpoint with slots and a bounded queue that rejects requests when it is full.

    :param work_ms: returns the time that one request occupies a slot.
    :ivar rate_limit_per_s: limit that it names in its responses, or ``None``.
    :ivar arrivals_ms: times at which requests arrived.
    """

    def __init__(self, clock, timers, slots, queue, work_ms):
        self.clock = clock
        self.timers = timers
        self.slots = slots
        self.max_queue = queue
        self.work_ms = work_ms
        self.running = 0
        self.waiting = []
        self.rejected = 0
        self.rate_limit_per_s = None
        self.arrivals_ms = []

    def receive(self, send):
        self.arrivals_ms.append(self.clock.now_ms())
        if self.running < self.slots:
            self._run(send)
        elif len(self.waiting) < self.max_queue:
            self.waiting.append(send)
        else:
            self.rejected += 1
            self.timers.call_later(1.0, lambda: self._reply(send, 503, ran=Ran.NO))

    @property
    def load(self):
        return self.running, len(self.waiting)

    def _run(self, send):
        self.running += 1
        self.timers.call_later(self.work_ms(), lambda: self._finish(send))

    def _finish(self, send):
        self.running -= 1
        while self.waiting and self.running < self.slots:
            next_send = self.waiting.pop(0)
            if not next_send.cancelled:
                self._run(next_send)
        self._reply(send, 200)

    def _reply(self, send, status, **fields):
        send.reply(status, b"", load=self.load, rate_limit_per_s=self.rate_limit_per_s, **fields)


class LoadSimulation:
    """Clients that send requests to several instances with shared endpoints and retry once.

    :ivar results: one tuple per request: its start time, its latency or ``None`` if it
        failed, and its value: the squared share of the shards in its response.
    """

    def __init__(self, route, instances=3, replicas=3, slots=3, queue=24, work_ms=None, seed=1):
        self.rng = random.Random(seed)
        self.route = route
        work_ms = work_ms or (lambda: self.rng.lognormvariate(2.6, 0.35))
        self.sims = [SimTier(seed=seed + index) for index in range(instances)]
        first = self.sims[0]
        self.clock, self.timers = first.clock, first.timers
        self.models = {}
        for sim in self.sims:
            sim.share_time(first)
            sim.add_route_services(route, replicas)
            sim.selector.sharing_instances = instances
            sim.sender.models = self.models
        for service in first.services_of(route):
            for index in range(replicas):
                self.models[f"{service}-{index}"] = EndpointModel(
                    self.clock, self.timers, slots, queue, work_ms
                )
        self.results = []

    def send_request(self):
        self._attempt(self.clock.now_ms(), retries=1)

    def _attempt(self, started_ms, retries):
        sim = self.rng.choice(self.sims)
        exchange, responses = sim.start(self.route)
        self._poll(exchange, responses, started_ms, retries)

    def _poll(self, exchange, responses, started_ms, retries):
        if not responses:
            self.timers.call_later(
                1.0, lambda: self._poll(exchange, responses, started_ms, retries)
            )
            return
        response = responses[0]
        if response.status == 200:
            value = (response.covered / response.total) ** 2
            self.results.append((started_ms, self.clock.now_ms() - started_ms, value))
        elif retries:
            fields = dict(response.headers)
            wait_ms = float(fields.get(b"Retry-After", b"0"))
            self.timers.call_later(wait_ms, lambda: self._attempt(started_ms, retries - 1))
        else:
            self.results.append((started_ms, None, 0.0))

    def run(self, per_s, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self.send_request()
            self.timers.advance(self.rng.expovariate(per_s / 1000))

    def compute_mean_value(self, since_ms=0.0):
        """Return the mean value of the requests started since a time.

        A response after the latency objective has a tenth of its value.
        """
        total_value = requests = 0.0
        for started_ms, latency_ms, value in self.results:
            if started_ms < since_ms:
                continue
            requests += 1
            if latency_ms is not None:
                total_value += value if latency_ms <= self.route.objective_ms else 0.1 * value
        return total_value / requests


def make_member(index, incarnation=1, domains=3):
    """Return a registered instance; failure domains are assigned in turn."""
    return Member(
        f"i{index}",
        incarnation,
        f"d{index % domains}",
        "r",
        f"10.0.0.{index}:80",
        f"10.0.0.{index}:81",
    )
