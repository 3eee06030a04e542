"""Simulated load of gathers on replicas whose load reports are stale.

Four instances of a large fleet get all requests. Each request is a gather over 36 shards with
three replicas. The replicas of a shard differ in speed, pause, and become slow when nearly full;
one replica of each tenth shard works at half speed. Endpoints report their load as it was 50 to
500 ms ago.
"""

import random
from bisect import bisect_right
from collections import Counter, deque
from statistics import mean

from attrs import define, evolve, frozen

from fleetsim import SimSend, SimTier, make_gather_route
from persimmonspur.core.fleet.endpoints import Endpoint
from persimmonspur.core.fleet.routes import ServiceLimits

REPLICAS = 3
DOMAINS = 3
OBJECTIVE_MS = 73.0
CLIENT_TIMEOUT_MS = 640.0
MEDIAN_WORK_MS = 9.5
WORK_SPREAD = 0.35
# Spread of the speeds of the replicas, and of the changes of each one's speed many times a second.
SPEED_SPREAD = 0.2
DRIFT_SPREAD = 0.15
DRIFT_INTERVAL_MS = 80.0
HALF_SPEED_SHARDS = 10
PAUSE_MS = (120.0, 250.0)
PAUSE_INTERVAL_MS = (3_000.0, 6_000.0)
# One way between an instance and an endpoint, with the parsing of a message.
LOCAL_DELAY_MS = 2.0
REMOTE_DELAY_MS = 2.5
# One way between a client and an instance: the least, and the mean beyond it.
CLIENT_DELAY_MS = 1.0
CLIENT_JITTER_MS = 2.0
# Extra time that work takes at an endpoint whose slots are all in use.
FULL_SLOWDOWN = 0.6


@frozen
class Scenario:
    """What is simulated.

    :param per_s: gathers per second over all instances.
    :param demand: weight of each instance in the choice of the clients.
    :param report_age_ms: least and greatest age of the load in a response; ``None`` without
        load reports.
    :param wrong_reports: whether the reported load is random.
    """

    per_s: float
    shards: int = 36
    replicas: int = REPLICAS
    demand: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    slots: int = 4
    warm_up_ms: float = 2_000.0
    duration_ms: float = 6_000.0
    report_age_ms: tuple[float, float] | None = (50.0, 500.0)
    wrong_reports: bool = False
    pauses: bool = True


@define
class Figures:
    """What callers got, and how the work was spread.

    :param value: mean value of a gather: the squared share of its shards, and a tenth of that
        if it is late.
    :param in_time: share of the gathers answered within the objective.
    :param whole_in_time: share of them without a missing part.
    :param missing: share of the gathers with a missing part, or without an answer.
    :param busiest: sends to the busiest replica of a shard relative to the mean of the shard's
        replicas; the mean over the shards.
    :param busiest_alike: the same without the shards that have a replica at half speed.
    :param worst: the same for the worst shard.
    :param extra: hedges and retries per first send.
    :param remote: share of the sends to another failure domain.
    """

    value: float
    in_time: float
    whole_in_time: float
    missing: float
    p50_ms: float
    p99_ms: float
    busiest: float
    busiest_alike: float
    worst: float
    extra: float
    remote: float


