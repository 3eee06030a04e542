"""Experiment results as stored in result files."""

from typing import Any

import msgspec

from persimmonspur.load.histogram import DurationHistogram
from persimmonspur.load.workload import WINDOWS, FlowResult


class FlowRecord(msgspec.Struct):
    """Results of one flow as callers saw them.

    :param histogram: latencies in microseconds, encoded by
        :class:`persimmonspur.load.histogram.DurationHistogram`.
    :param lag: delays from the intended to the actual send in microseconds, encoded likewise.
    :param labels: execution labels of each non-repeatable request, by request id.
    :param arrivals: complete answers received in each window of the measured time.
    """

    sent: int
    complete: int
    partial: int
    wrong: int
    sub_requests: int
    needed: int
    covered: float
    least_covered: float
    errors: dict[str, int]
    histogram: str
    lag: str
    labels: dict[str, list[str]]
    arrivals: list[int]


class GeneratorRecord(msgspec.Struct):
    """Results of one load generator process.

    :param cpu_share: CPU time divided by the wall-clock time of the run.
    """

    flows: dict[str, FlowRecord]
    cpu_share: float


class EndpointRecord(msgspec.Struct):
    """Totals over all stand-in searchers of a run.

    :param worst_use: highest ratio of concurrent requests to slots of any endpoint.
    """

    requests: int
    overruns: int
    cold_overruns: int
    crashes: int
    connection_overruns: int
    most_running: int
    worst_use: float


class NonRepeatableRecord(msgspec.Struct):
    """Non-repeatable requests: execution labels compared with executions at endpoints.

    :param repeated: requests that the load generators sent more than once.
    :param ran: requests executed at an endpoint.
    :param duplicates: requests executed more than once.
    :param false_no: executed requests whose answers all stated that they did not run.
    :param false_yes: requests not executed although an answer stated that they ran.
    """

    requests: int
    repeated: int
    ran: int
    duplicates: int
    false_no: int
    false_yes: int


class RunRecord(msgspec.Struct):
    """One run of a case against a tier with a seed.

    :param goodput: complete answers per second, for the whole run or for each named part of it.
    :param platform_calls: calls received by the object API, by kind.
    """

    case: str
    tier: str
    seed: int
    seconds: float
    flows: dict[str, FlowRecord]
    goodput: dict[str, float]
    endpoints: EndpointRecord
    once: NonRepeatableRecord
    generator_cpu_share: float
    platform_calls: dict[str, int]
    capacity: float = 0.0


class ExperimentRecord(msgspec.Struct):
    """All runs of one experiment.

    :param failures: descriptions of the runs that failed, with the reason.
    """

    started: str
    machine: str
    deployment: str
    instances: int
    runs: list[RunRecord]
    failures: list[str]


def build_flow_record(result: FlowResult) -> FlowRecord:
    """Convert a flow's result to the stored form."""
    return FlowRecord(
        result.sent,
        result.complete,
        result.partial,
        result.wrong,
        result.sub_requests,
        result.needed,
        result.covered,
        result.least_covered,
        dict(result.errors),
        result.histogram.encode(),
        result.lag.encode(),
        result.labels,
        result.arrivals,
    )


def merge_flows(records: list[FlowRecord]) -> FlowRecord:
    """Merge the results of several load generators for one flow."""
    total = FlowResult()
    for record in records:
        total.sent += record.sent
        total.complete += record.complete
        total.partial += record.partial
        total.wrong += record.wrong
        total.sub_requests += record.sub_requests
        total.needed += record.needed
        total.covered += record.covered
        total.least_covered = min(total.least_covered, record.least_covered)
        total.errors.update(record.errors)
        total.histogram.merge(DurationHistogram.decode(record.histogram))
        total.lag.merge(DurationHistogram.decode(record.lag))
        total.labels.update(record.labels)
        total.arrivals = [a + b for a, b in zip(total.arrivals, record.arrivals, strict=True)]
    return build_flow_record(total)


def compute_goodput(
    flows: dict[str, FlowRecord], seconds: float, first: int = 0, stop: int = WINDOWS
) -> float:
    """Return the complete answers per second within a range of windows.

    An answer belongs to the window in which it is received. Counting those received after
    the load has ended would overstate the goodput of an overloaded tier.

    :param seconds: the whole measured time.
    :param first: first window.
    :param stop: first window after the range.
    """
    answers = sum(sum(flow.arrivals[first:stop]) for flow in flows.values())
    return answers / (seconds * (stop - first) / WINDOWS)


def summarise_endpoint_counts(counts: dict[str, Any], slots: dict[str, int]) -> EndpointRecord:
    """Aggregate the counters of the stand-in searchers.

    :param counts: counters by endpoint name.
    :param slots: slots by endpoint name.
    """
    total = EndpointRecord(0, 0, 0, 0, 0, 0, 0.0)
    for name, endpoint_counts in counts.items():
        total.requests += endpoint_counts["requests"]
        total.overruns += endpoint_counts["overruns"]
        total.cold_overruns += endpoint_counts["cold_overruns"]
        total.crashes += endpoint_counts["crashes"]
        total.connection_overruns += endpoint_counts["connection_overruns"]
        total.most_running = max(total.most_running, endpoint_counts["most_running"])
        total.worst_use = max(total.worst_use, endpoint_counts["most_running"] / slots[name])
    return total


def select_call_totals(counts: dict[str, Any]) -> dict[str, int]:
    """Return the object API's totals by kind of call, without its counters by key."""
    return {kind: count for kind, count in counts.items() if isinstance(count, int)}


def verify_non_repeatable(
    labels: dict[str, list[str]], counts: dict[str, Any]
) -> NonRepeatableRecord:
    """Compare the execution labels of non-repeatable requests with the searchers' counters.

    :param labels: execution labels of each request's answers, by request id.
    :param counts: the searchers' counters, by endpoint name.
    """
    runs: dict[str, int] = {}
    for endpoint_counts in counts.values():
        for key, times in endpoint_counts["runs"].items():
            request_id = key.partition("/")[0]
            runs[request_id] = runs.get(request_id, 0) + times
    record = NonRepeatableRecord(len(labels), 0, 0, 0, 0, 0)
    for request_id, answers in labels.items():
        times = runs.get(request_id, 0)
        record.repeated += len(answers) > 1
        record.ran += times > 0
        record.duplicates += times > 1
        record.false_no += times > 0 and all(answer == "no" for answer in answers)
        record.false_yes += times == 0 and any(answer in ("ok", "yes") for answer in answers)
    return record
