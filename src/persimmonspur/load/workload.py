"""Open-loop load through the client library."""

import math
from collections import Counter
from collections.abc import Callable
from random import Random

import gevent
from attrs import define, field, frozen
from gevent.pool import Pool
from hdrh.histogram import HdrHistogram

from persimmonspur.client.client import Client, QueryResult
from persimmonspur.clock import Clock
from persimmonspur.errors import Ran
from persimmonspur.load.verifier import ResultVerifier, Verdict
from persimmonspur.model.configuration import KEY_SPACE_UNITS
from persimmonspur.registry import Registry

HISTOGRAM_MAX_US = 60_000_000
# A repeat that is sent while the first attempt still runs follows after this time.
OVERLAP_MS = 3.0
# Parts of the measured time for which complete answers are counted.
WINDOWS = 10

Shape = Callable[[float], float]
SHAPES: Registry[Shape] = Registry("load shape")


@SHAPES.register("flat")
def keep_rate(position: float) -> float:
    """Return the same rate at all times.

    :param position: part of the run that has passed, 0 to 1.
    """
    return 1.0


@SHAPES.register("wave")
def raise_and_lower(position: float) -> float:
    """Return a wave from a quarter of the peak to the peak and back."""
    return 0.25 + 0.75 * math.sin(math.pi * position)


@SHAPES.register("first_half")
def send_first_half(position: float) -> float:
    """Send in the first half of the run only."""
    return 1.0 if position < 0.5 else 0.0


@SHAPES.register("second_half")
def send_second_half(position: float) -> float:
    """Send in the second half of the run only."""
    return 0.0 if position < 0.5 else 1.0


@frozen
class Flow:
    """Queries of one kind.

    :param rate: queries per second at the peak of the shape.
    :param work_ms: mean service time of each sub-request in milliseconds.
    :param top: records in the answer.
    :param shape: name in :data:`SHAPES`.
    :param single_key: whether each query asks for one random key.
    :param repeats: share of the requests that are sent twice under one request id.
    """

    service: str
    priority_class: str
    rate: float
    timeout_ms: float
    work_ms: float
    top: int
    allow_partial: bool = False
    shape: str = "flat"
    single_key: bool = False
    repeatable: bool = True
    repeats: float = 0.0


@define
class FlowResult:
    """What one flow's callers saw.

    Latency runs from the time at which a query should have been sent.

    :param needed: sub-requests that the answered queries need without hedges and retries.
    :param covered: sum of the coverage of all answers, each 0 to 1.
    :param lag: time from the intended send to the real one, in microseconds.
    :param labels: what callers were told of each non-repeatable request: ``ok`` or ``ran``.
    :param arrivals: complete answers by the window of the measured time in which they came,
        those to queries of the warm-up included.
    """

    histogram: HdrHistogram = field(factory=lambda: HdrHistogram(1, HISTOGRAM_MAX_US, 3))
    sent: int = 0
    complete: int = 0
    partial: int = 0
    wrong: int = 0
    sub_requests: int = 0
    errors: Counter[str] = field(factory=Counter)
    needed: int = 0
    covered: float = 0.0
    least_covered: float = 1.0
    lag: HdrHistogram = field(factory=lambda: HdrHistogram(1, HISTOGRAM_MAX_US, 3))
    labels: dict[str, list[str]] = field(factory=dict)
    arrivals: list[int] = field(factory=lambda: [0] * WINDOWS)

    def get_percentile(self, percentile: float) -> float:
        """Return a latency in milliseconds."""
        return float(self.histogram.get_value_at_percentile(percentile)) / 1000

    @property
    def extra_load(self) -> float:
        """Hedges and retries relative to the first sub-requests."""
        return self.sub_requests / self.needed - 1 if self.needed else 0.0

    @property
    def mean_coverage(self) -> float:
        """Mean coverage of the answers that are not errors."""
        answers = self.complete + self.partial
        return self.covered / answers if answers else 0.0


