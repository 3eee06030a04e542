"""Open-loop load generation with the client library."""

import math
from collections import Counter
from collections.abc import Callable
from random import Random

import gevent
from attrs import define, field, frozen
from gevent.pool import Pool

from persimmonspur.client.client import Client, QueryResult
from persimmonspur.clock import Clock
from persimmonspur.errors import Ran
from persimmonspur.load.histogram import DurationHistogram
from persimmonspur.load.verifier import ResultVerifier, Verdict
from persimmonspur.model.configuration import KEY_SPACE_UNITS
from persimmonspur.registry import Registry

# Delay of a repeat that is sent while the first attempt is still running.
OVERLAPPING_REPEAT_DELAY_MS = 3.0
# Number of equal parts of the measured time in which complete answers are counted.
WINDOWS = 10

LoadShape = Callable[[float], float]
SHAPES: Registry[LoadShape] = Registry("load shape")


@SHAPES.register("flat")
def use_constant_rate(position: float) -> float:
    """Return the full rate at all times.

    :param position: elapsed fraction of the measured time, 0 to 1.
    :returns: the rate as a fraction of the peak.
    """
    return 1.0


@SHAPES.register("wave")
def use_half_sine_rate(position: float) -> float:
    """Return a rate that rises from a quarter of the peak to the peak and falls back."""
    return 0.25 + 0.75 * math.sin(math.pi * position)


@SHAPES.register("first_half")
def use_first_half(position: float) -> float:
    """Return the full rate in the first half of the run, then 0."""
    return 1.0 if position < 0.5 else 0.0


@SHAPES.register("second_half")
def use_second_half(position: float) -> float:
    """Return 0 in the first half of the run, then the full rate."""
    return 0.0 if position < 0.5 else 1.0