class Replica:
    """An endpoint with slots, a queue, pauses and a speed that changes."""

    def __init__(self, simulation, speed):
        self.simulation = simulation
        self.clock = simulation.clock
        self.timers = simulation.timers
        self.rng = random.Random(simulation.rng.random())
        self.speed = speed
        self.running = 0
        self.waiting = deque()
        self._history = [(0.0, 0, 0)]
        self._drift = 1.0
        self._drift_until_ms = 0.0
        self._pause_start_ms = self.rng.uniform(0, PAUSE_INTERVAL_MS[1])
        self._pause_end_ms = self._pause_start_ms + self.rng.uniform(*PAUSE_MS)

    def accept(self, send, delay_ms):
        """Take a request that has just arrived."""
        if self.running < self.simulation.scenario.slots:
            self._run(send, delay_ms)
        else:
            self.waiting.append((send, delay_ms))
            self._record()

    def _run(self, send, delay_ms):
        self.running += 1
        self._record()
        work_ms = MEDIAN_WORK_MS * self.rng.lognormvariate(0.0, WORK_SPREAD)
        duration_ms = self._add_pauses(work_ms * self.compute_slowdown())
        self.timers.call_later(duration_ms, lambda: self._finish(send, delay_ms))

    def compute_slowdown(self):
        """Return how long work takes now, relative to the usual."""
        now_ms = self.clock.now_ms()
        if now_ms >= self._drift_until_ms:
            self._drift = self.rng.lognormvariate(0.0, DRIFT_SPREAD)
            self._drift_until_ms = now_ms + DRIFT_INTERVAL_MS * self.rng.uniform(0.5, 1.5)
        slots = self.simulation.scenario.slots
        fullness = max(0.0, 2.0 * self.running / slots - 1.0)
        return self.speed * self._drift * (1.0 + FULL_SLOWDOWN * fullness)

    def _add_pauses(self, work_ms):
        """Return the time that work takes that starts now."""
        if not self.simulation.scenario.pauses:
            return work_ms
        now_ms = self.clock.now_ms()
        while self._pause_end_ms <= now_ms:
            self._pause_start_ms += self.rng.uniform(*PAUSE_INTERVAL_MS)
            self._pause_end_ms = self._pause_start_ms + self.rng.uniform(*PAUSE_MS)
        if now_ms + work_ms <= self._pause_start_ms:
            return work_ms
        return work_ms + self._pause_end_ms - max(now_ms, self._pause_start_ms)

    def _finish(self, send, delay_ms):
        self.running -= 1
        while self.waiting and self.running < self.simulation.scenario.slots:
            self._run(*self.waiting.popleft())
        self._record()
        fields = self._report()
        self.timers.call_later(delay_ms, lambda: send.reply(200, b"", **fields))

    def _record(self):
        self._history.append((self.clock.now_ms(), self.running, len(self.waiting)))
        if len(self._history) > 4_000:
            del self._history[:2_000]

    def _report(self):
        scenario = self.simulation.scenario
        if scenario.report_age_ms is None:
            return {}
        if scenario.wrong_reports:
            return {"load": (self.rng.randrange(scenario.slots + 1), self.rng.randrange(4))}
        at_ms = self.clock.now_ms() - self.rng.uniform(*scenario.report_age_ms)
        index = bisect_right(self._history, (at_ms, 1 << 30, 0)) - 1
        _, running, waiting = self._history[max(0, index)]
        return {"load": (running, waiting)}


