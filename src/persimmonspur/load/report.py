"""Writes a Markdown report with plots from experiment results."""

from pathlib import Path

import msgspec

from persimmonspur.load import plots
from persimmonspur.load.analysis import (
    BASELINE,
    PERCENTILES,
    POLICY,
    Comparison,
    Measure,
    SeedSummary,
    compare,
    count_errors_by_kind,
    count_wrong_answers,
    list_cases,
    list_flows,
    list_runs,
    measure_completeness,
    measure_coverage,
    measure_endpoint_field,
    measure_extra_load,
    measure_lag,
    measure_minimum_coverage,
    measure_non_repeatable_field,
    measure_percentile,
    measure_sub_requests,
    merge_experiments,
)
from persimmonspur.load.cases import CASES
from persimmonspur.load.results import ExperimentRecord
from persimmonspur.load.targets import evaluate_targets

# Above this p99 of the send lag, the latency may reflect the load of the machine, not the tier.
DISTURBED_LAG_MS = 20.0

ANSWER_MEASURES: tuple[tuple[str, Measure], ...] = (
    ("complete answers", measure_completeness),
    ("mean coverage", measure_coverage),
    ("lowest coverage", measure_minimum_coverage),
    ("endpoint requests per answer", measure_sub_requests),
    ("extra load", measure_extra_load),
)


def read_results(paths: list[Path]) -> ExperimentRecord:
    """Read and merge result files.

    :raises msgspec.DecodeError: if a file is not a result file.
    :raises ValueError: if the files differ in machine, deployment or instances.
    """
    return merge_experiments(
        msgspec.json.decode(path.read_bytes(), type=ExperimentRecord) for path in paths
    )


