"""Checks line fits, the stored record, the tables of docs/CAPACITY.md and the estimates."""

from pathlib import Path

import msgspec
import pytest

from persimmonspur.capacity.fakes import build_network, build_sized_configuration
from persimmonspur.capacity.page import TABLES, fill_page
from persimmonspur.capacity.record import CapacityRecord, Point, build_series, fit_line
from persimmonspur.capacity.requests import raise_if_failed
from persimmonspur.capacity.target import Target, estimate
from persimmonspur.core.requests.actions import Finish
from persimmonspur.errors import ErrorKind, Failure
from persimmonspur.model.query import Coverage, QueryAnswer

DOCS = Path(__file__).parents[2] / "docs"


def read_record():
    return msgspec.json.decode((DOCS / "capacity.json").read_bytes(), type=CapacityRecord)


def test_fit_line_returns_slope_intercept_and_standard_error():
    fit = fit_line([Point(x, 3.0 * x + 2.0) for x in (1, 2, 4, 8)])
    assert (fit.slope, fit.intercept) == (pytest.approx(3.0), pytest.approx(2.0))
    assert fit.slope_error == pytest.approx(0.0, abs=1e-9)
    noisy = fit_line([Point(0, 0), Point(1, 2), Point(2, 0), Point(3, 2)])
    # Computed by hand: slope 0.4, squared residuals sum to 3.2, squared deviations of x to 5.
    assert noisy.slope == pytest.approx(0.4)
    assert noisy.slope_error == pytest.approx((3.2 / 2 / 5) ** 0.5)


def test_series_of_three_points_is_rejected():
    with pytest.raises(ValueError, match="at least 4"):
        build_series("s", "x", "y", [Point(x, x) for x in (1, 2, 3)])


def test_stored_series_have_enough_points():
    record = read_record()
    assert record.series
    assert all(len(series.points) >= 4 for series in record.series)


def test_page_matches_the_stored_record():
    page = (DOCS / "CAPACITY.md").read_text()
    assert fill_page(page, read_record()) == page


def test_page_without_markers_is_rejected():
    name = next(iter(TABLES))
    with pytest.raises(ValueError, match=name):
        fill_page("# Capacity\n", read_record())


def test_simulated_cell_has_all_members_and_sends_heartbeats():
    network = build_network(4, build_sized_configuration(24))
    network.heartbeats = 0
    network.run_round()
    assert network.heartbeats == 4 * 3
    assert {len(cell.table.members) for cell in network.cells} == {4}
    # Without assignments, the measured table size would not depend on the endpoints.
    assert {len(cell.table.assignments) for cell in network.cells} == {24}


def test_object_api_rates_grow_with_cells_and_not_with_endpoints():
    small, large = Target(), Target(endpoints=1_000_000)
    for name in ("listings_per_s", "checks_per_s", "member_changes_per_s"):
        assert getattr(small, name) == getattr(large, name) < small.max_api_writes_per_s
    assert Target(members_per_cell=12).checks_per_s > 1.9 * small.checks_per_s


def test_missing_series_leaves_its_estimate_empty():
    estimates = estimate(CapacityRecord("now", "machine", [], ["cells: no code"]))
    assert estimates.member_cpu_us_per_s is None
    assert estimates.table_bytes is None


def test_failed_query_aborts_the_measurement():
    # A rejected query costs far less than one that runs and would distort the figure.
    failure = Failure.of(ErrorKind.OVERLOADED, "its queues are too long")
    answer = QueryAnswer("r", None, Coverage(0), (), [], failure)
    with pytest.raises(RuntimeError, match="queues"):
        raise_if_failed([Finish(answer)])