@define
class LoadRun:
    """Sends all flows at once for a bounded time.

    :param warmup_s: time before the measured part, in seconds; its queries are not counted.
    :param more_clients: further clients, used in turn with the first.
    :param clock: also the clock of ``start_ms``.
    :param start_ms: when the warm-up starts; by default at once.
    """

    client: Client
    flows: dict[str, Flow]
    seconds: float
    seed: int
    clock: Clock = field(factory=Clock)
    results: dict[str, FlowResult] = field(factory=dict)
    verifier: ResultVerifier = field(factory=ResultVerifier)
    warmup_s: float = 0.0
    more_clients: list[Client] = field(factory=list)
    start_ms: float = 0.0
    _discarded: FlowResult = field(factory=FlowResult)
    _turn: int = 0

    def run(self) -> dict[str, FlowResult]:
        """Send the load and wait for every answer."""
        pool = Pool()
        senders = []
        self.start_ms = self.start_ms or self.clock.now_ms()
        for index, (name, flow) in enumerate(self.flows.items()):
            self.results[name] = FlowResult()
            rng = Random(self.seed * 1_000 + index)
            senders.append(gevent.spawn(self._send, pool, name, flow, rng))
        gevent.joinall(senders, raise_error=True)
        pool.join()
        return self.results

    def count_arrival(self, result: FlowResult, answer: QueryResult) -> None:
        """Count a complete answer that comes now, if now is within the measured time."""
        if answer.error is not None or answer.covered < answer.total:
            return
        measured_ms = self.clock.now_ms() - self.start_ms - self.warmup_s * 1000
        window = math.floor(measured_ms / (self.seconds * 1000) * WINDOWS)
        if 0 <= window < WINDOWS:
            result.arrivals[window] += 1

    def _send(self, pool: Pool, name: str, flow: Flow, rng: Random) -> None:
        shape = SHAPES.get(flow.shape)
        measured_ms = self.start_ms + self.warmup_s * 1000
        intended_ms = self.start_ms
        while True:
            intended_ms += rng.expovariate(flow.rate) * 1000
            position = (intended_ms - measured_ms) / (self.seconds * 1000)
            if position > 1:
                return
            key = rng.randrange(KEY_SPACE_UNITS) if flow.single_key else None
            request_id = f"{name}-{rng.getrandbits(64):016x}"
            repeat = rng.random() if flow.repeats else 1.0
            # Thinning: keeps the arrivals of a changing rate Poisson.
            if rng.random() >= shape(max(0.0, position)):
                continue
            wait_ms = intended_ms - self.clock.now_ms()
            if wait_ms > 0:
                gevent.sleep(wait_ms / 1000)
            result = self.results[name] if position >= 0 else self._discarded
            pool.spawn(self._query, name, result, intended_ms, key, request_id)
            if repeat >= flow.repeats:
                continue
            delay_ms = OVERLAP_MS if repeat < flow.repeats / 2 else flow.timeout_ms
            pool.spawn(self._repeat, flow, result, delay_ms, key, request_id)

    def _query(
        self, name: str, result: FlowResult, intended_ms: float, key: int | None, request_id: str
    ) -> None:
        flow = self.flows[name]
        result.sent += 1
        _record(result.lag, self.clock.now_ms() - intended_ms)
        answer = self._ask(flow, key, request_id)
        _record(result.histogram, self.clock.now_ms() - intended_ms)
        self._judge(flow, result, answer, key)
        self.count_arrival(self.results[name], answer)
        if not flow.repeatable:
            result.labels.setdefault(request_id, []).append(_label(answer))

    def _repeat(
        self, flow: Flow, result: FlowResult, delay_ms: float, key: int | None, request_id: str
    ) -> None:
        gevent.sleep(delay_ms / 1000)
        answer = self._ask(flow, key, request_id)
        result.labels.setdefault(request_id, []).append(_label(answer))

    def _ask(self, flow: Flow, key: int | None, request_id: str) -> QueryResult:
        clients = [self.client, *self.more_clients]
        self._turn += 1
        body = {"work_ms": flow.work_ms, "top": flow.top}
        if not flow.repeatable:
            body["once"] = True
        return clients[self._turn % len(clients)].query(
            flow.service,
            flow.priority_class,
            flow.timeout_ms,
            body=body,
            repeatable=flow.repeatable,
            allow_partial=flow.allow_partial,
            key=key,
            limit=flow.top,
            request_id=request_id,
        )

    def _judge(self, flow: Flow, result: FlowResult, answer: QueryResult, key: int | None) -> None:
        needed = self.verifier.count_needed(flow.service, answer, key)
        if answer.sub_requests > 0 and needed > 0:
            result.sub_requests += answer.sub_requests
            result.needed += needed
        if answer.error is not None:
            result.errors[str(answer.error)] += 1
            return
        coverage = answer.covered / answer.total if answer.total else 0.0
        result.covered += coverage
        result.least_covered = min(result.least_covered, coverage)
        if answer.covered < answer.total:
            result.partial += 1
        else:
            result.complete += 1
        if self.verifier.check(flow.service, answer, key, flow.top) is Verdict.WRONG:
            result.wrong += 1


def _record(histogram: HdrHistogram, duration_ms: float) -> None:
    histogram.record_value(max(1, min(int(duration_ms * 1000), HISTOGRAM_MAX_US)))


def _label(answer: QueryResult) -> str:
    if answer.error is None:
        return "ok"
    return str(Ran(answer.ran))