def write_report(record: ExperimentRecord, output: Path) -> None:
    """Write the report, and its plots to the same directory.

    :param output: path of the Markdown file.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    p99_plot = output.with_name(f"{output.stem}-p99.png")
    latency_plot = output.with_name(f"{output.stem}-latency.png")
    plots.draw_p99_bars(record, p99_plot)
    plots.draw_latency_curves(record, latency_plot)
    output.write_text(render_report(record, [p99_plot.name, latency_plot.name]))


def render_report(record: ExperimentRecord, plot_names: list[str]) -> str:
    """Return the report as Markdown.

    :param plot_names: file names of the plots.
    """
    seeds = sorted({run.seed for run in record.runs})
    lines = [
        "# Load report",
        "",
        f"Deployment `{record.deployment}`, {record.instances} entry instances, seeds "
        f"{', '.join(str(seed) for seed in seeds)}, started {record.started}.",
        "",
        f"Absolute times and rates are those of this one machine ({record.machine}), on which "
        "callers, entry instances and searchers share the processors. Compare ratios only: each "
        "divides the value of the policy tier by that of the naive tier in the same run and seed. "
        "`a [b, c]` is the mean over the seeds, with the lowest and the highest value. Latency is "
        "measured from the intended send time and includes queries that failed, so a tier that "
        "fails fast has a low latency: consider the errors as well.",
        "",
        *_render_targets(record),
        *[f"![{name}]({name})" for name in plot_names],
        "",
        *_render_latency(record),
        *_render_answers(record),
        *_render_endpoints(record),
        *_render_non_repeatable(record),
        *_render_errors(record),
        *_render_generator(record),
    ]
    if record.failures:
        lines += ["## Runs without a result", "", *[f"- {text}" for text in record.failures], ""]
    return "\n".join(lines)


def _render_targets(record: ExperimentRecord) -> list[str]:
    rows = []
    for target_result in evaluate_targets(record):
        word = {True: "met", False: "**missed**", None: "not run"}[target_result.met]
        rows.append([target_result.target, target_result.measured, word])
    return ["## Targets", "", *render_table(["target", "measured", "verdict"], rows), ""]


def _render_latency(record: ExperimentRecord) -> list[str]:
    rows = []
    for case in list_cases(record):
        for flow in list_flows(record, case):
            row = [case, flow]
            for percentile in PERCENTILES:
                compared = compare(record, case, measure_percentile(flow, percentile))
                row.append(f"{format_summary(compared.policy, 1)}; {_format_ratio(compared)}")
            rows.append(row)
    headers = ["case", "class", *[f"p{percentile:g} ms; ratio" for percentile in PERCENTILES]]
    return ["## Latency", "", *render_table(headers, rows), ""]


def _render_answers(record: ExperimentRecord) -> list[str]:
    rows = []
    for case in list_cases(record):
        row = [case]
        for _, measure in ANSWER_MEASURES:
            compared = compare(record, case, measure)
            row.append(
                f"{format_summary(compared.policy, 4)}; {format_summary(compared.baseline, 4)}; "
                f"{_format_ratio(compared)}"
            )
        row.append(
            f"{_sum(record, case, POLICY, count_wrong_answers)}; "
            f"{_sum(record, case, BASELINE, count_wrong_answers)}"
        )
        rows.append(row)
    headers = ["case", *[name for name, _ in ANSWER_MEASURES], "wrong answers"]
    return [
        "## Answers and extra load",
        "",
        "Each cell: policy; baseline; ratio. Every answer was compared with the data set.",
        "",
        *render_table(headers, rows),
        "",
    ]


def _render_endpoints(record: ExperimentRecord) -> list[str]:
    rows = []
    for case in list_cases(record):
        concurrency = compare(record, case, lambda run: run.endpoints.worst_use)
        row = [
            case,
            f"{format_summary(concurrency.policy, 2)}; {format_summary(concurrency.baseline, 2)}; "
            f"{_format_ratio(concurrency)}",
        ]
        for name in ("overruns", "cold_overruns", "crashes", "connection_overruns"):
            row.append(
                f"{_sum(record, case, POLICY, measure_endpoint_field(name))}; "
                f"{_sum(record, case, BASELINE, measure_endpoint_field(name))}"
            )
        rows.append(row)
    headers = [
        "case",
        "highest concurrent work over slots",
        "slot overruns",
        "cold overruns",
        "crashes",
        "connection overruns",
    ]
    return [
        "## Endpoints",
        "",
        "As counted by the searchers. Each cell: policy; baseline.",
        "",
        *render_table(headers, rows),
        "",
    ]


def _render_non_repeatable(record: ExperimentRecord) -> list[str]:
    rows = []
    for case in list_cases(record):
        row = [case]
        for name in ("requests", "repeated", "ran", "duplicates", "false_no", "false_yes"):
            row.append(
                f"{_sum(record, case, POLICY, measure_non_repeatable_field(name))}; "
                f"{_sum(record, case, BASELINE, measure_non_repeatable_field(name))}"
            )
        rows.append(row)
    headers = ["case", "requests", "repeated", "ran", "ran twice", "false `no`", "false `yes`"]
    return ["## Non-repeatable requests", "", *render_table(headers, rows), ""]


def _render_errors(record: ExperimentRecord) -> list[str]:
    rows = []
    for case in list_cases(record):
        row = [case]
        for tier in (POLICY, BASELINE):
            total: dict[str, int] = {}
            for run in list_runs(record, case, tier):
                for kind, count in count_errors_by_kind(run).items():
                    total[kind] = total.get(kind, 0) + count
            row.append(", ".join(f"{kind}: {count}" for kind, count in total.items()) or "none")
        rows.append(row)
    return ["## Errors", "", *render_table(["case", "policy", "baseline"], rows), ""]


def _render_generator(record: ExperimentRecord) -> list[str]:
    rows = []
    for case in list_cases(record):
        row = [case]
        for percentile in (50.0, 99.0, 100.0):
            lag = compare(record, case, measure_lag(percentile))
            row.append(f"{format_summary(lag.policy, 1)}; {format_summary(lag.baseline, 1)}")
        share = compare(record, case, lambda run: run.generator_cpu_share)
        row.append(f"{format_summary(share.policy, 2)}; {format_summary(share.baseline, 2)}")
        rows.append(row)
    headers = ["case", "lag p50 ms", "lag p99 ms", "lag max ms", "processor share"]
    return [
        "## Load generator",
        "",
        "Lag is the time from the intended to the actual send; it is part of the latency above. "
        "The processor share is that of the busiest generator process.",
        "",
        *render_table(headers, rows),
        "",
        *_render_disturbed(record),
        "Cases:",
        "",
        *[f"- {case}: {CASES.get(case).description}" for case in list_cases(record)],
        "",
    ]


def _render_disturbed(record: ExperimentRecord) -> list[str]:
    lines = []
    measure = measure_lag(99.0)
    for run in record.runs:
        lag_ms = measure(run) or 0.0
        if lag_ms > DISTURBED_LAG_MS:
            lines.append(f"- {run.case}, {run.tier}, seed {run.seed}: lag p99 {lag_ms:.0f} ms")
    if not lines:
        return []
    heading = (
        f"Disturbed runs (lag p99 above {DISTURBED_LAG_MS:g} ms): the machine was too busy to send "
        "in time, so their latency says little about the tier."
    )
    return [heading, "", *lines, ""]


def render_table(headers: list[str], rows: list[list[str]]) -> list[str]:
    """Return the lines of a Markdown table."""
    lines = [f"| {' | '.join(headers)} |", f"|{'---|' * len(headers)}"]
    lines.extend(f"| {' | '.join(row)} |" for row in rows)
    return lines


def format_summary(summary: SeedSummary | None, digits: int) -> str:
    """Format the mean, and the range over the seeds if the values differ."""
    if summary is None:
        return "-"
    if summary.minimum == summary.maximum:
        return f"{summary.mean:.{digits}f}"
    return f"{summary.mean:.{digits}f} [{summary.minimum:.{digits}f}, {summary.maximum:.{digits}f}]"


def _format_ratio(compared: Comparison) -> str:
    return f"x {format_summary(compared.ratio, 2)}" if compared.ratio is not None else "x -"


def _sum(record: ExperimentRecord, case: str, tier: str, measure: Measure) -> int:
    return int(sum(measure(run) or 0 for run in list_runs(record, case, tier)))
