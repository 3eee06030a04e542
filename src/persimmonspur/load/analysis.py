"""Metrics of an experiment, summarised over the seeds."""

from collections.abc import Callable, Iterable

from attrs import frozen

from persimmonspur.load.histogram import DurationHistogram
from persimmonspur.load.results import ExperimentRecord, FlowRecord, RunRecord

PERCENTILES = (50.0, 95.0, 99.0, 99.9)
POLICY = "policy"
BASELINE = "naive"

Measure = Callable[[RunRecord], float | None]


@frozen
class SeedSummary:
    """Values of one metric, one for each seed."""

    values: tuple[float, ...]

    @property
    def mean(self) -> float:
        """Mean of the values."""
        return sum(self.values) / len(self.values)

    @property
    def minimum(self) -> float:
        """Lowest value."""
        return min(self.values)

    @property
    def maximum(self) -> float:
        """Highest value."""
        return max(self.values)


@frozen
class Comparison:
    """A metric of the policy and of the baseline, with their ratio for each seed.

    :param ratio: ``None`` if the baseline value is missing or 0 for every seed.
    """

    policy: SeedSummary | None
    baseline: SeedSummary | None
    ratio: SeedSummary | None


def list_cases(record: ExperimentRecord) -> list[str]:
    """Return the names of the cases in the order of execution."""
    return list(dict.fromkeys(run.case for run in record.runs))


def list_runs(record: ExperimentRecord, case: str, tier: str) -> list[RunRecord]:
    """Return the runs of a case against a tier, ordered by seed."""
    runs = [run for run in record.runs if run.case == case and run.tier == tier]
    return sorted(runs, key=lambda run: run.seed)


def compare(record: ExperimentRecord, case: str, measure: Measure) -> Comparison:
    """Compare policy and baseline; each ratio is of two runs with the same seed."""
    policy = _measure_by_seed(list_runs(record, case, POLICY), measure)
    baseline = _measure_by_seed(list_runs(record, case, BASELINE), measure)
    ratios = []
    for seed, value in policy.items():
        if baseline.get(seed):
            ratios.append(value / baseline[seed])
    return Comparison(
        _summarise_seeds(policy.values()),
        _summarise_seeds(baseline.values()),
        _summarise_seeds(ratios),
    )


def measure_percentile(flow: str, percentile: float) -> Measure:
    """Return a function that reads a latency percentile of a flow, in milliseconds."""

    def measure(run: RunRecord) -> float | None:
        record = run.flows.get(flow)
        if record is None or record.sent == 0:
            return None
        return DurationHistogram.decode(record.histogram).get_percentile(percentile) / 1000

    return measure


def measure_lag(percentile: float) -> Measure:
    """Return a function that reads the highest send lag percentile of any flow, in milliseconds."""

    def measure(run: RunRecord) -> float | None:
        values = [
            DurationHistogram.decode(flow.lag).get_percentile(percentile) / 1000
            for flow in run.flows.values()
        ]
        return max(values, default=None)

    return measure


def measure_extra_load(run: RunRecord) -> float | None:
    """Return the hedges and retries as a share of the first sub-requests."""
    needed = sum(flow.needed for flow in run.flows.values())
    sent = sum(flow.sub_requests for flow in run.flows.values())
    return sent / needed - 1 if needed else None


def measure_sub_requests(run: RunRecord) -> float | None:
    """Return the requests received by endpoints per answered query."""
    answers = sum(flow.complete + flow.partial for flow in run.flows.values())
    return run.endpoints.requests / answers if answers else None


def measure_coverage(run: RunRecord) -> float | None:
    """Return the mean coverage of all complete and partial answers."""
    answers = sum(flow.complete + flow.partial for flow in run.flows.values())
    return sum(flow.covered for flow in run.flows.values()) / answers if answers else None


def measure_minimum_coverage(run: RunRecord) -> float | None:
    """Return the lowest coverage of any complete or partial answer."""
    return min((flow.least_covered for flow in run.flows.values()), default=None)


def measure_completeness(run: RunRecord) -> float | None:
    """Return the share of queries with a complete answer."""
    sent = sum(flow.sent for flow in run.flows.values())
    return sum(flow.complete for flow in run.flows.values()) / sent if sent else None


def count_errors_by_kind(run: RunRecord) -> dict[str, int]:
    """Return the number of errors of all flows, by error kind."""
    errors: dict[str, int] = {}
    for flow in run.flows.values():
        for kind, count in flow.errors.items():
            errors[kind] = errors.get(kind, 0) + count
    return errors


def measure_endpoint_field(name: str) -> Measure:
    """Return a function that reads one field of :class:`EndpointRecord`."""

    def measure(run: RunRecord) -> float | None:
        return float(getattr(run.endpoints, name))

    return measure


def measure_non_repeatable_field(name: str) -> Measure:
    """Return a function that reads one field of :class:`NonRepeatableRecord`."""

    def measure(run: RunRecord) -> float | None:
        return float(getattr(run.once, name))

    return measure


def count_wrong_answers(run: RunRecord) -> int:
    """Return the number of answers that differ from the data set."""
    return sum(flow.wrong for flow in run.flows.values())


def merge_experiments(records: Iterable[ExperimentRecord]) -> ExperimentRecord:
    """Merge several result files of the same machine, deployment and number of instances.

    :raises ValueError: if the files differ in one of these, or if there is no file.
    """
    merged: ExperimentRecord | None = None
    for record in records:
        if merged is None:
            merged = record
            continue
        setup = (record.machine, record.deployment, record.instances)
        if setup != (merged.machine, merged.deployment, merged.instances):
            raise ValueError(f"results of different set-ups cannot be merged: {setup}")
        merged.runs.extend(record.runs)
        merged.failures.extend(record.failures)
    if merged is None:
        raise ValueError("no result file")
    return merged


def list_flows(record: ExperimentRecord, case: str) -> list[str]:
    """Return the names of the flows of a case."""
    names: dict[str, FlowRecord] = {}
    for run in record.runs:
        if run.case == case:
            names.update(run.flows)
    return list(names)


def _measure_by_seed(runs: list[RunRecord], measure: Measure) -> dict[int, float]:
    values = {}
    for run in runs:
        value = measure(run)
        if value is not None:
            values[run.seed] = value
    return values


def _summarise_seeds(values: Iterable[float]) -> SeedSummary | None:
    collected = tuple(values)
    return SeedSummary(collected) if collected else None
