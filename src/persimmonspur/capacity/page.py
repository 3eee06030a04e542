"""Renders the tables of docs/CAPACITY.md and inserts them between their markers."""

from collections.abc import Callable

from attrs import frozen

from persimmonspur.capacity.record import CapacityRecord, Series
from persimmonspur.capacity.target import SECONDS_PER_DAY, TARGET, Estimates, Target, estimate
from persimmonspur.load.report import render_table
from persimmonspur.registry import Registry

TableRenderer = Callable[[CapacityRecord], list[str]]
TABLES: Registry[TableRenderer] = Registry("table")


def fill_page(page: str, record: CapacityRecord) -> str:
    """Return the page with every table rendered again between its markers.

    :raises ValueError: if the page lacks the markers of a table.
    """
    for name in TABLES:
        start, end = f"<!-- {name}: start -->", f"<!-- {name}: end -->"
        if start not in page or end not in page:
            raise ValueError(f"the page has no markers for table {name!r}")
        head, _, rest = page.partition(start)
        _, _, tail = rest.partition(end)
        lines = "\n".join(TABLES.get(name)(record))
        page = f"{head}{start}\n{lines}\n{end}{tail}"
    return page


@frozen
class _BudgetRow:
    """One row of the budget table: an estimate and its limit.

    :param value: estimate; ``None`` if it was not measured.
    :param factor: converts the estimate to the unit.
    :param allowed: limit in the unit.
    """

    name: str
    value: float | None
    factor: float
    allowed: float
    unit: str

    def render(self) -> list[str]:
        value = (self.value or 0.0) * self.factor
        ratio = value / self.allowed
        return [
            self.name,
            f"{value:,.3g} {self.unit}",
            f"{self.allowed:,.4g} {self.unit}",
            "fits" if ratio <= 1 else f"x {ratio:.1f}",
        ]


@TABLES.register("slopes")
def render_slopes(record: CapacityRecord) -> list[str]:
    """Render every measured series with its fitted line."""
    rows = [_render_series(series) for series in record.series]
    headers = ["series", "against", "points (x: y)", "slope", "intercept", "worst point off line"]
    lines = [f"Measured {record.started} on {record.machine}.", ""]
    lines += render_table(headers, rows)
    lines += ["", *[f"- not measured: {text}" for text in record.skipped]]
    return lines if record.skipped else lines[:-1]


@TABLES.register("roles")
def render_roles(record: CapacityRecord) -> list[str]:
    """Render the processor time and memory of each role at the target scale."""
    target, estimates = TARGET, estimate(record)
    sub_requests = target.instance_sub_requests_per_s
    rows = [
        _build_member_row(target, estimates),
        [
            "coordinator",
            f"{target.instance_queries_per_s:,.0f} queries/s, {sub_requests:,.0f} sub-requests/s",
            _format_cores(estimates.coordinator_us, sub_requests),
            f"{_format_bytes(estimates.cell_view_bytes)} for the cell's endpoints; "
            f"{_format_bytes(estimates.full_view_bytes)} if it held all",
        ],
        [
            "endpoint owner",
            f"{target.endpoints / target.instances:.1f} endpoints, {sub_requests:,.0f} "
            "sub-requests/s",
            _format_cores(estimates.owner_us, sub_requests) + ", without the endpoint calls",
            "small: queues are bounded per endpoint",
        ],
        [
            "configuration watcher",
            f"{target.watchers_per_cell} per cell, "
            f"{target.watchers_per_cell * target.cells} in all; "
            f"{target.changes_per_s:.2f} changes/s",
            f"{_format_core_share(estimates.full_apply_us, target.changes_per_s)} if every change "
            "applies the whole; "
            f"{_format_core_share(estimates.cell_apply_us, target.changes_per_s)} if only the "
            "cell's part",
            f"{_format_bytes(estimates.configuration_bytes)} encoded, the whole configuration",
        ],
    ]
    return render_table(["role", "work per instance", "processor", "memory"], rows)


@TABLES.register("platform")
def render_platform(record: CapacityRecord) -> list[str]:
    """Render the call rates of the object API at the target scale."""
    target = TARGET
    watches = float(target.watchers_per_cell * target.cells)
    writes = {
        "table changes (fail, restart)": target.member_changes_per_s,
        "table renewal": target.cells / target.table_renewal_interval_s,
        "configuration (one part and the root)": 2 * target.changes_per_s,
    }
    reads = {
        "watches that wait, each counted as one call": watches,
        "watches renewed": watches / target.watch_timeout_s,
        "root and one part at each watcher": 2 * target.changes_per_s * watches,
        "root, by every member in turn": target.checks_per_s,
        "instance list": target.listings_per_s,
        "table and root at each restart": 2 * target.restarts_per_day / SECONDS_PER_DAY,
    }
    rows = [["write", name, f"{rate:,.2f}"] for name, rate in writes.items()]
    total = sum(writes.values())
    rows.append(["write", f"sum; about {target.max_api_writes_per_s:.0f} allowed", f"{total:,.2f}"])
    rows += [["read", name, f"{rate:,.2f}"] for name, rate in reads.items()]
    allowed = f"sum; about {target.max_api_reads_per_s:,.0f} allowed"
    rows.append(["read", allowed, f"{sum(reads.values()):,.2f}"])
    return render_table(["kind", "cause", "calls/s"], rows)


