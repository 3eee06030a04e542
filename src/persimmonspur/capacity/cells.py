"""Measures the cost of heartbeats and of the ownership table of a cell."""

import time
from functools import partial

from persimmonspur.capacity.fakes import build_network, build_sized_configuration
from persimmonspur.capacity.record import MEASUREMENTS, Point, Series, build_series, time_call
from persimmonspur.core.ownership.proposal import (
    Observations,
    OwnershipConfiguration,
    build_proposal,
)
from persimmonspur.core.ownership.table import encode_table

MEMBER_COUNTS = (4, 8, 16, 24)
ENDPOINT_COUNTS = (96, 192, 384, 768)
TABLE_MEMBERS = 12
ROUNDS = 20


@MEASUREMENTS.register("heartbeats")
def measure_heartbeats() -> list[Series]:
    """Measure the heartbeats of one member per interval against the size of its cell."""
    cpu_points, size_points = [], []
    configuration = build_sized_configuration(96)
    for members in MEMBER_COUNTS:
        network = build_network(members, configuration)
        network.run_round()
        network.heartbeats = network.heartbeat_bytes = 0
        started_ns = time.process_time_ns()
        for _ in range(ROUNDS):
            network.run_round()
        cpu_us = (time.process_time_ns() - started_ns) / 1000
        cpu_points.append(Point(members, cpu_us / ROUNDS / members))
        size_points.append(Point(members, network.heartbeat_bytes / ROUNDS / members))
    return [
        build_series(
            "heartbeat_cpu",
            "members of the cell",
            "processor µs per instance and second",
            cpu_points,
        ),
        build_series(
            "heartbeat_bytes", "members of the cell", "bytes sent per second", size_points
        ),
    ]


@MEASUREMENTS.register("table")
def measure_table() -> list[Series]:
    """Measure the table's size, idle cost and recomputation against the endpoints."""
    size_points, cpu_points, change_points = [], [], []
    for endpoints in ENDPOINT_COUNTS:
        configuration = build_sized_configuration(endpoints)
        network = build_network(TABLE_MEMBERS, configuration)
        table = network.cells[0].table
        assert table is not None
        observations = Observations(unreachable=frozenset({network.cells[0].member.name}))
        propose = partial(
            build_proposal,
            table,
            OwnershipConfiguration.from_configuration(configuration, 1),
            observations,
        )
        change_points.append(Point(endpoints, time_call(propose)))
        size_points.append(Point(endpoints, len(encode_table(table))))
        network.run_round()
        started_ns = time.process_time_ns()
        for _ in range(ROUNDS):
            network.run_round()
        cpu_us = (time.process_time_ns() - started_ns) / 1000
        cpu_points.append(Point(endpoints, cpu_us / ROUNDS / TABLE_MEMBERS))
    return [
        build_series("table_bytes", "endpoints of the cell", "bytes of the table", size_points),
        build_series(
            "table_cpu", "endpoints of the cell", "processor µs per instance and second", cpu_points
        ),
        build_series(
            "table_change",
            "endpoints of the cell",
            "processor µs to place a lost member's",
            change_points,
        ),
    ]
