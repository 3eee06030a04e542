"""Results of experiments in the form in which they are stored."""

from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from persimmonspur.load.workload import WINDOWS, FlowResult


class FlowRecord(msgspec.Struct):
    """What callers of one flow saw.

    :param histogram: latency in microseconds, encoded by HdrHistogram.
    :param lag: lag of the load generator in microseconds, encoded in the same way.
    :param labels: answers to each non-repeatable request.
    :param arrivals: complete answers by window of the measured time.
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
    """What one load generator process measured.

    :param cpu_share: processor time over the wall-clock time of the run.
    """

    flows: dict[str, FlowRecord]
    cpu_share: float


class EndpointRecord(msgspec.Struct):
    """Sums over all stand-in searchers of a run.

    :param worst_use: highest concurrent work at any endpoint over its slots.
    """

    requests: int
    overruns: int
    cold_overruns: int
    crashes: int
    connection_overruns: int
    most_running: int
    worst_use: float


class OnceRecord(msgspec.Struct):
    """Non-repeatable requests: what callers were told against what endpoints saw.

    :param repeated: requests that were sent more than once by the load.
    :param ran: requests that ran at an endpoint.
    :param duplicates: requests that ran more than once.
    :param false_no: requests of which every answer said that they did not run, but they did.
    :param false_yes: requests of which an answer said that they ran, but they did not.
    """

    requests: int
    repeated: int
    ran: int
    duplicates: int
    false_no: int
    false_yes: int


class RunRecord(msgspec.Struct):
    """One case under one tier and seed.

    :param goodput: complete answers per second, of the whole run or by its parts.
    :param platform_calls: calls that the object API received, by kind.
    """

    case: str
    tier: str
    seed: int
    seconds: float
    flows: dict[str, FlowRecord]
    goodput: dict[str, float]
    endpoints: EndpointRecord
    once: OnceRecord
    generator_cpu_share: float
    platform_calls: dict[str, int]
    capacity: float = 0.0


class ExperimentRecord(msgspec.Struct):
    """All runs of one experiment.

    :param failures: runs that could not be finished, with the reason.
    """

    started: str
    machine: str
    deployment: str
    instances: int
    runs: list[RunRecord]
    failures: list[str]


def encode_histogram(histogram: HdrHistogram) -> str:
    """Encode a histogram as text."""
    data: bytes = histogram.encode()
    return data.decode()


def decode_histogram(text: str) -> HdrHistogram:
    """Decode the text of :func:`encode_histogram`."""
    return HdrHistogram.decode(text.encode())


def record_flow(result: FlowResult) -> FlowRecord:
    """Turn a flow's result into its stored form."""
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
        encode_histogram(result.histogram),
        encode_histogram(result.lag),
        result.labels,
        result.arrivals,
    )


def merge_flows(records: list[FlowRecord]) -> FlowRecord:
    """Add up the results of several load generators."""
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
        total.histogram.add(decode_histogram(record.histogram))
        total.lag.add(decode_histogram(record.lag))
        total.labels.update(record.labels)
        total.arrivals = [a + b for a, b in zip(total.arrivals, record.arrivals, strict=True)]
    return record_flow(total)


def measure_goodput(
    flows: dict[str, FlowRecord], seconds: float, first: int = 0, stop: int = WINDOWS
) -> float:
    """Return the complete answers per second that came in a part of the measured time.

    Answers are counted when they come: those that come after the load has ended
    would make an overloaded tier look better than it is.

    :param seconds: the whole measured time.
    :param first: first window.
    :param stop: window after the last one.
    """
    answers = sum(sum(flow.arrivals[first:stop]) for flow in flows.values())
    return answers / (seconds * (stop - first) / WINDOWS)


def summarise_endpoints(counts: dict[str, Any], slots: dict[str, int]) -> EndpointRecord:
    """Add up what the stand-in searchers saw.

    :param counts: by endpoint name.
    :param slots: by endpoint name.
    """
    total = EndpointRecord(0, 0, 0, 0, 0, 0, 0.0)
    for name, seen in counts.items():
        total.requests += seen["requests"]
        total.overruns += seen["overruns"]
        total.cold_overruns += seen["cold_overruns"]
        total.crashes += seen["crashes"]
        total.connection_overruns += seen["connection_overruns"]
        total.most_running = max(total.most_running, seen["most_running"])
        total.worst_use = max(total.worst_use, seen["most_running"] / slots[name])
    return total


def list_calls(counts: dict[str, Any]) -> dict[str, int]:
    """Return the object API's totals without its counts by key."""
    return {kind: count for kind, count in counts.items() if isinstance(count, int)}


def check_once(labels: dict[str, list[str]], counts: dict[str, Any]) -> OnceRecord:
    """Compare the answers to non-repeatable requests with the searchers' counts.

    :param labels: answers by request id.
    :param counts: what each searcher saw, by endpoint name.
    """
    runs: dict[str, int] = {}
    for seen in counts.values():
        for key, times in seen["runs"].items():
            request_id = key.partition("/")[0]
            runs[request_id] = runs.get(request_id, 0) + times
    record = OnceRecord(len(labels), 0, 0, 0, 0, 0)
    for request_id, answers in labels.items():
        times = runs.get(request_id, 0)
        record.repeated += len(answers) > 1
        record.ran += times > 0
        record.duplicates += times > 1
        record.false_no += times > 0 and all(answer == "no" for answer in answers)
        record.false_yes += times == 0 and any(answer in ("ok", "yes") for answer in answers)
    return record
