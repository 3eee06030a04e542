"""Plots of experiment results."""

from pathlib import Path

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from persimmonspur.load.analysis import (
    BASELINE,
    POLICY,
    SeedSummary,
    compare,
    list_cases,
    measure_percentile,
)
from persimmonspur.load.cases import COUNTER_FLOW
from persimmonspur.load.results import ExperimentRecord

CURVE_PERCENTILES = (10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 98.0, 99.0, 99.5, 99.9)
TIER_COLOURS = {POLICY: "#2a6f97", BASELINE: "#c76b29"}
CURVE_COLUMNS = 3


def draw_p99_bars(record: ExperimentRecord, path: Path) -> None:
    """Draw bars of the counter p99 of each case and tier, with the range over the seeds."""
    cases = _list_counter_cases(record)
    figure = Figure(figsize=(9, 4))
    axes = figure.add_subplot()
    measure = measure_percentile(COUNTER_FLOW, 99.0)
    for offset, tier in ((-0.2, POLICY), (0.2, BASELINE)):
        for index, case in enumerate(cases):
            compared = compare(record, case, measure)
            summary = compared.policy if tier == POLICY else compared.baseline
            if summary is None:
                continue
            axes.bar(
                index + offset,
                summary.mean,
                0.38,
                color=TIER_COLOURS[tier],
                label=tier if index == 0 else None,
                yerr=_build_error_bar(summary),
                capsize=3,
            )
    axes.set_yscale("log")
    axes.set_xticks(range(len(cases)), cases, rotation=30, ha="right")
    axes.set_ylabel("counter p99 in ms (this machine)")
    axes.legend()
    _save(figure, path)


def draw_latency_curves(record: ExperimentRecord, path: Path) -> None:
    """Draw one plot per case of the counter latency by percentile."""
    cases = _list_counter_cases(record)
    rows = max(1, -(-len(cases) // CURVE_COLUMNS))
    figure = Figure(figsize=(9, 2.4 * rows))
    for index, case in enumerate(cases):
        axes = figure.add_subplot(rows, CURVE_COLUMNS, index + 1)
        for tier in (POLICY, BASELINE):
            means = []
            for percentile in CURVE_PERCENTILES:
                compared = compare(record, case, measure_percentile(COUNTER_FLOW, percentile))
                summary = compared.policy if tier == POLICY else compared.baseline
                means.append(summary.mean if summary is not None else float("nan"))
            axes.plot(
                range(len(CURVE_PERCENTILES)),
                means,
                color=TIER_COLOURS[tier],
                label=tier,
                marker=".",
            )
        axes.set_yscale("log")
        axes.set_title(case, fontsize=9)
        axes.set_xticks(
            range(len(CURVE_PERCENTILES)), [f"{p:g}" for p in CURVE_PERCENTILES], fontsize=6
        )
        if index % CURVE_COLUMNS == 0:
            axes.set_ylabel("ms", fontsize=8)
        if index == 0:
            axes.legend(fontsize=7)
    _save(figure, path)


def _list_counter_cases(record: ExperimentRecord) -> list[str]:
    measure = measure_percentile(COUNTER_FLOW, 99.0)
    cases = []
    for case in list_cases(record):
        compared = compare(record, case, measure)
        if compared.policy is not None or compared.baseline is not None:
            cases.append(case)
    return cases


def _build_error_bar(summary: SeedSummary) -> list[list[float]]:
    return [[summary.mean - summary.minimum], [summary.maximum - summary.mean]]


def _save(figure: Figure, path: Path) -> None:
    FigureCanvasAgg(figure)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
