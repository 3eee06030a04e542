"""Measures the configuration's size, the cost of applying it and the routing view's memory."""

import gc
import tracemalloc
from collections.abc import Callable
from functools import partial

from persimmonspur.capacity.fakes import SNAPSHOT, build_sized_configuration
from persimmonspur.capacity.record import MEASUREMENTS, Point, Series, build_series, time_call
from persimmonspur.core.configuration.parts import (
    SplitConfiguration,
    assemble_configuration,
    split_configuration,
)
from persimmonspur.core.routing.view import RoutingView
from persimmonspur.model.configuration import Configuration
from persimmonspur.model.messages import EndpointStatus

ENDPOINT_COUNTS = (400, 800, 1600, 3200)
SERVICE_COUNTS = (4, 16, 32, 64)
TOTAL_ENDPOINTS = 1_600


@MEASUREMENTS.register("configuration")
def measure_configuration() -> list[Series]:
    """Measure encoded size and time to apply, against endpoints and against services."""
    size_points, apply_points, service_apply_points, service_size_points = [], [], [], []
    for endpoints in ENDPOINT_COUNTS:
        split = split_configuration(build_sized_configuration(endpoints))
        size_points.append(Point(endpoints, sum(len(value) for value in split.values.values())))
        apply_points.append(Point(endpoints, time_call(partial(_apply, split))))
    for services in SERVICE_COUNTS:
        sized = build_sized_configuration(TOTAL_ENDPOINTS, services)
        split = split_configuration(sized)
        service_apply_points.append(Point(services, time_call(partial(_apply, split))))
        service_size_points.append(
            Point(services, sum(len(value) for value in split.values.values()))
        )
    return [
        build_series("configuration_bytes", "endpoints", "bytes of the configuration", size_points),
        build_series(
            "configuration_apply", "endpoints", "processor µs to decode and apply", apply_points
        ),
        build_series(
            "configuration_services_bytes",
            f"services with {TOTAL_ENDPOINTS} endpoints together",
            "bytes of the configuration",
            service_size_points,
        ),
        build_series(
            "configuration_services",
            f"services with {TOTAL_ENDPOINTS} endpoints together",
            "processor µs to decode and apply",
            service_apply_points,
        ),
    ]


@MEASUREMENTS.register("view_memory")
def measure_view_memory() -> list[Series]:
    """Measure the memory of the routing view against its endpoints."""
    points = []
    for endpoints in ENDPOINT_COUNTS:
        build = partial(build_view, build_sized_configuration(endpoints))
        points.append(Point(endpoints, measure_memory(build)))
    return [build_series("view_memory", "endpoints", "bytes of the view", points)]


def build_view(configuration: Configuration) -> RoutingView:
    """Build a view in which every endpoint is warm and has an owner."""
    view = RoutingView()
    view.configure(configuration)
    for index, (name, endpoint) in enumerate(view.endpoints.items()):
        endpoint.owner = f"entry-{index % 24}"
        view.observe_status(EndpointStatus(name, "warm", True, [SNAPSHOT], 0, 1, 4, 5.0))
    return view


def measure_memory(build: Callable[[], object]) -> float:
    """Return how many bytes the result of ``build`` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        result = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        assert result is not None
        return float(after - before)
    finally:
        tracemalloc.stop()


def _apply(split: SplitConfiguration) -> None:
    assembled = assemble_configuration(split.references, split.values)
    if assembled.is_error():
        raise RuntimeError(assembled.error)
    RoutingView().configure(assembled.ok)