class BalanceSimulation:
    """Instances, replicas and clients in simulated time."""

    def __init__(self, scenario, seed):
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.route = make_gather_route(scenario.shards, 0.85, objective_ms=OBJECTIVE_MS)
        self.sims = [SimTier(seed=seed + index) for index in range(len(scenario.demand))]
        self.clock, self.timers = self.sims[0].clock, self.sims[0].timers
        self.replicas = {}
        for index, sim in enumerate(self.sims):
            sim.share_time(self.sims[0])
            sim.selector = sim.context.selector
            sim.selector._failure_domain = f"domain-{index % DOMAINS}"
            sim.selector.sharing_instances = len(scenario.demand)
            sim.sender = InstanceSender(self, f"domain-{index % DOMAINS}")
            sim.context = evolve(sim.context, sender=sim.sender)
        self._add_replicas()
        self.responses = []
        self.sends = Counter()
        self.remote = 0
        self.measuring = False

    def _add_replicas(self):
        for shard, service in enumerate(self.route.gather.shards):
            for sim in self.sims:
                sim.services[service] = ServiceLimits(service, 76, 0.0)
            for index in range(self.scenario.replicas):
                speed = self.rng.lognormvariate(0.0, SPEED_SPREAD)
                if not shard % HALF_SPEED_SHARDS and not index:
                    speed = 2.0
                endpoint = Endpoint(
                    f"{service}-{index}",
                    service,
                    "10.0.0.1:80",
                    f"domain-{(shard + index) % DOMAINS}",
                    self.scenario.slots,
                )
                self.replicas[endpoint.identity] = Replica(self, speed)
                for sim in self.sims:
                    sim.endpoints.put(endpoint)

    def run(self):
        """Play the scenario and return its figures."""
        self._advance(self.scenario.warm_up_ms)
        self.measuring = True
        for sim in self.sims:
            sim.counts.clear()
        self._advance(self.scenario.duration_ms)
        self.timers.advance(CLIENT_TIMEOUT_MS)
        return self._summarize()

    def _advance(self, duration_ms):
        end_ms = self.clock.now_ms() + duration_ms
        while self.clock.now_ms() < end_ms:
            self._start_gather()
            self.timers.advance(self.rng.expovariate(self.scenario.per_s / 1000))

    def _start_gather(self):
        started_ms = self.clock.now_ms() - self._draw_client_delay()
        measured = self.measuring
        (sim,) = self.rng.choices(self.sims, self.scenario.demand)
        exchange, responses = sim.start(self.route, CLIENT_TIMEOUT_MS)

        def record(response):
            if measured:
                took_ms = self.clock.now_ms() + self._draw_client_delay() - started_ms
                self.responses.append((took_ms, response.status == 200, response.covered))

        if responses:
            record(responses[0])
        exchange._respond = record

    def _draw_client_delay(self):
        return CLIENT_DELAY_MS + self.rng.expovariate(1 / CLIENT_JITTER_MS)

    def _summarize(self):
        shards = self.scenario.shards
        took_ms = sorted(took if answered else 1e9 for took, answered, _ in self.responses)
        in_time = [
            covered
            for took, answered, covered in self.responses
            if answered and took <= OBJECTIVE_MS
        ]
        total = len(took_ms)
        value = sum(
            (covered / shards) ** 2 * (1.0 if took <= OBJECTIVE_MS else 0.1)
            for took, answered, covered in self.responses
            if answered
        )
        ratios = []
        for service in self.route.gather.shards:
            counts = [self.sends[f"{service}-{index}"] for index in range(self.scenario.replicas)]
            ratios.append(max(counts) / max(1e-9, mean(counts)))
        counts = sum((sim.counts for sim in self.sims), Counter())
        return Figures(
            value / total,
            len(in_time) / total,
            sum(covered == shards for covered in in_time) / total,
            sum(covered < shards for _, _, covered in self.responses) / total,
            took_ms[total // 2],
            took_ms[int(total * 0.99)],
            mean(ratios),
            mean(ratio for shard, ratio in enumerate(ratios) if shard % HALF_SPEED_SHARDS),
            max(ratios),
            (counts["hedge"] + counts["retry"]) / counts["first"],
            self.remote / max(1, sum(self.sends.values())),
        )


class InstanceSender:
    """Sends of one instance, which arrive at their replica after a delay."""

    def __init__(self, simulation, failure_domain):
        self.simulation = simulation
        self.failure_domain = failure_domain

    def send(self, endpoint, request, timeout_ms, on_result):
        simulation = self.simulation
        remote = endpoint.failure_domain != self.failure_domain
        if simulation.measuring:
            simulation.sends[endpoint.identity] += 1
            simulation.remote += remote
        delay_ms = REMOTE_DELAY_MS if remote else LOCAL_DELAY_MS
        send = SimSend(endpoint, request, timeout_ms, on_result, simulation.clock.now_ms())
        replica = simulation.replicas[endpoint.identity]
        simulation.timers.call_later(delay_ms, lambda: replica.accept(send, delay_ms))
        return send
