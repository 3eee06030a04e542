"""Measured series, linear fits, and the record in which they are stored."""

import time
from collections.abc import Callable

import msgspec
import numpy as np

from persimmonspur.registry import Registry

MIN_POINTS = 4
# Each timing repeats the work until this much processor time has passed.
TIMING_MS = 30.0
TIMING_ROUNDS = 5


class Point(msgspec.Struct):
    """One measurement."""

    x: float
    y: float


class Fit(msgspec.Struct):
    """A straight line through points.

    :param slope_error: standard error of the slope.
    :param worst: largest distance of a point from the line, relative to the largest value.
    """

    slope: float
    intercept: float
    slope_error: float
    worst: float


class Series(msgspec.Struct):
    """How one figure grows with another.

    :param x_name: what was varied.
    :param y_name: what was measured, with its unit.
    """

    name: str
    x_name: str
    y_name: str
    points: list[Point]
    fit: Fit


class CapacityRecord(msgspec.Struct):
    """All series of one run.

    :param skipped: measures that could not run, with the reason.
    """

    started: str
    machine: str
    series: list[Series]
    skipped: list[str]

    def find(self, name: str) -> Series | None:
        """Return a series by name."""
        for series in self.series:
            if series.name == name:
                return series
        return None


Measure = Callable[[], list[Series]]
MEASURES: Registry[Measure] = Registry("measure")


def build_series(name: str, x_name: str, y_name: str, points: list[Point]) -> Series:
    """Fit a line.

    :raises ValueError: if there are fewer than :data:`MIN_POINTS` points.
    """
    if len(points) < MIN_POINTS:
        raise ValueError(f"series {name}: {len(points)} points; at least {MIN_POINTS} are needed")
    return Series(name, x_name, y_name, points, fit_line(points))


def fit_line(points: list[Point]) -> Fit:
    """Return the least-squares line and the standard error of its slope."""
    x = np.array([point.x for point in points])
    y = np.array([point.y for point in points])
    spread = float(((x - x.mean()) ** 2).sum())
    slope = float(((x - x.mean()) * (y - y.mean())).sum()) / spread
    intercept = float(y.mean()) - slope * float(x.mean())
    residuals = y - (slope * x + intercept)
    variance = float((residuals**2).sum()) / (len(points) - 2)
    scale = float(abs(y).max()) or 1.0
    return Fit(slope, intercept, (variance / spread) ** 0.5, float(abs(residuals).max()) / scale)


def time_call(call: Callable[[], object]) -> float:
    """Return the processor time of one call in microseconds.

    The least of several rounds is taken: other work on the machine only adds.
    """
    repeats = 1
    while True:
        started_ns = time.process_time_ns()
        for _ in range(repeats):
            call()
        spent_ns = time.process_time_ns() - started_ns
        if spent_ns > TIMING_MS * 1e6:
            break
        repeats = max(repeats * 2, int(repeats * TIMING_MS * 1.2e6 / max(spent_ns, 1)))
    best_ns = spent_ns
    for _ in range(TIMING_ROUNDS - 1):
        started_ns = time.process_time_ns()
        for _ in range(repeats):
            call()
        best_ns = min(best_ns, time.process_time_ns() - started_ns)
    return best_ns / repeats / 1000