@TABLES.register("budget")
def render_budget(record: CapacityRecord) -> list[str]:
    """Render the control overhead per instance and its limits."""
    target, estimates = TARGET, estimate(record)
    max_cores, max_memory = target.max_control_core_share, target.max_control_memory_bytes
    changes_per_s, max_traffic = target.changes_per_s, target.max_control_bytes_per_s
    budget_rows = [
        _BudgetRow(
            "processor, whole daemon without queries",
            estimates.idle_cpu_us_per_s,
            1e-6,
            max_cores,
            "core",
        ),
        _BudgetRow(
            "processor, cell member alone", estimates.member_cpu_us_per_s, 1e-6, max_cores, "core"
        ),
        _BudgetRow(
            "processor, each change applies the whole configuration",
            estimates.full_apply_us,
            changes_per_s * 1e-6,
            max_cores,
            "core",
        ),
        _BudgetRow(
            "processor, each change applies the cell's part",
            estimates.cell_apply_us,
            changes_per_s * 1e-6,
            max_cores,
            "core",
        ),
        _BudgetRow(
            "heartbeats, both directions", estimates.heartbeat_bytes_per_s, 1.0, max_traffic, "B/s"
        ),
        _BudgetRow(
            "whole configuration received at each change",
            estimates.configuration_bytes,
            changes_per_s,
            max_traffic,
            "B/s",
        ),
        _BudgetRow(
            "the cell's part received at each change",
            estimates.configuration_bytes,
            changes_per_s * target.endpoints_per_cell / target.endpoints,
            max_traffic,
            "B/s",
        ),
        _BudgetRow(
            "memory, whole daemon without queries", estimates.resident_bytes, 1.0, max_memory, "B"
        ),
        _BudgetRow(
            "memory, view of all endpoints", estimates.full_view_bytes, 1.0, max_memory, "B"
        ),
        _BudgetRow(
            "memory, view of the cell's endpoints", estimates.cell_view_bytes, 1.0, max_memory, "B"
        ),
        _BudgetRow(
            "change in effect in one cell",
            estimates.propagation_ms,
            1.0,
            target.max_change_ms,
            "ms",
        ),
    ]
    rows = [row.render() for row in budget_rows if row.value is not None]
    return render_table(["figure", "at the target", "allowed", "over by"], rows)


@TABLES.register("path")
def render_path(record: CapacityRecord) -> list[str]:
    """Render the throughput of one process and how many processes the target needs."""
    target, estimates = TARGET, estimate(record)
    if None in (estimates.end_to_end_us, estimates.coordinator_us, estimates.owner_us):
        return ["The request path was not measured."]
    total_us = estimates.end_to_end_us or 0.0
    core_us = (estimates.coordinator_us or 0.0) + (estimates.owner_us or 0.0)
    paired_us = core_us + (total_us - core_us) / 2
    required_per_s = target.instance_sub_requests_per_s
    costs = [
        ("today, end to end on loopback", "measured", total_us),
        ("decisions and encoding only", "measured", core_us),
        ("sockets, HTTP, greenlets, timeline, metrics", "difference", total_us - core_us),
        ("endpoint calls in pairs (2 per HTTP request)", "estimate", paired_us),
    ]
    rows = [
        [
            name,
            kind,
            f"{cost_us:,.0f}",
            f"{1e6 / cost_us:,.0f}",
            f"{required_per_s * cost_us / 1e6:,.1f}",
        ]
        for name, kind, cost_us in costs
    ]
    headers = [
        "per sub-request, coordinator and owner together",
        "kind",
        "processor µs",
        "sub-requests/s of one process",
        f"processes for {required_per_s:,.0f}/s",
    ]
    return render_table(headers, rows)


def _build_member_row(target: Target, estimates: Estimates) -> list[str]:
    return [
        "cell member",
        f"{target.members_per_cell - 1} heartbeats/s sent and received, "
        f"{_format_bytes(estimates.heartbeat_bytes_per_s)}/s; table of "
        f"{_format_bytes(estimates.table_bytes)} for {target.endpoints_per_cell:.0f} endpoints",
        f"{_format_core_share(estimates.member_cpu_us_per_s, 1.0)}; "
        f"{_format_millis(estimates.table_change_us)} for each new table",
        _format_bytes(estimates.table_bytes) + " (encoded table)",
    ]


def _render_series(series: Series) -> list[str]:
    points = ", ".join(f"{point.x:,.0f}: {point.y:,.4g}" for point in series.points)
    fit = series.fit
    return [
        f"{series.name}, {series.y_name}",
        series.x_name,
        points,
        f"{fit.slope:,.4g} ± {fit.slope_error:.2g}",
        f"{fit.intercept:,.4g}",
        f"{fit.worst:.1%}",
    ]


def _format_bytes(value: float | None) -> str:
    if value is None:
        return "not measured"
    for unit, size in (("GB", 1e9), ("MB", 1e6), ("KB", 1e3)):
        if value >= size:
            return f"{value / size:.1f} {unit}"
    return f"{value:.0f} B"


def _format_micros(cost_us: float | None) -> str:
    return f"{cost_us:.1f} µs" if cost_us is not None else "not measured"


def _format_millis(cost_us: float | None) -> str:
    return f"{cost_us / 1000:.1f} ms" if cost_us is not None else "not measured"


def _format_cores(cost_us: float | None, rate: float) -> str:
    if cost_us is None:
        return "not measured"
    return f"{cost_us:.1f} µs each, {cost_us * rate / 1e6:.2f} cores"


def _format_core_share(cost_us: float | None, rate: float) -> str:
    if cost_us is None:
        return "not measured"
    return f"{cost_us * rate / 1e4:.2f}% of a core"