@frozen
class Flow:
    """A stream of queries with the same parameters.

    :param rate: queries per second at the peak of the shape.
    :param work_ms: mean service time of each sub-request in milliseconds.
    :param top: maximum number of records in a result.
    :param shape: name in :data:`SHAPES`.
    :param single_key: whether each query is for one random key.
    :param repeats: share of the requests that are sent twice with the same request id.
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
    """Results of one flow as callers saw them.

    Latency is measured from the intended send time of a query.

    :param needed: number of sub-requests without hedges and retries, of queries with a snapshot.
    :param covered: sum of the coverage of all answers, each 0 to 1.
    :param lag: delay from the intended to the actual send, in microseconds.
    :param labels: execution labels by request id of non-repeatable requests: ``ok`` for an
        answer without an error, else the ``ran`` value of the error.
    :param arrivals: complete answers received in each window of the measured time, including
        those to queries sent during the warm-up.
    """

    histogram: DurationHistogram = field(factory=DurationHistogram)
    sent: int = 0
    complete: int = 0
    partial: int = 0
    wrong: int = 0
    sub_requests: int = 0
    errors: Counter[str] = field(factory=Counter)
    needed: int = 0
    covered: float = 0.0
    least_covered: float = 1.0
    lag: DurationHistogram = field(factory=DurationHistogram)
    labels: dict[str, list[str]] = field(factory=dict)
    arrivals: list[int] = field(factory=lambda: [0] * WINDOWS)

    def get_percentile(self, percentile: float) -> float:
        """Return a latency percentile in milliseconds."""
        return self.histogram.get_percentile(percentile) / 1000

    @property
    def extra_load(self) -> float:
        """Hedges and retries as a share of the first sub-requests."""
        return self.sub_requests / self.needed - 1 if self.needed else 0.0

    @property
    def mean_coverage(self) -> float:
        """Mean coverage of the complete and partial answers."""
        answers = self.complete + self.partial
        return self.covered / answers if answers else 0.0


@define
class LoadRun:
    """Sends the queries of all flows concurrently for a limited time.

    :param seconds: measured time, in seconds.
    :param warmup_s: time before the measured time, in seconds; its queries are not counted.
    :param additional_clients: used with the first client in round-robin order.
    :param clock: also the time base of ``start_ms``.
    :param start_ms: start of the warm-up in milliseconds; 0 starts immediately.
    """

    client: Client
    flows: dict[str, Flow]
    seconds: float
    seed: int
    clock: Clock = field(factory=Clock)
    results: dict[str, FlowResult] = field(factory=dict)
    verifier: ResultVerifier = field(factory=ResultVerifier)
    warmup_s: float = 0.0
    additional_clients: list[Client] = field(factory=list)
    start_ms: float = 0.0
    _warmup_result: FlowResult = field(factory=FlowResult)
    _query_count: int = 0

    def run(self) -> dict[str, FlowResult]:
        """Send the load and wait for all answers."""
        pool = Pool()
        flow_tasks = []
        self.start_ms = self.start_ms or self.clock.now_ms()
        for index, (name, flow) in enumerate(self.flows.items()):
            self.results[name] = FlowResult()
            rng = Random(self.seed * 1_000 + index)
            flow_tasks.append(gevent.spawn(self._run_flow, pool, name, flow, rng))
        gevent.joinall(flow_tasks, raise_error=True)
        pool.join()
        return self.results

    def count_arrival(self, result: FlowResult, query_result: QueryResult) -> None:
        """Count a complete answer received now, if the measured time is running."""
        if query_result.error is not None or query_result.covered < query_result.total:
            return
        elapsed_ms = self.clock.now_ms() - self.start_ms - self.warmup_s * 1000
        window = math.floor(elapsed_ms / (self.seconds * 1000) * WINDOWS)
        if 0 <= window < WINDOWS:
            result.arrivals[window] += 1

    def _run_flow(self, pool: Pool, name: str, flow: Flow, rng: Random) -> None:
        shape = SHAPES.get(flow.shape)
        measured_start_ms = self.start_ms + self.warmup_s * 1000
        intended_ms = self.start_ms
        while True:
            intended_ms += rng.expovariate(flow.rate) * 1000
            position = (intended_ms - measured_start_ms) / (self.seconds * 1000)
            if position > 1:
                return
            key = rng.randrange(KEY_SPACE_UNITS) if flow.single_key else None
            request_id = f"{name}-{rng.getrandbits(64):016x}"
            repeat = rng.random() if flow.repeats else 1.0
            # Thinning turns the constant-rate Poisson process into one with a varying rate.
            if rng.random() >= shape(max(0.0, position)):
                continue
            wait_ms = intended_ms - self.clock.now_ms()
            if wait_ms > 0:
                gevent.sleep(wait_ms / 1000)
            result = self.results[name] if position >= 0 else self._warmup_result
            pool.spawn(self._run_query, name, result, intended_ms, key, request_id)
            if repeat >= flow.repeats:
                continue
            delay_ms = OVERLAPPING_REPEAT_DELAY_MS if repeat < flow.repeats / 2 else flow.timeout_ms
            pool.spawn(self._run_repeat, flow, result, delay_ms, key, request_id)

    def _run_query(
        self, name: str, result: FlowResult, intended_ms: float, key: int | None, request_id: str
    ) -> None:
        flow = self.flows[name]
        result.sent += 1
        result.lag.record((self.clock.now_ms() - intended_ms) * 1000)
        query_result = self._send_query(flow, key, request_id)
        result.histogram.record((self.clock.now_ms() - intended_ms) * 1000)
        self._record_result(flow, result, query_result, key)
        self.count_arrival(self.results[name], query_result)
        if not flow.repeatable:
            result.labels.setdefault(request_id, []).append(_get_execution_label(query_result))

    def _run_repeat(
        self, flow: Flow, result: FlowResult, delay_ms: float, key: int | None, request_id: str
    ) -> None:
        gevent.sleep(delay_ms / 1000)
        query_result = self._send_query(flow, key, request_id)
        result.labels.setdefault(request_id, []).append(_get_execution_label(query_result))

    def _send_query(self, flow: Flow, key: int | None, request_id: str) -> QueryResult:
        clients = [self.client, *self.additional_clients]
        self._query_count += 1
        body = {"work_ms": flow.work_ms, "top": flow.top}
        if not flow.repeatable:
            body["once"] = True
        return clients[self._query_count % len(clients)].query(
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

    def _record_result(
        self, flow: Flow, result: FlowResult, query_result: QueryResult, key: int | None
    ) -> None:
        needed = self.verifier.count_needed(flow.service, query_result, key)
        if query_result.sub_requests > 0 and needed > 0:
            result.sub_requests += query_result.sub_requests
            result.needed += needed
        if query_result.error is not None:
            result.errors[str(query_result.error)] += 1
            return
        coverage = query_result.covered / query_result.total if query_result.total else 0.0
        result.covered += coverage
        result.least_covered = min(result.least_covered, coverage)
        if query_result.covered < query_result.total:
            result.partial += 1
        else:
            result.complete += 1
        if self.verifier.verify(flow.service, query_result, key, flow.top) is Verdict.WRONG:
            result.wrong += 1


def _get_execution_label(query_result: QueryResult) -> str:
    if query_result.error is None:
        return "ok"
    return str(Ran(query_result.ran))
