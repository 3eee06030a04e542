"""Compares an experiment with the performance targets of the design."""

from attrs import frozen

from persimmonspur.load.analysis import (
    POLICY,
    count_wrong,
    list_cases,
    list_runs,
    measure_extra_load,
    measure_least_coverage,
    measure_percentile,
)
from persimmonspur.load.cases import CASES, COUNTER
from persimmonspur.load.results import ExperimentRecord, RunRecord

REFERENCE = "steady"
OVERLOAD = "overload"
TAIL_CASES = ("straggler", "replica-loss", "domain-move")
TAIL_LIMIT = 1.25
EXTRA_NORMAL = 0.03
EXTRA_FAULTS = 0.05
GOODPUT_LIMIT = 0.95
# Cases in which every shard keeps a live warm replica with spare capacity.
COVERED_CASES = ("steady", "morning", "straggler", "replica-loss", "domain-move", "platform-down")


@frozen
class Verdict:
    """One target.

    :param met: ``None`` if the runs that it needs are missing.
    """

    target: str
    measured: str
    met: bool | None


def evaluate_targets(record: ExperimentRecord) -> list[Verdict]:
    """Return every target of section 1.7 of the design with what the policy reached."""
    verdicts = _judge_zeros(record)
    verdicts.extend(_judge_tails(record))
    verdicts.extend(_judge_extra_load(record))
    verdicts.extend(_judge_coverage(record))
    verdicts.append(_judge_goodput(record))
    return verdicts


def count_faults(run: RunRecord) -> dict[str, int]:
    """Return everything of which a run must have none."""
    return {
        "wrong responses": count_wrong(run),
        "incorrect labels": run.once.false_no + run.once.false_yes,
        "duplicate executions": run.once.duplicates,
        "slot overruns": run.endpoints.overruns,
        "connection overruns": run.endpoints.connection_overruns,
        "cold overruns": run.endpoints.cold_overruns,
    }


def _judge_zeros(record: ExperimentRecord) -> list[Verdict]:
    totals: dict[str, dict[str, int]] = {}
    runs = [run for run in record.runs if run.tier == POLICY]
    for run in runs:
        for name, count in count_faults(run).items():
            cases = totals.setdefault(name, {})
            cases[run.case] = cases.get(run.case, 0) + count
    verdicts = []
    for name, cases in totals.items():
        bad = [f"{case}: {count}" for case, count in cases.items() if count]
        measured = ", ".join(bad) or f"0 in {len(runs)} runs"
        verdicts.append(Verdict(f"no {name} in any case", measured, not bad))
    return verdicts


def _judge_tails(record: ExperimentRecord) -> list[Verdict]:
    measure = measure_percentile(COUNTER, 99.0)
    reference = {run.seed: measure(run) for run in list_runs(record, REFERENCE, POLICY)}
    verdicts = []
    for case in TAIL_CASES:
        ratios = []
        for run in list_runs(record, case, POLICY):
            base, value = reference.get(run.seed), measure(run)
            if base and value:
                ratios.append(value / base)
        target = f"counter p99, {case}, at most {TAIL_LIMIT} times that without faults"
        verdicts.append(_judge_most(target, ratios, TAIL_LIMIT))
    return verdicts


def _judge_extra_load(record: ExperimentRecord) -> list[Verdict]:
    normal: list[float] = []
    faults: list[float] = []
    for run in record.runs:
        extra = measure_extra_load(run)
        # Overload is not normal operation; its goodput is judged instead.
        if run.tier != POLICY or extra is None or run.case == OVERLOAD:
            continue
        (faults if CASES.get(run.case).faulty else normal).append(extra)
    return [
        _judge_most(f"extra load without faults at most {EXTRA_NORMAL:.0%}", normal, EXTRA_NORMAL),
        _judge_most(f"extra load with faults at most {EXTRA_FAULTS:.0%}", faults, EXTRA_FAULTS),
    ]


def _judge_coverage(record: ExperimentRecord) -> list[Verdict]:
    verdicts = []
    for case in list_cases(record):
        if case not in COVERED_CASES:
            continue
        runs = list_runs(record, case, POLICY)
        if not runs:
            continue
        least = min(measure_least_coverage(run) or 0.0 for run in runs)
        incomplete = sum(
            flow.errors.get("incomplete", 0) for run in runs for flow in run.flows.values()
        )
        measured = f"lowest {least:.4f}, {incomplete} incomplete"
        met = least >= 1.0 and incomplete == 0
        verdicts.append(Verdict(f"coverage 1.0 of every answer, {case}", measured, met))
    return verdicts


def _judge_goodput(record: ExperimentRecord) -> Verdict:
    ratios = []
    for run in list_runs(record, OVERLOAD, POLICY):
        values = list(run.goodput.values())
        if len(values) == 2 and values[0]:
            ratios.append(values[1] / values[0])
    target = f"goodput at 1.5 times capacity at least {GOODPUT_LIMIT} of that at capacity"
    if not ratios:
        return Verdict(target, "not run", None)
    return Verdict(target, _format_range(ratios), min(ratios) >= GOODPUT_LIMIT)


def _judge_most(target: str, values: list[float], limit: float) -> Verdict:
    if not values:
        return Verdict(target, "not run", None)
    return Verdict(target, _format_range(values), max(values) <= limit)


def _format_range(values: list[float]) -> str:
    return f"{min(values):.3f} to {max(values):.3f}"
