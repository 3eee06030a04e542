"""Cost of heartbeats and of the cell table."""

import time
from functools import partial

from persimmonspur.capacity.fakes import build_network, build_sized
from persimmonspur.capacity.record import MEASURES, Point, Series, build_series, time_call
from persimmonspur.core.ownership.proposal import (
    Observations,
    OwnershipConfiguration,
    build_proposal,
)
from persimmonspur.core.ownership.table import encode_table

MEMBERS = (4, 8, 16, 24)
ENDPOINTS = (96, 192, 384, 768)
ENDPOINT_MEMBERS = 12
ROUNDS = 20


@MEASURES.register("heartbeats")
def measure_heartbeats() -> list[Series]:
    """Measure a heartbeat round of one member against the members of its cell."""
    cpu, size = [], []
    configuration = build_sized(96)
    for members in MEMBERS:
        network = build_network(members, configuration)
        network.run_round()
        network.heartbeats = network.heartbeat_bytes = 0
        started_ns = time.process_time_ns()
        for _ in range(ROUNDS):
            network.run_round()
        spent_us = (time.process_time_ns() - started_ns) / 1000
        cpu.append(Point(members, spent_us / ROUNDS / members))
        size.append(Point(members, network.heartbeat_bytes / ROUNDS / members))
    return [
        build_series(
            "heartbeat_cpu", "members of the cell", "processor µs per instance and second", cpu
        ),
        build_series("heartbeat_bytes", "members of the cell", "bytes sent per second", size),
    ]


@MEASURES.register("table")
def measure_table() -> list[Series]:
    """Measure the table's size, an idle second and a change against the endpoints."""
    size, cpu, change = [], [], []
    for endpoints in ENDPOINTS:
        configuration = build_sized(endpoints)
        network = build_network(ENDPOINT_MEMBERS, configuration)
        table = network.cells[0].table
        assert table is not None
        evidence = Observations(unreachable=frozenset({network.cells[0].member.name}))
        propose = partial(
            build_proposal,
            table,
            OwnershipConfiguration.from_configuration(configuration, 1),
            evidence,
        )
        change.append(Point(endpoints, time_call(propose)))
        size.append(Point(endpoints, len(encode_table(table))))
        network.run_round()
        started_ns = time.process_time_ns()
        for _ in range(ROUNDS):
            network.run_round()
        spent_us = (time.process_time_ns() - started_ns) / 1000
        cpu.append(Point(endpoints, spent_us / ROUNDS / ENDPOINT_MEMBERS))
    return [
        build_series("table_bytes", "endpoints of the cell", "bytes of the table", size),
        build_series(
            "table_cpu", "endpoints of the cell", "processor µs per instance and second", cpu
        ),
        build_series(
            "table_change", "endpoints of the cell", "processor µs to place a lost member's", change
        ),
    ]
