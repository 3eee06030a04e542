"""Open-loop load through the client library."""

from collections import Counter
from random import Random

import gevent
from attrs import define, field, frozen
from gevent.pool import Pool
from hdrh.histogram import HdrHistogram

from persimmonspur.client.client import Client, ClientAnswer
from persimmonspur.clock import Clock
from persimmonspur.standins.dataset import list_records

HISTOGRAM_MAX_US = 60_000_000


@frozen
class Flow:
    """Queries of one kind.

    :param rate: queries per second.
    :param work_ms: mean service time of each sub-request in milliseconds.
    :param top: records in the answer.
    """

    service: str
    priority_class: str
    rate: float
    timeout_ms: float
    work_ms: float
    top: int
    allow_partial: bool = False


@define
class FlowResult:
    """What one flow's callers saw.

    Latency runs from the time at which a query should have been sent.
    """

    histogram: HdrHistogram = field(factory=lambda: HdrHistogram(1, HISTOGRAM_MAX_US, 3))
    sent: int = 0
    complete: int = 0
    partial: int = 0
    wrong: int = 0
    sub_requests: int = 0
    errors: Counter[str] = field(factory=Counter)

    def get_percentile(self, percentile: float) -> float:
        """Return a latency in milliseconds."""
        return float(self.histogram.get_value_at_percentile(percentile)) / 1000


@define
class LoadRun:
    """Sends all flows at once for a bounded time."""

    client: Client
    flows: dict[str, Flow]
    seconds: float
    seed: int
    clock: Clock = field(factory=Clock)
    results: dict[str, FlowResult] = field(factory=dict)

    def run(self) -> dict[str, FlowResult]:
        """Send the load and wait for every answer."""
        pool = Pool()
        senders = []
        for index, (name, flow) in enumerate(self.flows.items()):
            self.results[name] = FlowResult()
            rng = Random(self.seed * 1_000 + index)
            senders.append(gevent.spawn(self._send, pool, flow, self.results[name], rng))
        gevent.joinall(senders, raise_error=True)
        pool.join()
        return self.results

    def _send(self, pool: Pool, flow: Flow, result: FlowResult, rng: Random) -> None:
        started_ms = self.clock.now_ms()
        intended_ms = started_ms
        while True:
            intended_ms += rng.expovariate(flow.rate) * 1000
            if intended_ms - started_ms > self.seconds * 1000:
                return
            wait_ms = intended_ms - self.clock.now_ms()
            if wait_ms > 0:
                gevent.sleep(wait_ms / 1000)
            pool.spawn(self._query, flow, result, intended_ms)

    def _query(self, flow: Flow, result: FlowResult, intended_ms: float) -> None:
        result.sent += 1
        answer = self.client.query(
            flow.service,
            flow.priority_class,
            flow.timeout_ms,
            body={"work_ms": flow.work_ms, "top": flow.top},
            allow_partial=flow.allow_partial,
            limit=flow.top,
        )
        duration_us = int((self.clock.now_ms() - intended_ms) * 1000)
        result.histogram.record_value(max(1, min(duration_us, HISTOGRAM_MAX_US)))
        result.sub_requests += answer.sub_requests
        self._judge(flow, result, answer)

    def _judge(self, flow: Flow, result: FlowResult, answer: ClientAnswer) -> None:
        if answer.error is not None:
            result.errors[str(answer.error)] += 1
            return
        if answer.covered < answer.total:
            result.partial += 1
            return
        result.complete += 1
        version = int((answer.snapshot or "0.0").partition(".")[2])
        expected = list_records(flow.service, version, 0, answer.total, flow.top)
        if answer.records != expected:
            result.wrong += 1
