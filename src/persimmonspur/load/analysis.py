"""Figures of an experiment, with their spread over the seeds."""

from collections.abc import Callable, Iterable

from attrs import frozen

from persimmonspur.load.results import ExperimentRecord, FlowRecord, RunRecord, decode_histogram

PERCENTILES = (50.0, 95.0, 99.0, 99.9)
POLICY = "policy"
BASELINE = "naive"

Measure = Callable[[RunRecord], float | None]


@frozen
class Spread:
    """A figure over several seeds."""

    values: tuple[float, ...]

    @property
    def mean(self) -> float:
        """Mean over the seeds."""
        return sum(self.values) / len(self.values)

    @property
    def least(self) -> float:
        """Lowest value of any seed."""
        return min(self.values)

    @property
    def most(self) -> float:
        """Highest value of any seed."""
        return max(self.values)


@frozen
class Comparison:
    """A figure of the policy, of the baseline, and their ratio seed by seed.

    :param ratio: ``None`` if the baseline is missing or 0 in every seed.
    """

    policy: Spread | None
    baseline: Spread | None
    ratio: Spread | None


def list_cases(record: ExperimentRecord) -> list[str]:
    """Return the names of the cases in the order in which they ran."""
    return list(dict.fromkeys(run.case for run in record.runs))


def list_runs(record: ExperimentRecord, case: str, tier: str) -> list[RunRecord]:
    """Return the runs of a case with a tier, by seed."""
    runs = [run for run in record.runs if run.case == case and run.tier == tier]
    return sorted(runs, key=lambda run: run.seed)


def compare(record: ExperimentRecord, case: str, measure: Measure) -> Comparison:
    """Compare policy and baseline; ratios are formed within one seed."""
    policy = _measure_runs(list_runs(record, case, POLICY), measure)
    baseline = _measure_runs(list_runs(record, case, BASELINE), measure)
    ratios = []
    for seed, value in policy.items():
        if baseline.get(seed):
            ratios.append(value / baseline[seed])
    return Comparison(
        _build_spread(policy.values()), _build_spread(baseline.values()), _build_spread(ratios)
    )


def measure_percentile(flow: str, percentile: float) -> Measure:
    """Return a measure of a flow's latency in milliseconds."""

    def measure(run: RunRecord) -> float | None:
        record = run.flows.get(flow)
        if record is None or record.sent == 0:
            return None
        return float(decode_histogram(record.histogram).get_value_at_percentile(percentile)) / 1000

    return measure


def measure_lag(percentile: float) -> Measure:
    """Return a measure of the load generators' lag in milliseconds."""

    def measure(run: RunRecord) -> float | None:
        values = [
            float(decode_histogram(flow.lag).get_value_at_percentile(percentile)) / 1000
            for flow in run.flows.values()
        ]
        return max(values, default=None)

    return measure


def measure_extra_load(run: RunRecord) -> float | None:
    """Return hedges and retries relative to the first sub-requests."""
    needed = sum(flow.needed for flow in run.flows.values())
    sent = sum(flow.sub_requests for flow in run.flows.values())
    return sent / needed - 1 if needed else None


def measure_sub_requests(run: RunRecord) -> float | None:
    """Return the sub-requests that reached endpoints for each query that was answered."""
    answers = sum(flow.complete + flow.partial for flow in run.flows.values())
    return run.endpoints.requests / answers if answers else None


def measure_coverage(run: RunRecord) -> float | None:
    """Return the mean coverage of all answers that are not errors."""
    answers = sum(flow.complete + flow.partial for flow in run.flows.values())
    return sum(flow.covered for flow in run.flows.values()) / answers if answers else None


def measure_least_coverage(run: RunRecord) -> float | None:
    """Return the lowest coverage of any answer."""
    return min((flow.least_covered for flow in run.flows.values()), default=None)


def measure_completeness(run: RunRecord) -> float | None:
    """Return the share of the queries that got a complete answer."""
    sent = sum(flow.sent for flow in run.flows.values())
    return sum(flow.complete for flow in run.flows.values()) / sent if sent else None


def count_errors(run: RunRecord) -> dict[str, int]:
    """Return the errors of all flows by kind."""
    errors: dict[str, int] = {}
    for flow in run.flows.values():
        for kind, count in flow.errors.items():
            errors[kind] = errors.get(kind, 0) + count
    return errors


def count_endpoints(name: str) -> Measure:
    """Return a measure of one field of :class:`EndpointRecord`."""

    def measure(run: RunRecord) -> float | None:
        return float(getattr(run.endpoints, name))

    return measure


def count_once(name: str) -> Measure:
    """Return a measure of one field of :class:`OnceRecord`."""

    def measure(run: RunRecord) -> float | None:
        return float(getattr(run.once, name))

    return measure


def count_wrong(run: RunRecord) -> int:
    """Return the answers that differ from the data set."""
    return sum(flow.wrong for flow in run.flows.values())


def merge_records(records: Iterable[ExperimentRecord]) -> ExperimentRecord:
    """Join the runs of several result files of one machine and deployment.

    :raises ValueError: if the files differ in machine, deployment or instances.
    """
    joined: ExperimentRecord | None = None
    for record in records:
        if joined is None:
            joined = record
            continue
        same = (record.machine, record.deployment, record.instances)
        if same != (joined.machine, joined.deployment, joined.instances):
            raise ValueError(f"results of different set-ups cannot be joined: {same}")
        joined.runs.extend(record.runs)
        joined.failures.extend(record.failures)
    if joined is None:
        raise ValueError("no result file")
    return joined


def list_flows(record: ExperimentRecord, case: str) -> list[str]:
    """Return the flows of a case."""
    names: dict[str, FlowRecord] = {}
    for run in record.runs:
        if run.case == case:
            names.update(run.flows)
    return list(names)


def _measure_runs(runs: list[RunRecord], measure: Measure) -> dict[int, float]:
    values = {}
    for run in runs:
        value = measure(run)
        if value is not None:
            values[run.seed] = value
    return values


def _build_spread(values: Iterable[float]) -> Spread | None:
    collected = tuple(values)
    return Spread(collected) if collected else None
