"""Measured series, their linear fits, and the stored record of a measurement run."""

import time
from collections.abc import Callable

import msgspec
import numpy as np

from persimmonspur.registry import Registry

MIN_POINTS = 4
# Processor time that one timing round must reach; short rounds are too imprecise.
MIN_TIMING_MS = 30.0
TIMING_ROUNDS = 5


class Point(msgspec.Struct):
    """One measured point of a series."""

    x: float
    y: float


class Fit(msgspec.Struct):
    """A least-squares line.

    :param slope_error: standard error of the slope.
    :param worst: largest absolute residual divided by the largest absolute y value.
    """

    slope: float
    intercept: float
    slope_error: float
    worst: float


class Series(msgspec.Struct):
    """Measurements of one quantity against another, with a fitted line.

    :param x_name: description of the varied quantity.
    :param y_name: description of the measured quantity, with its unit.
    """

    name: str
    x_name: str
    y_name: str
    points: list[Point]
    fit: Fit


class CapacityRecord(msgspec.Struct):
    """All series of one run.

    :param skipped: measurements that could not run, each with the reason.
    """

    started: str
    machine: str
    series: list[Series]
    skipped: list[str]

    def find_series(self, name: str) -> Series | None:
        """Return the series with a name, or ``None``."""
        for series in self.series:
            if series.name == name:
                return series
        return None


Measurement = Callable[[], list[Series]]
MEASUREMENTS: Registry[Measurement] = Registry("measure")


def build_series(name: str, x_name: str, y_name: str, points: list[Point]) -> Series:
    """Build a series with its fitted line.

    :raises ValueError: if there are fewer than :data:`MIN_POINTS` points.
    """
    if len(points) < MIN_POINTS:
        raise ValueError(f"series {name}: {len(points)} points; at least {MIN_POINTS} are needed")
    return Series(name, x_name, y_name, points, fit_line(points))


def fit_line(points: list[Point]) -> Fit:
    """Fit a line by least squares."""
    x = np.array([point.x for point in points])
    y = np.array([point.y for point in points])
    squared_deviations = float(((x - x.mean()) ** 2).sum())
    slope = float(((x - x.mean()) * (y - y.mean())).sum()) / squared_deviations
    intercept = float(y.mean()) - slope * float(x.mean())
    residuals = y - (slope * x + intercept)
    variance = float((residuals**2).sum()) / (len(points) - 2)
    max_abs_y = float(abs(y).max()) or 1.0
    return Fit(
        slope,
        intercept,
        (variance / squared_deviations) ** 0.5,
        float(abs(residuals).max()) / max_abs_y,
    )


def time_call(call: Callable[[], object]) -> float:
    """Return the processor time of one call in microseconds.

    Takes the minimum of several rounds, because other load on the machine can only increase it.
    """
    repeats = 1
    while True:
        started_ns = time.process_time_ns()
        for _ in range(repeats):
            call()
        round_ns = time.process_time_ns() - started_ns
        if round_ns > MIN_TIMING_MS * 1e6:
            break
        repeats = max(repeats * 2, int(repeats * MIN_TIMING_MS * 1.2e6 / max(round_ns, 1)))
    best_ns = round_ns
    for _ in range(TIMING_ROUNDS - 1):
        started_ns = time.process_time_ns()
        for _ in range(repeats):
            call()
        best_ns = min(best_ns, time.process_time_ns() - started_ns)
    return best_ns / repeats / 1000
