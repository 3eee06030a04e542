"""Size of the configuration, cost to apply it, and memory of the routing view."""

import gc
import tracemalloc
from collections.abc import Callable
from functools import partial

from persimmonspur.capacity.fakes import SNAPSHOT, build_sized
from persimmonspur.capacity.record import MEASURES, Point, Series, build_series, time_call
from persimmonspur.core.configuration.parts import (
    SplitConfiguration,
    assemble_configuration,
    split_configuration,
)
from persimmonspur.core.routing.view import RoutingView
from persimmonspur.model.configuration import Configuration
from persimmonspur.model.messages import EndpointStatus

ENDPOINTS = (400, 800, 1600, 3200)
SERVICES = (4, 16, 32, 64)
SERVICE_ENDPOINTS = 1_600


@MEASURES.register("configuration")
def measure_configuration() -> list[Series]:
    """Measure size and apply time against endpoints and against services."""
    size, apply, by_service = [], [], []
    for endpoints in ENDPOINTS:
        split = split_configuration(build_sized(endpoints))
        size.append(Point(endpoints, sum(len(value) for value in split.values.values())))
        apply.append(Point(endpoints, time_call(partial(_apply, split))))
    for services in SERVICES:
        sized = build_sized(SERVICE_ENDPOINTS, services)
        by_service.append(Point(services, time_call(partial(_apply, split_configuration(sized)))))
    return [
        build_series("configuration_bytes", "endpoints", "bytes of the configuration", size),
        build_series("configuration_apply", "endpoints", "processor µs to decode and apply", apply),
        build_series(
            "configuration_services",
            f"services with {SERVICE_ENDPOINTS} endpoints together",
            "processor µs to decode and apply",
            by_service,
        ),
    ]


@MEASURES.register("view_memory")
def measure_view_memory() -> list[Series]:
    """Measure the memory of a coordinator's view of endpoints."""
    points = []
    for endpoints in ENDPOINTS:
        build = partial(build_view, build_sized(endpoints))
        points.append(Point(endpoints, measure_memory(build)))
    return [build_series("view_memory", "endpoints", "bytes of the view", points)]


def build_view(configuration: Configuration) -> RoutingView:
    """Build a view in which every endpoint is warm and owned."""
    view = RoutingView()
    view.configure(configuration)
    for index, (name, endpoint) in enumerate(view.endpoints.items()):
        endpoint.owner = f"entry-{index % 24}"
        view.observe_status(EndpointStatus(name, "warm", True, [SNAPSHOT], 0, 1, 4, 5.0))
    return view


def measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes that the result of a call keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        assert kept is not None
        return float(after - before)
    finally:
        tracemalloc.stop()


def _apply(split: SplitConfiguration) -> None:
    assembled = assemble_configuration(split.references, split.values)
    if assembled.is_error():
        raise RuntimeError(assembled.error)
    RoutingView().configure(assembled.ok)
