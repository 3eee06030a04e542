"""Plots of experiments."""

from pathlib import Path

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from persimmonspur.load.analysis import (
    BASELINE,
    POLICY,
    Spread,
    compare,
    list_cases,
    measure_percentile,
)
from persimmonspur.load.cases import COUNTER
from persimmonspur.load.results import ExperimentRecord

CURVE = (10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 98.0, 99.0, 99.5, 99.9)
COLOURS = {POLICY: "#2a6f97", BASELINE: "#c76b29"}
COLUMNS = 3


def draw_tails(record: ExperimentRecord, path: Path) -> None:
    """Draw the counter p99 of every case, policy beside baseline, with the spread."""
    cases = _list_counter_cases(record)
    figure = Figure(figsize=(9, 4))
    axes = figure.add_subplot()
    measure = measure_percentile(COUNTER, 99.0)
    for offset, tier in ((-0.2, POLICY), (0.2, BASELINE)):
        for index, case in enumerate(cases):
            compared = compare(record, case, measure)
            spread = compared.policy if tier == POLICY else compared.baseline
            if spread is None:
                continue
            axes.bar(
                index + offset,
                spread.mean,
                0.38,
                color=COLOURS[tier],
                label=tier if index == 0 else None,
                yerr=_build_error(spread),
                capsize=3,
            )
    axes.set_yscale("log")
    axes.set_xticks(range(len(cases)), cases, rotation=30, ha="right")
    axes.set_ylabel("counter p99 in ms (this machine)")
    axes.legend()
    _save(figure, path)


def draw_curves(record: ExperimentRecord, path: Path) -> None:
    """Draw the counter latency by percentile for every case."""
    cases = _list_counter_cases(record)
    rows = max(1, -(-len(cases) // COLUMNS))
    figure = Figure(figsize=(9, 2.4 * rows))
    for index, case in enumerate(cases):
        axes = figure.add_subplot(rows, COLUMNS, index + 1)
        for tier in (POLICY, BASELINE):
            means = []
            for percentile in CURVE:
                compared = compare(record, case, measure_percentile(COUNTER, percentile))
                spread = compared.policy if tier == POLICY else compared.baseline
                means.append(spread.mean if spread is not None else float("nan"))
            axes.plot(range(len(CURVE)), means, color=COLOURS[tier], label=tier, marker=".")
        axes.set_yscale("log")
        axes.set_title(case, fontsize=9)
        axes.set_xticks(range(len(CURVE)), [f"{p:g}" for p in CURVE], fontsize=6)
        if index % COLUMNS == 0:
            axes.set_ylabel("ms", fontsize=8)
        if index == 0:
            axes.legend(fontsize=7)
    _save(figure, path)


def _list_counter_cases(record: ExperimentRecord) -> list[str]:
    measure = measure_percentile(COUNTER, 99.0)
    cases = []
    for case in list_cases(record):
        compared = compare(record, case, measure)
        if compared.policy is not None or compared.baseline is not None:
            cases.append(case)
    return cases


def _build_error(spread: Spread) -> list[list[float]]:
    return [[spread.mean - spread.least], [spread.most - spread.mean]]


def _save(figure: Figure, path: Path) -> None:
    FigureCanvasAgg(figure)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
