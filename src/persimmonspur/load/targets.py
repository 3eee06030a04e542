"""Evaluates experiment results against the performance targets of the design."""

from attrs import frozen

from persimmonspur.load.analysis import (
    POLICY,
    count_wrong_answers,
    list_cases,
    list_runs,
    measure_extra_load,
    measure_minimum_coverage,
    measure_percentile,
)
from persimmonspur.load.cases import CASES, COUNTER_FLOW
from persimmonspur.load.results import ExperimentRecord, RunRecord

FAULT_FREE_CASE = "steady"
OVERLOAD_CASE = "overload"
P99_CASES = ("straggler", "replica-loss", "domain-move")
MAX_P99_RATIO = 1.25
MAX_EXTRA_LOAD_WITHOUT_FAULTS = 0.03
MAX_EXTRA_LOAD_WITH_FAULTS = 0.05
MIN_OVERLOAD_GOODPUT_RATIO = 0.95
# In these cases, each shard always has a live warm replica with spare capacity.
FULL_COVERAGE_CASES = (
    "steady",
    "morning",
    "straggler",
    "replica-loss",
    "domain-move",
    "platform-down",
)


@frozen
class TargetResult:
    """Result of one target.

    :param met: ``None`` if the required runs are missing.
    """

    target: str
    measured: str
    met: bool | None


def evaluate_targets(record: ExperimentRecord) -> list[TargetResult]:
    """Evaluate all targets of section 1.7 of the design for the policy tier."""
    results = _evaluate_violations(record)
    results.extend(_evaluate_p99(record))
    results.extend(_evaluate_extra_load(record))
    results.extend(_evaluate_coverage(record))
    results.append(_evaluate_goodput(record))
    return results


def count_violations(run: RunRecord) -> dict[str, int]:
    """Return the counters that must be 0 in every run."""
    return {
        "wrong responses": count_wrong_answers(run),
        "incorrect labels": run.once.false_no + run.once.false_yes,
        "duplicate executions": run.once.duplicates,
        "slot overruns": run.endpoints.overruns,
        "connection overruns": run.endpoints.connection_overruns,
        "cold overruns": run.endpoints.cold_overruns,
    }


def _evaluate_violations(record: ExperimentRecord) -> list[TargetResult]:
    totals: dict[str, dict[str, int]] = {}
    runs = [run for run in record.runs if run.tier == POLICY]
    for run in runs:
        for name, count in count_violations(run).items():
            cases = totals.setdefault(name, {})
            cases[run.case] = cases.get(run.case, 0) + count
    results = []
    for name, cases in totals.items():
        violations = [f"{case}: {count}" for case, count in cases.items() if count]
        measured = ", ".join(violations) or f"0 in {len(runs)} runs"
        results.append(TargetResult(f"no {name} in any case", measured, not violations))
    return results


def _evaluate_p99(record: ExperimentRecord) -> list[TargetResult]:
    measure = measure_percentile(COUNTER_FLOW, 99.0)
    fault_free_p99 = {run.seed: measure(run) for run in list_runs(record, FAULT_FREE_CASE, POLICY)}
    results = []
    for case in P99_CASES:
        ratios = []
        for run in list_runs(record, case, POLICY):
            fault_free, value = fault_free_p99.get(run.seed), measure(run)
            if fault_free and value:
                ratios.append(value / fault_free)
        target = f"counter p99, {case}, at most {MAX_P99_RATIO} times that without faults"
        results.append(_evaluate_maximum(target, ratios, MAX_P99_RATIO))
    return results


def _evaluate_extra_load(record: ExperimentRecord) -> list[TargetResult]:
    normal: list[float] = []
    faults: list[float] = []
    for run in record.runs:
        extra = measure_extra_load(run)
        # Overload is not normal operation; it has a goodput target instead.
        if run.tier != POLICY or extra is None or run.case == OVERLOAD_CASE:
            continue
        (faults if CASES.get(run.case).has_faults else normal).append(extra)
    return [
        _evaluate_maximum(
            f"extra load without faults at most {MAX_EXTRA_LOAD_WITHOUT_FAULTS:.0%}",
            normal,
            MAX_EXTRA_LOAD_WITHOUT_FAULTS,
        ),
        _evaluate_maximum(
            f"extra load with faults at most {MAX_EXTRA_LOAD_WITH_FAULTS:.0%}",
            faults,
            MAX_EXTRA_LOAD_WITH_FAULTS,
        ),
    ]


def _evaluate_coverage(record: ExperimentRecord) -> list[TargetResult]:
    results = []
    for case in list_cases(record):
        if case not in FULL_COVERAGE_CASES:
            continue
        runs = list_runs(record, case, POLICY)
        if not runs:
            continue
        lowest_coverage = min(measure_minimum_coverage(run) or 0.0 for run in runs)
        incomplete = sum(
            flow.errors.get("incomplete", 0) for run in runs for flow in run.flows.values()
        )
        measured = f"lowest {lowest_coverage:.4f}, {incomplete} incomplete"
        met = lowest_coverage >= 1.0 and incomplete == 0
        results.append(TargetResult(f"coverage 1.0 of every answer, {case}", measured, met))
    return results


def _evaluate_goodput(record: ExperimentRecord) -> TargetResult:
    ratios = []
    for run in list_runs(record, OVERLOAD_CASE, POLICY):
        values = list(run.goodput.values())
        if len(values) == 2 and values[0]:
            ratios.append(values[1] / values[0])
    target = (
        f"goodput at 1.5 times capacity at least {MIN_OVERLOAD_GOODPUT_RATIO} of that at capacity"
    )
    if not ratios:
        return TargetResult(target, "not run", None)
    return TargetResult(target, _format_range(ratios), min(ratios) >= MIN_OVERLOAD_GOODPUT_RATIO)


def _evaluate_maximum(target: str, values: list[float], limit: float) -> TargetResult:
    if not values:
        return TargetResult(target, "not run", None)
    return TargetResult(target, _format_range(values), max(values) <= limit)


def _format_range(values: list[float]) -> str:
    return f"{min(values):.3f} to {max(values):.3f}"
